#include <auburnchute/placement.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

namespace auburnchute {

namespace {

/// Earlier than any time of use; half of the range, so that differences do not overflow.
constexpr millis distant_past{std::numeric_limits<std::int64_t>::min() / 2};

/// Priority class of loads that no request waits for, which only restore `min_replicas`. Lower than every
/// class of requests.
constexpr int background_priority_class = 4;

/// A replica of the pool, in the state that follows if the actions planned so far are accepted.
struct projected_replica {
    std::string const* id_{}; ///< Null for a load planned or memory reserved in this run.
    replica_entry const* entry_{};
    replica_status status_{};
};

/// An upstream, in the state that follows if the actions planned so far are accepted.
struct projected_upstream {
    std::string const* name_{};
    upstream_entry const* entry_{};
    std::int64_t free_mb_{};      ///< Memory of the VM that is not reserved.
    std::int64_t pool_free_mb_{}; ///< Memory left within the limit of the pool's row.
    std::int64_t releasing_mb_{}; ///< Reserved by unloads in progress whose release is expected.
    std::int64_t pool_releasing_mb_{};
    bool allowed_{};  ///< May get loads: in the pool's row and a permitted zone, neither drained nor leaving.
    int zone_rank_{}; ///< 0 in the pool's availability zones, else 1.
    cached_weights const* cache_{};
    std::vector<projected_replica> replicas_;
};

struct replica_counts {
    std::int64_t count_{};       ///< Replicas in the fleet state or planned, whatever their status.
    std::int64_t provisioned_{}; ///< Loaded or loading on allowed upstreams.
    std::int64_t loaded_{};      ///< Loaded on allowed upstreams.
};

/// Loads of a base model or an adapter that its demand or `min_replicas` requires.
struct wanted_load {
    model_row const* model_{};
    adapter_row const* adapter_{}; ///< Null for the base model.
    int priority_class_{background_priority_class};
    millis oldest_wait_{};
    std::int64_t replicas_to_load_{1};
    std::int64_t waiting_adapter_mb_{}; ///< Memory of the largest adapter that waits for this base model.

    [[nodiscard]] std::string_view adapter_name() const noexcept
    {
        return adapter_ == nullptr ? std::string_view{} : std::string_view{adapter_->name_};
    }
    [[nodiscard]] std::int64_t memory_mb() const noexcept
    {
        return adapter_ == nullptr ? model_->memory_mb_ : adapter_->memory_mb_;
    }
};

/// A unit of eviction on one upstream: an adapter, or a base model with its adapters.
struct eviction_candidate {
    std::vector<projected_replica*> replicas_;
    millis last_used_{};
    std::int64_t memory_mb_{};
};

class planner {
public:
    planner(placement_input const& input, pool_row const& pool, std::uint64_t& next_replica)
        : input_{input}, pool_{pool}, next_replica_{next_replica}
    {
    }

    std::vector<placement_action> run()
    {
        auto const self = input_.state_.members_.find(input_.self_);
        if (pool_.kind_ != pool_kind::model || self == input_.state_.members_.end() ||
            self->second.status_ == member_status::gone) {
            return {};
        }
        build_projection();
        plan_required_unloads();
        plan_loads();
        plan_idle_unloads();
        return std::move(actions_);
    }

private:
    using key = std::pair<std::string_view, std::string_view>;

    placement_input const& input_;
    pool_row const& pool_;
    std::uint64_t& next_replica_;
    std::vector<placement_action> actions_;
    std::vector<projected_upstream> upstreams_; ///< Sorted by name.
    std::map<key, replica_counts> models_;
    std::deque<replica_entry> planned_; ///< Entries of planned loads and reservations, at stable addresses.
    std::int64_t checkpoint_transfers_{};
    std::int64_t adapter_transfers_{};

    void build_projection()
    {
        upstreams_.reserve(input_.state_.upstreams_.size());
        for (auto const& [name, entry] : input_.state_.upstreams_) {
            projected_upstream projected;
            projected.name_ = &name;
            projected.entry_ = &entry;
            projected.free_mb_ = entry.memory_mb_;
            projected.pool_free_mb_ =
                pool_.memory_mb_ > 0 ? pool_.memory_mb_ : std::numeric_limits<std::int64_t>::max() / 4;
            projected.zone_rank_ = zone_rank(entry.availability_zone_);
            projected.allowed_ =
                matches_upstream(pool_.upstreams_, name) && !input_.state_.drained_.contains(name) &&
                std::find(input_.leaving_.begin(), input_.leaving_.end(), name) == input_.leaving_.end() &&
                (projected.zone_rank_ == 0 || pool_.locality_ == locality::prefer);
            auto const cache = input_.caches_.find(name);
            projected.cache_ = cache == input_.caches_.end() ? nullptr : &cache->second;
            upstreams_.push_back(std::move(projected));
        }
        checkpoint_transfers_ = transfers_in_flight(input_.state_, false);
        adapter_transfers_ = transfers_in_flight(input_.state_, true);
        for (auto const& [id, entry] : input_.state_.replicas_) {
            project_replica(id, entry);
        }
    }

