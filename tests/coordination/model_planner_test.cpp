#include <auburnchute/model_planner.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

constexpr std::string_view service = "llm";

/// Four models of 60 GB and two of 30 GB; an engine's memory holds three of the large ones.
engine_profile profile()
{
    engine_profile made;
    made.slots_ = 64;
    made.kv_tokens_ = 232'000;
    made.memory_mb_ = 200'000;
    made.adapter_slots_ = 4;
    made.loads_per_second_ = 1.5;
    for (auto const* const name : {"a", "b", "c", "d"}) {
        made.models_.push_back({name, 60'000, 60, millis{6'000}, millis{1'000}, millis{300}});
    }
    for (auto const* const name : {"e", "f"}) {
        made.models_.push_back({name, 30'000, 40, millis{6'000}, millis{500}, millis{200}});
    }
    return made;
}

engine_state engine(std::string id, std::vector<std::string> const& models)
{
    engine_state made;
    made.id_ = std::move(id);
    for (auto const& model : models) {
        made.models_[model];
        made.weights_on_disk_.insert(model);
    }
    return made;
}

need_key key(std::string model, std::string adapter = "")
{
    return {std::string{service}, std::move(model), std::move(adapter)};
}

model_need waiting(std::int64_t requests, millis oldest = millis{100})
{
    model_need need;
    need.waiting_ = requests;
    need.rate_ = 0.1;
    need.oldest_wait_ = oldest;
    return need;
}

model_need with_rate(double rate, std::int64_t running = 0)
{
    model_need need;
    need.rate_ = rate;
    need.running_ = running;
    return need;
}

std::vector<planned_order> plan(std::vector<engine_state> const& engines, need_map const& needs,
                                store_allowance store = {8, 0, 4}, millis now = millis{100'000})
{
    auto const made = profile();
    return plan_models({service, made, engines, needs, store, now});
}

std::vector<planned_order> orders_for_model(std::vector<planned_order> orders, std::string_view model)
{
    std::erase_if(orders, [&](planned_order const& order) { return order.model_ != model; });
    return orders;
}

} // namespace

// Guards against requests that wait although no engine is ordered to load their model, and against a load
// from the weight store when an engine has a local copy.
TEST_CASE("a model with waiting requests is loaded from the fastest source", "[planner][promise-3]")
{
    struct row {
        std::string_view copy_at_;
        weights_source expected_;
    };
    for (auto const& row : {row{"", weights_source::store}, row{"disk", weights_source::disk},
                            row{"memory", weights_source::memory}}) {
        CAPTURE(row.copy_at_);
        std::vector<engine_state> engines{engine("one", {"a"}), engine("two", {"b"})};
        if (row.copy_at_ == "disk") {
            engines[1].weights_on_disk_.insert("c");
        }
        if (row.copy_at_ == "memory") {
            engines[1].weights_in_memory_.insert("c");
        }
        auto const orders = orders_for_model(plan(engines, {{key("c"), waiting(2)}}), "c");
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].step_ == placement_step::load_model);
        CHECK(orders[0].from_ == row.expected_);
        if (row.expected_ != weights_source::store) {
            CHECK(orders[0].upstream_id_ == "two");
        }
    }
}

// Guards against evictions that cost more requests than the load serves.
TEST_CASE("only the model with the lowest value is evicted, and only for one of higher value", "[planner]")
{
    std::vector<engine_state> const engines{engine("one", {"a", "b", "c"})};
    need_map needs{{key("a"), with_rate(3.0)}, {key("b"), with_rate(0.01)}, {key("c"), with_rate(0.5)}};
    SECTION("the lowest value is evicted for a model with waiting requests")
    {
        needs[key("d")] = waiting(1);
        auto const orders = plan(engines, needs);
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].step_ == placement_step::unload_model);
        CHECK(orders[0].model_ == "b");
    }
    SECTION("no model is evicted for one of lower value")
    {
        needs[key("b")] = with_rate(0.4);
        needs[key("d")] = with_rate(0.1);
        CHECK(plan(engines, needs).empty());
    }
    SECTION("no model is evicted while its only replica runs requests")
    {
        needs[key("b")] = with_rate(0.01, 1);
        needs[key("c")] = with_rate(0.5, 1);
        needs[key("a")] = with_rate(3.0, 4);
        needs[key("d")] = waiting(1);
        CHECK(orders_for_model(plan(engines, needs), "b").empty());
    }
}

// Guards against a second load of a model that is being loaded, and against loads beyond the weight store's
// limits.
TEST_CASE("loads from the store stay within its limits, and one model is not loaded twice",
          "[planner][promise-1]")
{
    std::vector<engine_state> engines{engine("one", {}), engine("two", {}), engine("three", {})};
    need_map const needs{{key("a"), waiting(3)}, {key("b"), waiting(1)}, {key("c"), waiting(1)}};
    struct row {
        store_allowance store_;
        std::size_t loads_;
    };
    for (auto const& row : {row{{8, 0, 4}, 3}, row{{2, 0, 4}, 2}, row{{8, 3, 4}, 1}, row{{0, 0, 4}, 0}}) {
        auto const orders = plan(engines, needs, row.store_);
        CAPTURE(row.store_.permitted_starts_, row.store_.running_);
        CHECK(orders.size() == row.loads_);
    }
    engines[0].loading_ = "a";
    engines[0].busy_ = true;
    CHECK(orders_for_model(plan(engines, needs), "a").empty());
}

