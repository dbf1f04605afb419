#pragma once

#include "protocol/explain.hpp"
#include "protocol/problem.hpp"
#include "protocol/settings.hpp"
#include "protocol/trace.hpp"
#include "transport/fleet_control.hpp"
#include "transport/request_queue.hpp"
#include "transport/stop_gate.hpp"

#include <auburnchute/clock.hpp>
#include <auburnchute/memory_budget.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief The parts of the daemon that requests use.
struct request_services {
    settings const& config_;
    fleet_control& control_;
    request_queue& queue_;
    metrics& metrics_;
    trail_store& trails_;
    span_sink& spans_;
    stop_gate& stop_;
    memory_budget& memory_; ///< What requests and answers take.
};

/// \brief Ends of requests whose whole time has no limit.
inline constexpr millis no_end{std::numeric_limits<std::int64_t>::max()};

/// \brief One caller's request on its way through the steps.
///
/// Thread safety: one thread at a time.
struct request_context {
    std::string id_;
    trace_context trace_;
    std::string parent_span_;
    millis arrived_{};
    millis arrived_wall_{};
    millis deadline_{};      ///< Of the start of the answer.
    millis ends_by_{};       ///< When the answer is whole at the latest; decides whether it fits into a stop.
    std::string key_digest_; ///< Empty if no key came with the request. The key itself is not kept.
    std::string workspace_;  ///< Empty on an open route without a key.
    std::int64_t weight_{1};
    route_row route_;
    row_ref row_;
    std::string fingerprint_;
    bool suspect_{};
    std::int64_t reserved_{}; ///< Tokens reserved and not yet used or returned.
    decision_trail trail_;
    std::shared_ptr<open_request> open_;
};

/// \brief Begins a request: id, trace and deadline-independent facts.
[[nodiscard]] request_context begin_request(request_services& services, std::string_view traceparent);

/// \brief Notes a decision for `explain`. \param what A word of the vocabulary in protocol/explain.hpp with
/// its arguments.
void note(request_services& services, request_context& context, std::string_view step, std::string what);

/// \brief Writes a span for a step that has ended.
void write_step_span(request_services& services, request_context const& context, std::string_view step,
                     millis wall_start, std::string_view peer = {});

/// \brief What a request asks for, to find its route.
struct route_query {
    std::string_view model_; ///< Empty for a service call.
    std::string_view path_;
};

/// \brief Checks readiness and the key, and finds the route.
/// \param key The caller's key, or empty. It is digested and not kept.
/// \returns The refusal, or none if the request may go on.
[[nodiscard]] std::optional<problem> admit(request_services& services, request_context& context,
                                           std::string_view key, route_query const& query);

/// \brief Refuses requests that crashed an upstream, and holds suspects back until they may run alone.
[[nodiscard]] std::optional<problem> check_quarantine(request_services& services, request_context& context,
                                                      std::string_view body);

/// \brief Reserves tokens of the workspace.
[[nodiscard]] std::optional<problem> reserve(request_services& services, request_context& context,
                                             std::int64_t tokens);

/// \brief Turns reserved tokens into used ones.
void use_tokens(request_services& services, request_context& context, std::int64_t tokens);

/// \brief Returns what is still reserved.
void return_tokens(request_services& services, request_context& context);

/// \brief Waits for a place on an upstream. \returns The refusal, or none; then `grant` holds the place.
[[nodiscard]] std::optional<problem> wait_for_place(request_services& services, request_context& context,
                                                    slot_request const& wanted, slot_grant& grant);

/// \brief Makes the answer to a request for which a planned stop leaves no time: a refusal if it has not run.
[[nodiscard]] problem make_stop_problem(request_services const& services, request_context const& context,
                                        execution ran = execution::not_run);

/// \returns Why an open stream must end, or none: the key was withdrawn, the daemon's share may be used by
/// others, or a planned stop ends.
[[nodiscard]] std::optional<problem> must_end(request_services& services, request_context const& context);

/// \returns Why a request that has waited may not start, or none. Stricter than `must_end`, since it has not
/// run yet. \param ran Whether an earlier try ran.
[[nodiscard]] std::optional<problem> must_not_start(request_services& services,
                                                    request_context const& context, execution ran);

/// \brief Makes a problem with the context's row and id.
[[nodiscard]] problem make_problem(request_context const& context, int status, std::string_view type,
                                   std::string_view step, std::string detail,
                                   execution ran = execution::not_run);

/// \brief Ends a request: returns tokens, stores the explanation, counts the outcome.
void end_request(request_services& services, request_context& context, std::string_view outcome);

} // namespace auburnchute
