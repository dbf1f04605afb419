#pragma once

#include <chrono>
#include <cstddef>
#include <httplib.h>
#include <memory>
#include <openssl/ssl.h>
#include <string>

namespace auburnchute {

/// \brief The server's side of TLS on a connection. It does not close the socket.
///
/// Thread safety: one thread at a time; the socket may be shut down from others.
class tls_stream : public httplib::Stream {
public:
    /// \param read_limit, write_limit Longest waits for the caller. \pre `context` is valid; the socket is
    /// connected.
    tls_stream(SSL_CTX* context, socket_t socket, std::chrono::milliseconds read_limit,
               std::chrono::milliseconds write_limit);

    /// \brief Runs the handshake, within the read limit in all. \returns False if it failed.
    bool accept();

    /// \returns Why the handshake failed. \pre `accept` has just returned false.
    [[nodiscard]] static std::string handshake_fault();

    /// \brief Tells the caller that nothing more follows, unless the connection broke.
    void notify_close();

    /// \returns Whether bytes were taken from the socket that have not been read.
    [[nodiscard]] bool has_bytes() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* to, std::size_t size) override;
    ssize_t write(char const* from, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return socket_; }

private:
    struct deleter {
        void operator()(SSL* session) const noexcept { SSL_free(session); }
    };

    /// Waits for what a call of the library needs to go on. Returns false if it failed or the time is over.
    bool wait_after(int result, std::chrono::steady_clock::time_point end);

    std::unique_ptr<SSL, deleter> session_; ///< Null if there was no memory for it.
    socket_t socket_;
    std::chrono::milliseconds read_limit_;
    std::chrono::milliseconds write_limit_;
    bool broken_{}; ///< After a failure the library wants no further call.
};

} // namespace auburnchute
