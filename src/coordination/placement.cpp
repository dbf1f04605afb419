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

/// Earlier than any use; half the range keeps differences from overflowing.
constexpr millis distant_past{std::numeric_limits<std::int64_t>::min() / 2};

/// Class of demand that no request waits for: replicas below `min_replicas`.
constexpr int background_class = 4;

/// A replica of the pool as it will be when the actions planned so far are accepted.
struct held_replica {
    std::string const* id_{}; ///< Null for a load planned in this run.
    replica_entry const* entry_{};
    replica_status status_{};
};

/// An upstream as it will be when the actions planned so far are accepted.
struct upstream_work {
    std::string const* name_{};
    upstream_entry const* entry_{};
    std::int64_t free_{};      ///< Unreserved memory of the VM.
    std::int64_t pool_free_{}; ///< Unreserved memory within the pool's row.
    std::int64_t freeing_{};   ///< Reserved by unloads that will end.
    std::int64_t pool_freeing_{};
    bool allowed_{};  ///< In the pool's row, and neither drained nor leaving.
    int zone_rank_{}; ///< 0: preferred.
    cached_weights const* cache_{};
    std::vector<held_replica> held_;
};

struct model_work {
    std::int64_t count_{};   ///< As the fold counts.
    std::int64_t serving_{}; ///< Loaded or loading where work is allowed.
    std::int64_t loaded_{};  ///< Loaded where work is allowed.
};

/// A load that is wanted.
struct want {
    model_row const* model_{};
    adapter_row const* adapter_{}; ///< Null for the base model.
    int class_{background_class};
    millis oldest_wait_{};
    std::int64_t number_{1};
    std::int64_t companion_mb_{}; ///< Memory of the largest adapter that waits for this base model.

    [[nodiscard]] std::string_view adapter_name() const noexcept
    {
        return adapter_ == nullptr ? std::string_view{} : std::string_view{adapter_->name_};
    }
    [[nodiscard]] std::int64_t memory() const noexcept
    {
        return adapter_ == nullptr ? model_->memory_mb_ : adapter_->memory_mb_;
    }
};

/// Replicas that can only be unloaded together: an adapter, or a base model with its adapters.
struct victim {
    std::vector<held_replica*> replicas_;
    millis last_used_{};
    std::int64_t memory_{};
};

class planner {
public:
    planner(placement_input const& input, pool_row const& pool, std::uint64_t& next_replica)
        : in_{input}, pool_{pool}, next_replica_{next_replica}
    {
    }

    std::vector<placement_action> run()
    {
        auto const self = in_.state_.members_.find(in_.self_);
        if (pool_.kind_ != pool_kind::model || self == in_.state_.members_.end() ||
            self->second.status_ == member_status::gone) {
            return {};
        }
        survey();
        unload_unwanted();
        load_wanted();
        unload_idle();
        return std::move(actions_);
    }

private:
    using key = std::pair<std::string_view, std::string_view>;

    placement_input const& in_;
    pool_row const& pool_;
    std::uint64_t& next_replica_;
    std::vector<placement_action> actions_;
    std::vector<upstream_work> upstreams_; ///< By name.
    std::map<key, model_work> models_;
    std::deque<replica_entry> planned_;
    std::int64_t checkpoint_transfers_{};
    std::int64_t adapter_transfers_{};

    void survey()
    {
        upstreams_.reserve(in_.state_.upstreams_.size());
        for (auto const& [name, entry] : in_.state_.upstreams_) {
            upstream_work work;
            work.name_ = &name;
            work.entry_ = &entry;
            work.free_ = entry.memory_mb_;
            work.pool_free_ =
                pool_.memory_mb_ > 0 ? pool_.memory_mb_ : std::numeric_limits<std::int64_t>::max() / 4;
            work.zone_rank_ = zone_rank(entry.availability_zone_);
            work.allowed_ = matches_upstream(pool_.upstreams_, name) && !in_.state_.drained_.contains(name) &&
                            std::find(in_.leaving_.begin(), in_.leaving_.end(), name) == in_.leaving_.end() &&
                            (work.zone_rank_ == 0 || pool_.locality_ == locality::prefer);
            auto const cache = in_.caches_.find(name);
            work.cache_ = cache == in_.caches_.end() ? nullptr : &cache->second;
            upstreams_.push_back(std::move(work));
        }
        checkpoint_transfers_ = transfers_in_flight(in_.state_, false);
        adapter_transfers_ = transfers_in_flight(in_.state_, true);
        for (auto const& [id, entry] : in_.state_.replicas_) {
            survey_replica(id, entry);
        }
    }

