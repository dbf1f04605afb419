#include "transport/entry/plan_reader.hpp"

#include "protocol/decision_log.hpp"
#include "protocol/fleet_codec.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/store_return.hpp>

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

/// Longest time for a call that stores a plan.
constexpr millis plan_call_limit{1'500};

/// Pause between looks at whether a plan is to be stored, and after a failed call.
constexpr millis offer_pause{50};
constexpr millis offer_failure_pause{300};

std::string versions_text(version_era const& era)
{
    std::string text;
    for (auto const& version : era.versions_) {
        auto const owned = std::count_if(era.owners_.begin(), era.owners_.end(),
                                         [&](std::uint8_t owner) { return era.versions_[owner] == version; });
        text += (text.empty() ? "" : ",") + version + ":" + std::to_string(owned);
    }
    return text;
}

/// Notes up to where the plans are known.
void reach_plans(plan_feed& feed, store_position next)
{
    if (!feed.next_ || supersedes(next, *feed.next_)) {
        feed.next_ = next;
    }
}

/// Notes that the store came back from an older copy. A VM that was not current may lack plans that others
/// know and the copy does not have.
void note_return(store_reader& reader)
{
    auto const now = boot_now();
    reader.plans_.returned_at_ = now;
    if (plans_age(reader) > reader.settings_.leave_in_force_) {
        reader.shared_.plans_unsettled_until_.store((now + plan_settle_time).count_,
                                                    std::memory_order_release);
    }
}

plan_writer writer_of(store_reader const& reader)
{
    if (!reader.shared_.reads_for_all_.load(std::memory_order_acquire)) {
        return plan_writer::other;
    }
    return reader.shared_.defers_.load(std::memory_order_acquire) ? plan_writer::reader : plan_writer::first;
}

void lose_plan(plan_feed& feed, std::string const& service)
{
    if (feed.lost_.insert(service).second) {
        log_decision("version-plan-lost", {{"service", service}});
    }
}

/// Notes the plans that the store does not have at all in its new era.
void lose_missing_plans(plan_feed& feed, std::uint64_t era)
{
    for (auto const& [service, plan] : feed.known_) {
        auto const at = feed.positions_.find(service);
        if (at != feed.positions_.end() && at->second.era_ < era) {
            feed.positions_.erase(at);
            feed.documents_.erase(service);
            lose_plan(feed, service);
        }
    }
}

void take_plan(store_reader& reader, std::string const& service, std::string const& document,
               store_position position, std::string_view told_by)
{
    auto& feed = reader.plans_;
    auto const at = feed.positions_.find(service);
    if (at != feed.positions_.end() && !supersedes(position, at->second)) {
        return;
    }
    feed.positions_[service] = position;
    feed.documents_[service] = document;
    auto plan = decode_plan(document);
    if (auto const known = feed.known_.find(service);
        plan && known != feed.known_.end() && plan->revision_ < known->second.revision_) {
        lose_plan(feed, service); // from the store's copy
        return;
    }
    feed.lost_.erase(service);
    if (!plan) {
        log_failure("version-plan-unreadable", {{"service", service}, {"offset", position.offset_}});
        feed.known_.erase(service); // its streams are refused until there is one
        return;
    }
    auto const known = feed.known_.find(service);
    date_eras(*plan, known == feed.known_.end() ? nullptr : &known->second,
              millis{reader.shared_.plans_proof_at_.load(std::memory_order_acquire)}, boot_now());
    auto const* const eras = eras_of(*plan, "");
    log_decision("version-plan", {{"service", service},
                                  {"revision", plan->revision_},
                                  {"slots", eras != nullptr ? versions_text(eras->back()) : ""},
                                  {"eras", eras != nullptr ? eras->size() : 0},
                                  {"models", plan->models_.size()},
                                  {"told_by", told_by}});
    feed.known_.insert_or_assign(service, std::move(*plan));
}

void publish_plans(store_reader& reader)
{
    auto const& feed = reader.plans_;
    std::vector<plan_update> updates;
    for (auto const& [service, document] : feed.documents_) {
        auto const position = feed.positions_.at(service);
        if (feed.next_ && position.era_ == feed.next_->era_) {
            updates.push_back({position.offset_, service, document});
        }
    }
    // With what was read up to there.
    reader.draft_.seen_plans_ =
        feed.next_ ? store_position{feed.next_->era_, feed.next_->offset_ + 1} : store_position{};
    reader.draft_.plans_ = std::make_shared<version_plans const>(feed.known_);
    reader.draft_.plan_updates_ = std::make_shared<std::vector<plan_update> const>(std::move(updates));
    publish(reader);
}

/// \returns Whether any service's plan may be followed by a newer one.
bool any_open(store_reader const& reader)
{
    auto const& feed = reader.plans_;
    auto versions = feed.seen_;
    for (auto const& [id, entry] : reader.registry_.entries_) {
        versions[entry.service_].insert(entry.software_version_);
    }
    auto const& config = reader.draft_.config_;
    return std::any_of(versions.begin(), versions.end(), [&](auto const& service) {
        auto const plan = feed.known_.find(service.first);
        if (plan != feed.known_.end()) {
            return is_open(&plan->second, service.second);
        }
        return (!config || has_streams(*config, service.first)) && is_open(nullptr, service.second);
    });
}

void note_plans_proof(store_reader& reader, millis proof_at)
{
    auto& known = reader.shared_.plans_proof_at_;
    if (proof_at.count_ > known.load(std::memory_order_acquire)) {
        known.store(proof_at.count_, std::memory_order_release);
    }
}

net::awaitable<void> read_all_plans(store_reader& reader, platform::store_client& store)
{
    auto& feed = reader.plans_;
    auto const newest = co_await store.read_newest(platform::plan_topic);
    auto const era = newest.next_.era_;
    bool const returned = feed.era_ && *feed.era_ < era;
    for (auto const& record : newest.records_) {
        take_plan(reader, record.key_, record.value_.value_or(""), record.position_, "");
    }
    if (returned) {
        lose_missing_plans(feed, era);
        note_return(reader);
    }
    feed.era_ = era;
    reach_plans(feed, newest.next_);
}

} // namespace

