#pragma once

#include <auburnchute/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief How long a suspect waits before its isolated run, so that every daemon has learned which other
/// requests were in flight on the upstream that crashed. Two heartbeats.
inline constexpr millis evidence_propagation_delay{1'000};

/// \brief Time reserved for the isolated run of each suspect that comes first; afterwards the next one starts
/// even without a result, since the caller of the first may have disconnected. A longer run may overlap with
/// the next one.
inline constexpr millis isolated_run_slot{10'000};

/// \brief Crash evidence of this daemon that the fleet state does not contain yet: crashes that it observed
/// or that peers reported.
struct local_crash_evidence {
    std::map<std::string, crash_entry> unapplied_; ///< By fingerprint; not yet applied from the log.
    millis last_verdict_at_{};                     ///< When a suspect was last cleared or confirmed.
    std::map<std::string, millis> learned_at_; ///< By fingerprint of a suspect in the fleet state: when its
                                               ///< last crash record was applied, by this daemon's clock.
};

enum class crash_verdict : std::uint8_t {
    clear,    ///< Runs normally.
    suspect,  ///< Runs isolated: never together with another suspect on one upstream.
    confirmed ///< Refused.
};

/// \returns The verdict on a request from the evidence in the fleet state and of this daemon. A suspect with
/// one crash is clear again once another request is confirmed to have crashed the same upstream. Thread
/// safety: pure.
[[nodiscard]] crash_verdict classify_request(fleet_state const& state, local_crash_evidence const& evidence,
                                             std::string_view fingerprint);

/// \brief Checks whether a suspect may start its isolated run. Suspects that crashed on the same upstream run
/// one after another across all daemons, in the order of their fingerprints; each starts when those before
/// it are cleared or confirmed, or their slots have passed. If two daemons ran a suspect each on one upstream
/// at the same time, both would be blamed for its crash, though one may be harmless.
/// \returns False if the caller has to ask again later. Thread safety: pure.
[[nodiscard]] bool may_run_isolated(fleet_state const& state, local_crash_evidence const& evidence,
                                    std::string_view fingerprint, millis now);

/// \brief Records the crash of an upstream in the local evidence.
/// \param in_flight Fingerprints of the requests that ran on it.
/// \param isolated Fingerprint of the suspect among them that ran isolated, or empty.
/// \returns The records to append to the log: one for each distinct fingerprint in flight, or only one for
/// `isolated`, which is then confirmed as the cause.
[[nodiscard]] std::vector<crash_seen> record_crash(local_crash_evidence& evidence, std::string_view upstream,
                                                   std::vector<std::string> const& in_flight,
                                                   std::string_view isolated, millis now);

/// \brief Records a crash that a peer reported directly, so that the evidence also spreads while the log is
/// unavailable or slow.
void record_peer_crash(local_crash_evidence& evidence, crash_seen const& seen, millis now);

/// \brief Records that a request finished without a crash, and drops the local evidence on it unless it is
/// confirmed. \returns True if it was a suspect: the caller appends a `crash_cleared` record.
[[nodiscard]] bool record_completion(fleet_state const& state, local_crash_evidence& evidence,
                                     std::string_view fingerprint);

/// \brief Updates the local evidence on a request after a `crash_seen` or `crash_cleared` record for it was
/// applied to the fleet state, which then replaces it. A local confirmation that the fleet state does not
/// contain yet is kept.
void reconcile_evidence(fleet_state const& state, local_crash_evidence& evidence,
                        std::string_view fingerprint, millis now);

/// \returns The fingerprint of a request: a digest that reveals neither its body nor its API key. Thread
/// safety: pure.
[[nodiscard]] std::string fingerprint(std::string_view workspace, std::string_view route,
                                      std::string_view body);

} // namespace auburnchute
