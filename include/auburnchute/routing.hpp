#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace auburnchute {

/// \brief An upstream that may take a request, with its load as far as this daemon knows it.
struct routing_candidate {
    std::string_view upstream_;
    std::string_view availability_zone_;
    std::int64_t reported_requests_{}; ///< Running and waiting requests in the upstream's last load report.
    std::int64_t own_requests_since_report_{}; ///< Running requests of this daemon that the report does not
                                               ///< count.
    std::int64_t slots_{1};                    ///< Requests that the upstream runs at a time.
    bool accepts_work_{true};                  ///< False: leaving, drained or unreachable.
    bool runs_suspect_{}; ///< Runs a request that is isolated because it may crash its upstream.
};

/// \brief The properties of a request that decide to which upstream it is routed.
struct routing_request {
    std::uint64_t prefix_hash_{};  ///< Hash of the prompt's prefix; equal prefixes prefer the same upstream.
    std::uint64_t request_hash_{}; ///< Makes daemons that hold the same stale report choose differently.
    std::string_view availability_zone_;
    bool zone_required_{}; ///< Only upstreams in `availability_zone_` are eligible.
    bool isolated_{};      ///< The request may crash its upstream, so it must not share one with another such
                           ///< request.
    std::string_view avoid_;          ///< Upstream on which the request last failed; empty: none.
    std::int64_t sending_daemons_{1}; ///< Daemons that send to these upstreams. Each is assumed to have sent
                                      ///< as many requests since the report as this one; without this, the
                                      ///< overload after a report of 2 s age was about 2.5 times as high
                                      ///< (docs/measurements/fairness.md).
};

/// \returns Index of the upstream that the request is routed to; none if no candidate is eligible and has a
/// free slot. Thread safety: pure.
///
/// Compares a few candidates that are sampled by hash instead of all of them, so that daemons with the same
/// stale report do not all send to the least loaded upstream.
[[nodiscard]] std::optional<std::size_t> pick_upstream(std::span<routing_candidate const> candidates,
                                                       routing_request const& request) noexcept;

} // namespace auburnchute
