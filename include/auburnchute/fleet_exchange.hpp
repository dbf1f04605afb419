#pragma once

#include <auburnchute/entry_member.hpp>
#include <auburnchute/fleet_message.hpp>
#include <auburnchute/relay_plan.hpp>
#include <auburnchute/shared_bucket.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburnchute {

/// \file What the entry VMs tell each other about loads, rates, readiness and needs.
///
/// A few VMs of each availability zone are relays; see relay_plan.hpp. A leaf reports to one relay. Relays
/// tell each other the sums over themselves and their leaves, and tell each leaf the sums over all others. So
/// a leaf sends and receives one message in each rhythm whatever the fleet's size, and a relay about twice
/// the square root of that size. In small fleets every VM is a relay without leaves. A VM with a duty for
/// all, which holds the placement lease or reads the store, is a relay too.
///
/// Messages may be lost, repeated or overtaken. Loads and needs are gauges: the newest message of a VM counts
/// while the VM is heard. What workspaces spend is counted in totals, of which each receiver charges the
/// difference to the message before. A relay's totals begin with its term as a relay and leave out what an
/// earlier relay has counted, so that others that have listened since can charge them whole. A VM that has
/// not listened all the time, because it has just started, was paused or changed its relay or role, takes
/// over the bucket levels of one that has, less what that one has not counted of it yet.

/// \brief What this VM says of itself.
struct local_status {
    bool ready_{};
    std::uint64_t config_next_{};
    std::int64_t config_age_{-1};
    std::vector<spend_row> spent_;
    std::vector<level_row> levels_;
    std::vector<upstream_use_row> use_;
    std::vector<crash_row> crashes_;
    std::vector<need_row> needs_;
    bool holds_lease_{};
    std::uint64_t lease_epoch_{}; ///< Of the lease if its holder is heard, or this VM holds it; else 0.
    std::uint64_t lease_end_{};
    std::int64_t orders_in_{};
    std::uint64_t seen_epoch_{};
    std::uint64_t seen_placements_{};
    std::uint64_t seen_news_{};
    std::uint64_t registry_{};
};

/// \brief Totals of workspaces.
using spend_totals = std::map<name_hash, spend_row>;

/// \brief A VM with which this one exchanges messages.
struct peer_state {
    fleet_message last_;               ///< Its newest message, without notices and news.
    millis received_at_{};             ///< 0: never.
    millis sending_since_{};           ///< Since when this VM sends to it; 0: it does not.
    bool in_sums_{};                   ///< Its loads and crashes are part of the sums.
    std::int64_t charged_in_term_{-1}; ///< This VM's term when its totals were last charged.
    spend_totals last_totals_;         ///< Its totals as last heard.
    spend_totals charged_totals_;      ///< Of a leaf: what was charged of it since this process began.
};

/// \brief A VM that was silent when it should have relayed.
struct relay_backoff {
    millis until_{};
    millis duration_{};
};

/// \brief A VM that some contact tells of, or told of lately.
struct vm_status {
    bool live_{};
    bool ready_{};
    bool young_{};
    millis seen_at_{};
};

/// \brief This VM's side of the exchange. Thread safety of all functions that change one: the caller owns it.
struct fleet_exchange {
    std::string vm_;
    std::uint64_t incarnation_{};
    millis started_at_{};
    bool first_start_{};                                   ///< The whole fleet starts for the first time.
    bool must_relay_{};                                    ///< Holds the lease or reads the store for all.
    std::vector<entry_member> members_;                    ///< By name; as the store tells.
    std::map<std::string, peer_state, std::less<>> peers_; ///< By VM.
    std::map<std::string, relay_backoff, std::less<>> relay_backoffs_; ///< By VM.
    millis refreshed_at_{};                                            ///< Of the newest round.
    millis receiving_since_{}; ///< Since when it hears others in the same way: no start, pause or change of
                               ///< role.
    bool wants_levels_{};      ///< It may have missed something then, and has not heard the levels since.
    std::int64_t term_{};      ///< When it became a relay; 0: it is a leaf.
    std::string relay_;        ///< Of a leaf.
    std::vector<std::string> mesh_;                    ///< Of a relay: the others.
    std::unordered_map<short_hash, upstream_use> use_; ///< Of all other VMs.
    std::map<std::uint64_t, std::int64_t> crashes_;    ///< By fingerprint; of all other VMs.
    spend_totals remote_totals_;       ///< What was charged of other VMs since this process began.
    spend_totals leaf_totals_;         ///< The part of it that came from leaves.
    spend_totals acknowledged_totals_; ///< What this VM's relays have counted of it.
    spend_totals term_baseline_;       ///< Of a relay: `counted_` as of the start of its term.
    spend_totals local_totals_;        ///< This VM's own totals as of the last round.
    std::unordered_map<short_hash, vm_status> known_vms_; ///< All other VMs that were told of lately.
    /// Relays that other relays hear. Without them, relays that chose by different knowledge would never
    /// learn of each other.
    std::unordered_set<short_hash> indirect_relays_;
};

