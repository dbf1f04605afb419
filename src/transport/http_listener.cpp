#include "transport/http_listener.hpp"

#include <auburnchute/error.hpp>

#include <httplib.h>
#include <string>

namespace auburnchute {

namespace {

/// The library's backlog of 5 drops connections during bursts; each drop costs the caller a second.
constexpr int listen_backlog = 1'024;

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

void http_listener::stop()
{
    server_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace auburnchute
