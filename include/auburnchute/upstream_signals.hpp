#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

/// \brief Longest pause after answers by which an upstream is not at its address. One such answer may be
/// false, so the pauses begin short and double while all answers say so.
inline constexpr millis longest_astray_pause{60'000};

/// \brief What the processes of an upstream have asked of this VM. Thread safety: the caller owns it.
struct upstream_signals {
    std::int64_t started_at_{}; ///< Of the process to which the fields apply.
    bool leaving_{};
    millis hold_until_{};
    bool untried_{};             ///< It has asked for time and not answered otherwise since.
    bool hold_cut_{};            ///< It wanted nothing for `max_hold` or longer.
    millis trying_from_{};       ///< Since when a request tries whether it takes any again; 0: none does.
    std::string astray_address_; ///< Where another process answered in place of this one; empty: nowhere.
    millis astray_pause_{};      ///< The present pause.
    millis astray_until_{};      ///< Its end.
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

/// \brief Takes over that the process is not at its address, as who answers there is another one. Answers to
/// requests of the same pause count once. \param first_pause Of the pauses for this process at this address.
void note_astray(upstream_signals& known, std::int64_t started_at, std::string_view address,
                 millis first_pause, millis now);

/// \brief Takes over that the process has answered.
void note_answered(upstream_signals& known, std::int64_t started_at) noexcept;

/// \returns Whether nothing is sent to the process for now, as another one answers at its address. A later
/// start or another address ends that. Thread safety: pure.
[[nodiscard]] bool is_astray(upstream_signals const& known, std::int64_t started_at, std::string_view address,
                             millis now) noexcept;

/// \returns Whether the process may be used. \param started_at Of the process, by the upstream's entry.
/// Thread safety: pure.
[[nodiscard]] upstream_access access_of(upstream_signals const& known, std::int64_t started_at,
                                        millis now) noexcept;

} // namespace auburnchute
