#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Bound on the label values of one family. Further values are booked under the label `other`, so that
/// text from callers cannot fill the memory.
inline constexpr std::size_t max_label_values = 64;

/// \brief Counters, gauges and duration histograms, shown in the Prometheus text format.
///
/// A family has one name, one type (that of its first use) and at most one label. The names, label names and
/// help texts of the known families are in metrics.cpp; other names get the label name `label`.
/// Thread safety: all functions may be called from any thread; counting an existing label value takes only a
/// shared lock.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// \brief Adds to a counter. \pre `n` is not negative.
    void count(std::string_view name, std::string_view label = {}, std::int64_t n = 1);

    /// \brief Books a duration in a histogram of milliseconds.
    void observe(std::string_view name, std::string_view label, millis value);

    /// \brief Sets a gauge.
    void gauge(std::string_view name, std::string_view label, double value);

    /// \returns All families in the Prometheus text format, ordered by name and label.
    [[nodiscard]] std::string text() const;

private:
    struct registry;
    std::unique_ptr<registry> registry_;
};

} // namespace auburnchute
