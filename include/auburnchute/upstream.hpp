#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief A model that an upstream holds, with its adapters.
struct loaded_model {
    std::int64_t version_{}; ///< Version of the weights.
    std::set<std::string, std::less<>> adapters_;

    friend bool operator==(loaded_model const&, loaded_model const&) = default;
};

/// \brief One process of an upstream as it registered itself.
struct upstream {
    std::string id_; ///< New at most starts.
    std::string service_;
    std::string address_; ///< `IP:PORT`; another service may get it later.
    std::string availability_zone_;
    std::int64_t slots_{1};
    bool leaving_{};
    std::int64_t started_at_{}; ///< Unix milliseconds; tells two starts under one id apart.
    std::map<std::string, loaded_model, std::less<>> models_;
    std::set<std::string, std::less<>> weights_in_memory_; ///< Copies from which a load is fast.
    std::set<std::string, std::less<>> weights_on_disk_;

    friend bool operator==(upstream const&, upstream const&) = default;
};

/// \brief Upstreams by id.
using upstream_map = std::map<std::string, upstream, std::less<>>;

/// \returns Whether the upstream holds the model and, if one is named, the adapter. Thread safety: pure.
[[nodiscard]] inline bool has_model(upstream const& on, std::string_view model,
                                    std::string_view adapter) noexcept
{
    auto const found = on.models_.find(model);
    return found != on.models_.end() && (adapter.empty() || found->second.adapters_.contains(adapter));
}

} // namespace auburnchute
