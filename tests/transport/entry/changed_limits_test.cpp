#include "transport/entry/entry_world.hpp"

using namespace auburnchute::tests;

namespace {

/// What a version of the configuration lets callers send.
struct allowed {
    int header_bytes_{16'384};
    int body_bytes_{1'000'000};
    int idle_ms_{15'000};
};

std::string config_with(int version, allowed const& limits)
{
    auto config = nlohmann::json::parse(config_document(version, "\"key\""));
    config["limits"] = {{"max_header_bytes", limits.header_bytes_},
                        {"max_body_bytes", limits.body_bytes_},
                        {"header_timeout_ms", 3'000},
                        {"idle_timeout_ms", limits.idle_ms_}};
    return config.dump();
}

/// A request with a body and a field of these sizes.
std::string request_of(std::size_t body, std::size_t field, bool chunked = false)
{
    auto const head =
        "POST /buy/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\nApi-Key: key\r\nX-Deadline-Ms: "
        "4000\r\nX-Fill: " +
        std::string(field, 'f') + "\r\n";
    std::string const text(body, 'b');
    return chunked ? head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n"
                   : head + "Content-Length: " + std::to_string(body) + "\r\n\r\n" + text;
}

int answer_to_next(owned_socket const& connection, std::string const& request)
{
    connection.send(request);
    auto const head = connection.receive_until("\r\n\r\n");
    auto const status = entry_world::status_of(head);
    if (status == 200 && head.find("whole") == std::string::npos) {
        (void)connection.receive_until("whole");
    }
    return status;
}

} // namespace

// Guards against a proper request on an idle connection that is judged by the limits of the configuration
// before.
TEST_CASE("an idle connection follows changed limits like a new one", "[entry]")
{
    struct row {
        char const* what_;
        allowed before_;
        allowed after_;
        std::string request_;
        int status_;
    };
    auto const r = GENERATE(
        row{"a larger body", {.body_bytes_ = 10'000}, {}, request_of(50'000, 1), 200},
        row{"a larger body in chunks", {.body_bytes_ = 10'000}, {}, request_of(50'000, 1, true), 200},
        row{"a smaller body", {}, {.body_bytes_ = 10'000}, request_of(50'000, 1), 413},
        row{"a smaller body in chunks", {}, {.body_bytes_ = 10'000}, request_of(50'000, 1, true), 413},
        row{"a larger head", {.header_bytes_ = 2'000}, {}, request_of(1, 8'000), 200},
        row{"a smaller head", {}, {.header_bytes_ = 2'000}, request_of(1, 8'000), 431});
    CAPTURE(r.what_);
    entry_world world{{after_probe(answering("whole"))}};
    world.store_.put("keyed.op", "config", config_with(4, r.before_));
    // Limits of one connection are those of another, so a new one shows what is in force.
    auto const on_new = [&] { return answer_to_next(connect_to(world.ip_, callers_port), r.request_); };
    auto const other = r.status_ == 200 ? (r.what_ == std::string{"a larger head"} ? 431 : 413) : 200;
    REQUIRE(eventually(limit, [&] { return on_new() == other; }));
    auto const kept = connect_to(world.ip_, callers_port);
    CHECK(answer_to_next(kept, request_of(10, 10)) == 200);
    world.store_.put("keyed.op", "config", config_with(5, r.after_));
    REQUIRE(eventually(limit, [&] { return on_new() == r.status_; }));
    CHECK(answer_to_next(kept, r.request_) == r.status_);
}

// Guards against a connection that is closed under its caller by a time limit that is no longer in force.
TEST_CASE("an idle connection stays open for as long as the configuration in force allows", "[entry]")
{
    constexpr int short_idle_ms = 3'000;
    auto const raised = GENERATE(true, false);
    CAPTURE(raised);
    entry_world world{{after_probe(answering("whole"))}};
    // The limit on bodies shows which version is in force.
    world.store_.put("keyed.op", "config", config_with(4, {.body_bytes_ = 100, .idle_ms_ = short_idle_ms}));
    auto const on_new = [&] {
        return answer_to_next(connect_to(world.ip_, callers_port), request_of(1'000, 1));
    };
    REQUIRE(eventually(limit, [&] { return on_new() == 413; }));
    auto const kept = connect_to(world.ip_, callers_port);
    auto const began = std::chrono::steady_clock::now();
    CHECK(answer_to_next(kept, request_of(10, 10)) == 200);
    if (raised) {
        world.store_.put("keyed.op", "config", config_with(5, {}));
        REQUIRE(eventually(limit, [&] { return on_new() == 200; }));
    }
    pollfd ended{kept.handle(), POLLIN, 0};
    bool const closed = ::poll(&ended, 1, 2 * short_idle_ms) > 0;
    CHECK(closed == !raised);
    CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds{short_idle_ms});
    if (raised) {
        CHECK(answer_to_next(kept, request_of(10, 10)) == 200);
    }
}