    void survey_replica(std::string const& id, replica_entry const& entry)
    {
        bool const own = entry.pool_ == pool_.name_;
        auto* const upstream = find_upstream(entry.upstream_);
        if (own) {
            auto& model = models_[{entry.model_, entry.adapter_}];
            ++model.count_;
            if (upstream != nullptr && upstream->allowed_) {
                bool const loaded = entry.status_ == replica_status::loaded;
                model.loaded_ += loaded ? 1 : 0;
                model.serving_ += loaded || entry.status_ == replica_status::loading ? 1 : 0;
            }
        }
        if (upstream == nullptr) {
            if (own) {
                unload_lost(id, entry);
            }
            return;
        }
        upstream->free_ -= entry.memory_mb_;
        upstream->pool_free_ -= own ? entry.memory_mb_ : 0;
        if (entry.status_ == replica_status::unloading && release_will_come(entry)) {
            upstream->freeing_ += entry.memory_mb_;
            upstream->pool_freeing_ += own ? entry.memory_mb_ : 0;
        }
        if (own) {
            upstream->held_.push_back({&id, &entry, entry.status_});
        }
    }

    /// A replica on a VM that is gone, kept because its load order may still arrive.
    void unload_lost(std::string const& id, replica_entry const& entry)
    {
        bool const orphaned =
            entry.status_ == replica_status::unloading && is_gone(in_.state_, entry.unload_executor_);
        if (entry.status_ == replica_status::failed || orphaned) {
            actions_.emplace_back(unload_decided{id, in_.self_});
        }
    }

    [[nodiscard]] int zone_rank(std::string const& zone) const
    {
        auto const& zones = pool_.availability_zones_;
        return zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end() ? 0 : 1;
    }

    [[nodiscard]] upstream_work* find_upstream(std::string_view name)
    {
        auto const it =
            std::lower_bound(upstreams_.begin(), upstreams_.end(), name,
                             [](upstream_work const& u, std::string_view n) { return *u.name_ < n; });
        return it != upstreams_.end() && *it->name_ == name ? &*it : nullptr;
    }

    /// False if the fold holds the memory back because an order of a member removed by votes may still act.
    [[nodiscard]] bool release_will_come(replica_entry const& entry) const
    {
        auto const upstream = in_.state_.upstreams_.find(entry.upstream_);
        if (entry.load_order_ended_ ||
            (upstream != in_.state_.upstreams_.end() && upstream->second.honours_fencing_)) {
            return true;
        }
        auto const it = in_.state_.members_.find(entry.executor_);
        return it == in_.state_.members_.end() || it->second.status_ != member_status::gone ||
               !it->second.by_suspicion_;
    }

    [[nodiscard]] model_demand const* demand_of(std::string const& model, std::string const& adapter) const
    {
        auto const it = in_.demand_.find({pool_.name_, model, adapter});
        return it == in_.demand_.end() ? nullptr : &it->second;
    }

    [[nodiscard]] std::int64_t running_on(held_replica const& held) const
    {
        if (held.id_ == nullptr) {
            return 0;
        }
        auto const it = in_.replica_load_.find(*held.id_);
        return it == in_.replica_load_.end() ? 0 : it->second;
    }

    static millis lookup(std::map<std::string, millis> const& times, held_replica const& held, millis missing)
    {
        auto const it = held.id_ == nullptr ? times.end() : times.find(*held.id_);
        return it == times.end() ? missing : it->second;
    }

    /// A replica whose load time is not known to the caller counts as just loaded.
    [[nodiscard]] millis loaded_at(held_replica const& held) const
    {
        return lookup(in_.loaded_at_, held, in_.now_);
    }

