#include <auburnchute/version_plan.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <numeric>

namespace auburnchute {

namespace {

using slot_owners = std::array<std::string_view, stream_slots>;

std::int64_t sum_of(version_counts const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::int64_t{0},
                           [](std::int64_t sum, auto const& entry) { return sum + entry.second; });
}

std::size_t owned_by(version_era const& era, std::string_view version)
{
    std::size_t owned = 0;
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        owned += era.owner(slot) == version ? 1U : 0U;
    }
    return owned;
}

/// Shares the slots out by the numbers of upstreams, at least one slot each as far as they go.
/// \pre The counts have a sum above 0.
std::map<std::string_view, std::size_t> fair_shares(version_counts const& counts)
{
    auto const sum = sum_of(counts);
    std::map<std::string_view, std::size_t> shares;
    std::vector<std::pair<std::int64_t, std::string_view>> remainders;
    std::size_t given = 0;
    for (auto const& [version, count] : counts) {
        if (count <= 0 || shares.size() == stream_slots) {
            continue;
        }
        auto const exact = count * static_cast<std::int64_t>(stream_slots);
        auto const share = std::max<std::size_t>(static_cast<std::size_t>(exact / sum), 1);
        shares[version] = share;
        given += share;
        remainders.emplace_back(exact % sum, version);
    }
    std::sort(remainders.begin(), remainders.end(), [](auto const& a, auto const& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    for (std::size_t i = 0; given < stream_slots; i = (i + 1) % remainders.size()) {
        ++shares[remainders[i].second];
        ++given;
    }
    while (given > stream_slots) { // the least share of one was more than some versions' part
        auto const largest = std::max_element(
            shares.begin(), shares.end(), [](auto const& a, auto const& b) { return a.second < b.second; });
        --largest->second;
        --given;
    }
    return shares;
}

version_era make_era(slot_owners const& owners, std::uint64_t number, millis now)
{
    version_era era{.number_ = number, .versions_ = {}, .owners_ = {}, .learned_at_ = now, .absent_at_ = {}};
    std::set<std::string_view> const names{owners.begin(), owners.end()};
    era.versions_.assign(names.begin(), names.end());
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        auto const at = std::lower_bound(era.versions_.begin(), era.versions_.end(), owners[slot]);
        era.owners_[slot] = static_cast<std::uint8_t>(at - era.versions_.begin());
    }
    return era;
}

/// Gives slots without an owner to the versions that lack most.
void give_out(slot_owners& owners, std::array<bool, stream_slots> const& free,
              std::map<std::string_view, std::size_t> const& shares)
{
    std::map<std::string_view, std::int64_t> lacks;
    for (auto const& [version, share] : shares) {
        lacks[version] = static_cast<std::int64_t>(share);
    }
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        if (auto const owner = lacks.find(owners[slot]); !free[slot] && owner != lacks.end()) {
            --owner->second;
        }
    }
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        if (free[slot]) {
            auto const most = std::max_element(
                lacks.begin(), lacks.end(), [](auto const& a, auto const& b) { return a.second < b.second; });
            owners[slot] = most->first;
            --most->second;
        }
    }
}

slot_owners first_owners(version_counts const& counts)
{
    slot_owners owners{};
    std::array<bool, stream_slots> free{};
    free.fill(true);
    give_out(owners, free, fair_shares(counts));
    return owners;
}

/// Slots that a version keeps.
std::size_t kept_slots(std::size_t owned, std::size_t share)
{
    bool const crowded = owned > share * 2 + slot_tolerance; // it has lost most of its upstreams
    auto const moved = crowded ? max_moved_slots * 2 : max_moved_slots;
    return std::max(crowded ? share * 2 : share, owned - std::min(owned, moved));
}

/// The owners that should follow an era, or none if they may stay. \param may_move Slots of versions with
/// usable upstreams may move, too.
std::optional<slot_owners> next_owners(version_era const& era, version_counts const& counts, bool may_move)
{
    if (sum_of(counts) <= 0) {
        return std::nullopt; // nobody could take the slots
    }
    auto const shares = fair_shares(counts);
    slot_owners owners{};
    std::array<bool, stream_slots> free{};
    bool changed = false;
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        owners[slot] = era.owner(slot);
        free[slot] = !shares.contains(owners[slot]);
        changed = changed || free[slot];
    }
    bool const uneven = std::any_of(shares.begin(), shares.end(), [&](auto const& share) {
        auto const owned = owned_by(era, share.first);
        return owned == 0 || owned > share.second + slot_tolerance || owned + slot_tolerance < share.second;
    });
    std::map<std::string_view, std::size_t> kept;
    for (auto const& [version, share] : shares) {
        auto const owned = owned_by(era, version);
        kept[version] = may_move && uneven ? kept_slots(owned, share) : owned;
    }
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        if (!free[slot] && kept[owners[slot]]-- == 0) {
            ++kept[owners[slot]];
            free[slot] = true;
            changed = true;
        }
    }
    if (!changed) {
        return std::nullopt;
    }
    give_out(owners, free, shares);
    return owners;
}

