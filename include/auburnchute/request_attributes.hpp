#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/upstream_load.hpp>
#include <auburnchute/upstream_signals.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief A segment of a prompt that other requests may have in common.
struct prompt_part {
    std::uint64_t id_{};
    std::int64_t tokens_{};
};

/// \brief What the headers of a caller's request state.
struct request_attributes {
    std::string request_id_;
    std::string host_;                ///< Without the port.
    std::string path_;                ///< Without the query.
    std::string key_;                 ///< API key; empty if none was sent. Never logged.
    std::optional<millis> time_left_; ///< Time until the caller's deadline.
    std::string model_;               ///< Empty for a plain service.
    std::string adapter_;             ///< Empty if none is requested.
    std::int64_t prompt_tokens_{};
    std::int64_t output_tokens_{};                   ///< Upper bound of the tokens that may be generated.
    bool has_token_counts_{};                        ///< The request states its prompt and output tokens.
    std::vector<prompt_part> prompt_parts_;          ///< In the order of the prompt.
    std::optional<std::int64_t> output_tokens_hint_; ///< The caller's estimate of the tokens generated.
    std::string resume_after_; ///< Id of the last event that the caller received; empty: from the start.
    std::string stream_id_;    ///< Id of the request that brought the first event of the stream that this one
                               ///< takes up; empty: it names none.
};

/// \brief What the headers of an upstream's response state.
struct response_attributes {
    std::string request_id_;            ///< Empty if the upstream echoed none.
    bool not_run_{};                    ///< The upstream states that it did not run the request.
    bool has_response_stamp_{};         ///< Carries a stamp of the upstream, which callers verify.
    bool closes_connection_{};          ///< The upstream closes the connection after this response.
    std::optional<reported_load> load_; ///< What the upstream tells of its load.
    std::optional<millis> keep_alive_;  ///< How long the upstream keeps an idle connection open.
    answer_signals signals_;
};

} // namespace auburnchute
