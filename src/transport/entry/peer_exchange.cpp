#include "transport/entry/peer_exchange.hpp"

#include "protocol/decision_log.hpp"
#include "protocol/fleet_codec.hpp"
#include "transport/entry/forward_job.hpp"
#include "transport/entry/upstream_keeper.hpp"

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

/// Least pause between messages that do not wait for the next round.
constexpr millis urgent_pause{40};

/// Messages in a row by which a relay's upstreams differ from this VM's at the same offset, before this VM
/// reads the entries anew: one may have been under way while this VM's own changed.
constexpr int differing_messages = 4;

/// Least time between two such reads, doubled after each one: a peer of another release may differ for good.
/// After the longest time without one, the next starts anew.
constexpr millis first_reread_pause{1'000};
constexpr millis longest_reread_pause{60'000};

/// Needs kept without requests are dropped below this rate, in requests a second.
constexpr double forgotten_rate = min_need_rate / 10;

/// Whether a message goes to a target out of turn.
struct urgent_targets {
    bool holder_{};  ///< The VM that places models, or the relay on the way to it.
    bool waiting_{}; ///< VMs with requests that wait for a model.
    bool leaves_{};
    bool all_{};

    [[nodiscard]] bool any() const noexcept { return holder_ || waiting_ || leaves_ || all_; }
};

/// The daemon's socket; one for each process.
struct exchange_socket {
    explicit exchange_socket(entry_node& node) : node_{node}, socket_{node.loop_}, wake_{node.loop_} {}

    entry_node& node_;
    udp::socket socket_;
    wake_event wake_;
    urgent_targets urgent_{};
    millis urgent_sent_at_{};
    int differing_{};      ///< Messages in a row whose digest of the upstreams differs.
    millis next_reread_{}; ///< The entries are not read anew before.
    millis reread_pause_{first_reread_pause};
    std::array<std::uint8_t, max_datagram> received_{};
};

/// Hundredths of a core, at least one.
std::int64_t strength_of(entry_node const& node)
{
    return std::max<std::int64_t>(1, std::llround(node.settings_.processor_share_ * 100.0));
}

relay_candidate own_candidate(entry_node const& node)
{
    return {node.settings_.vm_, node.settings_.availability_zone_, strength_of(node)};
}

std::vector<need_row> own_needs(entry_node const& node, millis now)
{
    std::vector<need_row> rows;
    std::map<name_hash, std::size_t> waiting;
    for (auto const& [key, own] : node.needs_) {
        auto const rate = decayed_rate(own, now);
        if (!key.model_.empty() && (own.waiting_ > 0 || own.running_ > 0 || rate >= min_need_rate)) {
            if (own.waiting_ > 0) {
                waiting.emplace(own.hash_, rows.size());
            }
            rows.push_back({own.hash_, {.waiting_ = own.waiting_, .running_ = own.running_, .rate_ = rate}});
        }
    }
    for (auto const* const call : node.waiting_) {
        if (auto const found = waiting.find(call->need_hash_); found != waiting.end()) {
            auto& amount = rows[found->second].amount_;
            amount.urgency_ = std::min(amount.urgency_, call->urgency_);
            amount.oldest_wait_ = std::max(amount.oldest_wait_, now - call->arrived_);
        }
    }
    return rows;
}

void forget_needs(entry_node& node, millis now)
{
    std::erase_if(node.needs_, [&](auto const& known) {
        auto const& own = known.second;
        return own.waiting_ == 0 && own.running_ == 0 && decayed_rate(own, now) < forgotten_rate;
    });
}

std::vector<spend_row> own_spending(entry_node const& node)
{
    std::vector<spend_row> rows;
    for (auto const& [name, use] : node.workspaces_) {
        rows.push_back({use.hash_, use.used_, use.asked_});
    }
    return rows;
}

local_status own_state(entry_node const& node, millis now)
{
    local_status own;
    own.ready_ = is_ready(node, now);
    // The proof first: the control thread may publish a newer configuration between the two reads, and a
    // proof of that one must not be sent with the older offset.
    auto const fresh = fresh_at(node);
    auto const view = current_view(node);
    own.store_era_ = node.shared_.store_era_.load(std::memory_order_acquire);
    own.config_version_ = view.config_ ? view.config_->version_ : 0;
    if (view.config_next_.era_ == own.store_era_) {
        own.config_next_ = view.config_next_.offset_;
        own.config_age_ = fresh > millis{0} ? (now - fresh).count_ : -1;
    }
    own.spent_ = own_spending(node);
    for (auto const& [name, use] : node.workspaces_) {
        own.levels_.push_back({use.hash_, static_cast<std::int64_t>(use.bucket_.level_)});
    }
    for (auto const& [id, use] : node.upstreams_) {
        if (use.use_.requests_ > 0) {
            own.use_.push_back({use.hash_, use.use_});
        }
    }
    for (auto const& row : told_standing(node, now)) {
        own.use_.push_back(row);
    }
    own.needs_ = own_needs(node, now);
    own.holds_lease_ = node.own_lease_epoch_ != 0;
    if (own.holds_lease_ || is_holder_responsive(node, now)) {
        own.lease_epoch_ = own.holds_lease_ ? node.own_lease_epoch_ : node.placements_.epoch_;
        own.lease_end_ = node.lease_end_.era_ == own.store_era_ ? node.lease_end_.offset_ : 0;
        own.orders_in_ = std::max<std::int64_t>(0, (node.orders_from_ - now).count_);
    }
    own.seen_epoch_ = node.placements_.epoch_;
    own.seen_placements_ = node.placements_.version_;
    auto const proof =
        millis{node.shared_.entries_proof_at_.load(std::memory_order_acquire)}; // before the offsets
    auto const plans_proof = millis{node.shared_.plans_proof_at_.load(std::memory_order_acquire)};
    auto const [upstreams_next, registry, leaves, seen_plans] =
        node.shared_.cell_.read([](entry_view const& current) {
            return std::tuple{current.upstreams_next_, current.registry_, leaves_digest(*current.leaves_),
                              current.seen_plans_};
        });
    own.seen_news_ = upstreams_next.era_ == own.store_era_ ? upstreams_next.offset_ : 0;
    own.seen_plans_ = seen_plans.era_ == own.store_era_ ? seen_plans.offset_ : 0;
    own.registry_ = registry;
    own.leaves_digest_ = leaves;
    own.entries_age_ = proof > millis{0} && own.seen_news_ > 0 ? (now - proof).count_ : -1;
    own.plans_age_ = plans_proof > millis{0} && own.seen_plans_ > 0 ? (now - plans_proof).count_ : -1;
    return own;
}

/// Adds the changes of the engines that the target lacks.
void add_placements(entry_node const& node, message_target const& target, millis now, fleet_message& message)
{
    if (message.lease_epoch_ == 0) {
        return;
    }
    auto const peer = node.exchange_.peers_.find(target.vm_);
    bool const same_epoch =
        peer != node.exchange_.peers_.end() && peer->second.last_.seen_epoch_ == message.lease_epoch_;
    message.placements_from_ =
        same_epoch ? std::min(peer->second.last_.seen_placements_, node.placements_.version_) : 0;
    message.placements_to_ = node.placements_.version_;
    message.placements_ = placements_after(node.placements_, message.placements_from_, now);
}

/// Adds the leaves and the changes of the upstreams' entries that the target lacks.
void add_entries(entry_node const& node, message_target const& target, bool tells, millis now,
                 fleet_message& message)
{
    auto const peer = node.exchange_.peers_.find(target.vm_);
    bool const known = peer != node.exchange_.peers_.end();
    auto const [log, leaves] = node.shared_.cell_.read([](entry_view const& view) {
        return std::pair{view.log_, view.leaves_};
    });
    if (!known || peer->second.last_.leaves_digest_ != message.leaves_digest_) {
        message.leaves_ = *leaves;
    }
    if (log->era_ == message.store_era_ && carries_updates(node.exchange_, *log, target, tells, now)) {
        auto updates = updates_after(*log, known ? seen_news_in(log->era_, peer->second.last_) : 0);
        message.news_from_ = updates.from_;
        message.news_to_ = updates.to_;
        message.news_ = std::move(updates.changes_);
    }
}

/// Adds the version plans that the target lacks.
void add_plans(entry_node const& node, message_target const& target, fleet_message& message)
{
    auto const peer = node.exchange_.peers_.find(target.vm_);
    bool const same_era =
        peer != node.exchange_.peers_.end() && peer->second.last_.store_era_ == message.store_era_;
    auto const seen = same_era ? peer->second.last_.seen_plans_ : 0;
    if (seen >= message.seen_plans_) {
        return;
    }
    message.plans_from_ = seen > 0 ? seen - 1 : 0;
    auto const plans = node.shared_.cell_.read([](entry_view const& view) { return view.plan_updates_; });
    for (auto const& plan : *plans) {
        if (plan.offset_ >= message.plans_from_) {
            message.plans_.push_back(plan);
        }
    }
}

/// Adds the crash evidence that the target lacks.
void add_evidence(entry_node const& node, message_target const& target, fleet_message& message)
{
    auto const peer = node.exchange_.peers_.find(target.vm_);
    message.evidence_version_ = node.evidence_.version_;
    message.evidence_ = records_after(
        node.evidence_, peer == node.exchange_.peers_.end() ? 0 : peer->second.last_.seen_evidence_);
}

bool has_waiting(fleet_message const& message)
{
    return std::any_of(message.needs_.begin(), message.needs_.end(),
                       [](need_row const& row) { return row.amount_.waiting_ > 0; });
}

bool is_urgent(entry_node const& node, message_target const& target, urgent_targets const& urgent)
{
    if (urgent.all_) {
        return true;
    }
    auto const peer = node.exchange_.peers_.find(target.vm_);
    if (peer == node.exchange_.peers_.end()) {
        return false;
    }
    auto const& last = peer->second.last_;
    switch (target.kind_) {
    case message_kind::report:
        return urgent.holder_;
    case message_kind::mesh:
        return (urgent.holder_ && last.lease_epoch_ != 0) || (urgent.waiting_ && has_waiting(last));
    case message_kind::digest:
        break;
    }
    return urgent.leaves_ || (urgent.waiting_ && has_waiting(last));
}

void send_to(exchange_socket& own, urgent_targets const& urgent)
{
    auto& node = own.node_;
    auto const now = boot_now();
    std::optional<local_status> state;
    bool const tells = tells_updates(node.exchange_, own_candidate(node),
                                     leave_budget_of(node.settings_.leave_in_force_), now);
    std::map<message_kind, fleet_message> common;
    for (auto const& target : send_targets(node.exchange_, now)) {
        auto const endpoint = node.endpoints_.find(target.vm_);
        if (endpoint == node.endpoints_.end() || !is_urgent(node, target, urgent)) {
            continue;
        }
        if (!state) {
            state = own_state(node, now);
            node.exchange_.store_era_ = state->store_era_;
        }
        auto known = common.find(target.kind_);
        if (known == common.end()) {
            known =
                common.emplace(target.kind_, compose_common(node.exchange_, *state, target.kind_, now)).first;
        }
        auto message = known->second;
        add_target_fields(node.exchange_, *state, target, now, message);
        add_placements(node, target, now, message);
        add_entries(node, target, tells, now, message);
        add_evidence(node, target, message);
        add_plans(node, target, message);
        auto const bytes = encode_message(message);
        error_code fault;
        own.socket_.send_to(net::buffer(bytes), endpoint->second, 0, fault);
        node.counters_.count("auburnchute_peer_messages_total", fault ? "unsent" : "sent");
        node.counters_.count("auburnchute_peer_bytes_total", "sent", static_cast<std::int64_t>(bytes.size()));
    }
}

void ask_urgently(exchange_socket& own, urgent_targets const& more)
{
    own.urgent_.all_ |= more.all_;
    own.urgent_.holder_ |= more.holder_;
    own.urgent_.waiting_ |= more.waiting_;
    own.urgent_.leaves_ |= more.leaves_;
    own.wake_.notify();
}

/// Books what other VMs spent and were asked for.
void book_spending(entry_node& node, message_effects const& effects, millis now)
{
    auto const visibility = peer_visibility_of(node.exchange_, now);
    for (auto& [name, use] : node.workspaces_) {
        for (auto const& row : effects.spent_) {
            if (row.workspace_ == use.hash_) {
                charge_units(use.bucket_, static_cast<double>(row.used_), visibility, now);
                record_peer_demand(use.bucket_, static_cast<double>(row.asked_), now);
            }
        }
        for (auto const& row : effects.levels_) {
            if (row.workspace_ == use.hash_) {
                adopt_level(use.bucket_, static_cast<double>(row.level_), visibility, now);
            }
        }
    }
}

/// Takes over the sender's proof that no newer configuration exists, if this daemon has what the sender has.
void take_freshness(entry_node& node, fleet_message const& message, std::optional<millis> proof)
{
    auto const view = current_view(node);
    if (proof && view.config_ && view.config_->version_ >= message.config_version_ &&
        reaches(view.config_next_, {message.store_era_, message.config_next_})) {
        node.handed_freshness_ = std::max(node.handed_freshness_, *proof);
        node.shared_.config_proof_at_.store(node.handed_freshness_.count_, std::memory_order_release);
    }
}

void take_config_hint(exchange_socket& own, fleet_message const& message)
{
    auto& hint = own.node_.config_hint_;
    store_position const told{message.store_era_, message.config_next_};
    if (message.config_next_ > 0 && supersedes(told, hint)) {
        hint = told;
        ask_urgently(own, {.leaves_ = true}); // they learn of it from this VM
    }
}

/// Compares the sender's upstreams with this VM's. They differ for good only if a record was missed.
void compare_registries(exchange_socket& own, fleet_message const& message)
{
    auto& node = own.node_;
    auto const [offset, registry] = node.shared_.cell_.read([](entry_view const& view) {
        return std::pair{view.upstreams_next_, view.registry_};
    });
    if (message.kind_ == message_kind::report || offset.offset_ == 0 ||
        offset != store_position{message.store_era_, message.seen_news_}) {
        return;
    }
    if (message.registry_ == registry) {
        own.differing_ = 0;
        return;
    }
    auto const now = boot_now();
    if (++own.differing_ < differing_messages || now < own.next_reread_) {
        return;
    }
    if (now - own.next_reread_ > longest_reread_pause) {
        own.reread_pause_ = first_reread_pause;
    }
    own.differing_ = 0;
    own.next_reread_ = now + own.reread_pause_;
    own.reread_pause_ = std::min(own.reread_pause_ * 2, longest_reread_pause);
    log_failure("upstreams-differ", {{"vm", message.vm_}, {"offset", offset.offset_}});
    node.reread_upstreams_();
}

/// Hands what the message says of the upstreams' entries to the thread that keeps them.
void take_entries_of(entry_node& node, fleet_message& message, message_effects const& effects, millis now)
{
    for (auto& notice : message.leaves_) {
        notice.noticed_at_ = now - (millis{message.sent_at_} - notice.noticed_at_);
    }
    node.entries_reported_({.told_by_ = message.vm_,
                            .kind_ = message.kind_,
                            .store_era_ = message.store_era_,
                            .config_version_ = message.config_version_,
                            .config_next_ = message.config_next_,
                            .updates_ = {message.news_from_, message.news_to_, std::move(message.news_)},
                            .seen_ = message.seen_news_,
                            .proof_at_ = effects.entries_confirmed_at_,
                            .leaves_ = std::move(message.leaves_),
                            .plans_from_ = message.plans_from_,
                            .plans_ = std::move(message.plans_),
                            .seen_plans_ = message.seen_plans_,
                            .plans_proof_at_ = effects.plans_confirmed_at_});
}

/// Takes over the sender's crash evidence, and forwards what is new to VMs that do not hear the sender.
void take_evidence_of(exchange_socket& own, fleet_message& message, millis now)
{
    for (auto& record : message.evidence_) {
        record.changed_at_ = now - (millis{message.sent_at_} - record.changed_at_);
    }
    if (!message.evidence_.empty() && take_evidence(own.node_, message.evidence_)) {
        ask_urgently(own, {.leaves_ = message.kind_ == message_kind::mesh,
                           .all_ = message.kind_ == message_kind::report});
    }
}

/// Notes the highest epoch that the message names: one that the store may have lost.
void note_epoch(entry_node& node, fleet_message const& message)
{
    auto& highest = node.shared_.highest_epoch_; // only this thread writes it
    auto const named = std::max(message.lease_epoch_, message.seen_epoch_);
    if (named > highest.load(std::memory_order_acquire)) {
        highest.store(named, std::memory_order_release);
    }
}

void take_placements(exchange_socket& own, fleet_message const& message, millis now)
{
    auto& node = own.node_;
    auto const known_epoch = node.placements_.epoch_;
    if (message.lease_epoch_ == 0 || node.own_lease_epoch_ != 0 || message.lease_epoch_ < known_epoch) {
        return;
    }
    node.shared_.holder_message_at_.store(now.count_, std::memory_order_release);
    if (message.lease_epoch_ > known_epoch) {
        log_decision("placement-holder", {{"told_by", message.vm_}, {"epoch", message.lease_epoch_}});
    }
    store_position const end{message.store_era_, message.lease_end_};
    if (end.offset_ > 0 && end != node.lease_end_ && end.era_ >= node.lease_end_.era_) {
        node.lease_end_ = end;
        node.lease_end_changed_(end);
    }
    node.orders_from_ = now + millis{message.orders_in_};
    apply_placements(node.placements_, message.lease_epoch_, message.placements_from_, message.placements_to_,
                     message.placements_, now);
    if (message.placements_.empty()) {
        return;
    }
    ask_urgently(own, {.waiting_ = true});
    if (!node.waiting_.empty()) {
        wake_waiting(node);
    }
}

void take_datagram(exchange_socket& own, fleet_message& message, udp::endpoint const& from)
{
    auto& node = own.node_;
    auto const now = boot_now();
    auto const known = node.endpoints_.find(message.vm_);
    if (known == node.endpoints_.end() || known->second != from) {
        node.counters_.count("auburnchute_peer_messages_total", "unknown");
        // Not read from the store yet, or one of that name at another address; the store says which.
        node.shared_.unknown_sender_seen_.store(true, std::memory_order_release);
        return;
    }
    auto const peer = node.exchange_.peers_.find(message.vm_);
    auto const silent =
        peer != node.exchange_.peers_.end() && !is_responsive(peer->second, now)
            ? (peer->second.received_at_ > millis{0} ? now - peer->second.received_at_ : millis{-1})
            : millis{0};
    bool const waited_before = peer != node.exchange_.peers_.end() && has_waiting(peer->second.last_);
    auto const effects = apply_message(node.exchange_, message, own_spending(node), now);
    if (!effects.accepted_) {
        node.counters_.count("auburnchute_peer_messages_total", "overtaken");
        return;
    }
    node.counters_.count("auburnchute_peer_messages_total", "taken");
    if (silent != millis{0}) {
        log_decision("peer-heard", {{"vm", message.vm_}, {"silent_ms", silent.count_}});
    }
    book_spending(node, effects, now);
    note_epoch(node, message);
    take_config_hint(own, message);
    take_freshness(node, message, effects.config_confirmed_at_);
    compare_registries(own, message);
    take_entries_of(node, message, effects, now);
    take_evidence_of(own, message, now);
    take_placements(own, message, now);
    if (!effects.models_awaited_) {
        return;
    }
    if (node.own_lease_epoch_ != 0) {
        node.need_changed_();
    } else if (!waited_before) {
        ask_urgently(own, {.holder_ = true});
    }
}

net::awaitable<void> receive(std::shared_ptr<exchange_socket> own)
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
        own->node_.counters_.count("auburnchute_peer_bytes_total", "received",
                                   static_cast<std::int64_t>(size));
        auto message = decode_message({own->received_.data(), size});
        if (!message) {
            own->node_.counters_.count("auburnchute_peer_messages_total", "malformed");
            continue;
        }
        take_datagram(*own, *message, from);
    }
}

