#pragma once

#include "transport/entry/standin_platform.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace auburnchute::tests {

/// \brief What a proxy does to the bytes that pass it.
enum class link_fault : std::uint8_t {
    none,
    delayed,      ///< Each piece waits for 120 ms.
    reset,        ///< Connections are reset, new ones as well.
    cut_forward,  ///< Bytes to the server are held back.
    cut_backward, ///< Bytes from the server are held back.
    silent,       ///< Both; connections that were open stay silent for good, new ones work after the fault.
};

/// \brief A TCP proxy on loopback that injects faults of a link between a daemon and what it speaks to.
///
/// Thread safety: `set_fault` and `fault_in_force` may be called from any thread.
class loopback_proxy {
public:
    /// Called with each piece that passes to the target, on a thread of its connection.
    using observer = std::function<void(std::string_view)>;

    loopback_proxy(std::string const& ip, std::string const& target_ip, int target_port, observer seen = {})
        : listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}, target_ip_{target_ip},
          target_port_{target_port}, seen_{std::move(seen)}
    {
        address_ = listen_at(listener_, ip);
        acceptor_ = std::thread{[this] { accept_all(); }};
    }
    ~loopback_proxy()
    {
        ended_ = true;
        ::shutdown(listener_.handle(), SHUT_RDWR);
        acceptor_.join();
        for (auto& pump : pumps_) {
            pump.join();
        }
    }
    loopback_proxy(loopback_proxy const&) = delete;
    loopback_proxy& operator=(loopback_proxy const&) = delete;

    [[nodiscard]] std::string const& address() const noexcept { return address_; }
    void set_fault(link_fault fault)
    {
        fault_ = fault;
        ++faults_set_;
    }

    /// \returns Whether all open connections have taken up the fault that was set last.
    [[nodiscard]] bool fault_in_force()
    {
        std::scoped_lock const lock{mutex_};
        return std::all_of(fault_seen_.begin(), fault_seen_.end(),
                           [this](auto const& seen) { return seen.second == faults_set_; });
    }

private:
    static constexpr int poll_ms = 20; ///< A change of the fault is seen within this time.
    static constexpr std::chrono::milliseconds added_delay{120};

    void accept_all()
    {
        while (!ended_) {
            int const handle = ::accept4(listener_.handle(), nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                return;
            }
            pumps_.emplace_back([this, handle] { pump(owned_socket{handle}); });
        }
    }

    /// \returns False at the end of the connection.
    static bool pass(owned_socket const& from, owned_socket const& to, observer const& seen = {})
    {
        std::array<char, 8'192> buffer{};
        auto const got = ::recv(from.handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (got > 0 && seen) {
            seen({buffer.data(), static_cast<std::size_t>(got)});
        }
        if (got > 0) {
            to.send({buffer.data(), static_cast<std::size_t>(got)});
        }
        return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    void note_fault_seen(int connection, int faults_set)
    {
        std::scoped_lock const lock{mutex_};
        fault_seen_[connection] = faults_set;
    }

    void pump(owned_socket client)
    {
        int const connection = client.handle();
        note_fault_seen(connection, faults_set_);
        pass_until_end(client, connection);
        std::scoped_lock const lock{mutex_};
        fault_seen_.erase(connection);
    }

    void pass_until_end(owned_socket& client, int connection)
    {
        if (fault_ == link_fault::reset) {
            client.reset();
            return;
        }
        owned_socket server{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        auto const address = to_sockaddr(target_ip_, target_port_);
        if (::connect(server.handle(), reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
            client.reset();
            return;
        }
        bool silent = false;
        while (!ended_) {
            int const faults_set = faults_set_; // before the fault
            auto const fault = fault_.load();
            if (fault == link_fault::reset) {
                client.reset();
                server.reset();
                return;
            }
            silent = silent || fault == link_fault::silent;
            note_fault_seen(connection, faults_set);
            bool const forward = !silent && fault != link_fault::cut_forward;
            bool const backward = !silent && fault != link_fault::cut_backward;
            std::array<pollfd, 2> ready{
                pollfd{client.handle(), static_cast<short>(forward ? POLLIN : 0), 0},
                pollfd{server.handle(), static_cast<short>(backward ? POLLIN : 0), 0}};
            if (::poll(ready.data(), ready.size(), poll_ms) <= 0) {
                continue;
            }
            if (fault == link_fault::delayed) {
                std::unique_lock lock{mutex_};
                delay_.wait_for(lock, added_delay, [this] { return ended_.load(); });
            }
            bool const open = (!forward || ready[0].revents == 0 || pass(client, server, seen_)) &&
                              (!backward || ready[1].revents == 0 || pass(server, client));
            bool const broken = ((ready[0].revents | ready[1].revents) & (POLLERR | POLLNVAL)) != 0 ||
                                ((!forward && (ready[0].revents & POLLHUP) != 0)) ||
                                ((!backward && (ready[1].revents & POLLHUP) != 0));
            if (!open || broken) {
                return;
            }
        }
    }

    owned_socket listener_;
    std::string address_;
    std::string target_ip_;
    int target_port_;
    observer seen_;
    std::atomic<link_fault> fault_{link_fault::none};
    std::atomic<int> faults_set_{0};
    std::map<int, int> fault_seen_; ///< Of each open connection, the value of `faults_set_` that it took up.
    std::atomic<bool> ended_{false};
    std::mutex mutex_;
    std::condition_variable delay_;
    std::thread acceptor_;
    std::vector<std::thread> pumps_;
};

} // namespace auburnchute::tests
