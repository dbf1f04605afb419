#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace auburnchute {

/// \brief An upstream that may serve a request, with its known load summed over all VMs.
struct upstream_candidate {
    std::string_view id_;
    std::int64_t running_{};        ///< Requests in progress.
    std::int64_t slots_{1};         ///< Requests that it runs concurrently.
    std::int64_t running_tokens_{}; ///< Prompt and output tokens of those requests.
    std::int64_t unread_tokens_{};  ///< Prompt tokens of the requests whose answers have not begun.
    std::int64_t kv_tokens_{};      ///< Capacity of its KV cache, in tokens; 0 for a plain service.
    double excess_latency_ms_{};    ///< See `upstream_excess_latency`.
    bool same_zone_{};              ///< In the availability zone of this VM.
    bool recently_failed_{};        ///< Chosen only if all others are full or much slower.
    bool already_tried_{};          ///< The request was already sent to it.
    double slowness_{1};            ///< How long work takes on it; 1: as usual. See `slowness_of`.
    /// Requests that its pace leaves room for; none: it has no pace. Negative if it holds more.
    std::optional<std::int64_t> window_left_{};
};

/// \brief Properties of the request that the choice depends on.
struct choice_request {
    std::int64_t prompt_tokens_{};
    std::int64_t shared_tokens_{}; ///< Length of the prompt prefix that other requests share.
    std::int64_t output_tokens_{}; ///< Expected length of the answer.
    std::uint64_t prefix_hash_{};  ///< Hash of the shared prefix; 0 if there is none.
    std::uint64_t tie_breaker_{};  ///< Value per request that breaks ties between candidates.
    bool contested_{};             ///< Requests compete for room; the fields below count only then.
    double unheard_{};             ///< Requests that other VMs are likely to have sent unknown to this one.
    double usual_answer_ms_{};     ///< Of a plain service, until it answers; 0: not known.
    bool last_resort_{};           ///< It is refused soon if none takes it; a pace gives way to it.
};

/// \brief The chosen upstream.
struct selected_candidate {
    std::size_t index_{};          ///< Position in the candidates.
    std::int64_t unread_tokens_{}; ///< Prompt tokens of the request that the upstream has to prefill.
    double expected_ms_{};         ///< Expected time until the answer begins, without the excess latency.
    double work_ms_{};             ///< The part of it that is the request's own work at the usual pace.
    double wait_ms_{};             ///< The part for known requests before it at the usual pace.
};

/// \brief By how much an upstream's answers begin later than expected, as a moving average. It decays over
/// time, so that an upstream that was slow is tried again.
struct upstream_excess_latency {
    double ms_{};
    millis updated_at_{};
};

/// \brief Adds a sample: the time the upstream took to begin its answer. Thread safety: the caller owns
/// `excess`.
void record_answer_time(upstream_excess_latency& excess, double expected_ms, millis took,
                        millis now) noexcept;

/// \returns The excess latency as of now, in milliseconds. Thread safety: pure.
[[nodiscard]] double current_excess_latency(upstream_excess_latency const& excess, millis now) noexcept;

/// \brief Chooses the upstream that is expected to begin its answer first, with its excess latency and a
/// penalty for a recent failure added.
///
/// An engine prefills prompts one after another, interleaved with the decoding of running requests. So a
/// request waits for the prompts that arrived before it, and hardly for requests that are already decoding.
///
/// Requests with the same prompt prefix prefer the same upstream on every VM, by rendezvous hashing, because
/// its cache holds the prefix. Another one is chosen if the preferred upstream's delay is longer by more than
/// the prefill of the prefix takes.
///
/// Where requests compete for room, work takes as long as the upstream's slowness says, the second and the
/// third upstream by the hashing take what the first can't, and the request is not always sent to the best
/// one: all VMs see the same best one until they hear of each other's requests. So the requests unheard of
/// are laid where they would be expected to answer first, as water fills a vessel, and the choice is drawn in
/// proportion. A pace keeps the share of its process to what its window leaves. \returns None if all
/// candidates are full for this request or were already tried. Thread safety: pure.
[[nodiscard]] std::optional<selected_candidate>
choose_upstream(std::span<upstream_candidate const> candidates, choice_request const& request);

} // namespace auburnchute
