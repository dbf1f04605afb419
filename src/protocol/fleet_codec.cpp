#include "protocol/fleet_codec.hpp"

#include "fleet.pb.h"

#include <algorithm>
#include <cmath>
#include <google/protobuf/arena.h>
#include <limits>
#include <utility>

namespace auburnchute {

namespace {

namespace wire = auburnchute::fleet::v1;

/// Largest total that is taken, so that sums over all VMs cannot overflow.
constexpr std::int64_t largest_total = std::int64_t{1} << 50U;

/// Largest rate of requests for one model that is taken, a second.
constexpr double largest_rate = 1e9;

/// Clips a count to the 32 bits that it has in messages.
template <typename Narrow>
Narrow narrow(std::int64_t value) noexcept
{
    return static_cast<Narrow>(std::clamp<std::int64_t>(value, std::numeric_limits<Narrow>::min(),
                                                        std::numeric_limits<Narrow>::max()));
}

/// Thrown for bytes that parse but are no message of a daemon.
struct unusable_message {};

std::int64_t checked(std::int64_t total)
{
    if (total > largest_total || total < -largest_total) {
        throw unusable_message{};
    }
    return total;
}

template <typename... Columns>
void check_columns(int size, Columns const&... columns)
{
    if (((columns.size() != size) || ...)) {
        throw unusable_message{};
    }
}

void write_needs(std::vector<need_row> const& needs, wire::Message& into)
{
    for (auto const& [need, amount] : needs) {
        into.add_need(need);
        into.add_need_waiting(narrow<std::uint32_t>(amount.waiting_));
        into.add_need_running(narrow<std::uint32_t>(amount.running_));
        into.add_need_rate(static_cast<float>(amount.rate_));
        into.add_need_urgency(narrow<std::int32_t>(amount.urgency_));
        into.add_need_oldest_ms(narrow<std::uint32_t>(amount.oldest_wait_.count_));
    }
}

void read_needs(wire::Message const& from, std::vector<need_row>& needs)
{
    check_columns(from.need_size(), from.need_waiting(), from.need_running(), from.need_rate(),
                  from.need_urgency(), from.need_oldest_ms());
    for (int i = 0; i < from.need_size(); ++i) {
        auto const rate = static_cast<double>(from.need_rate(i));
        if (!std::isfinite(rate) || rate < 0 || rate > largest_rate) {
            throw unusable_message{};
        }
        needs.push_back({from.need(i),
                         {from.need_waiting(i), from.need_running(i), rate, from.need_urgency(i),
                          millis{from.need_oldest_ms(i)}}});
    }
}

void write_use(std::vector<upstream_use_row> const& rows, wire::Message& into)
{
    for (auto const& row : rows) {
        into.add_upstream(row.upstream_);
        into.add_requests(narrow<std::int32_t>(row.use_.requests_));
        into.add_tokens(row.use_.tokens_);
        into.add_unread_tokens(row.use_.unread_tokens_);
    }
}

void read_use(wire::Message const& from, std::vector<upstream_use_row>& rows)
{
    check_columns(from.upstream_size(), from.requests(), from.tokens(), from.unread_tokens());
    for (int i = 0; i < from.upstream_size(); ++i) {
        rows.push_back(
            {from.upstream(i), {from.requests(i), checked(from.tokens(i)), checked(from.unread_tokens(i))}});
    }
}

template <typename Tags, typename Used, typename Asked>
void read_spent(Tags const& tags, Used const& used, Asked const& asked, std::vector<spend_row>& rows)
{
    check_columns(tags.size(), used, asked);
    for (int i = 0; i < tags.size(); ++i) {
        rows.push_back({tags.Get(i), checked(used.Get(i)), checked(asked.Get(i))});
    }
}

void write_placement(upstream_placement const& placement, wire::Placement& into)
{
    into.set_upstream(placement.upstream_id_);
    into.set_started_at(placement.started_at_);
    for (auto const& [name, held] : placement.models_) {
        auto& model = *into.add_models();
        model.set_model(name);
        model.set_version(held.version_);
        model.mutable_adapters()->Add(held.adapters_.begin(), held.adapters_.end());
    }
    into.mutable_retiring()->Add(placement.retiring_.begin(), placement.retiring_.end());
    for (auto const& load : placement.loading_) {
        auto& row = *into.add_loading();
        row.set_model(load.model_);
        row.set_adapter(load.adapter_);
        row.set_remaining_ms(narrow<std::uint32_t>(load.remaining_.count_));
    }
}

upstream_placement read_placement(wire::Placement const& from)
{
    upstream_placement placement;
    placement.upstream_id_ = from.upstream();
    placement.started_at_ = from.started_at();
    for (auto const& model : from.models()) {
        loaded_model held;
        held.version_ = model.version();
        held.adapters_.insert(model.adapters().begin(), model.adapters().end());
        placement.models_.emplace(model.model(), std::move(held));
    }
    placement.retiring_.insert(from.retiring().begin(), from.retiring().end());
    for (auto const& load : from.loading()) {
        placement.loading_.push_back({load.model(), load.adapter(), millis{load.remaining_ms()}});
    }
    return placement;
}

/// Weight of a row that counts answers.
constexpr std::uint32_t answers_row = 0;

void write_evidence(trait_record const& record, wire::CrashEvidence& into)
{
    into.set_trait(record.trait_.hash_);
    into.set_depth(record.trait_.depth_);
    into.set_round(record.round_);
    into.set_trials(record.trials_);
    for (auto const& mark : record.marks_) {
        into.add_crash(mark.crash_);
        into.add_workspace(mark.workspace_);
        into.add_weight(static_cast<std::uint32_t>(mark.weight_));
        into.add_warned(mark.warned_);
    }
    for (auto const& [workspace, answers] : record.answers_) {
        into.add_crash(answers);
        into.add_workspace(workspace);
        into.add_weight(answers_row);
        into.add_warned(false);
    }
}

trait_record read_evidence(wire::CrashEvidence const& from)
{
    trait_record record{.trait_ = {from.trait(), narrow<std::uint8_t>(from.depth())},
                        .round_ = from.round(),
                        .trials_ = from.trials()};
    check_columns(from.crash_size(), from.workspace(), from.weight(), from.warned());
    for (int i = 0; i < from.crash_size(); ++i) {
        if (from.weight(i) == answers_row) {
            record.answers_.push_back({from.workspace(i), from.crash(i)});
            continue;
        }
        record.marks_.push_back({from.crash(i), from.workspace(i),
                                 from.weight(i) >= static_cast<std::uint32_t>(crash_weight::begun)
                                     ? crash_weight::begun
                                     : crash_weight::waiting,
                                 from.warned(i)});
    }
    return record;
}

void write_tables(fleet_message const& message, wire::Message& into)
{
    for (auto const& row : message.spent_) {
        into.add_workspace(row.workspace_);
        into.add_used(row.used_);
        into.add_asked(row.asked_);
    }
    for (auto const& row : message.counted_) {
        into.add_counted_workspace(row.workspace_);
        into.add_counted_used(row.used_);
        into.add_counted_asked(row.asked_);
    }
    for (auto const& row : message.levels_) {
        into.add_level_workspace(row.workspace_);
        into.add_level(row.level_);
    }
    write_use(message.use_, into);
    for (auto const& record : message.evidence_) {
        auto& row = *into.add_evidence();
        write_evidence(record, row);
        row.set_age_ms(narrow<std::uint32_t>(message.sent_at_ - record.changed_at_.count_));
    }
    write_needs(message.needs_, into);
    for (auto const& placement : message.placements_) {
        write_placement(placement, *into.add_placements());
    }
    for (auto const& change : message.news_) {
        auto& row = *into.add_news();
        row.set_offset(change.offset_);
        row.set_id(change.id_);
        if (change.document_) {
            row.set_document(*change.document_);
        }
    }
    for (auto const& plan : message.plans_) {
        auto& row = *into.add_plans();
        row.set_offset(plan.offset_);
        row.set_service(plan.service_);
        row.set_document(plan.document_);
    }
    for (auto const& notice : message.leaves_) {
        auto& row = *into.add_leaves();
        row.set_id(notice.id_);
        row.set_started_at(notice.started_at_);
        row.set_age_ms(narrow<std::uint32_t>(message.sent_at_ - notice.noticed_at_.count_));
    }
}

void read_tables(wire::Message const& from, fleet_message& message)
{
    read_spent(from.workspace(), from.used(), from.asked(), message.spent_);
    read_spent(from.counted_workspace(), from.counted_used(), from.counted_asked(), message.counted_);
    check_columns(from.level_workspace_size(), from.level());
    for (int i = 0; i < from.level_workspace_size(); ++i) {
        message.levels_.push_back({from.level_workspace(i), checked(from.level(i))});
    }
    read_use(from, message.use_);
    for (auto const& row : from.evidence()) {
        message.evidence_.push_back(read_evidence(row));
        message.evidence_.back().changed_at_ = millis{message.sent_at_ - row.age_ms()};
    }
    read_needs(from, message.needs_);
    for (auto const& placement : from.placements()) {
        message.placements_.push_back(read_placement(placement));
    }
    for (auto const& change : from.news()) {
        message.news_.push_back({change.offset(), change.id(),
                                 change.has_document() ? std::optional{change.document()} : std::nullopt});
    }
    for (auto const& row : from.plans()) {
        message.plans_.push_back({row.offset(), row.service(), row.document()});
    }
    for (auto const& row : from.leaves()) {
        message.leaves_.push_back({row.id(), row.started_at(), millis{message.sent_at_ - row.age_ms()}});
    }
}

void read_head(wire::Message const& from, fleet_message& message)
{
    message.vm_ = from.vm();
    message.incarnation_ = from.incarnation();
    if (from.kind() > static_cast<std::uint32_t>(message_kind::digest)) {
        throw unusable_message{};
    }
    message.kind_ = static_cast<message_kind>(from.kind());
    message.term_ = from.term();
    message.sent_at_ = checked(from.sent_at());
    message.echo_ = checked(from.echo());
    message.echo_held_ = checked(from.echo_held());
    message.send_interval_ = millis{std::min<std::uint32_t>(from.rhythm_ms(), 60'000)};
    message.roster_ = from.roster();
    message.seen_roster_ = from.seen_roster();
    message.roster_told_ = from.roster_told();
    message.ready_.assign(from.ready().begin(), from.ready().end());
    message.unready_.assign(from.unready().begin(), from.unready().end());
    message.young_.assign(from.young().begin(), from.young().end());
    message.relays_.assign(from.relays().begin(), from.relays().end());
    message.counted_term_ = from.counted_term();
    message.wants_levels_ = from.wants_levels();
    message.config_next_ = from.config_next();
    message.config_age_ = checked(from.config_age_ms());
    message.lease_epoch_ = from.lease_epoch();
    message.lease_end_ = from.lease_end();
    message.orders_in_ = from.orders_in_ms();
    message.placements_from_ = from.placements_from();
    message.placements_to_ = from.placements_to();
    message.seen_epoch_ = from.seen_epoch();
    message.seen_placements_ = from.seen_placements();
    message.news_from_ = from.news_from();
    message.news_to_ = from.news_to();
    message.seen_news_ = from.seen_news();
    message.entries_age_ = checked(from.entries_age_ms());
    message.registry_ = from.registry();
    message.leaves_digest_ = from.leaves_digest();
    message.evidence_version_ = from.evidence_version();
    message.seen_evidence_ = from.seen_evidence();
    message.plans_from_ = from.plans_from();
    message.seen_plans_ = from.seen_plans();
    message.plans_age_ = checked(from.plans_age_ms());
    message.store_era_ = from.store_era();
    message.config_version_ = from.config_version();
}

} // namespace

std::vector<std::uint8_t> encode_message(fleet_message const& message)
{
    google::protobuf::Arena arena;
    auto& into = *google::protobuf::Arena::CreateMessage<wire::Message>(&arena);
    into.set_vm(message.vm_);
    into.set_incarnation(message.incarnation_);
    into.set_kind(static_cast<std::uint32_t>(message.kind_));
    into.set_term(message.term_);
    into.set_sent_at(message.sent_at_);
    into.set_echo(message.echo_);
    into.set_echo_held(message.echo_held_);
    into.set_rhythm_ms(narrow<std::uint32_t>(message.send_interval_.count_));
    into.set_roster(message.roster_);
    into.set_seen_roster(message.seen_roster_);
    into.set_roster_told(message.roster_told_);
    into.mutable_ready()->Add(message.ready_.begin(), message.ready_.end());
    into.mutable_unready()->Add(message.unready_.begin(), message.unready_.end());
    into.mutable_young()->Add(message.young_.begin(), message.young_.end());
    into.mutable_relays()->Add(message.relays_.begin(), message.relays_.end());
    into.set_counted_term(message.counted_term_);
    into.set_wants_levels(message.wants_levels_);
    into.set_config_next(message.config_next_);
    into.set_config_age_ms(message.config_age_);
    into.set_lease_epoch(message.lease_epoch_);
    into.set_lease_end(message.lease_end_);
    into.set_orders_in_ms(narrow<std::uint32_t>(message.orders_in_));
    into.set_placements_from(message.placements_from_);
    into.set_placements_to(message.placements_to_);
    into.set_seen_epoch(message.seen_epoch_);
    into.set_seen_placements(message.seen_placements_);
    into.set_news_from(message.news_from_);
    into.set_news_to(message.news_to_);
    into.set_seen_news(message.seen_news_);
    into.set_entries_age_ms(message.entries_age_);
    into.set_registry(message.registry_);
    into.set_leaves_digest(message.leaves_digest_);
    into.set_evidence_version(message.evidence_version_);
    into.set_seen_evidence(message.seen_evidence_);
    into.set_plans_from(message.plans_from_);
    into.set_seen_plans(message.seen_plans_);
    into.set_plans_age_ms(message.plans_age_);
    into.set_store_era(message.store_era_);
    into.set_config_version(message.config_version_);
    write_tables(message, into);
    std::vector<std::uint8_t> bytes(into.ByteSizeLong());
    into.SerializeWithCachedSizesToArray(bytes.data());
    return bytes;
}

std::string encode_evidence(trait_record const& record)
{
    wire::CrashEvidence into;
    write_evidence(record, into);
    return into.SerializeAsString();
}

std::optional<trait_record> decode_evidence(std::string_view bytes)
{
    wire::CrashEvidence from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || from.trait() == 0) {
        return std::nullopt;
    }
    try {
        return read_evidence(from);
    } catch (unusable_message const&) {
        return std::nullopt; // logged by the caller
    }
}

std::string encode_plan(version_plan const& plan)
{
    wire::VersionPlan into;
    into.set_revision(plan.revision_);
    into.set_longest_limit_ms(plan.longest_limit_.count_);
    for (auto const& [model, eras] : plan.models_) {
        auto& list = *into.add_models();
        list.set_model(model);
        for (auto const& era : eras) {
            auto& row = *list.add_eras();
            row.set_number(era.number_);
            row.mutable_versions()->Add(era.versions_.begin(), era.versions_.end());
            row.set_owners(std::string{era.owners_.begin(), era.owners_.end()});
        }
    }
    return into.SerializeAsString();
}

std::optional<version_plan> decode_plan(std::string_view bytes)
{
    wire::VersionPlan from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    version_plan plan{.revision_ = from.revision(),
                      .longest_limit_ =
                          std::clamp(millis{from.longest_limit_ms()}, millis{0}, max_time_limit),
                      .models_ = {}};
    for (auto const& list : from.models()) {
        auto& eras = plan.models_[list.model()];
        for (auto const& row : list.eras()) {
            version_era era{.number_ = row.number(),
                            .versions_ = {row.versions().begin(), row.versions().end()},
                            .owners_ = {},
                            .learned_at_ = {},
                            .absent_at_ = {}};
            if (row.owners().size() != era.owners_.size()) {
                return std::nullopt;
            }
            std::copy(row.owners().begin(), row.owners().end(), era.owners_.begin());
            eras.push_back(std::move(era));
        }
    }
    return is_valid(plan) ? std::optional{std::move(plan)} : std::nullopt;
}

std::optional<fleet_message> decode_message(std::span<std::uint8_t const> bytes)
{
    google::protobuf::Arena arena;
    auto& from = *google::protobuf::Arena::CreateMessage<wire::Message>(&arena);
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || from.vm().empty()) {
        return std::nullopt;
    }
    try {
        fleet_message message;
        read_head(from, message);
        read_tables(from, message);
        return message;
    } catch (unusable_message const&) {
        return std::nullopt; // counted by the caller: a datagram of another sender or release
    }
}

} // namespace auburnchute
