#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/store_position.hpp>
#include <auburnchute/version_plan.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace auburnchute {

/// \brief What the control thread knows of the version plans.
struct plan_feed {
    std::optional<store_position> next_; ///< From which they are read next; none: none were read yet.
    std::optional<std::uint64_t> era_{}; ///< Era of the store in which all plans were last read or told.
    bool due_{true};                     ///< They must be read before a proof counts.
    version_plans known_;
    std::map<std::string, store_position, std::less<>> positions_; ///< Of their records, by service.
    std::map<std::string, std::string, std::less<>>
        documents_; ///< The records as stored, also unreadable ones.
    /// Versions of the upstreams whose entries were taken since the last read, by service.
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> seen_;
    version_plans offered_;                   ///< To be stored, unless a newer one has come meanwhile.
    std::set<std::string, std::less<>> lost_; ///< Services whose known plan the store lost.
    std::optional<millis> returned_at_{}; ///< When this VM last noticed that the store came back from a copy.
};

} // namespace auburnchute
