#include <auburnchute/upstream_registry.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <utility>

namespace auburnchute {

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

entry_change apply_entry(upstream_registry& registry, upstream entry)
{
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

entry_change apply_removal(upstream_registry& registry, std::string_view id, millis now)
{
    auto const known = registry.entries_.find(id);
    if (known == registry.entries_.end()) {
        return entry_change::removed; // other VMs may still know the upstream
    }
    bool const after_outage =
        registry.store_unreachable_ ||
        (registry.store_recovered_at_ > millis{0} && now < registry.store_recovered_at_ + lapsed_entry_grace);
    if (after_outage) {
        registry.lapsed_.try_emplace(std::string{id},
                                     std::max(registry.store_recovered_at_, now - lapsed_entry_grace) +
                                         lapsed_entry_grace);
        return entry_change::lapsed;
    }
    registry.entries_.erase(known);
    registry.lapsed_.erase(std::string{id});
    return entry_change::removed;
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
