#pragma once

#include <compare>
#include <cstdint>

namespace auburnchute {

/// \brief A position in a topic of the store.
///
/// After a failure the store may come back from an older copy. Its era rises then, and offsets are given out
/// again, so those of different eras say nothing about each other. There is no `operator<`.
struct store_position {
    std::uint64_t era_{}; ///< 0: the store states none.
    std::uint64_t offset_{};

    friend bool operator==(store_position const&, store_position const&) = default;
};

/// \returns Which of two positions comes first in the topic; `unordered` if they are of different eras.
/// Thread safety of all functions of this file: pure.
[[nodiscard]] constexpr std::partial_ordering order_of(store_position a, store_position b) noexcept
{
    return a.era_ == b.era_ ? std::partial_ordering{a.offset_ <=> b.offset_}
                            : std::partial_ordering::unordered;
}

/// \returns Whether a position is in the same era as another and not before it.
[[nodiscard]] constexpr bool reaches(store_position at, store_position other) noexcept
{
    return order_of(at, other) >= 0;
}

/// \returns Whether a record at the first position replaces one at the second that has the same key: it is of
/// a later era, or later in the same one.
[[nodiscard]] constexpr bool supersedes(store_position at, store_position other) noexcept
{
    return at.era_ > other.era_ || order_of(at, other) > 0;
}

} // namespace auburnchute
