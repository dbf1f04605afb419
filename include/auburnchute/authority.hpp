#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/fleet_state.hpp>

#include <map>
#include <span>

namespace auburnchute {

/// \brief How long knowledge counts as fresh after its question was sent.
inline constexpr millis authority_lifetime{4'000};

/// \brief Silence after which a member may vote another out. Twice the authority's lifetime, so that a daemon
/// whose clock runs up to 10% slow has stopped before its share is used by others.
inline constexpr millis failure_detection_timeout{8'000};

/// \brief How long members wait after a removal by votes before they use the freed share.
inline constexpr millis removal_grace_period{5'000};

/// \brief Longest time between two calls of `cast_removal_votes`; after a longer one the daemon was paused
/// and counts the silence of its peers anew.
inline constexpr millis max_check_interval{2'000};

/// \brief What this daemon knows of the log and its peers, in its own time.
struct authority_view {
    member_id self_;
    millis started_at_{};
    millis log_tail_read_at_{}; ///< When the last read that reached the tail was sent; 0: never.
    bool log_reachable_{};      ///< The last log call succeeded.
    std::map<member_id, millis> outage_confirmed_by_; ///< By peer: when the question was sent that it
                                                      ///< answered with "not reachable either".
    std::map<member_id, millis> last_message_from_;   ///< By peer: last message of any kind.
    std::map<member_id, millis> outage_confirmed_to_; ///< By peer: when this daemon last confirmed the outage
                                                      ///< to it; set before the answer leaves.
    std::map<member_id, millis> voted_against_; ///< By peer: when `cast_removal_votes` last returned it. A
                                                ///< vote may be in the log before its writer reads it back.
    millis monitoring_since_{}; ///< Start or end of the last pause; kept by `cast_removal_votes`.
    millis last_vote_check_{};  ///< Last call of `cast_removal_votes`.
};

enum class authority : std::uint8_t {
    fresh_log,    ///< The log was read to its tail.
    fresh_outage, ///< A majority confirms that the log is down for all.
    lapsed        ///< Cut off: keyed requests, claims and orders are refused.
};

/// \returns Whether the daemon may act on what it has folded. Majorities are taken of the share version in
/// force and of the pending one. Thread safety: pure.
[[nodiscard]] authority evaluate_authority(fleet_state const& state, authority_view const& view,
                                           millis now) noexcept;

/// \returns True if this daemon may confirm to `peer` that the log is unreachable: it has not voted against
/// it, and its own log call failed. Thread safety: pure.
[[nodiscard]] bool may_confirm_outage(fleet_state const& state, authority_view const& view,
                                      member_id const& peer) noexcept;

/// \brief Chooses the members to vote out and books them as voted against, so that `may_confirm_outage`
/// refuses them before the vote is read back. A vote that is not folded is returned again after
/// `failure_detection_timeout`. \returns The members that this daemon should vote out now; call it at least
/// every `max_check_interval`. Thread safety: the caller owns `view`.
[[nodiscard]] std::vector<member_id> cast_removal_votes(fleet_state const& state, authority_view& view,
                                                        millis now);

} // namespace auburnchute
