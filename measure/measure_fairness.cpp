// Measures the waiting time of the worst-served workspace and the spread of requests with stale load reports.
#include "workload.hpp"

#include <auburnchute/admission.hpp>
#include <auburnchute/rate_share.hpp>
#include <auburnchute/routing.hpp>

#include <cstdio>
#include <deque>
#include <map>

namespace {

using namespace auburnchute;
using namespace auburnchute::measure;

constexpr std::uint64_t seed = 20261204;
constexpr millis length{4 * 3'600'000};

enum class order { fair, first_in_first_out, strict_priority };

struct setting {
    order order_{order::fair};
    double utilisation_{0.85};
    int flood_{-1};
    bool limited_{true}; ///< Each workspace is held to its rate before the queue.
    millis aging_{10'000};
    std::int64_t flood_weight_{1};
};

struct result {
    std::array<double, 5> p99_{};
    std::array<double, 5> late_{}; ///< Part of the requests past the limit step that were not served in time.
    double long_p99_{};
    double worst_over_median_{};
    double others_over_median_{}; ///< The same, of the workspaces that do not flood.
};

std::optional<waiting_request> take(wait_queue& queue, order how, millis now)
{
    if (how == order::fair) {
        return take_next(queue, "m", now);
    }
    std::optional<std::size_t> best;
    auto const rank = [&](waiting_request const& r) {
        return std::pair{how == order::strict_priority ? static_cast<int>(r.priority_) : 0, r.ticket_};
    };
    for (std::size_t i = 0; i < queue.waiting_.size(); ++i) {
        if (queue.waiting_[i].deadline_ > now &&
            (!best || rank(queue.waiting_[i]) < rank(queue.waiting_[*best]))) {
            best = i;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    auto taken = queue.waiting_[*best];
    queue.waiting_.erase(queue.waiting_.begin() + static_cast<std::ptrdiff_t>(*best));
    return taken;
}

double percentile(std::vector<double>& values, double part)
{
    if (values.empty()) {
        return 0;
    }
    auto const at = static_cast<std::size_t>(static_cast<double>(values.size() - 1) * part);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

double median(std::vector<double> values)
{
    return percentile(values, 0.5);
}

result run(deployment const& where, setting const& set)
{
    auto const rate = request_rate(where, set.utilisation_);
    auto const arrivals = make_arrivals(where, rate, length, set.flood_, 5.0, seed);
    std::array<rate_bucket, 5> buckets;
    for (int w = 0; w < 5; ++w) {
        auto const i = static_cast<std::size_t>(w);
        auto const per_second =
            static_cast<std::int64_t>(rate * where.workspace_share_[i] * mean_used(where, w) * 1.5);
        set_limits(buckets[i], per_second, std::max<std::int64_t>(per_second * 60, 20'000), {});
        begin_version(buckets[i], 1, total_share_units, {});
        buckets[i].tokens_ = buckets[i].burst_ * 1'000;
    }
    event_loop loop;
    wait_queue queue;
    queue.aging_ = set.aging_;
    auto free_slots = where.model_servers_ * slots_per_server;
    double const served_per_second = static_cast<double>(free_slots) / mean_service(where) * 1'000;
    std::array<std::vector<double>, 5> waits;
    std::vector<double> long_waits;
    std::array<double, 5> asked{};
    std::array<double, 5> late{};
    auto const book_late = [&](waiting_request const& r) {
        auto const w = static_cast<std::size_t>(arrivals[r.ticket_].workspace_);
        late[w] += 1;
        // A request that was not served counts with its whole deadline.
        waits[w].push_back(static_cast<double>((r.deadline_ - r.arrived_).count_));
    };
    std::function<void()> start = [&] {
        for (auto const& r : take_expired(queue, loop.now())) {
            book_late(r);
        }
        while (free_slots > 0) {
            auto const taken = take(queue, set.order_, loop.now());
            if (!taken) {
                return;
            }
            --free_slots;
            auto const& a = arrivals[taken->ticket_];
            auto const w = static_cast<std::size_t>(a.workspace_);
            auto const waited = static_cast<double>((loop.now() - a.at_).count_);
            waits[w].push_back(waited);
            if (a.long_) {
                long_waits.push_back(waited);
            }
            loop.at(loop.now() + a.service(), [&, w] {
                produce(buckets[w], a.used(), loop.now());
                release(buckets[w], a.reserved() - a.used(), loop.now());
                ++free_slots;
                start();
            });
        }
    };
    for (std::size_t n = 0; n < arrivals.size(); ++n) {
        loop.at(arrivals[n].at_, [&, n] {
            auto const& a = arrivals[n];
            auto const w = static_cast<std::size_t>(a.workspace_);
            if (!reserve(buckets[w], a.reserved(), loop.now())) {
                if (set.limited_) {
                    return;
                }
                // Without limits the bucket only keeps its books.
                buckets[w].outstanding_ += a.reserved() * 1'000;
            }
            asked[w] += 1;
            waiting_request r{n,
                              "w" + std::to_string(w),
                              a.workspace_ == set.flood_ ? set.flood_weight_ : 1,
                              "m",
                              a.long_ ? priority::high : priority::normal,
                              a.reserved(),
                              a.at_,
                              a.at_ + millis{a.long_ ? 60'000 : 30'000}};
            if (set.order_ != order::fair) {
                queue.waiting_.push_back(r);
            } else if (enqueue(queue, r, {{}, free_slots > 0 ? 0 : served_per_second}, loop.now()) !=
                       enqueue_verdict::queued) {
                book_late(r);
                release(buckets[w], a.reserved(), loop.now());
                return;
            }
            start();
        });
    }
    loop.run();
    result r;
    std::vector<double> others;
    for (std::size_t w = 0; w < 5; ++w) {
        r.p99_[w] = percentile(waits[w], 0.99);
        r.late_[w] = asked[w] > 0 ? late[w] / asked[w] : 0;
        if (static_cast<int>(w) != set.flood_) {
            others.push_back(r.p99_[w]);
        }
    }
    r.long_p99_ = percentile(long_waits, 0.99);
    auto const middle = median({r.p99_.begin(), r.p99_.end()});
    r.worst_over_median_ = *std::max_element(r.p99_.begin(), r.p99_.end()) / middle;
    r.others_over_median_ = *std::max_element(others.begin(), others.end()) / middle;
    return r;
}

void print_row(char const* name, result const& r)
{
    std::printf("| %s |", name);
    for (auto const p : r.p99_) {
        std::printf(" %.1f |", p / 1'000);
    }
    std::printf(" %.2f | %.2f | %.1f | %.2f%% |\n", r.worst_over_median_, r.others_over_median_,
                r.long_p99_ / 1'000, 100 * *std::max_element(r.late_.begin(), r.late_.end()));
}

void print_head()
{
    std::puts("| setting | w1 p99 s | w2 | w3 | w4 | w5 | worst / median | worst of the others / median | "
              "long requests p99 s | most not served in time |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|");
}

/// The highest load above the mean over all upstreams; see tests/coordination/routing_test.cpp.
std::int64_t largest_overload(bool sampled, std::int64_t senders, std::size_t upstreams, int report_age)
{
    constexpr std::size_t daemons = 9;
    constexpr int service = 2'000;
    std::mt19937_64 random{seed};
    std::vector<std::string> names;
    for (std::size_t u = 0; u < upstreams; ++u) {
        names.push_back("gpu-" + std::to_string(u));
    }
    std::vector<std::deque<int>> running(upstreams);
    std::vector<std::vector<std::int64_t>> own(daemons, std::vector<std::int64_t>(upstreams));
    std::vector<std::int64_t> report(upstreams);
    std::int64_t worst = 0;
    for (int now = 0; now < 600'000; now += 10) {
        std::int64_t total = 0;
        std::int64_t highest = 0;
        for (auto& ends : running) {
            while (!ends.empty() && ends.front() <= now) {
                ends.pop_front();
            }
            total += static_cast<std::int64_t>(ends.size());
            highest = std::max(highest, static_cast<std::int64_t>(ends.size()));
        }
        worst = std::max(worst, highest - total / static_cast<std::int64_t>(upstreams));
        if (now % report_age == 0) {
            for (std::size_t u = 0; u < upstreams; ++u) {
                report[u] = static_cast<std::int64_t>(running[u].size());
            }
            for (auto& sent : own) {
                std::fill(sent.begin(), sent.end(), 0);
            }
        }
        auto const d = random() % daemons;
        std::vector<routing_candidate> candidates;
        for (std::size_t u = 0; u < upstreams; ++u) {
            candidates.push_back({names[u], "a", report[u], own[d][u], 64});
        }
        std::size_t chosen = 0;
        if (sampled) {
            routing_request request{random(), random(), "a", false, false, {}, senders};
            chosen = pick_upstream(candidates, request).value_or(0);
        } else {
            for (std::size_t u = 1; u < upstreams; ++u) {
                if (report[u] + own[d][u] < report[chosen] + own[d][chosen]) {
                    chosen = u;
                }
            }
        }
        running[chosen].push_back(now + service);
        ++own[d][chosen];
    }
    return worst;
}

} // namespace

int main()
{
    std::printf("# Waiting time of the worst-served workspace\n\n");
    std::printf(
        "Command: `build/measure_fairness`, seed %llu. Four hours of arrivals on manual time over "
        "`enqueue`, `take_next` and `pick_upstream`; one queue, 8 slots a server, 53 ms a token. A request "
        "that is not served in time counts with its whole deadline. The workspaces send 40, 30, 15, 10 and "
        "5%% (Plumavera) or 35, 35, 15, 10 and 5%% (Jheelpath) of the requests. Each workspace's rate is "
        "1.5 times its mean use and its burst 60 s of the rate.\n",
        static_cast<unsigned long long>(seed));
    for (auto const& where : deployments()) {
        std::printf("\n## %s\n\n", where.name_.c_str());
        std::map<std::string, double> calm;
        for (int const flood : {-1, 0, 2}) {
            for (bool const limited : {true, false}) {
                if (flood < 0 && !limited) {
                    continue;
                }
                if (flood < 0) {
                    std::puts("All workspaces at their usual use, 85% of the slots busy:\n");
                } else {
                    std::printf("\nw%d at five times its use, %s:\n\n", flood + 1,
                                limited ? "limits on" : "limits off (the queue alone)");
                }
                print_head();
                for (auto const& [name, how] : {std::pair{"fair queue", order::fair},
                                                std::pair{"first in, first out", order::first_in_first_out},
                                                std::pair{"strict priority", order::strict_priority}}) {
                    setting set;
                    set.order_ = how;
                    set.flood_ = flood;
                    set.limited_ = limited;
                    auto const r = run(where, set);
                    print_row(name, r);
                    if (flood < 0) {
                        calm[name] = r.worst_over_median_;
                    } else if (how == order::fair) {
                        std::printf("| ratio to calm (aim: at most 1.2) | | | | | | %.2f | %.2f | | |\n",
                                    r.worst_over_median_ / calm[name], r.others_over_median_ / calm[name]);
                    }
                }
            }
        }
        std::puts("\nTable setting `aging_ms` (pools row), w1 at five times its use, limits on:\n");
        print_head();
        for (auto const aging : {2'000, 5'000, 10'000, 20'000, 60'000}) {
            setting set;
            set.flood_ = 0;
            set.aging_ = {aging};
            print_row(("aging_ms " + std::to_string(aging)).c_str(), run(where, set));
        }
        std::puts("\nTable setting `weight` of w1 (workspaces row), w1 at five times its use, limits on:\n");
        print_head();
        for (auto const weight : {1, 2, 4, 8}) {
            setting set;
            set.flood_ = 0;
            set.flood_weight_ = weight;
            print_row(("weight " + std::to_string(weight)).c_str(), run(where, set));
        }
    }
    std::puts("\n## Spread with stale load reports\n");
    std::puts(
        "Nine daemons, 100 requests/s of 2 s each, all reports taken together. The figure is the highest "
        "load that any upstream had above the mean of all.\n");
    std::puts(
        "| upstreams (mean load) | report age | sampled, others' requests counted | sampled, own only | "
        "least loaded, own only |");
    std::puts("|---|---|---|---|---|");
    for (std::size_t const upstreams : {9U, 12U}) {
        for (int const age : {500, 1'000, 2'000}) {
            std::printf("| %zu (%zu) | %.1f s | +%lld | +%lld | +%lld |\n", upstreams, 200 / upstreams,
                        age / 1'000.0, static_cast<long long>(largest_overload(true, 9, upstreams, age)),
                        static_cast<long long>(largest_overload(true, 1, upstreams, age)),
                        static_cast<long long>(largest_overload(false, 1, upstreams, age)));
        }
    }
}
