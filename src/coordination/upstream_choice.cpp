#include <auburnchute/upstream_choice.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

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

/// Part of a shared prefix that the upstreams before others are taken to hold, by their rank in the hashing:
/// what the first can't take goes to the second, and then to the third, which come to hold it too.
constexpr std::array<double, 3> prefix_held{1.0, 0.5, 0.25};

/// Part of what a window leaves that the VMs fill unknown to each other. The draw keeps to it on the average
/// only, so the rest is for chance.
constexpr double window_drawn = 0.5;

/// Rounds in which the level of the draw is narrowed down; each halves the error.
constexpr int level_rounds = 24;

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

/// Times in ms at the usual pace.
struct delay_parts {
    double wait_{};
    double work_{};
};

/// \returns By how much each request of a plain service delays the next one, in ms at the usual pace.
double service_step(upstream_candidate const& candidate, choice_request const& request) noexcept
{
    bool const known = request.contested_ && request.usual_answer_ms_ > 0;
    return (known ? request.usual_answer_ms_ : delay_per_service_request_ms) /
           static_cast<double>(std::max<std::int64_t>(candidate.slots_, 1));
}

/// \returns How long a request waits for a slot of a plain service, in ms at the usual pace. Less than by
/// which the choice compares: a server with a free slot answers as fast as an idle one, and is not to be
/// taken for a fast one.
double service_queue(upstream_candidate const& candidate, choice_request const& request) noexcept
{
    auto const behind = std::max<std::int64_t>(candidate.running_ + 1 - candidate.slots_, 0);
    return service_step(candidate, request) * static_cast<double>(behind);
}

/// \param unread Prompt tokens of the request that the upstream has to read.
delay_parts usual_delay(upstream_candidate const& candidate, choice_request const& request,
                        double unread) noexcept
{
    if (candidate.kv_tokens_ == 0) {
        return {service_step(candidate, request) * static_cast<double>(candidate.running_),
                request.contested_ ? request.usual_answer_ms_ : 0.0};
    }
    return {static_cast<double>(candidate.unread_tokens_) / prompt_tokens_per_ms +
                delay_per_engine_request_ms * static_cast<double>(candidate.running_),
            unread / prompt_tokens_per_ms};
}

double expected_delay(upstream_candidate const& candidate, choice_request const& request,
                      delay_parts const& usual) noexcept
{
    return (candidate.same_zone_ ? 0.0 : cross_zone_penalty_ms) +
           (usual.wait_ + usual.work_) * (request.contested_ ? candidate.slowness_ : 1.0);
}

/// An upstream that may be chosen.
struct option {
    std::size_t index_{};
    double delay_{}; ///< By which the options are compared.
    double step_{1}; ///< By how much a further request like this one delays the next.
    double most_{};  ///< Requests that it may be given.
};

/// Requests that an option gets if all are filled up to the level.
double share_at(option const& from, double level) noexcept
{
    return std::clamp((level - from.delay_) / from.step_, 0.0, from.most_);
}

/// \returns The level up to which the options take `requests` in all. \pre There is an option.
double level_of(std::span<option const> options, double requests) noexcept
{
    double low = options.front().delay_;
    double high = low;
    for (auto const& each : options) {
        low = std::min(low, each.delay_);
        high = std::max(high, each.delay_ + each.step_ * requests);
    }
    for (int round = 0; round < level_rounds; ++round) {
        auto const middle = (low + high) / 2;
        double taken = 0;
        for (auto const& each : options) {
            taken += share_at(each, middle);
        }
        (taken < requests ? low : high) = middle;
    }
    return high;
}

/// \returns The position of the option drawn in proportion to what it would be given, by the tie breaker.
std::size_t draw(std::span<option const> options, double requests, std::uint64_t tie_breaker)
{
    auto const level = level_of(options, requests);
    double sum = 0;
    for (auto const& each : options) {
        sum += share_at(each, level);
    }
    // 53 bits, as many as a double holds.
    auto left = sum * static_cast<double>(stable_hash("draw", tie_breaker) >> 11U) * 0x1p-53;
    std::size_t last = 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        auto const share = share_at(options[i], level);
        if (share <= 0) {
            continue;
        }
        if (left < share) {
            return i;
        }
        left -= share;
        last = i;
    }
    return last;
}

