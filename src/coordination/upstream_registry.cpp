#include <auburnchute/upstream_registry.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnchute {

namespace {

bool is_newer(upstream_registry const& registry, std::string_view id, store_position position)
{
    auto const applied = registry.applied_.find(id);
    return applied == registry.applied_.end() || supersedes(position, applied->second.position_);
}

/// Whether an entry is an old one of a process that was removed after the store's copy was made.
bool is_gone(upstream_registry const& registry, upstream const& entry, store_position position)
{
    auto const applied = registry.applied_.find(entry.id_);
    return applied != registry.applied_.end() && applied->second.removed_at_ > millis{0} &&
           applied->second.position_.era_ < position.era_ && !registry.lapsed_.contains(entry.id_) &&
           entry.started_at_ <= applied->second.removed_start_ && order_of(position, registry.copy_end_) < 0;
}

void let_lapse(upstream_registry& registry, std::string_view id, millis now)
{
    registry.lapsed_.try_emplace(std::string{id},
                                 std::max(registry.store_recovered_at_, now - lapsed_entry_grace) +
                                     lapsed_entry_grace);
}

} // namespace

void mark_store_unreachable(upstream_registry& registry) noexcept
{
    registry.store_unreachable_ = true;
}

void mark_store_reachable(upstream_registry& registry, millis now) noexcept
{
    if (std::exchange(registry.store_unreachable_, false)) {
        registry.store_recovered_at_ = now;
    }
}

void mark_store_returned(upstream_registry& registry, store_position copy_end, millis now) noexcept
{
    registry.copy_end_ = copy_end;
    registry.store_recovered_at_ = now;
}

entry_change apply_entry(upstream_registry& registry, upstream entry, store_position position, millis now)
{
    if (!is_newer(registry, entry.id_, position) || is_gone(registry, entry, position)) {
        return entry_change::none;
    }
    registry.applied_[entry.id_] = {.position_ = position};
    if (entry.leaving_) {
        (void)note_leave(registry, {entry.id_, entry.started_at_, now});
    }
    auto const known = registry.entries_.find(entry.id_);
    if (known == registry.entries_.end()) {
        auto id = entry.id_;
        registry.entries_.emplace(std::move(id), std::move(entry));
        return entry_change::added;
    }
    if (entry.started_at_ < known->second.started_at_) {
        return entry_change::none;
    }
    bool const was_lapsed = registry.lapsed_.erase(entry.id_) > 0;
    if (entry == known->second) {
        return was_lapsed ? entry_change::returned : entry_change::none;
    }
    bool const leaves = entry.leaving_ && !known->second.leaving_;
    known->second = std::move(entry);
    return leaves ? entry_change::leaving : entry_change::changed;
}

entry_change lapse_entry(upstream_registry& registry, std::string_view id, millis now)
{
    auto const known = registry.entries_.find(id);
    if (known == registry.entries_.end()) {
        return entry_change::none;
    }
    auto& applied = registry.applied_[known->first]; // any record of the store's present era replaces it
    applied.removed_at_ = now;
    applied.removed_start_ = known->second.started_at_;
    let_lapse(registry, id, now);
    return entry_change::lapsed;
}

entry_change apply_removal(upstream_registry& registry, std::string_view id, store_position position,
                           millis now)
{
    if (!is_newer(registry, id, position)) {
        return entry_change::none;
    }
    auto const known = registry.entries_.find(id);
    auto& applied = registry.applied_[std::string{id}];
    auto const started_at =
        known != registry.entries_.end() ? known->second.started_at_ : applied.removed_start_;
    applied = {.position_ = position, .removed_at_ = now, .removed_start_ = started_at};
    if (known == registry.entries_.end()) {
        return entry_change::removed; // other VMs may still know the upstream
    }
    bool const after_outage =
        registry.store_unreachable_ ||
        (registry.store_recovered_at_ > millis{0} && now < registry.store_recovered_at_ + lapsed_entry_grace);
    if (after_outage) {
        let_lapse(registry, id, now);
        return entry_change::lapsed;
    }
    registry.entries_.erase(known);
    registry.lapsed_.erase(std::string{id});
    return entry_change::removed;
}

bool note_leave(upstream_registry& registry, leave_notice const& notice)
{
    auto const [known, made] = registry.leaves_.try_emplace(notice.id_, notice);
    if (made) {
        return true;
    }
    if (notice.started_at_ <= known->second.started_at_) {
        return false;
    }
    known->second = notice;
    return true;
}

upstream_map usable_entries(upstream_registry const& registry)
{
    auto entries = registry.entries_;
    for (auto const& [id, notice] : registry.leaves_) {
        auto const entry = entries.find(id);
        if (entry != entries.end() && entry->second.started_at_ <= notice.started_at_) {
            entry->second.leaving_ = true;
        }
    }
    return entries;
}

std::vector<leave_notice> told_leaves(upstream_registry const& registry, millis now)
{
    std::vector<leave_notice> told;
    for (auto const& [id, notice] : registry.leaves_) {
        if (now - notice.noticed_at_ < leave_notice_lifetime) {
            told.push_back(notice);
        }
    }
    std::sort(told.begin(), told.end(), [](leave_notice const& a, leave_notice const& b) {
        return std::tie(b.noticed_at_, a.id_) < std::tie(a.noticed_at_, b.id_);
    });
    if (told.size() > max_told_leaves) {
        told.resize(max_told_leaves);
    }
    return told;
}

std::uint64_t leaves_digest(std::vector<leave_notice> const& notices) noexcept
{
    std::uint64_t digest = 0;
    for (auto const& notice : notices) {
        digest += stable_hash(notice.id_, static_cast<std::uint64_t>(notice.started_at_));
    }
    return digest;
}

void expire_notices(upstream_registry& registry, millis now)
{
    // A notice outlives the time in which it is told, so that a VM does not take it for a new one.
    std::erase_if(registry.leaves_, [&](auto const& known) {
        auto const entry = registry.entries_.find(known.first);
        bool const binds =
            entry != registry.entries_.end() && entry->second.started_at_ <= known.second.started_at_;
        return !binds && now - known.second.noticed_at_ > leave_notice_lifetime * 2;
    });
    std::erase_if(registry.applied_, [&](auto const& known) {
        return known.second.removed_at_ > millis{0} &&
               now - known.second.removed_at_ > leave_notice_lifetime &&
               !registry.entries_.contains(known.first);
    });
}

std::uint64_t registry_digest(upstream_registry const& registry) noexcept
{
    std::uint64_t digest = 1; // 0 stands for no digest
    for (auto const& [id, entry] : registry.entries_) {
        if (!registry.lapsed_.contains(id)) {
            // The sum of one hash per upstream does not depend on their order.
            auto const start = static_cast<std::uint64_t>(entry.started_at_) * 2 + (entry.leaving_ ? 1 : 0);
            digest += stable_hash(id, start);
        }
    }
    return digest;
}

bool drop_lapsed(upstream_registry& registry, millis now)
{
    bool dropped = false;
    std::erase_if(registry.lapsed_, [&](auto const& lapsed) {
        if (registry.store_unreachable_ || now < lapsed.second) {
            return false;
        }
        registry.entries_.erase(lapsed.first);
        dropped = true;
        return true;
    });
    return dropped;
}

std::optional<millis> next_drop_time(upstream_registry const& registry) noexcept
{
    auto const first = std::min_element(registry.lapsed_.begin(), registry.lapsed_.end(),
                                        [](auto const& a, auto const& b) { return a.second < b.second; });
    return first == registry.lapsed_.end() ? std::nullopt : std::optional{first->second};
}

} // namespace auburnchute
