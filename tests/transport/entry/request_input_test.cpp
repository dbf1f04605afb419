#include "transport/entry/request_input.hpp"

#include "transport/entry/standin_platform.hpp"
#include "transport/entry/work_turns.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>

using namespace auburnchute;
using namespace auburnchute::tests;

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t head_limit = 16'384;

/// How the head was read that came in these pieces.
struct head_result {
    error_code fault_;
    std::size_t held_{}; ///< Most that was booked, in bytes.
    std::size_t work_{};
    std::size_t fields_{};
};

head_result read_pieces(std::vector<std::string> const& pieces, std::size_t room = 100'000'000)
{
    net::io_context loop{1};
    tcp::acceptor acceptor{loop, {net::ip::make_address("127.0.0.1"), 0}};
    tcp::socket caller{loop};
    caller.connect(acceptor.local_endpoint());
    boost::beast::tcp_stream stream{acceptor.accept()};
    boost::beast::flat_buffer buffer{std::size_t{2} * head_limit};
    http::request_parser<http::string_body> parser;
    head_result result;
    head_terms const terms{.limit_ = head_limit,
                           .hold_ =
                               [&](std::size_t bytes) {
                                   result.held_ = std::max(result.held_, bytes);
                                   return bytes <= room;
                               },
                           .work_ = [&](std::size_t amount) -> net::awaitable<void> {
                               result.work_ += amount;
                               co_return;
                           }};
    bool ended = false;
    net::co_spawn(
        loop,
        [&]() -> net::awaitable<void> {
            co_await read_head(stream, buffer, parser, terms, result.fault_);
            ended = true;
        },
        net::detached);
    for (auto const& piece : pieces) {
        error_code closed; // the reader may have refused it
        net::write(caller, net::buffer(piece), closed);
        loop.restart();
        loop.poll(); // each piece is read by itself
    }
    caller.shutdown(tcp::socket::shutdown_send);
    loop.restart();
    loop.run();
    REQUIRE(ended);
    result.fields_ = static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
    return result;
}

std::vector<std::string> lines(std::size_t count, std::string const& end = "")
{
    std::vector<std::string> all{"GET / HTTP/1.1\r\n"};
    all.insert(all.end(), count, "A:\r\n");
    all.push_back(end);
    return all;
}

} // namespace

// Guards against heads without end: the parser's limit counts only the line that has not ended (issue 51).
TEST_CASE("a head is read within its bound, however its lines come", "[entry]")
{
    struct row {
        char const* what_;
        std::vector<std::string> pieces_;
        error_code fault_;
    };
    std::string const start = "GET / HTTP/1.1\r\n";
    auto const r = GENERATE_COPY(
        row{"in one piece", {start + "Host: a\r\n\r\n"}, {}}, row{"line by line", lines(100, "\r\n"), {}},
        row{"line by line up to the limit", lines(head_limit / 4 - 6, "\r\n"), {}},
        row{"line by line beyond the limit", lines(head_limit / 4, "\r\n"), http::error::header_limit},
        row{"line by line without end", lines(head_limit / 2), http::error::header_limit},
        row{"a line without end", {start, "A: " + std::string(head_limit, 'x')}, http::error::header_limit},
        row{"one that stops short", {start, "A: b\r\n"}, net::error::eof},
        row{"none", {start.substr(0, 5)}, net::error::eof},
        row{"malformed", {"no head\r\n\r\n"}, http::error::bad_target});
    CAPTURE(r.what_);
    auto const result = read_pieces(r.pieces_);
    CHECK(result.fault_ == r.fault_);
    CHECK(result.fields_ <= head_limit / 4);
    CHECK(result.held_ >= field_bytes * (result.fields_ > 1 ? result.fields_ - 1 : 0));
    CHECK(result.work_ >= work_per_line * (result.fields_ > 1 ? result.fields_ - 1 : 0));
}

// Guards against fields that a parser holds and no account counts (issue 51).
TEST_CASE("a head that finds no room is read no further", "[entry]")
{
    constexpr std::size_t room = 10'000;
    auto const result = read_pieces(lines(head_limit / 4 - 6, "\r\n"), room);
    CHECK(result.fault_ == net::error::no_buffer_space);
    CHECK(result.fields_ * field_bytes <= room + field_bytes);
}
