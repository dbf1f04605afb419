#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Largest fleet in which every VM is a relay and sends to every other one.
inline constexpr std::size_t max_full_mesh_vms = 12;

/// \brief An entry VM that may be chosen as a relay.
struct relay_candidate {
    std::string_view vm_;
    std::string_view zone_;
    std::int64_t strength_{}; ///< CPU share, in hundredths of a core.
    bool usable_{true};       ///< May be chosen; false for a VM that stopped responding.
    bool young_{};            ///< Has just started and lacks state that the others have.
};

/// \brief The role of a VM and the receivers of its messages. Indices refer to the candidates.
struct relay_plan {
    bool is_relay_{};                  ///< The VM is a relay.
    std::optional<std::size_t> relay_; ///< For a leaf: its relay; none if its zone has no usable VM.
    std::vector<std::size_t> mesh_;    ///< All relays except the VM itself.

    friend bool operator==(relay_plan const&, relay_plan const&) = default;
};

/// \returns Whether `a` takes fleet-wide duties before `b`: VMs that have just started come last, then a
/// larger CPU share comes first; ties are broken by a hash of the names. Thread safety of all functions:
/// pure.
[[nodiscard]] bool is_preferred_over(relay_candidate const& a, relay_candidate const& b) noexcept;

/// \returns The number of relays of a zone that has `vms` of the VMs of the fleet. A relay then has about as
/// many leaves as there are relays, which minimizes the messages that it sends. A plan has down to half as
/// many if the others would have less than half of the best one's CPU share.
[[nodiscard]] std::size_t zone_relay_count(std::size_t vms, std::size_t fleet) noexcept;

/// \brief Computes the relays of each zone and the role of the VM `self`. The relays depend only on the
/// candidates, so VMs with the same candidates agree on them. \pre `self < fleet.size()`.
[[nodiscard]] relay_plan plan_relays(std::span<relay_candidate const> fleet, std::size_t self);

} // namespace auburnchute
