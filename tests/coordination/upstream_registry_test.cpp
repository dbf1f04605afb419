#include <auburnchute/upstream_registry.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

using namespace auburnchute;

namespace {

upstream entry(std::string id, std::int64_t started_at = 1, bool leaving = false)
{
    upstream made;
    made.id_ = std::move(id);
    made.service_ = "llm";
    made.address_ = "10.0.0.1:80";
    made.started_at_ = started_at;
    made.leaving_ = leaving;
    return made;
}

upstream_registry with_one()
{
    upstream_registry registry;
    REQUIRE(apply_entry(registry, entry("i-1"), {0, 1}, millis{1}) == entry_change::added);
    return registry;
}

} // namespace

// Guards against offsets of the store's earlier era that hide what is written after its return from a copy.
TEST_CASE("records of a later era of the store replace those of an earlier one, at any offset",
          "[registry][era]")
{
    auto registry = with_one();
    REQUIRE(apply_entry(registry, entry("i-1"), {1, 900}, millis{2}) == entry_change::none);
    mark_store_returned(registry, {2, 10}, millis{1'000});
    CHECK(apply_entry(registry, entry("i-1", 1, true), {2, 12}, millis{1'010}) == entry_change::leaving);
    CHECK(apply_removal(registry, "i-1", {1, 2'000}, millis{1'020}) == entry_change::none); // came late
    CHECK(apply_removal(registry, "i-1", {2, 13}, millis{9'000}) == entry_change::removed);
}

// Guards against a copy of the store that brings back an upstream which was gone, and against one that keeps
// out a process which writes again.
TEST_CASE("a copy of the store brings no process back that was gone", "[registry][era]")
{
    auto registry = with_one();
    REQUIRE(apply_removal(registry, "i-1", {0, 900}, millis{10}) == entry_change::removed);
    mark_store_returned(registry, {1, 10}, millis{1'000});
    CHECK(apply_entry(registry, entry("i-1"), {1, 4}, millis{1'010}) == entry_change::none);
    CHECK(registry.entries_.empty());
    SECTION("the process writes its entry again")
    {
        CHECK(apply_entry(registry, entry("i-1"), {1, 10}, millis{1'020}) == entry_change::added);
    }
    SECTION("the copy has a later process")
    {
        CHECK(apply_entry(registry, entry("i-1", 2), {1, 5}, millis{1'020}) == entry_change::added);
    }
}

// Guards against upstreams that are dropped at once, or never, because the store lost their entries.
TEST_CASE("an upstream whose entry the store lost is used for a while and then dropped", "[registry][era]")
{
    auto registry = with_one();
    mark_store_returned(registry, {1, 0}, millis{1'000});
    REQUIRE(lapse_entry(registry, "i-1", millis{1'000}) == entry_change::lapsed);
    CHECK(lapse_entry(registry, "i-2", millis{1'000}) == entry_change::none);
    SECTION("it writes its entry again in time")
    {
        CHECK(apply_entry(registry, entry("i-1"), {1, 0}, millis{2'000}) == entry_change::returned);
        CHECK_FALSE(drop_lapsed(registry, millis{60'000}));
    }
    SECTION("it does not")
    {
        CHECK_FALSE(drop_lapsed(registry, millis{1'000} + lapsed_entry_grace - millis{1}));
        CHECK(drop_lapsed(registry, millis{1'000} + lapsed_entry_grace));
        CHECK(registry.entries_.empty());
    }
}

// Guards against entries of an earlier start that overwrite those of a later one.
TEST_CASE("entries are added, changed, marked as leaving and removed", "[registry][promise-11]")
{
    auto registry = with_one();
    CHECK(apply_entry(registry, entry("i-1"), {0, 2}, millis{2}) == entry_change::none);
    CHECK(apply_entry(registry, entry("i-1", 1, true), {0, 3}, millis{3}) == entry_change::leaving);
    CHECK(apply_entry(registry, entry("i-1", 2), {0, 4}, millis{4}) == entry_change::changed);
    CHECK(apply_entry(registry, entry("i-1", 1, true), {0, 5}, millis{5}) == entry_change::none);
    CHECK(apply_removal(registry, "i-1", {0, 6}, millis{10}) == entry_change::removed);
    CHECK(registry.entries_.empty());
}

// Guards against an upstream that is used forever: it left just after an outage of the store, so its removal
// was treated as a lapse, and no later record caused a check of the lapsed entries.
TEST_CASE("an upstream that leaves just after an outage is dropped within the grace period",
          "[registry][promise-11]")
{
    auto registry = with_one();
    mark_store_unreachable(registry);
    mark_store_reachable(registry, millis{11'670});
    CHECK(apply_removal(registry, "i-1", {0, 2}, millis{13'210}) == entry_change::lapsed);
    CHECK(next_drop_time(registry) == millis{11'670} + lapsed_entry_grace);
    CHECK_FALSE(drop_lapsed(registry, millis{13'800}));
    CHECK(drop_lapsed(registry, millis{11'670} + lapsed_entry_grace));
    CHECK(registry.entries_.empty());
}

// Guards against the loss of live upstreams whose entries expire during an outage of the store.
TEST_CASE("an entry that lapsed during an outage is used until the grace period after it ends", "[registry]")
{
    auto registry = with_one();
    mark_store_unreachable(registry);
    CHECK(apply_removal(registry, "i-1", {0, 2}, millis{5'000}) == entry_change::lapsed);
    CHECK_FALSE(drop_lapsed(registry, millis{60'000}));
    mark_store_reachable(registry, millis{60'000});
    SECTION("it stays if it returns")
    {
        CHECK(apply_entry(registry, entry("i-1"), {0, 3}, millis{60'010}) == entry_change::returned);
        CHECK_FALSE(drop_lapsed(registry, millis{70'000}));
        CHECK(registry.entries_.size() == 1);
    }
    SECTION("it is dropped if it does not return")
    {
        CHECK(apply_removal(registry, "i-1", {0, 3}, millis{60'010}) == entry_change::lapsed);
        CHECK(drop_lapsed(registry, millis{60'000} + lapsed_entry_grace + lapsed_entry_grace));
        CHECK(registry.entries_.empty());
    }
}

// Guards against a removal that is not forwarded: a VM that read it just after an outage kept the upstream at
// first and so did not forward the record; the others advanced past it and kept sending requests there.
TEST_CASE("a VM that receives only the changes knows the same upstreams as the VM that reads the store",
          "[registry]")
{
    CHECK(rc::check([] {
        upstream_registry reader;
        upstream_registry receiver;
        millis now{10'000};
        auto const steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += millis{*rc::gen::inRange(0, 1'500)};
            auto const id = "i-" + std::to_string(*rc::gen::inRange(0, 3));
            auto const offset = static_cast<std::uint64_t>(i) + 1;
            auto change = entry_change::none;
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                mark_store_unreachable(reader);
                continue;
            case 1:
                mark_store_reachable(reader, now);
                continue;
            case 2:
                change = apply_removal(reader, id, {0, offset}, now);
                if (change != entry_change::none) {
                    (void)apply_removal(receiver, id, {0, offset}, now);
                }
                break;
            default: {
                auto const record = entry(id, *rc::gen::inRange(1, 3), *rc::gen::arbitrary<bool>());
                change = apply_entry(reader, record, {0, offset}, now);
                if (change != entry_change::none) {
                    (void)apply_entry(receiver, record, {0, offset}, now);
                }
            }
            }
            (void)drop_lapsed(reader, now);
            RC_ASSERT(registry_digest(reader) == registry_digest(receiver));
        }
        mark_store_reachable(reader, now);
        (void)drop_lapsed(reader, now + lapsed_entry_grace * 3);
        RC_ASSERT(reader.entries_ == receiver.entries_);
    }));
}

// Guards against a late or repeated message, or a stale read, that brings back an upstream which has left.
TEST_CASE("records may be applied in any order and more than once", "[registry][promise-11]")
{
    CHECK(rc::check([] {
        struct stored {
            std::uint64_t offset_{};
            std::string id_;
            std::optional<upstream> entry_;
        };
        std::vector<stored> records;
        auto const count = *rc::gen::inRange(1, 30);
        std::map<std::string, std::int64_t> starts;
        for (int i = 0; i < count; ++i) {
            auto const id = "i-" + std::to_string(*rc::gen::inRange(0, 3));
            stored record{static_cast<std::uint64_t>(i), id, std::nullopt};
            if (*rc::gen::inRange(0, 4) != 0) {
                starts[id] += *rc::gen::inRange(0, 2);
                record.entry_ = entry(id, starts[id], *rc::gen::arbitrary<bool>());
            }
            records.push_back(std::move(record));
        }
        auto const apply = [](upstream_registry& registry, stored const& record) {
            if (record.entry_) {
                (void)apply_entry(registry, *record.entry_, {0, record.offset_}, millis{1'000});
            } else {
                (void)apply_removal(registry, record.id_, {0, record.offset_}, millis{1'000});
            }
        };
        upstream_registry in_order;
        upstream_registry in_any_order;
        for (auto const& record : records) {
            apply(in_order, record);
        }
        auto shuffled = records;
        for (auto const index : *rc::gen::container<std::vector<std::size_t>>(
                 rc::gen::inRange<std::size_t>(0, records.size()))) {
            shuffled.push_back(records[index]);
        }
        std::mt19937 random{*rc::gen::arbitrary<unsigned>()};
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        for (auto const& record : shuffled) {
            apply(in_any_order, record);
        }
        RC_ASSERT(in_any_order.entries_ == in_order.entries_);
    }));
}

// Guards against a process that is used again after it said that it leaves, and against a new one that is
// not.
TEST_CASE("a process that leaves is marked until a later start under its id", "[registry][promise-11]")
{
    auto registry = with_one();
    CHECK(note_leave(registry, {"i-1", 1, millis{5}}));
    CHECK_FALSE(note_leave(registry, {"i-1", 1, millis{6}}));
    struct row {
        upstream entry_;
        bool leaving_;
    };
    std::uint64_t offset = 1;
    for (auto const& row : {row{entry("i-1", 1, true), true}, row{entry("i-1", 1, false), true},
                            row{entry("i-1", 2, false), false}}) {
        (void)apply_entry(registry, row.entry_, {0, ++offset}, millis{10});
        CHECK(usable_entries(registry).at("i-1").leaving_ == row.leaving_);
    }
    CHECK_FALSE(note_leave(registry, {"i-1", 1, millis{11}}));
    CHECK_FALSE(usable_entries(registry).at("i-1").leaving_);
    SECTION("also if its entry was removed and comes back")
    {
        CHECK(note_leave(registry, {"i-1", 2, millis{12}}));
        CHECK(apply_removal(registry, "i-1", {0, ++offset}, millis{13}) == entry_change::removed);
        CHECK(apply_entry(registry, entry("i-1", 2), {0, ++offset}, millis{14}) == entry_change::added);
        CHECK(usable_entries(registry).at("i-1").leaving_);
    }
}

// Guards against notices that two VMs tell each other for ever, and against their number.
TEST_CASE("notices of leaves are told for a while, and their number is bounded", "[registry]")
{
    upstream_registry registry;
    constexpr std::size_t count = max_told_leaves + 50;
    for (std::size_t i = 0; i < count; ++i) {
        CHECK(note_leave(registry, {"i-" + std::to_string(i), 1, millis{static_cast<std::int64_t>(i)}}));
    }
    auto const told = told_leaves(registry, millis{1'000});
    REQUIRE(told.size() == max_told_leaves);
    CHECK(told.front().id_ == "i-" + std::to_string(count - 1));
    auto reversed = told;
    std::reverse(reversed.begin(), reversed.end());
    CHECK(leaves_digest(reversed) == leaves_digest(told));
    auto const end = millis{1'000} + leave_notice_lifetime;
    CHECK(told_leaves(registry, end).empty());
    expire_notices(registry, end);
    CHECK_FALSE(note_leave(registry, {"i-0", 1, millis{0}})); // an old message does not start it anew
    expire_notices(registry, end + leave_notice_lifetime);
    CHECK(registry.leaves_.empty());
}
