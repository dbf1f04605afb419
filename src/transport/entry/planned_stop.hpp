#pragma once

#include "transport/entry/entry_node.hpp"

namespace auburnchute {

/// \brief Carries out the planned stop: waits for the open requests, gives up those that last too long, lets
/// the last answers reach their callers, and stops the loop. \pre `node.stop_` holds the plan. Thread safety:
/// the loop's thread.
net::awaitable<void> stop_gracefully(entry_node& node);

} // namespace auburnchute
