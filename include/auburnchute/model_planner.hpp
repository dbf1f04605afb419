#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/fleet_config.hpp>
#include <auburnchute/model_need.hpp>
#include <auburnchute/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Request rate, in requests per second, below which a model or adapter without waiting requests
/// counts as not in demand.
inline constexpr double min_need_rate = 0.02;

/// \brief Where an engine reads the weights of a model from: its memory cache, its disk or the weight store.
enum class weights_source : std::uint8_t { memory, disk, store };

/// \brief State of one engine, as input of the planner.
struct engine_state {
    std::string id_;
    std::map<std::string, loaded_model, std::less<>> models_; ///< Loaded and usable.
    std::set<std::string, std::less<>> retiring_;             ///< Loaded models that are being unloaded.
    std::string loading_;                                     ///< Model that is being loaded; empty if none.
    std::string reserved_for_;        ///< Model for which memory is being freed; empty if none.
    bool busy_{};                     ///< Accepts no order now.
    millis available_in_{};           ///< If busy: expected time until it accepts an order.
    bool leaving_{};                  ///< Draining: gets no new model or adapter.
    std::int64_t adapters_pending_{}; ///< Adapters being loaded; they occupy slots already.
    std::int64_t running_{};          ///< Requests in progress, summed over all VMs.
    std::set<std::string, std::less<>> weights_in_memory_;
    std::set<std::string, std::less<>> weights_on_disk_;
    std::map<std::string, millis, std::less<>> loaded_at_; ///< When each model became usable, if known.
};

/// \brief Limits on the loads from the weight store that a plan may start.
struct store_allowance {
    int permitted_starts_{}; ///< Loads that may start now.
    int running_{};          ///< Loads from the store in progress.
    int max_concurrent_{};   ///< Concurrent loads that the store serves at full speed.
};

enum class placement_step : std::uint8_t { load_model, unload_model, load_adapter, unload_adapter };

/// \brief One order to send to an engine now.
struct planned_order {
    std::string upstream_id_;
    placement_step step_{};
    std::string model_;
    std::string adapter_{};
    weights_source from_{weights_source::store}; ///< For `load_model`: source of the weights.
    std::string room_for_{};                     ///< For `unload_model`: model that needs the freed memory.
    std::string_view reason_{};                  ///< Reason that is written to the log.
};

struct planner_input {
    std::string_view service_;
    engine_profile const& engine_;
    std::span<engine_state const> engines_;
    need_map const& needs_; ///< Demand, summed over all VMs.
    store_allowance store_;
    millis now_;
};

/// \brief Plans the load and unload orders for the engines of one service.
///
/// Serves two workloads: many models with rare requests, and a few busy models that change during the day.
/// Models with waiting requests are loaded first, by priority and then by the longest wait; then replicas of
/// busy models; then models without requests. The latter go into free memory or, if no engine has a local
/// copy of the weights, replace an idle model that its engine can reload locally: their first request would
/// otherwise wait for the weight store, which takes several times as long as an engine's disk. To free
/// memory for a needed model, the models with the lowest value are unloaded first, and only those of clearly
/// lower value than the model to be loaded. The memory and the adapter slots of an engine are never
/// overcommitted.
///
/// \returns Orders for adapters, then at most one order for a model per engine: first loads into memory that
/// an earlier plan freed, then the others, most urgent first. Thread safety: pure.
[[nodiscard]] std::vector<planned_order> plan_models(planner_input const& input);

/// \returns Time to load the model from the given source at full speed. Thread safety: pure.
[[nodiscard]] millis load_time(hosted_model const& model, weights_source from) noexcept;

} // namespace auburnchute
