#include "protocol/fleet_codec.hpp"

#include <catch2/catch.hpp>
#include <numeric>
#include <rapidcheck.h>

using namespace auburnchute;

namespace {

fleet_message sample()
{
    fleet_message message;
    message.vm_ = "front-a-1";
    message.incarnation_ = 77;
    message.kind_ = message_kind::digest;
    message.term_ = 1'234;
    message.sent_at_ = 1'000;
    message.echo_ = 900;
    message.echo_held_ = 15;
    message.send_interval_ = millis{190};
    message.roster_ = 0x1234567890abcdefULL;
    message.seen_roster_ = 3;
    message.roster_told_ = true;
    message.ready_ = {1, 0xffffffffU};
    message.unready_ = {2};
    message.young_ = {2};
    message.relays_ = {9, 10};
    message.config_next_ = 12;
    message.config_age_ = 340;
    message.spent_ = {{1, 12'345, 20'000}, {2, -5, 0}};
    message.counted_ = {{1, 10'000, 11'000}};
    message.counted_term_ = 88;
    message.wants_levels_ = true;
    message.levels_ = {{1, -900}};
    message.use_ = {{7, {3, 27'000, 9'000}}};
    message.evidence_ = {{.trait_ = {99, 2},
                          .round_ = 3,
                          .trials_ = 1,
                          .marks_ = {{7, 8, crash_weight::begun, true}, {9, 0, crash_weight::waiting, false}},
                          .answers_ = {{8, 3}, {0, 1}},
                          .changed_at_ = millis{message.sent_at_ - 40}}};
    message.evidence_version_ = 1'234;
    message.seen_evidence_ = 5'678;
    message.needs_ = {{5, {2, 1, 0.25, 1, millis{120}}}};
    message.lease_epoch_ = 9;
    message.lease_end_ = 10;
    message.orders_in_ = 250;
    message.placements_from_ = 4;
    message.placements_to_ = 6;
    upstream_placement placement;
    placement.upstream_id_ = "i-1";
    placement.started_at_ = 1'700'000'000'000;
    placement.models_["m"].version_ = 3;
    placement.models_["m"].adapters_ = {"a1", "a2"};
    placement.retiring_ = {"n"};
    placement.loading_ = {{"k", "a", millis{700}}};
    message.placements_ = {placement};
    message.seen_epoch_ = 8;
    message.seen_placements_ = 31;
    message.news_from_ = 40;
    message.news_to_ = 44;
    message.news_ = {{41, "i-1", std::string{"{}"}}, {43, "i-2", std::nullopt}, {43, "i-3", std::string{}}};
    message.seen_news_ = 44;
    message.entries_age_ = 310;
    message.registry_ = 55;
    message.leaves_ = {{"i-4", 1'700'000'000'000, millis{message.sent_at_ - 250}}};
    message.leaves_digest_ = 66;
    message.plans_from_ = 2;
    message.plans_ = {{3, "s", std::string{"\0\x01", 2}}};
    message.seen_plans_ = 5;
    message.plans_age_ = 270;
    message.store_era_ = 3;
    message.config_version_ = 8'000'000'000;
    return message;
}

} // namespace

