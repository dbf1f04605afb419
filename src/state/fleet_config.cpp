#include <auburnchute/fleet_config.hpp>

#include <algorithm>

namespace auburnchute {

fleet_config with_keys(fleet_config config, config_keys const& newer)
{
    std::map<std::string_view, std::size_t> workspaces;
    for (std::size_t i = 0; i < config.workspaces_.size(); ++i) {
        workspaces.emplace(config.workspaces_[i].name_, i);
    }
    config.keys_.clear();
    for (auto const& [key, workspace] : newer.keys_) {
        if (auto const known = workspaces.find(workspace); known != workspaces.end()) {
            config.keys_.emplace(key, known->second);
        }
    }
    config.version_ = newer.version_;
    config.complete_ = false;
    return config;
}

request_route const* match_route(fleet_config const& config, std::string_view host,
                                 std::string_view path) noexcept
{
    request_route const* best = nullptr;
    for (auto const& route : config.routes_) {
        bool const matches = route.host_ == host && path.starts_with(route.path_prefix_);
        if (matches && (best == nullptr || route.path_prefix_.size() > best->path_prefix_.size())) {
            best = &route;
        }
    }
    return best;
}

std::string_view choose_service(request_route const& route, std::uint64_t request_hash) noexcept
{
    std::int64_t total = 0;
    for (auto const& share : route.services_) {
        total += std::max<std::int64_t>(share.weight_, 0);
    }
    if (total == 0) {
        return route.services_.empty() ? std::string_view{} : route.services_.front().service_;
    }
    auto rest = static_cast<std::int64_t>(request_hash % static_cast<std::uint64_t>(total));
    for (auto const& share : route.services_) {
        rest -= std::max<std::int64_t>(share.weight_, 0);
        if (rest < 0) {
            return share.service_;
        }
    }
    return route.services_.back().service_;
}

bool has_streams(fleet_config const& config, std::string_view service) noexcept
{
    return std::any_of(config.routes_.begin(), config.routes_.end(), [&](request_route const& route) {
        return route.kind_ == route_type::stream &&
               std::any_of(route.services_.begin(), route.services_.end(),
                           [&](weighted_service const& part) { return part.service_ == service; });
    });
}

engine_profile const* find_engine(fleet_config const& config, std::string_view service) noexcept
{
    auto const found = config.services_.find(service);
    return found != config.services_.end() && found->second.engine_ ? &*found->second.engine_ : nullptr;
}

hosted_model const* find_hosted_model(engine_profile const& engine, std::string_view name) noexcept
{
    auto const found = std::find_if(engine.models_.begin(), engine.models_.end(),
                                    [name](hosted_model const& model) { return model.name_ == name; });
    return found == engine.models_.end() ? nullptr : &*found;
}

} // namespace auburnchute
