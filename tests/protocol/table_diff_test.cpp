#include "protocol/table_diff.hpp"

#include "protocol/base_version.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>
#include <functional>

using namespace auburnchute;

namespace {

tables sample()
{
    tables all;
    all.workspaces_ = {{"forge", 100, 1000, 1}};
    route_row first;
    first.name_ = "a";
    first.workspaces_ = {"forge"};
    first.model_ = "m";
    first.pool_ = "large";
    auto second = first;
    second.name_ = "b";
    all.routes_ = {first, second};
    pool_row pool;
    pool.name_ = "large";
    pool.upstreams_ = {"engine-*"};
    model_row model;
    model.name_ = "m";
    model.memory_mb_ = 10;
    model.adapters_ = {{"x", 1}};
    pool.models_ = {model};
    all.pools_ = {pool};
    return all;
}

} // namespace

// Guards against a field that changes without being shown, so that an operator publishes what nobody
// reviewed.
TEST_CASE("each change of a row is shown", "[diff]")
{
    struct row {
        std::function<void(tables&)> change_;
        char const* shown_;
    };
    std::vector<row> const cases{
        {[](tables& t) { t.workspaces_[0].rate_ = 5; }, "~ routes/workspaces/forge rate: 100 -> 5"},
        {[](tables& t) { t.workspaces_[0].burst_ = 5; }, "~ routes/workspaces/forge burst: 1000 -> 5"},
        {[](tables& t) { t.workspaces_[0].weight_ = 5; }, "~ routes/workspaces/forge weight: 1 -> 5"},
        {[](tables& t) { t.workspaces_.clear(); },
         "- routes/workspaces/forge: rate 100, burst 1000, weight 1"},
        {[](tables& t) { t.routes_[0].open_ = true; }, "~ routes/a open: false -> true"},
        {[](tables& t) { t.routes_[0].workspaces_.clear(); }, "~ routes/a workspaces: [forge] -> []"},
        {[](tables& t) { t.routes_[0].model_ = ""; }, "~ routes/a model: m -> (none)"},
        {[](tables& t) { t.routes_[0].path_ = "/x"; }, "~ routes/a path: (none) -> /x"},
        {[](tables& t) { t.routes_[0].pool_ = "p"; }, "~ routes/a pool: large -> p"},
        {[](tables& t) { t.routes_[0].priority_ = priority::urgent; },
         "~ routes/a priority: normal -> urgent"},
        {[](tables& t) { t.routes_[0].deadline_ = {1}; }, "~ routes/a deadline_ms: 30000 -> 1"},
        {[](tables& t) { t.routes_[0].max_tokens_ = 1; }, "~ routes/a max_tokens: 1024 -> 1"},
        {[](tables& t) { t.routes_[0].cost_ = 2; }, "~ routes/a cost: 1 -> 2"},
        {[](tables& t) { t.routes_[0].repeatable_ = false; }, "~ routes/a repeatable: true -> false"},
        {[](tables& t) { std::swap(t.routes_[0], t.routes_[1]); }, "~ routes order: [a, b] -> [b, a]"},
        {[](tables& t) { t.pools_[0].kind_ = pool_kind::service; }, "~ pools/large kind: model -> service"},
        {[](tables& t) { t.pools_[0].upstreams_ = {"x"}; }, "~ pools/large upstreams: [engine-*] -> [x]"},
        {[](tables& t) { t.pools_[0].availability_zones_ = {"z"}; },
         "~ pools/large availability_zones: [] -> [z]"},
        {[](tables& t) { t.pools_[0].locality_ = locality::require; },
         "~ pools/large locality: prefer -> require"},
        {[](tables& t) { t.pools_[0].memory_mb_ = 1; }, "~ pools/large memory_mb: 0 -> 1"},
        {[](tables& t) { t.pools_[0].min_residence_ = {1}; }, "~ pools/large min_residence_ms: 10000 -> 1"},
        {[](tables& t) { t.pools_[0].aging_ = {1}; }, "~ pools/large aging_ms: 10000 -> 1"},
        {[](tables& t) { t.pools_[0].outage_permits_ = 1; }, "~ pools/large outage_permits: 0 -> 1"},
        {[](tables& t) { t.pools_[0].slots_ = 1; }, "~ pools/large slots: 16 -> 1"},
        {[](tables& t) { t.pools_[0].models_[0].memory_mb_ = 1; },
         "~ pools/large/models/m memory_mb: 10 -> 1"},
        {[](tables& t) { t.pools_[0].models_[0].min_replicas_ = 1; },
         "~ pools/large/models/m min_replicas: 0 -> 1"},
        {[](tables& t) { t.pools_[0].models_[0].max_replicas_ = 2; },
         "~ pools/large/models/m max_replicas: 1 -> 2"},
        {[](tables& t) { t.pools_[0].models_[0].slots_ = 1; }, "~ pools/large/models/m slots: 8 -> 1"},
        {[](tables& t) { t.pools_[0].models_[0].load_time_ = {1}; },
         "~ pools/large/models/m load_time_ms: 20000 -> 1"},
        {[](tables& t) { t.pools_[0].models_[0].idle_unload_ = {1}; },
         "~ pools/large/models/m idle_unload_ms: 60000 -> 1"},
        {[](tables& t) { t.pools_[0].models_[0].adapters_[0].memory_mb_ = 2; },
         "~ pools/large/models/m/adapters/x memory_mb: 1 -> 2"},
        {[](tables& t) { t.pools_[0].models_[0].adapters_.clear(); },
         "- pools/large/models/m/adapters/x: memory_mb 1"},
        {[](tables& t) {
             t.pools_[0].models_[0].adapters_.push_back({"y", 3});
         },
         "+ pools/large/models/m/adapters/y: memory_mb 3"},
        {[](tables& t) { t.store_.checkpoint_transfers_ = 1; }, "~ pools/store checkpoint_transfers: 4 -> 1"},
        {[](tables& t) { t.store_.adapter_transfers_ = 1; }, "~ pools/store adapter_transfers: 32 -> 1"},
    };
    for (auto const& one : cases) {
        INFO(one.shown_);
        auto after = sample();
        one.change_(after);
        auto const changes = diff(sample(), after);
        CHECK_FALSE(same_rows(sample(), after));
        REQUIRE(changes.size() == 1);
        CHECK(to_string(changes.front()) == one.shown_);
    }
}

