#include "transport/entry/planned_stop.hpp"

#include "protocol/decision_log.hpp"

#include <algorithm>

namespace auburnchute {

namespace {

/// Pause between two looks at what is still open.
constexpr millis look_pause{10};

/// Least time of the last phase: what came while the process was paused or busy is read and refused.
constexpr millis least_closing_time{50};

bool all_idle(session_set const& sessions)
{
    return std::all_of(sessions.begin(), sessions.end(),
                       [](open_session const* session) { return session->state() == session_state::idle; });
}

/// Names what the end of the process takes from callers all the same.
void log_unanswered(entry_node& node, millis now)
{
    for (auto const* const session : *node.sessions_) {
        if (owes_answer(*session)) {
            node.counters_.count("auburnchute_requests_total", "unanswered");
            log_failure("request-unanswered", {{"id", session->request_id()},
                                               {"state", to_text(session->state())},
                                               {"upstream", session->upstream_id()},
                                               {"ms", (now - session->state_since()).count_}});
        }
    }
}

} // namespace

net::awaitable<void> stop_gracefully(entry_node& node)
{
    auto& plan = *node.stop_;
    log_decision("stop",
                 {{"open", open_requests(*node.sessions_)},
                  {"connections", node.sessions_->size()},
                  {"lag_ms", (plan.began_at_ + node.settings_.shutdown_grace_ - plan.killed_at_).count_},
                  {"answers_ms", (plan.answers_until_ - plan.began_at_).count_},
                  {"ends_ms", (plan.ends_at_ - plan.began_at_).count_}});
    node.stop_placing_();
    node.send_state_(message_targets::all);
    wake_waiting(node);
    for (auto* const session : *node.sessions_) {
        session->end_late_upload();
    }
    while (boot_now() < plan.answers_until_ &&
           (boot_now() < plan.quiet_from_ || open_requests(*node.sessions_) > 0)) {
        co_await pause_for(std::min(look_pause, plan.answers_until_ - boot_now()));
    }
    begin_closing(plan, boot_now());
    log_decision("stop-closing", {{"open", open_requests(*node.sessions_)},
                                  {"connections", node.sessions_->size()},
                                  {"ms", (plan.answers_until_ - plan.began_at_).count_}});
    // The port and idle connections stay open, so that whoever comes yet is refused and not cut off.
    auto const least_end = std::min(plan.ends_at_, boot_now() + least_closing_time);
    while (boot_now() < least_end || (boot_now() < plan.ends_at_ && !all_idle(*node.sessions_))) {
        for (auto* const session : *node.sessions_) {
            session->end_request();
        }
        co_await pause_for(std::min(look_pause, std::max(millis{1}, plan.ends_at_ - boot_now())));
    }
    auto const now = boot_now();
    log_unanswered(node, now);
    log_decision("stopped", {{"open", open_requests(*node.sessions_)},
                             {"connections", node.sessions_->size()},
                             {"ms", (now - plan.began_at_).count_}});
    for (auto* const session : *node.sessions_) {
        session->abort();
    }
    // Each session names its request in the log.
    while (!node.sessions_->empty() && boot_now() < now + plan.unwinding_) {
        co_await pause_for(millis{1});
    }
    node.loop_.stop();
}

} // namespace auburnchute
