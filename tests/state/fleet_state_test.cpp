#include "fleet_state_builder.hpp"

#include <auburnchute/error.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

using namespace auburnchute;
using namespace auburnchute::test;

namespace {

constexpr millis day{24 * 60 * 60 * 1000};

apply_result write_snapshot(fleet_state_builder& builder, member_id const& writer)
{
    auto const state = std::make_shared<fleet_state const>(builder.state_);
    return builder.write(writer, snapshot{state->next_offset_, state});
}

} // namespace

// Guards against records that are accepted although a condition of their type does not hold.
TEST_CASE("records that break a condition are rejected without effect", "[fleet_state]")
{
    struct row {
        char const* name_;
        member_id writer_;
        record_body body_;
    };
    auto negative_rate = make_tables();
    negative_rate.workspaces_[0].rate_ = -1;
    auto excessive_rate = make_tables();
    excessive_rate.workspaces_[0].rate_ = max_table_number + 1;
    load_decided const good{"r9", "gpu", "small", "", "u2", 30, load_source::disk_cache, entry_b, 0};
    auto const load_with = [&good](auto change) {
        auto body = good;
        change(body);
        return body;
    };
    member_id const non_member{"e9", 9};
    auto const row_index = GENERATE(range(0, 41));
    auto builder = make_state_builder();
    REQUIRE(builder.load(entry_a, "big-1", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, replica_loaded{"big-1", true}).verdict_ == verdict::accepted);
    REQUIRE(builder.load(entry_a, "ad-1", "big", "u1", "a").verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, claim_made{"k", "checkout", "shop", "d", entry_a}).verdict_ ==
            verdict::accepted);
    REQUIRE(builder.write(entry_a, key_granted{"d1", "legal", "n"}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, key_granted{"d2", "legal", "n"}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, key_withdrawn{"d2"}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_c, drain_set{"u0", true}).verdict_ == verdict::accepted);
    auto const state = std::make_shared<fleet_state const>(builder.state_);
    std::vector<row> const rows{
        {"a writer that is not a member", non_member, drain_set{"u0", true}},
        {"a join written by another member", entry_a, member_joined{non_member, "z", "h", "p", "a", 1'000}},
        {"a join of a known incarnation", entry_a, member_joined{entry_a, "z", "h", "p", "a", 1'000}},
        {"a leave of an unknown member", entry_a, member_leaving{non_member}},
        {"the end of an unknown member", entry_a, member_gone{non_member, gone_evidence::vm_absent}},
        {"a leave written by another member", entry_a, member_gone{entry_b, gone_evidence::left}},
        {"a replacement without a join", entry_a, member_gone{entry_b, gone_evidence::replaced}},
        {"a vote written by another member", entry_a, member_suspected{entry_b, entry_c}},
        {"a vote against itself", entry_a, member_suspected{entry_a, entry_a}},
        {"a vote against an unknown member", entry_a, member_suspected{entry_a, non_member}},
        {"an acknowledgement without a pending version", entry_a, share_ack{entry_a, 9}},
        {"tables edited from an old version", entry_a, tables_published{0, make_tables()}},
        {"invalid tables", entry_a, tables_published{1, negative_rate}},
        {"tables with numbers that would overflow", entry_a, tables_published{1, excessive_rate}},
        {"a key of an unknown workspace", entry_a, key_granted{"d3", "none", "n"}},
        {"a key that is already granted", entry_a, key_granted{"d1", "legal", "n"}},
        {"a withdrawn key", entry_a, key_granted{"d2", "legal", "n"}},
        {"the withdrawal of an unknown key", entry_a, key_withdrawn{"d9"}},
        {"a known VM instance", entry_a, upstream_seen{"u0", "i0", "x", "z", 100, true, false}},
        {"negative memory", entry_a, upstream_seen{"u0", "i1", "x", "z", -1, true, false}},
        {"the end of an unknown VM instance", entry_a, upstream_gone{"u0", "i9"}},
        {"a load by an unknown executor", entry_a, load_with([&](auto& b) { b.executor_ = non_member; })},
        {"a load in an unknown pool", entry_a, load_with([](auto& b) { b.pool_ = "none"; })},
        {"a load of an unknown model", entry_a, load_with([](auto& b) { b.model_ = "none"; })},
        {"a load of an unknown adapter", entry_a, load_with([](auto& b) { b.adapter_ = "none"; })},
        {"a load whose memory differs from the row", entry_a, load_with([](auto& b) { b.memory_mb_ = 1; })},
        {"a load with a stale replica count", entry_a, load_with([](auto& b) { b.expected_count_ = 1; })},
        {"a load on an unknown upstream", entry_a, load_with([](auto& b) { b.upstream_ = "u9"; })},
        {"a load on a drained upstream", entry_a, load_with([](auto& b) { b.upstream_ = "u0"; })},
        {"a used replica id", entry_a, load_with([](auto& b) { b.replica_ = "big-1"; })},
        {"an adapter without its base", entry_a,
         load_decided{"r9", "gpu", "big", "b", "u2", 5, load_source::disk_cache, entry_b, 0}},
        {"an adapter beyond the transfer limit of the store", entry_a,
         load_decided{"r9", "gpu", "big", "b", "u1", 5, load_source::store, entry_b, 0}},
        {"the unload of a base with adapters", entry_a, unload_decided{"big-1", entry_a}},
        {"the unload of a loading replica", entry_a, unload_decided{"ad-1", entry_a}},
        {"an unload by an unknown executor", entry_a, unload_decided{"big-1", non_member}},
        {"the release of a loaded replica", entry_a, replica_released{"big-1", entry_a}},
        {"a second claim", entry_b, claim_made{"k", "checkout", "shop", "d", entry_b}},
        {"a claim for another daemon", entry_b, claim_made{"k2", "checkout", "shop", "d", entry_a}},
        {"an outcome by another daemon", entry_b, claim_outcome{"k", entry_b, 200, "", "", true, false}},
        {"the drain of an unknown target", entry_a, drain_set{"none", true}},
        {"a snapshot that is ahead of the log", entry_a, snapshot{1'000, state}},
    };
    REQUIRE(rows.size() == 41);
    auto const& tested = rows[static_cast<std::size_t>(row_index)];
    CAPTURE(tested.name_);

    auto before = builder.state_;
    auto const result = builder.write(tested.writer_, tested.body_);

    CHECK(result.verdict_ == verdict::rejected);
    CHECK_FALSE(result.reason_.empty());
    before.next_offset_ = builder.state_.next_offset_;
    before.rejected_ += 1;
    before.sequences_ = builder.state_.sequences_;
    CHECK(same_state(before, builder.state_));
}

// Guards against memory that is freed while the replica is loaded: a daemon records a slow load as failed,
// the executor then reports the load and the end of its order, and a second `load_failed` used to free the
// memory.
TEST_CASE("a load that succeeds after it was recorded as failed keeps its memory", "[fleet_state][promise-2]")
{
    auto builder = make_state_builder();
    auto const upstream = GENERATE("u0", "u1");
    REQUIRE(builder.load(entry_a, "r", "big", upstream).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, load_failed{"r", false}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_a, replica_loaded{"r", true}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, load_failed{"r", true}).verdict_ == verdict::rejected);
    CHECK(builder.write(entry_a, load_failed{"r", true}).verdict_ == verdict::rejected);
    CHECK(reserved_memory_mb(builder.state_, upstream) == 40);
    CHECK(builder.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(reserved_memory_mb(builder.state_, upstream) == 0);
}

// Guards against memory freed on a new VM that holds the replica: the load order for the old VM may reach it,
// also before the log has its record. A new engine knows no fencing numbers and accepts the order. Found by
// fault injection: VM reclaimed at steps 5 and 7 of a request.
TEST_CASE("replicas of a replaced VM keep their memory until they are unloaded", "[fleet_state][promise-2]")
{
    auto builder = make_state_builder();
    auto const upstream = GENERATE("u0", "u1");
    auto const loaded = GENERATE(false, true);
    auto const ended = GENERATE(false, true);
    REQUIRE(builder.load(entry_a, "r", "big", upstream).verdict_ == verdict::accepted);
    if (loaded) {
        REQUIRE(builder.write(entry_a, replica_loaded{"r", ended}).verdict_ == verdict::accepted);
    }
    REQUIRE(builder.write(entry_b, upstream_seen{upstream, "i1", "x:1", "za", vm_memory_mb, false, false})
                .verdict_ == verdict::accepted);
    bool const order_ended = loaded && ended;
    CHECK(reserved_memory_mb(builder.state_, upstream) == 40);
    CHECK(transfers_in_flight(builder.state_, false) == (order_ended ? 0 : 1));
    REQUIRE(builder.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, replica_released{"r", entry_b}).verdict_ ==
          (order_ended ? verdict::accepted : verdict::rejected));
    CHECK(reserved_memory_mb(builder.state_, upstream) == (order_ended ? 0 : 40));
}

// Guards against replicas of a VM that is gone that count for ever against the model's maximum, and against
// memory freed while a load order may still reach a new VM at the same address.
TEST_CASE("replicas of a VM that is gone are removed if their load orders have ended",
          "[fleet_state][promise-2]")
{
    auto builder = make_state_builder();
    auto const upstream = GENERATE("u0", "u1");
    auto const ended = GENERATE(false, true);
    REQUIRE(builder.load(entry_a, "r", "big", upstream).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, replica_loaded{"r", ended}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_b, upstream_gone{upstream, "i0"}).verdict_ == verdict::accepted);
    CHECK(reserved_memory_mb(builder.state_, upstream) == (ended ? 0 : 40));
    CHECK(transfers_in_flight(builder.state_, false) == (ended ? 0 : 1));
}

// Guards against a release that was written before the load order ended and is applied after that: the order
// may have loaded the replica again in between.
TEST_CASE("another unload is needed if the load order ends after the first was decided",
          "[fleet_state][promise-2]")
{
    auto builder = make_state_builder();
    REQUIRE(builder.load(entry_a, "r", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_b, load_failed{"r", false}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::rejected);
    CHECK(transfers_in_flight(builder.state_, false) == 1);
    if (GENERATE(false, true)) {
        REQUIRE(builder.write(entry_b, member_gone{entry_a, gone_evidence::vm_absent}).verdict_ ==
                verdict::accepted);
    } else {
        REQUIRE(builder.write(entry_a, replica_loaded{"r", true}).verdict_ == verdict::accepted);
    }
    CHECK(builder.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::rejected);
    CHECK(builder.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(builder.state_.replicas_.empty());
}

// Guards against a daemon with a stale VM list that records an old VM instance again, which would mark the
// replicas that are loaded on the new one as failed.
TEST_CASE("a VM instance that was replaced is not accepted again", "[fleet_state][promise-2]")
{
    auto builder = make_state_builder();
    if (GENERATE(false, true)) {
        REQUIRE(builder.write(entry_a, upstream_gone{"u1", "i0"}).verdict_ == verdict::accepted);
    }
    REQUIRE(
        builder.write(entry_a, upstream_seen{"u1", "i1", "x:1", "za", vm_memory_mb, false, false}).verdict_ ==
        verdict::accepted);
    REQUIRE(builder.load(entry_a, "r", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, replica_loaded{"r", true}).verdict_ == verdict::accepted);
    CHECK(
        builder.write(entry_b, upstream_seen{"u1", "i0", "x:1", "za", vm_memory_mb, false, false}).verdict_ ==
        verdict::rejected);
    CHECK(reserved_memory_mb(builder.state_, "u1") == 40);
    CHECK(builder.state_.upstreams_.at("u1").vm_instance_ == "i1");
}

// Guards against a join that reaches the log after the join of a newer incarnation: it would mark the running
// process as ended while it still sends orders and uses its share.
TEST_CASE("a delayed join of an older incarnation is rejected", "[fleet_state][promise-2][promise-7]")
{
    auto builder = make_state_builder();
    auto const read_by_old = builder.state_.next_offset_;
    member_id const older{"e3", 1};
    member_id const newer{"e3", 2};
    REQUIRE(builder.join(newer).verdict_ == verdict::accepted);
    CHECK(builder.write(older, member_joined{older, "za", "h", "p", "a", read_by_old}).verdict_ ==
          verdict::rejected);
    CHECK_FALSE(is_gone(builder.state_, newer));
    member_id const newest{"e3", 3};
    CHECK(builder.join(newest).verdict_ == verdict::accepted);
    CHECK(is_gone(builder.state_, newer));
}

// Guards against shares used twice when another version soon follows a removal by votes: the removed member
// may use its share until its authority lapses, whatever version is in force by then.
TEST_CASE("all share versions wait for the grace period while a member removed by votes may run",
          "[fleet_state][promise-7]")
{
    auto builder = make_state_builder();
    REQUIRE(builder.write(entry_a, member_suspected{entry_a, entry_c}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_b, member_suspected{entry_b, entry_c}).verdict_ == verdict::accepted);
    REQUIRE(is_gone(builder.state_, entry_c));
    builder.acknowledge_shares();
    CHECK(builder.state_.in_force_.after_suspicion_);
    REQUIRE(builder.join({"e4", 1}).verdict_ == verdict::accepted);
    builder.acknowledge_shares();
    CHECK(builder.state_.in_force_.members_.size() == 3);
    CHECK(builder.state_.in_force_.after_suspicion_);
    REQUIRE(builder.write(entry_a, member_gone{entry_c, gone_evidence::vm_absent}).verdict_ ==
            verdict::accepted);
    REQUIRE(builder.join({"e5", 1}).verdict_ == verdict::accepted);
    builder.acknowledge_shares();
    CHECK_FALSE(builder.state_.in_force_.after_suspicion_);
}

// Guards against a removal by fewer votes than a majority, and against one that counts the member's own vote:
// the majority against it must intersect each majority that confirms an outage to it.
TEST_CASE("a member is removed by the votes of a majority without its own vote", "[fleet_state][promise-7]")
{
    auto builder = make_state_builder();
    REQUIRE(builder.write(entry_a, member_suspected{entry_a, entry_c}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_a, member_suspected{entry_a, entry_c}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_c, member_suspected{entry_c, entry_c}).verdict_ == verdict::rejected);
    CHECK_FALSE(is_gone(builder.state_, entry_c));
    CHECK(builder.write(entry_b, member_suspected{entry_b, entry_c}).verdict_ == verdict::accepted);
    CHECK(is_gone(builder.state_, entry_c));
}

// Guards against state that grows without limit, and against a late duplicate of a record whose writer was
// purged together with its sequence.
TEST_CASE("a purged member's records are not applied again", "[fleet_state][promise-10]")
{
    auto builder = make_state_builder();
    member_id const old{"e7", 1};
    auto const joined = member_joined{old, "za", "h", "p", "a", builder.state_.next_offset_};
    REQUIRE(builder.write(old, joined).verdict_ == verdict::accepted);
    builder.acknowledge_shares();
    record const grant{old, ++builder.next_sequence_[old], key_granted{"d", "legal", "n"}};
    REQUIRE(apply(builder.state_, grant, builder.state_.next_offset_, builder.time_).verdict_ ==
            verdict::accepted);
    REQUIRE(builder.write(entry_a, member_gone{old, gone_evidence::vm_absent}).verdict_ == verdict::accepted);
    builder.acknowledge_shares();

    builder.time_ += day;
    REQUIRE(write_snapshot(builder, entry_a).verdict_ == verdict::accepted);
    CHECK(builder.state_.members_.contains(old));
    builder.time_ += millis{1};
    REQUIRE(write_snapshot(builder, entry_a).verdict_ == verdict::accepted);
    CHECK_FALSE(builder.state_.members_.contains(old));
    CHECK_FALSE(builder.state_.sequences_.contains(old));

    REQUIRE(builder.write(entry_a, key_withdrawn{"d"}).verdict_ == verdict::accepted);
    CHECK(apply(builder.state_, grant, builder.state_.next_offset_, builder.time_).verdict_ ==
          verdict::rejected);
    CHECK(apply(builder.state_, {old, 1, joined}, builder.state_.next_offset_, builder.time_).verdict_ ==
          verdict::rejected);
    CHECK_FALSE(builder.state_.members_.contains(old));
    CHECK_FALSE(builder.state_.sequences_.contains(old));
    CHECK(builder.join({"e7", 2}).verdict_ == verdict::accepted);
}

// Guards against a purge of a member that a replica, a claim or a share version refers to: the replica could
// never be released, and the next share version would wait for the member's acknowledgement for ever.
TEST_CASE("members that the state refers to are not purged", "[fleet_state][promise-2]")
{
    auto builder = make_state_builder();
    REQUIRE(builder.load(entry_c, "r", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_b, load_failed{"r", false}).verdict_ == verdict::accepted);
    REQUIRE(builder.write(entry_a, member_gone{entry_c, gone_evidence::vm_absent}).verdict_ ==
            verdict::accepted);
    builder.time_ += day * 2;
    REQUIRE(write_snapshot(builder, entry_a).verdict_ == verdict::accepted);
    CHECK(builder.state_.members_.contains(entry_c));
    builder.acknowledge_shares();
    CHECK(builder.state_.pending_.number_ == 0);
    REQUIRE(builder.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(builder.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::accepted);
    REQUIRE(write_snapshot(builder, entry_a).verdict_ == verdict::accepted);
    CHECK_FALSE(builder.state_.members_.contains(entry_c));
}

// Guards against claims that expire before their lifetime has passed, or never.
TEST_CASE("a claim protects its idempotency key for its lifetime", "[fleet_state][promise-10]")
{
    auto builder = make_state_builder();
    claim_made const by_a{"k", "checkout", "shop", "d", entry_a};
    claim_made const by_b{"k", "checkout", "shop", "d", entry_b};
    REQUIRE(builder.write(entry_a, by_a).verdict_ == verdict::accepted);
    auto const [wait, expected] = GENERATE(table<std::int64_t, verdict>({
        {0, verdict::rejected},
        {claim_lifetime.count_ - 1, verdict::rejected},
        {claim_lifetime.count_, verdict::rejected},
        {claim_lifetime.count_ + 1, verdict::accepted},
    }));
    auto const with_snapshot = GENERATE(false, true);
    builder.time_ += millis{wait};
    if (with_snapshot) {
        REQUIRE(write_snapshot(builder, entry_c).verdict_ == verdict::accepted);
    }
    CHECK(builder.write(entry_b, by_b).verdict_ == expected);
}

// Guards against a daemon that starts from a snapshot whose state is missing or ends at another offset.
TEST_CASE("restore accepts only a snapshot with a state of its offset", "[fleet_state]")
{
    auto const builder = make_state_builder();
    auto const state = std::make_shared<fleet_state const>(builder.state_);
    CHECK(same_state(restore({state->next_offset_, state}), builder.state_));
    CHECK_THROWS_AS(restore({state->next_offset_ + 1, state}), error);
    CHECK_THROWS_AS(restore({0, nullptr}), error);
}

// Guards against an offset that goes back when an old log entry is applied again.
TEST_CASE("a record before the last applied offset is ignored", "[fleet_state]")
{
    auto builder = make_state_builder();
    auto const before = builder.state_;
    auto const result = apply(builder.state_, {entry_a, 1'000, drain_set{"u0", true}}, 0, {9'999'999});
    CHECK(result.verdict_ == verdict::repeated);
    CHECK(same_state(before, builder.state_));
}
