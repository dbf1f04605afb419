#include "platform/json_codec.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

using namespace auburnchute;
using namespace auburnchute::platform;

namespace {

constexpr std::string_view config_document = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","path_prefix":"/a/","route_type":"streaming","timeout_ms":17000,
  "target_latency_ms":3000,"priority":1,"service":"llm","max_attempts":2,"public":false,"resumable":true},
 {"name":"r2","host":"h.example","path_prefix":"/a/b/","route_type":"unsafe","timeout_ms":800,
  "split":[{"service":"desk","weight":90},{"service":"new-desk","weight":10}],"max_attempts":1,"public":true},
 {"name":"r3","host":"h.example","path_prefix":"/c/","route_type":"something-new","service":"desk"}],
 "services":[{"name":"llm","max_conns":370,"engine":{"slots":64,"kv_capacity":232000,"weights_mb":200000.0,
   "adapter_slots":8,"loads_per_s":1.6,"models":[{"name":"m","weights_mb":65099.99,"load_s":6.0,"adapters":2,
   "adapter_mb":40.0,"warm_s":0.28,"disk_s":0.52}]}},{"name":"desk","max_conns":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"token_stream","plain_tokens":200,
   "rate_per_s":60411,"burst":68878}]})";

} // namespace

TEST_CASE("the fields of a configuration document are parsed", "[platform][config]")
{
    auto const config = parse_config(config_document);
    CHECK(config.version_ == 7);
    REQUIRE(config.routes_.size() == 3);
    CHECK(config.routes_[0].kind_ == route_type::stream);
    CHECK(config.routes_[0].resumable_);
    CHECK(config.routes_[0].max_upstreams_ == 2);
    CHECK(config.routes_[1].open_);
    CHECK(config.routes_[1].services_.size() == 2);
    auto const* const engine = find_engine(config, "llm");
    REQUIRE(engine != nullptr);
    CHECK(engine->memory_mb_ == 200'000);
    CHECK(engine->models_[0].memory_mb_ == 65'100);
    CHECK(engine->models_[0].disk_load_time_ == millis{520});
    CHECK(find_engine(config, "desk") == nullptr);
    CHECK(config.keys_.at("k2") == 0);
    CHECK(config.workspaces_[0].in_tokens_);
}

// Guards against ignoring a configuration for the size of its version, which may be a time of day.
TEST_CASE("a configuration's version may be any number of 63 bits", "[platform][config]")
{
    struct row {
        char const* version_;
        std::uint64_t expected_;
    };
    for (auto const& row :
         {row{"0", 0}, row{"1125899906842624", std::uint64_t{1} << 50U},
          row{"1125899906842625", (std::uint64_t{1} << 50U) + 1},
          row{"1800000000000001", 1'800'000'000'000'001}, row{"1.8e15", 1'800'000'000'000'000},
          row{"9007199254740993", (std::uint64_t{1} << 53U) + 1},
          row{"1800000000000000001", 1'800'000'000'000'000'001},
          row{"9223372036854775807", (std::uint64_t{1} << 63U) - 1}}) {
        CAPTURE(row.version_);
        CHECK(parse_config(R"({"routes":[],"services":[],"version":)" + std::string{row.version_} + "}")
                  .version_ == row.expected_);
    }
}

// Guards against a withdrawn key that goes on to work, or a valid one that doesn't, because of other fields.
TEST_CASE("the keys of a configuration are read whatever the rest of it holds", "[platform][config][odd]")
{
    auto const before = parse_config(config_document);
    struct row {
        char const* workspaces_;
        std::vector<std::string> keys_; ///< That are valid then.
    };
    for (auto const& row :
         {row{R"([{"name":"t","api_keys":["k1","k3"],"rate_per_s":"x"}])", {"k1", "k3"}},
          row{R"([{"name":"t"}])", {}}, row{"[]", {}}, row{"null", {}},
          row{R"([{"name":"new","api_keys":["k1"]},{"name":"t","api_keys":["k2"],"burst":1e300}])",
              {"k2"}}}) {
        CAPTURE(row.workspaces_);
        auto const document = R"({"version":8,"routes":7,"tenants":)" + std::string{row.workspaces_} + "}";
        CHECK_THROWS_AS(parse_config(document), error);
        auto const after = with_keys(before, parse_config_keys(document));
        CHECK(after.version_ == 8);
        CHECK_FALSE(after.complete_);
        CHECK(after.routes_.size() == before.routes_.size());
        CHECK(after.keys_.size() == row.keys_.size());
        for (auto const& key : row.keys_) {
            CHECK(after.keys_.at(key) == 0);
        }
    }
    for (auto const* const workspaces :
         {"7", "{}", "[7]", R"([{"api_keys":["k1"]}])", R"([{"name":7}])",
          R"([{"name":"t","api_keys":"k1"}])", R"([{"name":"t","api_keys":[7]}])"}) {
        CAPTURE(workspaces);
        CHECK_THROWS_AS(parse_config_keys(R"({"version":8,"tenants":)" + std::string{workspaces} + "}"),
                        error);
    }
    CHECK_THROWS_AS(parse_config_keys(R"({"routes":[]})"), error);
}

// Guards against retrying requests of a route type that this release does not know.
TEST_CASE("a route of an unknown type is unsafe", "[platform][config][promise-10]")
{
    CHECK(parse_config(config_document).routes_[2].kind_ == route_type::unsafe);
}

TEST_CASE("an invalid configuration document is rejected with an error", "[platform][config]")
{
    for (auto const* const text :
         {"", "[]", "{\"version\":1}", "{\"version\":\"x\",\"routes\":[],\"services\":[]}",
          R"({"version":1,"routes":[{"host":"h"}],"services":[]})"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parse_config(text), error);
    }
}

// Guards against routing requests to an upstream whose entry is malformed, for example written by other
// software.
TEST_CASE("a registry entry with missing or invalid fields is ignored", "[platform][discovery]")
{
    struct row {
        std::string_view document_;
        bool valid_;
    };
    for (auto const& row : {
             row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready"})", true},
             row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"draining"})", true},
             row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"asleep"})", false},
             row{R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready"})", false},
             row{R"({"service":"s","address":"nowhere","zone":"z","slots":6,"state":"ready"})", false},
             row{R"({"service":"s","address":"host:80","zone":"z","slots":6,"state":"ready"})", false},
             row{R"({"service":"s","address":"10.0.0.1:http","zone":"z","slots":6,"state":"ready"})", false},
             row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"6","state":"ready"})", false},
             row{R"({"service":"s","address":"10.0.0.1:80","slots":6,"state":"ready"})", false},
             row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","born":1.5})",
                 false},
             row{"\xff\xfe", false},
             row{"", false},
             row{"[1,2]", false},
         }) {
        CAPTURE(row.document_);
        CHECK(parse_upstream("i-1", row.document_).has_value() == row.valid_);
    }
}

