#include <auburnchute/upstream_registry.hpp>

#include <catch2/catch.hpp>
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
    REQUIRE(apply_entry(registry, entry("i-1")) == entry_change::added);
    return registry;
}

} // namespace

// Guards against entries of an earlier start that overwrite those of a later one.
TEST_CASE("entries are added, changed, marked as leaving and removed", "[registry][promise-11]")
{
    auto registry = with_one();
    CHECK(apply_entry(registry, entry("i-1")) == entry_change::none);
    CHECK(apply_entry(registry, entry("i-1", 1, true)) == entry_change::leaving);
    CHECK(apply_entry(registry, entry("i-1", 2)) == entry_change::changed);
    CHECK(apply_entry(registry, entry("i-1", 1, true)) == entry_change::none);
    CHECK(apply_removal(registry, "i-1", millis{10}) == entry_change::removed);
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
    CHECK(apply_removal(registry, "i-1", millis{13'210}) == entry_change::lapsed);
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
    CHECK(apply_removal(registry, "i-1", millis{5'000}) == entry_change::lapsed);
    CHECK_FALSE(drop_lapsed(registry, millis{60'000}));
    mark_store_reachable(registry, millis{60'000});
    SECTION("it stays if it returns")
    {
        CHECK(apply_entry(registry, entry("i-1")) == entry_change::returned);
        CHECK_FALSE(drop_lapsed(registry, millis{70'000}));
        CHECK(registry.entries_.size() == 1);
    }
    SECTION("it is dropped if it does not return")
    {
        CHECK(apply_removal(registry, "i-1", millis{60'010}) == entry_change::lapsed);
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
            auto change = entry_change::none;
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                mark_store_unreachable(reader);
                continue;
            case 1:
                mark_store_reachable(reader, now);
                continue;
            case 2:
                change = apply_removal(reader, id, now);
                if (change != entry_change::none) {
                    (void)apply_removal(receiver, id, now);
                }
                break;
            default: {
                auto const record = entry(id, *rc::gen::inRange(1, 3), *rc::gen::arbitrary<bool>());
                change = apply_entry(reader, record);
                if (change != entry_change::none) {
                    (void)apply_entry(receiver, record);
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
