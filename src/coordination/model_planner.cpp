#include <auburnchute/model_planner.hpp>

#include "coordination/planner_index.hpp"

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

/// Rate, in requests a second, from which a model that nobody waits for may take the place of another one.
constexpr double rate_to_evict = 0.3;

/// Cost of a load at an engine that has the only free places for adapters that are asked for, in ms for each
/// request a second: an engine takes no order for an adapter during a load.
constexpr double blocked_adapters_share = 1.0;

/// Extra time of a load that needs an unload first, in ms.
constexpr double unload_ms = 300.0;

/// Cost of unloading a model that gets one request a second, in ms: its next requests wait for a load.
constexpr double eviction_ms_per_rate = 20'000.0;

/// Rate, in requests a second, above which a model keeps its place against one that nobody has asked for yet.
constexpr double rate_to_keep = 0.15;

/// How much less than the wanted model a model must be wanted to make room for it.
constexpr double eviction_margin = 0.7;

/// Which models a load may unload.
enum class eviction : std::uint8_t {
    none,
    idle_copies, ///< Hardly asked for, and on the engine's disk, from where they are back soon.
    less_wanted, ///< Wanted less than the model that is loaded.
};

/// A way to get a model onto an engine.
struct load_option {
    indexed_engine* engine_{};
    std::vector<eviction_candidate> victims_;
    weights_source from_{weights_source::store};
    double cost_ms_{};
};

/// Plan being made: what earlier orders of the same plan took.
struct draft {
    planner_input const& input_;
    planner_index index_;
    std::vector<planned_order> orders_{};
    store_allowance store_{};
};

bool may_load(draft const& plan, weights_source from, int spare)
{
    return from != weights_source::store ||
           (plan.store_.permitted_starts_ > 0 && plan.store_.running_ + spare < plan.store_.max_concurrent_);
}

bool may_unload(draft const& plan, indexed_engine const& engine, eviction_candidate const& victim,
                wanted_model const& wanted, eviction may_evict)
{
    if (may_evict == eviction::less_wanted) {
        return victim.loss_ <= value_of(wanted) * eviction_margin;
    }
    if (!victim.model_) {
        return true;
    }
    // Many replicas tell of a busy model also while no rates are known.
    auto const& other = plan.index_.wanted_[*victim.model_];
    bool const is_idle = other.rate_ < rate_to_keep && other.replicas_ <= 1;
    return is_idle && engine.source_[*victim.model_] != weights_source::store;
}

std::optional<load_option> option_at(draft& plan, indexed_engine& engine, wanted_model const& wanted,
                                     eviction may_evict)
{
    auto const& state = *engine.state_;
    bool const reserved = !state.reserved_for_.empty() && state.reserved_for_ != wanted.model_->name_;
    if (state.leaving_ || reserved || engine.loaded_[wanted.index_]) {
        return std::nullopt;
    }
    load_option way{&engine, {}, engine.source_[wanted.index_], 0};
    way.cost_ms_ = static_cast<double>(load_time(*wanted.model_, way.from_).count_);
    way.cost_ms_ += state.busy_ ? static_cast<double>(state.available_in_.count_) : 0.0;
    way.cost_ms_ += way.cost_ms_ * blocked_adapters_share * engine.adapters_blocked_;
    auto left = engine.free_mb_;
    if (left >= wanted.model_->memory_mb_) {
        return way;
    }
    if (may_evict == eviction::none) {
        return std::nullopt;
    }
    for (auto const& victim : candidates_of(plan.input_, plan.index_, engine)) {
        if (left >= wanted.model_->memory_mb_) {
            break;
        }
        if (may_unload(plan, engine, victim, wanted, may_evict)) {
            left += victim.model_ ? plan.index_.wanted_[*victim.model_].model_->memory_mb_
                                  : plan.input_.engine_.memory_mb_;
            way.victims_.push_back(victim);
            way.cost_ms_ += unload_ms + victim.loss_ * eviction_ms_per_rate;
        }
    }
    return left >= wanted.model_->memory_mb_ ? std::optional{std::move(way)} : std::nullopt;
}

