#include <auburnchute/fleet_exchange.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace auburnchute {

namespace {

/// Time between messages with few contacts; the limits' slack covers what is spent within it.
constexpr millis least_rhythm{150};

/// Time added for each contact.
constexpr millis rhythm_per_contact{4};

/// Messages that may be lost before a VM counts as silent.
constexpr std::int64_t missing_messages = 4;

/// Least silence after which a VM is not heard any more.
constexpr millis least_silence{1'000};

/// Least silence after which a leaf turns to another relay.
constexpr millis relay_silence{700};

/// How long a silent VM is not asked to relay; doubled each time, as it may be gone for good.
constexpr millis first_avoidance{5'000};
constexpr millis longest_avoidance{30'000};

/// For how long after its start a VM counts members that it has not heard of yet.
constexpr millis unheard_counted{5'000};

/// A VM that nobody tells of any more keeps its part of the rates for this long: longer than the bound on
/// keys, after which one that is cut off spends nothing.
constexpr millis part_kept{15'000};

/// VMs of a small fleet that were silent for longer are addressed only now and then.
constexpr millis long_silence{15'000};
constexpr millis probe_pause{2'000};

/// What of a digest's delay and a mesh message's delay lies between two VMs: up, across and down.
constexpr std::int64_t hops_between_leaves = 3;

/// A round that comes later than this shows that the process did not run; others may have taken it for
/// silent.
constexpr millis longest_delay{700};

/// Of a contact whose totals are not charged from the ones before.
constexpr std::int64_t uncounted = -1;

/// A VM to which nobody could tell the levels for this long goes on with its own.
constexpr millis longest_gap{3'000};

/// Time that a datagram takes on its way and until it is read.
constexpr millis travel{30};

bool is_relay(fleet_exchange const& exchange) noexcept
{
    return exchange.term_ != 0;
}

millis silence_of(fleet_contact const& contact, millis least) noexcept
{
    return std::max(least, contact.last_.rhythm_ * missing_messages);
}

void add_use(fleet_exchange& exchange, fleet_contact& contact, bool counted)
{
    if (contact.summed_ == counted) {
        return;
    }
    contact.summed_ = counted;
    std::int64_t const sign = counted ? 1 : -1;
    for (auto const& row : contact.last_.use_) {
        auto const found = exchange.use_.try_emplace(row.upstream_).first;
        auto& sum = found->second;
        sum.requests_ += sign * row.use_.requests_;
        sum.tokens_ += sign * row.use_.tokens_;
        sum.unread_tokens_ += sign * row.use_.unread_tokens_;
        if (sum == upstream_use{}) {
            exchange.use_.erase(found);
        }
    }
    for (auto const& row : contact.last_.crashes_) {
        auto const found = exchange.crashes_.try_emplace(row.fingerprint_).first;
        found->second += sign * row.count_;
        if (found->second == 0) {
            exchange.crashes_.erase(found);
        }
    }
}

/// Whether a message of this kind from this VM tells what no other one tells.
bool counts_here(fleet_exchange const& exchange, std::string_view vm, message_kind kind) noexcept
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

void refresh_live(fleet_exchange& exchange, millis now)
{
    for (auto& [tag, live] : exchange.live_) {
        live = {.seen_at_ = live.seen_at_};
    }
    exchange.relays_heard_.clear();
    auto const note = [&](short_hash tag, bool ready, bool young) {
        exchange.live_.insert_or_assign(tag, live_vm{true, ready, young, now});
    };
    for (auto const& [vm, contact] : exchange.contacts_) {
        if (!is_heard(contact, now)) {
            continue;
        }
        auto const& young = contact.last_.young_;
        auto const is_young = [&](short_hash tag) {
            return std::find(young.begin(), young.end(), tag) != young.end();
        };
        for (auto const tag : contact.last_.ready_) {
            note(tag, true, is_young(tag));
        }
        for (auto const tag : contact.last_.unready_) {
            note(tag, false, is_young(tag));
        }
        exchange.relays_heard_.insert(contact.last_.relays_.begin(), contact.last_.relays_.end());
    }
    exchange.live_.erase(short_hash_of(exchange.vm_));
    std::erase_if(exchange.live_, [&](auto const& known) { return now - known.second.seen_at_ > part_kept; });
}

live_vm find_live(fleet_exchange const& exchange, short_hash vm) noexcept
{
    auto const found = exchange.live_.find(vm);
    return found == exchange.live_.end() ? live_vm{} : found->second;
}

bool has_just_started(fleet_exchange const& exchange, millis now) noexcept
{
    return !exchange.first_start_ && now - exchange.started_at_ < joining_time;
}

bool is_avoided(fleet_exchange const& exchange, std::string_view vm, millis now) noexcept
{
    auto const found = exchange.avoided_.find(vm);
    return found != exchange.avoided_.end() && now < found->second.until_;
}

/// The members as candidates, this VM included even if the store does not tell of it yet.
std::vector<relay_candidate> candidates(fleet_exchange const& exchange, millis now, std::size_t& self)
{
    auto const is_told = [&](entry_member const& member) {
        auto const tag = short_hash_of(member.vm_);
        return find_live(exchange, tag).there_ || exchange.relays_heard_.contains(tag);
    };
    std::set<std::string_view> zones_with_life;
    for (auto const& member : exchange.members_) {
        if (is_told(member)) {
            zones_with_life.insert(member.availability_zone_);
        }
    }
    std::vector<relay_candidate> fleet;
    self = exchange.members_.size();
    for (auto const& member : exchange.members_) {
        bool const is_self = member.vm_ == exchange.vm_;
        if (is_self) {
            self = fleet.size();
        }
        // A zone of which nobody tells may live all the same: then any of its VMs may answer.
        bool const may_live = is_told(member) || !zones_with_life.contains(member.availability_zone_);
        bool const young =
            is_self ? has_just_started(exchange, now) : find_live(exchange, short_hash_of(member.vm_)).young_;
        fleet.push_back({member.vm_, member.availability_zone_, member.strength_,
                         is_self || (may_live && !is_avoided(exchange, member.vm_, now)), young});
    }
    if (self == exchange.members_.size()) {
        fleet.push_back({.vm_ = exchange.vm_, .zone_ = "", .young_ = true});
    }
    return fleet;
}

/// Books to whom this VM sends, and since when.
void address(fleet_exchange& exchange, std::vector<std::string> const& targets, millis now)
{
    for (auto& [vm, contact] : exchange.contacts_) {
        if (std::find(targets.begin(), targets.end(), vm) == targets.end()) {
            contact.addressed_at_ = {};
        }
    }
    for (auto const& vm : targets) {
        auto& contact = exchange.contacts_[vm];
        if (contact.addressed_at_ == millis{0}) {
            contact.addressed_at_ = now;
        }
    }
}

/// Books that this VM may have missed something.
void listen_anew(fleet_exchange& exchange, millis now)
{
    exchange.listens_since_ = now;
    exchange.wants_levels_ = !exchange.first_start_ || now - exchange.started_at_ >= joining_time;
}

bool has_gaps(fleet_exchange const& exchange, millis now) noexcept
{
    return exchange.wants_levels_ && now - exchange.listens_since_ < longest_gap;
}

/// After a pause of this process, the others' silence counts from now: their messages are still to be read.
void forgive_own_pause(fleet_exchange& exchange, millis now)
{
    bool const started = exchange.refreshed_at_ == millis{0};
    bool const paused = !started && now - exchange.refreshed_at_ > message_rhythm(exchange) + longest_delay;
    exchange.refreshed_at_ = now;
    if (started || paused) {
        listen_anew(exchange, now);
    }
    for (auto& [vm, contact] : exchange.contacts_) {
        if (paused && contact.addressed_at_ != millis{0}) {
            contact.addressed_at_ = now;
        }
    }
}

/// Avoids relays that were addressed for a while and are silent.
void avoid_silent(fleet_exchange& exchange, millis now)
{
    for (auto const& [vm, contact] : exchange.contacts_) {
        if (is_heard(contact, now) && vm != exchange.relay_) {
            exchange.avoided_.erase(vm);
        }
        if (contact.addressed_at_ == millis{0}) {
            continue;
        }
        auto const least = vm == exchange.relay_ ? relay_silence : least_silence;
        auto const since = std::max(contact.heard_at_, contact.addressed_at_);
        if (now - since < silence_of(contact, least)) {
            continue;
        }
        auto& avoided = exchange.avoided_[vm];
        if (now >= avoided.until_) {
            avoided.next_pause_ = std::clamp(avoided.next_pause_ * 2, first_avoidance, longest_avoidance);
            avoided.until_ = now + avoided.next_pause_;
        }
    }
}

bool has_leaves(fleet_exchange const& exchange, millis now)
{
    return std::any_of(exchange.contacts_.begin(), exchange.contacts_.end(),
                       [&](auto const& known) { return is_leaf(known.second, now); });
}

/// Starts or ends this VM's term as a relay.
void take_role(fleet_exchange& exchange, bool relays, millis now)
{
    if (relays == is_relay(exchange)) {
        return;
    }
    exchange.term_ = relays ? std::max<std::int64_t>(now.count_, 1) : 0;
    listen_anew(exchange, now);
    exchange.leaves_.clear();
    if (relays) {
        exchange.own_base_ = exchange.counted_;
    } else {
        exchange.counted_ = exchange.own_told_; // the other relays have it
    }
    for (auto& [vm, contact] : exchange.contacts_) {
        if (contact.last_.kind_ != message_kind::report) {
            add_use(exchange, contact, false);
        }
    }
}

/// Takes leaves out of the sums that another relay counts now.
void drop_moved_leaves(fleet_exchange& exchange, fleet_message const& message, millis now)
{
    auto const tells_of = [&](short_hash vm) {
        return std::find(message.ready_.begin(), message.ready_.end(), vm) != message.ready_.end() ||
               std::find(message.unready_.begin(), message.unready_.end(), vm) != message.unready_.end();
    };
    for (auto& [vm, contact] : exchange.contacts_) {
        bool const silent = now - contact.heard_at_ > contact.last_.rhythm_ + travel * 3;
        if (silent && is_leaf(contact, now) && tells_of(short_hash_of(vm))) {
            add_use(exchange, contact, false);
            contact.heard_at_ = now - silence_of(contact, least_silence);
        }
    }
}

std::int64_t booked(spend_totals const& totals, name_hash workspace, std::int64_t spend_row::*field,
                    std::int64_t otherwise) noexcept
{
    auto const found = totals.find(workspace);
    return found == totals.end() ? otherwise : found->second.*field;
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

/// From where a sender's totals are charged.
enum class charge_from : std::uint8_t {
    booked,  ///< From what was booked of its message before.
    counted, ///< From what it says that another relay has counted.
    nothing, ///< Whole: this VM has listened since the totals began.
    now,     ///< Nothing is charged: the past came another way, or is in the levels that are taken over.
};

/// What a sender's totals grew by.
std::vector<spend_row> charge_spent(fleet_contact& contact, fleet_message const& message, charge_from from)
{
    auto const counted = to_totals(message.counted_);
    std::vector<spend_row> grown;
    for (auto const& row : message.spent_) {
        auto const baseline = [&](std::int64_t spend_row::*field) {
            switch (from) {
            case charge_from::booked:
                // A workspace that it names for the first time was spent from since its last message.
                return booked(contact.booked_, row.workspace_, field, 0);
            case charge_from::counted:
                return std::max(booked(contact.booked_, row.workspace_, field, 0),
                                booked(counted, row.workspace_, field, 0));
            case charge_from::nothing:
                return std::int64_t{0};
            case charge_from::now:
                break;
            }
            return row.*field;
        };
        spend_row const more{row.workspace_, row.used_ - baseline(&spend_row::used_),
                             row.asked_ - baseline(&spend_row::asked_)};
        contact.booked_[row.workspace_] = row;
        if (more.used_ != 0 || more.asked_ != 0) {
            grown.push_back(more);
        }
    }
    return grown;
}

/// How a sender is charged that is heard for the first time in its role.
charge_from first_charge(fleet_exchange const& exchange, fleet_message const& message, millis now)
{
    switch (message.kind_) {
    case message_kind::report:
        return message.counted_.empty() ? charge_from::now : charge_from::counted;
    case message_kind::mesh: {
        auto const term_age = millis{message.sent_at_ - message.term_};
        return term_age < now - exchange.listens_since_ ? charge_from::nothing : charge_from::now;
    }
    case message_kind::digest:
        break;
    }
    return charge_from::now;
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

void add_rows(std::map<std::uint64_t, std::int64_t>& sums, std::vector<crash_row> const& rows,
              std::int64_t sign)
{
    for (auto const& row : rows) {
        sums[row.fingerprint_] += sign * row.count_;
    }
}

std::vector<crash_row> to_rows(std::map<std::uint64_t, std::int64_t> const& sums)
{
    std::vector<crash_row> rows;
    for (auto const& [fingerprint, count] : sums) {
        if (count > 0) {
            rows.push_back({fingerprint, count});
        }
    }
    return rows;
}

void add_needs(std::map<name_hash, model_need>& sums, std::vector<need_row> const& rows)
{
    for (auto const& row : rows) {
        add_need(sums[row.need_], row.amount_);
    }
}

/// Lists the VMs that a message is about, and the relays that the sender hears.
void write_roster(fleet_message& message, std::map<short_hash, live_vm> const& vms,
                  std::vector<short_hash> relays)
{
    for (auto const& [tag, live] : vms) {
        (live.ready_ ? message.ready_ : message.unready_).push_back(tag);
        if (live.young_) {
            message.young_.push_back(tag);
        }
    }
    message.relays_ = std::move(relays);
    std::uint64_t digest = 0;
    for (auto const* const list : {&message.ready_, &message.unready_, &message.young_, &message.relays_}) {
        digest = stable_hash({reinterpret_cast<char const*>(list->data()), list->size() * sizeof(short_hash)},
                             digest);
    }
    message.roster_ = digest | 1U; // 0 says that none is known
}

/// The other relays that this one hears, in the order of their names.
std::vector<short_hash> heard_relays(fleet_exchange const& exchange, millis now)
{
    std::vector<short_hash> relays;
    for (auto const& [vm, contact] : exchange.contacts_) {
        if (contact.last_.kind_ == message_kind::mesh && is_heard(contact, now)) {
            relays.push_back(short_hash_of(vm));
        }
    }
    return relays;
}

std::map<short_hash, live_vm> roster_of(fleet_exchange const& exchange, bool own_ready, message_kind kind,
                                        millis now)
{
    std::map<short_hash, live_vm> vms{
        {short_hash_of(exchange.vm_), {true, own_ready, has_just_started(exchange, now), now}}};
    if (kind == message_kind::digest) {
        std::copy_if(exchange.live_.begin(), exchange.live_.end(), std::inserter(vms, vms.end()),
                     [](auto const& known) { return known.second.there_; });
    } else if (kind == message_kind::mesh) {
        for (auto const& [vm, contact] : exchange.contacts_) {
            if (is_leaf(contact, now)) {
                vms.insert({short_hash_of(vm),
                            {true, !contact.last_.ready_.empty(), !contact.last_.young_.empty(), now}});
            }
        }
    }
    return vms;
}

/// What this VM tells other relays of its own spending: what an earlier relay has counted is left out.
spend_totals own_ledger(fleet_exchange const& exchange, std::span<spend_row const> own)
{
    spend_totals ledger;
    for (auto const& row : own) {
        add_total(ledger, row);
        add_total(ledger, {row.workspace_, -booked(exchange.own_base_, row.workspace_, &spend_row::used_, 0),
                           -booked(exchange.own_base_, row.workspace_, &spend_row::asked_, 0)});
    }
    for (auto const& [workspace, total] : exchange.leaves_) {
        add_total(ledger, total);
    }
    return ledger;
}

/// The sender's levels less what it has not counted of this VM yet.
std::vector<level_row> levels_to_take(fleet_exchange const& exchange, fleet_message const& message,
                                      std::span<spend_row const> own)
{
    auto const told = message.kind_ == message_kind::mesh ? own_ledger(exchange, own) : to_totals(own);
    auto const counted = to_totals(message.counted_);
    auto levels = message.levels_;
    for (auto& row : levels) {
        row.level_ -= booked(told, row.workspace_, &spend_row::used_, 0) -
                      booked(counted, row.workspace_, &spend_row::used_, 0);
    }
    return levels;
}

/// How long a proof that a sender handed over has been true, in this VM's clock.
std::optional<millis> proof_of(fleet_exchange const& exchange, fleet_message const& message, millis now)
{
    bool const echo_is_own = message.echo_ >= exchange.started_at_.count_ && message.echo_ <= now.count_;
    if (!echo_is_own || message.config_age_ < 0) {
        return std::nullopt;
    }
    // The sender had received this VM's message `echo_` when its proof was at most this old.
    return millis{message.echo_ - std::max<std::int64_t>(0, message.config_age_ - message.echo_held_)};
}

} // namespace

void follow_members(fleet_exchange& exchange, std::vector<entry_member> members)
{
    for (auto const& member : members) {
        auto const known = std::find_if(exchange.members_.begin(), exchange.members_.end(),
                                        [&](entry_member const& old) { return old.vm_ == member.vm_; });
        if (known != exchange.members_.end() && known->peer_address_ != member.peer_address_) {
            // Another VM has taken the name, with another boot clock.
            exchange.contacts_[member.vm_].last_.sent_at_ = 0;
            exchange.avoided_.erase(member.vm_);
        }
    }
    std::sort(members.begin(), members.end(),
              [](entry_member const& a, entry_member const& b) { return a.vm_ < b.vm_; });
    exchange.members_ = std::move(members);
}

void refresh_contacts(fleet_exchange& exchange, std::span<spend_row const> own, millis now)
{
    for (auto& [vm, contact] : exchange.contacts_) {
        if (contact.summed_ && !is_heard(contact, now)) {
            add_use(exchange, contact, false);
        }
    }
    forgive_own_pause(exchange, now);
    bool const small_fleet = exchange.members_.size() <= largest_mesh;
    if (small_fleet) {
        exchange.avoided_.clear();
    } else {
        avoid_silent(exchange, now);
    }
    refresh_live(exchange, now);
    std::size_t self = 0;
    auto const fleet = candidates(exchange, now, self);
    auto const plan = plan_relays(fleet, self);
    take_role(exchange, plan.relays_ || exchange.has_duty_ || has_leaves(exchange, now) || !plan.relay_, now);
    exchange.mesh_.clear();
    auto const relay_before = std::exchange(exchange.relay_, {});
    std::vector<std::string> addressed;
    if (is_relay(exchange)) {
        for (auto const index : plan.mesh_) {
            exchange.mesh_.emplace_back(fleet[index].vm_);
        }
        // Relays that choose otherwise say so by their messages.
        for (auto const& [vm, contact] : exchange.contacts_) {
            bool const known =
                std::find(exchange.mesh_.begin(), exchange.mesh_.end(), vm) != exchange.mesh_.end();
            if (!known && contact.last_.kind_ == message_kind::mesh && is_heard(contact, now)) {
                exchange.mesh_.push_back(vm);
            }
        }
        addressed = exchange.mesh_;
    } else {
        exchange.relay_ = std::string{fleet[*plan.relay_].vm_};
        addressed = {exchange.relay_};
    }
    if (relay_before != exchange.relay_) {
        listen_anew(exchange, now);
        if (auto const old = exchange.contacts_.find(relay_before); old != exchange.contacts_.end()) {
            add_use(exchange, old->second, false);
        }
    }
    address(exchange, addressed, now);
    exchange.own_told_ = to_totals(own);
}

millis message_rhythm(fleet_exchange const& exchange) noexcept
{
    auto const contacts =
        std::count_if(exchange.contacts_.begin(), exchange.contacts_.end(), [](auto const& known) {
            return known.second.summed_ || known.second.addressed_at_ != millis{0};
        });
    return least_rhythm + rhythm_per_contact * contacts;
}

millis spreading_time(fleet_exchange const& exchange) noexcept
{
    bool const small_fleet = exchange.members_.size() <= largest_mesh;
    return message_rhythm(exchange) * (small_fleet ? 1 : hops_between_leaves) + travel;
}

bool is_heard(fleet_contact const& contact, millis now) noexcept
{
    return contact.heard_at_ > millis{0} && now - contact.heard_at_ < silence_of(contact, least_silence);
}

bool is_leaf(fleet_contact const& contact, millis now) noexcept
{
    return contact.last_.kind_ == message_kind::report && is_heard(contact, now);
}

std::vector<message_target> targets_of(fleet_exchange const& exchange, millis now)
{
    std::vector<message_target> targets;
    if (!is_relay(exchange)) {
        targets.push_back({exchange.relay_, message_kind::report});
        return targets;
    }
    auto const rhythm = message_rhythm(exchange);
    for (auto const& vm : exchange.mesh_) {
        auto const known = exchange.contacts_.find(vm);
        if (known == exchange.contacts_.end()) {
            continue;
        }
        auto const since = std::max(known->second.heard_at_, known->second.addressed_at_);
        bool const probe_due = now.count_ % probe_pause.count_ < rhythm.count_;
        if (now - since < long_silence || probe_due) {
            targets.push_back({known->first, message_kind::mesh});
        }
    }
    for (auto const& [vm, contact] : exchange.contacts_) {
        if (is_leaf(contact, now)) {
            targets.push_back({vm, message_kind::digest});
        }
    }
    return targets;
}

fleet_message compose_common(fleet_exchange const& exchange, own_report const& own, message_kind kind,
                             millis now)
{
    fleet_message message;
    message.vm_ = exchange.vm_;
    message.incarnation_ = exchange.incarnation_;
    message.kind_ = kind;
    message.term_ = kind == message_kind::report ? 0 : exchange.term_;
    message.sent_at_ = now.count_;
    message.rhythm_ = message_rhythm(exchange);
    message.config_next_ = own.config_next_;
    message.config_age_ = own.config_age_;
    message.wants_levels_ = has_gaps(exchange, now);
    message.seen_epoch_ = own.seen_epoch_;
    message.seen_placements_ = own.seen_placements_;
    message.seen_news_ = own.seen_news_;
    message.registry_ = own.registry_;
    if (own.holds_lease_ || kind == message_kind::digest) {
        message.lease_epoch_ = own.lease_epoch_;
        message.lease_end_ = own.lease_end_;
        message.orders_in_ = own.orders_in_;
    }
    write_roster(message, roster_of(exchange, own.ready_, kind, now),
                 kind == message_kind::mesh ? heard_relays(exchange, now) : std::vector<short_hash>{});

    auto spent = kind == message_kind::mesh ? own_ledger(exchange, own.spent_) : to_totals(own.spent_);
    std::map<short_hash, upstream_use> use;
    std::map<std::uint64_t, std::int64_t> crashes;
    add_rows(use, own.use_, 1);
    add_rows(crashes, own.crashes_, 1);
    if (kind == message_kind::digest) {
        for (auto const& [workspace, total] : exchange.others_) {
            add_total(spent, total);
        }
        for (auto const& [upstream, sum] : exchange.use_) {
            add_rows(use, {{upstream, sum}}, 1);
        }
        for (auto const& [fingerprint, count] : exchange.crashes_) {
            crashes[fingerprint] += count;
        }
    } else if (kind == message_kind::mesh) {
        for (auto const& [vm, contact] : exchange.contacts_) {
            if (contact.summed_ && contact.last_.kind_ == message_kind::report) {
                add_rows(use, contact.last_.use_, 1);
                add_rows(crashes, contact.last_.crashes_, 1);
            }
        }
    }
    message.spent_ = to_rows(spent);
    message.use_ = to_rows(use);
    message.crashes_ = to_rows(crashes);
    if (kind == message_kind::report) {
        message.needs_ = own.needs_;
    }
    return message;
}

void address_message(fleet_exchange const& exchange, own_report const& own, message_target const& target,
                     millis now, fleet_message& message)
{
    auto const found = exchange.contacts_.find(target.vm_);
    if (found == exchange.contacts_.end()) {
        message.roster_told_ = true;
        return;
    }
    auto const& contact = found->second;
    auto const& last = contact.last_;
    message.echo_ = last.sent_at_;
    message.echo_held_ = (now - contact.heard_at_).count_;
    message.seen_roster_ = last.roster_;
    message.roster_told_ = last.seen_roster_ != message.roster_;
    if (!message.roster_told_) {
        message.ready_.clear();
        message.unready_.clear();
        message.young_.clear();
        message.relays_.clear();
    }
    if (last.wants_levels_ && target.kind_ != message_kind::report && !has_gaps(exchange, now)) {
        message.levels_ = own.levels_;
        message.counted_ = to_rows(contact.booked_);
        message.counted_term_ = last.term_;
    }
    bool const silent = now - contact.heard_at_ > message_rhythm(exchange) * 2;
    if (target.kind_ == message_kind::report && (silent || now - exchange.listens_since_ < joining_time)) {
        message.counted_ = to_rows(exchange.counted_); // the relay may hear this VM for the first time
    }
    if (target.kind_ == message_kind::mesh && last.lease_epoch_ != 0) {
        std::map<name_hash, model_need> needs;
        add_needs(needs, own.needs_);
        for (auto const& [vm, leaf] : exchange.contacts_) {
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
    // What the leaf said itself must not come back to it.
    auto spent = to_totals(message.spent_);
    for (auto const& [workspace, total] : contact.passed_) {
        add_total(spent, {workspace, -total.used_, -total.asked_});
    }
    message.spent_ = to_rows(spent);
    message.counted_ = to_rows(contact.booked_);
    if (contact.summed_) {
        std::map<short_hash, upstream_use> use;
        add_rows(use, message.use_, 1);
        add_rows(use, last.use_, -1);
        message.use_ = to_rows(use);
        std::map<std::uint64_t, std::int64_t> crashes;
        add_rows(crashes, message.crashes_, 1);
        add_rows(crashes, last.crashes_, -1);
        message.crashes_ = to_rows(crashes);
    }
}

message_effects take_message(fleet_exchange& exchange, fleet_message const& message,
                             std::span<spend_row const> own, millis now)
{
    message_effects effects;
    if (message.vm_ == exchange.vm_) {
        return effects;
    }
    auto& contact = exchange.contacts_[message.vm_];
    auto const& before = contact.last_;
    bool const same_process = before.incarnation_ == message.incarnation_;
    if (same_process && message.sent_at_ <= before.sent_at_) {
        return effects;
    }
    effects.taken_ = true;
    bool const counts = counts_here(exchange, message.vm_, message.kind_);
    bool const same_role = same_process && before.kind_ == message.kind_ && before.term_ == message.term_;
    // Totals of a relay are exact also after a silence; those to and from a leaf went on elsewhere meanwhile.
    bool const mesh = message.kind_ == message_kind::mesh;
    bool const goes_on = same_role && (mesh ? contact.counted_in_term_ == exchange.term_ : contact.summed_);
    if (!same_process) {
        contact.passed_.clear();
    }
    if (!same_role) {
        contact.booked_.clear(); // totals of another kind
    }
    add_use(exchange, contact, false);
    if (counts) {
        auto const from = goes_on ? charge_from::booked : first_charge(exchange, message, now);
        effects.spent_ = charge_spent(contact, message, from);
        contact.counted_in_term_ = exchange.term_;
    }
    for (auto const& row : effects.spent_) {
        add_total(exchange.others_, row);
        if (message.kind_ == message_kind::report) {
            add_total(exchange.leaves_, row);
            add_total(contact.passed_, row);
        }
    }
    if (message.kind_ == message_kind::digest && counts) {
        for (auto const& row : message.counted_) {
            exchange.counted_[row.workspace_] = row;
        }
    }
    if (mesh) {
        drop_moved_leaves(exchange, message, now);
    }
    auto older = std::exchange(contact.last_, message);
    contact.last_.placements_.clear();
    contact.last_.news_.clear();
    if (!message.roster_told_) {
        contact.last_.ready_ = std::move(older.ready_);
        contact.last_.unready_ = std::move(older.unready_);
        contact.last_.young_ = std::move(older.young_);
        contact.last_.relays_ = std::move(older.relays_);
        contact.last_.roster_ = older.roster_; // one that was never told here is asked for again
    }
    contact.heard_at_ = now;
    if (counts) {
        add_use(exchange, contact, true);
    }
    bool const fits = message.kind_ != message_kind::report && message.counted_term_ == exchange.term_;
    // Without a configuration of its own, this VM has no buckets yet.
    if (counts && fits && has_gaps(exchange, now) && !message.levels_.empty() && !own.empty()) {
        effects.levels_ = levels_to_take(exchange, message, own);
        exchange.wants_levels_ = false;
        // What others spent during the gap is in the levels.
        for (auto& [vm, other] : exchange.contacts_) {
            if (other.heard_at_ < exchange.listens_since_) {
                other.counted_in_term_ = uncounted;
            }
        }
    }
    effects.proof_ = proof_of(exchange, message, now);
    effects.waits_ = std::any_of(message.needs_.begin(), message.needs_.end(),
                                 [](need_row const& row) { return row.amount_.waiting_ > 0; });
    return effects;
}

upstream_use others_use(fleet_exchange const& exchange, short_hash upstream) noexcept
{
    auto const found = exchange.use_.find(upstream);
    return found == exchange.use_.end() ? upstream_use{} : found->second;
}

std::int64_t others_crashes(fleet_exchange const& exchange, std::uint64_t fingerprint) noexcept
{
    auto const found = exchange.crashes_.find(fingerprint);
    return found == exchange.crashes_.end() ? 0 : found->second;
}

std::size_t live_count(fleet_exchange const& exchange) noexcept
{
    return 1 + static_cast<std::size_t>(std::count_if(exchange.live_.begin(), exchange.live_.end(),
                                                      [](auto const& known) { return known.second.there_; }));
}

double heard_share(fleet_exchange const& exchange, millis now) noexcept
{
    auto counted = exchange.live_.size() + 1;
    // After the loss of all VMs, each starts before it hears the others, and none may take the whole rate.
    if (!exchange.first_start_ && now - exchange.started_at_ < unheard_counted) {
        for (auto const& member : exchange.members_) {
            bool const known =
                member.vm_ == exchange.vm_ || exchange.live_.contains(short_hash_of(member.vm_));
            counted += known ? 0U : 1U;
        }
    }
    return static_cast<double>(live_count(exchange)) / static_cast<double>(counted);
}

bucket_hearing hearing_of(fleet_exchange const& exchange, millis now) noexcept
{
    return {heard_share(exchange, now), has_gaps(exchange, now)};
}

bool is_live(fleet_exchange const& exchange, std::string_view vm) noexcept
{
    return find_live(exchange, short_hash_of(vm)).there_;
}

bool is_live_and_ready(fleet_exchange const& exchange, std::string_view vm) noexcept
{
    auto const live = find_live(exchange, short_hash_of(vm));
    return live.there_ && live.ready_;
}

std::map<name_hash, model_need> told_needs(fleet_exchange const& exchange, millis now)
{
    std::map<name_hash, model_need> needs;
    for (auto const& [vm, contact] : exchange.contacts_) {
        if (contact.summed_ && is_heard(contact, now)) {
            add_needs(needs, contact.last_.needs_);
        }
    }
    return needs;
}

} // namespace auburnchute
