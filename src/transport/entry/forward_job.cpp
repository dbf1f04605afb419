#include "transport/entry/forward_job.hpp"

#include "protocol/decision_log.hpp"
#include "transport/entry/event_stream.hpp"
#include "transport/entry/limit_keeper.hpp"
#include "transport/entry/peer_exchange.hpp"
#include "transport/entry/upstream_keeper.hpp"
#include "transport/entry/version_keeper.hpp"
#include "transport/entry/wait_keeper.hpp"

#include <auburnchute/ids.hpp>
#include <auburnchute/upstream_choice.hpp>

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Time constant of the smoothed request rates; a model that fell silent is forgotten within a minute.
constexpr double rate_memory_ms = 10'000.0;

/// When a caller may come back to a VM that lost the store: the store's usual outages last some seconds.
constexpr millis stale_retry_after{1'000};

/// When a caller may come back to a VM that has just started.
constexpr millis start_retry_after{500};

/// Least time until another VM may give orders after a holder fell silent; see order_lease.hpp.
constexpr millis takeover_time{3'000};

/// Time limit of a request whose route states none.
constexpr millis default_timeout{30'000};

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

/// Steps of the draw that decides whether a request of a crowded workspace is let through.
constexpr std::uint64_t draws = 10'000;

double cost_of(forward_job const& job)
{
    if (!job.workspace_->in_tokens_) {
        return 1;
    }
    return static_cast<double>(job.call_.has_token_counts_
                                   ? job.call_.prompt_tokens_ + job.call_.output_tokens_
                                   : job.workspace_->plain_tokens_);
}

/// The leading parts of the prompt that other requests have too: all but the last.
std::int64_t shared_tokens(request_attributes const& from)
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < from.prompt_parts_.size(); ++i) {
        tokens += from.prompt_parts_[i].tokens_;
    }
    return tokens;
}

std::uint64_t prefix_hash(forward_job const& job)
{
    if (job.call_.prompt_parts_.size() < 2) {
        return 0;
    }
    auto const shared = job.call_.prompt_parts_[job.call_.prompt_parts_.size() - 2].id_;
    return stable_hash(job.call_.model_ + "/" + job.call_.adapter_, shared) | 1U;
}

std::optional<own_answer> charge(entry_node& node, forward_job& job, millis now)
{
    auto& use = node.workspaces_[job.workspace_->name_];
    auto const units = cost_of(job);
    auto const visibility = peer_visibility_of(node.exchange_, now);
    use.asked_ += static_cast<std::int64_t>(units);
    bucket_request const wanted{.units_ = units,
                                .visibility_ = visibility,
                                .propagation_delay_ = propagation_delay(node.exchange_),
                                .draw_ = static_cast<double>(stable_hash(job.call_.request_id_) % draws) /
                                         static_cast<double>(draws)};
    if (serves_contested_load(node)) {
        return charge_in_order(node, job, use, wanted, now);
    }
    if (!try_spend(use.bucket_, wanted, now)) {
        log_failure("rate-limited", {{"id", job.call_.request_id_},
                                     {"workspace", job.workspace_->name_},
                                     {"units", static_cast<std::int64_t>(units)},
                                     {"level", static_cast<std::int64_t>(use.bucket_.level_)},
                                     {"rate", static_cast<std::int64_t>(use.bucket_.rate_)},
                                     {"heard_percent", static_cast<std::int64_t>(visibility.share_ * 100)}});
        return own_answer{too_many_requests, "rate-limited",
                          time_until_available(use.bucket_, units, visibility.share_)};
    }
    job.charged_ = units;
    use.used_ += static_cast<std::int64_t>(units);
    return std::nullopt;
}

choice_fault fault_of(version_fault fault) noexcept
{
    switch (fault) {
    case version_fault::unknown:
        return choice_fault::version_unknown;
    case version_fault::stale:
        return choice_fault::version_stale;
    case version_fault::none:
    case version_fault::awaited:
        break;
    }
    return choice_fault::version_awaited;
}

/// \returns The refusal of a request that takes a stream up which may not go on, or none.
std::optional<own_answer> refuse_take_up(entry_node const& node, forward_job const& job, millis now)
{
    if (job.route_->kind_ != route_type::stream || job.call_.resume_after_.empty()) {
        return std::nullopt;
    }
    if (!job.route_->resumable_) {
        return absence_is_certain(node, *job.config_, now)
                   ? own_answer{bad_request, "not-resumable", millis{-1}}
                   : own_answer{unavailable, "configuration-stale", stale_retry_after};
    }
    // Behind anything else no event can be told to be the next.
    if (!event_number(job.call_.resume_after_)) {
        return own_answer{bad_request, "malformed-event-id", millis{-1}};
    }
    return std::nullopt;
}

} // namespace

