#include "placement_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>

using namespace auburnchute;
using auburnchute::testing::make_world;
using auburnchute::testing::placement_world;

namespace {

/// What the oracle knows without asking the planner or the fold.
struct placement_oracle {
    std::set<std::size_t> drained_;
    std::size_t alive_{3};
    int tables_{};
};

struct placement_run {
    placement_world world_{make_world(3)};
    bool several_{}; ///< Several planners with stale knowledge.
};

using placement_command = rc::state::Command<placement_oracle, placement_run>;

void expect_guarantees(placement_run const& run)
{
    if (auto const text = run.world_.broken_guarantee(); !text.empty()) {
        RC_FAIL(text);
    }
}

/// One second: orders, unloads and requests move; the planner or planners decide.
void step(placement_run& run, millis by, std::size_t who)
{
    auto& w = run.world_;
    for (millis done{}; done < by; done += millis{500}) {
        w.now_ += millis{500};
        w.move_orders();
        w.move_unloads();
        w.move_requests({3'000});
        w.gather_demand();
        if (!run.several_) {
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
                if ((i + who + static_cast<std::size_t>(w.now_.count_ / 500)) % 3 == 0) {
                    p.known_ = w.state_; // The others keep an older state.
                }
            }
        }
        expect_guarantees(run);
    }
}

struct pass_time : placement_command {
    int seconds_ = *rc::gen::inRange(1, 20);
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, 3);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        step(sut, millis{seconds_ * 1'000}, who_);
    }
    void show(std::ostream& os) const override { os << "pass_time " << seconds_ << " " << who_; }
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
        auto& w = sut.world_;
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
    void run(placement_oracle const&, placement_run& sut) const override { sut.world_.fail_next_ = number_; }
    void show(std::ostream& os) const override { os << "fail_loads " << number_; }
};

struct lose_order : placement_command {
    int late_ = *rc::gen::inRange(1, 60);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        sut.world_.give_up_an_order(millis{late_ * 1'000});
        expect_guarantees(sut);
    }
    void show(std::ostream& os) const override { os << "lose_order " << late_; }
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
        auto& w = sut.world_;
        w.write(w.first_alive().self_, drain_set{placement_world::vm(vm_), drained_});
    }
    void show(std::ostream& os) const override { os << "drain u" << vm_ << " " << drained_; }
};

struct replace_vm : placement_command {
    std::size_t vm_ = *rc::gen::inRange<std::size_t>(0, 6);
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        sut.world_.replace_vm(vm_);
        expect_guarantees(sut);
    }
    void show(std::ostream& os) const override { os << "replace_vm u" << vm_; }
};

struct end_daemon : placement_command {
    void checkPreconditions(placement_oracle const& oracle) const override { RC_PRE(oracle.alive_ > 0U); }
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.world_;
        auto const& p = w.first_alive();
        w.end_process(static_cast<std::size_t>(&p - w.planners_.data()));
        expect_guarantees(sut);
    }
    void show(std::ostream& os) const override { os << "end_daemon"; }
};

/// A frozen daemon is voted out; when it resumes, the orders that it had accepted leave late.
struct freeze_daemon : placement_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(1, 3);
    bool frozen_ = *rc::gen::arbitrary<bool>();
    void apply(placement_oracle&) const override {}
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.world_;
        auto& p = w.planners_[who_];
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
        expect_guarantees(sut);
    }
    void show(std::ostream& os) const override { os << "freeze " << who_ << " " << frozen_; }
};

struct change_tables : placement_command {
    int model_ = *rc::gen::inRange(0, 5);
    int max_ = *rc::gen::inRange(0, 4);
    int min_ = *rc::gen::inRange(0, 2);
    void apply(placement_oracle& oracle) const override { ++oracle.tables_; }
    void run(placement_oracle const&, placement_run& sut) const override
    {
        auto& w = sut.world_;
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

/// Removes the faults, restores the tables and lets the planner settle.
void settle(placement_run& run, tables const& wanted)
{
    auto& w = run.world_;
    w.fail_next_ = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        w.write(w.first_alive().self_, drain_set{placement_world::vm(i), false});
    }
    tables next = wanted;
    w.write(w.first_alive().self_, tables_published{w.state_.tables_->version_, next});
    // Bound: the loads of all keys through two transfer slots, once more for evictions, and late orders.
    for (int i = 0; i < 30 && !w.requests_.empty(); ++i) {
        step(run, {20'000}, 0);
    }
}

std::string describe(placement_world const& w)
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

// Guards against a planner that proposes what the fold rejects, starves a model that can fit, or stops after
// failed loads, drains, replaced VMs and dead executors; and against overcommitted memory by late orders.
TEST_CASE("a single up-to-date planner is never rejected and loads every waiting model",
          "[placement][promise-1][promise-2][promise-11]")
{
    CHECK(rc::check("single planner", [] {
        placement_run run;
        auto const original = *run.world_.state_.tables_;
        rc::state::check(
            placement_oracle{}, run,
            rc::state::gen::execOneOfWithArgs<pass_time, pass_time, send_requests, send_requests, fail_loads,
                                              lose_order, drain_vm, replace_vm, end_daemon, change_tables>());
        settle(run, original);
        if (!run.world_.requests_.empty()) {
            RC_FAIL("requests still wait\n" + describe(run.world_));
        }
    }));
}

// Guards against two planners that load a model twice, and against orders of frozen daemons that overfill a
// VM.
TEST_CASE("several planners with stale states keep the guarantees on replicas and memory",
          "[placement][promise-1][promise-2]")
{
    CHECK(rc::check("several planners", [] {
        placement_run run;
        run.several_ = true;
        rc::state::check(placement_oracle{}, run,
                         rc::state::gen::execOneOfWithArgs<pass_time, pass_time, send_requests, send_requests,
                                                           fail_loads, lose_order, drain_vm, replace_vm,
                                                           end_daemon, freeze_daemon, change_tables>());
    }));
}

// Guards against models that push each other out again and again.
TEST_CASE("models that do not fit together are loaded at most once in each residence", "[placement]")
{
    auto const models = GENERATE(2, 3, 5);
    auto w = make_world(1);
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
            w.requests_.push_back(
                {{"reviews", "m" + std::to_string(m), ""}, priority::normal, w.now_, {}, {}});
        }
        w.move_orders();
        w.move_unloads();
        w.move_requests({100});
        w.gather_demand();
        CHECK(w.plan_all(p, true, {1'000}) == 0);
    }
    auto const residence = t.pools_[0].min_residence_;
    for (auto const& [key, loads] : w.loads_of_) {
        INFO(key.model_ << " was loaded " << loads << " times");
        CHECK(loads <= 1 + (w.now_ - start).count_ / residence.count_);
    }
    CHECK(w.loads_ >= 1);
}
