#pragma once

#include <cstdint>
#include <string>

namespace auburnchute {

/// \brief The record by which an entry daemon registers itself in the store.
struct entry_member {
    std::string vm_;
    std::uint64_t incarnation_{};
    std::string peer_address_;    ///< `IP:PORT` for messages between daemons.
    std::string callers_address_; ///< `IP:PORT` for callers.
    std::string availability_zone_;
    std::int64_t strength_{1}; ///< CPU share of its VM, in hundredths of a core.

    friend bool operator==(entry_member const&, entry_member const&) = default;
};

} // namespace auburnchute
