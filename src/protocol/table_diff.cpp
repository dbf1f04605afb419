#include "protocol/table_diff.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace auburnchute {

namespace {

using fields = std::vector<std::pair<std::string, std::string>>;
using rows = std::map<std::string, fields>;

std::string join(std::vector<std::string> const& items)
{
    std::string text;
    for (auto const& item : items) {
        text.append(text.empty() ? "" : ", ").append(item);
    }
    return "[" + text + "]";
}

std::string show(bool value)
{
    return value ? "true" : "false";
}

std::string show(std::int64_t value)
{
    return std::to_string(value);
}

std::string show(millis value)
{
    return std::to_string(value.count_);
}

void add_routes(tables const& all, rows& out)
{
    for (auto const& row : all.workspaces_) {
        out["routes/workspaces/" + row.name_] = {
            {"rate", show(row.rate_)}, {"burst", show(row.burst_)}, {"weight", show(row.weight_)}};
    }
    for (auto const& row : all.routes_) {
        out["routes/" + row.name_] = {{"open", show(row.open_)},
                                      {"workspaces", join(row.workspaces_)},
                                      {"model", row.model_},
                                      {"path", row.path_},
                                      {"pool", row.pool_},
                                      {"priority", std::string{to_string(row.priority_)}},
                                      {"deadline_ms", show(row.deadline_)},
                                      {"max_tokens", show(row.max_tokens_)},
                                      {"cost", show(row.cost_)},
                                      {"repeatable", show(row.repeatable_)}};
    }
}

void add_models(pool_row const& pool, rows& out)
{
    for (auto const& row : pool.models_) {
        auto const place = "pools/" + pool.name_ + "/models/" + row.name_;
        out[place] = {{"memory_mb", show(row.memory_mb_)},       {"min_replicas", show(row.min_replicas_)},
                      {"max_replicas", show(row.max_replicas_)}, {"slots", show(row.slots_)},
                      {"load_time_ms", show(row.load_time_)},    {"idle_unload_ms", show(row.idle_unload_)}};
        for (auto const& adapter : row.adapters_) {
            out[place + "/adapters/" + adapter.name_] = {{"memory_mb", show(adapter.memory_mb_)}};
        }
    }
}

void add_pools(tables const& all, rows& out)
{
    for (auto const& row : all.pools_) {
        out["pools/" + row.name_] = {{"kind", std::string{to_string(row.kind_)}},
                                     {"upstreams", join(row.upstreams_)},
                                     {"availability_zones", join(row.availability_zones_)},
                                     {"locality", std::string{to_string(row.locality_)}},
                                     {"memory_mb", show(row.memory_mb_)},
                                     {"min_residence_ms", show(row.min_residence_)},
                                     {"aging_ms", show(row.aging_)},
                                     {"outage_permits", show(row.outage_permits_)},
                                     {"slots", show(row.slots_)}};
        add_models(row, out);
    }
    out["pools/store"] = {{"checkpoint_transfers", show(all.store_.checkpoint_transfers_)},
                          {"adapter_transfers", show(all.store_.adapter_transfers_)}};
}

rows flatten(tables const& all)
{
    rows out;
    add_routes(all, out);
    add_pools(all, out);
    return out;
}

std::string summary(fields const& row)
{
    std::string text;
    for (auto const& [name, value] : row) {
        if (!value.empty() && value != "[]") {
            text.append(text.empty() ? "" : ", ").append(name).append(" ").append(value);
        }
    }
    return text;
}

/// \returns The routes that both versions have, in the order of the first.
std::vector<std::string> common_routes(tables const& ordered, tables const& other)
{
    std::vector<std::string> names;
    for (auto const& row : ordered.routes_) {
        if (find_route(other, row.name_) != nullptr) {
            names.push_back(row.name_);
        }
    }
    return names;
}

} // namespace

std::vector<table_change> diff(tables const& before, tables const& after)
{
    auto const old_rows = flatten(before);
    auto const new_rows = flatten(after);
    std::vector<table_change> changes;
    for (auto const& [name, row] : old_rows) {
        auto const it = new_rows.find(name);
        if (it == new_rows.end()) {
            changes.push_back({change_kind::removed, name, {}, summary(row), {}});
            continue;
        }
        for (std::size_t i = 0; i < row.size(); ++i) {
            if (row[i].second != it->second[i].second) {
                changes.push_back(
                    {change_kind::changed, name, row[i].first, row[i].second, it->second[i].second});
            }
        }
    }
    for (auto const& [name, row] : new_rows) {
        if (!old_rows.contains(name)) {
            changes.push_back({change_kind::added, name, {}, {}, summary(row)});
        }
    }
    auto const old_order = common_routes(before, after);
    auto const new_order = common_routes(after, before);
    if (old_order != new_order) {
        changes.push_back({change_kind::changed, "routes", "order", join(old_order), join(new_order)});
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](table_change const& a, table_change const& b) { return a.row_ < b.row_; });
    return changes;
}

std::string to_string(table_change const& change)
{
    switch (change.kind_) {
    case change_kind::added:
        return "+ " + change.row_ + ": " + change.after_;
    case change_kind::removed:
        return "- " + change.row_ + ": " + change.before_;
    case change_kind::changed:
        break;
    }
    auto const shown = [](std::string const& value) { return value.empty() ? std::string{"(none)"} : value; };
    return "~ " + change.row_ + " " + change.field_ + ": " + shown(change.before_) + " -> " +
           shown(change.after_);
}

} // namespace auburnchute