TEST_CASE("the models, cached weights and start time of a registry entry are parsed", "[platform][discovery]")
{
    auto const entry = parse_upstream(
        "i-1",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,"state":"ready","born":1700000000123,
            "models":[{"name":"m","version":3,"adapters":["a1",{"name":"a2"}]}],
            "available":{"in_memory":["m"],"on_disk":["m","n"]}})");
    REQUIRE(entry);
    CHECK(entry->started_at_ == 1'700'000'000'123);
    CHECK(has_model(*entry, "m", "a2"));
    CHECK_FALSE(has_model(*entry, "m", "a3"));
    CHECK_FALSE(has_model(*entry, "n", ""));
    CHECK(entry->weights_on_disk_.contains("n"));
}

TEST_CASE("the accepted orders, load and pending adapters of a report are parsed", "[platform][orders]")
{
    auto const report = parse_report(
        R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":true,"sequence":4,"queued":1,
            "active":12,"kv_used":41000,"kv_total":90000,"pending":["m/a1@2"]})");
    REQUIRE(report);
    CHECK(report->accepted_orders_ == 4);
    CHECK(report->busy_);
    CHECK(report->running_ == 12);
    CHECK(report->pending_adapters_ == std::vector<std::string>{"m/a1"});
    CHECK_FALSE(parse_report("no json"));
}

TEST_CASE("an order carries its holder, fencing token and precondition", "[platform][orders]")
{
    auto const body = encode_order({.load_ = true,
                                    .model_ = "m",
                                    .adapter_ = "a1",
                                    .expected_accepted_orders_ = 3,
                                    .holder_ = "vm@10.0.0.1",
                                    .fencing_token_ = 9});
    CHECK(
        body ==
        R"({"adapter":"a1","fence_token":9,"holder":"vm@10.0.0.1","model":"m","operation":"load","precondition":3})");
}

