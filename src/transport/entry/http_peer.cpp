#include "transport/entry/http_peer.hpp"

#include <auburnchute/entry_feed.hpp>
#include <auburnchute/error.hpp>

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace auburnchute {

namespace http = boost::beast::http;

namespace {

/// Silence after which a connection counts as lost.
constexpr millis connection_silence{2'000};

} // namespace

net::awaitable<plain_response> http_peer::exchange(plain_request const& request, call_terms const& terms,
                                                   millis limit, error_code& fault)
{
    if (!stream_) {
        stream_ = std::make_unique<boost::beast::tcp_stream>(*loop_);
        buffer_.clear();
        stream_->expires_after(to_chrono(limit));
        co_await stream_->async_connect(parse_endpoint(address_), outcome_in(fault));
        if (fault) {
            co_return plain_response{};
        }
        set_liveness(stream_->socket(), connection_silence);
    }
    stream_->expires_after(to_chrono(limit));
    co_await http::async_write(*stream_, request, outcome_in(fault));
    if (fault) {
        co_return plain_response{};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(terms.largest_answer_);
    co_await http::async_read(*stream_, buffer_, parser, outcome_in(fault));
    if (fault) {
        co_return plain_response{};
    }
    bool const keep = parser.keep_alive() && buffer_.size() == 0;
    auto answer = parser.release();
    if (!keep) {
        stream_.reset();
    }
    co_return answer;
}

net::awaitable<plain_response> http_peer::call(plain_request request, call_terms terms)
{
    request.version(11);
    request.set(http::field::host, address_);
    request.prepare_payload();
    bool const may_repeat = stream_ != nullptr && terms.repeatable_;
    auto const first_limit =
        may_repeat ? std::min(terms.limit_, terms.wait_ + kept_connection_limit) : terms.limit_;
    error_code fault;
    auto answer = co_await exchange(request, terms, first_limit, fault);
    if (fault && may_repeat) {
        stream_.reset();
        fault = {};
        answer = co_await exchange(request, terms, terms.limit_, fault);
    }
    if (fault) {
        if (stream_) {
            // Resets the connection: a request that is still on its way must not arrive after it was given
            // up.
            error_code ignored; // the socket may be closed already
            stream_->socket().set_option(net::socket_base::linger{true, 0}, ignored);
        }
        stream_.reset();
        throw error{"call", address_, fault.message()};
    }
    co_return answer;
}

} // namespace auburnchute
