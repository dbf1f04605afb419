#include <auburnchute/retry.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace auburnchute;

namespace {

constexpr try_result all_results[] = {try_result::answered,      try_result::not_sent,
                                      try_result::refused,       try_result::cut_before_answer,
                                      try_result::cut_in_answer, try_result::wrong_answer,
                                      try_result::wrong_version};

} // namespace

// Guards against a retry of a request that must not run twice, after the deadline, or beyond `max_tries`.
TEST_CASE("retries are limited by result, repeatability, number of tries and deadline",
          "[retry][promise-9][promise-10]")
{
    for (auto const result : all_results) {
        for (bool const repeatable : {true, false}) {
            for (int const tries : {1, 2, 3, 4}) {
                for (millis const at : {millis{0}, millis{99}, millis{100}, millis{101}}) {
                    retry_budget budget;
                    bool const expected =
                        result != try_result::answered && repeatable && tries < max_tries && at < millis{100};
                    CAPTURE(static_cast<int>(result), repeatable, tries, at.count_);
                    CHECK(acquire_retry(budget, result, repeatable, tries, at, {100}) == expected);
                    CHECK(budget.balance_ == (expected ? 9'000 : 10'000));
                }
            }
        }
    }
}

// Guards against VMs that each hold the whole budget of the fleet and all retry when an upstream fails.
TEST_CASE("the retries of all VMs stay within the fleet's budget", "[retry]")
{
    struct row {
        double ratio_;
        double extra_;
        std::size_t vms_;
        int requests_for_each_;
    };
    for (auto const& row :
         {row{0.2, 56, 8, 30}, row{0.2, 216, 88, 20}, row{0.1, 10, 1, 100}, row{0.2, 0, 4, 40}}) {
        CAPTURE(row.extra_, row.vms_);
        double retries = 0;
        for (std::size_t vm = 0; vm < row.vms_; ++vm) {
            retry_budget budget;
            set_vm_share(budget, row.ratio_, row.extra_, row.vms_);
            for (int i = 0; i < row.requests_for_each_; ++i) {
                deposit(budget);
                while (acquire_retry(budget, try_result::refused, true, 1, millis{0}, millis{100})) {
                    ++retries;
                }
            }
        }
        auto const requests = static_cast<double>(row.vms_) * row.requests_for_each_;
        auto const min_limits = static_cast<double>(row.vms_); // each VM's limit is at least one retry
        CHECK(retries <= row.ratio_ * requests + std::max(row.extra_, min_limits) + 0.001);
        CHECK(retries >= 0.9 * row.ratio_ * requests);
    }
}

// Guards against reporting "not run" after a try that may have run.
TEST_CASE("not run is reported only when every try is known not to have run", "[retry][promise-9]")
{
    for (auto const first : all_results) {
        for (auto const second : all_results) {
            auto const reported = execution_after(execution_after(execution::not_run, first), second);
            auto const known_not_run = [](try_result r) {
                return r == try_result::not_sent || r == try_result::refused;
            };
            auto const ran = [](try_result r) {
                return r == try_result::answered || r == try_result::cut_in_answer;
            };
            auto const expected = known_not_run(first) && known_not_run(second) ? execution::not_run
                                  : ran(first) || ran(second)                   ? execution::ran
                                                                                : execution::unknown;
            CAPTURE(static_cast<int>(first), static_cast<int>(second));
            CHECK(reported == expected);
        }
    }
}

namespace {

struct retry_model {};

/// Budget under test, with counts of requests and retries that bound it by a tenth of the requests and ten at
/// once.
struct tracked_budget {
    retry_budget budget_;
    std::int64_t requests_{};
    std::int64_t retries_{};
    std::int64_t level_{}; ///< Tenths of a retry in use beyond the deposits, as in a leaky bucket.
};

struct retry_step : rc::state::Command<retry_model, tracked_budget> {
    int first_tries_ = *rc::gen::inRange(0, 20);
    int failures_ = *rc::gen::inRange(0, 40);
    bool repeatable_ = *rc::gen::weightedElement<bool>({{9, true}, {1, false}});
    try_result result_ =
        *rc::gen::elementOf(std::vector<try_result>(std::begin(all_results), std::end(all_results)));

    void show(std::ostream& os) const override
    {
        os << first_tries_ << " requests, " << failures_ << " failures of kind " << static_cast<int>(result_)
           << (repeatable_ ? "" : ", not repeatable");
    }

    void run(retry_model const&, tracked_budget& tracked) const override
    {
        for (int i = 0; i < first_tries_; ++i) {
            deposit(tracked.budget_);
            ++tracked.requests_;
            tracked.level_ = std::max<std::int64_t>(tracked.level_ - 1, 0);
        }
        for (int i = 0; i < failures_; ++i) {
            if (acquire_retry(tracked.budget_, result_, repeatable_, 1 + i % max_tries, {0}, {1})) {
                RC_ASSERT(repeatable_);
                RC_ASSERT(result_ != try_result::answered);
                ++tracked.retries_;
                tracked.level_ += 10;
            }
        }
        RC_ASSERT(tracked.retries_ * 10 <= 100 + tracked.requests_);
        // Bounds every interval: ten retries at once and a tenth of the interval's requests.
        RC_ASSERT(tracked.level_ <= 100);
    }
};

} // namespace

// Guards against retries that amplify an overload.
TEST_CASE("retries stay within the budget", "[retry][promise-9]")
{
    CHECK(rc::check("at most a tenth of the requests and ten at once", [] {
        tracked_budget tracked;
        rc::state::check(retry_model{}, tracked, rc::state::gen::execOneOfWithArgs<retry_step>());
    }));
}

// Guards against an empty initial budget, with which a pool used a few times a day could never retry.
TEST_CASE("a new budget allows a retry", "[retry]")
{
    retry_budget budget;
    CHECK(acquire_retry(budget, try_result::not_sent, true, 1, {0}, {1}));
}
