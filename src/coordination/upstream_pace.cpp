#include <auburnchute/upstream_pace.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// A window of which this part, one in so many, was not used shows nothing of what its process can do.
constexpr std::int64_t used_part = 4;

/// What a refusal or a failure takes off the window: twice a late answer, as the caller has to go elsewhere.
constexpr std::int64_t fault_step = 2;

} // namespace

std::string_view name_of(pace_cause cause) noexcept
{
    switch (cause) {
    case pace_cause::started:
        return "started";
    case pace_cause::failed:
        return "failed";
    case pace_cause::held:
        return "held";
    case pace_cause::told:
        break;
    }
    return "told";
}

std::int64_t window_of(fleet_pace const& fleet, std::int64_t slots) noexcept
{
    return std::clamp<std::int64_t>(first_window + fleet.credit_, 1, std::max<std::int64_t>(slots, 1));
}

bool is_paced(fleet_pace const& fleet, std::int64_t slots) noexcept
{
    return fleet.pacers_ > 0 && window_of(fleet, slots) < slots;
}

void open_pace(upstream_pace& own, std::int64_t started_at, millis now) noexcept
{
    own = {.started_at_ = started_at, .open_ = true, .changed_at_ = now};
}

bool note_pace(upstream_pace& own, fleet_pace const& fleet, pace_signal signal, std::int64_t held,
               std::int64_t slots, millis now) noexcept
{
    own.changed_at_ = now;
    auto const window = window_of(fleet, slots);
    // Other VMs' parts may lie outside the bounds; what is beyond them is not to be made up for.
    auto const beyond = window - (first_window + fleet.credit_);
    std::int64_t step = 0;
    switch (signal) {
    case pace_signal::in_time:
        step = held * used_part >= window ? 1 : 0;
        break;
    case pace_signal::late:
        step = -1;
        break;
    case pace_signal::refused:
    case pace_signal::failed:
        step = -fault_step;
        break;
    }
    auto const next = std::clamp<std::int64_t>(window + step, 1, std::max<std::int64_t>(slots, 1));
    own.credit_ += beyond + next - window;
    if (next >= slots) {
        own.open_ = false;
        return true;
    }
    return false;
}

bool note_unpaced(upstream_pace& own, pace_signal signal) noexcept
{
    if (signal == pace_signal::in_time || signal == pace_signal::late) {
        own.failures_ = 0;
        return false;
    }
    return ++own.failures_ >= failures_before_pace;
}

bool settle_pace(upstream_pace& own, fleet_pace const& fleet, std::int64_t slots, millis now) noexcept
{
    if (!own.open_) {
        if (own.credit_ != 0 && now - own.changed_at_ > ended_pace_told) {
            own.credit_ = 0;
        }
        return false;
    }
    if (window_of(fleet, slots) >= slots) {
        own.open_ = false;
        own.changed_at_ = now;
        return true;
    }
    if (now - own.changed_at_ > silent_pace_limit) {
        own = {.started_at_ = own.started_at_, .changed_at_ = now};
        return true;
    }
    return false;
}

fleet_pace own_part(upstream_pace const& own) noexcept
{
    return {own.open_ ? 1 : 0, own.credit_};
}

} // namespace auburnchute
