#pragma once

#include <auburnchute/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace auburnchute {

/// \brief Identifies a base model, or one of its adapters, within a pool.
struct model_key {
    std::string pool_;
    std::string model_;
    std::string adapter_; ///< Empty for the base model.

    friend auto operator<=>(model_key const&, model_key const&) = default;
};

/// \brief Demand for a base model or an adapter, summed over daemons.
struct model_demand {
    std::int64_t waiting_{}; ///< Queued requests.
    std::int64_t running_{}; ///< Requests in execution.
    millis oldest_wait_{};
    priority highest_{priority::low};
    millis last_used_{};              ///< When a request last ran or waited.
    millis mean_interval_{3'600'000}; ///< Moving average of the time between bursts; see `record_arrival`.
};

/// \brief Weights that an upstream has cached, as reported by its events; may be late and incomplete.
struct cached_weights {
    std::map<std::string, load_source> by_model_; ///< `base` or `base:adapter`.
};

/// \brief A load that failed. Its upstream ranks last for the same model during `failed_load_retention`.
struct failed_load {
    std::string upstream_;
    std::string model_;
    std::string adapter_;
    millis at_{};
};

/// \brief How long a failed load lowers the rank of its upstream.
inline constexpr millis failed_load_retention{60'000};

/// \brief All inputs of a placement decision.
struct placement_input {
    fleet_state const& state_;
    std::map<model_key, model_demand> const& demand_;
    std::map<std::string, cached_weights> const& caches_;     ///< By upstream.
    std::map<std::string, std::int64_t> const& replica_load_; ///< Running requests by replica id.
    std::map<std::string, millis> const& last_used_;          ///< By replica id.
    std::map<std::string, millis> const& loaded_at_; ///< By replica id, by this daemon's clock; a replica
                                                     ///< without an entry counts as just loaded.
    std::span<std::string const> leaving_;           ///< Upstreams that are shutting down or unreachable.
    member_id self_;
    millis now_{};
    std::span<failed_load const> failed_{}; ///< Loads that failed within `failed_load_retention`.
};

/// \brief A record to append to the log. `load_failed` marks a load as failed whose executor is gone and can
/// no longer report the result.
using placement_action = std::variant<load_decided, unload_decided, load_failed>;

/// \brief Plans loads and unloads for one pool.
/// \param next_replica Number for the ids of new replicas, unique for this member; incremented for each
/// planned load.
/// \returns The records to propose: required unloads, then loads by urgency with the unloads that make room
/// for them, then idle unloads. Each is accepted or rejected when it is applied to the fleet state. Thread
/// safety: pure.
///
/// A further replica of a model is planned only if the model's waiting and running requests exceed the slots
/// of its loaded and loading replicas, if it has fewer than `min_replicas`, or if a waiting adapter fits
/// beside none of its loaded replicas. Concurrent loads from the weight store stay within the limits of the
/// pools table. A replica younger than `min_residence` is not unloaded for being idle or to make room.
[[nodiscard]] std::vector<placement_action> plan_pool(placement_input const& input, pool_row const& pool,
                                                      std::uint64_t& next_replica);

/// \brief Records an arrival for a base model or one of its adapters in the demand of the base model.
/// Intervals up to the model's load time belong to one burst and do not change `mean_interval_`, which
/// estimates the time until the next burst.
void record_arrival(model_demand& demand, model_row const& model, millis now) noexcept;

/// \brief Plans the unloads of replicas whose pool was removed from the tables. Any member may plan them;
/// only the first proposal for a replica is accepted.
/// \returns The records to propose. Thread safety: pure.
[[nodiscard]] std::vector<placement_action> plan_removed_pools(placement_input const& input);

/// \returns How long an idle replica is kept: the row's `idle_unload` if the mean interval between bursts
/// does not exceed it, else the model's load time, but at most `idle_unload`. Thread safety: pure.
[[nodiscard]] millis replica_idle_timeout(model_row const& model, millis mean_interval) noexcept;

} // namespace auburnchute
