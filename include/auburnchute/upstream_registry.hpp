#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief How long an upstream without an entry is still used after an outage of the store. Entries expire
/// during the outage; live upstreams write theirs again within two seconds after it.
inline constexpr millis lapsed_entry_grace{2'200};

/// \brief The known upstreams by their entries in the store. Outages of the store do not remove them.
struct upstream_registry {
    upstream_map entries_;
    std::map<std::string, millis, std::less<>> lapsed_; ///< Upstreams without an entry, and when they are
                                                        ///< dropped.
    bool store_unreachable_{};                          ///< The store does not answer.
    millis store_recovered_at_{}; ///< End of the store's last outage; 0 if there was none.
};

/// \brief Effect of a record of the store on the registry. All but `none` must be forwarded to the other VMs;
/// a record with effect `none` adds nothing to what a VM knows that has all records before it.
enum class entry_change : std::uint8_t {
    none,
    added,
    changed,
    leaving,
    lapsed,   ///< Entry removed during or soon after an outage; dropped unless it returns in time.
    returned, ///< Entry written again, unchanged, after it had lapsed.
    removed,
};

/// \brief Records that the store does not answer. Thread safety of all functions that change a registry: the
/// caller owns it.
void mark_store_unreachable(upstream_registry& registry) noexcept;

/// \brief Records that the store answers; ends an outage.
void mark_store_reachable(upstream_registry& registry, millis now) noexcept;

/// \brief Adds or updates an upstream's entry. An entry of an earlier start under the same id is ignored.
entry_change apply_entry(upstream_registry& registry, upstream entry);

/// \brief Processes the removal of an upstream's entry. The upstream is dropped at once, or, if the removal
/// falls into or soon after an outage of the store, once live upstreams must have written their entries
/// again.
entry_change apply_removal(upstream_registry& registry, std::string_view id, millis now);

/// \returns A digest that is equal for two registries that have applied the same records; lapsed entries do
/// not count. Thread safety: pure.
[[nodiscard]] std::uint64_t registry_digest(upstream_registry const& registry) noexcept;

/// \brief Drops the lapsed upstreams whose entries have not returned in time. \returns Whether any was
/// dropped.
bool drop_lapsed(upstream_registry& registry, millis now);

/// \returns When `drop_lapsed` is due next; none if no entry has lapsed. Thread safety: pure.
[[nodiscard]] std::optional<millis> next_drop_time(upstream_registry const& registry) noexcept;

} // namespace auburnchute