/// Ranks of the candidates that come first for a prefix, by rendezvous hashing.
std::array<std::optional<std::size_t>, prefix_held.size()>
first_for_prefix(std::span<upstream_candidate const> candidates, std::uint64_t prefix) noexcept
{
    std::array<std::optional<std::size_t>, prefix_held.size()> first{};
    std::array<std::uint64_t, prefix_held.size()> weights{};
    for (std::size_t i = 0; i < candidates.size() && prefix != 0; ++i) {
        auto weight = stable_hash(candidates[i].id_, prefix);
        auto index = i;
        for (std::size_t rank = 0; rank < first.size(); ++rank) {
            if (!first[rank]) {
                first[rank] = index;
                weights[rank] = weight;
                break;
            }
            if (weight > weights[rank]) {
                std::swap(weight, weights[rank]);
                std::swap(index, *first[rank]);
            }
        }
    }
    return first;
}

/// Whether no candidate without a pace has room.
bool has_only_paced(std::span<upstream_candidate const> candidates, choice_request const& request) noexcept
{
    return std::none_of(candidates.begin(), candidates.end(), [&](upstream_candidate const& each) {
        return !each.window_left_ && !each.already_tried_ && !each.recently_failed_ &&
               !is_full(each, request);
    });
}

std::optional<selected_candidate> choose_contested(std::span<upstream_candidate const> candidates,
                                                   choice_request const& request)
{
    auto const first = first_for_prefix(candidates, request.prefix_hash_);
    bool const only_paced = has_only_paced(candidates, request);
    std::vector<option> options;
    std::vector<selected_candidate> results;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto const& each = candidates[i];
        if (each.already_tried_ || is_full(each, request)) {
            continue;
        }
        auto most = std::max(request.unheard_, 1.0);
        if (each.window_left_ && !(only_paced && request.last_resort_)) {
            if (*each.window_left_ <= 0) {
                continue;
            }
            most = std::min(most, static_cast<double>(*each.window_left_) * window_drawn);
        }
        auto const rank = static_cast<std::size_t>(std::find(first.begin(), first.end(), i) - first.begin());
        auto const held = rank < prefix_held.size() ? prefix_held[rank] : 0.0;
        auto const unread = std::max(static_cast<double>(request.prompt_tokens_) -
                                         held * static_cast<double>(request.shared_tokens_),
                                     0.0);
        auto const usual = usual_delay(each, request, unread);
        auto const expected = expected_delay(each, request, usual);
        auto const step =
            (each.kv_tokens_ == 0 ? service_step(each, request) : usual.work_ + delay_per_engine_request_ms) *
            each.slowness_;
        results.push_back({i, unread_prompt_tokens(request, rank == 0), expected, usual.work_,
                           each.kv_tokens_ == 0 ? service_queue(each, request) : usual.wait_});
        options.push_back(
            {i,
             expected + each.excess_latency_ms_ + (each.recently_failed_ ? recent_failure_penalty_ms : 0.0),
             std::max(step, 1.0), most});
    }
    if (options.empty()) {
        return std::nullopt;
    }
    if (request.unheard_ > 0) {
        return results[draw(options, request.unheard_, request.tie_breaker_)];
    }
    auto const best = std::min_element(options.begin(), options.end(), [&](option const& a, option const& b) {
        auto const tie = [&](option const& of) {
            return ~stable_hash(candidates[of.index_].id_, request.tie_breaker_);
        };
        return a.delay_ != b.delay_ ? a.delay_ < b.delay_ : tie(a) < tie(b);
    });
    return results[static_cast<std::size_t>(best - options.begin())];
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
                                                  choice_request const& request)
{
    if (request.contested_) {
        return choose_contested(candidates, request);
    }
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
        auto const unread = static_cast<double>(unread_prompt_tokens(request, preferred == i));
        auto const expected =
            expected_delay(candidates[i], request, usual_delay(candidates[i], request, unread));
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
                                                   best_expected, 0, 0}}
                : std::nullopt;
}

} // namespace auburnchute