    void project_replica(std::string const& id, replica_entry const& entry)
    {
        bool const own = entry.pool_ == pool_.name_;
        auto* const upstream = find_upstream(entry.upstream_);
        if (own) {
            auto& model = models_[{entry.model_, entry.adapter_}];
            ++model.count_;
            if (upstream != nullptr && upstream->allowed_) {
                bool const loaded = entry.status_ == replica_status::loaded;
                model.loaded_ += loaded ? 1 : 0;
                model.provisioned_ += loaded || entry.status_ == replica_status::loading ? 1 : 0;
            }
        }
        if (upstream == nullptr) {
            if (own) {
                unload_from_lost_upstream(id, entry);
            }
            return;
        }
        upstream->free_mb_ -= entry.memory_mb_;
        upstream->pool_free_mb_ -= own ? entry.memory_mb_ : 0;
        if (entry.status_ == replica_status::unloading && release_expected(entry)) {
            upstream->releasing_mb_ += entry.memory_mb_;
            upstream->pool_releasing_mb_ += own ? entry.memory_mb_ : 0;
        }
        if (own) {
            upstream->replicas_.push_back({&id, &entry, entry.status_});
        }
    }

    /// Plans the unload of a replica whose upstream left the fleet. The fleet state keeps such a replica
    /// while its load order may still arrive.
    void unload_from_lost_upstream(std::string const& id, replica_entry const& entry)
    {
        bool const orphaned =
            entry.status_ == replica_status::unloading && is_gone(input_.state_, entry.unload_executor_);
        if (entry.status_ == replica_status::failed || orphaned) {
            actions_.emplace_back(unload_decided{id, input_.self_});
        }
    }

    [[nodiscard]] int zone_rank(std::string const& zone) const
    {
        auto const& zones = pool_.availability_zones_;
        return zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end() ? 0 : 1;
    }

    [[nodiscard]] projected_upstream* find_upstream(std::string_view name)
    {
        auto const it =
            std::lower_bound(upstreams_.begin(), upstreams_.end(), name,
                             [](projected_upstream const& u, std::string_view n) { return *u.name_ < n; });
        return it != upstreams_.end() && *it->name_ == name ? &*it : nullptr;
    }

    /// \returns False if the fleet state refuses to release the replica's memory: its load order is
    /// unfinished and may still arrive, since the executor was removed by votes and the upstream does not
    /// honour fencing.
    [[nodiscard]] bool release_expected(replica_entry const& entry) const
    {
        auto const upstream = input_.state_.upstreams_.find(entry.upstream_);
        if (entry.load_order_ended_ ||
            (upstream != input_.state_.upstreams_.end() && upstream->second.honours_fencing_)) {
            return true;
        }
        auto const it = input_.state_.members_.find(entry.executor_);
        return it == input_.state_.members_.end() || it->second.status_ != member_status::gone ||
               !it->second.by_suspicion_;
    }

    [[nodiscard]] model_demand const* demand_of(std::string const& model, std::string const& adapter) const
    {
        auto const it = input_.demand_.find({pool_.name_, model, adapter});
        return it == input_.demand_.end() ? nullptr : &it->second;
    }

    [[nodiscard]] std::int64_t running_on(projected_replica const& replica) const
    {
        if (replica.id_ == nullptr) {
            return 0;
        }
        auto const it = input_.replica_load_.find(*replica.id_);
        return it == input_.replica_load_.end() ? 0 : it->second;
    }

    static millis time_of(std::map<std::string, millis> const& times, projected_replica const& replica,
                          millis missing)
    {
        auto const it = replica.id_ == nullptr ? times.end() : times.find(*replica.id_);
        return it == times.end() ? missing : it->second;
    }

    /// A replica without a known load time counts as just loaded.
    [[nodiscard]] millis loaded_at(projected_replica const& replica) const
    {
        return time_of(input_.loaded_at_, replica, input_.now_);
    }

    [[nodiscard]] millis last_used(projected_replica const& replica) const
    {
        return std::max(loaded_at(replica), time_of(input_.last_used_, replica, loaded_at(replica)));
    }

    [[nodiscard]] bool resident_long_enough(projected_replica const& replica) const
    {
        return input_.now_ - loaded_at(replica) >= pool_.min_residence_;
    }

    static bool is_replica_of(projected_replica const& replica, std::string_view model,
                              std::string_view adapter)
    {
        return replica.entry_->model_ == model && replica.entry_->adapter_ == adapter;
    }

    static projected_replica* find_replica(projected_upstream& upstream, std::string_view model,
                                           std::string_view adapter)
    {
        auto const it =
            std::find_if(upstream.replicas_.begin(), upstream.replicas_.end(),
                         [&](projected_replica const& h) { return is_replica_of(h, model, adapter); });
        return it == upstream.replicas_.end() ? nullptr : &*it;
    }

