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

apply_result take_snapshot(fleet_state_builder& fold, member_id const& writer)
{
    auto const state = std::make_shared<fleet_state const>(fold.state_);
    return fold.write(writer, snapshot{state->next_offset_, state});
}

} // namespace

// Guards against records that are accepted although a condition of section 5.1 does not hold.
TEST_CASE("records that break a condition are rejected and change nothing", "[fleet_state]")
{
    struct row {
        char const* name_;
        member_id writer_;
        record_body body_;
    };
    auto lowered = make_tables();
    lowered.workspaces_[0].rate_ = -1;
    auto huge = make_tables();
    huge.workspaces_[0].rate_ = max_table_number + 1;
    load_decided const good{"r9", "gpu", "small", "", "u2", 30, load_source::disk_cache, entry_b, 0};
    auto const changed = [&good](auto change) {
        auto body = good;
        change(body);
        return body;
    };
    member_id const stranger{"e9", 9};
    auto const number = GENERATE(range(0, 41));
    auto fold = make_state_builder();
    REQUIRE(fold.load(entry_a, "big-1", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, replica_loaded{"big-1", true}).verdict_ == verdict::accepted);
    REQUIRE(fold.load(entry_a, "ad-1", "big", "u1", "a").verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, claim_made{"k", "checkout", "shop", "d", entry_a}).verdict_ ==
            verdict::accepted);
    REQUIRE(fold.write(entry_a, key_granted{"d1", "legal", "n"}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, key_granted{"d2", "legal", "n"}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, key_withdrawn{"d2"}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_c, drain_set{"u0", true}).verdict_ == verdict::accepted);
    auto const ahead = std::make_shared<fleet_state const>(fold.state_);
    std::vector<row> const rows{
        {"a writer that is no member", stranger, drain_set{"u0", true}},
        {"a join written by another", entry_a, member_joined{stranger, "z", "h", "p", "a", 1'000}},
        {"a join of a known incarnation", entry_a, member_joined{entry_a, "z", "h", "p", "a", 1'000}},
        {"a leave of an unknown member", entry_a, member_leaving{stranger}},
        {"the end of an unknown member", entry_a, member_gone{stranger, gone_evidence::vm_absent}},
        {"a leave stated by another", entry_a, member_gone{entry_b, gone_evidence::left}},
        {"a replacement without a join", entry_a, member_gone{entry_b, gone_evidence::replaced}},
        {"a vote for another", entry_a, member_suspected{entry_b, entry_c}},
        {"a vote against itself", entry_a, member_suspected{entry_a, entry_a}},
        {"a vote against a stranger", entry_a, member_suspected{entry_a, stranger}},
        {"an acknowledgement without a pending version", entry_a, share_ack{entry_a, 9}},
        {"tables edited from an old version", entry_a, tables_published{0, make_tables()}},
        {"invalid tables", entry_a, tables_published{1, lowered}},
        {"tables with numbers that would overflow", entry_a, tables_published{1, huge}},
        {"a key of an unknown workspace", entry_a, key_granted{"d3", "none", "n"}},
        {"a key that is granted already", entry_a, key_granted{"d1", "legal", "n"}},
        {"a withdrawn key", entry_a, key_granted{"d2", "legal", "n"}},
        {"the withdrawal of an unknown key", entry_a, key_withdrawn{"d9"}},
        {"a known VM instance", entry_a, upstream_seen{"u0", "i0", "x", "z", 100, true, false}},
        {"negative memory", entry_a, upstream_seen{"u0", "i1", "x", "z", -1, true, false}},
        {"the end of an unknown VM instance", entry_a, upstream_gone{"u0", "i9"}},
        {"a load by a stranger", entry_a, changed([&](auto& b) { b.executor_ = stranger; })},
        {"a load in an unknown pool", entry_a, changed([](auto& b) { b.pool_ = "none"; })},
        {"a load of an unknown model", entry_a, changed([](auto& b) { b.model_ = "none"; })},
        {"a load of an unknown adapter", entry_a, changed([](auto& b) { b.adapter_ = "none"; })},
        {"a load with memory unlike the row's", entry_a, changed([](auto& b) { b.memory_mb_ = 1; })},
        {"a load with an outdated count", entry_a, changed([](auto& b) { b.expected_count_ = 1; })},
        {"a load on an unknown upstream", entry_a, changed([](auto& b) { b.upstream_ = "u9"; })},
        {"a load on a drained upstream", entry_a, changed([](auto& b) { b.upstream_ = "u0"; })},
        {"a used replica id", entry_a, changed([](auto& b) { b.replica_ = "big-1"; })},
        {"an adapter without its base", entry_a,
         load_decided{"r9", "gpu", "big", "b", "u2", 5, load_source::disk_cache, entry_b, 0}},
        {"an adapter beyond the store bound", entry_a,
         load_decided{"r9", "gpu", "big", "b", "u1", 5, load_source::store, entry_b, 0}},
        {"the unload of a base with adapters", entry_a, unload_decided{"big-1", entry_a}},
        {"the unload of a loading replica", entry_a, unload_decided{"ad-1", entry_a}},
        {"an unload by a stranger", entry_a, unload_decided{"big-1", stranger}},
        {"the release of a loaded replica", entry_a, replica_released{"big-1", entry_a}},
        {"a second claim", entry_b, claim_made{"k", "checkout", "shop", "d", entry_b}},
        {"a claim for another daemon", entry_b, claim_made{"k2", "checkout", "shop", "d", entry_a}},
        {"an outcome by another daemon", entry_b, claim_outcome{"k", entry_b, 200, "", "", true, false}},
        {"the drain of an unknown target", entry_a, drain_set{"none", true}},
        {"a snapshot that is ahead of the log", entry_a, snapshot{1'000, ahead}},
    };
    REQUIRE(rows.size() == 41);
    auto const& tested = rows[static_cast<std::size_t>(number)];
    CAPTURE(tested.name_);

    auto before = fold.state_;
    auto const result = fold.write(tested.writer_, tested.body_);

    CHECK(result.verdict_ == verdict::rejected);
    CHECK_FALSE(result.reason_.empty());
    before.next_offset_ = fold.state_.next_offset_;
    before.rejected_ += 1;
    before.sequences_ = fold.state_.sequences_;
    CHECK(same_state(before, fold.state_));
}

// Guards against memory that is freed while the replica is loaded: a daemon gives a slow load up, the
// executor states that it loaded and its order ended, and a second report of the failure used to free the
// memory.
TEST_CASE("a late success of a load that was given up keeps its memory", "[fleet_state][promise-2]")
{
    auto fold = make_state_builder();
    auto const upstream = GENERATE("u0", "u1");
    REQUIRE(fold.load(entry_a, "r", "big", upstream).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, load_failed{"r", false}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_a, replica_loaded{"r", true}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, load_failed{"r", true}).verdict_ == verdict::rejected);
    CHECK(fold.write(entry_a, load_failed{"r", true}).verdict_ == verdict::rejected);
    CHECK(reserved_memory(fold.state_, upstream) == 40);
    CHECK(fold.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(reserved_memory(fold.state_, upstream) == 0);
}

// Guards against memory freed on a new VM that holds the replica: a late order of the old VM's load may reach
// it, or did so before the log knew of the new instance. An engine that has just started knows no fencing
// numbers, so fencing does not help. Found by the fault matrix (request, VM reclaimed at steps 5 and 7).
TEST_CASE("a replaced VM keeps its reservations until they are unloaded", "[fleet_state][promise-2]")
{
    auto fold = make_state_builder();
    auto const upstream = GENERATE("u0", "u1");
    auto const loaded = GENERATE(false, true);
    auto const ended = GENERATE(false, true);
    REQUIRE(fold.load(entry_a, "r", "big", upstream).verdict_ == verdict::accepted);
    if (loaded) {
        REQUIRE(fold.write(entry_a, replica_loaded{"r", ended}).verdict_ == verdict::accepted);
    }
    REQUIRE(fold.write(entry_b, upstream_seen{upstream, "i1", "x:1", "za", vm_memory_mb, false, false})
                .verdict_ == verdict::accepted);
    bool const spent = loaded && ended;
    CHECK(reserved_memory(fold.state_, upstream) == 40);
    CHECK(transfers_in_flight(fold.state_, false) == (spent ? 0 : 1));
    REQUIRE(fold.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, replica_released{"r", entry_b}).verdict_ ==
          (spent ? verdict::accepted : verdict::rejected));
    CHECK(reserved_memory(fold.state_, upstream) == (spent ? 0 : 40));
}

// Guards against a VM that is gone for good and holds a model's replica count for ever, and against memory
// freed while an order may still reach its successor.
TEST_CASE("a VM that is gone frees the replicas whose load orders have ended", "[fleet_state][promise-2]")
{
    auto fold = make_state_builder();
    auto const upstream = GENERATE("u0", "u1");
    auto const ended = GENERATE(false, true);
    REQUIRE(fold.load(entry_a, "r", "big", upstream).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, replica_loaded{"r", ended}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_b, upstream_gone{upstream, "i0"}).verdict_ == verdict::accepted);
    CHECK(reserved_memory(fold.state_, upstream) == (ended ? 0 : 40));
    CHECK(transfers_in_flight(fold.state_, false) == (ended ? 0 : 1));
}

// Guards against a release that was written before the executor's process ended and is folded after it: the
// order may have loaded the replica again in between.
TEST_CASE("an unload is decided anew after a load order ended late", "[fleet_state][promise-2]")
{
    auto fold = make_state_builder();
    REQUIRE(fold.load(entry_a, "r", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_b, load_failed{"r", false}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::rejected);
    CHECK(transfers_in_flight(fold.state_, false) == 1);
    if (GENERATE(false, true)) {
        REQUIRE(fold.write(entry_b, member_gone{entry_a, gone_evidence::vm_absent}).verdict_ ==
                verdict::accepted);
    } else {
        REQUIRE(fold.write(entry_a, replica_loaded{"r", true}).verdict_ == verdict::accepted);
    }
    CHECK(fold.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::rejected);
    CHECK(fold.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(fold.state_.replicas_.empty());
}

// Guards against daemons with a lagging VM list that bring an old VM instance back, which frees the replicas
// of the new one while they are loaded.
TEST_CASE("a VM instance that was replaced does not return", "[fleet_state][promise-2]")
{
    auto fold = make_state_builder();
    if (GENERATE(false, true)) {
        REQUIRE(fold.write(entry_a, upstream_gone{"u1", "i0"}).verdict_ == verdict::accepted);
    }
    REQUIRE(
        fold.write(entry_a, upstream_seen{"u1", "i1", "x:1", "za", vm_memory_mb, false, false}).verdict_ ==
        verdict::accepted);
    REQUIRE(fold.load(entry_a, "r", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, replica_loaded{"r", true}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, upstream_seen{"u1", "i0", "x:1", "za", vm_memory_mb, false, false}).verdict_ ==
          verdict::rejected);
    CHECK(reserved_memory(fold.state_, "u1") == 40);
    CHECK(fold.state_.upstreams_.at("u1").vm_instance_ == "i1");
}

// Guards against a join that was delayed in the log behind the join of a newer incarnation: it would declare
// the running process ended, and its orders and share would be given away.
TEST_CASE("a delayed join of an older incarnation is rejected", "[fleet_state][promise-2][promise-7]")
{
    auto fold = make_state_builder();
    auto const read_by_old = fold.state_.next_offset_;
    member_id const older{"e3", 1};
    member_id const newer{"e3", 2};
    REQUIRE(fold.join(newer).verdict_ == verdict::accepted);
    CHECK(fold.write(older, member_joined{older, "za", "h", "p", "a", read_by_old}).verdict_ ==
          verdict::rejected);
    CHECK_FALSE(is_gone(fold.state_, newer));
    member_id const newest{"e3", 3};
    CHECK(fold.join(newest).verdict_ == verdict::accepted);
    CHECK(is_gone(fold.state_, newer));
}

// Guards against shares used twice when a version follows a removal by votes at once: the removed member may
// use its share until its authority lapses, whatever version is in force by then.
TEST_CASE("versions after a removal by votes wait for its grace", "[fleet_state][promise-7]")
{
    auto fold = make_state_builder();
    REQUIRE(fold.write(entry_a, member_suspected{entry_a, entry_c}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_b, member_suspected{entry_b, entry_c}).verdict_ == verdict::accepted);
    REQUIRE(is_gone(fold.state_, entry_c));
    fold.acknowledge_shares();
    CHECK(fold.state_.in_force_.after_suspicion_);
    REQUIRE(fold.join({"e4", 1}).verdict_ == verdict::accepted);
    fold.acknowledge_shares();
    CHECK(fold.state_.in_force_.members_.size() == 3);
    CHECK(fold.state_.in_force_.after_suspicion_);
    REQUIRE(fold.write(entry_a, member_gone{entry_c, gone_evidence::vm_absent}).verdict_ ==
            verdict::accepted);
    REQUIRE(fold.join({"e5", 1}).verdict_ == verdict::accepted);
    fold.acknowledge_shares();
    CHECK_FALSE(fold.state_.in_force_.after_suspicion_);
}

// Guards against one vote too few: a member's vote against itself would break the intersection of the
// majorities for and against it.
TEST_CASE("a member is removed by a majority of the others' votes", "[fleet_state][promise-7]")
{
    auto fold = make_state_builder();
    REQUIRE(fold.write(entry_a, member_suspected{entry_a, entry_c}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_a, member_suspected{entry_a, entry_c}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_c, member_suspected{entry_c, entry_c}).verdict_ == verdict::rejected);
    CHECK_FALSE(is_gone(fold.state_, entry_c));
    CHECK(fold.write(entry_b, member_suspected{entry_b, entry_c}).verdict_ == verdict::accepted);
    CHECK(is_gone(fold.state_, entry_c));
}

// Guards against state that grows without limit, and against a late repeat of a record whose writer was
// purged with its sequence.
TEST_CASE("a purged member's records are not folded again", "[fleet_state][promise-10]")
{
    auto fold = make_state_builder();
    member_id const old{"e7", 1};
    auto const joined = member_joined{old, "za", "h", "p", "a", fold.state_.next_offset_};
    REQUIRE(fold.write(old, joined).verdict_ == verdict::accepted);
    fold.acknowledge_shares();
    record const grant{old, ++fold.next_sequence_[old], key_granted{"d", "legal", "n"}};
    REQUIRE(apply(fold.state_, grant, fold.state_.next_offset_, fold.time_).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, member_gone{old, gone_evidence::vm_absent}).verdict_ == verdict::accepted);
    fold.acknowledge_shares();

    fold.time_ += day;
    REQUIRE(take_snapshot(fold, entry_a).verdict_ == verdict::accepted);
    CHECK(fold.state_.members_.contains(old));
    fold.time_ += millis{1};
    REQUIRE(take_snapshot(fold, entry_a).verdict_ == verdict::accepted);
    CHECK_FALSE(fold.state_.members_.contains(old));
    CHECK_FALSE(fold.state_.sequences_.contains(old));

    REQUIRE(fold.write(entry_a, key_withdrawn{"d"}).verdict_ == verdict::accepted);
    CHECK(apply(fold.state_, grant, fold.state_.next_offset_, fold.time_).verdict_ == verdict::rejected);
    CHECK(apply(fold.state_, {old, 1, joined}, fold.state_.next_offset_, fold.time_).verdict_ ==
          verdict::rejected);
    CHECK_FALSE(fold.state_.members_.contains(old));
    CHECK_FALSE(fold.state_.sequences_.contains(old));
    CHECK(fold.join({"e7", 2}).verdict_ == verdict::accepted);
}

// Guards against a purge of a member that a replica, a claim or a share version still needs: its replica
// could then never be released, and a hand-over would wait for it without end.
TEST_CASE("members that decisions depend on are not purged", "[fleet_state][promise-2]")
{
    auto fold = make_state_builder();
    REQUIRE(fold.load(entry_c, "r", "big", "u1").verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_b, load_failed{"r", false}).verdict_ == verdict::accepted);
    REQUIRE(fold.write(entry_a, member_gone{entry_c, gone_evidence::vm_absent}).verdict_ ==
            verdict::accepted);
    fold.time_ += day * 2;
    REQUIRE(take_snapshot(fold, entry_a).verdict_ == verdict::accepted);
    CHECK(fold.state_.members_.contains(entry_c));
    fold.acknowledge_shares();
    CHECK(fold.state_.pending_.number_ == 0);
    REQUIRE(fold.write(entry_b, unload_decided{"r", entry_b}).verdict_ == verdict::accepted);
    CHECK(fold.write(entry_b, replica_released{"r", entry_b}).verdict_ == verdict::accepted);
    REQUIRE(take_snapshot(fold, entry_a).verdict_ == verdict::accepted);
    CHECK_FALSE(fold.state_.members_.contains(entry_c));
}

// Guards against claims that end before their lifetime, or never.
TEST_CASE("a claim protects its key for its lifetime", "[fleet_state][promise-10]")
{
    auto fold = make_state_builder();
    claim_made const by_alpha{"k", "checkout", "shop", "d", entry_a};
    claim_made const by_beta{"k", "checkout", "shop", "d", entry_b};
    REQUIRE(fold.write(entry_a, by_alpha).verdict_ == verdict::accepted);
    auto const [wait, expected] = GENERATE(table<std::int64_t, verdict>({
        {0, verdict::rejected},
        {claim_lifetime.count_ - 1, verdict::rejected},
        {claim_lifetime.count_, verdict::rejected},
        {claim_lifetime.count_ + 1, verdict::accepted},
    }));
    auto const with_snapshot = GENERATE(false, true);
    fold.time_ += millis{wait};
    if (with_snapshot) {
        REQUIRE(take_snapshot(fold, entry_c).verdict_ == verdict::accepted);
    }
    CHECK(fold.write(entry_b, by_beta).verdict_ == expected);
}

// Guards against a reader that starts from a snapshot of another offset.
TEST_CASE("restore takes a whole snapshot only", "[fleet_state]")
{
    auto const fold = make_state_builder();
    auto const state = std::make_shared<fleet_state const>(fold.state_);
    CHECK(same_state(restore({state->next_offset_, state}), fold.state_));
    CHECK_THROWS_AS(restore({state->next_offset_ + 1, state}), error);
    CHECK_THROWS_AS(restore({0, nullptr}), error);
}

// Guards against a fold that goes back when a reader hands it an entry twice.
TEST_CASE("an offset below the fold is ignored", "[fleet_state]")
{
    auto fold = make_state_builder();
    auto const before = fold.state_;
    auto const result = apply(fold.state_, {entry_a, 1'000, drain_set{"u0", true}}, 0, {9'999'999});
    CHECK(result.verdict_ == verdict::repeated);
    CHECK(same_state(before, fold.state_));
}
