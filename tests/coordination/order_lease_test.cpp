#include <auburnchute/order_lease.hpp>

#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>
#include <vector>

using namespace auburnchute;

namespace {

constexpr millis handover_gap{3'000};
constexpr millis max_delivery_time{600};

lease_view vm(std::string name, std::uint64_t incarnation)
{
    lease_view view;
    view.vm_ = std::move(name);
    view.incarnation_ = incarnation;
    return view;
}

/// Topic of the store that accepts a record only if its writer knows the current end.
struct topic {
    std::uint64_t end_{};
    std::optional<lease_record> newest_;

    bool append(lease_view& view, millis at)
    {
        auto const record = next_lease_record(view, handover_gap, at);
        if (view.end_ != store_position{0, end_}) {
            return false;
        }
        newest_ = record;
        ++end_;
        record_lease_append(view, record, at, {0, end_});
        return true;
    }

    void read(lease_view& view, millis at) const { observe_lease(view, {0, end_}, newest_, at); }
};

} // namespace

// Guards against orders of two VMs at the same time, before and after a change of holder.
TEST_CASE("the first holder may order at once, a successor only after the handover gap", "[lease][promise-1]")
{
    topic store;
    auto first = vm("a", 1);
    auto second = vm("b", 2);
    store.read(first, millis{10});
    store.read(second, millis{10});
    REQUIRE(may_take_lease(first, millis{10}));
    REQUIRE(store.append(first, millis{10}));
    CHECK(may_order(first, max_delivery_time, millis{10}));
    CHECK_FALSE(store.append(second, millis{11}));
    store.read(second, millis{20});
    CHECK_FALSE(may_take_lease(second, millis{20} + lease_lifetime));
    auto const taken = millis{21} + lease_lifetime + lease_clock_margin;
    REQUIRE(may_take_lease(second, taken));
    CHECK_FALSE(may_order(first, max_delivery_time, taken));
    REQUIRE(store.append(second, taken));
    CHECK_FALSE(may_order(second, max_delivery_time, taken + handover_gap));
    REQUIRE(store.append(second, taken + millis{2'000}));
    CHECK(may_order(second, max_delivery_time, taken + handover_gap + lease_clock_margin));
    CHECK(second.epoch_ > first.epoch_);
}

// Guards against a holder that drops its lease after a lost answer, or keeps it after it has lost it.
TEST_CASE("the topic's records and the time decide whether a lease is held", "[lease][promise-1]")
{
    topic store;
    auto holder = vm("a", 1);
    store.read(holder, millis{0});
    REQUIRE(store.append(holder, millis{1}));
    SECTION("a renewal whose answer was lost is recovered by reading the topic")
    {
        auto unseen = holder;
        REQUIRE(store.append(unseen, millis{800}));
        CHECK_FALSE(store.append(holder, millis{900}));
        store.read(holder, millis{950});
        CHECK(holder.epoch_ != 0);
        CHECK(store.append(holder, millis{960}));
    }
    SECTION("a record of another VM ends the lease")
    {
        auto other = vm("b", 2);
        store.read(other, millis{10});
        REQUIRE(store.append(other, millis{5'000}));
        store.read(holder, millis{5'010});
        CHECK_FALSE(holds_lease(holder, millis{5'010}));
    }
    SECTION("the lease expires without a renewal")
    {
        CHECK_FALSE(holds_lease(holder, millis{1} + lease_lifetime));
        CHECK_FALSE(may_order(holder, max_delivery_time, millis{1} + lease_lifetime - max_delivery_time));
    }
}

// Guards against a restart within the handover gap that shortens the gap or starts it anew.
TEST_CASE("a restarted holder continues the handover gap of its earlier process", "[lease][promise-1]")
{
    topic store;
    auto first = vm("a", 1);
    store.read(first, millis{0});
    REQUIRE(store.append(first, millis{0}));
    auto second = vm("b", 2);
    store.read(second, millis{0});
    REQUIRE(store.append(second, millis{4'000}));
    auto restarted = vm("b", 3);
    store.read(restarted, millis{4'500});
    REQUIRE(may_take_lease(restarted, millis{4'500}));
    REQUIRE(store.append(restarted, millis{4'500}));
    CHECK_FALSE(may_order(restarted, max_delivery_time, millis{4'600}));
    CHECK(restarted.orders_from_ == millis{4'000} + handover_gap + lease_clock_margin);
}

// Guards against orders of two VMs within the handover gap when VMs pause or restart, answers are lost or
// reads are late.
TEST_CASE("orders of two holders are at least the handover gap apart", "[lease][promise-1]")
{
    CHECK(rc::check([] {
        topic store;
        std::vector<lease_view> vms{vm("a", 1), vm("b", 2), vm("c", 3)};
        std::vector<millis> paused(vms.size());
        std::optional<std::size_t> last_orderer;
        millis last_order{};
        for (std::int64_t at = 1; at < 60'000; at += *rc::gen::inRange<std::int64_t>(20, 300)) {
            auto const now = millis{at};
            auto const index = *rc::gen::inRange<std::size_t>(0, vms.size());
            auto& view = vms[index];
            if (now < paused[index]) {
                continue;
            }
            switch (*rc::gen::inRange(0, 12)) {
            case 0:
                paused[index] = now + millis{*rc::gen::inRange<std::int64_t>(500, 8'000)};
                break;
            case 1: { // the record is stored, but the answer to its writer is lost
                auto unseen = view;
                if (unseen.epoch_ != 0 || may_take_lease(unseen, now)) {
                    store.append(unseen, now);
                }
                break;
            }
            case 2:
            case 3:
            case 4:
                store.read(view, now);
                break;
            case 5: // a new process on the same VM
                view = vm(view.vm_, view.incarnation_ + 10);
                break;
            default:
                if (view.epoch_ != 0 || may_take_lease(view, now)) {
                    if (!store.append(view, now)) {
                        store.read(view, now);
                    }
                }
            }
            if (may_order(view, max_delivery_time, now)) {
                if (last_orderer && *last_orderer != index) {
                    RC_ASSERT(now - last_order >= handover_gap);
                }
                last_orderer = index;
                last_order = now + max_delivery_time;
            }
        }
    }));
}

// Guards against a holder that loses its lease, and a second one beside it, as the store lost their records.
TEST_CASE("the holder goes on after the store came back from a copy, and nobody else holds the lease",
          "[lease][era][promise-1]")
{
    // Of the copy: of an earlier holder, which may take the lease at once in ordinary times, or none at all.
    auto const copied =
        GENERATE(std::optional{lease_record{"b", 2, 7, millis{0}, 1}}, std::optional<lease_record>{});
    auto holder = vm("a", 1);
    observe_lease(holder, {1, 20}, lease_record{"b", 2, 7, millis{0}, 1}, millis{1});
    REQUIRE(may_take_lease(holder, millis{3'000}));
    auto const record = next_lease_record(holder, handover_gap, millis{3'000});
    record_lease_append(holder, record, millis{3'000}, {1, 21});
    REQUIRE(record.epoch_ == 21);

    auto other = vm("b", 2);
    observe_lease(other, {1, 20}, lease_record{"b", 2, 7, millis{0}, 1}, millis{2'900});
    note_epoch(other, record.epoch_); // by messages
    observe_lease(other, {2, 8}, copied, millis{3'100});
    CHECK_FALSE(may_take_lease(other, millis{3'100} + lease_lifetime));

    observe_lease(holder, {2, 8}, copied, millis{3'200});
    REQUIRE(holds_lease(holder, millis{3'200}));
    auto const again = next_lease_record(holder, handover_gap, millis{3'300});
    CHECK(again.epoch_ == record.epoch_);
    CHECK(again.store_era_ == 2);
    record_lease_append(holder, again, millis{3'300}, {2, 9});
    CHECK(holds_lease(holder, millis{3'300} + lease_lifetime - millis{1}));

    SECTION("a successor waits for the gap, and its epoch is above all that it heard of")
    {
        auto const taken = millis{3'101} + lease_lifetime + lease_clock_margin;
        REQUIRE(may_take_lease(other, taken));
        auto const next = next_lease_record(other, handover_gap, taken);
        CHECK(next.epoch_ > record.epoch_);
        CHECK(next.orders_from_ == taken + handover_gap + lease_clock_margin);
    }
    SECTION("a record of the present era ends the lease")
    {
        observe_lease(holder, {2, 10}, lease_record{"b", 2, 22, millis{0}, 2}, millis{3'400});
        CHECK_FALSE(holds_lease(holder, millis{3'400}));
    }
}
