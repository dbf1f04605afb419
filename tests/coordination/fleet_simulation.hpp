#pragma once

#include <auburnchute/authority.hpp>
#include <auburnchute/fleet_state.hpp>
#include <auburnchute/log_writer.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnchute::test {

enum class fault : std::uint8_t {
    killed,
    paused,
    partition,         ///< The VM neither sends nor receives.
    inbound_partition, ///< The VM sends, but receives nothing.
    log_down,
    log_slow,
    ack_lost, ///< Appends take effect, but are not acknowledged.
    store_slow,
    vm_reclaimed,
    vm_list_delayed, ///< The VM list names a replaced VM longer than usual.
    key_withdrawn,
    concurrent_edits,
    poison ///< A request that crashes its engine is sent until it is quarantined.
};
inline constexpr std::array<std::string_view, 13> fault_names{
    "killed",        "paused",           "partition",  "inbound partition", "log down",
    "log slow",      "ack lost",         "store slow", "vm reclaimed",      "vm list delayed",
    "key withdrawn", "concurrent edits", "poison"};

enum class operation : std::uint8_t {
    load,
    unload,
    request,
    purchase,
    configuration,
    key_change,
    drain,
    takeover
};
inline constexpr std::array<std::string_view, 8> operation_names{
    "load", "unload", "request", "purchase", "configuration", "key change", "drain", "takeover"};

/// \brief A fault and the step of the operation at which it is injected.
struct fault_injection {
    fault fault_{};
    int step_{};
};

