#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

// rapidcheck draws a random seed unless it is given one; CI needs the same verdict every time.
int main(int argc, char** argv)
{
    char const* const chosen = std::getenv("AUBURNCHUTE_RC_PARAMS");
    setenv("RC_PARAMS", chosen != nullptr ? chosen : "seed=20261204 max_success=200", 1);
    return Catch::Session().run(argc, argv);
}
