#include "transport/entry/peer_exchange.hpp"

#include "protocol/decision_log.hpp"
#include "transport/entry/forward_job.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/ids.hpp>
#include <auburnchute/model_planner.hpp>

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cmath>
#include <iterator>

namespace auburnchute {

namespace {

using udp = net::ip::udp;

/// Largest datagram.
constexpr std::size_t max_datagram = 60'000;

/// VMs that read the store for all: two may fail at the same time.
constexpr int store_readers = 3;

/// The daemon's socket; one for each process.
struct exchange {
    explicit exchange(entry_node& node) : node_{node}, socket_{node.loop_} {}

    entry_node& node_;
    udp::socket socket_;
    std::array<std::uint8_t, max_datagram> received_{};
};

need_map own_needs(entry_node const& node, millis now)
{
    need_map needs;
    for (auto const& [key, own] : node.needs_) {
        auto const rate = decayed_rate(own, now);
        if (!key.model_.empty() && (own.waiting_ > 0 || own.running_ > 0 || rate >= least_need_rate)) {
            auto& need = needs[key];
            need.waiting_ = own.waiting_;
            need.running_ = own.running_;
            need.rate_ = rate;
        }
    }
    for (auto const* const call : node.waiting_) {
        auto const found = needs.find(call->need_);
        if (found != needs.end()) {
            found->second.urgency_ = std::min(found->second.urgency_, call->urgency_);
            found->second.oldest_wait_ = std::max(found->second.oldest_wait_, now - call->arrived_);
        }
    }
    return needs;
}

/// Hundredths of a core, at least one.
std::int64_t strength_of(entry_node const& node)
{
    return std::max<std::int64_t>(1, std::llround(node.settings_.processor_share_ * 100.0));
}

/// Order in which VMs take work for all: strong ones first, equal ones by a hash of their names.
auto duty_rank(std::int64_t strength, std::string_view vm)
{
    return std::pair{-strength, stable_hash(vm)};
}

/// One of the VMs that read for all tells the news; the others read on and step in when it falls silent.
bool tells_news(entry_node const& node, millis now)
{
    if (!node.shared_.reads_for_all_.load(std::memory_order_acquire)) {
        return false;
    }
    auto const own = duty_rank(strength_of(node), node.settings_.vm_);
    return std::none_of(node.peers_.begin(), node.peers_.end(), [&](auto const& known) {
        auto const& peer = known.second;
        return peer.state_.news_to_ > 0 && is_heard(node, peer, now) &&
               duty_rank(peer.state_.strength_, known.first) < own;
    });
}

peer_state own_state(entry_node const& node, millis now)
{
    peer_state state;
    state.vm_ = node.settings_.vm_;
    state.incarnation_ = node.incarnation_;
    state.callers_address_ = node.settings_.callers_listen_;
    state.ready_ = is_ready(node, now);
    // The proof first: the control thread may publish a newer configuration between the two reads, and a
    // proof of that one must not be told with the older offset.
    auto const fresh = fresh_at(node);
    state.config_next_ = current_view(node).config_next_;
    state.config_age_ = fresh > millis{0} ? (now - fresh).count_ : -1;
    for (auto const& [name, use] : node.workspaces_) {
        state.used_.emplace(name, use.used_);
        state.asked_.emplace(name, use.asked_);
    }
    for (auto const& [id, own] : node.upstreams_) {
        if (own.use_.requests_ > 0) {
            state.upstreams_.emplace(id, own.use_);
        }
    }
    state.crashes_ = node.crashes_;
    state.lease_epoch_ = node.own_lease_epoch_;
    state.lease_end_ = node.lease_end_;
    state.orders_in_ = std::max<std::int64_t>(0, (node.orders_from_ - now).count_);
    state.seen_epoch_ = node.placements_.epoch_;
    state.seen_placements_ = node.placements_.version_;
    state.seen_news_ = node.shared_.cell_.read([](entry_view const& view) { return view.upstreams_next_; });
    state.strength_ = strength_of(node);
    return state;
}

/// What a message to a peer contains besides the state that all get. Peers with equal parts get equal bytes.
struct message_parts {
    bool needs_{};                    ///< Only the VM that places models uses them.
    bool levels_{};                   ///< Only a VM that has just started uses them.
    std::uint64_t placements_from_{}; ///< Version of the board that the peer has.
    std::uint64_t news_from_{};       ///< Offset of the upstreams' entries that the peer has.

