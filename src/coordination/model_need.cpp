#include <auburnchute/model_need.hpp>

#include <algorithm>

namespace auburnchute {

void add_need(model_need& sum, model_need const& more) noexcept
{
    sum.waiting_ += more.waiting_;
    sum.running_ += more.running_;
    sum.rate_ += more.rate_;
    sum.urgency_ = std::min(sum.urgency_, more.urgency_);
    sum.oldest_wait_ = std::max(sum.oldest_wait_, more.oldest_wait_);
}

bool is_usable(upstream const& entry, upstream_placement const* placement, std::string_view model,
               std::string_view adapter) noexcept
{
    bool const placement_is_current = placement != nullptr && placement->started_at_ == entry.started_at_;
    if (placement_is_current && placement->retiring_.contains(model)) {
        return false;
    }
    if (!placement_is_current) {
        return has_model(entry, model, adapter);
    }
    auto const found = placement->models_.find(model);
    return found != placement->models_.end() &&
           (adapter.empty() || found->second.adapters_.contains(adapter));
}

} // namespace auburnchute
