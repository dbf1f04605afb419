#pragma once

#include "peer.pb.h"

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnchute {

/// \brief TLS files for connections between daemons; all empty: plain TCP.
struct peer_security {
    std::string certificate_;
    std::string private_key_;
    std::string authority_;
};

/// \brief What a daemon does with the calls of its peers. The functions may be called from several threads at
/// once.
struct peer_handlers {
    std::function<peer::v1::HeartbeatReply(peer::v1::HeartbeatRequest const&)> heartbeat_;
    std::function<peer::v1::BorrowReply(peer::v1::BorrowRequest const&)> borrow_;
    std::function<void(peer::v1::ReturnRequest const&)> give_back_;
    std::function<void(peer::v1::DemandRequest const&)> demand_;
    std::function<peer::v1::FetchReply(peer::v1::FetchRequest const&)> fetch_;
};

/// \brief The gRPC server for peers.
///
/// Thread safety: `stop` may be called from any thread.
class peer_server {
public:
    /// \brief Binds the address. The process registers as a member only afterwards, so that a newer
    /// incarnation at an address proves that the older process ended. \throws error if the address is in use.
    peer_server(std::string const& address, peer_security const& security, peer_handlers handlers);
    ~peer_server();
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    /// \returns The bound port.
    [[nodiscard]] int port() const noexcept;

    /// \brief Ends all calls and closes the port.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

/// \brief Calls to one peer. Thread safety: all functions may be called from any thread.
class peer_client {
public:
    peer_client(std::string const& address, peer_security const& security);
    ~peer_client();
    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    /// \returns The reply; none if the peer did not answer within `limit`.
    [[nodiscard]] std::optional<peer::v1::HeartbeatReply> heartbeat(peer::v1::HeartbeatRequest const& request,
                                                                    millis limit) const;
    [[nodiscard]] std::optional<peer::v1::BorrowReply> borrow(peer::v1::BorrowRequest const& request,
                                                              millis limit) const;
    bool give_back(peer::v1::ReturnRequest const& request, millis limit) const;
    bool demand(peer::v1::DemandRequest const& request, millis limit) const;
    [[nodiscard]] std::optional<peer::v1::FetchReply> fetch(peer::v1::FetchRequest const& request,
                                                            millis limit) const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

[[nodiscard]] member_id from_message(peer::v1::Member const& message);
void to_message(member_id const& member, peer::v1::Member& message);

} // namespace auburnchute
