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

/// \brief How long a claim protects its idempotency key, by the log's timestamps.
inline constexpr millis claim_lifetime{24 * 60 * 60 * 1000};

/// \brief How long members that are gone, and VM instances that were replaced, are remembered by the log's
/// timestamps. Nothing that waits for them, such as a lagging VM list, takes that long.
inline constexpr millis gone_retention{24 * 60 * 60 * 1000};

/// \brief Bodies above this size are not stored for replay.
inline constexpr std::size_t max_outcome_body_bytes = 16 * 1024;

enum class member_status : std::uint8_t { live, leaving, gone };

struct member_entry {
    std::string availability_zone_;
    std::string http_;
    std::string peer_;
    std::string admin_;
    member_status status_{member_status::live};
    bool by_suspicion_{};        ///< Gone by votes: its share is usable only after `removal_grace_period`.
    std::set<member_id> voters_; ///< Members of the share version in force that suspect it.
    std::uint64_t joined_at_{};  ///< Offset of its `member_joined`.
    millis gone_at_{};           ///< The log's timestamp at which it became gone.

    friend bool operator==(member_entry const&, member_entry const&) = default;
};

/// \brief The set of members among which each workspace's rate and burst are divided.
struct share_version {
    std::uint64_t number_{}; ///< 0: none.
    std::vector<member_id> members_;
    bool after_suspicion_{}; ///< A former member was removed by votes: wait `removal_grace_period` before
                             ///< using more.

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
    bool load_order_ended_{}; ///< The executor reported the end of its load order.
    bool was_loaded_{};       ///< The transfer to the present VM instance has ended.
    std::uint64_t fencing_{}; ///< Offset of the deciding record.
    std::uint64_t version_{}; ///< Version of the tables under which it was decided.
    millis decided_at_{};     ///< The log's timestamp.

    friend bool operator==(replica_entry const&, replica_entry const&) = default;
};

struct claim_entry {
    std::string route_;
    std::string workspace_;
    std::string request_digest_;
    member_id daemon_;
    millis made_at_{}; ///< The log's timestamp.
    bool finished_{};
    int status_{};
    std::string content_type_;
    std::string body_;
    bool body_kept_{true};

    friend bool operator==(claim_entry const&, claim_entry const&) = default;
};

struct crash_entry {
    std::int64_t crashes_{};
    bool confirmed_{}; ///< Crashed an upstream during an isolated run.
    std::set<std::string> upstreams_;
    millis last_{};

    friend bool operator==(crash_entry const&, crash_entry const&) = default;
};

/// \brief The fold of the log: equal on all daemons that have read to the same offset.
struct fleet_state {
    std::uint64_t next_offset_{}; ///< First offset not yet folded.
    millis log_time_{};           ///< Latest timestamp of a folded record.
    std::shared_ptr<tables const> tables_{std::make_shared<tables const>()};
    std::map<std::string, key_entry> keys_; ///< By digest.
    std::set<std::string> withdrawn_keys_;
    std::map<member_id, member_entry> members_;
    share_version in_force_;
    share_version pending_;
    std::set<member_id> acks_; ///< Acks for `pending_`.
    std::map<std::string, upstream_entry> upstreams_;
    std::set<std::string> drained_; ///< Upstreams and entry VMs that get no new work.
    std::map<std::string, replica_entry> replicas_;
    std::map<std::string, claim_entry> claims_;
    std::map<std::string, crash_entry> crashes_;
    std::map<member_id, std::uint64_t> sequences_; ///< Highest folded sequence of each member.
    std::uint64_t purged_to_{}; ///< A join by a daemon that had not read up to here may be a repeat by a
                                ///< member that was purged.
    std::map<std::string, millis> retired_instances_; ///< VM instances replaced or gone, until purged.
    std::uint64_t accepted_{};
    std::uint64_t rejected_{};
    std::uint64_t repeated_{};

    /// Compares the tables by address; see `same_state`.
    friend bool operator==(fleet_state const&, fleet_state const&) = default;
};

/// \brief The verdict on one record.
enum class verdict : std::uint8_t { accepted, rejected, repeated };

struct apply_result {
    verdict verdict_{verdict::accepted};
    std::string reason_; ///< For `rejected`: why, in words that an operator can read.
};

/// \brief Folds one record. Deterministic: depends on nothing but its arguments.
/// \pre Offsets come without gaps. The records of a batch have the same offset; a record of an earlier batch
/// is ignored.
/// \returns The verdict; a rejected or repeated record changes only offset, time, counters and, if the writer
/// is a member, its sequence.
/// Thread safety: the caller owns `state`.
apply_result apply(fleet_state& state, record const& rec, std::uint64_t offset, millis log_time);

/// \brief Starts a fold from a snapshot; the records from its offset on follow.
/// \throws error with step `restore` if the snapshot has no state or the state is of another offset.
/// Thread safety: pure.
[[nodiscard]] fleet_state restore(snapshot const& from);

/// \returns True if both folds are equal; tables are compared by content. Thread safety: pure.
[[nodiscard]] bool same_state(fleet_state const& a, fleet_state const& b);

/// \returns Memory reserved on an upstream in MB, including loads in flight and unloads not yet released.
[[nodiscard]] std::int64_t reserved_memory_mb(fleet_state const& state, std::string_view upstream) noexcept;

/// \returns Memory reserved on an upstream by one pool in MB.
[[nodiscard]] std::int64_t reserved_memory_mb(fleet_state const& state, std::string_view upstream,
                                              std::string_view pool) noexcept;

/// \returns Replicas of a model (and adapter) in a pool that count against its maximum, whatever their
/// status.
[[nodiscard]] std::int64_t replica_count(fleet_state const& state, std::string_view pool,
                                         std::string_view model, std::string_view adapter) noexcept;

/// \returns Loads from the store in flight; adapters and checkpoints are counted apart.
[[nodiscard]] std::int64_t transfers_in_flight(fleet_state const& state, bool adapters) noexcept;

/// \returns The live members, in order. Thread safety of all these: pure.
[[nodiscard]] std::vector<member_id> live_members(fleet_state const& state);

/// \returns True if the member is known and gone.
[[nodiscard]] bool is_gone(fleet_state const& state, member_id const& member) noexcept;

} // namespace auburnchute
