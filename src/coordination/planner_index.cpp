#include "coordination/planner_index.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace auburnchute {

namespace {

/// Requests of a model that one replica runs without slowing each other much.
constexpr double requests_for_each_replica = 8.0;

/// Rate, in requests a second, from which a model gets a second replica, so that one failure does not stop
/// it.
constexpr double rate_for_second_replica = 0.8;

/// A model that waits for a request is wanted as much as one with this many requests a second.
constexpr double waiting_rate = 1.0;

/// Time that a model stays after a load, so that two models do not take turns on one engine.
constexpr millis least_stay{2'500};

int needed_replicas(wanted_model const& wanted, int engines)
{
    if (wanted.waiting_ == 0 && wanted.running_ == 0 && wanted.rate_ < min_need_rate) {
        return 0;
    }
    auto const by_load =
        static_cast<int>(std::ceil(static_cast<double>(wanted.running_) / requests_for_each_replica));
    auto const least = wanted.rate_ >= rate_for_second_replica ? 2 : 1;
    return std::min(std::max(by_load, least), engines);
}

std::int64_t adapter_memory(engine_profile const& profile)
{
    std::int64_t largest = 0;
    for (auto const& model : profile.models_) {
        largest = std::max(largest, model.adapter_mb_);
    }
    return largest * profile.adapter_slots_;
}

std::optional<std::size_t> find_model(planner_index const& index, std::string_view name)
{
    auto const found = index.models_.find(name);
    return found == index.models_.end() ? std::nullopt : std::optional{found->second};
}

void add_needs(planner_input const& input, planner_index& index)
{
    for (auto const& [key, need] : input.needs_) {
        auto const model = key.service_ == input.service_ ? find_model(index, key.model_) : std::nullopt;
        if (!model) {
            continue;
        }
        auto& wanted = index.wanted_[*model];
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
                            std::int64_t kept_for_adapters)
{
    indexed_engine engine;
    engine.state_ = &state;
    engine.free_mb_ = input.engine_.memory_mb_ - kept_for_adapters;
    engine.source_.resize(index.wanted_.size(), weights_source::store);
    engine.loaded_.resize(index.wanted_.size(), false);
    for (auto const& name : state.weights_on_disk_) {
        if (auto const model = find_model(index, name)) {
            engine.source_[*model] = weights_source::disk;
        }
    }
    for (auto const& name : state.weights_in_memory_) {
        if (auto const model = find_model(index, name)) {
            engine.source_[*model] = weights_source::memory;
        }
    }
    auto const hold = [&](std::string_view name) {
        auto const model = find_model(index, name);
        // One that the configuration no longer names has an unknown size: nothing fits beside it.
        engine.free_mb_ -= model ? index.wanted_[*model].model_->memory_mb_ : input.engine_.memory_mb_;
        return model;
    };
    for (auto const& [name, held] : state.models_) {
        auto const model = hold(name);
        engine.held_.emplace_back(name, model);
        if (model) {
            engine.loaded_[*model] = true;
        }
    }
    if (!state.loading_.empty() && !state.models_.contains(state.loading_)) {
        (void)hold(state.loading_);
    }
    return engine;
}

void count_replicas(planner_index& index, indexed_engine const& engine)
{
    auto const& state = *engine.state_;
    std::set<std::string_view> there{state.loading_, state.reserved_for_};
    for (auto const& [name, model] : engine.held_) {
        if (!state.retiring_.contains(name)) {
            there.insert(name);
        }
    }
    for (auto const name : there) {
        if (auto const model = find_model(index, name)) {
            ++index.wanted_[*model].replicas_;
        }
    }
    for (std::size_t model = 0; model < index.wanted_.size(); ++model) {
        index.wanted_[model].copied_ |= engine.source_[model] != weights_source::store;
    }
}

/// Books where adapters that are asked for can be loaded now: at one free holder only.
void count_blocked(planner_input const& input, planner_index& index)
{
    for (auto const& [key, need] : input.needs_) {
        auto const model = key.service_ == input.service_ && !key.adapter_.empty()
                               ? find_model(index, key.model_)
                               : std::nullopt;
        if (!model) {
            continue;
        }
        auto const& holders = index.wanted_[*model].holders_;
        auto const is_free = [&](std::size_t engine) {
            auto const& state = *index.engines_[engine].state_;
            return !state.busy_ && !state.leaving_;
        };
        auto const free = std::count_if(holders.begin(), holders.end(), is_free);
        for (auto const engine : holders) {
            bool const elsewhere = free > (is_free(engine) ? 1 : 0);
            index.engines_[engine].adapters_blocked_ += elsewhere ? 0.0 : need.rate_;
        }
    }
}

/// What unloading a model of this engine takes away; none if it must stay.
std::optional<double> eviction_loss(planner_input const& input, planner_index const& index,
                                    indexed_engine const& engine, std::string_view name,
                                    std::optional<std::size_t> model)
{
    if (!model) {
        return 0.0; // the configuration no longer names it
    }
    auto const& wanted = index.wanted_[*model];
    auto const& loaded_at = engine.state_->loaded_at_;
    auto const loaded = loaded_at.find(name);
    if (loaded != loaded_at.end() && input.now_ - loaded->second < least_stay) {
        return std::nullopt;
    }
    if (wanted.replicas_ > std::max(wanted.needed_, 1)) {
        return 0.0;
    }
    if (wanted.waiting_ > 0 || (wanted.running_ > 0 && wanted.replicas_ <= 1)) {
        return std::nullopt;
    }
    return value_of(wanted);
}

} // namespace

double value_of(wanted_model const& wanted) noexcept
{
    return wanted.rate_ + waiting_rate * static_cast<double>(wanted.waiting_);
}

planner_index index_engines(planner_input const& input)
{
    planner_index index;
    index.wanted_.reserve(input.engine_.models_.size());
    for (auto const& model : input.engine_.models_) {
        index.models_.emplace(model.name_, index.wanted_.size());
        index.wanted_.push_back({.model_ = &model, .index_ = index.wanted_.size()});
    }
    add_needs(input, index);
    auto const kept_for_adapters = adapter_memory(input.engine_);
    int staying = 0;
    for (auto const& state : input.engines_) {
        index.engines_.push_back(index_engine(input, index, state, kept_for_adapters));
        auto const& engine = index.engines_.back();
        for (auto const& [name, model] : engine.held_) {
            if (model) {
                index.wanted_[*model].holders_.push_back(index.engines_.size() - 1);
            }
        }
        if (!state.leaving_) {
            ++staying;
            count_replicas(index, engine);
        }
    }
    for (auto& wanted : index.wanted_) {
        wanted.needed_ = needed_replicas(wanted, staying);
    }
    count_blocked(input, index);
    return index;
}

std::vector<eviction_candidate> const& candidates_of(planner_input const& input, planner_index& index,
                                                     indexed_engine& engine)
{
    if (!engine.candidates_) {
        auto& candidates = engine.candidates_.emplace();
        for (auto const& [name, model] : engine.held_) {
            if (auto const loss = eviction_loss(input, index, engine, name, model)) {
                candidates.push_back({*loss, name, model});
            }
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](eviction_candidate const& a, eviction_candidate const& b) {
                      return std::pair{a.loss_, a.name_} < std::pair{b.loss_, b.name_};
                  });
    }
    return *engine.candidates_;
}

void change_replicas(planner_index& index, std::size_t model, int by)
{
    auto& wanted = index.wanted_[model];
    wanted.replicas_ += by;
    for (auto const engine : wanted.holders_) {
        index.engines_[engine].candidates_.reset();
    }
}

} // namespace auburnchute
