#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief The fields of a chat or plain completion request that decisions need.
struct chat_request {
    std::string model_;
    bool stream_{};
    std::int64_t max_tokens_{};    ///< 0: not stated.
    std::int64_t prompt_tokens_{}; ///< Estimate: a quarter of the prompt's bytes, at least 1.
    std::string prefix_;           ///< The first 256 bytes of the prompt, for prefix locality.
    nlohmann::json body_;          ///< Without `priority` and `resume_from`, which only the daemon sets.
};

/// \brief Reads the body of `/v1/chat/completions` or `/v1/completions`.
/// \throws error with step `accept` and a message for the caller. Refused are: invalid JSON or UTF-8, nesting
/// above 64 levels, no model, no messages or prompt, `max_tokens` below 1, and more than one completion for
/// one request (`n`, `best_of`, a list of prompts), whose tokens would exceed the reservation. Thread safety:
/// pure.
[[nodiscard]] chat_request parse_chat_request(std::string_view body);

/// \returns Bytes that the values of a JSON text take once it is parsed, at most; small values take many
/// times their text. Thread safety: pure.
[[nodiscard]] std::size_t json_memory(std::string_view text) noexcept;

/// \returns The tokens that one chunk of a stream carries: 1 for each choice with a non-empty delta.
/// Chunks of any other form count 0. Thread safety: pure.
[[nodiscard]] std::int64_t count_tokens(nlohmann::json const& chunk);

/// \returns The `completion_tokens` of the `usage` member, or nothing if it is missing or malformed.
/// Thread safety: pure.
[[nodiscard]] std::optional<std::int64_t> usage_tokens(nlohmann::json const& chunk);

} // namespace auburnchute
