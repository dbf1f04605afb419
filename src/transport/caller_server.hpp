#pragma once

#include <auburnchute/clock.hpp>

#include <atomic>
#include <cstddef>
#include <httplib.h>
#include <map>
#include <mutex>

namespace auburnchute {

/// \brief An HTTP server whose connections end without losing an answer.
///
/// The library's own loop closes a connection with unread bytes, which resets answers that are on their way,
/// drops connections that were accepted when it stops, and cannot close after an answer.
/// Thread safety: all functions may be called from any thread, except `close_after_answer`.
class caller_server : public httplib::Server {
public:
    /// \returns Open connections.
    [[nodiscard]] std::size_t connections() const;

    /// \returns Connections with a request that is being read or answered.
    [[nodiscard]] int busy() const noexcept { return busy_.load(); }

    /// \brief Ends connections without a request; one that has arrived is answered still.
    void end_idle();

    /// \brief Ends all connections.
    void cut();

    /// \brief Closes the connection of the calling handler after its answer.
    static void close_after_answer() noexcept;

private:
    bool process_and_close_socket(socket_t socket) override;
    bool serve(socket_t socket);
    bool answer_one(socket_t socket, bool last);

    mutable std::mutex mutex_;
    std::map<socket_t, bool> sockets_; ///< With whether a request is being read or answered.
    std::atomic<int> busy_{};
    std::atomic<bool> ending_{};
};

} // namespace auburnchute
