#include "transport/tls_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <fcntl.h>
#include <limits>
#include <netinet/in.h>
#include <openssl/err.h>
#include <poll.h>
#include <sys/socket.h>

namespace auburnchute {

namespace {

using steady = std::chrono::steady_clock;

/// \returns Whether the socket got ready, or ended, in time.
bool wait_for(socket_t socket, short events, std::chrono::milliseconds limit)
{
    pollfd ready{socket, events, 0};
    return ::poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, limit.count()))) > 0;
}

using name_function = int (*)(int, sockaddr*, socklen_t*);

void read_address(name_function name_of, socket_t socket, std::string& ip, int& port)
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (name_of(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return;
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        auto const& v4 = reinterpret_cast<sockaddr_in const&>(address);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        auto const& v6 = reinterpret_cast<sockaddr_in6 const&>(address);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

int to_int(std::size_t size)
{
    return static_cast<int>(std::min<std::size_t>(size, std::numeric_limits<int>::max()));
}

} // namespace

tls_stream::tls_stream(SSL_CTX* context, socket_t socket, std::chrono::milliseconds read_limit,
                       std::chrono::milliseconds write_limit)
    : session_{SSL_new(context)}, socket_{socket}, read_limit_{read_limit}, write_limit_{write_limit}
{
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
    if (session_) {
        SSL_set_mode(session_.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    }
    broken_ = !session_ || SSL_set_fd(session_.get(), socket) != 1;
}

bool tls_stream::wait_after(int result, steady::time_point end)
{
    auto const why = SSL_get_error(session_.get(), result);
    bool const waits = why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE;
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady::now());
    if (waits && wait_for(socket_, why == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT, left)) {
        return true;
    }
    broken_ = broken_ || (!waits && why != SSL_ERROR_ZERO_RETURN);
    return false;
}

bool tls_stream::accept()
{
    auto const end = steady::now() + read_limit_;
    while (!broken_) {
        ERR_clear_error();
        auto const result = SSL_accept(session_.get());
        if (result == 1) {
            return true;
        }
        broken_ = !wait_after(result, end);
    }
    return false;
}

std::string tls_stream::handshake_fault()
{
    auto const* const reason = ERR_reason_error_string(ERR_peek_last_error());
    return reason == nullptr ? "the connection ended or fell silent" : reason;
}

void tls_stream::notify_close()
{
    if (!broken_ && SSL_is_init_finished(session_.get()) != 0) {
        ERR_clear_error();
        (void)SSL_shutdown(session_.get()); // a caller that takes no more bytes does not see it
    }
}

bool tls_stream::has_bytes() const
{
    return !broken_ && SSL_has_pending(session_.get()) != 0;
}

bool tls_stream::is_readable() const
{
    return has_bytes() || wait_for(socket_, POLLIN, read_limit_);
}

bool tls_stream::is_writable() const
{
    return !broken_ && wait_for(socket_, POLLOUT, write_limit_);
}

ssize_t tls_stream::read(char* to, std::size_t size)
{
    auto const end = steady::now() + read_limit_;
    while (!broken_) {
        ERR_clear_error();
        auto const got = SSL_read(session_.get(), to, to_int(size));
        if (got > 0) {
            return got;
        }
        if (!wait_after(got, end)) {
            return SSL_get_error(session_.get(), got) == SSL_ERROR_ZERO_RETURN ? 0 : -1;
        }
    }
    return -1;
}

ssize_t tls_stream::write(char const* from, std::size_t size)
{
    auto const end = steady::now() + write_limit_;
    while (!broken_) {
        ERR_clear_error();
        auto const sent = SSL_write(session_.get(), from, to_int(size));
        if (sent > 0) {
            return sent;
        }
        if (!wait_after(sent, end)) {
            return -1;
        }
    }
    return -1;
}

void tls_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_address(&::getpeername, socket_, ip, port);
}

void tls_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_address(&::getsockname, socket_, ip, port);
}

} // namespace auburnchute
