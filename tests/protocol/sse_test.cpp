#include "protocol/sse.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>

using namespace auburnchute;

namespace {

std::vector<std::string> feed_in_pieces(std::string_view stream, std::size_t size)
{
    sse_parser parser;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < stream.size(); at += size) {
        for (auto& event : feed(parser, stream.substr(at, size))) {
            events.push_back(std::move(event));
        }
    }
    return events;
}

} // namespace

// Guards against events that are lost, doubled or changed by the way in which the stream is cut into chunks.
TEST_CASE("events do not depend on how the stream is cut", "[sse]")
{
    auto const [stream, expected] = GENERATE(table<std::string, std::vector<std::string>>({
        {"", {}},
        {"data: a\n\n", {"a"}},
        {"data: a\n\ndata: b\n\ndata: [DONE]\n\n", {"a", "b", "[DONE]"}},
        {"data: a\r\n\r\ndata: b\r\n\r\n", {"a", "b"}},
        {"data: a\r\rdata: b\r\r", {"a", "b"}},
        {"data: one\ndata: two\n\n", {"one\ntwo"}},
        {"data: one\r\ndata:two\r\n\r\n", {"one\ntwo"}},
        {"data:  two spaces\n\n", {" two spaces"}},
        {"data\n\n", {""}},
        {"data:\n\n", {""}},
        {"data:\ndata:\n\n", {"\n"}},
        {": a comment\n\ndata: a\n\n", {"a"}},
        {"event: x\nid: 3\nretry: 5\ndata: a\n\n", {"a"}},
        {"datax: a\n\n", {}},
        {"\n\n\n\ndata: a\n\n\n\n", {"a"}},
        {"data: unfinished", {}},
        {"data: unfinished\n", {}},
        {"data: {\"text\": \"na\xc3\xafve\"}\n\n", {"{\"text\": \"na\xc3\xafve\"}"}},
    }));
    auto const size = GENERATE(as<std::size_t>{}, 1, 2, 3, 5, 7, 4096);
    INFO("chunks of " << size << " bytes of " << stream);

    CHECK(feed_in_pieces(stream, size) == expected);
}

// Guards against an upstream that fills the memory by an event without an end.
TEST_CASE("an event above the bound is refused", "[sse]")
{
    auto const piece =
        GENERATE(as<std::string>{}, "data: xxxxxxxxxxxxxxxxxxxxxxxxx\n", "xxxxxxxxxxxxxxxx", ": x");
    sse_parser parser;
    std::string chunk;
    while (chunk.size() < 64 * 1024) {
        chunk += piece;
    }
    auto const feed_all = [&] {
        for (int i = 0; i < 32; ++i) {
            static_cast<void>(feed(parser, chunk));
        }
    };

    CHECK_THROWS_AS(feed_all(), error);
    CHECK(parser.buffer_.size() + parser.data_.size() < max_sse_event + 2 * chunk.size());
}

// Guards against a bound that counts a whole stream instead of one event.
TEST_CASE("a long stream of short events is within the bound", "[sse]")
{
    sse_parser parser;
    auto const event = sse_event(std::string(1000, 'x'));
    for (int i = 0; i < 3000; ++i) {
        REQUIRE(feed(parser, event).size() == 1);
    }
}

// Guards against a payload that ends its event early, so that a text could pass itself off as an event.
TEST_CASE("an event that is written is read back", "[sse]")
{
    auto const [data, read] = GENERATE(table<std::string, std::string>({
        {"", ""},
        {"a", "a"},
        {" a", " a"},
        {"a\nb", "a\nb"},
        {"a\n\ndata: [DONE]", "a\n\ndata: [DONE]"},
        {"a\r\nb\rc", "a\nb\nc"},
        {"\n", "\n"},
    }));
    sse_parser parser;

    CHECK(feed(parser, sse_event(data)) == std::vector<std::string>{read});
}
