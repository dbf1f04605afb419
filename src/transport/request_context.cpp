#include "transport/request_context.hpp"

#include "transport/service_call.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <thread>
#include <utility>

namespace auburnchute {

namespace {

/// Pause between two questions whether a suspect may run.
constexpr std::chrono::milliseconds suspect_poll{20};

std::string next_request_id(member_id const& self)
{
    static std::atomic<std::uint64_t> counter{0};
    return to_string(self) + "-" + std::to_string(counter.fetch_add(1, std::memory_order_relaxed) + 1);
}

bool allows(route_row const& route, std::string const& workspace)
{
    auto const& allowed = route.workspaces_;
    return route.open_ || std::find(allowed.begin(), allowed.end(), workspace) != allowed.end();
}

bool matches(route_row const& route, route_query const& query)
{
    if (!query.model_.empty()) {
        return !route.model_.empty() &&
               (query.model_ == route.model_ || split_model_name(query.model_).base_ == route.model_);
    }
    return !route.path_.empty() && query.path_.starts_with(route.path_);
}

std::string_view title_of(std::string_view type)
{
    struct known {
        std::string_view type_;
        std::string_view title_;
    };
    static constexpr std::array titles{
        known{"bad-request", "The request could not be read"},
        known{"unauthorized", "The key is missing, unknown or withdrawn"},
        known{"forbidden", "The workspace may not make this request"},
        known{"no-route", "No route matches"},
        known{"rate-limited", "The workspace's rate is used up"},
        known{"too-late", "The request cannot start before its deadline"},
        known{"not-ready", "This VM cannot take requests now"},
        known{"quarantined", "The request has crashed an upstream"},
        known{"upstream-failed", "The upstream failed"},
        known{"log-unreachable", "The log service is not reachable"},
        known{"in-progress", "The same call is still running"},
        known{"outcome-unknown", "It is not known whether the call ran"},
        known{"key-reused", "The idempotency key was used with another body"},
    };
    auto const it =
        std::find_if(titles.begin(), titles.end(), [type](known const& k) { return k.type_ == type; });
    return it == titles.end() ? type : it->title_;
}

} // namespace

request_context begin_request(request_services& services, std::string_view traceparent)
{
    request_context context;
    auto const incoming = parse_traceparent(traceparent);
    context.parent_span_ = incoming.span_id_;
    context.trace_ = child_of(incoming);
    context.arrived_ = now(services.control_.time_source());
    context.arrived_wall_ = wall_now();
    services.control_.read([&](fleet_view const& view) { context.id_ = next_request_id(view.self_); });
    context.open_ = services.stop_.open(context.id_, context.arrived_);
    context.trail_.id_ = context.id_;
    context.trail_.kind_ = "request";
    note(services, context, "accept", "received");
    return context;
}

void note(request_services& services, request_context& context, std::string_view step, std::string what)
{
    std::string row = context.row_.row_.empty() ? std::string{} : to_string(context.row_);
    context.trail_.events_.push_back(
        {std::string{step}, std::move(what), std::move(row), now(services.control_.time_source())});
}

void write_step_span(request_services& services, request_context const& context, std::string_view step,
                     millis wall_start, std::string_view peer)
{
    std::vector<span_attribute> attributes{{"request_id", context.id_}};
    if (!peer.empty()) {
        attributes.push_back({"peer", std::string{peer}});
    }
    services.spans_.write(child_of(context.trace_), context.trace_.span_id_, step, wall_start, wall_now(),
                          attributes);
}

problem make_problem(request_context const& context, int status, std::string_view type, std::string_view step,
                     std::string detail, execution ran)
{
    problem made;
    made.status_ = status;
    made.type_ = type;
    made.title_ = title_of(type);
    made.detail_ = std::move(detail);
    made.execution_ = ran;
    made.row_ = context.row_.row_.empty() ? std::string{} : to_string(context.row_);
    made.step_ = step;
    made.request_id_ = context.id_;
    return made;
}

std::optional<problem> admit(request_services& services, request_context& context, std::string_view key,
                             route_query const& query)
{
    if (!key.empty()) {
        context.key_digest_ = salted_digest(services.config_.key_salt_, key);
    }
    auto refused = services.control_.read([&](fleet_view const& view) -> std::optional<problem> {
        if (!view.ready_) {
            auto made = make_problem(context, 503, "not-ready", "accept",
                                     "not run: this VM has not read its configuration yet");
            made.retry_after_s_ = 1;
            return made;
        }
        if (!is_usable(view, now(services.control_.time_source()))) {
            note(services, context, "authority", "lapsed");
            auto made = make_problem(context, 503, "not-ready", "authenticate",
                                     "not run: this VM cannot confirm its configuration");
            made.retry_after_s_ = 2;
            return made;
        }
        auto const& state = *view.state_;
        auto const known =
            context.key_digest_.empty() ? state.keys_.end() : state.keys_.find(context.key_digest_);
        if (known != state.keys_.end()) {
            context.workspace_ = known->second.workspace_;
        }
        route_row const* route = nullptr;
        route_row const* matched = nullptr;
        for (auto const& row : state.tables_->routes_) {
            if (!matches(row, query)) {
                continue;
            }
            matched = matched == nullptr ? &row : matched;
            if (allows(row, context.workspace_)) {
                route = &row;
                break;
            }
        }
        if (route != nullptr) {
            context.route_ = *route;
            context.row_ = {"routes", route->name_, state.tables_->version_};
            context.deadline_ = context.arrived_ + route->deadline_;
            context.ends_by_ = route->model_.empty() ? context.deadline_ + service_call_limit : no_end;
            if (auto const* const row = find_workspace(*state.tables_, context.workspace_)) {
                context.weight_ = row->weight_;
            }
        }
        if (known == state.keys_.end() && (route == nullptr || !route->open_)) {
            bool const withdrawn = state.withdrawn_keys_.contains(context.key_digest_);
            note(services, context, "authenticate",
                 context.key_digest_.empty() ? "missing_key"
                 : withdrawn                 ? "withdrawn_key"
                                             : "unknown_key");
            std::string const reason = context.key_digest_.empty() ? "a key is required"
                                       : withdrawn                 ? "the key was withdrawn"
                                                                   : "the key is not known";
            return make_problem(context, 401, "unauthorized", "authenticate", "not run: " + reason);
        }
        note(services, context, "authenticate",
             context.workspace_.empty() ? "open" : "workspace " + context.workspace_);
        if (route == nullptr) {
            note(services, context, "route", "none");
            if (matched != nullptr) {
                context.row_ = {"routes", matched->name_, state.tables_->version_};
                return make_problem(context, 403, "forbidden", "route",
                                    "not run: the row does not name workspace " + context.workspace_);
            }
            return make_problem(context, 404, "no-route", "route",
                                "not run: no route matches " +
                                    std::string{query.model_.empty() ? query.path_ : query.model_});
        }
        note(services, context, "route", "matched");
        return std::nullopt;
    });
    if (!refused && !services.stop_.may_start(context.ends_by_)) {
        return make_stop_problem(services, context);
    }
    return refused;
}

std::optional<problem> check_quarantine(request_services& services, request_context& context,
                                        std::string_view body)
{
    context.fingerprint_ = fingerprint(context.workspace_, context.route_.name_, body);
    auto verdict = services.control_.judge_request(context.fingerprint_);
    context.suspect_ = verdict == crash_verdict::suspect;
    while (verdict == crash_verdict::suspect && !services.control_.may_start_isolated(context.fingerprint_)) {
        if (now(services.control_.time_source()) >= context.deadline_) {
            return make_problem(context, 503, "too-late", "wait",
                                "not run: suspected of crashing an upstream and could not run alone in time");
        }
        if (!services.stop_.may_start(context.ends_by_)) {
            return make_stop_problem(services, context);
        }
        std::this_thread::sleep_for(suspect_poll);
        verdict = services.control_.judge_request(context.fingerprint_);
    }
    if (verdict == crash_verdict::confirmed) {
        note(services, context, "pick", "quarantined");
        return make_problem(context, 422, "quarantined", "pick",
                            "not run: this request crashed the upstreams that ran it and is blocked");
    }
    if (context.suspect_) {
        note(services, context, "pick", "isolated");
    }
    return std::nullopt;
}

std::optional<problem> reserve(request_services& services, request_context& context, std::int64_t tokens)
{
    if (context.workspace_.empty()) {
        return std::nullopt;
    }
    auto const started = wall_now();
    bool const granted = services.control_.reserve_tokens(context.workspace_, tokens, context.deadline_);
    write_step_span(services, context, "limit", started);
    if (granted) {
        context.reserved_ = tokens;
        note(services, context, "limit", "granted " + context.workspace_ + " " + std::to_string(tokens));
        return std::nullopt;
    }
    auto const retry_after = services.control_.shares().retry_after(context.workspace_, tokens);
    note(services, context, "limit",
         "refused " + context.workspace_ + " " + std::to_string(retry_after.count_));
    auto refused = make_problem(context, 429, "rate-limited", "limit",
                                "not run: workspace " + context.workspace_ +
                                    " has used its rate and burst; the request needs " +
                                    std::to_string(tokens) + " tokens");
    refused.retry_after_s_ = (retry_after.count_ + 999) / 1'000;
    return refused;
}

void use_tokens(request_services& services, request_context& context, std::int64_t tokens)
{
    auto const charged = std::min(tokens, context.reserved_);
    if (charged > 0) {
        context.reserved_ -= charged;
        services.control_.shares().used(context.workspace_, charged);
    }
}

void return_tokens(request_services& services, request_context& context)
{
    if (context.reserved_ > 0) {
        services.control_.shares().unused(context.workspace_, context.reserved_);
        note(services, context, "settle", "returned " + std::to_string(context.reserved_));
        context.reserved_ = 0;
    }
}

std::optional<problem> wait_for_place(request_services& services, request_context& context,
                                      slot_request const& wanted, slot_grant& grant)
{
    auto const started = now(services.control_.time_source());
    auto const started_wall = wall_now();
    grant = services.queue_.acquire(wanted);
    auto const waited = now(services.control_.time_source()) - started;
    write_step_span(services, context, "wait", started_wall);
    if (grant.was_cold_) {
        note(services, context, "wait", "cold " + wanted.key_.model_);
    }
    services.metrics_.observe("auburnchute_wait_ms", wanted.key_.pool_, waited);
    bool const log_down = services.control_.read(
        [](fleet_view const& view) { return view.authority_ != authority::fresh_log; });
    std::string const cold_hint =
        grant.was_cold_ && log_down ? "; the model is not loaded and the log service is not reachable" : "";
    auto const allowed = wanted.deadline_ - context.arrived_;
    switch (grant.verdict_) {
    case slot_verdict::granted:
        if (waited.count_ > 0) {
            note(services, context, "wait", "served " + std::to_string(waited.count_));
        }
        if (grant.replica_.empty()) {
            note(services, context, "pick", "service " + grant.upstream_);
        } else {
            note(services, context, "pick", "replica " + grant.replica_ + " " + grant.upstream_);
        }
        return std::nullopt;
    case slot_verdict::too_late: {
        note(services, context, "wait",
             "estimate " + std::to_string(grant.expected_wait_.count_) + " " +
                 std::to_string(allowed.count_));
        auto refused = make_problem(context, 503, "too-late", "wait",
                                    "not run: the request could not start within " +
                                        std::to_string(allowed.count_) + " ms" + cold_hint);
        refused.retry_after_s_ = std::max<std::int64_t>(1, grant.expected_wait_.count_ / 1'000);
        return refused;
    }
    case slot_verdict::queue_full: {
        auto refused = make_problem(context, 503, "too-late", "wait",
                                    "not run: too many requests wait in pool " + wanted.key_.pool_);
        refused.retry_after_s_ = 1;
        return refused;
    }
    case slot_verdict::stopping:
        return make_stop_problem(services, context);
    case slot_verdict::no_version:
        note(services, context, "wait", "no_version");
        return make_problem(
            context, 502, "upstream-failed", "relay",
            "no upstream is left that can continue the answer with the software version that began it",
            execution::ran);
    case slot_verdict::expired:
        break;
    }
    note(services, context, "wait", "deadline " + std::to_string(waited.count_));
    auto refused = make_problem(context, 503, "too-late", "wait",
                                "not run: no place came free within " + std::to_string(allowed.count_) +
                                    " ms" + cold_hint);
    refused.retry_after_s_ = 1;
    return refused;
}

problem make_stop_problem(request_services const& services, request_context const& context, execution ran)
{
    if (ran != execution::not_run) {
        return make_problem(context, 503, "not-ready", "relay", "this VM stops before the answer is whole",
                            ran);
    }
    bool const other_vm_is_ready = services.control_.read([](fleet_view const& view) {
        return std::any_of(view.state_->members_.begin(), view.state_->members_.end(), [&](auto const& item) {
            return item.first != view.self_ && item.second.status_ == member_status::live;
        });
    });
    auto refused = make_problem(context, 503, "not-ready", "accept",
                                "not run: this VM is stopping; ask /v1/entries for another");
    refused.retry_after_s_ = (services.stop_.retry_after(other_vm_is_ready).count_ + 999) / 1'000;
    return refused;
}

std::optional<problem> must_end(request_services& services, request_context const& context)
{
    if (services.stop_.is_closing()) {
        return make_stop_problem(services, context, execution::ran);
    }
    return services.control_.read([&](fleet_view const& view) -> std::optional<problem> {
        if (!context.route_.open_ && !view.state_->keys_.contains(context.key_digest_)) {
            return make_problem(context, 401, "unauthorized", "relay", "the key was withdrawn",
                                execution::ran);
        }
        auto const time = now(services.control_.time_source());
        bool const lapsed = view.authority_ == authority::lapsed && view.lapsed_since_.count_ > 0 &&
                            time >= view.lapsed_since_ + stream_grace;
        if (lapsed || time >= view.published_at_ + stream_grace) {
            return make_problem(context, 503, "not-ready", "relay",
                                "this VM cannot confirm its configuration", execution::ran);
        }
        return std::nullopt;
    });
}

std::optional<problem> must_not_start(request_services& services, request_context const& context,
                                      execution ran)
{
    if (!services.stop_.may_start(context.ends_by_)) {
        return make_stop_problem(services, context, ran);
    }
    if (auto ended = must_end(services, context)) {
        return ended;
    }
    bool const usable = services.control_.read(
        [&](fleet_view const& view) { return is_usable(view, now(services.control_.time_source())); });
    if (usable) {
        return std::nullopt;
    }
    return make_problem(context, 503, "not-ready", "wait", "this VM cannot confirm its configuration");
}

void end_request(request_services& services, request_context& context, std::string_view outcome)
{
    return_tokens(services, context);
    context.trail_.outcome_ = outcome;
    context.trail_.row_ = context.row_.row_.empty() ? std::string{} : to_string(context.row_);
    std::vector<span_attribute> const attributes{{"request_id", context.id_},
                                                 {"row", context.trail_.row_},
                                                 {"workspace", context.workspace_},
                                                 {"outcome", std::string{outcome}}};
    services.spans_.write(context.trace_, context.parent_span_, "request", context.arrived_wall_, wall_now(),
                          attributes);
    services.metrics_.count("auburnchute_requests_total", outcome);
    services.trails_.put(std::move(context.trail_));
}

} // namespace auburnchute
