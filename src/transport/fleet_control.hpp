#pragma once

#include "protocol/explain.hpp"
#include "protocol/metrics.hpp"
#include "protocol/settings.hpp"
#include "transport/engine_client.hpp"
#include "transport/fleet_view.hpp"
#include "transport/log_client.hpp"
#include "transport/peer_service.hpp"
#include "transport/share_book.hpp"
#include "transport/vm_list_client.hpp"

#include <auburnchute/authority.hpp>
#include <auburnchute/clock.hpp>
#include <auburnchute/log_writer.hpp>
#include <auburnchute/placement.hpp>
#include <auburnchute/quarantine.hpp>
#include <auburnchute/rcu_cell.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace auburnchute {

/// \brief How a submitted record ended.
struct submit_result {
    bool known_{};         ///< False: not read back in time; the record may still take effect.
    apply_result verdict_; ///< Valid if `known_`.
    std::uint64_t offset_{};
};

/// \brief A peer as `status` shows it.
struct peer_status {
    std::uint64_t next_offset_{};
    millis last_message_at_{}; ///< 0: never.
};

/// \brief The control part of a daemon: folds the log, appends records, exchanges heartbeats with peers,
/// polls upstreams, plans placement and carries out orders. Publishes a `fleet_view` for the request path.
///
/// Thread safety: all public functions may be called from any thread after `start`.
class fleet_control {
public:
    /// \brief Called after each published view, from control threads.
    using view_listener = std::function<void()>;
    /// \brief Asked for this daemon's demand, from control threads.
    using demand_source = std::function<std::map<model_key, model_demand>()>;

    fleet_control(settings const& config, clock clk, metrics& counters, trail_store& trails);
    ~fleet_control();
    fleet_control(fleet_control const&) = delete;
    fleet_control& operator=(fleet_control const&) = delete;

    /// \brief Binds the peer port and starts all threads. \throws error if the port cannot be bound.
    void start(view_listener on_view, demand_source own_demand);

    /// \brief Begins a planned stop: this VM leaves the entry list and new share versions.
    void begin_stop();

    /// \returns True after a planned stop has begun, by a signal or by a drain.
    [[nodiscard]] bool is_stopping() const;

    /// \brief Ends the membership after the last request. Waits up to `limit` for the log.
    /// \pre `begin_stop` was called.
    void end_membership(millis limit);

    /// \brief Reads the published view. The reference is valid only within `use`.
    template <typename F>
    auto read(F&& use) const
    {
        return view_.read(std::forward<F>(use));
    }

    /// \brief Writes a record and waits until it is folded or the time is over.
    [[nodiscard]] submit_result submit_and_wait(record_body body, millis limit);

    /// \brief Writes a record without waiting; `then`, if set, is called once with the result.
    void submit(record_body body, std::function<void(submit_result const&)> then = {});

    /// \brief Waits until the folded log meets the condition, the time is over, or a stop is asked for.
    /// \param holds Called with the lock held; it must not call back. \returns The state that was seen last.
    [[nodiscard]] std::shared_ptr<fleet_state const>
    wait_folded(std::function<bool(fleet_state const&)> const& holds, millis limit,
                std::stop_token const& stop);

    /// \brief Reserves tokens of a workspace, borrowing from peers if needed, until `deadline`.
    [[nodiscard]] bool reserve_tokens(std::string const& workspace, std::int64_t tokens, millis deadline);

    [[nodiscard]] share_book& shares() noexcept { return shares_; }
    [[nodiscard]] std::map<member_id, peer_status> peers() const;

    /// \brief Wakes the sender of demand, when a model without a replica is first waited for.
    void demand_changed();

    /// \brief Books that a request runs on an upstream, and that it ended.
    void request_started(std::string const& upstream, std::string const& request,
                         std::string const& fingerprint, bool isolated);
    void request_ended(std::string const& upstream, std::string const& request);

    /// \brief Reports that the connection to an upstream broke. Checks whether the upstream died and books
    /// the crash once.
    /// \param replica The replica that ran the request; empty for a service.
    void connection_broke(std::string const& upstream, std::string const& replica,
                          std::string const& request);

    /// \brief Reports that a suspect finished.
    void suspect_finished(std::string const& fingerprint);

    [[nodiscard]] crash_verdict judge_request(std::string const& fingerprint) const;

    /// \returns True if a suspect may start its isolated run now; otherwise ask again later.
    [[nodiscard]] bool may_start_isolated(std::string const& fingerprint) const;

    /// \returns How long ago the log was known to be read to its tail.
    [[nodiscard]] millis log_age() const;

    [[nodiscard]] clock const& time_source() const noexcept { return clock_; }

private:
    struct peer_link;
    struct running_request {
        std::string fingerprint_;
        bool isolated_{};
    };
    struct pending_submit {
        std::function<void(submit_result const&)> then_;
    };
    struct stewarded {
        upstream_report report_;
        millis received_at_{};
        bool reachable_{};
    };

