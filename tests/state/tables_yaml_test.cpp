#include <auburnchute/tables_yaml.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

std::string const valid_routes = R"(workspaces:
  - name: legal
    rate: 100
    burst: 1000
  - {name: shop, rate: 5, burst: 9, weight: 3}
routes:
  - name: review
    workspaces: [legal]
    model: large
    pool: gpu
    priority: high
    deadline_ms: 9000
  - name: buy
    open: true
    path: /orders
    pool: desk
    repeatable: false
)";

std::string const valid_pools = R"(store:
  checkpoint_transfers: 4
pools:
  - name: gpu
    upstreams: ["gpu-*"]
    availability_zones: [occ-a]
    locality: require
    models:
      - name: large
        memory_mb: 700
        load_time_ms: 10
        adapters:
          - name: tone
            memory_mb: 3
  - name: desk
    kind: service
    upstreams: [desk-1]
    aging_ms: 5
)";

/// Replaces the first occurrence of `from`, which must exist.
std::string replace_first(std::string text, std::string const& from, std::string const& to)
{
    auto const position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::vector<std::string> fault_texts(std::string const& routes, std::string const& pools)
{
    std::vector<std::string> texts;
    for (auto const& fault : parse_tables("routes.yaml", routes, "pools.yaml", pools).faults_) {
        texts.push_back(to_string(fault));
    }
    return texts;
}

} // namespace