/// \brief Simulates several daemons, the log, engines and a service in one thread on a manual clock. A daemon
/// consists of its applied log state, a log writer, an authority view and its outstanding orders. The
/// invariants are checked mainly on the engines, the service, the callers and a reference state, not on the
/// daemons' states.
class fleet_simulation {
public:
    static constexpr millis tick{100};
    static constexpr std::int64_t vm_memory = 100;
    static constexpr millis fault_length{15'000};

    fleet_simulation(operation op, std::vector<fault_injection> injections)
        : operation_{op}, injections_{std::move(injections)}
    {
        engines_["u0"] = {"i0", true, {}, {}};
        engines_["u1"] = {"i0", false, {}, {}};
        for (auto const& [name, e] : engines_) {
            listed_instances_[name] = e.instance_;
        }
        for (std::size_t i = 0; i < 3; ++i) {
            start_daemon(i);
        }
    }

    /// \brief Runs the operation with its faults until all faults have ended, then checks the recovery.
    void run()
    {
        advance_for({4'000});
        submit(0, tables_published{0, make_tables()});
        advance_for({1'000});
        submit(0, key_granted{"d1", "legal", "n"});
        if (operation_ != operation::load) {
            propose_load(0, "r-first", "big", "u1");
        }
        advance_for({5'000});
        start_operation();
        advance_for({60'000});
        check_recovered();
    }

    [[nodiscard]] int steps() const noexcept { return steps_; }
    [[nodiscard]] std::size_t injected() const noexcept { return injected_; }
    [[nodiscard]] std::vector<std::string> const& violations() const noexcept { return violations_; }
    [[nodiscard]] std::map<std::string, int> const& counts() const noexcept { return counts_; }

private:
    struct resident_replica {
        std::string model_;
        std::int64_t memory_{};
        bool loading_{};
        millis loaded_at_{};
    };
    struct engine {
        std::string instance_;
        bool honours_fencing_{};
        std::map<std::string, resident_replica> replicas_;
        std::set<std::string> unloaded_;
    };
    struct order {
        bool unload_{};
        std::string replica_;
        std::string upstream_;
        std::string model_;
        std::int64_t memory_{};
        std::size_t daemon_{};
        std::uint64_t incarnation_{};
        millis arrives_at_{};
        bool arrived_{};
    };
    struct append {
        std::size_t daemon_{};
        std::uint64_t incarnation_{};
        std::vector<record> batch_;
        millis effective_at_{};
        millis returns_at_{};
        bool takes_effect_{};
        bool acknowledged_{};
        bool returned_{};
    };
    struct read_call {
        millis sent_at_{};
        millis returns_at_{};
        std::size_t end_offset_{};
        bool succeeds_{};
    };
    struct process {
        member_id self_;
        bool running_{};
        millis restart_at_{};
        millis paused_until_{};
        millis partitioned_until_{};
        bool inbound_only_{};
        fleet_state state_;
        log_writer writer_;
        authority_view view_;
        std::optional<read_call> read_;
        std::vector<order> ready_orders_; ///< Orders that passed their checks and are about to be sent.
        std::set<std::string> open_orders_;
        std::set<std::string> uncertain_loads_; ///< Replicas with a load order whose outcome was lost.
        std::map<std::string, millis> last_submitted_at_; ///< By content: time of the last submission.
        std::map<std::uint64_t, std::function<void(verdict)>> callbacks_;
        std::vector<std::string> ready_calls_; ///< Purchase attempts whose call is about to be sent.
        std::uint64_t acked_version_{};
    };
    struct attempt {
        std::size_t daemon_{};
        millis deadline_{};
        bool reported_not_run_{};
        bool ended_{};
    };
    struct entry {
        std::vector<record> batch_;
        millis at_{};
    };

    static tables make_tables()
    {
        tables all;
        all.workspaces_ = {{"legal", 100, 1'000, 1}};
        pool_row pool;
        pool.name_ = "gpu";
        pool.upstreams_ = {"u*"};
        model_row big;
        big.name_ = "big";
        big.memory_mb_ = 60;
        big.max_replicas_ = 1;
        model_row small = big;
        small.name_ = "small";
        small.memory_mb_ = 40;
        small.max_replicas_ = 2;
        pool.models_ = {big, small};
        all.pools_ = {pool};
        all.store_ = {2, 1};
        return all;
    }

    void record_violation(int promise, std::string const& what)
    {
        if (violations_.size() < 5) {
            violations_.push_back("promise " + std::to_string(promise) + ": " + what + " at " +
                                  std::to_string(now_.count_));
        }
    }

    void start_daemon(std::size_t daemon)
    {
        process p;
        p.self_ = {"e" + std::to_string(daemon), ++incarnations_};
        p.running_ = true;
        p.writer_.self_ = p.self_;
        p.view_.self_ = p.self_;
        p.view_.started_at_ = now_;
        if (daemons_.size() <= daemon) {
            daemons_.resize(daemon + 1);
        }
        // A network partition concerns the VM, so it outlasts the process.
        p.partitioned_until_ = daemons_[daemon].partitioned_until_;
        p.inbound_only_ = daemons_[daemon].inbound_only_;
        daemons_[daemon] = std::move(p);
    }

    /// Ends a daemon's process. Its connections and the orders that have not reached an engine are lost.
    void kill_daemon(std::size_t daemon, millis pause)
    {
        auto& p = daemons_[daemon];
        p.running_ = false;
        p.restart_at_ = now_ + pause;
        p.ready_orders_.clear();
        p.ready_calls_.clear();
        std::erase_if(orders_, [&](order const& o) { return o.daemon_ == daemon && !o.arrived_; });
    }

    /// Counts a step of the operation and injects the faults that are due at it, between two actions of a
    /// daemon.
    void reach_step(std::size_t daemon)
    {
        if (!operation_started_) {
            return;
        }
        ++steps_;
        // Injecting a fault may reach further steps, so each one is removed from the list before it is
        // injected.
        for (bool found = true; found;) {
            auto const it = std::find_if(injections_.begin(), injections_.end(),
                                         [this](fault_injection const& s) { return s.step_ <= steps_; });
            found = it != injections_.end();
            if (found) {
                auto const what = it->fault_;
                injections_.erase(it);
                ++injected_;
                inject_fault(what, daemon);
            }
        }
    }

    void inject_fault(fault what, std::size_t daemon)
    {
        ++counts_[std::string{fault_names[static_cast<std::size_t>(what)]}];
        auto& p = daemons_[daemon];
        auto const until = now_ + fault_length;
        switch (what) {
        case fault::killed:
            kill_daemon(daemon, {3'000});
            break;
        case fault::paused:
            p.paused_until_ = until;
            break;
        case fault::partition:
        case fault::inbound_partition:
            p.partitioned_until_ = until;
            p.inbound_only_ = what == fault::inbound_partition;
            break;
        case fault::log_down:
            log_down_until_ = until;
            break;
        case fault::log_slow:
            log_slow_until_ = until;
            break;
        case fault::ack_lost:
            acks_to_lose_ += 2;
            break;
        case fault::store_slow:
            store_slow_until_ = until;
            break;
        case fault::vm_reclaimed:
            reclaim_vm("u1");
            break;
        case fault::vm_list_delayed:
            vm_list_delayed_until_ = until;
            break;
        case fault::key_withdrawn:
            withdraw_key((daemon + 1) % daemons_.size());
            break;
        case fault::concurrent_edits:
            publish_tables((daemon + 1) % daemons_.size(), "race-a");
            publish_tables((daemon + 2) % daemons_.size(), "race-b");
            break;
        case fault::poison:
            poison_until_ = until;
            break;
        }
    }

    void reclaim_vm(std::string const& name)
    {
        auto& e = engines_.at(name);
        e.instance_ = "i" + std::to_string(++instances_);
        e.replicas_.clear();
        e.unloaded_.clear();
        auto const delay = now_ < vm_list_delayed_until_ ? millis{12'000} : millis{1'000};
        list_changes_.push_back({now_ + delay, name, e.instance_});
    }

    void start_operation()
    {
        operation_started_ = true;
        switch (operation_) {
        case operation::load:
            propose_load(0, "r-first", "big", "u1");
            break;
        case operation::unload:
            submit(0, unload_decided{"r-first", daemons_[0].self_});
            break;
        case operation::request:
            break;
        case operation::purchase:
            purchase_open_ = true;
            break;
        case operation::configuration:
            publish_tables(0, "first");
            break;
        case operation::key_change:
            withdraw_key(0);
            break;
        case operation::drain:
            submit(0, drain_set{"u1", true}, [this](verdict v) {
                if (v == verdict::accepted) {
                    drained_at_ = now_;
                }
            });
            break;
        case operation::takeover:
            propose_load(0, "r-taken", "small", "u1");
            kill_at_ = now_ + millis{400};
            break;
        }
    }

    void publish_tables(std::size_t daemon, std::string const& message)
    {
        auto& p = daemons_[daemon];
        auto all = *p.state_.tables_;
        all.message_ = message;
        if (all.workspaces_.empty()) {
            return;
        }
        all.workspaces_[0].rate_ = 200 + static_cast<std::int64_t>(++publications_);
        auto const base = all.version_;
        submit(daemon, tables_published{base, all}, [this, base](verdict v) {
            if (v == verdict::accepted) {
                if (!published_bases_.insert(base).second) {
                    record_violation(13, "two operators replaced version " + std::to_string(base));
                }
                accepted_versions_[now_.count_] = base + 1;
            }
        });
    }

    void withdraw_key(std::size_t daemon)
    {
        submit(daemon, key_withdrawn{"d1"}, [this](verdict v) {
            if (v == verdict::accepted) {
                withdrawn_at_ = now_;
            }
        });
    }

    void submit(std::size_t daemon, record_body body, std::function<void(verdict)> then = {})
    {
        auto& p = daemons_[daemon];
        if (!p.running_ || p.paused_until_ > now_) {
            return;
        }
        auto const sequence = auburnchute::submit(p.writer_, std::move(body));
        if (sequence && then) {
            p.callbacks_[*sequence] = std::move(then);
        }
        reach_step(daemon);
    }

    /// Submits a record unless this daemon submitted one with the same content within the last 4 s.
    void submit_throttled(std::size_t daemon, std::string const& what, record_body body)
    {
        auto& last = daemons_[daemon].last_submitted_at_.try_emplace(what, millis{-100'000}).first->second;
        if (now_ - last >= millis{4'000}) {
            last = now_;
            submit(daemon, std::move(body));
        }
    }

    void propose_load(std::size_t daemon, std::string id, std::string model, std::string upstream)
    {
        auto& p = daemons_[daemon];
        auto const count = replica_count(p.state_, "gpu", model, "");
        submit(daemon, load_decided{std::move(id), "gpu", model, "", std::move(upstream),
                                    model == "big" ? 60 : 40, load_source::store, p.self_, count});
    }

    [[nodiscard]] bool is_blocked(std::size_t from, std::size_t to) const
    {
        auto const& a = daemons_[from];
        auto const& b = daemons_[to];
        return (a.partitioned_until_ > now_ && !a.inbound_only_) || b.partitioned_until_ > now_;
    }

    [[nodiscard]] bool may_act(process const& p) const
    {
        return p.state_.members_.contains(p.self_) &&
               evaluate_authority(p.state_, p.view_, now_) != authority::lapsed;
    }

    void advance_for(millis length)
    {
        for (auto const end = now_ + length; now_ < end;) {
            now_ += tick;
            advance_environment();
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                auto& p = daemons_[i];
                if (!p.running_ && now_ >= p.restart_at_) {
                    start_daemon(i);
                }
                if (daemons_[i].running_ && daemons_[i].paused_until_ <= now_) {
                    run_daemon(i);
                }
            }
            advance_callers();
            check_invariants();
        }
    }

    void advance_environment()
    {
        if (kill_at_ && now_ >= *kill_at_) {
            kill_at_.reset();
            kill_daemon(0, {2'000});
        }
        for (auto const& [at, name, instance] : list_changes_) {
            if (at <= now_) {
                listed_instances_[name] = instance;
            }
        }
        std::erase_if(list_changes_, [this](auto const& change) { return std::get<0>(change) <= now_; });
        for (std::size_t i = 0; i < appends_.size(); ++i) {
            if (appends_[i].takes_effect_ && appends_[i].effective_at_ <= now_) {
                appends_[i].takes_effect_ = false;
                log_.push_back({appends_[i].batch_, now_});
                for (auto const& rec : appends_[i].batch_) {
                    (void)apply(reference_state_, rec, log_.size() - 1, now_);
                }
                reach_step(appends_[i].daemon_);
            }
        }
        for (std::size_t i = 0; i < orders_.size(); ++i) {
            if (!orders_[i].arrived_ && orders_[i].arrives_at_ <= now_) {
                orders_[i].arrived_ = true;
                deliver_order(orders_[i]);
                reach_step(orders_[i].daemon_);
            }
        }
    }

    void deliver_order(order const& o)
    {
        auto& e = engines_.at(o.upstream_);
        if (o.unload_) {
            e.replicas_.erase(o.replica_);
            if (e.honours_fencing_) {
                e.unloaded_.insert(o.replica_);
            }
            return;
        }
        if (e.replicas_.contains(o.replica_) || (e.honours_fencing_ && e.unloaded_.contains(o.replica_))) {
            return;
        }
        auto const length = now_ < store_slow_until_ ? millis{8'000} : millis{800};
        e.replicas_[o.replica_] = {o.model_, o.memory_, true, now_ + length};
        ++counts_["loads"];
    }

    void run_daemon(std::size_t daemon)
    {
        auto& p = daemons_[daemon];
        // Orders and calls that were about to be sent before a pause are sent after it; the orders are not
        // checked again.
        for (auto& o : std::exchange(p.ready_orders_, {})) {
            send_order(std::move(o));
        }
        for (auto const& id : std::exchange(p.ready_calls_, {})) {
            call_service(daemon, id);
        }
        auto const alive = [&] { return p.running_ && p.paused_until_ <= now_; };
        complete_orders(daemon);
        complete_appends(daemon);
        read_log(daemon);
        if (!alive()) {
            return;
        }
        if (is_gone(p.state_, p.self_)) {
            ++counts_["voted out"];
            kill_daemon(daemon, {500}); // A removed daemon ends its process, and a new one joins.
            return;
        }
        exchange_heartbeats(daemon);
        if (may_act(p) && alive()) {
            submit_decisions(daemon);
        }
        if (alive()) {
            write_log(daemon);
        }
    }

    void complete_appends(std::size_t daemon)
    {
        auto& p = daemons_[daemon];
        for (auto& a : appends_) {
            if (!a.returned_ && a.returns_at_ <= now_ && a.daemon_ == daemon) {
                a.returned_ = true;
                if (a.incarnation_ == p.self_.incarnation_) {
                    complete_append(p.writer_, a.acknowledged_, now_);
                }
            }
        }
        std::erase_if(appends_, [](append const& a) { return a.returned_ && !a.takes_effect_; });
    }

    void write_log(std::size_t daemon)
    {
        auto& p = daemons_[daemon];
        auto batch = start_batch(p.writer_, daemons_.size(), now_);
        if (batch.empty()) {
            return;
        }
        append a;
        a.daemon_ = daemon;
        a.incarnation_ = p.self_.incarnation_;
        a.batch_ = std::move(batch);
        auto const delay = now_ < log_slow_until_ ? millis{3'000} : tick;
        bool const partitioned = p.partitioned_until_ > now_;
        a.takes_effect_ = now_ >= log_down_until_ && (!partitioned || p.inbound_only_);
        a.effective_at_ = now_ + delay;
        a.returns_at_ = now_ + (partitioned ? millis{1'000} : delay);
        a.acknowledged_ = a.takes_effect_ && !partitioned;
        if (a.acknowledged_ && acks_to_lose_ > 0) {
            --acks_to_lose_;
            a.acknowledged_ = false;
        }
        appends_.push_back(std::move(a));
    }

    void read_log(std::size_t daemon)
    {
        auto& p = daemons_[daemon];
        if (p.read_ && p.read_->returns_at_ <= now_) {
            auto const done = *p.read_;
            p.read_.reset();
            p.view_.log_reachable_ = done.succeeds_;
            if (done.succeeds_) {
                apply_log(daemon, done.end_offset_);
                p.view_.log_tail_read_at_ = done.sent_at_;
            }
        }
        if (!p.running_ || p.read_) {
            return;
        }
        bool const partitioned = p.partitioned_until_ > now_;
        bool const down = now_ < log_down_until_;
        auto const delay = partitioned ? millis{1'000} : now_ < log_slow_until_ ? millis{2'500} : tick;
        p.read_ = read_call{now_, now_ + delay, log_.size(), !partitioned && !down};
        if (!p.view_.log_reachable_) {
            fetch_from_peers(daemon);
        }
    }

    void fetch_from_peers(std::size_t daemon)
    {
        for (std::size_t other = 0; other < daemons_.size(); ++other) {
            auto const& q = daemons_[other];
            if (other != daemon && q.running_ && q.paused_until_ <= now_ && !is_blocked(daemon, other) &&
                !is_blocked(other, daemon)) {
                apply_log(daemon, q.state_.next_offset_);
            }
        }
    }

    void apply_log(std::size_t daemon, std::size_t to)
    {
        auto& p = daemons_[daemon];
        auto const version = p.state_.tables_->version_;
        std::vector<std::pair<std::function<void(verdict)>, verdict>> results;
        for (auto i = p.state_.next_offset_; i < to; ++i) {
            for (auto const& rec : log_[i].batch_) {
                auto const result = apply(p.state_, rec, i, log_[i].at_);
                if (rec.writer_ != p.self_) {
                    continue;
                }
                (void)confirm_read_back(p.writer_, rec.sequence_);
                auto const it = p.callbacks_.find(rec.sequence_);
                if (it != p.callbacks_.end() && result.verdict_ != verdict::repeated) {
                    results.emplace_back(std::move(it->second), result.verdict_);
                    p.callbacks_.erase(it);
                }
            }
        }
        if (p.state_.tables_->version_ < version) {
            record_violation(13, "the version of the tables decreased on " + to_string(p.self_));
        }
        for (auto& [then, v] : results) {
            reach_step(daemon);
            if (daemons_[daemon].running_) {
                then(v);
            }
        }
    }

    void exchange_heartbeats(std::size_t daemon)
    {
        auto& p = daemons_[daemon];
        for (std::size_t other = 0; other < daemons_.size(); ++other) {
            auto& q = daemons_[other];
            if (other == daemon || !q.running_ || q.paused_until_ > now_ || is_blocked(daemon, other)) {
                continue;
            }
            q.view_.last_message_from_[p.self_] = now_;
            if (p.view_.log_reachable_ || !may_confirm_outage(q.state_, q.view_, p.self_)) {
                continue;
            }
            q.view_.outage_confirmed_to_[p.self_] = now_;
            if (!is_blocked(other, daemon)) {
                p.view_.outage_confirmed_by_[q.self_] = now_;
            }
        }
        for (auto const& silent : cast_removal_votes(p.state_, p.view_, now_)) {
            submit(daemon, member_suspected{p.self_, silent});
        }
        if (p.view_.log_tail_read_at_ != millis{} && !p.state_.members_.contains(p.self_)) {
            submit_throttled(daemon, "join",
                             member_joined{p.self_, "za", "h", "p", "a", p.state_.next_offset_});
        }
        if (p.state_.pending_.number_ > p.acked_version_ && p.state_.members_.contains(p.self_)) {
            p.acked_version_ = p.state_.pending_.number_;
            submit(daemon, share_ack{p.self_, p.acked_version_});
        }
    }

    void submit_decisions(std::size_t daemon)
    {
        auto& p = daemons_[daemon];
        for (auto const& [name, instance] : std::map{listed_instances_}) {
            auto const it = p.state_.upstreams_.find(name);
            if (it == p.state_.upstreams_.end() || it->second.vm_instance_ != instance) {
                submit_throttled(daemon, "seen " + name + instance,
                                 upstream_seen{name, instance, "x:1", "za", vm_memory,
                                               engines_.at(name).honours_fencing_, false});
            }
        }
        auto const live = live_members(p.state_);
        bool const is_planner = !live.empty() && live.front() == p.self_;
        for (auto const& [id, r] : std::map{p.state_.replicas_}) {
            if (!p.running_ || p.paused_until_ > now_) {
                return;
            }
            process_replica(daemon, id, r, is_planner);
        }
        // Every daemon proposes more loads than fit, so that released memory is reserved again at once.
        if (operation_started_ && now_.count_ % 1'000 == static_cast<std::int64_t>(daemon) * 300) {
            auto const* const model = now_.count_ % 2'000 < 1'000 ? "big" : "small";
            auto const* const upstream = now_.count_ % 4'000 < 2'000 ? "u0" : "u1";
            propose_load(daemon, "r" + std::to_string(++replicas_), model, upstream);
        }
    }

    void process_replica(std::size_t daemon, std::string const& id, replica_entry const& r, bool is_planner)
    {
        auto& p = daemons_[daemon];
        auto const& on = engines_.at(r.upstream_).replicas_;
        auto const found = on.find(id);
        switch (r.status_) {
        case replica_status::loading:
            if (r.executor_ == p.self_) {
                prepare_order(daemon, {false,
                                       id,
                                       r.upstream_,
                                       r.model_,
                                       r.memory_mb_,
                                       daemon,
                                       p.self_.incarnation_,
                                       {},
                                       false});
            } else if (is_planner && is_gone(p.state_, r.executor_)) {
                if (found != on.end() && !found->second.loading_) {
                    submit_throttled(daemon, "loaded " + id, replica_loaded{id, false});
                } else if (found == on.end()) {
                    submit_throttled(daemon, "failed " + id, load_failed{id, false});
                }
            }
            break;
        case replica_status::loaded:
            if (is_planner && found == on.end() && now_ - r.decided_at_ > millis{8'000}) {
                submit_throttled(daemon, "lost " + id, unload_decided{id, p.self_});
            }
            break;
        case replica_status::failed:
            if (is_planner) {
                submit_throttled(daemon, "unload " + id, unload_decided{id, p.self_});
            }
            break;
        case replica_status::unloading:
            if (r.unload_executor_ == p.self_) {
                prepare_order(
                    daemon,
                    {true, id, r.upstream_, r.model_, r.memory_mb_, daemon, p.self_.incarnation_, {}, false});
            } else if (is_planner && is_gone(p.state_, r.unload_executor_)) {
                submit_throttled(daemon, "unload " + id, unload_decided{id, p.self_});
            }
            break;
        }
    }

    void prepare_order(std::size_t daemon, order o)
    {
        auto& p = daemons_[daemon];
        if (!p.open_orders_.insert((o.unload_ ? "unload " : "load ") + o.replica_).second) {
            return;
        }
        p.ready_orders_.push_back(std::move(o));
        reach_step(daemon); // A fault injected here takes effect between the check and the order.
        if (p.running_ && p.paused_until_ <= now_) {
            for (auto& armed : std::exchange(p.ready_orders_, {})) {
                send_order(std::move(armed));
            }
        }
    }

    void send_order(order o)
    {
        auto& p = daemons_[o.daemon_];
        auto const key = (o.unload_ ? "unload " : "load ") + o.replica_;
        if (p.partitioned_until_ > now_ && !p.inbound_only_) {
            p.open_orders_.erase(key); // The order was not sent and is prepared again later.
            return;
        }
        o.arrives_at_ = now_ + tick;
        orders_.push_back(std::move(o));
    }

    /// Processes the engines' replies to orders. If a reply is lost, the outcome of the order is uncertain.
    void complete_orders(std::size_t daemon)
    {
        std::vector<order> ended;
        std::erase_if(orders_, [&](order const& o) {
            if (o.daemon_ != daemon || !o.arrived_) {
                return false;
            }
            auto const& on = engines_.at(o.upstream_).replicas_;
            auto const it = on.find(o.replica_);
            if (!o.unload_ && it != on.end() && it->second.loading_) {
                return false;
            }
            ended.push_back(o);
            return true;
        });
        auto& p = daemons_[daemon];
        for (auto const& o : ended) {
            if (o.incarnation_ != p.self_.incarnation_) {
                continue;
            }
            if (p.partitioned_until_ > now_) {
                p.uncertain_loads_.insert(o.replica_);
                p.open_orders_.erase((o.unload_ ? "unload " : "load ") + o.replica_);
                continue;
            }
            // A load stays in `open_orders_`, so that it is not ordered again before its result is applied.
            if (o.unload_) {
                p.open_orders_.erase("unload " + o.replica_);
            }
            auto const& on = engines_.at(o.upstream_).replicas_;
            bool const known = !p.uncertain_loads_.contains(o.replica_);
            if (o.unload_) {
                submit_throttled(daemon, "released " + o.replica_, replica_released{o.replica_, p.self_});
            } else if (on.contains(o.replica_)) {
                submit_throttled(daemon, "loaded " + o.replica_, replica_loaded{o.replica_, known});
            } else {
                submit_throttled(daemon, "failed " + o.replica_, load_failed{o.replica_, known});
            }
        }
    }

    void advance_callers()
    {
        for (auto& [name, e] : engines_) {
            for (auto& [id, r] : e.replicas_) {
                r.loading_ = r.loading_ && r.loaded_at_ > now_;
            }
        }
        for (std::size_t i = 0; i < daemons_.size() && operation_started_; ++i) {
            auto& p = daemons_[i];
            if (p.running_ && p.paused_until_ <= now_ &&
                now_.count_ % 300 == static_cast<std::int64_t>(i) * 100) {
                send_request(i, "d1");
                send_request(i, "d-unknown");
            }
        }
        if (purchase_open_) {
            advance_purchase();
        }
    }

    void send_request(std::size_t daemon, std::string const& digest)
    {
        auto& p = daemons_[daemon];
        auto const key = p.state_.keys_.find(digest);
        if (!may_act(p) || key == p.state_.keys_.end()) {
            ++counts_["requests refused"];
            return;
        }
        ++counts_["requests served"];
        if (digest != "d1" || key->second.workspace_ != "legal") {
            record_violation(4, "a request was served without a key of its workspace");
        }
        if (withdrawn_at_ && now_ - *withdrawn_at_ > authority_lifetime + tick * 2) {
            record_violation(6, "a withdrawn key is still accepted on " + to_string(p.self_));
        }
        for (auto const& [at, version] : accepted_versions_) {
            if (now_.count_ - at > authority_lifetime.count_ + 200 && p.state_.tables_->version_ < version) {
                record_violation(13, "an accepted version is not in force on " + to_string(p.self_));
            }
        }
        for (auto const& [id, r] : p.state_.replicas_) {
            if (r.status_ != replica_status::loaded || p.state_.drained_.contains(r.upstream_)) {
                continue;
            }
            if (r.upstream_ == "u1" && drained_at_ && now_ - *drained_at_ > millis{5'000}) {
                record_violation(11, "a new request was sent to a drained upstream by " + to_string(p.self_));
            }
            bool const poisoned = now_ < poison_until_ && !quarantined(p);
            reach_step(daemon);
            if (poisoned) {
                engines_.at(r.upstream_).replicas_.clear();
                ++counts_["crashes"];
                submit_throttled(daemon, "crash", crash_seen{"poison", r.upstream_, "q", true});
            }
            return;
        }
    }

    static bool quarantined(process const& p)
    {
        auto const it = p.state_.crashes_.find("poison");
        return it != p.state_.crashes_.end() && it->second.confirmed_;
    }

    /// The caller repeats its purchase with the same idempotency key at each daemon in turn until it is
    /// answered.
    void advance_purchase()
    {
        for (auto& [id, a] : attempts_) {
            if (!a.ended_ && now_ >= a.deadline_) {
                // The daemon refuses the attempt at its deadline and must not call the service for it
                // afterwards.
                a.ended_ = true;
                auto& p = daemons_[a.daemon_];
                a.reported_not_run_ = p.running_ && p.paused_until_ <= now_;
                if (executed_attempts_.contains(id)) {
                    if (a.reported_not_run_) {
                        a.reported_not_run_ = false; // The service was called, so the answer is "unknown".
                    }
                }
            }
        }
        if (now_ < next_attempt_ || purchase_answered_) {
            return;
        }
        next_attempt_ = now_ + millis{3'000};
        auto const daemon = attempts_.size() % daemons_.size();
        auto& p = daemons_[daemon];
        if (!p.running_ || p.paused_until_ > now_ || p.partitioned_until_ > now_) {
            attempts_["lost" + std::to_string(attempts_.size())] = {daemon, now_, false, true};
            return;
        }
        auto const id = "a" + std::to_string(attempts_.size());
        bool const refused = !may_act(p) || !p.view_.log_reachable_;
        attempts_[id] = {daemon, now_ + millis{6'000}, refused, refused};
        if (refused) {
            return;
        }
        submit(daemon, claim_made{"k", "checkout", "legal", "d", p.self_},
               [this, daemon, id](verdict v) { on_claim_applied(daemon, id, v); });
    }

    void on_claim_applied(std::size_t daemon, std::string const& id, verdict v)
    {
        auto& p = daemons_[daemon];
        auto& a = attempts_.at(id);
        if (v != verdict::accepted) {
            auto const it = p.state_.claims_.find("k");
            a.ended_ = true;
            purchase_answered_ = it != p.state_.claims_.end() && it->second.finished_;
            return;
        }
        if (a.ended_ || !may_act(p)) {
            a.reported_not_run_ = true;
            a.ended_ = true;
            submit(daemon, claim_outcome{"k", p.self_, 0, "", "", true, true});
            return;
        }
        p.ready_calls_.push_back(id);
        reach_step(daemon);
        if (p.running_ && p.paused_until_ <= now_) {
            for (auto const& armed : std::exchange(p.ready_calls_, {})) {
                call_service(daemon, armed);
            }
        }
    }

    void call_service(std::size_t daemon, std::string const& id)
    {
        auto& p = daemons_[daemon];
        auto& a = attempts_.at(id);
        if (a.reported_not_run_ || !may_act(p)) {
            // The attempt was refused or the authority lapsed between the claim and the call.
            a.reported_not_run_ = true;
            a.ended_ = true;
            submit(daemon, claim_outcome{"k", p.self_, 0, "", "", true, true});
            return;
        }
        if (p.partitioned_until_ > now_ && !p.inbound_only_) {
            return; // The call is lost, and the claim stays without an outcome.
        }
        executed_attempts_.insert(id);
        ++counts_["purchases"];
        if (++executions_ > 1) {
            record_violation(10, "a purchase ran twice");
        }
        reach_step(daemon);
        if (p.running_ && p.paused_until_ <= now_ && p.partitioned_until_ <= now_) {
            a.ended_ = true;
            submit(daemon, claim_outcome{"k", p.self_, 200, "", "done", true, false},
                   [this](verdict) { purchase_answered_ = true; });
        }
    }

    void check_invariants()
    {
        std::map<std::string, int> loaded;
        int transfers = 0;
        for (auto const& [name, e] : engines_) {
            std::int64_t used = 0;
            for (auto const& [id, r] : e.replicas_) {
                used += r.memory_;
                ++loaded[r.model_];
                transfers += r.loading_ ? 1 : 0;
                auto const it = reference_state_.replicas_.find(id);
                if (it == reference_state_.replicas_.end() || it->second.upstream_ != name) {
                    record_violation(1, "replica " + id + " on " + name + " has no load decision in the log");
                }
            }
            if (used > vm_memory) {
                record_violation(2, name + " holds " + std::to_string(used) + " MB of " +
                                        std::to_string(vm_memory) + " MB");
            }
            if (reserved_memory_mb(reference_state_, name) > vm_memory) {
                record_violation(2, name + " has more memory reserved than it has");
            }
        }
        if (loaded["big"] > 1 || loaded["small"] > 2) {
            record_violation(1, "more replicas than max_replicas");
        }
        if (transfers > 2) {
            record_violation(2, "more store transfers than the limit of 2: " + std::to_string(transfers));
        }
        for (auto const& [id, a] : attempts_) {
            if (a.reported_not_run_ && executed_attempts_.contains(id)) {
                record_violation(9, "a purchase that was reported as not run was run");
            }
        }
    }

    /// Checks that after the faults all daemons act again and have equal states.
    void check_recovered()
    {
        for (auto const& p : daemons_) {
            if (!p.running_ || !may_act(p) || !p.state_.members_.contains(p.self_)) {
                record_violation(3, p.self_.vm_ + " does not act after the faults have ended");
            }
            if (p.state_.next_offset_ == reference_state_.next_offset_ &&
                !same_state(p.state_, reference_state_)) {
                record_violation(13,
                                 "the state of " + to_string(p.self_) + " differs from the reference state");
            }
        }
        for (auto const& [at, version] : accepted_versions_) {
            if (reference_state_.tables_->version_ < version) {
                record_violation(13, "an accepted version was lost");
            }
        }
    }

    operation operation_;
    std::vector<fault_injection> injections_;
    millis now_{1'000};
    std::vector<process> daemons_;
    std::vector<entry> log_;
    fleet_state reference_state_;
    std::vector<append> appends_;
    std::vector<order> orders_;
    std::map<std::string, engine> engines_;
    std::map<std::string, std::string> listed_instances_;
    std::vector<std::tuple<millis, std::string, std::string>> list_changes_;
    millis log_down_until_{};
    millis log_slow_until_{};
    millis store_slow_until_{};
    millis vm_list_delayed_until_{};
    millis poison_until_{};
    int acks_to_lose_{};
    std::optional<millis> kill_at_;
    std::uint64_t incarnations_{};
    int instances_{};
    int replicas_{};
    std::int64_t publications_{};
    bool operation_started_{};
    int steps_{};
    std::size_t injected_{};
    std::optional<millis> withdrawn_at_;
    std::optional<millis> drained_at_;
    std::map<std::int64_t, std::uint64_t> accepted_versions_;
    std::set<std::uint64_t> published_bases_;
    bool purchase_open_{};
    bool purchase_answered_{};
    millis next_attempt_{};
    std::map<std::string, attempt> attempts_;
    std::set<std::string> executed_attempts_;
    int executions_{};
    std::map<std::string, int> counts_;
    std::vector<std::string> violations_;
};

} // namespace auburnchute::test
