#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/model_need.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Requests and tokens under way at an upstream.
struct upstream_use {
    std::int64_t requests_{};
    std::int64_t tokens_{};
    std::int64_t unread_tokens_{}; ///< Prompt tokens of the requests that have not begun to answer.
};

/// \brief A change of an upstream's entry, as it stands in the store.
struct upstream_entry_news {
    std::uint64_t offset_{};
    std::string id_;
    std::optional<std::string> document_; ///< None: the entry was removed.
};

/// \brief What an entry daemon tells all its peers. Counts are totals since the daemon started, so a lost or
/// repeated message does no harm.
struct peer_state {
    std::string vm_;
    std::uint64_t incarnation_{};
    std::string callers_address_;
    bool ready_{};
    std::uint64_t config_next_{}; ///< Offset after the newest configuration record that it has in force.
    std::int64_t config_age_{-1}; ///< Milliseconds since it knew that there is no newer one; -1: never.
    std::map<std::string, std::int64_t, std::less<>> used_;  ///< Units spent, by workspace.
    std::map<std::string, std::int64_t, std::less<>> asked_; ///< Units asked for, let through or not.
    std::map<std::string, std::int64_t, std::less<>> level_; ///< Units left in its copy of the bucket; told
                                                             ///< to VMs that have just started.
    std::map<std::string, upstream_use, std::less<>> upstreams_; ///< By upstream id.
    std::map<std::string, int, std::less<>>
        crashes_; ///< Upstreams that died under a request, by fingerprint.
    need_map needs_;
    std::uint64_t
        news_from_{}; ///< Offsets of the upstreams' entries between which `news_` tells all changes.
    std::uint64_t news_to_{};
    std::vector<upstream_entry_news> news_;
    std::uint64_t lease_epoch_{}; ///< Of the placement lease that it holds; 0: none.
    std::uint64_t lease_end_{};   ///< Where the lease's topic ended after the holder's last record.
    std::int64_t orders_in_{};    ///< Milliseconds until the holder may give orders.
    /// Versions of the holder's board between which `placements_` tells all changes; see placement_board.hpp.
    std::uint64_t placements_from_{};
    std::uint64_t placements_to_{};
    std::vector<placement_notice> placements_;
    std::uint64_t seen_epoch_{};      ///< Lease whose holder's notices it knows.
    std::uint64_t seen_placements_{}; ///< Version of that holder's board that it has reached.
    std::uint64_t seen_news_{};       ///< Offset up to which it knows the upstreams' entries.
    std::int64_t strength_{};         ///< Processor share of its VM, in hundredths of a core.
};

/// \brief Times that belong to one message between two daemons; in the boot clocks of their makers.
struct peer_times {
    std::int64_t sent_at_{};
    std::int64_t echo_{};      ///< `sent_at_` of the newest message from the receiver; 0: none.
    std::int64_t echo_held_{}; ///< How long ago that message arrived.
};

struct peer_datagram {
    peer_times times_;
    peer_state state_;
};

/// \returns The state as CBOR, to be sent to several peers. Thread safety: pure.
[[nodiscard]] std::vector<std::uint8_t> encode_state(peer_state const& state);

/// \returns A datagram with the times and an encoded state. Thread safety: pure.
[[nodiscard]] std::vector<std::uint8_t> encode_datagram(peer_times const& times,
                                                        std::span<std::uint8_t const> state);

/// \returns The datagram, or none if the bytes are not one. Thread safety: pure.
[[nodiscard]] std::optional<peer_datagram> decode_datagram(std::span<std::uint8_t const> bytes);

} // namespace auburnchute
