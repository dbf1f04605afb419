#pragma once

#include "protocol/settings.hpp"

#include <auburnchute/clock.hpp>

#include <memory>
#include <string_view>
#include <thread>

namespace httplib {
class Server;
}

namespace auburnchute {

/// \brief Binds an HTTP server and runs it on a thread of its own until it is stopped or destroyed.
///
/// Thread safety: `take_last` and `stop` may be called from any thread.
class http_listener {
public:
    /// \brief Prepares the server's sockets. \pre `server` outlives this object.
    explicit http_listener(httplib::Server& server);
    ~http_listener();
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;

    /// \brief Binds the address and begins to accept. \param who For whom the address is, as shown in the
    /// error. \returns The bound port. \throws error if the address cannot be bound.
    int start(listen_address const& address, std::string_view who);

    /// \brief Lets no further connection begin, and takes those that have begun, as the kernel would reset
    /// them when the port is closed. \param limit Longest time for this. \pre `start` was called.
    void take_last(millis limit);

    /// \brief Closes the port and waits until the open connections have ended.
    void stop();

private:
    httplib::Server& server_;
    std::shared_ptr<int> socket_; ///< The listening socket, once it is bound.
    std::jthread thread_;
};

} // namespace auburnchute
