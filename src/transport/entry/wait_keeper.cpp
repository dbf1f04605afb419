#include "transport/entry/wait_keeper.hpp"

#include "protocol/decision_log.hpp"
#include "transport/entry/version_keeper.hpp"

#include <algorithm>

namespace auburnchute {

namespace {

constexpr int unavailable = 503;

turn turn_of(forward_job const& job) noexcept
{
    return {job.urgency_, job.arrived_, job.first_deadline_};
}

turn turn_of(waiting_call const& call) noexcept
{
    return call.job_ != nullptr ? turn_of(*call.job_) : turn{call.urgency_, call.arrived_, call.deadline_};
}

/// Requests with the same key wait for the same upstreams. Those of a plain service take any model's.
need_key pace_key(forward_job const& job)
{
    return {job.service_, job.engine_ != nullptr ? job.call_.model_ : std::string{}, ""};
}

bool could_use(entry_node const& node, forward_job const& job, upstream const& entry, millis now)
{
    if (job.service_ != entry.service_) {
        return false;
    }
    if (job.engine_ != nullptr && !job.call_.model_.empty()) {
        auto const* const placement = find_placement(node.placements_, entry.id_, now);
        if (!is_usable(entry, placement != nullptr ? &placement->placement_ : nullptr, job.call_.model_,
                       job.call_.adapter_)) {
            return false;
        }
    }
    auto const bound = version_for(node, job, now);
    return bound.fault_ == version_fault::none &&
           (!bound.version_ || *bound.version_ == entry.software_version_);
}

} // namespace

bool waits_by_turn(entry_node const& node, choice const& chosen)
{
    return chosen.fault_ == choice_fault::all_full && serves_contested_load(node);
}

bool yields_room(entry_node const& node, forward_job const& job, upstream const& entry, millis now)
{
    if (node.waiting_.empty() || !job.used_.empty() || !serves_contested_load(node)) {
        return false;
    }
    auto const first = std::find_if(node.waiting_.begin(), node.waiting_.end(), [&](auto const* call) {
        return call->job_ != nullptr && call->job_ != &job &&
               goes_before(turn_of(*call), turn_of(job), now) && could_use(node, *call->job_, entry, now);
    });
    if (first == node.waiting_.end()) {
        return false;
    }
    node.counters_.count("auburnchute_yielded_requests_total");
    log_decision("yielded", {{"id", job.call_.request_id_},
                             {"to", (*first)->job_->call_.request_id_},
                             {"upstream", entry.id_},
                             {"urgency", job.urgency_},
                             {"first_urgency", (*first)->urgency_}});
    return true;
}

void note_room(entry_node& node, forward_job const& job, millis now)
{
    if (serves_contested_load(node)) {
        note_end(node.paces_[pace_key(job)], now);
    }
}

std::optional<own_answer> refuse_wait(entry_node& node, forward_job const& job, millis now)
{
    auto const key = pace_key(job);
    auto const before = std::count_if(node.waiting_.begin(), node.waiting_.end(), [&](auto const* call) {
        return call->job_ != nullptr && pace_key(*call->job_) == key &&
               goes_before(turn_of(*call), turn_of(job), now);
    });
    auto const verdict = judge_wait(turn_of(job), node.paces_[key], static_cast<std::size_t>(before), now);
    if (!verdict.rejected_) {
        return std::nullopt;
    }
    log_failure("no-room-in-time", {{"id", job.call_.request_id_},
                                    {"model", job.call_.model_},
                                    {"urgency", job.urgency_},
                                    {"before", before},
                                    {"waited_ms", (now - job.arrived_).count_},
                                    {"left_ms", (job.first_deadline_ - now).count_},
                                    {"retry_ms", verdict.retry_after_.count_}});
    return own_answer{unavailable, "upstreams-full", verdict.retry_after_};
}

void sort_by_turn(entry_node& node, millis now)
{
    node.waiting_.sort([now](waiting_call const* a, waiting_call const* b) {
        return goes_before(turn_of(*a), turn_of(*b), now);
    });
}

} // namespace auburnchute