bool is_repeatable(forward_job const& job) noexcept
{
    return job.route_->kind_ == route_type::safe ||
           (job.route_->kind_ == route_type::stream && job.route_->resumable_ && !job.unnumbered_);
}

millis deadline_of(request_route const& route, request_attributes const& call, millis arrived)
{
    auto const allowed = route.timeout_ > millis{0} ? route.timeout_ : default_timeout;
    return arrived + (call.time_left_ ? std::min(allowed, *call.time_left_) : allowed);
}

std::optional<own_answer> authorize(entry_node const& node, forward_job& job, millis now)
{
    // Without the members, this VM does not know which part of the rates is its own.
    if (!job.config_ || !current_view(node).members_read_) {
        return own_answer{unavailable, "starting", start_retry_after};
    }
    bool const fresh = keys_are_fresh(node, now);
    job.route_ = match_route(*job.config_, job.call_.host_, job.call_.path_);
    if (job.route_ == nullptr) {
        // A VM without the newest configuration cannot know that there is no such route.
        return absence_is_certain(node, *job.config_, now)
                   ? own_answer{not_found, "no-route", millis{-1}}
                   : own_answer{unavailable, "configuration-stale", stale_retry_after};
    }
    if (!job.route_->open_ && !job.config_->workspaces_.empty()) {
        if (!fresh) {
            return own_answer{unavailable, "keys-stale", stale_retry_after};
        }
        auto const key = job.config_->keys_.find(job.call_.key_);
        if (key == job.config_->keys_.end()) {
            return absence_is_certain(node, *job.config_, now)
                       ? own_answer{unauthorized, "unknown-key", millis{-1}}
                       : own_answer{unavailable, "configuration-stale", stale_retry_after};
        }
        job.workspace_ = &job.config_->workspaces_[key->second];
    }
    return refuse_take_up(node, job, now);
}

std::optional<own_answer> admit(entry_node& node, forward_job& job, caller_request const& request)
{
    auto const now = boot_now();
    if (job.config_ && current_view(node).members_read_) {
        follow_limits(node, *job.config_, now);
    }
    if (auto refusal = authorize(node, job, now)) {
        return refusal;
    }
    // A stream goes on at the service that began it.
    auto const& stream = job.call_.stream_id_.empty() ? job.call_.request_id_ : job.call_.stream_id_;
    job.service_ = choose_service(*job.route_, stable_hash(stream));
    job.engine_ = find_engine(*job.config_, job.service_);
    job.deadline_ = deadline_of(*job.route_, job.call_, job.arrived_);
    auto const left = job.deadline_ - job.arrived_;
    auto const patience = job.route_->caller_stall_timeout_ > millis{0}
                              ? std::min(left, job.route_->caller_stall_timeout_)
                              : left;
    job.first_deadline_ = job.arrived_ + patience;
    job.urgency_ = job.workspace_ != nullptr && job.workspace_->priority_ ? *job.workspace_->priority_
                                                                          : job.route_->priority_;
    job.last_event_ = job.call_.resume_after_;
    note_time_limit(node, job);
    if (!may_begin(node, job.deadline_)) {
        return refuse_for_stop(node, now);
    }
    std::vector<trait_hash> trials; // begun when the request is sent
    if (auto refusal = refuse_deadly(node, job, request, trials)) {
        return refusal;
    }
    if (job.workspace_ != nullptr) {
        return charge(node, job, now);
    }
    return std::nullopt;
}

own_answer refuse_for_stop(entry_node const& node, millis now)
{
    return {unavailable, "stopping", stop_retry_after(*node.stop_, now, !ready_addresses(node, now).empty())};
}

void refund(entry_node& node, forward_job& job)
{
    if (job.charged_ <= 0) {
        return;
    }
    auto& use = node.workspaces_[job.workspace_->name_];
    use.used_ -= static_cast<std::int64_t>(job.charged_);
    auto const now = boot_now();
    charge_units(use.bucket_, -job.charged_, peer_visibility_of(node.exchange_, now), now);
    job.charged_ = 0;
}

