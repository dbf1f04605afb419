#include "platform/checked_json.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <string>

using namespace auburnchute;
using namespace auburnchute::platform;

// Guards against numbers that overflow when they are converted.
TEST_CASE("a JSON number is converted only if it is in the range", "[platform][odd]")
{
    constexpr integer_range all{std::numeric_limits<std::int64_t>::min(),
                                std::numeric_limits<std::int64_t>::max()};
    struct row {
        char const* text_;
        std::optional<std::int64_t> number_;
        integer_range range_;
    };
    for (auto const& row :
         {row{"7", 7, {0, 7}}, row{"8", std::nullopt, {0, 7}}, row{"-1", std::nullopt, {0, 7}},
          row{"7.9", 7, {0, 7}}, row{"-0.5", 0, {0, 7}}, row{"8.0", std::nullopt, {0, 7}},
          row{"9223372036854775807", std::numeric_limits<std::int64_t>::max(), all},
          row{"-9223372036854775808", std::numeric_limits<std::int64_t>::min(), all},
          row{"9223372036854775808", std::nullopt, all}, row{"18446744073709551615", std::nullopt, all},
          row{"9223372036854775808.0", std::nullopt, all}, row{"1e300", std::nullopt, all},
          row{"-1e300", std::nullopt, all}, row{"\"7\"", std::nullopt, all}, row{"true", std::nullopt, all},
          row{"null", std::nullopt, all}, row{"[7]", std::nullopt, all}, row{"1e3", 1'000, any_count},
          row{"1e10", std::nullopt, any_count}}) {
        CAPTURE(row.text_);
        auto const value = parse_document(row.text_);
        if (row.number_) {
            CHECK(to_integer(value, "field", row.range_) == *row.number_);
        } else {
            CHECK_THROWS_AS(to_integer(value, "field", row.range_), error);
        }
    }
}

TEST_CASE("brackets in texts do not count as nesting", "[platform][odd]")
{
    auto const brackets = std::string(1'000, '[') + R"(\"[\\)" + std::string(1'000, '{');
    auto const deepest = std::string(max_nesting, '[') + std::string(max_nesting, ']');
    CHECK_NOTHROW(parse_document("\"" + brackets + "\""));
    CHECK_NOTHROW(parse_document(deepest));
    CHECK_THROWS_AS(parse_document("[" + deepest + "]"), error);
    CHECK_THROWS_AS(parse_document("{"), error);
    CHECK_THROWS_AS(parse_document(""), error);
}
