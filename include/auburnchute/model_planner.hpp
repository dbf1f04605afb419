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

/// \brief Rate, in requests a second, below which a model or adapter that nobody waits for is not asked for
/// any more.
inline constexpr double least_need_rate = 0.02;

/// \brief Where an upstream gets the weights of a load from.
enum class weights_from : std::uint8_t { memory, disk, store };

/// \brief An engine as the planner sees it.
struct engine_state {
    std::string id_;
    std::map<std::string, loaded_model, std::less<>> models_; ///< Loaded and usable.
    std::set<std::string, std::less<>> retiring_;             ///< Of those, the ones that are being unloaded.
    std::string loading_;                                     ///< Model that is being loaded; empty: none.
    std::string reserved_for_;        ///< Model for which room is being made here; empty: none.
    bool busy_{};                     ///< Takes no order for a model now.
    millis free_in_{};                ///< If busy: when it should take the next one.
    bool leaving_{};                  ///< Gets no new model.
    std::int64_t adapters_pending_{}; ///< Adapters on their way, which take places already.
    std::int64_t running_{};          ///< Requests under way there, all VMs together.
    std::set<std::string, std::less<>> weights_in_memory_;
    std::set<std::string, std::less<>> weights_on_disk_;
    std::map<std::string, millis, std::less<>> loaded_at_; ///< By model: when it became usable, if known.
};

/// \brief What a plan may use of the weight store now.
struct store_allowance {
    int starts_{};       ///< Loads that may begin.
    int running_{};      ///< Loads under way.
    int most_at_once_{}; ///< Loads that run at full speed at the same time.
};

enum class placement_step : std::uint8_t { load_model, unload_model, load_adapter, unload_adapter };

/// \brief One order that should be given now.
struct planned_order {
    std::string upstream_id_;
    placement_step step_{};
    std::string model_;
    std::string adapter_{};
    weights_from from_{weights_from::store}; ///< Of `load_model`.
    std::string room_for_{};                 ///< Of `unload_model`: the model that takes the room.
    std::string_view reason_{};              ///< A word for the log.
};

struct planner_input {
    std::string_view service_;
    engine_profile const& engine_;
    std::span<engine_state const> engines_;
    need_map const& needs_; ///< Over all VMs.
    store_allowance store_;
    millis now_;
};

/// \brief Plans the orders for the engines of one service.
///
/// Answers two loads: many rare models of which each is asked for now and then, and few busy models that
/// change during the day. Models that somebody waits for come first, the most urgent and then the longest
/// waits first, then replicas of busy ones, then models that nobody has asked for yet: into free memory, or,
/// if no engine has a copy of the weights, in place of an idle model that stays on the engine's disk. A first
/// request for them would wait for the weight store, which takes several times as long as an engine's disk.
/// The least wanted models make room, never one that is wanted more than the one that needs the room. Memory
/// and adapter places of an engine are never overcommitted.
///
/// \returns At most one order for a model of each engine, most urgent first. Thread safety: pure.
[[nodiscard]] std::vector<planned_order> plan_models(planner_input const& input);

/// \returns How long a load takes at full speed. Thread safety: pure.
[[nodiscard]] millis load_time(hosted_model const& model, weights_from from) noexcept;

} // namespace auburnchute
