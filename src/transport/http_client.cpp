#include "transport/http_client.hpp"

#include <auburnchute/error.hpp>

#include <charconv>
#include <httplib.h>

namespace auburnchute {

namespace {

std::chrono::milliseconds as_chrono(millis value)
{
    return std::chrono::milliseconds{value.count_};
}

} // namespace

std::unique_ptr<httplib::Client> make_http_client(std::string_view address, call_limits const& limits)
{
    auto const colon = address.rfind(':');
    int port = 0;
    if (colon != std::string_view::npos) {
        auto const digits = address.substr(colon + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    }
    if (port <= 0 || port > 65'535) {
        throw error{"connect", address, "the address is not of the form IP:PORT"};
    }
    auto client = std::make_unique<httplib::Client>(std::string{address.substr(0, colon)}, port);
    client->set_connection_timeout(as_chrono(limits.connect_));
    client->set_read_timeout(as_chrono(limits.read_));
    client->set_write_timeout(as_chrono(limits.write_));
    client->set_tcp_nodelay(true);
    return client;
}

} // namespace auburnchute
