#include <auburnchute/upstream_choice.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Prompt tokens that an engine prefills per millisecond; order of magnitude of the platform's engines.
constexpr double prompt_tokens_per_ms = 38.0;

/// Delay that each running request adds to the first token of a new one on an engine, in ms: the engine
/// interleaves decoding with the chunks of a prompt.
constexpr double delay_per_engine_request_ms = 4.0;

/// Delay that each running request adds on a plain service with one slot, in ms; order of magnitude of the
/// platform's services.
constexpr double delay_per_service_request_ms = 40.0;

/// Extra delay of an upstream in another availability zone, in ms.
constexpr double cross_zone_penalty_ms = 2.0;

/// Penalty for an upstream that failed recently, in ms; it is chosen only if all others are full or much
/// slower.
constexpr double recent_failure_penalty_ms = 5'000.0;

/// Weight of the newest sample in the moving average of the excess latency.
constexpr double newest_sample_weight = 0.3;

/// Time constant of the decay of the excess latency, in ms, so that a slow upstream is tried again within
/// seconds.
constexpr double excess_decay_ms = 4'000.0;

/// Upper limit of one sample of the excess latency, in ms; callers give up on longer delays.
constexpr double max_excess_ms = 3'000.0;

/// Maximum number of requests sent to a plain service per slot; above 1, as plain services queue a few
/// requests.
constexpr double plain_queue_factor = 1.5;

bool is_full(upstream_candidate const& candidate, choice_request const& request) noexcept
{
    if (candidate.kv_tokens_ == 0) {
        return static_cast<double>(candidate.running_) >=
               plain_queue_factor * static_cast<double>(candidate.slots_);
    }
    auto const needed = request.prompt_tokens_ + request.output_tokens_;
    bool const fits = candidate.running_ == 0 || candidate.running_tokens_ + needed <= candidate.kv_tokens_;
    return candidate.running_ >= candidate.slots_ || !fits;
}

std::int64_t unread_prompt_tokens(choice_request const& request, bool preferred) noexcept
{
    return std::max<std::int64_t>(request.prompt_tokens_ - (preferred ? request.shared_tokens_ : 0), 0);
}

double expected_delay(upstream_candidate const& candidate, choice_request const& request,
                      bool preferred) noexcept
{
    auto delay = candidate.same_zone_ ? 0.0 : cross_zone_penalty_ms;
    if (candidate.kv_tokens_ == 0) {
        return delay + delay_per_service_request_ms * static_cast<double>(candidate.running_) /
                           static_cast<double>(std::max<std::int64_t>(candidate.slots_, 1));
    }
    auto const unread = candidate.unread_tokens_ + unread_prompt_tokens(request, preferred);
    return delay + static_cast<double>(unread) / prompt_tokens_per_ms +
           delay_per_engine_request_ms * static_cast<double>(candidate.running_);
}

} // namespace

double current_excess_latency(upstream_excess_latency const& excess, millis now) noexcept
{
    auto const age = static_cast<double>((now - excess.updated_at_).count_);
    return excess.ms_ * std::exp(-std::max(0.0, age) / excess_decay_ms);
}

void record_answer_time(upstream_excess_latency& excess, double expected_ms, millis took, millis now) noexcept
{
    auto const sample_ms = std::clamp(static_cast<double>(took.count_) - expected_ms, 0.0, max_excess_ms);
    excess.ms_ =
        current_excess_latency(excess, now) * (1 - newest_sample_weight) + sample_ms * newest_sample_weight;
    excess.updated_at_ = now;
}

std::optional<selected_candidate> choose_upstream(std::span<upstream_candidate const> candidates,
                                                  choice_request const& request) noexcept
{
    std::optional<std::size_t> preferred;
    std::uint64_t preferred_weight = 0;
    for (std::size_t i = 0; i < candidates.size() && request.prefix_hash_ != 0; ++i) {
        auto const weight = stable_hash(candidates[i].id_, request.prefix_hash_);
        if (!preferred || weight > preferred_weight) {
            preferred = i;
            preferred_weight = weight;
        }
    }
    std::optional<std::size_t> best;
    double best_delay = 0;
    double best_expected = 0;
    std::uint64_t best_tie_breaker = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].already_tried_ || is_full(candidates[i], request)) {
            continue;
        }
        auto const expected = expected_delay(candidates[i], request, preferred == i);
        auto const delay = expected + candidates[i].excess_latency_ms_ +
                           (candidates[i].recently_failed_ ? recent_failure_penalty_ms : 0.0);
        auto const tie_breaker = stable_hash(candidates[i].id_, request.tie_breaker_);
        if (!best || delay < best_delay || (delay == best_delay && tie_breaker > best_tie_breaker)) {
            best = i;
            best_delay = delay;
            best_expected = expected;
            best_tie_breaker = tie_breaker;
        }
    }
    return best ? std::optional{selected_candidate{*best, unread_prompt_tokens(request, preferred == best),
                                                   best_expected}}
                : std::nullopt;
}

} // namespace auburnchute
