#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Fleets up to this size have no relays: every VM tells every other one.
inline constexpr std::size_t max_full_mesh_vms = 12;

/// \brief An entry VM as the plan sees it.
struct relay_candidate {
    std::string_view vm_;
    std::string_view zone_;
    std::int64_t strength_{}; ///< Processor share, in hundredths of a core.
    bool usable_{true};       ///< May relay; one that fell silent may not.
    bool young_{};            ///< Has just started, and knows less than the others.
};

/// \brief To whom a VM sends its messages. Indices are into the candidates.
struct relay_plan {
    bool is_relay_{};                  ///< It is one of the relays.
    std::optional<std::size_t> relay_; ///< Of a leaf: its relay; none if its zone has no usable VM.
    std::vector<std::size_t> mesh_;    ///< The relays, itself left out.

    friend bool operator==(relay_plan const&, relay_plan const&) = default;
};

/// \returns Whether the first VM takes work for all before the second one: young VMs last, strong ones first,
/// equal ones by a hash of their names. Thread safety of all functions: pure.
[[nodiscard]] bool is_preferred_over(relay_candidate const& a, relay_candidate const& b) noexcept;

/// \returns The relays that a zone with `vms` of the fleet's VMs has: as many that a relay has about as many
/// leaves as there are relays, which makes the sum of its messages least.
[[nodiscard]] std::size_t zone_relay_count(std::size_t vms, std::size_t fleet) noexcept;

/// \brief Chooses the relays of each zone and a VM's own. All VMs that know the same candidates choose the
/// same relays. \pre `self < fleet.size()`.
[[nodiscard]] relay_plan plan_relays(std::span<relay_candidate const> fleet, std::size_t self);

} // namespace auburnchute
