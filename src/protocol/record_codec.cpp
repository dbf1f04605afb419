#include <protocol/record_codec.hpp>

#include <auburnchute/error.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace auburnchute {

namespace {

using json = nlohmann::json;

// Batches of this release nest about 12 levels. nlohmann-json parses nested arrays by recursion, so data of
// unlimited depth could overflow the stack.
constexpr int max_depth = 64;

[[noreturn]] void fail(std::string const& message)
{
    throw error{"decode", "", message};
}

template <typename Enum>
constexpr std::array<std::string_view, 0> enum_names{};
template <>
constexpr std::array<std::string_view, 4> enum_names<priority>{"urgent", "high", "normal", "low"};
template <>
constexpr std::array<std::string_view, 2> enum_names<pool_kind>{"model", "service"};
template <>
constexpr std::array<std::string_view, 2> enum_names<locality>{"prefer", "require"};
template <>
constexpr std::array<std::string_view, 3> enum_names<load_source>{"memory_cache", "disk_cache", "store"};
template <>
constexpr std::array<std::string_view, 3> enum_names<gone_evidence>{"left", "vm_absent", "replaced"};
template <>
constexpr std::array<std::string_view, 3> enum_names<member_status>{"live", "leaving", "gone"};
template <>
constexpr std::array<std::string_view, 4> enum_names<replica_status>{"loading", "loaded", "failed",
                                                                     "unloading"};

/// A T that may be const: one description of the fields serves the encoder and the decoder.
template <typename T, typename U>
concept maybe_const = std::same_as<std::remove_const_t<T>, U>;

/// Marks text that may hold any bytes; it is encoded as a byte string.
template <typename String>
struct bytes {
    String& value_;
};
template <typename String>
bytes(String&) -> bytes<String>;

class encoder {
public:
    template <typename T>
    encoder& operator()(char const* name, T const& value)
    {
        out_[name] = to_json(value);
        return *this;
    }

    template <typename T>
    static json to_json(T const& value)
    {
        if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        } else if constexpr (std::is_enum_v<T>) {
            return enum_names<T>.at(static_cast<std::size_t>(value));
        } else if constexpr (std::is_same_v<T, millis>) {
            return value.count_;
        } else {
            encoder fields;
            describe(fields, value);
            return std::move(fields.out_);
        }
    }

    template <typename String>
    static json to_json(bytes<String> const& value)
    {
        return json::binary({value.value_.begin(), value.value_.end()});
    }

    template <typename T>
    static json to_json(std::shared_ptr<T const> const& value)
    {
        return to_json(*value);
    }

    template <typename T>
    static json to_json(std::vector<T> const& values)
    {
        return list(values);
    }

    template <typename T>
    static json to_json(std::set<T> const& values)
    {
        return list(values);
    }

    /// Keys need not be text, so a map is a list of pairs.
    template <typename Key, typename T>
    static json to_json(std::map<Key, T> const& items)
    {
        json out = json::array();
        for (auto const& [key, value] : items) {
            out.push_back(json::array({to_json(key), to_json(value)}));
        }
        return out;
    }

private:
    template <typename Range>
    static json list(Range const& values)
    {
        json out = json::array();
        for (auto const& value : values) {
            out.push_back(to_json(value));
        }
        return out;
    }

    json out_ = json::object();
};

class decoder {
public:
    explicit decoder(json const& in) : in_{in}
    {
        if (!in.is_object()) {
            fail("an object was expected");
        }
    }

    template <typename T>
    decoder& operator()(char const* name, T&& value)
    {
        auto const it = in_.find(name);
        if (it == in_.end()) {
            return *this;
        }
        try {
            from_json(*it, value);
        } catch (error const& fault) {
            // The message alone; the step is added again.
            fail(std::string{name} + ": " + std::string{fault.what()}.substr(fault.step().size() + 2));
        }
        return *this;
    }

