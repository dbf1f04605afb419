#pragma once

#include <auburnchute/placement.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace auburnchute::testing {

/// \brief Simulates members, engines, load orders and requests around one fleet state.
///
/// Engines execute delayed load orders and track what is physically loaded, independently of the fleet state;
/// `invariant_violations` compares that with their capacity and with the accepted decisions.
struct placement_simulation {
    struct order {
        std::string replica_;
        std::string upstream_;
        std::string instance_;
        std::string model_;
        std::int64_t memory_mb_{};
        member_id executor_;
        millis arrives_{};
        millis ends_{};
        bool fails_{};
        bool started_{};
        bool timed_out_{}; ///< The executor reported a failure before the order ended.
    };

    struct engine {
        std::string instance_;
        std::map<std::string, std::int64_t> held_; ///< Memory in MB by replica, from the start of the load.
        std::set<std::string> unloaded_; ///< Unloaded replicas; engines that honour fencing refuse them.
    };

    struct request {
        model_key key_;
        priority priority_{priority::normal};
        millis arrived_{};
        millis ends_{}; ///< 0 while it waits.
        std::string replica_;
    };

    struct planner_state {
        member_id self_;
        std::uint64_t next_replica_{1};
        fleet_state known_;
        bool frozen_{};
        bool dead_{};
    };

