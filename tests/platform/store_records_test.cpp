#include "platform/store_client.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace auburnchute::platform;

TEST_CASE("records of keyed topics are parsed as they were encoded", "[platform][store]")
{
    for (auto const* const value : {"{}", "x", "a longer value with \n and \\ in it"}) {
        auto const read = parse_keyed_record(encode_keyed_record("key", value));
        REQUIRE(read);
        CHECK(read->key_ == "key");
        CHECK(read->value_ == std::string{value});
    }
    auto const dropped = parse_keyed_record(encode_keyed_record("key", ""));
    REQUIRE(dropped);
    CHECK_FALSE(dropped->value_);
}

TEST_CASE("malformed records of keyed topics are rejected", "[platform][store]")
{
    for (auto const& bytes : {std::string{},
                              std::string("\x05"
                                          "ab",
                                          3),
                              std::string("\0abc", 4)}) {
        CHECK_FALSE(parse_keyed_record(bytes));
    }
}
