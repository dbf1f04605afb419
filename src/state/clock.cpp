#include <auburnchute/clock.hpp>

#include <chrono>
#include <ctime>

namespace auburnchute {

namespace {

template <typename Clock>
millis read_clock() noexcept
{
    auto const since_epoch = Clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

} // namespace

clock make_manual_clock(millis start)
{
    return {std::make_shared<std::atomic<std::int64_t>>(start.count_)};
}

millis now(clock const& clk) noexcept
{
    return clk.manual_ ? millis{clk.manual_->load(std::memory_order_acquire)}
                       : read_clock<std::chrono::steady_clock>();
}

millis boot_now() noexcept
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return {static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000};
}

void advance(clock& clk, millis step) noexcept
{
    clk.manual_->fetch_add(step.count_, std::memory_order_acq_rel);
}

millis wall_now() noexcept
{
    return read_clock<std::chrono::system_clock>();
}

} // namespace auburnchute