namespace {

constexpr int deep = 100'000;

/// \returns A JSON value in `deep` arrays, objects, or both in turn.
std::string nested(bool in_arrays, bool in_objects)
{
    std::string open;
    std::string close;
    for (int i = 0; i < deep; ++i) {
        bool const array = in_arrays && (!in_objects || i % 2 == 0);
        open += array ? "[" : R"({"name":)";
        close += array ? ']' : '}';
    }
    return open + "1" + std::string{close.rbegin(), close.rend()};
}

/// \returns A registry entry with a field of the given name and value in place of its own or behind them.
std::string entry_with(std::string const& name, std::string const& value)
{
    std::string document{"{"};
    for (auto const& [own, text] :
         {std::pair{"service", R"("s")"}, std::pair{"address", R"("10.0.0.1:80")"},
          std::pair{"zone", R"("z")"}, std::pair{"slots", "6"}, std::pair{"state", R"("ready")"}}) {
        if (name != own) {
            document += "\"" + std::string{own} + "\":" + text + ",";
        }
    }
    return document + "\"" + name + "\":" + value + "}";
}

std::string config_with(std::string const& version, std::string const& model_fields,
                        std::string const& limits = "{}", std::string const& workspace_fields = "")
{
    return R"({"version":)" + version +
           R"(,"routes":[],"services":[{"name":"s","engine":{"models":[{"name":"m")" + model_fields +
           R"(}]}}],"limits":)" + limits + R"(,"tenants":[{"name":"w")" + workspace_fields + "}]}";
}

} // namespace

// Guards against a VM that ends because one entry among those of the upstreams is nested too deeply.
TEST_CASE("a document that is nested too deeply is refused", "[platform][odd]")
{
    struct row {
        bool in_arrays_;
        bool in_objects_;
    };
    for (auto const& row : {row{true, false}, row{false, true}, row{true, true}}) {
        CAPTURE(row.in_arrays_, row.in_objects_);
        auto const value = nested(row.in_arrays_, row.in_objects_);
        for (auto const* const name : {"models", "available", "service", "unknown"}) {
            CAPTURE(name);
            CHECK_FALSE(parse_upstream("i-1", entry_with(name, value)));
        }
        CHECK_FALSE(parse_upstream("i-1", entry_with("models", "[" + value + "]")));
        CHECK_FALSE(parse_upstream("i-1", entry_with("available", R"({"on_disk":)" + value + "}")));
        CHECK_FALSE(parse_upstream("i-1", value));
        CHECK_FALSE(parse_report(R"({"models":)" + value + "}"));
        CHECK_FALSE(parse_report(R"({"pending":)" + value + "}"));
        CHECK_THROWS_AS(parse_config(config_with("1", R"(,"other":)" + value)), error);
        CHECK_THROWS_AS(parse_config(config_with("1", "", "{}", R"(,"api_keys":)" + value)), error);
    }
}

// Guards against a stream that goes on at a version of which it is not known that it began it.
TEST_CASE("the software version of a registry entry is parsed, and one that is no text is not guessed",
          "[platform][discovery][odd]")
{
    struct row {
        char const* value_;
        char const* version_;
    };
    for (auto const& row : {row{R"("v1")", "v1"}, row{R"("")", ""}, row{R"("1.2-\u00e9")", "1.2-\xc3\xa9"}}) {
        CAPTURE(row.value_);
        auto const entry = parse_upstream("i-1", entry_with("version", row.value_));
        REQUIRE(entry);
        CHECK(entry->software_version_ == row.version_);
    }
    CHECK(parse_upstream("i-1", entry_with("slots", "6"))->software_version_.empty());
    for (auto const* const value : {"7", "1.5", "null", "true", "[]", "{}", R"(["v1"])"}) {
        CAPTURE(value);
        CHECK_FALSE(parse_upstream("i-1", entry_with("version", value)));
    }
    auto const long_name = [](char end) { return "\"" + std::string(200, 'v') + end + "\""; };
    auto const one = parse_upstream("i-1", entry_with("version", long_name('1')));
    auto const other = parse_upstream("i-1", entry_with("version", long_name('2')));
    REQUIRE(one);
    REQUIRE(other);
    CHECK(one->software_version_.size() < 64);
    CHECK(one->software_version_ != other->software_version_);
}