    template <typename T>
    static void from_json(json const& in, T& value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            value = in.is_boolean() ? in.get<bool>() : (fail("a truth value was expected"), false);
        } else if constexpr (std::is_integral_v<T>) {
            value = number_of<T>(in);
        } else if constexpr (std::is_same_v<T, std::string>) {
            value = string_of(in);
        } else if constexpr (std::is_same_v<T, millis>) {
            value.count_ = number_of<std::int64_t>(in);
        } else if constexpr (std::is_enum_v<T>) {
            auto const& names = enum_names<T>;
            auto const it = std::find(names.begin(), names.end(), string_of(in));
            if (it == names.end()) {
                fail("unknown name " + string_of(in));
            }
            value = static_cast<T>(it - names.begin());
        } else {
            decoder fields{in};
            describe(fields, value);
        }
    }

    static void from_json(json const& in, bytes<std::string>& value)
    {
        if (!in.is_binary()) {
            fail("bytes were expected");
        }
        auto const& data = in.get_binary();
        value.value_.assign(data.begin(), data.end());
    }

    template <typename T>
    static void from_json(json const& in, std::shared_ptr<T const>& value)
    {
        auto object = std::make_shared<T>();
        from_json(in, *object);
        value = std::move(object);
    }

    template <typename T>
    static void from_json(json const& in, std::vector<T>& values)
    {
        values.clear();
        for (auto const& item : array_of(in)) {
            from_json(item, values.emplace_back());
        }
    }

    template <typename T>
    static void from_json(json const& in, std::set<T>& values)
    {
        values.clear();
        for (auto const& item : array_of(in)) {
            T value{};
            from_json(item, value);
            values.insert(std::move(value));
        }
    }

    template <typename Key, typename T>
    static void from_json(json const& in, std::map<Key, T>& items)
    {
        items.clear();
        for (auto const& item : array_of(in)) {
            if (array_of(item).size() != 2) {
                fail("a pair was expected");
            }
            Key key{};
            from_json(item[0], key);
            from_json(item[1], items[std::move(key)]);
        }
    }

    static std::string const& string_of(json const& in)
    {
        if (!in.is_string()) {
            fail("text was expected");
        }
        return in.get_ref<std::string const&>();
    }

    static json const& array_of(json const& in)
    {
        if (!in.is_array()) {
            fail("a list was expected");
        }
        return in;
    }

private:
    template <typename T>
    static T number_of(json const& in)
    {
        if (in.is_number_unsigned() && std::in_range<T>(in.get<std::uint64_t>())) {
            return static_cast<T>(in.get<std::uint64_t>());
        }
        if (!in.is_number_unsigned() && in.is_number_integer() && std::in_range<T>(in.get<std::int64_t>())) {
            return static_cast<T>(in.get<std::int64_t>());
        }
        fail("a whole number in range was expected");
    }

    json const& in_;
};

// The fields of each type, in one place for both directions.

void describe(auto& io, maybe_const<member_id> auto& v)
{
    io("vm", v.vm_)("incarnation", v.incarnation_);
}

void describe(auto& io, maybe_const<workspace_row> auto& v)
{
    io("name", v.name_)("rate", v.rate_)("burst", v.burst_)("weight", v.weight_);
}

void describe(auto& io, maybe_const<route_row> auto& v)
{
    io("name", v.name_)("open", v.open_)("workspaces", v.workspaces_)("model", v.model_)("path", v.path_);
    io("pool", v.pool_)("priority", v.priority_)("deadline_ms", v.deadline_)("max_tokens", v.max_tokens_);
    io("cost", v.cost_)("repeatable", v.repeatable_);
}

void describe(auto& io, maybe_const<adapter_row> auto& v)
{
    io("name", v.name_)("memory_mb", v.memory_mb_);
}

void describe(auto& io, maybe_const<model_row> auto& v)
{
    io("name", v.name_)("memory_mb", v.memory_mb_)("min_replicas", v.min_replicas_);
    io("max_replicas", v.max_replicas_)("slots", v.slots_)("load_time_ms", v.load_time_);
    io("idle_unload_ms", v.idle_unload_)("adapters", v.adapters_);
}

void describe(auto& io, maybe_const<pool_row> auto& v)
{
    io("name", v.name_)("kind", v.kind_)("upstreams", v.upstreams_);
    io("availability_zones", v.availability_zones_)("locality", v.locality_)("memory_mb", v.memory_mb_);
    io("min_residence_ms", v.min_residence_)("aging_ms", v.aging_)("outage_permits", v.outage_permits_);
    io("slots", v.slots_)("models", v.models_);
}

void describe(auto& io, maybe_const<store_row> auto& v)
{
    io("checkpoint_transfers", v.checkpoint_transfers_)("adapter_transfers", v.adapter_transfers_);
}

void describe(auto& io, maybe_const<tables> auto& v)
{
    io("version", v.version_)("author", v.author_)("message", v.message_)("workspaces", v.workspaces_);
    io("routes", v.routes_)("pools", v.pools_)("store", v.store_);
}

void describe(auto& io, maybe_const<member_joined> auto& v)
{
    io("member", v.member_)("availability_zone", v.availability_zone_)("http", v.http_)("peer", v.peer_);
    io("admin", v.admin_)("read_to", v.read_to_);
}

