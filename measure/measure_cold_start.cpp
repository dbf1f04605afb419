// Measures cold starts and idle accelerator time of plan_pool and apply against baselines, on a manual clock.
// Usage: measure_cold_start [SEED] [HOURS] [DEPLOYMENT]
// Only arrivals, service times and load times are modelled; every decision is made by the real functions,
// except for the baseline in which each daemon loads for itself.
#include <auburnchute/placement.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

constexpr millis tick{50};
constexpr std::int64_t vm_memory = 80'000;
constexpr std::size_t daemons = 9;
constexpr std::int64_t release_ms = 300;

struct deployment {
    std::string name_;
    std::size_t servers_{};
    double store_starts_per_second_{};
    std::vector<std::string> zones_;
};

enum class policy : std::uint8_t { planner, own_loads, least_loaded, fixed_keep_alive };

struct settings {
    policy policy_{policy::planner};
    millis idle_unload_{300'000};
    std::int64_t min_replicas_{0};
    std::int64_t max_replicas_{3};
};

struct arrival {
    millis at_;
    std::size_t model_{};
    std::string adapter_;
    std::size_t daemon_{};
    millis service_;
};

struct result {
    std::vector<double> cold_;  ///< Seconds, for requests that found no loaded replica.
    std::vector<double> all_;   ///< The same with 0 for the others.
    std::vector<double> bound_; ///< For the same cold requests, with the store as the only limit.
    double idle_hours_{};
    std::int64_t loads_{};
    std::int64_t store_loads_{};
    std::int64_t unserved_{};
    std::int64_t rejected_{};
};

double percentile(std::vector<double> values, double p)
{
    if (values.empty()) {
        return 0;
    }
    auto const at = static_cast<std::size_t>(p * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

std::int64_t model_memory(std::size_t model)
{
    constexpr std::int64_t sizes[] = {14'000, 16'000, 20'000, 26'000, 38'000, 60'000};
    return sizes[model % 6];
}

/// Mostly idle models: each wakes after an exponential gap, with a mean between 3 minutes and 3 hours, and
/// sends a burst at many daemons; every ten minutes on average several wake together.
std::vector<arrival> make_arrivals(std::uint64_t seed, millis length)
{
    std::mt19937_64 random{seed};
    std::vector<arrival> arrivals;
    auto const exponential = [&](double mean) {
        return std::exponential_distribution<double>{1.0 / mean}(random);
    };
    auto const burst = [&](std::size_t model, double at_ms) {
        auto const number = 4 + random() % 12;
        double t = at_ms;
        for (std::size_t i = 0; i < number; ++i) {
            t += exponential(i < 6 ? 300.0 : 4'000.0);
            auto const which = random() % 4;
            arrivals.push_back({{static_cast<std::int64_t>(t)},
                                model,
                                which == 0   ? "a0"
                                : which == 1 ? "a1"
                                             : "",
                                random() % daemons,
                                {2'000 + static_cast<std::int64_t>(random() % 8'000)}});
        }
    };
    for (std::size_t m = 0; m < 30; ++m) {
        double const mean = 180'000.0 * std::pow(60.0, static_cast<double>((m * 7) % 30) / 29.0);
        for (double t = exponential(mean); t < static_cast<double>(length.count_); t += exponential(mean)) {
            burst(m, t);
        }
    }
    for (double t = exponential(600'000); t < static_cast<double>(length.count_); t += exponential(600'000)) {
        auto const number = 5 + random() % 6;
        for (std::size_t i = 0; i < number; ++i) {
            burst(random() % 30, t + exponential(500));
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](arrival const& a, arrival const& b) { return a.at_ < b.at_; });
    return arrivals;
}

/// Checkpoints that one server holds, least recently used first.
struct server_cache {
    std::deque<std::size_t> memory_;
    std::deque<std::size_t> disk_;

    static void touch(std::deque<std::size_t>& list, std::size_t model, std::size_t limit)
    {
        std::erase(list, model);
        list.push_back(model);
        if (list.size() > limit) {
            list.pop_front();
        }
    }
    [[nodiscard]] load_source source(std::size_t model) const
    {
        if (std::find(memory_.begin(), memory_.end(), model) != memory_.end()) {
            return load_source::memory_cache;
        }
        return std::find(disk_.begin(), disk_.end(), model) != disk_.end() ? load_source::disk_cache
                                                                           : load_source::store;
    }
};

millis load_time(load_source source)
{
    return source == load_source::memory_cache ? millis{1'500}
           : source == load_source::disk_cache ? millis{6'000}
                                               : millis{20'000};
}

struct simulation {
    struct loading {
        std::string replica_;
        std::size_t server_{};
        std::size_t model_{};
        load_source source_{};
        bool adapter_{};
        millis may_start_; ///< The store starts a limited number of loads a second.
        double left_ms_{};
    };
    struct waiting {
        arrival request_;
        bool cold_{};
    };
    struct running {
        std::string replica_;
        std::string base_;
        millis ends_;
    };
    struct ideal_load {
        millis wanted_;
        load_source source_{};
        double done_{};
    };

    deployment const& where_;
    settings const set_;
    fleet_state state_;
    member_id const self_{"e0", 1};
    std::uint64_t sequence_{};
    std::uint64_t next_replica_{1};
    millis now_{1'000};
    std::vector<server_cache> server_caches_;
    std::map<std::string, cached_weights> caches_;
    std::map<model_key, model_demand> demand_;
    std::map<std::string, std::int64_t> load_;       ///< Running by replica.
    std::map<std::string, std::int64_t> slots_used_; ///< Running by base replica.
    std::map<std::string, millis> last_used_;
    std::map<std::string, millis> loaded_at_;
    std::vector<std::string> leaving_;
    std::vector<loading> loading_;
    std::vector<running> running_;
    std::vector<std::pair<millis, std::string>> releasing_;
    std::map<model_key, std::deque<waiting>> queues_;
    std::map<std::string, ideal_load> ideal_;                 ///< By base replica.
    std::vector<std::pair<std::string, millis>> cold_starts_; ///< Base replica and arrival.
    millis last_store_start_{-10'000};
    bool changed_{true};
    result result_;

    simulation(deployment const& where, settings const& set, std::uint64_t seed) : where_{where}, set_{set}
    {
        write(member_joined{self_, where.zones_[0], "h", "p"});
        std::mt19937_64 random{seed};
        for (std::size_t i = 0; i < where.servers_; ++i) {
            write(upstream_seen{server(i), "i", "a:1", where.zones_[i % 3], vm_memory, true, true});
            auto& cache = server_caches_.emplace_back();
            for (int k = 0; k < 6; ++k) {
                server_cache::touch(cache.disk_, (random() % 30) * (random() % 30) / 30, 6);
            }
            for (int k = 0; k < 2; ++k) {
                server_cache::touch(cache.memory_, random() % 30, 2);
            }
            publish_cache(i);
        }
        tables t;
        pool_row pool;
        pool.name_ = "models";
        pool.upstreams_ = {"u*"};
        // The baseline that loads for itself has one pool row entry for each daemon and model.
        auto const owners = set_.policy_ == policy::own_loads ? daemons : std::size_t{1};
        for (std::size_t owner = 0; owner < owners; ++owner) {
            for (std::size_t m = 0; m < 30; ++m) {
                model_row row;
                row.name_ = model_name(m, owner);
                row.memory_mb_ = model_memory(m);
                // For the six models that wake most often; all thirty do not fit.
                row.min_replicas_ = (m * 7) % 30 < 6 ? set_.min_replicas_ : 0;
                row.max_replicas_ = set_.max_replicas_;
                row.load_time_ = {20'000};
                row.idle_unload_ = set_.idle_unload_;
                row.adapters_ = {{"a0", 400}, {"a1", 400}};
                pool.models_.push_back(row);
            }
        }
        t.pools_.push_back(pool);
        t.store_.checkpoint_transfers_ = set_.policy_ == policy::own_loads ? 1'000 : 4;
        write(tables_published{0, t});
    }

    static std::string server(std::size_t i) { return (i < 10 ? "u0" : "u") + std::to_string(i); }

    static std::string model_name(std::size_t model, std::size_t owner)
    {
        return "m" + std::to_string(model) + "-" + std::to_string(owner);
    }

    [[nodiscard]] std::string name_for(arrival const& a) const
    {
        return model_name(a.model_, set_.policy_ == policy::own_loads ? a.daemon_ : 0);
    }

    static std::size_t model_of(std::string const& name)
    {
        return static_cast<std::size_t>(std::atoi(name.c_str() + 1));
    }

    verdict write(record_body body)
    {
        return apply(state_, {self_, ++sequence_, std::move(body)}, state_.next_offset_, now_).verdict_;
    }

    void publish_cache(std::size_t i)
    {
        auto& known = caches_[server(i)].by_model_;
        known.clear();
        auto const owners = set_.policy_ == policy::own_loads ? daemons : std::size_t{1};
        for (std::size_t owner = 0; owner < owners; ++owner) {
            for (auto const m : server_caches_[i].disk_) {
                known[model_name(m, owner)] = load_source::disk_cache;
            }
            for (auto const m : server_caches_[i].memory_) {
                known[model_name(m, owner)] = load_source::memory_cache;
            }
        }
    }

    [[nodiscard]] replica_entry const* find_loaded(std::string const& model, std::string const& adapter,
                                                   std::string& id, std::string& base_id)
    {
        for (auto const& [name, r] : state_.replicas_) {
            if (r.status_ != replica_status::loaded || r.model_ != model || r.adapter_ != adapter) {
                continue;
            }
            for (auto const& [base_name, base] : state_.replicas_) {
                if (base.upstream_ == r.upstream_ && base.model_ == model && base.adapter_.empty() &&
                    base.status_ == replica_status::loaded && slots_used_[base_name] < 8) {
                    id = name;
                    base_id = base_name;
                    return &r;
                }
            }
        }
        return nullptr;
    }

    [[nodiscard]] bool is_loaded(std::string const& model) const
    {
        return std::any_of(state_.replicas_.begin(), state_.replicas_.end(), [&](auto const& item) {
            return item.second.model_ == model && item.second.adapter_.empty() &&
                   item.second.status_ == replica_status::loaded;
        });
    }

    void accept(arrival const& a)
    {
        auto const name = name_for(a);
        auto& d = demand_[{"models", name, ""}];
        auto const* const row = find_model(state_.tables_->pools_[0], name);
        record_arrival(d, *row, now_);
        queues_[{"models", name, a.adapter_}].push_back({a, !is_loaded(name)});
        changed_ = true;
    }

    void serve()
    {
        for (auto& [key, queue] : queues_) {
            while (!queue.empty()) {
                std::string id;
                std::string base_id;
                if (find_loaded(key.model_, key.adapter_, id, base_id) == nullptr) {
                    break;
                }
                auto const& w = queue.front();
                ++load_[id];
                ++slots_used_[base_id];
                last_used_[id] = now_;
                running_.push_back({id, base_id, now_ + w.request_.service_});
                auto const wait = static_cast<double>((now_ - w.request_.at_).count_) / 1'000.0;
                result_.all_.push_back(w.cold_ ? wait : 0.0);
                if (w.cold_) {
                    result_.cold_.push_back(wait);
                    cold_starts_.emplace_back(base_id, w.request_.at_);
                }
                queue.pop_front();
                changed_ = true;
            }
        }
    }

    void finish_requests()
    {
        for (auto& r : running_) {
            if (r.ends_ <= now_) {
                --load_[r.replica_];
                --slots_used_[r.base_];
                last_used_[r.replica_] = now_;
                changed_ = true;
            }
        }
        std::erase_if(running_, [this](running const& r) { return r.ends_ <= now_; });
    }

    void move_loads()
    {
        auto const from_store = std::count_if(loading_.begin(), loading_.end(), [this](loading const& l) {
            return !l.adapter_ && l.source_ == load_source::store && l.may_start_ <= now_;
        });
        double const store_speed = from_store > 4 ? 4.0 / static_cast<double>(from_store) : 1.0;
        for (std::size_t i = 0; i < loading_.size();) {
            auto& l = loading_[i];
            bool const store = !l.adapter_ && l.source_ == load_source::store;
            if (l.may_start_ <= now_) {
                l.left_ms_ -= static_cast<double>(tick.count_) * (store ? store_speed : 1.0);
            }
            if (l.left_ms_ > 0) {
                ++i;
                continue;
            }
            write(replica_loaded{l.replica_, true});
            loaded_at_[l.replica_] = now_;
            last_used_[l.replica_] = now_;
            if (!l.adapter_) {
                server_cache::touch(server_caches_[l.server_].disk_, l.model_, 6);
                publish_cache(l.server_);
            }
            loading_.erase(loading_.begin() + static_cast<std::ptrdiff_t>(i));
            changed_ = true;
        }
    }

    void move_unloads()
    {
        for (auto const& [at, id] : releasing_) {
            if (at > now_) {
                continue;
            }
            auto const r = state_.replicas_.at(id);
            if (r.adapter_.empty()) {
                auto const s = static_cast<std::size_t>(std::atoi(r.upstream_.c_str() + 1));
                server_cache::touch(server_caches_[s].memory_, model_of(r.model_), 2);
                publish_cache(s);
            }
            write(replica_released{id, self_});
            changed_ = true;
        }
        std::erase_if(releasing_, [this](auto const& item) { return item.first <= now_; });
    }

    void gather_demand()
    {
        for (auto& [key, d] : demand_) {
            d.waiting_ = d.running_ = 0;
            d.oldest_wait_ = {};
            d.highest_ = priority::normal;
        }
        for (auto const& [key, queue] : queues_) {
            auto& d = demand_[key];
            d.waiting_ = static_cast<std::int64_t>(queue.size());
            d.oldest_wait_ = queue.empty() ? millis{} : now_ - queue.front().request_.at_;
            d.highest_ = priority::normal;
            if (!key.adapter_.empty()) {
                d.mean_interval_ = {}; // Arrivals are booked on the base model.
            }
        }
        for (auto const& r : running_) {
            auto const& entry = state_.replicas_.at(r.replica_);
            ++demand_[{"models", entry.model_, entry.adapter_}].running_;
        }
    }

    void carry_out(placement_action const& action)
    {
        auto body = std::visit([](auto const& a) { return record_body{a}; }, action);
        if (auto* const load = std::get_if<load_decided>(&body); load != nullptr) {
            auto const s = static_cast<std::size_t>(std::atoi(load->upstream_.c_str() + 1));
            auto const model = model_of(load->model_);
            bool const adapter = !load->adapter_.empty();
            if (!adapter) {
                load->source_ = server_caches_[s].source(model);
            }
            auto const decided = *load;
            if (write(body) != verdict::accepted) {
                ++result_.rejected_;
                return;
            }
            auto start = now_;
            if (!adapter) {
                ++result_.loads_;
                result_.store_loads_ += decided.source_ == load_source::store ? 1 : 0;
                if (decided.source_ == load_source::store) {
                    auto const gap = static_cast<std::int64_t>(1'000 / where_.store_starts_per_second_);
                    start = std::max(now_, last_store_start_ + millis{gap});
                    last_store_start_ = start;
                }
                auto wanted = now_;
                for (auto const& [key, queue] : queues_) {
                    if (key.model_ == decided.model_ && !queue.empty()) {
                        wanted = std::min(wanted, queue.front().request_.at_);
                    }
                }
                ideal_[decided.replica_] = {wanted, decided.source_, 0};
            }
            loading_.push_back({decided.replica_, s, model, decided.source_, adapter, start,
                                adapter ? 8.0 : static_cast<double>(load_time(decided.source_).count_)});
            return;
        }
        if (write(body) != verdict::accepted) {
            ++result_.rejected_;
        } else if (auto const* const unload = std::get_if<unload_decided>(&body)) {
            releasing_.emplace_back(now_ + millis{release_ms}, unload->replica_);
        }
    }

    void plan()
    {
        gather_demand();
        std::map<std::string, cached_weights> const no_caches;
        bool const blind = set_.policy_ == policy::least_loaded;
        fleet_state relaxed;
        if (blind) {
            // Without the source the planner cannot know which loads use the store; the fold decides.
            relaxed = state_;
            auto t = *state_.tables_;
            t.store_.checkpoint_transfers_ = 1'000;
            relaxed.tables_ = std::make_shared<tables const>(t);
        }
        auto demand = demand_;
        if (set_.policy_ != policy::planner) {
            for (auto& [key, d] : demand) {
                d.mean_interval_ = {1}; // The full idle_unload: a fixed keep-alive.
            }
        }
        placement_input const input{blind ? relaxed : state_,
                                    demand,
                                    blind ? no_caches : caches_,
                                    load_,
                                    last_used_,
                                    loaded_at_,
                                    leaving_,
                                    self_,
                                    now_};
        for (auto const& action : plan_pool(input, state_.tables_->pools_[0], next_replica_)) {
            carry_out(action);
        }
    }

    void count_idle()
    {
        for (auto const& [id, r] : state_.replicas_) {
            bool const idle =
                r.adapter_.empty() && r.status_ == replica_status::loaded && slots_used_[id] == 0;
            if (idle) {
                result_.idle_hours_ += static_cast<double>(r.memory_mb_) / static_cast<double>(vm_memory) *
                                       static_cast<double>(tick.count_) / 3'600'000.0;
            }
        }
    }

    /// Replays the loads of the run with the store as the only limit.
    void compute_bound()
    {
        std::vector<ideal_load*> order;
        for (auto& [id, l] : ideal_) {
            order.push_back(&l);
        }
        std::sort(order.begin(), order.end(),
                  [](ideal_load const* a, ideal_load const* b) { return a->wanted_ < b->wanted_; });
        std::vector<double> lanes(4, 0.0);
        double last_start = -1e9;
        for (auto* const l : order) {
            auto const wanted = static_cast<double>(l->wanted_.count_);
            auto const length = static_cast<double>(load_time(l->source_).count_);
            if (l->source_ != load_source::store) {
                l->done_ = wanted + length;
                continue;
            }
            auto const lane = std::min_element(lanes.begin(), lanes.end());
            auto const start =
                std::max({wanted, *lane, last_start + 1'000.0 / where_.store_starts_per_second_});
            last_start = start;
            *lane = l->done_ = start + length;
        }
        for (auto const& [id, at] : cold_starts_) {
            auto const wait = (ideal_[id].done_ - static_cast<double>(at.count_)) / 1'000.0;
            result_.bound_.push_back(std::max(0.0, wait));
        }
    }

    result run(std::vector<arrival> const& arrivals, millis length)
    {
        std::size_t next = 0;
        millis last_plan{};
        while (now_ < length + millis{300'000}) {
            now_ += tick;
            for (; next < arrivals.size() && arrivals[next].at_ <= now_; ++next) {
                accept(arrivals[next]);
            }
            finish_requests();
            move_loads();
            move_unloads();
            if (changed_) {
                serve();
            }
            if (changed_ || now_ - last_plan >= millis{1'000}) {
                changed_ = false;
                last_plan = now_;
                plan();
            }
            count_idle();
        }
        for (auto const& [key, queue] : queues_) {
            result_.unserved_ += static_cast<std::int64_t>(queue.size());
        }
        compute_bound();
        return result_;
    }
};

void append(std::vector<double>& to, std::vector<double> const& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

result measure(deployment const& where, settings const& set, std::uint64_t seed, millis length)
{
    result sum;
    for (std::uint64_t s = seed; s < seed + 3; ++s) {
        simulation sim{where, set, s};
        auto const r = sim.run(make_arrivals(s, length), length);
        append(sum.cold_, r.cold_);
        append(sum.all_, r.all_);
        append(sum.bound_, r.bound_);
        sum.idle_hours_ += r.idle_hours_;
        sum.loads_ += r.loads_;
        sum.store_loads_ += r.store_loads_;
        sum.unserved_ += r.unserved_;
        sum.rejected_ += r.rejected_;
    }
    return sum;
}

double mean(std::vector<double> const& values)
{
    double sum = 0;
    for (auto const v : values) {
        sum += v;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void print_row(char const* name, result const& r)
{
    std::printf("| %s | %.1f | %.1f | %.1f | %.1f | %.2f | %zu of %zu | %lld (%lld) | %.1f | %lld |\n", name,
                percentile(r.cold_, 0.5), percentile(r.cold_, 0.95), percentile(r.cold_, 0.99),
                percentile(r.all_, 0.99), mean(r.all_), r.cold_.size(), r.all_.size(),
                static_cast<long long>(r.loads_), static_cast<long long>(r.store_loads_), r.idle_hours_,
                static_cast<long long>(r.unserved_));
}

void print_head()
{
    std::printf("| | cold p50 s | p95 s | p99 s | p99 of all requests s | mean of all s | cold requests | "
                "loads (from store) | "
                "idle accelerator hours | unserved |\n|---|---|---|---|---|---|---|---|---|---|\n");
}

void report(deployment const& where, std::uint64_t seed, millis length)
{
    std::printf("\n## %s\n\n", where.name_.c_str());
    settings const ours;
    auto const planner = measure(where, ours, seed, length);
    auto own = ours;
    own.policy_ = policy::own_loads;
    auto blind = ours;
    blind.policy_ = policy::least_loaded;
    print_head();
    print_row("auburnchute", planner);
    print_row("(a) every daemon loads for itself", measure(where, own, seed, length));
    print_row("(b) least loaded, caches disregarded", measure(where, blind, seed, length));
    std::printf("| bound set by the store for auburnchute's loads | %.1f | %.1f | %.1f | | | | | | |\n",
                percentile(planner.bound_, 0.5), percentile(planner.bound_, 0.95),
                percentile(planner.bound_, 0.99));
    std::printf("\nFixed keep-alive:\n\n");
    print_head();
    for (std::int64_t const s : {20, 60, 120, 180, 240, 300, 450, 600, 900}) {
        auto fixed = ours;
        fixed.policy_ = policy::fixed_keep_alive;
        fixed.idle_unload_ = {s * 1'000};
        print_row(("fixed " + std::to_string(s) + " s").c_str(), measure(where, fixed, seed, length));
    }
    std::printf(
        "\nTable settings (others as above: idle_unload_ms 300000, min_replicas 0, max_replicas 3):\n\n");
    print_head();
    for (std::int64_t const s : {60, 600, 1'200}) {
        auto changed = ours;
        changed.idle_unload_ = {s * 1'000};
        print_row(("idle_unload_ms " + std::to_string(s * 1'000)).c_str(),
                  measure(where, changed, seed, length));
    }
    auto changed = ours;
    changed.min_replicas_ = 1;
    print_row("min_replicas 1 for the six busiest models", measure(where, changed, seed, length));
    for (std::int64_t const max : {1, 2}) {
        changed = ours;
        changed.max_replicas_ = max;
        print_row(("max_replicas " + std::to_string(max)).c_str(), measure(where, changed, seed, length));
    }
}

} // namespace

int main(int argc, char** argv)
{
    auto const seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    auto const hours = argc > 2 ? std::strtoll(argv[2], nullptr, 10) : 4;
    millis const length{hours * 3'600'000};
    std::vector<deployment> const all{
        {"Plumavera", 9, 1.5, {"occ-a", "occ-b", "occ-c"}},
        {"Jheelpath", 12, 3.0, {"bengal-east-a", "bengal-east-b", "bengal-east-c"}}};
    for (auto const& where : all) {
        if (argc <= 3 || where.name_ == argv[3]) {
            report(where, seed, length);
        }
    }
}