    [[nodiscard]] bool unload_is_orphaned(projected_replica const& replica) const
    {
        return replica.id_ != nullptr && replica.status_ == replica_status::unloading &&
               replica.entry_->status_ == replica_status::unloading &&
               is_gone(input_.state_, replica.entry_->unload_executor_);
    }

    /// Plans the unload of a replica. For a base model with adapters it plans only that of the adapters: the
    /// fleet state rejects the unload of the base until they are released.
    void unload(projected_upstream& upstream, projected_replica& replica)
    {
        if (!replica.entry_->adapter_.empty()) {
            unload_one(upstream, replica);
            return;
        }
        bool adapters = false;
        for (auto& other : upstream.replicas_) {
            if (other.entry_->model_ == replica.entry_->model_ && !other.entry_->adapter_.empty()) {
                adapters = true;
                unload_one(upstream, other);
            }
        }
        if (!adapters) {
            unload_one(upstream, replica);
        }
    }

    void unload_one(projected_upstream& upstream, projected_replica& replica)
    {
        bool const possible =
            replica.status_ == replica_status::loaded || replica.status_ == replica_status::failed;
        if (replica.id_ == nullptr || !possible) {
            return;
        }
        if (replica.status_ == replica_status::loaded && upstream.allowed_) {
            auto& model = models_[{replica.entry_->model_, replica.entry_->adapter_}];
            --model.loaded_;
            --model.provisioned_;
        }
        replica.status_ = replica_status::unloading;
        if (release_expected(*replica.entry_)) {
            upstream.releasing_mb_ += replica.entry_->memory_mb_;
            upstream.pool_releasing_mb_ += replica.entry_->memory_mb_;
        }
        actions_.emplace_back(unload_decided{*replica.id_, input_.self_});
    }

    [[nodiscard]] bool in_tables(replica_entry const& entry) const
    {
        auto const* const model = find_model(pool_, entry.model_);
        return model != nullptr &&
               (entry.adapter_.empty() || find_adapter(*model, entry.adapter_) != nullptr);
    }

    /// Plans the unloads that do not depend on demand: failed loads, unloads whose executor is gone, models
    /// removed from the tables, idle replicas on upstreams that are not allowed, and replicas above
    /// `max_replicas`.
    void plan_required_unloads()
    {
        for (auto& upstream : upstreams_) {
            for (auto& replica : upstream.replicas_) {
                if (replica.id_ != nullptr && replica.status_ == replica_status::loading &&
                    is_gone(input_.state_, replica.entry_->executor_)) {
                    // The load order may still arrive: as a failed load it keeps its memory until it is
                    // unloaded.
                    actions_.emplace_back(load_failed{*replica.id_, false});
                    replica.status_ = replica_status::failed;
                    models_[{replica.entry_->model_, replica.entry_->adapter_}].provisioned_ -=
                        upstream.allowed_ ? 1 : 0;
                }
                if (unload_is_orphaned(replica)) {
                    actions_.emplace_back(unload_decided{*replica.id_, input_.self_});
                }
                bool const idle_where_not_allowed = !upstream.allowed_ &&
                                                    replica.status_ == replica_status::loaded &&
                                                    running_in_group(upstream, replica) == 0;
                if (replica.status_ == replica_status::failed || idle_where_not_allowed ||
                    !in_tables(*replica.entry_)) {
                    unload(upstream, replica);
                }
            }
        }
        for (auto const& model : pool_.models_) {
            unload_surplus(model, "");
            for (auto const& adapter : model.adapters_) {
                unload_surplus(model, adapter.name_);
            }
        }
    }

    /// \returns Requests that run on the replica and, for a base model, on its adapters there.
    [[nodiscard]] std::int64_t running_in_group(projected_upstream const& upstream,
                                                projected_replica const& replica) const
    {
        auto sum = running_on(replica);
        if (replica.entry_->adapter_.empty()) {
            for (auto const& other : upstream.replicas_) {
                bool const adapter =
                    other.entry_->model_ == replica.entry_->model_ && !other.entry_->adapter_.empty();
                sum += adapter ? running_on(other) : 0;
            }
        }
        return sum;
    }

