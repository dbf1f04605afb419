#include <auburnchute/model_planner.hpp>

#include "coordination/planner_index.hpp"

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

/// Request rate, in requests per second, from which a model without waiting requests may evict another one.
constexpr double min_rate_to_evict = 0.3;

/// Fraction by which the cost of a load on an engine rises per request per second for adapters that only this
/// engine can load: an engine accepts no order for an adapter while it loads a model.
constexpr double blocked_adapter_factor = 1.0;

/// Time that an unload before a load takes, in ms.
constexpr double unload_cost_ms = 300.0;

/// Cost of an eviction per request per second of lost value, in ms: the evicted model's next requests wait
/// for a load.
constexpr double eviction_cost_ms_per_rate = 20'000.0;

/// Request rate, in requests per second, from which a model is not evicted for one without requests.
constexpr double min_protected_rate = 0.15;

/// Highest value of an evicted model, as a fraction of the value of the model that replaces it.
constexpr double max_evicted_value_ratio = 0.7;

/// Which models may be evicted for a load.
enum class eviction_rule : std::uint8_t {
    none,
    idle_with_local_copy, ///< Idle models that the engine can reload from its own disk or memory cache.
    lower_value,          ///< Models of clearly lower value than the model to be loaded.
};

/// One engine on which a model can be loaded, with the evictions needed for it and their cost.
struct load_option {
    indexed_engine* engine_{};
    std::vector<eviction_candidate> evictions_;
    weights_source from_{weights_source::store};
    double cost_ms_{};
};

/// Plan under construction: its orders, and the state after them.
struct plan_state {
    planner_input const& input_;
    planner_index index_;
    std::vector<planned_order> orders_{};
    store_allowance store_{};
};

bool may_load(plan_state const& plan, weights_source from, int reserved_store_slots)
{
    return from != weights_source::store ||
           (plan.store_.permitted_starts_ > 0 &&
            plan.store_.running_ + reserved_store_slots < plan.store_.max_concurrent_);
}

bool may_unload(plan_state const& plan, indexed_engine const& engine, eviction_candidate const& candidate,
                indexed_model const& wanted, eviction_rule rule)
{
    if (rule == eviction_rule::lower_value) {
        return candidate.lost_value_ <= model_value(wanted) * max_evicted_value_ratio;
    }
    if (!candidate.model_) {
        return true;
    }
    // A model with several replicas counts as busy even while no request rates are known.
    auto const& other = plan.index_.models_[*candidate.model_];
    bool const is_idle = other.rate_ < min_protected_rate && other.replicas_ <= 1;
    return is_idle && engine.weights_sources_[*candidate.model_] != weights_source::store;
}

std::optional<load_option> find_load_option(plan_state& plan, indexed_engine& engine,
                                            indexed_model const& wanted, eviction_rule rule)
{
    auto const& state = *engine.state_;
    bool const reserved = !state.reserved_for_.empty() && state.reserved_for_ != wanted.model_->name_;
    if (state.leaving_ || reserved || engine.is_loaded_[wanted.index_]) {
        return std::nullopt;
    }
    load_option option{&engine, {}, engine.weights_sources_[wanted.index_], 0};
    option.cost_ms_ = static_cast<double>(load_time(*wanted.model_, option.from_).count_);
    option.cost_ms_ += state.busy_ ? static_cast<double>(state.available_in_.count_) : 0.0;
    option.cost_ms_ += option.cost_ms_ * blocked_adapter_factor * engine.exclusive_adapter_rate_;
    auto left = engine.free_mb_;
    if (left >= wanted.model_->memory_mb_) {
        return option;
    }
    if (rule == eviction_rule::none) {
        return std::nullopt;
    }
    for (auto const& candidate : ensure_eviction_candidates(plan.input_, plan.index_, engine)) {
        if (left >= wanted.model_->memory_mb_) {
            break;
        }
        if (may_unload(plan, engine, candidate, wanted, rule)) {
            left += candidate.model_ ? plan.index_.models_[*candidate.model_].model_->memory_mb_
                                     : plan.input_.engine_.memory_mb_;
            option.evictions_.push_back(candidate);
            option.cost_ms_ += unload_cost_ms + candidate.lost_value_ * eviction_cost_ms_per_rate;
        }
    }
    return left >= wanted.model_->memory_mb_ ? std::optional{std::move(option)} : std::nullopt;
}

void append_order(plan_state& plan, indexed_model const& wanted, load_option const& option,
                  std::string_view reason)
{
    option.engine_->has_model_order_ = true;
    auto const& id = option.engine_->state_->id_;
    auto const& model = wanted.model_->name_;
    if (!option.evictions_.empty()) {
        // A later plan orders the load, once the memory is free.
        auto const& candidate = option.evictions_.front();
        plan.orders_.push_back({.upstream_id_ = id,
                                .step_ = placement_step::unload_model,
                                .model_ = std::string{candidate.name_},
                                .room_for_ = model,
                                .reason_ = "makes-room"});
        if (candidate.model_) {
            change_replicas(plan.index_, *candidate.model_, -1);
        }
        return;
    }
    plan.orders_.push_back({.upstream_id_ = id,
                            .step_ = placement_step::load_model,
                            .model_ = model,
                            .from_ = option.from_,
                            .reason_ = reason});
    if (option.from_ == weights_source::store) {
        --plan.store_.permitted_starts_;
        ++plan.store_.running_;
    }
}

