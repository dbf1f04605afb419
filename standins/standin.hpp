#pragma once

#include <auburnchute/clock.hpp>
#include <docopt/docopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <utility>

/// \brief What the stand-ins share: arguments, faults, serving and connections.
namespace standins {

using json = nlohmann::json;
using auburnchute::millis;

/// \returns The monotonic clock. Thread safety: any thread.
[[nodiscard]] inline millis steady_now() noexcept
{
    auto const since_start = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count()};
}

/// \returns The duration for the standard library's waits; negative ones become zero.
[[nodiscard]] inline std::chrono::milliseconds to_duration(millis value) noexcept
{
    return std::chrono::milliseconds{std::max<std::int64_t>(0, value.count_)};
}

struct endpoint {
    std::string host_;
    int port_{};
};

/// \brief Reads `IP:PORT`. \throws std::invalid_argument if the text is not of this form.
[[nodiscard]] inline endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() ||
        text.find_first_not_of("0123456789", colon + 1) != std::string::npos) {
        throw std::invalid_argument{"address \"" + text + "\" is not of the form IP:PORT"};
    }
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

inline void answer(httplib::Response& res, json const& body, int status = 200)
{
    res.status = status;
    res.set_content(body.dump(), "application/json");
}

inline void refuse(httplib::Response& res, int status, std::string_view code, std::string_view message)
{
    answer(res, {{"error", {{"code", code}, {"message", message}}}}, status);
}

/// \brief The faults that a test sets through `POST /fault`. Thread safety: all members may be called from
/// any thread.
class fault_set {
public:
    /// \param defaults Object with each known field and its value when it is not set; the value's type is the
    /// type that `POST /fault` accepts. \param changed Called after each change, without locks held.
    explicit fault_set(json defaults, std::function<void()> changed = {})
        : defaults_(std::move(defaults)), changed_{std::move(changed)} // Braces would make an array of it.
    {
    }

    [[nodiscard]] bool flag(std::string const& field) const { return value(field).get<bool>(); }
    [[nodiscard]] std::int64_t number(std::string const& field) const
    {
        return value(field).get<std::int64_t>();
    }
    [[nodiscard]] double factor(std::string const& field) const { return value(field).get<double>(); }
    [[nodiscard]] std::string text(std::string const& field) const { return value(field).get<std::string>(); }

    /// \brief Uses up one of a counted fault. \returns False if none was left.
    [[nodiscard]] bool take(std::string const& field)
    {
        std::lock_guard const lock{mutex_};
        auto const it = set_.find(field);
        if (it == set_.end() || it->get<std::int64_t>() <= 0) {
            return false;
        }
        *it = it->get<std::int64_t>() - 1;
        return true;
    }

    /// \brief Clears one field.
    void clear(std::string const& field)
    {
        std::lock_guard const lock{mutex_};
        set_.erase(field);
    }

    /// \brief Registers `POST /fault`. An unknown field or a wrong type is refused, so that a test with a
    /// misspelt fault does not pass without it.
    void serve_on(httplib::Server& server)
    {
        server.Post("/fault", [this](httplib::Request const& req, httplib::Response& res) {
            auto const body = json::parse(req.body);
            for (auto const& [field, wanted] : body.items()) {
                if (field != "clear" && !fits(field, wanted)) {
                    refuse(res, 400, "bad_fault", "fault \"" + field + "\" is unknown or of another type");
                    return;
                }
            }
            answer(res, merge(body));
            if (changed_) {
                changed_();
            }
        });
    }

private:
    [[nodiscard]] json value(std::string const& field) const
    {
        std::lock_guard const lock{mutex_};
        auto const it = set_.find(field);
        return it == set_.end() ? defaults_.at(field) : *it;
    }

    [[nodiscard]] bool fits(std::string const& field, json const& wanted) const
    {
        auto const it = defaults_.find(field);
        return it != defaults_.end() && (it->is_number_float() ? wanted.is_number()
                                         : it->is_number()     ? wanted.is_number_integer()
                                                               : wanted.type() == it->type());
    }

    json merge(json const& body)
    {
        std::lock_guard const lock{mutex_};
        if (body.value("clear", false)) {
            set_ = json::object();
        }
        for (auto const& [field, wanted] : body.items()) {
            if (field != "clear") {
                set_[field] = wanted;
            }
        }
        return set_;
    }

    json const defaults_;
    std::function<void()> const changed_;
    mutable std::mutex mutex_;
    json set_ = json::object();
};