// Guards against differences that are none, for example after a publication by another author.
TEST_CASE("equal rows have no difference", "[diff]")
{
    auto after = sample();
    after.version_ = 7;
    after.author_ = "ines";
    CHECK(diff(sample(), after).empty());
    CHECK(diff({}, {}).empty());
}

// Guards against an order that is reported as changed only because a route came or went.
TEST_CASE("a new route does not change the order of the others", "[diff]")
{
    auto after = sample();
    auto added = after.routes_[0];
    added.name_ = "first";
    after.routes_.insert(after.routes_.begin(), added);

    auto const changes = diff(sample(), after);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].kind_ == change_kind::added);
    CHECK(changes[0].row_ == "routes/first");
}

// Guards against a base version that is read from the wrong place, which would overwrite another's change.
TEST_CASE("the base version is read and written", "[diff]")
{
    auto const [text, version, next] =
        GENERATE(table<std::string, std::optional<std::uint64_t>, std::string>({
            {"", std::nullopt, "# base_version: 9\n"},
            {"a: 1\n", std::nullopt, "# base_version: 9\na: 1\n"},
            {"# base_version: 3\na: 1\n", 3, "# base_version: 9\na: 1\n"},
            {"# base_version:3", 3, "# base_version: 9"},
            {"# owner\n# base_version: 12 \r\na: 1\n", 12, "# owner\n# base_version: 9\na: 1\n"},
            {"a: '# base_version: 3'\n", std::nullopt, "# base_version: 9\na: '# base_version: 3'\n"},
            {"  # base_version: 3\n", std::nullopt, "# base_version: 9\n  # base_version: 3\n"},
        }));
    CHECK(base_version(text) == version);
    CHECK(with_base_version(text, 9) == next);
}

// Guards against a base version that is guessed.
TEST_CASE("an unclear base version is refused", "[diff]")
{
    auto const text =
        GENERATE(as<std::string>{}, "# base_version:", "# base_version: x", "# base_version: -1",
                 "# base_version: 3 4", "# base_version: 99999999999999999999",
                 "# base_version: 1\n# base_version: 2\n");
    CHECK_THROWS_AS(base_version(text), error);
}