void describe(auto& io, maybe_const<member_leaving> auto& v)
{
    io("member", v.member_);
}

void describe(auto& io, maybe_const<member_gone> auto& v)
{
    io("member", v.member_)("evidence", v.evidence_);
}

void describe(auto& io, maybe_const<member_suspected> auto& v)
{
    io("voter", v.voter_)("member", v.member_);
}

void describe(auto& io, maybe_const<share_ack> auto& v)
{
    io("member", v.member_)("version", v.version_);
}

void describe(auto& io, maybe_const<tables_published> auto& v)
{
    io("base_version", v.base_version_)("tables", v.tables_);
}

void describe(auto& io, maybe_const<key_granted> auto& v)
{
    io("digest", v.digest_)("workspace", v.workspace_)("name", v.name_);
}

void describe(auto& io, maybe_const<key_withdrawn> auto& v)
{
    io("digest", v.digest_);
}

void describe(auto& io, maybe_const<upstream_seen> auto& v)
{
    io("upstream", v.upstream_)("vm_instance", v.vm_instance_)("address", v.address_);
    io("availability_zone", v.availability_zone_)("memory_mb", v.memory_mb_);
    io("honours_fencing", v.honours_fencing_)("checks_sender", v.checks_sender_);
}

void describe(auto& io, maybe_const<upstream_gone> auto& v)
{
    io("upstream", v.upstream_)("vm_instance", v.vm_instance_);
}

void describe(auto& io, maybe_const<load_decided> auto& v)
{
    io("replica", v.replica_)("pool", v.pool_)("model", v.model_)("adapter", v.adapter_);
    io("upstream", v.upstream_)("memory_mb", v.memory_mb_)("source", v.source_)("executor", v.executor_);
    io("expected_count", v.expected_count_);
}

void describe(auto& io, maybe_const<replica_loaded> auto& v)
{
    io("replica", v.replica_)("order_ended", v.order_ended_);
}

void describe(auto& io, maybe_const<load_failed> auto& v)
{
    io("replica", v.replica_)("order_ended", v.order_ended_);
}

void describe(auto& io, maybe_const<unload_decided> auto& v)
{
    io("replica", v.replica_)("executor", v.executor_);
}

void describe(auto& io, maybe_const<replica_released> auto& v)
{
    io("replica", v.replica_)("by", v.by_);
}

void describe(auto& io, maybe_const<claim_made> auto& v)
{
    io("key", v.key_)("route", v.route_)("workspace", v.workspace_)("request_digest", v.request_digest_);
    io("daemon", v.daemon_);
}

void describe(auto& io, maybe_const<claim_outcome> auto& v)
{
    io("key", v.key_)("daemon", v.daemon_)("status", v.status_)("content_type", v.content_type_);
    io("body", bytes{v.body_})("body_kept", v.body_kept_)("not_run", v.not_run_);
}

void describe(auto& io, maybe_const<crash_seen> auto& v)
{
    io("fingerprint", v.fingerprint_)("upstream", v.upstream_)("request", v.request_);
    io("isolated", v.isolated_);
}

void describe(auto& io, maybe_const<crash_cleared> auto& v)
{
    io("fingerprint", v.fingerprint_);
}

void describe(auto& io, maybe_const<drain_set> auto& v)
{
    io("target", v.target_)("drained", v.drained_);
}

void describe(auto& io, maybe_const<snapshot> auto& v)
{
    io("offset", v.offset_)("state", v.state_);
}

void describe(auto& io, maybe_const<member_entry> auto& v)
{
    io("availability_zone", v.availability_zone_)("http", v.http_)("peer", v.peer_)("status", v.status_);
    io("admin", v.admin_)("by_suspicion", v.by_suspicion_)("voters", v.voters_);
    io("joined_at", v.joined_at_)("gone_at", v.gone_at_);
}

void describe(auto& io, maybe_const<share_version> auto& v)
{
    io("number", v.number_)("members", v.members_)("after_suspicion", v.after_suspicion_);
}

void describe(auto& io, maybe_const<key_entry> auto& v)
{
    io("workspace", v.workspace_)("name", v.name_);
}

void describe(auto& io, maybe_const<upstream_entry> auto& v)
{
    io("vm_instance", v.vm_instance_)("address", v.address_)("availability_zone", v.availability_zone_);
    io("memory_mb", v.memory_mb_)("honours_fencing", v.honours_fencing_)("checks_sender", v.checks_sender_);
}

