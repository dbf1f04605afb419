#pragma once

#include "transport/entry/entry_node.hpp"
#include "transport/entry/forward_job.hpp"
#include "transport/entry/own_answer.hpp"

#include <auburnchute/upstream.hpp>

#include <optional>

namespace auburnchute {

// Turns of the requests that wait for room under contested load; see wait_order.hpp. Thread safety of all
// functions: used by the thread that owns the node.

/// \returns Whether a request that was not sent waits for its turn.
[[nodiscard]] bool waits_by_turn(entry_node const& node, choice const& chosen);

/// \returns Whether the request leaves the upstream to one that waits, could use it, and comes first. One
/// that was sent before does not.
[[nodiscard]] bool yields_room(entry_node const& node, forward_job const& job, upstream const& entry,
                               millis now);

/// \brief Books that a request of this service and model has ended and left room.
void note_room(entry_node& node, forward_job const& job, millis now);

/// \returns The refusal of a request that is not expected to find room in its time, or none.
[[nodiscard]] std::optional<own_answer> refuse_wait(entry_node& node, forward_job const& job, millis now);

/// \brief Sorts the waiting requests by their turns.
void sort_by_turn(entry_node& node, millis now);

} // namespace auburnchute
