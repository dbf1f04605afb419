#pragma once

#include <auburnchute/record.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief How long a claim protects its idempotency key, and how long crash evidence is kept after the last
/// crash, both in log time.
inline constexpr millis claim_lifetime{24 * 60 * 60 * 1000};

/// \brief How long, in log time, members that are gone and VM instances that are gone or were replaced are
/// remembered. It exceeds every delay after which a daemon may still name them, such as that of a stale VM
/// list.
inline constexpr millis gone_retention{24 * 60 * 60 * 1000};

/// \brief Response bodies above this size are not stored for replay to repeated requests.
inline constexpr std::size_t max_outcome_body_bytes = 16 * 1024;

enum class member_status : std::uint8_t { live, leaving, gone };

struct member_entry {
    std::string availability_zone_;
    std::string http_;
    std::string peer_;
    std::string admin_;
    member_status status_{member_status::live};
    bool by_suspicion_{};        ///< Removed by votes: its process may still run and use its share.
    std::set<member_id> voters_; ///< Members that voted for its removal.
    std::uint64_t joined_at_{};  ///< Offset of its `member_joined` record.
    millis gone_at_{};           ///< Log time at which it became gone.

    friend bool operator==(member_entry const&, member_entry const&) = default;
};

/// \brief The set of members among which each workspace's rate and burst are divided.
struct share_version {
    std::uint64_t number_{}; ///< Rises by one with each version; 0 if there is none.
    std::vector<member_id> members_;
    bool after_suspicion_{}; ///< A member removed by votes may still use its earlier share, so the others
                             ///< begin this version `removal_grace_period` after it came into force.

    friend bool operator==(share_version const&, share_version const&) = default;
};

struct key_entry {
    std::string workspace_;
    std::string name_;

    friend bool operator==(key_entry const&, key_entry const&) = default;
};

struct upstream_entry {
    std::string vm_instance_;
    std::string address_;
    std::string availability_zone_;
    std::int64_t memory_mb_{};
    bool honours_fencing_{};
    bool checks_sender_{};

    friend bool operator==(upstream_entry const&, upstream_entry const&) = default;
};

enum class replica_status : std::uint8_t { loading, loaded, failed, unloading };

struct replica_entry {
    std::string pool_;
    std::string model_;
    std::string adapter_;
    std::string upstream_;
    std::int64_t memory_mb_{};
    load_source source_{load_source::store};
    member_id executor_;
    member_id unload_executor_;
    replica_status status_{replica_status::loading};
    bool load_order_ended_{}; ///< The executor reported that its load order can no longer act.
    bool was_loaded_{};       ///< The load on the current VM instance has completed.
    std::uint64_t fencing_{}; ///< Fencing number of the load order: offset of the `load_decided` record.
    std::uint64_t version_{}; ///< Version of the tables under which the load was decided.
    millis decided_at_{};     ///< Log time of the `load_decided` record.

    friend bool operator==(replica_entry const&, replica_entry const&) = default;
};

struct claim_entry {
    std::string route_;
    std::string workspace_;
    std::string request_digest_;
    member_id daemon_;
    millis made_at_{}; ///< Log time of the `claim_made` record.
    bool finished_{};
    int status_{};
    std::string content_type_;
    std::string body_;
    bool body_kept_{true};

    friend bool operator==(claim_entry const&, claim_entry const&) = default;
};

struct crash_entry {
    std::int64_t crashes_{};
    bool confirmed_{}; ///< The request crashed an upstream during an isolated run.
    std::set<std::string> upstreams_;
    millis last_{}; ///< Log time of the last crash.

    friend bool operator==(crash_entry const&, crash_entry const&) = default;
};

