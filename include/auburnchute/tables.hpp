#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Largest number that a row or a VM may state. Sums over a fleet, and products with the 1,000,000
/// share units, stay within 64 bits.
inline constexpr std::int64_t max_table_number = 1'000'000'000'000;

/// \brief Priority classes of routes, most important first.
enum class priority : std::uint8_t { urgent, high, normal, low };

/// \brief A workspace's limits, a row of the routes table's `workspaces` section.
struct workspace_row {
    std::string name_;
    std::int64_t rate_{};    ///< Tokens per second across all VMs together.
    std::int64_t burst_{};   ///< Tokens that may be used at once across all VMs together.
    std::int64_t weight_{1}; ///< Share of waiting capacity against other workspaces.

    friend bool operator==(workspace_row const&, workspace_row const&) = default;
};

/// \brief Says who may call which model or path, at what priority and by which pool it is served.
struct route_row {
    std::string name_;
    bool open_{};                         ///< Open to all: no key is needed.
    std::vector<std::string> workspaces_; ///< Allowed workspaces; empty exactly if `open_`.
    std::string model_;                   ///< Model name; empty for a service route.
    std::string path_;                    ///< Path prefix of a service; empty for a model route.
    std::string pool_;
    priority priority_{priority::normal};
    millis deadline_{30'000};       ///< Longest time from arrival to the start of the answer.
    std::int64_t max_tokens_{1024}; ///< Upper limit and default of a request's `max_tokens`.
    std::int64_t cost_{1};          ///< Tokens charged for a service call.
    bool repeatable_{true}; ///< False: `Idempotency-Key` is required and the call is made at most once.

    friend bool operator==(route_row const&, route_row const&) = default;
};

/// \brief An adapter of a model.
struct adapter_row {
    std::string name_;
    std::int64_t memory_mb_{};

    friend bool operator==(adapter_row const&, adapter_row const&) = default;
};

/// \brief A model that a pool may load.
struct model_row {
    std::string name_;
    std::int64_t memory_mb_{};
    std::int64_t min_replicas_{0};
    std::int64_t max_replicas_{1};
    std::int64_t slots_{8};      ///< Requests that one replica serves at the same time.
    millis load_time_{20'000};   ///< Expected load time from the store.
    millis idle_unload_{60'000}; ///< Longest time that an idle replica is kept.
    std::vector<adapter_row> adapters_;

    friend bool operator==(model_row const&, model_row const&) = default;
};

/// \brief What stands behind a pool.
enum class pool_kind : std::uint8_t { model, service };

/// \brief Whether the availability zones of a pool row are a preference or a requirement.
enum class locality : std::uint8_t { prefer, require };

/// \brief Says where and how much may be loaded.
struct pool_row {
    std::string name_;
    pool_kind kind_{pool_kind::model};
    std::vector<std::string> upstreams_;          ///< Upstream names; a trailing `*` matches any suffix.
    std::vector<std::string> availability_zones_; ///< Empty: all.
    locality locality_{locality::prefer};
    std::int64_t memory_mb_{};     ///< Limit of the pool's reservations on one VM; 0: the VM's memory.
    millis min_residence_{10'000}; ///< A loaded replica is kept at least this long.
    millis aging_{10'000};         ///< A waiting request rises one priority class for each such time waited.
    std::int64_t outage_permits_{0}; ///< Loads that may start while the log service is down.
    std::int64_t slots_{16};         ///< For services: calls at the same time on one upstream.
    std::vector<model_row> models_;

    friend bool operator==(pool_row const&, pool_row const&) = default;
};

/// \brief Limits of the weight store, one row of the pools table.
struct store_row {
    std::int64_t checkpoint_transfers_{4};
    std::int64_t adapter_transfers_{32};

    friend bool operator==(store_row const&, store_row const&) = default;
};

/// \brief Both tables at one version.
struct tables {
    std::uint64_t version_{}; ///< 0: nothing published yet.
    std::string author_;
    std::string message_;
    std::vector<workspace_row> workspaces_;
    std::vector<route_row> routes_;
    std::vector<pool_row> pools_;
    store_row store_;
};

/// \brief A fault found in a table.
struct table_fault {
    std::string file_;
    int line_{}; ///< From 1; 0 if the fault has no single place.
    int column_{};
    std::string field_; ///< Path of the field, for example `routes[2].pool`.
    std::string message_;
};

/// \brief Checks the rows against each other: doubled or unknown names, routes to missing pools, negative or
/// zero limits, pools over their own limits. Lines are not known here and stay 0.
/// \returns All faults; empty if the tables are valid. Thread safety: pure.
[[nodiscard]] std::vector<table_fault> validate(tables const& all);

/// \returns True if both hold the same rows; version, author and message are not compared. Thread safety:
/// pure.
[[nodiscard]] bool same_rows(tables const& a, tables const& b) noexcept;

/// \returns The row with that name, or null. Thread safety: pure.
[[nodiscard]] workspace_row const* find_workspace(tables const& all, std::string_view name) noexcept;
[[nodiscard]] route_row const* find_route(tables const& all, std::string_view name) noexcept;
[[nodiscard]] pool_row const* find_pool(tables const& all, std::string_view name) noexcept;
[[nodiscard]] model_row const* find_model(pool_row const& pool, std::string_view name) noexcept;
[[nodiscard]] adapter_row const* find_adapter(model_row const& model, std::string_view name) noexcept;

/// \brief A requested model name, `base` or `base:adapter`, in its two parts.
struct model_name {
    std::string base_;
    std::string adapter_;
};

/// \brief Splits a requested model name at the first colon. Thread safety: pure.
[[nodiscard]] model_name split_model_name(std::string_view requested);

/// \returns True if the upstream's name matches one of the patterns. Thread safety: pure.
[[nodiscard]] bool matches_upstream(std::span<std::string const> patterns,
                                    std::string_view upstream) noexcept;

[[nodiscard]] std::string_view to_string(priority value) noexcept;
[[nodiscard]] std::string_view to_string(pool_kind value) noexcept;
[[nodiscard]] std::string_view to_string(locality value) noexcept;

} // namespace auburnchute