/// Decides whether this VM is among the few that read the store for all.
void choose_readers(entry_node& node)
{
    auto const duty = reader_duty_of(node.exchange_, own_candidate(node));
    node.shared_.reads_for_all_.store(duty.reads_for_all_, std::memory_order_release);
    node.shared_.defers_.store(duty.defers_, std::memory_order_release);
}

void note_round(entry_node& node, bool relay_before, std::string const& relay_of_before)
{
    auto const& exchange = node.exchange_;
    bool const relays = exchange.term_ != 0;
    if (relays != relay_before || exchange.relay_ != relay_of_before) {
        log_decision("relay", {{"relays", relays},
                               {"relay", exchange.relay_},
                               {"relays_known", exchange.mesh_.size()},
                               {"live", live_count(exchange)}});
    }
    node.counters_.gauge("auburnchute_members", "", static_cast<double>(live_count(exchange)));
    node.counters_.gauge("auburnchute_relays", "", relays ? 1.0 : 0.0);
}

/// One round: chooses duties and relays anew and sends this VM's state.
void send_round(exchange_socket& own, millis now)
{
    auto& node = own.node_;
    bool const relay_before = node.exchange_.term_ != 0;
    auto const relay_of_before = node.exchange_.relay_;
    choose_readers(node);
    // A VM on which all others depend must receive messages from all relays itself.
    node.exchange_.must_relay_ =
        node.own_lease_epoch_ != 0 || node.shared_.reads_for_all_.load(std::memory_order_acquire);
    refresh_peers(node.exchange_, own_spending(node), now);
    note_round(node, relay_before, relay_of_before);
    forget_needs(node, now);
    expire_evidence(node, now);
    for (auto& [name, use] : node.workspaces_) {
        refill(use.bucket_, peer_visibility_of(node.exchange_, now), now); // its level is sent
    }
    send_to(own, {.all_ = true});
}

