#include <auburnchute/model_need.hpp>

#include <algorithm>

namespace auburnchute {

void add_needs(need_map& all, need_map const& more)
{
    for (auto const& [key, need] : more) {
        auto& sum = all[key];
        sum.waiting_ += need.waiting_;
        sum.running_ += need.running_;
        sum.rate_ += need.rate_;
        sum.urgency_ = std::min(sum.urgency_, need.urgency_);
        sum.oldest_wait_ = std::max(sum.oldest_wait_, need.oldest_wait_);
    }
}

bool is_usable(upstream const& entry, placement_notice const* notice, std::string_view model,
               std::string_view adapter) noexcept
{
    bool const notice_holds = notice != nullptr && notice->started_at_ == entry.started_at_;
    if (notice_holds && notice->retiring_.contains(model)) {
        return false;
    }
    if (!notice_holds) {
        return holds(entry, model, adapter);
    }
    auto const found = notice->models_.find(model);
    return found != notice->models_.end() && (adapter.empty() || found->second.adapters_.contains(adapter));
}

} // namespace auburnchute
