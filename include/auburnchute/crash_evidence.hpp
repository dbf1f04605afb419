#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace auburnchute {

/// \file Evidence on which requests crash upstreams, replicated to all entry VMs.
///
/// A trait is what requests have in common: a part of their prompts, or everything, if a request comes again.
/// When an upstream crashes, each trait of the requests that it had not answered gets a mark. An answer
/// removes the marks that its request's workspace has under its traits; answers to two workspaces remove
/// those of all, so that no workspace alone can free what crashes upstreams under another. Traits that
/// collected marks from several crashes, with no answer between them, are blocked: of all traits, the fewest
/// that explain the crashes, so that a sound trait that only accompanies a deadly one stays allowed. A
/// blocked trait is tried again after a pause that doubles with each further crash.
///
/// The records of all VMs can be merged in any order and repeatedly: the newer round of a record replaces the
/// older one. Within a round, a workspace's marks are replaced by those after a further answer to it, and
/// otherwise united.
///
/// Thread safety: functions that change the evidence need exclusive access; the others are pure.

/// \brief A hash that identifies a trait on all VMs.
using trait_hash = std::uint64_t;

/// \brief Depth of the trait that stands for a whole request.
inline constexpr std::uint8_t whole_request_depth = 255;

/// \brief A trait of a request.
struct request_trait {
    trait_hash hash_{};
    std::uint8_t depth_{}; ///< How special it is: the position of the prompt part, or `whole_request_depth`.

    friend bool operator==(request_trait const&, request_trait const&) = default;
};

/// \brief How strongly a crash speaks against the requests that the upstream ran.
enum class crash_weight : std::uint8_t {
    waiting = 1, ///< The answer had not begun, or had begun a moment before.
    begun = 2,   ///< The head of the answer had come, but nothing of its body.
};

/// \brief One crash of an upstream under a trait, in requests of one workspace.
struct crash_mark {
    std::uint32_t crash_{};     ///< Identifies the process that crashed.
    std::uint32_t workspace_{}; ///< Hash of the workspace; 0: a request on a route open to all.
    crash_weight weight_{crash_weight::waiting};
    bool warned_{}; ///< The request was sent although an earlier crash under the trait was known.

    friend bool operator==(crash_mark const&, crash_mark const&) = default;
};

/// \brief How often answers removed a workspace's marks.
struct workspace_answers {
    std::uint32_t workspace_{}; ///< As in `crash_mark`.
    std::uint32_t answers_{};

    friend bool operator==(workspace_answers const&, workspace_answers const&) = default;
};

/// \brief What is known of a trait.
struct trait_record {
    request_trait trait_;
    std::uint32_t round_{};         ///< Grows when answers remove the marks of all workspaces.
    std::uint32_t trials_{};        ///< Requests that were let through although the trait was blocked.
    std::vector<crash_mark> marks_; ///< By crash and workspace.
    std::vector<workspace_answers> answers_; ///< In this round, by workspace.
    millis changed_at_{};                    ///< Time of the last mark, trial or answer; boot clock.
    millis first_marked_at_{};               ///< When this VM learned of the round's first mark; boot clock.
    std::uint64_t version_{};                ///< `crash_evidence::version_` at the last change on this VM.
    bool observed_{};                        ///< This VM's own requests took part in it.
};

/// \brief A trait whose requests are refused.
struct blocked_trait {
    trait_hash hash_{};
    bool everywhere_{};                     ///< For all workspaces, also those without a mark.
    std::vector<std::uint32_t> workspaces_; ///< Otherwise those that are refused.
    std::vector<std::uint32_t> answered_;   ///< Not refused, even if all others are.
    std::size_t crashes_{};
    millis retry_at_{}; ///< When a request may be let through as a trial; boot clock.
};

/// \brief The evidence that one VM holds.
struct crash_evidence {
    std::map<trait_hash, trait_record> records_;
    std::vector<blocked_trait> blocked_; ///< Follows from `records_`.
    std::uint64_t first_version_{};      ///< Differs between processes, so that versions cannot be confused.
    std::uint64_t version_{};            ///< Grows with each change.
};

