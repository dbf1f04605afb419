// Measures processor time and memory of plan_pool, apply and the fold's copy over several sizes.
// Usage: measure_slopes_placement
#include <auburnchute/placement.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <map>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

struct size {
    std::size_t upstreams_{100};
    std::size_t models_{75};
    std::size_t adapters_{10}; ///< Of each model.
    std::size_t replicas_{200};
    std::size_t members_{9};
    std::size_t claims_{1'000};
    std::size_t waiting_{10}; ///< Models for which requests wait.
};

struct fleet {
    fleet_state state_;
    std::uint64_t sequence_{};
    member_id const self_{"e0", 1};
    std::map<model_key, model_demand> demand_;
    std::map<std::string, cached_weights> caches_;
    std::map<std::string, std::int64_t> load_;
    std::map<std::string, millis> last_used_;
    std::map<std::string, millis> loaded_at_;
    std::vector<std::string> leaving_;

    apply_result write(record_body body)
    {
        return apply(state_, {self_, ++sequence_, std::move(body)}, state_.next_offset_, {1'000'000});
    }
};

double processor_us()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

std::string numbered(char const* prefix, std::size_t i)
{
    return prefix + std::to_string(i);
}

fleet make_fleet(size const& s)
{
    fleet f;
    for (std::size_t i = 0; i < s.members_; ++i) {
        // Only the entries count here; shares are measured by joining below.
        f.state_.members_[{numbered("e", i), 1}] = {};
    }
    for (std::size_t i = 0; i < s.upstreams_; ++i) {
        f.write(upstream_seen{numbered("u", i), "i", "a:1", numbered("z", i % 3), 640'000, true, true});
        f.caches_[numbered("u", i)].by_model_[numbered("m", i % s.models_)] = load_source::disk_cache;
    }
    tables t;
    pool_row pool;
    pool.name_ = "p";
    pool.upstreams_ = {"u*"};
    for (std::size_t m = 0; m < s.models_; ++m) {
        model_row model;
        model.name_ = numbered("m", m);
        model.memory_mb_ = 20'000;
        model.max_replicas_ = 100'000;
        model.idle_unload_ = {100'000'000};
        for (std::size_t a = 0; a < s.adapters_; ++a) {
            model.adapters_.push_back({numbered("a", a), 100});
        }
        pool.models_.push_back(std::move(model));
    }
    t.pools_.push_back(std::move(pool));
    f.write(tables_published{0, t});
    for (std::size_t i = 0; i < s.replicas_; ++i) {
        // Filled in directly: writing them one by one would measure apply.
        replica_entry entry;
        entry.pool_ = "p";
        entry.model_ = numbered("m", (i + i / s.upstreams_) % s.models_);
        entry.upstream_ = numbered("u", i % s.upstreams_);
        entry.memory_mb_ = 20'000;
        entry.executor_ = f.self_;
        entry.status_ = replica_status::loaded;
        entry.load_order_ended_ = true;
        auto const id = numbered("r", i);
        f.state_.replicas_[id] = entry;
        f.loaded_at_[id] = f.last_used_[id] = {900'000};
    }
    for (std::size_t i = 0; i < s.claims_; ++i) {
        claim_entry entry;
        entry.route_ = "checkout";
        entry.workspace_ = "w";
        entry.body_ = std::string(200, 'x');
        f.state_.claims_[numbered("claim", i)] = entry;
    }
    for (std::size_t i = 0; i < s.waiting_; ++i) {
        auto& d = f.demand_[{"p", numbered("m", i % s.models_),
                             i < s.models_ ? std::string{} : numbered("a", i / s.models_ - 1)}];
        // Two more replicas than are loaded.
        d.waiting_ = static_cast<std::int64_t>(8 * (s.replicas_ / s.models_ + 1) + 9);
        d.oldest_wait_ = {static_cast<std::int64_t>(i)};
    }
    return f;
}

double repeat(std::function<void()> const& action)
{
    int runs = 0;
    auto const start = processor_us();
    while (processor_us() - start < 100'000 || runs < 3) {
        action();
        ++runs;
    }
    return (processor_us() - start) / runs;
}

void print(char const* what, size const& s)
{
    auto const before = mallinfo2().uordblks;
    auto f = make_fleet(s);
    auto const held = mallinfo2().uordblks - before;
    placement_input const input{f.state_,     f.demand_,  f.caches_, f.load_,    f.last_used_,
                                f.loaded_at_, f.leaving_, f.self_,   {1'000'000}};
    std::size_t actions = 0;
    auto const plan = repeat([&] {
        std::uint64_t next = 1;
        actions = plan_pool(input, f.state_.tables_->pools_[0], next).size();
    });
    auto const copy = repeat([&] {
        fleet_state const copied = f.state_;
        if (copied.next_offset_ != f.state_.next_offset_) {
            std::abort();
        }
    });
    std::uint64_t id = 0;
    auto const decide = repeat([&] {
        auto const replica = numbered("new", ++id);
        auto const model = numbered("m", id % s.models_);
        f.write(load_decided{replica, "p", model, "", "u0", 20'000, load_source::disk_cache, f.self_,
                             replica_count(f.state_, "p", model, "")});
        f.state_.replicas_.erase(replica);
    });
    auto const claim = repeat([&] {
        f.write(claim_made{"fresh", "checkout", "w", "d", f.self_});
        f.state_.claims_.erase("fresh");
    });
    std::printf("| %s | %.0f (%zu) | %.1f | %.1f | %.0f | %.2f |\n", what, plan, actions, decide, claim, copy,
                static_cast<double>(held) / 1e6);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf(
        "| size | plan_pool us (actions) | apply load_decided us | apply claim_made us | copy of the fold us "
        "| memory MB |\n|---|---|---|---|---|---|\n");
    for (std::size_t const n : {100U, 1'000U, 10'000U}) {
        size s;
        s.upstreams_ = n;
        print(("upstreams " + std::to_string(n)).c_str(), s);
    }
    for (std::size_t const n : {75U, 300U, 1'200U}) {
        size s;
        s.models_ = n;
        print(("models " + std::to_string(n)).c_str(), s);
    }
    for (std::size_t const n : {10U, 50U, 150U}) {
        size s;
        s.adapters_ = n;
        print(("adapters of each of 75 models " + std::to_string(n)).c_str(), s);
    }
    for (std::size_t const n : {200U, 2'000U, 20'000U}) {
        size s;
        s.upstreams_ = 1'000;
        s.replicas_ = n;
        print(("replicas (1000 upstreams) " + std::to_string(n)).c_str(), s);
    }
    for (std::size_t const n : {9U, 120U, 1'200U}) {
        size s;
        s.members_ = n;
        print(("members " + std::to_string(n)).c_str(), s);
    }
    for (std::size_t const n : {1'000U, 10'000U, 100'000U}) {
        size s;
        s.claims_ = n;
        print(("claims " + std::to_string(n)).c_str(), s);
    }
    for (std::size_t const n : {1U, 10U, 75U}) {
        size s;
        s.upstreams_ = 1'000;
        s.replicas_ = 2'000;
        s.waiting_ = n;
        print(("waiting models (1000 upstreams, 2000 replicas) " + std::to_string(n)).c_str(), s);
    }
    size target;
    target.upstreams_ = 10'000;
    target.adapters_ = 147;
    target.replicas_ = 20'000;
    target.members_ = 1'200;
    target.claims_ = 100'000;
    target.waiting_ = 50;
    print("target: 10000 upstreams, 75 models, 11000 adapters, 20000 replicas, 1200 members, 100000 claims, "
          "50 waiting",
          target);
}
