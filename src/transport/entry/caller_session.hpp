#pragma once

#include "transport/entry/entry_node.hpp"

namespace auburnchute {

/// \brief Accepts callers and serves their requests until the loop stops.
/// \throws error with step `listen` if the address cannot be had.
void serve_callers(entry_node& node, std::string const& address);

} // namespace auburnchute
