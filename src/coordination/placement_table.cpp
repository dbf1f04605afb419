#include <auburnchute/placement_table.hpp>

#include <algorithm>
#include <set>

namespace auburnchute {

namespace {

bool same_loads(std::vector<pending_load> const& a, std::vector<pending_load> const& b)
{
    // The remaining times are ignored: receivers count them down themselves.
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](pending_load const& x, pending_load const& y) {
                          return x.model_ == y.model_ && x.adapter_ == y.adapter_;
                      });
}

bool same_placement(upstream_placement const& a, upstream_placement const& b)
{
    return a.started_at_ == b.started_at_ && a.models_ == b.models_ && a.retiring_ == b.retiring_ &&
           same_loads(a.loading_, b.loading_);
}

void adopt_epoch(placement_table& table, std::uint64_t epoch, millis now)
{
    if (epoch != table.epoch_) {
        table.epoch_ = epoch;
        table.version_ = 0;
        table.entries_.clear();
    }
    table.holder_message_at_ = now;
}

} // namespace

void publish_placements(placement_table& table, std::uint64_t epoch,
                        std::vector<upstream_placement> placements, millis now)
{
    adopt_epoch(table, epoch, now);
    std::set<std::string, std::less<>> received_ids;
    for (auto& placement : placements) {
        received_ids.insert(placement.upstream_id_);
        auto const known = table.entries_.find(placement.upstream_id_);
        if (known != table.entries_.end() && same_placement(known->second.placement_, placement)) {
            known->second.placement_.loading_ = std::move(placement.loading_);
            known->second.received_at_ = now;
            continue;
        }
        auto id = placement.upstream_id_;
        table.entries_.insert_or_assign(std::move(id),
                                        versioned_placement{std::move(placement), ++table.version_, now});
    }
    std::erase_if(table.entries_, [&](auto const& known) { return !received_ids.contains(known.first); });
}

void apply_placements(placement_table& table, std::uint64_t epoch, std::uint64_t from, std::uint64_t to,
                      std::span<upstream_placement const> placements, millis now)
{
    adopt_epoch(table, epoch, now);
    for (auto const& placement : placements) {
        table.entries_.insert_or_assign(placement.upstream_id_, versioned_placement{placement, to, now});
    }
    std::erase_if(table.entries_, [&](auto const& known) {
        return known.second.placement_.loading_.empty() &&
               now - known.second.received_at_ > placement_lifetime;
    });
    if (from <= table.version_) {
        table.version_ = std::max(table.version_, to);
    }
}

std::vector<upstream_placement> placements_after(placement_table const& table, std::uint64_t version,
                                                 millis now)
{
    std::vector<upstream_placement> changed;
    for (auto const& [id, known] : table.entries_) {
        if (known.version_ <= version) {
            continue;
        }
        changed.push_back(known.placement_);
        for (auto& load : changed.back().loading_) {
            load.remaining_ = std::max(millis{0}, load.remaining_ - (now - known.received_at_));
        }
    }
    return changed;
}

versioned_placement const* find_placement(placement_table const& table, std::string_view upstream_id,
                                          millis now) noexcept
{
    if (now - table.holder_message_at_ > placement_lifetime) {
        return nullptr;
    }
    auto const found = table.entries_.find(upstream_id);
    if (found == table.entries_.end()) {
        return nullptr;
    }
    auto const& known = found->second;
    bool const counts = !known.placement_.loading_.empty() || now - known.received_at_ <= placement_lifetime;
    return counts ? &known : nullptr;
}

} // namespace auburnchute