// Guards against evictions for models without requests whose weights an engine has on disk.
TEST_CASE("busy models get replicas, and models without requests but with a local copy evict nothing",
          "[planner]")
{
    std::vector<engine_state> engines{engine("one", {"a", "b", "c"}), engine("two", {"d"})};
    engines[0].weights_on_disk_.insert({"e", "f"});
    auto const orders = plan(engines, {{key("a"), with_rate(3.0, 12)}});
    auto const replicas = orders_for_model(orders, "a");
    REQUIRE(replicas.size() == 1);
    CHECK(replicas[0].upstream_id_ == "two");
    CHECK(std::none_of(orders.begin(), orders.end(), [](planned_order const& order) {
        return order.step_ == placement_step::unload_model;
    }));
}

// Guards against adapters ordered on engines without their base model, and against the eviction of adapters
// in use.
TEST_CASE("an adapter is loaded where its model is, and evicts the least requested one from full slots",
          "[planner]")
{
    std::vector<engine_state> engines{engine("one", {"a"}), engine("two", {"b"})};
    need_map needs{{key("a"), with_rate(1.0)}, {key("a", "a1"), waiting(1)}};
    auto orders = plan(engines, needs);
    auto const loads = std::count_if(orders.begin(), orders.end(), [](planned_order const& order) {
        return order.step_ == placement_step::load_adapter && order.upstream_id_ == "one";
    });
    CHECK(loads == 1);
    engines[0].models_["a"].adapters_ = {"a2", "a3", "a4", "a5"};
    needs[key("a", "a2")] = with_rate(0.3, 1);
    needs[key("a", "a3")] = with_rate(0.2);
    needs[key("a", "a4")] = with_rate(0.05);
    needs[key("a", "a5")] = with_rate(0.5);
    orders = plan(engines, needs);
    auto const unload = std::find_if(orders.begin(), orders.end(), [](planned_order const& order) {
        return order.step_ == placement_step::unload_adapter;
    });
    REQUIRE(unload != orders.end());
    CHECK(unload->adapter_ == "a4");
}

// Guards against orders that exceed an engine's memory, and against orders to busy or leaving engines.
TEST_CASE("no plan overcommits an engine", "[planner][promise-2]")
{
    CHECK(rc::check([] {
        auto const made = profile();
        std::vector<engine_state> engines;
        for (int i = 0; i < 4; ++i) {
            auto one = engine("e" + std::to_string(i), {});
            std::int64_t left = made.memory_mb_ - 1'000;
            for (auto const& model : made.models_) {
                if (*rc::gen::arbitrary<bool>() && left >= model.memory_mb_) {
                    one.models_[model.name_];
                    left -= model.memory_mb_;
                }
            }
            one.busy_ = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
            one.leaving_ = *rc::gen::weightedElement<bool>({{6, false}, {1, true}});
            engines.push_back(std::move(one));
        }
        need_map needs;
        for (auto const& model : made.models_) {
            auto& need = needs[key(model.name_)];
            need.waiting_ = *rc::gen::inRange(0, 3);
            need.running_ = *rc::gen::inRange(0, 30);
            need.rate_ = *rc::gen::inRange(0, 100) / 20.0;
        }
        auto const orders = plan_models({service, made, engines, needs, {8, 0, 4}, millis{100'000}});
        std::map<std::string, int> model_orders;
        for (auto const& order : orders) {
            auto const& on = *std::find_if(engines.begin(), engines.end(), [&](engine_state const& one) {
                return one.id_ == order.upstream_id_;
            });
            RC_ASSERT(!on.busy_);
            RC_ASSERT(++model_orders[order.upstream_id_] == 1);
            if (order.step_ != placement_step::load_model) {
                continue;
            }
            RC_ASSERT(!on.leaving_);
            std::int64_t held = find_hosted_model(made, order.model_)->memory_mb_;
            for (auto const& [name, model] : on.models_) {
                held += find_hosted_model(made, name)->memory_mb_;
            }
            RC_ASSERT(held <= made.memory_mb_);
        }
    }));
}

// Guards against two models that evict each other in turn: memory that was freed for one model was given to
// another one.
TEST_CASE("memory that is freed for a model stays reserved for it", "[planner]")
{
    std::vector<engine_state> engines{engine("one", {"a", "b"})};
    engines[0].reserved_for_ = "d";
    engines[0].weights_on_disk_.insert("c");
    need_map const needs{{key("a"), with_rate(3.0)},
                         {key("b"), with_rate(2.0)},
                         {key("c"), with_rate(1.0)},
                         {key("d"), waiting(1)}};
    auto const orders = plan(engines, needs);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].step_ == placement_step::load_model);
    CHECK(orders[0].model_ == "d");
}
