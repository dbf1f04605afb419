#include "transport/entry/store_reader.hpp"

#include "platform/checked_json.hpp"
#include "platform/json_codec.hpp"
#include "protocol/decision_log.hpp"
#include "protocol/fleet_codec.hpp"
#include "transport/entry/plan_reader.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/store_return.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <utility>

namespace auburnchute {

namespace {

/// Longest time for a call to the store besides its own waiting; on slow days it answers within a few hundred
/// milliseconds.
constexpr millis store_call_limit{1'500};

/// Parts of the time within which a configuration must be in force: the longest wait of one read for a newer
/// one, which bounds the age of the proof that there is none, and the age at which a VM reads itself in place
/// of going by its peers' proofs. Between the two lie two messages; after the second, the read itself must
/// fit.
constexpr std::int64_t config_wait_quarters = 1;
constexpr std::int64_t proof_quarters = 3;

/// Rhythm in which a VM that does not read the configuration looks whether it must.
constexpr millis passive_pause{100};

/// Pause between looks at whether the members must be read: one that joins makes itself known by its
/// messages.
constexpr millis member_pause{500};

/// Largest strength of a member, in hundredths of a core.
constexpr std::int64_t max_strength = 1'000'000;

/// Pause between looks at whether crash evidence is to be written: what is answered meanwhile costs no call.
constexpr millis evidence_pause{100};

/// The members are read this often even if no message from an unknown VM arrived.
constexpr millis member_refresh{30'000};

/// Pause after the first of a series of failed calls, and the longest one: each call is paid for, also those
/// that the store refuses, and the store's outages last for seconds.
constexpr millis failure_pause{150};
constexpr millis longest_failure_pause{600};

void note_call(store_reader& reader, bool reachable, std::string_view fault)
{
    if (reader.store_reachable_ == reachable) {
        return;
    }
    reader.store_reachable_ = reachable;
    if (reachable) {
        log_decision("store-regained", {});
    } else {
        log_failure("store-lost", {{"fault", fault}});
    }
    reader.counters_.count("auburnchute_store_changes_total", reachable ? "regained" : "lost");
}

std::uint64_t newest_era(store_reader const& reader)
{
    return reader.shared_.store_era_.load(std::memory_order_acquire);
}

/// Logs an era that is new to this VM.
void note_era(store_reader& reader)
{
    auto const era = newest_era(reader);
    if (era == reader.logged_era_) {
        return;
    }
    log_decision("store-era", {{"era", era}, {"before", reader.logged_era_}});
    reader.counters_.gauge("auburnchute_store_era", "", static_cast<double>(era));
    reader.logged_era_ = era;
}

platform::store_client make_client(store_reader& reader)
{
    return {reader.loop_, reader.settings_.store_address_, store_call_limit, reader.shared_.store_era_};
}

/// Pauses that double while calls keep failing.
class growing_pause {
public:
    [[nodiscard]] millis next() noexcept
    {
        return std::exchange(pause_, std::min(pause_ * 2, longest_failure_pause));
    }
    void reset() noexcept { pause_ = failure_pause; }

private:
    millis pause_{failure_pause};
};

/// A configuration as the store has it.
struct config_record {
    std::string document_;
    std::uint64_t next_{}; ///< Offset after it.
};

std::uint64_t config_version(store_reader const& reader)
{
    return reader.draft_.config_ ? reader.draft_.config_->version_ : 0;
}

/// Books a proof that the keys in force were the newest when a read was sent. There is none while newer ones
/// can't be read, or a peer has a newer configuration, which the store may have lost: keys may be withdrawn
/// there.
void note_fresh(store_reader& reader, millis sent_at)
{
    if (reader.config_unread_ || config_version(reader) < reader.told_config_version_) {
        return;
    }
    reader.shared_.config_read_at_.store(sent_at.count_, std::memory_order_release);
}

/// Puts a configuration in force unless it is older than the present one.
void adopt_config(store_reader& reader, fleet_config config, std::uint64_t next)
{
    auto const before = config_version(reader);
    if (reader.draft_.config_ && config.version_ < before) {
        log_failure("config-older", {{"version", config.version_}, {"in_force", before}});
        return;
    }
    if (config.version_ != before) {
        log_decision("config-in-force", {{"version", config.version_},
                                         {"before", before},
                                         {"complete", config.complete_},
                                         {"routes", config.routes_.size()},
                                         {"workspaces", config.workspaces_.size()},
                                         {"offset", next}});
    }
    reader.draft_.config_ = std::make_shared<fleet_config const>(std::move(config));
}

/// \returns Whether the whole document can be read.
bool take_config(store_reader& reader, std::string const& document, std::uint64_t next)
{
    try {
        adopt_config(reader, platform::parse_config(document), next);
        return true;
    } catch (error const& failure) {
        log_failure("config-unreadable", {{"fault", failure.what()}, {"offset", next}});
        return false;
    }
}

/// Takes the keys of a document of which the rest can't be read: those that it withdraws must not work any
/// longer, and all others go on to work.
/// \returns Whether they can be read; else the configuration in force stays as it is.
bool take_keys(store_reader& reader, std::string const& document, std::uint64_t next)
{
    try {
        auto const keys = platform::parse_config_keys(document);
        if (reader.draft_.config_) {
            adopt_config(reader, with_keys(*reader.draft_.config_, keys), next);
        }
        return true;
    } catch (error const& failure) {
        log_failure("config-keys-unreadable", {{"fault", failure.what()}, {"offset", next}});
        return false;
    }
}

/// Takes the newest configuration that can be read, and the keys of the newest of all if that is another one.
/// \param configs Of one read, oldest first.
void take_configs(store_reader& reader, std::span<config_record const> configs)
{
    if (configs.empty()) {
        return;
    }
    auto const taken = std::find_if(configs.rbegin(), configs.rend(), [&](config_record const& record) {
        return take_config(reader, record.document_, record.next_);
    });
    auto const& newest = configs.back();
    bool const whole = taken == configs.rbegin();
    reader.config_unread_ = !whole && !take_keys(reader, newest.document_, newest.next_);
    reader.counters_.gauge("auburnchute_config_complete", "", whole ? 1.0 : 0.0);
}

/// Notes up to where the configuration was read. What could not be read is not told as known: peers prove to
/// each other that there is none behind what they have.
void reach_config(store_reader& reader, store_position next)
{
    reader.config_next_ = next;
    if (!reader.config_unread_ && supersedes(next, reader.draft_.config_next_)) {
        reader.draft_.config_next_ = next;
    }
    publish(reader);
}

net::awaitable<void> read_all_config(store_reader& reader, platform::store_client& store)
{
    auto const sent_at = boot_now();
    auto const newest = co_await store.read_newest(platform::config_topic);
    std::vector<config_record> configs; // one at most, as no other is kept
    for (auto const& record : newest.records_) {
        if (record.key_ == platform::config_key && record.value_) {
            configs.push_back({*record.value_, newest.next_.offset_});
        }
    }
    take_configs(reader, configs);
    reach_config(reader, newest.next_);
    note_fresh(reader, sent_at);
}

/// Whether peers prove often enough that this VM has the newest configuration, so that it need not read.
bool proof_suffices(store_reader const& reader, store_position next)
{
    auto const& shared = reader.shared_;
    auto const proof = std::max(shared.config_read_at_.load(std::memory_order_acquire),
                                shared.config_proof_at_.load(std::memory_order_acquire));
    auto const enough = std::min(freshness_bound(reader.settings_.key_withdrawal_) * 7 / 10,
                                 reader.settings_.config_in_force_ * proof_quarters / 4);
    return !shared.reads_for_all_.load(std::memory_order_acquire) && !supersedes(reader.config_hint_, next) &&
           boot_now() - millis{proof} < enough;
}

net::awaitable<void> follow_config(store_reader& reader)
{
    auto store = make_client(reader);
    auto& next = reader.config_next_;
    millis wait{0};
    growing_pause after_failure;
    while (true) {
        std::string fault;
        try {
            if (!next) {
                co_await read_all_config(reader, store);
            }
            note_era(reader);
            if (proof_suffices(reader, *next)) {
                wait = millis{0}; // a read that becomes necessary should end at once
                co_await pause_for(passive_pause);
                continue;
            }
            auto const sent_at = boot_now();
            auto const page = co_await store.read(platform::config_topic, *next, wait);
            note_call(reader, true, "");
            after_failure.reset();
            wait = reader.settings_.config_in_force_ * config_wait_quarters / 4;
            if (page.expired_) {
                next.reset();
                continue;
            }
            std::vector<config_record> configs;
            for (auto const& stored : page.records_) {
                auto record = platform::parse_keyed_record(stored.bytes_);
                if (record && record->key_ == platform::config_key && record->value_) {
                    configs.push_back({std::move(*record->value_), stored.position_.offset_ + 1});
                }
            }
            take_configs(reader, configs);
            if (!page.records_.empty()) {
                reach_config(reader, page.next_);
            }
            if (reaches(page.next_, page.end_)) {
                note_fresh(reader, sent_at);
            }
            continue;
        } catch (std::exception const& failure) {
            fault = failure.what();
        }
        note_call(reader, false, fault);
        wait = millis{0}; // the next answer should prove freshness at once
        co_await pause_for(after_failure.next());
    }
}

/// What records of the upstreams' entries changed.
struct entry_changes {
    bool any_{};     ///< To be published and, in the log, told.
    bool leaving_{}; ///< An upstream leaves or is gone.
};

/// Takes a record of an upstream. One that cannot be read names no upstream to use, whatever the id named
/// before; it becomes a removal in `update`, so that all VMs take it alike.
/// \param era Of the store in which the record has its offset.
/// \param told_by The VM that told it, or empty for the store.
/// \returns Whether the record must be forwarded to other VMs: it says something new, or did so when it was
/// taken before its turn.
bool take_upstream(store_reader& reader, upstream_entry_update& update, std::uint64_t era,
                   std::string const& told_by, entry_changes& changes)
{
    auto const& id = update.id_;
    store_position const position{era, update.offset_};
    auto entry = update.document_ ? platform::parse_upstream(id, *update.document_) : std::nullopt;
    bool const unreadable = update.document_ && !entry;
    if (unreadable) {
        update.document_.reset();
    }
    if (entry) {
        reader.plans_.seen_[entry->service_].insert(entry->software_version_);
    }
    auto const now = boot_now();
    bool const known = reader.registry_.entries_.contains(id);
    auto const applied = reader.registry_.applied_.find(id);
    if (applied != reader.registry_.applied_.end() && !supersedes(position, applied->second.position_)) {
        return true;
    }
    if (unreadable) {
        reader.counters_.count("auburnchute_unreadable_entries_total");
        log_failure("upstream-unreadable", {{"upstream", id}, {"in_use", known}, {"told_by", told_by}});
    }
    auto const change = entry ? apply_entry(reader.registry_, std::move(*entry), position, now)
                              : apply_removal(reader.registry_, id, position, now);
    if (unreadable && !known) {
        return false; // VMs that lack it do not know the id either, or learn of its removal in turn
    }
    switch (change) {
    case entry_change::none:
        return false;
    case entry_change::added: {
        auto const& entry = reader.registry_.entries_.at(id);
        changes.leaving_ = changes.leaving_ || entry.leaving_;
        log_decision("upstream-seen", {{"upstream", id},
                                       {"service", entry.service_},
                                       {"address", entry.address_},
                                       {"software_version", entry.software_version_},
                                       {"models", entry.models_.size()}});
        break;
    }
    case entry_change::leaving:
        changes.leaving_ = true;
        log_decision("upstream-leaving", {{"upstream", id}, {"told_by", told_by}});
        break;
    case entry_change::lapsed:
        log_decision("upstream-lapsed", {{"upstream", id}, {"told_by", told_by}});
        break;
    case entry_change::removed:
        changes.leaving_ = changes.leaving_ || known;
        if (known) {
            log_decision("upstream-gone", {{"upstream", id}, {"told_by", told_by}});
        }
        break;
    case entry_change::returned:
    case entry_change::changed:
        break;
    }
    changes.any_ = true;
    return true;
}

void publish_upstreams(store_reader& reader)
{
    expire_notices(reader.registry_, boot_now());
    reader.draft_.upstreams_ = std::make_shared<upstream_map const>(usable_entries(reader.registry_));
    reader.draft_.registry_ = registry_digest(reader.registry_);
    reader.draft_.leaves_ =
        std::make_shared<std::vector<leave_notice> const>(told_leaves(reader.registry_, boot_now()));
    publish(reader);
}

/// Publishes what records changed, and has leaves told to the VMs that may not know them.
void publish_changes(store_reader& reader, entry_changes const& changes, message_targets untold)
{
    reader.draft_.log_ = std::make_shared<entry_log const>(reader.log_);
    if (changes.any_) {
        publish_upstreams(reader);
    } else {
        expire_notices(reader.registry_, boot_now()); // odd entries leave removals behind and change nothing
        publish(reader);                              // the offset, so that nobody tells the same again
    }
    if (changes.leaving_ && reader.leave_learned_) {
        reader.leave_learned_(untold);
    }
}

/// Notes when the entries up to the present offset were known to be the newest.
void note_entries_proof(store_reader& reader, millis proof_at)
{
    auto& known = reader.shared_.entries_proof_at_;
    if (proof_at.count_ <= known.load(std::memory_order_acquire)) {
        return;
    }
    known.store(proof_at.count_, std::memory_order_release);
    if (boot_now() - proof_at < leave_budget_of(reader.settings_.leave_in_force_).proof_limit_) {
        mark_store_reachable(reader.registry_, boot_now());
    }
}

/// \returns The time since the entries were last known to be the newest.
millis entries_age(store_reader const& reader)
{
    return boot_now() - millis{reader.shared_.entries_proof_at_.load(std::memory_order_acquire)};
}

/// Decides whose word on the entries' end does not hold, given where they ended in a read of them.
/// \param told What peers had told before the read was sent.
void settle_doubt(store_reader& reader, told_offset const& told, std::uint64_t end)
{
    auto const doubt = std::exchange(reader.doubt_, std::nullopt);
    for (auto const& vm : doubtful_vms(doubt, told, end)) {
        log_failure("upstreams-misreported", {{"vm", vm}, {"told", told.to_}, {"end", end}});
        reader.distrusted_[vm] = boot_now() + distrust_time;
    }
    bool const told_since = !(reader.told_ == told);
    if (told_since && reader.told_.to_ > end) {
        return; // entries that came after the read was sent
    }
    reader.told_ = {};
    if (told.to_ > end) {
        reader.upstreams_next_.reset(); // what was told does not count
    }
}

bool is_distrusted(store_reader& reader, std::string const& vm)
{
    std::erase_if(reader.distrusted_, [](auto const& known) { return known.second <= boot_now(); });
    return reader.distrusted_.contains(vm);
}

/// Begins with the entries anew: the store came back from an older copy, which ends there.
void begin_era(store_reader& reader, store_position copy_end)
{
    mark_store_returned(reader.registry_, copy_end, boot_now());
    reader.log_ = entry_log{};
    reader.upstreams_next_.reset();
    reader.told_ = {};
    reader.doubt_.reset();
}

/// Takes that an entry is not among all that the store has.
void take_missing(store_reader& reader, std::string const& id, store_position end, bool returned,
                  entry_changes& changes)
{
    if (returned) {
        changes.any_ = true;
        if (lapse_entry(reader.registry_, id, boot_now()) == entry_change::lapsed) {
            log_decision("upstream-lapsed", {{"upstream", id}, {"told_by", ""}});
        }
    } else if (end.offset_ > 0) {
        upstream_entry_update removal{end.offset_ - 1, id, std::nullopt};
        (void)take_upstream(reader, removal, end.era_, "", changes);
    }
}

net::awaitable<void> read_all_upstreams(store_reader& reader, platform::store_client& store)
{
    auto const told = reader.told_;
    auto const newest = co_await store.read_newest(platform::upstream_topic);
    auto const end = newest.next_;
    mark_store_reachable(reader.registry_, boot_now());
    bool const returned = reader.entries_era_ && *reader.entries_era_ != end.era_;
    if (returned) {
        begin_era(reader, end);
    } else {
        settle_doubt(reader, told, end.offset_);
    }
    reader.entries_era_ = end.era_;
    reader.log_.era_ = end.era_;
    entry_changes changes;
    std::set<std::string, std::less<>> there;
    for (auto const& record : newest.records_) {
        upstream_entry_update update{record.position_.offset_, record.key_, record.value_};
        (void)take_upstream(reader, update, end.era_, "", changes);
        there.insert(record.key_);
    }
    auto const known = reader.registry_.entries_;
    for (auto const& [id, entry] : known) {
        if (!there.contains(id)) {
            take_missing(reader, id, end, returned, changes);
        }
    }
    auto const next =
        reader.upstreams_next_ && reaches(*reader.upstreams_next_, end) ? *reader.upstreams_next_ : end;
    // The changes before are not known one by one, so the log begins anew.
    append_updates(reader.log_, next.offset_, next.offset_, {}, boot_now());
    reader.upstreams_next_ = next;
    reader.reads_all_upstreams_ = false;
    reader.plans_.due_ = true; // versions may have come and gone unseen
    changes.any_ = true;
    publish_changes(reader, changes, message_targets::all);
}

/// How long the reader may wait before lapsed entries are due. \pre `longest` is above 0.
millis until_lapse(store_reader const& reader, millis longest)
{
    auto const due = next_drop_time(reader.registry_);
    return due ? std::clamp(*due - boot_now(), millis{1}, longest) : longest;
}

/// Takes records that lead from one offset to another; those after it are taken, too, but not counted on, and
/// so are all of a later era than this VM has read the entries in.
void take_updates(store_reader& reader, entry_updates updates, std::uint64_t era, std::string const& told_by,
                  message_targets untold)
{
    entry_changes changes;
    std::vector<upstream_entry_update> forwarded;
    auto const next = reader.upstreams_next_->offset_;
    for (auto& update : updates.changes_) {
        if (take_upstream(reader, update, era, told_by, changes) && update.offset_ >= next &&
            update.offset_ < updates.to_) {
            forwarded.push_back(std::move(update));
        }
    }
    bool const leads_on = era == reader.upstreams_next_->era_ && updates.from_ <= next && next < updates.to_;
    if (leads_on && !told_by.empty()) {
        reader.told_ = {told_by, updates.to_, boot_now()};
    }
    if (leads_on) {
        append_updates(reader.log_, next, updates.to_, std::move(forwarded), boot_now());
        reader.upstreams_next_ = {era, updates.to_};
    }
    changes.any_ = drop_lapsed(reader.registry_, boot_now()) || changes.any_;
    if (leads_on || changes.any_) {
        publish_changes(reader, changes, untold);
    }
}

/// Reads once, one page at most. \returns Whether more records are known to follow.
net::awaitable<bool> read_upstreams_once(store_reader& reader, platform::store_client& store)
{
    if (!reader.upstreams_next_ || reader.reads_all_upstreams_ ||
        reader.upstreams_next_->era_ != newest_era(reader)) {
        co_await read_all_upstreams(reader, store);
    }
    auto const sent_at = boot_now();
    auto const from = *reader.upstreams_next_; // a peer's updates may be faster than the read
    auto const page = co_await store.read(platform::upstream_topic, from, millis{0});
    mark_store_reachable(reader.registry_, boot_now());
    if (!reader.upstreams_next_) {
        co_return false; // a peer contradicted what others told, so all entries are read first
    }
    if (page.expired_) {
        reader.reads_all_upstreams_ = true;
        co_return false;
    }
    if (!reaches(page.end_, from)) {
        log_failure("upstreams-beyond-end", {{"offset", from.offset_}, {"end", page.end_.offset_}});
        reader.upstreams_next_.reset(); // told by a peer; the entries between were never read
        co_return false;
    }
    entry_updates updates{from.offset_, page.next_.offset_, {}};
    for (auto const& stored : page.records_) {
        if (auto record = platform::parse_keyed_record(stored.bytes_)) {
            updates.changes_.push_back(
                {stored.position_.offset_, std::move(record->key_), std::move(record->value_)});
        }
    }
    take_updates(reader, std::move(updates), from.era_, "", message_targets::all);
    if (reaches(page.next_, page.end_)) {
        note_entries_proof(reader, sent_at);
        co_await follow_plans(reader, store, sent_at);
        co_return false;
    }
    co_return !page.records_.empty();
}

/// How long this VM need not read: until its turn, or until its knowledge is too old.
millis until_read(store_reader const& reader, millis read_at)
{
    if (!reader.upstreams_next_ || reader.reads_all_upstreams_) {
        return millis{0};
    }
    auto const budget = leave_budget_of(reader.settings_.leave_in_force_);
    if (reader.upstreams_next_->era_ != std::max(reader.told_era_, newest_era(reader))) {
        return look_interval - (boot_now() - read_at); // the store came back from an older copy
    }
    if (reader.shared_.reads_for_all_.load(std::memory_order_acquire)) {
        return budget.read_interval_ - (boot_now() - read_at);
    }
    return budget.proof_limit_ - std::max(entries_age(reader), plans_age(reader));
}

net::awaitable<void> follow_upstreams(store_reader& reader)
{
    auto const budget = leave_budget_of(reader.settings_.leave_in_force_);
    std::optional<platform::store_client> store;
    growing_pause after_failure;
    millis read_at{};
    millis idle_since{};
    bool more_follows = false;
    while (true) {
        if (auto const left = until_read(reader, read_at); left > millis{0} && !more_follows) {
            if (drop_lapsed(reader.registry_, boot_now())) {
                publish_upstreams(reader);
            }
            co_await pause_for(until_lapse(reader, std::min(left, look_interval)));
            continue;
        }
        std::string fault;
        read_at = boot_now();
        if (!store || read_at - idle_since > budget.longest_idle_) {
            store.emplace(reader.loop_, reader.settings_.store_address_, store_call_limit,
                          reader.shared_.store_era_);
        }
        try {
            more_follows = false;
            more_follows = co_await read_upstreams_once(reader, *store);
            idle_since = boot_now();
            after_failure.reset();
            note_era(reader);
            continue;
        } catch (std::exception const& failure) {
            fault = failure.what();
        }
        log_failure("upstreams-unread", {{"fault", fault}, {"entries_age_ms", entries_age(reader).count_}});
        if (entries_age(reader) > budget.proof_limit_) {
            // No peer reads them either: an outage, during which entries may lapse.
            mark_store_unreachable(reader.registry_);
            reader.reads_all_upstreams_ = true;
        }
        co_await pause_for(after_failure.next());
    }
}

std::string member_document(store_reader const& reader)
{
    auto const& settings = reader.settings_;
    return nlohmann::json{
        {"incarnation", reader.incarnation_},
        {"peers", settings.ip_ + ":" + std::to_string(settings.peer_port_)},
        {"callers", settings.callers_listen_},
        {"zone", settings.availability_zone_},
        {"strength", std::max<std::int64_t>(1, std::llround(settings.processor_share_ * 100.0))}}
        .dump();
}

/// \returns None, with a line in the log, if the record names no member.
std::optional<entry_member> parse_member(std::string const& vm, std::string const& document)
{
    entry_member member{.vm_ = vm};
    try {
        auto const fields = platform::parse_document(document);
        constexpr platform::integer_range incarnations{0, std::numeric_limits<std::int64_t>::max()};
        member.incarnation_ =
            static_cast<std::uint64_t>(platform::integer_field(fields, "incarnation", 0, incarnations));
        member.peer_address_ = fields.value("peers", std::string{});
        member.callers_address_ = fields.value("callers", std::string{});
        member.availability_zone_ = fields.value("zone", std::string{});
        member.strength_ = platform::integer_field(fields, "strength", 1, {1, max_strength});
        (void)parse_endpoint(member.peer_address_);    // a message is sent there
        (void)parse_endpoint(member.callers_address_); // callers are sent there
        return member;
    } catch (std::exception const& failure) {
        log_failure("member-unreadable", {{"vm", vm}, {"fault", failure.what()}});
        return std::nullopt;
    }
}

/// How far the members were read, and whether this VM is among them.
struct member_feed {
    std::optional<store_position> next_; ///< Of the next read; none: all are read.
    bool registered_{};
    millis registered_at_{};          ///< When its record was last written or found.
    std::optional<millis> look_at_{}; ///< When to look for it after a return of the store.
};

/// Takes a record of a member. One that names none leaves the member in force; if it is this VM's own, it is
/// written again, since VMs that start later could not know this VM. \returns Whether the view changed.
bool take_member(store_reader& reader, member_feed& feed, platform::keyed_record const& record)
{
    auto& members = reader.draft_.members_;
    auto member = record.value_ ? parse_member(record.key_, *record.value_) : std::nullopt;
    if (record.key_ == reader.settings_.vm_) {
        feed.registered_ = member && (feed.registered_ || *record.value_ == member_document(reader));
    }
    if (!member) {
        return false;
    }
    auto const known = std::find_if(members.begin(), members.end(),
                                    [&](entry_member const& other) { return other.vm_ == member->vm_; });
    if (known != members.end()) {
        bool const changed = !(*known == *member);
        *known = std::move(*member);
        return changed;
    }
    log_decision("member-seen", {{"vm", member->vm_}, {"peer", member->peer_address_}});
    members.push_back(std::move(*member));
    return true;
}

/// Reads the members that are new, or all of them. \returns Whether the view changed.
net::awaitable<bool> read_members(store_reader& reader, platform::store_client& store, member_feed& feed)
{
    bool changed = false;
    while (feed.next_) {
        auto const page = co_await store.read(platform::member_topic, *feed.next_, millis{0});
        if (page.expired_) {
            break;
        }
        for (auto const& stored : page.records_) {
            if (auto const record = platform::parse_keyed_record(stored.bytes_)) {
                changed = take_member(reader, feed, *record) || changed;
            }
        }
        feed.next_ = page.next_;
        if (page.records_.empty() || reaches(page.next_, page.end_)) {
            co_return changed;
        }
    }
    auto const newest = co_await store.read_newest(platform::member_topic);
    if (feed.next_ && feed.next_->era_ != newest.next_.era_) {
        feed.registered_ = false; // unless the copy has this VM's record
        feed.look_at_.reset();
    }
    for (auto const& record : newest.records_) {
        changed = take_member(reader, feed, record) || changed;
    }
    feed.next_ = newest.next_;
    co_return changed;
}

net::awaitable<void> read_evidence(store_reader& reader, platform::store_client& store)
{
    auto const newest = co_await store.read_newest(platform::evidence_topic);
    std::vector<trait_record> records;
    auto stored_records = newest.records_;
    // What was left behind by VMs that are gone must not displace what is new.
    std::sort(stored_records.begin(), stored_records.end(),
              [](auto const& a, auto const& b) { return supersedes(a.position_, b.position_); });
    stored_records.resize(std::min(stored_records.size(), max_trait_records));
    for (auto const& stored : stored_records) {
        if (auto record = stored.value_ ? decode_evidence(*stored.value_) : std::nullopt) {
            records.push_back(std::move(*record));
        } else {
            log_failure("crash-record-unreadable", {{"trait", stored.key_}});
        }
    }
    if (reader.evidence_read_ && !records.empty()) {
        log_decision("crash-records-read", {{"records", records.size()}});
        reader.evidence_read_(std::move(records));
    }
}

/// Writes the crash evidence that is due. \returns Whether the store took all of it.
net::awaitable<bool> write_evidence(store_reader& reader, platform::store_client& store)
{
    while (!reader.evidence_due_.empty()) {
        auto const [trait, record] = *reader.evidence_due_.begin();
        reader.evidence_written_.insert(trait); // also if the answer is lost
        reader.evidence_lately_.insert_or_assign(trait, written_evidence{record, boot_now()});
        auto const outcome = co_await store.append(
            platform::evidence_topic, platform::encode_keyed_record(trait_name(trait), record.value_or("")),
            std::nullopt);
        if (outcome.result_ != platform::append_result::stored) {
            log_failure("crash-record-unwritten", {{"trait", trait_name(trait)}});
            co_return false;
        }
        auto const due = reader.evidence_due_.find(trait);
        if (due != reader.evidence_due_.end() && due->second == record) {
            reader.evidence_due_.erase(due); // else it changed meanwhile
        }
        if (!record && !reader.evidence_due_.contains(trait)) {
            reader.evidence_written_.erase(trait);
        }
    }
    co_return true;
}

/// Has what this VM wrote lately written again after the store came back from an older copy.
void restore_evidence(store_reader& reader)
{
    std::size_t restored = 0;
    for (auto const& [trait, written] : reader.evidence_lately_) {
        if (may_be_lost(boot_now() - written.written_at_)) {
            restored += reader.evidence_due_.try_emplace(trait, written.document_).second ? 1U : 0U;
        }
    }
    if (restored > 0) {
        log_decision("store-rewritten", {{"what", "crash-records"}, {"records", restored}});
    }
}

void forget_old_evidence(store_reader& reader)
{
    std::erase_if(reader.evidence_lately_,
                  [](auto const& written) { return !may_be_lost(boot_now() - written.second.written_at_); });
}

/// Evidence has a connection of its own: a crash may be the last thing that a VM learns before it is lost.
net::awaitable<void> follow_evidence(store_reader& reader)
{
    auto store = make_client(reader);
    growing_pause after_failure;
    auto era = newest_era(reader);
    while (true) {
        std::string fault;
        forget_old_evidence(reader);
        if (era != std::exchange(era, newest_era(reader))) {
            restore_evidence(reader);
        }
        try {
            bool const written = co_await write_evidence(reader, store);
            if (written) {
                after_failure.reset();
            }
            co_await pause_for(written ? evidence_pause : after_failure.next());
            continue;
        } catch (std::exception const& failure) {
            fault = failure.what();
        }
        log_failure("crash-records-unwritten", {{"fault", fault}, {"due", reader.evidence_due_.size()}});
        co_await pause_for(after_failure.next());
    }
}

/// Whether it is time to look for this VM's record after the store came back from an older copy.
bool must_look(store_reader const& reader, member_feed& feed)
{
    if (!feed.next_ || feed.next_->era_ == newest_era(reader)) {
        return false;
    }
    if (!feed.look_at_) {
        feed.look_at_ = boot_now() + rejoin_delay(reader.settings_.vm_, boot_now() - feed.registered_at_);
    }
    return boot_now() >= *feed.look_at_;
}

net::awaitable<void> follow_members(store_reader& reader)
{
    auto store = make_client(reader);
    growing_pause after_failure;
    member_feed feed;
    bool evidence_read = false;
    millis read_at{};
    while (true) {
        std::string fault;
        try {
            if (!evidence_read) {
                co_await read_evidence(reader, store); // before callers are taken
                evidence_read = true;
            }
            if (!reader.plans_.next_) {
                co_await read_plans(reader, store);
            }
            if (!feed.next_) {
                (void)co_await read_members(reader, store, feed);
                reader.draft_.members_read_ = true;
                publish(reader);
            }
            if (!feed.registered_) {
                auto const outcome = co_await store.append(
                    platform::member_topic,
                    platform::encode_keyed_record(reader.settings_.vm_, member_document(reader)),
                    std::nullopt);
                feed.registered_ = outcome.result_ == platform::append_result::stored;
                log_decision("member-written", {{"stored", feed.registered_}, {"era", outcome.end_.era_}});
                feed.registered_at_ = boot_now();
            }
            bool const unknown_sender_seen =
                reader.shared_.unknown_sender_seen_.load(std::memory_order_acquire);
            if (unknown_sender_seen || must_look(reader, feed) || boot_now() - read_at > member_refresh) {
                reader.shared_.unknown_sender_seen_.store(false, std::memory_order_release);
                read_at = boot_now();
                if (co_await read_members(reader, store, feed)) {
                    publish(reader);
                }
            }
            after_failure.reset();
            co_await pause_for(member_pause);
            continue;
        } catch (std::exception const& failure) {
            fault = failure.what();
        }
        log_failure("members-unread", {{"fault", fault}});
        reader.shared_.unknown_sender_seen_.store(
            true,
            std::memory_order_release); // what was asked for is still due
        co_await pause_for(after_failure.next());
    }
}

/// Takes what a peer says of the configuration. A version stands for its content, so one that has the same
/// version vouches for a position of a later era.
void take_config_report(store_reader& reader, entry_report const& report)
{
    reader.told_config_version_ = std::max(reader.told_config_version_, report.config_version_);
    store_position const told{report.store_era_, report.config_next_};
    if (report.config_next_ == 0 || !reader.config_next_) {
        return;
    }
    bool const later_era = told.era_ > reader.config_next_->era_;
    if (later_era && report.config_version_ == config_version(reader)) {
        reach_config(reader, told);
    } else if (supersedes(told, reader.config_hint_)) {
        reader.config_hint_ = told;
    }
}

} // namespace

void take_report(store_reader& reader, entry_report const& report)
{
    bool new_leave = false;
    for (auto const& notice : report.leaves_) {
        if (note_leave(reader.registry_, notice)) {
            new_leave = true;
            log_decision("upstream-leaving", {{"upstream", notice.id_}, {"told_by", report.told_by_}});
        }
    }
    auto const untold = report.kind_ == message_kind::report ? message_targets::all : message_targets::leaves;
    if (new_leave) {
        publish_changes(reader, {.any_ = true, .leaving_ = true}, untold);
    }
    take_config_report(reader, report);
    if (!reader.upstreams_next_ || is_distrusted(reader, report.told_by_) ||
        report.store_era_ < reader.upstreams_next_->era_) {
        return; // changes say nothing of the entries before them
    }
    if (report.store_era_ > reader.upstreams_next_->era_) {
        reader.told_era_ = std::max(reader.told_era_, report.store_era_); // all entries are read
        take_updates(reader, report.updates_, report.store_era_, report.told_by_, untold);
        take_plans(reader, report);
        return;
    }
    end_claim const claim{report.told_by_, report.seen_, report.proof_at_};
    if (contradicts(claim, reader.told_)) {
        log_failure("upstreams-contradicted", {{"vm", claim.vm_},
                                               {"end", claim.seen_},
                                               {"told_by", reader.told_.vm_},
                                               {"told", reader.told_.to_}});
        reader.doubt_ = claim;
        reader.upstreams_next_.reset(); // read from the store at once
        return;
    }
    take_updates(reader, report.updates_, report.store_era_, report.told_by_, untold);
    take_plans(reader, report);
    if (report.seen_ == 0 || !reaches(*reader.upstreams_next_, {report.store_era_, report.seen_})) {
        return;
    }
    if (report.proof_at_) {
        note_entries_proof(reader, *report.proof_at_);
    }
    take_plans_proof(reader, report);
}

void take_leave(store_reader& reader, leave_notice const& notice)
{
    if (note_leave(reader.registry_, notice)) {
        log_decision("upstream-leaving", {{"upstream", notice.id_}, {"told_by", "itself"}});
        publish_changes(reader, {.any_ = true, .leaving_ = true}, message_targets::all);
    }
}

void reread_upstreams(store_reader& reader)
{
    reader.reads_all_upstreams_ = true;
}

void keep_evidence(store_reader& reader, trait_hash trait, std::optional<trait_record> const& record)
{
    if (!record && reader.evidence_due_.contains(trait) && !reader.evidence_written_.contains(trait)) {
        reader.evidence_due_.erase(trait); // the store has none
        return;
    }
    reader.evidence_due_[trait] = record ? std::optional{encode_evidence(*record)} : std::nullopt;
}

void publish(store_reader& reader)
{
    reader.draft_.upstreams_next_ = reader.upstreams_next_.value_or(store_position{});
    reader.shared_.cell_.publish(std::make_unique<entry_view const>(reader.draft_));
    if (reader.changed_) {
        reader.changed_();
    }
}

void start_reading(store_reader& reader)
{
    run_forever(reader.loop_, "follow-config", [&reader] { return follow_config(reader); });
    run_forever(reader.loop_, "follow-upstreams", [&reader] { return follow_upstreams(reader); });
    run_forever(reader.loop_, "follow-evidence", [&reader] { return follow_evidence(reader); });
    run_forever(reader.loop_, "store-plans", [&reader] { return store_plans(reader); });
    run_forever(reader.loop_, "follow-members", [&reader] { return follow_members(reader); });
}

} // namespace auburnchute
