#pragma once

#include "transport/entry/forward_job.hpp"

namespace auburnchute {

/// \file Keeps streams at the software version that began them. Thread safety: the loop's thread.

/// \brief Why a request has no version.
enum class version_fault : std::uint8_t {
    none,
    awaited, ///< The VM will know within `fence_` where the stream may begin, or has begun.
    unknown, ///< A stream that is taken up, and that more than one version may have begun.
    stale,   ///< This VM's knowledge is too old.
};

/// \brief The version that a request is bound to.
struct bound_version {
    std::optional<std::string> version_; ///< None: any version may serve it, or there is a fault.
    version_fault fault_{version_fault::none};
};

/// \returns Whether one version has to serve the whole request: it is a stream. Also one on a route that is
/// not resumable may be taken up, since a change of the configuration can make the route resumable.
[[nodiscard]] bool needs_one_version(forward_job const& job) noexcept;

/// \returns Whether the request goes on with a stream that an earlier one began.
[[nodiscard]] bool takes_up_stream(forward_job const& job) noexcept;

/// \returns The version for the request's next try.
[[nodiscard]] bound_version version_for(entry_node const& node, forward_job const& job, millis now);

/// \returns The times by which eras begin and end.
[[nodiscard]] version_timing timing_of(entry_node const& node) noexcept;

/// \brief Notes the time limit of a new stream's caller, so that it is in the plan before the stream begins.
void note_time_limit(entry_node& node, forward_job const& job);

/// \brief Plans how versions share the streams of each service that has any, until the loop stops.
/// The VM that comes first among those that read the store for all stores the plans, others if it does not.
void keep_versions(entry_node& node);

} // namespace auburnchute
