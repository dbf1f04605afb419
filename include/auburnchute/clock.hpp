#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <memory>

namespace auburnchute {

/// \brief A point in time or a duration in milliseconds; the time type of all interfaces of this library.
///
/// \code
/// auto const deadline = now(clk) + millis{20'000};
/// \endcode
struct millis {
    std::int64_t count_{};

    friend constexpr auto operator<=>(millis, millis) noexcept = default;
    friend constexpr millis operator+(millis a, millis b) noexcept { return {a.count_ + b.count_}; }
    friend constexpr millis operator-(millis a, millis b) noexcept { return {a.count_ - b.count_}; }
    friend constexpr millis operator*(millis a, std::int64_t n) noexcept { return {a.count_ * n}; }
    friend constexpr millis operator/(millis a, std::int64_t n) noexcept { return {a.count_ / n}; }
    constexpr millis& operator+=(millis other) noexcept
    {
        count_ += other.count_;
        return *this;
    }
};

/// \brief A time source: the system's monotonic clock, or a manual clock in tests.
///
/// Copies of a manual clock share the same time.
/// Thread safety: all functions on a clock may be called from any thread.
struct clock {
    std::shared_ptr<std::atomic<std::int64_t>> manual_{}; ///< Null for the monotonic clock.
};

/// \brief Makes a clock whose time changes only by `advance`.
/// \returns A manual clock that reads \p start.
[[nodiscard]] clock make_manual_clock(millis start = {});

/// \brief Reads the clock. \returns Milliseconds since an arbitrary but fixed point in time.
[[nodiscard]] millis now(clock const& clk) noexcept;

/// \brief Reads the clock that also counts time during which the VM is suspended. Leases and the age of
/// received data are measured with it, because both go on ageing during a suspension. \returns Milliseconds
/// since the VM started. Thread safety: may be called from any thread.
[[nodiscard]] millis boot_now() noexcept;

/// \brief Moves a manual clock forward.
/// \pre `clk` was made by `make_manual_clock`; `step` is not negative.
void advance(clock& clk, millis step) noexcept;

/// \brief Reads the wall clock, for timestamps in logs and trace spans; never for decisions.
/// \returns Milliseconds since 1970-01-01 UTC.
[[nodiscard]] millis wall_now() noexcept;

} // namespace auburnchute
