#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/fleet_state.hpp>

#include <map>
#include <span>

namespace auburnchute {

/// \brief How long a log read or an outage confirmation keeps the authority fresh, counted from when its
/// request was sent.
inline constexpr millis authority_lifetime{4'000};

/// \brief Silence after which a member may vote to remove a peer. Twice the lifetime of the authority, so
/// that a daemon whose clock runs up to 10% slow stops serving before other members use its share of the rate
/// limits.
inline constexpr millis failure_detection_timeout{8'000};

/// \brief How long members wait after a removal by votes before they use the removed member's share of the
/// rate limits.
inline constexpr millis removal_grace_period{5'000};

/// \brief Longest interval between two calls of `cast_removal_votes` in a daemon that was not paused. After a
/// longer one, the silence of its peers is measured from the later call.
inline constexpr millis max_check_interval{2'000};

/// \brief A daemon's evidence that the log and its peers are reachable, with the times by its own clock.
struct authority_view {
    member_id self_;
    millis started_at_{};
    millis log_tail_read_at_{}; ///< When the last read that reached the log's tail was sent; 0: never.
    bool log_reachable_{};      ///< The last log read succeeded.
    std::map<member_id, millis> outage_confirmed_by_; ///< By peer: when the heartbeat was sent to which the
                                                      ///< peer replied that it cannot reach the log either.
    std::map<member_id, millis> last_message_from_;   ///< By peer: when its last message of any kind arrived.
    std::map<member_id, millis> outage_confirmed_to_; ///< By peer: when this daemon last confirmed the log
                                                      ///< outage to it; set before the reply is sent.
    std::map<member_id, millis> voted_against_; ///< By peer: when `cast_removal_votes` last returned it. The
                                                ///< log may hold a vote that its voter has not read back yet.
    millis monitoring_since_{}; ///< Start of the current period without a pause of this daemon; set by
                                ///< `cast_removal_votes`.
    millis last_vote_check_{};  ///< Time of the last call of `cast_removal_votes`.
};

/// \brief Whether a daemon may serve requests and change the fleet, and on which evidence.
enum class authority : std::uint8_t {
    fresh_log,    ///< The log was read to its tail within `authority_lifetime`.
    fresh_outage, ///< A majority of members confirmed within `authority_lifetime` that it cannot reach the
                  ///< log.
    lapsed        ///< No fresh evidence: requests with a key, claims and orders are refused.
};

/// \returns Whether the daemon may act on the log records that it has applied. An outage has to be confirmed
/// by a majority of the members of the share version in force and, if there is one, of the pending version.
/// Thread safety: pure.
[[nodiscard]] authority evaluate_authority(fleet_state const& state, authority_view const& view,
                                           millis now) noexcept;

/// \returns True if this daemon may confirm to `peer` that the log is unreachable: its own last log read
/// failed, the peer is a current member, and this daemon has not voted to remove it. Thread safety: pure.
[[nodiscard]] bool may_confirm_outage(fleet_state const& state, authority_view const& view,
                                      member_id const& peer) noexcept;

/// \brief Chooses the silent members that this daemon votes to remove and records the votes in `view`, so
/// that `may_confirm_outage` refuses these members before the votes are read back from the log. Call it at
/// least every `max_check_interval`. \returns The members to vote against now. A member is returned again
/// after `failure_detection_timeout` if the vote has not been applied by then. Thread safety: the caller owns
/// `view`.
[[nodiscard]] std::vector<member_id> cast_removal_votes(fleet_state const& state, authority_view& view,
                                                        millis now);

} // namespace auburnchute