/// A model without requests may evict only idle models, also after memory has been reserved for it.
eviction_rule eviction_rule_for(indexed_model const& wanted)
{
    return wanted.target_replicas_ > 0 ? eviction_rule::lower_value : eviction_rule::idle_with_local_copy;
}

/// Plans the loads for which memory has been reserved by earlier plans.
void plan_loads_into_reserved_memory(plan_state& plan)
{
    for (auto& engine : plan.index_.engines_) {
        auto const found = plan.index_.model_positions_.find(engine.state_->reserved_for_);
        if (engine.state_->reserved_for_.empty() || found == plan.index_.model_positions_.end()) {
            continue;
        }
        auto const& wanted = plan.index_.models_[found->second];
        auto const option = find_load_option(plan, engine, wanted, eviction_rule_for(wanted));
        if (option && !engine.state_->busy_ && may_load(plan, option->from_, 0)) {
            append_order(plan, wanted, *option, "room-was-made");
        }
    }
}

/// Plans one more replica of the model. \param reserved_store_slots Concurrent loads from the store that stay
/// free. \returns False if no engine can load it.
bool plan_replica(plan_state& plan, indexed_model const& wanted, eviction_rule rule, int reserved_store_slots,
                  std::string_view reason)
{
    std::optional<load_option> best;
    for (auto& engine : plan.index_.engines_) {
        bool const open = !engine.has_model_order_ && engine.state_->reserved_for_.empty() &&
                          may_load(plan, engine.weights_sources_[wanted.index_], reserved_store_slots);
        if (!open) {
            continue;
        }
        auto option = find_load_option(plan, engine, wanted, rule);
        // At equal cost, prefer the engine with the least free memory.
        bool const better =
            option && (!best || option->cost_ms_ < best->cost_ms_ ||
                       (option->cost_ms_ == best->cost_ms_ && engine.free_mb_ < best->engine_->free_mb_));
        if (better) {
            best = std::move(option);
        }
    }
    if (!best) {
        return false;
    }
    if (best->engine_->state_->busy_) {
        return true; // waiting for this engine is expected to be faster than loading on another
    }
    append_order(plan, wanted, *best, reason);
    change_replicas(plan.index_, wanted.index_, 1);
    return true;
}

/// Positions of the models in planning order: those with waiting requests first, by priority and then by the
/// longest wait, then the others by request rate.
std::vector<std::size_t> models_by_urgency(planner_index const& index)
{
    // Ties are broken by name, so that the order is the same in each plan.
    std::vector<std::size_t> order(index.models_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        auto const& a = index.models_[left];
        auto const& b = index.models_[right];
        bool const a_waits = a.waiting_ > 0;
        bool const b_waits = b.waiting_ > 0;
        if (a_waits != b_waits) {
            return a_waits;
        }
        if (!a_waits && a.rate_ != b.rate_) {
            return a.rate_ > b.rate_;
        }
        if (a_waits && std::pair{a.urgency_, b.oldest_wait_} != std::pair{b.urgency_, a.oldest_wait_}) {
            return std::pair{a.urgency_, b.oldest_wait_} < std::pair{b.urgency_, a.oldest_wait_};
        }
        return a.model_->name_ < b.model_->name_;
    });
    return order;
}

} // namespace

millis load_time(hosted_model const& model, weights_source from) noexcept
{
    switch (from) {
    case weights_source::memory:
        return model.memory_load_time_;
    case weights_source::disk:
        return model.disk_load_time_;
    case weights_source::store:
        break;
    }
    return model.store_load_time_;
}

std::vector<planned_order> plan_models(planner_input const& input)
{
    plan_state plan{input, index_engines(input)};
    plan.store_ = input.store_;
    plan_adapters(input, plan.index_, plan.orders_);
    auto const order = models_by_urgency(plan.index_);
    auto const& wanted = plan.index_.models_;
    plan_loads_into_reserved_memory(plan);
    for (auto const model : order) {
        if (wanted[model].target_replicas_ > 0 && wanted[model].replicas_ == 0) {
            bool const waits = wanted[model].waiting_ > 0;
            auto const rule = waits || wanted[model].rate_ >= min_rate_to_evict ? eviction_rule::lower_value
                                                                                : eviction_rule::none;
            (void)plan_replica(plan, wanted[model], rule, 0, waits ? "waited-for" : "asked-for");
        }
    }
    for (auto const model : order) {
        if (wanted[model].replicas_ > 0 && wanted[model].replicas_ < wanted[model].target_replicas_) {
            (void)plan_replica(plan, wanted[model], eviction_rule::lower_value, 0, "busy");
        }
    }
    for (auto const model : order) {
        // One concurrent load from the store stays free for a model that is requested meanwhile.
        if (wanted[model].replicas_ > 0 ||
            plan_replica(plan, wanted[model], eviction_rule::none, 1, "unloaded-nowhere")) {
            continue;
        }
        if (!wanted[model].has_local_copy_) {
            (void)plan_replica(plan, wanted[model], eviction_rule::idle_with_local_copy, 1, "copied-nowhere");
        }
    }
    return plan.orders_;
}

} // namespace auburnchute
