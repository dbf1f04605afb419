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

/// \file State exchange between the entry VMs: upstream load, workspace usage, readiness and model demand.
///
/// The exchange is a two-level overlay. A few VMs of each availability zone are relays, chosen by
/// relay_plan.hpp; all other VMs are leaves. A leaf reports to one relay. Relays form a full mesh, in which
/// each sends the sums over itself and its leaves, and each relay sends its leaves the sums over all other
/// VMs. Per send interval, a leaf sends and receives one message whatever the size of the fleet, and a relay
/// about twice the square root of that size. In small fleets every VM is a relay without leaves. A VM that
/// holds the order lease or reads the store for the fleet is a relay, too.
///
/// Messages may be lost, duplicated or reordered. Load and model demand are gauges: the newest message of a
/// VM applies while the VM is responsive. Workspace usage is sent as cumulative totals, and each receiver
/// charges the increment since the previous message. The totals of a relay begin with its term and exclude
/// what an earlier relay has charged for it, so that VMs that have received messages since before the
/// term charge them in full. A VM that may have missed messages, because it has just started, was paused or
/// has changed its relay or role, adopts the bucket levels of a VM without such a gap, less the part of its
/// own usage that the other VM has not charged yet.

/// \brief The state of this VM that its messages carry; the fields are described at `fleet_message`.
struct local_status {
    bool ready_{};
    std::uint64_t store_era_{};
    std::uint64_t config_version_{};
    std::uint64_t config_next_{};
    std::int64_t config_age_{-1};
    std::vector<spend_row> spent_;
    std::vector<level_row> levels_;
    std::vector<upstream_use_row> use_;
    std::vector<need_row> needs_;
    bool holds_lease_{};
    std::uint64_t lease_epoch_{}; ///< Of the order lease if its holder is responsive or this VM; else 0.
    std::uint64_t lease_end_{};
    std::int64_t orders_in_{};
    std::uint64_t seen_epoch_{};
    std::uint64_t seen_placements_{};
    std::uint64_t seen_news_{};
    std::int64_t entries_age_{-1};
    std::uint64_t registry_{};
    std::uint64_t leaves_digest_{};
    std::uint64_t seen_plans_{};
    std::int64_t plans_age_{-1};
};

/// \brief Cumulative usage by workspace.
using spend_totals = std::map<name_hash, spend_row>;

/// \brief What this VM knows of a VM with which it exchanges messages.
struct peer_state {
    fleet_message last_;     ///< Its newest message, without `placements_`, `news_`, `leaves_`, `plans_` and
                             ///< `evidence_`.
    millis received_at_{};   ///< When `last_` arrived; 0: never.
    millis sending_since_{}; ///< When this VM began to send to it; 0: it does not send.
    bool in_sums_{};         ///< Its load is part of `use_`.
    std::int64_t charged_in_term_{-1}; ///< `term_` of this VM when the peer's totals were last charged.
    spend_totals last_totals_;         ///< The totals in its newest messages.
    spend_totals charged_totals_;      ///< For a leaf: usage charged for its current process.
};

/// \brief A period in which a VM that stopped answering is not chosen as a relay.
struct relay_backoff {
    millis until_{};
    millis duration_{}; ///< Doubles with each backoff, up to a maximum.
};

/// \brief The state of a VM as the rosters of this VM's peers list it.
struct vm_status {
    bool live_{}; ///< Listed by a peer that is responsive.
    bool ready_{};
    bool young_{};     ///< Has just started.
    millis seen_at_{}; ///< When it was last listed.
};

/// \brief The state of the exchange on this VM. Thread safety: functions that change it need exclusive
/// access.
struct fleet_exchange {
    std::string vm_;
    std::uint64_t incarnation_{};
    millis started_at_{};
    bool first_start_{};                ///< First start of the whole fleet; no usage precedes it.
    std::uint64_t store_era_{};         ///< Newest era of the store that this VM has seen.
    bool must_relay_{};                 ///< Holds the order lease or reads the store for the fleet.
    std::vector<entry_member> members_; ///< Sorted by name; as registered in the store.
    std::map<std::string, peer_state, std::less<>> peers_;             ///< By VM.
    std::map<std::string, relay_backoff, std::less<>> relay_backoffs_; ///< By VM.
    millis refreshed_at_{};         ///< Time of the last `refresh_peers`; 0: none.
    millis receiving_since_{};      ///< Time of the last start, pause, or change of role or relay.
    bool wants_levels_{};           ///< Messages may have been missed then, and no levels were adopted since.
    std::int64_t term_{};           ///< When this VM became a relay; 0: it is a leaf.
    std::string relay_;             ///< For a leaf: its relay.
    std::vector<std::string> mesh_; ///< For a relay: the other relays.
    std::unordered_map<short_hash, upstream_use> use_; ///< Sums over all other VMs.
    spend_totals remote_totals_;       ///< Usage charged for other VMs since this process started.
    spend_totals leaf_totals_;         ///< For a relay: the part of it from leaves in this term.
    spend_totals acknowledged_totals_; ///< This VM's usage that its relays have charged.
    spend_totals term_baseline_;       ///< For a relay: `acknowledged_totals_` at the start of its term.
    spend_totals local_totals_;        ///< This VM's own usage at the last `refresh_peers`.
    std::unordered_map<short_hash, vm_status> known_vms_; ///< Other VMs that peers list or listed recently.
    /// Relays that are known only through the peers' messages. Without them, relays that computed their plans
    /// from different views of the fleet would never find each other.
    std::unordered_set<short_hash> indirect_relays_;
};

