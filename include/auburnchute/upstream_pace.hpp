#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <string_view>

namespace auburnchute {

/// \brief Requests that a process may hold at first: one, and one more, so that a single lost answer does not
/// leave it idle.
inline constexpr std::int64_t first_window = 2;

/// \brief Failures and refusals in a row, with no answer between, after which a process counts as one that
/// has to recover.
inline constexpr int failures_before_pace = 2;

/// \brief For how long a VM tells its part of a window that has reached the slots, so that all VMs see it.
inline constexpr millis ended_pace_told{2'000};

/// \brief A pace without any answer for so long is given up: nothing more can be learned of it.
inline constexpr millis silent_pace_limit{30'000};

/// \brief Why a process gets requests at a pace.
enum class pace_cause : std::uint8_t { started, failed, held, told };

/// \returns The cause's name in logs. Thread safety: pure.
[[nodiscard]] std::string_view name_of(pace_cause cause) noexcept;

/// \brief This VM's part in the pace of one process of an upstream. Thread safety: the caller owns it.
struct upstream_pace {
    std::int64_t started_at_{}; ///< Of the process; see `upstream`.
    bool open_{};               ///< The window limits requests.
    std::int64_t credit_{};     ///< This VM's part of the window: answers in time less late ones.
    int failures_{};            ///< In a row.
    millis changed_at_{};       ///< Last answer, start or end.
};

/// \brief What all VMs know of a process's pace, summed.
struct fleet_pace {
    std::int64_t pacers_{}; ///< VMs for which it is open.
    std::int64_t credit_{};
};

/// \brief How a request to the process ended.
enum class pace_signal : std::uint8_t { in_time, late, refused, failed };

/// \returns The requests that the process may hold now: at least one, at most its slots. Thread safety: pure.
[[nodiscard]] std::int64_t window_of(fleet_pace const& fleet, std::int64_t slots) noexcept;

/// \returns Whether the window limits requests now. Thread safety: pure.
[[nodiscard]] bool is_paced(fleet_pace const& fleet, std::int64_t slots) noexcept;

/// \brief Begins a pace for a process; one of an earlier process is forgotten.
void open_pace(upstream_pace& own, std::int64_t started_at, millis now) noexcept;

/// \brief Books the end of a request. In time, the window opens by one if at least a quarter of it was used;
/// so it doubles in a round, as in TCP's slow start. A late answer closes it by one and a refusal or failure
/// by two, so that a round of late answers closes it whatever the number of VMs that see them. \param fleet
/// Of all VMs, this one's part included. \param held Requests at the process when it was sent. \returns
/// Whether the pace ended as the window has reached the slots.
bool note_pace(upstream_pace& own, fleet_pace const& fleet, pace_signal signal, std::int64_t held,
               std::int64_t slots, millis now) noexcept;

/// \brief Books a failure, refusal or answer of a process without a pace. \returns Whether it has to recover,
/// so that a pace begins.
bool note_unpaced(upstream_pace& own, pace_signal signal) noexcept;

/// \brief Ends a pace that other VMs have ended or of which nothing was heard for long, and forgets its part.
/// \returns Whether it ended now.
bool settle_pace(upstream_pace& own, fleet_pace const& fleet, std::int64_t slots, millis now) noexcept;

/// \returns This VM's part, as it tells it to others.
[[nodiscard]] fleet_pace own_part(upstream_pace const& own) noexcept;

} // namespace auburnchute
