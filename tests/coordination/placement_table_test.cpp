#include <auburnchute/placement_table.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburnchute;

namespace {

upstream_placement placement(std::string id, std::string const& model, millis remaining = millis{-1})
{
    upstream_placement made;
    made.upstream_id_ = std::move(id);
    made.models_[model];
    if (remaining >= millis{0}) {
        made.loading_ = {{"next", "", remaining}};
    }
    return made;
}

std::size_t count_after(placement_table const& holder, std::uint64_t after, millis now)
{
    return placements_after(holder, after, now).size();
}

} // namespace

// Guards against messages that repeat the whole table: their size must depend on the number of changes.
TEST_CASE("only placements that changed after the receiver's version are sent", "[placement-table]")
{
    placement_table holder;
    std::vector<upstream_placement> all;
    for (int i = 0; i < 140; ++i) {
        all.push_back(placement("i-" + std::to_string(i), "m"));
    }
    publish_placements(holder, 3, all, millis{1'000});
    CHECK(count_after(holder, 0, millis{1'000}) == 140);
    auto const seen = holder.version_;
    CHECK(count_after(holder, seen, millis{1'000}) == 0);
    publish_placements(holder, 3, all, millis{1'100});
    CHECK(count_after(holder, seen, millis{1'100}) == 0);
    all[7] = placement("i-7", "n");
    publish_placements(holder, 3, all, millis{1'200});
    CHECK(count_after(holder, seen, millis{1'200}) == 1);
    all[9] = placement("i-9", "m", millis{500});
    publish_placements(holder, 3, all, millis{1'300});
    CHECK(count_after(holder, seen, millis{1'300}) == 2);
    CHECK(placements_after(holder, holder.version_ - 1, millis{1'400})[0].loading_[0].remaining_ ==
          millis{400});
}

// Guards against a receiver that advances its version although it has missed a message.
TEST_CASE("after lost messages, the next one brings the receiver's table up to date", "[placement-table]")
{
    CHECK(rc::check([] {
        placement_table holder;
        placement_table receiver;
        std::map<std::string, upstream_placement> current;
        millis now{1'000};
        auto const exchange = [&] {
            auto const from = receiver.epoch_ == holder.epoch_ ? receiver.version_ : 0;
            apply_placements(receiver, holder.epoch_, from, holder.version_,
                             placements_after(holder, from, now), now);
        };
        std::uint64_t stale_from = 0;
        for (int step = 0; step < 40; ++step) {
            now += millis{*rc::gen::inRange<std::int64_t>(1, 200)};
            auto const id = "i-" + std::to_string(*rc::gen::inRange(0, 5));
            current[id] = placement(id, "m" + std::to_string(*rc::gen::inRange(0, 3)));
            std::vector<upstream_placement> all;
            for (auto const& [key, value] : current) {
                all.push_back(value);
            }
            publish_placements(holder,
                               *rc::gen::inRange(0, 10) == 0 ? holder.epoch_ + 1
                                                             : std::max<std::uint64_t>(holder.epoch_, 1),
                               all, now);
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                exchange();
                break;
            case 1: // a message built for an older version of the receiver
                apply_placements(receiver, holder.epoch_, stale_from, holder.version_,
                                 placements_after(holder, stale_from, now), now);
                break;
            default:
                stale_from = holder.version_; // the message is lost
            }
        }
        exchange();
        RC_ASSERT(receiver.version_ == holder.version_);
        for (auto const& [id, value] : current) {
            auto const* const known = find_placement(receiver, id, now);
            RC_ASSERT(known != nullptr);
            RC_ASSERT(known->placement_.models_ == value.models_);
        }
    }));
}

// Guards against requests that are routed by outdated placements of a holder that has stopped.
TEST_CASE("placements expire by age, and all of them once the holder is silent", "[placement-table]")
{
    placement_table table;
    std::vector<upstream_placement> const placements{placement("old", "m"),
                                                     placement("loading", "m", millis{30'000})};
    apply_placements(table, 1, 0, 2, placements, millis{1'000});
    struct row {
        millis holder_message_at_;
        millis now_;
        bool old_;
        bool loading_;
    };
    for (auto const& row :
         {row{millis{1'000}, millis{2'000}, true, true}, row{millis{11'000}, millis{11'500}, false, true},
          row{millis{11'000}, millis{22'000}, false, false}}) {
        CAPTURE(row.now_.count_);
        apply_placements(table, 1, 2, 2, {}, row.holder_message_at_);
        CHECK((find_placement(table, "old", row.now_) != nullptr) == row.old_);
        CHECK((find_placement(table, "loading", row.now_) != nullptr) == row.loading_);
    }
}