millis plans_age(store_reader const& reader)
{
    return boot_now() - millis{reader.shared_.plans_proof_at_.load(std::memory_order_acquire)};
}

net::awaitable<void> read_plans(store_reader& reader, platform::store_client& store)
{
    auto& feed = reader.plans_;
    auto const before = std::exchange(feed.seen_, {}); // what comes during the read counts for the next one
    std::string fault;
    try {
        bool done = false;
        while (feed.next_ && !done) {
            auto const from = *feed.next_;
            auto const page = co_await store.read(platform::plan_topic, from, millis{0});
            if (page.expired_ || !reaches(page.end_, from)) {
                feed.next_.reset();
                break;
            }
            for (auto const& stored : page.records_) {
                if (auto const record = platform::parse_keyed_record(stored.bytes_)) {
                    take_plan(reader, record->key_, record->value_.value_or(""), stored.position_, "");
                }
            }
            reach_plans(feed, page.next_);
            done = reaches(page.next_, page.end_);
        }
        if (!feed.next_) {
            co_await read_all_plans(reader, store);
        }
        publish_plans(reader);
        co_return;
    } catch (std::exception const& failure) {
        fault = failure.what();
    }
    for (auto const& [service, versions] : before) {
        feed.seen_[service].insert(versions.begin(), versions.end());
    }
    throw error{"store", "version plans", fault};
}

net::awaitable<void> follow_plans(store_reader& reader, platform::store_client& store, millis sent_at)
{
    auto& feed = reader.plans_;
    bool const other_era =
        feed.next_ && feed.next_->era_ != reader.shared_.store_era_.load(std::memory_order_acquire);
    if (!feed.next_ || other_era || feed.due_ || any_open(reader)) {
        feed.due_ = false;
        try {
            co_await read_plans(reader, store);
        } catch (...) {
            feed.due_ = true;
            throw;
        }
    }
    if (!feed.due_) {
        note_plans_proof(reader, sent_at);
    }
}