    /// Waits for calls to the log, upstreams and peers; an order to load may take minutes.
    void end_threads();

    // Log.
    void run_reader(std::stop_token const& stop);
    void run_writer(std::stop_token const& stop);
    bool read_log();
    bool fetch_from_peers();
    void fold_entries(std::span<log_entry const> entries);
    /// \pre `mutex_` is held; the record is not folded yet.
    void note_failed_load(record const& rec);
    [[nodiscard]] bool restore_from_snapshot(std::uint64_t first, std::uint64_t next);
    void resolve(std::uint64_t sequence, submit_result const& result);
    void after_fold();
    void join();
    void write_snapshot_if_due(std::uint64_t first);

    // Peers.
    void run_peers(std::stop_token const& stop);
    void heartbeat_peer(std::stop_token const& stop, std::shared_ptr<peer_link> const& link);
    [[nodiscard]] peer::v1::HeartbeatRequest make_heartbeat();
    peer::v1::HeartbeatReply on_heartbeat(peer::v1::HeartbeatRequest const& request);
    peer::v1::BorrowReply on_borrow(peer::v1::BorrowRequest const& request);
    void on_demand(peer::v1::DemandRequest const& request);
    peer::v1::FetchReply on_fetch(peer::v1::FetchRequest const& request);
    void vote_out_silent_members();
    void return_loans();
    [[nodiscard]] std::vector<std::shared_ptr<peer_link>> links() const;
    [[nodiscard]] std::shared_ptr<peer_link> link_to(member_id const& member) const;

    // Upstreams.
    void run_vm_list(std::stop_token const& stop);
    void run_stewards(std::stop_token const& stop);
    void poll_upstream(std::string const& upstream, std::string const& address);
    void reconcile(std::string const& upstream, upstream_report const& report);
    void take_report(std::string const& upstream, upstream_report const& report, millis received_at);
    [[nodiscard]] bool is_preferred(std::string const& key) const;
    [[nodiscard]] std::optional<member_id> preferred(std::string const& key) const;

    // Placement.
    void run_planner(std::stop_token const& stop);
    void send_demand();
    void plan_pools();
    void start_orders();
    void run_load(std::string replica, replica_entry entry, upstream_entry upstream);
    void run_unload(std::string replica, replica_entry entry, std::optional<upstream_entry> upstream);
    void run_order(std::string id, std::function<void()> work);
    [[nodiscard]] bool may_act() const;

    [[nodiscard]] static std::uint64_t random_incarnation();
    void publish();
    [[nodiscard]] std::shared_ptr<fleet_state const> state() const;
    bool pause(std::stop_token const& stop, millis time);

    settings config_;
    clock clock_;
    metrics& metrics_;
    trail_store& trails_;
    view_listener on_view_;
    demand_source own_demand_;
    log_client log_;
    peer_security security_;
    share_book shares_;
    rcu_cell<fleet_view> view_;

    mutable std::mutex mutex_; ///< Guards all that follows.
    member_id self_;
    fleet_state fold_;
    std::shared_ptr<fleet_state const> state_;
    std::deque<log_entry> recent_; ///< For peers that cannot reach the log.
    std::uint64_t last_snapshot_{};
    bool ready_{};
    bool joined_{};
    bool stopping_{};
    millis lapsed_since_{};
    authority last_authority_{authority::lapsed};
    authority_view authority_;
    log_writer writer_;
    std::map<std::uint64_t, pending_submit> pending_;
    std::map<member_id, std::shared_ptr<peer_link>> links_;
    std::map<member_id, std::map<model_key, model_demand>> peer_demand_;
    std::map<member_id, millis> peer_demand_at_;
    std::map<std::string, upstream_status> upstreams_;
    std::map<std::string, stewarded> stewarded_;
    std::set<std::string> list_leaving_;
    std::map<std::string, std::string> listed_entries_; ///< Entry VMs once listed, with their instance.
    std::map<std::string, int> absent_reads_;
    std::map<std::string, cached_weights> caches_;
    std::map<std::string, millis> loaded_at_;
    std::vector<failed_load> failed_loads_;
    std::set<std::uint64_t> open_proposals_;
    std::uint64_t next_replica_{1};
    std::set<std::string> running_orders_;
    std::map<std::string, std::map<std::string, running_request>> running_;
    local_crash_evidence quarantine_;
    std::vector<crash_seen> fresh_crashes_;
    std::map<std::string, millis> borrow_refused_;

    std::mutex publish_mutex_; ///< One publisher at a time.
    std::condition_variable_any wake_;
    std::condition_variable_any writer_wake_;
    std::condition_variable_any planner_wake_;
    bool demand_kick_{};
    std::unique_ptr<peer_server> server_;
    std::mutex order_mutex_;
    std::map<std::string, std::jthread> order_threads_;
    std::vector<std::string> ended_orders_;
    std::map<std::string, std::jthread> steward_threads_;
    std::map<member_id, std::jthread> peer_threads_;
    std::vector<std::jthread> threads_;
};

} // namespace auburnchute