choice choose(entry_node const& node, forward_job const& job)
{
    auto const view = current_view(node);
    auto const now = boot_now();
    std::vector<upstream_candidate> options;
    std::vector<upstream const*> entries;
    std::int64_t remote = 0;
    choice chosen;
    bool service_there = false;
    bool tried_by_other = false;
    std::optional<millis> held_until;
    auto const bound = version_for(node, job, now);
    if (bound.fault_ != version_fault::none) {
        bool const service_exists =
            std::any_of(view.upstreams_->begin(), view.upstreams_->end(), [&](auto const& known) {
                return known.second.service_ == job.service_ && !known.second.leaving_;
            });
        chosen.fault_ = service_exists ? fault_of(bound.fault_) : choice_fault::no_upstream;
        return chosen;
    }
    bool version_there = !bound.version_;
    bool other_version_can = false;
    for (auto const& [id, entry] : *view.upstreams_) {
        if (entry.service_ != job.service_ || entry.leaving_) {
            continue;
        }
        auto const own = node.upstreams_.find(id);
        bool const known = own != node.upstreams_.end();
        if (known && own->second.closed_until_ > now) {
            continue;
        }
        auto const access =
            known ? access_of(own->second.signals_, entry.started_at_, now) : upstream_access::open;
        if (access == upstream_access::leaving) {
            continue;
        }
        bool const astray = known && is_astray(own->second.signals_, entry.started_at_, entry.address_, now);
        if (astray && job.engine_ == nullptr) {
            continue;
        }
        service_there = true;
        version_there = version_there || entry.software_version_ == *bound.version_;
        if (job.engine_ != nullptr && !job.call_.model_.empty()) {
            auto const* const placement = find_placement(node.placements_, id, now);
            if (!is_usable(entry, placement != nullptr ? &placement->placement_ : nullptr, job.call_.model_,
                           job.call_.adapter_)) {
                continue;
            }
        }
        if (bound.version_ && entry.software_version_ != *bound.version_) {
            other_version_can = true;
            continue;
        }
        if (access == upstream_access::held) {
            auto const until = own->second.signals_.hold_until_;
            held_until = held_until ? std::min(*held_until, until) : until;
            continue;
        }
        if (access == upstream_access::trying) {
            tried_by_other = true;
            continue;
        }
        auto const use = fleet_use(node, id, known ? &own->second : nullptr);
        auto const standing = standing_of(node, entry, known ? &own->second : nullptr, use, now);
        remote += use.requests_ - (known ? own->second.use_.requests_ : 0);
        options.push_back(
            {.id_ = id,
             .running_ = standing.requests_,
             .slots_ = entry.slots_,
             .running_tokens_ = use.tokens_,
             .unread_tokens_ = use.unread_tokens_,
             .kv_tokens_ = job.engine_ != nullptr ? job.engine_->kv_tokens_ : 0,
             .excess_latency_ms_ = known ? current_excess_latency(own->second.excess_latency_, now) : 0.0,
             .same_zone_ = entry.availability_zone_ == node.settings_.availability_zone_,
             .recently_failed_ = astray || (known && own->second.suspect_until_ > now),
             .already_tried_ = std::find(job.used_.begin(), job.used_.end(), id) != job.used_.end(),
             .slowness_ = standing.slowness_,
             .window_left_ = standing.window_left_});
        entries.push_back(&entry);
    }
    if (options.empty() && tried_by_other) {
        chosen.fault_ = choice_fault::all_full; // until the try ends
        return chosen;
    }
    if (options.empty() && held_until) {
        chosen.fault_ = choice_fault::all_held;
        chosen.held_until_ = *held_until;
        return chosen;
    }
    if (options.empty() && bound.version_ && takes_up_stream(job) && (!version_there || other_version_can)) {
        chosen.fault_ = choice_fault::version_gone;
        return chosen;
    }
    if (options.empty() && other_version_can) {
        chosen.fault_ = choice_fault::version_awaited; // the plan follows the upstreams
        return chosen;
    }
    if (options.empty()) {
        chosen.fault_ = service_there ? choice_fault::not_loaded : choice_fault::no_upstream;
        return chosen;
    }
    auto const& from = job.call_;
    choice_request wanted{.prompt_tokens_ = from.prompt_tokens_,
                          .shared_tokens_ = shared_tokens(from),
                          .output_tokens_ = std::min(from.output_tokens_,
                                                     from.output_tokens_hint_.value_or(from.output_tokens_)),
                          .prefix_hash_ = prefix_hash(job),
                          .tie_breaker_ = stable_hash(from.request_id_)};
    add_contest(node, job, remote, now, wanted);
    auto const best = choose_upstream(options, wanted);
    if (!best) {
        chosen.fault_ = choice_fault::all_full;
        return chosen;
    }
    auto const& entry = *entries[best->index_];
    if (yields_room(node, job, entry, now)) {
        chosen.fault_ = choice_fault::all_full;
        chosen.yielded_ = true;
        return chosen;
    }
    auto const& option = options[best->index_];
    chosen.upstream_ = chosen_upstream{
        entry.id_,       entry.address_,        entry.started_at_,    entry.software_version_,
        option.running_, option.unread_tokens_, best->unread_tokens_, best->expected_ms_,
        best->work_ms_,  best->wait_ms_,        entry.slots_,         job.route_->target_latency_};
    return chosen;
}

