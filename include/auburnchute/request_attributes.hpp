#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief A part of a prompt that other requests may share.
struct prompt_part {
    std::uint64_t id_{};
    std::int64_t tokens_{};
};

/// \brief What a caller states about its request.
struct request_attributes {
    std::string request_id_;
    std::string host_;
    std::string path_; ///< Without the query.
    std::string key_;  ///< Empty if none was sent; never logged.
    std::optional<millis> time_left_;
    std::string model_; ///< Empty for a plain service.
    std::string adapter_;
    std::int64_t prompt_tokens_{};
    std::int64_t output_tokens_{}; ///< Most tokens that may be generated.
    bool has_token_counts_{};
    std::vector<prompt_part> prompt_parts_; ///< In the order of the prompt.
    std::optional<std::int64_t> output_tokens_hint_;
    std::string resume_after_; ///< Id of the last event that the caller has; empty: from the start.
};

/// \brief What an upstream's answer says about itself.
struct response_attributes {
    std::string request_id_;    ///< Empty if the upstream echoed none.
    bool not_run_{};            ///< The upstream states that it did not run the request.
    bool has_response_stamp_{}; ///< Carries the upstream's proof, which callers check.
    bool closes_connection_{};  ///< The upstream closes the connection or is about to leave.
    std::optional<std::int64_t> running_;
    std::optional<std::int64_t> waiting_;
    std::optional<millis> keep_alive_; ///< How long the upstream keeps an idle connection.
};

} // namespace auburnchute
