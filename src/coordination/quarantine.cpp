#include <auburnchute/ids.hpp>
#include <auburnchute/quarantine.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// Folded evidence is preferred to the local copy only in that either may confirm.
struct evidence {
    crash_entry const* folded_{};
    crash_entry const* local_{};
};

evidence find_evidence(fleet_state const& state, quarantine_view const& view, std::string const& fingerprint)
{
    auto const folded = state.crashes_.find(fingerprint);
    auto const local = view.local_.find(fingerprint);
    return {folded == state.crashes_.end() ? nullptr : &folded->second,
            local == view.local_.end() ? nullptr : &local->second};
}

bool shares_upstream(crash_entry const& a, crash_entry const& b)
{
    return std::any_of(a.upstreams_.begin(), a.upstreams_.end(),
                       [&b](std::string const& name) { return b.upstreams_.contains(name); });
}

/// True if `entry` belongs to a suspect that crashed together with one of `own` and has not been judged.
bool rivals(crash_entry const& entry, evidence const& own)
{
    return !entry.confirmed_ && ((own.folded_ != nullptr && shares_upstream(entry, *own.folded_)) ||
                                 (own.local_ != nullptr && shares_upstream(entry, *own.local_)));
}

/// True if a confirmed request crashed the upstreams of this suspect. The suspect may run normally: a second
/// crash makes it a suspect again.
bool explained(fleet_state const& state, crash_entry const& suspect)
{
    return std::any_of(state.crashes_.begin(), state.crashes_.end(), [&suspect](auto const& item) {
        return item.second.confirmed_ && shares_upstream(item.second, suspect);
    });
}

void book(quarantine_view& view, std::string const& fingerprint, std::string_view upstream, bool isolated,
          millis now)
{
    auto& entry = view.local_[fingerprint];
    ++entry.crashes_;
    entry.confirmed_ = entry.confirmed_ || isolated;
    entry.upstreams_.insert(std::string{upstream});
    entry.last_ = now;
}

} // namespace

crash_verdict judge(fleet_state const& state, quarantine_view const& view, std::string_view fingerprint)
{
    auto const [folded, local] = find_evidence(state, view, std::string{fingerprint});
    if ((folded != nullptr && folded->confirmed_) || (local != nullptr && local->confirmed_)) {
        return crash_verdict::confirmed;
    }
    if (folded == nullptr && local == nullptr) {
        return crash_verdict::clear;
    }
    bool const one_crash = (folded == nullptr ? 0 : folded->crashes_) <= 1 && local == nullptr;
    return one_crash && explained(state, *folded) ? crash_verdict::clear : crash_verdict::suspect;
}

bool may_run_isolated(fleet_state const& state, quarantine_view const& view, std::string_view fingerprint,
                      millis now)
{
    std::string const own_name{fingerprint};
    auto const own = find_evidence(state, view, own_name);
    auto const learned = view.learned_at_.find(own_name);
    if (own.local_ == nullptr && learned == view.learned_at_.end()) {
        return true; // Evidence from a snapshot: every turn of that time is over.
    }
    auto const waited = now - std::max(own.local_ == nullptr ? millis{} : own.local_->last_,
                                       learned == view.learned_at_.end() ? millis{} : learned->second);
    auto const quiet = std::min(waited, now - view.last_judged_);
    std::int64_t before = 0;
    for (auto it = state.crashes_.begin(); it != state.crashes_.end() && it->first < own_name; ++it) {
        before += rivals(it->second, own) ? 1 : 0;
    }
    for (auto it = view.local_.begin(); it != view.local_.end() && it->first < own_name; ++it) {
        before += !state.crashes_.contains(it->first) && rivals(it->second, own) ? 1 : 0;
    }
    return waited >= evidence_delay && quiet >= suspect_turn * before;
}

std::vector<crash_seen> book_crash(quarantine_view& view, std::string_view upstream,
                                   std::vector<std::string> const& in_flight, std::string_view isolated,
                                   millis now)
{
    std::vector<crash_seen> records;
    std::string const name{upstream};
    if (!isolated.empty()) {
        std::string const blamed{isolated};
        book(view, blamed, upstream, true, now);
        records.push_back({blamed, name, {}, true});
        return records;
    }
    // The same request may be in flight more than once; one death is one crash for it.
    std::set<std::string> const suspects{in_flight.begin(), in_flight.end()};
    for (auto const& suspect : suspects) {
        book(view, suspect, upstream, false, now);
        records.push_back({suspect, name, {}, false});
    }
    return records;
}

void book_peer_evidence(quarantine_view& view, crash_seen const& seen, millis now)
{
    book(view, seen.fingerprint_, seen.upstream_, seen.isolated_, now);
}

bool book_finish(fleet_state const& state, quarantine_view& view, std::string_view fingerprint)
{
    std::string const name{fingerprint};
    auto const [folded, local] = find_evidence(state, view, name);
    if ((folded != nullptr && folded->confirmed_) || (local != nullptr && local->confirmed_)) {
        return false;
    }
    bool const known = folded != nullptr || local != nullptr;
    view.local_.erase(name);
    return known;
}

void book_folded(fleet_state const& state, quarantine_view& view, std::string_view fingerprint, millis now)
{
    std::string const name{fingerprint};
    auto const [folded, local] = find_evidence(state, view, name);
    bool const confirmation_on_its_way =
        local != nullptr && local->confirmed_ && (folded == nullptr || !folded->confirmed_);
    if (!confirmation_on_its_way) {
        view.local_.erase(name);
    }
    if (folded != nullptr && !folded->confirmed_) {
        view.learned_at_[name] = now;
    } else {
        view.learned_at_.erase(name);
        view.last_judged_ = now;
    }
}

std::string fingerprint(std::string_view workspace, std::string_view route, std::string_view body)
{
    // Lengths keep ("a", "bc") and ("ab", "c") apart.
    std::string const lengths = std::to_string(workspace.size()) + ":" + std::to_string(route.size()) + ":" +
                                std::to_string(body.size());
    std::string content;
    content.reserve(workspace.size() + route.size() + body.size());
    content.append(workspace).append(route).append(body);
    return key_digest(lengths, content);
}

} // namespace auburnchute