/// \brief Takes over the members, which may or may not contain this VM.
void set_members(fleet_exchange& exchange, std::vector<entry_member> members);

/// \brief Drops what fell silent, and chooses relays anew. To be called before messages are sent.
/// \param own What this VM spent since its start.
void refresh_peers(fleet_exchange& exchange, std::span<spend_row const> own, millis now);

/// \returns Time between this VM's messages: with many contacts each round costs more. Thread safety of all
/// functions from here on that take a constant exchange: pure.
[[nodiscard]] millis send_interval(fleet_exchange const& exchange) noexcept;

/// \returns Longest usual time until this VM's use is known to all others, and theirs here.
[[nodiscard]] millis propagation_delay(fleet_exchange const& exchange) noexcept;

/// \returns Whether a message of the VM came lately.
[[nodiscard]] bool is_responsive(peer_state const& contact, millis now) noexcept;

/// \returns Whether the VM is one of this VM's leaves.
[[nodiscard]] bool is_leaf(peer_state const& contact, millis now) noexcept;

/// \brief Whom to send a message.
struct message_target {
    std::string_view vm_;
    message_kind kind_{};
};

/// \returns The VMs that get a message in this round.
[[nodiscard]] std::vector<message_target> send_targets(fleet_exchange const& exchange, millis now);

/// \returns The part of a message that is equal for all VMs that get one of this kind; a digest's still
/// contains the leaf's own part.
[[nodiscard]] fleet_message compose_common(fleet_exchange const& exchange, local_status const& own,
                                           message_kind kind, millis now);

/// \brief Adds what only the target gets. \pre `message` is a copy of `compose_common` for its kind.
void add_target_fields(fleet_exchange const& exchange, local_status const& own, message_target const& target,
                       millis now, fleet_message& message);

/// \brief What a message changed beyond the exchange.
struct message_effects {
    bool accepted_{};               ///< False: it is older than one before, or from this VM itself.
    std::vector<spend_row> spent_;  ///< To be charged to the buckets.
    std::vector<level_row> levels_; ///< To be taken over by the buckets.
    std::optional<millis>
        config_confirmed_at_; ///< When, in this VM's clock, the sender's configuration was the newest.
    bool models_awaited_{};   ///< A leaf or another relay's leaves wait for models.
};

/// \brief Takes a message that came from the member's address. Notices and news are left to the caller.
/// \param own What this VM spent since its start.
[[nodiscard]] message_effects apply_message(fleet_exchange& exchange, fleet_message const& message,
                                            std::span<spend_row const> own, millis now);

/// \returns Requests and tokens of all other VMs at an upstream.
[[nodiscard]] upstream_use remote_use(fleet_exchange const& exchange, short_hash upstream) noexcept;

/// \returns How often upstreams died under requests of other VMs with this fingerprint.
[[nodiscard]] std::int64_t remote_crashes(fleet_exchange const& exchange, std::uint64_t fingerprint) noexcept;

/// \returns The part of the VMs that this one hears of, itself included; above 0, at most 1. VMs that fell
/// silent count for a while, as they may go on spending.
[[nodiscard]] double reachable_share(fleet_exchange const& exchange, millis now) noexcept;

/// \returns The same with whether this VM may have missed what others spent.
[[nodiscard]] bucket_hearing peer_visibility_of(fleet_exchange const& exchange, millis now) noexcept;

/// \returns The VMs that live as far as this one hears, itself included; at least 1.
[[nodiscard]] std::size_t live_count(fleet_exchange const& exchange) noexcept;

/// \returns Whether this VM hears that the other one lives, and whether it is ready.
[[nodiscard]] bool is_live(fleet_exchange const& exchange, std::string_view vm) noexcept;
[[nodiscard]] bool is_live_and_ready(fleet_exchange const& exchange, std::string_view vm) noexcept;

/// \returns The needs that leaves and other relays told, added up.
[[nodiscard]] std::map<name_hash, model_need> reported_needs(fleet_exchange const& exchange, millis now);

} // namespace auburnchute
