#pragma once

#include <auburnchute/authority.hpp>
#include <auburnchute/fleet_state.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace auburnchute {

/// \brief Counts that the request path keeps for one upstream; they outlive published views.
struct upstream_counters {
    std::atomic<std::int64_t> running_{};    ///< Own requests on the upstream.
    std::atomic<std::int64_t> full_until_{}; ///< The upstream refused work: no new work until this time.
    std::atomic<std::int64_t> suspects_{};   ///< Own isolated suspects on the upstream.
    std::atomic<std::int64_t>
        refused_connections_{}; ///< In a row; the upstream counts as unreachable after three.
};

/// \brief An upstream as last reported.
struct upstream_status {
    std::string address_;
    std::string availability_zone_;
    std::int64_t reported_{};      ///< Running and waiting requests in the report.
    std::int64_t own_at_report_{}; ///< Own requests that the report already counts.
    millis taken_at_{};            ///< When the report was taken, by this daemon's clock.
    bool reported_once_{};
    bool resumes_streams_{};
    std::string software_version_;
    bool leaving_{};
    std::shared_ptr<upstream_counters> counters_;
};

/// \brief All that the request path reads, published as one snapshot.
struct fleet_view {
    std::shared_ptr<fleet_state const> state_{std::make_shared<fleet_state const>()};
    std::map<std::string, upstream_status> upstreams_;
    std::int64_t live_members_{}; ///< Counted once here, because each request needs it to pick an upstream.
    member_id self_;
    authority authority_{authority::lapsed};
    millis lapsed_since_{}; ///< When the authority lapsed; 0 while it is fresh.
    millis published_at_{}; ///< An old view means that the process was paused; it proves nothing any more.
    bool ready_{};          ///< The log was read to its tail once.
    bool stopping_{};
};

/// \brief How long open streams go on after the authority lapsed. Ends before other members may use this
/// daemon's share: `failure_detection_timeout` and `removal_grace_period` less 10% clock drift, counted from
/// the last contact.
inline constexpr millis stream_grace{6'000};

/// \brief Views are published several times a second; after a pause of the process no new work starts until
/// the next one.
inline constexpr millis max_view_age{2'000};

/// \returns True if new work may start on this view.
[[nodiscard]] inline bool is_usable(fleet_view const& view, millis now) noexcept
{
    return view.authority_ != authority::lapsed && now - view.published_at_ < max_view_age;
}

} // namespace auburnchute
