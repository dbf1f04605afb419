#include <auburnchute/tables.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace auburnchute {

namespace {

template <typename Row>
Row const* find_row(std::vector<Row> const& rows, std::string_view name) noexcept
{
    auto const it =
        std::find_if(rows.begin(), rows.end(), [name](Row const& row) { return row.name_ == name; });
    return it == rows.end() ? nullptr : &*it;
}

/// Collects faults; the field is named by section and index.
class checker {
public:
    explicit checker(tables const& all) : all_{all} {}

    std::vector<table_fault> run()
    {
        check_workspaces();
        check_routes();
        check_pools();
        check_store();
        return std::move(faults_);
    }

private:
    void require(bool holds, std::string field, std::string message)
    {
        if (!holds) {
            faults_.push_back({"", 0, 0, std::move(field), std::move(message)});
        }
    }

    void check_name(std::set<std::string>& seen, std::string const& name, std::string const& place)
    {
        require(!name.empty(), place + ".name", "a name is required");
        require(name.empty() || seen.insert(name).second, place + ".name",
                "the name " + name + " stands twice");
    }

    void check_positive(std::int64_t value, std::string field)
    {
        require(value <= max_table_number, field, "must be at most " + std::to_string(max_table_number));
        require(value > 0, std::move(field), "must be above 0");
    }

    void check_not_negative(std::int64_t value, std::string field)
    {
        require(value <= max_table_number, field, "must be at most " + std::to_string(max_table_number));
        require(value >= 0, std::move(field), "must not be negative");
    }

    void check_workspaces()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < all_.workspaces_.size(); ++i) {
            auto const& row = all_.workspaces_[i];
            auto const place = "workspaces[" + std::to_string(i) + "]";
            check_name(names, row.name_, place);
            check_positive(row.rate_, place + ".rate");
            check_positive(row.burst_, place + ".burst");
            check_positive(row.weight_, place + ".weight");
        }
    }

    void check_routes()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < all_.routes_.size(); ++i) {
            auto const& row = all_.routes_[i];
            auto const place = "routes[" + std::to_string(i) + "]";
            check_name(names, row.name_, place);
            check_callers(row, place);
            check_target(row, place);
            check_positive(row.deadline_.count_, place + ".deadline_ms");
            check_positive(row.max_tokens_, place + ".max_tokens");
            check_not_negative(row.cost_, place + ".cost");
        }
    }

    void check_callers(route_row const& row, std::string const& place)
    {
        require(row.open_ == row.workspaces_.empty(), place + ".workspaces",
                "name the allowed workspaces, or state `open: true` without workspaces");
        for (auto const& name : row.workspaces_) {
            require(find_workspace(all_, name) != nullptr, place + ".workspaces",
                    "workspace " + name + " does not exist");
        }
    }

    void check_target(route_row const& row, std::string const& place)
    {
        require(row.model_.empty() != row.path_.empty(), place, "state either a model or a path");
        require(row.path_.empty() || row.path_.front() == '/', place + ".path", "must begin with /");
        auto const* const pool = find_pool(all_, row.pool_);
        require(pool != nullptr, place + ".pool", "pool " + row.pool_ + " does not exist");
        if (pool == nullptr) {
            return;
        }
        bool const is_model = !row.model_.empty();
        require(is_model == (pool->kind_ == pool_kind::model), place + ".pool",
                "pool " + row.pool_ + " is of kind " + std::string{to_string(pool->kind_)});
        require(!is_model || find_model(*pool, row.model_) != nullptr, place + ".model",
                "pool " + row.pool_ + " has no model " + row.model_);
        require(row.repeatable_ || !is_model, place + ".repeatable",
                "only calls of services can be marked as not repeatable");
    }

    void check_pools()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < all_.pools_.size(); ++i) {
            auto const& row = all_.pools_[i];
            auto const place = "pools[" + std::to_string(i) + "]";
            check_name(names, row.name_, place);
            require(!row.upstreams_.empty(), place + ".upstreams", "name at least one upstream");
            check_not_negative(row.memory_mb_, place + ".memory_mb");
            check_not_negative(row.min_residence_.count_, place + ".min_residence_ms");
            check_positive(row.aging_.count_, place + ".aging_ms");
            check_not_negative(row.outage_permits_, place + ".outage_permits");
            check_positive(row.slots_, place + ".slots");
            require((row.kind_ == pool_kind::model) != row.models_.empty(), place + ".models",
                    "a pool of kind model names its models, one of kind service has none");
            check_models(row, place);
        }
    }

    void check_models(pool_row const& pool, std::string const& place)
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < pool.models_.size(); ++i) {
            auto const& row = pool.models_[i];
            auto const model_place = place + ".models[" + std::to_string(i) + "]";
            check_name(names, row.name_, model_place);
            require(row.name_.find(':') == std::string::npos, model_place + ".name",
                    "must not contain a colon");
            check_positive(row.memory_mb_, model_place + ".memory_mb");
            require(pool.memory_mb_ == 0 || row.memory_mb_ <= pool.memory_mb_, model_place + ".memory_mb",
                    "is above the pool's memory_mb " + std::to_string(pool.memory_mb_));
            check_not_negative(row.min_replicas_, model_place + ".min_replicas");
            check_not_negative(row.max_replicas_, model_place + ".max_replicas");
            require(row.max_replicas_ >= std::max<std::int64_t>(1, row.min_replicas_),
                    model_place + ".max_replicas", "must be at least 1 and at least min_replicas");
            check_positive(row.slots_, model_place + ".slots");
            check_positive(row.load_time_.count_, model_place + ".load_time_ms");
            check_not_negative(row.idle_unload_.count_, model_place + ".idle_unload_ms");
            check_adapters(row, model_place);
        }
    }

    void check_adapters(model_row const& model, std::string const& place)
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < model.adapters_.size(); ++i) {
            auto const adapter_place = place + ".adapters[" + std::to_string(i) + "]";
            check_name(names, model.adapters_[i].name_, adapter_place);
            check_positive(model.adapters_[i].memory_mb_, adapter_place + ".memory_mb");
        }
    }

    void check_store()
    {
        check_positive(all_.store_.checkpoint_transfers_, "store.checkpoint_transfers");
        check_positive(all_.store_.adapter_transfers_, "store.adapter_transfers");
    }

    tables const& all_;
    std::vector<table_fault> faults_;
};

} // namespace