    fleet_state state_;
    std::uint64_t offset_{};
    std::map<member_id, std::uint64_t> sequences_;
    millis now_{100'000};
    std::vector<planner_state> planners_;
    std::map<std::string, engine> engines_;
    std::vector<order> orders_;
    std::vector<request> requests_;
    std::map<std::string, millis> loaded_at_;
    std::map<std::string, millis> last_used_;
    std::map<std::string, cached_weights> caches_;
    std::map<model_key, model_demand> demand_;
    std::vector<std::string> leaving_;
    std::vector<failed_load> failed_;
    std::set<std::string> decided_; ///< Replicas whose load decision was accepted.
    std::int64_t loads_{};          ///< Accepted load decisions.
    std::map<model_key, std::int64_t> loads_by_model_;
    int fail_next_{};
    bool fail_without_end_{};
    int generation_{};
    std::vector<std::string> rejections_;

    verdict write(member_id const& writer, record_body body)
    {
        auto const name = std::string{type_name(body)};
        auto const result = apply(state_, {writer, ++sequences_[writer], std::move(body)}, offset_++, now_);
        if (result.verdict_ != verdict::accepted) {
            rejections_.push_back(name + ": " + result.reason_);
        }
        return result.verdict_;
    }

    /// \brief Ends a daemon's process and starts its next incarnation. Orders that no engine has started are
    /// lost with the process.
    void restart_daemon(std::size_t index)
    {
        auto& p = planners_[index];
        p.dead_ = true;
        std::erase_if(orders_, [&](order const& o) { return o.executor_ == p.self_ && !o.started_; });
        // A transfer that an engine has started continues without its executor.
        member_id next{p.self_.vm_, p.self_.incarnation_ + 100};
        write(next, member_joined{next, "a", "h", "p", "ad", state_.next_offset_});
        auto const next_replica = p.next_replica_;
        planners_.push_back({next, next_replica, state_, false, false});
    }

    static std::string vm(std::size_t i) { return "u" + std::to_string(i); }

    void replace_vm(std::size_t i)
    {
        auto const entry = state_.upstreams_.at(vm(i));
        auto const instance = "i" + std::to_string(++generation_);
        // The VM is replaced before the record is written, so that a late order reaches the new instance.
        engines_[vm(i)] = {instance, {}, {}};
        write(planners_.front().self_,
              upstream_seen{vm(i), instance, entry.address_, entry.availability_zone_, entry.memory_mb_,
                            entry.honours_fencing_, entry.checks_sender_});
    }

    [[nodiscard]] planner_state& first_alive()
    {
        return *std::find_if(planners_.begin(), planners_.end(),
                             [](auto const& p) { return !p.dead_ && !p.frozen_; });
    }

    [[nodiscard]] bool fenced(std::string const& upstream) const
    {
        return state_.upstreams_.at(upstream).honours_fencing_;
    }

    void advance_orders()
    {
        for (auto& o : orders_) {
            auto const* const p = find_planner(o.executor_);
            if (!o.started_ && o.arrives_ <= now_ && (p == nullptr || !p->frozen_)) {
                o.started_ = true;
                auto& e = engines_[o.upstream_];
                bool const refused =
                    fenced(o.upstream_) && (e.instance_ != o.instance_ || e.unloaded_.contains(o.replica_));
                if (refused) {
                    o.fails_ = true;
                } else {
                    e.held_[o.replica_] = o.memory_mb_;
                }
            }
        }
        for (std::size_t i = 0; i < orders_.size();) {
            auto& o = orders_[i];
            auto const* const p = find_planner(o.executor_);
            bool const able = p == nullptr || !p->frozen_;
            if (!o.started_ || o.ends_ > now_ || !able) {
                ++i;
                continue;
            }
            if (o.fails_) {
                engines_[o.upstream_].held_.erase(o.replica_);
            }
            if (p != nullptr && !p->dead_) {
                report(o);
            }
            orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void report(order const& o)
    {
        auto const it = state_.replicas_.find(o.replica_);
        if (it == state_.replicas_.end()) {
            return;
        }
        auto const failure = load_failed{o.replica_, true};
        if (o.fails_ || o.timed_out_ || it->second.status_ != replica_status::loading) {
            failed_.push_back({o.upstream_, it->second.model_, it->second.adapter_, now_});
            write(o.executor_, failure);
        } else if (write(o.executor_, replica_loaded{o.replica_, true}) == verdict::accepted) {
            loaded_at_[o.replica_] = now_;
        }
    }

    [[nodiscard]] planner_state const* find_planner(member_id const& id) const
    {
        auto const it =
            std::find_if(planners_.begin(), planners_.end(), [&](auto const& p) { return p.self_ == id; });
        return it == planners_.end() ? nullptr : &*it;
    }

    /// \brief Lets the executors of unloads remove idle replicas from the engines and write the releases.
    void advance_unloads()
    {
        std::vector<std::pair<std::string, member_id>> releases;
        for (auto const& [id, r] : state_.replicas_) {
            auto const* const p = find_planner(r.unload_executor_);
            bool const idle = std::none_of(requests_.begin(), requests_.end(), [&](request const& q) {
                return q.ends_ > now_ && q.replica_ == id;
            });
            if (r.status_ == replica_status::unloading && p != nullptr && !p->dead_ && !p->frozen_ && idle) {
                auto& e = engines_[r.upstream_];
                e.held_.erase(id);
                e.unloaded_.insert(id);
                releases.emplace_back(id, r.unload_executor_);
            }
        }
        for (auto const& [id, by] : releases) {
            write(by, replica_released{id, by});
        }
    }

    void advance_requests(millis service)
    {
        for (auto& q : requests_) {
            if (q.ends_ > millis{}) {
                continue;
            }
            for (auto const& [id, r] : state_.replicas_) {
                bool const serves = r.status_ == replica_status::loaded && r.pool_ == q.key_.pool_ &&
                                    r.model_ == q.key_.model_ && r.adapter_ == q.key_.adapter_ &&
                                    !state_.drained_.contains(r.upstream_);
                auto const running = std::count_if(requests_.begin(), requests_.end(), [&](request const& x) {
                    return x.ends_ > now_ && x.replica_ == id;
                });
                if (serves && running < 8) {
                    q.ends_ = now_ + service;
                    q.replica_ = id;
                    last_used_[id] = q.ends_;
                    break;
                }
            }
        }
        std::erase_if(requests_, [&](request const& q) { return q.ends_ > millis{} && q.ends_ <= now_; });
    }

    void compute_demand()
    {
        for (auto& [key, d] : demand_) {
            d.waiting_ = d.running_ = 0;
            d.oldest_wait_ = {};
        }
        for (auto const& q : requests_) {
            auto& d = demand_[q.key_];
            ++(q.ends_ > millis{} ? d.running_ : d.waiting_);
            if (q.ends_ == millis{}) {
                d.oldest_wait_ = std::max(d.oldest_wait_, now_ - q.arrived_);
            }
            d.highest_ = q.priority_;
            d.last_used_ = now_;
        }
    }

    [[nodiscard]] std::map<std::string, std::int64_t> replica_load() const
    {
        std::map<std::string, std::int64_t> load;
        for (auto const& q : requests_) {
            if (q.ends_ > now_) {
                ++load[q.replica_];
            }
        }
        return load;
    }

    /// \brief Plans one pool or, for a name that is not in the tables, the removed pools.
    [[nodiscard]] std::vector<placement_action> plan(planner_state& p, fleet_state const& known,
                                                     std::string const& pool_name)
    {
        auto const load = replica_load();
        placement_input const input{known,      demand_,  caches_, load, last_used_,
                                    loaded_at_, leaving_, p.self_, now_, failed_};
        auto const* const pool = find_pool(*known.tables_, pool_name);
        return pool == nullptr ? plan_removed_pools(input) : plan_pool(input, *pool, p.next_replica_);
    }

    /// \brief Plans pool by pool and writes each plan before the next; a planner that is not `up_to_date`
    /// plans on its own, possibly stale state. \returns The number of rejected actions.
    int plan_all(planner_state& p, bool up_to_date, millis load_time)
    {
        int rejected = 0;
        for (std::string const pool : {"reviews", "quick", ""}) {
            rejected += write_actions(p, plan(p, up_to_date ? state_ : p.known_, pool), load_time);
        }
        return rejected;
    }

    /// \brief Writes the actions and sends the orders of accepted loads. \returns The number of rejected
    /// actions.
    int write_actions(planner_state& p, std::vector<placement_action> const& actions, millis load_time)
    {
        int rejected = 0;
        for (auto const& action : actions) {
            auto const body = std::visit([](auto const& a) { return record_body{a}; }, action);
            if (write(p.self_, body) != verdict::accepted) {
                ++rejected;
                continue;
            }
            if (auto const* const load = std::get_if<load_decided>(&action)) {
                bool const fails = fail_next_ > 0;
                fail_next_ -= fails ? 1 : 0;
                decided_.insert(load->replica_);
                ++loads_;
                ++loads_by_model_[{load->pool_, load->model_, load->adapter_}];
                orders_.push_back({load->replica_, load->upstream_,
                                   state_.upstreams_.at(load->upstream_).vm_instance_, load->model_,
                                   load->memory_mb_, p.self_, now_, now_ + load_time, fails, false, false});
            }
        }
        return rejected;
    }

    /// \brief Lets the executor of one pending order report a time-out; the order arrives `delay` later.
    void time_out_order(millis delay)
    {
        for (auto& o : orders_) {
            auto const it = state_.replicas_.find(o.replica_);
            if (!o.started_ && !o.timed_out_ && it != state_.replicas_.end()) {
                o.timed_out_ = true;
                o.arrives_ = now_ + delay;
                o.ends_ = o.arrives_ + millis{1'000};
                write(o.executor_, load_failed{o.replica_, false});
                return;
            }
        }
    }

    /// \returns A description of every violation, else empty: an engine holds only replicas that were decided
    /// and are still in the fleet state, and neither held nor reserved memory exceeds the upstream's memory.
    [[nodiscard]] std::string invariant_violations() const
    {
        std::ostringstream text;
        for (auto const& [name, e] : engines_) {
            std::int64_t sum = 0;
            for (auto const& [id, memory] : e.held_) {
                sum += memory;
                if (!decided_.contains(id)) {
                    text << name << " holds " << id << ", for which no load decision was accepted; ";
                }
                if (!state_.replicas_.contains(id)) {
                    text << name << " holds " << id << ", which is not in the fleet state; ";
                }
            }
            if (sum > state_.upstreams_.at(name).memory_mb_) {
                text << name << " holds " << sum << " MB, more than its memory; ";
            }
            if (reserved_memory_mb(state_, name) > state_.upstreams_.at(name).memory_mb_) {
                text << name << " has " << reserved_memory_mb(state_, name)
                     << " MB reserved, more than its memory; ";
            }
        }
        return text.str();
    }
};

/// \returns A simulation of six upstreams and two pools of five models each; the second pool may use three of
/// the upstreams.
inline placement_simulation make_simulation(std::size_t members)
{
    placement_simulation w;
    for (std::size_t i = 0; i < members; ++i) {
        member_id const id{"e" + std::to_string(i), i + 1};
        w.write(id, member_joined{id, "a", "h", "p", "ad", w.state_.next_offset_});
    }
    for (std::size_t i = 0; i < 6; ++i) {
        auto const name = placement_simulation::vm(i);
        w.engines_[name] = {"i0", {}, {}};
        w.write({"e0", 1}, upstream_seen{name, "i0", "a:1", i % 2 == 0 ? "za" : "zb", i < 2 ? 40'000 : 80'000,
                                         i % 3 == 0, false});
    }
    tables t;
    for (int p = 0; p < 2; ++p) {
        pool_row pool;
        pool.name_ = p == 0 ? "reviews" : "quick";
        pool.upstreams_ =
            p == 0 ? std::vector<std::string>{"u*"} : std::vector<std::string>{"u3", "u4", "u5"};
        pool.locality_ = locality::prefer;
        pool.availability_zones_ = {"za"};
        pool.memory_mb_ = p == 0 ? 0 : 50'000;
        for (int m = 0; m < 5; ++m) {
            model_row model;
            model.name_ = "m" + std::to_string(m);
            model.memory_mb_ = 15'000 + 6'000 * m;
            model.max_replicas_ = 1 + m % 3;
            model.min_replicas_ = m == 4 && p == 0 ? 1 : 0;
            model.load_time_ = {8'000};
            model.idle_unload_ = {60'000};
            model.adapters_ = {{"a0", 500}, {"a1", 700}};
            pool.models_.push_back(model);
        }
        t.pools_.push_back(pool);
    }
    t.store_ = {2, 4};
    w.write({"e0", 1}, tables_published{0, t});
    for (std::size_t i = 0; i < members; ++i) {
        w.planners_.push_back({{"e" + std::to_string(i), i + 1}, 1, w.state_, false, false});
    }
    return w;
}

} // namespace auburnchute::testing
