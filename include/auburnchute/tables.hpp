#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Upper limit of the numbers in the tables and of a VM's memory in MB. It keeps sums over a fleet,
/// and products with the 1,000,000 share units, within 64 bits.
inline constexpr std::int64_t max_table_number = 1'000'000'000'000;

/// \brief Priority class of a route, from the most to the least important.
enum class priority : std::uint8_t { urgent, high, normal, low };

/// \brief Rate limit and weight of a workspace; an entry under `workspaces` in the routes file.
struct workspace_row {
    std::string name_;
    std::int64_t rate_{};    ///< Tokens per second, over all VMs together.
    std::int64_t burst_{};   ///< Bucket capacity in tokens, over all VMs together.
    std::int64_t weight_{1}; ///< Weight of the workspace in fair queueing.

    friend bool operator==(workspace_row const&, workspace_row const&) = default;
};

/// \brief A route: the workspaces that may call a model or a path, the priority and the pool that serves it.
struct route_row {
    std::string name_;
    bool open_{};                         ///< True: callers need no API key.
    std::vector<std::string> workspaces_; ///< Allowed workspaces; empty exactly if `open_`.
    std::string model_;                   ///< Model name; empty for a service route.
    std::string path_;                    ///< Path prefix of a service; empty for a model route.
    std::string pool_;                    ///< Name of the pool that serves the route.
    priority priority_{priority::normal};
    millis deadline_{30'000}; ///< Longest time from the arrival of a request to the start of its answer.
    std::int64_t max_tokens_{1024}; ///< Upper limit and default of `max_tokens` in a request.
    std::int64_t cost_{1};          ///< Tokens charged to the workspace for one service call.
    /// False: a service call needs an `Idempotency-Key` header and is executed at most once.
    bool repeatable_{true};

    friend bool operator==(route_row const&, route_row const&) = default;
};

/// \brief An adapter that can be loaded on top of a base model.
struct adapter_row {
    std::string name_;
    std::int64_t memory_mb_{};

    friend bool operator==(adapter_row const&, adapter_row const&) = default;
};

/// \brief A base model of a pool, with its adapters.
struct model_row {
    std::string name_;
    std::int64_t memory_mb_{};
    std::int64_t min_replicas_{0};
    std::int64_t max_replicas_{1};
    std::int64_t slots_{8};      ///< Requests that one replica serves concurrently.
    millis load_time_{20'000};   ///< Expected time to load a replica from the weight store.
    millis idle_unload_{60'000}; ///< Upper limit of the time after which an idle replica is unloaded.
    std::vector<adapter_row> adapters_;

    friend bool operator==(model_row const&, model_row const&) = default;
};

/// \brief Whether the upstreams of a pool are model engines or plain services.
enum class pool_kind : std::uint8_t { model, service };

/// \brief Whether the availability zones of a pool row are a preference or a requirement.
enum class locality : std::uint8_t { prefer, require };

/// \brief A pool: upstreams that serve a set of models or a service, and the limits on loading models there.
struct pool_row {
    std::string name_;
    pool_kind kind_{pool_kind::model};
    std::vector<std::string> upstreams_;          ///< Names of upstreams; a trailing `*` matches any suffix.
    std::vector<std::string> availability_zones_; ///< Empty: all.
    locality locality_{locality::prefer};
    std::int64_t memory_mb_{}; ///< Limit of the pool's memory on one VM; 0: the VM's memory.
    /// Time after its load during which a replica is neither evicted nor unloaded as idle.
    millis min_residence_{10'000};
    millis aging_{10'000};           ///< Waiting time that raises a request by one priority class.
    std::int64_t outage_permits_{0}; ///< Loads allowed during an outage of the log service; not enforced.
    std::int64_t slots_{16};         ///< Service pools: concurrent calls on one upstream.
    std::vector<model_row> models_;

    friend bool operator==(pool_row const&, pool_row const&) = default;
};

/// \brief Limits of the weight store; the section `store` of the pools file.
struct store_row {
    std::int64_t checkpoint_transfers_{4}; ///< Concurrent loads of base models from the store.
    std::int64_t adapter_transfers_{32};   ///< Concurrent loads of adapters from the store.

    friend bool operator==(store_row const&, store_row const&) = default;
};

/// \brief The routes and pools tables at one version, as published together.
struct tables {
    std::uint64_t version_{}; ///< 0: nothing published yet.
    std::string author_;      ///< Who published this version.
    std::string message_;     ///< The author's description of the change.
    std::vector<workspace_row> workspaces_;
    std::vector<route_row> routes_;
    std::vector<pool_row> pools_;
    store_row store_;
};

/// \brief A validation error in the tables, with its position in the file.
struct table_fault {
    std::string file_;  ///< Empty if the rows were validated without their file.
    int line_{};        ///< From 1; 0 if unknown.
    int column_{};      ///< From 1; 0 if unknown.
    std::string field_; ///< Path of the field, for example `routes[2].pool`; empty for the whole file.
    std::string message_;
};

/// \brief Validates each row and the references between rows: duplicate or unknown names, routes to missing
/// pools or models, numbers out of range, models that need more memory than their pool may use.
/// \returns All faults, without file, line and column; empty if the tables are valid. Thread safety: pure.
[[nodiscard]] std::vector<table_fault> validate(tables const& all);

/// \returns True if both have equal rows in the same order; version, author and message are not compared.
/// Thread safety: pure.
[[nodiscard]] bool same_rows(tables const& a, tables const& b) noexcept;

/// \returns The first row with this name, or null. Valid as long as the row itself. Thread safety: pure.
[[nodiscard]] workspace_row const* find_workspace(tables const& all, std::string_view name) noexcept;
[[nodiscard]] route_row const* find_route(tables const& all, std::string_view name) noexcept;
[[nodiscard]] pool_row const* find_pool(tables const& all, std::string_view name) noexcept;
[[nodiscard]] model_row const* find_model(pool_row const& pool, std::string_view name) noexcept;
[[nodiscard]] adapter_row const* find_adapter(model_row const& model, std::string_view name) noexcept;

/// \brief The two parts of a requested model name, `base` or `base:adapter`.
struct model_name {
    std::string base_;
    std::string adapter_; ///< Empty: the base model itself.
};

/// \brief Splits a requested model name at its first colon. Thread safety: pure.
[[nodiscard]] model_name split_model_name(std::string_view requested);

/// \returns True if the upstream's name equals one of the patterns or begins with one that ends in `*`.
/// Thread safety: pure.
[[nodiscard]] bool matches_upstream(std::span<std::string const> patterns,
                                    std::string_view upstream) noexcept;

/// \returns The value's name as it stands in the YAML files. Thread safety: pure.
[[nodiscard]] std::string_view to_string(priority value) noexcept;
[[nodiscard]] std::string_view to_string(pool_kind value) noexcept;
[[nodiscard]] std::string_view to_string(locality value) noexcept;

} // namespace auburnchute
