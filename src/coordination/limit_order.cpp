#include <auburnchute/limit_order.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace auburnchute {

namespace {

/// Largest cost of a small request, as a part of the mean: ten of them cost the others one request.
constexpr double small_part = 0.1;

/// Part of its proportional share that each class keeps. The rules ask for a quarter of what all are served:
/// where half of the requests are small and all pass, this holds up to five times the rate.
constexpr double guaranteed_part = 0.85;

/// Part of burst and rate that may be kept for classes that come first; the rest is for all.
constexpr double most_reserved_part = 0.5;

/// Seconds beyond twice the messages' way for which what the first classes ask for is kept from all others,
/// so that a few urgent requests in a row find it.
constexpr double least_kept_s = 0.25;

/// Longest time told to a caller; no caller has more time, and a peak seldom lasts so long.
constexpr double longest_retry_ms = 60'000.0;

/// By which part of it a refused caller's time is spread, so that those refused together return apart.
constexpr double retry_spread = 0.25;

void decay(limit_order& order, millis now) noexcept
{
    auto const age = static_cast<double>(std::max<std::int64_t>(0, (now - order.updated_at_).count_));
    auto const left = std::exp(-age / static_cast<double>(limit_sample_time.count_));
    for (auto& part : order.classes_) {
        part.asked_ *= left;
        part.refused_ *= left;
    }
    order.requests_ *= left;
    order.peers_peak_ *= left;
    order.recent_ *= std::exp(-age / static_cast<double>(demand_time_constant.count_));
    order.updated_at_ = std::max(now, order.updated_at_);
}

double units_asked(limit_order const& order) noexcept
{
    return std::accumulate(order.classes_.begin(), order.classes_.end(), 0.0,
                           [](double sum, class_demand const& part) { return sum + part.asked_; });
}

/// Seconds that decayed sums cover; a new sample covers less than its time constant.
double seconds_covered(limit_order const& order, millis constant, millis now) noexcept
{
    auto const time_constant = static_cast<double>(constant.count_);
    auto const span = std::max(static_cast<double>((now - order.since_).count_),
                               static_cast<double>(demand_time_constant.count_));
    return time_constant * (1 - std::exp(-span / time_constant)) / 1'000.0;
}

/// Part of the members of which a VM must hear to know the demand.
constexpr double least_heard = 0.5;

/// \returns Units a second that peers are asked for. A VM that was cut off expects what they had before until
/// their messages tell the demand again; else all VMs would spend at once when the links are back.
double demand_at_peers(limit_order& order, shared_bucket const& bucket, bucket_request const& request,
                       millis now) noexcept
{
    auto const told = peer_demand_rate(bucket, now);
    auto const heard = request.visibility_.share_;
    order.peers_peak_ = std::max(order.peers_peak_, told);
    if (heard < least_heard) {
        order.cut_off_at_ = now;
        return told; // its share of the level bounds what it spends
    }
    auto const known_after = demand_time_constant + request.propagation_delay_ * 2;
    bool const is_back = order.cut_off_at_ > millis{0} && now - order.cut_off_at_ < known_after;
    return is_back ? order.peers_peak_ : told;
}

/// \returns When the class is expected to find room for a request.
millis retry_after(class_demand const& own, class_part const& part, double missing, limit_room const& room,
                   double covered, double draw) noexcept
{
    auto const pace = own.asked_ * part.fraction_ / covered; // units a second that the class gets at this VM
    auto const backlog_ms = pace > 0 ? own.refused_ / pace * 1'000.0 : longest_retry_ms;
    auto const level_ms = room.rate_ > 0 ? std::max(0.0, missing) / room.rate_ * 1'000.0 : longest_retry_ms;
    auto const spread = 1 + retry_spread * draw;
    return {static_cast<std::int64_t>(
        std::ceil(std::min(longest_retry_ms, std::max(backlog_ms, level_ms) * spread)))};
}

} // namespace