/// \returns Whether the era before the one at this position is over on all VMs, and none of its streams can
/// still be taken up.
bool is_retired(era_list const& eras, std::size_t next, millis longest, version_timing const& timing,
                millis now)
{
    return now - eras[next].learned_at_ > timing.begin_limit_ + longest;
}

/// \returns Whether anything changed.
bool advance(era_list& eras, version_counts const* counts, version_plan const& plan,
             version_timing const& timing, millis now)
{
    bool changed = false;
    while (eras.size() > 1 && is_retired(eras, 1, plan.longest_limit_, timing, now)) {
        eras.erase(eras.begin());
        changed = true;
    }
    bool const in_use = now - eras.back().learned_at_ >= timing.fence_;
    if (counts == nullptr || !in_use || eras.size() >= max_urgent_eras) {
        return changed;
    }
    // By then most streams that began before the last move are over.
    bool const may_move =
        eras.size() == 1 ||
        (eras.size() < max_eras && now - eras.back().learned_at_ >= timing.fence_ + timing.begin_limit_);
    if (auto const owners = next_owners(eras.back(), *counts, may_move)) {
        eras.push_back(make_era(*owners, plan.revision_, now));
        changed = true;
    }
    return changed;
}

/// \returns The version that has all slots of all eras, or none.
std::optional<std::string_view> only_version(version_plan const& plan)
{
    std::optional<std::string_view> only;
    for (auto const& [model, eras] : plan.models_) {
        for (auto const& era : eras) {
            for (auto const& version : era.versions_) {
                if (only && *only != version) {
                    return std::nullopt;
                }
                only = version;
            }
        }
    }
    return only;
}

