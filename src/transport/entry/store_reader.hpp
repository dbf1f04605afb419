#pragma once

#include "platform/store_client.hpp"
#include "protocol/entry_settings.hpp"
#include "protocol/metrics.hpp"
#include "transport/entry/entry_view.hpp"
#include "transport/entry/plan_feed.hpp"

#include <auburnchute/entry_feed.hpp>
#include <auburnchute/upstream_registry.hpp>

#include <functional>
#include <map>
#include <set>

namespace auburnchute {

/// \brief What a VM wrote of a trait, which the store may lose.
struct written_evidence {
    std::optional<std::string> document_; ///< None: it deleted the record.
    millis written_at_{};
};

/// \brief Reads configuration, upstreams and members from the platform's store and publishes them.
///
/// Thread safety: lives on the control loop's thread; `changed_` is called there after each publication.
struct store_reader {
    net::io_context& loop_;
    entry_settings const& settings_;
    shared_view& shared_;
    metrics& counters_;
    std::uint64_t incarnation_{};
    std::function<void()> changed_{};
    /// Called when this VM learned that an upstream leaves or is gone, with the VMs that may not know it.
    std::function<void(message_targets)> leave_learned_{};
    entry_view draft_{};
    upstream_registry registry_{};
    std::uint64_t logged_era_{};                  ///< Of the store, as last logged.
    std::uint64_t told_era_{};                    ///< Newest era of the store that a peer told.
    std::optional<store_position> config_next_{}; ///< From which it is read next; none: all of it.
    bool config_unread_{};                        ///< The keys of the newest one could not be read.
    store_position config_hint_{};                ///< Largest end of it that peers told in the newest era.
    std::uint64_t told_config_version_{};         ///< Highest version that a peer has in force.
    std::optional<store_position>
        upstreams_next_{}; ///< From which entries are read next; none: none were read yet.
    std::optional<std::uint64_t> entries_era_{}; ///< Era of the store in which all entries were last read.
    bool reads_all_upstreams_{};       ///< Entries may have been missed, so the next read takes all of them.
    entry_log log_{};                  ///< Their latest changes, for the peers.
    told_offset told_{};               ///< What peers told since the last read of all.
    std::optional<end_claim> doubt_{}; ///< Contradicts it; the next read of all decides.
    std::map<std::string, millis>
        distrusted_{};           ///< Peers, and until when they are not heeded on the entries.
    bool store_reachable_{true}; ///< As of the last call; a change is logged.
    std::function<void(std::vector<trait_record>)>
        evidence_read_{}; ///< Called once with the crash evidence that the store holds.
    std::map<trait_hash, std::optional<std::string>> evidence_due_{}; ///< Records to write; none: to delete.
    std::set<trait_hash> evidence_written_{}; ///< Records that this VM wrote and the store may hold.
    std::map<trait_hash, written_evidence>
        evidence_lately_{}; ///< What it wrote in the time of `oldest_copy`.
    plan_feed plans_{};
    std::function<void()> plans_changed_{}; ///< Called when this VM has stored a plan.
};

/// \brief Starts reading until the loop stops. \pre `reader` outlives the loop's work.
void start_reading(store_reader& reader);

/// \brief Takes over what a peer's message says of the upstreams' entries. Thread safety, also of the two
/// functions below: the control loop's thread.
void take_report(store_reader& reader, entry_report const& report);

/// \brief Takes over that an upstream's process said in an answer to this VM that it leaves.
void take_leave(store_reader& reader, leave_notice const& notice);

/// \brief Reads all entries anew: a record was missed.
void reread_upstreams(store_reader& reader);

/// \brief Writes the record of a trait to the store, or deletes it there if there is none, as soon as the
/// store can be reached. Thread safety: the control loop's thread.
void keep_evidence(store_reader& reader, trait_hash trait, std::optional<trait_record> const& record);

/// \brief Puts the present draft before the thread that serves requests.
void publish(store_reader& reader);

} // namespace auburnchute
