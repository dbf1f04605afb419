#pragma once

#include "protocol/entry_settings.hpp"
#include "protocol/metrics.hpp"
#include "protocol/peer_message.hpp"
#include "transport/entry/async.hpp"
#include "transport/entry/entry_view.hpp"
#include "transport/entry/upstream_pool.hpp"

#include <auburnchute/call.hpp>
#include <auburnchute/model_need.hpp>
#include <auburnchute/placement_board.hpp>
#include <auburnchute/retry.hpp>
#include <auburnchute/shared_bucket.hpp>
#include <auburnchute/upstream_choice.hpp>

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnchute {

/// \brief What this daemon knows of a peer.
struct known_peer {
    entry_member member_;
    net::ip::udp::endpoint endpoint_;
    millis heard_at_{};         ///< Of the newest message; 0: never.
    std::int64_t last_stamp_{}; ///< Its newest message's `sent_at_`.
    peer_state state_;
    booked_use booked_;  ///< Of its use.
    booked_use asked_;   ///< Of what it was asked for.
    millis joined_at_{}; ///< When this process of it was first heard.
    bool counted_{};     ///< Its requests are part of `peers_use_`.
};

/// \brief Which peers a message goes to.
enum class message_targets : std::uint8_t {
    all,
    holder,  ///< The VM that places models.
    waiting, ///< Those with requests that wait for a model.
};

/// \brief A workspace's use at this VM.
struct workspace_use {
    shared_bucket bucket_;
    std::int64_t used_{};  ///< Units spent by this VM since its start.
    std::int64_t asked_{}; ///< Units that it was asked for since its start.
};

/// \brief This VM's own requests at an upstream, and what it learned about the upstream from them.
struct own_use {
    upstream_use use_;
    upstream_lag lag_;
    millis suspect_until_{};
    millis closed_until_{}; ///< It said that it is leaving, or is not the upstream that was meant.
};

/// \brief This VM's own need of a model or adapter.
struct own_need {
    std::int64_t waiting_{};
    std::int64_t running_{};
    double rate_{}; ///< Requests a second, smoothed; as of `rated_at_`.
    millis rated_at_{};
};

/// \brief A request that waits for an upstream.
struct waiting_call {
    std::int64_t urgency_{};
    millis arrived_{};
    millis deadline_{};
    need_key need_;
    wake_event* wake_{};
};

/// \brief Everything that the thread that serves requests owns.
///
/// Thread safety: used by that thread alone, but for `shared_`, `settings_` and `counters_`.
struct entry_node {
    entry_node(net::io_context& loop, entry_settings const& settings, shared_view& shared, metrics& counters)
        : loop_{loop}, settings_{settings}, shared_{shared}, counters_{counters}, pool_{loop}
    {
    }

    net::io_context& loop_;
    entry_settings const& settings_;
    shared_view& shared_;
    metrics& counters_;
    upstream_pool pool_;
    std::uint64_t incarnation_{};
    millis started_at_{};
    std::uint64_t config_told_{}; ///< Offset of the configuration that the peers were told of at once.
    bool stopping_{};
    std::int64_t open_calls_{};
    std::map<std::string, known_peer, std::less<>> peers_; ///< By VM.
    std::map<std::string, workspace_use, std::less<>> workspaces_;
    std::uint64_t limits_version_{}; ///< Configuration version that the buckets follow.
    std::map<std::string, own_use, std::less<>> upstreams_;      ///< By upstream id.
    std::map<std::string, upstream_use, std::less<>> peers_use_; ///< Of all peers that are heard.
    std::map<need_key, own_need> needs_;
    std::list<waiting_call*> waiting_;
    std::map<std::string, int, std::less<>> crashes_;          ///< By fingerprint; own ones.
    std::map<std::string, retry_budget, std::less<>> retries_; ///< By service; this VM's parts.
    placement_board placements_;
    std::uint64_t own_lease_epoch_{};    ///< Of the lease while this VM holds it; 0: it does not.
    std::uint64_t lease_end_{};          ///< End of the lease's topic, as the holder last told.
    millis orders_from_{};               ///< When the holder may give orders; boot clock.
    millis handed_freshness_{};          ///< Proof of freshness that a peer handed over; boot clock.
    std::function<void()> need_changed_; ///< Called when a request starts to wait for a model.
    std::function<void(message_targets)> send_state_; ///< Sends this daemon's state to peers now.
    std::function<void(std::uint64_t)>
        lease_told_; ///< Called with the lease's end when a holder tells a new one.
    std::function<void(upstream_news)> news_told_; ///< Called with news of upstreams that a peer read.
    std::function<void()> stop_placing_;           ///< Gives the placement lease up for good.
};

/// \returns Time between this VM's messages to its peers: with many peers each message costs more. Thread
/// safety: pure.
[[nodiscard]] millis message_rhythm(std::size_t peers) noexcept;

/// \returns Silence after which a peer counts as not heard: three messages, so that a lost one does no harm.
/// Thread safety: pure.
[[nodiscard]] millis peer_silence(std::size_t peers) noexcept;

/// \returns Whether a message of the peer came lately.
[[nodiscard]] bool is_heard(entry_node const& node, known_peer const& peer, millis now) noexcept;

/// \returns The current view's parts that a request needs. Thread safety: any thread.
struct request_view {
    std::shared_ptr<fleet_config const> config_;
    std::shared_ptr<upstream_map const> upstreams_;
    std::uint64_t config_next_{};
    bool members_read_{};
};
[[nodiscard]] request_view current_view(entry_node const& node);

/// \returns When this VM last knew that no newer configuration exists; boot clock.
[[nodiscard]] millis fresh_at(entry_node const& node) noexcept;

/// \returns Whether a key may still be honoured.
[[nodiscard]] bool keys_are_fresh(entry_node const& node, millis now) noexcept;

/// \returns The part of the members that this VM hears, itself included; above 0, at most 1.
[[nodiscard]] double heard_share(entry_node const& node, millis now) noexcept;

/// \brief Adds the peer's requests to `peers_use_`, or takes them out; does nothing if that is so already.
void count_use(entry_node& node, known_peer& peer, bool counted);

/// \returns Requests and tokens at an upstream over all VMs that are heard.
[[nodiscard]] upstream_use fleet_use(entry_node const& node, std::string_view upstream_id);

/// \returns Whether callers may be sent here.
[[nodiscard]] bool is_ready(entry_node const& node, millis now);

/// \returns How often upstreams died under requests with this fingerprint, as far as all VMs told.
[[nodiscard]] int crash_count(entry_node const& node, std::string_view fingerprint);

/// \returns This VM's part of the service's retry budget, as of the members that it knows.
[[nodiscard]] retry_budget& retries_of(entry_node& node, std::string const& service);

/// \brief Wakes the requests that wait, most urgent first.
void wake_waiting(entry_node& node);

/// \brief Takes over the limits of a new configuration.
void follow_limits(entry_node& node, fleet_config const& config, millis now);

} // namespace auburnchute
