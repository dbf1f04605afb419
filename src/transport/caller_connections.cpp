#include "transport/caller_connections.hpp"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace auburnchute {

namespace {

/// Longest wait for the caller to close its side, so that the last answer is not reset.
constexpr std::chrono::milliseconds linger_limit{500};

/// Longest wait for the first bytes on a connection that was accepted while the others end.
constexpr std::chrono::milliseconds last_idle_limit{100};

/// A connection that has not been without a whole request for longer is not ended for others: an ordinary
/// request comes within it.
constexpr std::chrono::seconds spared_time{1};

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

std::size_t caller_connections::count() const
{
    std::lock_guard const lock{mutex_};
    return sockets_.size();
}

void caller_connections::end_idle()
{
    ending_.store(true);
    std::lock_guard const lock{mutex_};
    for (auto const& [socket, open] : sockets_) {
        if (!open.busy_) {
            ::shutdown(socket, SHUT_RD);
        }
    }
}

void caller_connections::cut()
{
    std::lock_guard const lock{mutex_};
    for (auto const& [socket, open] : sockets_) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

void caller_connections::begin_answer(socket_t socket)
{
    std::lock_guard const lock{mutex_};
    sockets_[socket].answers_ = true;
}

void caller_connections::end_slowest()
{
    std::lock_guard const lock{mutex_};
    auto const time = std::chrono::steady_clock::now();
    auto slowest = sockets_.end();
    for (auto it = sockets_.begin(); it != sockets_.end(); ++it) {
        auto const& open = it->second;
        bool const may_end = !open.answers_ && !open.ended_ && time - open.since_ >= spared_time;
        if (may_end && (slowest == sockets_.end() || open.since_ < slowest->second.since_)) {
            slowest = it;
        }
    }
    if (slowest != sockets_.end()) {
        slowest->second.ended_ = true;
        ::shutdown(slowest->first, SHUT_RD);
    }
}

void caller_connections::close_after_answer() noexcept
{
    ends_after_answer = true;
}

bool caller_connections::run_busy(socket_t socket, std::function<bool()> const& step)
{
    {
        std::lock_guard const lock{mutex_};
        sockets_[socket].busy_ = true;
    }
    busy_.fetch_add(1);
    bool const sound = step();
    busy_.fetch_sub(1);
    std::lock_guard const lock{mutex_};
    auto& open = sockets_[socket];
    open.busy_ = false;
    if (std::exchange(open.answers_, false)) {
        open.since_ = std::chrono::steady_clock::now();
    }
    return sound;
}

bool caller_connections::wait_bytes(socket_t socket, caller_channel const& channel,
                                    std::chrono::milliseconds idle) const
{
    if (channel.has_bytes_()) {
        return true;
    }
    if (!wait_readable(socket, ending_.load() ? last_idle_limit : idle)) {
        return false;
    }
    // A read of the end would break TLS, so that the caller could not be told of it.
    char next = 0;
    return ::recv(socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) != 0;
}

bool caller_connections::serve_requests(socket_t socket, caller_channel const& channel,
                                        connection_limits const& limits, answer_function const& answer)
{
    if (!wait_bytes(socket, channel, limits.idle_)) {
        return true;
    }
    if (!run_busy(socket, channel.open_)) {
        return false;
    }
    for (auto left = limits.requests_; left > 0; --left) {
        if (!wait_bytes(socket, channel, limits.idle_)) {
            return true;
        }
        ends_after_answer = false;
        bool ended = false;
        bool const sound = run_busy(socket, [&] {
            return channel.run_([&](httplib::Stream& stream) { return answer(stream, left == 1, ended); });
        });
        if (!sound || ended || ends_after_answer) {
            return false;
        }
    }
    return true;
}

bool caller_connections::serve(socket_t socket, caller_channel const& channel,
                               connection_limits const& limits, answer_function const& answer)
{
    {
        std::lock_guard const lock{mutex_};
        sockets_.emplace(socket, connection{});
    }
    bool const sound = serve_requests(socket, channel, limits, answer);
    channel.close_();
    linger(socket);
    std::lock_guard const lock{mutex_};
    sockets_.erase(socket);
    ::close(socket);
    return sound;
}

} // namespace auburnchute
