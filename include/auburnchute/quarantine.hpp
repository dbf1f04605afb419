#pragma once

#include <auburnchute/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief How long a suspect waits before its isolated run, so that all daemons learn first which other
/// requests were in flight on the upstream that died. Two heartbeats.
inline constexpr millis evidence_propagation_delay{1'000};

/// \brief How long a suspect keeps the next one that crashed with it waiting; its caller may have gone. An
/// isolated run that takes longer may overlap with the next one.
inline constexpr millis isolated_run_slot{10'000};

/// \brief Crash evidence that this daemon holds beyond the fold: own and peers' crashes not yet folded.
struct local_crash_evidence {
    std::map<std::string, crash_entry> unapplied_; ///< By fingerprint.
    millis last_verdict_at_{};                     ///< When a suspect was last cleared or confirmed.
    std::map<std::string, millis> learned_at_; ///< By fingerprint of a folded suspect: this daemon's time.
};

enum class crash_verdict : std::uint8_t {
    clear,    ///< Runs normally.
    suspect,  ///< Runs isolated: never together with another suspect on one upstream.
    confirmed ///< Refused.
};

/// \returns What the evidence of the fold and of this daemon says about a request. A suspect with one crash
/// is clear again once another request is confirmed to have crashed that upstream. Thread safety: pure.
[[nodiscard]] crash_verdict classify_request(fleet_state const& state, local_crash_evidence const& evidence,
                                             std::string_view fingerprint);

/// \brief Says whether a suspect may start its isolated run. Suspects that crashed on one upstream run one
/// after the other over all daemons, in the order of their fingerprints and each as soon as those before it
/// are cleared; otherwise two daemons would each take their own suspect for the only one and blame an
/// innocent request. \returns False: ask again later. Thread safety: pure.
[[nodiscard]] bool may_run_isolated(fleet_state const& state, local_crash_evidence const& evidence,
                                    std::string_view fingerprint, millis now);

/// \brief Books the death of an upstream.
/// \param in_flight Fingerprints that ran on it; \param isolated the one that ran as an isolated suspect, or
/// empty. \returns The records to append, one for each fingerprint in flight. If an isolated suspect was
/// among them, it alone is blamed.
[[nodiscard]] std::vector<crash_seen> record_crash(local_crash_evidence& evidence, std::string_view upstream,
                                                   std::vector<std::string> const& in_flight,
                                                   std::string_view isolated, millis now);

/// \brief Books evidence that a peer passed on directly, while the log is down or slow.
void record_peer_crash(local_crash_evidence& evidence, crash_seen const& seen, millis now);

/// \brief Books that a suspect finished. \returns True if a `crash_cleared` record should be appended.
[[nodiscard]] bool record_completion(fleet_state const& state, local_crash_evidence& evidence,
                                     std::string_view fingerprint);

/// \brief Notes when a suspect became known here and drops the local evidence on a request when a
/// `crash_seen` or `crash_cleared` record for it was folded; from then on the fold says what is known. A
/// confirmation that is not folded yet stays.
void reconcile_evidence(fleet_state const& state, local_crash_evidence& evidence,
                        std::string_view fingerprint, millis now);

/// \returns The fingerprint of a request; it reveals neither the body nor the key. Thread safety: pure.
[[nodiscard]] std::string fingerprint(std::string_view workspace, std::string_view route,
                                      std::string_view body);

} // namespace auburnchute
