#include "transport/admin_front.hpp"

#include "transport/service_call.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/tables_yaml.hpp>

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <utility>

namespace auburnchute {

namespace {

/// Longest wait for a record to be folded.
constexpr millis write_limit{8'000};

constexpr std::size_t max_admin_body = 8 * 1024 * 1024;

std::string dump(nlohmann::json const& body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

problem admin_problem(int status, std::string_view type, std::string title, std::string detail,
                      execution ran = execution::not_run)
{
    problem made;
    made.status_ = status;
    made.type_ = type;
    made.title_ = std::move(title);
    made.detail_ = std::move(detail);
    made.execution_ = ran;
    made.step_ = "admin";
    return made;
}

std::string_view to_text(member_status status)
{
    switch (status) {
    case member_status::live:
        return "live";
    case member_status::leaving:
        return "leaving";
    case member_status::gone:
        break;
    }
    return "gone";
}

std::string_view to_text(replica_status status)
{
    switch (status) {
    case replica_status::loading:
        return "loading";
    case replica_status::loaded:
        return "loaded";
    case replica_status::failed:
        return "failed";
    case replica_status::unloading:
        break;
    }
    return "unloading";
}

std::string_view to_text(authority judged)
{
    switch (judged) {
    case authority::fresh_log:
        return "fresh_log";
    case authority::fresh_outage:
        return "fresh_outage";
    case authority::lapsed:
        break;
    }
    return "lapsed";
}

} // namespace

admin_front::admin_front(request_services services)
    : services_{services}, server_{std::make_unique<httplib::Server>()}, listener_{*server_}
{
    server_->set_payload_max_length(max_admin_body);
    add_routes();
}

admin_front::~admin_front()
{
    stop();
}

int admin_front::start()
{
    return listener_.start(services_.config_.admin_, "operators");
}

void admin_front::stop()
{
    listener_.stop();
}

bool admin_front::authorized(httplib::Request const& request, httplib::Response& response) const
{
    auto const header = request.get_header_value("Authorization");
    auto const expected = "Bearer " + services_.config_.operator_token_;
    bool const equal = header.size() == expected.size() &&
                       CRYPTO_memcmp(header.data(), expected.data(), expected.size()) == 0;
    if (!equal) {
        answer_problem(admin_problem(401, "unauthorized", "The operator token is missing or wrong", ""),
                       response);
    }
    return equal;
}

void admin_front::add_routes()
{
    auto const guarded = [this](auto handler) {
        return [this, handler](httplib::Request const& request, httplib::Response& response) {
            if (authorized(request, response)) {
                handler(request, response);
            }
        };
    };
    using request_type = httplib::Request;
    using response_type = httplib::Response;
    server_->Get("/admin/v1/tables",
                 guarded([this](request_type const&, response_type& response) { get_tables(response); }));
    server_->Post("/admin/v1/tables", guarded([this](request_type const& request, response_type& response) {
                      post_tables(request, response);
                  }));
    server_->Get("/admin/v1/keys",
                 guarded([this](request_type const&, response_type& response) { get_keys(response); }));
    server_->Post("/admin/v1/keys", guarded([this](request_type const& request, response_type& response) {
                      post_key(request, response);
                  }));
    server_->Delete(R"(/admin/v1/keys/([0-9a-f]+))",
                    guarded([this](request_type const& request, response_type& response) {
                        write_record(key_withdrawn{request.matches[1].str()}, response);
                    }));
    server_->Post("/admin/v1/drains", guarded([this](request_type const& request, response_type& response) {
                      post_drain(request, response);
                  }));
    server_->Get("/admin/v1/status",
                 guarded([this](request_type const&, response_type& response) { get_status(response); }));
    server_->Get(R"(/admin/v1/explain/([^/]+))",
                 guarded([this](request_type const& request, response_type& response) {
                     get_explanation(request.matches[1].str(), response);
                 }));
}

std::optional<submit_result> admin_front::write(record_body body, std::string const& what, problem refused,
                                                httplib::Response& response)
{
    auto const judged = services_.control_.read([](fleet_view const& view) { return view.authority_; });
    if (judged != authority::fresh_log) {
        answer_problem(admin_problem(503, "log-unreachable", "The log service is not reachable",
                                     "not run: try again later"),
                       response);
        return std::nullopt;
    }
    auto result = services_.control_.submit_and_wait(std::move(body), write_limit);
    if (!result.known_) {
        answer_problem(admin_problem(503, "outcome-unknown",
                                     "The log service did not confirm the " + what + " in time",
                                     "the " + what + " may still take effect", execution::unknown),
                       response);
        return std::nullopt;
    }
    if (result.verdict_.verdict_ != verdict::accepted) {
        refused.detail_ = result.verdict_.reason_;
        answer_problem(refused, response);
        return std::nullopt;
    }
    return result;
}

void admin_front::write_record(record_body body, httplib::Response& response)
{
    auto const result = write(std::move(body), "change",
                              admin_problem(422, "refused", "The change was refused", ""), response);
    if (result) {
        response.set_content(dump({{"offset", result->offset_}}), "application/json");
    }
}

void admin_front::get_tables(httplib::Response& response) const
{
    auto const current = services_.control_.read([](fleet_view const& view) { return view.state_->tables_; });
    response.set_content(dump({{"version", current->version_},
                               {"author", current->author_},
                               {"message", current->message_},
                               {"routes", routes_to_yaml(*current)},
                               {"pools", pools_to_yaml(*current)}}),
                         "application/json");
}

void admin_front::post_tables(httplib::Request const& request, httplib::Response& response)
{
    auto const json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("routes") || !json.contains("pools") ||
        !json.contains("base_version")) {
        answer_problem(
            admin_problem(400, "bad-request", "The body is not as documented", "see docs/admin-api.md"),
            response);
        return;
    }
    auto parsed = parse_tables(json.value("routes_name", "routes.yaml"), json["routes"].get<std::string>(),
                               json.value("pools_name", "pools.yaml"), json["pools"].get<std::string>());
    if (!parsed.faults_.empty()) {
        auto body = nlohmann::json::parse(to_json(
            admin_problem(422, "bad-tables", "The tables have faults", to_string(parsed.faults_.front()))));
        for (auto const& fault : parsed.faults_) {
            body["faults"].push_back({{"file", fault.file_},
                                      {"line", fault.line_},
                                      {"column", fault.column_},
                                      {"field", fault.field_},
                                      {"message", fault.message_}});
        }
        response.status = 422;
        response.set_content(dump(body), std::string{problem_content_type});
        return;
    }
    tables_published body;
    body.base_version_ = json["base_version"].get<std::uint64_t>();
    body.tables_ = std::move(parsed.tables_);
    body.tables_.author_ = json.value("author", "");
    body.tables_.message_ = json.value("message", "");
    auto const before =
        services_.control_.read([](fleet_view const& view) { return view.state_->tables_->version_; });
    auto const result =
        write(std::move(body), "tables",
              admin_problem(409, "version-conflict", "Another version is in force", ""), response);
    if (!result) {
        return;
    }
    auto const version =
        services_.control_.read([](fleet_view const& view) { return view.state_->tables_->version_; });
    response.set_content(
        dump({{"version", version}, {"offset", result->offset_}, {"changed", version != before}}),
        "application/json");
}

void admin_front::get_keys(httplib::Response& response) const
{
    nlohmann::json body{{"salt", services_.config_.key_salt_}, {"keys", nlohmann::json::array()}};
    services_.control_.read([&](fleet_view const& view) {
        for (auto const& [digest, entry] : view.state_->keys_) {
            body["keys"].push_back(
                {{"digest", digest}, {"workspace", entry.workspace_}, {"name", entry.name_}});
        }
    });
    response.set_content(dump(body), "application/json");
}

void admin_front::post_key(httplib::Request const& request, httplib::Response& response)
{
    constexpr std::size_t digest_length = 64;
    auto const json = nlohmann::json::parse(request.body, nullptr, false);
    auto const digest = json.is_object() ? json.value("digest", "") : std::string{};
    if (digest.size() != digest_length || digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
        answer_problem(admin_problem(400, "bad-request", "The digest must be 64 hexadecimal digits", ""),
                       response);
        return;
    }
    write_record(key_granted{digest, json.value("workspace", ""), json.value("name", "")}, response);
}

void admin_front::post_drain(httplib::Request const& request, httplib::Response& response)
{
    auto const json = nlohmann::json::parse(request.body, nullptr, false);
    auto const target = json.is_object() ? json.value("target", "") : std::string{};
    bool const known = services_.control_.read([&](fleet_view const& view) {
        auto const& members = view.state_->members_;
        return view.state_->upstreams_.contains(target) ||
               std::any_of(members.begin(), members.end(),
                           [&](auto const& item) { return item.first.vm_ == target; });
    });
    if (!known) {
        answer_problem(admin_problem(422, "refused", "The VM is not known",
                                     "no upstream or entry VM is named " + target),
                       response);
        return;
    }
    write_record(drain_set{target, json.value("drained", true)}, response);
}

void admin_front::get_status(httplib::Response& response) const
{
    auto const& control = services_.control_;
    auto const peers = control.peers();
    auto const time = now(control.time_source());
    auto const queues = services_.queue_.status();
    nlohmann::json body = control.read([&](fleet_view const& view) {
        auto const& state = *view.state_;
        nlohmann::json shown{
            {"vm", view.self_.vm_},
            {"incarnation", to_string(view.self_)},
            {"ready", view.ready_},
            {"stopping", view.stopping_},
            {"authority", to_text(view.authority_)},
            {"log",
             {{"next_offset", state.next_offset_}, {"reachable", view.authority_ == authority::fresh_log}}},
            {"tables_version", state.tables_->version_},
            {"share_version", state.in_force_.number_},
            {"share_pending", state.pending_.number_}};
        for (auto const* const list :
             {"members", "pools", "replicas", "upstreams", "workspaces", "drained"}) {
            shown[list] = nlohmann::json::array();
        }
        for (auto const& [member, entry] : state.members_) {
            if (entry.status_ == member_status::gone) {
                continue;
            }
            nlohmann::json item{{"vm", member.vm_},
                                {"incarnation", to_string(member)},
                                {"availability_zone", entry.availability_zone_},
                                {"http", entry.http_},
                                {"admin", entry.admin_},
                                {"status", to_text(entry.status_)}};
            auto const known = peers.find(member);
            item["next_offset"] = member == view.self_   ? state.next_offset_
                                  : known == peers.end() ? 0
                                                         : known->second.next_offset_;
            item["heard_ms_ago"] = member == view.self_   ? 0
                                   : known == peers.end() ? -1
                                                          : (time - known->second.last_message_at_).count_;
            shown["members"].push_back(std::move(item));
        }
        for (auto const& pool : state.tables_->pools_) {
            auto const queue = queues.find(pool.name_);
            auto const waiting = queue == queues.end() ? request_queue::pool_status{} : queue->second;
            shown["pools"].push_back({{"name", pool.name_},
                                      {"kind", to_string(pool.kind_)},
                                      {"waiting", waiting.waiting_},
                                      {"oldest_wait_ms", waiting.oldest_wait_.count_}});
        }
        for (auto const& [id, replica] : state.replicas_) {
            shown["replicas"].push_back({{"replica", id},
                                         {"pool", replica.pool_},
                                         {"model", replica.model_},
                                         {"adapter", replica.adapter_},
                                         {"upstream", replica.upstream_},
                                         {"status", to_text(replica.status_)},
                                         {"memory_mb", replica.memory_mb_}});
        }
        for (auto const& [name, entry] : state.upstreams_) {
            auto const live = view.upstreams_.find(name);
            bool const is_known = live != view.upstreams_.end() && live->second.reported_once_;
            shown["upstreams"].push_back(
                {{"upstream", name},
                 {"address", entry.address_},
                 {"availability_zone", entry.availability_zone_},
                 {"memory_mb", entry.memory_mb_},
                 {"reserved_mb", reserved_memory_mb(state, name)},
                 {"running", live == view.upstreams_.end() ? 0 : live->second.reported_},
                 {"drained", state.drained_.contains(name)},
                 {"leaving", live != view.upstreams_.end() && live->second.leaving_},
                 {"software_version",
                  is_known ? nlohmann::json(live->second.software_version_) : nlohmann::json{}}});
        }
        shown["drained"] = state.drained_;
        return shown;
    });
    body["log"]["age_ms"] = control.log_age().count_;
    for (auto const& share : services_.control_.shares().status()) {
        body["workspaces"].push_back({{"workspace", share.workspace_},
                                      {"units", share.units_},
                                      {"tokens", share.tokens_},
                                      {"outstanding", share.outstanding_}});
    }
    response.set_content(dump(body), "application/json");
}

void admin_front::get_explanation(std::string const& id, httplib::Response& response) const
{
    auto const trail = services_.trails_.find(id);
    if (!trail) {
        answer_problem(
            admin_problem(404, "unknown-id", "This VM has no record of the id",
                          "records are kept in memory for the latest requests of the VM that answered"),
            response);
        return;
    }
    response.set_content(dump({{"id", trail->id_},
                               {"sentences", explain(*trail)},
                               {"row", trail->row_},
                               {"outcome", trail->outcome_}}),
                         "application/json");
}

} // namespace auburnchute
