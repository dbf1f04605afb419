#pragma once

#include "transport/entry/async.hpp"

#include <auburnchute/clock.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief An answer of the system's own in place of an upstream's.
struct own_answer {
    int status_{500};
    std::string_view reason_; ///< A word for the caller and the log, for example `rate-limited`.
    millis retry_after_{-1};  ///< Below 0: none is sent.
};

/// \returns The answer as a message; `request_id` may be empty. Thread safety: pure.
[[nodiscard]] boost::beast::http::response<boost::beast::http::string_body>
to_message(own_answer const& answer, std::string_view request_id);

} // namespace auburnchute
