#include "coordination/planner_index.hpp"

#include <algorithm>
#include <set>

namespace auburnchute {

namespace {

/// Request rate, in requests per second, that one waiting request adds to an adapter's value.
constexpr double rate_per_waiting_request = 1.0;

std::int64_t adapter_count(engine_state const& engine)
{
    auto count = engine.adapters_pending_;
    for (auto const& [name, held] : engine.models_) {
        count += static_cast<std::int64_t>(held.adapters_.size());
    }
    return count;
}

model_need find_need(planner_input const& input, std::string_view model, std::string_view adapter)
{
    auto const found =
        input.needs_.find({std::string{input.service_}, std::string{model}, std::string{adapter}});
    return found == input.needs_.end() ? model_need{} : found->second;
}

/// Unload order for the engine's adapter with the lowest request rate, if that is below the limit and no
/// request runs on or waits for the adapter.
std::optional<planned_order> plan_adapter_eviction(planner_input const& input, engine_state const& engine,
                                                   double value_limit)
{
    std::optional<planned_order> least;
    double least_value = value_limit;
    for (auto const& [name, held] : engine.models_) {
        for (auto const& adapter : held.adapters_) {
            auto const need = find_need(input, name, adapter);
            if (need.running_ == 0 && need.waiting_ == 0 && need.rate_ < least_value) {
                least_value = need.rate_;
                least = planned_order{.upstream_id_ = engine.id_,
                                      .step_ = placement_step::unload_adapter,
                                      .model_ = name,
                                      .adapter_ = adapter,
                                      .reason_ = "makes-room"};
            }
        }
    }
    return least;
}

void plan_adapter(planner_input const& input, std::vector<std::size_t> const& loaded_on, need_key const& key,
                  model_need const& need, std::vector<planned_order>& orders,
                  std::set<std::string_view>& engines_with_order)
{
    engine_state const* engine_with_slot = nullptr;
    engine_state const* full_engine = nullptr;
    for (auto const holder : loaded_on) {
        auto const& engine = input.engines_[holder];
        if (engine.leaving_ || engine.retiring_.contains(key.model_)) {
            continue;
        }
        if (engine.models_.at(key.model_).adapters_.contains(key.adapter_)) {
            return;
        }
        if (engines_with_order.contains(engine.id_) || engine.busy_) {
            continue; // accepts no order now, or has one in this plan
        }
        bool const room = adapter_count(engine) < input.engine_.adapter_slots_;
        auto*& best = room ? engine_with_slot : full_engine;
        if (best == nullptr || std::pair{adapter_count(engine), engine.running_} <
                                   std::pair{adapter_count(*best), best->running_}) {
            best = &engine;
        }
    }
    if (engine_with_slot != nullptr) {
        engines_with_order.insert(engine_with_slot->id_);
        orders.push_back({.upstream_id_ = engine_with_slot->id_,
                          .step_ = placement_step::load_adapter,
                          .model_ = key.model_,
                          .adapter_ = key.adapter_,
                          .reason_ = need.waiting_ > 0 ? "waited-for" : "asked-for"});
        return;
    }
    if (full_engine != nullptr) {
        auto const value = need.rate_ + rate_per_waiting_request * static_cast<double>(need.waiting_);
        if (auto order = plan_adapter_eviction(input, *full_engine, value)) {
            engines_with_order.insert(full_engine->id_);
            orders.push_back(std::move(*order));
        }
    }
}

} // namespace

void plan_adapters(planner_input const& input, planner_index const& index, std::vector<planned_order>& orders)
{
    std::vector<std::pair<need_key const*, model_need const*>> wanted;
    for (auto const& [key, need] : input.needs_) {
        bool const asked = need.waiting_ > 0 || need.rate_ >= min_need_rate;
        if (key.service_ == input.service_ && !key.adapter_.empty() && asked) {
            wanted.emplace_back(&key, &need);
        }
    }
    std::sort(wanted.begin(), wanted.end(), [](auto const& a, auto const& b) {
        return std::pair{a.second->waiting_, a.second->rate_} >
               std::pair{b.second->waiting_, b.second->rate_};
    });
    std::set<std::string_view> engines_with_order;
    for (auto const& [key, need] : wanted) {
        if (auto const model = index.model_positions_.find(key->model_);
            model != index.model_positions_.end()) {
            plan_adapter(input, index.models_[model->second].loaded_on_, *key, *need, orders,
                         engines_with_order);
        }
    }
}

} // namespace auburnchute
