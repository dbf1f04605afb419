#include "protocol/entry_settings.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>
#include <string>

using namespace auburnchute;

namespace {

std::string const complete = "vm: front-a-1\n"
                             "ip: 10.0.0.1\n"
                             "availability_zone: a\n"
                             "callers_listen: 10.0.0.1:8221\n"
                             "ready_listen: 10.0.0.1:8224\n"
                             "directory_listen: 10.0.0.1:8220\n"
                             "peer_port: 7600\n"
                             "store_address: 10.200.1.7:8225\n";

} // namespace

TEST_CASE("settings are read with their units", "[settings]")
{
    auto const read =
        parse_entry_settings("entry.yaml", complete + "shutdown_grace_s: 7.5\norder_lease_ms: 2500\n"
                                                      "first_start: true\nretry_ratio: 0.15\n"
                                                      "agreements: [base, quota]\nmemory_mb: 260.5\n"
                                                      "max_descriptors: 4100\n");
    CHECK(read.values_.vm_ == "front-a-1");
    CHECK(read.values_.shutdown_grace_ == millis{7'500});
    CHECK(read.values_.order_lease_ == millis{2'500});
    CHECK(read.values_.first_start_);
    CHECK(read.values_.retry_ratio_ == Approx(0.15));
    CHECK(read.values_.agreements_ == std::vector<std::string>{"base", "quota"});
    CHECK(read.values_.memory_mb_ == Approx(260.5));
    CHECK(read.values_.max_descriptors_ == Approx(4'100));
    CHECK(read.unknown_.empty());
}

// Guards against a daemon that does not start because the platform states a bound as a fraction.
TEST_CASE("every bound may be a fraction", "[settings]")
{
    auto const read =
        parse_entry_settings("entry.yaml", complete + "retry_extra: 23.5\nretry_ratio: 0.25\n"
                                                      "load_window_s: 4.5\nkey_withdrawal_ms: 4500.5\n"
                                                      "directory_lifetime_s: 1.5\n");
    CHECK(read.values_.retry_extra_ == Approx(23.5));
    CHECK(read.values_.retry_ratio_ == Approx(0.25));
    CHECK(read.values_.load_window_ == millis{4'500});
    CHECK(read.values_.key_withdrawal_ == millis{4'500});
    CHECK(read.values_.directory_lifetime_ == millis{1'500});
}

TEST_CASE("a key that is not known is named and ignored", "[settings]")
{
    CHECK(parse_entry_settings("entry.yaml", complete + "colour: red\n").unknown_ ==
          std::vector<std::string>{"colour"});
}

TEST_CASE("bad settings are refused with file and place", "[settings]")
{
    struct row {
        std::string text_;
        std::string_view peer_;
    };
    for (auto const& row :
         {row{complete + "order_lease_ms: soon\n", "entry.yaml:9:17"},
          row{complete + "order_lease_ms: -1\n", "entry.yaml:9:17"}, row{"vm: x\n", "entry.yaml"},
          row{"- a\n", "entry.yaml"}, row{"vm: [\n", "entry.yaml:2:1"}}) {
        CAPTURE(row.text_);
        try {
            (void)parse_entry_settings("entry.yaml", row.text_);
            FAIL("the settings were accepted");
        } catch (error const& refused) {
            CHECK(refused.step() == "settings");
            CHECK(refused.peer() == row.peer_);
        }
    }
}
