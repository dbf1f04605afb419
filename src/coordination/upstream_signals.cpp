#include <auburnchute/upstream_signals.hpp>

#include <algorithm>
#include <utility>

namespace auburnchute {

bool note_signals(upstream_signals& known, std::int64_t started_at, answer_signals const& signals,
                  millis now) noexcept
{
    if (started_at < known.started_at_) {
        return false;
    }
    if (started_at > known.started_at_) {
        known = {.started_at_ = started_at};
    }
    if (signals.retry_after_) {
        known.hold_until_ = std::max(known.hold_until_, now + std::min(*signals.retry_after_, max_hold));
        known.untried_ = known.untried_ || *signals.retry_after_ > millis{0};
        known.hold_cut_ = known.hold_cut_ || *signals.retry_after_ >= max_hold;
    }
    return signals.leaving_ && !std::exchange(known.leaving_, true);
}

void note_astray(upstream_signals& known, std::int64_t started_at, std::string_view address,
                 millis first_pause, millis now)
{
    if (started_at < known.started_at_) {
        return;
    }
    if (started_at > known.started_at_) {
        known = {.started_at_ = started_at};
    }
    bool const again = known.astray_address_ == address;
    if (again && now < known.astray_until_) {
        return;
    }
    known.astray_pause_ = again ? std::min(known.astray_pause_ * 2, longest_astray_pause) : first_pause;
    known.astray_until_ = now + known.astray_pause_;
    known.astray_address_ = address;
}

void note_answered(upstream_signals& known, std::int64_t started_at) noexcept
{
    if (started_at == known.started_at_) {
        known.astray_address_.clear();
    }
}

bool is_astray(upstream_signals const& known, std::int64_t started_at, std::string_view address,
               millis now) noexcept
{
    return started_at <= known.started_at_ && known.astray_address_ == address && now < known.astray_until_;
}

bool begin_try(upstream_signals& known, std::int64_t started_at, millis now) noexcept
{
    if (started_at != known.started_at_ || !known.untried_ || known.trying_from_ > millis{0}) {
        return false;
    }
    known.trying_from_ = now;
    return true;
}

void end_try(upstream_signals& known, std::int64_t started_at, bool answered) noexcept
{
    if (started_at == known.started_at_) {
        known.trying_from_ = {};
        known.untried_ = known.untried_ && !answered;
        known.hold_cut_ = known.hold_cut_ && !answered;
    }
}

upstream_access access_of(upstream_signals const& known, std::int64_t started_at, millis now) noexcept
{
    if (started_at > known.started_at_) {
        return upstream_access::open;
    }
    if (known.leaving_) {
        return upstream_access::leaving;
    }
    if (now < known.hold_until_) {
        return upstream_access::held;
    }
    bool const trying =
        known.trying_from_ > millis{0} && (known.hold_cut_ || now - known.trying_from_ < try_limit);
    return trying ? upstream_access::trying : upstream_access::open;
}

} // namespace auburnchute
