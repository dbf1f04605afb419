#pragma once

#include <auburnchute/retry.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Content type of a problem's JSON form.
inline constexpr std::string_view problem_content_type = "application/problem+json";

/// \brief A refusal or failure as told to a caller, after RFC 9457.
struct problem {
    int status_{500};
    std::string type_; ///< For example `rate-limited`, shown as `urn:auburnchute:problem:rate-limited`.
    std::string title_;
    std::string detail_;
    execution execution_{execution::not_run};
    std::string row_; ///< For example `routes/build-review@3`; empty if no row was reached.
    std::string step_;
    std::string peer_; ///< Empty if no peer is involved.
    std::string request_id_;
    std::int64_t retry_after_s_{-1}; ///< Shown also as the header `Retry-After`; -1: none.
};

/// \returns The name of the value in JSON: `not_run`, `ran` or `unknown`. Thread safety: pure.
[[nodiscard]] std::string_view to_string(execution value) noexcept;

/// \returns The JSON object; empty members are left out, and bytes that are not UTF-8 are replaced.
/// Thread safety: pure.
[[nodiscard]] std::string to_json(problem const& shown);

} // namespace auburnchute
