#include "transport/request_queue.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace auburnchute {

namespace {

/// A missed model counts as waited for during this time, so that the planner loads it for the caller's next
/// try.
constexpr millis missed_lifetime{2'000};

/// An upstream that refused connections is tried again after this time.
constexpr std::int64_t refused_connections_limit = 3;

std::string queue_name(model_key const& key)
{
    return key.adapter_.empty() ? key.model_ : key.model_ + ":" + key.adapter_;
}

bool accepts_work(fleet_view const& view, std::string const& name, upstream_status const& status, millis time)
{
    return !status.leaving_ && !view.state_->drained_.contains(name) && status.counters_ &&
           status.counters_->full_until_.load(std::memory_order_relaxed) <= time.count_ &&
           status.counters_->refused_connections_.load(std::memory_order_relaxed) < refused_connections_limit;
}

routing_candidate make_candidate(fleet_view const& view, std::string const& name,
                                 upstream_status const& status, std::int64_t slots, millis time)
{
    routing_candidate candidate;
    candidate.upstream_ = name;
    candidate.availability_zone_ = status.availability_zone_;
    auto const running = status.counters_->running_.load(std::memory_order_relaxed);
    candidate.reported_requests_ = status.reported_;
    // The report counts what this daemon ran when it was taken, so only the difference is added.
    candidate.own_requests_since_report_ = std::max<std::int64_t>(0, running - status.own_at_report_);
    candidate.slots_ = slots;
    candidate.accepts_work_ = accepts_work(view, name, status, time);
    candidate.runs_suspect_ = status.counters_->suspects_.load(std::memory_order_relaxed) > 0;
    return candidate;
}

/// True if the upstream may write the answer, or the rest of one that has begun.
bool fits_answer(std::string const& name, upstream_status const& status, slot_request const& request)
{
    return !request.software_version_ ||
           (status.software_version_ == *request.software_version_ &&
            (status.resumes_streams_ || !request.resumes_) &&
            std::find(request.excluded_.begin(), request.excluded_.end(), name) == request.excluded_.end());
}

bool serves(replica_entry const& replica, model_key const& key)
{
    return replica.pool_ == key.pool_ && replica.model_ == key.model_ && replica.adapter_ == key.adapter_ &&
           replica.status_ == replica_status::loaded;
}

} // namespace

request_queue::request_queue(fleet_control& control, metrics& counters, stop_gate const& stop)
    : control_{control}, metrics_{counters}, stop_{stop}
{
}

request_queue::pool_queue& request_queue::queue_of(std::string const& pool)
{
    std::lock_guard const lock{mutex_};
    auto& slot = pools_[pool];
    if (!slot) {
        slot = std::make_unique<pool_queue>();
    }
    return *slot;
}

bool request_queue::find_place(fleet_view const& view, slot_request const& request, slot_grant& grant) const
{
    auto const* const pool = find_pool(*view.state_->tables_, request.key_.pool_);
    if (pool == nullptr) {
        return false;
    }
    auto const time = now(control_.time_source());
    std::vector<routing_candidate> candidates;
    std::vector<std::string const*> replicas;
    if (pool->kind_ == pool_kind::service) {
        for (auto const& [name, status] : view.upstreams_) {
            if (matches_upstream(pool->upstreams_, name) && status.counters_) {
                candidates.push_back(make_candidate(view, name, status, pool->slots_, time));
                replicas.push_back(nullptr);
            }
        }
    } else {
        auto const* const model = find_model(*pool, request.key_.model_);
        if (model == nullptr) {
            return false;
        }
        for (auto const& [id, replica] : view.state_->replicas_) {
            auto const status = serves(replica, request.key_) ? view.upstreams_.find(replica.upstream_)
                                                              : view.upstreams_.end();
            if (status != view.upstreams_.end() && status->second.counters_ &&
                fits_answer(status->first, status->second, request)) {
                candidates.push_back(
                    make_candidate(view, status->first, status->second, model->slots_, time));
                replicas.push_back(&id);
            }
        }
    }
    routing_request wanted;
    wanted.prefix_hash_ = request.prefix_hash_;
    wanted.request_hash_ = request.request_hash_;
    wanted.isolated_ = request.isolated_;
    wanted.avoid_ = request.avoid_;
    if (pool->locality_ == locality::require && !pool->availability_zones_.empty()) {
        for (auto& candidate : candidates) {
            auto const& zones = pool->availability_zones_;
            bool const allowed =
                std::find(zones.begin(), zones.end(), candidate.availability_zone_) != zones.end();
            candidate.accepts_work_ = candidate.accepts_work_ && allowed;
        }
    }
    wanted.sending_daemons_ = std::max<std::int64_t>(1, view.live_members_);
    auto const own = view.state_->members_.find(view.self_);
    if (own != view.state_->members_.end()) {
        wanted.availability_zone_ = own->second.availability_zone_;
    }
    auto const chosen = pick_upstream(candidates, wanted);
    if (!chosen) {
        return false;
    }
    std::string const name{candidates[*chosen].upstream_};
    auto const& status = view.upstreams_.at(name);
    grant.verdict_ = slot_verdict::granted;
    grant.upstream_ = name;
    grant.address_ = status.address_;
    grant.resumes_streams_ = status.resumes_streams_;
    grant.replica_ = replicas[*chosen] == nullptr ? std::string{} : *replicas[*chosen];
    grant.counters_ = status.counters_;
    return true;
}

bool request_queue::take_place(fleet_view const& view, slot_request const& request, slot_grant& grant) const
{
    if (!find_place(view, request, grant)) {
        return false;
    }
    grant.counters_->running_.fetch_add(1, std::memory_order_relaxed);
    if (request.isolated_) {
        grant.counters_->suspects_.fetch_add(1, std::memory_order_relaxed);
    }
    return true;
}

bool request_queue::may_continue(fleet_view const& view, slot_request const& request)
{
    return !request.software_version_ ||
           std::any_of(view.state_->replicas_.begin(), view.state_->replicas_.end(), [&](auto const& item) {
               auto const& replica = item.second;
               auto const status = serves(replica, request.key_) ? view.upstreams_.find(replica.upstream_)
                                                                 : view.upstreams_.end();
               return status != view.upstreams_.end() && !status->second.leaving_ &&
                      !view.state_->drained_.contains(status->first) &&
                      fits_answer(status->first, status->second, request);
           });
}

wait_estimate request_queue::estimate(fleet_view const& view, pool_queue const& pool,
                                      slot_request const& request, bool& cold) const
{
    auto const& key = request.key_;
    wait_estimate result;
    auto const* const row = find_pool(*view.state_->tables_, key.pool_);
    if (row == nullptr || row->kind_ == pool_kind::service) {
        return result;
    }
    std::int64_t loaded = 0;
    for (auto const& [id, replica] : view.state_->replicas_) {
        bool const same =
            replica.pool_ == key.pool_ && replica.model_ == key.model_ && replica.adapter_ == key.adapter_;
        loaded += same && replica.status_ == replica_status::loaded ? 1 : 0;
    }
    auto const* const model = find_model(*row, key.model_);
    cold = loaded == 0;
    if (cold && model != nullptr) {
        bool const base_loaded =
            !key.adapter_.empty() && replica_count(*view.state_, key.pool_, key.model_, "") > 0;
        result.load_remaining_ = base_loaded ? millis{50} : model->load_time_;
    }
    auto const known = pool.usage_.find(key);
    if (loaded > 0 && model != nullptr && known != pool.usage_.end() && known->second.mean_service_ms_ > 0) {
        result.served_per_second_ =
            static_cast<double>(loaded * model->slots_) * 1'000.0 / known->second.mean_service_ms_;
    }
    return result;
}

void request_queue::book_arrival(fleet_view const& view, pool_queue& pool, slot_request const& request)
{
    auto const time = now(control_.time_source());
    auto& used = pool.usage_[request.key_];
    used.last_used_ = time;
    used.highest_ = request.priority_;
    auto const* const row = find_pool(*view.state_->tables_, request.key_.pool_);
    if (auto const* const model = row == nullptr ? nullptr : find_model(*row, request.key_.model_)) {
        record_arrival(pool.arrivals_[{request.key_.pool_, request.key_.model_, {}}], *model, time);
    }
}

slot_grant request_queue::acquire(slot_request const& request)
{
    auto& pool = queue_of(request.key_.pool_);
    auto const entry = std::make_shared<waiter>();
    entry->request_ = request;
    auto& grant = entry->grant_;
    std::uint64_t const ticket = next_ticket_.fetch_add(1, std::memory_order_relaxed);
    bool queued = false;
    control_.read([&](fleet_view const& view) {
        std::lock_guard const lock{pool.mutex_};
        // Under the lock, so that `refuse_waiting` misses no request.
        if (!stop_.may_start(request.ends_by_)) {
            grant.verdict_ = slot_verdict::stopping;
            return;
        }
        book_arrival(view, pool, request);
        if (pool.waiters_.empty() && take_place(view, request, grant)) {
            ++pool.usage_[request.key_].running_;
            return;
        }
        if (!may_continue(view, request)) {
            grant.verdict_ = slot_verdict::no_version;
            return;
        }
        auto const expected = estimate(view, pool, request, grant.was_cold_);
        grant.expected_wait_ = expected.load_remaining_;
        if (auto const* const row = find_pool(*view.state_->tables_, request.key_.pool_)) {
            pool.queue_.aging_ = row->aging_;
        }
        waiting_request item;
        item.ticket_ = ticket;
        item.workspace_ = request.workspace_;
        item.weight_ = request.weight_;
        item.model_ = queue_name(request.key_);
        item.priority_ = request.priority_;
        item.tokens_ = request.tokens_;
        item.arrived_ = request.arrived_;
        item.deadline_ = request.deadline_;
        auto const verdict = enqueue(pool.queue_, std::move(item), expected, now(control_.time_source()));
        if (verdict != enqueue_verdict::queued) {
            grant.verdict_ =
                verdict == enqueue_verdict::too_late ? slot_verdict::too_late : slot_verdict::queue_full;
            pool.usage_[request.key_].missed_at_ = now(control_.time_source());
            return;
        }
        pool.waiters_[ticket] = entry;
        queued = true;
        // A place may have come free since the queue was last dispatched.
        dispatch(view, pool);
    });
    if (!queued) {
        if (grant.verdict_ == slot_verdict::too_late) {
            control_.demand_changed();
        }
        return grant;
    }
    if (grant.was_cold_) {
        control_.demand_changed();
    }
    std::unique_lock lock{pool.mutex_};
    auto const left = request.deadline_ - now(control_.time_source());
    entry->wake_.wait_for(lock, std::chrono::milliseconds{std::max<std::int64_t>(0, left.count_)},
                          [&] { return entry->done_; });
    if (!entry->done_) {
        cancel(pool.queue_, ticket);
        pool.waiters_.erase(ticket);
        grant.verdict_ = slot_verdict::expired;
    }
    return grant;
}

void request_queue::dispatch(fleet_view const& view, pool_queue& pool)
{
    auto const time = now(control_.time_source());
    std::erase_if(pool.waiters_, [&](auto const& item) {
        if (may_continue(view, item.second->request_)) {
            return false;
        }
        cancel(pool.queue_, item.first);
        item.second->grant_.verdict_ = slot_verdict::no_version;
        item.second->done_ = true;
        item.second->wake_.notify_all();
        return true;
    });
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::shared_ptr<waiter>>>> models;
    for (auto const& [ticket, entry] : pool.waiters_) {
        models[queue_name(entry->request_.key_)].emplace_back(ticket, entry);
    }
    for (auto const& [model, waiters] : models) {
        slot_grant found;
        auto probe = waiters.front().second->request_;
        probe.isolated_ = false;
        probe.avoid_.clear();
        probe.software_version_.reset();
        while (find_place(view, probe, found)) {
            // A request is charged when it is taken from the queue, so those that fit nowhere stay in it.
            std::vector<std::uint64_t> passed_over;
            for (auto const& [ticket, entry] : waiters) {
                bool const is_bound = entry->request_.isolated_ || entry->request_.software_version_;
                if (is_bound && !entry->done_ && !find_place(view, entry->request_, found)) {
                    passed_over.push_back(ticket);
                }
            }
            auto next = take_next(pool.queue_, model, time, passed_over);
            auto const it = next ? pool.waiters_.find(next->ticket_) : pool.waiters_.end();
            if (it == pool.waiters_.end()) {
                break;
            }
            auto const entry = it->second;
            if (take_place(view, entry->request_, entry->grant_)) {
                ++pool.usage_[entry->request_.key_].running_;
            } else {
                // Another pool's request, or a refusal, took the room meanwhile.
                auto const verdict = enqueue(pool.queue_, std::move(*next), {}, time);
                if (verdict == enqueue_verdict::queued) {
                    break;
                }
                entry->grant_.verdict_ = slot_verdict::queue_full;
            }
            pool.waiters_.erase(it);
            entry->done_ = true;
            entry->wake_.notify_all();
        }
    }
}

void request_queue::release(slot_request const& request, slot_grant const& grant, millis served_for)
{
    grant.counters_->running_.fetch_sub(1, std::memory_order_relaxed);
    if (request.isolated_) {
        grant.counters_->suspects_.fetch_sub(1, std::memory_order_relaxed);
    }
    auto& pool = queue_of(request.key_.pool_);
    control_.read([&](fleet_view const& view) {
        std::lock_guard const lock{pool.mutex_};
        auto& used = pool.usage_[request.key_];
        --used.running_;
        used.last_used_ = now(control_.time_source());
        auto const duration = static_cast<double>(std::max<std::int64_t>(1, served_for.count_));
        used.mean_service_ms_ =
            used.mean_service_ms_ == 0 ? duration : used.mean_service_ms_ * 0.9 + duration * 0.1;
        dispatch(view, pool);
    });
}

void request_queue::dispatch_all()
{
    control_.read([&](fleet_view const& view) {
        std::lock_guard const lock{mutex_};
        for (auto& [name, pool] : pools_) {
            std::lock_guard const pool_lock{pool->mutex_};
            dispatch(view, *pool);
        }
    });
}

void request_queue::refuse_waiting()
{
    std::lock_guard const lock{mutex_};
    for (auto const& [name, queue] : pools_) {
        auto& pool = *queue;
        std::lock_guard const pool_lock{pool.mutex_};
        std::erase_if(pool.waiters_, [&](auto const& item) {
            if (stop_.may_start(item.second->request_.ends_by_)) {
                return false;
            }
            cancel(pool.queue_, item.first);
            item.second->grant_.verdict_ = slot_verdict::stopping;
            item.second->done_ = true;
            item.second->wake_.notify_all();
            return true;
        });
    }
}

std::map<model_key, model_demand> request_queue::demand() const
{
    std::map<model_key, model_demand> all;
    auto const time = now(control_.time_source());
    std::lock_guard const lock{mutex_};
    for (auto const& [name, pool] : pools_) {
        std::lock_guard const pool_lock{pool->mutex_};
        for (auto const& [key, arrivals] : pool->arrivals_) {
            auto& entry = all[key];
            entry.mean_interval_ = arrivals.mean_interval_;
            entry.last_used_ = arrivals.last_used_;
        }
        for (auto const& [key, used] : pool->usage_) {
            if (key.model_.empty()) {
                continue;
            }
            auto& entry = all[key];
            entry.running_ = used.running_;
            entry.last_used_ = std::max(entry.last_used_, used.running_ > 0 ? time : used.last_used_);
            entry.highest_ = used.highest_;
            if (time < used.missed_at_ + missed_lifetime) {
                entry.waiting_ = 1;
                entry.oldest_wait_ = time - used.missed_at_;
            }
        }
        for (auto const& [ticket, entry] : pool->waiters_) {
            auto& wanted = all[entry->request_.key_];
            ++wanted.waiting_;
            wanted.oldest_wait_ = std::max(wanted.oldest_wait_, time - entry->request_.arrived_);
            wanted.highest_ = std::min(wanted.highest_, entry->request_.priority_);
            wanted.last_used_ = time;
        }
    }
    return all;
}

std::map<std::string, request_queue::pool_status> request_queue::status() const
{
    std::map<std::string, pool_status> all;
    auto const time = now(control_.time_source());
    std::lock_guard const lock{mutex_};
    for (auto const& [name, pool] : pools_) {
        std::lock_guard const pool_lock{pool->mutex_};
        auto& entry = all[name];
        for (auto const& waiting : pool->queue_.waiting_) {
            ++entry.waiting_;
            entry.oldest_wait_ = std::max(entry.oldest_wait_, time - waiting.arrived_);
        }
    }
    return all;
}

} // namespace auburnchute
