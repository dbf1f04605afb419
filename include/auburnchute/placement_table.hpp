#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/model_need.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief How long a VM that hears no holder of the placement lease still goes by its last notices. The
/// upstreams' own entries have followed by then.
inline constexpr millis placement_lifetime{10'000};

/// \brief A notice with the version of the table at which it changed last.
struct versioned_placement {
    upstream_placement placement_;
    std::uint64_t version_{};
    millis received_at_{}; ///< When it was taken over; its loads' remaining times count from then.
};

/// \brief What the holder of the placement lease last told of the upstreams, as one VM knows it.
///
/// The holder numbers each change, and a VM says which number it has reached, so a message carries only what
/// its receiver lacks, and a lost message is made good by the next one.
struct placement_table {
    std::uint64_t epoch_{};   ///< Of the lease; 0: no holder was heard yet.
    std::uint64_t version_{}; ///< All changes up to this number are known.
    millis heard_at_{};       ///< When the holder was last heard; boot clock.
    std::map<std::string, versioned_placement, std::less<>> entries_; ///< By upstream id.
};

/// \brief Takes over what the holder on this VM knows. Notices that say nothing new keep their number.
/// Thread safety of all functions that change a table: the caller owns it.
void publish_placements(placement_table& table, std::uint64_t epoch,
                        std::vector<upstream_placement> placements, millis now);

/// \brief Takes over what another VM's holder tells: all changes after `from` up to `to`. After a gap, the
/// notices are used, but the number stays, so that the holder repeats what is missing.
void apply_placements(placement_table& table, std::uint64_t epoch, std::uint64_t from, std::uint64_t to,
                      std::span<upstream_placement const> placements, millis now);

/// \returns The notices that changed after the version, with the remaining times as of now. Thread safety:
/// pure.
[[nodiscard]] std::vector<upstream_placement> placements_after(placement_table const& table,
                                                               std::uint64_t version, millis now);

/// \returns The notice about an upstream, or null if there is none that counts now. Thread safety: pure.
[[nodiscard]] versioned_placement const* find_placement(placement_table const& table,
                                                        std::string_view upstream_id, millis now) noexcept;

} // namespace auburnchute
