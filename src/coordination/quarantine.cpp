#include <auburnchute/ids.hpp>
#include <auburnchute/quarantine.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// Evidence on one request, from the fleet state and from this daemon; null if there is none. Either source
/// can confirm the request as the cause of a crash.
struct request_evidence {
    crash_entry const* applied_{};
    crash_entry const* unapplied_{};
};

request_evidence find_evidence(fleet_state const& state, local_crash_evidence const& evidence,
                               std::string const& fingerprint)
{
    auto const applied = state.crashes_.find(fingerprint);
    auto const unapplied = evidence.unapplied_.find(fingerprint);
    return {applied == state.crashes_.end() ? nullptr : &applied->second,
            unapplied == evidence.unapplied_.end() ? nullptr : &unapplied->second};
}

bool shares_upstream(crash_entry const& a, crash_entry const& b)
{
    return std::any_of(a.upstreams_.begin(), a.upstreams_.end(),
                       [&b](std::string const& name) { return b.upstreams_.contains(name); });
}

/// \returns True if `entry` is of an unconfirmed suspect that was in flight on an upstream whose crash is
/// part of `own`.
bool is_competing_suspect(crash_entry const& entry, request_evidence const& own)
{
    return !entry.confirmed_ && ((own.applied_ != nullptr && shares_upstream(entry, *own.applied_)) ||
                                 (own.unapplied_ != nullptr && shares_upstream(entry, *own.unapplied_)));
}

/// \returns True if a confirmed request crashed one of the suspect's upstreams. The suspect may then run
/// normally; a second crash makes it a suspect again.
bool attributed_to_confirmed(fleet_state const& state, crash_entry const& suspect)
{
    return std::any_of(state.crashes_.begin(), state.crashes_.end(), [&suspect](auto const& item) {
        return item.second.confirmed_ && shares_upstream(item.second, suspect);
    });
}

void add_crash(local_crash_evidence& evidence, std::string const& fingerprint, std::string_view upstream,
               bool isolated, millis now)
{
    auto& entry = evidence.unapplied_[fingerprint];
    ++entry.crashes_;
    entry.confirmed_ = entry.confirmed_ || isolated;
    entry.upstreams_.insert(std::string{upstream});
    entry.last_ = now;
}

} // namespace

crash_verdict classify_request(fleet_state const& state, local_crash_evidence const& evidence,
                               std::string_view fingerprint)
{
    auto const [applied, unapplied] = find_evidence(state, evidence, std::string{fingerprint});
    if ((applied != nullptr && applied->confirmed_) || (unapplied != nullptr && unapplied->confirmed_)) {
        return crash_verdict::confirmed;
    }
    if (applied == nullptr && unapplied == nullptr) {
        return crash_verdict::clear;
    }
    bool const one_crash = (applied == nullptr ? 0 : applied->crashes_) <= 1 && unapplied == nullptr;
    return one_crash && attributed_to_confirmed(state, *applied) ? crash_verdict::clear
                                                                 : crash_verdict::suspect;
}

bool may_run_isolated(fleet_state const& state, local_crash_evidence const& evidence,
                      std::string_view fingerprint, millis now)
{
    std::string const own_name{fingerprint};
    auto const own = find_evidence(state, evidence, own_name);
    auto const learned = evidence.learned_at_.find(own_name);
    if (own.unapplied_ == nullptr && learned == evidence.learned_at_.end()) {
        return true; // The evidence is from a snapshot: the slots of the suspects before this one have
                     // passed.
    }
    auto const waited = now - std::max(own.unapplied_ == nullptr ? millis{} : own.unapplied_->last_,
                                       learned == evidence.learned_at_.end() ? millis{} : learned->second);
    auto const since_last_change = std::min(waited, now - evidence.last_verdict_at_);
    std::int64_t suspects_ahead = 0;
    for (auto it = state.crashes_.begin(); it != state.crashes_.end() && it->first < own_name; ++it) {
        suspects_ahead += is_competing_suspect(it->second, own) ? 1 : 0;
    }
    for (auto it = evidence.unapplied_.begin(); it != evidence.unapplied_.end() && it->first < own_name;
         ++it) {
        suspects_ahead +=
            !state.crashes_.contains(it->first) && is_competing_suspect(it->second, own) ? 1 : 0;
    }
    return waited >= evidence_propagation_delay && since_last_change >= isolated_run_slot * suspects_ahead;
}

std::vector<crash_seen> record_crash(local_crash_evidence& evidence, std::string_view upstream,
                                     std::vector<std::string> const& in_flight, std::string_view isolated,
                                     millis now)
{
    std::vector<crash_seen> records;
    std::string const name{upstream};
    if (!isolated.empty()) {
        std::string const blamed{isolated};
        add_crash(evidence, blamed, upstream, true, now);
        records.push_back({blamed, name, {}, true});
        return records;
    }
    // A request may be in flight more than once, but a crash of the upstream counts once for it.
    std::set<std::string> const suspects{in_flight.begin(), in_flight.end()};
    for (auto const& suspect : suspects) {
        add_crash(evidence, suspect, upstream, false, now);
        records.push_back({suspect, name, {}, false});
    }
    return records;
}

void record_peer_crash(local_crash_evidence& evidence, crash_seen const& seen, millis now)
{
    add_crash(evidence, seen.fingerprint_, seen.upstream_, seen.isolated_, now);
}

bool record_completion(fleet_state const& state, local_crash_evidence& evidence, std::string_view fingerprint)
{
    std::string const name{fingerprint};
    auto const [applied, unapplied] = find_evidence(state, evidence, name);
    if ((applied != nullptr && applied->confirmed_) || (unapplied != nullptr && unapplied->confirmed_)) {
        return false;
    }
    bool const known = applied != nullptr || unapplied != nullptr;
    evidence.unapplied_.erase(name);
    return known;
}

void reconcile_evidence(fleet_state const& state, local_crash_evidence& evidence,
                        std::string_view fingerprint, millis now)
{
    std::string const name{fingerprint};
    auto const [applied, unapplied] = find_evidence(state, evidence, name);
    bool const confirmation_pending =
        unapplied != nullptr && unapplied->confirmed_ && (applied == nullptr || !applied->confirmed_);
    if (!confirmation_pending) {
        evidence.unapplied_.erase(name);
    }
    if (applied != nullptr && !applied->confirmed_) {
        evidence.learned_at_[name] = now;
    } else {
        evidence.learned_at_.erase(name);
        evidence.last_verdict_at_ = now;
    }
}

std::string fingerprint(std::string_view workspace, std::string_view route, std::string_view body)
{
    // With the lengths as salt, ("a", "bc") and ("ab", "c") get different digests.
    std::string const lengths = std::to_string(workspace.size()) + ":" + std::to_string(route.size()) + ":" +
                                std::to_string(body.size());
    std::string content;
    content.reserve(workspace.size() + route.size() + body.size());
    content.append(workspace).append(route).append(body);
    return salted_digest(lengths, content);
}

} // namespace auburnchute
