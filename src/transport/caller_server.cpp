#include "transport/caller_server.hpp"

#include "protocol/logging.hpp"
#include "transport/connection_threads.hpp"
#include "transport/tls_stream.hpp"

#include <chrono>
#include <string>
#include <unistd.h>

namespace auburnchute {

namespace {

std::chrono::milliseconds to_milliseconds(time_t seconds, time_t microseconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::seconds{seconds} +
                                                                 std::chrono::microseconds{microseconds});
}

/// Reads the next request within its bounds and lets the library answer it.
template <typename Process>
bool answer_next(httplib::Stream& stream, caller_requests& requests, caller_bounds const& bounds,
                 caller_connections& connections, bool& ended, Process const& process)
{
    request_account account{bounds.memory_, bounds.clock_, stream.socket()};
    auto const fault = requests.read(stream, account);
    if (fault != request_fault::none) {
        ended = true;
        return fault == request_fault::refused;
    }
    connections.begin_answer(stream.socket());
    auto const whole = requests.whole(stream);
    return process(*whole);
}

} // namespace

bool caller_server::process_and_close_socket(socket_t socket)
{
    if (connection_threads::refuses()) {
        ::close(socket);
        return false;
    }
    caller_requests requests{bounds_};
    caller_channel const channel{
        .open_ = [] { return true; },
        .has_bytes_ = [&requests] { return requests.has_bytes(); },
        .run_ =
            [this, socket](caller_channel::exchange const& exchange) {
                return httplib::detail::process_client_socket(socket, read_timeout_sec_, read_timeout_usec_,
                                                              write_timeout_sec_, write_timeout_usec_,
                                                              exchange);
            },
        .close_ = [] {},
    };
    return connections_.serve(
        socket, channel, {keep_alive_max_count_, to_milliseconds(keep_alive_timeout_sec_, 0)},
        [&](httplib::Stream& stream, bool last, bool& ended) {
            return answer_next(stream, requests, bounds_, connections_, ended, [&](httplib::Stream& whole) {
                return process_request(whole, last, ended, nullptr);
            });
        });
}

bool tls_caller_server::process_and_close_socket(socket_t socket)
{
    if (connection_threads::refuses()) {
        ::close(socket);
        return false;
    }
    caller_requests requests{bounds_};
    tls_stream stream{ssl_context(), socket, to_milliseconds(read_timeout_sec_, read_timeout_usec_),
                      to_milliseconds(write_timeout_sec_, write_timeout_usec_)};
    caller_channel const channel{
        .open_ =
            [&stream] {
                bool const open = stream.accept();
                if (!open) {
                    std::string ip;
                    int port = 0;
                    stream.get_remote_ip_and_port(ip, port);
                    log_change("accept", ip, "the TLS handshake failed: " + tls_stream::handshake_fault());
                }
                return open;
            },
        .has_bytes_ = [&] { return requests.has_bytes() || stream.has_bytes(); },
        .run_ = [&stream](caller_channel::exchange const& exchange) { return exchange(stream); },
        .close_ = [&stream] { stream.notify_close(); },
    };
    return connections_.serve(
        socket, channel, {keep_alive_max_count_, to_milliseconds(keep_alive_timeout_sec_, 0)},
        [&](httplib::Stream& bytes, bool last, bool& ended) {
            return answer_next(bytes, requests, bounds_, connections_, ended, [&](httplib::Stream& whole) {
                return process_request(whole, last, ended, nullptr);
            });
        });
}

} // namespace auburnchute
