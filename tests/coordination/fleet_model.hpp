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
    frozen,
    cut_both_ways,
    cut_one_way,
    log_down,
    log_slow,
    ack_lost,
    store_slow,
    vm_reclaimed,
    vm_list_late,
    key_withdrawn,
    operators_race,
    poison
};
inline constexpr std::array<std::string_view, 13> fault_names{
    "killed",     "frozen",       "cut both ways", "cut one way",   "log down",       "log slow", "ack lost",
    "store slow", "vm reclaimed", "vm list late",  "key withdrawn", "operators race", "poison"};

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

/// \brief A fault that strikes when the operation reaches a step.
struct strike {
    fault fault_{};
    int step_{};
};

/// \brief Several daemons, the log, engines and a service in one process on a manual clock. Each daemon is a
/// fold, a writer, an authority view and its outstanding orders. The model's checks look at the engines, the
/// service and the callers, not at the folds.
class fleet_model {
public:
    static constexpr millis tick{100};
    static constexpr std::int64_t vm_memory = 100;
    static constexpr millis fault_length{15'000};

    fleet_model(operation op, std::vector<strike> strikes) : operation_{op}, strikes_{std::move(strikes)}
    {
        engines_["u0"] = {"i0", true, {}, {}};
        engines_["u1"] = {"i0", false, {}, {}};
        for (auto const& [name, e] : engines_) {
            listed_[name] = e.instance_;
        }
        for (std::size_t i = 0; i < 3; ++i) {
            start(i);
        }
    }

    /// \brief Runs the operation with its faults and what follows from them.
    void run()
    {
        run_for({4'000});
        submit(0, tables_published{0, make_tables()});
        run_for({1'000});
        submit(0, key_granted{"d1", "legal", "n"});
        if (operation_ != operation::load) {
            propose_load(0, "r-first", "big", "u1");
        }
        run_for({5'000});
        begin();
        run_for({60'000});
        check_recovered();
    }

    [[nodiscard]] int steps() const noexcept { return steps_; }
    [[nodiscard]] std::size_t struck() const noexcept { return struck_; }
    [[nodiscard]] std::vector<std::string> const& violations() const noexcept { return violations_; }
    [[nodiscard]] std::map<std::string, int> const& counts() const noexcept { return counts_; }

private:
    struct held {
        std::string model_;
        std::int64_t memory_{};
        bool loading_{};
        millis done_at_{};
    };
    struct engine {
        std::string instance_;
        bool fenced_{};
        std::map<std::string, held> replicas_;
        std::set<std::string> unloaded_;
    };
    struct order {
        bool unload_{};
        std::string replica_;
        std::string upstream_;
        std::string model_;
        std::int64_t memory_{};
        std::size_t slot_{};
        std::uint64_t incarnation_{};
        millis arrives_{};
        bool arrived_{};
    };
    struct append {
        std::size_t slot_{};
        std::uint64_t incarnation_{};
        std::vector<record> batch_;
        millis effect_{};
        millis return_{};
        bool takes_effect_{};
        bool acknowledged_{};
        bool done_{};
    };
    struct read_call {
        millis sent_{};
        millis returns_{};
        std::size_t to_{};
        bool succeeds_{};
    };
    struct process {
        member_id self_;
        bool running_{};
        millis restart_at_{};
        millis frozen_until_{};
        millis cut_until_{};
        bool one_way_{};
        fleet_state state_;
        log_writer writer_;
        authority_view view_;
        std::optional<read_call> read_;
        std::vector<order> armed_; ///< Decided and checked, about to leave.
        std::set<std::string> open_orders_;
        std::set<std::string> unknown_;      ///< Load orders of which one try has no known end.
        std::map<std::string, millis> told_; ///< When a record was last submitted, by what it says.
        std::map<std::uint64_t, std::function<void(verdict)>> waiting_;
        std::vector<std::string> armed_calls_; ///< Attempts of purchases whose call is about to leave.
        std::uint64_t acked_{};
    };
    struct attempt {
        std::size_t slot_{};
        millis deadline_{};
        bool told_not_run_{};
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

    void violate(int promise, std::string const& what)
    {
        if (violations_.size() < 5) {
            violations_.push_back("promise " + std::to_string(promise) + ": " + what + " at " +
                                  std::to_string(now_.count_));
        }
    }

    void start(std::size_t slot)
    {
        process p;
        p.self_ = {"e" + std::to_string(slot), ++incarnations_};
        p.running_ = true;
        p.writer_.self_ = p.self_;
        p.view_.self_ = p.self_;
        p.view_.started_at_ = now_;
        if (daemons_.size() <= slot) {
            daemons_.resize(slot + 1);
        }
        // The connection of the VM stays cut when its process is replaced.
        p.cut_until_ = daemons_[slot].cut_until_;
        p.one_way_ = daemons_[slot].one_way_;
        daemons_[slot] = std::move(p);
    }

    /// The process ends; its connections, and orders that have not reached an engine, end with it.
    void kill(std::size_t slot, millis pause)
    {
        auto& p = daemons_[slot];
        p.running_ = false;
        p.restart_at_ = now_ + pause;
        p.armed_.clear();
        p.armed_calls_.clear();
        std::erase_if(orders_, [&](order const& o) { return o.slot_ == slot && !o.arrived_; });
    }

    /// Marks a step of the operation; faults strike between the parts of one daemon's work.
    void step(std::size_t slot)
    {
        if (!begun_) {
            return;
        }
        ++steps_;
        // A fault may itself reach further steps, so each one is taken out before it strikes.
        for (bool found = true; found;) {
            auto const it = std::find_if(strikes_.begin(), strikes_.end(),
                                         [this](strike const& s) { return s.step_ <= steps_; });
            found = it != strikes_.end();
            if (found) {
                auto const what = it->fault_;
                strikes_.erase(it);
                ++struck_;
                inject(what, slot);
            }
        }
    }

    void inject(fault what, std::size_t slot)
    {
        ++counts_[std::string{fault_names[static_cast<std::size_t>(what)]}];
        auto& p = daemons_[slot];
        auto const until = now_ + fault_length;
        switch (what) {
        case fault::killed:
            kill(slot, {3'000});
            break;
        case fault::frozen:
            p.frozen_until_ = until;
            break;
        case fault::cut_both_ways:
        case fault::cut_one_way:
            p.cut_until_ = until;
            p.one_way_ = what == fault::cut_one_way;
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
            reclaim("u1");
            break;
        case fault::vm_list_late:
            list_late_until_ = until;
            break;
        case fault::key_withdrawn:
            withdraw_key((slot + 1) % daemons_.size());
            break;
        case fault::operators_race:
            publish((slot + 1) % daemons_.size(), "race-a");
            publish((slot + 2) % daemons_.size(), "race-b");
            break;
        case fault::poison:
            poison_until_ = until;
            break;
        }
    }

    void reclaim(std::string const& name)
    {
        auto& e = engines_.at(name);
        e.instance_ = "i" + std::to_string(++instances_);
        e.replicas_.clear();
        e.unloaded_.clear();
        auto const lag = now_ < list_late_until_ ? millis{12'000} : millis{1'000};
        list_changes_.push_back({now_ + lag, name, e.instance_});
    }

    void begin()
    {
        begun_ = true;
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
            publish(0, "first");
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

    void publish(std::size_t slot, std::string const& message)
    {
        auto& p = daemons_[slot];
        auto all = *p.state_.tables_;
        all.message_ = message;
        if (all.workspaces_.empty()) {
            return;
        }
        all.workspaces_[0].rate_ = 200 + static_cast<std::int64_t>(++publications_);
        auto const base = all.version_;
        submit(slot, tables_published{base, all}, [this, base](verdict v) {
            if (v == verdict::accepted) {
                if (!published_bases_.insert(base).second) {
                    violate(13, "two operators replaced version " + std::to_string(base));
                }
                versions_[now_.count_] = base + 1;
            }
        });
    }

    void withdraw_key(std::size_t slot)
    {
        submit(slot, key_withdrawn{"d1"}, [this](verdict v) {
            if (v == verdict::accepted) {
                withdrawn_at_ = now_;
            }
        });
    }

    void submit(std::size_t slot, record_body body, std::function<void(verdict)> then = {})
    {
        auto& p = daemons_[slot];
        if (!p.running_ || p.frozen_until_ > now_) {
            return;
        }
        auto const sequence = auburnchute::submit(p.writer_, std::move(body));
        if (sequence && then) {
            p.waiting_[*sequence] = std::move(then);
        }
        step(slot);
    }

    /// Submits a record unless the daemon did so a short time ago.
    void tell(std::size_t slot, std::string const& what, record_body body)
    {
        auto& last = daemons_[slot].told_.try_emplace(what, millis{-100'000}).first->second;
        if (now_ - last >= millis{4'000}) {
            last = now_;
            submit(slot, std::move(body));
        }
    }

    void propose_load(std::size_t slot, std::string id, std::string model, std::string upstream)
    {
        auto& p = daemons_[slot];
        auto const count = replica_count(p.state_, "gpu", model, "");
        submit(slot, load_decided{std::move(id), "gpu", model, "", std::move(upstream),
                                  model == "big" ? 60 : 40, load_source::store, p.self_, count});
    }

    [[nodiscard]] bool blocked(std::size_t from, std::size_t to) const
    {
        auto const& a = daemons_[from];
        auto const& b = daemons_[to];
        return (a.cut_until_ > now_ && !a.one_way_) || b.cut_until_ > now_;
    }

    [[nodiscard]] bool may_act(process const& p) const
    {
        return p.state_.members_.contains(p.self_) &&
               evaluate_authority(p.state_, p.view_, now_) != authority::lapsed;
    }

    void run_for(millis length)
    {
        for (auto const end = now_ + length; now_ < end;) {
            now_ += tick;
            run_outside();
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                auto& p = daemons_[i];
                if (!p.running_ && now_ >= p.restart_at_) {
                    start(i);
                }
                if (daemons_[i].running_ && daemons_[i].frozen_until_ <= now_) {
                    run_daemon(i);
                }
            }
            run_callers();
            check();
        }
    }

    void run_outside()
    {
        if (kill_at_ && now_ >= *kill_at_) {
            kill_at_.reset();
            kill(0, {2'000});
        }
        for (auto const& [at, name, instance] : list_changes_) {
            if (at <= now_) {
                listed_[name] = instance;
            }
        }
        std::erase_if(list_changes_, [this](auto const& change) { return std::get<0>(change) <= now_; });
        for (std::size_t i = 0; i < appends_.size(); ++i) {
            if (appends_[i].takes_effect_ && appends_[i].effect_ <= now_) {
                appends_[i].takes_effect_ = false;
                log_.push_back({appends_[i].batch_, now_});
                for (auto const& rec : appends_[i].batch_) {
                    (void)apply(truth_, rec, log_.size() - 1, now_);
                }
                step(appends_[i].slot_);
            }
        }
        for (std::size_t i = 0; i < orders_.size(); ++i) {
            if (!orders_[i].arrived_ && orders_[i].arrives_ <= now_) {
                orders_[i].arrived_ = true;
                arrive(orders_[i]);
                step(orders_[i].slot_);
            }
        }
    }

    void arrive(order const& o)
    {
        auto& e = engines_.at(o.upstream_);
        if (o.unload_) {
            e.replicas_.erase(o.replica_);
            if (e.fenced_) {
                e.unloaded_.insert(o.replica_);
            }
            return;
        }
        if (e.replicas_.contains(o.replica_) || (e.fenced_ && e.unloaded_.contains(o.replica_))) {
            return;
        }
        auto const length = now_ < store_slow_until_ ? millis{8'000} : millis{800};
        e.replicas_[o.replica_] = {o.model_, o.memory_, true, now_ + length};
        ++counts_["loads"];
    }

    void run_daemon(std::size_t slot)
    {
        auto& p = daemons_[slot];
        // What was checked before a pause goes on after it.
        for (auto& o : std::exchange(p.armed_, {})) {
            send(std::move(o));
        }
        for (auto const& id : std::exchange(p.armed_calls_, {})) {
            call_service(slot, id);
        }
        auto const alive = [&] { return p.running_ && p.frozen_until_ <= now_; };
        finish_orders(slot);
        finish_appends(slot);
        read_log(slot);
        if (!alive()) {
            return;
        }
        if (is_gone(p.state_, p.self_)) {
            ++counts_["voted out"];
            kill(slot, {500}); // Voted out or replaced: the process ends and a new one joins.
            return;
        }
        talk(slot);
        if (may_act(p) && alive()) {
            work(slot);
        }
        if (alive()) {
            write_log(slot);
        }
    }

    void finish_appends(std::size_t slot)
    {
        auto& p = daemons_[slot];
        for (auto& a : appends_) {
            if (!a.done_ && a.return_ <= now_ && a.slot_ == slot) {
                a.done_ = true;
                if (a.incarnation_ == p.self_.incarnation_) {
                    complete_append(p.writer_, a.acknowledged_, now_);
                }
            }
        }
        std::erase_if(appends_, [](append const& a) { return a.done_ && !a.takes_effect_; });
    }

    void write_log(std::size_t slot)
    {
        auto& p = daemons_[slot];
        auto batch = start_batch(p.writer_, daemons_.size(), now_);
        if (batch.empty()) {
            return;
        }
        append a;
        a.slot_ = slot;
        a.incarnation_ = p.self_.incarnation_;
        a.batch_ = std::move(batch);
        auto const delay = now_ < log_slow_until_ ? millis{3'000} : tick;
        bool const cut = p.cut_until_ > now_;
        a.takes_effect_ = now_ >= log_down_until_ && (!cut || p.one_way_);
        a.effect_ = now_ + delay;
        a.return_ = now_ + (cut ? millis{1'000} : delay);
        a.acknowledged_ = a.takes_effect_ && !cut;
        if (a.acknowledged_ && acks_to_lose_ > 0) {
            --acks_to_lose_;
            a.acknowledged_ = false;
        }
        appends_.push_back(std::move(a));
    }

    void read_log(std::size_t slot)
    {
        auto& p = daemons_[slot];
        if (p.read_ && p.read_->returns_ <= now_) {
            auto const done = *p.read_;
            p.read_.reset();
            p.view_.log_reachable_ = done.succeeds_;
            if (done.succeeds_) {
                fold(slot, done.to_);
                p.view_.log_tail_read_at_ = done.sent_;
            }
        }
        if (!p.running_ || p.read_) {
            return;
        }
        bool const cut = p.cut_until_ > now_;
        bool const down = now_ < log_down_until_;
        auto const delay = cut ? millis{1'000} : now_ < log_slow_until_ ? millis{2'500} : tick;
        p.read_ = read_call{now_, now_ + delay, log_.size(), !cut && !down};
        if (!p.view_.log_reachable_) {
            fetch_from_peers(slot);
        }
    }

    void fetch_from_peers(std::size_t slot)
    {
        for (std::size_t other = 0; other < daemons_.size(); ++other) {
            auto const& q = daemons_[other];
            if (other != slot && q.running_ && q.frozen_until_ <= now_ && !blocked(slot, other) &&
                !blocked(other, slot)) {
                fold(slot, q.state_.next_offset_);
            }
        }
    }

    void fold(std::size_t slot, std::size_t to)
    {
        auto& p = daemons_[slot];
        auto const version = p.state_.tables_->version_;
        std::vector<std::pair<std::function<void(verdict)>, verdict>> results;
        for (auto i = p.state_.next_offset_; i < to; ++i) {
            for (auto const& rec : log_[i].batch_) {
                auto const result = apply(p.state_, rec, i, log_[i].at_);
                if (rec.writer_ != p.self_) {
                    continue;
                }
                (void)confirm_read_back(p.writer_, rec.sequence_);
                auto const it = p.waiting_.find(rec.sequence_);
                if (it != p.waiting_.end() && result.verdict_ != verdict::repeated) {
                    results.emplace_back(std::move(it->second), result.verdict_);
                    p.waiting_.erase(it);
                }
            }
        }
        if (p.state_.tables_->version_ < version) {
            violate(13, "the version fell on " + to_string(p.self_));
        }
        for (auto& [then, v] : results) {
            step(slot);
            if (daemons_[slot].running_) {
                then(v);
            }
        }
    }

    void talk(std::size_t slot)
    {
        auto& p = daemons_[slot];
        for (std::size_t other = 0; other < daemons_.size(); ++other) {
            auto& q = daemons_[other];
            if (other == slot || !q.running_ || q.frozen_until_ > now_ || blocked(slot, other)) {
                continue;
            }
            q.view_.last_message_from_[p.self_] = now_;
            if (p.view_.log_reachable_ || !may_confirm_outage(q.state_, q.view_, p.self_)) {
                continue;
            }
            q.view_.outage_confirmed_to_[p.self_] = now_;
            if (!blocked(other, slot)) {
                p.view_.outage_confirmed_by_[q.self_] = now_;
            }
        }
        for (auto const& suspect : cast_removal_votes(p.state_, p.view_, now_)) {
            submit(slot, member_suspected{p.self_, suspect});
        }
        if (p.view_.log_tail_read_at_ != millis{} && !p.state_.members_.contains(p.self_)) {
            tell(slot, "join", member_joined{p.self_, "za", "h", "p", "a", p.state_.next_offset_});
        }
        if (p.state_.pending_.number_ > p.acked_ && p.state_.members_.contains(p.self_)) {
            p.acked_ = p.state_.pending_.number_;
            submit(slot, share_ack{p.self_, p.acked_});
        }
    }

    void work(std::size_t slot)
    {
        auto& p = daemons_[slot];
        for (auto const& [name, instance] : std::map{listed_}) {
            auto const it = p.state_.upstreams_.find(name);
            if (it == p.state_.upstreams_.end() || it->second.vm_instance_ != instance) {
                tell(slot, "seen " + name + instance,
                     upstream_seen{name, instance, "x:1", "za", vm_memory, engines_.at(name).fenced_, false});
            }
        }
        auto const live = live_members(p.state_);
        bool const plans = !live.empty() && live.front() == p.self_;
        for (auto const& [id, r] : std::map{p.state_.replicas_}) {
            if (!p.running_ || p.frozen_until_ > now_) {
                return;
            }
            work_on(slot, id, r, plans);
        }
        // Every daemon asks for more than fits, so that freed memory is used at once.
        if (begun_ && now_.count_ % 1'000 == static_cast<std::int64_t>(slot) * 300) {
            auto const* const model = now_.count_ % 2'000 < 1'000 ? "big" : "small";
            auto const* const upstream = now_.count_ % 4'000 < 2'000 ? "u0" : "u1";
            propose_load(slot, "r" + std::to_string(++replicas_), model, upstream);
        }
    }

    void work_on(std::size_t slot, std::string const& id, replica_entry const& r, bool plans)
    {
        auto& p = daemons_[slot];
        auto const& on = engines_.at(r.upstream_).replicas_;
        auto const found = on.find(id);
        switch (r.status_) {
        case replica_status::loading:
            if (r.executor_ == p.self_) {
                arm(slot,
                    {false, id, r.upstream_, r.model_, r.memory_mb_, slot, p.self_.incarnation_, {}, false});
            } else if (plans && is_gone(p.state_, r.executor_)) {
                if (found != on.end() && !found->second.loading_) {
                    tell(slot, "loaded " + id, replica_loaded{id, false});
                } else if (found == on.end()) {
                    tell(slot, "failed " + id, load_failed{id, false});
                }
            }
            break;
        case replica_status::loaded:
            if (plans && found == on.end() && now_ - r.decided_at_ > millis{8'000}) {
                tell(slot, "lost " + id, unload_decided{id, p.self_});
            }
            break;
        case replica_status::failed:
            if (plans) {
                tell(slot, "unload " + id, unload_decided{id, p.self_});
            }
            break;
        case replica_status::unloading:
            if (r.unload_executor_ == p.self_) {
                arm(slot,
                    {true, id, r.upstream_, r.model_, r.memory_mb_, slot, p.self_.incarnation_, {}, false});
            } else if (plans && is_gone(p.state_, r.unload_executor_)) {
                tell(slot, "unload " + id, unload_decided{id, p.self_});
            }
            break;
        }
    }

    void arm(std::size_t slot, order o)
    {
        auto& p = daemons_[slot];
        if (!p.open_orders_.insert((o.unload_ ? "unload " : "load ") + o.replica_).second) {
            return;
        }
        p.armed_.push_back(std::move(o));
        step(slot); // A pause here lies between the check and the order.
        if (p.running_ && p.frozen_until_ <= now_) {
            for (auto& armed : std::exchange(p.armed_, {})) {
                send(std::move(armed));
            }
        }
    }

    void send(order o)
    {
        auto& p = daemons_[o.slot_];
        auto const key = (o.unload_ ? "unload " : "load ") + o.replica_;
        if (p.cut_until_ > now_ && !p.one_way_) {
            p.open_orders_.erase(key); // Not sent; tried again.
            return;
        }
        o.arrives_ = now_ + tick;
        orders_.push_back(std::move(o));
    }

    /// Answers of engines; an answer that is lost leaves the end of the order unknown.
    void finish_orders(std::size_t slot)
    {
        std::vector<order> ended;
        std::erase_if(orders_, [&](order const& o) {
            if (o.slot_ != slot || !o.arrived_) {
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
        auto& p = daemons_[slot];
        for (auto const& o : ended) {
            if (o.incarnation_ != p.self_.incarnation_) {
                continue;
            }
            if (p.cut_until_ > now_) {
                p.unknown_.insert(o.replica_);
                p.open_orders_.erase((o.unload_ ? "unload " : "load ") + o.replica_);
                continue;
            }
            // A load stays listed, so that it is not ordered again before its result is folded.
            if (o.unload_) {
                p.open_orders_.erase("unload " + o.replica_);
            }
            auto const& on = engines_.at(o.upstream_).replicas_;
            bool const known = !p.unknown_.contains(o.replica_);
            if (o.unload_) {
                tell(slot, "released " + o.replica_, replica_released{o.replica_, p.self_});
            } else if (on.contains(o.replica_)) {
                tell(slot, "loaded " + o.replica_, replica_loaded{o.replica_, known});
            } else {
                tell(slot, "failed " + o.replica_, load_failed{o.replica_, known});
            }
        }
    }

    void run_callers()
    {
        for (auto& [name, e] : engines_) {
            for (auto& [id, r] : e.replicas_) {
                r.loading_ = r.loading_ && r.done_at_ > now_;
            }
        }
        for (std::size_t i = 0; i < daemons_.size() && begun_; ++i) {
            auto& p = daemons_[i];
            if (p.running_ && p.frozen_until_ <= now_ &&
                now_.count_ % 300 == static_cast<std::int64_t>(i) * 100) {
                request(i, "d1");
                request(i, "d-unknown");
            }
        }
        if (purchase_open_) {
            purchase();
        }
    }

    void request(std::size_t slot, std::string const& digest)
    {
        auto& p = daemons_[slot];
        auto const key = p.state_.keys_.find(digest);
        if (!may_act(p) || key == p.state_.keys_.end()) {
            ++counts_["requests refused"];
            return;
        }
        ++counts_["requests served"];
        if (digest != "d1" || key->second.workspace_ != "legal") {
            violate(4, "a request ran without its workspace's key");
        }
        if (withdrawn_at_ && now_ - *withdrawn_at_ > authority_lifetime + tick * 2) {
            violate(6, "a withdrawn key works on " + to_string(p.self_));
        }
        for (auto const& [at, version] : versions_) {
            if (now_.count_ - at > authority_lifetime.count_ + 200 && p.state_.tables_->version_ < version) {
                violate(13, "an accepted version is not in force on " + to_string(p.self_));
            }
        }
        for (auto const& [id, r] : p.state_.replicas_) {
            if (r.status_ != replica_status::loaded || p.state_.drained_.contains(r.upstream_)) {
                continue;
            }
            if (r.upstream_ == "u1" && drained_at_ && now_ - *drained_at_ > millis{5'000}) {
                violate(11, "new work for a drained upstream from " + to_string(p.self_));
            }
            bool const poisoned = now_ < poison_until_ && !quarantined(p);
            step(slot);
            if (poisoned) {
                engines_.at(r.upstream_).replicas_.clear();
                ++counts_["crashes"];
                tell(slot, "crash", crash_seen{"poison", r.upstream_, "q", true});
            }
            return;
        }
    }

    static bool quarantined(process const& p)
    {
        auto const it = p.state_.crashes_.find("poison");
        return it != p.state_.crashes_.end() && it->second.confirmed_;
    }

    /// The caller repeats its purchase with one idempotency key at every entry until it has an answer.
    void purchase()
    {
        for (auto& [id, a] : attempts_) {
            if (!a.ended_ && now_ >= a.deadline_) {
                // The daemon refuses; it may not call the service for this attempt any more.
                a.ended_ = true;
                auto& p = daemons_[a.slot_];
                a.told_not_run_ = p.running_ && p.frozen_until_ <= now_;
                if (ran_.contains(id)) {
                    if (a.told_not_run_) {
                        a.told_not_run_ = false; // The claim was called: the answer is "unknown".
                    }
                }
            }
        }
        if (now_ < next_attempt_ || purchase_answered_) {
            return;
        }
        next_attempt_ = now_ + millis{3'000};
        auto const slot = attempts_.size() % daemons_.size();
        auto& p = daemons_[slot];
        if (!p.running_ || p.frozen_until_ > now_ || p.cut_until_ > now_) {
            attempts_["lost" + std::to_string(attempts_.size())] = {slot, now_, false, true};
            return;
        }
        auto const id = "a" + std::to_string(attempts_.size());
        bool const refused = !may_act(p) || !p.view_.log_reachable_;
        attempts_[id] = {slot, now_ + millis{6'000}, refused, refused};
        if (refused) {
            return;
        }
        submit(slot, claim_made{"k", "checkout", "legal", "d", p.self_},
               [this, slot, id](verdict v) { claim_folded(slot, id, v); });
    }

    void claim_folded(std::size_t slot, std::string const& id, verdict v)
    {
        auto& p = daemons_[slot];
        auto& a = attempts_.at(id);
        if (v != verdict::accepted) {
            auto const it = p.state_.claims_.find("k");
            a.ended_ = true;
            purchase_answered_ = it != p.state_.claims_.end() && it->second.finished_;
            return;
        }
        if (a.ended_ || !may_act(p)) {
            a.told_not_run_ = true;
            a.ended_ = true;
            submit(slot, claim_outcome{"k", p.self_, 0, "", "", true, true});
            return;
        }
        p.armed_calls_.push_back(id);
        step(slot);
        if (p.running_ && p.frozen_until_ <= now_) {
            for (auto const& armed : std::exchange(p.armed_calls_, {})) {
                call_service(slot, armed);
            }
        }
    }

    void call_service(std::size_t slot, std::string const& id)
    {
        auto& p = daemons_[slot];
        auto& a = attempts_.at(id);
        if (a.told_not_run_ || !may_act(p)) {
            // The authority lapsed between the claim and the call.
            a.told_not_run_ = true;
            a.ended_ = true;
            submit(slot, claim_outcome{"k", p.self_, 0, "", "", true, true});
            return;
        }
        if (p.cut_until_ > now_ && !p.one_way_) {
            return; // Not known whether it was sent; the claim stays without an outcome.
        }
        ran_.insert(id);
        ++counts_["purchases"];
        if (++runs_ > 1) {
            violate(10, "a purchase ran twice");
        }
        step(slot);
        if (p.running_ && p.frozen_until_ <= now_ && p.cut_until_ <= now_) {
            a.ended_ = true;
            submit(slot, claim_outcome{"k", p.self_, 200, "", "done", true, false},
                   [this](verdict) { purchase_answered_ = true; });
        }
    }

    void check()
    {
        std::map<std::string, int> loaded;
        int transfers = 0;
        for (auto const& [name, e] : engines_) {
            std::int64_t used = 0;
            for (auto const& [id, r] : e.replicas_) {
                used += r.memory_;
                ++loaded[r.model_];
                transfers += r.loading_ ? 1 : 0;
                auto const it = truth_.replicas_.find(id);
                if (it == truth_.replicas_.end() || it->second.upstream_ != name) {
                    violate(1, "replica " + id + " on " + name + " is not decided");
                }
            }
            if (used > vm_memory) {
                violate(2, name + " holds " + std::to_string(used) + " MB");
            }
            if (reserved_memory(truth_, name) > vm_memory) {
                violate(2, name + " has more reserved than its memory");
            }
        }
        if (loaded["big"] > 1 || loaded["small"] > 2) {
            violate(1, "more replicas than max_replicas");
        }
        if (transfers > 2) {
            violate(2, "more store transfers than the bound");
        }
        for (auto const& [id, a] : attempts_) {
            if (a.told_not_run_ && ran_.contains(id)) {
                violate(9, "a purchase refused as not run had run");
            }
        }
    }

    /// After the faults have passed, all daemons agree and act again.
    void check_recovered()
    {
        for (auto const& p : daemons_) {
            if (!p.running_ || !may_act(p) || !p.state_.members_.contains(p.self_)) {
                violate(3, p.self_.vm_ + " does not act after the faults have passed");
            }
            if (p.state_.next_offset_ == truth_.next_offset_ && !same_state(p.state_, truth_)) {
                violate(13, "the fold of " + to_string(p.self_) + " differs");
            }
        }
        for (auto const& [at, version] : versions_) {
            if (truth_.tables_->version_ < version) {
                violate(13, "an accepted version was lost");
            }
        }
    }

    operation operation_;
    std::vector<strike> strikes_;
    millis now_{1'000};
    std::vector<process> daemons_;
    std::vector<entry> log_;
    fleet_state truth_;
    std::vector<append> appends_;
    std::vector<order> orders_;
    std::map<std::string, engine> engines_;
    std::map<std::string, std::string> listed_;
    std::vector<std::tuple<millis, std::string, std::string>> list_changes_;
    millis log_down_until_{};
    millis log_slow_until_{};
    millis store_slow_until_{};
    millis list_late_until_{};
    millis poison_until_{};
    int acks_to_lose_{};
    std::optional<millis> kill_at_;
    std::uint64_t incarnations_{};
    int instances_{};
    int replicas_{};
    std::int64_t publications_{};
    bool begun_{};
    int steps_{};
    std::size_t struck_{};
    std::optional<millis> withdrawn_at_;
    std::optional<millis> drained_at_;
    std::map<std::int64_t, std::uint64_t> versions_;
    std::set<std::uint64_t> published_bases_;
    bool purchase_open_{};
    bool purchase_answered_{};
    millis next_attempt_{};
    std::map<std::string, attempt> attempts_;
    std::set<std::string> ran_;
    int runs_{};
    std::map<std::string, int> counts_;
    std::vector<std::string> violations_;
};

} // namespace auburnchute::test
