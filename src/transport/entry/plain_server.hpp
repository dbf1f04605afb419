#pragma once

#include "transport/entry/http_peer.hpp"

#include <functional>
#include <string>

namespace auburnchute {

/// \brief Answers one request for a page of the system's own.
using page_handler = std::function<plain_response(plain_request const&)>;

/// \brief Serves pages of the system's own until the loop stops.
/// \pre `handler` runs on the loop's thread and does not throw.
/// \throws error with step `listen` if the address cannot be had.
void serve_pages(net::io_context& loop, std::string const& address, page_handler handler);

} // namespace auburnchute
