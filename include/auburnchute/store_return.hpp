#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <string_view>

namespace auburnchute {

/// \file What a VM writes to the store again, and when, after the store came back from an older copy.

/// \brief Age from which on a record is taken to be in any copy from which the store comes back: copies are
/// some seconds old.
inline constexpr millis oldest_copy{60'000};

/// \brief Time after a return in which no VM stores a new version plan, and one that was not current does not
/// go by the copy's plans: VMs that know later ones store them again meanwhile.
inline constexpr millis plan_settle_time{2'000};

/// \returns Whether a record that was written this long before the return may be lost. Thread safety of all
/// functions of this file: pure.
[[nodiscard]] constexpr bool may_be_lost(millis age) noexcept
{
    return age < oldest_copy;
}

/// \brief How long a VM waits after a return before it looks whether its member record is lost. Spread over
/// the fleet, so that the calls of all add little to the usual; VMs whose record may be lost go first.
/// \param registered_for Time since the record was written.
[[nodiscard]] millis rejoin_delay(std::string_view vm, millis registered_for) noexcept;

/// \brief What a VM is to those that store a lost plan again.
enum class plan_writer : std::uint8_t {
    first,  ///< It reads the store for all and comes before all others that do.
    reader, ///< It reads the store for all.
    other,
};

/// \returns How long after a return a VM waits before it stores a lost plan again, so that one does so for
/// all.
[[nodiscard]] millis plan_restore_delay(plan_writer writer) noexcept;

} // namespace auburnchute
