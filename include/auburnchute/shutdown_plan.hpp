#pragma once

#include <auburnchute/clock.hpp>

namespace auburnchute {

/// \brief The moments of a planned stop; boot clock. `docs/platform.md` has the time budget.
struct shutdown_plan {
    millis began_at_{};      ///< The stop signal.
    millis quiet_from_{};    ///< From here on, the process ends as soon as no request is open.
    millis answers_until_{}; ///< Here, what is still open is given up.
    millis ends_at_{};       ///< The process ends. Until then, last answers and refusals reach their callers.
    millis unwinding_{};     ///< Longest time after `ends_at_` for the sessions to end.
    millis killed_at_{};     ///< The end of the grace time, at the earliest.
    bool closing_{};         ///< Open requests have been given up, and nothing more is taken.
};

/// \returns When the stop signal that is taken now may have come, as the grace time counts from it: a process
/// that was paused or busy takes it late.
/// \param looked_at The last moment at which no signal had come; boot clock.
/// Thread safety: pure.
[[nodiscard]] millis signal_time(millis now, millis looked_at, millis grace) noexcept;

/// \brief Divides the grace time of a planned stop. The answers have the same part of it from now on,
/// wherever between the two moments the signal came, as far as the last phase keeps some time before the
/// kill. \param signal_at When the signal came at the earliest; at most `now`. See `signal_time`. \param
/// grace Time from the stop signal to the kill. \param directory_lifetime How long callers keep a directory
/// answer that names this VM. Thread safety: pure.
[[nodiscard]] shutdown_plan plan_shutdown(millis now, millis signal_at, millis grace,
                                          millis directory_lifetime) noexcept;

/// \brief The same for a signal that is taken at once.
[[nodiscard]] inline shutdown_plan plan_shutdown(millis now, millis grace, millis directory_lifetime) noexcept
{
    return plan_shutdown(now, now, grace, directory_lifetime);
}

/// \brief Begins the last phase: at the end of the answers' time, before it if no request is open, after it
/// if the process was paused. It has its whole time, but ends before the kill if that is still to come.
void begin_closing(shutdown_plan& plan, millis now) noexcept;

/// \returns Whether a request with this deadline is sure to end within the stop, so that it may be sent on.
/// Thread safety: pure.
[[nodiscard]] bool can_end_in_time(shutdown_plan const& plan, millis deadline) noexcept;

/// \returns When a caller that is refused may come back: at once if another VM is ready, else when the
/// successor of this process may serve.
/// Thread safety: pure.
[[nodiscard]] millis stop_retry_after(shutdown_plan const& plan, millis now, bool other_vm_is_ready) noexcept;

} // namespace auburnchute
