#include <auburnchute/admission.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace auburnchute {

namespace {

double cost(waiting_request const& request) noexcept
{
    return static_cast<double>(std::max<std::int64_t>(request.tokens_, 1)) /
           static_cast<double>(std::max<std::int64_t>(request.weight_, 1));
}

/// Virtual start time of the workspace's next request. A workspace that was idle starts at the present
/// virtual time, so that it accumulates no credit.
double virtual_start(virtual_clock const& virtual_times, std::string_view workspace) noexcept
{
    auto const found = virtual_times.virtual_finish_.find(workspace);
    return found == virtual_times.virtual_finish_.end()
               ? virtual_times.virtual_time_
               : std::max(virtual_times.virtual_time_, found->second);
}

virtual_clock const& virtual_clock_of(wait_queue const& queue, std::string_view model) noexcept
{
    static virtual_clock const initial;
    auto const found = queue.virtual_clocks_.find(model);
    return found == queue.virtual_clocks_.end() ? initial : found->second;
}

waiting_request remove_at(wait_queue& queue, std::size_t index)
{
    auto taken = std::move(queue.waiting_[index]);
    if (index + 1 != queue.waiting_.size()) {
        queue.waiting_[index] = std::move(queue.waiting_.back());
    }
    queue.waiting_.pop_back();
    return taken;
}

/// Waiting requests of one workspace in one effective class.
struct backlog {
    std::int64_t requests_{};
    double cost_{};
};

/// Estimated number of waiting requests of the model that would be taken before a new one.
double requests_ahead(wait_queue const& queue, waiting_request const& request, millis now)
{
    auto const own_class = effective_class(request, queue.aging_, now);
    double ahead = 0;
    std::map<std::string_view, backlog> same_class;
    for (auto const& other : queue.waiting_) {
        if (other.model_ != request.model_ || other.deadline_ <= now) {
            continue;
        }
        auto const other_class = effective_class(other, queue.aging_, now);
        if (other_class < own_class) {
            ahead += 1;
        } else if (other_class == own_class) {
            auto& entry = same_class[other.workspace_];
            ++entry.requests_;
            entry.cost_ += cost(other);
        }
    }
    auto const& virtual_times = virtual_clock_of(queue, request.model_);
    auto start = virtual_start(virtual_times, request.workspace_);
    if (auto const own = same_class.find(request.workspace_); own != same_class.end()) {
        ahead += static_cast<double>(own->second.requests_);
        start += own->second.cost_;
    }
    for (auto const& [workspace, entry] : same_class) {
        if (workspace == request.workspace_) {
            continue;
        }
        auto const before = start - virtual_start(virtual_times, workspace);
        if (before > 0) {
            ahead += std::min(static_cast<double>(entry.requests_),
                              std::ceil(before / entry.cost_ * static_cast<double>(entry.requests_)));
        }
    }
    return ahead;
}

} // namespace

int effective_class(waiting_request const& request, millis aging, millis now) noexcept
{
    auto const original = static_cast<std::int64_t>(request.priority_);
    if (aging.count_ <= 0) {
        return static_cast<int>(original);
    }
    auto const classes_raised = std::max<std::int64_t>((now - request.arrived_).count_, 0) / aging.count_;
    return static_cast<int>(std::max<std::int64_t>(original - classes_raised, 0));
}

enqueue_verdict enqueue(wait_queue& queue, waiting_request request, wait_estimate const& estimate, millis now)
{
    if (request.deadline_ <= now) {
        return enqueue_verdict::too_late;
    }
    auto const own = std::count_if(queue.waiting_.begin(), queue.waiting_.end(),
                                   [&](auto const& other) { return other.workspace_ == request.workspace_; });
    if (queue.waiting_.size() + static_cast<std::size_t>(own) >= queue.limit_) {
        return enqueue_verdict::queue_full;
    }
    auto wait = static_cast<double>(estimate.load_remaining_.count_);
    if (estimate.served_per_second_ > 0) {
        wait += requests_ahead(queue, request, now) / estimate.served_per_second_ * 1'000;
    }
    if (wait >= static_cast<double>((request.deadline_ - now).count_)) {
        return enqueue_verdict::too_late;
    }
    queue.waiting_.push_back(std::move(request));
    return enqueue_verdict::queued;
}

std::optional<waiting_request> take_next(wait_queue& queue, std::string_view model, millis now,
                                         std::span<std::uint64_t const> passed_over)
{
    std::optional<std::size_t> best;
    std::size_t of_model = 0;
    auto const& current_times = virtual_clock_of(queue, model);
    auto const rank = [&](waiting_request const& request) {
        return std::tuple{effective_class(request, queue.aging_, now),
                          virtual_start(current_times, request.workspace_), request.arrived_,
                          request.ticket_};
    };
    for (std::size_t i = 0; i < queue.waiting_.size(); ++i) {
        auto const& request = queue.waiting_[i];
        if (request.model_ != model || request.deadline_ <= now) {
            continue;
        }
        ++of_model;
        if (std::find(passed_over.begin(), passed_over.end(), request.ticket_) != passed_over.end()) {
            continue;
        }
        if (!best || rank(request) < rank(queue.waiting_[*best])) {
            best = i;
        }
    }
    if (of_model <= 1) {
        // With at most one request waiting, no workspace competes for the model.
        if (auto const found = queue.virtual_clocks_.find(model); found != queue.virtual_clocks_.end()) {
            queue.virtual_clocks_.erase(found);
        }
        return best ? std::optional{remove_at(queue, *best)} : std::nullopt;
    }
    if (!best) {
        return std::nullopt;
    }
    auto taken = remove_at(queue, *best);
    auto& virtual_times = queue.virtual_clocks_[taken.model_];
    virtual_times.virtual_time_ = virtual_start(virtual_times, taken.workspace_);
    virtual_times.virtual_finish_[taken.workspace_] = virtual_times.virtual_time_ + cost(taken);
    std::erase_if(virtual_times.virtual_finish_,
                  [&](auto const& entry) { return entry.second <= virtual_times.virtual_time_; });
    return taken;
}

std::vector<waiting_request> take_expired(wait_queue& queue, millis now)
{
    std::vector<waiting_request> expired;
    for (std::size_t i = 0; i < queue.waiting_.size();) {
        if (queue.waiting_[i].deadline_ <= now) {
            expired.push_back(remove_at(queue, i));
        } else {
            ++i;
        }
    }
    return expired;
}

bool cancel(wait_queue& queue, std::uint64_t ticket) noexcept
{
    for (std::size_t i = 0; i < queue.waiting_.size(); ++i) {
        if (queue.waiting_[i].ticket_ == ticket) {
            remove_at(queue, i);
            return true;
        }
    }
    return false;
}

std::optional<millis> next_deadline(wait_queue const& queue) noexcept
{
    std::optional<millis> earliest;
    for (auto const& request : queue.waiting_) {
        if (!earliest || request.deadline_ < *earliest) {
            earliest = request.deadline_;
        }
    }
    return earliest;
}

} // namespace auburnchute