/// \returns The descriptor of the connection on which the request came, or -1. cpp-httplib does not tell it,
/// so the process's descriptors are searched for the peer's address.
[[nodiscard]] inline int connection_of(httplib::Request const& req) noexcept
{
    constexpr int descriptors_searched = 4096;
    for (int descriptor = 3; descriptor < descriptors_searched; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        // POSIX socket calls take every address family by a pointer to sockaddr.
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
            peer.sin_family != AF_INET || ntohs(peer.sin_port) != req.remote_port) {
            continue;
        }
        char text[INET_ADDRSTRLEN]{};
        if (::inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text) != nullptr && req.remote_addr == text) {
            return descriptor;
        }
    }
    return -1;
}

/// \brief Ends the request's connection; its answer is not sent.
inline void drop_connection(httplib::Request const& req) noexcept
{
    if (int const descriptor = connection_of(req); descriptor >= 0) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

/// \returns True if the peer has closed the connection. \pre `descriptor` came from `connection_of` and its
/// request is still being answered.
[[nodiscard]] inline bool closed_by_peer(int descriptor) noexcept
{
    char next{};
    auto const got = ::recv(descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/// \brief The newest requests that an upstream was sent, for tests of what callers' data reaches it.
/// Thread safety: all members may be called from any thread.
class received_requests {
public:
    void note(httplib::Request const& req)
    {
        json headers = json::object();
        for (auto const& [name, value] : req.headers) {
            headers[name] = value;
        }
        std::lock_guard const lock{mutex_};
        requests_.push_back(
            {{"method", req.method}, {"path", req.path}, {"headers", headers}, {"body", req.body}});
        if (requests_.size() > requests_kept) {
            requests_.pop_front();
        }
    }

    /// \brief Registers `GET /received`.
    void serve_on(httplib::Server& server)
    {
        server.Get("/received", [this](httplib::Request const&, httplib::Response& res) {
            std::lock_guard const lock{mutex_};
            res.set_content(
                json{{"requests", requests_}}.dump(-1, ' ', false, json::error_handler_t::replace),
                "application/json");
        });
    }

private:
    static constexpr std::size_t requests_kept = 256;
    std::mutex mutex_;
    std::deque<json> requests_;
};

/// \returns The signals that end a stand-in.
[[nodiscard]] inline sigset_t ending_signals() noexcept
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// \brief Binds `listen`, prints `listening IP:PORT`, and serves until SIGTERM or SIGINT.
/// \param threads Connections served at the same time; each open connection holds a thread.
/// \returns The process's exit code.
inline int serve(httplib::Server& server, std::string const& listen, std::size_t threads)
{
    int listener = -1;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000);
    // The library's 5 s closes idle connections just when a client sends its next request.
    server.set_keep_alive_timeout(600);
    server.set_read_timeout(60);
    server.set_write_timeout(60);
    server.set_socket_options([&listener](socket_t descriptor) {
        listener = descriptor;
        // The library's default also sets SO_REUSEPORT, with which two processes bind one port unnoticed.
        int const on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
    server.set_exception_handler(
        [](httplib::Request const&, httplib::Response& res, std::exception_ptr problem) {
            try {
                std::rethrow_exception(std::move(problem));
            } catch (json::exception const& bad) {
                refuse(res, 400, "bad_request", bad.what());
            } catch (std::logic_error const& bad) { // Thrown by the standard library's number parsing.
                refuse(res, 400, "bad_request", bad.what());
            } catch (std::exception const& bad) {
                refuse(res, 500, "internal", bad.what());
            }
        });

    auto const [host, port] = parse_endpoint(listen);
    int const bound =
        port == 0 ? server.bind_to_any_port(host) : (server.bind_to_port(host, port) ? port : -1);
    if (bound <= 0) {
        std::cerr << "bind " << listen << ": " << std::strerror(errno) << std::endl;
        return 1;
    }
    // The library's backlog of 5 drops connects during bursts; each drop costs the caller 1 s.
    ::listen(listener, 1024);
    std::thread{[&server] { server.listen_after_bind(); }}.detach();
    std::cout << "listening " << host << ':' << bound << std::endl;

    int received = 0;
    auto const ending = ending_signals();
    sigwait(&ending, &received);
    std::_Exit(0); // Open streams are cut, as when a VM ends.
}

/// \brief Reads the arguments, runs the program and reports errors on standard error.
template <typename Program>
int run(char const* usage, int argc, char** argv, Program program)
{
    auto const arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    // All threads inherit the mask, so that only `serve` takes these signals.
    auto const ending = ending_signals();
    pthread_sigmask(SIG_BLOCK, &ending, nullptr);
    try {
        return program(arguments);
    } catch (std::exception const& problem) {
        std::cerr << argv[0] << ": " << problem.what() << std::endl;
        return 2;
    }
}

} // namespace standins