    void unload_surplus(model_row const& model, std::string_view adapter)
    {
        auto const it = models_.find({model.name_, adapter});
        if (it == models_.end() || it->second.count_ <= model.max_replicas_) {
            return;
        }
        std::vector<std::pair<projected_upstream*, projected_replica*>> loaded;
        std::int64_t remaining = 0;
        for (auto& upstream : upstreams_) {
            for (auto& replica : upstream.replicas_) {
                if (is_replica_of(replica, model.name_, adapter)) {
                    remaining += replica.status_ == replica_status::unloading ? 0 : 1;
                    if (replica.status_ == replica_status::loaded) {
                        loaded.emplace_back(&upstream, &replica);
                    }
                }
            }
        }
        auto const surplus = remaining - model.max_replicas_;
        if (surplus <= 0) {
            return;
        }
        std::sort(loaded.begin(), loaded.end(), [this](auto const& a, auto const& b) {
            auto const rank = [this](auto const& item) {
                return std::tuple{item.first->allowed_, running_in_group(*item.first, *item.second),
                                  last_used(*item.second), *item.second->id_};
            };
            return rank(a) < rank(b);
        });
        auto const number = std::min<std::size_t>(loaded.size(), static_cast<std::size_t>(surplus));
        for (std::size_t i = 0; i < number; ++i) {
            unload(*loaded[i].first, *loaded[i].second);
        }
    }

    /// Demand for a base model and all its adapters together.
    struct group_demand {
        std::int64_t base_waiting_{};
        std::int64_t waiting_{};
        std::int64_t running_{};
        millis oldest_wait_{};
        int priority_class_{background_priority_class};
        int unaged_priority_class_{
            static_cast<int>(priority::low)}; ///< Highest class without aging; set also if no request waits.
        double bursts_per_ms_{};              ///< Sum of the rates of the base model and its adapters.
        std::int64_t largest_waiting_adapter_{};
    };

    [[nodiscard]] int aged_class(model_demand const& demand) const
    {
        auto const raised =
            pool_.aging_.count_ > 0 ? demand.oldest_wait_.count_ / pool_.aging_.count_ : std::int64_t{0};
        return static_cast<int>(std::max<std::int64_t>(0, static_cast<int>(demand.highest_) - raised));
    }

    void add_demand(group_demand& group, model_demand const& demand) const
    {
        group.waiting_ += demand.waiting_;
        group.running_ += demand.running_;
        group.unaged_priority_class_ =
            std::min(group.unaged_priority_class_, static_cast<int>(demand.highest_));
        if (demand.mean_interval_ > millis{}) {
            group.bursts_per_ms_ += 1.0 / static_cast<double>(demand.mean_interval_.count_);
        }
        if (demand.waiting_ > 0) {
            group.oldest_wait_ = std::max(group.oldest_wait_, demand.oldest_wait_);
            group.priority_class_ = std::min(group.priority_class_, aged_class(demand));
        }
    }

    [[nodiscard]] group_demand group_demand_of(model_row const& model) const
    {
        group_demand group;
        if (auto const* const base = demand_of(model.name_, ""); base != nullptr) {
            group.base_waiting_ = base->waiting_;
            add_demand(group, *base);
        }
        // The demands of a model are adjacent in the map; a lookup for each adapter row would be slower.
        for (auto it = input_.demand_.lower_bound({pool_.name_, model.name_, ""});
             it != input_.demand_.end() && it->first.pool_ == pool_.name_ && it->first.model_ == model.name_;
             ++it) {
            auto const* const adapter =
                it->first.adapter_.empty() ? nullptr : find_adapter(model, it->first.adapter_);
            if (adapter != nullptr) {
                add_demand(group, it->second);
                if (it->second.waiting_ > 0) {
                    group.largest_waiting_adapter_ =
                        std::max(group.largest_waiting_adapter_, adapter->memory_mb_);
                }
            }
        }
        return group;
    }

    static std::int64_t replicas_for(std::int64_t requests, std::int64_t slots)
    {
        auto const per_replica = std::max<std::int64_t>(slots, 1);
        return (requests + per_replica - 1) / per_replica;
    }

    std::map<std::string_view, group_demand> group_demands_;
    std::map<std::string_view, std::size_t> first_wanted_load_; ///< Index of a model's most urgent load.
    std::vector<wanted_load> wanted_loads_;
    std::size_t current_wanted_load_{};

    void collect_wanted_loads()
    {
        for (auto const& model : pool_.models_) {
            auto const& group = group_demands_[model.name_] = group_demand_of(model);
            auto const& counts = models_[{model.name_, ""}];
            auto const headroom = model.max_replicas_ - counts.count_;
            auto const demanded =
                group.waiting_ > 0
                    ? replicas_for(group.waiting_ + group.running_, model.slots_) - counts.provisioned_
                    : 0;
            if (demanded > 0 && headroom > 0) {
                wanted_loads_.push_back({&model, nullptr, group.priority_class_, group.oldest_wait_,
                                         std::min(demanded, headroom), group.largest_waiting_adapter_});
            } else if (counts.provisioned_ < model.min_replicas_ && headroom > 0) {
                wanted_loads_.push_back({&model,
                                         nullptr,
                                         background_priority_class,
                                         {},
                                         std::min(model.min_replicas_ - counts.provisioned_, headroom),
                                         0});
            }
            if (counts.loaded_ > 0 && group.largest_waiting_adapter_ > 0) {
                collect_adapter_loads(model);
            }
        }
        std::sort(wanted_loads_.begin(), wanted_loads_.end(), [](wanted_load const& a, wanted_load const& b) {
            auto const rank = [](wanted_load const& w) {
                return std::tuple{w.priority_class_, millis{} - w.oldest_wait_,
                                  std::string_view{w.model_->name_}, w.adapter_name()};
            };
            return rank(a) < rank(b);
        });
        for (std::size_t i = 0; i < wanted_loads_.size(); ++i) {
            first_wanted_load_.emplace(wanted_loads_[i].model_->name_, i);
        }
    }

