#include <auburnchute/relay_plan.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <utility>

namespace auburnchute {

namespace {

/// Returns the indices of the relays of a zone; fewer than `zone_relay_count` if not enough VMs are usable.
/// If half of that number have a large CPU share, VMs with less than half as much are no relays: they cannot
/// send the messages of a relay in time beside their requests.
std::vector<std::size_t> zone_relays(std::span<relay_candidate const> fleet,
                                     std::vector<std::size_t> const& zone)
{
    std::vector<std::size_t> usable;
    std::copy_if(zone.begin(), zone.end(), std::back_inserter(usable),
                 [&](std::size_t vm) { return fleet[vm].usable_; });
    auto const count = std::min(usable.size(), zone_relay_count(zone.size(), fleet.size()));
    std::partial_sort(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(count), usable.end(),
                      [&](std::size_t a, std::size_t b) { return is_preferred_over(fleet[a], fleet[b]); });
    usable.resize(count);
    auto const least = (count + 1) / 2;
    while (usable.size() > least && fleet[usable.back()].strength_ * 2 < fleet[usable.front()].strength_) {
        usable.pop_back();
    }
    return usable;
}

} // namespace

bool is_preferred_over(relay_candidate const& a, relay_candidate const& b) noexcept
{
    if (a.young_ != b.young_) {
        return b.young_;
    }
    if (a.strength_ != b.strength_) {
        return a.strength_ > b.strength_;
    }
    return std::pair{stable_hash(a.vm_), a.vm_} < std::pair{stable_hash(b.vm_), b.vm_};
}

std::size_t zone_relay_count(std::size_t vms, std::size_t fleet) noexcept
{
    auto const group = std::sqrt(static_cast<double>(std::max<std::size_t>(fleet, 1)));
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(static_cast<double>(vms) / group)));
}

relay_plan plan_relays(std::span<relay_candidate const> fleet, std::size_t self)
{
    relay_plan plan;
    if (fleet.size() <= max_full_mesh_vms) {
        plan.is_relay_ = true;
        plan.mesh_.resize(fleet.size());
        std::iota(plan.mesh_.begin(), plan.mesh_.end(), std::size_t{0});
        plan.mesh_.erase(plan.mesh_.begin() + static_cast<std::ptrdiff_t>(self));
        return plan;
    }
    std::map<std::string_view, std::vector<std::size_t>> zones;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        zones[fleet[vm].zone_].push_back(vm);
    }
    for (auto const& [name, zone] : zones) {
        auto const relays = zone_relays(fleet, zone);
        bool const own_zone = name == fleet[self].zone_;
        for (auto const relay : relays) {
            if (relay == self) {
                plan.is_relay_ = true;
                continue;
            }
            plan.mesh_.push_back(relay);
            // Rendezvous hashing: only the leaves of a removed relay are reassigned.
            auto const weight = [&](std::size_t vm) {
                return stable_hash(fleet[vm].vm_, stable_hash(fleet[self].vm_));
            };
            if (own_zone && (!plan.relay_ || weight(relay) > weight(*plan.relay_))) {
                plan.relay_ = relay;
            }
        }
    }
    if (plan.is_relay_) {
        plan.relay_.reset();
    }
    return plan;
}

} // namespace auburnchute
