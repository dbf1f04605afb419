#include "transport/entry/started_node.hpp"
#include "transport/entry/upstream_booking.hpp"

#include <catch2/catch.hpp>

using namespace auburnchute;
using auburnchute::tests::started_node;

// Found by reading: the expected time and the start of a try were never set, so every upstream's
// excess latency was computed from whatever lay in memory, and requests went to upstreams at random distances
// from the best.
TEST_CASE("an upstream's excess latency is how much later than expected it begins to answer", "[upstreams]")
{
    struct row {
        double expected_ms_;
        millis took_;
        double excess_latency_ms_;
    };
    for (auto const& row : {row{100, millis{100}, 0}, row{100, millis{40}, 0}, row{100, millis{600}, 150},
                            row{0, millis{1'000}, 300}}) {
        CAPTURE(row.expected_ms_, row.took_.count_);
        millis const now{50'000};
        started_node made{true, millis{0}};
        chosen_upstream const chosen{.id_ = "u", .unread_tokens_ = 30, .expected_ms_ = row.expected_ms_};
        upstream_booking booking{made.node_, chosen, 70, {"llm", "m", ""}, now};
        booking.note_answering(now + row.took_);
        CHECK(current_excess_latency(made.node_.upstreams_["u"].excess_latency_, now + row.took_) ==
              Approx(row.excess_latency_ms_));
    }
}

TEST_CASE("a booking counts at its upstream until it ends", "[upstreams]")
{
    for (bool const answered : {false, true}) {
        CAPTURE(answered);
        started_node made{true, millis{0}};
        auto& node = made.node_;
        need_key const need{"llm", "m", "a"};
        {
            chosen_upstream const chosen{.id_ = "u", .unread_tokens_ = 30};
            upstream_booking booking{node, chosen, 70, need, millis{1}};
            if (answered) {
                booking.note_answering(millis{2});
            }
            CHECK(node.upstreams_["u"].use_.requests_ == 1);
            CHECK(node.upstreams_["u"].use_.tokens_ == 70);
            CHECK(node.upstreams_["u"].use_.unread_tokens_ == (answered ? 0 : 30));
            CHECK(node.needs_[need].running_ == 1);
        }
        CHECK(node.upstreams_["u"].use_.requests_ == 0);
        CHECK(node.upstreams_["u"].use_.tokens_ == 0);
        CHECK(node.upstreams_["u"].use_.unread_tokens_ == 0);
        CHECK(node.needs_[need].running_ == 0);
    }
}
