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

/// \brief Appends a second that all daemons together may make; the log takes several hundred.
inline constexpr std::int64_t max_appends_per_second = 250;

/// \brief How long the writer waits after a failed append, so that an outage does not cause a retry at every
/// interval.
inline constexpr millis append_retry_delay{250};

/// \brief How long an acknowledged batch may stay unread before it is sent again. Repeating it is harmless.
inline constexpr millis read_back_timeout{10'000};

/// \brief Group commit: queues records, forms one batch at a time and repeats it until it is read back.
///
/// Plain data; the transport sends what `start_batch` returns and reports what it reads.
struct log_writer {
    member_id self_;
    std::uint64_t next_sequence_{1};
    std::deque<record> queued_;
    std::vector<record> in_flight_; ///< Sent, not yet read back.
    bool append_running_{};         ///< An append call has not returned.
    millis last_append_{-3'600'000};
    millis retry_at_{};
    std::size_t max_batch_{256};
    std::size_t max_queued_{16'384};
};

/// \brief Queues a record. \returns Its sequence number; none if the queue is full. Thread safety of all
/// functions on a writer: the caller holds its lock.
[[nodiscard]] std::optional<std::uint64_t> submit(log_writer& writer, record_body body);

/// \brief Forms the batch to append now. \returns Empty if a call runs, nothing waits, or the pace for this
/// number of members does not allow it yet. The same batch, with the same sequences, comes again after a
/// failed or unanswered call.
[[nodiscard]] std::vector<record> start_batch(log_writer& writer, std::size_t members, millis now);

/// \brief Reports how the append call ended; an error leaves the outcome unknown, and the batch is sent
/// again.
void complete_append(log_writer& writer, bool acknowledged, millis now) noexcept;

/// \brief Reports an own record that was read back. Earlier records of the batch are dropped as well: the
/// fold has passed them. After a start from a snapshot, call it with the highest folded sequence of this
/// writer. \returns True if it belonged to the batch in flight.
bool confirm_read_back(log_writer& writer, std::uint64_t sequence) noexcept;

/// \brief Drops queued records that were never sent, when the daemon's authority lapsed. \returns Their
/// sequences.
[[nodiscard]] std::vector<std::uint64_t> drop_unsent(log_writer& writer);

/// \returns The pace between appends of one daemon. Thread safety: pure.
[[nodiscard]] millis append_interval(std::size_t members) noexcept;

} // namespace auburnchute
