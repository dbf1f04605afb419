#include <auburnchute/model_planner.hpp>

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Requests of a model that one replica runs without slowing each other much.
constexpr double requests_for_each_replica = 8.0;

/// Rate, in requests a second, from which a model gets a second replica, so that one failure does not stop
/// it.
constexpr double rate_for_second_replica = 0.8;

/// Rate from which a model that nobody waits for may take the place of another one.
constexpr double rate_to_evict = 0.3;

/// Cost of a load at an engine that has the only free places for adapters that are asked for, in ms for each
/// request a second: an engine takes no order for an adapter during a load.
constexpr double blocked_adapters_share = 1.0;

/// A model that waits for a request is wanted as much as one with this many requests a second.
constexpr double waiting_rate = 1.0;

/// Time that a model stays after a load, so that two models do not take turns on one engine.
constexpr millis least_stay{2'500};

/// Extra time of a load that needs an unload first, in ms.
constexpr double unload_ms = 300.0;

/// Cost of unloading a model that gets one request a second, in ms: its next requests wait for a load.
constexpr double eviction_ms_per_rate = 20'000.0;

/// Rate, in requests a second, above which a model keeps its place against one that nobody has asked for yet.
constexpr double rate_to_keep = 0.15;

/// How much less than the wanted model a model must be wanted to make room for it.
constexpr double eviction_margin = 0.7;

struct wanted_model {
    hosted_model const* model_{};
    double rate_{};
    std::int64_t waiting_{};
    std::int64_t running_{};
    millis oldest_wait_{};
    std::int64_t urgency_{9}; ///< Most urgent priority among the requests that wait; 0 first.
    int replicas_{};          ///< Loaded or being loaded, not retiring, on engines that stay.
    int needed_{};

    [[nodiscard]] double value() const noexcept
    {
        return rate_ + waiting_rate * static_cast<double>(waiting_);
    }
};

using wanted_map = std::map<std::string_view, wanted_model>;

int needed_replicas(wanted_model const& wanted, int engines)
{
    if (wanted.waiting_ == 0 && wanted.running_ == 0 && wanted.rate_ < least_need_rate) {
        return 0;
    }
    auto const by_load =
        static_cast<int>(std::ceil(static_cast<double>(wanted.running_) / requests_for_each_replica));
    auto const least = wanted.rate_ >= rate_for_second_replica ? 2 : 1;
    return std::min(std::max(by_load, least), engines);
}

wanted_map collect(planner_input const& input)
{
    wanted_map all;
    for (auto const& model : input.engine_.models_) {
        all[model.name_].model_ = &model;
    }
    for (auto const& [key, need] : input.needs_) {
        auto const found = all.find(key.model_);
        if (key.service_ != input.service_ || found == all.end()) {
            continue;
        }
        auto& wanted = found->second;
        wanted.rate_ += need.rate_;
        wanted.waiting_ += need.waiting_;
        wanted.running_ += need.running_;
        if (need.waiting_ > 0) {
            wanted.oldest_wait_ = std::max(wanted.oldest_wait_, need.oldest_wait_);
            wanted.urgency_ = std::min(wanted.urgency_, need.urgency_);
        }
    }
    int engines = 0;
    for (auto const& engine : input.engines_) {
        if (engine.leaving_) {
            continue;
        }
        ++engines;
        std::set<std::string_view> there{engine.loading_, engine.reserved_for_};
        for (auto const& [name, held] : engine.models_) {
            if (!engine.retiring_.contains(name)) {
                there.insert(name);
            }
        }
        for (auto const name : there) {
            if (auto const wanted = all.find(name); wanted != all.end()) {
                ++wanted->second.replicas_;
            }
        }
    }
    for (auto& [name, wanted] : all) {
        wanted.needed_ = needed_replicas(wanted, engines);
    }
    return all;
}

std::int64_t adapter_memory(engine_profile const& profile)
{
    std::int64_t largest = 0;
    for (auto const& model : profile.models_) {
        largest = std::max(largest, model.adapter_mb_);
    }
    return largest * profile.adapter_slots_;
}

/// Memory of a model; one that the configuration no longer names has an unknown size: nothing fits beside it.
std::int64_t memory_of(engine_profile const& profile, std::string_view name)
{
    auto const* const model = find_hosted_model(profile, name);
    return model != nullptr ? model->memory_mb_ : profile.memory_mb_;
}

/// Memory that a further model may take; places for all adapters are kept free.
std::int64_t free_memory(planner_input const& input, engine_state const& engine)
{
    auto left = input.engine_.memory_mb_ - adapter_memory(input.engine_);
    for (auto const& [name, held] : engine.models_) {
        left -= memory_of(input.engine_, name);
    }
    if (!engine.loading_.empty() && !engine.models_.contains(engine.loading_)) {
        left -= memory_of(input.engine_, engine.loading_);
    }
    return left;
}

/// Where the models of a service are, worked out once for a plan.
struct engine_index {
    std::map<std::string_view, std::vector<engine_state const*>> holders_; ///< By model.
    std::map<std::string_view, std::int64_t> free_mb_;                     ///< By engine.
    /// By engine: requests a second for adapters of models that it holds and no other free engine does.
    std::map<std::string_view, double> adapters_blocked_;
};

engine_index index_engines(planner_input const& input)
{
    engine_index index;
    for (auto const& engine : input.engines_) {
        index.free_mb_[engine.id_] = free_memory(input, engine);
        for (auto const& [name, held] : engine.models_) {
            index.holders_[name].push_back(&engine);
        }
    }
    for (auto const& [key, need] : input.needs_) {
        auto const holders = index.holders_.find(key.model_);
        if (key.service_ != input.service_ || key.adapter_.empty() || holders == index.holders_.end()) {
            continue;
        }
        auto const is_free = [](engine_state const* engine) { return !engine->busy_ && !engine->leaving_; };
        auto const free = std::count_if(holders->second.begin(), holders->second.end(), is_free);
        for (auto const* const engine : holders->second) {
            bool const elsewhere = free > (is_free(engine) ? 1 : 0);
            index.adapters_blocked_[engine->id_] += elsewhere ? 0.0 : need.rate_;
        }
    }
    return index;
}

double adapters_blocked(engine_index const& index, engine_state const& engine)
{
    auto const found = index.adapters_blocked_.find(engine.id_);
    return found == index.adapters_blocked_.end() ? 0.0 : found->second;
}

/// A way to get a model onto an engine.
struct option {
    engine_state const* engine_{};
    std::vector<std::string_view> victims_;
    weights_from from_{weights_from::store};
    double cost_ms_{};
};

/// What unloading a model of this engine takes away, in requests a second; none if it must stay.
std::optional<double> eviction_loss(planner_input const& input, wanted_map const& all,
                                    engine_state const& engine, std::string_view name)
{
    auto const found = all.find(name);
    if (found == all.end()) {
        return 0.0; // the configuration no longer names it
    }
    auto const& wanted = found->second;
    auto const loaded = engine.loaded_at_.find(name);
    if (loaded != engine.loaded_at_.end() && input.now_ - loaded->second < least_stay) {
        return std::nullopt;
    }
    if (wanted.replicas_ > std::max(wanted.needed_, 1)) {
        return 0.0;
    }
    if (wanted.waiting_ > 0 || (wanted.running_ > 0 && wanted.replicas_ <= 1)) {
        return std::nullopt;
    }
    return wanted.value();
}

/// Which models a load may unload.
enum class eviction : std::uint8_t {
    none,
    idle_copies, ///< Hardly asked for, and on the engine's disk, from where they are back soon.
    less_wanted, ///< Wanted less than the model that is loaded.
};

bool has_copy(engine_state const& engine, std::string_view model)
{
    return load_source_of(engine, model) != weights_from::store;
}

/// What unloading the model costs, in requests a second; none if it must stay.
std::optional<double> cost_of_victim(planner_input const& input, wanted_map const& all,
                                     engine_state const& engine, std::string_view name,
                                     wanted_model const& wanted, eviction may_evict)
{
    auto const loss = eviction_loss(input, all, engine, name);
    if (!loss) {
        return std::nullopt;
    }
    if (may_evict == eviction::less_wanted) {
        return *loss <= wanted.value() * eviction_margin ? loss : std::nullopt;
    }
    auto const victim = all.find(name);
    if (victim == all.end()) {
        return loss;
    }
    // Many replicas tell of a busy model also while no rates are known.
    bool const is_idle = victim->second.rate_ < rate_to_keep && victim->second.replicas_ <= 1;
    return is_idle && has_copy(engine, name) ? loss : std::nullopt;
}

std::optional<option> option_at(planner_input const& input, engine_index const& index, wanted_map const& all,
                                engine_state const& engine, wanted_model const& wanted, eviction may_evict)
{
    bool const reserved = !engine.reserved_for_.empty() && engine.reserved_for_ != wanted.model_->name_;
    if (engine.leaving_ || reserved || engine.models_.contains(wanted.model_->name_)) {
        return std::nullopt;
    }
    option way{&engine, {}, load_source_of(engine, wanted.model_->name_), 0};
    way.cost_ms_ = static_cast<double>(load_time(*wanted.model_, way.from_).count_);
    way.cost_ms_ += engine.busy_ ? static_cast<double>(engine.free_in_.count_) : 0.0;
    way.cost_ms_ += way.cost_ms_ * blocked_adapters_share * adapters_blocked(index, engine);
    auto left = index.free_mb_.at(engine.id_);
    if (left >= wanted.model_->memory_mb_) {
        return way;
    }
    if (may_evict == eviction::none) {
        return std::nullopt;
    }
    std::vector<std::pair<double, std::string_view>> candidates;
    for (auto const& [name, held] : engine.models_) {
        if (auto const loss = cost_of_victim(input, all, engine, name, wanted, may_evict)) {
            candidates.emplace_back(*loss, name);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    for (auto const& [loss, name] : candidates) {
        if (left >= wanted.model_->memory_mb_) {
            break;
        }
        left += memory_of(input.engine_, name);
        way.victims_.push_back(name);
        way.cost_ms_ += unload_ms + loss * eviction_ms_per_rate;
    }
    return left >= wanted.model_->memory_mb_ ? std::optional{way} : std::nullopt;
}

/// Plan being made: what earlier orders of the same plan took.
struct draft {
    std::vector<planned_order> orders_;
    std::set<std::string_view> taken_; ///< Engines that have a model order.
    store_allowance store_;
};

bool may_load(draft const& plan, weights_from from, int spare)
{
    return from != weights_from::store ||
           (plan.store_.starts_ > 0 && plan.store_.running_ + spare < plan.store_.most_at_once_);
}

void take_way(wanted_map& all, wanted_model const& wanted, option const& way, draft& plan,
              std::string_view reason)
{
    plan.taken_.insert(way.engine_->id_);
    auto const& model = wanted.model_->name_;
    if (!way.victims_.empty()) {
        // The load follows in a later plan, once the room is there.
        auto const victim = way.victims_.front();
        plan.orders_.push_back({.upstream_id_ = way.engine_->id_,
                                .step_ = placement_step::unload_model,
                                .model_ = std::string{victim},
                                .room_for_ = model,
                                .reason_ = "makes-room"});
        if (auto const found = all.find(victim); found != all.end()) {
            --found->second.replicas_;
        }
        return;
    }
    plan.orders_.push_back({.upstream_id_ = way.engine_->id_,
                            .step_ = placement_step::load_model,
                            .model_ = model,
                            .from_ = way.from_,
                            .reason_ = reason});
    if (way.from_ == weights_from::store) {
        --plan.store_.starts_;
        ++plan.store_.running_;
    }
}

/// A model that nobody asked for takes a place only from idle ones, also when its room has been made.
eviction eviction_for(wanted_model const& wanted)
{
    return wanted.needed_ > 0 ? eviction::less_wanted : eviction::idle_copies;
}

/// Goes on with loads for which room is being made.
void continue_reservations(planner_input const& input, engine_index const& index, wanted_map& all,
                           draft& plan)
{
    for (auto const& engine : input.engines_) {
        auto const found = all.find(engine.reserved_for_);
        if (engine.reserved_for_.empty() || found == all.end()) {
            continue;
        }
        auto const way = option_at(input, index, all, engine, found->second, eviction_for(found->second));
        if (way && !engine.busy_ && may_load(plan, way->from_, 0)) {
            take_way(all, found->second, *way, plan, "room-was-made");
        }
    }
}

/// Plans one more replica. \param spare Places at the store that stay free. \returns False if none is
/// possible.
bool add_replica(planner_input const& input, engine_index const& index, wanted_map& all, wanted_model& wanted,
                 draft& plan, eviction may_evict, int spare, std::string_view reason)
{
    std::optional<option> best;
    std::int64_t best_left = 0;
    for (auto const& engine : input.engines_) {
        if (plan.taken_.contains(engine.id_) || !engine.reserved_for_.empty()) {
            continue;
        }
        auto way = option_at(input, index, all, engine, wanted, may_evict);
        if (!way || !may_load(plan, way->from_, spare)) {
            continue;
        }
        // Of equal ways, the one that leaves the least memory unused.
        auto const left = index.free_mb_.at(engine.id_);
        if (!best || way->cost_ms_ < best->cost_ms_ ||
            (way->cost_ms_ == best->cost_ms_ && left < best_left)) {
            best = std::move(way);
            best_left = left;
        }
    }
    if (!best) {
        return false;
    }
    if (best->engine_->busy_) {
        return true; // waiting for it is faster than another engine
    }
    take_way(all, wanted, *best, plan, reason);
    ++wanted.replicas_;
    return true;
}

std::int64_t adapters_on(engine_state const& engine)
{
    auto count = engine.adapters_pending_;
    for (auto const& [name, held] : engine.models_) {
        count += static_cast<std::int64_t>(held.adapters_.size());
    }
    return count;
}

model_need need_for(planner_input const& input, std::string_view model, std::string_view adapter)
{
    auto const found =
        input.needs_.find({std::string{input.service_}, std::string{model}, std::string{adapter}});
    return found == input.needs_.end() ? model_need{} : found->second;
}

/// The adapter of the engine that is wanted least, if no request uses or awaits it.
std::optional<planned_order> least_wanted_adapter(planner_input const& input, engine_state const& engine,
                                                  double below)
{
    std::optional<planned_order> least;
    double least_value = below;
    for (auto const& [name, held] : engine.models_) {
        for (auto const& adapter : held.adapters_) {
            auto const need = need_for(input, name, adapter);
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

void plan_adapter(planner_input const& input, engine_index const& index, need_key const& key,
                  model_need const& need, draft& plan, std::set<std::string_view>& taken)
{
    auto const holders = index.holders_.find(key.model_);
    if (holders == index.holders_.end()) {
        return;
    }
    engine_state const* place = nullptr;
    engine_state const* crowded = nullptr;
    for (auto const* const holder : holders->second) {
        auto const& engine = *holder;
        if (engine.leaving_ || engine.retiring_.contains(key.model_)) {
            continue;
        }
        if (engine.models_.at(key.model_).adapters_.contains(key.adapter_)) {
            return;
        }
        if (taken.contains(engine.id_) || engine.busy_) {
            continue; // it takes no order now
        }
        bool const room = adapters_on(engine) < input.engine_.adapter_slots_;
        auto*& slot = room ? place : crowded;
        if (slot == nullptr ||
            std::pair{adapters_on(engine), engine.running_} < std::pair{adapters_on(*slot), slot->running_}) {
            slot = &engine;
        }
    }
    if (place != nullptr) {
        taken.insert(place->id_);
        plan.orders_.push_back({.upstream_id_ = place->id_,
                                .step_ = placement_step::load_adapter,
                                .model_ = key.model_,
                                .adapter_ = key.adapter_,
                                .reason_ = need.waiting_ > 0 ? "waited-for" : "asked-for"});
        return;
    }
    if (crowded != nullptr) {
        auto const value = need.rate_ + waiting_rate * static_cast<double>(need.waiting_);
        if (auto order = least_wanted_adapter(input, *crowded, value)) {
            taken.insert(crowded->id_);
            plan.orders_.push_back(std::move(*order));
        }
    }
}

void plan_adapters(planner_input const& input, engine_index const& index, draft& plan)
{
    std::vector<std::pair<need_key const*, model_need const*>> wanted;
    for (auto const& [key, need] : input.needs_) {
        bool const asked = need.waiting_ > 0 || need.rate_ >= least_need_rate;
        if (key.service_ == input.service_ && !key.adapter_.empty() && asked) {
            wanted.emplace_back(&key, &need);
        }
    }
    std::sort(wanted.begin(), wanted.end(), [](auto const& a, auto const& b) {
        return std::pair{a.second->waiting_, a.second->rate_} >
               std::pair{b.second->waiting_, b.second->rate_};
    });
    std::set<std::string_view> taken;
    for (auto const& [key, need] : wanted) {
        plan_adapter(input, index, *key, *need, plan, taken);
    }
}

} // namespace

millis load_time(hosted_model const& model, weights_from from) noexcept
{
    switch (from) {
    case weights_from::memory:
        return model.load_warm_;
    case weights_from::disk:
        return model.load_disk_;
    case weights_from::store:
        break;
    }
    return model.load_;
}

weights_from load_source_of(engine_state const& engine, std::string_view model) noexcept
{
    if (engine.weights_in_memory_.contains(model)) {
        return weights_from::memory;
    }
    return engine.weights_on_disk_.contains(model) ? weights_from::disk : weights_from::store;
}

std::vector<planned_order> plan_models(planner_input const& input)
{
    draft plan;
    plan.store_ = input.store_;
    auto const index = index_engines(input);
    plan_adapters(input, index, plan);
    auto all = collect(input);
    std::vector<wanted_model*> order;
    for (auto& [name, wanted] : all) {
        order.push_back(&wanted);
    }
    std::stable_sort(order.begin(), order.end(), [](wanted_model const* a, wanted_model const* b) {
        bool const a_waits = a->waiting_ > 0;
        bool const b_waits = b->waiting_ > 0;
        if (a_waits != b_waits) {
            return a_waits;
        }
        if (!a_waits) {
            return a->rate_ > b->rate_;
        }
        return std::pair{a->urgency_, b->oldest_wait_} < std::pair{b->urgency_, a->oldest_wait_};
    });
    continue_reservations(input, index, all, plan);
    for (auto* const wanted : order) {
        if (wanted->needed_ > 0 && wanted->replicas_ == 0) {
            auto const may_evict = wanted->waiting_ > 0 || wanted->rate_ >= rate_to_evict
                                       ? eviction::less_wanted
                                       : eviction::none;
            (void)add_replica(input, index, all, *wanted, plan, may_evict, 0,
                              wanted->waiting_ > 0 ? "waited-for" : "asked-for");
        }
    }
    for (auto* const wanted : order) {
        if (wanted->replicas_ > 0 && wanted->replicas_ < wanted->needed_) {
            (void)add_replica(input, index, all, *wanted, plan, eviction::less_wanted, 0, "busy");
        }
    }
    for (auto* const wanted : order) {
        // One place at the store stays free for a model that somebody asks for meanwhile.
        if (wanted->replicas_ > 0 ||
            add_replica(input, index, all, *wanted, plan, eviction::none, 1, "unloaded-nowhere")) {
            continue;
        }
        bool const copied =
            std::any_of(input.engines_.begin(), input.engines_.end(), [&](engine_state const& engine) {
                return !engine.leaving_ && has_copy(engine, wanted->model_->name_);
            });
        if (!copied) {
            (void)add_replica(input, index, all, *wanted, plan, eviction::idle_copies, 1, "copied-nowhere");
        }
    }
    return plan.orders_;
}

} // namespace auburnchute
