#include "transport/entry/plan_reader.hpp"

#include "protocol/decision_log.hpp"
#include "protocol/fleet_codec.hpp"

#include <auburnchute/error.hpp>

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

void take_plan(store_reader& reader, std::string const& service, std::string const& document,
               std::uint64_t offset, std::string_view told_by)
{
    auto& feed = reader.plans_;
    auto const at = feed.offsets_.find(service);
    if (at != feed.offsets_.end() && at->second >= offset) {
        return;
    }
    feed.offsets_[service] = offset;
    feed.documents_[service] = document;
    auto plan = decode_plan(document);
    if (!plan) {
        log_failure("version-plan-unreadable", {{"service", service}, {"offset", offset}});
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
        updates.push_back({feed.offsets_.at(service), service, document});
    }
    reader.draft_.seen_plans_ = feed.next_ ? *feed.next_ + 1 : 0; // with what was read up to there
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
        return (!config || has_resumable_streams(*config, service.first)) && is_open(nullptr, service.second);
    });
}

void note_plans_proof(store_reader& reader, millis proof_at)
{
    auto& known = reader.shared_.plans_proof_at_;
    if (proof_at.count_ > known.load(std::memory_order_acquire)) {
        known.store(proof_at.count_, std::memory_order_release);
    }
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
            if (page.expired_ || page.end_offset_ < from) {
                feed.next_.reset();
                break;
            }
            for (auto const& stored : page.records_) {
                if (auto const record = platform::parse_keyed_record(stored.bytes_)) {
                    take_plan(reader, record->key_, record->value_.value_or(""), stored.offset_, "");
                }
            }
            feed.next_ = std::max(feed.next_.value_or(0), page.next_offset_);
            done = page.next_offset_ >= page.end_offset_;
        }
        if (!feed.next_) {
            auto const newest = co_await store.read_newest(platform::plan_topic);
            for (auto const& record : newest.records_) {
                take_plan(reader, record.key_, record.value_.value_or(""), record.offset_, "");
            }
            feed.next_ = std::max(feed.next_.value_or(0), newest.next_offset_);
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
    if (!feed.next_ || feed.due_ || any_open(reader)) {
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
    if (!feed.next_ || report.plans_.empty() || report.plans_from_ > *feed.next_ ||
        report.seen_plans_ <= *feed.next_ + 1) {
        return;
    }
    for (auto const& update : report.plans_) {
        take_plan(reader, update.service_, update.document_, update.offset_, report.told_by_);
    }
    feed.next_ = report.seen_plans_ - 1;
    publish_plans(reader);
}

void take_plans_proof(store_reader& reader, entry_report const& report)
{
    auto const& next = reader.plans_.next_;
    if (report.plans_proof_at_ && next && report.seen_plans_ > 0 && *next + 1 >= report.seen_plans_) {
        note_plans_proof(reader, *report.plans_proof_at_);
    }
}

void offer_plan(store_reader& reader, std::string const& service, version_plan plan)
{
    reader.plans_.offered_.insert_or_assign(service, std::move(plan));
}

net::awaitable<void> store_plans(store_reader& reader)
{
    platform::store_client store{reader.loop_, reader.settings_.store_address_, plan_call_limit};
    auto& feed = reader.plans_;
    while (true) {
        if (feed.offered_.empty() || !feed.next_) {
            co_await pause_for(offer_pause);
            continue;
        }
        auto const offer = feed.offered_.extract(feed.offered_.begin());
        auto const known = feed.known_.find(offer.key());
        auto const known_revision = known == feed.known_.end() ? 0 : known->second.revision_;
        if (offer.mapped().revision_ != known_revision + 1 && known_revision != 0) {
            continue; // made from an older plan
        }
        auto const at = *feed.next_;
        auto const document = encode_plan(offer.mapped());
        std::string fault;
        try {
            auto const outcome = co_await store.append(
                platform::plan_topic, platform::encode_keyed_record(offer.key(), document), at);
            if (outcome.result_ == platform::append_result::stored) {
                take_plan(reader, offer.key(), document, at, "itself");
                feed.next_ = std::max(feed.next_.value_or(0), outcome.end_offset_);
                publish_plans(reader);
                if (reader.plans_changed_) {
                    reader.plans_changed_();
                }
                continue;
            }
            feed.due_ = true; // another VM was faster
            fault = outcome.result_ == platform::append_result::conflict ? "conflict" : "refused";
        } catch (std::exception const& failure) {
            feed.due_ = true; // it may be stored, or may still be
            fault = failure.what();
        }
        log_failure("version-plan-unstored", {{"service", offer.key()}, {"fault", fault}});
        co_await pause_for(offer_failure_pause);
    }
}

} // namespace auburnchute
