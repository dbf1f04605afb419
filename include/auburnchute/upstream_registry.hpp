#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/store_position.hpp>
#include <auburnchute/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief How long an upstream without an entry is still used after an outage of the store. Entries expire
/// during the outage; live upstreams write theirs again within two seconds after it.
inline constexpr millis lapsed_entry_grace{2'200};

/// \brief How long VMs tell each other of a leave; its upstream's entry has followed by then.
inline constexpr millis leave_notice_lifetime{60'000};

/// \brief A process of an upstream that leaves, by its entry or by its own answers. Holds until a later start
/// under the same id.
struct leave_notice {
    std::string id_;
    std::int64_t started_at_{}; ///< Of the process; earlier ones have left, too.
    millis noticed_at_{};       ///< When a VM first learned of it; boot clock.

    friend bool operator==(leave_notice const&, leave_notice const&) = default;
};

/// \brief The newest record applied for an id. That of a removed entry is kept for a while, so that a message
/// which is older than the removal does not bring the entry back.
struct applied_record {
    store_position position_;
    millis removed_at_{};          ///< 0: the entry is there.
    std::int64_t removed_start_{}; ///< Start of the process whose entry was removed; 0: none was known.
};

/// \brief The known upstreams by their entries in the store. Outages of the store do not remove them.
struct upstream_registry {
    upstream_map entries_; ///< As the store has them; `usable_entries` adds the notices.
    std::map<std::string, leave_notice, std::less<>> leaves_;    ///< By id.
    std::map<std::string, applied_record, std::less<>> applied_; ///< By id.
    std::map<std::string, millis, std::less<>> lapsed_; ///< Upstreams without an entry, and when they are
                                                        ///< dropped.
    bool store_unreachable_{};                          ///< The store does not answer.
    millis store_recovered_at_{}; ///< End of the store's last outage; 0 if there was none.
    /// Where the topic ended when it was first read in the store's present era: records before may be older
    /// than what was known.
    store_position copy_end_{};
};

/// \brief Effect of a record of the store on the registry. All but `none` must be forwarded to the other VMs;
/// a record with effect `none` adds nothing to what a VM knows that has all records before it.
enum class entry_change : std::uint8_t {
    none, ///< Also for a record that is older than one applied before.
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

/// \brief Records that the store came back from an older copy, which ends at this position. What lapses soon
/// after it may return, as after an outage.
void mark_store_returned(upstream_registry& registry, store_position copy_end, millis now) noexcept;

/// \brief Adds or updates an upstream's entry. An entry of an earlier start under the same id is ignored, and
/// so is one from the store's copy whose process was known to be gone. One that leaves is noticed.
/// \param position Of the record in the store's topic.
entry_change apply_entry(upstream_registry& registry, upstream entry, store_position position, millis now);

/// \brief Processes that the store has no entry of the upstream after its return from an older copy: the
/// upstream is dropped unless its entry comes back in time, as after an outage.
/// \returns `lapsed`, or `none` if there is no such entry.
entry_change lapse_entry(upstream_registry& registry, std::string_view id, millis now);

/// \brief Processes the removal of an upstream's entry. The upstream is dropped at once, or, if the removal
/// falls into or soon after an outage of the store, once live upstreams must have written their entries
/// again. \param position Of the record in the store's topic.
entry_change apply_removal(upstream_registry& registry, std::string_view id, store_position position,
                           millis now);

/// \brief Takes over that a process of an upstream leaves. \returns Whether it was not known to.
bool note_leave(upstream_registry& registry, leave_notice const& notice);

/// \returns The entries, those of noticed processes marked as leaving. Thread safety: pure.
[[nodiscard]] upstream_map usable_entries(upstream_registry const& registry);

/// \returns The notices that are told to other VMs, newest first and at most `max_told_leaves`. Thread
/// safety: pure.
[[nodiscard]] std::vector<leave_notice> told_leaves(upstream_registry const& registry, millis now);

/// \brief Most notices in a message.
inline constexpr std::size_t max_told_leaves = 256;

/// \returns A digest of the notices that does not depend on their order or age. Thread safety: pure.
[[nodiscard]] std::uint64_t leaves_digest(std::vector<leave_notice> const& notices) noexcept;

/// \brief Forgets notices and removals that no message can contradict any more.
void expire_notices(upstream_registry& registry, millis now);

/// \returns A digest that is equal for two registries that have applied the same records; lapsed entries do
/// not count. Thread safety: pure.
[[nodiscard]] std::uint64_t registry_digest(upstream_registry const& registry) noexcept;

/// \brief Drops the lapsed upstreams whose entries have not returned in time. \returns Whether any was
/// dropped.
bool drop_lapsed(upstream_registry& registry, millis now);

/// \returns When `drop_lapsed` is due next; none if no entry has lapsed. Thread safety: pure.
[[nodiscard]] std::optional<millis> next_drop_time(upstream_registry const& registry) noexcept;

} // namespace auburnchute
