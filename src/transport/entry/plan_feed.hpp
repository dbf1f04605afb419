#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/version_plan.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace auburnchute {

/// \brief What the control thread knows of the version plans.
struct plan_feed {
    std::optional<std::uint64_t> next_; ///< Offset from which they are read next; none: none were read yet.
    bool due_{true};                    ///< They must be read before a proof counts.
    version_plans known_;
    std::map<std::string, std::uint64_t, std::less<>> offsets_; ///< Of their records, by service.
    std::map<std::string, std::string, std::less<>>
        documents_; ///< The records as stored, also unreadable ones.
    /// Versions of the upstreams whose entries were taken since the last read, by service.
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> seen_;
    version_plans offered_; ///< To be stored, unless a newer one has come meanwhile.
};

} // namespace auburnchute
