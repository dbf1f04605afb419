#include "protocol/settings.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>

using namespace auburnchute;

namespace {

std::string const least = R"(vm: entry-a1
availability_zone: occ-a
callers: {listen: "127.0.0.1:8000"}
peers: {listen: "127.0.0.1:8001"}
admin: {listen: "127.0.0.1:8002"}
log: {address: "127.0.0.1:9000"}
vm_list: {address: "127.0.0.1:9001"}
key_salt: fleet-salt
operator_token: operator-token-1
)";

std::string replaced(std::string const& from, std::string const& to)
{
    auto text = least;
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against defaults that differ from the settings page of docs/OPERATING.md.
TEST_CASE("settings without optional keys have the documented defaults", "[settings]")
{
    auto const own = parse_settings("entry.yaml", least);

    CHECK(own.vm_ == "entry-a1");
    CHECK(own.availability_zone_ == "occ-a");
    CHECK(own.callers_ == listen_address{"127.0.0.1", 8000});
    CHECK(own.peers_ == listen_address{"127.0.0.1", 8001});
    CHECK(own.admin_ == listen_address{"127.0.0.1", 8002});
    CHECK(own.log_address_ == "127.0.0.1:9000");
    CHECK(own.vm_list_address_ == "127.0.0.1:9001");
    CHECK(own.key_salt_ == "fleet-salt");
    CHECK(own.operator_token_ == "operator-token-1");
    CHECK(own.order_key_.empty());
    CHECK(own.trace_file_.empty());
    CHECK(own.log_level_ == "info");
    CHECK(own.advertised_callers_ == "127.0.0.1:8000");
    CHECK(own.advertised_peers_ == "127.0.0.1:8001");
    CHECK(own.advertised_admin_ == "127.0.0.1:8002");
    CHECK(own.callers_certificate_.empty());
    CHECK(own.peers_authority_.empty());
    CHECK(own.max_open_streams_ == 2000);
    CHECK(own.max_body_bytes_ == 4'194'304);
    CHECK(own.entry_ttl_ == millis{10'000});
    CHECK(own.stop_grace_ == millis{140'000});
    CHECK(own.memory_mb_ == 0);
}

// Guards against keys that are accepted but not used.
TEST_CASE("settings read every key", "[settings]")
{
    auto const own = parse_settings("entry.yaml", R"(vm: entry-a1
availability_zone: occ-a
callers:
  listen: "0.0.0.0:0"
  advertise: "127.0.0.2:80"
  certificate: c.pem
  private_key: c.key
  max_open_streams: 7
  max_body_bytes: 1024
  entry_ttl_ms: 500
peers: {listen: "[::1]:8001", advertise: "[::1]:81", certificate: p.pem, private_key: p.key, authority: ca.pem}
admin: {listen: "127.0.0.1:8002", advertise: "127.0.0.2:82"}
log: {address: "127.0.0.1:9000"}
vm_list: {address: "127.0.0.1:9001"}
key_salt: fleet-salt
operator_token: operator-token-1
order_key: order-key-0123456
traces: {file: spans.jsonl}
log_level: warning
stop_grace_ms: 8000
memory_mb: 300
)");

    CHECK(own.stop_grace_ == millis{8'000});
    CHECK(own.memory_mb_ == 300);
    CHECK(own.callers_ == listen_address{"0.0.0.0", 0});
    CHECK(own.advertised_callers_ == "127.0.0.2:80");
    CHECK(own.callers_certificate_ == "c.pem");
    CHECK(own.callers_private_key_ == "c.key");
    CHECK(own.max_open_streams_ == 7);
    CHECK(own.max_body_bytes_ == 1024);
    CHECK(own.entry_ttl_ == millis{500});
    CHECK(own.peers_ == listen_address{"::1", 8001});
    CHECK(own.advertised_peers_ == "[::1]:81");
    CHECK(own.peers_certificate_ == "p.pem");
    CHECK(own.peers_private_key_ == "p.key");
    CHECK(own.peers_authority_ == "ca.pem");
    CHECK(own.advertised_admin_ == "127.0.0.2:82");
    CHECK(own.order_key_ == "order-key-0123456");
    CHECK(own.trace_file_ == "spans.jsonl");
    CHECK(own.log_level_ == "warning");
}

// Guards against faults that are accepted silently, or reported without their place, key or unit.
TEST_CASE("settings with a fault are refused with its place", "[settings]")
{
    struct row {
        char const* from_;
        char const* to_;
        char const* peer_;
        char const* message_;
    };
    auto const tried = GENERATE(values<row>({
        {"vm: entry-a1", "vm: \"a b\"", "entry.yaml:1:5", "`vm`: expected a name"},
        {"vm: entry-a1", "vm: \"a\\nInjected: 1\"", "entry.yaml:1:5", "`vm`: expected a name"},
        {"vm: entry-a1", "vm: [a]", "entry.yaml:1:5", "`vm`: expected a name"},
        {"vm: entry-a1\n", "", "entry.yaml:1:1", "`vm` is missing"},
        {"vm: entry-a1", "vm: a\nvm: b", "entry.yaml:2:1", "key `vm` stands twice"},
        {"vm: entry-a1", "vm: a\nvn: b", "entry.yaml:2:1", "unknown key `vn`"},
        {"callers: {listen: \"127.0.0.1:8000\"}\n", "", "entry.yaml:1:1", "the section `callers` is missing"},
        {"callers: {listen: \"127.0.0.1:8000\"}", "callers: 3", "entry.yaml:3:10", "expected a section"},
        {"{listen: \"127.0.0.1:8000\"}", "{lisen: x}", "entry.yaml:3:11", "unknown key `callers.lisen`"},
        {"{listen: \"127.0.0.1:8000\"}", "{}", "entry.yaml:3:10", "`callers.listen` is missing"},
        {"127.0.0.1:8000", "localhost:8000", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:8000", "127.0.0.1", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:8000", "127.0.0.1:", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:8000", "127.0.0.1:65536", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:8000", "127.0.0.1:-1", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:8000", "127.0.0.1:80x", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:8000", "::1:80", "entry.yaml:3:19", "expected an address IP:PORT"},
        {"127.0.0.1:9000", "127.0.0.1:0", "entry.yaml:6:16", "expected a port from 1 to 65535"},
        {"\"127.0.0.1:8000\"", "\"127.0.0.1:8000\", max_open_streams: 0", "entry.yaml:3:55",
         "a whole number of streams from 1"},
        {"\"127.0.0.1:8000\"", "\"127.0.0.1:8000\", max_body_bytes: 4MiB", "entry.yaml:3:53",
         "a whole number of bytes from 1"},
        {"\"127.0.0.1:8000\"", "\"127.0.0.1:8000\", entry_ttl_ms: 1.5", "entry.yaml:3:51",
         "a whole number of milliseconds from 1"},
        {"\"127.0.0.1:8000\"", "\"127.0.0.1:8000\", entry_ttl_ms: 99999999999999999999", "entry.yaml:3:51",
         "a whole number of milliseconds from 1"},
        {"\"127.0.0.1:8000\"", "\"127.0.0.1:8000\", certificate: c.pem", "entry.yaml:3:10",
         "state both (TLS)"},
        {"\"127.0.0.1:8001\"", "\"127.0.0.1:8001\", certificate: c, private_key: k", "entry.yaml:4:8",
         "state all (TLS)"},
        {"key_salt: fleet-salt", "key_salt: short", "entry.yaml:8:11", "at least 8 characters"},
        {"operator_token: operator-token-1", "operator_token: short", "entry.yaml:9:17",
         "at least 16 characters"},
        {"vm: entry-a1", "log_level: loud\nvm: entry-a1", "entry.yaml:1:12",
         "trace, debug, info, warning or error"},
        {"vm: entry-a1", "stop_grace_ms: 0\nvm: entry-a1", "entry.yaml:1:16",
         "`stop_grace_ms`: expected a whole number of milliseconds from 1"},
        {"vm: entry-a1", "memory_mb: 0\nvm: entry-a1", "entry.yaml:1:12",
         "`memory_mb`: expected a whole number of megabytes from 1"},
        {"vm: entry-a1", "stop_grace_ms: 8s\nvm: entry-a1", "entry.yaml:1:16",
         "`stop_grace_ms`: expected a whole number of milliseconds from 1"},
        {"vm: entry-a1", "stop_grace_ms: 3600001\nvm: entry-a1", "entry.yaml:1:16",
         "`stop_grace_ms`: expected a whole number of milliseconds from 1 to 3600000"},
        {"vm: entry-a1", "vm: \"unfinished", "entry.yaml:", "not found"},
        {"vm: entry-a1", "? [a]\n: 1\nvm: entry-a1", "entry.yaml:1:3", "expected a key"},
    }));
    INFO(tried.from_ << " -> " << tried.to_);

    try {
        static_cast<void>(parse_settings("entry.yaml", replaced(tried.from_, tried.to_)));
        FAIL("accepted");
    } catch (error const& fault) {
        CHECK(fault.step() == "settings");
        CHECK_THAT(fault.peer(), Catch::StartsWith(tried.peer_));
        CHECK_THAT(fault.what(), Catch::Contains(tried.message_));
    }
}

// Guards against a crash on files that are no map at all.
TEST_CASE("settings that are no map are refused", "[settings]")
{
    auto const text = GENERATE(as<std::string>{}, "", "7", "- a\n- b", "\xff\xfe", "{", "a: b: c", "&a [*a]",
                               std::string(3000, '['), std::string("\0vm: x", 6));
    CHECK_THROWS_AS(parse_settings("entry.yaml", text), error);
}

// Guards against secrets that leak through the message of a fault.
TEST_CASE("faults do not quote secrets", "[settings]")
{
    auto const from = GENERATE(as<std::string>{}, "key_salt: fleet-salt", "operator_token: operator-token-1");
    auto const key = from.substr(0, from.find(':'));
    try {
        static_cast<void>(parse_settings("entry.yaml", replaced(from, key + ": hush")));
        FAIL("accepted");
    } catch (error const& fault) {
        CHECK_THAT(fault.what(), !Catch::Contains("hush"));
    }
}
