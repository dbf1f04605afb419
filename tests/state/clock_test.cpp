#include <auburnchute/clock.hpp>
#include <catch2/catch.hpp>

using namespace auburnchute;

// Guards against copies of a manual clock that show different times, which would hide timing faults in other
// tests.
TEST_CASE("copies of a manual clock share their time", "[clock]")
{
    auto clk = make_manual_clock({1'000});
    auto const copy = clk;
    auto const step = GENERATE(millis{0}, millis{1}, millis{86'400'000});

    advance(clk, step);

    CHECK(now(copy) == millis{1'000} + step);
}
