#include <auburnchute/upstream_pace.hpp>

#include <array>
#include <catch2/catch.hpp>

using namespace auburnchute;

namespace {

/// Some VMs that know of each other's parts, and one process.
struct paced_fleet {
    std::array<upstream_pace, 5> vms_{};
    std::int64_t slots_{48};
    std::size_t next_{};

    paced_fleet()
    {
        for (auto& vm : vms_) {
            open_pace(vm, 1, millis{0});
        }
    }

    [[nodiscard]] fleet_pace sum() const
    {
        fleet_pace all;
        for (auto const& vm : vms_) {
            all.pacers_ += own_part(vm).pacers_;
            all.credit_ += own_part(vm).credit_;
        }
        return all;
    }

    [[nodiscard]] std::int64_t window() const { return window_of(sum(), slots_); }

    /// Fills the window, and has all answered alike, by the VMs in turn.
    void round(pace_signal signal, std::int64_t held)
    {
        for (std::int64_t i = 0; i < held; ++i) {
            note_pace(vms_[next_++ % vms_.size()], sum(), signal, held, slots_, millis{100});
        }
    }
};

} // namespace

// Guards against a process that has just started and is flooded, or left idle too long.
TEST_CASE("a started process reaches its slots after some rounds and never holds more than its window",
          "[pace]")
{
    paced_fleet fleet;
    CHECK(fleet.window() == first_window);
    int rounds = 0;
    while (is_paced(fleet.sum(), fleet.slots_)) {
        auto const before = fleet.window();
        fleet.round(pace_signal::in_time, before);
        CHECK(fleet.window() <= before * 2);
        REQUIRE(++rounds < 10);
    }
    CHECK(rounds >= 3);
    for (auto& vm : fleet.vms_) {
        settle_pace(vm, fleet.sum(), fleet.slots_, millis{200});
        CHECK_FALSE(vm.open_);
    }
}

// Guards against a window that stays open while its process can't keep up, and one that starves it.
TEST_CASE("late answers, refusals and failures close the window, but never quite", "[pace]")
{
    struct row {
        pace_signal signal_;
        std::int64_t held_;
        std::int64_t least_;
        std::int64_t most_;
    };
    for (auto const& row : {row{pace_signal::late, 16, 1, 1}, row{pace_signal::late, 4, 12, 12},
                            row{pace_signal::refused, 4, 8, 8}, row{pace_signal::failed, 16, 1, 1},
                            row{pace_signal::in_time, 3, 16, 16}, // too few to tell
                            row{pace_signal::in_time, 8, 24, 24}}) {
        CAPTURE(row.signal_, row.held_);
        paced_fleet fleet;
        fleet.vms_[3].credit_ = 16 - first_window;
        REQUIRE(fleet.window() == 16);
        fleet.round(row.signal_, row.held_);
        CHECK(fleet.window() >= row.least_);
        CHECK(fleet.window() <= row.most_);
        fleet.round(pace_signal::in_time, 16);
        CHECK(fleet.window() > row.least_);
    }
}

// Guards against a pace for each odd failure, and none for a process that fails again and again.
TEST_CASE("a process has to recover after failures in a row", "[pace]")
{
    upstream_pace own;
    CHECK_FALSE(note_unpaced(own, pace_signal::failed));
    CHECK_FALSE(note_unpaced(own, pace_signal::in_time));
    CHECK_FALSE(note_unpaced(own, pace_signal::refused));
    CHECK(note_unpaced(own, pace_signal::failed));
}

// Guards against a pace that outlives what can be learned of it, and a part that is counted into the next
// one.
TEST_CASE("a pace that nothing is heard of is given up, and an ended one is forgotten after it was told",
          "[pace]")
{
    paced_fleet fleet;
    auto& own = fleet.vms_[0];
    own.credit_ = 5;
    CHECK_FALSE(settle_pace(own, fleet.sum(), fleet.slots_, silent_pace_limit));
    CHECK(settle_pace(own, fleet.sum(), fleet.slots_, silent_pace_limit + millis{1}));
    CHECK(own_part(own).pacers_ == 0);
    CHECK(own_part(own).credit_ == 0);
    open_pace(own, 2, millis{0});
    own.credit_ = 60;
    CHECK(settle_pace(own, fleet.sum(), fleet.slots_, millis{10}));
    CHECK(own_part(own).credit_ == 60);
    settle_pace(own, fleet.sum(), fleet.slots_, millis{11} + ended_pace_told);
    CHECK(own_part(own).credit_ == 0);
}
