#include "transport/entry/peer_exchange.hpp"

#include "protocol/decision_log.hpp"
#include "transport/entry/forward_job.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/ids.hpp>
#include <auburnchute/model_planner.hpp>

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>

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
            found->second.patience_ = std::min(found->second.patience_, call->deadline_ - now);
        }
    }
    return needs;
}

/// One of the VMs that read for all tells the news; the others read on and step in when it falls silent.
bool tells_news(entry_node const& node, millis now)
{
    if (!node.shared_.reads_for_all_.load(std::memory_order_acquire)) {
        return false;
    }
    auto const own = stable_hash(node.settings_.vm_);
    return std::none_of(node.peers_.begin(), node.peers_.end(), [&](auto const& known) {
        auto const& peer = known.second;
        return peer.state_.news_to_ > 0 && is_heard(node, peer, now) && stable_hash(known.first) < own;
    });
}

peer_state own_state(entry_node const& node, millis now)
{
    peer_state state;
    state.vm_ = node.settings_.vm_;
    state.incarnation_ = node.incarnation_;
    state.callers_address_ = node.settings_.callers_listen_;
    state.ready_ = is_ready(node, now);
    state.config_next_ = current_view(node).config_next_;
    auto const fresh = fresh_at(node);
    state.config_age_ = fresh > millis{0} ? (now - fresh).count_ : -1;
    for (auto const& [name, use] : node.workspaces_) {
        state.used_.emplace(name, use.used_);
        state.level_.emplace(name, static_cast<std::int64_t>(use.bucket_.level_));
    }
    for (auto const& [id, own] : node.upstreams_) {
        if (own.use_.requests_ > 0) {
            state.upstreams_.emplace(id, own.use_);
        }
    }
    state.crashes_ = node.crashes_;
    state.needs_ = own_needs(node, now);
    if (tells_news(node, now)) {
        auto const news = node.shared_.cell_.read([](entry_view const& view) { return view.news_; });
        state.news_from_ = news->from_;
        state.news_to_ = news->to_;
        state.news_ = news->changes_;
    }
    state.lease_epoch_ = node.own_lease_epoch_;
    state.lease_end_ = node.lease_end_;
    state.orders_in_ = std::max<std::int64_t>(0, (node.orders_from_ - now).count_);
    if (node.own_lease_epoch_ != 0) {
        state.placements_ = node.placements_;
        for (auto& notice : state.placements_) {
            for (auto& load : notice.loading_) {
                load.remaining_ = std::max(millis{0}, load.remaining_ - (now - node.placements_at_));
            }
        }
    }
    return state;
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
        if (first && level != peer.state_.level_.end()) {
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
    auto const own = stable_hash(node.settings_.vm_);
    int before = 0;
    for (auto const& [vm, peer] : node.peers_) {
        bool const there = peer.state_.ready_ && is_heard(node, peer, now);
        before += there && stable_hash(vm) < own ? 1 : 0;
    }
    node.shared_.reads_for_all_.store(before < store_readers, std::memory_order_release);
}

void take_placements(entry_node& node, peer_state const& state, millis now)
{
    bool const newer = state.lease_epoch_ > node.placements_epoch_;
    if (state.lease_epoch_ == 0 || node.own_lease_epoch_ != 0 ||
        (!newer && state.lease_epoch_ != node.placements_epoch_)) {
        return;
    }
    node.shared_.holder_heard_at_.store(now.count_, std::memory_order_release);
    if (newer) {
        log_decision("placement-holder", {{"vm", state.vm_}, {"epoch", state.lease_epoch_}});
    }
    if (state.lease_end_ != node.lease_end_) {
        node.lease_end_ = state.lease_end_;
        node.lease_told_(state.lease_end_);
    }
    node.orders_from_ = now + millis{state.orders_in_};
    node.placements_epoch_ = state.lease_epoch_;
    node.placements_ = state.placements_;
    node.placements_at_ = now;
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
        return; // not read from the store yet, or an earlier one of that name
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
    }
    peer.heard_at_ = now;
    peer.last_stamp_ = datagram.times_.sent_at_;
    peer.state_ = std::move(datagram.state_);
    book_use(node, peer, first);
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

void send_to_all(exchange& own)
{
    auto& node = own.node_;
    auto const now = boot_now();
    choose_readers(node, now);
    auto full = own_state(node, now);
    bool const peer_places = std::any_of(node.peers_.begin(), node.peers_.end(), [](auto const& peer) {
        return peer.second.state_.lease_epoch_ != 0;
    });
    auto const for_holder = peer_places ? encode_state(full) : std::vector<std::uint8_t>{};
    full.needs_.clear(); // only the VM that places models needs them
    auto const for_others = encode_state(full);
    for (auto const& [vm, peer] : node.peers_) {
        auto const& state = peer.state_.lease_epoch_ != 0 ? for_holder : for_others;
        peer_times const times{now.count_, peer.last_stamp_, (now - peer.heard_at_).count_};
        auto const bytes = encode_datagram(times, state);
        error_code fault;
        own.socket_.send_to(net::buffer(bytes), peer.endpoint_, 0, fault);
        if (fault) {
            node.counters_.count("auburnchute_peer_messages_total", "unsent");
        }
    }
}

net::awaitable<void> send_regularly(std::shared_ptr<exchange> own)
{
    while (true) {
        send_to_all(*own);
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
    node.send_state_ = [own] { send_to_all(*own); };
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
