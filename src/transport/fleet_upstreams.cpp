// The VM list, load reports and the reconciliation of replicas with what upstreams hold.
#include "protocol/logging.hpp"
#include "transport/fleet_control.hpp"
#include "transport/peer_link.hpp"

#include <auburnchute/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

constexpr millis vm_list_interval{1'000};
constexpr millis report_interval{500};

/// A member that was silent for this long is passed over for planning and polling.
constexpr millis preferred_silence{1'500};

/// Reads of the VM list in a row from which a VM must be absent before it counts as gone.
constexpr int absent_reads_needed = 2;

/// A report this much younger than a load must show the replica.
constexpr millis reconcile_margin{3'000};

} // namespace

std::optional<member_id> fleet_control::preferred(std::string const& key) const
{
    std::lock_guard const lock{mutex_};
    auto const live = live_members(*state_);
    for (auto const& member : preferred_members(key, live, live.size())) {
        if (member == self_) {
            return member;
        }
        auto const received = authority_.last_message_from_.find(member);
        if (received != authority_.last_message_from_.end() &&
            now(clock_) < received->second + preferred_silence) {
            return member;
        }
    }
    return std::nullopt;
}

bool fleet_control::is_preferred(std::string const& key) const
{
    auto const member = preferred(key);
    std::lock_guard const lock{mutex_};
    return member == self_;
}

void fleet_control::run_vm_list(std::stop_token const& stop)
{
    do {
        auto const vms = read_vm_list(config_.vm_list_address_);
        if (!vms) {
            metrics_.count("auburnchute_vm_list_errors_total");
            continue;
        }
        auto const folded = state();
        std::vector<record_body> proposals;
        std::set<std::string> listed;
        {
            std::lock_guard const lock{mutex_};
            list_leaving_.clear();
            for (auto const& vm : *vms) {
                listed.insert(vm.name_);
                if (vm.leaving_) {
                    list_leaving_.insert(vm.name_);
                }
                if (vm.is_entry_) {
                    listed_entries_[vm.name_] = vm.instance_;
                }
            }
        }
        for (auto const& vm : *vms) {
            auto const known = folded->upstreams_.find(vm.name_);
            bool const is_new =
                known == folded->upstreams_.end() || known->second.vm_instance_ != vm.instance_;
            if (!vm.is_entry_ && is_new && !vm.leaving_ && is_preferred(vm.name_)) {
                proposals.emplace_back(upstream_seen{vm.name_, vm.instance_, vm.address_,
                                                     vm.availability_zone_, vm.memory_mb_,
                                                     vm.honours_fencing_, vm.checks_sender_});
            }
        }
        for (auto const& [name, entry] : folded->upstreams_) {
            int const reads = listed.contains(name) ? 0 : absent_reads_[name] + 1;
            absent_reads_[name] = reads;
            if (reads >= absent_reads_needed && is_preferred(name)) {
                proposals.emplace_back(upstream_gone{name, entry.vm_instance_});
            }
        }
        for (auto const& [member, entry] : folded->members_) {
            bool const was_listed = listed_entries_.contains(member.vm_);
            bool const process_known_ended = entry.status_ == member_status::gone && !entry.by_suspicion_;
            if (was_listed && !listed.contains(member.vm_) && !process_known_ended &&
                is_preferred(member.vm_)) {
                proposals.emplace_back(member_gone{member, gone_evidence::vm_absent});
            }
        }
        for (auto& proposal : proposals) {
            (void)submit_and_wait(std::move(proposal), vm_list_interval);
        }
        publish();
    } while (pause(stop, vm_list_interval));
}

void fleet_control::run_stewards(std::stop_token const& stop)
{
    while (pause(stop, report_interval)) {
        auto const folded = state();
        std::set<std::string> wanted;
        for (auto const& [name, entry] : folded->upstreams_) {
            if (is_preferred(name)) {
                wanted.insert(name);
            }
        }
        {
            std::lock_guard const lock{mutex_};
            std::erase_if(stewarded_, [&](auto const& item) { return !wanted.contains(item.first); });
            std::erase_if(upstreams_,
                          [&](auto const& item) { return !folded->upstreams_.contains(item.first); });
            for (auto const& [name, entry] : folded->upstreams_) {
                auto& status = upstreams_[name];
                status.address_ = entry.address_;
                status.availability_zone_ = entry.availability_zone_;
                if (!status.counters_) {
                    status.counters_ = std::make_shared<upstream_counters>();
                }
            }
        }
        std::erase_if(steward_threads_, [&](auto const& item) { return !wanted.contains(item.first); });
        for (auto const& name : wanted) {
            if (!steward_threads_.contains(name)) {
                steward_threads_[name] = std::jthread{[this, name](std::stop_token const& own) {
                    do {
                        auto const current = state();
                        if (auto const it = current->upstreams_.find(name); it != current->upstreams_.end()) {
                            poll_upstream(name, it->second.address_);
                        }
                    } while (pause(own, report_interval));
                }};
            }
        }
        publish();
    }
}

void fleet_control::poll_upstream(std::string const& upstream, std::string const& address)
{
    auto const report = read_report(address);
    auto const time = now(clock_);
    {
        std::lock_guard const lock{mutex_};
        auto& held = stewarded_[upstream];
        if (held.reachable_ != report.has_value()) {
            log_change("report", upstream, report ? "the upstream answers" : "the upstream does not answer");
        }
        held.reachable_ = report.has_value();
        if (report) {
            held.report_ = *report;
            held.received_at_ = time;
        }
    }
    if (!report) {
        metrics_.count("auburnchute_report_errors_total", upstream);
        return;
    }
    take_report(upstream, *report, time);
    reconcile(upstream, *report);
}

void fleet_control::take_report(std::string const& upstream, upstream_report const& report,
                                millis received_at)
{
    std::lock_guard const lock{mutex_};
    auto const it = upstreams_.find(upstream);
    auto const entry = state_->upstreams_.find(upstream);
    if (it == upstreams_.end() || entry == state_->upstreams_.end()) {
        return;
    }
    if (!report.vm_instance_.empty() && report.vm_instance_ != entry->second.vm_instance_) {
        return; // The address belongs to another VM by now.
    }
    auto& status = it->second;
    auto const taken = received_at - report.age_;
    if (status.reported_once_ && taken < status.taken_at_) {
        return;
    }
    status.reported_ = report.running_ + report.waiting_;
    status.own_at_report_ = status.counters_->running_.load(std::memory_order_relaxed);
    status.taken_at_ = taken;
    status.reported_once_ = true;
    status.resumes_streams_ = report.resumes_streams_;
    status.software_version_ = report.software_version_;
    status.leaving_ = report.leaving_;
    status.counters_->refused_connections_.store(0, std::memory_order_relaxed);
    auto& cache = caches_[upstream];
    cache.by_model_.clear();
    for (auto const& [model, source] : report.cached_) {
        cache.by_model_[model] = source;
    }
}

void fleet_control::reconcile(std::string const& upstream, upstream_report const& report)
{
    auto const folded = state();
    auto const it = folded->upstreams_.find(upstream);
    if (it == folded->upstreams_.end() || report.vm_instance_ != it->second.vm_instance_ || !may_act()) {
        return;
    }
    auto const taken = now(clock_) - report.age_;
    for (auto const& [id, replica] : folded->replicas_) {
        if (replica.upstream_ != upstream) {
            continue;
        }
        auto const found = std::find_if(report.replicas_.begin(), report.replicas_.end(),
                                        [&id = id](reported_replica const& r) { return r.replica_ == id; });
        bool const present = found != report.replicas_.end();
        if (replica.status_ == replica_status::loading && is_gone(*folded, replica.executor_)) {
            if (present && found->loaded_) {
                (void)submit_and_wait(replica_loaded{id, false}, {1'000});
            } else if (!present) {
                (void)submit_and_wait(load_failed{id, false}, {1'000});
            }
            continue;
        }
        millis loaded_at{};
        member_id self;
        {
            std::lock_guard const lock{mutex_};
            auto const loaded = loaded_at_.find(id);
            loaded_at = loaded == loaded_at_.end() ? taken : loaded->second;
            self = self_;
        }
        if (replica.status_ == replica_status::loaded && !present && taken > loaded_at + reconcile_margin) {
            log_fault("report", upstream, "the upstream no longer holds replica " + id);
            (void)submit_and_wait(unload_decided{id, self}, {1'000});
        }
    }
}

} // namespace auburnchute
