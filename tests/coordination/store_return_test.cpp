#include <auburnchute/store_position.hpp>
#include <auburnchute/store_return.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace auburnchute;

// Guards against offsets that are compared across a return of the store from a copy.
TEST_CASE("positions of different eras have no order, and the later era replaces the earlier", "[era]")
{
    struct row {
        store_position a_;
        store_position b_;
        std::partial_ordering order_;
        bool reaches_;
        bool supersedes_;
    };
    for (auto const& row : {row{{1, 5}, {1, 5}, std::partial_ordering::equivalent, true, false},
                            row{{1, 6}, {1, 5}, std::partial_ordering::greater, true, true},
                            row{{1, 4}, {1, 5}, std::partial_ordering::less, false, false},
                            row{{2, 0}, {1, 900}, std::partial_ordering::unordered, false, true},
                            row{{1, 900}, {2, 0}, std::partial_ordering::unordered, false, false}}) {
        CAPTURE(row.a_.era_, row.a_.offset_, row.b_.era_, row.b_.offset_);
        CHECK(order_of(row.a_, row.b_) == row.order_);
        CHECK(reaches(row.a_, row.b_) == row.reaches_);
        CHECK(supersedes(row.a_, row.b_) == row.supersedes_);
    }
}

// Guards against a fleet that reads the members all at once after the store came back.
TEST_CASE("VMs look for their member records one after another, young ones first", "[era]")
{
    constexpr int vms = 300;
    constexpr int most_in_a_second = vms / 10;
    std::map<std::int64_t, int> in_second;
    for (int vm = 0; vm < vms; ++vm) {
        auto const name = "front-" + std::to_string(vm);
        CHECK(rejoin_delay(name, millis{1'000}) < millis{2'000});
        auto const delay = rejoin_delay(name, oldest_copy);
        CHECK(delay >= millis{10'000}); // the store is busy with what must be read at once
        ++in_second[delay.count_ / 1'000];
    }
    CHECK(std::all_of(in_second.begin(), in_second.end(),
                      [](auto const& second) { return second.second <= most_in_a_second; }));
}

// Guards against several VMs that store a lost plan at the same time, and one that is stored too late.
TEST_CASE("a lost plan is stored again by the first VM that can, before new plans are made", "[era]")
{
    CHECK(plan_restore_delay(plan_writer::first) < plan_restore_delay(plan_writer::reader));
    CHECK(plan_restore_delay(plan_writer::reader) < plan_restore_delay(plan_writer::other));
    CHECK(plan_restore_delay(plan_writer::other) < plan_settle_time);
}
