#pragma once

#include "protocol/metrics.hpp"
#include "transport/entry/http_peer.hpp"
#include "transport/entry/work_turns.hpp"

#include <auburnchute/memory_budget.hpp>

#include <functional>
#include <memory>
#include <string>

namespace auburnchute {

/// \brief Answers one request for a page of the system's own.
using page_handler = std::function<plain_response(plain_request const&)>;

/// \brief What those that ask for one page may take together.
struct page_bounds {
    metrics& counters_; ///< Outlives the loop's work.
    std::shared_ptr<memory_budget> memory_;
    std::shared_ptr<work_turns> turns_;
    std::size_t connections_{1};
};

/// \brief Serves pages of the system's own until the loop stops. Bodies of requests aren't read. If there are
/// as many connections as the bounds allow, the one that has been without a whole request for longest makes
/// way for a further one.
/// \pre `handler` runs on the loop's thread and does not throw.
/// \throws error with step `listen` if the address cannot be had.
void serve_pages(net::io_context& loop, std::string const& address, page_bounds const& bounds,
                 page_handler handler);

} // namespace auburnchute
