#include <auburnchute/shared_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Lower bound of the period that a new moving average covers; one or two messages arrive in it.
constexpr double min_average_span_ms = 200.0;

} // namespace

double required_level(shared_bucket const& bucket, double units, double share) noexcept
{
    return std::min(units, bucket.burst_ * share);
}

double usable_level(shared_bucket const& bucket) noexcept
{
    return bucket.local_share_ < 1.0 ? bucket.local_level_ : bucket.level_;
}

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

void refill(shared_bucket& bucket, peer_visibility const& visibility, millis now) noexcept
{
    auto const share = visibility.share_;
    auto const elapsed = std::max<std::int64_t>(0, (now - bucket.refilled_at_).count_);
    bucket.refilled_at_ = std::max(now, bucket.refilled_at_);
    auto const earned = bucket.rate_ * static_cast<double>(elapsed) / 1'000.0;
    bucket.level_ = std::min(bucket.burst_,
                             bucket.level_ + (visibility.may_have_missed_updates_ ? earned * share : earned));
    auto const max_local_level = std::min(bucket.level_, bucket.burst_ * share);
    if (share != bucket.local_share_) {
        // A larger share starts from the level of the whole bucket, which contains what the smaller one
        // spent.
        bucket.local_level_ =
            share > bucket.local_share_ ? max_local_level : std::min(max_local_level, usable_level(bucket));
        bucket.local_share_ = share;
    } else {
        bucket.local_level_ = std::min(max_local_level, bucket.local_level_ + earned * share);
    }
}

bool try_spend(shared_bucket& bucket, bucket_request const& request, millis now) noexcept
{
    if (bucket.rate_ <= 0) {
        return true;
    }
    refill(bucket, request.visibility_, now);
    auto const level = usable_level(bucket);
    if (level < required_level(bucket, request.units_, request.visibility_.share_)) {
        return false;
    }
    auto const delay = static_cast<double>(request.propagation_delay_.count_) / 1'000.0;
    auto const unseen_demand = peer_demand_rate(bucket, now) * delay;
    if (level - request.units_ < unseen_demand) {
        // Admits with the probability at which this VM and its peers together spend what is available.
        auto const available = level + bucket.rate_ * request.visibility_.share_ * delay;
        if (request.draw_ * (unseen_demand + request.units_) >= available) {
            return false;
        }
    }
    bucket.level_ -= request.units_;
    bucket.local_level_ -= request.units_;
    return true;
}

double peer_demand_rate(shared_bucket const& bucket, millis now) noexcept
{
    if (bucket.peer_demand_since_ == millis{0}) {
        return 0;
    }
    auto const time_constant = static_cast<double>(demand_time_constant.count_);
    auto const age =
        static_cast<double>(std::max<std::int64_t>(0, (now - bucket.peer_demand_updated_at_).count_));
    // A new average covers less than its time constant.
    auto const span =
        std::max(min_average_span_ms, static_cast<double>((now - bucket.peer_demand_since_).count_));
    auto const covered = time_constant * (1 - std::exp(-span / time_constant));
    return bucket.peer_demand_units_ * std::exp(-age / time_constant) / covered * 1'000.0;
}

void record_peer_demand(shared_bucket& bucket, double units, millis now) noexcept
{
    if (bucket.peer_demand_since_ == millis{0}) {
        bucket.peer_demand_since_ = now;
    }
    auto const age =
        static_cast<double>(std::max<std::int64_t>(0, (now - bucket.peer_demand_updated_at_).count_));
    auto const decayed =
        bucket.peer_demand_units_ * std::exp(-age / static_cast<double>(demand_time_constant.count_));
    bucket.peer_demand_units_ = decayed + std::max(0.0, units);
    bucket.peer_demand_updated_at_ = now;
}

void charge_units(shared_bucket& bucket, double units, peer_visibility const& visibility, millis now) noexcept
{
    refill(bucket, visibility, now);
    bucket.level_ -= units;
}

void set_restart_level(shared_bucket& bucket, double share) noexcept
{
    bucket.level_ = bucket.burst_ / 2 * share;
}

void adopt_level(shared_bucket& bucket, double reported_level, peer_visibility const& visibility,
                 millis now) noexcept
{
    refill(bucket, visibility, now);
    bucket.level_ = std::min(reported_level, bucket.burst_);
}

millis time_until_available(shared_bucket const& bucket, double units, double share) noexcept
{
    if (bucket.rate_ <= 0) {
        return {};
    }
    auto const missing = required_level(bucket, units, share) - usable_level(bucket);
    return {static_cast<std::int64_t>(std::ceil(std::max(0.0, missing) / (bucket.rate_ * share) * 1'000.0))};
}

} // namespace auburnchute
