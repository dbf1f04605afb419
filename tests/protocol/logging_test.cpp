#include "protocol/logging.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>
#include <iostream>
#include <regex>
#include <sstream>

using namespace auburnchute;

namespace {

/// Redirects standard error's log stream for one test.
class captured_log {
public:
    captured_log() : before_{std::clog.rdbuf(text_.rdbuf())} {}
    captured_log(captured_log const&) = delete;
    captured_log& operator=(captured_log const&) = delete;
    ~captured_log() { std::clog.rdbuf(before_); }
    [[nodiscard]] std::string text() const { return text_.str(); }

private:
    std::ostringstream text_;
    std::streambuf* before_;
};

} // namespace

// Guards against lines that a log reader cannot take apart, and against text that forges a line.
TEST_CASE("a log line has one form", "[logging]")
{
    auto const [peer, message, shown] = GENERATE(table<std::string, std::string, std::string>({
        {"10.0.0.7:8000", "reachable again", "peer=10.0.0.7:8000 message=\"reachable again\""},
        {"", "x", "peer=- message=\"x\""},
        {"a b", "x", "peer=\"a b\" message=\"x\""},
        {"p", "say \"hi\"", "peer=p message=\"say \\\"hi\\\"\""},
        {"p", "one\ntwo\x1b[1m", "peer=p message=\"one two [1m\""},
        {"p\x1b[1m", "x", "peer=\"p [1m\" message=\"x\""},
    }));
    captured_log const log;
    init_logging("info");
    log_change("connect", peer, message);

    std::regex const form{R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z info step=connect .*\n)"};
    CHECK(std::regex_match(log.text(), form));
    CHECK_THAT(log.text(), Catch::EndsWith(shown + "\n"));
}

// Guards against a level that shows too much or hides faults.
TEST_CASE("the level decides what is shown", "[logging]")
{
    auto const [level, changes, faults] = GENERATE(table<std::string, bool, bool>({
        {"trace", true, true},
        {"debug", true, true},
        {"info", true, true},
        {"warning", false, true},
        {"error", false, true},
    }));
    captured_log const log;
    init_logging(level);
    log_change("a", "", "change");
    log_fault("a", "", "fault");

    CHECK((log.text().find("change") != std::string::npos) == changes);
    CHECK((log.text().find(" error step=a peer=- message=\"fault\"") != std::string::npos) == faults);
}

// Guards against a misspelt level that silences the log.
TEST_CASE("an unknown level is refused", "[logging]")
{
    auto const level = GENERATE(as<std::string>{}, "", "loud", "INFO", "fatal", "info ");
    CHECK_THROWS_AS(init_logging(level), error);
}