/// \brief The replicated state of the fleet, built by applying the records of the log in order. It is equal
/// on all daemons that have applied the log up to the same offset.
struct fleet_state {
    std::uint64_t next_offset_{}; ///< Offset after the last one that was applied.
    millis log_time_{};           ///< Log time: the latest timestamp of an applied log entry.
    std::shared_ptr<tables const> tables_{std::make_shared<tables const>()};
    std::map<std::string, key_entry> keys_; ///< By digest.
    std::set<std::string> withdrawn_keys_;
    std::map<member_id, member_entry> members_;
    share_version in_force_;
    share_version pending_;
    std::set<member_id> acks_; ///< Members that acknowledged `pending_`.
    std::map<std::string, upstream_entry> upstreams_;
    std::set<std::string> drained_; ///< Upstreams and entry VMs that are assigned no new work.
    std::map<std::string, replica_entry> replicas_;
    std::map<std::string, claim_entry> claims_;
    std::map<std::string, crash_entry> crashes_;
    std::map<member_id, std::uint64_t> sequences_; ///< Highest applied sequence of each member.
    std::uint64_t purged_to_{}; ///< Offset after the last join of a purged member. A join is rejected if its
                                ///< writer had not read the log up to here: it may repeat a purged one.
    std::map<std::string, millis> retired_instances_; ///< Log time at which a VM instance was replaced
                                                      ///< or gone, by upstream and instance.
    std::uint64_t accepted_{};
    std::uint64_t rejected_{};
    std::uint64_t repeated_{};

    /// Compares the tables by address; `same_state` compares them by content.
    friend bool operator==(fleet_state const&, fleet_state const&) = default;
};

/// \brief The result for one record: it was applied, it broke a condition, or it had been applied before.
enum class verdict : std::uint8_t { accepted, rejected, repeated };

struct apply_result {
    verdict verdict_{verdict::accepted};
    std::string reason_; ///< For `rejected` and `repeated`: the reason, in words for operators.
};

/// \brief Applies one record to the state. Deterministic: the result depends only on the arguments.
/// \param offset The offset of the record's batch in the log; all records of a batch have the same one.
/// \param log_time The log's timestamp of the batch.
/// \pre The offsets of successive batches have no gaps. A record with an offset before that of the last
/// applied batch is ignored.
/// \returns The verdict. A rejected or repeated record changes at most the offset, the log time, the counters
/// and, if its writer is a member, the writer's sequence.
/// Thread safety: the caller owns `state`.
apply_result apply(fleet_state& state, record const& rec, std::uint64_t offset, millis log_time);

/// \brief Returns the state that a snapshot contains; the records to apply next begin at the snapshot's
/// offset.
/// \throws error with step `restore` if the snapshot has no state or its state ends at another offset.
/// Thread safety: pure.
[[nodiscard]] fleet_state restore(snapshot const& from);

/// \returns True if both states are equal; tables are compared by content. Thread safety: pure.
[[nodiscard]] bool same_state(fleet_state const& a, fleet_state const& b);

/// \returns Memory in MB that replicas reserve on an upstream, whatever their status: a load reserves it when
/// it is decided, an unload frees it when it is released.
[[nodiscard]] std::int64_t reserved_memory_mb(fleet_state const& state, std::string_view upstream) noexcept;

/// \returns Memory in MB that the replicas of one pool reserve on an upstream, whatever their status.
[[nodiscard]] std::int64_t reserved_memory_mb(fleet_state const& state, std::string_view upstream,
                                              std::string_view pool) noexcept;

/// \returns Number of replicas of a model in a pool, whatever their status; with an adapter, those of the
/// adapter, otherwise those of the base model. `max_replicas` bounds it.
[[nodiscard]] std::int64_t replica_count(fleet_state const& state, std::string_view pool,
                                         std::string_view model, std::string_view adapter) noexcept;

/// \returns Number of transfers from the weight store that may be running: those of adapters if `adapters`,
/// otherwise those of checkpoints.
[[nodiscard]] std::int64_t transfers_in_flight(fleet_state const& state, bool adapters) noexcept;

/// \returns The live members, in ascending order. Thread safety of the queries from `reserved_memory_mb` to
/// `is_gone`: pure.
[[nodiscard]] std::vector<member_id> live_members(fleet_state const& state);

/// \returns True if the member is known and gone.
[[nodiscard]] bool is_gone(fleet_state const& state, member_id const& member) noexcept;

} // namespace auburnchute