// Guards against an entry whose numbers overflow when they are converted, and against ports that name none.
TEST_CASE("a registry entry with a number out of range is ignored", "[platform][odd]")
{
    struct row {
        char const* name_;
        char const* value_;
    };
    for (auto const& row : {row{"slots", "1e999"},
                            row{"slots", "1e300"},
                            row{"slots", "-1e300"},
                            row{"slots", "9223372036854775807"},
                            row{"slots", "9223372036854775808"},
                            row{"slots", "18446744073709551617"},
                            row{"slots", "NaN"},
                            row{"slots", "-Infinity"},
                            row{"slots", "0"},
                            row{"slots", "-3"},
                            row{"born", "9223372036854775808"},
                            row{"born", "-9223372036854775808"},
                            row{"born", "18446744073709551615"},
                            row{"born", "1e300"},
                            row{"born", "1700000000123000"}, // microseconds
                            row{"born", "1000000000000000"},
                            row{"models", R"([{"name":"m","version":1e300}])"},
                            row{"models", R"([{"name":"m","version":18446744073709551615}])"},
                            row{"address", R"("10.0.0.1:0")"},
                            row{"address", R"("10.0.0.1:65536")"},
                            row{"address", R"("10.0.0.1:-1")"},
                            row{"address", R"("10.0.0.1:99999999999")"},
                            row{"address", R"("10.0.0.1:")"},
                            row{"address", R"("10.0.0.1")"},
                            row{"address", R"("[::1]:80x")"},
                            row{"address", R"("::1:80")"},
                            row{"address", R"("fe80::1:80")"},
                            row{"address", R"("0.0.0.0:80")"},
                            row{"address", R"("255.255.255.255:80")"},
                            row{"address", R"("224.0.0.1:80")"},
                            row{"address", R"("")"},
                            row{"address", R"("10.0.0.1:80,10.0.0.2:80")"},
                            row{"address", R"("10.0.0.1\u0000:80")"},
                            row{"address", R"("10.0.0.1\u0000\r\nX-Tenant: w:80")"}}) {
        CAPTURE(row.name_, row.value_);
        CHECK_FALSE(parse_upstream("i-1", entry_with(row.name_, row.value_)));
    }
    CHECK(parse_upstream("i-1", entry_with("slots", "6.0")));
    CHECK(parse_upstream("i-1", entry_with("born", "1700000000123")));
}

// Guards against requests to what an entry of another writer names (they were sent to one with {} as models).
TEST_CASE("a registry entry with a field of another type is ignored", "[platform][odd]")
{
    struct row {
        std::vector<std::string> names_;
        std::vector<std::string> values_;
    };
    for (auto const& row : {row{{"service", "address", "zone", "state"}, {"{}", "[]", "7", "true", "null"}},
                            row{{"slots", "born", "sequence", "cold_remaining_ms", "remaining_ms"},
                                {"{}", "[]", "\"7\"", "true"}},
                            row{{"models"}, {"{}", "{\"x\":[]}", "[[]]", "[7]", "7", "\"m\"", "true"}},
                            row{{"available"}, {"[]", "7", "\"m\"", "true"}}}) {
        for (auto const& name : row.names_) {
            for (auto const& value : row.values_) {
                CAPTURE(name, value);
                CHECK_FALSE(parse_upstream("i-1", entry_with(name, value)));
            }
        }
    }
    for (auto const* const models :
         {R"([{"name":"m","adapters":{}}])", R"([{"name":"m","adapters":"a1"}])", R"([{"name":7}])",
          R"([{"version":1}])", R"([{"name":"m","version":"1"}])"}) {
        CAPTURE(models);
        CHECK_FALSE(parse_upstream("i-1", entry_with("models", models)));
    }
    CHECK_FALSE(parse_upstream("i-1", entry_with("available", R"({"on_disk":{}})")));
    CHECK_FALSE(parse_report(R"({"models":{}})"));
    CHECK_FALSE(parse_report(R"({"pending":{}})"));
}

