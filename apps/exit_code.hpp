#pragma once

namespace auburnchute {

/// \brief Exit codes of `auburnctl` and `auburncheck`; docs/OPERATING.md lists them.
enum class exit_code : int {
    done = 0,
    differs = 1,     ///< `diff` found differences.
    usage = 2,       ///< Wrong arguments, or a file that cannot be read.
    conflict = 3,    ///< Another version is in force than the one that was edited.
    invalid = 4,     ///< The tables or settings have faults.
    refused = 5,     ///< The system refused the call, or does not know the id.
    unreachable = 6, ///< No entry VM or the log service is not reachable; nothing was changed.
    unknown = 7,     ///< The answer was lost; the change may or may not come into force.
    timeout = 8,     ///< The change is accepted, but not every VM confirmed it in time.
};

} // namespace auburnchute
