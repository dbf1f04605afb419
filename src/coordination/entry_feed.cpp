#include <auburnchute/entry_feed.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnchute {

namespace {

/// VMs that read the store for all: two may fail at the same time.
constexpr int store_readers = 3;

/// Time for which changes are kept: a VM that lacks older ones has read the store itself.
constexpr millis log_lifetime{5'000};

/// Bounds on the changes that are kept and on those in one message. A datagram of a few packets is seldom
/// lost.
constexpr std::size_t max_log_bytes = 64'000;
constexpr std::size_t max_update_bytes = 8'000;

/// Rounds after which a VM that does not tell helps one that still lacks changes.
constexpr std::int64_t catch_up_rounds = 2;

/// By how much a proof may seem later than it is, as it is worked out from rounded times.
constexpr millis proof_rounding{1};

std::size_t size_of(upstream_entry_update const& update) noexcept
{
    constexpr std::size_t fields = 12; // offset and lengths
    return fields + update.id_.size() + (update.document_ ? update.document_->size() : 0);
}

relay_candidate candidate_of(entry_member const& member)
{
    return {member.vm_, member.availability_zone_, member.strength_};
}

void drop_old_updates(entry_log& log, millis now)
{
    std::size_t bytes = 0;
    auto kept = log.updates_.rbegin();
    while (kept != log.updates_.rend() && now - kept->learned_at_ <= log_lifetime &&
           bytes + size_of(kept->update_) <= max_log_bytes) {
        bytes += size_of(kept->update_);
        ++kept;
    }
    if (kept != log.updates_.rend()) {
        log.from_ = kept->update_.offset_ + 1;
        log.updates_.erase(log.updates_.begin(), kept.base());
    }
}

} // namespace

leave_budget leave_budget_of(millis leave_in_force) noexcept
{
    auto const read_interval = std::max(look_interval, leave_in_force / 5);
    auto const proof_limit = std::max(look_interval * 2, leave_in_force * 13 / 20);
    bool const silence_fits = read_interval + kept_connection_limit <= proof_limit + look_interval;
    return {.read_interval_ = read_interval,
            .proof_limit_ = proof_limit,
            .longest_idle_ = silence_fits ? read_interval * 2 : millis{0}};
}

bool contradicts(end_claim const& claim, told_offset const& told) noexcept
{
    return !told.vm_.empty() && claim.proof_at_ && *claim.proof_at_ > told.at_ + proof_rounding &&
           claim.seen_ < told.to_;
}

std::uint64_t seen_news_in(std::uint64_t era, fleet_message const& message) noexcept
{
    return message.store_era_ == era ? message.seen_news_ : 0;
}

std::vector<std::string> doubtful_vms(std::optional<end_claim> const& claim, told_offset const& told,
                                      std::uint64_t end)
{
    if (told.vm_.empty()) {
        return {};
    }
    if (end < told.to_) {
        return {told.vm_};
    }
    // The entries may have grown since the claim, so the read shows that one is wrong, but not which one.
    return claim ? std::vector{told.vm_, claim->vm_} : std::vector<std::string>{};
}

void append_updates(entry_log& log, std::uint64_t from, std::uint64_t to,
                    std::vector<upstream_entry_update> changes, millis now)
{
    if (from != log.to_) {
        log.updates_.clear(); // a gap: what came before does not lead here
        log.from_ = from;
    }
    log.to_ = to;
    for (auto& change : changes) {
        log.updates_.push_back({now, std::move(change)});
    }
    drop_old_updates(log, now);
}

entry_updates updates_after(entry_log const& log, std::uint64_t offset)
{
    entry_updates told{.from_ = std::clamp(offset, log.from_, log.to_), .to_ = log.to_, .changes_ = {}};
    std::size_t bytes = 0;
    bool whole = true;
    for (auto const& [learned_at, update] : log.updates_) {
        if (update.offset_ < offset) {
            continue;
        }
        auto const size = size_of(update);
        // The first change goes alone if it is larger than what a message should hold.
        bool const fits = told.changes_.empty() || bytes + size <= max_update_bytes;
        if (whole && !fits) {
            whole = false;
            told.to_ = update.offset_;
        }
        if (fits && (whole || !update.document_)) {
            bytes += size;
            told.changes_.push_back(update);
        }
    }
    return told;
}

reader_duty reader_duty_of(fleet_exchange const& exchange, relay_candidate const& own)
{
    auto const before =
        std::count_if(exchange.members_.begin(), exchange.members_.end(), [&](entry_member const& member) {
            return member.vm_ != exchange.vm_ && is_live_and_ready(exchange, member.vm_) &&
                   is_preferred_over(candidate_of(member), own);
        });
    return {.reads_for_all_ = before<store_readers, .defers_ = before> 0};
}

bool tells_updates(fleet_exchange const& exchange, relay_candidate const& own, leave_budget const& budget,
                   millis now)
{
    return std::none_of(exchange.members_.begin(), exchange.members_.end(), [&](entry_member const& member) {
        auto const peer = exchange.peers_.find(member.vm_);
        if (peer == exchange.peers_.end() || !is_responsive(peer->second, now)) {
            return false;
        }
        auto const& last = peer->second.last_;
        auto const age = millis{last.entries_age_} + (now - peer->second.received_at_);
        return last.kind_ == message_kind::mesh && last.news_to_ > 0 &&
               last.store_era_ >= exchange.store_era_ && last.entries_age_ >= 0 &&
               age < budget.proof_limit_ && is_preferred_over(candidate_of(member), own);
    });
}

bool carries_updates(fleet_exchange const& exchange, entry_log const& log, message_target const& target,
                     bool tells, millis now)
{
    if (log.to_ == 0) {
        return false;
    }
    if (tells || target.kind_ == message_kind::digest) {
        return true;
    }
    auto const peer = exchange.peers_.find(target.vm_);
    auto const seen = peer == exchange.peers_.end() ? 0 : seen_news_in(log.era_, peer->second.last_);
    if (seen == 0) {
        return false; // it has not read the entries yet, and changes alone are of no use to it
    }
    auto const lacking =
        std::find_if(log.updates_.begin(), log.updates_.end(),
                     [&](logged_update const& logged) { return logged.update_.offset_ >= seen; });
    return lacking != log.updates_.end() &&
           now - lacking->learned_at_ > send_interval(exchange) * catch_up_rounds;
}

} // namespace auburnchute
