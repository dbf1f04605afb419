#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>

namespace auburnchute {

/// \brief One VM's replica of a workspace's token bucket, which limits the workspace over all VMs together.
///
/// Each VM charges its own requests at once and those of its peers when their messages arrive, so replicas
/// differ by what was spent within the propagation delay. With many VMs, or a workspace that asks for several
/// times its rate, this difference alone would exceed the limit repeatedly: all VMs would spend as soon as
/// their replicas refill. Each VM therefore also tracks the demand at its peers. When the bucket does not
/// hold enough for that demand until the next messages, it admits requests only with a probability.
/// A VM that does not receive the state of some VMs spends only its share of rate and burst: the fraction of
/// the VMs whose state it receives, directly or over relays, itself included. It keeps the level of the whole
/// bucket meanwhile, so that no usage is lost when the others are reachable again and report what they spent.
struct shared_bucket {
    double rate_{};  ///< Units per second over all VMs; 0: no limit.
    double burst_{}; ///< Capacity in units over all VMs.
    double level_{}; ///< Units available in the whole bucket; negative after VMs spent concurrently.
    millis refilled_at_{};
    /// Units requested at peers, decayed exponentially with `demand_time_constant` up to
    /// `peer_demand_updated_at_`.
    double peer_demand_units_{};
    millis peer_demand_updated_at_{};
    millis peer_demand_since_{}; ///< When a peer's demand was first recorded; 0: never.
    double local_share_{1.0};    ///< `peer_visibility::share_` at the last refill.
    double local_level_{}; ///< Units left of this VM's share; used only while `local_share_` is below 1.
};

/// \brief How completely a VM knows what its peers spend.
struct peer_visibility {
    /// Fraction of the VMs whose state it receives; see `reachable_share`. \pre `0 < share_ <= 1`.
    double share_{1.0};
    /// It may have missed messages of peers: `level_` refills only at its share of the rate until a peer
    /// reports the level.
    bool may_have_missed_updates_{};
};

/// \brief One request's demand on a bucket.
struct bucket_request {
    double units_{};
    peer_visibility visibility_;
    millis propagation_delay_{}; ///< Until peers know this VM's usage, and this VM theirs.
    double draw_{};              ///< Random number in [0, 1), one for each request: compared with the
                                 ///< admission probability.
};

/// \brief Time constant of the moving average of the peers' demand; covers several messages of each peer.
inline constexpr millis demand_time_constant{1'500};

/// \brief Applies the limits of a new configuration. A lower burst takes effect at once; a bucket that had no
/// limit before starts full. Thread safety of all functions that change a bucket: the caller synchronizes.
void set_limit(shared_bucket& bucket, double rate, double burst, millis now) noexcept;

/// \brief Adds what the rate earned since the last call. If the VM's share changed, recomputes the level of
/// that share from the level of the whole bucket.
void refill(shared_bucket& bucket, peer_visibility const& visibility, millis now) noexcept;

/// \brief Refills the bucket and charges a request to it if it admits the request. A request above the burst
/// needs a full bucket. \returns False, with nothing charged, if the level is too low or the draw rejects the
/// request.
[[nodiscard]] bool try_spend(shared_bucket& bucket, bucket_request const& request, millis now) noexcept;

/// \brief Adds units requested at a peer since its last message, admitted or not, to the average demand.
void record_peer_demand(shared_bucket& bucket, double units, millis now) noexcept;

/// \returns Average demand at all peers in units per second. Thread safety: pure.
[[nodiscard]] double peer_demand_rate(shared_bucket const& bucket, millis now) noexcept;

/// \brief Charges units to the whole bucket regardless of its level: units that a peer spent, or, if
/// negative, a refund. Refills first, since a bucket that was full until now earned nothing.
void charge_units(shared_bucket& bucket, double units, peer_visibility const& visibility,
                  millis now) noexcept;

/// \brief Sets the level after a restart of this VM among running ones to its share of half of the burst:
/// what was spent before is unknown until a peer reports its level, and possibly no peer knows it.
/// \param share As in `peer_visibility`; VMs whose state has not arrived yet are part of the whole.
void set_restart_level(shared_bucket& bucket, double share) noexcept;

/// \brief Sets the level to one reported by a peer that missed no updates. \pre This VM may have missed
/// updates: it has just started, was paused, or changed the route by which it receives messages.
void adopt_level(shared_bucket& bucket, double reported_level, peer_visibility const& visibility,
                 millis now) noexcept;

/// \brief How long a VM counts as just started; the first message of every peer arrives within it.
inline constexpr millis startup_period{2'000};

/// \returns Level that a request of these units needs; one above the capacity needs a full bucket.
/// \param share As in `peer_visibility`. Thread safety: pure.
[[nodiscard]] double required_level(shared_bucket const& bucket, double units, double share) noexcept;

/// \returns Level that this VM may spend from: that of its share while it does not receive from all members.
/// Thread safety: pure.
[[nodiscard]] double usable_level(shared_bucket const& bucket) noexcept;

/// \returns Time until the level suffices for these units if nothing is spent meanwhile. \pre `refill` was
/// called with the present time. Thread safety: pure.
[[nodiscard]] millis time_until_available(shared_bucket const& bucket, double units, double share) noexcept;

} // namespace auburnchute
