#pragma once

#include <auburnchute/clock.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace httplib {
class Client;
}

namespace auburnchute {

/// \brief Time limits of a call, each from the start of its phase.
struct call_limits {
    millis connect_{1'000};
    millis read_{5'000};
    millis write_{5'000};
};

/// \brief Makes an HTTP client for `IP:PORT` with these limits. \throws error if the address is malformed.
/// Thread safety: pure; the client belongs to the calling thread.
[[nodiscard]] std::unique_ptr<httplib::Client> make_http_client(std::string_view address,
                                                                call_limits const& limits);

} // namespace auburnchute
