// Heartbeats, loans, demand and votes between daemons.
#include "protocol/logging.hpp"
#include "transport/fleet_control.hpp"
#include "transport/peer_link.hpp"

#include <auburnchute/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

constexpr millis heartbeat_interval{500};
constexpr millis heartbeat_limit{700};

/// Peers that each daemon exchanges heartbeats with; all of them at today's sizes.
constexpr std::size_t watched_peers = 9;

/// Own crashes are repeated in heartbeats up to this number.
constexpr std::size_t max_told_crashes = 64;

} // namespace

std::vector<std::shared_ptr<fleet_control::peer_link>> fleet_control::links() const
{
    std::vector<std::shared_ptr<peer_link>> all;
    std::lock_guard const lock{mutex_};
    for (auto const& [member, link] : links_) {
        all.push_back(link);
    }
    return all;
}

std::shared_ptr<fleet_control::peer_link> fleet_control::link_to(member_id const& member) const
{
    std::lock_guard const lock{mutex_};
    auto const it = links_.find(member);
    return it == links_.end() ? nullptr : it->second;
}

void fleet_control::run_peers(std::stop_token const& stop)
{
    while (pause(stop, {200})) {
        auto const folded = state();
        std::vector<std::shared_ptr<peer_link>> added;
        std::vector<member_id> removed;
        {
            std::lock_guard const lock{mutex_};
            std::vector<member_id> others;
            for (auto const& [member, entry] : folded->members_) {
                if (entry.status_ != member_status::gone && member != self_) {
                    others.push_back(member);
                }
            }
            auto const watched = preferred_members(self_.vm_, others, watched_peers);
            for (auto const& member : watched) {
                if (!links_.contains(member)) {
                    auto link =
                        std::make_shared<peer_link>(member, folded->members_.at(member).peer_, security_);
                    links_[member] = link;
                    added.push_back(std::move(link));
                    // Silence counts from the first attempt, not from the start of the clock.
                    authority_.last_message_from_.try_emplace(member, now(clock_));
                }
            }
            for (auto const& [member, link] : links_) {
                if (std::find(watched.begin(), watched.end(), member) == watched.end()) {
                    removed.push_back(member);
                }
            }
            for (auto const& member : removed) {
                links_.erase(member);
                peer_demand_.erase(member);
            }
        }
        for (auto const& member : removed) {
            peer_threads_.erase(member);
        }
        for (auto const& link : added) {
            peer_threads_[link->member_] =
                std::jthread{[this, link](std::stop_token const& own) { heartbeat_peer(own, link); }};
        }
        vote_out_silent_members();
        return_loans();
    }
}

peer::v1::HeartbeatRequest fleet_control::make_heartbeat()
{
    peer::v1::HeartbeatRequest request;
    for (auto const& [workspace, units] : shares_.idle_units()) {
        auto* const idle = request.add_idle();
        idle->set_workspace(workspace);
        idle->set_units(units);
    }
    std::lock_guard const lock{mutex_};
    to_message(self_, *request.mutable_sender());
    request.set_next_offset(fold_.next_offset_);
    request.set_log_reachable(authority_.log_reachable_);
    request.set_stopping(stopping_);
    request.set_authority(last_authority_ != authority::lapsed);
    auto const time = now(clock_);
    for (auto const& [upstream, held] : stewarded_) {
        auto* const report = request.add_reports();
        report->set_upstream(upstream);
        report->set_vm_instance(held.report_.vm_instance_);
        report->set_age_ms((time - held.received_at_ + held.report_.age_).count_);
        report->set_running(static_cast<std::int32_t>(held.report_.running_));
        report->set_waiting(static_cast<std::int32_t>(held.report_.waiting_));
        report->set_leaving(held.report_.leaving_ || list_leaving_.contains(upstream));
        report->set_reachable(held.reachable_);
        report->set_resumes_streams(held.report_.resumes_streams_);
        report->set_software_version(held.report_.software_version_);
        for (auto const& [model, source] : held.report_.cached_) {
            auto* const cached = report->add_cached();
            cached->set_model(model);
            cached->set_source(static_cast<std::int32_t>(source));
        }
    }
    for (auto const& crash : fresh_crashes_) {
        auto* const row = request.add_crashes();
        row->set_fingerprint(crash.fingerprint_);
        row->set_upstream(crash.upstream_);
        row->set_isolated(crash.isolated_);
    }
    return request;
}

void fleet_control::heartbeat_peer(std::stop_token const& stop, std::shared_ptr<peer_link> const& link)
{
    do {
        auto const request = make_heartbeat();
        auto const sent = now(clock_);
        auto const reply = link->client_.heartbeat(request, heartbeat_limit);
        if (!reply) {
            metrics_.count("auburnchute_heartbeats_total", "failed");
            continue;
        }
        metrics_.count("auburnchute_heartbeats_total", "answered");
        metrics_.count("auburnchute_control_bytes_total", "heartbeat_sent",
                       static_cast<std::int64_t>(request.ByteSizeLong()));
        metrics_.count("auburnchute_control_bytes_total", "heartbeat_received",
                       static_cast<std::int64_t>(reply->ByteSizeLong()));
        std::lock_guard const lock{mutex_};
        auto const member = from_message(reply->sender());
        if (member != link->member_) {
            continue; // Another incarnation answers at the address; the fold will tell.
        }
        authority_.last_message_from_[member] = now(clock_);
        link->next_offset_ = reply->next_offset();
        link->log_reachable_ = reply->log_reachable();
        if (reply->outage_confirmed()) {
            authority_.outage_confirmed_by_[member] = sent;
        }
    } while (pause(stop, heartbeat_interval));
}