void take_way(draft& plan, wanted_model const& wanted, load_option const& way, std::string_view reason)
{
    way.engine_->taken_ = true;
    auto const& id = way.engine_->state_->id_;
    auto const& model = wanted.model_->name_;
    if (!way.victims_.empty()) {
        // The load follows in a later plan, once the room is there.
        auto const& victim = way.victims_.front();
        plan.orders_.push_back({.upstream_id_ = id,
                                .step_ = placement_step::unload_model,
                                .model_ = std::string{victim.name_},
                                .room_for_ = model,
                                .reason_ = "makes-room"});
        if (victim.model_) {
            change_replicas(plan.index_, *victim.model_, -1);
        }
        return;
    }
    plan.orders_.push_back({.upstream_id_ = id,
                            .step_ = placement_step::load_model,
                            .model_ = model,
                            .from_ = way.from_,
                            .reason_ = reason});
    if (way.from_ == weights_source::store) {
        --plan.store_.permitted_starts_;
        ++plan.store_.running_;
    }
}

/// A model that nobody asked for takes a place only from idle ones, also when its room has been made.
eviction eviction_for(wanted_model const& wanted)
{
    return wanted.needed_ > 0 ? eviction::less_wanted : eviction::idle_copies;
}

/// Goes on with loads for which room is being made.
void continue_reservations(draft& plan)
{
    for (auto& engine : plan.index_.engines_) {
        auto const found = plan.index_.models_.find(engine.state_->reserved_for_);
        if (engine.state_->reserved_for_.empty() || found == plan.index_.models_.end()) {
            continue;
        }
        auto const& wanted = plan.index_.wanted_[found->second];
        auto const way = option_at(plan, engine, wanted, eviction_for(wanted));
        if (way && !engine.state_->busy_ && may_load(plan, way->from_, 0)) {
            take_way(plan, wanted, *way, "room-was-made");
        }
    }
}

/// Plans one more replica. \param spare Places at the store that stay free. \returns False if none is
/// possible.
bool add_replica(draft& plan, wanted_model const& wanted, eviction may_evict, int spare,
                 std::string_view reason)
{
    std::optional<load_option> best;
    for (auto& engine : plan.index_.engines_) {
        bool const open = !engine.taken_ && engine.state_->reserved_for_.empty() &&
                          may_load(plan, engine.source_[wanted.index_], spare);
        if (!open) {
            continue;
        }
        auto way = option_at(plan, engine, wanted, may_evict);
        // Of equal ways, the one that leaves the least memory unused.
        bool const better =
            way && (!best || way->cost_ms_ < best->cost_ms_ ||
                    (way->cost_ms_ == best->cost_ms_ && engine.free_mb_ < best->engine_->free_mb_));
        if (better) {
            best = std::move(way);
        }
    }
    if (!best) {
        return false;
    }
    if (best->engine_->state_->busy_) {
        return true; // waiting for it is faster than another engine
    }
    take_way(plan, wanted, *best, reason);
    change_replicas(plan.index_, wanted.index_, 1);
    return true;
}

/// Models by how soon they must be thought of: those that somebody waits for first, the most urgent and then
/// the longest waits first, then the busiest.
std::vector<std::size_t> by_urgency(planner_index const& index)
{
    // Equal ones in the order of their names, which does not change from plan to plan.
    std::vector<std::size_t> order(index.wanted_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        auto const& a = index.wanted_[left];
        auto const& b = index.wanted_[right];
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
        return model.load_warm_;
    case weights_source::disk:
        return model.load_disk_;
    case weights_source::store:
        break;
    }
    return model.load_;
}

std::vector<planned_order> plan_models(planner_input const& input)
{
    draft plan{input, index_engines(input)};
    plan.store_ = input.store_;
    plan_adapters(input, plan.index_, plan.orders_);
    auto const order = by_urgency(plan.index_);
    auto const& wanted = plan.index_.wanted_;
    continue_reservations(plan);
    for (auto const model : order) {
        if (wanted[model].needed_ > 0 && wanted[model].replicas_ == 0) {
            bool const waits = wanted[model].waiting_ > 0;
            auto const may_evict =
                waits || wanted[model].rate_ >= rate_to_evict ? eviction::less_wanted : eviction::none;
            (void)add_replica(plan, wanted[model], may_evict, 0, waits ? "waited-for" : "asked-for");
        }
    }
    for (auto const model : order) {
        if (wanted[model].replicas_ > 0 && wanted[model].replicas_ < wanted[model].needed_) {
            (void)add_replica(plan, wanted[model], eviction::less_wanted, 0, "busy");
        }
    }
    for (auto const model : order) {
        // One place at the store stays free for a model that somebody asks for meanwhile.
        if (wanted[model].replicas_ > 0 ||
            add_replica(plan, wanted[model], eviction::none, 1, "unloaded-nowhere")) {
            continue;
        }
        if (!wanted[model].copied_) {
            (void)add_replica(plan, wanted[model], eviction::idle_copies, 1, "copied-nowhere");
        }
    }
    return plan.orders_;
}

} // namespace auburnchute