    friend auto operator<=>(message_parts const&, message_parts const&) = default;
};

message_parts parts_for(entry_node const& node, known_peer const& peer, upstream_news const* news, millis now)
{
    message_parts parts;
    auto const& state = peer.state_;
    parts.needs_ = state.lease_epoch_ != 0;
    parts.levels_ = now - peer.joined_at_ < joining_time && now - node.started_at_ >= joining_time;
    if (node.own_lease_epoch_ != 0 && state.seen_epoch_ == node.own_lease_epoch_) {
        parts.placements_from_ = std::min(state.seen_placements_, node.placements_.version_);
    }
    if (news != nullptr) {
        // A peer before the first change cannot use the news; it reads the store itself.
        parts.news_from_ = std::clamp(state.seen_news_, news->from_, news->to_);
    }
    return parts;
}

void add_parts(entry_node const& node, message_parts const& parts, upstream_news const* news, millis now,
               peer_state& state)
{
    if (parts.needs_) {
        state.needs_ = own_needs(node, now);
    }
    if (parts.levels_) {
        for (auto const& [name, use] : node.workspaces_) {
            state.level_.emplace(name, static_cast<std::int64_t>(use.bucket_.level_));
        }
    }
    if (node.own_lease_epoch_ != 0) {
        state.placements_from_ = parts.placements_from_;
        state.placements_to_ = node.placements_.version_;
        state.placements_ = notices_after(node.placements_, parts.placements_from_, now);
    }
    if (news != nullptr) {
        state.news_from_ = parts.news_from_;
        state.news_to_ = news->to_;
        std::copy_if(news->changes_.begin(), news->changes_.end(), std::back_inserter(state.news_),
                     [&](auto const& change) { return change.offset_ >= parts.news_from_; });
    }
}

/// Books what the peer was asked for since its last message.
void book_demand(entry_node& node, known_peer& peer, bool first, millis now)
{
    for (auto const& [name, asked] : peer.state_.asked_) {
        auto const units = newly_used(peer.asked_, name, asked, first);
        auto const found = node.workspaces_.find(name);
        if (found != node.workspaces_.end() && units > 0) {
            book_peer_demand(found->second.bucket_, units, now);
        }
    }
}

/// Charges what the peer spent since its last message, and what it knows of others' use before this start.
void book_use(entry_node& node, known_peer& peer, bool first)
{
    for (auto const& [name, used] : peer.state_.used_) {
        auto const units = newly_used(peer.booked_, name, used, first);
        auto const found = node.workspaces_.find(name);
        if (found == node.workspaces_.end()) {
            continue;
        }
        book_peer_use(found->second.bucket_, units);
        // Its level already contains what it spent.
        auto const level = peer.state_.level_.find(name);
        if (level != peer.state_.level_.end()) {
            join_level(found->second.bucket_, static_cast<double>(level->second),
                       boot_now() - node.started_at_);
        }
    }
}

/// Takes over the peer's proof that no newer configuration exists, if this daemon has what the peer has.
void take_freshness(entry_node& node, known_peer const& peer, peer_times const& times)
{
    auto const& state = peer.state_;
    bool const echo_is_own = times.echo_ >= node.started_at_.count_ && times.echo_ <= boot_now().count_;
    if (!echo_is_own || state.config_age_ < 0 || current_view(node).config_next_ < state.config_next_) {
        return;
    }
    // The peer had received this daemon's message `echo_` when its proof was at most this old.
    auto const age = std::max<std::int64_t>(0, state.config_age_ - times.echo_held_);
    node.handed_freshness_ = std::max(node.handed_freshness_, millis{times.echo_ - age});
    node.shared_.config_proof_at_.store(node.handed_freshness_.count_, std::memory_order_release);
}

void take_reader_news(entry_node& node, peer_state& state)
{
    auto& hint = node.shared_.config_hint_;
    hint.store(std::max(hint.load(std::memory_order_acquire), state.config_next_), std::memory_order_release);
    if (state.news_to_ == 0) {
        return;
    }
    node.news_told_({state.news_from_, state.news_to_, std::move(state.news_)});
    state.news_.clear();
}

/// Decides whether this VM is among the few that read the store for all.
void choose_readers(entry_node& node, millis now)
{
    auto const own = duty_rank(strength_of(node), node.settings_.vm_);
    int before = 0;
    for (auto const& [vm, peer] : node.peers_) {
        bool const there = peer.state_.ready_ && is_heard(node, peer, now);
        before += there && duty_rank(peer.state_.strength_, vm) < own ? 1 : 0;
    }
    node.shared_.reads_for_all_.store(before < store_readers, std::memory_order_release);
    node.shared_.defers_.store(before > 0, std::memory_order_release);
}

void take_placements(entry_node& node, peer_state const& state, millis now)
{
    auto const known_epoch = node.placements_.epoch_;
    if (state.lease_epoch_ == 0 || node.own_lease_epoch_ != 0 || state.lease_epoch_ < known_epoch) {
        return;
    }
    node.shared_.holder_heard_at_.store(now.count_, std::memory_order_release);
    if (state.lease_epoch_ > known_epoch) {
        log_decision("placement-holder", {{"vm", state.vm_}, {"epoch", state.lease_epoch_}});
    }
    if (state.lease_end_ != node.lease_end_) {
        node.lease_end_ = state.lease_end_;
        node.lease_told_(state.lease_end_);
    }
    node.orders_from_ = now + millis{state.orders_in_};
    take_notices(node.placements_, state.lease_epoch_, state.placements_from_, state.placements_to_,
                 state.placements_, now);
    if (!node.waiting_.empty()) {
        wake_waiting(node);
    }
}

void take_datagram(entry_node& node, peer_datagram& datagram, udp::endpoint const& from)
{
    auto const now = boot_now();
    auto const found = node.peers_.find(datagram.state_.vm_);
    if (found == node.peers_.end() || found->second.endpoint_ != from) {
        node.counters_.count("auburnchute_peer_messages_total", "unknown");
        // Not read from the store yet, or one of that name at another address; the store says which.
        node.shared_.unknown_heard_.store(true, std::memory_order_release);
        return;
    }
    auto& peer = found->second;
    bool const restarted = peer.state_.incarnation_ != datagram.state_.incarnation_;
    if (!restarted && datagram.times_.sent_at_ <= peer.last_stamp_) {
        return; // overtaken by a newer one
    }
    if (now - peer.heard_at_ > peer_silence(node.peers_.size())) {
        log_decision("peer-heard",
                     {{"vm", datagram.state_.vm_},
                      {"silent_ms", peer.heard_at_ > millis{0} ? (now - peer.heard_at_).count_ : -1}});
    }
    bool const first = restarted || peer.heard_at_ == millis{0};
    if (first) {
        peer.booked_.clear();
        peer.asked_.clear();
        peer.joined_at_ = now;
    }
    peer.heard_at_ = now;
    peer.last_stamp_ = datagram.times_.sent_at_;
    count_use(node, peer, false);
    peer.state_ = std::move(datagram.state_);
    count_use(node, peer, true);
    book_use(node, peer, first);
    book_demand(node, peer, first, now);
    take_freshness(node, peer, datagram.times_);
    take_reader_news(node, peer.state_);
    take_placements(node, peer.state_, now);
    if (node.own_lease_epoch_ != 0 && node.need_changed_) {
        bool const waits = std::any_of(peer.state_.needs_.begin(), peer.state_.needs_.end(),
                                       [](auto const& need) { return need.second.waiting_ > 0; });
        if (waits) {
            node.need_changed_();
        }
    }
}

net::awaitable<void> receive(std::shared_ptr<exchange> own)
{
    while (true) {
        udp::endpoint from;
        error_code fault;
        auto const size =
            co_await own->socket_.async_receive_from(net::buffer(own->received_), from, outcome_in(fault));
        if (fault == net::error::operation_aborted) {
            co_return;
        }
        if (fault) {
            co_await pause_for(
                millis{10}); // an unreachable peer is reported here; its silence is what counts
            continue;
        }
        auto datagram = decode_datagram({own->received_.data(), size});
        if (!datagram) {
            own->node_.counters_.count("auburnchute_peer_messages_total", "malformed");
            continue;
        }
        take_datagram(own->node_, *datagram, from);
    }
}

bool is_target(known_peer const& peer, message_targets targets)
{
    switch (targets) {
    case message_targets::holder:
        return peer.state_.lease_epoch_ != 0;
    case message_targets::waiting:
        return std::any_of(peer.state_.needs_.begin(), peer.state_.needs_.end(),
                           [](auto const& need) { return need.second.waiting_ > 0; });
    case message_targets::all:
        break;
    }
    return true;
}

void send_to(exchange& own, message_targets targets)
{
    auto& node = own.node_;
    auto const now = boot_now();
    auto const state = own_state(node, now);
    auto const news = node.shared_.cell_.read([](entry_view const& view) { return view.news_; });
    auto const* const told_news = tells_news(node, now) ? news.get() : nullptr;
    std::map<message_parts, std::vector<std::uint8_t>> encoded;
    for (auto const& [vm, peer] : node.peers_) {
        if (!is_target(peer, targets)) {
            continue;
        }
        auto const parts = parts_for(node, peer, told_news, now);
        auto& bytes = encoded[parts];
        if (bytes.empty()) {
            auto whole = state;
            add_parts(node, parts, told_news, now, whole);
            bytes = encode_state(whole);
        }
        peer_times const times{now.count_, peer.last_stamp_, (now - peer.heard_at_).count_};
        error_code fault;
        own.socket_.send_to(net::buffer(encode_datagram(times, bytes)), peer.endpoint_, 0, fault);
        if (fault) {
            node.counters_.count("auburnchute_peer_messages_total", "unsent");
        }
    }
}

/// Takes peers that fell silent out of the sums.
void drop_silent(entry_node& node, millis now)
{
    for (auto& [vm, peer] : node.peers_) {
        if (!is_heard(node, peer, now)) {
            count_use(node, peer, false);
        }
    }
}

net::awaitable<void> send_regularly(std::shared_ptr<exchange> own)
{
    while (true) {
        auto const now = boot_now();
        drop_silent(own->node_, now);
        choose_readers(own->node_, now);
        send_to(*own, message_targets::all);
        co_await pause_for(message_rhythm(own->node_.peers_.size()));
    }
}

} // namespace

void exchange_with_peers(entry_node& node)
{
    auto own = std::make_shared<exchange>(node);
    auto const address = node.settings_.ip_ + ":" + std::to_string(node.settings_.peer_port_);
    auto const endpoint = parse_endpoint(address);
    error_code fault;
    own->socket_.open(udp::v4(), fault);
    own->socket_.bind({endpoint.address(), endpoint.port()}, fault);
    if (fault) {
        throw error{"listen", address, fault.message()};
    }
    own->socket_.non_blocking(true);
    node.send_state_ = [own](message_targets targets) { send_to(*own, targets); };
    net::co_spawn(node.loop_, receive(own), report_failure);
    net::co_spawn(node.loop_, send_regularly(own), report_failure);
}

void follow_members(entry_node& node, std::vector<entry_member> const& members)
{
    for (auto const& member : members) {
        if (member.vm_ == node.settings_.vm_) {
            continue;
        }
        auto& peer = node.peers_[member.vm_];
        if (peer.member_ == member) {
            continue;
        }
        auto const endpoint = parse_endpoint(member.peer_address_);
        peer.member_ = member;
        peer.last_stamp_ = 0; // another VM may have taken the name, with another boot clock
        peer.endpoint_ = {endpoint.address(), endpoint.port()};
    }
}

need_map fleet_needs(entry_node const& node, millis now)
{
    auto needs = own_needs(node, now);
    for (auto const& [vm, peer] : node.peers_) {
        if (is_heard(node, peer, now)) {
            add_needs(needs, peer.state_.needs_);
        }
    }
    return needs;
}

std::vector<std::string> ready_addresses(entry_node const& node, millis now)
{
    std::vector<std::string> addresses;
    if (is_ready(node, now)) {
        addresses.push_back(node.settings_.callers_listen_);
    }
    for (auto const& [vm, peer] : node.peers_) {
        if (peer.state_.ready_ && is_heard(node, peer, now)) {
            addresses.push_back(peer.state_.callers_address_);
        }
    }
    return addresses;
}

} // namespace auburnchute
