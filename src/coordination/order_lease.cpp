#include <auburnchute/order_lease.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

/// Whether the topic may have held newer records than it has now.
bool may_lack_records(lease_view const& view) noexcept
{
    return view.newest_ ? view.newest_->store_era_ < view.end_.era_ : view.highest_epoch_ > 0;
}

/// Whether the lease that this VM holds is the newest, as far as the topic shows.
bool is_own(lease_view const& view) noexcept
{
    auto const& newest = view.newest_;
    if (newest && newest->incarnation_ == view.incarnation_ && newest->epoch_ == view.epoch_) {
        return true;
    }
    return may_lack_records(view) && (!newest || newest->epoch_ < view.epoch_);
}

} // namespace

void note_epoch(lease_view& view, std::uint64_t epoch) noexcept
{
    view.highest_epoch_ = std::max(view.highest_epoch_, epoch);
}

void observe_lease(lease_view& view, store_position end, std::optional<lease_record> newest, millis read_at)
{
    bool const unchanged = view.seen_at_ != millis{0} && view.end_ == end;
    if (!unchanged) {
        view.seen_at_ = read_at;
    }
    view.end_ = end;
    view.newest_ = std::move(newest);
    note_epoch(view, view.newest_ ? view.newest_->epoch_ : 0);
    if (view.epoch_ != 0 && !is_own(view)) {
        drop_lease(view);
    }
}

bool may_take_lease(lease_view const& view, millis now) noexcept
{
    if (view.seen_at_ == millis{0}) {
        return false;
    }
    bool const certain = !may_lack_records(view);
    // One of this VM is of an earlier process. That has ended, as its address could be bound again.
    if (certain && (!view.newest_ || view.newest_->vm_ == view.vm_)) {
        return true;
    }
    return now - view.seen_at_ > lease_lifetime + lease_clock_margin;
}

lease_record next_lease_record(lease_view const& view, millis handover_gap, millis now)
{
    if (view.epoch_ != 0) {
        return {view.vm_, view.incarnation_, view.epoch_, view.orders_from_, view.end_.era_};
    }
    auto const epoch = std::max(view.end_.offset_, view.highest_epoch_) + 1;
    lease_record record{view.vm_, view.incarnation_, epoch, now, view.end_.era_};
    auto const after_gap = now + handover_gap + lease_clock_margin;
    if (may_lack_records(view)) {
        record.orders_from_ = after_gap;
    } else if (view.newest_) {
        // After a restart on the same VM, the handover gap of the earlier process continues; it does not
        // start anew.
        record.orders_from_ = view.newest_->vm_ == view.vm_
                                  ? std::clamp(view.newest_->orders_from_, now, after_gap)
                                  : after_gap;
    }
    return record;
}

void record_lease_append(lease_view& view, lease_record const& record, millis sent_at, store_position end)
{
    note_epoch(view, record.epoch_);
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
