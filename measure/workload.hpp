#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/tables.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// \file Arrivals of section 1.3 of the design and an event loop on manual time, shared by the measurements.
namespace auburnchute::measure {

/// \brief One of the deployments of section 1.3. Shares and sizes that the section leaves open are assumed
/// here.
struct deployment {
    std::string name_;
    std::int64_t model_servers_;
    std::int64_t entries_;
    millis one_way_;                        ///< Between zones, rounded up to whole milliseconds.
    std::array<double, 5> workspace_share_; ///< Part of the requests: a few large workspaces.
    std::array<double, 5> long_share_;      ///< Part of a workspace's requests that are reviews or proposals.
};

inline std::vector<deployment> deployments()
{
    return {{"Plumavera", 9, 9, {1}, {0.4, 0.3, 0.15, 0.1, 0.05}, {0.3, 0.3, 0.2, 0.4, 0.3}},
            {"Jheelpath", 12, 9, {2}, {0.35, 0.35, 0.15, 0.1, 0.05}, {0.2, 0.2, 0.3, 0.1, 0.2}}};
}

inline constexpr std::int64_t slots_per_server = 8;
inline constexpr std::int64_t millis_per_token = 53;

/// \brief A request as the arrivals produce it.
struct arrival {
    millis at_{};
    int workspace_{};
    bool long_{}; ///< A review or proposal; otherwise a quick question.
    std::int64_t prompt_{};
    std::int64_t max_tokens_{};
    std::int64_t output_{}; ///< Tokens that will be produced.
    double caller_{};       ///< Uniform in [0, 1): which of the workspace's callers.

    [[nodiscard]] std::int64_t reserved() const { return prompt_ + max_tokens_; }
    [[nodiscard]] std::int64_t used() const { return prompt_ + output_; }
    [[nodiscard]] millis service() const { return {output_ * millis_per_token + prompt_ / 10}; }
};

inline arrival draw(std::mt19937_64& random, deployment const& where, int workspace, millis at)
{
    std::uniform_real_distribution<double> uniform;
    arrival a;
    a.at_ = at;
    a.workspace_ = workspace;
    a.long_ = uniform(random) < where.long_share_[static_cast<std::size_t>(workspace)];
    a.prompt_ = a.long_ ? 2'000 + static_cast<std::int64_t>(uniform(random) * 2'000)
                        : 200 + static_cast<std::int64_t>(uniform(random) * 400);
    a.max_tokens_ = a.long_ ? 1'500 : 300;
    a.output_ = static_cast<std::int64_t>(static_cast<double>(a.max_tokens_) * (0.2 + 0.8 * uniform(random)));
    a.caller_ = uniform(random);
    return a;
}

/// \brief Mean service time of all requests, by sampling.
inline double mean_service(deployment const& where)
{
    std::mt19937_64 random{1};
    std::discrete_distribution<int> pick(where.workspace_share_.begin(), where.workspace_share_.end());
    double sum = 0;
    for (int i = 0; i < 20'000; ++i) {
        sum += static_cast<double>(draw(random, where, pick(random), {}).service().count_);
    }
    return sum / 20'000;
}

/// \brief Mean tokens used by a request of a workspace, by sampling.
inline double mean_used(deployment const& where, int workspace)
{
    std::mt19937_64 random{2};
    double sum = 0;
    for (int i = 0; i < 20'000; ++i) {
        sum += static_cast<double>(draw(random, where, workspace, {}).used());
    }
    return sum / 20'000;
}

/// \brief Requests per second of all workspaces that keep the given part of all slots busy.
inline double request_rate(deployment const& where, double utilisation)
{
    return utilisation * static_cast<double>(where.model_servers_ * slots_per_server) / mean_service(where) *
           1'000;
}

/// \brief Poisson arrivals whose rate changes between 0.7 and 1.6 times the mean, for each workspace alone.
/// \param flood Workspace that sends `factor` times as much; -1: none.
inline std::vector<arrival> make_arrivals(deployment const& where, double requests_per_second, millis length,
                                          int flood, double factor, std::uint64_t seed)
{
    std::vector<arrival> all;
    for (int w = 0; w < 5; ++w) {
        // Each workspace has its own generator, so that a flood changes nothing for the others.
        std::mt19937_64 random{seed * 100 + static_cast<std::uint64_t>(w)};
        std::exponential_distribution<double> exponential;
        auto const mean = requests_per_second * where.workspace_share_[static_cast<std::size_t>(w)] *
                          (w == flood ? factor : 1.0);
        double at = 0;
        double until = 0;
        bool busy = false;
        while (at < static_cast<double>(length.count_)) {
            if (at >= until) {
                busy = !busy;
                until = at + exponential(random) * (busy ? 60'000 : 120'000);
            }
            at += exponential(random) / (mean * (busy ? 1.6 : 0.7)) * 1'000;
            all.push_back(draw(random, where, w, {static_cast<std::int64_t>(at)}));
        }
    }
    std::stable_sort(all.begin(), all.end(), [](auto const& a, auto const& b) { return a.at_ < b.at_; });
    return all;
}

/// \brief Runs actions in order of time; equal times run in the order in which they were added.
class event_loop {
public:
    void at(millis time, std::function<void()> action) { events_.push({time, next_++, std::move(action)}); }

    [[nodiscard]] millis now() const { return now_; }

    void run()
    {
        while (!events_.empty()) {
            auto event = std::move(const_cast<entry&>(events_.top()));
            events_.pop();
            now_ = event.time_;
            event.action_();
        }
    }

private:
    struct entry {
        millis time_;
        std::uint64_t order_;
        std::function<void()> action_;
        bool operator<(entry const& other) const
        {
            return time_ != other.time_ ? other.time_ < time_ : other.order_ < order_;
        }
    };
    std::priority_queue<entry> events_;
    millis now_{};
    std::uint64_t next_{};
};

} // namespace auburnchute::measure
