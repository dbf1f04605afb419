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

/// \brief Where the weights of a load come from.
enum class load_source : std::uint8_t { memory_cache, disk_cache, store };

/// \brief Why a member is known to have ended.
enum class gone_evidence : std::uint8_t { left, vm_absent, replaced };

struct member_joined {
    member_id member_;
    std::string availability_zone_;
    std::string http_;  ///< Address for callers, `ip:port`.
    std::string peer_;  ///< Address for other daemons, `ip:port`.
    std::string admin_; ///< Address for operators, `ip:port`.
    /// The offset to which the daemon had read the log when it joined. A join that was delayed in the log
    /// behind that of a newer incarnation, or behind the purge of its own entry, is recognised by it.
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

/// \brief One member's vote that another has not been heard from.
struct member_suspected {
    member_id voter_;
    member_id member_;

    friend bool operator==(member_suspected const&, member_suspected const&) = default;
};

/// \brief A member states that it keeps to the smaller of its old and new share.
struct share_ack {
    member_id member_;
    std::uint64_t version_{};

    friend bool operator==(share_ack const&, share_ack const&) = default;
};

struct tables_published {
    std::uint64_t base_version_{};
    tables tables_;
};

struct key_granted {
    std::string digest_;
    std::string workspace_;
    std::string name_; ///< What the operator calls the key.

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

/// \brief Decides one load. The order leaves only after this record was accepted.
struct load_decided {
    std::string replica_;
    std::string pool_;
    std::string model_;
    std::string adapter_; ///< Empty for the base model.
    std::string upstream_;
    std::int64_t memory_mb_{};
    load_source source_{load_source::store};
    member_id executor_;
    std::int64_t expected_count_{}; ///< Replicas of the model and adapter that the planner counted.

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

/// \brief States that the upstream no longer holds the replica and no order can load it again.
struct replica_released {
    std::string replica_;
    member_id by_;

    friend bool operator==(replica_released const&, replica_released const&) = default;
};

/// \brief Claims the single run of a call that may not be repeated.
struct claim_made {
    std::string key_; ///< Digest of workspace, route and idempotency key.
    std::string route_;
    std::string workspace_;
    std::string request_digest_; ///< A repeat with another body is an error of the caller.
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
    bool not_run_{};       ///< True if the call provably did not reach the service; the claim is freed.

    friend bool operator==(claim_outcome const&, claim_outcome const&) = default;
};

/// \brief An upstream died while this request ran on it.
struct crash_seen {
    std::string fingerprint_;
    std::string upstream_;
    std::string request_;
    bool isolated_{}; ///< No other suspect ran on the upstream.

    friend bool operator==(crash_seen const&, crash_seen const&) = default;
};

/// \brief A suspect finished without a crash.
struct crash_cleared {
    std::string fingerprint_;

    friend bool operator==(crash_cleared const&, crash_cleared const&) = default;
};

struct drain_set {
    std::string target_; ///< The name of an upstream or an entry VM.
    bool drained_{};

    friend bool operator==(drain_set const&, drain_set const&) = default;
};

/// \brief The whole fold up to and excluding `offset_`, for readers past the retention limit.
struct snapshot {
    std::uint64_t offset_{};
    std::shared_ptr<fleet_state const> state_;
};

/// \brief The payload of a record.
using record_body = std::variant<member_joined, member_leaving, member_gone, member_suspected, share_ack,
                                 tables_published, key_granted, key_withdrawn, upstream_seen, upstream_gone,
                                 load_decided, replica_loaded, load_failed, unload_decided, replica_released,
                                 claim_made, claim_outcome, crash_seen, crash_cleared, drain_set, snapshot>;

/// \brief A record with the identity by which a repeated append is folded once.
struct record {
    member_id writer_;
    std::uint64_t sequence_{}; ///< From 1, rising for each writer.
    record_body body_;
};

/// \returns The record's type as shown in logs, for example `load_decided`.
[[nodiscard]] std::string_view type_name(record_body const& body) noexcept;

} // namespace auburnchute
