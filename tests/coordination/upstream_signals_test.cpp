#include <auburnchute/upstream_signals.hpp>

#include <catch2/catch.hpp>

using namespace auburnchute;

// Guards against a process that is used again after it said that it leaves, and a new one that is not.
TEST_CASE("a process that says that it leaves is not used until a later start", "[signals][promise-11]")
{
    upstream_signals known;
    CHECK(access_of(known, 5, millis{1}) == upstream_access::open);
    CHECK(note_signals(known, 5, {.leaving_ = true, .retry_after_ = {}}, millis{10}));
    CHECK_FALSE(note_signals(known, 5, {.leaving_ = true, .retry_after_ = {}}, millis{11}));
    CHECK_FALSE(note_signals(known, 5, {}, millis{12})); // a later answer without the field changes nothing
    struct row {
        std::int64_t started_at_;
        upstream_access access_;
    };
    for (auto const& row : {row{4, upstream_access::leaving}, row{5, upstream_access::leaving},
                            row{6, upstream_access::open}}) {
        CAPTURE(row.started_at_);
        CHECK(access_of(known, row.started_at_, millis{1'000'000}) == row.access_);
    }
    CHECK_FALSE(note_signals(known, 6, {}, millis{13}));
    CHECK(access_of(known, 6, millis{14}) == upstream_access::open);
    CHECK_FALSE(note_signals(known, 5, {.leaving_ = true, .retry_after_ = {}}, millis{15})); // late
    CHECK(access_of(known, 6, millis{16}) == upstream_access::open);
}

// Guards against requests that reach an upstream in the time for which it wants none, and against an upstream
// that is left alone for good.
TEST_CASE("a process that asks for time is left alone so long, within a bound", "[signals]")
{
    struct row {
        millis asked_;
        millis held_;
    };
    for (auto const& row : {row{millis{0}, millis{0}}, row{millis{1'500}, millis{1'500}},
                            row{millis{3'600'000}, millis{3'600'000}}, row{max_hold, max_hold},
                            row{millis{1LL << 60U}, max_hold}}) {
        CAPTURE(row.asked_.count_);
        upstream_signals known;
        auto const now = millis{100};
        CHECK_FALSE(note_signals(known, 5, {.leaving_ = false, .retry_after_ = row.asked_}, now));
        if (row.held_ > millis{0}) {
            CHECK(access_of(known, 5, now + row.held_ - millis{1}) == upstream_access::held);
            CHECK(access_of(known, 6, now) == upstream_access::open);
        }
        CHECK(access_of(known, 5, now + row.held_) == upstream_access::open);
        CHECK_FALSE(note_signals(known, 5, {.leaving_ = false, .retry_after_ = millis{10}}, now));
        CHECK(known.hold_until_ == now + std::max(row.held_, millis{10})); // the longest counts
    }
}

// Guards against many requests at once at an upstream whose time is over but which still wants none.
TEST_CASE("after the time that a process asked for, one request goes first", "[signals]")
{
    struct row {
        millis asked_;
        bool answered_;
        upstream_access in_long_try_; ///< While the try has no answer for `try_limit`.
    };
    for (auto const& row :
         {row{millis{1'000}, true, upstream_access::open}, row{millis{1'000}, false, upstream_access::open},
          row{max_hold * 2, true, upstream_access::trying},
          row{max_hold * 2, false, upstream_access::trying}}) {
        CAPTURE(row.asked_.count_, row.answered_);
        upstream_signals known;
        (void)note_signals(known, 5, {.leaving_ = false, .retry_after_ = row.asked_}, millis{100});
        (void)note_signals(known, 5, {.leaving_ = false, .retry_after_ = millis{10}}, millis{101});
        auto const over = known.hold_until_;
        CHECK(access_of(known, 5, over) == upstream_access::open);
        CHECK(begin_try(known, 5, over));
        CHECK(access_of(known, 5, over) == upstream_access::trying);
        CHECK(access_of(known, 6, over) == upstream_access::open); // the next process
        CHECK_FALSE(begin_try(known, 5, over));
        CHECK(access_of(known, 5, over + try_limit) == row.in_long_try_);
        end_try(known, 5, row.answered_);
        CHECK(access_of(known, 5, over) == upstream_access::open);
        CHECK(begin_try(known, 5, over) != row.answered_);
    }
    upstream_signals quiet;
    CHECK_FALSE(begin_try(quiet, 5, millis{100}));
}

// Guards against a refused try that lets others through.
TEST_CASE("a try that is turned away holds the process for the time that it asks for", "[signals]")
{
    upstream_signals known;
    (void)note_signals(known, 5, {.leaving_ = false, .retry_after_ = millis{1'000}}, millis{100});
    REQUIRE(begin_try(known, 5, millis{1'100}));
    (void)note_signals(known, 5, {.leaving_ = false, .retry_after_ = millis{2'000}}, millis{1'110});
    end_try(known, 5, false);
    CHECK(access_of(known, 5, millis{3'109}) == upstream_access::held);
    CHECK(access_of(known, 5, millis{3'110}) == upstream_access::open);
    CHECK(begin_try(known, 5, millis{3'110}));
}

// Guards against an address that another process took over and that is tried again every few seconds, and
// against one false answer that takes a process away for good.
TEST_CASE("a process that is not at its address is tried after growing pauses", "[signals]")
{
    millis const first{3'000};
    upstream_signals known;
    auto now = millis{100};
    for (auto const pause : {millis{3'000}, millis{6'000}, millis{12'000}, millis{24'000}, millis{48'000},
                             millis{60'000}, millis{60'000}}) {
        CAPTURE(pause.count_);
        note_astray(known, 5, "a:1", first, now);
        note_astray(known, 5, "a:1", first, now + millis{1}); // requests sent at the same time
        CHECK(is_astray(known, 5, "a:1", now + pause - millis{1}));
        CHECK_FALSE(is_astray(known, 5, "a:1", now + pause));
        CHECK_FALSE(is_astray(known, 5, "a:2", now));
        CHECK_FALSE(is_astray(known, 6, "a:1", now));
        now = now + pause;
    }
    note_answered(known, 5);
    note_astray(known, 5, "a:1", first, now);
    CHECK_FALSE(is_astray(known, 5, "a:1", now + first));
    note_astray(known, 6, "a:1", first, now);
    CHECK(is_astray(known, 6, "a:1", now));
    CHECK_FALSE(is_astray(known, 6, "a:1", now + first));
}
