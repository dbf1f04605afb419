#pragma once

#include <auburnchute/model_planner.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnchute {

/// \brief How much a model is wanted, and where it stands.
struct indexed_model {
    hosted_model const* model_{};
    std::size_t index_{}; ///< Into the profile's models.
    double rate_{};
    std::int64_t waiting_{};
    std::int64_t running_{};
    millis oldest_wait_{};
    std::int64_t urgency_{9}; ///< Most urgent priority among the requests that wait; 0 first.
    int replicas_{};          ///< Loaded or being loaded, not retiring, on engines that stay.
    int target_replicas_{};
    bool has_local_copy_{};                ///< An engine that stays has a copy of the weights.
    std::vector<std::size_t> loaded_on_{}; ///< Engines that have it loaded, retiring or not.
};

/// \returns What the model's requests are worth, in requests a second. Thread safety of all functions: pure,
/// but for those that take a mutable index, whose caller owns it.
[[nodiscard]] double model_value(indexed_model const& wanted) noexcept;

/// \brief A model that an engine could unload.
struct eviction_candidate {
    double lost_value_{}; ///< What that takes away, in requests a second.
    std::string_view name_;
    std::optional<std::size_t> model_; ///< None: the configuration no longer names it.
};

/// \brief An engine in numbers.
struct indexed_engine {
    engine_state const* state_{};
    std::int64_t free_mb_{};          ///< For further models; places for all adapters are kept free.
    double exclusive_adapter_rate_{}; ///< Requests a second for adapters that only this engine can load now.
    bool has_model_order_{};          ///< Has an order for a model in this plan.
    std::vector<std::pair<std::string_view, std::optional<std::size_t>>> loaded_models_;
    std::vector<weights_source> weights_sources_; ///< By model: where it would load it from.
    std::vector<bool> is_loaded_;                 ///< By model.
    std::optional<std::vector<eviction_candidate>> eviction_candidates_; ///< By loss; none: to be worked out.
};

/// \brief The models and engines of a service by number, worked out once for a plan.
struct planner_index {
    std::unordered_map<std::string_view, std::size_t> model_positions_;
    std::vector<indexed_model> models_;   ///< By model.
    std::vector<indexed_engine> engines_; ///< In the input's order.
};

[[nodiscard]] planner_index index_engines(planner_input const& input);

/// \returns The engine's models that may be unloaded, the least wanted first.
std::vector<eviction_candidate> const&
ensure_eviction_candidates(planner_input const& input, planner_index& index, indexed_engine& engine);

/// \brief Books that a model gets one replica more or less.
void change_replicas(planner_index& index, std::size_t model, int by);

/// \brief Plans orders for adapters; appends them.
void plan_adapters(planner_input const& input, planner_index const& index,
                   std::vector<planned_order>& orders);

} // namespace auburnchute