void describe(auto& io, maybe_const<replica_entry> auto& v)
{
    io("pool", v.pool_)("model", v.model_)("adapter", v.adapter_)("upstream", v.upstream_);
    io("memory_mb", v.memory_mb_)("source", v.source_)("executor", v.executor_);
    io("unload_executor", v.unload_executor_)("status", v.status_)("load_order_ended", v.load_order_ended_);
    io("was_loaded", v.was_loaded_)("fencing", v.fencing_)("version", v.version_)("decided_at",
                                                                                  v.decided_at_);
}

void describe(auto& io, maybe_const<claim_entry> auto& v)
{
    io("route", v.route_)("workspace", v.workspace_)("request_digest", v.request_digest_);
    io("daemon", v.daemon_)("made_at", v.made_at_)("finished", v.finished_)("status", v.status_);
    io("content_type", v.content_type_)("body", bytes{v.body_})("body_kept", v.body_kept_);
}

void describe(auto& io, maybe_const<crash_entry> auto& v)
{
    io("crashes", v.crashes_)("confirmed", v.confirmed_)("upstreams", v.upstreams_)("last", v.last_);
}

void describe(auto& io, maybe_const<fleet_state> auto& v)
{
    io("next_offset", v.next_offset_)("log_time", v.log_time_)("tables", v.tables_)("keys", v.keys_);
    io("withdrawn_keys", v.withdrawn_keys_)("members", v.members_)("in_force", v.in_force_);
    io("pending", v.pending_)("acks", v.acks_)("upstreams", v.upstreams_)("drained", v.drained_);
    io("replicas", v.replicas_)("claims", v.claims_)("crashes", v.crashes_)("sequences", v.sequences_);
    io("accepted", v.accepted_)("rejected", v.rejected_)("repeated", v.repeated_);
    io("purged_to", v.purged_to_)("retired_instances", v.retired_instances_);
}

json encode_record(record const& rec)
{
    json out = json::object();
    out["type"] = type_name(rec.body_);
    out["writer"] = encoder::to_json(rec.writer_);
    out["sequence"] = rec.sequence_;
    out["body"] = std::visit([](auto const& body) { return encoder::to_json(body); }, rec.body_);
    return out;
}

/// Tries the alternatives of the variant until the name matches.
template <std::size_t Index = 0>
record_body decode_body(std::string const& type, json const& in)
{
    if constexpr (Index < std::variant_size_v<record_body>) {
        std::variant_alternative_t<Index, record_body> body{};
        if (type != type_name(record_body{body})) {
            return decode_body<Index + 1>(type, in);
        }
        decoder::from_json(in, body);
        return body;
    } else {
        fail("unknown record type " + type);
    }
}

json const& member_of(json const& in, char const* name)
{
    auto const it = in.find(name);
    if (it == in.end()) {
        fail(std::string{name} + " is missing");
    }
    return *it;
}

record decode_record(json const& in)
{
    if (!in.is_object()) {
        fail("a record was expected");
    }
    record rec;
    decoder::from_json(member_of(in, "writer"), rec.writer_);
    decoder::from_json(member_of(in, "sequence"), rec.sequence_);
    rec.body_ = decode_body(decoder::string_of(member_of(in, "type")), member_of(in, "body"));
    auto const* const body = std::get_if<snapshot>(&rec.body_);
    if (body != nullptr && body->state_ == nullptr) {
        fail("snapshot without state");
    }
    return rec;
}

/// Refuses data that is malformed or nested too deeply, before a tree is built from it.
class depth_checker : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, string_t const&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= max_depth; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= max_depth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t, std::string const&, nlohmann::detail::exception const&) override
    {
        return false;
    }

private:
    int depth_{};
};

} // namespace

std::string encode_batch(std::span<record const> batch)
{
    json records = json::array();
    for (auto const& rec : batch) {
        records.push_back(encode_record(rec));
    }
    json root = json::object();
    root["records"] = std::move(records);
    std::string out;
    json::to_cbor(root, out);
    return out;
}

std::vector<record> decode_batch(std::string_view data)
{
    try {
        depth_checker checker;
        if (!json::sax_parse(data.begin(), data.end(), &checker, json::input_format_t::cbor)) {
            fail("malformed CBOR");
        }
        auto const root = json::from_cbor(data.begin(), data.end());
        if (!root.is_object()) {
            fail("an object was expected");
        }
        std::vector<record> batch;
        for (auto const& item : decoder::array_of(member_of(root, "records"))) {
            batch.push_back(decode_record(item));
        }
        return batch;
    } catch (json::exception const& fault) {
        fail(fault.what());
    }
}

} // namespace auburnchute