    [[nodiscard]] millis last_used(held_replica const& held) const
    {
        return std::max(loaded_at(held), lookup(in_.last_used_, held, loaded_at(held)));
    }

    [[nodiscard]] bool resident_long_enough(held_replica const& held) const
    {
        return in_.now_ - loaded_at(held) >= pool_.min_residence_;
    }

    static bool same(held_replica const& held, std::string_view model, std::string_view adapter)
    {
        return held.entry_->model_ == model && held.entry_->adapter_ == adapter;
    }

    static held_replica* find_held(upstream_work& upstream, std::string_view model, std::string_view adapter)
    {
        auto const it = std::find_if(upstream.held_.begin(), upstream.held_.end(),
                                     [&](held_replica const& h) { return same(h, model, adapter); });
        return it == upstream.held_.end() ? nullptr : &*it;
    }

    [[nodiscard]] bool orphaned_unload(held_replica const& held) const
    {
        return held.id_ != nullptr && held.status_ == replica_status::unloading &&
               held.entry_->status_ == replica_status::unloading &&
               is_gone(in_.state_, held.entry_->unload_executor_);
    }

    /// Proposes the unload of a replica; of a base model with adapters only that of the adapters, because the
    /// fold accepts the base after their release.
    void unload(upstream_work& upstream, held_replica& held)
    {
        if (!held.entry_->adapter_.empty()) {
            unload_one(upstream, held);
            return;
        }
        bool adapters = false;
        for (auto& other : upstream.held_) {
            if (other.entry_->model_ == held.entry_->model_ && !other.entry_->adapter_.empty()) {
                adapters = true;
                unload_one(upstream, other);
            }
        }
        if (!adapters) {
            unload_one(upstream, held);
        }
    }

    void unload_one(upstream_work& upstream, held_replica& held)
    {
        bool const possible =
            held.status_ == replica_status::loaded || held.status_ == replica_status::failed;
        if (held.id_ == nullptr || !possible) {
            return;
        }
        if (held.status_ == replica_status::loaded && upstream.allowed_) {
            auto& model = models_[{held.entry_->model_, held.entry_->adapter_}];
            --model.loaded_;
            --model.serving_;
        }
        held.status_ = replica_status::unloading;
        if (release_will_come(*held.entry_)) {
            upstream.freeing_ += held.entry_->memory_mb_;
            upstream.pool_freeing_ += held.entry_->memory_mb_;
        }
        actions_.emplace_back(unload_decided{*held.id_, in_.self_});
    }

    [[nodiscard]] bool in_tables(replica_entry const& entry) const
    {
        auto const* const model = find_model(pool_, entry.model_);
        return model != nullptr &&
               (entry.adapter_.empty() || find_adapter(*model, entry.adapter_) != nullptr);
    }

