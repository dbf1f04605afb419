#include <auburnchute/placement_board.hpp>

#include <algorithm>
#include <set>

namespace auburnchute {

namespace {

bool same_loads(std::vector<pending_load> const& a, std::vector<pending_load> const& b)
{
    // The remaining times run on by themselves.
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](pending_load const& x, pending_load const& y) {
                          return x.model_ == y.model_ && x.adapter_ == y.adapter_;
                      });
}

bool says_the_same(placement_notice const& a, placement_notice const& b)
{
    return a.started_at_ == b.started_at_ && a.models_ == b.models_ && a.retiring_ == b.retiring_ &&
           same_loads(a.loading_, b.loading_);
}

void follow_epoch(placement_board& board, std::uint64_t epoch, millis now)
{
    if (epoch != board.epoch_) {
        board.epoch_ = epoch;
        board.version_ = 0;
        board.notices_.clear();
    }
    board.heard_at_ = now;
}

} // namespace

void set_notices(placement_board& board, std::uint64_t epoch, std::vector<placement_notice> notices,
                 millis now)
{
    follow_epoch(board, epoch, now);
    std::set<std::string, std::less<>> there;
    for (auto& notice : notices) {
        there.insert(notice.upstream_id_);
        auto const known = board.notices_.find(notice.upstream_id_);
        if (known != board.notices_.end() && says_the_same(known->second.notice_, notice)) {
            known->second.notice_.loading_ = std::move(notice.loading_);
            known->second.told_at_ = now;
            continue;
        }
        auto id = notice.upstream_id_;
        board.notices_.insert_or_assign(std::move(id),
                                        versioned_notice{std::move(notice), ++board.version_, now});
    }
    std::erase_if(board.notices_, [&](auto const& known) { return !there.contains(known.first); });
}

void take_notices(placement_board& board, std::uint64_t epoch, std::uint64_t from, std::uint64_t to,
                  std::span<placement_notice const> notices, millis now)
{
    follow_epoch(board, epoch, now);
    for (auto const& notice : notices) {
        board.notices_.insert_or_assign(notice.upstream_id_, versioned_notice{notice, to, now});
    }
    std::erase_if(board.notices_, [&](auto const& known) {
        return known.second.notice_.loading_.empty() && now - known.second.told_at_ > notice_lifetime;
    });
    if (from <= board.version_) {
        board.version_ = std::max(board.version_, to);
    }
}

std::vector<placement_notice> notices_after(placement_board const& board, std::uint64_t version, millis now)
{
    std::vector<placement_notice> changed;
    for (auto const& [id, known] : board.notices_) {
        if (known.version_ <= version) {
            continue;
        }
        changed.push_back(known.notice_);
        for (auto& load : changed.back().loading_) {
            load.remaining_ = std::max(millis{0}, load.remaining_ - (now - known.told_at_));
        }
    }
    return changed;
}

versioned_notice const* find_notice(placement_board const& board, std::string_view upstream_id,
                                    millis now) noexcept
{
    if (now - board.heard_at_ > notice_lifetime) {
        return nullptr;
    }
    auto const found = board.notices_.find(upstream_id);
    if (found == board.notices_.end()) {
        return nullptr;
    }
    auto const& known = found->second;
    bool const counts = !known.notice_.loading_.empty() || now - known.told_at_ <= notice_lifetime;
    return counts ? &known : nullptr;
}

} // namespace auburnchute
