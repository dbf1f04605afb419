#include "transport/entry/entry_node.hpp"

#include "protocol/decision_log.hpp"

#include <auburnchute/ids.hpp>
#include <auburnchute/order_lease.hpp>

#include <algorithm>
#include <map>

namespace auburnchute {

request_view current_view(entry_node const& node)
{
    return node.shared_.cell_.read([](entry_view const& view) {
        return request_view{view.config_, view.upstreams_, view.config_next_, view.members_read_};
    });
}

millis fresh_at(entry_node const& node) noexcept
{
    return std::max(millis{node.shared_.config_read_at_.load(std::memory_order_acquire)},
                    node.handed_freshness_);
}

bool keys_are_fresh(entry_node const& node, millis now) noexcept
{
    auto const at = fresh_at(node);
    return at > millis{0} && now - at < freshness_bound(node.settings_.key_withdrawal_);
}

bool absence_is_certain(entry_node const& node, millis now) noexcept
{
    // A confirmation may have come just after the proof, and answers take their time to the caller.
    constexpr millis answering_time{200};
    return keys_are_fresh(node, now) &&
           now - fresh_at(node) < node.settings_.config_in_force_ - answering_time;
}

bool is_holder_responsive(entry_node const& node, millis now) noexcept
{
    return node.own_lease_epoch_ != 0 || now - node.placements_.holder_message_at_ < holder_timeout;
}

upstream_use fleet_use(entry_node const& node, std::string_view upstream_id, own_use const* own)
{
    auto sum = remote_use(node.exchange_, own != nullptr ? own->hash_ : short_hash_of(upstream_id));
    if (own != nullptr) {
        sum.requests_ += own->use_.requests_;
        sum.tokens_ += own->use_.tokens_;
        sum.unread_tokens_ += own->use_.unread_tokens_;
    }
    return sum;
}

own_use& use_of(entry_node& node, std::string const& upstream_id)
{
    auto const [found, made] = node.upstreams_.try_emplace(upstream_id);
    if (made) {
        found->second.hash_ = short_hash_of(upstream_id);
    }
    return found->second;
}

void take_signals(entry_node& node, std::string const& upstream_id, std::int64_t started_at,
                  answer_signals const& signals)
{
    if (!signals.leaving_ && !signals.retry_after_) {
        return;
    }
    auto const now = boot_now();
    if (signals.retry_after_) {
        log_decision("upstream-held",
                     {{"upstream", upstream_id}, {"retry_ms", signals.retry_after_->count_}});
    }
    if (note_signals(use_of(node, upstream_id).signals_, started_at, signals, now) && node.leave_noticed_) {
        node.leave_noticed_({upstream_id, started_at, now});
    }
}

bool accepts_requests(entry_node const& node, std::string_view upstream_id, std::int64_t started_at,
                      millis now)
{
    auto const view = current_view(node);
    auto const entry = view.upstreams_->find(upstream_id);
    if (entry == view.upstreams_->end() || entry->second.leaving_ ||
        entry->second.started_at_ != started_at) {
        return false;
    }
    auto const own = node.upstreams_.find(upstream_id);
    return own == node.upstreams_.end() ||
           access_of(own->second.signals_, started_at, now) == upstream_access::open;
}

own_need& need_of(entry_node& node, need_key const& key)
{
    auto const [found, made] = node.needs_.try_emplace(key);
    if (made) {
        found->second.hash_ = name_hash_of(key);
    }
    return found->second;
}

need_names const& names_of_needs(entry_node& node)
{
    auto const config = current_view(node).config_;
    if (config && node.need_names_version_ != config->version_) {
        node.need_names_version_ = config->version_;
        node.need_names_.clear();
        auto const add = [&](need_key key) { node.need_names_.emplace(name_hash_of(key), std::move(key)); };
        for (auto const& [service, profile] : config->services_) {
            for (auto const& model :
                 profile.engine_ ? profile.engine_->models_ : std::vector<hosted_model>{}) {
                add({service, model.name_, ""});
                for (auto const& adapter : model.adapters_) {
                    add({service, model.name_, adapter});
                }
            }
        }
    }
    return node.need_names_;
}

bool is_ready(entry_node const& node, millis now)
{
    auto const view = current_view(node);
    return !node.stop_ && view.config_ != nullptr && view.members_read_ && keys_are_fresh(node, now);
}

namespace {

/// Least time between the rounds in which further VMs may try a blocked trait.
constexpr millis least_trial_round{500};

using blocked_traits = std::map<trait_hash, blocked_trait>;

blocked_traits blocked_now(entry_node const& node)
{
    blocked_traits traits;
    for (auto const& blocked : node.evidence_.blocked_) {
        traits.emplace(blocked.hash_, blocked);
    }
    return traits;
}

bool holds_for_same(blocked_trait const& a, blocked_trait const& b)
{
    return a.everywhere_ == b.everywhere_ && a.workspaces_ == b.workspaces_ && a.answered_ == b.answered_;
}

/// Logs which traits became blocked, for whom, or free, and keeps in the store what this VM's own requests
/// took part in.
void note_blocked(entry_node& node, blocked_traits const& before)
{
    for (auto const& blocked : node.evidence_.blocked_) {
        auto const& record = node.evidence_.records_.at(blocked.hash_);
        auto const known = before.find(blocked.hash_);
        if (known != before.end() && holds_for_same(known->second, blocked)) {
            continue;
        }
        log_failure("trait-blocked", {{"trait", trait_name(blocked.hash_)},
                                      {"depth", record.trait_.depth_},
                                      {"crashes", blocked.crashes_},
                                      {"everywhere", blocked.everywhere_},
                                      {"workspaces", blocked.workspaces_.size()},
                                      {"retry_ms", (blocked.retry_at_ - boot_now()).count_}});
        if (record.observed_ && node.keep_evidence_) {
            node.keep_evidence_(blocked.hash_, record);
        }
    }
    for (auto const& [hash, blocked] : before) {
        if (find_blocked(node.evidence_, hash) == nullptr) {
            log_decision("trait-free", {{"trait", trait_name(hash)}});
            auto const record = node.evidence_.records_.find(hash);
            if (record != node.evidence_.records_.end() && record->second.observed_ && node.keep_evidence_) {
                node.keep_evidence_(hash, std::nullopt);
            }
        }
    }
    node.counters_.gauge("auburnchute_blocked_traits", "",
                         static_cast<double>(node.evidence_.blocked_.size()));
    node.counters_.gauge("auburnchute_crash_records", "",
                         static_cast<double>(node.evidence_.records_.size()));
}

void tell_evidence(entry_node& node)
{
    if (node.send_state_) {
        node.send_state_(message_targets::all);
    }
}

} // namespace

void book_crash(entry_node& node, crashed_request const& request)
{
    auto const before = blocked_now(node);
    record_crash(node.evidence_, request, boot_now());
    note_blocked(node, before);
    tell_evidence(node);
}

void book_answer(entry_node& node, std::span<request_trait const> traits, std::uint32_t workspace,
                 millis began_at)
{
    auto const before = blocked_now(node);
    auto const version = node.evidence_.version_;
    record_answer(node.evidence_, traits, workspace, began_at, boot_now());
    if (node.evidence_.version_ != version) {
        note_blocked(node, before);
        tell_evidence(node);
    }
}

bool take_evidence(entry_node& node, std::span<trait_record const> records)
{
    auto const before = blocked_now(node);
    bool const changed = merge_records(node.evidence_, records, boot_now());
    if (changed) {
        note_blocked(node, before);
    }
    return changed;
}

void take_stored_evidence(entry_node& node, std::vector<trait_record> records)
{
    auto const before = blocked_now(node);
    if (restore_records(node.evidence_, std::move(records), boot_now())) {
        note_blocked(node, before);
    }
}

request_verdict judge_request(entry_node const& node, std::span<request_trait const> traits,
                              std::uint32_t workspace)
{
    trial_rights const rights{.vm_ = stable_hash(node.settings_.vm_),
                              .vms_ = live_count(node.exchange_),
                              .round_ = std::max(least_trial_round, propagation_delay(node.exchange_) * 2)};
    return judge_request(node.evidence_, traits, workspace, rights, boot_now());
}

void begin_trial(entry_node& node, std::span<trait_hash const> traits, std::string_view request_id)
{
    if (traits.empty()) {
        return;
    }
    for (auto const hash : traits) {
        log_decision("trait-trial", {{"id", request_id}, {"trait", trait_name(hash)}});
    }
    record_trial(node.evidence_, traits, boot_now());
    tell_evidence(node);
}

retry_budget& retries_of(entry_node& node, std::string const& service)
{
    auto const [found, fresh] = node.retries_.try_emplace(service);
    auto& budget = found->second;
    set_vm_share(budget, node.settings_.retry_ratio_, node.settings_.retry_extra_,
                 node.exchange_.known_vms_.size() + 1);
    if (fresh && !node.settings_.first_start_) {
        budget.balance_ = 0; // an earlier process of this VM may just have spent it
    }
    return budget;
}

void wake_waiting(entry_node& node)
{
    node.waiting_.sort([](waiting_call const* a, waiting_call const* b) {
        return std::tie(a->urgency_, a->arrived_) < std::tie(b->urgency_, b->arrived_);
    });
    for (auto* const call : node.waiting_) {
        call->wake_->notify();
    }
}

void follow_limits(entry_node& node, fleet_config const& config, millis now)
{
    if (node.limits_version_ == config.version_) {
        return;
    }
    bool const first = node.limits_version_ == 0;
    node.limits_version_ = config.version_;
    for (auto const& workspace : config.workspaces_) {
        auto const [found, fresh] = node.workspaces_.try_emplace(workspace.name_);
        found->second.hash_ = name_hash_of(workspace.name_);
        set_limit(found->second.bucket_, workspace.rate_, workspace.burst_, now);
        if (fresh && first && !node.settings_.first_start_) {
            set_restart_level(found->second.bucket_, reachable_share(node.exchange_, now));
        }
    }
}

} // namespace auburnchute
