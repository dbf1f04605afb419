#include <auburnchute/rate_share.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// Products of rate, share units and milliseconds overflow 64 bits after a long pause at high rates.
__extension__ using int128 = __int128;

constexpr std::int64_t thousandths_per_token = 1'000;

/// A lender keeps this fraction of its capacity, so that its own next request needs no round trip to borrow.
constexpr std::int64_t lender_reserve_divisor = 16;

/// Capacity of the units, rounded down, so that the capacities of all holders never add up to more than the
/// burst.
std::int64_t capacity_thousandths_of(rate_bucket const& bucket, std::int64_t units) noexcept
{
    return static_cast<std::int64_t>(int128{bucket.burst_} * thousandths_per_token * units /
                                     total_share_units);
}

std::int64_t held_capacity_thousandths(rate_bucket const& bucket) noexcept
{
    return capacity_thousandths_of(bucket, units_held(bucket));
}

/// Drops free tokens above the capacity, and the remainder of the last refill once the bucket is full.
void clamp_tokens(rate_bucket& bucket) noexcept
{
    auto const headroom = held_capacity_thousandths(bucket) - bucket.outstanding_;
    if (bucket.tokens_ >= headroom) {
        bucket.tokens_ = std::max(std::min<std::int64_t>(bucket.tokens_, 0), headroom);
        bucket.refill_remainder_ = 0;
    }
}

/// Units whose capacity is filled with free tokens beyond `kept`, in thousandths of a token.
std::int64_t filled_units(rate_bucket const& bucket, std::int64_t kept) noexcept
{
    auto const free = bucket.tokens_ - kept;
    if (free <= 0 || bucket.burst_ <= 0) {
        return 0;
    }
    auto const held = units_held(bucket);
    auto units = std::min(held, static_cast<std::int64_t>(int128{free} * total_share_units /
                                                          (int128{bucket.burst_} * thousandths_per_token)));
    // Rounding can put the outstanding tokens a thousandth above the capacity of the remaining units.
    while (units > 0 && bucket.outstanding_ > capacity_thousandths_of(bucket, held - units)) {
        --units;
    }
    return units;
}

} // namespace

std::int64_t units_held(rate_bucket const& bucket) noexcept
{
    auto units = bucket.base_units_ - bucket.lent_under_previous_version_;
    for (auto const& [peer, loan] : bucket.loans_) {
        units += loan.borrowed_ - loan.returned_ - loan.lent_ + loan.lent_returned_;
    }
    return std::max<std::int64_t>(units, 0);
}

std::int64_t capacity(rate_bucket const& bucket) noexcept
{
    return held_capacity_thousandths(bucket) / thousandths_per_token;
}

std::int64_t idle_units(rate_bucket const& bucket) noexcept
{
    return filled_units(bucket, held_capacity_thousandths(bucket) / lender_reserve_divisor);
}

void refill(rate_bucket& bucket, millis now) noexcept
{
    auto const elapsed = now - bucket.refilled_at_;
    if (elapsed.count_ <= 0) {
        return;
    }
    bucket.refilled_at_ = now;
    auto const headroom = held_capacity_thousandths(bucket) - bucket.outstanding_ - bucket.tokens_;
    if (headroom <= 0) {
        return;
    }
    // One token per second is one thousandth of a token per millisecond.
    auto const earned =
        int128{bucket.rate_} * units_held(bucket) * elapsed.count_ + int128{bucket.refill_remainder_};
    if (earned / total_share_units >= headroom) {
        bucket.tokens_ += headroom;
        bucket.refill_remainder_ = 0;
        return;
    }
    bucket.tokens_ += static_cast<std::int64_t>(earned / total_share_units);
    bucket.refill_remainder_ = static_cast<std::int64_t>(earned % total_share_units);
}