void take_plans(store_reader& reader, entry_report const& report)
{
    auto& feed = reader.plans_;
    if (!feed.next_ || report.plans_.empty()) {
        return;
    }
    bool const returned = report.store_era_ > feed.next_->era_ && report.plans_from_ == 0; // all are told
    bool const leads_on = report.store_era_ == feed.next_->era_ &&
                          report.plans_from_ <= feed.next_->offset_ &&
                          report.seen_plans_ > feed.next_->offset_ + 1;
    if (!returned && !leads_on) {
        return;
    }
    for (auto const& update : report.plans_) {
        take_plan(reader, update.service_, update.document_, {report.store_era_, update.offset_},
                  report.told_by_);
    }
    if (returned) {
        lose_missing_plans(feed, report.store_era_);
        note_return(reader);
    }
    feed.era_ = report.store_era_;
    feed.next_ = {report.store_era_, report.seen_plans_ - 1};
    publish_plans(reader);
}

void take_plans_proof(store_reader& reader, entry_report const& report)
{
    auto const& next = reader.plans_.next_;
    if (report.plans_proof_at_ && next && report.seen_plans_ > 0 &&
        reaches(*next, {report.store_era_, report.seen_plans_ - 1})) {
        note_plans_proof(reader, *report.plans_proof_at_);
    }
}

void offer_plan(store_reader& reader, std::string const& service, version_plan plan)
{
    reader.plans_.offered_.insert_or_assign(service, std::move(plan));
}

namespace {

/// \returns The plan to store now, if any: one that the store lost, or a new one.
std::optional<std::pair<std::string, version_plan>> next_to_store(store_reader& reader)
{
    auto& feed = reader.plans_;
    auto const since = feed.returned_at_ ? boot_now() - *feed.returned_at_ : plan_settle_time;
    for (auto const& service : feed.lost_) {
        auto const known = feed.known_.find(service);
        if (known != feed.known_.end() && since >= plan_restore_delay(writer_of(reader))) {
            return std::pair{service, known->second};
        }
    }
    if (feed.offered_.empty()) {
        return std::nullopt;
    }
    auto offer = feed.offered_.extract(feed.offered_.begin());
    auto const known = feed.known_.find(offer.key());
    auto const known_revision = known == feed.known_.end() ? 0 : known->second.revision_;
    bool const outdated = offer.mapped().revision_ != known_revision + 1 && known_revision != 0;
    if (outdated || since < plan_settle_time) {
        return std::nullopt; // made from an older plan, or others may know a later one
    }
    return std::pair{std::move(offer.key()), std::move(offer.mapped())};
}

} // namespace

net::awaitable<void> store_plans(store_reader& reader)
{
    platform::store_client store{reader.loop_, reader.settings_.store_address_, plan_call_limit,
                                 reader.shared_.store_era_};
    auto& feed = reader.plans_;
    while (true) {
        auto const offer = next_to_store(reader);
        if (!offer || !feed.next_) {
            co_await pause_for(offer_pause);
            continue;
        }
        auto const& [service, plan] = *offer;
        auto const at = *feed.next_;
        auto const document = encode_plan(plan);
        std::string fault;
        try {
            auto const outcome = co_await store.append(platform::plan_topic,
                                                       platform::encode_keyed_record(service, document), at);
            if (outcome.result_ == platform::append_result::stored) {
                take_plan(reader, service, document, at, "itself");
                reach_plans(feed, outcome.end_);
                publish_plans(reader);
                if (reader.plans_changed_) {
                    reader.plans_changed_();
                }
                continue;
            }
            feed.due_ = true; // another VM was faster
            fault = outcome.result_ == platform::append_result::refused ? "refused" : "conflict";
        } catch (std::exception const& failure) {
            feed.due_ = true; // it may be stored, or may still be
            fault = failure.what();
        }
        log_failure("version-plan-unstored", {{"service", service}, {"fault", fault}});
        co_await pause_for(offer_failure_pause);
    }
}

} // namespace auburnchute
