#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/upstream.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief Key of a model of a service, or of one of its adapters.
struct need_key {
    std::string service_;
    std::string model_;
    std::string adapter_; ///< Empty for the model itself.

    friend auto operator<=>(need_key const&, need_key const&) = default;
};

/// \brief Current demand for a model or adapter.
struct model_need {
    std::int64_t waiting_{};  ///< Requests that wait for it to be loaded.
    std::int64_t running_{};  ///< Requests in progress.
    double rate_{};           ///< Requests per second, smoothed.
    std::int64_t urgency_{9}; ///< Highest priority among the waiting requests; 0 is the highest.
    millis oldest_wait_{};    ///< Age of the oldest waiting request.

    friend bool operator==(model_need const&, model_need const&) = default;
};

/// \brief Demand by model and adapter.
using need_map = std::map<need_key, model_need>;

/// \brief Adds the demand reported by another VM to the sum.
void add_need(model_need& sum, model_need const& more) noexcept;

/// \brief A load in progress.
struct pending_load {
    std::string model_;
    std::string adapter_;
    millis remaining_{}; ///< Expected time until it is usable.

    friend bool operator==(pending_load const&, pending_load const&) = default;
};

/// \brief Models and adapters of an upstream as known to the holder of the order lease. Between two
/// starts of the upstream only the holder's orders change them, so this is never older than the upstream's
/// own entry.
struct upstream_placement {
    std::string upstream_id_;
    std::int64_t started_at_{};
    std::map<std::string, loaded_model, std::less<>> models_;
    std::set<std::string, std::less<>> retiring_; ///< Models being unloaded; they get no new requests.
    std::vector<pending_load> loading_;

    friend bool operator==(upstream_placement const&, upstream_placement const&) = default;
};

/// \returns Whether an upstream may be sent requests for the model and adapter. Thread safety: pure.
/// \param placement Placement of this upstream, or null; ignored if it describes another start of the
/// upstream.
[[nodiscard]] bool is_usable(upstream const& entry, upstream_placement const* placement,
                             std::string_view model, std::string_view adapter) noexcept;

} // namespace auburnchute
