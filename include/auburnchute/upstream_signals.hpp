#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <optional>

namespace auburnchute {

/// \brief What an upstream's answer says of the process that gave it, besides the answer itself.
struct answer_signals {
    bool leaving_{};                      ///< The process leaves and wants no new requests.
    std::optional<millis> retry_after_{}; ///< It wants nothing from this VM for so long.
};

/// \brief Longest time for which a process keeps this VM from sending to it; a longer one makes no sense.
/// After each time that it asked for, one request tries first.
inline constexpr millis max_hold{86'400'000};

/// \brief Time after which a request that was neither answered nor turned away no longer keeps others from
/// its upstream: one that wants none says so at once, and an answer may take seconds.
inline constexpr millis try_limit{300};

/// \brief What the processes of an upstream have asked of this VM. Thread safety: the caller owns it.
struct upstream_signals {
    std::int64_t started_at_{}; ///< Of the process to which the fields apply.
    bool leaving_{};
    millis hold_until_{};
    bool untried_{};       ///< It has asked for time and not answered otherwise since.
    bool hold_cut_{};      ///< It wanted nothing for `max_hold` or longer.
    millis trying_from_{}; ///< Since when a request tries whether it takes any again; 0: none does.
};

/// \brief Whether a process may be sent requests, orders and probes.
enum class upstream_access : std::uint8_t {
    open,
    held,    ///< Not before `hold_until_`.
    trying,  ///< Not until a request has shown whether it takes any again.
    leaving, ///< Not before it starts anew.
};

/// \brief Takes over the signals of an answer. \param started_at Of the process that gave it; an earlier one
/// than known says nothing. \returns Whether the process newly said that it leaves.
bool note_signals(upstream_signals& known, std::int64_t started_at, answer_signals const& signals,
                  millis now) noexcept;

/// \brief Books that a request is sent to a process that may be used. \returns Whether the request tries for
/// all others; the caller then ends that by `end_try`.
bool begin_try(upstream_signals& known, std::int64_t started_at, millis now) noexcept;

/// \brief Ends a try. \param answered The process has answered the request, and asked for no time.
void end_try(upstream_signals& known, std::int64_t started_at, bool answered) noexcept;

/// \returns Whether the process may be used. \param started_at Of the process, by the upstream's entry.
/// Thread safety: pure.
[[nodiscard]] upstream_access access_of(upstream_signals const& known, std::int64_t started_at,
                                        millis now) noexcept;

} // namespace auburnchute
