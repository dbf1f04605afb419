#include <auburnchute/fleet_message.hpp>

#include <auburnchute/ids.hpp>

namespace auburnchute {

name_hash name_hash_of(std::string_view name) noexcept
{
    return stable_hash(name);
}

short_hash short_hash_of(std::string_view name) noexcept
{
    return static_cast<short_hash>(stable_hash(name));
}

name_hash name_hash_of(need_key const& need) noexcept
{
    return stable_hash(need.adapter_, stable_hash(need.model_, stable_hash(need.service_)));
}

} // namespace auburnchute
