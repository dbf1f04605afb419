#include <auburnchute/limit_order.hpp>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string_view>
#include <vector>

using namespace auburnchute;

namespace {

/// One kind of request of a workspace.
struct kind {
    std::string_view name_;
    std::int64_t urgency_;
    double units_;
    int weight_; ///< Requests of a thousand.
};

/// Of a workspace in a peak: quick questions and plain calls are half of the requests, but take a tenth of
/// the units.
constexpr std::array kinds{kind{"quick", 0, 1'100, 217}, kind{"batch", 1, 9'240, 314},
                           kind{"review", 2, 9'240, 216}, kind{"plain", 3, 200, 253}};

struct served {
    std::array<double, kinds.size()> part_{}; ///< Of the requests of each kind.
    double mean_{};
    double units_{};
    double most_in_window_{};
    double longest_wait_ms_{}; ///< Told to a refused caller.
    double mean_wait_ms_{};    ///< The same on the mean.
};

constexpr double rate = 220'000;
constexpr double burst = 400'000;
constexpr std::int64_t window_ms = 8'000;
/// Limit of the platform over 8 s: a tenth above rate and burst, and 110,000 tokens more.
constexpr double allowed_in_window = (rate * 8 + burst) * 1.1 + 110'000;

struct peak {
    std::size_t vms_;
    millis delay_;
    double times_rate_;
    bool by_class_{true}; ///< Else by the same draw for all.
};

/// The draw for all.
limit_verdict former(shared_bucket& bucket, bucket_request const& request, millis now)
{
    limit_verdict verdict;
    verdict.admitted_ = try_spend(bucket, request, now);
    return verdict;
}

/// Plays a workspace whose requests arrive at VMs at random; the VMs hear of each after a delay. It asks for
/// less than its rate for 8 s, then for a multiple for 24 s, of which the last 20 s count: in the first the
/// VMs learn of it.
served play(peak const& of, int seed)
{
    constexpr std::int64_t peak_from_ms = 8'000;
    constexpr std::int64_t counted_from_ms = 12'000;
    constexpr std::int64_t length_ms = 32'000;
    constexpr double times_before = 0.8;
    struct report {
        std::int64_t at_;
        std::size_t vm_;
        double used_;
        double asked_;
    };
    shared_bucket fresh;
    set_limit(fresh, rate, burst, millis{1});
    std::vector<shared_bucket> replicas(of.vms_, fresh);
    std::vector<limit_order> orders(of.vms_);
    std::vector<report> reports;
    std::size_t heard = 0;
    std::vector<std::pair<std::int64_t, double>> spent;
    std::mt19937_64 random{static_cast<unsigned>(seed)};
    std::array<int, kinds.size()> asked{};
    std::array<int, kinds.size()> admitted{};
    double mean_units = 0;
    for (auto const& kind : kinds) {
        mean_units += kind.units_ * kind.weight_ / 1'000;
    }
    auto const per_ms = rate * of.times_rate_ / mean_units / 1'000;
    std::exponential_distribution<double> gap;
    std::discrete_distribution<std::size_t> any_kind{{double{kinds[0].weight_}, double{kinds[1].weight_},
                                                      double{kinds[2].weight_}, double{kinds[3].weight_}}};
    served result;
    int refused = 0;
    for (double clock = 1; clock < length_ms;
         clock += gap(random) / per_ms * (clock < peak_from_ms ? of.times_rate_ / times_before : 1)) {
        auto const at = static_cast<std::int64_t>(clock);
        for (; heard < reports.size() && reports[heard].at_ + of.delay_.count_ <= at; ++heard) {
            for (std::size_t vm = 0; vm < of.vms_; ++vm) {
                if (vm != reports[heard].vm_) {
                    auto const then = millis{reports[heard].at_ + of.delay_.count_};
                    charge_units(replicas[vm], reports[heard].used_, {}, then);
                    record_peer_demand(replicas[vm], reports[heard].asked_, then);
                }
            }
        }
        auto const vm = random() % of.vms_;
        auto const which = any_kind(random);
        auto const& kind = kinds[which];
        bucket_request const request{
            kind.units_, {}, of.delay_, static_cast<double>(random() % 10'000) / 10'000};
        auto const verdict =
            of.by_class_ ? spend_in_order(orders[vm], replicas[vm], request, kind.urgency_, millis{at})
                         : former(replicas[vm], request, millis{at});
        bool const counts = at >= counted_from_ms;
        asked[which] += counts ? 1 : 0;
        admitted[which] += counts && verdict.admitted_ ? 1 : 0;
        reports.push_back({at, vm, verdict.admitted_ ? kind.units_ : 0, kind.units_});
        if (verdict.admitted_) {
            spent.emplace_back(at, kind.units_);
            result.units_ += counts ? kind.units_ : 0;
        } else {
            auto const wait = static_cast<double>(verdict.retry_after_.count_);
            result.longest_wait_ms_ = std::max(result.longest_wait_ms_, wait);
            result.mean_wait_ms_ += wait;
            ++refused;
        }
    }
    double in_window = 0;
    for (std::size_t end = 0, begin = 0; end < spent.size(); ++end) {
        in_window += spent[end].second;
        for (; spent[begin].first + window_ms <= spent[end].first; ++begin) {
            in_window -= spent[begin].second;
        }
        result.most_in_window_ = std::max(result.most_in_window_, in_window);
    }
    double all_asked = 0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        result.part_[i] = static_cast<double>(admitted[i]) / asked[i];
        result.mean_ += admitted[i];
        all_asked += asked[i];
    }
    result.mean_ /= all_asked;
    result.mean_wait_ms_ /= std::max(1, refused);
    return result;
}

/// Adds the result of one of some seeds: the mean of what is served, and the most in a window.
void add(served& sum, served const& of, int seeds)
{
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        sum.part_[i] += of.part_[i] / seeds;
    }
    sum.mean_ += of.mean_ / seeds;
    sum.units_ += of.units_ / seeds;
    sum.most_in_window_ = std::max(sum.most_in_window_, of.most_in_window_);
    sum.longest_wait_ms_ = std::max(sum.longest_wait_ms_, of.longest_wait_ms_);
    sum.mean_wait_ms_ += of.mean_wait_ms_ / seeds;
}

} // namespace

// Guards against quick questions and plain calls that are refused as often as large, less urgent requests,
// when a workspace asks for several times its limit (issue 45: psm-frota-grown, trouble-3, a workspace with
// 2,344 refusals); against a class that starves behind them, and against more or fewer units than the limit.
TEST_CASE("a crowded workspace's limit goes to urgent and small requests first", "[limit-order]")
{
    for (auto const& row :
         {peak{1, millis{0}, 3.0}, peak{1, millis{0}, 5.0}, peak{9, millis{230}, 3.0},
          peak{9, millis{230}, 5.0}, peak{75, millis{600}, 3.0}, peak{75, millis{600}, 5.0}}) {
        auto former = row;
        former.by_class_ = false;
        served got;
        served before;
        constexpr int seeds = 3;
        for (int seed = 1; seed <= seeds; ++seed) {
            add(got, play(row, seed), seeds);
            add(before, play(former, seed), seeds);
        }
        CAPTURE(row.vms_, row.times_rate_, got.part_, got.mean_, got.units_, before.part_, before.units_,
                got.most_in_window_, before.most_in_window_, got.longest_wait_ms_, got.mean_wait_ms_);
        CHECK(got.part_[0] >= 0.95);
        CHECK(got.part_[3] >= 0.95);
        CHECK(got.part_[1] >= got.part_[2] - 0.05);
        for (auto const part : got.part_) {
            CHECK(part >= got.mean_ / 4);
        }
        CHECK(got.most_in_window_ <= allowed_in_window);
        CHECK(got.units_ >= 0.98 * before.units_);
    }
}

// Guards against all VMs spending at once when the links between them are back: none of them knew the demand
// then, and a workspace got 2,638,820 of 2,291,940 units in 8 s (seen on psm-frota-grown, trouble-3, QUOTA).
TEST_CASE("a VM that was cut off expects the demand from before", "[limit-order]")
{
    struct row {
        double heard_; ///< Part of the members, from 5 s to 8 s.
        millis at_;    ///< All members are heard again from 8 s on.
        bool expected_;
    };
    for (auto const& row :
         {row{0.01, millis{8'300}, true}, row{0.01, millis{12'000}, false}, row{1.0, millis{8'300}, false}}) {
        CAPTURE(row.heard_, row.at_.count_);
        shared_bucket bucket;
        limit_order order;
        set_limit(bucket, rate, burst, millis{1});
        bucket_request request{1'000, {}, millis{600}, 0.5};
        for (std::int64_t at = 100; at < 5'000; at += 100) {
            record_peer_demand(bucket, rate / 2, millis{at}); // five times the rate
            (void)spend_in_order(order, bucket, request, 1, millis{at});
        }
        request.visibility_.share_ = row.heard_;
        for (std::int64_t at = 5'000; at < 8'000; at += 500) {
            (void)spend_in_order(order, bucket, request, 1, millis{at});
        }
        request.visibility_.share_ = 1.0;
        auto const verdict = spend_in_order(order, bucket, request, 1, row.at_);
        CHECK((verdict.demand_ > 3 * rate) == row.expected_);
    }
}
