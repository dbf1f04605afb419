#include <auburnchute/upstream_load.hpp>

#include <catch2/catch.hpp>
#include <optional>

using namespace auburnchute;

// Guards against taking a queue for a slow machine, and against a pace that is not seen or never forgotten.
TEST_CASE("an upstream's slowness is told from its answers and from what it says", "[load]")
{
    struct row {
        char const* name_;
        timed_answer answer_;
        int answers_;
        millis passed_;
        double least_;
        double most_;
    };
    std::optional<double> const none;
    for (auto const& row :
         {row{"as usual", {100, 0, millis{100}, none}, 20, millis{0}, 0.95, 1.05},
          row{"slow", {100, 0, millis{180}, none}, 20, millis{0}, 1.7, 1.85},
          row{"once slow", {100, 0, millis{180}, none}, 1, millis{0}, 1.2, 1.5},
          row{"an odd answer", {100, 0, millis{60'000}, none}, 1, millis{0}, 1, 4.1},
          row{"slow long ago", {100, 0, millis{180}, none}, 20, millis{60'000}, 1, 1.1},
          row{"behind a queue that was known", {100, 900, millis{1'000}, none}, 20, millis{0}, 0.95, 1.05},
          row{"behind a queue, mostly unknown", {100, 900, millis{2'000}, none}, 1, millis{0}, 1, 1.1},
          row{"it says so", {100, 0, millis{100}, 1.8}, 20, millis{0}, 1.7, 1.85},
          row{"slow, and denies it", {100, 0, millis{180}, 1.0}, 20, millis{0}, 1.7, 1.85},
          row{"work too short to tell", {1, 0, millis{30}, none}, 20, millis{0}, 1, 1}}) {
        CAPTURE(row.name_);
        slowness_estimate estimate;
        millis now{10'000};
        for (int i = 0; i < row.answers_; ++i) {
            now += millis{50};
            record_slowness(estimate, row.answer_, now);
        }
        auto const slowness = slowness_of(current_evidence(estimate, now + row.passed_));
        CHECK(slowness >= row.least_);
        CHECK(slowness <= row.most_);
    }
}

// Guards against a VM with few requests that learns of a slow upstream only by its own callers' waits.
TEST_CASE("the evidence of several VMs adds up", "[load]")
{
    slowness_evidence sum;
    for (int vm = 0; vm < 10; ++vm) {
        slowness_estimate own;
        record_slowness(own, {100, 0, millis{200}, std::nullopt}, millis{1'000});
        auto const told = current_evidence(own, millis{1'000});
        CHECK(slowness_of(told) < 1.5);
        sum.log_sum_ += told.log_sum_;
        sum.weight_ += told.weight_;
    }
    CHECK(slowness_of(sum) > 1.8);
}

// Guards against an old report that hides what has happened since, and against one that counts for nothing.
TEST_CASE("a fresh report counts with what was sent since", "[load]")
{
    struct row {
        std::int64_t known_;
        std::optional<load_report> report_;
        std::int64_t expected_;
    };
    millis const now{10'000};
    for (auto const& row : {row{3, std::nullopt, 3}, row{3, load_report{{4, 2, 8, std::nullopt}, now, 1}, 7},
                            row{9, load_report{{4, 2, 8, std::nullopt}, now, 1}, 9},
                            row{3, load_report{{4, 2, 8, std::nullopt}, now - millis{400}, 1}, 3}}) {
        CHECK(requests_at(row.known_, row.report_, millis{300}, now) == row.expected_);
    }
}

TEST_CASE("requests unheard of follow from those in flight, their time and the age of what is known",
          "[load]")
{
    service_times times;
    CHECK(unheard_requests(30, times, millis{300}) == Approx(30)); // not known yet: as many as are in flight
    for (int i = 0; i < 200; ++i) {
        record_hold(times, millis{600});
    }
    CHECK(unheard_requests(30, times, millis{300}) == Approx(15));
    CHECK(unheard_requests(30, times, millis{6'000}) == Approx(30));
    CHECK(unheard_requests(0, times, millis{300}) == 0);
}
