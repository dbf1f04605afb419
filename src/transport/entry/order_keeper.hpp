#pragma once

#include "platform/json_codec.hpp"
#include "protocol/entry_settings.hpp"
#include "protocol/metrics.hpp"
#include "transport/entry/async.hpp"
#include "transport/entry/entry_view.hpp"
#include "transport/entry/http_peer.hpp"

#include <auburnchute/model_need.hpp>
#include <auburnchute/model_planner.hpp>
#include <auburnchute/order_lease.hpp>
#include <auburnchute/upstream_signals.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnchute {

struct entry_node;

/// \brief Model demand of all VMs, as known to one VM.
struct fleet_demand {
    need_map needs_;
    std::map<std::string, std::int64_t, std::less<>> running_;     ///< Requests by upstream id.
    std::map<std::string, upstream_signals, std::less<>> signals_; ///< Of upstreams that sent any, by id.
};

/// \returns What all VMs ask for, as this VM knows it. Thread safety: the thread that owns the node.
[[nodiscard]] fleet_demand compose_demand(entry_node& node, millis now);

/// \brief What the holder of the lease tells the daemons.
struct placement_report {
    std::uint64_t epoch_{}; ///< 0: this VM does not hold the lease.
    store_position lease_end_{};
    millis orders_from_{}; ///< Boot clock.
    std::vector<upstream_placement> placements_;
};

/// \brief What the holder knows of an engine.
struct engine_record {
    engine_state state_;
    std::string service_;
    std::int64_t started_at_{};
    std::int64_t orders_{}; ///< Orders that it has accepted.
    std::shared_ptr<http_peer> peer_;
    bool calling_{};          ///< A call is under way.
    bool certain_{};          ///< A report was read since the last order without an answer.
    millis next_report_at_{}; ///< 0: none is due.
    millis order_began_{};    ///< Of the order for a model that is under way.
    millis load_due_{};       ///< When the load that is under way should end.
    weights_source loading_from_{weights_source::store};
    int store_loads_then_{};   ///< Loads from the store under way when this one began, itself included.
    millis reserved_at_{};     ///< When room began to be made for a model.
    millis changed_at_{};      ///< Last change by an order.
    upstream_signals signals_; ///< From its answers to orders and probes.
};

/// \brief Keeps the lease and, while it holds, the models on the engines.
///
/// Thread safety: lives on the control loop's thread; `report_` and `signals_noticed_` are called there.
struct order_keeper {
    net::io_context& loop_;
    entry_settings const& settings_;
    shared_view& shared_;
    metrics& counters_;
    std::function<void(placement_report)> report_;
    /// Called with what an engine's answer says of its process.
    std::function<void(std::string const& upstream_id, std::int64_t started_at, answer_signals)>
        signals_noticed_{};
    std::shared_ptr<fleet_demand const> demand_{std::make_shared<fleet_demand const>()};
    lease_view lease_{};
    std::map<std::string, engine_record, std::less<>> engines_{};
    std::deque<millis> store_loads_{}; ///< When loads from the store began, within the limit's window.
    int max_concurrent_{4};            ///< Loads that run at full speed; follows what loads take.
    std::unique_ptr<wake_event> wake_{};
    bool was_holder_{};
    bool store_failed_{};          ///< The last call about the lease failed.
    millis store_answers_since_{}; ///< When one succeeded again after that; 0: none ever failed.
    bool leaving_{};               ///< The VM stops: it takes no lease any more.
};

/// \brief Starts until the loop stops. \pre `keeper` outlives the loop's work.
void start_keeping(order_keeper& keeper, std::uint64_t incarnation);

/// \brief Gives the lease up for good: the VM stops. Thread safety: the control loop's thread.
void give_up_lease(order_keeper& keeper);

/// \brief Applies the end offset of the lease's topic that the holder reported in a message. Thread safety:
/// the control loop's thread.
void take_lease_end(order_keeper& keeper, store_position end);

/// \brief Takes over what the VMs ask for. Thread safety: the control loop's thread.
void take_demand(order_keeper& keeper, std::shared_ptr<fleet_demand const> demand);

} // namespace auburnchute
