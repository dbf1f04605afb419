#include <auburnchute/upstream_load.hpp>

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Time constant in ms with which evidence fades: a machine's pace may change for good at any time, and a
/// fleet has ten answers of each upstream within it.
constexpr double evidence_memory_ms = 8'000;

/// Answers that stand for the usual pace, so that a single odd one does not decide.
constexpr double usual_weight = 1;

/// Shortest work in ms that a pace can be told from; shorter work is lost in the network's times.
constexpr double least_work_ms = 5;

/// Weight of the newest sample in the averages of a service: about twenty requests count.
constexpr double newest_time_weight = 0.05;

double averaged(double before, millis sample) noexcept
{
    auto const ms = static_cast<double>(std::max<std::int64_t>(sample.count_, 1));
    return before > 0 ? before + (ms - before) * newest_time_weight : ms;
}

} // namespace

slowness_evidence current_evidence(slowness_estimate const& estimate, millis now) noexcept
{
    auto const age = static_cast<double>(std::max<std::int64_t>((now - estimate.updated_at_).count_, 0));
    auto const left = std::exp(-age / evidence_memory_ms);
    return {estimate.evidence_.log_sum_ * left, estimate.evidence_.weight_ * left};
}

void record_slowness(slowness_estimate& estimate, timed_answer const& answer, millis now) noexcept
{
    auto const told = std::clamp(answer.told_slowness_.value_or(1), least_slowness, largest_slowness);
    auto measured = told;
    auto weight = answer.told_slowness_ ? 1.0 : 0.0;
    if (answer.work_ms_ >= least_work_ms) {
        auto const expected = answer.work_ms_ + std::max(answer.wait_ms_, 0.0);
        auto const seen = static_cast<double>(answer.took_.count_) / expected;
        measured = std::clamp(std::max(seen, told), least_slowness, largest_slowness);
        weight = std::max(weight, answer.work_ms_ / expected);
    }
    auto const before = current_evidence(estimate, now);
    estimate.evidence_ = {before.log_sum_ + weight * std::log(measured), before.weight_ + weight};
    estimate.updated_at_ = now;
}

double slowness_of(slowness_evidence const& evidence) noexcept
{
    auto const weight = std::max(evidence.weight_, 0.0) + usual_weight;
    return std::clamp(std::exp(evidence.log_sum_ / weight), least_slowness, largest_slowness);
}

std::int64_t requests_at(std::int64_t known, std::optional<load_report> const& report, millis staleness,
                         millis now) noexcept
{
    if (!report || now - report->told_at_ > staleness) {
        return known;
    }
    return std::max(known, report->load_.running_ + report->load_.waiting_ + report->sent_since_);
}

void record_answer(service_times& times, millis took) noexcept
{
    times.answer_ms_ = averaged(times.answer_ms_, took);
}

void record_hold(service_times& times, millis held) noexcept
{
    times.held_ms_ = averaged(times.held_ms_, held);
}

double unheard_requests(std::int64_t remote, service_times const& times, millis staleness) noexcept
{
    auto const part =
        times.held_ms_ > 0 ? std::min(static_cast<double>(staleness.count_) / times.held_ms_, 1.0) : 1.0;
    return static_cast<double>(std::max<std::int64_t>(remote, 0)) * part;
}

} // namespace auburnchute