/// How long a request may wait unread; its caller gives it up then.
constexpr millis unread_time{1'000};

/// Limits are raised in steps, so that few writes do.
constexpr millis limit_step{1'000};

millis rounded_limit(millis limit) noexcept
{
    auto const steps = (limit.count_ + limit_step.count_ - 1) / limit_step.count_;
    return std::min(limit_step * steps, max_time_limit);
}

version_plan first_plan(version_census const& census, millis limit, millis now)
{
    version_plan plan{.revision_ = 1, .longest_limit_ = rounded_limit(limit), .models_ = {}};
    for (auto const& [model, counts] : census.usable_) {
        bool const needs_list = model.empty() || census.present_.size() > 1;
        if (needs_list && sum_of(counts) > 0) {
            plan.models_[model] = {make_era(first_owners(counts), 1, now)};
        }
    }
    return plan;
}

} // namespace

std::size_t slot_of(std::string_view stream_id) noexcept
{
    return static_cast<std::size_t>(stable_hash(stream_id) % stream_slots);
}

era_list const* eras_of(version_plan const& plan, std::string_view model) noexcept
{
    auto found = plan.models_.find(model);
    if (found == plan.models_.end()) {
        found = plan.models_.find("");
    }
    return found == plan.models_.end() ? nullptr : &found->second;
}

std::optional<std::string_view> version_of_new(era_list const& eras, std::string_view stream_id,
                                               version_timing const& timing, millis now) noexcept
{
    auto const slot = slot_of(stream_id);
    if (eras.size() == 1) {
        return eras.back().owner(slot);
    }
    for (std::size_t i = eras.size(); i-- > 0;) {
        if (now - eras[i].learned_at_ < timing.fence_) {
            continue;
        }
        bool const over = i + 1 < eras.size() && now - eras[i + 1].absent_at_ >= timing.begin_limit_;
        if (!over) {
            return eras[i].owner(slot);
        }
        break;
    }
    // The other VMs may use the newest era, or the one before.
    auto const& newest = eras.back().owner(slot);
    return eras[eras.size() - 2].owner(slot) == newest ? std::optional<std::string_view>{newest}
                                                       : std::nullopt;
}

std::optional<std::string_view> version_of_begun(era_list const& eras,
                                                 std::optional<std::string_view> stream_id, millis after,
                                                 version_timing const& timing, millis now) noexcept
{
    std::optional<std::string_view> version;
    for (std::size_t i = 0; i < eras.size(); ++i) {
        bool const was_over = i + 1 < eras.size() && eras[i + 1].learned_at_ + timing.begin_limit_ < after;
        bool const not_begun = i > 0 && now - eras[i].absent_at_ < timing.fence_;
        if (was_over || not_begun) {
            continue;
        }
        for (std::size_t slot = 0; slot < stream_slots; ++slot) {
            if (stream_id && slot != slot_of(*stream_id)) {
                continue;
            }
            if (version && *version != eras[i].owner(slot)) {
                return std::nullopt;
            }
            version = eras[i].owner(slot);
        }
    }
    return version;
}

bool is_open(version_plan const* plan, std::set<std::string, std::less<>> const& seen)
{
    if (plan == nullptr) {
        return seen.size() > 1;
    }
    auto const only = only_version(*plan);
    return !only || std::any_of(seen.begin(), seen.end(),
                                [&](std::string const& version) { return version != *only; });
}

std::optional<version_plan> next_plan(version_plan const* known, version_census const& census,
                                      version_timing const& timing, millis limit, millis now)
{
    if (known == nullptr) {
        auto plan = first_plan(census, limit, now);
        return plan.models_.empty() ? std::nullopt : std::optional{std::move(plan)};
    }
    if (!is_open(known, census.present_)) {
        return raise_limit(*known, limit);
    }
    auto plan = *known;
    ++plan.revision_;
    bool changed = plan.longest_limit_ < rounded_limit(limit);
    plan.longest_limit_ = std::max(plan.longest_limit_, rounded_limit(limit));
    for (auto const& [model, counts] : census.usable_) {
        if (auto const* const eras = eras_of(plan, model);
            eras != nullptr && census.present_.size() > 1 && !plan.models_.contains(model)) {
            plan.models_[model] = *eras;
            changed = true;
        }
    }
    for (auto& [model, eras] : plan.models_) {
        auto counts = census.usable_.find(model);
        if (counts == census.usable_.end() || sum_of(counts->second) <= 0) {
            counts = census.usable_.find(""); // held nowhere; it may be loaded anywhere
        }
        changed =
            advance(eras, counts == census.usable_.end() ? nullptr : &counts->second, plan, timing, now) ||
            changed;
    }
    if (plan.models_.size() > 1 && census.present_.size() <= 1 && only_version(plan) &&
        plan.models_.contains("")) {
        std::erase_if(plan.models_, [](auto const& entry) { return !entry.first.empty(); });
        changed = true;
    }
    return changed ? std::optional{std::move(plan)} : std::nullopt;
}

std::optional<version_plan> raise_limit(version_plan const& known, millis limit)
{
    if (known.longest_limit_ >= rounded_limit(limit)) {
        return std::nullopt;
    }
    auto plan = known;
    ++plan.revision_;
    plan.longest_limit_ = rounded_limit(limit);
    return plan;
}

millis began_after(version_plan const& plan, std::optional<millis> left, version_timing const& timing,
                   millis now) noexcept
{
    // A limit that the plan may not have, or one that its caller states anew with each request, tells
    // nothing.
    bool const tells =
        left && plan.longest_limit_ < max_time_limit && *left + unread_time <= plan.longest_limit_;
    return tells ? now - std::max(plan.longest_limit_ - *left + unread_time, timing.fence_) : millis{0};
}

void number_plan(version_plan& plan, std::uint64_t revision) noexcept
{
    plan.revision_ = revision;
    for (auto& [model, eras] : plan.models_) {
        for (auto& era : eras) {
            era.number_ = revision;
        }
    }
}

void date_eras(version_plan& plan, version_plan const* known, millis proof_at, millis now)
{
    std::map<std::uint64_t, version_era const*> dated;
    if (known != nullptr) {
        for (auto const& [model, eras] : known->models_) {
            for (auto const& era : eras) {
                dated.emplace(era.number_, &era);
            }
        }
    }
    for (auto& [model, eras] : plan.models_) {
        for (auto& era : eras) {
            auto const found = dated.find(era.number_);
            if (found != dated.end()) {
                era.learned_at_ = found->second->learned_at_;
                era.absent_at_ = found->second->absent_at_;
            } else {
                era.learned_at_ = now;
                era.absent_at_ = known != nullptr ? proof_at : millis{0};
            }
        }
    }
}

bool is_valid(version_plan const& plan) noexcept
{
    return plan.models_.contains("") &&
           std::all_of(plan.models_.begin(), plan.models_.end(), [](auto const& entry) {
               auto const& eras = entry.second;
               std::uint64_t before = 0;
               return !eras.empty() && std::all_of(eras.begin(), eras.end(), [&](version_era const& era) {
                   bool const rises = era.number_ > before;
                   before = era.number_;
                   return rises &&
                          std::all_of(era.owners_.begin(), era.owners_.end(),
                                      [&](std::uint8_t owner) { return owner < era.versions_.size(); });
               });
           });
}

} // namespace auburnchute
