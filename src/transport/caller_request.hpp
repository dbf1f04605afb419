#pragma once

#include "protocol/problem.hpp"

#include <auburnchute/clock.hpp>
#include <auburnchute/memory_budget.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Largest fields of a request, in bytes; each counts with what separates it from the next.
inline constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;
inline constexpr std::size_t field_separator_bytes = 4;

/// \brief What a request of a caller takes, from its first byte until its answer has gone. The answer may be
/// given up for others while it is made or taken slowly; the request only while it is read.
///
/// Thread safety: one thread, besides what the budget calls.
class request_account {
public:
    /// \param socket The caller's; ends what is given up. \pre `budget` outlives this object.
    request_account(memory_budget& budget, auburnchute::clock const& clk, socket_t socket);
    ~request_account();
    request_account(request_account const&) = delete;
    request_account& operator=(request_account const&) = delete;

    /// \brief Books what the request takes while it is read, and after `read_whole` what it takes until it
    /// has been served. \returns False if there is no room, or if it was given up.
    [[nodiscard]] bool hold_request(std::size_t bytes);
    /// \brief The request's head is known to be allowed, so requests that aren't give way to it.
    void note_allowed();
    [[nodiscard]] bool read_whole();

    /// \brief Books what the answer takes. \returns As `hold_request`.
    [[nodiscard]] bool hold_answer(std::size_t bytes);

    /// \brief Sets what ends the making of the answer; empty: giving it up ends the caller's connection.
    void on_give_up(std::function<void()> interrupt);

    /// \returns The account of the request that the calling thread serves, or null.
    [[nodiscard]] static request_account* current() noexcept;

    httplib::Headers withheld_; ///< Fields that the library does not see, as it would act on them.
    std::size_t head_bytes_{};  ///< What the head takes until the request is served; booked beside the rest.

private:
    void give_up_answer();

    auburnchute::clock const& clock_;
    socket_t socket_;
    std::mutex mutex_; ///< Guards `interrupt_`.
    std::function<void()> interrupt_;
    memory_budget::holding request_;
    memory_budget::holding answer_;
};

/// \brief Bounds of what callers send, and who refuses them.
struct caller_bounds {
    memory_budget& memory_;
    auburnchute::clock const& clock_;
    std::size_t body_bytes_{}; ///< Of one request.
    /// Judges a request with a body by its head, before the body is read. \returns The refusal, or none.
    std::function<std::optional<problem>(httplib::Request const& head)> judge_;
    std::function<void(problem const&)> refused_; ///< Told of each refusal by size or for lack of memory.
};

/// \brief What came of a request.
enum class request_fault : std::uint8_t {
    none,
    ended,   ///< The connection ended, fell silent, or was given up.
    refused, ///< Answered; the connection has to end.
};

/// \brief Reads requests from one connection, each with bounds, and hands them to the library, which reads
/// heads and the lines of chunks without a bound, unpacks bodies, and cuts answers by the caller's ranges.
///
/// Thread safety: one thread.
class caller_requests {
public:
    explicit caller_requests(caller_bounds const& bounds);

    /// \brief Reads one request. \returns How it went; a refusal has been sent.
    [[nodiscard]] request_fault read(httplib::Stream& from, request_account& account);

    /// \returns The request that was read, as a stream whose answer goes to `to`. It is freed as it is read.
    [[nodiscard]] std::unique_ptr<httplib::Stream> whole(httplib::Stream& to);

    /// \returns Whether bytes of the next request have come.
    [[nodiscard]] bool has_bytes() const { return buffer_.size() > 0; }

private:
    using body_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    request_fault refuse(httplib::Stream& to, problem shown);
    /// Reads a head within its bound. \returns The stream's or the parser's fault, or `no_buffer_space`.
    boost::system::error_code read_head(httplib::Stream& from, request_account& account, body_parser& parser);
    /// Hands the head over to the library and to the account. \returns The refusal by its head, or none.
    std::optional<problem> take_head(boost::beast::http::request_header<>& head, request_account& account,
                                     bool is_small, bool& expects);
    /// Parses what has come of a body until its room is full, or reads more of it. \param starved Nothing
    /// more can be parsed of what was read. \returns As `read_head`.
    boost::system::error_code read_part(httplib::Stream& from, request_account& account, body_parser& parser,
                                        bool& starved);

    caller_bounds const& bounds_;
    boost::beast::flat_buffer buffer_;
    std::string head_;
    std::string body_;
};

} // namespace auburnchute