std::vector<table_fault> validate(tables const& all)
{
    return checker{all}.run();
}

bool same_rows(tables const& a, tables const& b) noexcept
{
    return a.workspaces_ == b.workspaces_ && a.routes_ == b.routes_ && a.pools_ == b.pools_ &&
           a.store_ == b.store_;
}

workspace_row const* find_workspace(tables const& all, std::string_view name) noexcept
{
    return find_row(all.workspaces_, name);
}

route_row const* find_route(tables const& all, std::string_view name) noexcept
{
    return find_row(all.routes_, name);
}

pool_row const* find_pool(tables const& all, std::string_view name) noexcept
{
    return find_row(all.pools_, name);
}

model_row const* find_model(pool_row const& pool, std::string_view name) noexcept
{
    return find_row(pool.models_, name);
}

adapter_row const* find_adapter(model_row const& model, std::string_view name) noexcept
{
    return find_row(model.adapters_, name);
}

model_name split_model_name(std::string_view requested)
{
    auto const colon = requested.find(':');
    if (colon == std::string_view::npos) {
        return {std::string{requested}, {}};
    }
    return {std::string{requested.substr(0, colon)}, std::string{requested.substr(colon + 1)}};
}

bool matches_upstream(std::span<std::string const> patterns, std::string_view upstream) noexcept
{
    return std::any_of(patterns.begin(), patterns.end(), [upstream](std::string const& pattern) {
        if (!pattern.empty() && pattern.back() == '*') {
            return upstream.starts_with(std::string_view{pattern}.substr(0, pattern.size() - 1));
        }
        return upstream == pattern;
    });
}

std::string_view to_string(priority value) noexcept
{
    switch (value) {
    case priority::urgent:
        return "urgent";
    case priority::high:
        return "high";
    case priority::normal:
        return "normal";
    case priority::low:
        break;
    }
    return "low";
}

std::string_view to_string(pool_kind value) noexcept
{
    return value == pool_kind::model ? "model" : "service";
}

std::string_view to_string(locality value) noexcept
{
    return value == locality::prefer ? "prefer" : "require";
}

} // namespace auburnchute