peer::v1::HeartbeatReply fleet_control::on_heartbeat(peer::v1::HeartbeatRequest const& request)
{
    auto const sender = from_message(request.sender());
    peer::v1::HeartbeatReply reply;
    auto const time = now(clock_);
    {
        std::lock_guard const lock{mutex_};
        authority_.last_message_from_[sender] = time;
        if (auto const it = links_.find(sender); it != links_.end()) {
            it->second->next_offset_ = request.next_offset();
            it->second->log_reachable_ = request.log_reachable();
            it->second->stopping_ = request.stopping();
            it->second->idle_units_.clear();
            for (auto const& idle : request.idle()) {
                it->second->idle_units_[idle.workspace()] = idle.units();
            }
        }
        for (auto const& crash : request.crashes()) {
            record_peer_crash(quarantine_, {crash.fingerprint(), crash.upstream(), {}, crash.isolated()},
                              time);
        }
        if (may_confirm_outage(*state_, authority_, sender)) {
            authority_.outage_confirmed_to_[sender] = time;
            reply.set_outage_confirmed(true);
        }
        to_message(self_, *reply.mutable_sender());
        reply.set_next_offset(fold_.next_offset_);
        reply.set_log_reachable(authority_.log_reachable_);
    }
    for (auto const& message : request.reports()) {
        upstream_report report;
        report.vm_instance_ = message.vm_instance();
        report.age_ = {message.age_ms()};
        report.running_ = message.running();
        report.waiting_ = message.waiting();
        report.leaving_ = message.leaving();
        report.resumes_streams_ = message.resumes_streams();
        report.software_version_ = message.software_version();
        for (auto const& cached : message.cached()) {
            report.cached_.emplace_back(cached.model(),
                                        static_cast<load_source>(std::clamp(cached.source(), 0, 2)));
        }
        if (message.reachable()) {
            take_report(message.upstream(), report, time);
        }
    }
    return reply;
}

peer::v1::BorrowReply fleet_control::on_borrow(peer::v1::BorrowRequest const& request)
{
    peer::v1::BorrowReply reply;
    auto const grant = shares_.lend_to(from_message(request.sender()), request.workspace(), request.version(),
                                       request.units());
    if (grant) {
        metrics_.count("auburnchute_loans_given_total");
        reply.set_version(grant->version_);
        reply.set_total_lent(grant->total_lent_);
        reply.set_tokens(grant->tokens_);
    }
    return reply;
}

void fleet_control::return_loans()
{
    for (auto const& due : shares_.collect_returns()) {
        auto const link = link_to(due.lender_);
        if (!link) {
            continue;
        }
        peer::v1::ReturnRequest request;
        {
            std::lock_guard const lock{mutex_};
            to_message(self_, *request.mutable_sender());
        }
        request.set_workspace(due.workspace_);
        request.set_version(due.returned_.version_);
        request.set_total_returned(due.returned_.total_returned_);
        request.set_tokens(due.returned_.tokens_);
        (void)link->client_.give_back(request, heartbeat_limit);
    }
}

void fleet_control::on_demand(peer::v1::DemandRequest const& request)
{
    auto const sender = from_message(request.sender());
    auto const time = now(clock_);
    std::map<model_key, model_demand> demand;
    for (auto const& item : request.demand()) {
        auto& entry = demand[{item.pool(), item.model(), item.adapter()}];
        entry.waiting_ = item.waiting();
        entry.running_ = item.running();
        entry.oldest_wait_ = {item.oldest_wait_ms()};
        entry.highest_ = static_cast<priority>(std::clamp(item.highest_priority(), 0, 3));
        entry.last_used_ = time - millis{item.idle_ms()};
        entry.mean_interval_ = {item.mean_interval_ms()};
    }
    {
        std::lock_guard const lock{mutex_};
        peer_demand_[sender] = std::move(demand);
        peer_demand_at_[sender] = time;
        demand_kick_ = true;
    }
    planner_wake_.notify_all();
}

peer::v1::FetchReply fleet_control::on_fetch(peer::v1::FetchRequest const& request)
{
    peer::v1::FetchReply reply;
    std::lock_guard const lock{mutex_};
    reply.set_log_reachable(authority_.log_reachable_);
    for (auto const& entry : recent_) {
        if (entry.offset_ >= request.from() &&
            static_cast<std::uint32_t>(reply.records_size()) < request.max()) {
            auto* const record = reply.add_records();
            record->set_offset(entry.offset_);
            record->set_log_time_ms(entry.log_time_.count_);
            record->set_data(entry.data_);
        }
    }
    return reply;
}

void fleet_control::vote_out_silent_members()
{
    std::vector<member_id> silent;
    member_id self;
    {
        std::lock_guard const lock{mutex_};
        if (!joined_ || last_authority_ != authority::fresh_log) {
            return;
        }
        self = self_;
        silent = cast_removal_votes(*state_, authority_, now(clock_));
        // Crash evidence in heartbeats bridges the time until the record is folded.
        if (fresh_crashes_.size() > max_told_crashes) {
            fresh_crashes_.erase(fresh_crashes_.begin(), fresh_crashes_.end() - max_told_crashes);
        }
    }
    for (auto const& member : silent) {
        log_change("heartbeat", to_string(member), "silent; votes for its removal");
        submit(member_suspected{self, member});
    }
}

} // namespace auburnchute
