#include "transport/entry/work_turns.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace auburnchute;

namespace {

constexpr int connections = 200;

/// A connection that always has more to be parsed.
net::awaitable<void> work_without_end(std::shared_ptr<work_turns> turns, net::io_context& loop, int& done,
                                      bool const& over)
{
    while (!over) {
        wake_event turn{loop};
        co_await turns->wait(turn);
        ++done;
    }
}

} // namespace

// Guards against connections that are costly to read and take the loop's time from ordinary requests
// (issue 51).
TEST_CASE("connections that are costly to read take turns beside ordinary requests", "[entry]")
{
    constexpr int steps = 50; // of an ordinary request, each of which waits for the one before
    net::io_context loop{1};
    auto const turns = std::make_shared<work_turns>(loop);
    int done = 0;
    bool over = false;
    for (int i = 0; i < connections; ++i) {
        net::co_spawn(loop, work_without_end(turns, loop, done, over), net::detached);
    }
    while (done < connections) {
        REQUIRE(loop.run_one() > 0);
    }
    int most = 0;
    int left = steps;
    int before = done;
    std::function<void()> step = [&] {
        most = std::max(most, done - before);
        before = done;
        if (--left > 0) {
            net::post(loop, step);
        }
    };
    net::post(loop, step);
    while (left > 0) {
        REQUIRE(loop.run_one() > 0);
    }
    CHECK(most <= 1);
    before = done;
    while (done < before + 10 * connections) { // nothing is left for which they could wait
        REQUIRE(loop.run_one() > 0);
    }
    over = true;
    loop.run();
}

// Guards against a connection that is given up and holds its memory until its turn comes.
TEST_CASE("a wait for a turn ends when it is notified, and leaves no place behind", "[entry]")
{
    net::io_context loop{1};
    auto const turns = std::make_shared<work_turns>(loop);
    bool over = false;
    int done = 0;
    for (int i = 0; i < connections; ++i) {
        net::co_spawn(loop, work_without_end(turns, loop, done, over), net::detached);
    }
    bool ended = false;
    int done_before = 0;
    wake_event given_up{loop};
    net::co_spawn(
        loop,
        [&]() -> net::awaitable<void> {
            co_await turns->wait(given_up);
            ended = true;
            done_before = done;
        },
        net::detached);
    while (done == 0) {
        REQUIRE(loop.run_one() > 0);
    }
    CHECK_FALSE(ended);
    given_up.notify();
    while (!ended) {
        REQUIRE(loop.run_one() > 0);
    }
    CHECK(done_before < connections / 2);
    over = true;
    loop.run();
}
