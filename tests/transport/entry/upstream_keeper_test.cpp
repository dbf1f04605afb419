#include "transport/entry/started_node.hpp"
#include "transport/entry/upstream_keeper.hpp"

#include <catch2/catch.hpp>

using namespace auburnchute;
using auburnchute::tests::started_node;

namespace {

upstream process(std::string id, std::int64_t started_at)
{
    upstream made;
    made.id_ = std::move(id);
    made.service_ = "llm";
    made.slots_ = 6;
    made.started_at_ = started_at;
    return made;
}

chosen_upstream chosen_of(upstream const& entry)
{
    chosen_upstream chosen;
    chosen.id_ = entry.id_;
    chosen.started_at_ = entry.started_at_;
    chosen.slots_ = entry.slots_;
    chosen.work_ms_ = 100;
    return chosen;
}

void publish(started_node& vm, std::vector<upstream> const& entries)
{
    auto map = std::make_shared<upstream_map>();
    for (auto const& entry : entries) {
        map->emplace(entry.id_, entry);
    }
    entry_view view;
    view.upstreams_ = std::move(map);
    vm.shared_.cell_.publish(std::make_unique<entry_view const>(std::move(view)));
}

/// Has one VM know what the other tells.
void tell(started_node const& from, started_node& to, millis now)
{
    to.node_.exchange_.use_.clear();
    for (auto const& row : told_standing(from.node_, now)) {
        to.node_.exchange_.use_[row.upstream_] = row.use_;
    }
}

upstream_standing standing_at(started_node& vm, upstream const& entry, millis now)
{
    return standing_of(vm.node_, entry, &use_of(vm.node_, entry.id_), {}, now);
}

} // namespace

// Guards against VMs that each have to learn of a slow or just started upstream by their own callers' waits.
TEST_CASE("VMs know what one of them learned of an upstream", "[upstreams]")
{
    auto const old = process("old", 100);
    auto const slow = process("slow", 100);
    auto const started = process("started", 200);
    started_node first{true, millis{0}};
    started_node second{true, millis{0}};
    millis now{50'000};
    for (auto* vm : {&first, &second}) {
        vm->node_.upstreams_tell_pace_ = true;
        publish(*vm, {old, slow});
        note_sent(vm->node_, chosen_of(old), now);
    }
    CHECK_FALSE(standing_at(first, old, now).window_left_); // it may have run for long
    publish(first, {old, slow, started});
    note_sent(first.node_, chosen_of(old), now);
    CHECK(standing_at(first, started, now).window_left_ == first_window);
    for (int i = 0; i < 10; ++i) {
        now += millis{10};
        note_begun(first.node_, chosen_of(slow), "llm", now - millis{200}, now);
    }
    tell(first, second, now);
    CHECK(standing_at(second, slow, now).slowness_ > 1.6);
    CHECK(standing_at(second, old, now).slowness_ == Approx(1));

    // The second VM has the entry at last, and follows the window that the first one found.
    publish(second, {old, slow, started});
    note_sent(second.node_, chosen_of(old), now);
    auto sent = chosen_of(started);
    sent.known_running_ = 2;
    for (std::int64_t window = first_window; window < started.slots_; ++window) {
        CHECK(standing_at(second, started, now).window_left_ == window);
        note_begun(first.node_, sent, "llm", now - millis{100}, now);
        tell(first, second, now);
    }
    CHECK_FALSE(standing_at(first, started, now).window_left_);
    CHECK_FALSE(standing_at(second, started, now).window_left_);
}

// Guards against a process that failed and gets all requests again at once.
TEST_CASE("a process that failed gets requests at a pace again", "[upstreams]")
{
    struct row {
        std::vector<try_result> results_;
        bool gone_;
        bool paced_;
    };
    using enum try_result;
    for (auto const& row : {row{{refused}, false, false}, row{{refused, cut_before_answer}, false, true},
                            row{{not_sent}, true, true}, row{{answered, answered}, false, false}}) {
        CAPTURE(row.results_.size(), row.gone_);
        for (bool const contested : {true, false}) {
            CAPTURE(contested);
            auto const entry = process("u", 100);
            started_node vm{true, millis{0}};
            vm.node_.upstreams_tell_pace_ = contested;
            publish(vm, {entry});
            millis const now{50'000};
            note_sent(vm.node_, chosen_of(entry), now);
            for (auto const result : row.results_) {
                note_fault(vm.node_, chosen_of(entry), result, row.gone_, now);
            }
            CHECK(standing_at(vm, entry, now).window_left_.has_value() == (row.paced_ && contested));
            CHECK(told_standing(vm.node_, now).empty() == !(row.paced_ && contested));
        }
    }
}

// Guards against decisions under load at deployments that have none.
TEST_CASE("the pace of a machine that an upstream tells makes load contested", "[upstreams]")
{
    started_node vm{true, millis{0}};
    take_load(vm.node_, "u", reported_load{1, 0, 6, std::nullopt}, millis{10});
    CHECK_FALSE(serves_contested_load(vm.node_));
    CHECK(vm.node_.upstreams_.empty());
    take_load(vm.node_, "u", reported_load{1, 0, 6, 1.2}, millis{10});
    CHECK(serves_contested_load(vm.node_));
}
