#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace auburnchute {

/// \brief One VM's copy of a workspace's token bucket that all VMs spend from.
///
/// Each VM charges its own use at once and that of its peers as their messages tell it, so the copies differ
/// only by what was spent within a message's delay. A VM that does not hear some peers uses only its part of
/// the rate: `share` below is the part of the members that it hears, itself included.
struct shared_bucket {
    double rate_{};  ///< Units a second over all VMs; 0: no limit.
    double burst_{}; ///< Units at once over all VMs.
    double level_{}; ///< Units that may be spent now; below 0 after peers spent at the same time.
    millis refilled_at_{};
};

/// \brief Takes over the limits of a new configuration. A lower burst takes effect at once; a limit that is
/// new starts with a full bucket. Thread safety of all functions that change a bucket: the caller owns it.
void set_limit(shared_bucket& bucket, double rate, double burst, millis now) noexcept;

/// \brief Adds what the rate earned since the last call. \pre `0 < share <= 1`.
void refill(shared_bucket& bucket, double share, millis now) noexcept;

/// \brief Spends units for a request, if they are there. A request that is larger than the burst needs a full
/// bucket. \returns False, with nothing spent, if they are not. \pre As `refill`.
[[nodiscard]] bool spend(shared_bucket& bucket, double units, double share, millis now) noexcept;

/// \brief Books units that a peer spent, or, if negative, that it gave back.
void book_peer_use(shared_bucket& bucket, double units) noexcept;

/// \brief Units of a peer's use that were charged here, by workspace.
using booked_use = std::map<std::string, std::int64_t, std::less<>>;

/// \brief Notes a peer's use. \param used What it has spent since its start. \param first The message is the
/// first of that process: what it spent before belongs to the past of this VM. \returns The units to charge
/// now, also for a workspace that this VM does not know yet.
[[nodiscard]] double newly_used(booked_use& booked, std::string const& workspace, std::int64_t used,
                                bool first);

/// \brief Takes over the level that a peer tells in its first message. Only a VM that has just started does:
/// it does not know what the others spent before. One that runs knows more than a peer that has just started.
void join_level(shared_bucket& bucket, double peer_level, millis own_age) noexcept;

/// \brief How long a VM counts as just started: every peer's first message has come by then.
inline constexpr millis joining_time{2'000};

/// \returns How long the bucket needs to hold these units, if nobody spends meanwhile. Thread safety: pure.
[[nodiscard]] millis time_until(shared_bucket const& bucket, double units, double share) noexcept;

} // namespace auburnchute
