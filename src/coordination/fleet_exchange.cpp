#include <auburnchute/fleet_exchange.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace auburnchute {

namespace {

/// Time between messages to few peers. The tolerance of the limits covers usage within this time.
constexpr millis min_send_interval{150};

/// Increase of the send interval per peer, which bounds the message rate of relays.
constexpr millis send_interval_per_peer{4};

/// The silence timeout of a peer, in multiples of its send interval.
constexpr std::int64_t silence_timeout_intervals = 4;

/// Lower bound on the time without messages after which a peer is not responsive.
constexpr millis min_silence{1'000};

/// Lower bound on the time without messages after which a leaf changes its relay.
constexpr millis min_relay_silence{700};

/// How long a VM that stopped responding is not chosen as a relay. The time doubles up to the maximum, since
/// the VM may be lost for good.
constexpr millis initial_relay_backoff{5'000};
constexpr millis max_relay_backoff{30'000};

/// How long after its start a VM includes members that no peer has listed yet in the size of the fleet.
constexpr millis unseen_member_period{5'000};

/// How long a VM that no peer lists any more keeps its share of the rate limits. This exceeds the bound on
/// the withdrawal of caller keys, after which a partitioned VM admits no requests.
constexpr millis lost_vm_retention{15'000};

/// Silence after which a VM in the mesh gets messages only once per `probe_interval`. Small fleets need this,
/// since all their VMs stay in the mesh.
constexpr millis probe_after_silence{15'000};
constexpr millis probe_interval{2'000};

/// Messages from a leaf to a leaf of another relay: report, mesh message and digest.
constexpr std::int64_t leaf_to_leaf_hops = 3;

/// A round that is later than this shows that the process was paused; peers may have considered it
/// unresponsive.
constexpr millis max_round_delay{700};

/// Value of `charged_in_term_` for a relay whose next totals are not charged as an increment of its last
/// ones.
constexpr std::int64_t never_charged = -1;

/// A VM that receives no levels within this time after a gap continues with its own.
constexpr millis max_level_wait{3'000};

/// Time from sending a datagram until the receiver has read it.
constexpr millis datagram_delay{30};

bool is_relay(fleet_exchange const& exchange) noexcept
{
    return exchange.term_ != 0;
}

millis silence_timeout(peer_state const& peer, millis minimum) noexcept
{
    return std::max(minimum, peer.last_.send_interval_ * silence_timeout_intervals);
}

void set_in_sums(fleet_exchange& exchange, peer_state& peer, bool included)
{
    if (peer.in_sums_ == included) {
        return;
    }
    peer.in_sums_ = included;
    std::int64_t const sign = included ? 1 : -1;
    for (auto const& row : peer.last_.use_) {
        auto const found = exchange.use_.try_emplace(row.upstream_).first;
        auto& sum = found->second;
        sum.requests_ += sign * row.use_.requests_;
        sum.tokens_ += sign * row.use_.tokens_;
        sum.unread_tokens_ += sign * row.use_.unread_tokens_;
        if (sum == upstream_use{}) {
            exchange.use_.erase(found);
        }
    }
}

/// Returns whether the load and usage in a message are not also in messages from other senders, so that
/// adding them counts nothing twice.
bool contributes_to_sums(fleet_exchange const& exchange, std::string_view vm, message_kind kind) noexcept
{
    switch (kind) {
    case message_kind::report:
        return true;
    case message_kind::mesh:
        return is_relay(exchange);
    case message_kind::digest:
        break;
    }
    return !is_relay(exchange) && vm == exchange.relay_;
}

void refresh_known_vms(fleet_exchange& exchange, millis now)
{
    for (auto& [vm_hash, status] : exchange.known_vms_) {
        status = {.seen_at_ = status.seen_at_};
    }
    exchange.indirect_relays_.clear();
    auto const record = [&](short_hash vm_hash, bool ready, bool young) {
        exchange.known_vms_.insert_or_assign(vm_hash, vm_status{true, ready, young, now});
    };
    for (auto const& [vm, peer] : exchange.peers_) {
        if (!is_responsive(peer, now)) {
            continue;
        }
        auto const& young = peer.last_.young_;
        auto const is_young = [&](short_hash vm_hash) {
            return std::find(young.begin(), young.end(), vm_hash) != young.end();
        };
        for (auto const vm_hash : peer.last_.ready_) {
            record(vm_hash, true, is_young(vm_hash));
        }
        for (auto const vm_hash : peer.last_.unready_) {
            record(vm_hash, false, is_young(vm_hash));
        }
        exchange.indirect_relays_.insert(peer.last_.relays_.begin(), peer.last_.relays_.end());
    }
    exchange.known_vms_.erase(short_hash_of(exchange.vm_));
    std::erase_if(exchange.known_vms_,
                  [&](auto const& entry) { return now - entry.second.seen_at_ > lost_vm_retention; });
}

vm_status find_status(fleet_exchange const& exchange, short_hash vm) noexcept
{
    auto const found = exchange.known_vms_.find(vm);
    return found == exchange.known_vms_.end() ? vm_status{} : found->second;
}

bool has_just_started(fleet_exchange const& exchange, millis now) noexcept
{
    return !exchange.first_start_ && now - exchange.started_at_ < startup_period;
}

bool is_backed_off(fleet_exchange const& exchange, std::string_view vm, millis now) noexcept
{
    auto const found = exchange.relay_backoffs_.find(vm);
    return found != exchange.relay_backoffs_.end() && now < found->second.until_;
}

/// Returns the members as candidates, and this VM even if the store does not list it yet. Sets `self` to the
/// index of this VM.
std::vector<relay_candidate> relay_candidates(fleet_exchange const& exchange, millis now, std::size_t& self)
{
    auto const is_reported = [&](entry_member const& member) {
        auto const vm_hash = short_hash_of(member.vm_);
        return find_status(exchange, vm_hash).live_ || exchange.indirect_relays_.contains(vm_hash);
    };
    std::set<std::string_view> live_zones;
    for (auto const& member : exchange.members_) {
        if (is_reported(member)) {
            live_zones.insert(member.availability_zone_);
        }
    }
    std::vector<relay_candidate> fleet;
    self = exchange.members_.size();
    for (auto const& member : exchange.members_) {
        bool const is_self = member.vm_ == exchange.vm_;
        if (is_self) {
            self = fleet.size();
        }
        // If no VM of a zone is listed, its VMs may still be live, so each of them may be tried as a relay.
        bool const may_live = is_reported(member) || !live_zones.contains(member.availability_zone_);
        bool const young = is_self ? has_just_started(exchange, now)
                                   : find_status(exchange, short_hash_of(member.vm_)).young_;
        fleet.push_back({member.vm_, member.availability_zone_, member.strength_,
                         is_self || (may_live && !is_backed_off(exchange, member.vm_, now)), young});
    }
    if (self == exchange.members_.size()) {
        fleet.push_back({.vm_ = exchange.vm_, .zone_ = "", .young_ = true});
    }
    return fleet;
}

/// Adds relays that are not in this VM's plan to its mesh: those that show it by their mesh messages, and
/// those that other relays list. Without the latter, two relays of which neither plans the other would never
/// exchange messages.
void add_unplanned_relays(fleet_exchange& exchange, millis now)
{
    auto const add = [&](std::string const& vm) {
        if (std::find(exchange.mesh_.begin(), exchange.mesh_.end(), vm) == exchange.mesh_.end()) {
            exchange.mesh_.push_back(vm);
        }
    };
    for (auto const& [vm, peer] : exchange.peers_) {
        if (peer.last_.kind_ == message_kind::mesh && is_responsive(peer, now)) {
            add(vm);
        }
    }
    for (auto const& member : exchange.members_) {
        // Also one in its backoff: others receive from it, and it cannot know that this VM is a relay.
        if (member.vm_ != exchange.vm_ && exchange.indirect_relays_.contains(short_hash_of(member.vm_))) {
            add(member.vm_);
        }
    }
}

/// Sets the peers to which this VM sends, and the start time of those that are new.
void update_sending_since(fleet_exchange& exchange, std::vector<std::string> const& targets, millis now)
{
    for (auto& [vm, peer] : exchange.peers_) {
        if (std::find(targets.begin(), targets.end(), vm) == targets.end()) {
            peer.sending_since_ = {};
        }
    }
    for (auto const& vm : targets) {
        auto& peer = exchange.peers_[vm];
        if (peer.sending_since_ == millis{0}) {
            peer.sending_since_ = now;
        }
    }
}

/// Records that this VM may have missed messages. At the first start of the fleet there is nothing to miss.
void mark_reception_gap(fleet_exchange& exchange, millis now)
{
    exchange.receiving_since_ = now;
    exchange.wants_levels_ = !exchange.first_start_ || now - exchange.started_at_ >= startup_period;
}

bool may_have_missed_updates(fleet_exchange const& exchange, millis now) noexcept
{
    return exchange.wants_levels_ && now - exchange.receiving_since_ < max_level_wait;
}

/// Detects that this process has started or was paused. After a pause the silence timeouts of the peers start
/// again, since their messages may not have been read yet.
void detect_own_pause(fleet_exchange& exchange, millis now)
{
    bool const started = exchange.refreshed_at_ == millis{0};
    bool const paused = !started && now - exchange.refreshed_at_ > send_interval(exchange) + max_round_delay;
    exchange.refreshed_at_ = now;
    if (started || paused) {
        mark_reception_gap(exchange, now);
    }
    for (auto& [vm, peer] : exchange.peers_) {
        if (paused && peer.sending_since_ != millis{0}) {
            peer.sending_since_ = now;
        }
    }
}

/// Starts a backoff for peers that did not answer within their silence timeout, and ends it for those that
/// do.
void back_off_silent_relays(fleet_exchange& exchange, millis now)
{
    for (auto const& [vm, peer] : exchange.peers_) {
        if (is_responsive(peer, now) && vm != exchange.relay_) {
            exchange.relay_backoffs_.erase(vm);
        }
        if (peer.sending_since_ == millis{0}) {
            continue;
        }
        auto const least = vm == exchange.relay_ ? min_relay_silence : min_silence;
        auto const since = std::max(peer.received_at_, peer.sending_since_);
        if (now - since < silence_timeout(peer, least)) {
            continue;
        }
        auto& backoff = exchange.relay_backoffs_[vm];
        if (now >= backoff.until_) {
            backoff.duration_ = std::clamp(backoff.duration_ * 2, initial_relay_backoff, max_relay_backoff);
            backoff.until_ = now + backoff.duration_;
        }
    }
}

bool has_leaves(fleet_exchange const& exchange, millis now)
{
    return std::any_of(exchange.peers_.begin(), exchange.peers_.end(),
                       [&](auto const& known) { return is_leaf(known.second, now); });
}

/// Starts or ends the term of this VM as a relay.
void set_role(fleet_exchange& exchange, bool relays, millis now)
{
    if (relays == is_relay(exchange)) {
        return;
    }
    exchange.term_ = relays ? std::max<std::int64_t>(now.count_, 1) : 0;
    mark_reception_gap(exchange, now);
    exchange.leaf_totals_.clear();
    if (relays) {
        exchange.term_baseline_ = exchange.acknowledged_totals_;
    } else {
        exchange.acknowledged_totals_ = exchange.local_totals_; // other relays have charged it
    }
    for (auto& [vm, peer] : exchange.peers_) {
        if (peer.last_.kind_ != message_kind::report) {
            set_in_sums(exchange, peer, false);
        }
    }
}

/// Removes silent leaves from the sums that another relay lists, so that they are not counted twice.
void drop_moved_leaves(fleet_exchange& exchange, fleet_message const& message, millis now)
{
    auto const lists = [&](short_hash vm) {
        return std::find(message.ready_.begin(), message.ready_.end(), vm) != message.ready_.end() ||
               std::find(message.unready_.begin(), message.unready_.end(), vm) != message.unready_.end();
    };
    for (auto& [vm, peer] : exchange.peers_) {
        bool const silent = now - peer.received_at_ > peer.last_.send_interval_ + datagram_delay * 3;
        if (silent && is_leaf(peer, now) && lists(short_hash_of(vm))) {
            set_in_sums(exchange, peer, false);
            peer.received_at_ = now - silence_timeout(peer, min_silence);
        }
    }
}

std::int64_t total_or(spend_totals const& totals, name_hash workspace, std::int64_t spend_row::*field,
                      std::int64_t fallback) noexcept
{
    auto const found = totals.find(workspace);
    return found == totals.end() ? fallback : found->second.*field;
}

void add_total(spend_totals& totals, spend_row const& row)
{
    auto& sum = totals.try_emplace(row.workspace_, spend_row{row.workspace_, 0, 0}).first->second;
    sum.used_ += row.used_;
    sum.asked_ += row.asked_;
}

spend_totals to_totals(std::span<spend_row const> rows)
{
    spend_totals totals;
    for (auto const& row : rows) {
        totals[row.workspace_] = row;
    }
    return totals;
}

/// The totals that are subtracted from those of a message to get the usage to charge.
enum class charge_baseline : std::uint8_t {
    last_totals,  ///< Those of the sender's previous message.
    acknowledged, ///< Those that another relay has charged according to the sender.
    zero,         ///< None: this VM has received messages since the totals began.
    current,      ///< Those of the message itself: earlier usage is known from other messages or levels.
};

/// Returns the usage to charge for a message and stores its totals in `peer`.
std::vector<spend_row> charge_increments(peer_state& peer, fleet_message const& message,
                                         charge_baseline baseline_kind)
{
    auto const acknowledged_totals = to_totals(message.counted_);
    std::vector<spend_row> increments;
    for (auto const& row : message.spent_) {
        auto const baseline = [&](std::int64_t spend_row::*field) {
            switch (baseline_kind) {
            case charge_baseline::last_totals:
                // A workspace that was not in the last totals was first used since that message.
                return total_or(peer.last_totals_, row.workspace_, field, 0);
            case charge_baseline::acknowledged:
                return std::max(total_or(peer.last_totals_, row.workspace_, field, 0),
                                total_or(acknowledged_totals, row.workspace_, field, 0));
            case charge_baseline::zero:
                return std::int64_t{0};
            case charge_baseline::current:
                break;
            }
            return row.*field;
        };
        spend_row const increment{row.workspace_, row.used_ - baseline(&spend_row::used_),
                                  row.asked_ - baseline(&spend_row::asked_)};
        peer.last_totals_[row.workspace_] = row;
        if (increment.used_ != 0 || increment.asked_ != 0) {
            increments.push_back(increment);
        }
    }
    return increments;
}

/// Returns the baseline for the first message of a sender in its role.
charge_baseline initial_baseline(fleet_exchange const& exchange, fleet_message const& message, millis now)
{
    switch (message.kind_) {
    case message_kind::report:
        return message.counted_.empty() ? charge_baseline::current : charge_baseline::acknowledged;
    case message_kind::mesh: {
        auto const term_age = millis{message.sent_at_ - message.term_};
        return term_age < now - exchange.receiving_since_ ? charge_baseline::zero : charge_baseline::current;
    }
    case message_kind::digest:
        break;
    }
    return charge_baseline::current;
}

std::vector<spend_row> to_rows(spend_totals const& totals)
{
    std::vector<spend_row> rows;
    rows.reserve(totals.size());
    std::transform(totals.begin(), totals.end(), std::back_inserter(rows),
                   [](auto const& total) { return total.second; });
    return rows;
}

std::vector<upstream_use_row> to_rows(std::map<short_hash, upstream_use> const& sums)
{
    std::vector<upstream_use_row> rows;
    for (auto const& [upstream, use] : sums) {
        if (use != upstream_use{}) {
            rows.push_back({upstream, use});
        }
    }
    return rows;
}

void add_rows(std::map<short_hash, upstream_use>& sums, std::vector<upstream_use_row> const& rows,
              std::int64_t sign)
{
    for (auto const& row : rows) {
        auto& sum = sums[row.upstream_];
        sum.requests_ += sign * row.use_.requests_;
        sum.tokens_ += sign * row.use_.tokens_;
        sum.unread_tokens_ += sign * row.use_.unread_tokens_;
    }
}

void add_needs(std::map<name_hash, model_need>& sums, std::vector<need_row> const& rows)
{
    for (auto const& row : rows) {
        add_need(sums[row.need_], row.amount_);
    }
}

/// Writes the roster, which is the VMs that a message covers and the relays known to the sender, and its
/// digest.
void write_roster(fleet_message& message, std::map<short_hash, vm_status> const& vms,
                  std::vector<short_hash> relays)
{
    for (auto const& [vm_hash, status] : vms) {
        (status.ready_ ? message.ready_ : message.unready_).push_back(vm_hash);
        if (status.young_) {
            message.young_.push_back(vm_hash);
        }
    }
    message.relays_ = std::move(relays);
    std::uint64_t digest = 0;
    for (auto const* const list : {&message.ready_, &message.unready_, &message.young_, &message.relays_}) {
        digest = stable_hash({reinterpret_cast<char const*>(list->data()), list->size() * sizeof(short_hash)},
                             digest);
    }
    message.roster_ = digest | 1U; // 0 is reserved for an unknown roster
}

/// Returns the other relays that are responsive, in the order of their names.
std::vector<short_hash> responsive_relays(fleet_exchange const& exchange, millis now)
{
    std::vector<short_hash> relays;
    for (auto const& [vm, peer] : exchange.peers_) {
        if (peer.last_.kind_ == message_kind::mesh && is_responsive(peer, now)) {
            relays.push_back(short_hash_of(vm));
        }
    }
    return relays;
}

std::map<short_hash, vm_status> roster_of(fleet_exchange const& exchange, bool own_ready, message_kind kind,
                                          millis now)
{
    std::map<short_hash, vm_status> vms{
        {short_hash_of(exchange.vm_), {true, own_ready, has_just_started(exchange, now), now}}};
    if (kind == message_kind::digest) {
        std::copy_if(exchange.known_vms_.begin(), exchange.known_vms_.end(), std::inserter(vms, vms.end()),
                     [](auto const& known) { return known.second.live_; });
    } else if (kind == message_kind::mesh) {
        for (auto const& [vm, peer] : exchange.peers_) {
            if (is_leaf(peer, now)) {
                vms.insert(
                    {short_hash_of(vm), {true, !peer.last_.ready_.empty(), !peer.last_.young_.empty(), now}});
            }
        }
    }
    return vms;
}

/// Returns the totals that this VM sends to other relays: its own usage without the part that an earlier
/// relay has charged, and the usage of its leaves.
spend_totals mesh_totals(fleet_exchange const& exchange, std::span<spend_row const> own)
{
    spend_totals totals;
    for (auto const& row : own) {
        add_total(totals, row);
        add_total(totals,
                  {row.workspace_, -total_or(exchange.term_baseline_, row.workspace_, &spend_row::used_, 0),
                   -total_or(exchange.term_baseline_, row.workspace_, &spend_row::asked_, 0)});
    }
    for (auto const& [workspace, total] : exchange.leaf_totals_) {
        add_total(totals, total);
    }
    return totals;
}

/// Returns the sender's levels less the usage of this VM that the sender has not charged yet.
std::vector<level_row> adjusted_levels(fleet_exchange const& exchange, fleet_message const& message,
                                       std::span<spend_row const> own)
{
    auto const sent = message.kind_ == message_kind::mesh ? mesh_totals(exchange, own) : to_totals(own);
    auto const charged = to_totals(message.counted_);
    auto levels = message.levels_;
    for (auto& row : levels) {
        row.level_ -= total_or(sent, row.workspace_, &spend_row::used_, 0) -
                      total_or(charged, row.workspace_, &spend_row::used_, 0);
    }
    return levels;
}

/// Returns the latest time in this VM's clock at which something that the sender has is known to have been
/// the newest; none without an echo of a message of this process. \param age Age of the sender's knowledge in
/// milliseconds; -1: none.
std::optional<millis> confirmed_at(fleet_exchange const& exchange, fleet_message const& message,
                                   std::int64_t age, millis now)
{
    bool const echo_is_own = message.echo_ >= exchange.started_at_.count_ && message.echo_ <= now.count_;
    if (!echo_is_own || age < 0) {
        return std::nullopt;
    }
    // The clocks are not synchronized. The echoed message left before it arrived at the sender, so
    // subtracting from its send time the age of the sender's knowledge at its arrival gives a lower bound.
    return millis{message.echo_ - std::max<std::int64_t>(0, age - message.echo_held_)};
}

} // namespace

void set_members(fleet_exchange& exchange, std::vector<entry_member> members)
{
    for (auto const& member : members) {
        auto const former = std::find_if(exchange.members_.begin(), exchange.members_.end(),
                                         [&](entry_member const& old) { return old.vm_ == member.vm_; });
        if (former != exchange.members_.end() && former->peer_address_ != member.peer_address_) {
            // Another VM has the same name now, and its boot clock may be behind that of the former one.
            exchange.peers_[member.vm_].last_.sent_at_ = 0;
            exchange.relay_backoffs_.erase(member.vm_);
        }
    }
    std::sort(members.begin(), members.end(),
              [](entry_member const& a, entry_member const& b) { return a.vm_ < b.vm_; });
    exchange.members_ = std::move(members);
}

void refresh_peers(fleet_exchange& exchange, std::span<spend_row const> own, millis now)
{
    for (auto& [vm, peer] : exchange.peers_) {
        if (peer.in_sums_ && !is_responsive(peer, now)) {
            set_in_sums(exchange, peer, false);
        }
    }
    detect_own_pause(exchange, now);
    bool const small_fleet = exchange.members_.size() <= max_full_mesh_vms;
    if (small_fleet) {
        exchange.relay_backoffs_.clear();
    } else {
        back_off_silent_relays(exchange, now);
    }
    refresh_known_vms(exchange, now);
    std::size_t self = 0;
    auto const fleet = relay_candidates(exchange, now, self);
    auto const plan = plan_relays(fleet, self);
    set_role(exchange, plan.is_relay_ || exchange.must_relay_ || has_leaves(exchange, now) || !plan.relay_,
             now);
    exchange.mesh_.clear();
    auto const relay_before = std::exchange(exchange.relay_, {});
    std::vector<std::string> targets;
    if (is_relay(exchange)) {
        for (auto const index : plan.mesh_) {
            exchange.mesh_.emplace_back(fleet[index].vm_);
        }
        add_unplanned_relays(exchange, now);
        targets = exchange.mesh_;
    } else {
        exchange.relay_ = std::string{fleet[*plan.relay_].vm_};
        targets = {exchange.relay_};
    }
    if (relay_before != exchange.relay_) {
        mark_reception_gap(exchange, now);
        if (auto const old = exchange.peers_.find(relay_before); old != exchange.peers_.end()) {
            set_in_sums(exchange, old->second, false);
        }
    }
    update_sending_since(exchange, targets, now);
    exchange.local_totals_ = to_totals(own);
}

millis send_interval(fleet_exchange const& exchange) noexcept
{
    auto const peer_count =
        std::count_if(exchange.peers_.begin(), exchange.peers_.end(), [](auto const& known) {
            return known.second.in_sums_ || known.second.sending_since_ != millis{0};
        });
    return min_send_interval + send_interval_per_peer * peer_count;
}

millis propagation_delay(fleet_exchange const& exchange) noexcept
{
    bool const small_fleet = exchange.members_.size() <= max_full_mesh_vms;
    return send_interval(exchange) * (small_fleet ? 1 : leaf_to_leaf_hops) + datagram_delay;
}

bool is_responsive(peer_state const& peer, millis now) noexcept
{
    return peer.received_at_ > millis{0} && now - peer.received_at_ < silence_timeout(peer, min_silence);
}

bool is_leaf(peer_state const& peer, millis now) noexcept
{
    return peer.last_.kind_ == message_kind::report && is_responsive(peer, now);
}

std::vector<message_target> send_targets(fleet_exchange const& exchange, millis now)
{
    std::vector<message_target> targets;
    if (!is_relay(exchange)) {
        targets.push_back({exchange.relay_, message_kind::report});
        return targets;
    }
    auto const interval = send_interval(exchange);
    for (auto const& vm : exchange.mesh_) {
        auto const known = exchange.peers_.find(vm);
        if (known == exchange.peers_.end()) {
            continue;
        }
        auto const since = std::max(known->second.received_at_, known->second.sending_since_);
        bool const probe_due = now.count_ % probe_interval.count_ < interval.count_;
        if (now - since < probe_after_silence || probe_due) {
            targets.push_back({known->first, message_kind::mesh});
        }
    }
    for (auto const& [vm, peer] : exchange.peers_) {
        if (is_leaf(peer, now)) {
            targets.push_back({vm, message_kind::digest});
        }
    }
    return targets;
}

fleet_message compose_common(fleet_exchange const& exchange, local_status const& own, message_kind kind,
                             millis now)
{
    fleet_message message;
    message.vm_ = exchange.vm_;
    message.incarnation_ = exchange.incarnation_;
    message.kind_ = kind;
    message.term_ = kind == message_kind::report ? 0 : exchange.term_;
    message.sent_at_ = now.count_;
    message.send_interval_ = send_interval(exchange);
    message.store_era_ = own.store_era_;
    message.config_version_ = own.config_version_;
    message.config_next_ = own.config_next_;
    message.config_age_ = own.config_age_;
    message.wants_levels_ = may_have_missed_updates(exchange, now);
    message.seen_epoch_ = own.seen_epoch_;
    message.seen_placements_ = own.seen_placements_;
    message.seen_news_ = own.seen_news_;
    message.entries_age_ = own.entries_age_;
    message.registry_ = own.registry_;
    message.leaves_digest_ = own.leaves_digest_;
    message.seen_plans_ = own.seen_plans_;
    message.plans_age_ = own.plans_age_;
    if (own.holds_lease_ || kind == message_kind::digest) {
        message.lease_epoch_ = own.lease_epoch_;
        message.lease_end_ = own.lease_end_;
        message.orders_in_ = own.orders_in_;
    }
    write_roster(message, roster_of(exchange, own.ready_, kind, now),
                 kind == message_kind::mesh ? responsive_relays(exchange, now) : std::vector<short_hash>{});

    auto spent = kind == message_kind::mesh ? mesh_totals(exchange, own.spent_) : to_totals(own.spent_);
    std::map<short_hash, upstream_use> use;
    add_rows(use, own.use_, 1);
    if (kind == message_kind::digest) {
        for (auto const& [workspace, total] : exchange.remote_totals_) {
            add_total(spent, total);
        }
        for (auto const& [upstream, sum] : exchange.use_) {
            add_rows(use, {{upstream, sum}}, 1);
        }
    } else if (kind == message_kind::mesh) {
        for (auto const& [vm, peer] : exchange.peers_) {
            if (peer.in_sums_ && peer.last_.kind_ == message_kind::report) {
                add_rows(use, peer.last_.use_, 1);
            }
        }
    }
    message.spent_ = to_rows(spent);
    message.use_ = to_rows(use);
    if (kind == message_kind::report) {
        message.needs_ = own.needs_;
    }
    return message;
}

void add_target_fields(fleet_exchange const& exchange, local_status const& own, message_target const& target,
                       millis now, fleet_message& message)
{
    auto const found = exchange.peers_.find(target.vm_);
    if (found == exchange.peers_.end()) {
        message.roster_told_ = true;
        return;
    }
    auto const& peer = found->second;
    auto const& last = peer.last_;
    message.echo_ = last.sent_at_;
    message.echo_held_ = (now - peer.received_at_).count_;
    message.seen_roster_ = last.roster_;
    message.seen_evidence_ = last.evidence_version_;
    message.roster_told_ = last.seen_roster_ != message.roster_;
    if (!message.roster_told_) {
        message.ready_.clear();
        message.unready_.clear();
        message.young_.clear();
        message.relays_.clear();
    }
    if (last.wants_levels_ && target.kind_ != message_kind::report &&
        !may_have_missed_updates(exchange, now)) {
        message.levels_ = own.levels_;
        message.counted_ = to_rows(peer.last_totals_);
        message.counted_term_ = last.term_;
    }
    bool const silent = now - peer.received_at_ > send_interval(exchange) * 2;
    if (target.kind_ == message_kind::report &&
        (silent || now - exchange.receiving_since_ < startup_period)) {
        // This may be the first report that the relay receives from this VM.
        message.counted_ = to_rows(exchange.acknowledged_totals_);
    }
    if (target.kind_ == message_kind::mesh && last.lease_epoch_ != 0) {
        std::map<name_hash, model_need> needs;
        add_needs(needs, own.needs_);
        for (auto const& [vm, leaf] : exchange.peers_) {
            if (is_leaf(leaf, now)) {
                add_needs(needs, leaf.last_.needs_);
            }
        }
        for (auto const& [need, amount] : needs) {
            message.needs_.push_back({need, amount});
        }
    }
    if (target.kind_ != message_kind::digest) {
        return;
    }
    // The leaf's own state is subtracted, since the leaf would count it twice.
    auto spent = to_totals(message.spent_);
    for (auto const& [workspace, total] : peer.charged_totals_) {
        add_total(spent, {workspace, -total.used_, -total.asked_});
    }
    message.spent_ = to_rows(spent);
    message.counted_ = to_rows(peer.last_totals_);
    if (peer.in_sums_) {
        std::map<short_hash, upstream_use> use;
        add_rows(use, message.use_, 1);
        add_rows(use, last.use_, -1);
        message.use_ = to_rows(use);
    }
}

message_effects apply_message(fleet_exchange& exchange, fleet_message const& message,
                              std::span<spend_row const> own, millis now)
{
    message_effects effects;
    if (message.vm_ == exchange.vm_) {
        return effects;
    }
    auto& peer = exchange.peers_[message.vm_];
    auto const& before = peer.last_;
    bool const same_process = before.incarnation_ == message.incarnation_;
    if (same_process && message.sent_at_ <= before.sent_at_) {
        return effects;
    }
    effects.accepted_ = true;
    bool const contributes = contributes_to_sums(exchange, message.vm_, message.kind_);
    bool const same_role = same_process && before.kind_ == message.kind_ && before.term_ == message.term_;
    // The totals of a relay continue after a silence. Those from and to a leaf do not: in the meantime
    // another relay may have charged the leaf's usage and sent it digests.
    bool const is_mesh = message.kind_ == message_kind::mesh;
    bool const continues_totals =
        same_role && (is_mesh ? peer.charged_in_term_ == exchange.term_ : peer.in_sums_);
    if (!same_process) {
        peer.charged_totals_.clear();
    }
    if (!same_role) {
        peer.last_totals_.clear(); // totals of another role or process are not comparable
    }
    set_in_sums(exchange, peer, false);
    if (contributes) {
        auto const from =
            continues_totals ? charge_baseline::last_totals : initial_baseline(exchange, message, now);
        effects.spent_ = charge_increments(peer, message, from);
        peer.charged_in_term_ = exchange.term_;
    }
    for (auto const& row : effects.spent_) {
        add_total(exchange.remote_totals_, row);
        if (message.kind_ == message_kind::report) {
            add_total(exchange.leaf_totals_, row);
            add_total(peer.charged_totals_, row);
        }
    }
    if (message.kind_ == message_kind::digest && contributes) {
        for (auto const& row : message.counted_) {
            exchange.acknowledged_totals_[row.workspace_] = row;
        }
    }
    if (is_mesh) {
        drop_moved_leaves(exchange, message, now);
    }
    auto previous = std::exchange(peer.last_, message);
    peer.last_.placements_.clear();
    peer.last_.news_.clear();
    peer.last_.leaves_.clear();
    peer.last_.plans_.clear();
    peer.last_.evidence_.clear();
    if (!message.roster_told_) {
        peer.last_.ready_ = std::move(previous.ready_);
        peer.last_.unready_ = std::move(previous.unready_);
        peer.last_.young_ = std::move(previous.young_);
        peer.last_.relays_ = std::move(previous.relays_);
        peer.last_.roster_ = previous.roster_; // an unknown roster is requested again
    }
    peer.received_at_ = now;
    if (contributes) {
        set_in_sums(exchange, peer, true);
    }
    bool const same_term = message.kind_ != message_kind::report && message.counted_term_ == exchange.term_;
    // Before it has a configuration, this VM has no buckets and `own` is empty.
    if (contributes && same_term && may_have_missed_updates(exchange, now) && !message.levels_.empty() &&
        !own.empty()) {
        effects.levels_ = adjusted_levels(exchange, message, own);
        exchange.wants_levels_ = false;
        // The levels already include the usage of other VMs during the gap.
        for (auto& [vm, other] : exchange.peers_) {
            if (other.received_at_ < exchange.receiving_since_) {
                other.charged_in_term_ = never_charged;
            }
        }
    }
    effects.config_confirmed_at_ = confirmed_at(exchange, message, message.config_age_, now);
    effects.entries_confirmed_at_ = confirmed_at(exchange, message, message.entries_age_, now);
    effects.plans_confirmed_at_ = confirmed_at(exchange, message, message.plans_age_, now);
    effects.models_awaited_ = std::any_of(message.needs_.begin(), message.needs_.end(),
                                          [](need_row const& row) { return row.amount_.waiting_ > 0; });
    return effects;
}

upstream_use remote_use(fleet_exchange const& exchange, short_hash upstream) noexcept
{
    auto const found = exchange.use_.find(upstream);
    return found == exchange.use_.end() ? upstream_use{} : found->second;
}

std::size_t live_count(fleet_exchange const& exchange) noexcept
{
    return 1 + static_cast<std::size_t>(std::count_if(exchange.known_vms_.begin(), exchange.known_vms_.end(),
                                                      [](auto const& known) { return known.second.live_; }));
}

double reachable_share(fleet_exchange const& exchange, millis now) noexcept
{
    auto fleet_size = exchange.known_vms_.size() + 1;
    // After a restart of all VMs, none may use the whole rate before it receives messages from the others.
    if (!exchange.first_start_ && now - exchange.started_at_ < unseen_member_period) {
        for (auto const& member : exchange.members_) {
            bool const listed =
                member.vm_ == exchange.vm_ || exchange.known_vms_.contains(short_hash_of(member.vm_));
            fleet_size += listed ? 0U : 1U;
        }
    }
    return static_cast<double>(live_count(exchange)) / static_cast<double>(fleet_size);
}

peer_visibility peer_visibility_of(fleet_exchange const& exchange, millis now) noexcept
{
    return {reachable_share(exchange, now), may_have_missed_updates(exchange, now)};
}

bool is_live(fleet_exchange const& exchange, std::string_view vm) noexcept
{
    return find_status(exchange, short_hash_of(vm)).live_;
}

bool is_live_and_ready(fleet_exchange const& exchange, std::string_view vm) noexcept
{
    auto const live = find_status(exchange, short_hash_of(vm));
    return live.live_ && live.ready_;
}

std::map<name_hash, model_need> reported_needs(fleet_exchange const& exchange, millis now)
{
    std::map<name_hash, model_need> needs;
    for (auto const& [vm, peer] : exchange.peers_) {
        if (peer.in_sums_ && is_responsive(peer, now)) {
            add_needs(needs, peer.last_.needs_);
        }
    }
    return needs;
}

} // namespace auburnchute
