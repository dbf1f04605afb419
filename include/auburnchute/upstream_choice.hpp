#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace auburnchute {

/// \brief An upstream that could take a request, with what is known of its load over all VMs.
struct upstream_candidate {
    std::string_view id_;
    std::int64_t running_{};        ///< Requests under way there.
    std::int64_t slots_{1};         ///< Requests that it runs at the same time.
    std::int64_t running_tokens_{}; ///< Prompt and output tokens of those requests.
    std::int64_t unread_tokens_{};  ///< Prompt tokens of those that have not begun to answer.
    std::int64_t kv_tokens_{};      ///< Its memory for them; 0: not an engine.
    double excess_latency_ms_{};    ///< How much later than expected it has begun to answer of late; see
                                    ///< `upstream_excess_latency`.
    bool same_zone_{};
    bool suspect_{};       ///< Failed lately.
    bool already_tried_{}; ///< This request was already sent there.
};

/// \brief What the choice depends on.
struct choice_request {
    std::int64_t prompt_tokens_{};
    std::int64_t shared_tokens_{}; ///< Leading part of the prompt that other requests have too.
    std::int64_t output_tokens_{}; ///< Expected.
    std::uint64_t prefix_hash_{};  ///< Of the shared part; 0: nothing is shared.
    std::uint64_t tie_breaker_{};  ///< Of the request; breaks ties.
};

/// \brief What was chosen.
struct selected_candidate {
    std::size_t index_{};          ///< Into the options.
    std::int64_t unread_tokens_{}; ///< Prompt tokens that the upstream still has to read.
    double expected_ms_{};         ///< Until it begins to answer, its lag left out.
};

/// \brief How much later than expected an upstream begins to answer, smoothed. It fades, so that an upstream
/// that was slow is tried again.
struct upstream_excess_latency {
    double ms_{};
    millis updated_at_{};
};

/// \brief Notes how long the upstream took to begin its answer. Thread safety: the caller owns the lag.
void record_answer_time(upstream_excess_latency& excess, double expected_ms, millis took,
                        millis now) noexcept;

/// \returns The lag as of now, in milliseconds. Thread safety: pure.
[[nodiscard]] double current_excess_latency(upstream_excess_latency const& excess, millis now) noexcept;

/// \brief Chooses the upstream that should begin to answer first.
///
/// An engine reads prompts one after another between the tokens of running requests, so a request waits for
/// the prompts that came before it, and hardly for requests that are answering already.
///
/// Requests with the same shared prompt prefer the same upstream on every VM, by rendezvous hashing, because
/// it has read that part already. The preference yields when that upstream is busier by more than the reading
/// would take.
/// \returns None if all are full or were used. Thread safety: pure.
[[nodiscard]] std::optional<selected_candidate>
choose_upstream(std::span<upstream_candidate const> candidates, choice_request const& request) noexcept;

} // namespace auburnchute
