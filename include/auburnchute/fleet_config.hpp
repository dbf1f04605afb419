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

/// \brief Whether the requests of a route may be repeated, and whether their responses are streams.
enum class route_type : std::uint8_t {
    safe,   ///< May run any number of times.
    unsafe, ///< Runs at most once.
    stream, ///< Responds with server-sent events; runs at most once unless the route is resumable.
};

/// \brief A service and the weight of its part of a route's traffic.
struct weighted_service {
    std::string service_;
    std::int64_t weight_{1};
};

/// \brief Maps the requests of a host and path prefix to services, with their time limits and priority.
struct request_route {
    std::string name_;
    std::string host_;
    std::string path_prefix_; ///< Begins and ends with a slash.
    route_type kind_{route_type::unsafe};
    millis timeout_{};        ///< Time limit of a request; a caller may state a shorter one.
    millis target_latency_{}; ///< Target time to the response, or to the first event of a stream.
    /// Callers abandon a stream that pauses this long before or between its events; 0: unknown.
    millis caller_stall_timeout_{};
    std::int64_t priority_{}; ///< 0 is the most urgent.
    std::vector<weighted_service> services_;
    int max_upstreams_{1}; ///< Most upstreams to which one request is sent, retries included.
    bool open_{};          ///< Requests need no API key.
    bool resumable_{};     ///< An interrupted stream may continue at another upstream.
};

/// \brief A model that the engines of a service can load.
struct hosted_model {
    std::string name_;
    std::int64_t memory_mb_{};
    std::int64_t adapter_mb_{};         ///< Memory of one adapter.
    millis store_load_time_{};          ///< From the weight store, without concurrent transfers.
    millis disk_load_time_{};           ///< From the upstream's own disk.
    millis memory_load_time_{};         ///< From the upstream's own memory cache.
    std::vector<std::string> adapters_; ///< Names of the adapters.
};

/// \brief Capacity of each model engine of a service.
struct engine_profile {
    std::int64_t slots_{1};
    std::int64_t kv_tokens_{}; ///< Key-value cache for prompts and running requests, in tokens.
    std::int64_t memory_mb_{}; ///< Memory for model weights and adapters.
    std::int64_t adapter_slots_{};
    double loads_per_second_{}; ///< Most loads from the weight store per second, over all upstreams.
    std::vector<hosted_model> models_;
};

struct service_profile {
    std::string name_;
    std::int64_t max_connections_{64}; ///< Limit for one upstream, over all its clients.
    std::optional<engine_profile> engine_;
};

/// \brief A workspace and its rate limit, which holds over all VMs together.
struct workspace_limit {
    std::string name_;
    std::optional<std::int64_t> priority_; ///< Overrides the route's priority.
    double rate_{};                        ///< Units per second; 0: no limit.
    double burst_{};                       ///< Units that may be spent at once.
    bool in_tokens_{};                     ///< The unit is a token, else a request.
    std::int64_t plain_tokens_{1};         ///< Cost in tokens of a request that states no token counts.
};

/// \brief Limits on the requests and connections of callers.
struct caller_limits {
    std::uint32_t header_bytes_{16 * 1024};
    std::uint64_t body_bytes_{4 * 1024 * 1024};
    millis header_timeout_{3'000};
    millis idle_timeout_{15'000};
};

/// \brief One version of the operator's configuration, which is read and replaced as a whole.
struct fleet_config {
    std::uint64_t version_{};
    bool complete_{true}; ///< Else only the version and the keys are of this version; see `with_keys`.
    std::vector<request_route> routes_;
    std::map<std::string, service_profile, std::less<>> services_;
    std::vector<workspace_limit> workspaces_;
    std::unordered_map<std::string, std::size_t> keys_; ///< API key to index in `workspaces_`.
    caller_limits limits_;
};

/// \brief The version and the API keys of a configuration, without the rest of it.
struct config_keys {
    std::uint64_t version_{};
    std::map<std::string, std::string> keys_; ///< API key to the name of its workspace.
};

/// \returns The configuration with other keys, as far as it has their workspaces, and their version. It is
/// not complete: a route or key that it lacks may exist. Thread safety: pure.
[[nodiscard]] fleet_config with_keys(fleet_config config, config_keys const& newer);

/// \brief Finds the route of the host whose path prefix is the longest that matches.
/// \returns Null if no route matches. Thread safety: pure.
[[nodiscard]] request_route const* match_route(fleet_config const& config, std::string_view host,
                                               std::string_view path) noexcept;

/// \brief Chooses one of the route's services in proportion to their weights.
/// \param request_hash A hash of the request id; equal hashes give the same service on every VM.
/// \returns Empty if the route has no service. Thread safety: pure.
[[nodiscard]] std::string_view choose_service(request_route const& route,
                                              std::uint64_t request_hash) noexcept;

/// \returns Whether a route of streams leads to the service. Thread safety: pure.
[[nodiscard]] bool has_streams(fleet_config const& config, std::string_view service) noexcept;

/// \returns The engine of the service, or null for a plain or unknown service. Thread safety: pure.
[[nodiscard]] engine_profile const* find_engine(fleet_config const& config,
                                                std::string_view service) noexcept;

/// \returns The model, or null if the engine cannot load it. Thread safety: pure.
[[nodiscard]] hosted_model const* find_hosted_model(engine_profile const& engine,
                                                    std::string_view name) noexcept;

} // namespace auburnchute
