#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/crash_evidence.hpp>
#include <auburnchute/model_need.hpp>
#include <auburnchute/upstream_registry.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Hash that stands for a name in messages, since names are long and repeat in every message.
using name_hash = std::uint64_t;

/// \brief Shorter hash for the names of upstreams and VMs. About one in four thousand fleets of 1,000
/// upstreams and 1,000 VMs has a colliding pair, which only shares load and readiness.
using short_hash = std::uint32_t;

/// \returns The hash, which is the same on all daemons. Thread safety of the three functions: pure.
[[nodiscard]] name_hash name_hash_of(std::string_view name) noexcept;
[[nodiscard]] short_hash short_hash_of(std::string_view name) noexcept;
[[nodiscard]] name_hash name_hash_of(need_key const& need) noexcept;

/// \brief Requests and tokens in flight at an upstream.
struct upstream_use {
    std::int64_t requests_{};
    std::int64_t tokens_{};
    std::int64_t unread_tokens_{}; ///< Prompt tokens of the requests whose answers have not begun.

    friend bool operator==(upstream_use const&, upstream_use const&) = default;
};

struct upstream_use_row {
    short_hash upstream_{};
    upstream_use use_;

    friend bool operator==(upstream_use_row const&, upstream_use_row const&) = default;
};

/// \brief Cumulative usage of a workspace, in units of its limit.
struct spend_row {
    name_hash workspace_{};
    std::int64_t used_{};  ///< Of admitted requests.
    std::int64_t asked_{}; ///< Of all requests, admitted or refused.

    friend bool operator==(spend_row const&, spend_row const&) = default;
};

/// \brief Level of the sender's replica of a workspace's token bucket.
struct level_row {
    name_hash workspace_{};
    std::int64_t level_{};

    friend bool operator==(level_row const&, level_row const&) = default;
};

/// \brief Demand for a model or adapter.
struct need_row {
    name_hash need_{};
    model_need amount_;

    friend bool operator==(need_row const&, need_row const&) = default;
};

/// \brief A record of the store that changes or removes the entry of an upstream.
struct upstream_entry_update {
    std::uint64_t offset_{};
    std::string id_;
    std::optional<std::string> document_; ///< Empty: the entry was removed.

    friend bool operator==(upstream_entry_update const&, upstream_entry_update const&) = default;
};

/// \brief The newest record of the store that says how the versions of a service share its streams.
struct plan_update {
    std::uint64_t offset_{};
    std::string service_;
    std::string document_; ///< As stored.

    friend bool operator==(plan_update const&, plan_update const&) = default;
};

/// \brief The roles of sender and receiver; see fleet_exchange.hpp.
enum class message_kind : std::uint8_t {
    report, ///< From a leaf to its relay: state of the leaf.
    mesh,   ///< Between relays: sums over the sender and its leaves.
    digest, ///< From a relay to a leaf: sums over all VMs except the leaf.
};

/// \brief A message between two entry daemons. Points in time are in the boot clock of the VM that set them.
struct fleet_message {
    std::string vm_;
    std::uint64_t incarnation_{};
    message_kind kind_{message_kind::mesh};
    std::int64_t term_{}; ///< When the sender became a relay; 0: it is a leaf.
    std::int64_t sent_at_{};
    std::int64_t echo_{};      ///< `sent_at_` of the newest message from the receiver; 0: none.
    std::int64_t echo_held_{}; ///< Milliseconds since that message arrived at the sender.
    millis send_interval_{};   ///< Time between messages of the sender.

    std::uint64_t roster_{};      ///< Digest of the four lists below; 0: unknown.
    std::uint64_t seen_roster_{}; ///< Last `roster_` of the receiver whose lists the sender has.
    bool roster_told_{};          ///< The lists are included in this message.
    std::vector<short_hash> ready_;
    std::vector<short_hash> unready_;
    std::vector<short_hash> young_;  ///< Those of both that have just started.
    std::vector<short_hash> relays_; ///< Other relays from which the sender receives messages.

    /// Era of the store in which all offsets of this message are stated. The sender leaves out (0 and -1)
    /// what it has not read in that era.
    std::uint64_t store_era_{};
    std::uint64_t config_version_{}; ///< Of the configuration in force; 0: none.
    std::uint64_t config_next_{};    ///< Offset after the newest configuration record in force.
    std::int64_t config_age_{-1}; ///< Milliseconds since the sender last knew it to be the newest; -1: never.

    std::vector<spend_row> spent_;
    /// In a report: the part of `spent_` that relays have charged. Otherwise: usage of the receiver that the
    /// sender has charged.
    std::vector<spend_row> counted_;
    std::int64_t counted_term_{}; ///< Term of the receiver to which `counted_` refers.
    bool wants_levels_{};         ///< The sender may have missed usage and asks for `levels_`.
    std::vector<level_row> levels_;
    std::vector<upstream_use_row> use_;
    std::vector<need_row> needs_; ///< Model demand, for the holder of the order lease.

    /// Epoch of the order lease if the sender holds it or, in a digest, the holder is responsive; else 0.
    std::uint64_t lease_epoch_{};
    std::uint64_t lease_end_{}; ///< End offset of the lease topic after the holder's last record.
    std::int64_t orders_in_{};  ///< Milliseconds until the holder may send orders.
    /// Versions of the holder's placements between which `placements_` has all changes; see
    /// placement_table.hpp.
    std::uint64_t placements_from_{};
    std::uint64_t placements_to_{};
    std::vector<upstream_placement> placements_;
    std::uint64_t seen_epoch_{};      ///< Epoch of the lease whose holder's placements the sender has.
    std::uint64_t seen_placements_{}; ///< Version of those placements that the sender has reached.

    /// Offsets in the upstream entries' topic between which `news_` has all records that change an entry.
    std::uint64_t news_from_{};
    std::uint64_t news_to_{};
    std::vector<upstream_entry_update> news_;
    std::uint64_t seen_news_{};    ///< Offset up to which the sender has the upstream entries; 0: none.
    std::int64_t entries_age_{-1}; ///< Milliseconds since the sender last knew that there are no newer ones;
                                   ///< -1: never.
    std::uint64_t registry_{};     ///< Digest of the upstream entries at that offset.

    /// Offset in the version plans' topic from which on `plans_` has all that the sender knows.
    std::uint64_t plans_from_{};
    std::vector<plan_update> plans_;
    std::uint64_t seen_plans_{}; ///< One more than the offset up to which the sender has the plans; 0: none.
    std::int64_t plans_age_{-1}; ///< Milliseconds since it last knew that no newer one counts; -1: never.

    std::vector<leave_notice> leaves_; ///< The sender's notices, unless the receiver has the same.
    std::uint64_t leaves_digest_{};    ///< Of all its notices.

    /// The sender's crash evidence that changed after the version that the receiver has seen.
    std::vector<trait_record> evidence_;
    std::uint64_t evidence_version_{};
    std::uint64_t
        seen_evidence_{}; ///< Last `evidence_version_` of the receiver whose records the sender has.
};

} // namespace auburnchute
