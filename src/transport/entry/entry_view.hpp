#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/entry_feed.hpp>
#include <auburnchute/entry_member.hpp>
#include <auburnchute/fleet_config.hpp>
#include <auburnchute/fleet_message.hpp>
#include <auburnchute/rcu_cell.hpp>
#include <auburnchute/store_position.hpp>
#include <auburnchute/upstream.hpp>
#include <auburnchute/version_plan.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief Which peers a message goes to.
enum class message_targets : std::uint8_t {
    all,
    holder,  ///< The VM that places models.
    waiting, ///< Those with requests that wait for a model.
    leaves,  ///< Those that hear the fleet from this VM only.
};

/// \brief What a peer's message says of the upstreams' entries.
struct entry_report {
    std::string told_by_;
    message_kind kind_{};
    std::uint64_t store_era_{}; ///< Of all offsets of the report.
    std::uint64_t config_version_{};
    std::uint64_t config_next_{}; ///< As in `fleet_message`.
    entry_updates updates_;
    std::uint64_t seen_{};               ///< Offset up to which the peer has the entries.
    std::optional<millis> proof_at_{};   ///< When they were known to be the newest; this VM's boot clock.
    std::vector<leave_notice> leaves_{}; ///< Times in this VM's boot clock.
    std::uint64_t plans_from_{};         ///< Offset from which on `plans_` has all that the peer knows.
    std::vector<plan_update> plans_{};
    std::uint64_t seen_plans_{};             ///< As in `fleet_message`.
    std::optional<millis> plans_proof_at_{}; ///< When no newer plan counted; this VM's boot clock.
};

/// \brief What the control thread knows; replaced as a whole.
struct entry_view {
    std::shared_ptr<fleet_config const> config_; ///< Null until one was read.
    store_position config_next_;                 ///< After the newest record of it that was read.
    std::shared_ptr<upstream_map const> upstreams_{
        std::make_shared<upstream_map const>()}; ///< See `usable_entries`.
    store_position upstreams_next_; ///< Up to which the upstreams' entries are known; offset 0: not read yet.
    std::uint64_t registry_{};      ///< Digest of the upstreams; see `registry_digest`.
    std::vector<entry_member> members_;
    bool members_read_{}; ///< The members were read at least once.
    std::shared_ptr<entry_log const> log_{std::make_shared<entry_log const>()};
    std::shared_ptr<std::vector<leave_notice> const> leaves_{
        std::make_shared<std::vector<leave_notice> const>()}; ///< Those that are told to the peers.
    std::shared_ptr<version_plans const> plans_{std::make_shared<version_plans const>()};
    std::shared_ptr<std::vector<plan_update> const> plan_updates_{
        std::make_shared<std::vector<plan_update> const>()}; ///< The plans as stored, for the peers.
    store_position seen_plans_;                              ///< Its offset is as in `fleet_message`.
};

/// \brief What the control thread shares with the thread that serves requests.
///
/// Thread safety: all members may be used from both threads.
struct shared_view {
    rcu_cell<entry_view> cell_{std::make_unique<entry_view const>()};
    /// When the read was sent that last reached the end of the configuration's topic; boot clock. 0: never.
    std::atomic<std::int64_t> config_read_at_{0};
    /// The same as a peer handed over; see `take_freshness`.
    std::atomic<std::int64_t> config_proof_at_{0};
    /// Newest era of the store that any of its answers to this VM stated.
    std::atomic<std::uint64_t> store_era_{0};
    /// Highest epoch of the order lease that any message named.
    std::atomic<std::uint64_t> highest_epoch_{0};
    /// Until when this VM may lack version plans that were lost when the store came back from a copy; boot
    /// clock.
    std::atomic<std::int64_t> plans_unsettled_until_{0};
    /// When the upstreams' entries that this VM has were last known to be the newest, by a read of its own or
    /// by a peer; boot clock. 0: never.
    std::atomic<std::int64_t> entries_proof_at_{0};
    /// When the version plans that this VM has were last known to be the newest that count, by a read of its
    /// own or by a peer; boot clock. 0: never.
    std::atomic<std::int64_t> plans_proof_at_{0};
    /// Whether this VM is one of those that read the store for all.
    std::atomic<bool> reads_for_all_{true};
    /// Whether a ready peer comes before this VM in taking work for all; see
    /// `is_preferred_over`.
    std::atomic<bool> defers_{false};
    /// Set when a message came from a VM that is not among the members.
    std::atomic<bool> unknown_sender_seen_{false};
    /// When a message with the epoch of a responsive holder of the order lease last arrived, from the holder
    /// or a relay; boot clock. 0: never.
    std::atomic<std::int64_t> holder_message_at_{0};
};

/// \brief How long a request's key may be honoured after the last proof that no newer configuration exists.
/// Less than the bound, for the way to the upstream.
[[nodiscard]] inline millis freshness_bound(millis key_withdrawal) noexcept
{
    constexpr millis forwarding_time{500};
    return key_withdrawal - forwarding_time;
}

} // namespace auburnchute
