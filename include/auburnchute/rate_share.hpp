#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>

#include <cstdint>
#include <map>
#include <span>

namespace auburnchute {

/// \brief A workspace's whole share in units; each unit carries refill rate and bucket capacity.
inline constexpr std::int64_t total_share_units = 1'000'000;

/// \brief Loans between this daemon and one peer, as counts that only rise, so that a repeated or lost
/// message neither makes nor doubles units.
struct loan_account {
    std::int64_t lent_{};          ///< Units lent to the peer in total.
    std::int64_t lent_returned_{}; ///< Units of those that the peer gave back.
    std::int64_t borrowed_{};      ///< Units borrowed from the peer in total, as last seen.
    std::int64_t returned_{};      ///< Units of those that this daemon gave back.
};

/// \brief This daemon's part of one workspace's token bucket.
///
/// `tokens_ + outstanding_` never exceeds the capacity of the units held, except after `set_base` lowered
/// them while requests were outstanding; then nothing refills until it fits again. Token counts are in
/// thousandths, so that small shares refill evenly.
struct rate_bucket {
    std::int64_t rate_{};       ///< The workspace's tokens per second, all VMs together.
    std::int64_t burst_{};      ///< The workspace's burst in tokens, all VMs together.
    std::uint64_t version_{};   ///< Share version of the loans; the pending one once it is prepared.
    std::int64_t base_units_{}; ///< Units assigned by the share version.
    std::int64_t lent_under_previous_version_{}; ///< Units lent under the version before a pending one.
    std::map<member_id, loan_account> loans_;
    std::int64_t tokens_{};           ///< Thousandths of a token, free to reserve.
    std::int64_t outstanding_{};      ///< Thousandths reserved and not yet produced.
    std::int64_t refill_remainder_{}; ///< Remainder of the refill's division.
    millis refilled_at_{};
};

/// \returns Units held now: base, less lent, plus borrowed. Thread safety: pure.
[[nodiscard]] std::int64_t units_held(rate_bucket const& bucket) noexcept;

/// \returns Capacity of the units held, in tokens. Thread safety: pure.
[[nodiscard]] std::int64_t capacity(rate_bucket const& bucket) noexcept;

/// \brief Adds the tokens earned since the last call. Thread safety of all functions that change a bucket:
/// the caller holds the bucket's lock.
void refill(rate_bucket& bucket, millis now) noexcept;

// All functions below that take the time refill first. A refill after tokens were produced or units moved
// would pay for the time in which the bucket was full, or pay the moved units at both ends.

/// \brief Takes tokens for a request. \pre `tokens` is not negative. \returns False, with nothing taken, if
/// too few are free.
[[nodiscard]] bool reserve(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept;

/// \brief Turns reserved tokens into used ones, as the stream produces them. \pre `tokens` is at most what is
/// left of the request's reservation; what exceeds all reservations is charged to later requests.
void produce(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept;

/// \brief Returns the reserved tokens that were not produced.
void release(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept;

/// \brief Units missing to admit a request at once. \returns 0 if none are missing or more than
/// `total_share_units` would be. \pre `refill` was called with the present time.
[[nodiscard]] std::int64_t units_missing(rate_bucket const& bucket, std::int64_t tokens) noexcept;

/// \returns Units that could be lent now: those whose capacity is filled with free tokens, less a reserve for
/// own demand. Heartbeats carry this. \pre `refill` was called with the present time. Thread safety: pure.
[[nodiscard]] std::int64_t idle_units(rate_bucket const& bucket) noexcept;

/// \brief A lender's answer: what it has lent to the borrower in total under a share version.
struct loan_grant {
    std::uint64_t version_{};
    std::int64_t total_lent_{};
    std::int64_t tokens_{}; ///< Thousandths that go with the newly lent units.
};

/// \brief What a borrower has given back to the lender in total under a share version.
struct loan_return {
    std::uint64_t version_{};
    std::int64_t total_returned_{};
    std::int64_t tokens_{}; ///< Thousandths that go with the newly returned units.
};

/// \brief Lends idle units and the tokens that they carry: lowers this daemon's capacity before anything is
/// answered. \returns The total lent to the borrower under this version. A request for 0 units asks for the
/// total again after a lost answer; one of another version gets a total of 0.
[[nodiscard]] loan_grant lend(rate_bucket& bucket, member_id const& borrower, std::uint64_t version,
                              std::int64_t units, millis now);

/// \brief Takes over what a lender granted. A grant of another version or an older total changes nothing;
/// tokens are taken only together with new units.
void receive_loan(rate_bucket& bucket, member_id const& lender, loan_grant const& grant, millis now);

/// \brief Gives back borrowed units that are idle, with their tokens. \returns The total given back to this
/// lender. With nothing idle the call repeats the last total, in case that message was lost.
[[nodiscard]] loan_return return_loan(rate_bucket& bucket, member_id const& lender, millis now) noexcept;

/// \brief Books a return of lent units. Another version or an older total changes nothing.
void receive_return(rate_bucket& bucket, member_id const& borrower, loan_return const& returned,
                    millis now) noexcept;

/// \brief Limits the bucket to the smaller of its old and new base while a share version is pending, and
/// forgets borrowed units. Units lent under the old version stay lent until the new one is in force.
///
/// Loans made from now on belong to the pending version and last when it comes into force, so that daemons
/// that have seen the pending version can still lend to each other while a log outage delays it. An older
/// version changes nothing.
void prepare_version(rate_bucket& bucket, std::uint64_t version, std::int64_t next_base_units,
                     millis now) noexcept;

/// \returns True if the bucket fits under its units, so that the pending version may be acknowledged.
[[nodiscard]] bool is_within_capacity(rate_bucket const& bucket) noexcept;

/// \brief Begins a share version that is in force: sets the base units and clears the loans of older
/// versions. An older version changes nothing.
void begin_version(rate_bucket& bucket, std::uint64_t version, std::int64_t base_units, millis now) noexcept;

/// \brief Changes the workspace's limits after a new table version; a lower burst takes effect at once.
void set_limits(rate_bucket& bucket, std::int64_t rate, std::int64_t burst, millis now) noexcept;

/// \brief Divides `total_share_units` among the holders; the remainder goes to the first ones.
/// \returns The units of the holder at `index`. \pre `index < holders`.
[[nodiscard]] std::int64_t base_units(std::size_t index, std::size_t holders) noexcept;

} // namespace auburnchute