bool reserve(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept
{
    refill(bucket, now);
    if (tokens > bucket.tokens_ / thousandths_per_token || bucket.tokens_ < 0) {
        return false;
    }
    bucket.tokens_ -= tokens * thousandths_per_token;
    bucket.outstanding_ += tokens * thousandths_per_token;
    return true;
}

void produce(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept
{
    refill(bucket, now);
    auto const used = std::min(bucket.outstanding_, tokens * thousandths_per_token);
    bucket.outstanding_ -= used;
    // Tokens produced beyond all reservations are charged to later requests.
    bucket.tokens_ -= tokens * thousandths_per_token - used;
}

void release(rate_bucket& bucket, std::int64_t tokens, millis now) noexcept
{
    refill(bucket, now);
    auto const unused = std::min(bucket.outstanding_, tokens * thousandths_per_token);
    bucket.outstanding_ -= unused;
    bucket.tokens_ += unused;
    clamp_tokens(bucket);
}

std::int64_t units_missing(rate_bucket const& bucket, std::int64_t tokens) noexcept
{
    if (bucket.burst_ <= 0 || tokens > bucket.burst_) {
        return 0;
    }
    auto const missing = tokens * thousandths_per_token - bucket.tokens_;
    if (missing <= 0) {
        return 0;
    }
    auto const burst_thousandths = int128{bucket.burst_} * thousandths_per_token;
    auto const units = (int128{missing} * total_share_units + burst_thousandths - 1) / burst_thousandths;
    return units > total_share_units ? 0 : static_cast<std::int64_t>(units);
}

loan_grant lend(rate_bucket& bucket, member_id const& borrower, std::uint64_t version, std::int64_t units,
                millis now)
{
    refill(bucket, now);
    if (version != bucket.version_) {
        return {bucket.version_, 0, 0};
    }
    auto const lent = std::min(units, idle_units(bucket));
    if (lent <= 0) {
        auto const known = bucket.loans_.find(borrower);
        return {version, known == bucket.loans_.end() ? 0 : known->second.lent_, 0};
    }
    auto& loan = bucket.loans_[borrower];
    loan.lent_ += lent;
    auto const tokens = std::min(bucket.tokens_, capacity_thousandths_of(bucket, lent));
    bucket.tokens_ -= tokens;
    clamp_tokens(bucket);
    return {version, loan.lent_, tokens};
}

void receive_loan(rate_bucket& bucket, member_id const& lender, loan_grant const& grant, millis now)
{
    refill(bucket, now);
    if (grant.version_ != bucket.version_ || grant.total_lent_ <= 0) {
        return;
    }
    auto& loan = bucket.loans_[lender];
    if (grant.total_lent_ <= loan.borrowed_) {
        return;
    }
    // A lender that still applies an older, higher burst may have sent more than these units carry here.
    bucket.tokens_ +=
        std::min(grant.tokens_, capacity_thousandths_of(bucket, grant.total_lent_ - loan.borrowed_));
    loan.borrowed_ = grant.total_lent_;
    clamp_tokens(bucket);
}

loan_return return_loan(rate_bucket& bucket, member_id const& lender, millis now) noexcept
{
    refill(bucket, now);
    auto const found = bucket.loans_.find(lender);
    if (found == bucket.loans_.end()) {
        return {bucket.version_, 0, 0};
    }
    auto& loan = found->second;
    auto const units = std::min(loan.borrowed_ - loan.returned_, idle_units(bucket));
    if (units <= 0) {
        return {bucket.version_, loan.returned_, 0};
    }
    loan.returned_ += units;
    auto const tokens = std::min(bucket.tokens_, capacity_thousandths_of(bucket, units));
    bucket.tokens_ -= tokens;
    clamp_tokens(bucket);
    return {bucket.version_, loan.returned_, tokens};
}

void receive_return(rate_bucket& bucket, member_id const& borrower, loan_return const& returned,
                    millis now) noexcept
{
    refill(bucket, now);
    auto const found = bucket.loans_.find(borrower);
    if (returned.version_ != bucket.version_ || found == bucket.loans_.end() ||
        returned.total_returned_ <= found->second.lent_returned_ ||
        returned.total_returned_ > found->second.lent_) {
        return;
    }
    bucket.tokens_ +=
        std::min(returned.tokens_,
                 capacity_thousandths_of(bucket, returned.total_returned_ - found->second.lent_returned_));
    found->second.lent_returned_ = returned.total_returned_;
    clamp_tokens(bucket);
}

void prepare_version(rate_bucket& bucket, std::uint64_t version, std::int64_t next_base_units,
                     millis now) noexcept
{
    if (version <= bucket.version_) {
        return;
    }
    refill(bucket, now);
    for (auto const& [peer, loan] : bucket.loans_) {
        bucket.lent_under_previous_version_ += loan.lent_ - loan.lent_returned_;
    }
    bucket.loans_.clear();
    bucket.base_units_ = std::min(bucket.base_units_, next_base_units);
    bucket.version_ = version;
    clamp_tokens(bucket);
}

bool is_within_capacity(rate_bucket const& bucket) noexcept
{
    return bucket.tokens_ + bucket.outstanding_ <= held_capacity_thousandths(bucket);
}

void begin_version(rate_bucket& bucket, std::uint64_t version, std::int64_t base_units, millis now) noexcept
{
    if (version < bucket.version_) {
        return;
    }
    refill(bucket, now);
    if (version > bucket.version_) {
        bucket.loans_.clear();
    }
    bucket.lent_under_previous_version_ = 0;
    bucket.version_ = version;
    bucket.base_units_ = base_units;
    clamp_tokens(bucket);
}

void set_limits(rate_bucket& bucket, std::int64_t rate, std::int64_t burst, millis now) noexcept
{
    refill(bucket, now);
    bucket.rate_ = rate;
    bucket.burst_ = burst;
    clamp_tokens(bucket);
}

std::int64_t base_units(std::size_t index, std::size_t holders) noexcept
{
    auto const count = static_cast<std::int64_t>(holders);
    return total_share_units / count + (static_cast<std::int64_t>(index) < total_share_units % count ? 1 : 0);
}

} // namespace auburnchute
