#pragma once

#include <auburnchute/answer_ledger.hpp>
#include <auburnchute/clock.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Time limits of a call, each from the start of its phase, and the largest answer that is taken.
struct call_limits {
    millis connect_{1'000};
    millis read_{5'000}; ///< Longest wait for further bytes.
    millis write_{5'000};
    std::size_t answer_bytes_{max_answer_bytes}; ///< Of the body, unless a receiver takes it.
};

/// \brief How a call ended.
enum class call_fault : std::uint8_t {
    none,
    not_connected, ///< Nothing was sent.
    broken,        ///< The connection ended, fell silent, or was given up.
    wrong_answer,  ///< What came is no answer, or is larger than its bounds.
};

/// \brief The answer to a call. Header names compare without regard to case.
struct call_answer {
    call_fault fault_{call_fault::broken};
    int status_{}; ///< 0: no head came.
    httplib::Headers headers_;
    std::string body_;

    /// \returns Whether a whole answer came.
    [[nodiscard]] explicit operator bool() const noexcept { return fault_ == call_fault::none; }
    /// \returns The first value of a header, or empty.
    [[nodiscard]] std::string header(std::string const& name) const;
};

/// \brief A request of a call. The client adds the host, the length, and that the connection ends after it.
struct call_request {
    std::string method_{"GET"};
    std::string target_;
    httplib::Headers headers_{};
    std::string_view body_{};
};

/// \brief What is told while the answer comes; a false result ends the call as `broken`.
struct call_receiver {
    std::function<bool(call_answer const& head)> head_{};
    std::function<bool(std::string_view bytes)> body_{}; ///< Empty: the body is kept in the answer.
    std::function<void(std::size_t bytes)> held_{};      ///< What the kept part of the body takes.
};

/// \brief Makes one call over HTTP/1.1, with bounds on all that the other side sends.
///
/// Thread safety: `call` runs once, on one thread; `stop` may be called from any.
class http_client {
public:
    /// \param address `IP:PORT`. \throws error if it is malformed.
    http_client(std::string_view address, call_limits const& limits);
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// \brief Sends the request and reads the answer. Faults are returned, not thrown.
    [[nodiscard]] call_answer call(call_request const& request, call_receiver const& receiver = {});

    /// \brief Ends the call, now or as soon as it begins.
    void stop();

private:
    bool connect();
    /// \param sent Whether the whole request was sent.
    [[nodiscard]] call_answer read_answer(bool head_only, bool sent, call_receiver const& receiver);

    boost::asio::io_context loop_{1};
    boost::asio::ip::tcp::socket socket_{loop_};
    boost::asio::ip::tcp::endpoint peer_;
    std::string address_;
    call_limits limits_;
    std::mutex mutex_; ///< Guards the descriptor's life and `stopped_`.
    bool stopped_{};
};

} // namespace auburnchute