std::size_t note_asked(limit_order& order, double units, std::int64_t urgency, millis now) noexcept
{
    if (order.since_ == millis{0}) {
        order.since_ = now;
        order.updated_at_ = now;
    }
    decay(order, now);
    order.requests_ += 1;
    order.recent_ += units;
    auto const mean = (units_asked(order) + units) / order.requests_;
    auto const last = static_cast<std::int64_t>(limit_classes) - 2;
    auto const of = units <= small_part * mean
                        ? std::size_t{0}
                        : static_cast<std::size_t>(1 + std::clamp<std::int64_t>(urgency, 0, last));
    order.classes_[of].asked_ += units;
    return of;
}

std::array<class_part, limit_classes> parts_of(limit_order const& order, limit_room const& room) noexcept
{
    std::array<class_part, limit_classes> parts;
    auto const total = units_asked(order);
    if (total <= 0 || room.expected_ <= 0) {
        return parts;
    }
    auto const proportional = room.demand_ > room.rate_ ? room.rate_ / room.demand_ : 1.0;
    auto const at_hand = std::clamp(room.available_ / room.expected_, 0.0, 1.0);
    auto const floor = std::min(guaranteed_part * proportional, at_hand);
    auto left = std::max(0.0, room.available_ - floor * room.expected_);
    double before = 0;     // units a second that the classes before ask for
    double before_fit = 0; // the same of those that the rate holds in any case
    for (std::size_t i = 0; i < limit_classes; ++i) {
        auto const mix = order.classes_[i].asked_ / total;
        auto const expected = mix * room.expected_;
        parts[i].reserved_ = std::min(before * room.reserve_s_, room.most_reserved_);
        parts[i].kept_ = std::min(before_fit * (2 * room.delay_s_ + least_kept_s), room.most_reserved_);
        auto const free = std::max(0.0, left - parts[i].reserved_);
        auto const more = expected > 0 ? std::min(free / expected, 1 - floor) : 1 - floor;
        parts[i].fraction_ = floor + more;
        left -= more * expected;
        before += mix * room.demand_;
        before_fit = before <= most_reserved_part * room.rate_ ? before : before_fit;
    }
    return parts;
}

limit_verdict spend_in_order(limit_order& order, shared_bucket& bucket, bucket_request const& request,
                             std::int64_t urgency, millis now) noexcept
{
    limit_verdict verdict;
    verdict.class_ = note_asked(order, request.units_, urgency, now);
    if (bucket.rate_ <= 0) {
        verdict.admitted_ = true;
        return verdict;
    }
    refill(bucket, request.visibility_, now);
    auto const share = request.visibility_.share_;
    auto const delay = static_cast<double>(request.propagation_delay_.count_) / 1'000.0;
    auto const covered = seconds_covered(order, limit_sample_time, now);
    auto const own_rate = order.recent_ / seconds_covered(order, demand_time_constant, now);
    auto const at_peers = demand_at_peers(order, bucket, request, now);
    auto const level = usable_level(bucket);
    auto const required = required_level(bucket, request.units_, share);
    limit_room const room{.delay_s_ = delay,
                          .available_ = level + bucket.rate_ * share * delay,
                          .expected_ = at_peers * delay + request.units_,
                          .rate_ = bucket.rate_ * share,
                          .demand_ = at_peers + own_rate,
                          .reserve_s_ =
                              static_cast<double>(demand_time_constant.count_) / 1'000.0 + 2 * delay,
                          .most_reserved_ = bucket.burst_ * share * most_reserved_part};
    verdict.demand_ = room.demand_;
    verdict.ordered_ = room.demand_ > room.rate_;
    if (verdict.ordered_) {
        verdict.part_ = parts_of(order, room)[verdict.class_];
    } else if (level - request.units_ < at_peers * delay) {
        verdict.part_.fraction_ = std::clamp(room.available_ / room.expected_, 0.0, 1.0);
    }
    auto& own = order.classes_[verdict.class_];
    verdict.admitted_ = level >= required + verdict.part_.kept_ && request.draw_ < verdict.part_.fraction_;
    if (!verdict.admitted_) {
        own.refused_ += request.units_;
        verdict.retry_after_ = retry_after(own, verdict.part_, required + verdict.part_.reserved_ - level,
                                           room, covered, request.draw_);
        return verdict;
    }
    bucket.level_ -= request.units_;
    bucket.local_level_ -= request.units_;
    return verdict;
}

} // namespace auburnchute
