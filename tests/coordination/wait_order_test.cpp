#include <auburnchute/wait_order.hpp>

#include <catch2/catch.hpp>
#include <vector>

using namespace auburnchute;

// Guards against a waiting request that a less urgent or later one passes, and against one that starves
// behind more urgent ones until its caller leaves.
TEST_CASE("room goes to the more urgent, then the earlier request", "[wait-order]")
{
    struct row {
        turn first_;
        turn second_;
        millis now_;
        bool before_;
    };
    for (auto const& row : {
             row{{0, millis{900}, millis{4'900}}, {1, millis{0}, millis{4'000}}, millis{1'000}, true},
             row{{1, millis{0}, millis{4'000}}, {0, millis{900}, millis{4'900}}, millis{1'000}, false},
             row{{1, millis{0}, millis{4'000}}, {1, millis{1}, millis{2'000}}, millis{1'000}, true},
             row{{1, millis{1}, millis{2'000}}, {1, millis{0}, millis{4'000}}, millis{1'000}, false},
             // The last quarter of its patience.
             row{{2, millis{0}, millis{4'000}}, {0, millis{2'900}, millis{6'900}}, millis{2'999}, false},
             row{{2, millis{0}, millis{4'000}}, {0, millis{2'900}, millis{6'900}}, millis{3'000}, true},
             row{{0, millis{2'900}, millis{6'900}}, {2, millis{0}, millis{4'000}}, millis{3'000}, false},
         }) {
        CAPTURE(row.now_.count_, row.first_.urgency_, row.second_.urgency_);
        CHECK(goes_before(row.first_, row.second_, row.now_) == row.before_);
    }
}

// Guards against requests that wait for half of their patience though no room comes in time, that are given
// up though it does, and that are told to return before there is room.
TEST_CASE("a request waits while room is expected in its time", "[wait-order]")
{
    struct row {
        int ends_;           ///< One each 100 ms up to 20 s.
        std::size_t before_; ///< Waiting before it.
        millis arrived_;     ///< With 4 s of patience.
        bool rejected_;
        millis least_retry_;
        millis longest_retry_;
    };
    for (auto const& row : std::vector<row>{
             {200, 0, millis{20'000}, false, millis{200}, millis{200}},
             {200, 30, millis{20'000}, false, millis{2'700}, millis{3'500}},
             {200, 50, millis{20'000}, true, millis{4'500}, millis{5'600}}, // at once
             {200, 3, millis{16'800}, false, millis{350}, millis{500}},     // beyond half, but in time
             {200, 9, millis{16'800}, true, millis{900}, millis{1'100}},    // its time is nearly over
             {200, 100'000, millis{20'000}, true, millis{60'000}, millis{60'000}},
             {10, 30, millis{20'000}, false, millis{2'700}, millis{3'500}}, // the VM has just started
             {0, 5, millis{18'100}, false, millis{200}, millis{200}},       // unknown: half of the patience
             {0, 5, millis{17'900}, true, millis{200}, millis{200}},
         }) {
        CAPTURE(row.ends_, row.before_, row.arrived_.count_);
        room_pace pace;
        for (int end = row.ends_ - 1; end >= 0; --end) {
            note_end(pace, millis{20'000 - end * 100});
        }
        turn const request{1, row.arrived_, row.arrived_ + millis{4'000}};
        auto const verdict = judge_wait(request, pace, row.before_, millis{20'000});
        CHECK(verdict.rejected_ == row.rejected_);
        CHECK(verdict.retry_after_ >= row.least_retry_);
        CHECK(verdict.retry_after_ <= row.longest_retry_);
    }
}

// Guards against a pace that is kept after the upstreams have stopped answering.
TEST_CASE("a pace is forgotten when no request ends any more", "[wait-order]")
{
    room_pace pace;
    for (int end = 0; end < 50; ++end) {
        note_end(pace, millis{1'000 + end * 100});
    }
    CHECK(expected_wait(pace, 0, millis{6'000}));
    CHECK_FALSE(expected_wait(pace, 0, millis{60'000}));
}
