#include "protocol/problem.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace auburnchute;
using nlohmann::json;

// Guards against members that RFC 9457 or docs/OPERATING.md promises and callers would miss.
TEST_CASE("a problem shows all members", "[problem]")
{
    problem const shown{429,
                        "rate-limited",
                        "Rate exceeded",
                        "not run: the workspace is above its rate",
                        execution::not_run,
                        "routes/build-review@3",
                        "limit",
                        "10.0.0.7:8000",
                        "entry-a1-1f-4",
                        2};

    CHECK(json::parse(to_json(shown)) == json{{"type", "urn:auburnchute:problem:rate-limited"},
                                              {"title", "Rate exceeded"},
                                              {"status", 429},
                                              {"detail", "not run: the workspace is above its rate"},
                                              {"execution", "not_run"},
                                              {"row", "routes/build-review@3"},
                                              {"step", "limit"},
                                              {"peer", "10.0.0.7:8000"},
                                              {"request_id", "entry-a1-1f-4"},
                                              {"retry_after_s", 2}});
}

// Guards against empty members that callers would take for values, and against an unnamed execution.
TEST_CASE("a problem leaves out what it does not know", "[problem]")
{
    auto const [value, name] = GENERATE(table<execution, std::string>(
        {{execution::not_run, "not_run"}, {execution::ran, "ran"}, {execution::unknown, "unknown"}}));
    problem shown;
    shown.title_ = "Failure";
    shown.execution_ = value;

    CHECK(json::parse(to_json(shown)) ==
          json{{"type", "about:blank"}, {"title", "Failure"}, {"status", 500}, {"execution", name}});
}

// Guards against text from elsewhere that makes the writer throw or breaks the JSON.
TEST_CASE("a problem is valid JSON whatever its text", "[problem]")
{
    auto const text = GENERATE(as<std::string>{}, "\xff\xfe", "a\"b\\c\n", "\xe2\x82", std::string(1, '\0'));
    problem shown;
    shown.detail_ = text;
    shown.peer_ = text;

    CHECK(json::accept(to_json(shown)));
}
