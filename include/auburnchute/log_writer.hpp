#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/fleet_state.hpp>
#include <auburnchute/record.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace auburnchute {

/// \brief Upper bound of the append rate of all daemons together; the log service takes several hundred a
/// second.
inline constexpr std::int64_t max_appends_per_second = 250;

/// \brief Delay before a failed append is retried, so that an outage does not cause a retry at every append
/// interval.
inline constexpr millis append_retry_delay{250};

/// \brief Time after which an acknowledged batch that was not read back is appended again. Repetition is
/// safe, because records whose sequence number was already applied are ignored.
inline constexpr millis read_back_timeout{10'000};

/// \brief State of a daemon's group commit: records are queued, and one batch at a time is appended
/// repeatedly until it is read back from the log.
///
/// The transport appends what `start_batch` returns and reports the outcome to `complete_append` and the
/// records that it reads back to `confirm_read_back`.
struct log_writer {
    member_id self_;
    std::uint64_t next_sequence_{1};
    std::deque<record> queued_;
    std::vector<record> in_flight_; ///< The current batch: not yet read back from the log.
    bool append_running_{};         ///< An append call has not returned.
    millis last_append_{-3'600'000};
    millis retry_at_{};
    std::size_t max_batch_{256};
    std::size_t max_queued_{16'384};
};

/// \brief Queues a record. \returns Its sequence number; none if the queue is full. Thread safety: the caller
/// holds the lock of the writer.
[[nodiscard]] std::optional<std::uint64_t> submit(log_writer& writer, record_body body);

/// \brief Starts an append. \returns The batch to append now; empty if an append is running, no record is
/// waiting, or the append interval or the retry delay has not passed. A batch that was not read back is
/// returned again with the same sequence numbers. Thread safety: the caller holds the lock of the writer.
[[nodiscard]] std::vector<record> start_batch(log_writer& writer, std::size_t members, millis now);

/// \brief Records how the append ended. After an error the outcome is unknown, so the batch is appended again
/// unless it is read back first. Thread safety: the caller holds the lock of the writer.
void complete_append(log_writer& writer, bool acknowledged, millis now) noexcept;

/// \brief Removes a record of this writer that was read back, and all earlier ones, from the current batch:
/// the log has been applied beyond them. After a start from a snapshot, call it with this writer's highest
/// applied sequence number. \returns True if the record belonged to the current batch. Thread safety: the
/// caller holds the lock of the writer.
bool confirm_read_back(log_writer& writer, std::uint64_t sequence) noexcept;

/// \brief Removes the queued records that are in no batch yet, for a daemon whose authority has lapsed.
/// \returns Their sequence numbers. Thread safety: the caller holds the lock of the writer.
[[nodiscard]] std::vector<std::uint64_t> drop_unsent(log_writer& writer);

/// \returns The shortest time between two appends of one daemon, so that all members together stay within
/// `max_appends_per_second`. Thread safety: pure.
[[nodiscard]] millis append_interval(std::size_t members) noexcept;

} // namespace auburnchute
