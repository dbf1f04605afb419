#pragma once

#include "transport/entry/async.hpp"

#include <auburnchute/answer_ledger.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace auburnchute {

using plain_request = boost::beast::http::request<boost::beast::http::string_body>;
using plain_response = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief Largest answer to a call: a page of the store's newest records holds up to 1 MB and Base64 adds a
/// third.
inline constexpr std::uint64_t max_call_answer_bytes = std::uint64_t{16} * 1024 * 1024;

/// \brief How long a call may take, whether it may be sent again, and how large its answer may be.
struct call_terms {
    millis limit_{};
    bool repeatable_{};
    millis wait_{}; ///< Part of the limit for which the service was asked to wait.
    std::uint64_t largest_answer_{max_call_answer_bytes}; ///< Bytes of the answer's body.
};

/// \brief One kept connection to a service, for calls one after the other.
///
/// Thread safety: calls come from the loop's thread; one call at a time.
class http_peer {
public:
    http_peer(net::io_context& loop, std::string address) : loop_{&loop}, address_{std::move(address)} {}

    /// \brief Sends a request and reads the whole answer. A kept connection that ended meanwhile, or on which
    /// nothing comes any more, is replaced once if the call may be repeated.
    /// \throws error with step `call` and the address if no answer comes within the limit, or within twice of
    /// it if the call was repeated, or if the answer is larger than its bounds.
    net::awaitable<plain_response> call(plain_request request, call_terms terms);

    [[nodiscard]] std::string const& address() const noexcept { return address_; }

private:
    net::awaitable<plain_response> exchange(plain_request const& request, call_terms const& terms,
                                            millis limit, error_code& fault);

    net::io_context* loop_;
    std::string address_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
};

} // namespace auburnchute
