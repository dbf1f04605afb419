#include <auburnchute/order_lease.hpp>

#include <algorithm>

namespace auburnchute {

void observe_lease(lease_view& view, std::uint64_t end, std::optional<lease_record> newest, millis read_at)
{
    bool const unchanged = view.seen_at_ != millis{0} && view.end_ == end;
    if (!unchanged) {
        view.seen_at_ = read_at;
    }
    view.end_ = end;
    view.newest_ = std::move(newest);
    bool const still_own = view.newest_ && view.newest_->incarnation_ == view.incarnation_ &&
                           view.newest_->epoch_ == view.epoch_;
    if (view.epoch_ != 0 && !still_own) {
        drop_lease(view);
    }
}

bool may_take_lease(lease_view const& view, millis now) noexcept
{
    if (view.seen_at_ == millis{0}) {
        return false;
    }
    if (!view.newest_) {
        return true;
    }
    // The record is of an earlier process on this VM. That has ended, as its address could be bound again.
    if (view.newest_->vm_ == view.vm_) {
        return true;
    }
    return now - view.seen_at_ > lease_lifetime + lease_clock_margin;
}

lease_record next_lease_record(lease_view const& view, millis handover_gap, millis now)
{
    if (view.epoch_ != 0) {
        return {view.vm_, view.incarnation_, view.epoch_, view.orders_from_};
    }
    lease_record record{view.vm_, view.incarnation_, view.end_ + 1, now};
    if (view.newest_) {
        auto const after_gap = now + handover_gap + lease_clock_margin;
        // After a restart on the same VM, the handover gap of the earlier process continues; it does not
        // start anew.
        record.orders_from_ = view.newest_->vm_ == view.vm_
                                  ? std::clamp(view.newest_->orders_from_, now, after_gap)
                                  : after_gap;
    }
    return record;
}

void record_lease_append(lease_view& view, lease_record const& record, millis sent_at, std::uint64_t end)
{
    view.orders_from_ = record.orders_from_;
    view.epoch_ = record.epoch_;
    view.held_until_ = sent_at + lease_lifetime;
    view.end_ = end;
    view.newest_ = record;
    view.seen_at_ = sent_at;
}

void drop_lease(lease_view& view) noexcept
{
    view.epoch_ = 0;
    view.held_until_ = {};
}

bool holds_lease(lease_view const& view, millis now) noexcept
{
    return view.epoch_ != 0 && now < view.held_until_;
}

bool may_order(lease_view const& view, millis max_delivery_time, millis now) noexcept
{
    return view.epoch_ != 0 && now >= view.orders_from_ && now + max_delivery_time < view.held_until_;
}

} // namespace auburnchute
