#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief A model that is loaded on an upstream, with its loaded adapters.
struct loaded_model {
    std::int64_t version_{}; ///< Version of the weights.
    std::set<std::string, std::less<>> adapters_;

    friend bool operator==(loaded_model const&, loaded_model const&) = default;
};

/// \brief An upstream: one process of a service, as it registered itself.
struct upstream {
    std::string id_; ///< Usually new at each start of the process.
    std::string service_;
    std::string address_; ///< `IP:PORT`; another service may be given the address later.
    std::string availability_zone_;
    /// Version of its software, not of weights. Empty if it states none.
    std::string software_version_;
    std::int64_t slots_{1};     ///< Requests that the upstream runs at a time.
    bool leaving_{};            ///< Draining: takes no new requests.
    std::int64_t started_at_{}; ///< Unix milliseconds; distinguishes two starts under the same id.
    std::map<std::string, loaded_model, std::less<>> models_;
    /// Models whose weights are cached in memory, from which they load fastest.
    std::set<std::string, std::less<>> weights_in_memory_;
    /// Models whose weights are cached on the local disk.
    std::set<std::string, std::less<>> weights_on_disk_;

    friend bool operator==(upstream const&, upstream const&) = default;
};

/// \brief Upstreams by id.
using upstream_map = std::map<std::string, upstream, std::less<>>;

/// \returns True if the model and, if one is named, the adapter are loaded on the upstream. Thread safety:
/// pure.
[[nodiscard]] inline bool has_model(upstream const& on, std::string_view model,
                                    std::string_view adapter) noexcept
{
    auto const found = on.models_.find(model);
    return found != on.models_.end() && (adapter.empty() || found->second.adapters_.contains(adapter));
}

} // namespace auburnchute