    void collect_adapter_loads(model_row const& model)
    {
        for (auto it = input_.demand_.lower_bound({pool_.name_, model.name_, ""});
             it != input_.demand_.end() && it->first.pool_ == pool_.name_ && it->first.model_ == model.name_;
             ++it) {
            auto const& demand = it->second;
            auto const* const adapter = it->first.adapter_.empty() || demand.waiting_ == 0
                                            ? nullptr
                                            : find_adapter(model, it->first.adapter_);
            if (adapter == nullptr) {
                continue;
            }
            auto const& counts = models_[{model.name_, adapter->name_}];
            auto const number =
                std::min(replicas_for(demand.waiting_ + demand.running_, model.slots_) - counts.provisioned_,
                         model.max_replicas_ - counts.count_);
            if (number > 0) {
                wanted_loads_.push_back(
                    {&model, adapter, aged_class(demand), demand.oldest_wait_, number, 0});
            }
        }
    }

    void plan_loads()
    {
        collect_wanted_loads();
        for (current_wanted_load_ = 0; current_wanted_load_ < wanted_loads_.size(); ++current_wanted_load_) {
            auto const& wanted = wanted_loads_[current_wanted_load_];
            for (std::int64_t i = 0; i < wanted.replicas_to_load_; ++i) {
                if (!plan_load(wanted) && !reserve_by_eviction(wanted)) {
                    if (wanted.adapter_ != nullptr && i == 0) {
                        relocate_base_for_adapter(wanted);
                    }
                    break;
                }
            }
        }
    }

    [[nodiscard]] static load_source source_on(projected_upstream const& upstream, wanted_load const& wanted)
    {
        if (upstream.cache_ == nullptr || upstream.cache_->by_model_.empty()) {
            return load_source::store;
        }
        std::string name = wanted.model_->name_;
        if (wanted.adapter_ != nullptr) {
            name.append(":").append(wanted.adapter_->name_);
        }
        auto const it = upstream.cache_->by_model_.find(name);
        return it == upstream.cache_->by_model_.end() ? load_source::store : it->second;
    }

    [[nodiscard]] bool store_transfer_available(wanted_load const& wanted) const
    {
        auto const& store = input_.state_.tables_->store_;
        return wanted.adapter_ == nullptr ? checkpoint_transfers_ < store.checkpoint_transfers_
                                          : adapter_transfers_ < store.adapter_transfers_;
    }

    void reserve_transfer(wanted_load const& wanted, load_source source)
    {
        if (source == load_source::store) {
            ++(wanted.adapter_ == nullptr ? checkpoint_transfers_ : adapter_transfers_);
        }
    }

    /// \returns True if the upstream may get the wanted load, apart from its free memory and the store's
    /// limits.
    [[nodiscard]] bool eligible(projected_upstream& upstream, wanted_load const& wanted) const
    {
        if (!upstream.allowed_ || upstream.entry_->memory_mb_ < wanted.memory_mb() ||
            find_replica(upstream, wanted.model_->name_, wanted.adapter_name()) != nullptr) {
            return false;
        }
        if (wanted.adapter_ == nullptr) {
            return true;
        }
        auto const* const base = find_replica(upstream, wanted.model_->name_, "");
        return base != nullptr && base->status_ == replica_status::loaded;
    }

    [[nodiscard]] bool failed_recently(projected_upstream const& upstream, wanted_load const& wanted) const
    {
        return std::any_of(input_.failed_.begin(), input_.failed_.end(), [&](failed_load const& failed) {
            return failed.upstream_ == *upstream.name_ && failed.model_ == wanted.model_->name_ &&
                   failed.adapter_ == wanted.adapter_name() &&
                   input_.now_ - failed.at_ < failed_load_retention;
        });
    }

    [[nodiscard]] bool fits_with_waiting_adapter(projected_upstream const& upstream,
                                                 wanted_load const& wanted) const
    {
        auto const sum = wanted.memory_mb() + wanted.waiting_adapter_mb_;
        return sum <= upstream.entry_->memory_mb_ && (pool_.memory_mb_ == 0 || sum <= pool_.memory_mb_);
    }