// Guards against keys that the parser accepts but whose values it does not store.
TEST_CASE("the keys of both tables set their fields", "[tables_yaml]")
{
    auto const parsed = parse_tables("routes.yaml", valid_routes, "pools.yaml", valid_pools);
    REQUIRE(fault_texts(valid_routes, valid_pools).empty());
    auto const& all = parsed.tables_;
    REQUIRE(all.workspaces_.size() == 2);
    CHECK(all.workspaces_[1] == workspace_row{"shop", 5, 9, 3});
    REQUIRE(all.routes_.size() == 2);
    CHECK(all.routes_[0].priority_ == priority::high);
    CHECK(all.routes_[0].deadline_ == millis{9'000});
    CHECK(all.routes_[0].workspaces_ == std::vector<std::string>{"legal"});
    CHECK(all.routes_[1].open_);
    CHECK_FALSE(all.routes_[1].repeatable_);
    REQUIRE(all.pools_.size() == 2);
    CHECK(all.pools_[0].locality_ == locality::require);
    CHECK(all.pools_[0].models_.at(0).load_time_ == millis{10});
    CHECK(all.pools_[0].models_.at(0).adapters_.at(0) == adapter_row{"tone", 3});
    CHECK(all.pools_[1].kind_ == pool_kind::service);
    CHECK(all.pools_[1].aging_ == millis{5});
    CHECK(all.store_ == store_row{4, 32});
}

// Guards against invalid routes that are accepted, or reported without the position and field that an
// operator needs to find them.
TEST_CASE("a fault in the routes is reported with its position and field", "[tables_yaml]")
{
    auto const [from, to, expected] = GENERATE(table<char const*, char const*, char const*>({
        {"rate: 100", "rates: 100", "routes.yaml:3:5: workspaces[0].rates: unknown key"},
        {"    burst: 1000\n", "    burst: 1\n    burst: 2\n",
         "routes.yaml:5:5: workspaces[0].burst: duplicate key"},
        {"    burst: 1000\n", "", "routes.yaml:2:5: workspaces[0].burst: is required"},
        {"rate: 100", "rate: fast", "routes.yaml:3:11: workspaces[0].rate: must be a whole number, got fast"},
        {"rate: 100", "rate: \"100\"",
         "routes.yaml:3:11: workspaces[0].rate: must be a whole number without quotes"},
        {"rate: 100", "rate: 1.5", "routes.yaml:3:11: workspaces[0].rate: must be a whole number, got 1.5"},
        {"rate: 100", "rate: 0x10", "routes.yaml:3:11: workspaces[0].rate: must be a whole number, got 0x10"},
        {"rate: 100", "rate:", "routes.yaml:3:5: workspaces[0].rate: must be a whole number without quotes"},
        {"rate: 100", "rate: [1]",
         "routes.yaml:3:11: workspaces[0].rate: must be a whole number without quotes"},
        {"rate: 100", "rate: 9223372036854775808",
         "routes.yaml:3:11: workspaces[0].rate: the number 9223372036854775808 is out of range"},
        {"rate: 100", "rate: 1000000000001",
         "routes.yaml:3:11: workspaces[0].rate: must be at most 1000000000000"},
        {"rate: 100", "rate: 0", "routes.yaml:3:11: workspaces[0].rate: must be above 0"},
        {"rate: 100", "rate: -1", "routes.yaml:3:11: workspaces[0].rate: must be above 0"},
        {"name: legal", "name: 2024",
         "routes.yaml:2:11: workspaces[0].name: must be a string; put 2024 in quotes"},
        {"name: legal", "name: yes",
         "routes.yaml:2:11: workspaces[0].name: must be a string; put yes in quotes"},
        {"name: legal", "name: {a: b}", "routes.yaml:2:11: workspaces[0].name: must be a string"},
        {"name: legal", "name: ''", "routes.yaml:2:11: workspaces[0].name: must not be empty"},
        {"name: shop", "name: legal",
         "routes.yaml:5:12: workspaces[1].name: the name legal is used more than once"},
        {"open: true", "open: 1", "routes.yaml:14:11: routes[1].open: must be true or false without quotes"},
        {"open: true", "open: yes",
         "routes.yaml:14:11: routes[1].open: must be true or false without quotes"},
        {"priority: high", "priority: highest",
         "routes.yaml:11:15: routes[0].priority: must be one of urgent, high, normal, low"},
        {"workspaces: [legal]", "workspaces: legal",
         "routes.yaml:8:17: routes[0].workspaces: must be a list"},
        {"workspaces: [legal]", "workspaces: [other]",
         "routes.yaml:8:17: routes[0].workspaces: workspace other does not exist"},
        {"pool: gpu", "pool: tpu", "routes.yaml:10:11: routes[0].pool: pool tpu does not exist"},
        {"path: /orders", "path: orders", "routes.yaml:15:11: routes[1].path: must begin with /"},
        {"    path: /orders\n", "",
         "routes.yaml:13:5: routes[1]: exactly one of `model` and `path` is required"},
        {"deadline_ms: 9000", "deadline_ms: 0", "routes.yaml:12:18: routes[0].deadline_ms: must be above 0"},
        {"deadline_ms: 9000", "deadline: 9000", "routes.yaml:12:5: routes[0].deadline: unknown key"},
        {"deadline_ms: 9000", "[a]: 9000", "routes.yaml:12:5: routes[0]: a key must be a string"},
        {"  - name: review", "  - just text\n  - name: review", "routes.yaml:7:5: routes[0]: must be a map"},
        {"  - name: review", "  -\n  - name: review", "routes.yaml:7:3: routes[0]: must be a map"},
        {"routes:", "ways:", "routes.yaml:1:1: routes: is required"},
        {"workspaces:\n", "store: 1\nworkspaces:\n", "routes.yaml:1:1: store: unknown key"},
    }));
    CAPTURE(from, to);
    auto const found = fault_texts(replace_first(valid_routes, from, to), valid_pools);
    CAPTURE(found);
    CHECK(std::find(found.begin(), found.end(), expected) != found.end());
}

// Guards against invalid pools that are accepted, or reported without the position and field that an
// operator needs to find them.
TEST_CASE("a fault in the pools is reported with its position and field", "[tables_yaml]")
{
    auto const [from, to, expected] = GENERATE(table<char const*, char const*, char const*>({
        {"checkpoint_transfers: 4", "checkpoint_transfers: 0",
         "pools.yaml:2:25: store.checkpoint_transfers: must be above 0"},
        {"locality: require", "locality: must",
         "pools.yaml:7:15: pools[0].locality: must be one of prefer, require"},
        {"kind: service", "kind: model",
         "pools.yaml:15:5: pools[1].models: must name at least one model for kind model and must be empty "
         "for kind service"},
        {"        memory_mb: 700\n", "", "pools.yaml:9:9: pools[0].models[0].memory_mb: is required"},
        {"memory_mb: 700", "memory_mb: 700\n        max_replicas: 0",
         "pools.yaml:11:23: pools[0].models[0].max_replicas: must be at least 1 and at least min_replicas"},
        {"name: large", "name: large:x",
         "pools.yaml:9:15: pools[0].models[0].name: must not contain a colon, which separates base model and "
         "adapter"},
        {"memory_mb: 3", "memory_mb: -3",
         "pools.yaml:14:24: pools[0].models[0].adapters[0].memory_mb: must be above 0"},
        {"aging_ms: 5", "aging_ms: 5\n    idle_unload_ms: 5",
         "pools.yaml:19:5: pools[1].idle_unload_ms: unknown key"},
    }));
    CAPTURE(from, to);
    auto const found = fault_texts(valid_routes, replace_first(valid_pools, from, to));
    CAPTURE(found);
    CHECK(std::find(found.begin(), found.end(), expected) != found.end());
}

// Guards against text that is not one valid YAML document with a map, which earlier caused an exception or an
// empty table.
TEST_CASE("text that is not one valid YAML document with a map is reported as a fault", "[tables_yaml]")
{
    auto const [name, text, line, column] = GENERATE(table<char const*, std::string, int, int>({
        {"empty", "", 1, 1},
        {"a comment only", "# later\n", 1, 1},
        {"unfinished list", "routes: [", 1, 1},
        {"a tab as indentation", "workspaces:\n\t- name: x\n", 2, 2},
        {"two documents", valid_routes + "---\n" + valid_routes, 1, 1},
        {"a list", "- a\n- b\n", 1, 1},
        {"an unknown alias", "routes: *other\n", 1, 9},
        {"an invalid byte", "workspaces:\n  - name: \xFFx\n", 2, 11},
        {"an overlong form", "a: \xC0\xAF\n", 1, 4},
        {"a surrogate", "a: \xED\xA0\x80\n", 1, 4},
        {"a truncated character", "a: \xE2\x82", 1, 4},
        {"a control character", std::string("a: \0b\n", 6), 1, 4},
        {"UTF-16", std::string("\xFF\xFE\x61\x00", 4), 1, 1},
        {"lists nested beyond the stack size", std::string(100'000, '['), 1, 0},
        {"maps nested beyond the stack size", std::string(100'000, '{'), 1, 0},
    }));
    CAPTURE(name);
    auto const parsed = parse_tables("r", text, "p", valid_pools);
    REQUIRE_FALSE(parsed.faults_.empty());
    auto const& fault = parsed.faults_.front();
    CAPTURE(to_string(fault));
    CHECK(fault.file_ == "r");
    CHECK(fault.line_ == line);
    CHECK((column == 0 || fault.column_ == column));
    CHECK_FALSE(parse_tables("r", valid_routes, "p", text).faults_.empty());
}

// Guards against endless expansion of aliases that refer, once or twice, to a node that contains them.
TEST_CASE("aliases of an enclosing node are reported as faults", "[tables_yaml]")
{
    auto const text = GENERATE(as<std::string>{}, "workspaces: &a [*a, *a]\nroutes: []\n",
                               "workspaces: &a [{name: *a, rate: *a, burst: 1}]\nroutes: []\n");
    CHECK_FALSE(parse_tables("r", text, "p", valid_pools).faults_.empty());
}

// Guards against one invalid or missing value that is reported as several faults: by the parser, and again by
// the validation of the rows.
TEST_CASE("an invalid or missing value is reported once", "[tables_yaml]")
{
    auto const [from, to] = GENERATE(table<char const*, char const*>({
        {"rate: 100", "rate: fast"},
        {"  - name: review", "  - just text\n  - name: review"},
        {"[legal]", "legal"},
        {"    pool: gpu\n", ""},
    }));
    auto const found = fault_texts(replace_first(valid_routes, from, to), valid_pools);
    CAPTURE(found);
    CHECK(found.size() == 1);
}

// Guards against YAML output that is parsed to other rows, for example a name written without quotes that
// YAML resolves to a number.
TEST_CASE("tables written as YAML are parsed back to equal rows", "[tables_yaml]")
{
    CHECK(rc::check("round trip", [] {
        auto const name =
            rc::gen::suchThat(rc::gen::oneOf(rc::gen::element<std::string>(
                                                 "1", "true", "~", "null", "no", "1e3", ".5", "-", "0x1",
                                                 "a: b", "#x", "a #b", "*", "&a", "\xC3\xA9", "\"", "'",
                                                 "x\ny", "!!int 3", "{", " a", "a ", ".inf", "nan", "%"),
                                             rc::gen::string<std::string>()),
                              [](std::string const& text) {
                                  return std::all_of(text.begin(), text.end(),
                                                     [](char c) {
                                                         auto const byte = static_cast<unsigned char>(c);
                                                         return (byte >= 0x20 && byte < 0x7F) || c == '\n' ||
                                                                byte == 0xC3 || byte == 0xA9;
                                                     }) &&
                                         (text.find('\xC3') == std::string::npos || text == "\xC3\xA9") &&
                                         (text.find('\xA9') == std::string::npos || text == "\xC3\xA9");
                              });
        auto const number = rc::gen::arbitrary<std::int64_t>();
        auto const names = rc::gen::container<std::vector<std::string>>(name);
        tables all;
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
            all.workspaces_.push_back({*name, *number, *number, *number});
        }
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
            all.routes_.push_back({*name,
                                   *rc::gen::arbitrary<bool>(),
                                   *names,
                                   *name,
                                   *name,
                                   *name,
                                   *rc::gen::element(priority::urgent, priority::high, priority::low),
                                   {*number},
                                   *number,
                                   *number,
                                   *rc::gen::arbitrary<bool>()});
        }
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
            pool_row pool{*name,
                          *rc::gen::element(pool_kind::model, pool_kind::service),
                          *names,
                          *names,
                          *rc::gen::element(locality::prefer, locality::require),
                          *number,
                          {*number},
                          {*number},
                          *number,
                          *number,
                          {}};
            for (int j = *rc::gen::inRange(0, 3); j > 0; --j) {
                pool.models_.push_back({*name, *number, *number, *number, *number, {*number}, {*number}, {}});
                for (int k = *rc::gen::inRange(0, 3); k > 0; --k) {
                    pool.models_.back().adapters_.push_back({*name, *number});
                }
            }
            all.pools_.push_back(pool);
        }
        all.store_ = {*number, *number};
        auto const parsed = parse_tables("r", routes_to_yaml(all), "p", pools_to_yaml(all));
        RC_ASSERT(same_rows(parsed.tables_, all));
    }));
}

// Guards against crashes and exceptions of the parser on malformed YAML, and against faults without a
// position.
TEST_CASE("malformed tables cause no crash, and their faults have a position", "[tables_yaml]")
{
    CHECK(rc::check("bytes replaced, removed or inserted", [] {
        auto text = *rc::gen::element(valid_routes, valid_pools);
        for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
            auto const position = *rc::gen::inRange<std::size_t>(0, text.size());
            auto const replacement =
                *rc::gen::element<std::string>("\n", " ", "- ", ": ", "[", "]", "{", "}", "&a ", "*a", "\"",
                                               "'", "!", "|", "#", "\x80", "?", "<<: ", "---");
            text.replace(position, *rc::gen::inRange<std::size_t>(0, 4), replacement);
        }
        for (auto const& fault : parse_tables("r", text, "p", valid_pools).faults_) {
            RC_ASSERT(fault.line_ >= 1);
            RC_ASSERT(fault.column_ >= 1);
        }
        (void)parse_tables("r", valid_routes, "p", text);
    }));
}