millis load_remaining(entry_node const& node, forward_job const& job)
{
    auto const now = boot_now();
    std::optional<millis> least;
    for (auto const& [id, known] : node.placements_.entries_) {
        for (auto const& load : known.placement_.loading_) {
            auto const left = std::max(millis{0}, load.remaining_ - (now - known.received_at_));
            if (load.model_ == job.call_.model_ && (!least || left < *least)) {
                least = left;
            }
        }
    }
    if (least) {
        return *least;
    }
    auto const until_orders =
        is_holder_responsive(node, now) ? std::max(millis{0}, node.orders_from_ - now) : takeover_time;
    auto const* const model = find_hosted_model(*job.engine_, job.call_.model_);
    if (model == nullptr) {
        return until_orders;
    }
    auto const view = current_view(node);
    auto fastest = model->store_load_time_;
    for (auto const& [id, entry] : *view.upstreams_) {
        if (entry.service_ != job.service_ || entry.leaving_) {
            continue;
        }
        if (has_model(entry, model->name_, "")) {
            fastest = millis{0}; // only the adapter is missing
        } else if (entry.weights_in_memory_.contains(model->name_)) {
            fastest = std::min(fastest, model->memory_load_time_);
        } else if (entry.weights_on_disk_.contains(model->name_)) {
            fastest = std::min(fastest, model->disk_load_time_);
        }
    }
    return until_orders + fastest;
}

need_key need_of(forward_job const& job)
{
    return {job.service_, job.call_.model_, job.call_.adapter_};
}

double decayed_rate(own_need const& need, millis now) noexcept
{
    auto const age = static_cast<double>((now - need.rated_at_).count_);
    return need.rate_ * std::exp(-age / rate_memory_ms);
}

void note_need(entry_node& node, forward_job const& job, millis now)
{
    auto const key = need_of(job);
    // Callers may name any model; only one that an engine can load is worth remembering.
    if (!key.model_.empty() && !names_of_needs(node).contains(name_hash_of(key))) {
        return;
    }
    auto& need = need_of(node, key);
    need.rate_ = decayed_rate(need, now) + 1'000.0 / rate_memory_ms;
    need.rated_at_ = now;
}

std::span<request_trait const> traits_of(forward_job& job, caller_request const& request)
{
    if (job.traits_.empty()) {
        auto const workspace = job.workspace_ != nullptr ? std::string_view{job.workspace_->name_} : "";
        auto const target = std::string_view{request.target().data(), request.target().size()};
        auto const whole = stable_hash(
            request.body(), stable_hash(target, stable_hash(job.call_.host_, stable_hash(workspace))));
        std::vector<std::uint64_t> parts;
        for (std::size_t i = 0; i + 1 < job.call_.prompt_parts_.size(); ++i) {
            parts.push_back(job.call_.prompt_parts_[i].id_);
        }
        job.traits_ = traits_of(parts, stable_hash(job.service_), evidence_workspace(job), whole);
    }
    return job.traits_;
}

std::uint32_t evidence_workspace(forward_job const& job) noexcept
{
    return job.workspace_ != nullptr ? short_hash_of(job.workspace_->name_) | 1U : 0;
}

std::optional<own_answer> refuse_deadly(entry_node& node, forward_job& job, caller_request const& request,
                                        std::vector<trait_hash>& trials)
{
    trials.clear();
    if (node.evidence_.blocked_.empty()) {
        return std::nullopt;
    }
    auto verdict = judge_request(node, traits_of(job, request), evidence_workspace(job));
    if (!verdict.refused_) {
        trials = std::move(verdict.trials_);
        return std::nullopt;
    }
    log_failure("crashes-upstreams", {{"id", job.call_.request_id_},
                                      {"trait", trait_name(verdict.refused_for_)},
                                      {"tries", job.used_.size()},
                                      {"retry_ms", verdict.retry_after_.count_}});
    return own_answer{unavailable, "crashes-upstreams", verdict.retry_after_};
}

} // namespace auburnchute
