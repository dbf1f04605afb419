#include "transport/http_listener.hpp"

#include "protocol/logging.hpp"

#include <auburnchute/error.hpp>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <httplib.h>
#include <linux/filter.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>

namespace auburnchute {

namespace {

/// The library's backlog of 5 drops connections during bursts; each drop costs the caller a second.
constexpr int listen_backlog = 1'024;

/// Time for the last message of handshakes that have begun.
constexpr millis handshake_time{20};

constexpr int look_pause_ms = 1;

/// Drops the first message of each handshake. \returns False if the kernel refused this.
bool drop_handshakes(int socket)
{
    constexpr std::uint32_t flags_at = 13; // offset in the TCP header
    constexpr std::uint32_t first_flag = 0x02;
    constexpr std::uint32_t whole_packet = 0xffff'ffff;
    std::array<sock_filter, 4> steps{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_at),
                                      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, first_flag, 0, 1),
                                      BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, whole_packet)}};
    sock_fprog const program{static_cast<unsigned short>(steps.size()), steps.data()};
    return ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

} // namespace

http_listener::http_listener(httplib::Server& server) : server_{server}, socket_{std::make_shared<int>(-1)}
{
    // The library shares ports by default; a second daemon on the address must fail to start.
    server_.set_socket_options([bound = socket_](socket_t socket) {
        int const yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        *bound = socket;
    });
}

http_listener::~http_listener()
{
    stop();
}

int http_listener::start(listen_address const& address, std::string_view who)
{
    int port = address.port_;
    if (port == 0) {
        port = server_.bind_to_any_port(address.ip_);
    } else if (!server_.bind_to_port(address.ip_, port)) {
        port = -1;
    }
    if (port <= 0) {
        throw error{"listen", to_string(address), "the address for " + std::string{who} + " cannot be bound"};
    }
    ::listen(*socket_, listen_backlog);
    thread_ = std::jthread{[this] { server_.listen_after_bind(); }};
    return port;
}

void http_listener::take_last(millis limit)
{
    if (!drop_handshakes(*socket_)) {
        log_fault("stop", {}, std::string{"new connections cannot be held off: "} + std::strerror(errno));
    }
    auto const begun = std::chrono::steady_clock::now();
    auto const is_over = [begun](millis time) {
        return std::chrono::steady_clock::now() - begun >= std::chrono::milliseconds{time.count_};
    };
    pollfd waiting{*socket_, POLLIN, 0};
    while (!is_over(limit) && (!is_over(handshake_time) || ::poll(&waiting, 1, 0) > 0)) {
        ::poll(nullptr, 0, look_pause_ms);
    }
}

void http_listener::stop()
{
    server_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace auburnchute
