#include <auburnchute/error.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <protocol/record_codec.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace auburnchute;

namespace {

using json = nlohmann::json;

std::string cbor(json const& value)
{
    std::string out;
    json::to_cbor(value, out);
    return out;
}

tables sample_tables()
{
    tables all; // Every field has a value other than its default.
    all.version_ = 3;
    all.author_ = "ana";
    all.message_ = "raise the limit";
    all.workspaces_ = {{"legal", 100, 1'000, 2}};
    route_row route;
    route.name_ = "review";
    route.workspaces_ = {"legal"};
    route.model_ = "m";
    route.pool_ = "p";
    route.priority_ = priority::urgent;
    route.deadline_ = {12'345};
    route.open_ = true;
    route.path_ = "/v1";
    route.max_tokens_ = 5;
    route.cost_ = 6;
    route.repeatable_ = false;
    all.routes_ = {route};
    pool_row pool;
    pool.name_ = "p";
    pool.upstreams_ = {"gpu-*"};
    pool.locality_ = locality::require;
    pool.kind_ = pool_kind::service;
    pool.memory_mb_ = 9;
    pool.min_residence_ = {10};
    pool.aging_ = {11};
    pool.outage_permits_ = 12;
    pool.slots_ = 13;
    pool.availability_zones_ = {"occ-a"};
    model_row model;
    model.name_ = "m";
    model.memory_mb_ = 100;
    model.min_replicas_ = 14;
    model.max_replicas_ = 15;
    model.slots_ = 16;
    model.load_time_ = {17};
    model.idle_unload_ = {18};
    model.adapters_ = {{"a", 5}};
    pool.models_ = {model};
    all.pools_ = {pool};
    all.store_ = {7, 8};
    return all;
}

std::shared_ptr<fleet_state const> sample_state()
{
    member_id const a{"entry-a", 0xFFFF'FFFF'FFFF'FFFFU};
    fleet_state state;
    state.next_offset_ = 41;
    state.log_time_ = {99};
    state.tables_ = std::make_shared<tables const>(sample_tables());
    state.keys_["d"] = {"legal", "ana's laptop"};
    state.withdrawn_keys_ = {"old"};
    auto& member = state.members_[a];
    member.availability_zone_ = "occ-a";
    member.http_ = "1:1";
    member.peer_ = "1:2";
    member.admin_ = "1:4";
    member.status_ = member_status::gone;
    member.by_suspicion_ = true;
    member.voters_ = {{"entry-b", 2}};
    member.joined_at_ = 6;
    member.gone_at_ = {77};
    state.in_force_ = {4, {a}, true};
    state.pending_ = {5, {{"entry-b", 2}}, false};
    state.acks_ = {a};
    state.upstreams_["gpu-1"] = {"i-1", "1:3", "occ-b", 1'000, true, true};
    state.drained_ = {"gpu-2"};
    replica_entry replica;
    replica.pool_ = "p";
    replica.model_ = "m";
    replica.adapter_ = "a";
    replica.upstream_ = "gpu-1";
    replica.memory_mb_ = 5;
    replica.source_ = load_source::memory_cache;
    replica.executor_ = a;
    replica.unload_executor_ = {"entry-b", 2};
    replica.status_ = replica_status::unloading;
    replica.load_order_ended_ = true;
    replica.was_loaded_ = true;
    replica.fencing_ = 17;
    replica.version_ = 3;
    replica.decided_at_ = {66};
    state.replicas_["r1"] = replica;
    claim_entry claim;
    claim.route_ = "checkout";
    claim.workspace_ = "shop";
    claim.request_digest_ = "digest";
    claim.made_at_ = {55};
    claim.content_type_ = "application/json";
    claim.body_kept_ = false;
    claim.daemon_ = a;
    claim.body_ = std::string("\x00\xFF\x80", 3);
    claim.status_ = 201;
    claim.finished_ = true;
    state.claims_["k"] = claim;
    state.crashes_["f"] = {2, true, {"gpu-1"}, {5}};
    state.sequences_[a] = 12;
    state.accepted_ = 1;
    state.rejected_ = 2;
    state.repeated_ = 3;
    state.purged_to_ = 7;
    state.retired_instances_["gpu-1/i-0"] = {44};
    return std::make_shared<fleet_state const>(state);
}

/// One record of each type, with values other than the defaults.
std::vector<record> sample_batch()
{
    member_id const a{"entry-a", 0xFFFF'FFFF'FFFF'FFFFU};
    member_id const b{"entry-b", 2};
    std::vector<record_body> bodies{
        member_joined{a, "occ-a", "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82", 5},
        member_leaving{a},
        member_gone{a, gone_evidence::vm_absent},
        member_suspected{a, b},
        share_ack{a, 9},
        tables_published{2, sample_tables()},
        key_granted{"d", "legal", "ana's laptop"},
        key_withdrawn{"d"},
        upstream_seen{"gpu-1", "i-1", "10.0.0.9:80", "occ-b", 1'000, true, true},
        upstream_gone{"gpu-1", "i-1"},
        load_decided{"r1", "p", "m", "a", "gpu-1", 5, load_source::disk_cache, b, 2},
        replica_loaded{"r1", true},
        load_failed{"r1", true},
        unload_decided{"r1", b},
        replica_released{"r1", b},
        claim_made{"k", "checkout", "shop", "digest", a},
        claim_outcome{"k", a, 201, "application/json", std::string("\x00\xFF\x80{}", 5), false, true},
        crash_seen{"f", "gpu-1", "req", true},
        crash_cleared{"f"},
        drain_set{"gpu-1", true},
        snapshot{41, sample_state()}};
    std::vector<record> batch;
    for (auto& body : bodies) {
        batch.push_back({a, batch.size() + 1, std::move(body)});
    }
    return batch;
}

json sample_record()
{
    return {{"type", "key_withdrawn"},
            {"writer", {{"vm", "entry-a"}, {"incarnation", 1}}},
            {"sequence", 3},
            {"body", {{"digest", "d"}}}};
}

/// Decodes and requires either a batch or an error of step `decode`.
bool decodes(std::string const& data)
{
    try {
        (void)decode_batch(data);
        return true;
    } catch (error const& fault) {
        RC_ASSERT(fault.step() == "decode");
        return false;
    }
}

} // namespace

/// Equality of all fields; tables and snapshots are compared by content.
struct equal_bodies {
    template <typename T>
    bool operator()(T const& a, T const& b) const
    {
        return a == b;
    }
    bool operator()(tables_published const& a, tables_published const& b) const
    {
        return a.base_version_ == b.base_version_ && a.tables_.version_ == b.tables_.version_ &&
               a.tables_.author_ == b.tables_.author_ && a.tables_.message_ == b.tables_.message_ &&
               same_rows(a.tables_, b.tables_);
    }
    bool operator()(snapshot const& a, snapshot const& b) const
    {
        return a.offset_ == b.offset_ && same_state(*a.state_, *b.state_);
    }
    template <typename T, typename U>
    bool operator()(T const&, U const&) const
    {
        return false;
    }
};

// Guards against a field that is lost or exchanged with another one on the way through the log: `admin_` once
// was, when it was added to the structs alone. The samples hold no defaults.
TEST_CASE("every record type survives the codec", "[record_codec]")
{
    auto const batch = sample_batch();
    auto const index = GENERATE(range(std::size_t{0}, std::variant_size_v<record_body>));
    REQUIRE(batch.size() == std::variant_size_v<record_body>);
    REQUIRE(batch[index].body_.index() == index);

    auto const data = encode_batch(std::span{&batch[index], 1});
    auto const read = decode_batch(data);

    CAPTURE(type_name(batch[index].body_));
    REQUIRE(read.size() == 1);
    CHECK(read[0].writer_ == batch[index].writer_);
    CHECK(read[0].sequence_ == batch[index].sequence_);
    CHECK(std::visit(equal_bodies{}, read[0].body_, batch[index].body_));
    CHECK(encode_batch(read) == data);
}

// Guards against a batch whose records are read in another order.
TEST_CASE("a batch keeps its order", "[record_codec]")
{
    auto const batch = sample_batch();
    auto const read = decode_batch(encode_batch(batch));
    REQUIRE(read.size() == batch.size());
    for (std::size_t i = 0; i < batch.size(); ++i) {
        CHECK(read[i].sequence_ == batch[i].sequence_);
        CHECK(read[i].body_.index() == i);
    }
}

// Guards against daemons of neighbouring releases that cannot read each other's records.
TEST_CASE("unknown fields are ignored and missing fields take defaults", "[record_codec]")
{
    auto rec = sample_record();
    rec["body"] = {{"added_later", {1, 2, {{"deep", nullptr}}}}};
    rec["added_later"] = true;
    auto const read = decode_batch(cbor({{"records", {rec}}, {"added_later", 1.5}}));
    REQUIRE(read.size() == 1);
    CHECK(std::get<key_withdrawn>(read[0].body_).digest_.empty());
}

// Guards against one malformed record in the log that stops every daemon by a crash or by another exception.
TEST_CASE("malformed batches are errors of step decode", "[record_codec]")
{
    auto const changed = [](char const* pointer, json value) {
        auto rec = sample_record();
        rec[json::json_pointer{pointer}] = std::move(value);
        return cbor({{"records", {rec}}});
    };
    auto const without = [](char const* name) {
        auto rec = sample_record();
        rec.erase(name);
        return cbor({{"records", {rec}}});
    };
    auto const load = [](char const* name, json value) {
        json rec = sample_record();
        rec["type"] = "load_decided";
        rec["body"] = {{name, std::move(value)}};
        return cbor({{"records", {rec}}});
    };
    auto whole = cbor({{"records", {sample_record()}}});
    auto const row = GENERATE_COPY(table<char const*, std::string>({
        {"empty", ""},
        {"text", "hello"},
        {"truncated", whole.substr(0, whole.size() - 1)},
        {"trailing bytes", whole + "x"},
        {"not an object", cbor(json::array())},
        {"no records", cbor(json::object())},
        {"records not a list", cbor({{"records", 3}})},
        {"record not an object", cbor({{"records", {3}}})},
        {"nested beyond the stack", std::string(5'000'000, '\x81')},
        {"indefinite nesting", std::string(5'000'000, '\x9F')},
        {"a list said to be huge", std::string("\x9B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9)},
        {"text said to be huge", std::string("\x7B\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9)},
        {"a tag", std::string("\xC0\x00", 2)},
        {"unknown type", changed("/type", "bought")},
        {"type not text", changed("/type", 1)},
        {"type missing", without("type")},
        {"writer missing", without("writer")},
        {"sequence missing", without("sequence")},
        {"body missing", without("body")},
        {"negative sequence", changed("/sequence", -1)},
        {"fractional sequence", changed("/sequence", 1.5)},
        {"incarnation as text", changed("/writer/incarnation", "1")},
        {"body not an object", changed("/body", json::array())},
        {"digest not text", changed("/body/digest", 3)},
        {"memory above the range", load("memory_mb", std::uint64_t{1} << 63U)},
        {"unknown enum name", load("source", "tape")},
        {"enum as number", load("source", 1)},
    }));
    CAPTURE(std::get<0>(row));
    try {
        (void)decode_batch(std::get<1>(row));
        FAIL("the batch was decoded");
    } catch (error const& fault) {
        CHECK(fault.step() == "decode");
    }
}

// Guards against a snapshot that leaves a reader with a null state.
TEST_CASE("a snapshot without state is refused", "[record_codec]")
{
    auto const state = GENERATE(json(nullptr), json::array(), json("x"));
    auto rec = sample_record();
    rec["type"] = "snapshot";
    rec["body"] = {{"offset", 4}, {"state", state}};
    CHECK_THROWS_AS(decode_batch(cbor({{"records", {rec}}})), error);
    rec["body"].erase("state");
    CHECK_THROWS_AS(decode_batch(cbor({{"records", {rec}}})), error);
}

// Guards against crashes on any damaged batch, not only on the listed ones.
TEST_CASE("damaged batches never crash the decoder", "[record_codec]")
{
    auto const whole = encode_batch(sample_batch());
    auto const result = rc::check("bytes changed, cut or added", [&whole] {
        auto data = whole;
        auto const changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            auto const at = *rc::gen::inRange<std::size_t>(0, data.size());
            data[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            data.resize(*rc::gen::inRange<std::size_t>(1, data.size()));
        }
        (void)decodes(data);
    });
    CHECK(result);
    CHECK(rc::check("arbitrary bytes", [](std::string const& data) { (void)decodes(data); }));
}
