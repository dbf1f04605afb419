#include "transport/caller_server.hpp"

#include <array>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnchute {

namespace {

/// Longest wait for the caller to close its side, so that the last answer is not reset.
constexpr std::chrono::milliseconds linger_limit{500};

/// Longest wait for the first bytes on a connection that was accepted while the others end.
constexpr std::chrono::milliseconds last_idle_limit{100};

thread_local bool ends_after_answer = false;

/// \returns True if the socket has bytes, or has ended.
bool wait_readable(socket_t socket, std::chrono::milliseconds limit)
{
    pollfd readable{socket, POLLIN, 0};
    return ::poll(&readable, 1, static_cast<int>(limit.count())) > 0;
}

/// Reads and drops what the caller still sends, until it closes its side.
void linger(socket_t socket)
{
    ::shutdown(socket, SHUT_WR);
    auto const end = std::chrono::steady_clock::now() + linger_limit;
    std::array<char, 4'096> dropped{};
    for (;;) {
        auto const left =
            std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !wait_readable(socket, left) ||
            ::recv(socket, dropped.data(), dropped.size(), 0) <= 0) {
            return;
        }
    }
}

} // namespace

std::size_t caller_server::connections() const
{
    std::lock_guard const lock{mutex_};
    return sockets_.size();
}

void caller_server::end_idle()
{
    ending_.store(true);
    std::lock_guard const lock{mutex_};
    for (auto const& [socket, busy] : sockets_) {
        if (!busy) {
            ::shutdown(socket, SHUT_RD);
        }
    }
}

void caller_server::cut()
{
    std::lock_guard const lock{mutex_};
    for (auto const& [socket, busy] : sockets_) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

void caller_server::close_after_answer() noexcept
{
    ends_after_answer = true;
}

bool caller_server::answer_one(socket_t socket, bool last)
{
    {
        std::lock_guard const lock{mutex_};
        sockets_[socket] = true;
    }
    busy_.fetch_add(1);
    ends_after_answer = false;
    bool ended = false;
    bool const sound = httplib::detail::process_client_socket(
        socket, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_, write_timeout_usec_,
        [&](httplib::Stream& stream) { return process_request(stream, last, ended, nullptr); });
    busy_.fetch_sub(1);
    std::lock_guard const lock{mutex_};
    sockets_[socket] = false;
    return sound && !ended && !ends_after_answer;
}

bool caller_server::serve(socket_t socket)
{
    for (auto left = keep_alive_max_count_; left > 0; --left) {
        auto const idle =
            ending_.load() ? last_idle_limit : std::chrono::milliseconds{keep_alive_timeout_sec_ * 1'000};
        if (!wait_readable(socket, idle)) {
            return true;
        }
        if (!answer_one(socket, left == 1)) {
            return false;
        }
    }
    return true;
}

bool caller_server::process_and_close_socket(socket_t socket)
{
    {
        std::lock_guard const lock{mutex_};
        sockets_.emplace(socket, false);
    }
    bool const sound = serve(socket);
    linger(socket);
    std::lock_guard const lock{mutex_};
    sockets_.erase(socket);
    ::close(socket);
    return sound;
}

} // namespace auburnchute
