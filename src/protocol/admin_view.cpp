#include "protocol/admin_view.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

using nlohmann::json;

std::string text_of(json const& value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    return value.is_null() ? "-" : value.dump();
}

std::string cell(json const& row, char const* name)
{
    auto const it = row.find(name);
    auto text = it == row.end() ? std::string{"-"} : text_of(*it);
    return text.empty() ? "-" : text;
}

/// Lines of equal columns, wide enough for the longest cell.
std::string columns(std::vector<std::vector<std::string>> const& lines)
{
    std::vector<std::size_t> widths;
    for (auto const& line : lines) {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (auto const& line : lines) {
        std::string shown;
        for (std::size_t i = 0; i < line.size(); ++i) {
            shown += "  ";
            shown += line[i];
            shown.append(widths[i] - line[i].size(), ' ');
        }
        shown.erase(shown.find_last_not_of(' ') + 1);
        text += shown + '\n';
    }
    return text;
}

struct column {
    char const* title_;
    char const* member_;
};

std::string section(json const& status, char const* title, char const* member,
                    std::vector<column> const& shown)
{
    std::vector<std::vector<std::string>> lines(1);
    for (auto const& one : shown) {
        lines.front().emplace_back(one.title_);
    }
    for (auto const& row : status.at(member)) {
        auto& line = lines.emplace_back();
        for (auto const& one : shown) {
            line.push_back(cell(row, one.member_));
        }
    }
    return std::string{"\n"} + title + '\n' + (lines.size() == 1 ? "  none\n" : columns(lines));
}

} // namespace

std::vector<member_behind> members_behind(json const& status, std::uint64_t offset)
{
    std::vector<member_behind> behind;
    for (auto const& member : status.at("members")) {
        auto const next = member.value("next_offset", std::uint64_t{0});
        if (member.at("status") != "gone" && next <= offset) {
            behind.push_back(
                {member.at("vm").get<std::string>(), next, member.value("heard_ms_ago", std::int64_t{0})});
        }
    }
    return behind;
}

std::vector<std::string> members_to_ask(json const& status, std::string_view id)
{
    std::vector<std::string> first;
    std::vector<std::string> others;
    for (auto const& member : status.at("members")) {
        auto const address = member.value("admin", std::string{});
        if (address.empty() || member.at("status") == "gone") {
            continue;
        }
        bool const made_it = id.starts_with(member.at("vm").get<std::string>() + "-");
        (made_it ? first : others).push_back(address);
    }
    first.insert(first.end(), others.begin(), others.end());
    return first;
}

std::string show_status(json const& status)
{
    auto const& log = status.at("log");
    std::string text = "VM " + cell(status, "vm") + ", incarnation " + cell(status, "incarnation") +
                       ", ready: " + cell(status, "ready") + ", authority: " + cell(status, "authority") +
                       '\n';
    text += "log: next offset " + cell(log, "next_offset") + ", read " + cell(log, "age_ms") +
            " ms ago, reachable: " + cell(log, "reachable") + '\n';
    text += "tables: version " + cell(status, "tables_version") + '\n';
    text += "shares: version " + cell(status, "share_version");
    auto const pending = status.value("share_pending", std::uint64_t{0});
    text += pending == 0 ? "\n" : ", version " + std::to_string(pending) + " pending\n";
    text += section(status, "Members", "members",
                    {{"VM", "vm"},
                     {"zone", "availability_zone"},
                     {"status", "status"},
                     {"next offset", "next_offset"},
                     {"heard ms ago", "heard_ms_ago"},
                     {"admin", "admin"}});
    text += section(
        status, "Pools (waiting requests at this VM)", "pools",
        {{"pool", "name"}, {"kind", "kind"}, {"waiting", "waiting"}, {"oldest wait ms", "oldest_wait_ms"}});
    text += section(status, "Replicas", "replicas",
                    {{"replica", "replica"},
                     {"pool", "pool"},
                     {"model", "model"},
                     {"adapter", "adapter"},
                     {"upstream", "upstream"},
                     {"status", "status"},
                     {"memory MB", "memory_mb"}});
    text += section(status, "Upstreams", "upstreams",
                    {{"upstream", "upstream"},
                     {"zone", "availability_zone"},
                     {"memory MB", "memory_mb"},
                     {"reserved MB", "reserved_mb"},
                     {"running", "running"},
                     {"drained", "drained"},
                     {"leaving", "leaving"}});
    text += section(status, "Shares of this VM (units of 1,000,000)", "workspaces",
                    {{"workspace", "workspace"},
                     {"units", "units"},
                     {"tokens", "tokens"},
                     {"outstanding", "outstanding"}});
    return text;
}

std::string show_keys(json const& answer)
{
    std::vector<std::vector<std::string>> lines{{"workspace", "name", "digest"}};
    for (auto const& key : answer.at("keys")) {
        lines.push_back({cell(key, "workspace"), cell(key, "name"), cell(key, "digest")});
    }
    return columns(lines);
}

std::string find_digest(json const& answer, std::string_view text)
{
    // Fewer digits could name another key by accident.
    constexpr std::size_t least = 8;
    if (text.size() < least) {
        throw error{"keys", "", "give at least " + std::to_string(least) + " digits of the digest"};
    }
    std::vector<std::string> found;
    for (auto const& key : answer.at("keys")) {
        auto digest = key.at("digest").get<std::string>();
        if (digest.starts_with(text)) {
            found.push_back(std::move(digest));
        }
    }
    if (found.size() != 1) {
        throw error{"keys", "",
                    (found.empty() ? "no key in force has the digest "
                                   : "several keys have a digest that begins with ") +
                        std::string{text}};
    }
    return found.front();
}

nlohmann::ordered_json to_json(std::span<table_fault const> faults)
{
    auto list = nlohmann::ordered_json::array();
    for (auto const& fault : faults) {
        list.push_back({{"file", fault.file_},
                        {"line", fault.line_},
                        {"column", fault.column_},
                        {"field", fault.field_},
                        {"message", fault.message_}});
    }
    return list;
}

} // namespace auburnchute
