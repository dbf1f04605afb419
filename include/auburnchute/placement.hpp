#pragma once

#include <auburnchute/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace auburnchute {

/// \brief A model with adapter in a pool.
struct model_key {
    std::string pool_;
    std::string model_;
    std::string adapter_;

    friend auto operator<=>(model_key const&, model_key const&) = default;
};

/// \brief Demand for a model, summed over daemons.
struct model_demand {
    std::int64_t waiting_{};
    std::int64_t running_{};
    millis oldest_wait_{};
    priority highest_{priority::low};
    millis last_used_{};              ///< When a request last ran or waited.
    millis mean_interval_{3'600'000}; ///< Smoothed time between bursts; kept by `note_arrival`.
};

/// \brief What an upstream holds in its caches, from its events; may be late and incomplete.
struct cached_weights {
    std::map<std::string, load_source> by_model_; ///< `base` or `base:adapter`.
};

/// \brief A load that failed; for a while its upstream comes last for the same model.
struct failed_load {
    std::string upstream_;
    std::string model_;
    std::string adapter_;
    millis at_{};
};

/// \brief How long a failed load counts against its upstream.
inline constexpr millis failed_load_retention{60'000};

/// \brief All that a placement decision looks at.
struct placement_input {
    fleet_state const& state_;
    std::map<model_key, model_demand> const& demand_;
    std::map<std::string, cached_weights> const& caches_;     ///< By upstream.
    std::map<std::string, std::int64_t> const& replica_load_; ///< Running requests by replica id.
    std::map<std::string, millis> const& last_used_;          ///< By replica id.
    std::map<std::string, millis> const& loaded_at_; ///< By replica id, by this daemon's clock; a replica
                                                     ///< without an entry counts as just loaded.
    std::span<std::string const> leaving_;           ///< Upstreams that are leaving by any evidence.
    member_id self_;
    millis now_{};
    std::span<failed_load const> failed_{}; ///< Loads that failed within `failed_load_memory`.
};

/// \brief A record to write to the log. `load_failed` gives up a load whose executor is gone: nobody else
/// would report its end.
using placement_action = std::variant<load_decided, unload_decided, load_failed>;

/// \brief Plans loads and unloads for one pool.
/// \returns The records to propose, most urgent first; the fold accepts or rejects each. Thread safety: pure.
///
/// At most one load of a model is in flight unless the demand exceeds what that replica will carry. Loads
/// from the store stay within the bounds of the pools table. A replica younger than `min_residence` is not
/// unloaded. \param next_replica Number for the ids of new replicas, unique for this member; raised for each
/// load.
[[nodiscard]] std::vector<placement_action> plan_pool(placement_input const& input, pool_row const& pool,
                                                      std::uint64_t& next_replica);

/// \brief Books an arrival for a base model or its adapters, on the demand of the base model. Only gaps
/// longer than the load time count as intervals: the requests of one burst say nothing on when the next one
/// comes.
void record_arrival(model_demand& demand, model_row const& model, millis now) noexcept;

/// \brief Plans the unloads of replicas whose pool left the tables. One member does it for the fleet.
/// \returns The records to propose. Thread safety: pure.
[[nodiscard]] std::vector<placement_action> plan_removed_pools(placement_input const& input);

/// \returns How long an idle replica is kept: the row's `idle_unload` if the model's bursts come more often
/// than that on average, else its load time, but at most `idle_unload`. Thread safety: pure.
[[nodiscard]] millis replica_idle_timeout(model_row const& model, millis mean_interval) noexcept;

} // namespace auburnchute
