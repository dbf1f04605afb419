#include "transport/entry/plain_server.hpp"

#include "transport/entry/listen.hpp"

#include <auburnchute/answer_ledger.hpp>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace auburnchute {

namespace http = boost::beast::http;

namespace {

/// Idle time after which a connection to an own page is closed.
constexpr millis page_idle{20'000};

net::awaitable<void> serve_connection(tcp::socket socket, page_handler handler)
{
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    error_code fault;
    while (!fault) {
        plain_request request;
        stream.expires_after(to_chrono(page_idle));
        co_await http::async_read(stream, buffer, request, outcome_in(fault));
        if (fault) {
            break;
        }
        auto answer = handler(request);
        answer.version(11);
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(stream, answer, outcome_in(fault));
        if (!request.keep_alive()) {
            break;
        }
    }
    error_code ignored; // the peer may have closed first
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace

void serve_pages(net::io_context& loop, std::string const& address, page_handler handler)
{
    accept_connections(loop, address, [&loop, handler = std::move(handler)](tcp::socket socket) {
        net::co_spawn(loop, serve_connection(std::move(socket), handler), report_failure);
    });
}

} // namespace auburnchute
