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

/// \brief Bodies above this size are not stored for replay.
inline constexpr std::size_t max_outcome_body = 16 * 1024;

enum class member_status : std::uint8_t { live, leaving, gone };

struct member_entry {
    std::string availability_zone_;
    std::string http_;
    std::string peer_;
    std::string admin_;
    member_status status_{member_status::live};
    bool by_suspicion_{};        ///< Gone by votes: its share is usable only after `suspicion_grace`.
    std::set<member_id> voters_; ///< Members of the share version in force that suspect it.
};

/// \brief The set of members among which each workspace's rate and burst are divided.
struct share_version {
    std::uint64_t number_{}; ///< 0: none.
    std::vector<member_id> members_;
    bool after_suspicion_{}; ///< A former member was removed by votes: wait `suspicion_grace` before using
                             ///< more.
};

struct key_entry {
    std::string workspace_;
    std::string name_;
};

struct upstream_entry {
    std::string vm_instance_;
    std::string address_;
    std::string availability_zone_;
    std::int64_t memory_mb_{};
    bool honours_fencing_{};
    bool checks_sender_{};
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
    std::uint64_t fencing_{}; ///< Offset of the deciding record.
    std::uint64_t version_{}; ///< Version of the tables under which it was decided.
    millis decided_at_{};     ///< The log's timestamp.
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
};

struct crash_entry {
    std::int64_t crashes_{};
    bool confirmed_{}; ///< Crashed an upstream during an isolated run.
    std::set<std::string> upstreams_;
    millis last_{};
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
    std::map<member_id, std::uint64_t> sequences_; ///< Highest folded sequence of each writer.
    std::uint64_t accepted_{};
    std::uint64_t rejected_{};
    std::uint64_t repeated_{};
};

/// \brief The verdict on one record.
enum class verdict : std::uint8_t { accepted, rejected, repeated };

struct apply_result {
    verdict verdict_{verdict::accepted};
    std::string reason_; ///< For `rejected`: why, in words that an operator can read.
};

/// \brief Folds one record. Deterministic: depends on nothing but its arguments.
/// \pre `offset` is not below `state.next_offset_`; a gap is allowed only for a snapshot.
/// \returns The verdict; a rejected or repeated record changes only offset, time and counters.
/// Thread safety: the caller owns `state`.
apply_result apply(fleet_state& state, record const& rec, std::uint64_t offset, millis log_time);

/// \returns Memory reserved on an upstream in MB, including loads in flight and unloads not yet released.
[[nodiscard]] std::int64_t reserved_memory(fleet_state const& state, std::string_view upstream) noexcept;

/// \returns Memory reserved on an upstream by one pool in MB.
[[nodiscard]] std::int64_t reserved_memory(fleet_state const& state, std::string_view upstream,
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
