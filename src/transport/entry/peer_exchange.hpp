#pragma once

#include "transport/entry/entry_node.hpp"

namespace auburnchute {

/// \brief Exchanges state with the other entry daemons by datagrams until the loop stops.
/// \throws error with step `listen` if the port cannot be had.
void exchange_with_peers(entry_node& node);

/// \brief Replaces the members by those that the control thread read, and updates their addresses. Thread
/// safety: the loop's thread.
void set_members(entry_node& node, std::vector<entry_member> const& members);

/// \returns The model demand of all responsive VMs, this one included.
/// \param names Of all models and adapters that can be placed.
[[nodiscard]] need_map fleet_needs(entry_node const& node, need_names const& names, millis now);

/// \returns Addresses for callers of the VMs that take them, this one included.
[[nodiscard]] std::vector<std::string> ready_addresses(entry_node const& node, millis now);

} // namespace auburnchute
