#pragma once

#include <auburnchute/fleet_exchange.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \file How all entry VMs learn of changes of the upstreams' entries in time.
///
/// A few VMs read the store for all; one of them tells the changes, the others read on. Every message says up
/// to which offset its sender has the entries and how long ago it knew that there was nothing newer. A VM
/// whose own knowledge is older than `leave_budget::proof_limit_` reads the store itself. So a VM that gets
/// messages, but only old knowledge, does not take them for a sign that nothing changed.

/// \brief How the time within which a leave must be in force is divided.
///
/// A VM that reads for all knows a leave after `read_interval_` and a call. A VM that is told knows it after
/// two more messages on each hop of the exchange. One that is told nothing new reads after `proof_limit_` and
/// `look_interval`. What remains of the time is for that read, and for sending a request that was chosen
/// just before. There is no time to find that a kept connection fell silent, so that read opens a new one:
/// only VMs that read every `read_interval_` use a connection again, and only if `kept_connection_limit`
/// fits.
struct leave_budget {
    millis read_interval_{};
    millis proof_limit_{};
    millis longest_idle_{}; ///< A connection to the store that was idle for longer is replaced.
};

/// \brief Longest time for an answer on a kept connection before a new one is tried: a connection can fall
/// silent for good without a reset, and services answer within milliseconds, within 0.2 s on slow days.
inline constexpr millis kept_connection_limit{700};

/// \brief Time between looks at whether a VM that is told must read itself.
inline constexpr millis look_interval{100};

/// \returns The division. Thread safety: pure, as all functions of this file that take constant objects.
[[nodiscard]] leave_budget leave_budget_of(millis leave_in_force) noexcept;

/// \brief A change of an entry, and when this VM learned of it.
struct logged_update {
    millis learned_at_{};
    upstream_entry_update update_;
};

/// \brief The latest changes of the entries, for VMs that lack them.
struct entry_log {
    std::uint64_t era_{};  ///< Era of the store in which all its offsets are stated.
    std::uint64_t from_{}; ///< Offset from which on no change is missing.
    std::uint64_t to_{};   ///< Offset up to which this VM has the entries; 0: it has not read them.
    std::deque<logged_update> updates_;
};

/// \brief Changes for one VM.
struct entry_updates {
    /// Offsets between which no change is missing; there may be removals after them.
    std::uint64_t from_{};
    std::uint64_t to_{};
    std::vector<upstream_entry_update> changes_;
};

/// \brief The offset up to which peers told this VM the entries since it last read all of them itself.
struct told_offset {
    std::string vm_; ///< That told the latest step; empty: none did.
    std::uint64_t to_{};
    millis at_{}; ///< When it did; boot clock.

    friend bool operator==(told_offset const&, told_offset const&) = default;
};

/// \brief What a peer says of the entries' end.
struct end_claim {
    std::string vm_;
    std::uint64_t seen_{};             ///< Offset up to which it has the entries.
    std::optional<millis> proof_at_{}; ///< When there was nothing after it; a lower bound in the boot clock.
};

/// \returns Whether one of the two is wrong: entries were told before the proof, and are not in it.
[[nodiscard]] bool contradicts(end_claim const& claim, told_offset const& told) noexcept;

/// \returns The VMs whose word does not hold or may not, given where the entries ended when all of them were
/// read later. \param claim The one that contradicted, if any did.
[[nodiscard]] std::vector<std::string> doubtful_vms(std::optional<end_claim> const& claim,
                                                    told_offset const& told, std::uint64_t end);

/// \returns The offset up to which the sender of a message has the entries in an era of the store; 0: it has
/// not read them in that era.
[[nodiscard]] std::uint64_t seen_news_in(std::uint64_t era, fleet_message const& message) noexcept;

/// \brief How long a VM whose word did not hold is not heeded on the entries: long enough that reading all of
/// them again costs next to nothing.
inline constexpr millis distrust_time{60'000};

/// \brief Appends the changes between two offsets. Changes that are too old or too many to keep are dropped.
void append_updates(entry_log& log, std::uint64_t from, std::uint64_t to,
                    std::vector<upstream_entry_update> changes, millis now);

/// \returns The changes after an offset that fit into a message, the oldest first, and as many of the
/// removals after them as fit, since these are short and must be in force in time.
[[nodiscard]] entry_updates updates_after(entry_log const& log, std::uint64_t offset);

/// \brief What a VM does for all others.
struct reader_duty {
    bool reads_for_all_{}; ///< It is among the few that read the store.
    bool defers_{};        ///< A ready peer comes before it; see `is_preferred_over`.
};

/// \returns The duty as of the live members.
[[nodiscard]] reader_duty reader_duty_of(fleet_exchange const& exchange, relay_candidate const& own);

/// \returns Whether this VM tells changes at once: no VM with current knowledge that comes before it does. If
/// those that read for all lose the store, VMs that had to read themselves tell what they read.
[[nodiscard]] bool tells_updates(fleet_exchange const& exchange, relay_candidate const& own,
                                 leave_budget const& budget, millis now);

/// \returns Whether a message to the target carries changes. \param tells As of `tells_updates`. Other VMs
/// tell only what the target still lacks after two rounds.
[[nodiscard]] bool carries_updates(fleet_exchange const& exchange, entry_log const& log,
                                   message_target const& target, bool tells, millis now);

} // namespace auburnchute
