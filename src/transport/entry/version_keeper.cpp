#include "transport/entry/version_keeper.hpp"

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <set>

namespace auburnchute {

namespace {

/// Pause between looks at whether a plan must follow.
constexpr millis plan_look_pause{200};

/// How long a plan must be due before a VM stores it that does not come first among those that read for all,
/// or does not read for all: the others may have lost the store. The latter add a part of the spread, so that
/// not all of a large fleet write at once.
constexpr millis deferred_plan_delay{1'000};
constexpr millis last_plan_delay{3'000};
constexpr std::uint64_t plan_delay_spread_ms = 4'000;

/// Time for which a caller that states no limit counts as waiting, at least.
constexpr millis least_unstated_limit{30'000};

/// \returns The time for which the caller of a new stream waits, all its attempts together.
millis limit_of(forward_job const& job) noexcept
{
    auto const unstated = std::max(job.route_->timeout_, least_unstated_limit);
    return std::min(job.call_.time_left_.value_or(unstated), max_time_limit);
}

std::set<std::string_view> services_with_streams(fleet_config const& config)
{
    std::set<std::string_view> services;
    for (auto const& route : config.routes_) {
        if (route.kind_ == route_type::stream) {
            for (auto const& part : route.services_) {
                services.insert(part.service_);
            }
        }
    }
    return services;
}

version_census census_of(entry_node const& node, fleet_config const& config, std::string_view service,
                         upstream_map const& upstreams, millis now)
{
    version_census census;
    auto const* const engine = find_engine(config, service);
    for (auto const& [id, entry] : upstreams) {
        if (entry.service_ != service) {
            continue;
        }
        census.present_.insert(entry.software_version_);
        if (entry.leaving_) {
            continue;
        }
        ++census.usable_[""][entry.software_version_];
        if (engine == nullptr) {
            continue;
        }
        auto const* const known = find_placement(node.placements_, id, now);
        auto const* const placement = known != nullptr ? &known->placement_ : nullptr;
        std::set<std::string_view> held;
        for (auto const& [model, state] : entry.models_) {
            held.insert(model);
        }
        if (placement != nullptr) {
            for (auto const& [model, state] : placement->models_) {
                held.insert(model);
            }
        }
        for (auto const model : held) {
            if (is_usable(entry, placement, model, "")) {
                ++census.usable_[std::string{model}][entry.software_version_];
            }
        }
    }
    return census;
}

millis plan_delay(entry_node const& node)
{
    if (!node.shared_.reads_for_all_.load(std::memory_order_acquire)) {
        auto const part = stable_hash(node.settings_.vm_) % plan_delay_spread_ms;
        return last_plan_delay + millis{static_cast<std::int64_t>(part)};
    }
    return node.shared_.defers_.load(std::memory_order_acquire) ? deferred_plan_delay : millis{0};
}

void plan_once(entry_node& node)
{
    auto const now = boot_now();
    auto const proof_at =
        millis{node.shared_.plans_proof_at_.load(std::memory_order_acquire)}; // before the plans
    auto const [config, upstreams, plans, seen_plans] = node.shared_.cell_.read([](entry_view const& view) {
        return std::tuple{view.config_, view.upstreams_, view.plans_, view.seen_plans_};
    });
    node.counters_.gauge("auburnchute_version_plans", "", static_cast<double>(plans->size()));
    if (!config || seen_plans.offset_ == 0) {
        return;
    }
    auto const timing = timing_of(node);
    if (now - proof_at > timing.fence_) {
        return;
    }
    for (auto const service : services_with_streams(*config)) {
        auto const known = plans->find(service);
        auto const* const plan = known != plans->end() ? &known->second : nullptr;
        auto const limit = node.longest_limits_.find(service);
        auto const longest = limit != node.longest_limits_.end() ? limit->second : millis{0};
        auto const census = census_of(node, *config, service, *upstreams, now);
        auto next = next_plan(plan, census, timing, longest, now);
        if (next && plan == nullptr) {
            number_plan(*next, seen_plans.offset_); // above those of all records before
        }
        if (!next) {
            node.plans_due_since_.erase(std::string{service});
            continue;
        }
        auto const due = node.plans_due_since_.try_emplace(std::string{service}, now).first->second;
        if (now - due < plan_delay(node)) {
            next = plan != nullptr ? raise_limit(*plan, longest) : std::nullopt; // only this VM may need it
        }
        if (next && node.offer_plan_) {
            node.offer_plan_(std::string{service}, std::move(*next));
        }
    }
}

net::awaitable<void> plan_regularly(entry_node& node)
{
    while (true) {
        plan_once(node);
        co_await pause_for(plan_look_pause);
    }
}

} // namespace

bool takes_up_stream(forward_job const& job) noexcept
{
    return job.route_->kind_ == route_type::stream &&
           (!job.call_.resume_after_.empty() || (job.route_->resumable_ && !job.call_.stream_id_.empty()));
}

bool needs_one_version(forward_job const& job) noexcept
{
    return job.route_->kind_ == route_type::stream;
}

version_timing timing_of(entry_node const& node) noexcept
{
    return {.fence_ = node.settings_.leave_in_force_,
            .begin_limit_ = freshness_bound(node.settings_.key_withdrawal_)};
}

void note_time_limit(entry_node& node, forward_job const& job)
{
    if (!needs_one_version(job) || takes_up_stream(job)) {
        return;
    }
    auto& longest = node.longest_limits_[job.service_];
    longest = std::max(longest, limit_of(job));
}

bound_version version_for(entry_node const& node, forward_job const& job, millis now)
{
    if (!needs_one_version(job)) {
        return {};
    }
    if (job.begun_at_version_) {
        return {job.begun_at_version_, version_fault::none};
    }
    bool const taken_up = takes_up_stream(job);
    auto const timing = timing_of(node);
    // The proof first: one of newer plans must not count for older ones.
    auto const proof_at = millis{node.shared_.plans_proof_at_.load(std::memory_order_acquire)};
    auto const plans = node.shared_.cell_.read([](entry_view const& view) { return view.plans_; });
    bool const unsettled = now < millis{node.shared_.plans_unsettled_until_.load(std::memory_order_acquire)};
    bool const stale = proof_at == millis{0} || unsettled ||
                       now - proof_at > (taken_up ? timing.fence_ : timing.begin_limit_);
    // A stream that its route lets nobody take up is not refused for lack of what only a take-up needs.
    bool const may_be_taken_up = taken_up || job.route_->resumable_;
    if (stale && may_be_taken_up) {
        return {std::nullopt, version_fault::stale};
    }
    auto const plan = plans->find(job.service_);
    auto const* const eras = plan != plans->end() ? eras_of(plan->second, job.call_.model_) : nullptr;
    if (eras == nullptr) {
        return {std::nullopt, version_fault::awaited}; // the first one is about to be stored
    }
    std::optional<std::string_view> version;
    if (taken_up) {
        auto const named = job.call_.stream_id_.empty()
                               ? std::nullopt
                               : std::optional<std::string_view>{job.call_.stream_id_};
        version = version_of_begun(
            *eras, named, began_after(plan->second, job.call_.time_left_, timing, job.arrived_), timing, now);
    } else if (stale) {
        version = eras->back().owner(slot_of(job.call_.request_id_));
    } else if (!may_be_taken_up || limit_of(job) <= plan->second.longest_limit_) {
        version = version_of_new(*eras, job.call_.request_id_, timing, now);
    }
    if (!version) {
        return {std::nullopt, taken_up ? version_fault::unknown : version_fault::awaited};
    }
    return {std::string{*version}, version_fault::none};
}

void keep_versions(entry_node& node)
{
    run_forever(node.loop_, "versions", [&node] { return plan_regularly(node); });
}

} // namespace auburnchute