    /// Plans a load on the best upstream with enough free memory; memory reserved for more urgent loads does
    /// not count as free. \returns False if there is none.
    bool plan_load(wanted_load const& wanted)
    {
        auto const rank = [&](projected_upstream& upstream, load_source source) {
            return std::tuple{failed_recently(upstream, wanted), !fits_with_waiting_adapter(upstream, wanted),
                              source, upstream.zone_rank_, -upstream.free_mb_};
        };
        using rank_type = decltype(rank(upstreams_.front(), load_source::store));
        projected_upstream* best = nullptr;
        std::optional<rank_type> best_rank;
        for (auto& upstream : upstreams_) {
            if (upstream.free_mb_ < wanted.memory_mb() || upstream.pool_free_mb_ < wanted.memory_mb() ||
                !eligible(upstream, wanted)) {
                continue;
            }
            auto const source = source_on(upstream, wanted);
            if (source == load_source::store && !store_transfer_available(wanted)) {
                continue;
            }
            if (auto const candidate = rank(upstream, source); !best_rank || candidate < *best_rank) {
                best = &upstream;
                best_rank = candidate;
            }
        }
        if (best == nullptr) {
            return false;
        }
        decide_load(*best, wanted, source_on(*best, wanted));
        return true;
    }

    void decide_load(projected_upstream& upstream, wanted_load const& wanted, load_source source)
    {
        auto& model = models_[{wanted.model_->name_, wanted.adapter_name()}];
        load_decided load;
        load.replica_ = to_string(input_.self_) + "-r" + std::to_string(next_replica_++);
        load.pool_ = pool_.name_;
        load.model_ = wanted.model_->name_;
        load.adapter_ = wanted.adapter_name();
        load.upstream_ = *upstream.name_;
        load.memory_mb_ = wanted.memory_mb();
        load.source_ = source;
        load.executor_ = input_.self_;
        load.expected_count_ = model.count_;
        reserve_transfer(wanted, source);
        ++model.count_;
        ++model.provisioned_;
        upstream.free_mb_ -= load.memory_mb_;
        upstream.pool_free_mb_ -= load.memory_mb_;
        auto& entry = planned_.emplace_back();
        entry.pool_ = load.pool_;
        entry.model_ = load.model_;
        entry.adapter_ = load.adapter_;
        entry.memory_mb_ = load.memory_mb_;
        upstream.replicas_.push_back({nullptr, &entry, replica_status::loading});
        actions_.emplace_back(std::move(load));
    }

    /// Reserves memory for a load that has to wait for unloads, and plans evictions if the unloads in
    /// progress do not free enough. \returns False if no upstream can provide the memory.
    bool reserve_by_eviction(wanted_load const& wanted)
    {
        projected_upstream* best = nullptr;
        std::vector<eviction_candidate> best_evictions;
        load_source best_source{};
        std::optional<std::tuple<bool, bool, load_source, bool, int, millis>> best_rank;
        for (auto& upstream : upstreams_) {
            if (!eligible(upstream, wanted)) {
                continue;
            }
            auto const source = source_on(upstream, wanted);
            if (source == load_source::store && !store_transfer_available(wanted)) {
                continue;
            }
            auto evictions = choose_evictions(upstream, wanted);
            if (!evictions) {
                continue;
            }
            auto latest_use = distant_past;
            for (auto const& v : *evictions) {
                latest_use = std::max(latest_use, v.last_used_);
            }
            std::tuple const rank{failed_recently(upstream, wanted),
                                  !fits_with_waiting_adapter(upstream, wanted),
                                  source,
                                  !evictions->empty(),
                                  upstream.zone_rank_,
                                  latest_use};
            if (!best_rank || rank < *best_rank) {
                best_rank = rank;
                best = &upstream;
                best_evictions = std::move(*evictions);
                best_source = source;
            }
        }
        if (best == nullptr) {
            return false;
        }
        for (auto const& v : best_evictions) {
            for (auto* const replica : v.replicas_) {
                unload(*best, *replica);
            }
        }
        reserve_transfer(wanted, best_source);
        // The reservation keeps less urgent loads of this run from using the memory that is released.
        best->free_mb_ -= wanted.memory_mb();
        best->pool_free_mb_ -= wanted.memory_mb();
        auto& entry = planned_.emplace_back();
        entry.model_ = wanted.model_->name_;
        entry.adapter_ = wanted.adapter_name();
        best->replicas_.push_back({nullptr, &entry, replica_status::loading});
        return true;
    }

