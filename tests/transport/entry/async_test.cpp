#include "transport/entry/async.hpp"

#include <auburnchute/error.hpp>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

using namespace auburnchute;

// Guards against requests that are sent on after their callers have left (cancha-luz-grown scale-1, GONE): on
// a busy VM the loop hears of it seconds later.
TEST_CASE("a caller that has left is noticed without waiting for the loop", "[entry]")
{
    enum class end : std::uint8_t { stays, sends_more, closes, resets };
    struct row {
        end end_;
        bool connected_;
    };
    for (auto const& row : {row{end::stays, true}, row{end::sends_more, true}, row{end::closes, false},
                            row{end::resets, false}}) {
        CAPTURE(static_cast<int>(row.end_));
        net::io_context loop;
        tcp::acceptor acceptor{loop, {net::ip::make_address("127.0.0.1"), 0}};
        tcp::socket caller{loop};
        caller.connect(acceptor.local_endpoint());
        auto accepted = acceptor.accept();
        REQUIRE(is_connected(accepted));
        switch (row.end_) {
        case end::stays:
            break;
        case end::sends_more:
            net::write(caller, net::buffer("next", 4));
            accepted.wait(tcp::socket::wait_read);
            break;
        case end::resets:
            caller.set_option(net::socket_base::linger{true, 0});
            [[fallthrough]];
        case end::closes:
            caller.close();
            accepted.wait(tcp::socket::wait_read);
        }
        CHECK(is_connected(accepted) == row.connected_);
    }
}

// Guards against a VM that lives on without one of its tasks, for example without the reader of the entries.
TEST_CASE("a task that an exception ends is started again, and one that returns is not", "[entry][odd]")
{
    net::io_context loop;
    int made = 0;
    run_forever(loop, "test", [&]() -> net::awaitable<void> {
        ++made;
        if (made == 1) {
            throw std::runtime_error{"before the task runs"};
        }
        return [](int round) -> net::awaitable<void> {
            co_await pause_for(millis{1});
            if (round == 2) {
                throw error{"test", "", "of this project"};
            }
            if (round == 3) {
                throw 7; // of an unknown type
            }
        }(made);
    });
    auto const began = boot_now();
    loop.run();
    CHECK(made == 4);
    CHECK(boot_now() - began >= restart_pause * 3);
}

// Guards against a process that ends because an exception of an unknown type leaves a coroutine.
TEST_CASE("an exception of any type that ends a coroutine is reported", "[entry][odd]")
{
    net::io_context loop;
    net::co_spawn(
        loop,
        []() -> net::awaitable<void> {
            co_await pause_for(millis{1});
            throw 7;
        },
        report_failure);
    CHECK_NOTHROW(loop.run());
}

TEST_CASE("an address must be an IP with a port from 1 to 65535", "[entry][odd]")
{
    for (auto const& address :
         {std::string{"10.0.0.1:0"}, std::string{"10.0.0.1:65536"}, std::string{"10.0.0.1:-1"},
          std::string{"10.0.0.1:+1"}, std::string{"10.0.0.1:99999999999"}, std::string{"10.0.0.1:"},
          std::string{"10.0.0.1"}, std::string{":80"}, std::string{}, std::string{"host.example:80"},
          std::string{"10.0.0.1\0:80", 12}, std::string{"10.0.0.1:8\0", 12}, std::string{" 10.0.0.1:80"}}) {
        CAPTURE(address);
        CHECK_THROWS_AS(parse_endpoint(address), error);
    }
    CHECK(parse_endpoint("10.0.0.1:1").port() == 1);
    CHECK(parse_endpoint("10.0.0.1:65535").port() == 65'535);
}
