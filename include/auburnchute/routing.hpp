#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace auburnchute {

/// \brief An upstream that could take a request, with what this daemon knows of its load.
struct routing_candidate {
    std::string_view upstream_;
    std::string_view availability_zone_;
    std::int64_t reported_requests_{};         ///< Running and waiting requests in the last report.
    std::int64_t own_requests_since_report_{}; ///< Requests that this daemon sent after the report's time and
                                               ///< that still run.
    std::int64_t slots_{1};
    bool accepts_work_{true}; ///< False: leaving, drained or unreachable.
    bool runs_suspect_{};     ///< An isolated suspect runs there.
};

struct routing_request {
    std::uint64_t prefix_hash_{};  ///< Hash of the prompt's prefix; equal prefixes prefer the same upstream.
    std::uint64_t request_hash_{}; ///< Spreads daemons that hold the same stale report.
    std::string_view availability_zone_;
    bool zone_required_{};
    bool isolated_{};        ///< The request is a suspect: it must not meet another suspect.
    std::string_view avoid_; ///< The upstream on which it last failed.
    std::int64_t sending_daemons_{
        1}; ///< Daemons that send to these upstreams. Each is taken to have sent as many
            ///< requests since the report as this one; without that, the overload after a
            ///< report of 2 s age was about 2.5 times as high (docs/measurements/fairness.md).
};

/// \returns Index of the upstream that takes the request; none if no candidate has a free slot. Thread
/// safety: pure.
///
/// Samples candidates by hash in place of taking the least loaded one, so that daemons with the same stale
/// report do not all send to one upstream.
[[nodiscard]] std::optional<std::size_t> pick_upstream(std::span<routing_candidate const> candidates,
                                                       routing_request const& request) noexcept;

} // namespace auburnchute
