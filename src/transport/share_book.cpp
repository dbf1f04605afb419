#include "transport/share_book.hpp"

#include <auburnchute/authority.hpp>
#include <auburnchute/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace auburnchute {

namespace {

/// A bucket whose borrowed units were not needed for this long gives them back.
constexpr millis loan_idle{2'000};

std::int64_t units_in(share_version const& version, std::string_view workspace, member_id const& self)
{
    auto const holders = preferred_members(workspace, version.members_, max_share_holders);
    auto const it = std::find(holders.begin(), holders.end(), self);
    return it == holders.end() ? 0
                               : base_units(static_cast<std::size_t>(it - holders.begin()), holders.size());
}

bool is_member(share_version const& version, member_id const& self)
{
    return std::find(version.members_.begin(), version.members_.end(), self) != version.members_.end();
}

} // namespace

share_book::share_book(clock clk) : clock_{std::move(clk)} {}

std::shared_ptr<share_book::entry> share_book::find(std::string_view workspace) const
{
    std::lock_guard const lock{mutex_};
    auto const it = entries_.find(workspace);
    return it == entries_.end() ? nullptr : it->second;
}

void share_book::follow_tables(fleet_state const& state)
{
    if (state.tables_->version_ == tables_version_) {
        return;
    }
    tables_version_ = state.tables_->version_;
    auto const time = now(clock_);
    for (auto const& row : state.tables_->workspaces_) {
        auto& slot = entries_[row.name_];
        if (!slot) {
            slot = std::make_shared<entry>();
            slot->bucket_.version_ = version_;
            slot->bucket_.refilled_at_ = time;
        }
        std::lock_guard const lock{slot->mutex_};
        set_limits(slot->bucket_, row.rate_, row.burst_, time);
    }
    std::erase_if(entries_,
                  [&](auto const& item) { return find_workspace(*state.tables_, item.first) == nullptr; });
}

void share_book::begin_if_due(fleet_state const& state, member_id const& self)
{
    auto const& in_force = state.in_force_;
    if (seen_version_ != in_force.number_) {
        seen_version_ = in_force.number_;
        seen_at_ = now(clock_);
    }
    // A member that was voted out may use its share until its authority lapses.
    bool const must_wait = in_force.after_suspicion_ && now(clock_) < seen_at_ + removal_grace_period;
    if (version_ == in_force.number_ || must_wait) {
        return;
    }
    version_ = in_force.number_;
    for (auto& [workspace, slot] : entries_) {
        std::lock_guard const lock{slot->mutex_};
        begin_version(slot->bucket_, version_, units_in(in_force, workspace, self), now(clock_));
    }
}

std::optional<std::uint64_t> share_book::follow(fleet_state const& state, member_id const& self)
{
    std::lock_guard const lock{mutex_};
    auto const known = entries_.size();
    follow_tables(state);
    begin_if_due(state, self);
    if (known != entries_.size() && version_ == state.in_force_.number_) {
        // Workspaces that are new in the tables have no units yet.
        for (auto& [workspace, slot] : entries_) {
            std::lock_guard const bucket_lock{slot->mutex_};
            if (slot->bucket_.base_units_ == 0 && slot->bucket_.loans_.empty()) {
                begin_version(slot->bucket_, version_, units_in(state.in_force_, workspace, self),
                              now(clock_));
                if (state.pending_.number_ != 0) {
                    // The pending version may already be acknowledged, so the smaller share counts here as
                    // well.
                    prepare_version(slot->bucket_, state.pending_.number_,
                                    units_in(state.pending_, workspace, self), now(clock_));
                }
            }
        }
    }
    auto const& pending = state.pending_;
    bool const concerned = is_member(state.in_force_, self) || is_member(pending, self);
    if (pending.number_ == 0 || pending.number_ == acked_ || !concerned || state.acks_.contains(self) ||
        version_ != state.in_force_.number_) {
        return std::nullopt;
    }
    bool all_fit = true;
    for (auto& [workspace, slot] : entries_) {
        std::lock_guard const bucket_lock{slot->mutex_};
        prepare_version(slot->bucket_, pending.number_, units_in(pending, workspace, self), now(clock_));
        all_fit = all_fit && is_within_capacity(slot->bucket_);
    }
    if (!all_fit) {
        return std::nullopt;
    }
    acked_ = pending.number_;
    return acked_;
}

void share_book::reset()
{
    std::lock_guard const lock{mutex_};
    entries_.clear();
    tables_version_ = 0;
    version_ = 0;
    acked_ = 0;
    seen_version_ = 0;
}

std::int64_t share_book::try_reserve(std::string_view workspace, std::int64_t tokens)
{
    auto const slot = find(workspace);
    if (!slot) {
        return total_share_units;
    }
    std::lock_guard const lock{slot->mutex_};
    auto const time = now(clock_);
    slot->last_reserve_ = time;
    if (reserve(slot->bucket_, tokens, time)) {
        return 0;
    }
    return std::max<std::int64_t>(1, units_missing(slot->bucket_, tokens));
}

void share_book::used(std::string_view workspace, std::int64_t tokens)
{
    if (auto const slot = find(workspace)) {
        std::lock_guard const lock{slot->mutex_};
        produce(slot->bucket_, tokens, now(clock_));
    }
}

void share_book::unused(std::string_view workspace, std::int64_t tokens)
{
    if (auto const slot = find(workspace)) {
        std::lock_guard const lock{slot->mutex_};
        release(slot->bucket_, tokens, now(clock_));
    }
}

std::optional<loan_grant> share_book::lend_to(member_id const& borrower, std::string_view workspace,
                                              std::uint64_t version, std::int64_t units)
{
    auto const slot = find(workspace);
    if (!slot) {
        return std::nullopt;
    }
    std::lock_guard const lock{slot->mutex_};
    return lend(slot->bucket_, borrower, version, units, now(clock_));
}

void share_book::borrowed_from(member_id const& lender, std::string_view workspace, loan_grant const& grant)
{
    if (auto const slot = find(workspace)) {
        std::lock_guard const lock{slot->mutex_};
        receive_loan(slot->bucket_, lender, grant, now(clock_));
    }
}

void share_book::returned_by(member_id const& borrower, std::string_view workspace,
                             loan_return const& returned)
{
    if (auto const slot = find(workspace)) {
        std::lock_guard const lock{slot->mutex_};
        receive_return(slot->bucket_, borrower, returned, now(clock_));
    }
}

std::uint64_t share_book::loan_version(std::string_view workspace) const
{
    auto const slot = find(workspace);
    if (!slot) {
        return 0;
    }
    std::lock_guard const lock{slot->mutex_};
    return slot->bucket_.version_;
}

std::vector<share_book::pending_return> share_book::collect_returns()
{
    std::vector<pending_return> returns;
    std::lock_guard const lock{mutex_};
    for (auto& [workspace, slot] : entries_) {
        std::lock_guard const bucket_lock{slot->mutex_};
        auto& bucket = slot->bucket_;
        bool const idle = now(clock_) >= slot->last_reserve_ + loan_idle;
        std::vector<member_id> lenders;
        for (auto const& [peer, loan] : bucket.loans_) {
            if (loan.borrowed_ > 0) {
                lenders.push_back(peer);
            }
        }
        for (auto const& lender : lenders) {
            // The total is sent again while idle, in case an earlier message was lost.
            if (idle) {
                returns.push_back({lender, workspace, return_loan(bucket, lender, now(clock_))});
            }
        }
    }
    return returns;
}

std::map<std::string, std::int64_t> share_book::idle_units()
{
    std::map<std::string, std::int64_t> idle;
    std::lock_guard const lock{mutex_};
    for (auto& [workspace, slot] : entries_) {
        std::lock_guard const bucket_lock{slot->mutex_};
        refill(slot->bucket_, now(clock_));
        idle[workspace] = auburnchute::idle_units(slot->bucket_);
    }
    return idle;
}

std::vector<share_status> share_book::status()
{
    std::vector<share_status> all;
    std::lock_guard const lock{mutex_};
    for (auto& [workspace, slot] : entries_) {
        std::lock_guard const bucket_lock{slot->mutex_};
        refill(slot->bucket_, now(clock_));
        all.push_back({workspace, units_held(slot->bucket_), slot->bucket_.tokens_ / 1'000,
                       slot->bucket_.outstanding_ / 1'000});
    }
    return all;
}

millis share_book::retry_after(std::string_view workspace, std::int64_t tokens)
{
    auto const slot = find(workspace);
    if (!slot) {
        return {1'000};
    }
    std::lock_guard const lock{slot->mutex_};
    auto const rate = std::max<std::int64_t>(1, slot->bucket_.rate_);
    auto const missing = std::max<std::int64_t>(0, tokens - slot->bucket_.tokens_ / 1'000);
    return {std::clamp<std::int64_t>(missing * 1'000 / rate, 1'000, 60'000)};
}

} // namespace auburnchute
