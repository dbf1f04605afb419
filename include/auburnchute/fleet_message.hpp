#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/model_need.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief A name in messages: a hash, as names are long and repeat in every message.
using name_hash = std::uint64_t;

/// \brief The same for upstreams and VMs, which only loads and readiness hang on: two that share a tag, one
/// pair in four thousand fleets of 1,000, share those.
using short_hash = std::uint32_t;

/// \returns The tag, equal on all daemons. Thread safety of all functions: pure.
[[nodiscard]] name_hash name_hash_of(std::string_view name) noexcept;
[[nodiscard]] short_hash short_hash_of(std::string_view name) noexcept;
[[nodiscard]] name_hash name_hash_of(need_key const& need) noexcept;

/// \brief Requests and tokens under way at an upstream.
struct upstream_use {
    std::int64_t requests_{};
    std::int64_t tokens_{};
    std::int64_t unread_tokens_{}; ///< Prompt tokens of the requests that have not begun to answer.

    friend bool operator==(upstream_use const&, upstream_use const&) = default;
};

struct upstream_use_row {
    short_hash upstream_{};
    upstream_use use_;

    friend bool operator==(upstream_use_row const&, upstream_use_row const&) = default;
};

/// \brief Units of a workspace since the sender began to count.
struct spend_row {
    name_hash workspace_{};
    std::int64_t used_{};
    std::int64_t asked_{}; ///< Let through or not.

    friend bool operator==(spend_row const&, spend_row const&) = default;
};

/// \brief Units left in the sender's copy of a workspace's bucket.
struct level_row {
    name_hash workspace_{};
    std::int64_t level_{};

    friend bool operator==(level_row const&, level_row const&) = default;
};

/// \brief Upstreams that died under a request.
struct crash_row {
    std::uint64_t fingerprint_{};
    std::int64_t count_{};

    friend bool operator==(crash_row const&, crash_row const&) = default;
};

struct need_row {
    name_hash need_{};
    model_need amount_;

    friend bool operator==(need_row const&, need_row const&) = default;
};

/// \brief A change of an upstream's entry, as it stands in the store.
struct upstream_entry_update {
    std::uint64_t offset_{};
    std::string id_;
    std::optional<std::string> document_; ///< None: the entry was removed.

    friend bool operator==(upstream_entry_update const&, upstream_entry_update const&) = default;
};

/// \brief Which way a message goes; see fleet_exchange.hpp.
enum class message_kind : std::uint8_t {
    report, ///< From a leaf to its relay: about the leaf.
    mesh,   ///< Between relays: about the sender and its leaves.
    digest, ///< From a relay to a leaf: about all VMs but the leaf.
};

/// \brief A message between two entry daemons. Times are in the boot clock of their maker.
struct fleet_message {
    std::string vm_;
    std::uint64_t incarnation_{};
    message_kind kind_{message_kind::mesh};
    std::int64_t term_{}; ///< When the sender became a relay; 0: it is a leaf.
    std::int64_t sent_at_{};
    std::int64_t echo_{};      ///< `sent_at_` of the newest message from the receiver; 0: none.
    std::int64_t echo_held_{}; ///< How long ago that message arrived.
    millis send_interval_{};   ///< Time between the sender's messages.

    std::uint64_t roster_{};      ///< Digest of the VMs that the message is about.
    std::uint64_t seen_roster_{}; ///< The receiver's roster that the sender knows.
    bool roster_told_{};          ///< The lists stand in this message.
    std::vector<short_hash> ready_;
    std::vector<short_hash> unready_;
    std::vector<short_hash> young_;  ///< Of those, the ones that have just started.
    std::vector<short_hash> relays_; ///< Other relays that the sender hears.

    std::uint64_t config_next_{}; ///< Offset after the newest configuration record that it has in force.
    std::int64_t config_age_{-1}; ///< Milliseconds since it knew that there is no newer one; -1: never.

    std::vector<spend_row> spent_;
    std::vector<spend_row> counted_; ///< Of a report: the part of the totals that an earlier relay has
                                     ///< counted. Else what the sender has counted of the receiver.
    std::int64_t counted_term_{};    ///< The receiver's term to which that belongs.
    bool wants_levels_{}; ///< The sender may have missed something; others should tell it the levels.
    std::vector<level_row> levels_;
    std::vector<upstream_use_row> use_;
    std::vector<crash_row> crashes_;
    std::vector<need_row> needs_; ///< For the VM that places models.

    std::uint64_t lease_epoch_{}; ///< Of the placement lease if the sender holds it; in a digest, if the
                                  ///< relay hears the holder. 0: neither.
    std::uint64_t lease_end_{};   ///< Where the lease's topic ended after the holder's last record.
    std::int64_t orders_in_{};    ///< Milliseconds until the holder may give orders.
    /// Versions of the holder's board between which `placements_` tells all changes; see placement_board.hpp.
    std::uint64_t placements_from_{};
    std::uint64_t placements_to_{};
    std::vector<placement_notice> placements_;
    std::uint64_t seen_epoch_{};      ///< Lease whose holder's notices the sender knows.
    std::uint64_t seen_placements_{}; ///< Version of that holder's board that it has reached.

    /// Offsets of the upstreams' entries between which `news_` tells all records that say something new.
    std::uint64_t news_from_{};
    std::uint64_t news_to_{};
    std::vector<upstream_entry_update> news_;
    std::uint64_t seen_news_{}; ///< Offset up to which the sender knows the upstreams' entries.
    std::uint64_t registry_{};  ///< Digest of the upstreams that it knows at that offset.
};

} // namespace auburnchute
