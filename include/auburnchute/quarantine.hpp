#pragma once

#include <auburnchute/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Crash evidence that this daemon holds beyond the fold: own and peers' crashes not yet folded.
struct quarantine_view {
    std::map<std::string, crash_entry> local_; ///< By fingerprint.
};

enum class crash_verdict : std::uint8_t {
    clear,    ///< Runs normally.
    suspect,  ///< Runs isolated: never together with another suspect on one upstream.
    confirmed ///< Refused.
};

/// \returns What the evidence of the fold and of this daemon says about a request. Thread safety: pure.
[[nodiscard]] crash_verdict judge(fleet_state const& state, quarantine_view const& view,
                                  std::string_view fingerprint) noexcept;

/// \brief Books the death of an upstream.
/// \param in_flight Fingerprints that ran on it; \param isolated the one that ran as an isolated suspect, or
/// empty. \returns The records to append, one for each request in flight. If an isolated suspect was among
/// them, it alone is blamed.
[[nodiscard]] std::vector<crash_seen> book_crash(quarantine_view& view, std::string_view upstream,
                                                 std::vector<std::string> const& in_flight,
                                                 std::string_view isolated);

/// \brief Books that a suspect finished. \returns True if a `crash_cleared` record should be appended.
[[nodiscard]] bool book_finish(fleet_state const& state, quarantine_view& view, std::string_view fingerprint);

/// \returns The fingerprint of a request; it reveals neither the body nor the key. Thread safety: pure.
[[nodiscard]] std::string fingerprint(std::string_view workspace, std::string_view route,
                                      std::string_view body);

} // namespace auburnchute
