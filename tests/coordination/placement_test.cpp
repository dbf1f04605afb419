#include "placement_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>

using namespace auburnchute;
using auburnchute::testing::make_simulation;
using auburnchute::testing::placement_simulation;

namespace {

/// State of the test model, which is independent of the planner and the fleet state.
struct placement_oracle {
    std::set<std::size_t> drained_;
    std::size_t alive_{3};
    int tables_{};
};

struct placement_run {
    placement_simulation simulation_{make_simulation(3)};
    bool multiple_planners_{}; ///< Several planners with stale fleet states, not one that is up to date.
};

using placement_command = rc::state::Command<placement_oracle, placement_run>;

void check_invariants(placement_run const& run)
{
    if (auto const text = run.simulation_.invariant_violations(); !text.empty()) {
        RC_FAIL(text);
    }
}

/// Advances the clock by `by` in steps of 500 ms: load orders, unloads and requests progress, and the planner
/// or planners write their actions.
void advance(placement_run& run, millis by, std::size_t planner_offset)
{
    auto& w = run.simulation_;
    for (millis done{}; done < by; done += millis{500}) {
        w.now_ += millis{500};
        w.advance_orders();
        w.advance_unloads();
        w.advance_requests({3'000});
        w.compute_demand();
        if (!run.multiple_planners_) {
            auto& p = w.first_alive();
            auto const first = w.rejections_.size();
            auto const rejected = w.plan_all(p, true, {8'000});
            if (rejected > 0) {
                RC_FAIL("an up-to-date planner was rejected: " + w.rejections_[first]);
            }
        } else {
            for (std::size_t i = 0; i < w.planners_.size(); ++i) {
                auto& p = w.planners_[i];
                if (!p.dead_ && !p.frozen_) {
                    w.plan_all(p, false, {8'000});
                }
                if ((i + planner_offset + static_cast<std::size_t>(w.now_.count_ / 500)) % 3 == 0) {
                    p.known_ = w.state_; // The other planners keep an older state.
                }
            }
        }
        check_invariants(run);
    }
}

struct advance_time : placement_command {
    int seconds_ = *rc::gen::inRange(1, 20);
    std::size_t planner_offset_ = *rc::gen::inRange<std::size_t>(0, 3);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        advance(sut, millis{seconds_ * 1'000}, planner_offset_);
    }
    void show(std::ostream& os) const override
    {
        os << "advance_time " << seconds_ << " " << planner_offset_;
    }
};

struct send_requests : placement_command {
    std::string pool_ = *rc::gen::element<std::string>("reviews", "quick");
    int model_ = *rc::gen::inRange(0, 5);
    int adapter_ = *rc::gen::inRange(-2, 2);
    int number_ = *rc::gen::inRange(1, 30);
    int priority_ = *rc::gen::inRange(0, 4);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.simulation_;
        model_key const key{pool_, "m" + std::to_string(model_),
                            adapter_ < 0 ? "" : "a" + std::to_string(adapter_)};
        for (int i = 0; i < number_; ++i) {
            w.requests_.push_back({key, static_cast<priority>(priority_), w.now_, {}, {}});
        }
    }
    void show(std::ostream& os) const override
    {
        os << "send_requests " << pool_ << " m" << model_ << " a" << adapter_ << " x" << number_ << " class "
           << priority_;
    }
};

struct fail_loads : placement_command {
    int number_ = *rc::gen::inRange(1, 4);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        sut.simulation_.fail_next_ = number_;
    }
    void show(std::ostream& os) const override { os << "fail_loads " << number_; }
};

struct time_out_order : placement_command {
    int delay_seconds_ = *rc::gen::inRange(1, 60);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        sut.simulation_.time_out_order(millis{delay_seconds_ * 1'000});
        check_invariants(sut);
    }
    void show(std::ostream& os) const override { os << "time_out_order " << delay_seconds_; }
};

struct drain_vm : placement_command {
    std::size_t vm_ = *rc::gen::inRange<std::size_t>(0, 6);
    bool drained_ = *rc::gen::arbitrary<bool>();
    void apply(placement_oracle& oracle) const override
    {
        drained_ ? static_cast<void>(oracle.drained_.insert(vm_))
                 : static_cast<void>(oracle.drained_.erase(vm_));
    }
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.simulation_;
        w.write(w.first_alive().self_, drain_set{placement_simulation::vm(vm_), drained_});
    }
    void show(std::ostream& os) const override { os << "drain u" << vm_ << " " << drained_; }
};

struct replace_vm : placement_command {
    std::size_t vm_ = *rc::gen::inRange<std::size_t>(0, 6);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        sut.simulation_.replace_vm(vm_);
        check_invariants(sut);
    }
    void show(std::ostream& os) const override { os << "replace_vm u" << vm_; }
};

struct restart_daemon : placement_command {
    void checkPreconditions(placement_oracle const& oracle) const override { RC_PRE(oracle.alive_ > 0U); }
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.simulation_;
        auto const& p = w.first_alive();
        w.restart_daemon(static_cast<std::size_t>(&p - w.planners_.data()));
        check_invariants(sut);
    }
    void show(std::ostream& os) const override { os << "restart_daemon"; }
};

/// Freezes a daemon, which the other members then vote out, or resumes it; its pending load orders reach the
/// engines only after that.
struct freeze_daemon : placement_command {
    std::size_t planner_index_ = *rc::gen::inRange<std::size_t>(1, 3);
    bool frozen_ = *rc::gen::arbitrary<bool>();
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.simulation_;
        auto& p = w.planners_[planner_index_];
        if (p.dead_) {
            return;
        }
        p.frozen_ = frozen_;
        if (frozen_) {
            for (auto const& voter : w.state_.in_force_.members_) {
                if (voter != p.self_) {
                    w.write(voter, member_suspected{voter, p.self_});
                }
            }
        }
        check_invariants(sut);
    }
    void show(std::ostream& os) const override { os << "freeze " << planner_index_ << " " << frozen_; }
};

struct change_tables : placement_command {
    int model_ = *rc::gen::inRange(0, 5);
    int max_ = *rc::gen::inRange(0, 4);
    int min_ = *rc::gen::inRange(0, 2);
    void apply(placement_oracle& oracle) const override { ++oracle.tables_; }
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.simulation_;
        tables next = *w.state_.tables_;
        for (auto& pool : next.pools_) {
            auto const name = "m" + std::to_string(model_);
            if (max_ == 0) {
                std::erase_if(pool.models_, [&](model_row const& m) { return m.name_ == name; });
            }
            for (auto& m : pool.models_) {
                if (m.name_ == name) {
                    m.max_replicas_ = max_;
                    m.min_replicas_ = std::min(min_, max_);
                }
            }
        }
        w.write(w.first_alive().self_, tables_published{next.version_, next});
    }
    void show(std::ostream& os) const override
    {
        os << "change_tables m" << model_ << " max " << max_ << " min " << min_;
    }
};

/// Removes the faults, restores the tables and runs until no request waits or the time bound is reached.
void recover_and_drain(placement_run& run, tables const& wanted)
{
    auto& w = run.simulation_;
    w.fail_next_ = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        w.write(w.first_alive().self_, drain_set{placement_simulation::vm(i), false});
    }
    tables next = wanted;
    w.write(w.first_alive().self_, tables_published{w.state_.tables_->version_, next});
    // 600 s cover the loads of all models through two store transfers, again after evictions, and late
    // orders.
    for (int i = 0; i < 30 && !w.requests_.empty(); ++i) {
        advance(run, {20'000}, 0);
    }
}

std::string describe(placement_simulation const& w)
{
    std::ostringstream text;
    text << "waiting:";
    for (auto const& [key, d] : w.demand_) {
        if (d.waiting_ > 0) {
            text << " " << key.pool_ << "/" << key.model_ << ":" << key.adapter_ << " x" << d.waiting_;
        }
    }
    text << "\n";
    for (auto const& [id, r] : w.state_.replicas_) {
        text << "  " << id << " " << r.pool_ << "/" << r.model_ << ":" << r.adapter_ << " on " << r.upstream_
             << " status " << static_cast<int>(r.status_) << "\n";
    }
    return text.str();
}

} // namespace

// Guards against a planner whose records are rejected, that starves a model that can fit, or that stops after
// failed loads, drains, VM replacements and the loss of executors; and against late load orders that
// overcommit an upstream's memory.
TEST_CASE("a single up-to-date planner proposes no rejected record and loads every waiting model",
          "[placement][promise-1][promise-2][promise-11]")
{
    CHECK(rc::check("single planner", [] {
        placement_run run;
        auto const original = *run.simulation_.state_.tables_;
        rc::state::check(
            placement_oracle{}, run,
            rc::state::gen::execOneOfWithArgs<advance_time, advance_time, send_requests, send_requests,
                                              fail_loads, time_out_order, drain_vm, replace_vm,
                                              restart_daemon, change_tables>());
        recover_and_drain(run, original);
        if (!run.simulation_.requests_.empty()) {
            RC_FAIL("requests still wait\n" + describe(run.simulation_));
        }
    }));
}

// Guards against planners with stale states, and late load orders of frozen daemons, that overcommit an
// upstream's memory or leave an engine with a replica that the fleet state does not contain.
TEST_CASE("several planners with stale states neither overcommit memory nor leave unknown replicas",
          "[placement][promise-1][promise-2]")
{
    CHECK(rc::check("several planners", [] {
        placement_run run;
        run.multiple_planners_ = true;
        rc::state::check(
            placement_oracle{}, run,
            rc::state::gen::execOneOfWithArgs<advance_time, advance_time, send_requests, send_requests,
                                              fail_loads, time_out_order, drain_vm, replace_vm,
                                              restart_daemon, freeze_daemon, change_tables>());
    }));
}

// Guards against thrashing: models that do not fit together and evict each other repeatedly.
TEST_CASE("models that do not fit together are loaded at most once per minimum residence time", "[placement]")
{
    auto const models = GENERATE(2, 3, 5);
    auto w = make_simulation(1);
    tables t = *w.state_.tables_;
    t.pools_.resize(1);
    t.pools_[0].upstreams_ = {"u0"}; // Room for one or two models of the five.
    t.pools_[0].models_[4].min_replicas_ = 0;
    w.write({"e0", 1}, tables_published{t.version_, t});
    auto& p = w.planners_[0];
    millis const start = w.now_;
    for (int tick = 0; tick < 1'200; ++tick) {
        w.now_ += millis{500};
        for (int m = 0; m < models; ++m) {
            // Every model is idle between two of its requests, so that each could evict the others at once.
            if (tick % 6 == m) {
                w.requests_.push_back(
                    {{"reviews", "m" + std::to_string(m), ""}, priority::normal, w.now_, {}, {}});
            }
        }
        w.advance_orders();
        w.advance_unloads();
        w.advance_requests({100});
        w.compute_demand();
        CHECK(w.plan_all(p, true, {1'000}) == 0);
    }
    auto const residence = t.pools_[0].min_residence_;
    for (auto const& [key, loads] : w.loads_by_model_) {
        INFO(key.model_ << " was loaded " << loads << " times");
        CHECK(loads <= 1 + (w.now_ - start).count_ / residence.count_);
    }
    CHECK(w.loads_ >= 1);
}

namespace {

/// Runs the planner for a fleet of one member, three upstreams and one pool.
struct planner_fixture {
    fleet_state state_;
    std::map<model_key, model_demand> demand_;
    std::map<std::string, cached_weights> caches_;
    std::map<std::string, std::int64_t> load_;
    std::map<std::string, millis> last_used_;
    std::map<std::string, millis> loaded_at_;
    std::vector<std::string> leaving_;
    std::vector<failed_load> failed_;
    std::uint64_t sequence_{};
    std::uint64_t next_{1};
    member_id const self_{"e0", 1};
    millis now_{1'000'000};

    planner_fixture()
    {
        write(member_joined{self_, "za", "h", "p", "a"});
        for (int i = 0; i < 3; ++i) {
            write(upstream_seen{"u" + std::to_string(i), "i", "a:1", i == 2 ? "zb" : "za", 40'000, true,
                                false});
        }
        tables t;
        pool_row pool;
        pool.name_ = "p";
        pool.upstreams_ = {"u*"};
        for (std::string const name : {"a", "b", "c"}) {
            model_row model;
            model.name_ = name;
            model.memory_mb_ = name == "c" ? 39'000 : 20'000;
            model.max_replicas_ = 2;
            model.adapters_ = {{"x", 2'000}, {"y", 2'000}};
            pool.models_.push_back(model);
        }
        t.pools_ = {pool};
        publish(t);
    }

    verdict write(record_body body)
    {
        return apply(state_, {self_, ++sequence_, std::move(body)}, state_.next_offset_, now_).verdict_;
    }

    void publish(tables t)
    {
        REQUIRE(write(tables_published{state_.tables_->version_, std::move(t)}) == verdict::accepted);
    }

    tables edited() const { return *state_.tables_; }

    std::string load(std::string const& model, std::string const& upstream, std::string const& adapter = {})
    {
        auto const id = model + ":" + adapter + "@" + upstream;
        auto const memory = !adapter.empty() ? 2'000 : model == "c" ? 39'000 : 20'000;
        load_decided const decided{id,
                                   "p",
                                   model,
                                   adapter,
                                   upstream,
                                   memory,
                                   load_source::disk_cache,
                                   self_,
                                   replica_count(state_, "p", model, adapter)};
        REQUIRE(write(decided) == verdict::accepted);
        REQUIRE(write(replica_loaded{id, true}) == verdict::accepted);
        loaded_at_[id] = now_ - millis{30'000};
        last_used_[id] = now_ - millis{20'000};
        return id;
    }

    void wait_for(std::string const& model, std::string const& adapter, std::int64_t waiting,
                  priority highest = priority::normal)
    {
        auto& d = demand_[{"p", model, adapter}];
        d.waiting_ = waiting;
        d.highest_ = highest;
        d.oldest_wait_ = {100};
    }

    /// \returns The planned actions as texts, for example `load a: on u0 from 2`, where 2 is the load source;
    /// checks that all are accepted.
    std::vector<std::string> plan()
    {
        placement_input const input{state_,     demand_,  caches_, load_, last_used_,
                                    loaded_at_, leaving_, self_,   now_,  failed_};
        std::vector<std::string> action_texts;
        for (auto const& action : plan_pool(input, state_.tables_->pools_[0], next_)) {
            if (auto const* const l = std::get_if<load_decided>(&action)) {
                action_texts.push_back("load " + l->model_ + ":" + l->adapter_ + " on " + l->upstream_ +
                                       " from " + std::to_string(static_cast<int>(l->source_)));
            } else if (auto const* const u = std::get_if<unload_decided>(&action)) {
                action_texts.push_back("unload " + u->replica_);
            } else {
                action_texts.push_back("mark failed " + std::get<load_failed>(action).replica_);
            }
            CHECK(write(std::visit([](auto const& a) { return record_body{a}; }, action)) ==
                  verdict::accepted);
        }
        return action_texts;
    }
};

using action_texts = std::vector<std::string>;

} // namespace

// Guards against plans that violate the rules and limits of the pools table.
TEST_CASE("plans follow the rules and limits of the pools table", "[placement][promise-1][promise-11]")
{
    planner_fixture f;
    SECTION("one load for a burst that fits the slots of one replica")
    {
        f.wait_for("a", "", 8);
        CHECK(f.plan().size() == 1);
        CHECK(f.plan().empty());
    }
    SECTION("a second load if the demand exceeds the slots of one replica")
    {
        f.wait_for("a", "", 9);
        CHECK(f.plan().size() == 2);
    }
    SECTION("memory cache before disk cache before store")
    {
        f.caches_["u1"].by_model_["a"] = load_source::disk_cache;
        f.caches_["u2"].by_model_["a"] = load_source::memory_cache;
        f.wait_for("a", "", 9);
        CHECK(f.plan() == action_texts{"load a: on u2 from 0", "load a: on u1 from 1"});
    }
    SECTION("the highest priority class gets the last store transfer")
    {
        auto t = f.edited();
        t.store_.checkpoint_transfers_ = 1;
        f.publish(t);
        f.wait_for("a", "", 1, priority::low);
        f.wait_for("b", "", 1, priority::urgent);
        CHECK(f.plan() == action_texts{"load b: on u0 from 2"});
    }
    SECTION("a required availability zone is a filter")
    {
        auto t = f.edited();
        t.pools_[0].availability_zones_ = {"zb"};
        t.pools_[0].locality_ = locality::require;
        f.publish(t);
        f.wait_for("a", "", 9);
        CHECK(f.plan() == action_texts{"load a: on u2 from 2"});
    }
    SECTION("leaving and drained upstreams get no loads and only their idle replicas are unloaded")
    {
        auto const id = f.load("a", "u0");
        auto const other = f.load("b", "u1");
        f.load_[other] = 1;
        f.leaving_ = {"u0"};
        f.write(drain_set{"u1", true});
        f.wait_for("a", "", 1);
        CHECK(f.plan() == action_texts{"unload " + id, "load a: on u2 from 2"});
    }
    SECTION("a failed replica is unloaded and the model loaded again elsewhere")
    {
        f.wait_for("a", "", 1);
        REQUIRE(f.plan() == action_texts{"load a: on u0 from 2"});
        f.write(load_failed{"e0-1-r1", false});
        f.failed_.push_back({"u0", "a", "", f.now_});
        CHECK(f.plan() == action_texts{"unload e0-1-r1", "load a: on u1 from 2"});
    }
    SECTION("an upstream on which the load failed recently ranks last")
    {
        f.failed_.push_back({"u0", "a", "", f.now_ - millis{1'000}});
        f.wait_for("a", "", 1);
        CHECK(f.plan() == action_texts{"load a: on u1 from 2"});
    }
    SECTION("a model removed from the tables is unloaded, its adapters first")
    {
        auto const base = f.load("a", "u0");
        auto const adapter = f.load("a", "u0", "x");
        auto t = f.edited();
        t.pools_[0].models_.erase(t.pools_[0].models_.begin());
        f.publish(t);
        CHECK(f.plan() == action_texts{"unload " + adapter});
        REQUIRE(f.write(replica_released{adapter, f.self_}) == verdict::accepted);
        CHECK(f.plan() == action_texts{"unload " + base});
    }
    SECTION("a lowered maximum unloads the replica with the fewest running requests")
    {
        auto const busy = f.load("a", "u0");
        auto const idle = f.load("a", "u1");
        f.load_[busy] = 3;
        auto t = f.edited();
        t.pools_[0].models_[0].max_replicas_ = 1;
        f.publish(t);
        CHECK(f.plan() == action_texts{"unload " + idle});
        CHECK(f.plan().empty());
    }
    SECTION("min_replicas are loaded without demand and kept when idle")
    {
        auto t = f.edited();
        t.pools_[0].models_[0].min_replicas_ = 1;
        f.publish(t);
        CHECK(f.plan() == action_texts{"load a: on u0 from 2"});
        f.write(replica_loaded{"e0-1-r1", true});
        f.loaded_at_["e0-1-r1"] = f.now_ - millis{3'600'000};
        CHECK(f.plan().empty());
    }
    SECTION("an idle replica is unloaded after its idle timeout")
    {
        auto const id = f.load("a", "u0");
        f.demand_[{"p", "a", ""}].mean_interval_ = {60'000};
        CHECK(f.plan().empty());
        f.now_ += millis{40'001};
        CHECK(f.plan() == action_texts{"unload " + id});
    }
    SECTION("the least recently used idle replica is evicted for a waiting model")
    {
        auto const older = f.load("a", "u0");
        f.last_used_[older] = f.now_ - millis{25'000};
        f.load("b", "u1");
        f.load("a", "u1");
        f.load("b", "u2");
        f.wait_for("c", "", 1);
        CHECK(f.plan() == action_texts{"unload " + older});
        CHECK(f.plan().empty()); // The unload in progress frees enough memory: no second eviction.
        f.write(replica_released{older, f.self_});
        CHECK(f.plan() == action_texts{"load c: on u0 from 2"});
    }
    SECTION("no busy, recently loaded, higher-priority or min_replicas replica is evicted")
    {
        auto const a0 = f.load("a", "u0");
        auto const b1 = f.load("b", "u1");
        auto const b2 = f.load("b", "u2");
        auto const reason = GENERATE(0, 1, 2, 3);
        f.load_[a0] = reason == 0 ? 1 : 0;
        f.load_[b1] = f.load_[b2] = 1;
        f.loaded_at_[a0] = reason == 1 ? f.now_ - millis{9'999} : f.loaded_at_[a0];
        f.last_used_[a0] = reason == 1 ? f.now_ - millis{9'999} : f.last_used_[a0];
        f.demand_[{"p", "a", ""}].highest_ = reason == 2 ? priority::urgent : priority::low;
        f.demand_[{"p", "a", ""}].mean_interval_ = {1'000};
        if (reason == 3) {
            auto t = f.edited();
            t.pools_[0].models_[0].min_replicas_ = 1;
            f.publish(t);
        }
        f.wait_for("c", "", 1);
        CHECK(f.plan().empty());
    }
    SECTION("an adapter is loaded after its base model on the same upstream")
    {
        f.wait_for("a", "x", 1);
        CHECK(f.plan() == action_texts{"load a: on u0 from 2"});
        CHECK(f.plan().empty());
        f.write(replica_loaded{"e0-1-r1", true});
        CHECK(f.plan() == action_texts{"load a:x on u0 from 2"});
    }
    SECTION("a base model is placed where its waiting adapter fits too")
    {
        f.load("b", "u0");
        f.load("b", "u1");
        f.write(upstream_seen{"u3", "i", "a:1", "za", 20'000, true, false});
        f.caches_["u3"].by_model_["a"] = load_source::memory_cache;
        f.wait_for("a", "x", 1);
        CHECK(f.plan() == action_texts{"load a: on u2 from 2"});
    }
    SECTION("the unload of a removed member is taken over and its load marked as failed")
    {
        member_id const dead{"e1", 9};
        apply(f.state_, {dead, 1, member_joined{dead, "za", "h", "p", "a"}}, f.state_.next_offset_, f.now_);
        auto const id = f.load("a", "u0");
        REQUIRE(f.write(unload_decided{id, dead}) == verdict::accepted);
        REQUIRE(f.write(load_decided{"r9", "p", "b", "", "u1", 20'000, load_source::store, dead, 0}) ==
                verdict::accepted);
        CHECK(f.plan().empty());
        f.write(member_gone{dead, gone_evidence::vm_absent});
        CHECK(f.plan() == action_texts{"unload " + id, "mark failed r9", "unload r9"});
    }
    SECTION("replicas of a pool removed from the tables are unloaded")
    {
        auto const id = f.load("a", "u0");
        auto t = f.edited();
        t.pools_.clear();
        f.publish(t);
        placement_input const input{f.state_,     f.demand_,  f.caches_, f.load_, f.last_used_,
                                    f.loaded_at_, f.leaving_, f.self_,   f.now_};
        auto const actions = plan_removed_pools(input);
        REQUIRE(actions.size() == 1);
        CHECK(std::get<unload_decided>(actions[0]).replica_ == id);
    }
}

// Guards against an idle timeout above the row's `idle_unload`, or one that falls to zero for rare bursts.
TEST_CASE("the idle timeout follows the burst interval and does not exceed idle_unload", "[placement]")
{
    model_row model;
    model.load_time_ = {20'000};
    model.idle_unload_ = {60'000};
    auto const row = GENERATE(table<std::int64_t, std::int64_t>(
        {{0, 60'000}, {1'000, 60'000}, {60'000, 60'000}, {60'001, 20'000}, {100'000'000, 20'000}}));
    CHECK(replica_idle_timeout(model, {std::get<0>(row)}) == millis{std::get<1>(row)});
    model.idle_unload_ = {5'000};
    CHECK(replica_idle_timeout(model, {std::get<0>(row)}) <= millis{5'000});
}

// Guards against counting the intervals within a burst, which would keep every model loaded.
TEST_CASE("only intervals longer than the load time change the mean burst interval", "[placement]")
{
    model_row model;
    model.load_time_ = {20'000};
    model_demand demand;
    demand.mean_interval_ = {100'000};
    record_arrival(demand, model, {1'000});
    record_arrival(demand, model, {1'100});
    record_arrival(demand, model, {21'100});
    CHECK(demand.mean_interval_ == millis{100'000});
    record_arrival(demand, model, {521'100});
    CHECK(demand.mean_interval_ == millis{200'000});
    CHECK(demand.last_used_ == millis{521'100});
}
