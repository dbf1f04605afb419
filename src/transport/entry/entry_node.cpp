#include "transport/entry/entry_node.hpp"

#include "platform/agreements.hpp"
#include "protocol/decision_log.hpp"
#include "transport/entry/wait_keeper.hpp"

#include <auburnchute/ids.hpp>
#include <auburnchute/order_lease.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace auburnchute {

bool serves_contested_load(entry_node const& node) noexcept
{
    return node.upstreams_tell_pace_ || platform::names_contested_load(node.settings_.agreements_);
}

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

bool absence_is_certain(entry_node const& node, fleet_config const& config, millis now) noexcept
{
    // A confirmation may have come just after the proof, and answers take their time to the caller.
    constexpr millis answering_time{200};
    return config.complete_ && keys_are_fresh(node, now) &&
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

/// What was blocked and what was worth keeping before a change of the evidence.
struct evidence_before {
    std::map<trait_hash, blocked_trait> blocked_;
    std::set<trait_hash> worth_keeping_;
};

evidence_before evidence_now(entry_node const& node)
{
    evidence_before before;
    for (auto const& blocked : node.evidence_.blocked_) {
        before.blocked_.emplace(blocked.hash_, blocked);
    }
    for (auto const& [hash, record] : node.evidence_.records_) {
        if (is_worth_keeping(record)) {
            before.worth_keeping_.insert(hash);
        }
    }
    return before;
}

bool holds_for_same(blocked_trait const& a, blocked_trait const& b)
{
    return a.everywhere_ == b.everywhere_ && a.workspaces_ == b.workspaces_ && a.answered_ == b.answered_;
}

/// Logs which traits became blocked, for whom, or free.
void note_blocked(entry_node& node, evidence_before const& before)
{
    for (auto const& blocked : node.evidence_.blocked_) {
        auto const known = before.blocked_.find(blocked.hash_);
        if (known != before.blocked_.end() && holds_for_same(known->second, blocked)) {
            continue;
        }
        log_failure("trait-blocked", {{"trait", trait_name(blocked.hash_)},
                                      {"depth", node.evidence_.records_.at(blocked.hash_).trait_.depth_},
                                      {"crashes", blocked.crashes_},
                                      {"everywhere", blocked.everywhere_},
                                      {"workspaces", blocked.workspaces_.size()},
                                      {"retry_ms", (blocked.retry_at_ - boot_now()).count_}});
    }
    for (auto const& [hash, blocked] : before.blocked_) {
        if (find_blocked(node.evidence_, hash) == nullptr) {
            log_decision("trait-free", {{"trait", trait_name(hash)}});
        }
    }
    node.counters_.gauge("auburnchute_blocked_traits", "",
                         static_cast<double>(node.evidence_.blocked_.size()));
    node.counters_.gauge("auburnchute_crash_records", "",
                         static_cast<double>(node.evidence_.records_.size()));
}

/// \returns Whether this VM is the one of all that it knows which deletes a record that none of them wrote.
bool is_chosen(entry_node const& node, trait_hash trait)
{
    auto const rank = [trait](short_hash vm) {
        return stable_hash({reinterpret_cast<char const*>(&vm), sizeof vm}, trait);
    };
    auto const own = rank(short_hash_of(node.settings_.vm_));
    return std::all_of(node.exchange_.known_vms_.begin(), node.exchange_.known_vms_.end(),
                       [&](auto const& other) { return rank(other.first) >= own; });
}

bool has_marks(entry_node const& node, trait_hash trait)
{
    auto const record = node.evidence_.records_.find(trait);
    return record != node.evidence_.records_.end() && !record->second.marks_.empty();
}

/// Keeps in the store what this VM's own requests took part in, and deletes there what was answered or is out
/// of date.
void keep_changes(entry_node& node, evidence_before const& before)
{
    if (!node.keep_evidence_) {
        return;
    }
    std::set<trait_hash> ended;
    std::copy_if(before.worth_keeping_.begin(), before.worth_keeping_.end(),
                 std::inserter(ended, ended.end()),
                 [&](trait_hash trait) { return !has_marks(node, trait); });
    for (auto const& [trait, kept] : node.kept_evidence_) {
        if (!has_marks(node, trait)) {
            ended.insert(trait);
        }
    }
    for (auto const trait : ended) {
        auto const record = node.evidence_.records_.find(trait);
        auto const kept = node.kept_evidence_.find(trait);
        bool const observed = record != node.evidence_.records_.end() && record->second.observed_;
        bool const looked_after =
            kept != node.kept_evidence_.end() && (kept->second.own_ || is_chosen(node, trait));
        if (observed || looked_after) {
            node.keep_evidence_(trait, std::nullopt);
        }
        node.kept_evidence_.erase(trait);
    }
    for (auto const& [trait, record] : node.evidence_.records_) {
        auto const kept = node.kept_evidence_.find(trait);
        bool const known = kept != node.kept_evidence_.end();
        if (!record.observed_ || record.marks_.empty() || !(known || is_worth_keeping(record))) {
            continue;
        }
        kept_evidence now_kept{record.round_, record.marks_, record.answers_, true};
        if (!known || kept->second != now_kept) {
            node.keep_evidence_(trait, record);
            node.kept_evidence_.insert_or_assign(trait, std::move(now_kept));
        }
    }
}

void note_change(entry_node& node, evidence_before const& before)
{
    note_blocked(node, before);
    keep_changes(node, before);
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
    auto const before = evidence_now(node);
    record_crash(node.evidence_, request, boot_now());
    note_change(node, before);
    tell_evidence(node);
}

void book_answer(entry_node& node, std::span<request_trait const> traits, std::uint32_t workspace,
                 millis began_at)
{
    auto const before = evidence_now(node);
    auto const version = node.evidence_.version_;
    record_answer(node.evidence_, traits, workspace, began_at, boot_now());
    if (node.evidence_.version_ != version) {
        note_change(node, before);
        tell_evidence(node);
    }
}

bool take_evidence(entry_node& node, std::span<trait_record const> records)
{
    auto const before = evidence_now(node);
    bool const changed = merge_records(node.evidence_, records, boot_now());
    if (changed) {
        note_change(node, before);
    }
    return changed;
}

void take_stored_evidence(entry_node& node, std::vector<trait_record> records)
{
    auto const before = evidence_now(node);
    for (auto const& record : records) {
        node.kept_evidence_.try_emplace(record.trait_.hash_,
                                        kept_evidence{record.round_, record.marks_, record.answers_, false});
    }
    if (restore_records(node.evidence_, std::move(records), boot_now())) {
        note_change(node, before);
    }
}

void expire_evidence(entry_node& node, millis now)
{
    auto const before = evidence_now(node);
    if (expire_records(node.evidence_, now)) {
        note_change(node, before);
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
    if (serves_contested_load(node)) {
        sort_by_turn(node, boot_now());
    } else {
        node.waiting_.sort([](waiting_call const* a, waiting_call const* b) {
            return std::tie(a->urgency_, a->arrived_) < std::tie(b->urgency_, b->arrived_);
        });
    }
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
