#pragma once

#include "protocol/entry_settings.hpp"
#include "protocol/metrics.hpp"
#include "transport/entry/async.hpp"
#include "transport/entry/entry_view.hpp"
#include "transport/entry/open_session.hpp"
#include "transport/entry/upstream_pool.hpp"
#include "transport/entry/work_turns.hpp"

#include <auburnchute/crash_evidence.hpp>
#include <auburnchute/fleet_exchange.hpp>
#include <auburnchute/limit_order.hpp>
#include <auburnchute/memory_budget.hpp>
#include <auburnchute/model_need.hpp>
#include <auburnchute/placement_table.hpp>
#include <auburnchute/request_attributes.hpp>
#include <auburnchute/retry.hpp>
#include <auburnchute/shared_bucket.hpp>
#include <auburnchute/shutdown_plan.hpp>
#include <auburnchute/upstream_choice.hpp>
#include <auburnchute/upstream_load.hpp>
#include <auburnchute/upstream_pace.hpp>
#include <auburnchute/upstream_signals.hpp>
#include <auburnchute/wait_order.hpp>

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnchute {

/// \brief A workspace's use at this VM.
struct workspace_use {
    name_hash hash_{}; ///< Of the workspace's name.
    shared_bucket bucket_;
    std::int64_t used_{};  ///< Units spent by this VM since its start.
    std::int64_t asked_{}; ///< Units that it was asked for since its start.
    limit_order order_;    ///< Under contested load.
    millis order_logged_at_{};
};

/// \brief This VM's own requests at an upstream, and what it learned about the upstream from them.
struct own_use {
    short_hash hash_{}; ///< Of the upstream's id.
    upstream_use use_;
    upstream_excess_latency excess_latency_;
    millis suspect_until_{};
    millis closed_until_{}; ///< It refused a connection, or is not the upstream that was meant.
    upstream_signals signals_;
    // What upstream_keeper.hpp learns, where requests compete for room.
    short_hash slowness_hash_{}; ///< Under which the slowness is told.
    short_hash pace_hash_{}; ///< Under which the pace of the present process is told; 0: not followed yet.
    slowness_estimate slowness_;
    std::optional<load_report> report_;
    upstream_pace pace_;
};

/// \brief What upstream_keeper.hpp knows of all upstreams.
struct upstream_keeping {
    std::shared_ptr<upstream_map const> followed_; ///< Whose starts were looked at.
    std::int64_t newest_at_first_{};               ///< Latest start among those known at first.
    millis settled_at_{};
    std::map<std::string, service_times, std::less<>> times_; ///< By service.
};

/// \brief This VM's own need of a model or adapter.
struct own_need {
    name_hash hash_{}; ///< Of its `need_key`.
    std::int64_t waiting_{};
    std::int64_t running_{};
    double rate_{}; ///< Requests a second, smoothed; as of `rated_at_`.
    millis rated_at_{};
};

struct forward_job;

/// \brief A request that waits for an upstream.
struct waiting_call {
    std::int64_t urgency_{};
    millis arrived_{};
    millis deadline_{};
    need_key need_;
    name_hash need_hash_{};
    wake_event* wake_{};
    forward_job const* job_{}; ///< While it waits for room under contested load; else null.
};

/// \brief Models and adapters by the hashes that messages carry.
using need_names = std::unordered_map<name_hash, need_key>;

/// \brief What the store holds of a trait.
struct kept_evidence {
    std::uint32_t round_{};
    std::vector<crash_mark> marks_;
    std::vector<workspace_answers> answers_;
    bool own_{}; ///< This VM wrote it; else it was read at the start.

    friend bool operator==(kept_evidence const&, kept_evidence const&) = default;
};

/// \brief Everything that the thread that serves requests owns.
///
/// Thread safety: used by that thread alone, but for `shared_`, `settings_` and `counters_`.
struct entry_node {
    entry_node(net::io_context& loop, entry_settings const& settings, shared_view& shared, metrics& counters)
        : loop_{loop}, settings_{settings}, shared_{shared}, counters_{counters}, pool_{loop}
    {
        exchange_.vm_ = settings.vm_;
        exchange_.first_start_ = settings.first_start_;
    }

    net::io_context& loop_;
    entry_settings const& settings_;
    shared_view& shared_;
    metrics& counters_;
    upstream_pool pool_;
    /// What requests and answers take; shared, as coroutines may outlive the node.
    std::shared_ptr<memory_budget> memory_{std::make_shared<memory_budget>(
        divide_memory(static_cast<std::size_t>(settings_.memory_mb_ * 1024 * 1024)))};
    /// Of connections that are costly to read; shared like the above.
    std::shared_ptr<work_turns> turns_{std::make_shared<work_turns>(loop_)};
    fleet_exchange exchange_;
    std::map<std::string, net::ip::udp::endpoint, std::less<>> endpoints_; ///< Of the members, by VM.
    store_position announced_config_{}; ///< `config_next_` of the newest configuration that was announced to
                                        ///< the peers at once.
    std::optional<shutdown_plan> stop_; ///< Of the planned stop that is under way.
    std::shared_ptr<session_set> sessions_{std::make_shared<session_set>()}; ///< Callers' connections.
    std::map<std::string, workspace_use, std::less<>> workspaces_;
    std::uint64_t limits_version_{}; ///< Configuration version that the buckets follow.
    std::map<std::string, own_use, std::less<>> upstreams_; ///< By upstream id.
    upstream_keeping keeping_;
    bool upstreams_tell_pace_{}; ///< An upstream has told how fast its machine is at the moment.
    std::map<need_key, own_need> needs_;
    need_names need_names_;
    std::uint64_t need_names_version_{}; ///< Configuration version of `need_names_`.
    std::list<waiting_call*> waiting_;
    std::map<need_key, room_pace> paces_; ///< Under contested load; by service and model.
    std::map<std::string, millis, std::less<>> longest_limits_;  ///< Of streams' callers here, by service.
    std::map<std::string, millis, std::less<>> plans_due_since_; ///< By service; see version_keeper.hpp.
    crash_evidence evidence_;
    std::map<trait_hash, kept_evidence> kept_evidence_; ///< Records in the store that this VM looks after.
    std::map<std::string, retry_budget, std::less<>> retries_; ///< By service; this VM's parts.
    placement_table placements_;
    std::uint64_t own_lease_epoch_{};    ///< Of the lease while this VM holds it; 0: it does not.
    store_position lease_end_{};         ///< End of the lease's topic, as the holder last reported.
    store_position config_hint_{};       ///< Largest `config_next_` that any peer has in the newest era.
    millis orders_from_{};               ///< When the holder may give orders; boot clock.
    millis handed_freshness_{};          ///< Proof of freshness that a peer handed over; boot clock.
    std::function<void()> need_changed_; ///< Called when a request starts to wait for a model.
    std::function<void(message_targets)> send_state_;       ///< Sends this daemon's state to peers now.
    std::function<void(store_position)> lease_end_changed_; ///< Called with the end of the lease's topic when
                                                            ///< a holder reports a new one.
    std::function<void(entry_report)>
        entries_reported_; ///< Called with what a peer's message says of the upstreams' entries.
    std::function<void(leave_notice)> leave_noticed_; ///< Called when an upstream says that it leaves.
    std::function<void()> reread_upstreams_;          ///< Called when a record of the upstreams was missed.
    /// Has the plan of a service's versions stored.
    std::function<void(std::string, version_plan)> offer_plan_;
    std::function<void()> stop_placing_; ///< Gives up the order lease for good.
    /// Keeps the record of a trait in the store, or deletes it there if there is none.
    std::function<void(trait_hash, std::optional<trait_record>)> keep_evidence_;
};

/// \returns Whether a request with this deadline may be sent on: this VM does not stop, or not before it.
[[nodiscard]] inline bool may_begin(entry_node const& node, millis deadline) noexcept
{
    return !node.stop_ || can_end_in_time(*node.stop_, deadline);
}

/// \returns Whether the planned stop has reached its last phase.
[[nodiscard]] inline bool is_closing(entry_node const& node) noexcept
{
    return node.stop_ && node.stop_->closing_;
}

/// \returns Whether requests compete for room at this installation: its settings say so, or its upstreams
/// share their machines with others and tell so. Decisions under load are made only there.
[[nodiscard]] bool serves_contested_load(entry_node const& node) noexcept;

/// \returns The current view's parts that a request needs. Thread safety: any thread.
struct request_view {
    std::shared_ptr<fleet_config const> config_;
    std::shared_ptr<upstream_map const> upstreams_;
    store_position config_next_{};
    bool members_read_{};
};
[[nodiscard]] request_view current_view(entry_node const& node);

/// \returns When this VM last knew that no newer configuration exists; boot clock.
[[nodiscard]] millis fresh_at(entry_node const& node) noexcept;

/// \returns Whether a key may still be honoured.
[[nodiscard]] bool keys_are_fresh(entry_node const& node, millis now) noexcept;

/// \returns Whether a key or route that this VM does not know does not exist: a newer configuration would be
/// in force by now.
[[nodiscard]] bool absence_is_certain(entry_node const& node, fleet_config const& config,
                                      millis now) noexcept;

/// \returns Whether the holder of the order lease is this VM or responsive, directly or over relays.
[[nodiscard]] bool is_holder_responsive(entry_node const& node, millis now) noexcept;

/// \returns Requests and tokens in flight at an upstream, summed over all responsive VMs.
/// \param own This VM's own, or null.
[[nodiscard]] upstream_use fleet_use(entry_node const& node, std::string_view upstream_id,
                                     own_use const* own);

/// \returns This VM's requests at an upstream; made if there were none yet.
[[nodiscard]] own_use& use_of(entry_node& node, std::string const& upstream_id);

/// \brief Takes over what an answer of an upstream's process says of that process; the other VMs are told of
/// a leave. \param started_at Of the process, by its entry.
void take_signals(entry_node& node, std::string const& upstream_id, std::int64_t started_at,
                  answer_signals const& signals);

/// \returns Whether the upstream's process may still be sent requests: what was known when it was chosen may
/// have changed since.
[[nodiscard]] bool accepts_requests(entry_node const& node, std::string_view upstream_id,
                                    std::int64_t started_at, millis now);

/// \returns This VM's need of a model or adapter; made if there was none yet.
[[nodiscard]] own_need& need_of(entry_node& node, need_key const& key);

/// \returns The names of all models and adapters of the configuration in force.
[[nodiscard]] need_names const& names_of_needs(entry_node& node);

/// \returns Whether callers may be sent here.
[[nodiscard]] bool is_ready(entry_node const& node, millis now);

/// \brief Books a request whose upstream crashed, tells the other VMs, and keeps the evidence in the store.
void book_crash(entry_node& node, crashed_request const& request);

/// \brief Books that a request was answered. \param workspace As in `crash_mark`.
/// \param began_at When its answer began; boot clock.
void book_answer(entry_node& node, std::span<request_trait const> traits, std::uint32_t workspace,
                 millis began_at);

/// \brief Takes over evidence of a peer; its times are in this VM's boot clock.
/// \returns Whether any of it was new.
bool take_evidence(entry_node& node, std::span<trait_record const> records);

/// \brief Takes over the evidence that the store held when this VM started.
void take_stored_evidence(entry_node& node, std::vector<trait_record> records);

/// \brief Drops evidence that is out of date, also from the store.
void expire_evidence(entry_node& node, millis now);

/// \brief Judges a request by the crash evidence of all VMs.
[[nodiscard]] request_verdict judge_request(entry_node const& node, std::span<request_trait const> traits,
                                            std::uint32_t workspace);

/// \brief Lets a request through that tries blocked traits, and tells the other VMs.
void begin_trial(entry_node& node, std::span<trait_hash const> traits, std::string_view request_id);

/// \returns This VM's part of the service's retry budget, as of the members that it knows.
[[nodiscard]] retry_budget& retries_of(entry_node& node, std::string const& service);

/// \brief Wakes the requests that wait, most urgent first.
void wake_waiting(entry_node& node);

/// \brief Takes over the limits of a new configuration.
void follow_limits(entry_node& node, fleet_config const& config, millis now);

} // namespace auburnchute
