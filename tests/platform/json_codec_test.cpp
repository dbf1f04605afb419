#include "platform/json_codec.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>
#include <string>

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
