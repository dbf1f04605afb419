#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace auburnchute {

/// \brief What decides about the turn of a request that needs room at an upstream.
struct turn {
    std::int64_t urgency_{}; ///< 0 comes first.
    millis arrived_{};
    millis patience_until_{}; ///< When its caller no longer waits for the first part of the answer.
};

/// \returns Whether the first request gets room before the second: the more urgent one, then the earlier.
/// In the last quarter of its patience a request counts as most urgent. Thread safety: pure.
[[nodiscard]] bool goes_before(turn const& first, turn const& second, millis now) noexcept;

/// \brief The pace at which a VM's requests at a service end; their number decays exponentially.
struct room_pace {
    double ended_{};
    millis updated_at_{};
    millis since_{}; ///< When the first end was noted; 0: none was.
};

/// \brief Time constant of the pace: several answers of an engine.
inline constexpr millis pace_time{5'000};

/// \brief Notes that a request has ended. Thread safety: the caller owns `pace`.
void note_end(room_pace& pace, millis now) noexcept;

/// \returns When a request is expected to find room that so many wait before, or none if too few requests
/// ended lately to tell. Thread safety: pure.
[[nodiscard]] std::optional<millis> expected_wait(room_pace const& pace, std::size_t before,
                                                  millis now) noexcept;

/// \brief Whether a request that found no room may wait.
struct wait_verdict {
    bool rejected_{};
    millis retry_after_{}; ///< If it is rejected.
};

/// \returns A rejection once the request is not expected to find room in the time that its caller waits;
/// without a known pace, once half of that time is over. Thread safety: pure.
[[nodiscard]] wait_verdict judge_wait(turn const& request, room_pace const& pace, std::size_t before,
                                      millis now) noexcept;

} // namespace auburnchute
