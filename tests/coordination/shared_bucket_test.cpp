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

// Guards against a workspace getting more than rate and burst, and against refusals below them.
TEST_CASE("a bucket lets through the burst and then the rate", "[bucket][promise-7]")
{
    struct row {
        millis at_;
        double units_;
        double share_;
        bool let_through_;
    };
    auto bucket = bucket_of(100, 500);
    auto const rows = std::vector<row>{
        {millis{0}, 400, 1.0, true},     {millis{0}, 200, 1.0, false},    {millis{1'000}, 200, 1.0, true},
        {millis{1'000}, 1, 1.0, false},  {millis{1'500}, 50, 1.0, true},  {millis{10'000}, 900, 1.0, true},
        {millis{10'000}, 1, 1.0, false}, {millis{14'000}, 1, 1.0, false}, {millis{14'100}, 5, 1.0, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.at_.count_, row.units_);
        CHECK(try_spend(bucket, {row.units_, {row.share_}}, row.at_) == row.let_through_);
    }
}

// Guards against a VM that is cut off from half of its peers spending the whole rate.
TEST_CASE("a VM that hears half of the members uses half of the rate and burst", "[bucket][promise-7]")
{
    auto bucket = bucket_of(100, 500);
    REQUIRE(try_spend(bucket, {250, {0.5}}, millis{0}));
    CHECK_FALSE(try_spend(bucket, {1, {0.5}}, millis{0}));
    CHECK_FALSE(try_spend(bucket, {110, {0.5}}, millis{2'000}));
    CHECK(try_spend(bucket, {110, {0.5}}, millis{2'200}));
}

// Guards against wrongful refusals after a moment in which a VM heard nobody: its part was tiny then.
TEST_CASE("a VM that hears its peers again uses the whole bucket again", "[bucket][promise-7]")
{
    auto bucket = bucket_of(100, 500);
    REQUIRE(try_spend(bucket, {40, {0.1}}, millis{100}));
    CHECK_FALSE(try_spend(bucket, {20, {0.1}}, millis{100}));
    charge_units(bucket, 100, {0.1}, millis{100}); // what the peers spent meanwhile
    CHECK(try_spend(bucket, {360, {1.0}}, millis{100}));
    CHECK_FALSE(try_spend(bucket, {1, {1.0}}, millis{100}));
}

// Found on plumavera-gdl-large, trouble-2 and trouble-3: a VM that had no request of a workspace for a while
// added what the rate had earned only after it had charged what others spent. It let a whole burst through
// that was spent already, and told VMs that restarted a level far below zero.
TEST_CASE("a bucket that this VM does not use follows what its peers spend", "[bucket][promise-7]")
{
    struct row {
        millis spent_at_;
        double spent_;
        double left_; ///< At 10 s.
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

// Guards against all VMs spending at once when they have just heard how much is asked for.
TEST_CASE("what peers are asked for is known soon after they are heard", "[bucket]")
{
    for (auto const heard_for : {millis{400}, millis{1'000}, millis{5'000}, millis{60'000}}) {
        CAPTURE(heard_for.count_);
        auto bucket = bucket_of(100, 500);
        auto now = millis{10'000};
        for (millis heard{0}; heard < heard_for; heard += millis{100}, now += millis{100}) {
            record_peer_demand(bucket, 60, now); // 600 units a second
        }
        CHECK(peer_demand_rate(bucket, now) == Approx(600).epsilon(0.15));
    }
}

TEST_CASE("a lower limit takes effect at once, and no limit lets everything through", "[bucket]")
{
    auto bucket = bucket_of(100, 500);
    set_limit(bucket, 10, 20, millis{0});
    REQUIRE(try_spend(bucket, {20, {1.0}}, millis{0}));
    CHECK_FALSE(try_spend(bucket, {20, {1.0}}, millis{0}));
    auto open = bucket_of(0, 0);
    CHECK(try_spend(open, {1e9, {1.0}}, millis{0}));
}

TEST_CASE("a refused caller is told when the bucket holds what it asks", "[bucket]")
{
    auto bucket = bucket_of(100, 500);
    REQUIRE(try_spend(bucket, {500, {1.0}}, millis{0}));
    auto const wait = time_until_available(bucket, 50, 1.0);
    CHECK(wait == millis{500});
    CHECK(try_spend(bucket, {50, {1.0}}, wait));
}

// Guards against more than rate and burst when several VMs spend within one message's delay: the overshoot is
// what they spent in that time, and it is paid back.
TEST_CASE("copies of a bucket on several VMs stay within the limit and the delay's use",
          "[bucket][promise-7]")
{
    CHECK(rc::check([] {
        constexpr int vms = 5;
        constexpr std::int64_t delay = 200;
        std::vector<shared_bucket> copies(vms, bucket_of(1'000, 2'000));
        struct use {
            int vm_;
            std::int64_t at_;
            double units_;
        };
        std::vector<use> under_way;
        double total = 0;
        auto const end = *rc::gen::inRange<std::int64_t>(5'000, 20'000);
        for (std::int64_t at = 0; at < end; at += 50) {
            std::erase_if(under_way, [&](use const& spent) {
                if (at - spent.at_ < delay) {
                    return false;
                }
                for (int vm = 0; vm < vms; ++vm) {
                    if (vm != spent.vm_) {
                        charge_units(copies[static_cast<std::size_t>(vm)], spent.units_, {1.0}, millis{at});
                    }
                }
                return true;
            });
            auto const vm = *rc::gen::inRange(0, vms);
            auto const units = static_cast<double>(*rc::gen::inRange(1, 400));
            if (try_spend(copies[static_cast<std::size_t>(vm)], {units, {1.0}, millis{delay}}, millis{at})) {
                total += units;
                under_way.push_back({vm, at, units});
            }
        }
        auto const limit = 2'000.0 + static_cast<double>(end);
        RC_ASSERT(total <= limit + 400.0 * (static_cast<double>(delay) / 50.0));
    }));
}

TEST_CASE("a VM that may have missed something takes over the level that another one tells", "[bucket]")
{
    struct row {
        std::vector<double> told_;
        double expected_;
    };
    for (auto const& row : {row{{}, 250}, row{{320}, 320}, row{{30}, 30}, row{{900}, 500}, row{{-40}, -40},
                            row{{30, 320}, 320}}) {
        CAPTURE(row.told_);
        auto bucket = bucket_of(100, 500);
        set_restart_level(bucket, 1.0);
        for (auto const level : row.told_) {
            adopt_level(bucket, level, {1.0}, millis{0});
        }
        CHECK(bucket.level_ == row.expected_);
    }
}

// Found on plumavera-gdl-grown, trouble-3 (QUOTA): a workspace that asks 65 VMs for several times its rate
// got a fifth more than rate and burst, because all VMs spent whenever their copies had filled up.
TEST_CASE("a workspace that asks for several times its rate gets its rate from any number of VMs",
          "[bucket][promise-7]")
{
    struct row {
        std::size_t vms_;
        millis delay_;
        double times_rate_;
    };
    constexpr double rate = 150'000;
    constexpr double burst = 200'000;
    constexpr double request_units = 9'000;
    // The platform's sheets: over 8 s, a tenth above rate and burst and 110,000 tokens more.
    constexpr std::int64_t window = 8'000;
    constexpr double allowed = (rate * 8 + burst) * 1.1 + 110'000;
    for (auto const& row : {row{9, millis{230}, 7.5}, row{65, millis{580}, 6.0}, row{88, millis{720}, 7.5},
                            row{300, millis{1'990}, 3.0}, row{65, millis{580}, 0.8}}) {
        CAPTURE(row.vms_, row.times_rate_);
        struct told {
            std::int64_t at_;
            std::size_t vm_;
            double used_;
        };
        std::vector<shared_bucket> copies(row.vms_, bucket_of(rate, burst));
        std::vector<told> under_way;
        std::vector<std::pair<std::int64_t, double>> let_through;
        std::mt19937_64 random{7};
        double asked = 0;
        double got = 0;
        double due = 0;
        for (std::int64_t at = 0; at < 25'000; ++at) {
            std::erase_if(under_way, [&](told const& message) {
                if (at < message.at_ + row.delay_.count_) {
                    return false;
                }
                for (std::size_t vm = 0; vm < row.vms_; ++vm) {
                    if (vm != message.vm_) {
                        charge_units(copies[vm], message.used_, {1.0}, millis{at});
                        record_peer_demand(copies[vm], request_units, millis{at});
                    }
                }
                return true;
            });
            for (due += rate * row.times_rate_ / 1'000; due >= request_units; due -= request_units) {
                auto const vm = random() % row.vms_;
                auto const draw = static_cast<double>(random() % 1'000) / 1'000.0;
                bool const through =
                    try_spend(copies[vm], {request_units, {1.0}, row.delay_, draw}, millis{at});
                under_way.push_back({at, vm, through ? request_units : 0.0});
                asked += request_units;
                got += through ? request_units : 0.0;
                if (through) {
                    let_through.emplace_back(at, request_units);
                }
            }
        }
        double most = 0;
        for (auto const& [begin, units] : let_through) {
            double inside = 0;
            for (auto const& [at, more] : let_through) {
                inside += at >= begin && at < begin + window ? more : 0.0;
            }
            most = std::max(most, inside);
        }
        CHECK(most <= allowed);
        // Nor is it held far below what it may use.
        CHECK(got >= 0.9 * std::min(asked, rate * 25));
    }
}
