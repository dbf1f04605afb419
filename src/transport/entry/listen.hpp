#pragma once

#include "transport/entry/async.hpp"

#include <functional>
#include <string>

namespace auburnchute {

/// \brief Accepts connections and hands each to `take` until the loop stops.
/// \throws error with step `listen` if the address cannot be had.
void accept_connections(net::io_context& loop, std::string const& address,
                        std::function<void(tcp::socket)> take, int receive_buffer = 0);

} // namespace auburnchute
