#include "transport/entry/request_input.hpp"

#include "transport/entry/body_room.hpp"
#include "transport/entry/work_turns.hpp"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <string_view>

namespace auburnchute {

namespace http = boost::beast::http;

namespace {

/// A buffer with less room grows first.
constexpr std::size_t smallest_read = 512;

/// Size of a buffer that was empty, in bytes.
constexpr std::size_t smallest_buffer = 4'096;

std::size_t next_read(boost::beast::flat_buffer const& buffer) noexcept
{
    auto const room = buffer.capacity() - buffer.size();
    return std::min({room >= smallest_read ? room : std::max(buffer.size(), smallest_buffer),
                     buffer.max_size() - buffer.size(), read_bytes});
}

std::string_view bytes_of(boost::beast::flat_buffer const& buffer) noexcept
{
    return {static_cast<char const*>(buffer.data().data()), buffer.size()};
}

std::size_t lines_in(std::string_view bytes) noexcept
{
    return static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

} // namespace

std::size_t memory_of(http::fields const& fields)
{
    std::size_t bytes = 0;
    for (auto const& field : fields) {
        bytes += field_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

std::size_t capacity_after_read(boost::beast::flat_buffer const& buffer) noexcept
{
    auto const needed = buffer.size() + next_read(buffer);
    return needed <= buffer.capacity() ? buffer.capacity()
                                       : std::min(std::max(2 * buffer.size(), needed), buffer.max_size());
}

net::awaitable<void> read_more(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                               error_code& fault)
{
    auto const size = next_read(buffer);
    if (size == 0) {
        fault = http::error::buffer_overflow;
        co_return;
    }
    auto const got = co_await stream.async_read_some(buffer.prepare(size), outcome_in(fault));
    buffer.commit(got);
}

net::awaitable<void> read_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                               http::basic_parser<true>& parser, head_terms const& terms, error_code& fault)
{
    parser.header_limit(terms.limit_);
    std::size_t taken = 0;
    std::size_t lines = lines_in(bytes_of(buffer));
    while (true) {
        if (buffer.size() > 0) {
            if (terms.work_) {
                co_await terms.work_(buffer.size() + lines_in(bytes_of(buffer)) * work_per_line);
            }
            auto const size = parser.put(buffer.data(), fault);
            buffer.consume(size);
            taken += size;
            bool const over = taken + (parser.is_header_done() ? 0 : buffer.size() + 1) > terms.limit_;
            if (over && (!fault || fault == http::error::need_more)) {
                fault = http::error::header_limit;
            }
            if (parser.is_header_done() || fault != http::error::need_more) {
                co_return;
            }
            fault = {};
        }
        // The fields that are whole lie in the parser.
        if (!terms.hold_(taken + lines * field_bytes)) {
            fault = net::error::no_buffer_space;
            co_return;
        }
        auto const before = buffer.size();
        co_await read_more(stream, buffer, fault);
        if (fault) {
            co_return;
        }
        lines += lines_in(bytes_of(buffer).substr(before));
    }
}

} // namespace auburnchute
