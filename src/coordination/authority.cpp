#include <auburnchute/authority.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

bool contains(std::vector<member_id> const& members, member_id const& member) noexcept
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

bool is_recent(std::map<member_id, millis> const& times, member_id const& member, millis lifetime,
               millis now) noexcept
{
    auto const it = times.find(member);
    return it != times.end() && now - it->second < lifetime;
}

bool majority_confirms_outage(std::vector<member_id> const& members, authority_view const& view,
                              millis now) noexcept
{
    auto const votes = std::count_if(members.begin(), members.end(), [&](member_id const& m) {
        return m == view.self_ || is_recent(view.outage_confirmed_by_, m, authority_lifetime, now);
    });
    return static_cast<std::size_t>(votes) > members.size() / 2;
}

} // namespace

authority evaluate_authority(fleet_state const& state, authority_view const& view, millis now) noexcept
{
    // A daemon that starts during a log outage has never read the tail (0) and must not serve.
    if (is_gone(state, view.self_) || view.log_tail_read_at_ == millis{}) {
        return authority::lapsed;
    }
    if (now - view.log_tail_read_at_ < authority_lifetime) {
        return authority::fresh_log;
    }
    if (view.log_reachable_ || state.in_force_.members_.empty()) {
        return authority::lapsed;
    }
    // This member's own acknowledgement can put the pending share version in force before the member reads it
    // back, so removal votes may already be counted among the members of the pending version.
    bool const confirmed =
        majority_confirms_outage(state.in_force_.members_, view, now) &&
        (state.pending_.number_ == 0 || majority_confirms_outage(state.pending_.members_, view, now));
    return confirmed ? authority::fresh_outage : authority::lapsed;
}

bool may_confirm_outage(fleet_state const& state, authority_view const& view, member_id const& peer) noexcept
{
    if (view.log_reachable_ || view.voted_against_.contains(peer)) {
        return false;
    }
    auto const it = state.members_.find(peer);
    return it != state.members_.end() && it->second.status_ != member_status::gone &&
           !it->second.voters_.contains(view.self_);
}

std::vector<member_id> cast_removal_votes(fleet_state const& state, authority_view& view, millis now)
{
    // After a pause of this process every peer seems silent, because no message was processed meanwhile.
    if (now - view.last_vote_check_ > max_check_interval) {
        view.monitoring_since_ = now;
    }
    view.last_vote_check_ = now;
    std::vector<member_id> silent_members;
    bool const may_vote = view.log_reachable_ && contains(state.in_force_.members_, view.self_) &&
                          evaluate_authority(state, view, now) == authority::fresh_log;
    if (!may_vote || now - std::max(view.started_at_, view.monitoring_since_) < failure_detection_timeout) {
        return silent_members;
    }
    for (auto const& [id, entry] : state.members_) {
        if (id == view.self_ || entry.status_ == member_status::gone || entry.voters_.contains(view.self_)) {
            continue;
        }
        if (is_recent(view.last_message_from_, id, failure_detection_timeout, now) ||
            is_recent(view.outage_confirmed_to_, id, failure_detection_timeout, now) ||
            is_recent(view.voted_against_, id, failure_detection_timeout, now)) {
            continue;
        }
        view.voted_against_[id] = now;
        silent_members.push_back(id);
    }
    return silent_members;
}

} // namespace auburnchute
