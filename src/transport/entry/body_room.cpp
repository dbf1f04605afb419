#include "transport/entry/body_room.hpp"

#include <algorithm>

namespace auburnchute {

std::size_t next_room(std::string const& body, body_bounds const& bounds) noexcept
{
    if (bounds.announced_) {
        return std::min<std::size_t>(*bounds.announced_, body.size() + bounds.next_);
    }
    // A body at its limit may get one more byte, which is too much.
    auto const most = static_cast<std::size_t>(bounds.limit_) + 1;
    if (body.capacity() - body.size() >= std::min(bounds.next_, most - std::min(most, body.size()))) {
        return body.capacity();
    }
    return std::min(most, std::max(body.size() + bounds.next_, body.size() / 4 * 5));
}

void make_room(std::string& body, std::size_t room, body_bounds const& bounds)
{
    if (!bounds.announced_ && room > body.capacity()) {
        body.reserve(room);
    }
}

} // namespace auburnchute
