#pragma once

#include "transport/entry/forward_job.hpp"

#include <auburnchute/fleet_message.hpp>
#include <auburnchute/retry.hpp>
#include <auburnchute/upstream_load.hpp>

#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

// What a VM learns of its upstreams from their answers, where requests compete for room; elsewhere these
// functions do nothing and know nothing. Thread safety of all: used by the thread that owns the node.

/// \brief What the choice needs to know of an upstream's present state.
struct upstream_standing {
    std::int64_t requests_{};
    double slowness_{1};
    std::optional<std::int64_t> window_left_; ///< See `upstream_candidate`.
};

/// \param own This VM's requests at the upstream, or null. \param use Those of all VMs.
[[nodiscard]] upstream_standing standing_of(entry_node const& node, upstream const& entry, own_use const* own,
                                            upstream_use const& use, millis now);

/// \brief Adds to the request's properties what the choice under load needs.
/// \param remote Requests of other VMs at the candidates.
void add_contest(entry_node const& node, forward_job const& job, std::int64_t remote, millis now,
                 choice_request& request);

/// \brief Takes over what an answer tells of its upstream's load, also whether upstreams tell their pace.
void take_load(entry_node& node, std::string const& upstream_id, std::optional<reported_load> const& load,
               millis now);

/// \brief Books that a request goes to an upstream. Finds processes that have started since the last one.
void note_sent(entry_node& node, chosen_upstream const& upstream, millis now);

/// \brief Books that an upstream has begun to answer. \param began When the request was sent.
void note_begun(entry_node& node, chosen_upstream const& upstream, std::string const& service, millis began,
                millis now);

/// \brief Books that an answered request has ended.
void note_held(entry_node& node, std::string const& service, millis held);

/// \brief Books a try that was refused or failed. \param gone Nothing listens at the upstream's address.
void note_fault(entry_node& node, chosen_upstream const& upstream, try_result result, bool gone, millis now);

/// \returns What this VM tells others of its upstreams, besides its requests: rows under hashes of their own,
/// so that the sums over VMs and relays hold for them, too, and VMs of earlier releases pass them on.
[[nodiscard]] std::vector<upstream_use_row> told_standing(entry_node const& node, millis now);

} // namespace auburnchute
