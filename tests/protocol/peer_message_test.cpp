#include "protocol/peer_message.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburnchute;

namespace {

peer_state sample()
{
    peer_state state;
    state.vm_ = "front-a-1";
    state.incarnation_ = 77;
    state.callers_address_ = "10.0.0.1:8221";
    state.ready_ = true;
    state.config_next_ = 12;
    state.config_age_ = 340;
    state.used_ = {{"w1", 12'345}, {"w2", -5}};
    state.asked_ = {{"w1", 20'000}};
    state.level_ = {{"w1", 900}};
    state.upstreams_["i-1"] = {3, 27'000, 9'000};
    state.crashes_ = {{"f", 2}};
    auto& need = state.needs_[{"llm", "m", "a1"}];
    need.waiting_ = 2;
    need.rate_ = 0.25;
    need.urgency_ = 1;
    need.oldest_wait_ = millis{120};
    state.lease_epoch_ = 9;
    placement_notice notice;
    notice.upstream_id_ = "i-1";
    notice.started_at_ = 1'700'000'000'000;
    notice.models_["m"].adapters_ = {"a1", "a2"};
    notice.retiring_ = {"n"};
    notice.loading_ = {{"k", "", millis{700}}};
    state.placements_ = {notice};
    state.placements_from_ = 4;
    state.placements_to_ = 6;
    state.seen_epoch_ = 8;
    state.seen_placements_ = 31;
    state.seen_news_ = 44;
    state.strength_ = 12;
    return state;
}

} // namespace

TEST_CASE("a datagram is read back as written", "[peers]")
{
    auto const state = sample();
    auto const bytes = encode_datagram({1'000, 900, 15}, encode_state(state));
    auto const read = decode_datagram(bytes);
    REQUIRE(read);
    CHECK(read->times_.sent_at_ == 1'000);
    CHECK(read->times_.echo_ == 900);
    CHECK(read->times_.echo_held_ == 15);
    CHECK(read->state_.vm_ == state.vm_);
    CHECK(read->state_.used_ == state.used_);
    CHECK(read->state_.asked_ == state.asked_);
    CHECK(read->state_.crashes_ == state.crashes_);
    CHECK(read->state_.upstreams_.at("i-1").tokens_ == 27'000);
    CHECK(read->state_.upstreams_.at("i-1").unread_tokens_ == 9'000);
    CHECK(read->state_.needs_.at({"llm", "m", "a1"}).oldest_wait_ == millis{120});
    CHECK(read->state_.placements_from_ == 4);
    CHECK(read->state_.placements_to_ == 6);
    CHECK(read->state_.seen_epoch_ == 8);
    CHECK(read->state_.seen_placements_ == 31);
    CHECK(read->state_.seen_news_ == 44);
    CHECK(read->state_.strength_ == 12);
    REQUIRE(read->state_.placements_.size() == 1);
    CHECK(read->state_.placements_[0].models_.at("m").adapters_.contains("a2"));
    CHECK(read->state_.placements_[0].retiring_.contains("n"));
    CHECK(read->state_.placements_[0].loading_[0].remaining_ == millis{700});
}

// Guards against a process that ends because of bytes from elsewhere.
TEST_CASE("bytes that are no datagram are refused", "[peers]")
{
    rc::check([] {
        auto bytes = encode_datagram({1, 2, 3}, encode_state(sample()));
        auto const changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = static_cast<std::uint8_t>(*rc::gen::inRange(0, 256));
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        (void)decode_datagram(bytes);
    });
}
