#include "transport/entry/entry_node.hpp"

#include <auburnchute/order_lease.hpp>

#include <algorithm>

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
    return !node.stopping_ && view.config_ != nullptr && view.members_read_ && keys_are_fresh(node, now);
}

std::int64_t crash_count(entry_node const& node, std::uint64_t fingerprint) noexcept
{
    auto const own = node.crashes_.find(fingerprint);
    return (own == node.crashes_.end() ? 0 : own->second) + remote_crashes(node.exchange_, fingerprint);
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
