#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief How long an upstream whose entry is gone is still used after the store was away: entries lapse
/// meanwhile, and those of upstreams that live are back within two seconds.
inline constexpr millis lapsed_entry_grace{2'200};

/// \brief The upstreams as their entries in the store tell, through outages of the store.
struct upstream_registry {
    upstream_map entries_;
    std::map<std::string, millis, std::less<>> lapsed_; ///< Of those, the ones without an entry, and when
                                                        ///< they are dropped.
    bool store_unreachable_{};                          ///< The store does not answer.
    millis store_recovered_at_{}; ///< When it last answered again; 0: it was never away.
};

/// \brief What a record of the store changed. Other VMs must be told of all but `none`, which says that the
/// record repeats what every VM knows that has read up to it.
enum class entry_change : std::uint8_t {
    none,
    added,
    changed,
    leaving,
    lapsed,   ///< Removed after an outage of the store; dropped if it is not back in time.
    returned, ///< Back after it had lapsed.
    removed,
};

/// \brief Books that the store does not answer. Thread safety of all functions that change a registry: the
/// caller owns it.
void mark_store_unreachable(upstream_registry& registry) noexcept;

/// \brief Books that the store answers.
void mark_store_reachable(upstream_registry& registry, millis now) noexcept;

/// \brief Takes an upstream's entry. One of an earlier start under the same id changes nothing.
entry_change apply_entry(upstream_registry& registry, upstream entry);

/// \brief Books that an upstream has no entry any more. It is dropped at once, or, after an outage of the
/// store, when the entries of upstreams that live must be back.
entry_change apply_removal(upstream_registry& registry, std::string_view id, millis now);

/// \returns A digest that is equal for two registries that have taken the same records, whatever lapsed.
/// Thread safety: pure.
[[nodiscard]] std::uint64_t registry_digest(upstream_registry const& registry) noexcept;

/// \brief Drops the upstreams whose entries did not come back in time. \returns Whether any was dropped.
bool drop_lapsed(upstream_registry& registry, millis now);

/// \returns When `drop_lapsed` has something to do next; none if nothing lapsed. Thread safety: pure.
[[nodiscard]] std::optional<millis> next_drop_time(upstream_registry const& registry) noexcept;

} // namespace auburnchute
