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

/// \brief A model of a service, or an adapter of it.
struct need_key {
    std::string service_;
    std::string model_;
    std::string adapter_; ///< Empty: the model itself.

    friend auto operator<=>(need_key const&, need_key const&) = default;
};

/// \brief How much a model or adapter is asked for.
struct model_need {
    std::int64_t waiting_{}; ///< Requests that wait for it to be loaded.
    std::int64_t running_{};
    double rate_{};           ///< Requests a second, smoothed.
    std::int64_t urgency_{9}; ///< Most urgent priority among those that wait; 0 first.
    millis oldest_wait_{};    ///< Age of the oldest request that waits.

    friend bool operator==(model_need const&, model_need const&) = default;
};

/// \brief Needs by model and adapter.
using need_map = std::map<need_key, model_need>;

/// \brief Adds the need that another VM reports.
void add_need(model_need& sum, model_need const& more) noexcept;

/// \brief A load under way.
struct pending_load {
    std::string model_;
    std::string adapter_;
    millis remaining_{}; ///< Until it should be usable.

    friend bool operator==(pending_load const&, pending_load const&) = default;
};

/// \brief What an upstream holds as the holder of the placement lease knows it. Only its orders change that
/// between two starts, so it is never behind the upstream's own entry.
struct placement_notice {
    std::string upstream_id_;
    std::int64_t started_at_{};
    std::map<std::string, loaded_model, std::less<>> models_;
    std::set<std::string, std::less<>> retiring_; ///< Models that get no new requests.
    std::vector<pending_load> loading_;

    friend bool operator==(placement_notice const&, placement_notice const&) = default;
};

/// \returns Whether an upstream may be sent requests for the model and adapter. Thread safety: pure.
/// \param notice Of this upstream, or null.
[[nodiscard]] bool is_usable(upstream const& entry, placement_notice const* notice, std::string_view model,
                             std::string_view adapter) noexcept;

} // namespace auburnchute
