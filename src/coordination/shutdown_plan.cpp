#include <auburnchute/shutdown_plan.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// Time for the last answers to reach their callers, at most.
constexpr millis closing_time{500};

/// Time between the end of the process and the kill, at most: the sessions end, log lines.
constexpr millis exit_margin{300};

/// Least time of the last phase of a stop whose signal was taken late.
constexpr millis least_closing_time{50};

/// Time between two looks in which the process was neither paused nor busy.
constexpr millis usual_lag{60};

/// Longest time by which a signal counts as taken late.
constexpr millis longest_lag{500};

/// Largest part of the grace time for it.
constexpr std::int64_t lag_parts = 4;

/// Part of the time before the kill that the sessions have to end.
constexpr std::int64_t unwinding_parts = 3;

/// Largest part of the grace time for each of the two: answers have at least five sixths of it.
constexpr std::int64_t margin_parts = 12;

/// Directory answers that a caller may use one after the other before it asks another VM.
constexpr std::int64_t directory_answers = 2;

/// A stopping daemon without open requests waits this long for callers that have not asked the directory
/// again.
constexpr millis quiet_before_end{1'000};

/// Until a new process serves: it starts, and reads the configuration.
constexpr millis restart_time{1'000};

/// Time before the kill in which the process ends at the latest.
millis least_margin(shutdown_plan const& plan) noexcept
{
    return plan.unwinding_ * 2;
}

} // namespace

millis signal_time(millis now, millis looked_at, millis grace) noexcept
{
    if (now - looked_at <= usual_lag) {
        return now;
    }
    // A long pause need not have begun with the signal, and requests that can still end would be given up.
    return std::max(looked_at, now - std::min(longest_lag, grace / lag_parts));
}

shutdown_plan plan_shutdown(millis now, millis signal_at, millis grace, millis directory_lifetime) noexcept
{
    auto const margin = std::min(exit_margin, grace / margin_parts);
    auto const closing = std::min(closing_time, grace / margin_parts);
    shutdown_plan plan{
        .began_at_ = now, .unwinding_ = margin / unwinding_parts, .killed_at_ = signal_at + grace};
    auto const latest_end = plan.killed_at_ - least_margin(plan);
    plan.ends_at_ = std::min(now + grace - margin, latest_end);
    plan.answers_until_ = std::max(
        now, std::min(now + grace - margin - closing, latest_end - std::min(closing, least_closing_time)));
    plan.quiet_from_ =
        std::min(plan.answers_until_, now + directory_lifetime * directory_answers + quiet_before_end);
    return plan;
}

void begin_closing(shutdown_plan& plan, millis now) noexcept
{
    auto const closing = plan.ends_at_ - plan.answers_until_;
    auto const latest_end = plan.killed_at_ - least_margin(plan);
    plan.closing_ = true;
    plan.answers_until_ = now;
    plan.ends_at_ = now + closing;
    if (now < latest_end) { // else the kill does not come on time
        plan.ends_at_ = std::min(plan.ends_at_, latest_end);
    }
}

bool can_end_in_time(shutdown_plan const& plan, millis deadline) noexcept
{
    return !plan.closing_ && deadline <= plan.answers_until_;
}

millis stop_retry_after(shutdown_plan const& plan, millis now, bool other_vm_is_ready) noexcept
{
    return other_vm_is_ready ? millis{0} : std::max(millis{0}, plan.ends_at_ - now) + restart_time;
}

} // namespace auburnchute
