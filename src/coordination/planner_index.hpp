#pragma once

#include <auburnchute/model_planner.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnchute {

/// \brief The demand for a model and its adapters, summed over all VMs, and its replicas.
struct indexed_model {
    hosted_model const* model_{};
    std::size_t index_{}; ///< Position in the engine profile's list of models.
    double rate_{};       ///< Requests per second.
    std::int64_t waiting_{};
    std::int64_t running_{};
    millis oldest_wait_{};
    std::int64_t urgency_{9}; ///< Highest priority among the waiting requests; 0 is the highest.
    int replicas_{}; ///< Loaded, being loaded or reserved, on engines that are not leaving; without those
                     ///< being unloaded.
    int target_replicas_{};
    bool has_local_copy_{}; ///< An engine that is not leaving has the weights on disk or in memory.
    std::vector<std::size_t>
        loaded_on_{}; ///< Positions of the engines that have it loaded, also while they unload it.
};

/// \returns The model's value for the comparison of evictions, in requests per second: its request rate plus
/// a share for each waiting request. Thread safety of all functions here: pure, except that a mutable index
/// must not be used concurrently.
[[nodiscard]] double model_value(indexed_model const& wanted) noexcept;

/// \brief A model that an engine may unload.
struct eviction_candidate {
    double lost_value_{}; ///< Value lost by the unload, in requests per second.
    std::string_view name_;
    std::optional<std::size_t> model_; ///< Position; none if the configuration no longer names the model.
};

/// \brief An engine's state with models referred to by position.
struct indexed_engine {
    engine_state const* state_{};
    std::int64_t free_mb_{}; ///< Free for models, after the memory of all adapter slots has been reserved.
    double exclusive_adapter_rate_{}; ///< Requests per second for adapters that no other engine can load now.
    bool has_model_order_{};          ///< This plan has an order for a model of the engine.
    std::vector<std::pair<std::string_view, std::optional<std::size_t>>> loaded_models_;
    std::vector<weights_source> weights_sources_; ///< By model: where the engine would read its weights from.
    std::vector<bool> is_loaded_;                 ///< By model.
    std::optional<std::vector<eviction_candidate>>
        eviction_candidates_; ///< In order of lost value; none until computed.
};

/// \brief The models and engines of a service by position, computed once per plan.
struct planner_index {
    std::unordered_map<std::string_view, std::size_t> model_positions_;
    std::vector<indexed_model> models_;   ///< By model.
    std::vector<indexed_engine> engines_; ///< In the input's order.
};

[[nodiscard]] planner_index index_engines(planner_input const& input);

/// \brief Computes the engine's eviction candidates unless they are known already.
/// \returns The models that may be unloaded, lowest lost value first.
std::vector<eviction_candidate> const&
ensure_eviction_candidates(planner_input const& input, planner_index& index, indexed_engine& engine);

/// \brief Adds `by` to a model's replicas and invalidates the eviction candidates of the engines that hold
/// it.
void change_replicas(planner_index& index, std::size_t model, int by);

/// \brief Appends the orders for adapters, at most one per engine.
void plan_adapters(planner_input const& input, planner_index const& index,
                   std::vector<planned_order>& orders);

} // namespace auburnchute
