#pragma once

#include "transport/entry/entry_node.hpp"
#include "transport/entry/forward_job.hpp"
#include "transport/entry/own_answer.hpp"

#include <optional>

namespace auburnchute {

/// \brief Charges a request to its workspace under contested load; see limit_order.hpp.
/// \param use Of the request's workspace. \returns The refusal, or none if the request may go on.
/// Thread safety: used by the thread that owns the node.
[[nodiscard]] std::optional<own_answer> charge_in_order(entry_node& node, forward_job& job,
                                                        workspace_use& use, bucket_request const& wanted,
                                                        millis now);

} // namespace auburnchute
