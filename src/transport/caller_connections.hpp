#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <httplib.h>
#include <map>
#include <mutex>

namespace auburnchute {

/// \brief How bytes pass on one connection: as they are, or through TLS. All functions run on the
/// connection's thread.
struct caller_channel {
    using exchange = std::function<bool(httplib::Stream&)>;

    std::function<bool()> open_;      ///< Runs the handshake, if there is one. False: it failed.
    std::function<bool()> has_bytes_; ///< Whether bytes were taken from the socket that nobody has read yet.
    std::function<bool(exchange const&)> run_; ///< Hands out the stream for one request and its answer.
    std::function<void()> close_;              ///< Tells the caller that nothing more follows.
};

/// \brief Limits of one connection.
struct connection_limits {
    std::size_t requests_{};           ///< Requests on it.
    std::chrono::milliseconds idle_{}; ///< Longest wait for the next one.
};

/// \brief A server's connections to callers, which end without losing an answer.
///
/// The library's own loop closes a connection with unread bytes, which resets answers that are on their way,
/// drops connections that were accepted when it stops, and cannot close after an answer.
/// Thread safety: all functions may be called from any thread, except `close_after_answer`.
class caller_connections {
public:
    /// Reads and answers one request. \param last Whether the connection ends after it. \param ended Set if
    /// the connection has to end. \returns False if it broke.
    using answer_function = std::function<bool(httplib::Stream&, bool last, bool& ended)>;

    /// \brief Serves a connection until it ends, and closes its socket. \returns False if it broke.
    bool serve(socket_t socket, caller_channel const& channel, connection_limits const& limits,
               answer_function const& answer);

    /// \returns Open connections.
    [[nodiscard]] std::size_t count() const;

    /// \returns Connections with a request that is being read or answered, or with a handshake.
    [[nodiscard]] int busy() const noexcept { return busy_.load(); }

    /// \brief Ends connections without a request; one that has arrived is answered still.
    void end_idle();

    /// \brief Ends all connections.
    void cut();

    /// \brief The request on the connection is whole. \pre Called within the answer function.
    void begin_answer(socket_t socket);

    /// \brief Ends the connection that has been without a whole request for longest, to make room for others.
    void end_slowest();

    /// \brief Closes the connection of the calling handler after its answer.
    static void close_after_answer() noexcept;

private:
    bool serve_requests(socket_t socket, caller_channel const& channel, connection_limits const& limits,
                        answer_function const& answer);
    /// \returns False if the connection was idle for too long, or has ended.
    bool wait_bytes(socket_t socket, caller_channel const& channel, std::chrono::milliseconds idle) const;

    /// Runs a step during which the connection is not idle.
    bool run_busy(socket_t socket, std::function<bool()> const& step);

    struct connection {
        bool busy_{};
        bool answers_{}; ///< A whole request has come and its answer has not gone.
        bool ended_{};   ///< By `end_slowest`.
        std::chrono::steady_clock::time_point since_{
            std::chrono::steady_clock::now()}; ///< Without a request.
    };

    mutable std::mutex mutex_;
    std::map<socket_t, connection> sockets_;
    std::atomic<int> busy_{};
    std::atomic<bool> ending_{};
};

} // namespace auburnchute