/// \brief Replaces the member list, which need not contain this VM.
void set_members(fleet_exchange& exchange, std::vector<entry_member> members);

/// \brief Removes peers that stopped responding from the sums and recomputes the relays. To be called before
/// each round of messages. \param own Usage of this VM since its start.
void refresh_peers(fleet_exchange& exchange, std::span<spend_row const> own, millis now);

/// \returns The time between this VM's messages to a peer; it grows with the number of peers, as does the
/// cost of a round. Thread safety: functions that take a constant exchange are pure.
[[nodiscard]] millis send_interval(fleet_exchange const& exchange) noexcept;

/// \returns The usual upper bound on the time until a change on one VM is known to all others.
[[nodiscard]] millis propagation_delay(fleet_exchange const& exchange) noexcept;

/// \returns Whether the peer's newest message arrived within its silence timeout.
[[nodiscard]] bool is_responsive(peer_state const& peer, millis now) noexcept;

/// \returns Whether the peer is a responsive leaf of this VM.
[[nodiscard]] bool is_leaf(peer_state const& peer, millis now) noexcept;

/// \brief The receiver and the kind of a message to send.
struct message_target {
    std::string_view vm_;
    message_kind kind_{};
};

/// \returns The receivers of messages in this round.
[[nodiscard]] std::vector<message_target> send_targets(fleet_exchange const& exchange, millis now);

/// \returns The part of a message that is the same for all receivers of this kind. In a digest, the sums
/// still include the receiving leaf.
[[nodiscard]] fleet_message compose_common(fleet_exchange const& exchange, local_status const& own,
                                           message_kind kind, millis now);

/// \brief Completes a message with the fields that depend on its receiver, and subtracts from a digest what
/// the leaf itself reported. \pre `message` is a copy of `compose_common` for the target's kind.
void add_target_fields(fleet_exchange const& exchange, local_status const& own, message_target const& target,
                       millis now, fleet_message& message);

/// \brief Consequences of a message that the caller has to apply outside the exchange.
struct message_effects {
    bool accepted_{};               ///< False: not newer than the last one, or sent by this VM.
    std::vector<spend_row> spent_;  ///< Usage to charge to the buckets.
    std::vector<level_row> levels_; ///< Levels that the buckets adopt.
    /// Latest time in this VM's clock at which the sender's configuration is known to have been the newest.
    std::optional<millis> config_confirmed_at_;
    std::optional<millis> entries_confirmed_at_; ///< The same of the upstream entries.
    std::optional<millis> plans_confirmed_at_;   ///< The same of the version plans.
    bool models_awaited_{};                      ///< The message lists models for which requests wait.
};

/// \brief Applies a message to the exchange. The caller has checked that it came from the address of the
/// member that it names, and handles `placements_`, `news_` and `leaves_` itself. \param own Usage of this VM
/// since its start.
[[nodiscard]] message_effects apply_message(fleet_exchange& exchange, fleet_message const& message,
                                            std::span<spend_row const> own, millis now);

/// \returns Requests and tokens of all other VMs in flight at an upstream.
[[nodiscard]] upstream_use remote_use(fleet_exchange const& exchange, short_hash upstream) noexcept;

/// \returns The share of the VMs whose state this VM receives, directly or over relays, itself included;
/// above 0, at most 1. VMs that are no longer listed stay in the denominator for a while, as they may still
/// admit requests; so do members not listed yet just after a restart, as VMs that restart together would
/// otherwise each use the whole rate.
[[nodiscard]] double reachable_share(fleet_exchange const& exchange, millis now) noexcept;

/// \returns `reachable_share`, and whether this VM may have missed usage of other VMs.
[[nodiscard]] peer_visibility peer_visibility_of(fleet_exchange const& exchange, millis now) noexcept;

/// \returns The number of live VMs that this VM knows of, itself included.
[[nodiscard]] std::size_t live_count(fleet_exchange const& exchange) noexcept;

/// \returns Whether a responsive peer listed the VM at the last `refresh_peers`; for the second function,
/// also as ready.
[[nodiscard]] bool is_live(fleet_exchange const& exchange, std::string_view vm) noexcept;
[[nodiscard]] bool is_live_and_ready(fleet_exchange const& exchange, std::string_view vm) noexcept;

/// \returns The model demand that leaves and other relays reported, summed by model and adapter.
[[nodiscard]] std::map<name_hash, model_need> reported_needs(fleet_exchange const& exchange, millis now);

} // namespace auburnchute
