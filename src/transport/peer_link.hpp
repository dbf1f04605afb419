#pragma once

#include "transport/fleet_control.hpp"

#include <auburnchute/clock.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace auburnchute {

/// \brief The connection to one peer and what it last said. The client is thread-safe; the rest is guarded by
/// `fleet_control`'s lock.
struct fleet_control::peer_link {
    peer_link(member_id member, std::string const& address, peer_security const& security)
        : member_{std::move(member)}, client_{address, security}
    {
    }

    member_id member_;
    peer_client client_;
    std::uint64_t next_offset_{};
    bool log_reachable_{};
    bool stopping_{};
    std::map<std::string, std::int64_t> idle_units_;
};

} // namespace auburnchute
