#include "transport/entry/entry_node.hpp"

#include <algorithm>

namespace auburnchute {

namespace {

/// Rhythm of the messages with few peers; the limits' slack covers what is spent within it.
constexpr millis least_rhythm{150};

/// Time added for each peer: the messages of all VMs grow with the square of their number.
constexpr millis rhythm_per_peer{6};

/// Least silence after which a peer counts as not heard.
constexpr millis least_silence{1'000};

/// A peer that sent nothing for this long no longer keeps its part of the rates. It is longer than the bound
/// on keys, after which a peer that is cut off spends nothing.
constexpr millis peer_share_kept{15'000};

} // namespace

millis message_rhythm(std::size_t peers) noexcept
{
    return least_rhythm + rhythm_per_peer * static_cast<std::int64_t>(peers);
}

millis peer_silence(std::size_t peers) noexcept
{
    return std::max(least_silence, message_rhythm(peers) * 3);
}

bool is_heard(entry_node const& node, known_peer const& peer, millis now) noexcept
{
    return now - peer.heard_at_ < peer_silence(node.peers_.size());
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

double heard_share(entry_node const& node, millis now) noexcept
{
    int heard = 1;
    int counted = 1;
    // After the loss of all VMs, each starts before it hears the others, and none may take the whole rate.
    bool const joining = !node.settings_.first_start_ && now - node.started_at_ < joining_time;
    for (auto const& [vm, peer] : node.peers_) {
        if (peer.heard_at_ == millis{0}) {
            counted += joining ? 1 : 0; // later, one that was never heard counts as gone
            continue;
        }
        auto const silence = now - peer.heard_at_;
        heard += is_heard(node, peer, now) ? 1 : 0;
        counted += silence < peer_share_kept ? 1 : 0;
    }
    return static_cast<double>(heard) / static_cast<double>(counted);
}

void count_use(entry_node& node, known_peer& peer, bool counted)
{
    if (peer.counted_ == counted) {
        return;
    }
    peer.counted_ = counted;
    std::int64_t const sign = counted ? 1 : -1;
    for (auto const& [id, use] : peer.state_.upstreams_) {
        auto const found = node.peers_use_.try_emplace(id).first;
        auto& sum = found->second;
        sum.requests_ += sign * use.requests_;
        sum.tokens_ += sign * use.tokens_;
        sum.unread_tokens_ += sign * use.unread_tokens_;
        if (sum.requests_ == 0) {
            node.peers_use_.erase(found);
        }
    }
}

upstream_use fleet_use(entry_node const& node, std::string_view upstream_id)
{
    upstream_use sum;
    if (auto const own = node.upstreams_.find(upstream_id); own != node.upstreams_.end()) {
        sum = own->second.use_;
    }
    if (auto const peers = node.peers_use_.find(upstream_id); peers != node.peers_use_.end()) {
        sum.requests_ += peers->second.requests_;
        sum.tokens_ += peers->second.tokens_;
        sum.unread_tokens_ += peers->second.unread_tokens_;
    }
    return sum;
}

bool is_ready(entry_node const& node, millis now)
{
    auto const view = current_view(node);
    return !node.stopping_ && view.config_ != nullptr && view.members_read_ && keys_are_fresh(node, now);
}

int crash_count(entry_node const& node, std::string_view fingerprint)
{
    int count = 0;
    if (auto const own = node.crashes_.find(fingerprint); own != node.crashes_.end()) {
        count += own->second;
    }
    for (auto const& [vm, peer] : node.peers_) {
        auto const found = peer.state_.crashes_.find(fingerprint);
        count += found == peer.state_.crashes_.end() ? 0 : found->second;
    }
    return count;
}

retry_budget& retries_of(entry_node& node, std::string const& service)
{
    auto const [found, fresh] = node.retries_.try_emplace(service);
    auto& budget = found->second;
    set_part(budget, node.settings_.retry_ratio_, node.settings_.retry_extra_, node.peers_.size() + 1);
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
    node.limits_version_ = config.version_;
    for (auto const& workspace : config.workspaces_) {
        auto const [found, fresh] = node.workspaces_.try_emplace(workspace.name_);
        set_limit(found->second.bucket_, workspace.rate_, workspace.burst_, now);
        if (fresh && !node.settings_.first_start_ && now - node.started_at_ < joining_time) {
            forget_level(found->second.bucket_, heard_share(node, now));
        }
    }
}

} // namespace auburnchute
