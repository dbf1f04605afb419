#include <auburnchute/upstream_choice.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Prompt tokens that an engine reads in a millisecond; the order of the engines on the platform's sheets.
constexpr double prompt_tokens_per_ms = 38.0;

/// Delay that each answering request adds to the first token of an engine, in ms: its tokens are made between
/// the pieces of a prompt.
constexpr double delay_per_answering_ms = 4.0;

/// Delay that each request under way adds at a plain service with one slot, in ms; the order of the work of
/// the services on the platform's sheets.
constexpr double delay_per_running_ms = 40.0;

/// Delay that an upstream outside the VM's availability zone adds, in ms.
constexpr double other_zone_ms = 2.0;

/// Disadvantage of an upstream that failed lately, in ms: it is used only if the others are very busy.
constexpr double suspect_ms = 5'000.0;

/// Weight of the newest answer in an upstream's lag.
constexpr double newest_weight = 0.3;

/// Time constant with which a lag fades, in ms: an upstream that was slow is tried again within seconds.
constexpr double lag_memory_ms = 4'000.0;

/// Largest lag that one answer counts for, in ms; beyond it callers leave.
constexpr double largest_lag_ms = 3'000.0;

/// Plain services queue a few requests; more than this many for each slot are not sent.
constexpr double plain_queue_factor = 1.5;

bool is_full(upstream_option const& option, choice_request const& request) noexcept
{
    if (option.kv_tokens_ == 0) {
        return static_cast<double>(option.running_) >=
               plain_queue_factor * static_cast<double>(option.slots_);
    }
    auto const needed = request.prompt_tokens_ + request.output_tokens_;
    bool const fits = option.running_ == 0 || option.running_tokens_ + needed <= option.kv_tokens_;
    return option.running_ >= option.slots_ || !fits;
}

std::int64_t unread_part(choice_request const& request, bool home) noexcept
{
    return std::max<std::int64_t>(request.prompt_tokens_ - (home ? request.shared_tokens_ : 0), 0);
}

double expected_delay(upstream_option const& option, choice_request const& request, bool home) noexcept
{
    auto delay = option.same_zone_ ? 0.0 : other_zone_ms;
    if (option.kv_tokens_ == 0) {
        return delay + delay_per_running_ms * static_cast<double>(option.running_) /
                           static_cast<double>(std::max<std::int64_t>(option.slots_, 1));
    }
    auto const unread = option.unread_tokens_ + unread_part(request, home);
    return delay + static_cast<double>(unread) / prompt_tokens_per_ms +
           delay_per_answering_ms * static_cast<double>(option.running_);
}

} // namespace

double current_lag(upstream_lag const& lag, millis now) noexcept
{
    auto const age = static_cast<double>((now - lag.noted_at_).count_);
    return lag.ms_ * std::exp(-std::max(0.0, age) / lag_memory_ms);
}

void note_answer_time(upstream_lag& lag, double expected_ms, millis took, millis now) noexcept
{
    auto const excess = std::clamp(static_cast<double>(took.count_) - expected_ms, 0.0, largest_lag_ms);
    lag.ms_ = current_lag(lag, now) * (1 - newest_weight) + excess * newest_weight;
    lag.noted_at_ = now;
}

std::optional<chosen_option> choose_upstream(std::span<upstream_option const> options,
                                             choice_request const& request) noexcept
{
    std::optional<std::size_t> home;
    std::uint64_t home_weight = 0;
    for (std::size_t i = 0; i < options.size() && request.prefix_hash_ != 0; ++i) {
        auto const weight = stable_hash(options[i].id_, request.prefix_hash_);
        if (!home || weight > home_weight) {
            home = i;
            home_weight = weight;
        }
    }
    std::optional<std::size_t> best;
    double best_delay = 0;
    double best_expected = 0;
    std::uint64_t best_draw = 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (options[i].used_ || is_full(options[i], request)) {
            continue;
        }
        auto const expected = expected_delay(options[i], request, home == i);
        auto const delay = expected + options[i].lag_ms_ + (options[i].suspect_ ? suspect_ms : 0.0);
        auto const draw = stable_hash(options[i].id_, request.draw_);
        if (!best || delay < best_delay || (delay == best_delay && draw > best_draw)) {
            best = i;
            best_delay = delay;
            best_expected = expected;
            best_draw = draw;
        }
    }
    return best ? std::optional{chosen_option{*best, unread_part(request, home == best), best_expected}}
                : std::nullopt;
}

} // namespace auburnchute
