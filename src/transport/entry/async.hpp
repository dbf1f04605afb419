#pragma once

#include <utility> // Boost.Asio 1.74 uses std::exchange without including it

#include <auburnchute/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace auburnchute {

namespace net = boost::asio;
using error_code = boost::system::error_code;
using tcp = net::ip::tcp;

/// \brief An awaitable operation that reports its outcome in `code` in place of throwing.
inline auto outcome_in(error_code& code)
{
    return net::redirect_error(net::use_awaitable, code);
}

/// \brief The duration as Asio's timers take it.
inline std::chrono::milliseconds to_chrono(millis time)
{
    return std::chrono::milliseconds{time.count_};
}

/// \brief Waits for a time. Thread safety: called on the executor's thread.
inline net::awaitable<void> pause_for(millis time)
{
    net::steady_timer timer{co_await net::this_coro::executor, to_chrono(time)};
    error_code ignored; // only a stop of the loop ends the wait early
    co_await timer.async_wait(outcome_in(ignored));
}

/// \brief Lets one coroutine wait until another one on the same loop calls `notify`, or until a time.
/// Thread safety: all calls come from the loop's thread.
class wake_event {
public:
    explicit wake_event(net::io_context& loop) : timer_{loop} {}

    /// \brief Wakes the waiter, or the next one if none waits yet.
    void notify()
    {
        notified_ = true;
        timer_.cancel();
    }

    /// \brief Waits for `notify`, for at most `limit`. \pre No other coroutine waits.
    net::awaitable<void> wait_for(millis limit)
    {
        if (!notified_ && limit > millis{0}) {
            timer_.expires_after(to_chrono(limit));
            error_code ignored; // notified or expired: the caller looks at its own condition
            co_await timer_.async_wait(outcome_in(ignored));
        }
        notified_ = false;
    }

private:
    net::steady_timer timer_;
    bool notified_{};
};

/// \brief Ends a connection whose peer has become unreachable, and probes idle ones.
void set_liveness(tcp::socket& socket, millis silence);

/// \returns Whether the peer has neither closed nor reset the connection, as far as its bytes have come.
/// Thread safety: the loop's thread. \pre The socket does not block.
[[nodiscard]] bool is_connected(tcp::socket& socket) noexcept;

/// \brief Completion handler of a coroutine that nobody waits for: logs the exception that ended it, if any.
void report_failure(std::exception_ptr const& failure);

/// \brief Runs a task for as long as the loop runs: if an exception ends it, the task is made anew after
/// `restart_pause`, with a line in the log. A task that returns has ended for good.
/// \param name Names the task in the log.
/// Thread safety: called before the loop runs or on its thread. \pre What `make_task` refers to outlives the
/// loop's work.
void run_forever(net::io_context& loop, std::string name, std::function<net::awaitable<void>()> make_task);

/// \brief Pause before a task that an exception ended is made anew.
inline constexpr millis restart_pause{100};

/// \brief Reads `IP:PORT`. \throws error with step `connect` for another form or port 0. Thread safety: pure.
[[nodiscard]] tcp::endpoint parse_endpoint(std::string_view address);

} // namespace auburnchute
