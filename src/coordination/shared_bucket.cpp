#include <auburnchute/shared_bucket.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnchute {

namespace {

double needed(shared_bucket const& bucket, double units, double share) noexcept
{
    return std::min(units, bucket.burst_ * share);
}

} // namespace

void set_limit(shared_bucket& bucket, double rate, double burst, millis now) noexcept
{
    bool const unlimited_before = bucket.rate_ <= 0;
    bucket.rate_ = rate;
    bucket.burst_ = burst;
    if (unlimited_before) {
        bucket.level_ = burst;
        bucket.refilled_at_ = now;
    }
    bucket.level_ = std::min(bucket.level_, burst);
}

void refill(shared_bucket& bucket, double share, millis now) noexcept
{
    auto const elapsed = std::max<std::int64_t>(0, (now - bucket.refilled_at_).count_);
    bucket.refilled_at_ = std::max(now, bucket.refilled_at_);
    auto const earned = bucket.rate_ * share * static_cast<double>(elapsed) / 1'000.0;
    bucket.level_ = std::min(bucket.burst_ * share, bucket.level_ + earned);
}

bool spend(shared_bucket& bucket, bucket_request const& request, millis now) noexcept
{
    if (bucket.rate_ <= 0) {
        return true;
    }
    refill(bucket, request.share_, now);
    if (bucket.level_ < needed(bucket, request.units_, request.share_)) {
        return false;
    }
    auto const delay = static_cast<double>(request.delay_.count_) / 1'000.0;
    auto const unseen = peer_demand(bucket, now) * delay;
    if (bucket.level_ - request.units_ < unseen) {
        auto const there = bucket.level_ + bucket.rate_ * request.share_ * delay;
        if (request.draw_ * (unseen + request.units_) >= there) {
            return false;
        }
    }
    bucket.level_ -= request.units_;
    return true;
}

double peer_demand(shared_bucket const& bucket, millis now) noexcept
{
    auto const age = static_cast<double>(std::max<std::int64_t>(0, (now - bucket.asked_at_).count_));
    auto const memory = static_cast<double>(asking_memory.count_);
    return bucket.asked_ * std::exp(-age / memory) / memory * 1'000.0;
}

void book_peer_demand(shared_bucket& bucket, double units, millis now) noexcept
{
    auto const before = peer_demand(bucket, now) * static_cast<double>(asking_memory.count_) / 1'000.0;
    bucket.asked_ = before + std::max(0.0, units);
    bucket.asked_at_ = now;
}

void book_peer_use(shared_bucket& bucket, double units) noexcept
{
    bucket.level_ -= units;
}

double newly_used(booked_use& booked, std::string const& workspace, std::int64_t used, bool first)
{
    auto const [found, unknown] = booked.try_emplace(workspace, used);
    auto const before = std::exchange(found->second, used);
    // A workspace that a running peer names for the first time was spent from since its last message.
    return first ? 0.0 : static_cast<double>(unknown ? used : used - before);
}

void forget_level(shared_bucket& bucket, double share) noexcept
{
    bucket.level_ = bucket.burst_ / 2 * share;
}

void join_level(shared_bucket& bucket, double peer_level, millis own_age) noexcept
{
    if (own_age < joining_time) {
        bucket.level_ = std::min(peer_level, bucket.burst_);
    }
}

millis time_until(shared_bucket const& bucket, double units, double share) noexcept
{
    if (bucket.rate_ <= 0) {
        return {};
    }
    auto const missing = needed(bucket, units, share) - bucket.level_;
    return {static_cast<std::int64_t>(std::ceil(std::max(0.0, missing) / (bucket.rate_ * share) * 1'000.0))};
}

} // namespace auburnchute