    /// Unloads that no demand can put off: failed loads, orphaned unloads, models that left the tables,
    /// replicas where no work is allowed and replicas above the row's maximum.
    void unload_unwanted()
    {
        for (auto& upstream : upstreams_) {
            for (auto& held : upstream.held_) {
                if (held.id_ != nullptr && held.status_ == replica_status::loading &&
                    is_gone(in_.state_, held.entry_->executor_)) {
                    // The load may still arrive; as a failed one it keeps its memory and is unloaded.
                    actions_.emplace_back(load_failed{*held.id_, false});
                    held.status_ = replica_status::failed;
                    models_[{held.entry_->model_, held.entry_->adapter_}].serving_ -=
                        upstream.allowed_ ? 1 : 0;
                }
                if (orphaned_unload(held)) {
                    actions_.emplace_back(unload_decided{*held.id_, in_.self_});
                }
                bool const stranded = !upstream.allowed_ && held.status_ == replica_status::loaded &&
                                      group_running(upstream, held) == 0;
                if (held.status_ == replica_status::failed || stranded || !in_tables(*held.entry_)) {
                    unload(upstream, held);
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

    /// Requests that run on the replica or, for a base model, on its adapters.
    [[nodiscard]] std::int64_t group_running(upstream_work const& upstream, held_replica const& held) const
    {
        auto sum = running_on(held);
        if (held.entry_->adapter_.empty()) {
            for (auto const& other : upstream.held_) {
                bool const adapter =
                    other.entry_->model_ == held.entry_->model_ && !other.entry_->adapter_.empty();
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
        std::vector<std::pair<upstream_work*, held_replica*>> loaded;
        std::int64_t staying = 0;
        for (auto& upstream : upstreams_) {
            for (auto& held : upstream.held_) {
                if (same(held, model.name_, adapter)) {
                    staying += held.status_ == replica_status::unloading ? 0 : 1;
                    if (held.status_ == replica_status::loaded) {
                        loaded.emplace_back(&upstream, &held);
                    }
                }
            }
        }
        auto const surplus = staying - model.max_replicas_;
        if (surplus <= 0) {
            return;
        }
        std::sort(loaded.begin(), loaded.end(), [this](auto const& a, auto const& b) {
            auto const rank = [this](auto const& item) {
                return std::tuple{item.first->allowed_, group_running(*item.first, *item.second),
                                  last_used(*item.second), *item.second->id_};
            };
            return rank(a) < rank(b);
        });
        auto const number = std::min<std::size_t>(loaded.size(), static_cast<std::size_t>(surplus));
        for (std::size_t i = 0; i < number; ++i) {
            unload(*loaded[i].first, *loaded[i].second);
        }
    }

    /// The demand for a base model and all its adapters.
    struct model_need {
        std::int64_t base_waiting_{};
        std::int64_t waiting_{};
        std::int64_t running_{};
        millis oldest_wait_{};
        int class_{background_class};
        int idle_class_{static_cast<int>(priority::low)}; ///< Without aging; also while nothing waits.
        double arrivals_{};                               ///< Per millisecond.
        std::int64_t largest_waiting_adapter_{};
    };

    [[nodiscard]] int aged_class(model_demand const& demand) const
    {
        auto const raised =
            pool_.aging_.count_ > 0 ? demand.oldest_wait_.count_ / pool_.aging_.count_ : std::int64_t{0};
        return static_cast<int>(std::max<std::int64_t>(0, static_cast<int>(demand.highest_) - raised));
    }

    void add_demand(model_need& need, model_demand const& demand) const
    {
        need.waiting_ += demand.waiting_;
        need.running_ += demand.running_;
        need.idle_class_ = std::min(need.idle_class_, static_cast<int>(demand.highest_));
        if (demand.mean_interval_ > millis{}) {
            need.arrivals_ += 1.0 / static_cast<double>(demand.mean_interval_.count_);
        }
        if (demand.waiting_ > 0) {
            need.oldest_wait_ = std::max(need.oldest_wait_, demand.oldest_wait_);
            need.class_ = std::min(need.class_, aged_class(demand));
        }
    }

    [[nodiscard]] model_need need_of(model_row const& model) const
    {
        model_need need;
        if (auto const* const base = demand_of(model.name_, ""); base != nullptr) {
            need.base_waiting_ = base->waiting_;
            add_demand(need, *base);
        }
        // Demands of a model are neighbours in the map; asking for each adapter row would be slower.
        for (auto it = in_.demand_.lower_bound({pool_.name_, model.name_, ""});
             it != in_.demand_.end() && it->first.pool_ == pool_.name_ && it->first.model_ == model.name_;
             ++it) {
            auto const* const adapter =
                it->first.adapter_.empty() ? nullptr : find_adapter(model, it->first.adapter_);
            if (adapter != nullptr) {
                add_demand(need, it->second);
                if (it->second.waiting_ > 0) {
                    need.largest_waiting_adapter_ =
                        std::max(need.largest_waiting_adapter_, adapter->memory_mb_);
                }
            }
        }
        return need;
    }

    static std::int64_t replicas_for(std::int64_t requests, std::int64_t slots)
    {
        auto const per_replica = std::max<std::int64_t>(slots, 1);
        return (requests + per_replica - 1) / per_replica;
    }

    std::map<std::string_view, model_need> needs_;
    std::map<std::string_view, std::size_t> first_want_; ///< Position of a model's most urgent want.
    std::vector<want> wants_;
    std::size_t current_want_{};

    void collect_wants()
    {
        for (auto const& model : pool_.models_) {
            auto const& need = needs_[model.name_] = need_of(model);
            auto const& work = models_[{model.name_, ""}];
            auto const room = model.max_replicas_ - work.count_;
            auto const demanded =
                need.waiting_ > 0 ? replicas_for(need.waiting_ + need.running_, model.slots_) - work.serving_
                                  : 0;
            if (demanded > 0 && room > 0) {
                wants_.push_back({&model, nullptr, need.class_, need.oldest_wait_, std::min(demanded, room),
                                  need.largest_waiting_adapter_});
            } else if (work.serving_ < model.min_replicas_ && room > 0) {
                wants_.push_back({&model,
                                  nullptr,
                                  background_class,
                                  {},
                                  std::min(model.min_replicas_ - work.serving_, room),
                                  0});
            }
            if (work.loaded_ > 0 && need.largest_waiting_adapter_ > 0) {
                collect_adapter_wants(model);
            }
        }
        std::sort(wants_.begin(), wants_.end(), [](want const& a, want const& b) {
            auto const rank = [](want const& w) {
                return std::tuple{w.class_, millis{} - w.oldest_wait_, std::string_view{w.model_->name_},
                                  w.adapter_name()};
            };
            return rank(a) < rank(b);
        });
        for (std::size_t i = 0; i < wants_.size(); ++i) {
            first_want_.emplace(wants_[i].model_->name_, i);
        }
    }

    void collect_adapter_wants(model_row const& model)
    {
        for (auto it = in_.demand_.lower_bound({pool_.name_, model.name_, ""});
             it != in_.demand_.end() && it->first.pool_ == pool_.name_ && it->first.model_ == model.name_;
             ++it) {
            auto const& demand = it->second;
            auto const* const adapter = it->first.adapter_.empty() || demand.waiting_ == 0
                                            ? nullptr
                                            : find_adapter(model, it->first.adapter_);
            if (adapter == nullptr) {
                continue;
            }
            auto const& work = models_[{model.name_, adapter->name_}];
            auto const number =
                std::min(replicas_for(demand.waiting_ + demand.running_, model.slots_) - work.serving_,
                         model.max_replicas_ - work.count_);
            if (number > 0) {
                wants_.push_back({&model, adapter, aged_class(demand), demand.oldest_wait_, number, 0});
            }
        }
    }

    void load_wanted()
    {
        collect_wants();
        for (current_want_ = 0; current_want_ < wants_.size(); ++current_want_) {
            auto const& wanted = wants_[current_want_];
            for (std::int64_t i = 0; i < wanted.number_; ++i) {
                if (!place(wanted) && !make_room(wanted)) {
                    if (wanted.adapter_ != nullptr && i == 0) {
                        rescue_adapter(wanted);
                    }
                    break;
                }
            }
        }
    }

    [[nodiscard]] static load_source source_on(upstream_work const& upstream, want const& wanted)
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

    [[nodiscard]] bool store_has_room(want const& wanted) const
    {
        auto const& store = in_.state_.tables_->store_;
        return wanted.adapter_ == nullptr ? checkpoint_transfers_ < store.checkpoint_transfers_
                                          : adapter_transfers_ < store.adapter_transfers_;
    }

    void take_transfer(want const& wanted, load_source source)
    {
        if (source == load_source::store) {
            ++(wanted.adapter_ == nullptr ? checkpoint_transfers_ : adapter_transfers_);
        }
    }

    /// True if the upstream may hold the wanted replica as far as everything but free memory goes.
    [[nodiscard]] bool eligible(upstream_work& upstream, want const& wanted) const
    {
        if (!upstream.allowed_ || upstream.entry_->memory_mb_ < wanted.memory() ||
            find_held(upstream, wanted.model_->name_, wanted.adapter_name()) != nullptr) {
            return false;
        }
        if (wanted.adapter_ == nullptr) {
            return true;
        }
        auto const* const base = find_held(upstream, wanted.model_->name_, "");
        return base != nullptr && base->status_ == replica_status::loaded;
    }

    [[nodiscard]] bool failed_recently(upstream_work const& upstream, want const& wanted) const
    {
        return std::any_of(in_.failed_.begin(), in_.failed_.end(), [&](failed_load const& failed) {
            return failed.upstream_ == *upstream.name_ && failed.model_ == wanted.model_->name_ &&
                   failed.adapter_ == wanted.adapter_name() && in_.now_ - failed.at_ < failed_load_retention;
        });
    }

    [[nodiscard]] bool holds_companion(upstream_work const& upstream, want const& wanted) const
    {
        auto const sum = wanted.memory() + wanted.companion_mb_;
        return sum <= upstream.entry_->memory_mb_ && (pool_.memory_mb_ == 0 || sum <= pool_.memory_mb_);
    }

    /// Decides a load where free memory allows it now. A memory claim of a more urgent want is kept.
    bool place(want const& wanted)
    {
        auto const rank = [&](upstream_work& upstream, load_source source) {
            return std::tuple{failed_recently(upstream, wanted), !holds_companion(upstream, wanted), source,
                              upstream.zone_rank_, -upstream.free_};
        };
        using rank_type = decltype(rank(upstreams_.front(), load_source::store));
        upstream_work* best = nullptr;
        std::optional<rank_type> best_rank;
        for (auto& upstream : upstreams_) {
            if (upstream.free_ < wanted.memory() || upstream.pool_free_ < wanted.memory() ||
                !eligible(upstream, wanted)) {
                continue;
            }
            auto const source = source_on(upstream, wanted);
            if (source == load_source::store && !store_has_room(wanted)) {
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

    void decide_load(upstream_work& upstream, want const& wanted, load_source source)
    {
        auto& model = models_[{wanted.model_->name_, wanted.adapter_name()}];
        load_decided load;
        load.replica_ = to_string(in_.self_) + "-r" + std::to_string(next_replica_++);
        load.pool_ = pool_.name_;
        load.model_ = wanted.model_->name_;
        load.adapter_ = wanted.adapter_name();
        load.upstream_ = *upstream.name_;
        load.memory_mb_ = wanted.memory();
        load.source_ = source;
        load.executor_ = in_.self_;
        load.expected_count_ = model.count_;
        take_transfer(wanted, source);
        ++model.count_;
        ++model.serving_;
        upstream.free_ -= load.memory_mb_;
        upstream.pool_free_ -= load.memory_mb_;
        auto& entry = planned_.emplace_back();
        entry.pool_ = load.pool_;
        entry.model_ = load.model_;
        entry.adapter_ = load.adapter_;
        entry.memory_mb_ = load.memory_mb_;
        upstream.held_.push_back({nullptr, &entry, replica_status::loading});
        actions_.emplace_back(std::move(load));
    }

    /// Claims memory for a want that must wait for unloads, and unloads idle replicas if those under way do
    /// not free enough. \returns False if no upstream can be cleared.
    bool make_room(want const& wanted)
    {
        upstream_work* best = nullptr;
        std::vector<victim> best_victims;
        load_source best_source{};
        std::optional<std::tuple<bool, bool, load_source, bool, int, millis>> best_rank;
        for (auto& upstream : upstreams_) {
            if (!eligible(upstream, wanted)) {
                continue;
            }
            auto const source = source_on(upstream, wanted);
            if (source == load_source::store && !store_has_room(wanted)) {
                continue;
            }
            auto victims = victims_for(upstream, wanted);
            if (!victims) {
                continue;
            }
            auto latest = distant_past;
            for (auto const& v : *victims) {
                latest = std::max(latest, v.last_used_);
            }
            std::tuple const rank{failed_recently(upstream, wanted),
                                  !holds_companion(upstream, wanted),
                                  source,
                                  !victims->empty(),
                                  upstream.zone_rank_,
                                  latest};
            if (!best_rank || rank < *best_rank) {
                best_rank = rank;
                best = &upstream;
                best_victims = std::move(*victims);
                best_source = source;
            }
        }
        if (best == nullptr) {
            return false;
        }
        for (auto const& v : best_victims) {
            for (auto* const held : v.replicas_) {
                unload(*best, *held);
            }
        }
        take_transfer(wanted, best_source);
        // The claim keeps less urgent wants of this run away; what is freed covers it.
        best->free_ -= wanted.memory();
        best->pool_free_ -= wanted.memory();
        auto& entry = planned_.emplace_back();
        entry.model_ = wanted.model_->name_;
        entry.adapter_ = wanted.adapter_name();
        best->held_.push_back({nullptr, &entry, replica_status::loading});
        return true;
    }

    /// \returns What to unload so that the want fits; empty if unloads under way suffice, none if it cannot
    /// fit.
    [[nodiscard]] std::optional<std::vector<victim>> victims_for(upstream_work& upstream, want const& wanted)
    {
        auto deficit = std::max(wanted.memory() - upstream.free_ - upstream.freeing_,
                                wanted.memory() - upstream.pool_free_ - upstream.pool_freeing_);
        std::vector<victim> chosen;
        if (deficit <= 0) {
            return chosen;
        }
        if (wanted.class_ >= background_class) {
            return std::nullopt;
        }
        auto candidates = idle_replicas(upstream, wanted);
        std::sort(candidates.begin(), candidates.end(),
                  [](victim const& a, victim const& b) { return a.last_used_ < b.last_used_; });
        for (auto& candidate : candidates) {
            if (deficit <= 0) {
                break;
            }
            deficit -= candidate.memory_;
            chosen.push_back(std::move(candidate));
        }
        if (deficit > 0) {
            return std::nullopt;
        }
        // The last ones may free enough alone; keep the most recently used ones that are not needed.
        for (std::size_t i = chosen.size(); i-- > 0;) {
            if (deficit + chosen[i].memory_ <= 0) {
                deficit += chosen[i].memory_;
                chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        return chosen;
    }

    [[nodiscard]] std::vector<victim> idle_replicas(upstream_work& upstream, want const& wanted)
    {
        std::vector<victim> result;
        for (auto& held : upstream.held_) {
            bool const base = held.entry_->adapter_.empty();
            if (held.status_ != replica_status::loaded || !in_tables(*held.entry_)) {
                continue;
            }
            auto const& need = needs_[held.entry_->model_];
            if (std::min(need.idle_class_, need.class_) < wanted.class_) {
                continue;
            }
            if (base) {
                if (held.entry_->model_ != wanted.model_->name_ && may_unload_base(upstream, held)) {
                    result.push_back(group_of(upstream, held));
                }
            } else if (may_unload_adapter(upstream, held, wanted)) {
                result.push_back({{&held}, last_used(held), held.entry_->memory_mb_});
            }
        }
        return result;
    }

    [[nodiscard]] bool group_resident(upstream_work const& upstream, held_replica const& base) const
    {
        return std::all_of(upstream.held_.begin(), upstream.held_.end(), [&](held_replica const& h) {
            if (h.entry_->model_ != base.entry_->model_ || h.status_ == replica_status::unloading) {
                return true;
            }
            return h.status_ != replica_status::loading && resident_long_enough(h);
        });
    }

    [[nodiscard]] bool above_minimum(held_replica const& base)
    {
        auto const* const model = find_model(pool_, base.entry_->model_);
        return model == nullptr || models_[{model->name_, ""}].loaded_ > model->min_replicas_;
    }

    /// True if nothing runs on the base model or its adapters there and no request waits for it. A model
    /// whose adapters wait without room beside it gives way to a more urgent one, else both could wait for
    /// ever.
    [[nodiscard]] bool may_unload_base(upstream_work& upstream, held_replica const& held)
    {
        if (group_running(upstream, held) > 0 || !group_resident(upstream, held) || !above_minimum(held)) {
            return false;
        }
        auto const& need = needs_[held.entry_->model_];
        if (need.waiting_ == 0) {
            return true;
        }
        auto const own = first_want_.find(held.entry_->model_);
        return need.base_waiting_ == 0 && own != first_want_.end() && own->second > current_want_ &&
               wants_[own->second].adapter_ != nullptr;
    }

    /// Adapters of an idle base go with it; this is for those of a base that stays.
    [[nodiscard]] bool may_unload_adapter(upstream_work& upstream, held_replica const& held,
                                          want const& wanted)
    {
        auto const* const base = find_held(upstream, held.entry_->model_, "");
        bool const goes_with_base = base != nullptr && base->status_ == replica_status::loaded &&
                                    held.entry_->model_ != wanted.model_->name_ &&
                                    may_unload_base(upstream, *base);
        auto const* const demand = demand_of(held.entry_->model_, held.entry_->adapter_);
        return !goes_with_base && running_on(held) == 0 && resident_long_enough(held) &&
               (demand == nullptr || demand->waiting_ == 0);
    }

    [[nodiscard]] victim group_of(upstream_work& upstream, held_replica& base) const
    {
        victim group;
        for (auto& held : upstream.held_) {
            if (held.entry_->model_ == base.entry_->model_ && held.status_ != replica_status::unloading) {
                group.last_used_ = std::max(group.last_used_, last_used(held));
                group.memory_ += held.entry_->memory_mb_;
            }
        }
        group.replicas_.push_back(&base);
        return group;
    }

    /// For an adapter that fits beside none of its loaded base models: loads the base where both fit, or
    /// unloads an idle base from a VM that is too small for both.
    void rescue_adapter(want const& wanted)
    {
        auto const& work = models_[{wanted.model_->name_, ""}];
        auto const both = wanted.model_->memory_mb_ + wanted.memory();
        bool const base_on_its_way = work.serving_ > work.loaded_;
        if (base_on_its_way || !store_has_room(wanted)) {
            return;
        }
        if (work.count_ < wanted.model_->max_replicas_) {
            want base{wanted.model_, nullptr, wanted.class_, wanted.oldest_wait_, 1, wanted.memory()};
            bool const fits_somewhere = std::any_of(upstreams_.begin(), upstreams_.end(), [&](auto& u) {
                return eligible(u, base) && holds_companion(u, base);
            });
            if (fits_somewhere && !place(base)) {
                static_cast<void>(make_room(base));
            }
            return;
        }
        for (auto& upstream : upstreams_) {
            auto* const base = find_held(upstream, wanted.model_->name_, "");
            bool const too_small =
                upstream.entry_->memory_mb_ < both || (pool_.memory_mb_ > 0 && pool_.memory_mb_ < both);
            if (base != nullptr && too_small && upstream.allowed_ &&
                base->status_ == replica_status::loaded && group_running(upstream, *base) == 0 &&
                group_resident(upstream, *base) && needs_[wanted.model_->name_].base_waiting_ == 0) {
                unload(upstream, *base);
                return;
            }
        }
    }

    void unload_idle()
    {
        for (auto& upstream : upstreams_) {
            for (std::size_t i = 0; i < upstream.held_.size(); ++i) {
                auto& held = upstream.held_[i];
                auto const* const model = find_model(pool_, held.entry_->model_);
                if (!held.entry_->adapter_.empty() || held.status_ != replica_status::loaded ||
                    model == nullptr) {
                    continue;
                }
                auto const& need = needs_[model->name_];
                if (need.waiting_ > 0 || group_running(upstream, held) > 0 ||
                    !group_resident(upstream, held) || !above_minimum(held)) {
                    continue;
                }
                auto const interval = need.arrivals_ > 0
                                          ? millis{static_cast<std::int64_t>(1.0 / need.arrivals_)}
                                          : model_demand{}.mean_interval_;
                if (in_.now_ - group_of(upstream, held).last_used_ > replica_idle_timeout(*model, interval)) {
                    unload(upstream, held);
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
        // A quarter for the newest gap follows a model that wakes or goes idle within a few bursts.
        demand.mean_interval_ = (demand.mean_interval_ * 3 + gap) / 4;
    }
    demand.last_used_ = now;
}

millis replica_idle_timeout(model_row const& model, millis mean_interval) noexcept
{
    // Bursts come without memory: a wait so far says nothing on the rest, so holding pays for the whole row's
    // time or not at all. The load time bridges the gaps within a burst.
    bool const pays = mean_interval <= model.idle_unload_;
    return pays ? model.idle_unload_ : std::min(model.idle_unload_, model.load_time_);
}

} // namespace auburnchute
