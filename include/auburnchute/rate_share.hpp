#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>

#include <cstdint>
#include <map>
#include <span>

namespace auburnchute {

/// \brief Share units of one workspace over all daemons; each carries an equal part of the workspace's refill
/// rate and bucket capacity.
inline constexpr std::int64_t total_share_units = 1'000'000;

/// \brief Share units lent between this daemon and one peer, as cumulative counters: a repeated or lost
/// message neither creates nor duplicates units.
struct loan_account {
    std::int64_t lent_{};          ///< Units lent to the peer in total.
    std::int64_t lent_returned_{}; ///< Of the lent units, those that the peer returned.
    std::int64_t borrowed_{};      ///< Units borrowed from the peer in total, by its last grant.
    std::int64_t returned_{};      ///< Of the borrowed units, those that this daemon returned.
};

/// \brief One daemon's share of a workspace's token bucket, sized by the share units that it holds.
///
/// `tokens_ + outstanding_` never exceeds the capacity of the units held, except after `prepare_version`,
/// `begin_version` or `set_limits` lowered that capacity while tokens were reserved; the bucket does not
/// refill until the sum is within capacity again. Levels are in thousandths of a token, so that small shares
/// refill evenly.
struct rate_bucket {
    std::int64_t rate_{};       ///< The workspace's tokens per second over all daemons.
    std::int64_t burst_{};      ///< The workspace's burst in tokens over all daemons.
    std::uint64_t version_{};   ///< Share version of `loans_`; the pending one once it is prepared.
    std::int64_t base_units_{}; ///< Units assigned by the share version.
    std::int64_t lent_under_previous_version_{}; ///< Units still lent when the pending version was prepared.
    std::map<member_id, loan_account> loans_;
    std::int64_t tokens_{};           ///< Thousandths of a token free to reserve; negative after overuse.
    std::int64_t outstanding_{};      ///< Thousandths of a token reserved and not yet produced.
    std::int64_t refill_remainder_{}; ///< Remainder of the last refill's division by `total_share_units`.
    millis refilled_at_{};
};

/// \returns Share units held now: base, less lent, plus borrowed. Thread safety: pure.
[[nodiscard]] std::int64_t units_held(rate_bucket const& bucket) noexcept;

/// \returns Capacity of the units held, in tokens. Thread safety: pure.
[[nodiscard]] std::int64_t capacity(rate_bucket const& bucket) noexcept;

/// \brief Adds the tokens earned since the last call. Thread safety of all functions that change a bucket:
/// the caller holds the bucket's lock.
void refill(rate_bucket& bucket, millis now) noexcept;

// Each function below that takes the time refills first. A refill after tokens were produced would credit the
// time in which the bucket was full; one after units moved would credit them to lender and borrower.

/// \brief Reserves tokens for a request. \pre `tokens` is not negative. \returns False, with nothing
/// reserved, if too few are free.
[[nodiscard]] bool reserve(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept;

/// \brief Turns reserved tokens into used ones, as the response stream produces them. \pre `tokens` is at
/// most what is left of the request's reservation; any excess over all reservations is charged to later
/// requests.
void produce(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept;

/// \brief Frees the reserved tokens of a request that were not produced.
void release(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept;

/// \returns Share units to borrow so that a request of these tokens is admitted now; 0 if none are needed, or
/// if more than `total_share_units` would be. \pre `refill` was called with the present time.
[[nodiscard]] std::int64_t units_missing(rate_bucket const& bucket, std::int64_t tokens) noexcept;

/// \returns Share units that could be lent now: those whose capacity is filled with free tokens, less a
/// reserve for local demand. Heartbeats carry this. \pre `refill` was called with the present time. Thread
/// safety: pure.
[[nodiscard]] std::int64_t idle_units(rate_bucket const& bucket) noexcept;

/// \brief A lender's reply: the cumulative units lent to the borrower under a share version.
struct loan_grant {
    std::uint64_t version_{};
    std::int64_t total_lent_{};
    std::int64_t tokens_{}; ///< Thousandths of a token transferred with the newly lent units.
};

/// \brief A borrower's message: the cumulative units returned to the lender under a share version.
struct loan_return {
    std::uint64_t version_{};
    std::int64_t total_returned_{};
    std::int64_t tokens_{}; ///< Thousandths of a token transferred with the newly returned units.
};

/// \brief Lends idle units and the tokens that they carry; lowers this daemon's capacity before the grant can
/// be sent. \returns The total lent to the borrower under this version. A request for 0 units repeats the
/// total after a lost reply; one of another version gets a total of 0.
[[nodiscard]] loan_grant lend(rate_bucket& bucket, member_id const& borrower, std::uint64_t version,
                              std::int64_t units, millis now);

/// \brief Applies a lender's grant. A grant of another version, or with a total not above the known one,
/// changes nothing; tokens are added only with new units.
void receive_loan(rate_bucket& bucket, member_id const& lender, loan_grant const& grant, millis now);

/// \brief Returns borrowed units that are idle, with their tokens. \returns The total returned to this
/// lender. With nothing idle, repeats the last total, in case that message was lost.
[[nodiscard]] loan_return return_loan(rate_bucket& bucket, member_id const& lender, millis now) noexcept;

/// \brief Applies a borrower's return. One of another version, or with a total not above the known one or
/// above the units lent, changes nothing.
void receive_return(rate_bucket& bucket, member_id const& borrower, loan_return const& returned,
                    millis now) noexcept;

/// \brief Limits the bucket to the smaller of its present and next base units while a share version is
/// pending, and drops borrowed units. Units lent under the previous version stay lent until the new one is in
/// force.
///
/// Loans made from now on belong to the pending version and remain when it comes into force, so that daemons
/// that know the pending version can lend to each other while a log outage delays it. A version that is not
/// newer changes nothing.
void prepare_version(rate_bucket& bucket, std::uint64_t version, std::int64_t next_base_units,
                     millis now) noexcept;

/// \returns True if free and reserved tokens are within the capacity of the units held, so that the pending
/// version may be acknowledged. Thread safety: pure.
[[nodiscard]] bool is_within_capacity(rate_bucket const& bucket) noexcept;

/// \brief Applies a share version that is in force: sets the base units and clears the loans of older
/// versions. An older version changes nothing.
void begin_version(rate_bucket& bucket, std::uint64_t version, std::int64_t base_units, millis now) noexcept;

/// \brief Applies the workspace's limits of a new table version; a lower burst takes effect at once.
void set_limits(rate_bucket& bucket, std::int64_t rate, std::int64_t burst, millis now) noexcept;

/// \brief Divides `total_share_units` among the holders; the first ones get one unit of the remainder each.
/// \returns The units of the holder at `index`. \pre `index < holders`.
[[nodiscard]] std::int64_t base_units(std::size_t index, std::size_t holders) noexcept;

} // namespace auburnchute