// Guards against header fields that another writer puts into requests to upstreams.
TEST_CASE("a registry entry whose id cannot be a header value is ignored", "[platform][odd]")
{
    auto const document = entry_with("slots", "6");
    for (auto const& id : {std::string{}, std::string{"i\r\nX-Tenant: w"}, std::string{"i\0j", 3},
                           std::string{"i-\x01"}, std::string{"i-\x7f"}, std::string{"\xff\xfe"},
                           std::string{" i-1"}, std::string{"i-1\t"}, std::string{"i-\xef\xbf\xbd"}}) {
        CAPTURE(id);
        CHECK_FALSE(parse_upstream(id, document));
    }
    CHECK(parse_upstream(std::string(255, 'i'), document));
    CHECK(parse_upstream("i-\xc3\xa9", document));
}

// Guards against an entry that fits no message, so that none that carries it reaches the peers.
TEST_CASE("a registry entry that is too long is ignored", "[platform][odd]")
{
    CHECK(parse_upstream("i-1", entry_with("note", "\"" + std::string(20'000, 'x') + "\"")));
    CHECK_FALSE(parse_upstream("i-1", entry_with("note", "\"" + std::string(56'000, 'x') + "\"")));
    CHECK_FALSE(parse_upstream("i-1", entry_with("note", "\"" + std::string(2'000'000, 'x') + "\"")));
}

// Guards against a configuration that ends all VMs at once, or after which no newer one is followed.
TEST_CASE("a configuration with a number out of range is rejected with an error", "[platform][config][odd]")
{
    CHECK(parse_config(config_with("1", R"(,"adapters":2)")).version_ == 1);
    for (auto const* const version : {"1e300", "-1", "18446744073709551615", "1.5", "1e999"}) {
        CAPTURE(version);
        CHECK_THROWS_AS(parse_config(config_with(version, "")), error);
    }
    for (auto const* const fields : {R"(,"adapters":2000000)", R"(,"adapters":1e6)", R"(,"weights_mb":1e300)",
                                     R"(,"load_s":1e300)", R"(,"adapter_mb":-1e300)", R"(,"warm_s":1e30)"}) {
        CAPTURE(fields);
        CHECK_THROWS_AS(parse_config(config_with("1", fields)), error);
    }
    for (auto const* const limits :
         {R"({"idle_timeout_ms":1e300})", R"({"idle_timeout_ms":9223372036854775807})",
          R"({"max_header_bytes":4294967297})", R"({"max_header_bytes":-1})", R"({"max_body_bytes":-1})",
          R"({"header_timeout_ms":18446744073709551615})"}) {
        CAPTURE(limits);
        CHECK_THROWS_AS(parse_config(config_with("1", "", limits)), error);
    }
    for (auto const* const fields : {R"(,"rate_per_s":1e300)", R"(,"burst":-1e300)",
                                     R"(,"plain_tokens":9223372036854775807)", R"(,"priority":1e300)"}) {
        CAPTURE(fields);
        CHECK_THROWS_AS(parse_config(config_with("1", "", "{}", fields)), error);
    }
}

// Guards against a process that ends because of an entry or a report of another writer.
TEST_CASE("any change of a document is parsed or refused", "[platform][odd]")
{
    auto const sound = entry_with(
        "models", R"([{"name":"m","version":3,"adapters":["a1",{"name":"a2"}]}],"born":1700000000123,
            "available":{"in_memory":["m"],"on_disk":["m","n"]},"sequence":4,"busy":true,"pending":["m/a1@2"])");
    REQUIRE(parse_upstream("i-1", sound));
    CHECK(rc::check([&] {
        auto changed = sound;
        auto config = std::string{config_document};
        auto const changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            auto const piece = *rc::gen::element<std::string>("[", "]", "{", "}", ",", ":", "\"", "1e300",
                                                              "-1", "null", "{}", "[]", "9223372036854775808",
                                                              "\"x\"", std::string(1, '\0'), "\xff");
            for (auto* const text : {&changed, &config}) {
                auto const at = *rc::gen::inRange<std::size_t>(0, text->size());
                auto const cut = *rc::gen::inRange<std::size_t>(0, 4);
                text->replace(at, cut, piece);
            }
        }
        (void)parse_upstream("i-1", changed);
        (void)parse_report(changed);
        try {
            (void)parse_config(config);
        } catch (error const&) {
            return; // what else it throws fails the test
        }
    }));
}
