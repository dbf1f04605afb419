#include <auburnchute/wait_order.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace auburnchute {

namespace {

/// Requests that must have ended lately before their pace counts; fewer may be one burst.
constexpr double least_ends = 3.0;

/// Shortest time that a new pace covers, in ms; requests that end together are no pace.
constexpr std::int64_t least_span_ms = 1'000;

/// Shortest and longest wait told to a caller whose request found no room.
constexpr millis least_retry{200};
constexpr millis longest_retry{60'000};

double decayed(room_pace const& pace, millis now) noexcept
{
    auto const age = static_cast<double>(std::max<std::int64_t>(0, (now - pace.updated_at_).count_));
    return pace.ended_ * std::exp(-age / static_cast<double>(pace_time.count_));
}

std::int64_t rank(turn const& of, millis now) noexcept
{
    auto const patience = of.patience_until_ - of.arrived_;
    return (now - of.arrived_) * 4 >= patience * 3 ? 0 : of.urgency_;
}

} // namespace

bool goes_before(turn const& first, turn const& second, millis now) noexcept
{
    auto const of_first = rank(first, now);
    auto const of_second = rank(second, now);
    return std::tie(of_first, first.arrived_) < std::tie(of_second, second.arrived_);
}

void note_end(room_pace& pace, millis now) noexcept
{
    if (pace.since_ == millis{0}) {
        pace.since_ = now;
    }
    pace.ended_ = decayed(pace, now) + 1;
    pace.updated_at_ = std::max(now, pace.updated_at_);
}

std::optional<millis> expected_wait(room_pace const& pace, std::size_t before, millis now) noexcept
{
    auto const ended = decayed(pace, now);
    if (ended < least_ends) {
        return std::nullopt;
    }
    auto const time_constant = static_cast<double>(pace_time.count_);
    auto const span = static_cast<double>(std::max<std::int64_t>(least_span_ms, (now - pace.since_).count_));
    auto const covered = time_constant * (1 - std::exp(-span / time_constant)); // less right after the start
    return millis{static_cast<std::int64_t>(std::ceil(static_cast<double>(before + 1) * covered / ended))};
}

wait_verdict judge_wait(turn const& request, room_pace const& pace, std::size_t before, millis now) noexcept
{
    auto const wait = expected_wait(pace, before, now);
    bool const rejected = wait ? now + *wait >= request.patience_until_
                               : (now - request.arrived_) * 2 > request.patience_until_ - request.arrived_;
    return {rejected, std::clamp(wait.value_or(least_retry), least_retry, longest_retry)};
}

} // namespace auburnchute
