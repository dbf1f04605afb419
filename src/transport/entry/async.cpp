#include "transport/entry/async.hpp"

#include "protocol/decision_log.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace auburnchute {

namespace {

/// Keep-alive probes: lost probes before the connection ends.
constexpr int lost_probes = 3;

void set_option(tcp::socket& socket, int level, int name, int value)
{
    // A kernel that refuses an option leaves the connection usable; request timeouts still end it.
    (void)setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

std::string describe(std::exception_ptr const& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (std::exception const& problem) {
        return problem.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

net::awaitable<void> keep_running(std::string name, std::function<net::awaitable<void>()> make_task)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await make_task();
            co_return;
        } catch (...) {
            failure = std::current_exception();
        }
        log_failure("task-restarted", {{"task", name}, {"fault", describe(failure)}});
        co_await pause_for(restart_pause);
    }
}

} // namespace

void set_liveness(tcp::socket& socket, millis silence)
{
    error_code ignored; // a socket that just failed is noticed by its next use
    socket.set_option(tcp::no_delay{true}, ignored);
    socket.set_option(net::socket_base::keep_alive{true}, ignored);
    auto const seconds = static_cast<int>(std::max<std::int64_t>(1, silence.count_ / 1'000 / lost_probes));
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, lost_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silence.count_));
}

bool is_connected(tcp::socket& socket) noexcept
{
    char next{};
    auto const size = recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void report_failure(std::exception_ptr const& failure)
{
    if (failure) {
        log_failure("task-failed", {{"fault", describe(failure)}});
    }
}

void run_forever(net::io_context& loop, std::string name, std::function<net::awaitable<void>()> make_task)
{
    net::co_spawn(loop, keep_running(std::move(name), std::move(make_task)), report_failure);
}

tcp::endpoint parse_endpoint(std::string_view address)
{
    auto const colon = address.rfind(':');
    error_code fault;
    auto const ip = net::ip::make_address(std::string{address.substr(0, colon)}, fault);
    unsigned short port = 0;
    bool const whole =
        address.find('\0') == std::string_view::npos; // text after a NUL would not be looked at
    if (colon != std::string_view::npos && !fault && whole) {
        auto const text = address.substr(colon + 1);
        auto const [end, problem] = std::from_chars(text.data(), text.data() + text.size(), port);
        if (problem == std::errc{} && end == text.data() + text.size() && port != 0) {
            return {ip, port};
        }
    }
    throw error{"connect", address, "expected IP:PORT"};
}

} // namespace auburnchute
