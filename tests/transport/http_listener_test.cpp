// The end of servers for callers, without a daemon.
#include "transport/caller_server.hpp"
#include "transport/connection_threads.hpp"
#include "transport/entry/standin_platform.hpp"
#include "transport/fleet.hpp"
#include "transport/http_listener.hpp"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <fcntl.h>
#include <future>
#include <mutex>

using namespace auburnchute;
using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

/// Lets the thread that accepts connections wait, so that the kernel holds the next ones.
class held_queue : public connection_threads {
public:
    struct gate {
        std::mutex mutex_;
        std::condition_variable opened_;
        bool open_{};
        int held_{};
    };

    explicit held_queue(gate& shared) : connection_threads{64}, gate_{shared} {}

    void enqueue(std::function<void()> connection) override
    {
        {
            std::unique_lock lock{gate_.mutex_};
            ++gate_.held_;
            gate_.opened_.wait(lock, [this] { return gate_.open_; });
        }
        connection_threads::enqueue(std::move(connection));
    }

private:
    gate& gate_;
};

/// \returns Whether a connection can be begun within a short time; it is closed again.
bool takes_connections(int port)
{
    constexpr int limit_ms = 50;
    owned_socket const made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    auto const address = to_sockaddr("127.0.0.1", port);
    if (::connect(made.handle(), reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        return false;
    }
    pollfd begun{made.handle(), POLLOUT, 0};
    return ::poll(&begun, 1, limit_ms) > 0 && (begun.revents & (POLLERR | POLLHUP)) == 0;
}

} // namespace

// Guards against a reset of connections that the kernel holds when a server ends.
TEST_CASE("connections that the kernel holds are answered before the port is closed", "[promise-12]")
{
    constexpr int callers = 20;
    held_queue::gate gate;
    auburnchute::clock const clk;
    memory_budget memory{divide_memory(0)};
    caller_bounds const bounds{memory, clk, 1'024, [](auto const&) { return std::optional<problem>{}; },
                               [](auto const&) {}};
    caller_server server{bounds};
    server.new_task_queue = [&gate] { return new held_queue{gate}; };
    server.Get("/x", [](auto const&, auto& response) { response.set_content("whole", "text/plain"); });
    http_listener listener{server};
    auto const port = listener.start({"127.0.0.1", 0}, "callers");
    std::vector<owned_socket> held;
    for (int i = 0; i < callers; ++i) {
        held.push_back(connect_to("127.0.0.1", port));
        held.back().send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }
    REQUIRE(eventually(10s, [&gate] {
        std::lock_guard const lock{gate.mutex_};
        return gate.held_ == 1;
    }));
    auto const ended = std::async(std::launch::async, [&listener] {
        listener.take_last({10'000});
        listener.stop();
    });
    CHECK(eventually(5s, [port] { return !takes_connections(port); }));
    {
        std::lock_guard const lock{gate.mutex_};
        gate.open_ = true;
    }
    gate.opened_.notify_all();
    int answered = 0;
    for (auto const& caller : held) {
        answered += caller.receive_until("whole").ends_with("whole") ? 1 : 0;
    }
    CHECK(answered == callers);
}
