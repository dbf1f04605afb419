#include "protocol/trace.hpp"

#include <auburnchute/error.hpp>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <unistd.h>
#include <vector>

using namespace auburnchute;
using nlohmann::json;

namespace {

std::string const header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

std::filesystem::path fresh_file(char const* name)
{
    auto path = std::filesystem::temp_directory_path() / (std::string{name} + std::to_string(::getpid()));
    std::filesystem::remove(path);
    return path;
}

std::vector<json> read_lines(std::filesystem::path const& path)
{
    std::ifstream file{path};
    std::vector<json> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(json::parse(line));
    }
    return lines;
}

bool is_hex(std::string const& text, std::size_t size)
{
    return text.size() == size && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

// Guards against a trace that is cut in two at this daemon.
TEST_CASE("a valid traceparent is kept", "[trace]")
{
    auto const [text, sampled] = GENERATE(table<std::string, bool>({
        {header, true},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00", false},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-02", false},
        {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-ff", true},
        {"01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more", true},
    }));
    auto const context = parse_traceparent(text);

    CHECK(context.trace_id_ == "4bf92f3577b34da6a3ce929d0e0e4736");
    CHECK(context.span_id_ == "00f067aa0ba902b7");
    CHECK(context.sampled_ == sampled);
}

// Guards against a header from outside that gets into traces and upstream calls unchecked.
TEST_CASE("a malformed traceparent starts a fresh trace", "[trace]")
{
    auto const text = GENERATE_COPY(values<std::string>({
        "",
        "00",
        header.substr(0, 54),
        header + "0",
        header + "-more",
        "ff" + header.substr(2),
        "0G" + header.substr(2),
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00_4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7_01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0x",
        "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01more",
        "00-4bf92f3577b34da6a3ce929d0e0e47\r\n-00f067aa0ba902b7-01",
        std::string(16 * 1024, '0'),
        "\xff\xfe" + header,
    }));
    auto const context = parse_traceparent(text);

    CHECK(is_hex(context.trace_id_, 32));
    CHECK(context.trace_id_ != "4bf92f3577b34da6a3ce929d0e0e4736");
    CHECK(context.span_id_.empty());
    CHECK(context.sampled_);
}

// Guards against ids that repeat, which would join unrelated requests.
TEST_CASE("fresh ids differ", "[trace]")
{
    std::set<std::string> ids;
    for (int i = 0; i < 1000; ++i) {
        auto const fresh = parse_traceparent("");
        ids.insert(fresh.trace_id_);
        ids.insert(child_of(fresh).span_id_);
    }
    CHECK(ids.size() == 2000);
}

// Guards against a child that leaves its trace or changes the sampling decision of the caller.
TEST_CASE("a child stays in its trace and can be sent on", "[trace]")
{
    auto const parent = parse_traceparent(GENERATE(as<std::string>{}, header, header.substr(0, 53) + "00"));
    auto const own = child_of(parent);

    CHECK(own.trace_id_ == parent.trace_id_);
    CHECK(own.span_id_ != parent.span_id_);
    CHECK(is_hex(own.span_id_, 16));
    auto const read = parse_traceparent(to_traceparent(own));
    CHECK(read.span_id_ == own.span_id_);
    CHECK(read.sampled_ == parent.sampled_);
}

// Guards against spans that a reader of OTLP JSON cannot take.
TEST_CASE("a span is one line in the form of OTLP", "[trace]")
{
    auto const path = fresh_file("auburnchute-span-");
    auto const parent = parse_traceparent(header);
    auto const own = child_of(parent);
    {
        span_sink sink{path.string()};
        std::array const attributes{span_attribute{"row", "routes/a@1"}, span_attribute{"odd", "\xff\n"}};
        sink.write(own, parent.span_id_, "route", {1'700'000'000'123}, {1'700'000'000'125}, attributes);
        sink.write(own, "", "accept", {1}, {2}, {});
        sink.write({own.trace_id_, own.span_id_, false}, "", "unsampled", {1}, {2}, {});
    }
    auto const lines = read_lines(path);
    std::filesystem::remove(path);

    REQUIRE(lines.size() == 2);
    auto const span = lines[0].at("/resourceSpans/0/scopeSpans/0/spans/0"_json_pointer);
    CHECK(span.at("traceId") == own.trace_id_);
    CHECK(span.at("spanId") == own.span_id_);
    CHECK(span.at("parentSpanId") == parent.span_id_);
    CHECK(span.at("name") == "route");
    CHECK(span.at("startTimeUnixNano") == "1700000000123000000");
    CHECK(span.at("endTimeUnixNano") == "1700000000125000000");
    CHECK(span.at("attributes").at(0) == json{{"key", "row"}, {"value", {{"stringValue", "routes/a@1"}}}});
    CHECK_FALSE(lines[1].at("/resourceSpans/0/scopeSpans/0/spans/0"_json_pointer).contains("parentSpanId"));
}

// Guards against lines of several threads that run into each other.
TEST_CASE("spans of several threads are whole lines", "[trace]")
{
    auto const path = fresh_file("auburnchute-threads-");
    constexpr int each = 200;
    {
        span_sink sink{path.string()};
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&sink] {
                for (int i = 0; i < each; ++i) {
                    sink.write(child_of(parse_traceparent(header)), "", "relay", {1}, {2}, {});
                }
            });
        }
        threads.clear();
        CHECK(sink.dropped() == 0);
    }
    CHECK(read_lines(path).size() == 4 * each);
    std::filesystem::remove(path);
}

// Guards against requests that wait for, or fail on, a disk that is full. /dev/full refuses every write.
TEST_CASE("a full disk loses spans and nothing else", "[trace]")
{
    constexpr int written = 20'000;
    std::int64_t dropped = 0;
    {
        span_sink sink{"/dev/full"};
        for (int i = 0; i < written; ++i) {
            sink.write(child_of(parse_traceparent(header)), "", "relay", {1}, {2}, {});
        }
        while (dropped < written) {
            dropped = sink.dropped();
            std::this_thread::yield();
        }
    }
    CHECK(dropped == written);
}

// Guards against a trace file that is silently not written.
TEST_CASE("a file that cannot be opened is an error", "[trace]")
{
    CHECK_THROWS_AS(span_sink{"/nonexistent/spans.jsonl"}, error);
    span_sink none{""};
    none.write(child_of(parse_traceparent(header)), "", "relay", {1}, {2}, {});
    CHECK(none.dropped() == 0);
}
