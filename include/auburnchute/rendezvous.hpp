#pragma once

#include <auburnchute/ids.hpp>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Ranks members for a key by rendezvous hashing: the first is the preferred owner, the next ones are
/// its successors if it does not answer. All daemons that know the same members get the same ranking.
/// \returns At most `limit` members, most preferred first. Thread safety: pure.
[[nodiscard]] std::vector<member_id> preferred_members(std::string_view key,
                                                       std::span<member_id const> members, std::size_t limit);

} // namespace auburnchute
