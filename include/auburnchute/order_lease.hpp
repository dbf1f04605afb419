#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnchute {

/// \brief How long one renewal holds, from the moment at which it was sent. A holder whose renewals fail
/// stops by then; renewals come several times within it.
inline constexpr millis lease_lifetime{2'000};

/// \brief Time between renewals.
inline constexpr millis lease_renewal_interval{600};

/// \brief Added to the lifetime before another VM may take the lease: for clocks that run up to 10% apart.
inline constexpr millis lease_clock_margin{250};

/// \brief Silence after which the holder counts as not heard: it tells of itself several times a second, over
/// at most two relays.
inline constexpr millis holder_timeout{1'500};

/// \brief The newest record of the lease in the store.
struct lease_record {
    std::string vm_;
    std::uint64_t incarnation_{};
    std::uint64_t epoch_{}; ///< Rises with each change of holder; the fencing number of its orders.
    millis orders_from_{};  ///< When its holder might give its first order, in the boot clock of that VM.

    friend bool operator==(lease_record const&, lease_record const&) = default;
};

/// \brief What one VM knows of the lease that lets it order upstreams, in its boot clock.
///
/// The lease is a chain of conditional appends: each record is stored only if the topic still ends where its
/// writer read it, so two VMs never both succeed. A record holds for `lease_lifetime` from the time at which
/// its writer sent it. Another VM waits for longer than that from the time at which it saw the record, which
/// is later, so the holder has stopped by then. No clocks are compared.
struct lease_view {
    std::string vm_; ///< Name and address: a VM that takes over the name has another boot clock.
    std::uint64_t incarnation_{};
    std::uint64_t end_{};                ///< Offset at which the topic was seen to end.
    std::optional<lease_record> newest_; ///< Its last record; none if there was never one.
    millis seen_at_{};                   ///< When `end_` was first seen; 0: never read.
    std::uint64_t epoch_{};              ///< Of the lease that this VM holds; 0: none.
    millis held_until_{};
    millis orders_from_{}; ///< When it may give its first order.
};

/// \brief Takes over what was read of the topic, or what its holder tells of it. \param read_at When the
/// answer or the holder's message arrived. Thread safety of all functions that change a view: the caller owns
/// it.
void observe_lease(lease_view& view, std::uint64_t end, std::optional<lease_record> newest, millis read_at);

/// \returns Whether this VM may try to take the lease now. Thread safety: pure.
[[nodiscard]] bool may_take_lease(lease_view const& view, millis now) noexcept;

/// \returns The record with which this VM takes or renews the lease at the topic's end.
/// \param handover_gap Least time between the orders of two VMs. Thread safety: pure.
[[nodiscard]] lease_record next_lease_record(lease_view const& view, millis handover_gap, millis now);

/// \brief Books that the record was stored.
/// \param sent_at When its append was sent; \param end the topic's end after it.
void record_lease_append(lease_view& view, lease_record const& record, millis sent_at, std::uint64_t end);

/// \brief Gives the lease up: another VM has it, or it cannot be renewed.
void drop_lease(lease_view& view) noexcept;

/// \returns Whether this VM holds the lease now. Thread safety: pure.
[[nodiscard]] bool holds_lease(lease_view const& view, millis now) noexcept;

/// \returns Whether an order may leave now. \param max_delivery_time Longest time that the order may take to
/// its upstream. Thread safety: pure.
[[nodiscard]] bool may_order(lease_view const& view, millis max_delivery_time, millis now) noexcept;

} // namespace auburnchute
