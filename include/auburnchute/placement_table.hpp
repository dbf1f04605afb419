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

/// \brief Validity of placements. All of them expire this long after the last message from the holder of the
/// order lease; one without a load in progress also expires this long after its receipt. The upstreams' own
/// entries are up to date by then.
inline constexpr millis placement_lifetime{10'000};

/// \brief An upstream's placement and the version of the table at which it changed last.
struct versioned_placement {
    upstream_placement placement_;
    std::uint64_t version_{};
    millis received_at_{}; ///< When it was received; the remaining times of its loads count from then.
};

/// \brief One VM's copy of the upstreams' placements, as sent by the holder of the order lease.
///
/// The holder gives each change a version, and each VM reports the version up to which it knows all changes,
/// so a message carries only the later ones, and the next message also carries those of a lost one.
struct placement_table {
    std::uint64_t epoch_{};      ///< Lease epoch of the holder; 0 if no holder is known yet.
    std::uint64_t version_{};    ///< All changes up to this version are known.
    millis holder_message_at_{}; ///< When the holder's state last arrived, directly or over a relay, or was
                                 ///< published by the holder on this VM; boot clock.
    std::map<std::string, versioned_placement, std::less<>> entries_; ///< By upstream id.
};

/// \brief Replaces the table with the placements known to the holder on this VM. Unchanged ones keep their
/// version. Thread safety of all functions that change a table: the caller owns it.
void publish_placements(placement_table& table, std::uint64_t epoch,
                        std::vector<upstream_placement> placements, millis now);

/// \brief Applies the changes after version `from` up to `to` that the holder on another VM has sent. If the
/// table lacks versions before `from`, the placements are applied, but the table's version stays, so that the
/// holder sends the missing changes again.
void apply_placements(placement_table& table, std::uint64_t epoch, std::uint64_t from, std::uint64_t to,
                      std::span<upstream_placement const> placements, millis now);

/// \returns The placements that changed after the version, with the remaining times of loads as of now.
/// Thread safety: pure.
[[nodiscard]] std::vector<upstream_placement> placements_after(placement_table const& table,
                                                               std::uint64_t version, millis now);

/// \returns The upstream's placement, or null if there is none or it is no longer valid. Thread safety: pure.
[[nodiscard]] versioned_placement const* find_placement(placement_table const& table,
                                                        std::string_view upstream_id, millis now) noexcept;

} // namespace auburnchute
