#include <auburnchute/shutdown_plan.hpp>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace auburnchute;

// Guards against a process that is killed while it still answers, and one that gives up too early.
TEST_CASE("a planned stop ends before the kill and leaves most of the grace time to answers",
          "[shutdown][promise-12]")
{
    auto const now = millis{1'000'000};
    for (auto const grace : {0, 1, 11, 100, 500, 1'000, 3'000, 8'000, 30'000, 600'000}) {
        CAPTURE(grace);
        auto const plan = plan_shutdown(now, millis{grace}, millis{2'000});
        CHECK(plan.began_at_ == now);
        CHECK(plan.quiet_from_ >= now);
        CHECK(plan.quiet_from_ <= plan.answers_until_);
        CHECK(plan.answers_until_ <= plan.ends_at_);
        CHECK(plan.ends_at_ <= now + millis{grace});
        CHECK((plan.answers_until_ - now) * 6 >= millis{grace} * 5);
        if (grace >= 100) {
            CHECK(plan.answers_until_ < plan.ends_at_);
            CHECK(plan.ends_at_ < now + millis{grace});
            CHECK(plan.unwinding_ > millis{0});
            CHECK(plan.ends_at_ + plan.unwinding_ < now + millis{grace});
        }
    }
}

// Guards against a request that is taken although its time limit lies beyond the process, and against
// refusing one that must end before.
TEST_CASE("only a request whose deadline lies within the stop is taken", "[shutdown][promise-12]")
{
    struct row {
        millis grace_;
        millis at_; ///< Since the stop signal.
        millis allowed_;
        bool taken_;
    };
    for (auto const& row :
         {row{millis{8'000}, millis{0}, millis{1'500}, true},
          row{millis{8'000}, millis{0}, millis{6'600}, true},
          row{millis{8'000}, millis{0}, millis{8'000}, false},
          row{millis{8'000}, millis{0}, millis{15'000}, false},
          row{millis{8'000}, millis{5'000}, millis{1'500}, true},
          row{millis{8'000}, millis{6'500}, millis{1'500}, false},
          row{millis{8'000}, millis{8'100}, millis{1}, false},
          row{millis{30'000}, millis{0}, millis{15'000}, true},
          row{millis{30'000}, millis{20'000}, millis{15'000}, false},
          row{millis{1'000}, millis{0}, millis{800}, true},
          row{millis{1'000}, millis{300}, millis{800}, false}, row{millis{0}, millis{0}, millis{1}, false}}) {
        CAPTURE(row.grace_.count_, row.at_.count_, row.allowed_.count_);
        auto const began = millis{5'000};
        auto plan = plan_shutdown(began, row.grace_, millis{2'000});
        CHECK(can_end_in_time(plan, began + row.at_ + row.allowed_) == row.taken_);
        begin_closing(plan, began + row.at_);
        CHECK_FALSE(can_end_in_time(plan, began + row.at_ + row.allowed_));
    }
}

// Guards against a process that was paused, or ends early, and leaves its last answers no time.
TEST_CASE("the last answers get their time whenever they begin", "[shutdown]")
{
    auto const plan = plan_shutdown(millis{0}, millis{8'000}, millis{2'000});
    for (auto const at : {5'000, 7'200, 9'000}) {
        CAPTURE(at);
        auto closing = plan;
        begin_closing(closing, millis{at});
        CHECK(closing.ends_at_ - millis{at} == plan.ends_at_ - plan.answers_until_);
    }
}

// Guards against a last phase that begins late and lasts beyond the kill.
TEST_CASE("a last phase that begins late ends before the kill", "[shutdown][promise-12]")
{
    for (auto const grace : {1'000, 2'000, 3'000, 5'000, 8'000}) {
        auto const plan = plan_shutdown(millis{0}, millis{grace}, millis{2'000});
        for (auto at = plan.answers_until_; at < plan.ends_at_; at = at + millis{1}) {
            CAPTURE(grace, at.count_);
            auto closing = plan;
            begin_closing(closing, at);
            CHECK(closing.ends_at_ + closing.unwinding_ < millis{grace});
            CHECK(closing.ends_at_ > at);
        }
    }
}

// Guards against a grace time that counts from when a paused process took the signal, and against giving up
// requests for a pause that began long before it.
TEST_CASE("the grace time counts from when the stop signal may have come", "[shutdown][promise-12]")
{
    struct row {
        millis grace_;
        millis looked_ago_;
        millis lag_;
    };
    for (auto const& row :
         {row{millis{2'000}, millis{0}, millis{0}}, row{millis{2'000}, millis{45}, millis{0}},
          row{millis{2'000}, millis{300}, millis{300}}, row{millis{2'000}, millis{4'000}, millis{500}},
          row{millis{8'000}, millis{4'000}, millis{500}}, row{millis{1'000}, millis{4'000}, millis{250}},
          row{millis{0}, millis{4'000}, millis{0}}}) {
        CAPTURE(row.grace_.count_, row.looked_ago_.count_);
        auto const now = millis{100'000};
        CHECK(now - signal_time(now, now - row.looked_ago_, row.grace_) == row.lag_);
    }
}

// Guards against a stop whose signal was taken late and that is killed, or gives up requests that can still
// end.
TEST_CASE("a signal that may have come before takes time from the last phase first", "[shutdown][promise-12]")
{
    auto const now = millis{100'000};
    for (auto const grace : {millis{2'000}, millis{3'000}, millis{5'000}, millis{8'000}}) {
        auto const at_once = plan_shutdown(now, grace, millis{2'000});
        for (auto lag = millis{0}; lag <= std::min(millis{500}, grace / 4); lag = lag + millis{10}) {
            CAPTURE(grace.count_, lag.count_);
            auto const plan = plan_shutdown(now, now - lag, grace, millis{2'000});
            CHECK(plan.ends_at_ + plan.unwinding_ < now - lag + grace);
            CHECK(plan.answers_until_ < plan.ends_at_);
            CHECK((plan.answers_until_ - (now - lag)) * 6 >= grace * 5);
            if (lag <= grace / 12) {
                CHECK(plan.answers_until_ == at_once.answers_until_);
            }
        }
    }
}

// Guards against callers that are sent away for longer than they need to be, or back to a process that ends.
TEST_CASE("a refused caller may come back at once if there is another VM, else after the restart",
          "[shutdown]")
{
    auto const plan = plan_shutdown(millis{0}, millis{8'000}, millis{2'000});
    CHECK(stop_retry_after(plan, millis{100}, true) == millis{0});
    CHECK(millis{100} + stop_retry_after(plan, millis{100}, false) > plan.ends_at_);
    CHECK(stop_retry_after(plan, plan.ends_at_ + millis{500}, false) > millis{0});
}
