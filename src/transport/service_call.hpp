#pragma once

#include "transport/model_call.hpp"
#include "transport/request_context.hpp"

#include <string>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace auburnchute {

/// \brief Longest time of a call that has begun: connecting, sending, and the wait for its answer.
inline constexpr millis service_call_limit{66'000};

/// \brief Passes a call through to a plain service. Calls on routes with `repeatable: false` are claimed in
/// the log first and sent at most once. \pre The context was admitted; the key is not in the request's path
/// or body. Thread safety: may be called from several threads with different contexts.
void run_service_call(request_services& services, retry_budgets& budgets, request_context context,
                      httplib::Request const& request, httplib::Response& response);

/// \brief Writes a problem as the answer.
void answer_problem(problem const& shown, httplib::Response& response);

} // namespace auburnchute
