#pragma once

#include "transport/caller_connections.hpp"
#include "transport/caller_request.hpp"

#include <httplib.h>
#include <string>

namespace auburnchute {

/// \brief An HTTP server for callers.
class caller_server : public httplib::Server {
public:
    /// \pre `bounds` outlives this object.
    explicit caller_server(caller_bounds const& bounds) : bounds_{bounds} {}

    [[nodiscard]] caller_connections& connections() noexcept { return connections_; }

private:
    bool process_and_close_socket(socket_t socket) override;

    caller_bounds const& bounds_;
    caller_connections connections_;
};

/// \brief An HTTPS server for callers.
class tls_caller_server : public httplib::SSLServer {
public:
    /// \param certificate, private_key PEM files. `is_valid` tells whether they can be used.
    /// \pre `bounds` outlives this object.
    tls_caller_server(std::string const& certificate, std::string const& private_key,
                      caller_bounds const& bounds)
        : httplib::SSLServer{certificate.c_str(), private_key.c_str()}, bounds_{bounds}
    {
    }

    [[nodiscard]] caller_connections& connections() noexcept { return connections_; }

private:
    bool process_and_close_socket(socket_t socket) override;

    caller_bounds const& bounds_;
    caller_connections connections_;
};

} // namespace auburnchute
