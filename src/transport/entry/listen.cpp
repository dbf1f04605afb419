#include "transport/entry/listen.hpp"

#include "protocol/decision_log.hpp"

#include <auburnchute/error.hpp>

namespace auburnchute {

namespace {

/// Pause after a failed accept: descriptors that ran out come free within that time.
constexpr millis accept_pause{20};

net::awaitable<void> accept_all(std::shared_ptr<tcp::acceptor> acceptor,
                                std::function<void(tcp::socket)> const& take)
{
    while (true) {
        error_code fault;
        auto socket = co_await acceptor->async_accept(outcome_in(fault));
        if (fault == net::error::operation_aborted || !acceptor->is_open()) {
            co_return;
        }
        if (fault) {
            log_failure("accept-failed", {{"fault", fault.message()}});
            co_await pause_for(accept_pause);
            continue;
        }
        take(std::move(socket));
    }
}

} // namespace

void accept_connections(net::io_context& loop, std::string const& address,
                        std::function<void(tcp::socket)> take, int receive_buffer)
{
    auto const endpoint = parse_endpoint(address);
    auto acceptor = std::make_shared<tcp::acceptor>(loop);
    try {
        acceptor->open(endpoint.protocol());
        acceptor->set_option(net::socket_base::reuse_address{true});
        if (receive_buffer > 0) {
            acceptor->set_option(net::socket_base::receive_buffer_size{receive_buffer}); // for all it accepts
        }
        acceptor->bind(endpoint);
        acceptor->listen(net::socket_base::max_listen_connections);
    } catch (boost::system::system_error const& failure) {
        throw error{"listen", address, failure.what()};
    }
    run_forever(loop, "accept " + address,
                [acceptor, take = std::move(take)] { return accept_all(acceptor, take); });
}

} // namespace auburnchute