net::awaitable<void> send_regularly(std::shared_ptr<exchange_socket> own)
{
    millis next_round{};
    while (true) {
        auto const now = boot_now();
        if (now >= next_round) {
            own->urgent_ = {};
            send_round(*own, now);
            next_round = now + send_interval(own->node_.exchange_);
        } else if (own->urgent_.any() && now - own->urgent_sent_at_ >= urgent_pause) {
            own->urgent_sent_at_ = now;
            send_to(*own, std::exchange(own->urgent_, {}));
        }
        auto const until =
            own->urgent_.any() ? std::min(next_round, own->urgent_sent_at_ + urgent_pause) : next_round;
        co_await own->wake_.wait_for(until - boot_now());
    }
}

} // namespace

void exchange_with_peers(entry_node& node)
{
    auto own = std::make_shared<exchange_socket>(node);
    auto const address = node.settings_.ip_ + ":" + std::to_string(node.settings_.peer_port_);
    auto const endpoint = parse_endpoint(address);
    error_code fault;
    own->socket_.open(udp::v4(), fault);
    own->socket_.bind({endpoint.address(), endpoint.port()}, fault);
    if (fault) {
        throw error{"listen", address, fault.message()};
    }
    own->socket_.non_blocking(true);
    node.send_state_ = [own](message_targets targets) {
        switch (targets) {
        case message_targets::all:
            ask_urgently(*own, {.all_ = true});
            break;
        case message_targets::holder:
            ask_urgently(*own, {.holder_ = true});
            break;
        case message_targets::waiting:
            ask_urgently(*own, {.waiting_ = true});
            break;
        case message_targets::leaves:
            ask_urgently(*own, {.leaves_ = true});
            break;
        }
    };
    run_forever(node.loop_, "receive", [own] { return receive(own); });
    run_forever(node.loop_, "send", [own] { return send_regularly(own); });
}

void set_members(entry_node& node, std::vector<entry_member> const& members)
{
    for (auto const& member : members) {
        if (member.vm_ != node.settings_.vm_) {
            auto const endpoint = parse_endpoint(member.peer_address_);
            node.endpoints_[member.vm_] = {endpoint.address(), endpoint.port()};
        }
    }
    set_members(node.exchange_, members);
}

need_map fleet_needs(entry_node const& node, need_names const& names, millis now)
{
    auto sums = reported_needs(node.exchange_, now);
    for (auto const& row : own_needs(node, now)) {
        add_need(sums[row.need_], row.amount_);
    }
    need_map needs;
    for (auto const& [hash, amount] : sums) {
        // One that the configuration does not name cannot be placed.
        if (auto const name = names.find(hash); name != names.end()) {
            needs.emplace(name->second, amount);
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
    for (auto const& member : node.exchange_.members_) {
        if (member.vm_ != node.settings_.vm_ && is_live_and_ready(node.exchange_, member.vm_)) {
            addresses.push_back(member.callers_address_);
        }
    }
    return addresses;
}

} // namespace auburnchute
