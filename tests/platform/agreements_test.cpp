#include "platform/agreements.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace auburnchute;

TEST_CASE("only terms that name contested load switch its decisions on", "[agreements]")
{
    struct row {
        std::vector<std::string> agreements_;
        bool contested_;
    };
    for (auto const& row : {row{{}, false}, row{{"base", "quota"}, false}, row{{"base", "pressure"}, true}}) {
        CHECK(platform::names_contested_load(row.agreements_) == row.contested_);
    }
}
