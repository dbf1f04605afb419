// Demand, planning and the execution of load and unload orders.
#include "protocol/logging.hpp"
#include "transport/fleet_control.hpp"
#include "transport/peer_link.hpp"

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

constexpr millis plan_interval{500};
constexpr millis demand_limit{1'000};

/// Waiting and running requests of a peer count for this long after its last message.
constexpr millis demand_lifetime{3'000};

/// Tries of an order whose outcome is unknown; the replica id makes repeats idempotent.
constexpr int max_order_tries = 5;

model_key key_of(replica_entry const& replica)
{
    return {replica.pool_, replica.model_, replica.adapter_};
}

/// The source as one word for explanations.
std::string source_name(load_source source)
{
    switch (source) {
    case load_source::memory_cache:
        return "memory-cache";
    case load_source::disk_cache:
        return "disk-cache";
    case load_source::store:
        break;
    }
    return "weight-store";
}

void add_demand(model_demand& sum, model_demand const& part)
{
    sum.waiting_ += part.waiting_;
    sum.running_ += part.running_;
    sum.oldest_wait_ = std::max(sum.oldest_wait_, part.oldest_wait_);
    sum.highest_ = std::min(sum.highest_, part.highest_);
    sum.last_used_ = std::max(sum.last_used_, part.last_used_);
    sum.mean_interval_ = std::min(sum.mean_interval_, part.mean_interval_);
}

} // namespace

void fleet_control::demand_changed()
{
    {
        std::lock_guard const lock{mutex_};
        demand_kick_ = true;
    }
    planner_wake_.notify_all();
}

bool fleet_control::may_act() const
{
    std::lock_guard const lock{mutex_};
    return joined_ && ready_ && !is_gone(*state_, self_) &&
           evaluate_authority(*state_, authority_, now(clock_)) == authority::fresh_log;
}

void fleet_control::run_planner(std::stop_token const& stop)
{
    while (!stop.stop_requested()) {
        {
            std::unique_lock lock{mutex_};
            planner_wake_.wait_for(lock, stop, std::chrono::milliseconds{plan_interval.count_},
                                   [this] { return demand_kick_; });
            demand_kick_ = false;
        }
        if (stop.stop_requested()) {
            return;
        }
        send_demand();
        plan_pools();
    }
}

void fleet_control::send_demand()
{
    auto const demand = own_demand_();
    std::map<member_id, peer::v1::DemandRequest> by_planner;
    auto const time = now(clock_);
    member_id self;
    {
        std::lock_guard const lock{mutex_};
        self = self_;
        peer_demand_[self_] = demand;
        peer_demand_at_[self_] = time;
    }
    for (auto const& [key, entry] : demand) {
        auto const planner = preferred("pool " + key.pool_);
        if (!planner || *planner == self) {
            continue;
        }
        auto& request = by_planner[*planner];
        auto* const item = request.add_demand();
        item->set_pool(key.pool_);
        item->set_model(key.model_);
        item->set_adapter(key.adapter_);
        item->set_waiting(entry.waiting_);
        item->set_running(entry.running_);
        item->set_oldest_wait_ms(entry.oldest_wait_.count_);
        item->set_highest_priority(static_cast<std::int32_t>(entry.highest_));
        item->set_idle_ms((time - entry.last_used_).count_);
        item->set_mean_interval_ms(entry.mean_interval_.count_);
    }
    for (auto& [planner, request] : by_planner) {
        to_message(self, *request.mutable_sender());
        if (auto const link = link_to(planner)) {
            (void)link->client_.demand(request, demand_limit);
        }
    }
}

void fleet_control::plan_pools()
{
    if (!may_act()) {
        return;
    }
    auto const folded = state();
    std::vector<record_body> proposals;
    for (auto const& pool : folded->tables_->pools_) {
        if (pool.kind_ != pool_kind::model || !is_preferred("pool " + pool.name_)) {
            continue;
        }
        std::lock_guard const lock{mutex_};
        if (!open_proposals_.empty()) {
            return; // The plan would not count decisions that are not folded yet.
        }
        auto const time = now(clock_);
        std::map<model_key, model_demand> demand;
        for (auto const& [member, parts] : peer_demand_) {
            bool const fresh = time < peer_demand_at_[member] + demand_lifetime;
            for (auto const& [key, part] : parts) {
                auto counted = part;
                if (!fresh) {
                    counted.waiting_ = 0;
                    counted.running_ = 0;
                }
                auto const [it, inserted] = demand.try_emplace(key, counted);
                if (!inserted) {
                    add_demand(it->second, counted);
                }
            }
        }
        std::map<std::string, std::int64_t> load;
        std::map<std::string, millis> last_used;
        for (auto const& [id, replica] : state_->replicas_) {
            auto const key = key_of(replica);
            auto const wanted = demand.find(key);
            auto const replicas = std::max<std::int64_t>(
                1, replica_count(*state_, replica.pool_, replica.model_, replica.adapter_));
            load[id] = wanted == demand.end() ? 0 : (wanted->second.running_ + replicas - 1) / replicas;
            // A planner that has just taken over knows no last use and starts from the time it first saw the
            // replica.
            auto const loaded = loaded_at_.find(id);
            last_used[id] = loaded == loaded_at_.end() ? time : loaded->second;
            if (wanted != demand.end()) {
                last_used[id] = std::max(last_used[id], wanted->second.last_used_);
            }
        }
        std::vector<std::string> leaving{list_leaving_.begin(), list_leaving_.end()};
        for (auto const& [name, status] : upstreams_) {
            bool const unreachable = status.counters_ && status.counters_->refused_connections_.load(
                                                             std::memory_order_relaxed) >= 3;
            if (status.leaving_ || unreachable) {
                leaving.push_back(name);
            }
        }
        placement_input const input{*state_,    demand,  caches_, load, last_used,
                                    loaded_at_, leaving, self_,   time, failed_loads_};
        auto actions = plan_pool(input, pool, next_replica_);
        if (actions.empty()) {
            // Any planner may unload what removed pools left behind; the fold accepts the first.
            actions = plan_removed_pools(input);
        }
        for (auto& action : actions) {
            std::visit([&proposals](auto& body) { proposals.emplace_back(std::move(body)); }, action);
        }
        if (!proposals.empty()) {
            break; // One pool at a time, since all pools share the store's transfers.
        }
    }
    for (auto& proposal : proposals) {
        std::string const what{type_name(proposal)};
        std::lock_guard const lock{mutex_};
        auto const sequence = auburnchute::submit(writer_, std::move(proposal));
        if (!sequence) {
            break;
        }
        open_proposals_.insert(*sequence);
        pending_[*sequence].then_ = [this, sequence = *sequence, what](submit_result const& result) {
            if (result.known_ && result.verdict_.verdict_ == verdict::rejected) {
                metrics_.count("auburnchute_proposals_rejected_total", what);
            }
            {
                std::lock_guard const inner{mutex_};
                open_proposals_.erase(sequence);
            }
            planner_wake_.notify_all();
        };
    }
    writer_wake_.notify_all();
}

void fleet_control::run_order(std::string id, std::function<void()> work)
{
    std::lock_guard const lock{order_mutex_};
    for (auto const& ended : ended_orders_) {
        order_threads_.erase(ended);
    }
    ended_orders_.clear();
    order_threads_[id] = std::jthread{[this, id, work = std::move(work)] {
        work();
        {
            std::lock_guard const inner{mutex_};
            running_orders_.erase(id);
        }
        std::lock_guard const inner{order_mutex_};
        ended_orders_.push_back(id);
    }};
}

void fleet_control::start_orders()
{
    if (!may_act()) {
        return;
    }
    std::vector<std::pair<std::string, std::function<void()>>> orders;
    {
        std::lock_guard const lock{mutex_};
        for (auto const& [id, replica] : state_->replicas_) {
            auto const upstream = state_->upstreams_.find(replica.upstream_);
            bool const known = upstream != state_->upstreams_.end();
            bool const load = replica.status_ == replica_status::loading && replica.executor_ == self_ &&
                              !replica.load_order_ended_;
            bool const unload =
                replica.status_ == replica_status::unloading && replica.unload_executor_ == self_;
            std::string const order = (load ? "load " : "unload ") + id;
            if ((load && known) || unload) {
                if (!running_orders_.insert(order).second) {
                    continue;
                }
                if (load) {
                    orders.emplace_back(order, [this, id = id, replica = replica, target = upstream->second] {
                        run_load(id, replica, target);
                    });
                } else {
                    std::optional<upstream_entry> target;
                    if (known) {
                        target = upstream->second;
                    }
                    orders.emplace_back(order, [this, id = id, replica = replica, target] {
                        run_unload(id, replica, target);
                    });
                }
            }
        }
    }
    for (auto& [id, work] : orders) {
        run_order(std::move(id), std::move(work));
    }
}

void fleet_control::run_load(std::string replica, replica_entry entry, upstream_entry upstream)
{
    auto const started = now(clock_);
    auto const folded = state();
    row_ref const row{"pools", entry.pool_, entry.version_};
    std::string const model = entry.adapter_.empty() ? entry.model_ : entry.model_ + ":" + entry.adapter_;
    log_change("load", entry.upstream_,
               "loads " + model + " as replica " + replica + " by " + to_string(row));
    auto const* const pool = find_pool(*folded->tables_, entry.pool_);
    auto const* const model_entry = pool == nullptr ? nullptr : find_model(*pool, entry.model_);
    auto const expected = model_entry == nullptr ? millis{60'000} : model_entry->load_time_;
    load_order const order{replica,       entry.model_,   entry.adapter_,       entry.memory_mb_,
                           entry.source_, entry.fencing_, upstream.vm_instance_};
    std::string const key = upstream.checks_sender_ ? config_.order_key_ : std::string{};
    auto result = order_result::not_sent;
    bool all_known = true;
    for (int tries = 0; tries < max_order_tries && may_act(); ++tries) {
        result = order_load(upstream.address_, order, key, expected * 10 + millis{30'000});
        all_known = all_known && result != order_result::unknown;
        if (result == order_result::done || result == order_result::refused) {
            break;
        }
        std::unique_lock lock{mutex_};
        wake_.wait_for(lock, std::chrono::milliseconds{200 << tries});
    }
    decision_trail trail{replica, "load", "", to_string(row), {}};
    trail.events_.push_back({"place",
                             "decided " + model + " " + entry.upstream_ + " " + source_name(entry.source_) +
                                 " " + std::to_string(entry.memory_mb_),
                             to_string(row), started});
    trail.events_.push_back({"order", "sent " + entry.upstream_, to_string(row), started});
    if (result == order_result::done) {
        metrics_.observe("auburnchute_load_ms", entry.adapter_.empty() ? "checkpoint" : "adapter",
                         now(clock_) - started);
        trail.outcome_ = "loaded";
        trail.events_.push_back({"order", "loaded " + std::to_string((now(clock_) - started).count_),
                                 to_string(row), now(clock_)});
        submit(replica_loaded{replica, all_known});
    } else {
        log_fault("load", entry.upstream_, "replica " + replica + " was not loaded");
        trail.outcome_ = "failed";
        trail.events_.push_back({"order",
                                 result == order_result::refused ? "refused " + entry.upstream_
                                                                 : "failed the upstream did not answer",
                                 to_string(row), now(clock_)});
        submit(load_failed{replica, all_known});
    }

    trails_.put(std::move(trail));
    // The order stays listed until the result is folded, so that it is not started again.
    std::unique_lock lock{mutex_};
    wake_.wait_for(lock, std::chrono::seconds{30}, [&] {
        auto const it = state_->replicas_.find(replica);
        return it == state_->replicas_.end() || it->second.status_ != replica_status::loading;
    });
}

void fleet_control::run_unload(std::string replica, replica_entry entry,
                               std::optional<upstream_entry> upstream)
{
    auto const started = now(clock_);
    row_ref const row{"pools", entry.pool_, entry.version_};
    log_change("unload", entry.upstream_, "unloads replica " + replica + " of " + entry.model_);
    std::string const key = upstream && upstream->checks_sender_ ? config_.order_key_ : std::string{};
    auto result = order_result::done;
    if (upstream) {
        result = may_act() ? order_unload(upstream->address_, replica, entry.fencing_, key)
                           : order_result::not_sent;
    }
    if (result != order_result::done) {
        std::unique_lock lock{mutex_};
        wake_.wait_for(lock, std::chrono::milliseconds{500});
        return; // Started again while the replica is unloading.
    }
    member_id self;
    {
        std::lock_guard const lock{mutex_};
        self = self_;
    }
    auto const released = submit_and_wait(replica_released{replica, self}, {5'000});
    bool const freed = released.known_ && released.verdict_.verdict_ == verdict::accepted;
    decision_trail trail{replica, "unload", freed ? "unloaded" : "pending", to_string(row), {}};
    trail.events_.push_back({"unload", "sent " + entry.upstream_, to_string(row), started});
    if (freed) {
        trail.events_.push_back(
            {"unload", "released " + std::to_string(entry.memory_mb_), to_string(row), now(clock_)});
    }
    trails_.put(std::move(trail));
}

} // namespace auburnchute
