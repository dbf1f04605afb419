#include <auburnchute/shared_bucket.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>
#include <vector>

using namespace auburnchute;

namespace {

shared_bucket bucket_of(double rate, double burst)
{
    shared_bucket bucket;
    set_limit(bucket, rate, burst, millis{0});
    return bucket;
}

} // namespace

// Guards against admission above rate and burst, and against refusals below them.
TEST_CASE("a bucket admits the burst and then the rate", "[bucket][promise-7]")
{
    struct row {
        millis at_;
        double units_;
        double share_;
        bool admitted_;
    };
    auto bucket = bucket_of(100, 500);
    auto const rows = std::vector<row>{
        {millis{0}, 400, 1.0, true},     {millis{0}, 200, 1.0, false},    {millis{1'000}, 200, 1.0, true},
        {millis{1'000}, 1, 1.0, false},  {millis{1'500}, 50, 1.0, true},  {millis{10'000}, 900, 1.0, true},
        {millis{10'000}, 1, 1.0, false}, {millis{14'000}, 1, 1.0, false}, {millis{14'100}, 5, 1.0, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.at_.count_, row.units_);
        CHECK(try_spend(bucket, {row.units_, {row.share_}}, row.at_) == row.admitted_);
    }
}

// Guards against a VM that spends the whole rate during a partition from half of the members.
TEST_CASE("a VM that receives from half of the members spends half of the rate and burst",
          "[bucket][promise-7]")
{
    auto bucket = bucket_of(100, 500);
    REQUIRE(try_spend(bucket, {250, {0.5}}, millis{0}));
    CHECK_FALSE(try_spend(bucket, {1, {0.5}}, millis{0}));
    CHECK_FALSE(try_spend(bucket, {110, {0.5}}, millis{2'000}));
    CHECK(try_spend(bucket, {110, {0.5}}, millis{2'200}));
}

// Guards against refusals after a short partition because a VM keeps the small share that it had in it.
TEST_CASE("a VM that receives from all members again spends from the whole bucket", "[bucket][promise-7]")
{
    auto bucket = bucket_of(100, 500);
    REQUIRE(try_spend(bucket, {40, {0.1}}, millis{100}));
    CHECK_FALSE(try_spend(bucket, {20, {0.1}}, millis{100}));
    charge_units(bucket, 100, {0.1}, millis{100}); // spent by the peers meanwhile
    CHECK(try_spend(bucket, {360, {1.0}}, millis{100}));
    CHECK_FALSE(try_spend(bucket, {1, {1.0}}, millis{100}));
}

// Guards against a refill after the charge of a peer's use: a VM without own requests of a workspace then
// credited refill for the time in which its bucket was full, admitted a second burst, and reported a level
// far below zero to restarted VMs (seen on plumavera-gdl-large, trouble-2 and trouble-3).
TEST_CASE("a bucket without local requests tracks what its peers spend", "[bucket][promise-7]")
{
    struct row {
        millis spent_at_;
        double spent_;
        double left_; ///< Level at 10 s.
    };
    for (auto const& row : {row{millis{10'000}, 500, 0}, row{millis{9'000}, 500, 100},
                            row{millis{5'000}, 500, 500}, row{millis{10'000}, 700, -200}}) {
        CAPTURE(row.spent_at_.count_, row.spent_);
        auto bucket = bucket_of(100, 500);
        charge_units(bucket, row.spent_, {1.0}, row.spent_at_);
        refill(bucket, {1.0}, millis{10'000});
        CHECK(bucket.level_ == Approx(row.left_));
    }
}

// Guards against an underestimate of the peers' demand right after the first messages, with which all VMs
// spend concurrently.
TEST_CASE("the demand at peers is estimated within their first messages", "[bucket]")
{
    for (auto const received_for : {millis{400}, millis{1'000}, millis{5'000}, millis{60'000}}) {
        CAPTURE(received_for.count_);
        auto bucket = bucket_of(100, 500);
        auto now = millis{10'000};
        for (millis received{0}; received < received_for; received += millis{100}, now += millis{100}) {
            record_peer_demand(bucket, 60, now); // 600 units a second
        }
        CHECK(peer_demand_rate(bucket, now) == Approx(600).epsilon(0.15));
    }
}

// Guards against a lowered limit that admits the old burst, and against a limit of 0 that refuses.
TEST_CASE("a lower limit takes effect at once, and no limit admits everything", "[bucket]")
{
    auto bucket = bucket_of(100, 500);
    set_limit(bucket, 10, 20, millis{0});
    REQUIRE(try_spend(bucket, {20, {1.0}}, millis{0}));
    CHECK_FALSE(try_spend(bucket, {20, {1.0}}, millis{0}));
    auto unlimited = bucket_of(0, 0);
    CHECK(try_spend(unlimited, {1e9, {1.0}}, millis{0}));
}

// Guards against a retry-after time at which the bucket refuses the request again.
TEST_CASE("the reported wait suffices for a refused request", "[bucket]")
{
    auto bucket = bucket_of(100, 500);
    REQUIRE(try_spend(bucket, {500, {1.0}}, millis{0}));
    auto const wait = time_until_available(bucket, 50, 1.0);
    CHECK(wait == millis{500});
    CHECK(try_spend(bucket, {50, {1.0}}, wait));
}

// Guards against unbounded excess over rate and burst when several VMs spend within the propagation delay:
// it stays below what they spend in that time, and later requests pay for it.
TEST_CASE("replicas of a bucket exceed the limit at most by the use within the delay", "[bucket][promise-7]")
{
    CHECK(rc::check([] {
        constexpr int vms = 5;
        constexpr std::int64_t delay = 200;
        std::vector<shared_bucket> replicas(vms, bucket_of(1'000, 2'000));
        struct use {
            int vm_;
            std::int64_t at_;
            double units_;
        };
        std::vector<use> in_flight;
        double total = 0;
        auto const end = *rc::gen::inRange<std::int64_t>(5'000, 20'000);
        for (std::int64_t at = 0; at < end; at += 50) {
            std::erase_if(in_flight, [&](use const& spent) {
                if (at - spent.at_ < delay) {
                    return false;
                }
                for (int vm = 0; vm < vms; ++vm) {
                    if (vm != spent.vm_) {
                        charge_units(replicas[static_cast<std::size_t>(vm)], spent.units_, {1.0}, millis{at});
                    }
                }
                return true;
            });
            auto const vm = *rc::gen::inRange(0, vms);
            auto const units = static_cast<double>(*rc::gen::inRange(1, 400));
            if (try_spend(replicas[static_cast<std::size_t>(vm)], {units, {1.0}, millis{delay}},
                          millis{at})) {
                total += units;
                in_flight.push_back({vm, at, units});
            }
        }
        auto const limit = 2'000.0 + static_cast<double>(end);
        RC_ASSERT(total <= limit + 400.0 * (static_cast<double>(delay) / 50.0));
    }));
}

// Guards against a restarted VM that ignores a reported level, or exceeds the burst with it.
TEST_CASE("a VM that may have missed updates adopts the reported level", "[bucket]")
{
    struct row {
        std::vector<double> reported_;
        double expected_;
    };
    for (auto const& row : {row{{}, 250}, row{{320}, 320}, row{{30}, 30}, row{{900}, 500}, row{{-40}, -40},
                            row{{30, 320}, 320}}) {
        CAPTURE(row.reported_);
        auto bucket = bucket_of(100, 500);
        set_restart_level(bucket, 1.0);
        for (auto const level : row.reported_) {
            adopt_level(bucket, level, {1.0}, millis{0});
        }
        CHECK(bucket.level_ == row.expected_);
    }
}

// Guards against all VMs spending as soon as their replicas refill: with requests for several times its rate
// at 65 VMs, a workspace got a fifth more than rate and burst (seen on plumavera-gdl-grown, trouble-3,
// QUOTA).
TEST_CASE("a workspace gets its rate, and hardly more, from any number of VMs", "[bucket][promise-7]")
{
    struct row {
        std::size_t vms_;
        millis delay_;
        double times_rate_;
    };
    constexpr double rate = 150'000;
    constexpr double burst = 200'000;
    constexpr double request_units = 9'000;
    // Limit of the platform over 8 s: a tenth above rate and burst, and 110,000 tokens more.
    constexpr std::int64_t window = 8'000;
    constexpr double allowed = (rate * 8 + burst) * 1.1 + 110'000;
    for (auto const& row : {row{9, millis{230}, 7.5}, row{65, millis{580}, 6.0}, row{88, millis{720}, 7.5},
                            row{300, millis{1'990}, 3.0}, row{65, millis{580}, 0.8}}) {
        CAPTURE(row.vms_, row.times_rate_);
        struct use_report {
            std::int64_t at_;
            std::size_t vm_;
            double used_;
        };
        std::vector<shared_bucket> replicas(row.vms_, bucket_of(rate, burst));
        std::vector<use_report> in_flight;
        std::vector<std::pair<std::int64_t, double>> admissions;
        std::mt19937_64 random{7};
        double requested = 0;
        double granted = 0;
        double unsent = 0;
        for (std::int64_t at = 0; at < 25'000; ++at) {
            std::erase_if(in_flight, [&](use_report const& message) {
                if (at < message.at_ + row.delay_.count_) {
                    return false;
                }
                for (std::size_t vm = 0; vm < row.vms_; ++vm) {
                    if (vm != message.vm_) {
                        charge_units(replicas[vm], message.used_, {1.0}, millis{at});
                        record_peer_demand(replicas[vm], request_units, millis{at});
                    }
                }
                return true;
            });
            for (unsent += rate * row.times_rate_ / 1'000; unsent >= request_units; unsent -= request_units) {
                auto const vm = random() % row.vms_;
                auto const draw = static_cast<double>(random() % 1'000) / 1'000.0;
                bool const admitted =
                    try_spend(replicas[vm], {request_units, {1.0}, row.delay_, draw}, millis{at});
                in_flight.push_back({at, vm, admitted ? request_units : 0.0});
                requested += request_units;
                granted += admitted ? request_units : 0.0;
                if (admitted) {
                    admissions.emplace_back(at, request_units);
                }
            }
        }
        double max_in_window = 0;
        for (auto const& [begin, units] : admissions) {
            double in_window = 0;
            for (auto const& [at, more] : admissions) {
                in_window += at >= begin && at < begin + window ? more : 0.0;
            }
            max_in_window = std::max(max_in_window, in_window);
        }
        CHECK(max_in_window <= allowed);
        // The admission probability must not hold the workspace far below its limit either.
        CHECK(granted >= 0.9 * std::min(requested, rate * 25));
    }
}
