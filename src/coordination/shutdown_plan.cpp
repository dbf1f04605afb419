#include <auburnchute/shutdown_plan.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// Time for the last answers to reach their callers, at most.
constexpr millis closing_time{500};

/// Time between the end of the process and the kill, at most: log lines, the control thread.
constexpr millis exit_margin{300};

/// Largest part of the grace time for each of the two: answers have at least five sixths of it.
constexpr std::int64_t margin_parts = 12;

/// Directory answers that a caller may use one after the other before it asks another VM.
constexpr std::int64_t directory_answers = 2;

/// A stopping daemon without open requests waits this long for callers that have not asked the directory
/// again.
constexpr millis quiet_before_end{1'000};

/// Until a new process serves: it starts, and reads the configuration.
constexpr millis restart_time{1'000};

} // namespace

shutdown_plan plan_shutdown(millis now, millis grace, millis directory_lifetime) noexcept
{
    auto const ends_at = now + grace - std::min(exit_margin, grace / margin_parts);
    auto const answers_until = ends_at - std::min(closing_time, grace / margin_parts);
    return {.began_at_ = now,
            .quiet_from_ =
                std::min(answers_until, now + directory_lifetime * directory_answers + quiet_before_end),
            .answers_until_ = answers_until,
            .ends_at_ = ends_at,
            .closing_ = false};
}

void begin_closing(shutdown_plan& plan, millis now) noexcept
{
    auto const closing = plan.ends_at_ - plan.answers_until_;
    plan.closing_ = true;
    plan.answers_until_ = now;
    plan.ends_at_ = now + closing;
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