/// \brief Most traits of a request that get a record of their own; the rest share one.
inline constexpr std::size_t max_part_traits = 15;

/// \brief Most records that are kept. A workspace loses records only to its own if it holds the most.
inline constexpr std::size_t max_trait_records = 128;

/// \brief How long after its first event an answer may still be the cause of its upstream's crash.
inline constexpr millis crash_onset{250};

/// \returns The traits of a request.
/// \param parts Hashes of the prompt parts that other requests may share, in the order of the prompt.
/// \param scope Hash of the service: engines of another service may bear what crashes those of this one.
/// \param workspace Hash of the workspace. \param request Hash of the whole request.
[[nodiscard]] std::vector<request_trait> traits_of(std::span<std::uint64_t const> parts, std::uint64_t scope,
                                                   std::uint32_t workspace, std::uint64_t request);

/// \brief A request whose upstream crashed.
struct crashed_request {
    std::span<request_trait const> traits_;
    std::uint32_t crash_{};
    std::uint32_t workspace_{};
    crash_weight weight_{crash_weight::waiting};
    millis sent_at_{}; ///< When it was sent to the upstream; boot clock.
};

/// \brief Marks the traits of a request whose upstream crashed.
void record_crash(crash_evidence& evidence, crashed_request const& request, millis now);

/// \brief Removes the marks that the workspace of an answered request has under its traits, unless the
/// answer began before the first mark; after answers to a second workspace those of all.
/// \param workspace As in `crash_mark`. \param began_at When the answer began; boot clock.
void record_answer(crash_evidence& evidence, std::span<request_trait const> traits, std::uint32_t workspace,
                   millis began_at, millis now);

/// \brief Merges records of another VM or of the store, whose `changed_at_` was translated to this VM's
/// clock. \returns Whether anything changed.
bool merge_records(crash_evidence& evidence, std::span<trait_record const> records, millis now);

/// \brief Merges records that were kept in the store. It may hold traits that have been answered since, so
/// they are tried again after a short pause; records of live VMs go before them. \returns As `merge_records`.
bool restore_records(crash_evidence& evidence, std::vector<trait_record> records, millis now);

/// \returns Whether a record is kept in the store, so that the loss of all VMs does not forget it. The record
/// of a whole request is kept from its first crash on, as the request may come again as it is; that of a
/// prompt part from its second, since each crash marks the parts of all requests that waited.
[[nodiscard]] bool is_worth_keeping(trait_record const& record);

/// \brief Drops records that are out of date. \returns Whether there were any.
bool expire_records(crash_evidence& evidence, millis now);

/// \returns The records that changed after a version that a peer of this VM has seen; all if that version is
/// of another process.
[[nodiscard]] std::vector<trait_record> records_after(crash_evidence const& evidence, std::uint64_t version);

/// \brief Which VM may try a blocked trait. The VMs that may double with each `round_`, so that usually one
/// tries it, however few of them get such requests.
struct trial_rights {
    std::uint64_t vm_{};  ///< Hash of this VM's name.
    std::size_t vms_{1};  ///< Live VMs.
    millis round_{1'000}; ///< Longer than a trial takes to be known everywhere.
};

/// \brief Whether a request may be sent to an upstream.
struct request_verdict {
    bool refused_{};
    std::vector<trait_hash> trials_; ///< Blocked traits that the request tries again if it is sent.
    trait_hash refused_for_{};
    millis retry_after_{}; ///< When a refused request may come back.
};

/// \brief Judges a request by its traits.
[[nodiscard]] request_verdict judge_request(crash_evidence const& evidence,
                                            std::span<request_trait const> traits, std::uint32_t workspace,
                                            trial_rights const& rights, millis now);

/// \brief Records that a request is sent although these traits are blocked; others wait for its end.
void record_trial(crash_evidence& evidence, std::span<trait_hash const> traits, millis now);

/// \returns The trait as log lines and the store show it: in hexadecimal.
[[nodiscard]] std::string trait_name(trait_hash trait);

/// \returns The blocked trait, or null.
[[nodiscard]] blocked_trait const* find_blocked(crash_evidence const& evidence, trait_hash trait) noexcept;

} // namespace auburnchute
