#include "transport/entry/upstream_keeper.hpp"

#include "protocol/decision_log.hpp"

#include <algorithm>
#include <cmath>

namespace auburnchute {

namespace {

/// Units of a told row: hundredths of an answer, and thousandths of a logarithm.
constexpr double told_weight_unit = 100;
constexpr double told_log_unit = 1'000;

/// Least evidence, in answers, that is told, and the least difference from the usual pace if nothing is in
/// flight: a smaller one changes no choice.
constexpr double least_told_weight = 0.25;
constexpr double least_told_difference = 0.25;

/// Least time between two looks at all paces.
constexpr millis settle_round{500};

/// Part of the callers' target after which an answer counts as late: a window has to close before callers
/// notice.
constexpr double late_part = 0.5;

/// Times the service's present average after which an answer counts as late: where all upstreams are slow, no
/// single one is to blame.
constexpr double late_factor = 2;

/// Callers' target in ms where the route states none.
constexpr double default_target_ms = 1'000;

/// Part of the time to the first deadline after which a request goes to any process that has room: it would
/// be refused at half of it.
constexpr double last_resort_part = 0.25;

own_use& followed_use(entry_node& node, upstream const& entry)
{
    auto& own = use_of(node, entry.id_);
    if (own.pace_.started_at_ != entry.started_at_ || own.pace_hash_ == 0) {
        own.slowness_hash_ = short_hash_of("slowness of " + entry.id_);
        own.pace_hash_ = short_hash_of("pace of " + entry.id_ + "@" + std::to_string(entry.started_at_));
    }
    return own;
}

fleet_pace fleet_pace_of(entry_node const& node, own_use const& own)
{
    auto const told = remote_use(node.exchange_, own.pace_hash_);
    auto const part = own_part(own.pace_);
    return {std::max<std::int64_t>(told.requests_, 0) + part.pacers_, told.tokens_ + part.credit_};
}

slowness_evidence fleet_evidence(entry_node const& node, own_use const& own, millis now)
{
    auto sum = current_evidence(own.slowness_, now);
    auto const told = remote_use(node.exchange_, own.slowness_hash_);
    sum.weight_ += static_cast<double>(told.requests_) / told_weight_unit;
    sum.log_sum_ += static_cast<double>(told.tokens_) / told_log_unit;
    return sum;
}

void show_paces(entry_node& node)
{
    auto const open = std::count_if(node.upstreams_.begin(), node.upstreams_.end(),
                                    [](auto const& each) { return each.second.pace_.open_; });
    node.counters_.gauge("auburnchute_upstream_paces", "", static_cast<double>(open));
}

void begin_pace(entry_node& node, std::string const& id, own_use& own, std::int64_t started_at,
                pace_cause cause, millis now)
{
    open_pace(own.pace_, started_at, now);
    log_decision("upstream-paced", {{"upstream", id}, {"cause", name_of(cause)}});
    node.counters_.count("auburnchute_upstream_pace_total", name_of(cause));
    show_paces(node);
}

void end_pace(entry_node& node, std::string const& id, own_use const& own)
{
    log_decision("upstream-pace-ended", {{"upstream", id}, {"credit", own.pace_.credit_}});
    node.counters_.count("auburnchute_upstream_pace_total", "ended");
    show_paces(node);
}

/// Looks for processes that have started since the last look. What is there at a VM's first look may have run
/// for long.
void follow_starts(entry_node& node, millis now)
{
    auto view = current_view(node).upstreams_;
    auto& keeping = node.keeping_;
    if (view == keeping.followed_) {
        return;
    }
    bool const first = keeping.followed_ == nullptr;
    if (first) {
        for (auto const& [id, entry] : *view) {
            keeping.newest_at_first_ = std::max(keeping.newest_at_first_, entry.started_at_);
        }
    }
    for (auto const& [id, entry] : *view) {
        auto& own = followed_use(node, entry);
        if (own.pace_.started_at_ >= entry.started_at_) {
            continue;
        }
        own.pace_ = {.started_at_ = entry.started_at_};
        own.slowness_ = {};
        own.report_.reset();
        if (!first && entry.started_at_ > keeping.newest_at_first_) {
            begin_pace(node, id, own, entry.started_at_, pace_cause::started, now);
        }
    }
    keeping.followed_ = std::move(view);
}

void settle_paces(entry_node& node, millis now)
{
    auto& keeping = node.keeping_;
    if (now - keeping.settled_at_ < settle_round || !keeping.followed_) {
        return;
    }
    keeping.settled_at_ = now;
    for (auto& [id, own] : node.upstreams_) {
        if (!own.pace_.open_ && own.pace_.credit_ == 0) {
            continue;
        }
        auto const entry = keeping.followed_->find(id);
        bool const there = entry != keeping.followed_->end();
        if (!there) {
            own.pace_ = {.started_at_ = own.pace_.started_at_};
        } else if (settle_pace(own.pace_, fleet_pace_of(node, own), entry->second.slots_, now)) {
            end_pace(node, id, own);
        }
    }
}

/// Books the end of a request at a process, with a pace or without.
void book_signal(entry_node& node, chosen_upstream const& upstream, pace_signal signal, millis now)
{
    auto const found = node.upstreams_.find(upstream.id_);
    if (found == node.upstreams_.end() || found->second.pace_.started_at_ != upstream.started_at_) {
        return;
    }
    auto& own = found->second;
    auto const fleet = fleet_pace_of(node, own);
    if (is_paced(fleet, upstream.slots_)) {
        if (!own.pace_.open_) {
            begin_pace(node, upstream.id_, own, upstream.started_at_, pace_cause::told, now);
        }
        if (note_pace(own.pace_, fleet_pace_of(node, own), signal, upstream.known_running_, upstream.slots_,
                      now)) {
            end_pace(node, upstream.id_, own);
        }
    } else if (note_unpaced(own.pace_, signal)) {
        begin_pace(node, upstream.id_, own, upstream.started_at_, pace_cause::failed, now);
    }
}

} // namespace

upstream_standing standing_of(entry_node const& node, upstream const& entry, own_use const* own,
                              upstream_use const& use, millis now)
{
    upstream_standing standing{.requests_ = use.requests_, .window_left_ = std::nullopt};
    if (!serves_contested_load(node) || !node.keeping_.followed_) {
        return standing;
    }
    if (own == nullptr || own->pace_.started_at_ != entry.started_at_) {
        if (entry.started_at_ > node.keeping_.newest_at_first_) {
            standing.window_left_ = first_window - use.requests_;
        }
        return standing;
    }
    standing.requests_ = requests_at(use.requests_, own->report_, propagation_delay(node.exchange_), now);
    standing.slowness_ = slowness_of(fleet_evidence(node, *own, now));
    if (auto const fleet = fleet_pace_of(node, *own); is_paced(fleet, entry.slots_)) {
        standing.window_left_ = window_of(fleet, entry.slots_) - use.requests_;
    }
    return standing;
}

void add_contest(entry_node const& node, forward_job const& job, std::int64_t remote, millis now,
                 choice_request& request)
{
    if (!serves_contested_load(node)) {
        return;
    }
    auto const known = node.keeping_.times_.find(job.service_);
    auto const times = known != node.keeping_.times_.end() ? known->second : service_times{};
    request.contested_ = true;
    request.unheard_ = unheard_requests(remote, times, propagation_delay(node.exchange_));
    request.usual_answer_ms_ = times.answer_ms_;
    auto const patience = static_cast<double>((job.first_deadline_ - job.arrived_).count_);
    request.last_resort_ =
        !job.used_.empty() || static_cast<double>((now - job.arrived_).count_) > patience * last_resort_part;
}

void take_load(entry_node& node, std::string const& upstream_id, std::optional<reported_load> const& load,
               millis now)
{
    if (!load) {
        return;
    }
    node.upstreams_tell_pace_ = node.upstreams_tell_pace_ || load->slowness_.has_value();
    if (serves_contested_load(node)) {
        use_of(node, upstream_id).report_ = load_report{*load, now, 0};
    }
}

void note_sent(entry_node& node, chosen_upstream const& upstream, millis now)
{
    if (!serves_contested_load(node)) {
        return;
    }
    follow_starts(node, now);
    settle_paces(node, now);
    if (auto& report = use_of(node, upstream.id_).report_) {
        ++report->sent_since_;
    }
}

void note_begun(entry_node& node, chosen_upstream const& upstream, std::string const& service, millis began,
                millis now)
{
    if (!serves_contested_load(node)) {
        return;
    }
    auto const took = now - began;
    auto& times = node.keeping_.times_[service];
    auto const usual_ms = times.answer_ms_;
    record_answer(times, took);
    auto& own = use_of(node, upstream.id_);
    bool const just_told = own.report_ && own.report_->told_at_ >= began;
    record_slowness(own.slowness_,
                    {.work_ms_ = upstream.work_ms_,
                     .wait_ms_ = upstream.wait_ms_,
                     .took_ = took,
                     .told_slowness_ = just_told ? own.report_->load_.slowness_ : std::nullopt},
                    now);
    auto const target =
        upstream.target_ > millis{0} ? static_cast<double>(upstream.target_.count_) : default_target_ms;
    bool const late = static_cast<double>(took.count_) > std::max(target * late_part, usual_ms * late_factor);
    book_signal(node, upstream, late ? pace_signal::late : pace_signal::in_time, now);
}

void note_held(entry_node& node, std::string const& service, millis held)
{
    if (serves_contested_load(node)) {
        record_hold(node.keeping_.times_[service], held);
    }
}

void note_fault(entry_node& node, chosen_upstream const& upstream, try_result result, bool gone, millis now)
{
    if (!serves_contested_load(node) || result == try_result::answered) {
        return;
    }
    auto& own = use_of(node, upstream.id_);
    bool const begins = gone || own.signals_.hold_until_ > now;
    if (begins && own.pace_.started_at_ == upstream.started_at_ && !own.pace_.open_) {
        begin_pace(node, upstream.id_, own, upstream.started_at_,
                   gone ? pace_cause::failed : pace_cause::held, now);
        return;
    }
    book_signal(node, upstream, result == try_result::refused ? pace_signal::refused : pace_signal::failed,
                now);
}

std::vector<upstream_use_row> told_standing(entry_node const& node, millis now)
{
    std::vector<upstream_use_row> rows;
    if (!serves_contested_load(node)) {
        return rows;
    }
    for (auto const& [id, own] : node.upstreams_) {
        if (own.pace_hash_ == 0) {
            continue;
        }
        auto const evidence = current_evidence(own.slowness_, now);
        bool const unusual = std::abs(slowness_of(evidence) - 1) > least_told_difference;
        if (evidence.weight_ >= least_told_weight && (unusual || own.use_.requests_ > 0)) {
            rows.push_back({own.slowness_hash_,
                            {std::llround(evidence.weight_ * told_weight_unit),
                             std::llround(evidence.log_sum_ * told_log_unit), 0}});
        }
        if (auto const part = own_part(own.pace_); part.pacers_ != 0 || part.credit_ != 0) {
            rows.push_back({own.pace_hash_, {part.pacers_, part.credit_, 0}});
        }
    }
    return rows;
}

} // namespace auburnchute
