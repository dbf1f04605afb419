#include "protocol/problem.hpp"

#include <nlohmann/json.hpp>

namespace auburnchute {

std::string_view to_string(execution value) noexcept
{
    switch (value) {
    case execution::not_run:
        return "not_run";
    case execution::ran:
        return "ran";
    case execution::unknown:
        break;
    }
    return "unknown";
}

std::string to_json(problem const& shown)
{
    auto json = nlohmann::ordered_json::object();
    json["type"] = shown.type_.empty() ? "about:blank" : "urn:auburnchute:problem:" + shown.type_;
    json["title"] = shown.title_;
    json["status"] = shown.status_;
    auto const add = [&json](char const* name, std::string const& value) {
        if (!value.empty()) {
            json[name] = value;
        }
    };
    add("detail", shown.detail_);
    json["execution"] = to_string(shown.execution_);
    add("row", shown.row_);
    add("step", shown.step_);
    add("peer", shown.peer_);
    add("request_id", shown.request_id_);
    if (shown.retry_after_s_ >= 0) {
        json["retry_after_s"] = shown.retry_after_s_;
    }
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace auburnchute