TEST_CASE("a message is read back as written", "[peers]")
{
    auto const message = sample();
    auto const read = decode_message(encode_message(message));
    REQUIRE(read);
    CHECK(read->vm_ == message.vm_);
    CHECK(read->incarnation_ == message.incarnation_);
    CHECK(read->kind_ == message.kind_);
    CHECK(read->term_ == message.term_);
    CHECK(read->sent_at_ == message.sent_at_);
    CHECK(read->echo_ == message.echo_);
    CHECK(read->echo_held_ == message.echo_held_);
    CHECK(read->send_interval_ == message.send_interval_);
    CHECK(read->roster_ == message.roster_);
    CHECK(read->seen_roster_ == message.seen_roster_);
    CHECK(read->roster_told_ == message.roster_told_);
    CHECK(read->ready_ == message.ready_);
    CHECK(read->unready_ == message.unready_);
    CHECK(read->young_ == message.young_);
    CHECK(read->relays_ == message.relays_);
    CHECK(read->config_next_ == message.config_next_);
    CHECK(read->config_age_ == message.config_age_);
    CHECK(read->spent_ == message.spent_);
    CHECK(read->counted_ == message.counted_);
    CHECK(read->counted_term_ == message.counted_term_);
    CHECK(read->wants_levels_ == message.wants_levels_);
    CHECK(read->levels_ == message.levels_);
    CHECK(read->use_ == message.use_);
    REQUIRE(read->evidence_.size() == 1);
    CHECK(read->evidence_[0].trait_ == message.evidence_[0].trait_);
    CHECK(read->evidence_[0].round_ == 3);
    CHECK(read->evidence_[0].trials_ == 1);
    CHECK(read->evidence_[0].marks_ == message.evidence_[0].marks_);
    CHECK(read->evidence_[0].answers_ == message.evidence_[0].answers_);
    CHECK(read->evidence_[0].changed_at_ == message.evidence_[0].changed_at_);
    CHECK(read->evidence_version_ == 1'234);
    CHECK(read->seen_evidence_ == 5'678);
    CHECK(read->needs_ == message.needs_);
    CHECK(read->lease_epoch_ == message.lease_epoch_);
    CHECK(read->lease_end_ == message.lease_end_);
    CHECK(read->orders_in_ == message.orders_in_);
    CHECK(read->placements_from_ == message.placements_from_);
    CHECK(read->placements_to_ == message.placements_to_);
    CHECK(read->placements_ == message.placements_);
    CHECK(read->seen_epoch_ == message.seen_epoch_);
    CHECK(read->seen_placements_ == message.seen_placements_);
    CHECK(read->news_from_ == message.news_from_);
    CHECK(read->news_to_ == message.news_to_);
    CHECK(read->news_ == message.news_);
    CHECK(read->seen_news_ == message.seen_news_);
    CHECK(read->entries_age_ == message.entries_age_);
    CHECK(read->registry_ == message.registry_);
    CHECK(read->leaves_ == message.leaves_);
    CHECK(read->leaves_digest_ == message.leaves_digest_);
    CHECK(read->plans_from_ == message.plans_from_);
    CHECK(read->plans_ == message.plans_);
    CHECK(read->seen_plans_ == message.seen_plans_);
    CHECK(read->plans_age_ == message.plans_age_);
    CHECK(read->store_era_ == message.store_era_);
    CHECK(read->config_version_ == message.config_version_);
}

// Guards against VMs that read another plan than the one that was stored.
TEST_CASE("a plan of versions is read back as stored, and other bytes are none", "[peers][versions]")
{
    version_plan plan{.revision_ = 7, .longest_limit_ = millis{15'000}, .models_ = {}};
    version_era era{
        .number_ = 3, .versions_ = {"", "v1"}, .owners_ = {}, .learned_at_ = {}, .absent_at_ = {}};
    era.owners_[5] = 1;
    plan.models_[""] = {era};
    era.number_ = 7;
    era.owners_.fill(1);
    plan.models_["m"] = {plan.models_[""][0], era};
    auto const stored = encode_plan(plan);
    CHECK(decode_plan(stored) == plan);
    CHECK_FALSE(decode_plan(stored.substr(0, stored.size() - 1)));
    CHECK_FALSE(decode_plan("{}"));
    plan.models_["m"].clear();
    CHECK_FALSE(decode_plan(encode_plan(plan)));
}

// Guards against a process that ends because of bytes from elsewhere.
TEST_CASE("bytes that are no message are refused", "[peers]")
{
    CHECK(rc::check([] {
        auto bytes = encode_message(sample());
        auto const changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = static_cast<std::uint8_t>(*rc::gen::inRange(0, 256));
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        (void)decode_message(bytes);
    }));
}

// Guards the sums over all VMs: a number that no daemon sends would make them overflow.
TEST_CASE("numbers beyond any use are refused", "[peers]")
{
    constexpr std::int64_t huge = std::int64_t{1} << 60U;
    auto const with = [](auto change) {
        auto message = sample();
        change(message);
        return decode_message(encode_message(message));
    };
    CHECK(with([](fleet_message&) {}));
    CHECK_FALSE(with([](fleet_message& m) { m.vm_.clear(); }));
    CHECK_FALSE(with([](fleet_message& m) { m.spent_[0].used_ = huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.spent_[0].asked_ = -huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.counted_[0].used_ = huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.levels_[0].level_ = -huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.use_[0].use_.tokens_ = huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.sent_at_ = huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.echo_held_ = -huge; }));
    CHECK_FALSE(with([](fleet_message& m) { m.needs_[0].amount_.rate_ = 1e30; }));
    CHECK_FALSE(with([](fleet_message& m) { m.needs_[0].amount_.rate_ = -1; }));
    CHECK_FALSE(with([](fleet_message& m) { m.kind_ = static_cast<message_kind>(7); }));
}

// Guards against crash evidence that grows beyond a datagram, which would never arrive.
TEST_CASE("the most crash evidence that a VM holds fits a datagram", "[fleet-codec][crash-evidence]")
{
    constexpr std::size_t largest_datagram = 60'000;
    crash_evidence evidence;
    for (std::uint32_t crash = 1; crash <= 200; ++crash) {
        std::vector<std::uint64_t> parts(max_part_traits);
        std::iota(parts.begin(), parts.end(), crash % 10 * max_part_traits);
        for (std::uint32_t workspace = 1; workspace <= 8; ++workspace) {
            auto const traits = traits_of(parts, 1, workspace, std::uint64_t{crash} << 8U | workspace << 1U);
            record_crash(evidence, {traits, crash, workspace, crash_weight::begun, {}}, millis{crash});
        }
        auto const most = traits_of(parts, 1, 1, 0);
        record_answer(evidence, most, 0, millis{crash}, millis{crash});
        record_answer(evidence, most, 9, millis{crash}, millis{crash});
    }
    fleet_message message;
    message.vm_ = "front-a-1";
    message.sent_at_ = 10'000;
    message.evidence_ = records_after(evidence, 0);
    CHECK(message.evidence_.size() == max_trait_records);
    CHECK(encode_message(message).size() < largest_datagram);
}
