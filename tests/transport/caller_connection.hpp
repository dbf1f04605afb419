#pragma once

#include "transport/entry/standin_platform.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <memory>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdexcept>
#include <string>
#include <string_view>

namespace auburnchute::tests {

/// \brief What came on a connection until it ended.
struct received_bytes {
    std::string text_;
    bool reset_{}; ///< The end was a reset, or with TLS without the notice that nothing more follows.
    bool timed_out_{};
    std::string tls_error_; ///< How the end differs from the notice, for messages.
};

/// \brief A caller's connection, as it is or with TLS. The server's certificate is not checked.
///
/// Thread safety: none.
class caller_connection {
public:
    /// \throws std::runtime_error if nobody listens.
    caller_connection(std::string const& ip, int port) : socket_{connect_to(ip, port)} {}

    /// \brief Runs the handshake of TLS. \throws std::runtime_error if it fails.
    void start_tls()
    {
        timeval const limit{10, 0}; // seconds, microseconds
        ::setsockopt(socket_.handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::signal(SIGPIPE, SIG_IGN); // the library writes without MSG_NOSIGNAL
        context_.reset(SSL_CTX_new(TLS_client_method()));
        session_.reset(SSL_new(context_.get()));
        if (SSL_set_fd(session_.get(), socket_.handle()) != 1 || SSL_connect(session_.get()) != 1) {
            throw std::runtime_error{"the handshake failed"};
        }
    }

    void send(std::string_view bytes) const
    {
        if (!session_) {
            socket_.send(bytes);
            return;
        }
        std::size_t sent = 0;
        (void)SSL_write_ex(session_.get(), bytes.data(), bytes.size(), &sent); // the end is seen in reading
    }

    /// \brief Reads until the text has come. \returns Everything read, also if the connection ended before.
    [[nodiscard]] std::string receive_until(std::string_view text) const
    {
        received_bytes all;
        auto const end = steady::now() + std::chrono::seconds{10};
        while (all.text_.find(text) == std::string::npos && receive(all, end)) {
        }
        return all.text_;
    }

    /// \brief Reads until the connection ends.
    [[nodiscard]] received_bytes receive_all(std::chrono::milliseconds limit) const
    {
        received_bytes all;
        auto const end = steady::now() + limit;
        while (receive(all, end)) {
        }
        return all;
    }

private:
    using steady = std::chrono::steady_clock;

    /// Reads some bytes. Returns false at the end of the connection or of the time.
    bool receive(received_bytes& all, steady::time_point end) const
    {
        bool const buffered = session_ && SSL_has_pending(session_.get()) != 0;
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady::now());
        pollfd readable{socket_.handle(), POLLIN, 0};
        if (!buffered && (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0)) {
            all.timed_out_ = true;
            return false;
        }
        char buffer[4096];
        if (!session_) {
            auto const got = ::recv(socket_.handle(), buffer, sizeof buffer, 0);
            if (got <= 0) {
                all.reset_ = got < 0 || reset_follows();
                return false;
            }
            all.text_.append(buffer, static_cast<std::size_t>(got));
            return true;
        }
        ERR_clear_error();
        auto const got = SSL_read(session_.get(), buffer, sizeof buffer);
        if (got <= 0) {
            auto const why = SSL_get_error(session_.get(), got);
            all.tls_error_ = why == SSL_ERROR_ZERO_RETURN ? "" : "TLS error " + std::to_string(why);
            all.reset_ = why != SSL_ERROR_ZERO_RETURN || reset_follows();
            return false;
        }
        all.text_.append(buffer, static_cast<std::size_t>(got));
        return true;
    }

    /// A reset behind the end of the stream is an error of the socket.
    [[nodiscard]] bool reset_follows() const
    {
        constexpr int reset_ms = 200;
        pollfd failed{socket_.handle(), 0, 0};
        return ::poll(&failed, 1, reset_ms) > 0 && (failed.revents & POLLERR) != 0;
    }

    struct deleter {
        void operator()(SSL_CTX* context) const noexcept { SSL_CTX_free(context); }
        void operator()(SSL* session) const noexcept { SSL_free(session); }
    };
    owned_socket socket_;
    std::unique_ptr<SSL_CTX, deleter> context_;
    std::unique_ptr<SSL, deleter> session_;
};

} // namespace auburnchute::tests
