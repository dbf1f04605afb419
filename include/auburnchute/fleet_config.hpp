#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnchute {

/// \brief What may be repeated of a call.
enum class route_type : std::uint8_t {
    safe,   ///< May run any number of times.
    unsafe, ///< Runs at most once.
    stream, ///< Server-sent events; runs at most once unless the route is resumable.
};

/// \brief One share of a route's traffic.
struct weighted_service {
    std::string service_;
    std::int64_t weight_{1};
};

/// \brief Which calls go to which service, and what their callers are promised.
struct request_route {
    std::string name_;
    std::string host_;
    std::string path_prefix_; ///< Begins and ends with a slash.
    route_type kind_{route_type::unsafe};
    millis timeout_{};             ///< Longest time that a caller is kept waiting.
    millis target_latency_{};      ///< Time to the answer, or to the first event of a stream.
    millis first_event_timeout_{}; ///< Longest pause before or within a stream until which its callers stay;
                                   ///< 0: unknown.
    std::int64_t priority_{};      ///< 0 is the most urgent.
    std::vector<weighted_service> services_;
    int max_upstreams_{1}; ///< Upstreams to which one request may be sent.
    bool open_{};          ///< No key is asked for.
    bool resumable_{};     ///< A stream may go on at another upstream.
};

/// \brief A model that the engines of a service can load.
struct hosted_model {
    std::string name_;
    std::int64_t memory_mb_{};
    std::int64_t adapter_mb_{};
    millis store_load_time_{};          ///< From the weight store, while it is not crowded.
    millis disk_load_time_{};           ///< From the upstream's own disk.
    millis memory_load_time_{};         ///< From the upstream's own memory cache.
    std::vector<std::string> adapters_; ///< Names.
};

/// \brief The model engines of a service.
struct engine_profile {
    std::int64_t slots_{1};
    std::int64_t kv_tokens_{}; ///< Memory for prompts and running requests, in tokens.
    std::int64_t memory_mb_{}; ///< For weights and adapters.
    std::int64_t adapter_slots_{};
    double loads_per_second_{}; ///< Limit of the weight store over all upstreams.
    std::vector<hosted_model> models_;
};

struct service_profile {
    std::string name_;
    std::int64_t max_connections_{64}; ///< Of all callers of one upstream together.
    std::optional<engine_profile> engine_;
};

/// \brief A workspace and its limit over all VMs together.
struct workspace_limit {
    std::string name_;
    std::optional<std::int64_t> priority_; ///< Goes before the route's.
    double rate_{};                        ///< Units a second; 0: no limit.
    double burst_{};                       ///< Units at once.
    bool in_tokens_{};                     ///< The unit is a token; else a request.
    std::int64_t plain_tokens_{1};         ///< Cost of a request that states no token counts.
};

/// \brief Bounds on what a caller may send.
struct caller_limits {
    std::uint32_t header_bytes_{16 * 1024};
    std::uint64_t body_bytes_{4 * 1024 * 1024};
    millis header_timeout_{3'000};
    millis idle_timeout_{15'000};
};

/// \brief One version of what the operator wants, read as a whole.
struct fleet_config {
    std::uint64_t version_{};
    std::vector<request_route> routes_;
    std::map<std::string, service_profile, std::less<>> services_;
    std::vector<workspace_limit> workspaces_;
    std::unordered_map<std::string, std::size_t> keys_; ///< Key to index in `workspaces_`.
    caller_limits limits_;
};

/// \brief Finds the route of a host with the longest prefix of the path.
/// \returns None if no route matches. Thread safety: pure.
[[nodiscard]] request_route const* match_route(fleet_config const& config, std::string_view host,
                                               std::string_view path) noexcept;

/// \brief Chooses the service of a request by the route's weights.
/// \param request_hash A hash of the request: the same request goes to the same service on every VM.
/// \returns Empty if the route has no service. Thread safety: pure.
[[nodiscard]] std::string_view choose_service(request_route const& route,
                                              std::uint64_t request_hash) noexcept;

/// \returns The engine of the service, or none for a plain or unknown service. Thread safety: pure.
[[nodiscard]] engine_profile const* find_engine(fleet_config const& config,
                                                std::string_view service) noexcept;

/// \returns The model, or none if the engine does not know it. Thread safety: pure.
[[nodiscard]] hosted_model const* find_hosted_model(engine_profile const& engine,
                                                    std::string_view name) noexcept;

} // namespace auburnchute