    /// \returns The replicas to evict so that the load fits: none if the unloads in progress suffice,
    /// `nullopt` if it cannot fit.
    [[nodiscard]] std::optional<std::vector<eviction_candidate>>
    choose_evictions(projected_upstream& upstream, wanted_load const& wanted)
    {
        auto deficit_mb = std::max(wanted.memory_mb() - upstream.free_mb_ - upstream.releasing_mb_,
                                   wanted.memory_mb() - upstream.pool_free_mb_ - upstream.pool_releasing_mb_);
        std::vector<eviction_candidate> chosen;
        if (deficit_mb <= 0) {
            return chosen;
        }
        if (wanted.priority_class_ >= background_priority_class) {
            return std::nullopt;
        }
        auto candidates = evictable_replicas(upstream, wanted);
        std::sort(candidates.begin(), candidates.end(),
                  [](eviction_candidate const& a, eviction_candidate const& b) {
                      return a.last_used_ < b.last_used_;
                  });
        for (auto& candidate : candidates) {
            if (deficit_mb <= 0) {
                break;
            }
            deficit_mb -= candidate.memory_mb_;
            chosen.push_back(std::move(candidate));
        }
        if (deficit_mb > 0) {
            return std::nullopt;
        }
        // Candidates chosen later may free enough without earlier ones. Drops those that are not needed, the
        // most recently used first.
        for (std::size_t i = chosen.size(); i-- > 0;) {
            if (deficit_mb + chosen[i].memory_mb_ <= 0) {
                deficit_mb += chosen[i].memory_mb_;
                chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        return chosen;
    }

    [[nodiscard]] std::vector<eviction_candidate> evictable_replicas(projected_upstream& upstream,
                                                                     wanted_load const& wanted)
    {
        std::vector<eviction_candidate> result;
        for (auto& replica : upstream.replicas_) {
            bool const base = replica.entry_->adapter_.empty();
            if (replica.status_ != replica_status::loaded || !in_tables(*replica.entry_)) {
                continue;
            }
            auto const& group = group_demands_[replica.entry_->model_];
            if (std::min(group.unaged_priority_class_, group.priority_class_) < wanted.priority_class_) {
                continue;
            }
            if (base) {
                if (replica.entry_->model_ != wanted.model_->name_ && may_unload_base(upstream, replica)) {
                    result.push_back(group_of(upstream, replica));
                }
            } else if (may_unload_adapter(upstream, replica, wanted)) {
                result.push_back({{&replica}, last_used(replica), replica.entry_->memory_mb_});
            }
        }
        return result;
    }

    [[nodiscard]] bool group_resident_long_enough(projected_upstream const& upstream,
                                                  projected_replica const& base) const
    {
        return std::all_of(
            upstream.replicas_.begin(), upstream.replicas_.end(), [&](projected_replica const& h) {
                if (h.entry_->model_ != base.entry_->model_ || h.status_ == replica_status::unloading) {
                    return true;
                }
                return h.status_ != replica_status::loading && resident_long_enough(h);
            });
    }

    [[nodiscard]] bool above_minimum(projected_replica const& base)
    {
        auto const* const model = find_model(pool_, base.entry_->model_);
        return model == nullptr || models_[{model->name_, ""}].loaded_ > model->min_replicas_;
    }

    /// \returns True if the base model and its adapters are idle on the upstream and no request waits for
    /// them. A model of which only adapters wait is evicted for a more urgent load too: otherwise an adapter
    /// that does not fit beside its base model would block that load for ever.
    [[nodiscard]] bool may_unload_base(projected_upstream& upstream, projected_replica const& replica)
    {
        if (running_in_group(upstream, replica) > 0 || !group_resident_long_enough(upstream, replica) ||
            !above_minimum(replica)) {
            return false;
        }
        auto const& group = group_demands_[replica.entry_->model_];
        if (group.waiting_ == 0) {
            return true;
        }
        auto const own = first_wanted_load_.find(replica.entry_->model_);
        return group.base_waiting_ == 0 && own != first_wanted_load_.end() &&
               own->second > current_wanted_load_ && wanted_loads_[own->second].adapter_ != nullptr;
    }

    /// \returns True if the adapter is idle and not evicted together with its base model.
    [[nodiscard]] bool may_unload_adapter(projected_upstream& upstream, projected_replica const& replica,
                                          wanted_load const& wanted)
    {
        auto const* const base = find_replica(upstream, replica.entry_->model_, "");
        bool const unloaded_with_base = base != nullptr && base->status_ == replica_status::loaded &&
                                        replica.entry_->model_ != wanted.model_->name_ &&
                                        may_unload_base(upstream, *base);
        auto const* const demand = demand_of(replica.entry_->model_, replica.entry_->adapter_);
        return !unloaded_with_base && running_on(replica) == 0 && resident_long_enough(replica) &&
               (demand == nullptr || demand->waiting_ == 0);
    }

    [[nodiscard]] eviction_candidate group_of(projected_upstream& upstream, projected_replica& base) const
    {
        eviction_candidate group;
        for (auto& replica : upstream.replicas_) {
            if (replica.entry_->model_ == base.entry_->model_ &&
                replica.status_ != replica_status::unloading) {
                group.last_used_ = std::max(group.last_used_, last_used(replica));
                group.memory_mb_ += replica.entry_->memory_mb_;
            }
        }
        group.replicas_.push_back(&base);
        return group;
    }

    /// Handles an adapter that fits beside no loaded replica of its base model: plans a load of the base
    /// model where both fit or, at `max_replicas`, unloads an idle base model from a VM that is too small for
    /// both.
    void relocate_base_for_adapter(wanted_load const& wanted)
    {
        auto const& counts = models_[{wanted.model_->name_, ""}];
        auto const combined_mb = wanted.model_->memory_mb_ + wanted.memory_mb();
        bool const base_loading = counts.provisioned_ > counts.loaded_;
        if (base_loading || !store_transfer_available(wanted)) {
            return;
        }
        if (counts.count_ < wanted.model_->max_replicas_) {
            wanted_load base{wanted.model_,       nullptr, wanted.priority_class_,
                             wanted.oldest_wait_, 1,       wanted.memory_mb()};
            bool const fits_somewhere = std::any_of(upstreams_.begin(), upstreams_.end(), [&](auto& u) {
                return eligible(u, base) && fits_with_waiting_adapter(u, base);
            });
            if (fits_somewhere && !plan_load(base)) {
                static_cast<void>(reserve_by_eviction(base));
            }
            return;
        }
        for (auto& upstream : upstreams_) {
            auto* const base = find_replica(upstream, wanted.model_->name_, "");
            bool const too_small = upstream.entry_->memory_mb_ < combined_mb ||
                                   (pool_.memory_mb_ > 0 && pool_.memory_mb_ < combined_mb);
            if (base != nullptr && too_small && upstream.allowed_ &&
                base->status_ == replica_status::loaded && running_in_group(upstream, *base) == 0 &&
                group_resident_long_enough(upstream, *base) &&
                group_demands_[wanted.model_->name_].base_waiting_ == 0) {
                unload(upstream, *base);
                return;
            }
        }
    }

    void plan_idle_unloads()
    {
        for (auto& upstream : upstreams_) {
            for (std::size_t i = 0; i < upstream.replicas_.size(); ++i) {
                auto& replica = upstream.replicas_[i];
                auto const* const model = find_model(pool_, replica.entry_->model_);
                if (!replica.entry_->adapter_.empty() || replica.status_ != replica_status::loaded ||
                    model == nullptr) {
                    continue;
                }
                auto const& group = group_demands_[model->name_];
                if (group.waiting_ > 0 || running_in_group(upstream, replica) > 0 ||
                    !group_resident_long_enough(upstream, replica) || !above_minimum(replica)) {
                    continue;
                }
                auto const interval = group.bursts_per_ms_ > 0
                                          ? millis{static_cast<std::int64_t>(1.0 / group.bursts_per_ms_)}
                                          : model_demand{}.mean_interval_;
                if (input_.now_ - group_of(upstream, replica).last_used_ >
                    replica_idle_timeout(*model, interval)) {
                    unload(upstream, replica);
                }
            }
        }
    }
};

} // namespace

std::vector<placement_action> plan_pool(placement_input const& input, pool_row const& pool,
                                        std::uint64_t& next_replica)
{
    return planner{input, pool, next_replica}.run();
}

std::vector<placement_action> plan_removed_pools(placement_input const& input)
{
    std::vector<placement_action> actions;
    auto const& state = input.state_;
    if (is_gone(state, input.self_)) {
        return actions;
    }
    std::map<std::tuple<std::string_view, std::string_view, std::string_view>, bool> with_adapters;
    for (auto const& [id, entry] : state.replicas_) {
        if (!entry.adapter_.empty()) {
            with_adapters[{entry.upstream_, entry.pool_, entry.model_}] = true;
        }
    }
    for (auto const& [id, entry] : state.replicas_) {
        bool const orphaned =
            entry.status_ == replica_status::unloading && is_gone(state, entry.unload_executor_);
        bool const possible =
            orphaned || entry.status_ == replica_status::loaded || entry.status_ == replica_status::failed;
        bool const blocked =
            entry.adapter_.empty() && with_adapters.contains({entry.upstream_, entry.pool_, entry.model_});
        if (find_pool(*state.tables_, entry.pool_) == nullptr && possible && !blocked) {
            actions.emplace_back(unload_decided{id, input.self_});
        }
    }
    return actions;
}

void record_arrival(model_demand& demand, model_row const& model, millis now) noexcept
{
    auto const gap = now - demand.last_used_;
    if (demand.last_used_ > millis{} && gap > model.load_time_) {
        // With a weight of 1/4 the average follows a change of the arrival rate within a few bursts.
        demand.mean_interval_ = (demand.mean_interval_ * 3 + gap) / 4;
    }
    demand.last_used_ = now;
}

millis replica_idle_timeout(model_row const& model, millis mean_interval) noexcept
{
    // Burst arrivals are taken as memoryless: the idle time so far does not change the expected time to the
    // next burst, so it pays to keep the replica for the whole `idle_unload` or not at all. The load time
    // covers the intervals within a burst.
    bool const pays = mean_interval <= model.idle_unload_;
    return pays ? model.idle_unload_ : std::min(model.idle_unload_, model.load_time_);
}

} // namespace auburnchute
