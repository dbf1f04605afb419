#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>
#include <auburnchute/tables.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace auburnchute {

struct fleet_state;

/// \brief The source from which an upstream loads model weights.
enum class load_source : std::uint8_t { memory_cache, disk_cache, store };

/// \brief What shows that the process of a member has ended.
enum class gone_evidence : std::uint8_t {
    left,      ///< The member itself states that it has left.
    vm_absent, ///< The VM is no longer listed.
    replaced,  ///< A newer incarnation on the VM has joined. Only its join shows that; a `member_gone` is
               ///< rejected.
};

struct member_joined {
    member_id member_;
    std::string availability_zone_;
    std::string http_;  ///< Address for callers, `ip:port`.
    std::string peer_;  ///< Address for other daemons, `ip:port`.
    std::string admin_; ///< Address for operators, `ip:port`.
    /// Offset up to which the daemon had read the log when it wrote the join. It reveals a join that was
    /// appended after the join of a newer incarnation or after the purge of its own member entry; such a join
    /// is rejected.
    std::uint64_t read_to_{};

    friend bool operator==(member_joined const&, member_joined const&) = default;
};

struct member_leaving {
    member_id member_;

    friend bool operator==(member_leaving const&, member_leaving const&) = default;
};

struct member_gone {
    member_id member_;
    gone_evidence evidence_{gone_evidence::left};

    friend bool operator==(member_gone const&, member_gone const&) = default;
};

/// \brief The vote of one member to remove another, from which it no longer receives messages.
struct member_suspected {
    member_id voter_;
    member_id member_;

    friend bool operator==(member_suspected const&, member_suspected const&) = default;
};

/// \brief Acknowledges the pending share version: the member uses at most the smaller of its old and new
/// share.
struct share_ack {
    member_id member_;
    std::uint64_t version_{};

    friend bool operator==(share_ack const&, share_ack const&) = default;
};

struct tables_published {
    std::uint64_t base_version_{}; ///< The version that the operator edited; rejected unless in force.
    tables tables_;
};

struct key_granted {
    std::string digest_;
    std::string workspace_;
    std::string name_; ///< The operator's name for the key.

    friend bool operator==(key_granted const&, key_granted const&) = default;
};

struct key_withdrawn {
    std::string digest_;

    friend bool operator==(key_withdrawn const&, key_withdrawn const&) = default;
};

struct upstream_seen {
    std::string upstream_;
    std::string vm_instance_; ///< Changes when the VM is replaced.
    std::string address_;     ///< `ip:port`
    std::string availability_zone_;
    std::int64_t memory_mb_{};
    bool honours_fencing_{};
    bool checks_sender_{};

    friend bool operator==(upstream_seen const&, upstream_seen const&) = default;
};

struct upstream_gone {
    std::string upstream_;
    std::string vm_instance_;

    friend bool operator==(upstream_gone const&, upstream_gone const&) = default;
};

/// \brief Decides one load. The load order is sent only after this record was accepted.
struct load_decided {
    std::string replica_;
    std::string pool_;
    std::string model_;
    std::string adapter_; ///< Empty for the base model.
    std::string upstream_;
    std::int64_t memory_mb_{};
    load_source source_{load_source::store};
    member_id executor_;
    std::int64_t expected_count_{}; ///< Replica count on which the planner based the decision; rejected if
                                    ///< it has changed.

    friend bool operator==(load_decided const&, load_decided const&) = default;
};

struct replica_loaded {
    std::string replica_;
    bool order_ended_{}; ///< True if the executor knows that the order can no longer act.

    friend bool operator==(replica_loaded const&, replica_loaded const&) = default;
};

struct load_failed {
    std::string replica_;
    bool order_ended_{}; ///< True if the executor knows that the order can no longer act.

    friend bool operator==(load_failed const&, load_failed const&) = default;
};

struct unload_decided {
    std::string replica_;
    member_id executor_;

    friend bool operator==(unload_decided const&, unload_decided const&) = default;
};

/// \brief Ends an unload: the upstream no longer holds the replica and no order can load it again.
struct replica_released {
    std::string replica_;
    member_id by_;

    friend bool operator==(replica_released const&, replica_released const&) = default;
};

/// \brief Claims the execution of a request that must run at most once.
struct claim_made {
    std::string key_; ///< Digest of workspace, route and idempotency key.
    std::string route_;
    std::string workspace_;
    std::string request_digest_; ///< A repeat of the key with another request is an error of the caller.
    member_id daemon_;

    friend bool operator==(claim_made const&, claim_made const&) = default;
};

struct claim_outcome {
    std::string key_;
    member_id daemon_;
    int status_{};
    std::string content_type_;
    std::string body_;
    bool body_kept_{true}; ///< False if the body was above `max_outcome_body_bytes` and was left out.
    bool not_run_{};       ///< True if the request provably did not reach the service; the claim is freed.

    friend bool operator==(claim_outcome const&, claim_outcome const&) = default;
};

/// \brief Reports that an upstream crashed while it ran this request.
struct crash_seen {
    std::string fingerprint_;
    std::string upstream_;
    std::string request_;
    bool isolated_{}; ///< No other suspected request ran on the upstream.

    friend bool operator==(crash_seen const&, crash_seen const&) = default;
};

/// \brief Clears a suspected request that finished without a crash.
struct crash_cleared {
    std::string fingerprint_;

    friend bool operator==(crash_cleared const&, crash_cleared const&) = default;
};

/// \brief Starts or ends the draining of a target, which gets no new work while it is drained.
struct drain_set {
    std::string target_; ///< The name of an upstream or an entry VM.
    bool drained_{};

    friend bool operator==(drain_set const&, drain_set const&) = default;
};

/// \brief The state after all records before `offset_`, for readers whose next record the log no longer
/// retains.
struct snapshot {
    std::uint64_t offset_{};
    std::shared_ptr<fleet_state const> state_;
};

/// \brief The payload of a record.
using record_body = std::variant<member_joined, member_leaving, member_gone, member_suspected, share_ack,
                                 tables_published, key_granted, key_withdrawn, upstream_seen, upstream_gone,
                                 load_decided, replica_loaded, load_failed, unload_decided, replica_released,
                                 claim_made, claim_outcome, crash_seen, crash_cleared, drain_set, snapshot>;

/// \brief A record with the writer and sequence number by which a repeated append is applied once.
struct record {
    member_id writer_;
    std::uint64_t sequence_{}; ///< Starts at 1 and increases for each writer.
    record_body body_;
};

/// \returns The record's type as written in stored records and in logs, for example `load_decided`.
[[nodiscard]] std::string_view type_name(record_body const& body) noexcept;

} // namespace auburnchute
