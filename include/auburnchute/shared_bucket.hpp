#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>

namespace auburnchute {

/// \brief One VM's copy of a workspace's token bucket that all VMs spend from.
///
/// Each VM charges its own use at once and that of its peers as their messages tell it, so the copies differ
/// only by what was spent within a message's delay. With many VMs, or a workspace that asks for several times
/// its rate, that alone could exceed the limit again and again: whenever the copies fill up, all VMs spend at
/// the same moment. So each VM also knows how much its peers are asked for, and lets only that part of the
/// requests through for which the bucket holds enough until the next messages.
/// A VM that does not hear some peers uses only its part of rate and burst: `share` below is the part of the
/// members that it hears, itself included. The copy of the whole bucket goes on meanwhile, so that nothing is
/// lost when the peers are heard again and tell what they spent.
struct shared_bucket {
    double rate_{};  ///< Units a second over all VMs; 0: no limit.
    double burst_{}; ///< Units at once over all VMs.
    double level_{}; ///< Units that may be spent now; below 0 after peers spent at the same time.
    millis refilled_at_{};
    double peer_demand_units_{}; ///< Units that peers were asked for, decayed over `demand_time_constant` up
                                 ///< to `peer_demand_updated_at_`.
    millis peer_demand_updated_at_{};
    millis peer_demand_since_{}; ///< When peers were first heard to be asked; 0: never.
    double local_share_{1.0};    ///< The part of the members that was heard at the last refill.
    double local_level_{};       ///< If that is below 1: units left of this VM's part.
};

/// \brief What a VM knows of what others spend.
struct peer_visibility {
    double share_{1.0}; ///< Part of the members that it hears, itself included. \pre `0 < share_ <= 1`.
    bool may_have_missed_updates_{}; ///< It may have missed something: until it knows the level, it earns
                                     ///< only its share.
};

/// \brief What one request asks of a bucket.
struct bucket_request {
    double units_{};
    peer_visibility visibility_;
    millis propagation_delay_{}; ///< Until this VM's use is known to its peers, and theirs here.
    double draw_{}; ///< In [0, 1), different for each request: decides when only some can be let through.
};

/// \brief Time constant over which a peer's demand is averaged: a few messages.
inline constexpr millis demand_time_constant{1'500};

/// \brief Takes over the limits of a new configuration. A lower burst takes effect at once; a limit that is
/// new starts with a full bucket. Thread safety of all functions that change a bucket: the caller owns it.
void set_limit(shared_bucket& bucket, double rate, double burst, millis now) noexcept;

/// \brief Adds what the rate earned since the last call. The part of a VM that hears fewer or more peers than
/// before begins anew with its share of what is left.
void refill(shared_bucket& bucket, peer_visibility const& visibility, millis now) noexcept;

/// \brief Spends units for a request, if they are there. A request that is larger than the burst needs a full
/// bucket. \returns False, with nothing spent, if they are not.
[[nodiscard]] bool try_spend(shared_bucket& bucket, bucket_request const& request, millis now) noexcept;

/// \brief Books what a peer was asked for since its last message, whether it let it through or not.
void record_peer_demand(shared_bucket& bucket, double units, millis now) noexcept;

/// \returns Units a second that the peers are asked for. Thread safety: pure.
[[nodiscard]] double peer_demand_rate(shared_bucket const& bucket, millis now) noexcept;

/// \brief Books units that a peer spent, or, if negative, that it gave back. What the rate earned before is
/// added first: a bucket that was full meanwhile earned nothing.
void charge_units(shared_bucket& bucket, double units, peer_visibility const& visibility,
                  millis now) noexcept;

/// \brief Leaves its part of half of the burst to a VM that has just started among others: what they spent
/// before is not known until one that runs tells, and nobody may be left who knows. \param share As in
/// `bucket_request`, with the members that it has not heard yet.
void set_restart_level(shared_bucket& bucket, double share) noexcept;

/// \brief Takes over the level that another VM tells which has missed nothing of what others spent. \pre This
/// VM may have missed something: it has just started, was paused, or hears others on another way than before.
void adopt_level(shared_bucket& bucket, double reported_level, peer_visibility const& visibility,
                 millis now) noexcept;

/// \brief How long a VM counts as just started: every peer's first message has come by then.
inline constexpr millis startup_period{2'000};

/// \returns How long the bucket needs to hold these units, if nobody spends meanwhile. Thread safety: pure.
[[nodiscard]] millis time_until_available(shared_bucket const& bucket, double units, double share) noexcept;

} // namespace auburnchute
