#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <optional>

namespace auburnchute {

/// \brief What an upstream's answer tells of its load at that moment.
struct reported_load {
    std::int64_t running_{};
    std::int64_t waiting_{};
    std::int64_t slots_{};
    std::optional<double> slowness_; ///< How long work takes on its machine; 1: as usual, 2: twice as long.

    friend bool operator==(reported_load const&, reported_load const&) = default;
};

/// \brief The newest report of an upstream, and what this VM has sent since. Thread safety: the caller owns
/// it.
struct load_report {
    reported_load load_;
    millis told_at_{};
    std::int64_t sent_since_{}; ///< Requests that this VM sent to it after the report.
};

/// \brief Weighted logarithms of an upstream's slowness. Those of several VMs add up.
struct slowness_evidence {
    double log_sum_{};
    double weight_{}; ///< In answers.
};

/// \brief Evidence of this VM's own answers; it fades. Thread safety: the caller owns it.
struct slowness_estimate {
    slowness_evidence evidence_;
    millis updated_at_{};
};

/// \brief One answer, measured against what was expected of an upstream with the usual pace.
struct timed_answer {
    double work_ms_{}; ///< Of the request itself.
    double wait_ms_{}; ///< For the requests that were known to be before it.
    millis took_{};    ///< Until the answer began.
    std::optional<double> told_slowness_;
};

/// \brief How long requests of a service take at this VM, as moving averages; 0: not known yet.
struct service_times {
    double answer_ms_{}; ///< Until the answer begins.
    double held_ms_{};   ///< Until it ends.
};

/// \brief Bounds of a slowness. A machine outside them is as good as not there, or its clock is wrong.
inline constexpr double least_slowness = 0.25;
inline constexpr double largest_slowness = 16;

/// \brief Adds an answer to the evidence. Of one that had to wait, only the part that is its own work counts,
/// as the wait may have been for requests that nobody here knew of.
void record_slowness(slowness_estimate& estimate, timed_answer const& answer, millis now) noexcept;

/// \returns The evidence as of now. Thread safety of the functions below: pure.
[[nodiscard]] slowness_evidence current_evidence(slowness_estimate const& estimate, millis now) noexcept;

/// \returns How long work takes by the evidence; near 1 where there is little.
[[nodiscard]] double slowness_of(slowness_evidence const& evidence) noexcept;

/// \returns Requests at an upstream. \param known Those in flight by the exchange of the VMs.
/// \param staleness Age that what is known of other VMs may have; an older report adds nothing.
[[nodiscard]] std::int64_t requests_at(std::int64_t known, std::optional<load_report> const& report,
                                       millis staleness, millis now) noexcept;

/// \brief Adds a finished request to the averages.
void record_answer(service_times& times, millis took) noexcept;
void record_hold(service_times& times, millis held) noexcept;

/// \returns How many requests other VMs have sent of which this VM has not heard yet, by Little's law.
/// \param remote Requests in flight by the exchange.
[[nodiscard]] double unheard_requests(std::int64_t remote, service_times const& times,
                                      millis staleness) noexcept;

} // namespace auburnchute
