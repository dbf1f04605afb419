#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/store_position.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnchute {

/// \brief Validity of a lease record, from the time at which its append was sent. A holder that cannot renew
/// the lease sends no orders after that. Several renewals are due within this time.
inline constexpr millis lease_lifetime{2'000};

/// \brief Interval between renewals.
inline constexpr millis lease_renewal_interval{600};

/// \brief Added to the lifetime before another VM may take the lease; covers clock rates that differ by up to
/// 10%.
inline constexpr millis lease_clock_margin{250};

/// \brief Time without a message from the lease holder after which it counts as unreachable. The holder sends
/// several messages per second, each over at most two relays.
inline constexpr millis holder_timeout{1'500};

/// \brief A record of the lease topic in the store.
struct lease_record {
    std::string vm_;
    std::uint64_t incarnation_{};
    std::uint64_t epoch_{};     ///< Rises with each change of holder; fencing token of its orders.
    millis orders_from_{};      ///< When the holder may send its first order, in the boot clock of its VM.
    std::uint64_t store_era_{}; ///< Era of the store in which it was written. In a later one, it is from a
                                ///< copy, and newer ones may be lost.

    friend bool operator==(lease_record const&, lease_record const&) = default;
};

/// \brief One VM's view of the order lease, whose holder alone sends orders to upstreams. All times are in
/// this VM's boot clock.
///
/// The lease is a sequence of conditional appends to a topic of the store: a record is stored only if the
/// topic still ends at the offset that its writer has read, so of two concurrent writers only one succeeds. A
/// record is valid for `lease_lifetime` from the time at which its writer sent it. Another VM waits for
/// longer than that, from the later time at which it saw the record, so the holder has stopped by then.
/// Clocks of different VMs are never compared.
struct lease_view {
    std::string vm_; ///< Name and address; the address tells apart a VM that reuses a name, as its boot clock
                     ///< differs.
    std::uint64_t incarnation_{};
    store_position end_{};               ///< End of the topic as last read.
    std::optional<lease_record> newest_; ///< Last record of the topic; none if it has never had one.
    millis seen_at_{};                   ///< When `end_` was first seen; 0 if the topic was never read.
    std::uint64_t epoch_{};              ///< Epoch of the lease that this VM holds; 0 if none.
    millis held_until_{};                ///< End of the validity of the lease that this VM holds.
    millis orders_from_{};               ///< When this VM may send its first order as holder.
    std::uint64_t highest_epoch_{};      ///< Of all that records or messages have named.
};

/// \brief Updates the view with the end and the newest record of the topic, as read from the store or
/// reported by a message of the holder or a relay. Drops the lease that this VM holds if the newest record is
/// not its own, unless its own was lost when the store came back from a copy. \param read_at When the store's
/// answer or the message arrived. Thread safety of all functions that change a view: the caller owns it.
void observe_lease(lease_view& view, store_position end, std::optional<lease_record> newest, millis read_at);

/// \brief Notes the epoch of a holder that a message named.
void note_epoch(lease_view& view, std::uint64_t epoch) noexcept;

/// \returns Whether this VM may try to take the lease now. Thread safety: pure.
[[nodiscard]] bool may_take_lease(lease_view const& view, millis now) noexcept;

/// \returns The record to append at the topic's end in order to take or renew the lease.
/// \param handover_gap Minimum time between the orders of two successive holders. Thread safety: pure.
[[nodiscard]] lease_record next_lease_record(lease_view const& view, millis handover_gap, millis now);

/// \brief Updates the view after the store has accepted the record; this VM then holds the lease.
/// \param sent_at When the append was sent. \param end End of the topic after the append.
void record_lease_append(lease_view& view, lease_record const& record, millis sent_at, store_position end);

/// \brief Marks the lease as not held by this VM, because another VM has taken it or it cannot be renewed.
void drop_lease(lease_view& view) noexcept;

/// \returns Whether this VM holds the lease now. Thread safety: pure.
[[nodiscard]] bool holds_lease(lease_view const& view, millis now) noexcept;

/// \returns Whether this VM may send an order now. \param max_delivery_time Longest time that the order may
/// take to reach its upstream. Thread safety: pure.
[[nodiscard]] bool may_order(lease_view const& view, millis max_delivery_time, millis now) noexcept;

} // namespace auburnchute
