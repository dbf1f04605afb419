#pragma once

#include "transport/entry/async.hpp"

#include <auburnchute/memory_budget.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace auburnchute {

/// \brief What limits the reading of a request's head.
struct head_terms {
    std::uint32_t limit_{}; ///< Bytes of the head.
    /// Books what the head takes until it is whole, beside the buffer, in bytes. \returns Whether there is
    /// room.
    std::function<bool(std::size_t bytes)> hold_;
    /// Waits until work may be done; see `work_per_turn`.
    std::function<net::awaitable<void>(std::size_t work)> work_;
};

/// \returns What the fields take in a parser, in bytes. Thread safety: pure.
[[nodiscard]] std::size_t memory_of(boost::beast::http::fields const& fields);

/// \returns What a buffer will take once `read_more` has ended, in bytes. Thread safety: pure.
[[nodiscard]] std::size_t capacity_after_read(boost::beast::flat_buffer const& buffer) noexcept;

/// \brief Reads once what has come, as much as the buffer holds; a full one grows, up to its bound.
/// \param fault Set to `buffer_overflow` at the bound.
net::awaitable<void> read_more(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                               error_code& fault);

/// \brief Reads a head. The parser alone has no bound, as it counts only what it has not taken yet.
/// \param fault Set to `header_limit` beyond the limit, to `no_buffer_space` if there is no room, else as
/// the stream or the parser has it.
net::awaitable<void> read_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                               boost::beast::http::basic_parser<true>& parser, head_terms const& terms,
                               error_code& fault);

} // namespace auburnchute
