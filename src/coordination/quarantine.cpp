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
    return folded != nullptr || local != nullptr ? crash_verdict::suspect : crash_verdict::clear;
}

bool may_run_isolated(fleet_state const& state, quarantine_view const& view, std::string_view fingerprint,
                      millis now)
{
    std::string const own_name{fingerprint};
    auto const own = find_evidence(state, view, own_name);
    if (own.local_ != nullptr && now - own.local_->last_ < evidence_delay) {
        return false;
    }
    for (auto const& [name, entry] : state.crashes_) {
        if (name >= own_name) {
            break;
        }
        if (state.log_time_ - entry.last_ < suspect_turn && rivals(entry, own)) {
            return false;
        }
    }
    for (auto const& [name, entry] : view.local_) {
        if (name >= own_name) {
            break;
        }
        if (now - entry.last_ < suspect_turn && rivals(entry, own)) {
            return false;
        }
    }
    return true;
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

void book_folded(quarantine_view& view, std::string_view fingerprint)
{
    view.local_.erase(std::string{fingerprint});
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
