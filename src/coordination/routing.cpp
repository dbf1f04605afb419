#include <auburnchute/routing.hpp>

#include <auburnchute/ids.hpp>

#include <array>
#include <utility>

namespace auburnchute {

namespace {

/// The two candidates with the highest scores, highest first (rendezvous hashing).
struct top_two {
    std::array<std::size_t, 2> index_{};
    std::array<std::uint64_t, 2> score_{};
    std::size_t count_{};
};

void insert_if_top(top_two& best, std::size_t index, std::uint64_t score) noexcept
{
    if (best.count_ == 0 || score > best.score_[0]) {
        best.index_ = {index, best.index_[0]};
        best.score_ = {score, best.score_[0]};
    } else if (best.count_ == 1 || score > best.score_[1]) {
        best.index_[1] = index;
        best.score_[1] = score;
    } else {
        return;
    }
    best.count_ = best.count_ < 2 ? best.count_ + 1 : 2;
}

std::int64_t known_load(routing_candidate const& candidate) noexcept
{
    return candidate.reported_requests_ + candidate.own_requests_since_report_;
}

/// The reported load and the requests sent since the report, if every daemon sent as many as this one.
std::int64_t estimated_load(routing_candidate const& candidate, std::int64_t senders) noexcept
{
    return candidate.reported_requests_ + candidate.own_requests_since_report_ * senders;
}

/// Compares the loads relative to the slots, so that large and small upstreams are utilized equally.
bool less_loaded(routing_candidate const& a, routing_candidate const& b, std::int64_t senders) noexcept
{
    return estimated_load(a, senders) * b.slots_ < estimated_load(b, senders) * a.slots_;
}

bool is_eligible(routing_candidate const& candidate, routing_request const& request) noexcept
{
    return candidate.accepts_work_ && known_load(candidate) < candidate.slots_ &&
           !(request.isolated_ && candidate.runs_suspect_) &&
           !(request.zone_required_ && candidate.availability_zone_ != request.availability_zone_);
}

std::optional<std::size_t> pick_among(std::span<routing_candidate const> candidates,
                                      routing_request const& request, std::string_view avoid) noexcept
{
    top_two by_prefix;
    top_two by_request;
    top_two by_request_in_zone;
    std::int64_t total_load = 0;
    std::int64_t total_slots = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto const& candidate = candidates[i];
        if (!is_eligible(candidate, request) || (!avoid.empty() && candidate.upstream_ == avoid)) {
            continue;
        }
        total_load += estimated_load(candidate, request.sending_daemons_);
        total_slots += candidate.slots_;
        insert_if_top(by_prefix, i, stable_hash(candidate.upstream_, request.prefix_hash_));
        auto const request_score = stable_hash(candidate.upstream_, request.request_hash_);
        insert_if_top(by_request, i, request_score);
        if (candidate.availability_zone_ == request.availability_zone_) {
            insert_if_top(by_request_in_zone, i, request_score);
        }
    }
    std::optional<std::size_t> chosen;
    for (std::size_t n = 0; n < by_prefix.count_; ++n) {
        auto const index = by_prefix.index_[n];
        auto const& candidate = candidates[index];
        // An upstream that has the prefix in its cache may exceed 1.25 times the mean load per slot by one
        // request: at low load the mean is below one request, and no upstream would pass otherwise.
        bool const near_mean = 4 * (estimated_load(candidate, request.sending_daemons_) - 1) * total_slots <
                               5 * total_load * candidate.slots_;
        if (near_mean && (!chosen || less_loaded(candidate, candidates[*chosen], request.sending_daemons_))) {
            chosen = index;
        }
    }
    if (chosen) {
        return chosen;
    }
    auto const& sample = by_request_in_zone.count_ > 0 ? by_request_in_zone : by_request;
    for (top_two const* best : {&std::as_const(by_prefix), &sample}) {
        for (std::size_t n = 0; n < best->count_; ++n) {
            auto const index = best->index_[n];
            if (!chosen || less_loaded(candidates[index], candidates[*chosen], request.sending_daemons_)) {
                chosen = index;
            }
        }
    }
    return chosen;
}

} // namespace

std::optional<std::size_t> pick_upstream(std::span<routing_candidate const> candidates,
                                         routing_request const& request) noexcept
{
    auto const chosen = pick_among(candidates, request, request.avoid_);
    if (chosen || request.avoid_.empty()) {
        return chosen;
    }
    return pick_among(candidates, request, {});
}

} // namespace auburnchute
