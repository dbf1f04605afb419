#include "coordination/planner_index.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace auburnchute {

namespace {

/// Concurrent requests that one replica runs without much mutual slowdown.
constexpr double requests_per_replica = 8.0;

/// Request rate, in requests per second, from which a model gets a second replica, so that it survives the
/// failure of one engine.
constexpr double min_rate_for_second_replica = 0.8;

/// Request rate, in requests per second, that one waiting request adds to a model's value.
constexpr double rate_per_waiting_request = 1.0;

/// Time after a load in which a model is not evicted, so that two models do not evict each other repeatedly.
constexpr millis min_residence{2'500};

int compute_target_replicas(indexed_model const& wanted, int max_replicas)
{
    if (wanted.waiting_ == 0 && wanted.running_ == 0 && wanted.rate_ < min_need_rate) {
        return 0;
    }
    auto const by_load =
        static_cast<int>(std::ceil(static_cast<double>(wanted.running_) / requests_per_replica));
    auto const least = wanted.rate_ >= min_rate_for_second_replica ? 2 : 1;
    return std::min(std::max(by_load, least), max_replicas);
}

std::int64_t adapter_reserve_mb_of(engine_profile const& profile)
{
    std::int64_t largest = 0;
    for (auto const& model : profile.models_) {
        largest = std::max(largest, model.adapter_mb_);
    }
    return largest * profile.adapter_slots_;
}

std::optional<std::size_t> find_model(planner_index const& index, std::string_view name)
{
    auto const found = index.model_positions_.find(name);
    return found == index.model_positions_.end() ? std::nullopt : std::optional{found->second};
}

void add_needs_to_index(planner_input const& input, planner_index& index)
{
    for (auto const& [key, need] : input.needs_) {
        auto const model = key.service_ == input.service_ ? find_model(index, key.model_) : std::nullopt;
        if (!model) {
            continue;
        }
        auto& wanted = index.models_[*model];
        wanted.rate_ += need.rate_;
        wanted.waiting_ += need.waiting_;
        wanted.running_ += need.running_;
        if (need.waiting_ > 0) {
            wanted.oldest_wait_ = std::max(wanted.oldest_wait_, need.oldest_wait_);
            wanted.urgency_ = std::min(wanted.urgency_, need.urgency_);
        }
    }
}

indexed_engine index_engine(planner_input const& input, planner_index const& index, engine_state const& state,
                            std::int64_t adapter_reserve_mb)
{
    indexed_engine engine;
    engine.state_ = &state;
    engine.free_mb_ = input.engine_.memory_mb_ - adapter_reserve_mb;
    engine.weights_sources_.resize(index.models_.size(), weights_source::store);
    engine.is_loaded_.resize(index.models_.size(), false);
    for (auto const& name : state.weights_on_disk_) {
        if (auto const model = find_model(index, name)) {
            engine.weights_sources_[*model] = weights_source::disk;
        }
    }
    for (auto const& name : state.weights_in_memory_) {
        if (auto const model = find_model(index, name)) {
            engine.weights_sources_[*model] = weights_source::memory;
        }
    }
    auto const reserve_memory = [&](std::string_view name) {
        auto const model = find_model(index, name);
        // A model that the configuration no longer names has an unknown size: assume that it fills the
        // engine.
        engine.free_mb_ -= model ? index.models_[*model].model_->memory_mb_ : input.engine_.memory_mb_;
        return model;
    };
    for (auto const& [name, held] : state.models_) {
        auto const model = reserve_memory(name);
        engine.loaded_models_.emplace_back(name, model);
        if (model) {
            engine.is_loaded_[*model] = true;
        }
    }
    if (!state.loading_.empty() && !state.models_.contains(state.loading_)) {
        (void)reserve_memory(state.loading_);
    }
    return engine;
}

void count_replicas(planner_index& index, indexed_engine const& engine)
{
    auto const& state = *engine.state_;
    std::set<std::string_view> replica_names{state.loading_, state.reserved_for_};
    for (auto const& [name, model] : engine.loaded_models_) {
        if (!state.retiring_.contains(name)) {
            replica_names.insert(name);
        }
    }
    for (auto const name : replica_names) {
        if (auto const model = find_model(index, name)) {
            ++index.models_[*model].replicas_;
        }
    }
    for (std::size_t model = 0; model < index.models_.size(); ++model) {
        index.models_[model].has_local_copy_ |= engine.weights_sources_[model] != weights_source::store;
    }
}

/// Adds each adapter's request rate to the engine that is the only one able to load it now.
void compute_exclusive_adapter_rates(planner_input const& input, planner_index& index)
{
    for (auto const& [key, need] : input.needs_) {
        auto const model = key.service_ == input.service_ && !key.adapter_.empty()
                               ? find_model(index, key.model_)
                               : std::nullopt;
        if (!model) {
            continue;
        }
        auto const& loaded_on = index.models_[*model].loaded_on_;
        auto const is_free = [&](std::size_t engine) {
            auto const& state = *index.engines_[engine].state_;
            return !state.busy_ && !state.leaving_;
        };
        auto const free = std::count_if(loaded_on.begin(), loaded_on.end(), is_free);
        for (auto const engine : loaded_on) {
            bool const elsewhere = free > (is_free(engine) ? 1 : 0);
            index.engines_[engine].exclusive_adapter_rate_ += elsewhere ? 0.0 : need.rate_;
        }
    }
}

/// Value that is lost if the engine unloads the model; none if it must not be unloaded.
std::optional<double> value_lost_by_eviction(planner_input const& input, planner_index const& index,
                                             indexed_engine const& engine, std::string_view name,
                                             std::optional<std::size_t> model)
{
    if (!model) {
        return 0.0; // the configuration no longer names it
    }
    auto const& wanted = index.models_[*model];
    auto const& loaded_at = engine.state_->loaded_at_;
    auto const loaded = loaded_at.find(name);
    if (loaded != loaded_at.end() && input.now_ - loaded->second < min_residence) {
        return std::nullopt;
    }
    if (wanted.replicas_ > std::max(wanted.target_replicas_, 1)) {
        return 0.0;
    }
    if (wanted.waiting_ > 0 || (wanted.running_ > 0 && wanted.replicas_ <= 1)) {
        return std::nullopt;
    }
    return model_value(wanted);
}

} // namespace

double model_value(indexed_model const& wanted) noexcept
{
    return wanted.rate_ + rate_per_waiting_request * static_cast<double>(wanted.waiting_);
}

planner_index index_engines(planner_input const& input)
{
    planner_index index;
    index.models_.reserve(input.engine_.models_.size());
    for (auto const& model : input.engine_.models_) {
        index.model_positions_.emplace(model.name_, index.models_.size());
        index.models_.push_back({.model_ = &model, .index_ = index.models_.size()});
    }
    add_needs_to_index(input, index);
    auto const adapter_reserve_mb = adapter_reserve_mb_of(input.engine_);
    int remaining_engines = 0;
    for (auto const& state : input.engines_) {
        index.engines_.push_back(index_engine(input, index, state, adapter_reserve_mb));
        auto const& engine = index.engines_.back();
        for (auto const& [name, model] : engine.loaded_models_) {
            if (model) {
                index.models_[*model].loaded_on_.push_back(index.engines_.size() - 1);
            }
        }
        if (!state.leaving_) {
            ++remaining_engines;
            count_replicas(index, engine);
        }
    }
    for (auto& wanted : index.models_) {
        wanted.target_replicas_ = compute_target_replicas(wanted, remaining_engines);
    }
    compute_exclusive_adapter_rates(input, index);
    return index;
}

std::vector<eviction_candidate> const&
ensure_eviction_candidates(planner_input const& input, planner_index& index, indexed_engine& engine)
{
    if (!engine.eviction_candidates_) {
        auto& candidates = engine.eviction_candidates_.emplace();
        for (auto const& [name, model] : engine.loaded_models_) {
            if (auto const loss = value_lost_by_eviction(input, index, engine, name, model)) {
                candidates.push_back({*loss, name, model});
            }
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](eviction_candidate const& a, eviction_candidate const& b) {
                      return std::pair{a.lost_value_, a.name_} < std::pair{b.lost_value_, b.name_};
                  });
    }
    return *engine.eviction_candidates_;
}

void change_replicas(planner_index& index, std::size_t model, int by)
{
    auto& wanted = index.models_[model];
    wanted.replicas_ += by;
    for (auto const engine : wanted.loaded_on_) {
        index.engines_[engine].eviction_candidates_.reset();
    }
}

} // namespace auburnchute
