#include "protocol/decision_log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

using namespace auburnchute;

// Guards against a line that log tools cannot read, whatever a caller sends as its id.
TEST_CASE("each line is one JSON object, whatever its values hold", "[logs]")
{
    for (auto const& id : {std::string{"plain"}, std::string{"quote\"back\\slash"},
                           std::string("nul\0line\n", 9), std::string{"\xff\xfe"}, std::string(1'000, 'x')}) {
        auto const line = decision_line("request", "2026-12-04T08:00:00.000Z", {{"id", id}, {"ms", 12}}, 3);
        CAPTURE(line);
        CHECK(line.find('\n') == std::string::npos);
        auto const read = nlohmann::json::parse(line);
        CHECK(read.at("event") == "request");
        CHECK(read.at("ms") == 12);
        CHECK(read.at("left_out") == 3);
        CHECK(read.at("id").get<std::string>().size() <= 2 * max_log_text + 1);
    }
}
