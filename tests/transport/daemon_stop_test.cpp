// Planned stops of the real auburnchuted.
#include "transport/caller_connection.hpp"
#include "transport/fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <optional>

using namespace auburnchute;
using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto const* short_grace = "stop_grace_ms: 4000\n";
constexpr auto grace = 4'000ms;

/// How much later than a moment of the daemon's plan this machine may see it.
constexpr auto scheduling_slack = 500ms;

/// Begins a planned stop. \returns After the daemon has taken note of it.
std::chrono::steady_clock::time_point begin_stop(fleet& f)
{
    auto const began = std::chrono::steady_clock::now();
    ::kill(f.daemon(0).pid(), SIGTERM);
    REQUIRE(eventually(10s, [&] { return f.get(0, "/readyz").status_ == 503; }));
    return began;
}

std::string call_text(std::string const& path, std::string const& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + fleet_key +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A connection before the handshake, if there is one.
caller_connection begin_connection(fleet const& f)
{
    auto const& address = f.daemon_address(0);
    auto const colon = address.rfind(':');
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

caller_connection connect_to_daemon(fleet const& f)
{
    auto connection = begin_connection(f);
    if (f.uses_tls()) {
        connection.start_tls();
    }
    return connection;
}

/// A connection on which one request was answered, as callers keep them.
caller_connection kept_connection(fleet const& f)
{
    auto connection = connect_to_daemon(f);
    connection.send(call_text("/stock/kept", R"({"order": "kept"})"));
    REQUIRE(connection.receive_until("\r\n\r\n").starts_with("HTTP/1.1 200"));
    return connection;
}

bool is_refusal(std::string const& answer)
{
    return answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After: ") != std::string::npos &&
           answer.find("\"not_run\"") != std::string::npos &&
           answer.find("Connection: close") != std::string::npos;
}

std::string order_body(std::string const& order)
{
    return nlohmann::json{{"order", order}}.dump();
}

fleet_answer read_stock(fleet const& f, std::string const& order)
{
    auto client = f.callers_client(0);
    client.set_bearer_token_auth(fleet_key);
    auto const result = client.Post("/stock/" + order, order_body(order), "application/json");
    return result ? fleet_answer{result->status, result->body, result->headers} : fleet_answer{};
}

/// A connection on which a stream of 20 s has begun.
caller_connection streaming_connection(fleet const& f)
{
    nlohmann::json const body{{"model", "m"},
                              {"max_tokens", 1'000},
                              {"stream", true},
                              {"messages", {{{"role", "user"}, {"content", "long"}}}}};
    auto connection = connect_to_daemon(f);
    connection.send(call_text("/v1/chat/completions", body.dump()));
    auto const begun = connection.receive_until("data: ");
    REQUIRE(begun.starts_with("HTTP/1.1 200"));
    REQUIRE(begun.find("data: ") != std::string::npos);
    return connection;
}

/// True if a stream's last event is an error and its last chunk has come.
bool ends_with_error(received_bytes const& stream)
{
    return stream.text_.find("\"error\"") != std::string::npos &&
           stream.text_.find("[DONE]") == std::string::npos && stream.text_.ends_with("0\r\n\r\n") &&
           !stream.reset_ && !stream.timed_out_;
}

std::size_t service_calls(fleet const& f, std::string const& path)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < f.services(); ++i) {
        auto const answer = client_of(f.service_address(i)).Get("/received");
        for (auto const& request :
             answer ? nlohmann::json::parse(answer->body)["requests"] : nlohmann::json::array()) {
            count += request["path"] == path ? 1 : 0;
        }
    }
    return count;
}

std::chrono::milliseconds since(std::chrono::steady_clock::time_point moment)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - moment);
}

} // namespace

// Guards against a stopping daemon that takes a request whose time limit lies beyond its stop.
TEST_CASE("a stopping daemon refuses at once what may outlast its stop", "[promise-12][process]")
{
    auto const tls = GENERATE(false, true);
    auto const kept = GENERATE(true, false);
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = short_grace, .tls_ = tls}};
    std::optional<caller_connection> connection;
    connection.emplace(kept ? kept_connection(f) : connect_to_daemon(f));
    begin_stop(f);
    connection->send(call_text("/stock/late", order_body("late")));
    auto const answer = connection->receive_all(2s);
    CAPTURE(tls, kept, answer.text_);
    auto const head = answer.text_.find("HTTP/1.1 503");
    REQUIRE(head != std::string::npos);
    CHECK(is_refusal(answer.text_.substr(head)));
    CHECK_FALSE(answer.timed_out_);
    CHECK_FALSE(answer.reset_);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a model's answer, which has no limit of its whole time, that is begun in a stop and outlasts
// it.
TEST_CASE("a stopping daemon refuses at once an answer whose whole time has no limit",
          "[promise-12][process]")
{
    // The route's deadline of 20 s, which limits the start of the answer, lies within the stop.
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = "stop_grace_ms: 60000\n"}};
    auto const streamed = GENERATE(true, false);
    CAPTURE(streamed);
    begin_stop(f);
    auto const answer = f.ask(0, "m", "late", 3, streamed);
    CAPTURE(answer.body_);
    CHECK(answer.status_ == 503);
    CHECK(answer.json().value("execution", "") == "not_run");
    CHECK(answer.headers_.contains("Retry-After"));
    CHECK(httplib::detail::get_header_value(answer.headers_, "Connection") == std::string{"close"});
    CHECK(f.received_by(0, "/v1/chat/completions") == 0);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a call that may start in time, but whose service may answer after the end of the stop.
TEST_CASE("a stopping daemon refuses at once a call whose answer may come after its end",
          "[promise-12][process]")
{
    struct row {
        int grace_ms_; ///< The route's deadline of 8 s lies within it.
        int status_;   ///< With the 66 s that a service may take, the call ends within 100 s, but not 20 s.
    };
    auto const [grace_ms, status] = GENERATE(row{20'000, 503}, row{100'000, 200});
    CAPTURE(grace_ms);
    fleet f{{.daemons_ = 1,
             .engines_ = 1,
             .daemon_settings_ = "stop_grace_ms: " + std::to_string(grace_ms) + "\n"}};
    begin_stop(f);
    auto const answer = read_stock(f, "late");
    CAPTURE(answer.body_);
    CHECK(answer.status_ == status);
    CHECK(service_calls(f, "/stock/late") == (status == 200 ? 1 : 0));
    CHECK(answer.headers_.contains("Retry-After") == (status == 503));
    CHECK(httplib::detail::get_header_value(answer.headers_, "Connection") == std::string{"close"});
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a request that waits for a place on during the stop although it may outlast it.
TEST_CASE("a request that waits for a place is refused when the stop begins", "[promise-12][process]")
{
    auto const settings = GENERATE(std::string{short_grace}, std::string{"stop_grace_ms: 60000\n"});
    CAPTURE(settings);
    fleet f{{.daemons_ = 1, .engines_ = 1, .slots_ = 1, .token_ms_ = 20, .daemon_settings_ = settings}};
    auto running = std::async(std::launch::async, [&f] { return f.ask(0, "m", "long", 100, true); });
    REQUIRE(eventually(10s, [&f] { return f.received_by(0, "/v1/chat/completions") == 1; }));
    auto waiting = std::async(std::launch::async, [&f] { return f.ask(0, "m", "waits", 1); });
    REQUIRE(eventually(10s, [&f] {
        return f.get(0, "/metrics").body_.find("auburnchute_waiting{pool=\"p\"} 1") != std::string::npos;
    }));
    auto const began = begin_stop(f);
    auto const refused = waiting.get();
    CHECK(since(began) < 1s);
    CHECK(refused.status_ == 503);
    CHECK(refused.json().value("execution", "") == "not_run");
    CHECK(refused.headers_.contains("Retry-After"));
    CHECK(running.get().body_.find("[DONE]") != std::string::npos);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a request that goes to another upstream when the stop leaves it no time.
TEST_CASE("a stopping daemon does not try again what may outlast its stop", "[promise-12][process]")
{
    fleet f{{.daemons_ = 1, .engines_ = 1, .services_ = 2, .daemon_settings_ = short_grace}};
    for (std::size_t i = 0; i < 2; ++i) {
        fleet::fault(f.service_address(i), {{"delay_ms", 1'000}, {"cut_before_answer", true}});
    }
    auto call = std::async(std::launch::async, [&f] { return read_stock(f, "again"); });
    REQUIRE(eventually(10s, [&f] { return service_calls(f, "/stock/again") == 1; }));
    begin_stop(f);
    auto const answer = call.get();
    CAPTURE(answer.body_);
    CHECK(answer.status_ >= 500);
    CHECK(answer.json().value("execution", "") == "unknown");
    CHECK(service_calls(f, "/stock/again") == 1);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a stop that gives up a stream which another upstream could still end.
TEST_CASE("a stream that its upstream cuts is resumed during a stop", "[promise-12][process]")
{
    fleet f{{.daemons_ = 1,
             .engines_ = 2,
             .token_ms_ = 20,
             .min_replicas_ = 2,
             .max_replicas_ = 2,
             .resumes_streams_ = true}};
    fleet::fault(f.engine_address(0), {{"cut_after_tokens", 50}});
    std::vector<std::future<fleet_answer>> streams;
    for (auto const* const prompt : {"one", "other"}) {
        streams.push_back(
            std::async(std::launch::async, [&f, prompt] { return f.ask(0, "m", prompt, 100, true); }));
    }
    auto const calls = [&f](std::size_t engine) { return f.received_by(engine, "/v1/chat/completions"); };
    REQUIRE(eventually(10s, [&] { return calls(0) == 1 && calls(1) == 1; }));
    begin_stop(f);
    for (auto& stream : streams) {
        auto const whole = stream.get();
        CAPTURE(whole.body_);
        CHECK(whole.body_.find("[DONE]") != std::string::npos);
    }
    CHECK(calls(1) == 2);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a stop that waits for a request without a limit, or ends without an answer to it.
TEST_CASE("a call that outlasts the stop is answered and named before the end", "[promise-12][process]")
{
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = short_grace, .show_errors_ = true}};
    fleet::fault(f.service_address(0), {{"delay_ms", 12'000}});
    auto call = std::async(std::launch::async, [&f] { return read_stock(f, "slow"); });
    REQUIRE(eventually(10s, [&f] {
        auto const answer = client_of(f.service_address(0)).Get("/received");
        return answer && answer->body.find("/stock/slow") != std::string::npos;
    }));
    auto const began = begin_stop(f);
    auto const answer = call.get();
    CHECK(since(began) <= grace);
    CAPTURE(answer.body_);
    CHECK(answer.status_ == 503);
    CHECK(answer.json().value("execution", "") == "unknown");
    auto const output = f.daemon(0).read_to_end();
    auto const id = answer.json().value("request_id", "none");
    CAPTURE(output, id);
    CHECK(f.daemon(0).wait_end() == 0);
    CHECK(since(began) <= grace + scheduling_slack);
    CHECK(output.find("request " + id + " outlasts the stop") != std::string::npos);
}

// Guards against a stop that waits for a stream without a limit, or cuts it off without a word.
TEST_CASE("a stream that outlasts the stop ends with an error event", "[promise-12][process]")
{
    auto const tls = GENERATE(false, true);
    CAPTURE(tls);
    fleet f{{.daemons_ = 1,
             .engines_ = 1,
             .token_ms_ = 20,
             .daemon_settings_ = short_grace,
             .tls_ = tls,
             .show_errors_ = true}};
    auto const stream = streaming_connection(f);
    auto const began = begin_stop(f);
    auto const rest = stream.receive_all(grace);
    CAPTURE(rest.text_.substr(rest.text_.size() - std::min<std::size_t>(rest.text_.size(), 300)));
    CAPTURE(rest.reset_, rest.timed_out_, rest.tls_error_);
    CHECK(ends_with_error(rest));
    CHECK(since(began) <= grace);
    auto const output = f.daemon(0).read_to_end();
    CAPTURE(output);
    CHECK(f.daemon(0).wait_end() == 0);
    CHECK(since(began) <= grace + scheduling_slack);
    CHECK(output.find(" outlasts the stop") != std::string::npos);
}

// Guards against a reload signal, which other daemons take, that ends this one with all its requests.
TEST_CASE("SIGHUP neither ends a daemon nor a planned stop", "[promise-12][process]")
{
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = short_grace}};
    ::kill(f.daemon(0).pid(), SIGHUP);
    CHECK_FALSE(eventually(500ms, [&f] { return f.daemon(0).has_ended(); }));
    CHECK(read_stock(f, "reloaded").status_ == 200);
    begin_stop(f);
    ::kill(f.daemon(0).pid(), SIGHUP);
    CHECK(read_stock(f, "late").status_ == 503);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a process that is paused across the end of its grace time and then ends without its last
// answers.
TEST_CASE("a daemon that was paused across the end of its stop gives its last answers",
          "[promise-12][process]")
{
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = short_grace, .show_errors_ = true}};
    fleet::fault(f.service_address(0), {{"delay_ms", 20'000}});
    auto call = std::async(std::launch::async, [&f] { return read_stock(f, "slow"); });
    REQUIRE(eventually(10s, [&f] { return service_calls(f, "/stock/slow") == 1; }));
    auto const began = begin_stop(f);
    f.daemon(0).freeze();
    std::this_thread::sleep_until(began + grace + scheduling_slack); // the pause that the test is about
    f.daemon(0).resume();
    auto const answer = call.get();
    auto const output = f.daemon(0).read_to_end();
    CAPTURE(answer.body_, output);
    CHECK(answer.status_ == 503);
    CHECK(answer.json().value("execution", "") == "unknown");
    CHECK(output.find(" outlasts the stop") != std::string::npos);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against a second signal that waits for open streams and kept connections.
TEST_CASE("a second signal ends a stop at once", "[promise-12][process]")
{
    auto const tls = GENERATE(false, true);
    CAPTURE(tls);
    fleet f{{.daemons_ = 1, .engines_ = 1, .token_ms_ = 20, .tls_ = tls}};
    auto const idle = kept_connection(f);
    auto const stream = streaming_connection(f);
    begin_stop(f);
    auto const again = std::chrono::steady_clock::now();
    ::kill(f.daemon(0).pid(), SIGINT);
    CHECK(f.daemon(0).wait_end() == 0);
    CHECK(since(again) < 2s); // closing, margin and slack
    CHECK(ends_with_error(stream.receive_all(1s)));
}

// Guards against an early end while a request is being read.
TEST_CASE("a request that is being read when the stop grows quiet is answered", "[promise-12][process]")
{
    auto const tls = GENERATE(false, true);
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = short_grace, .tls_ = tls}};
    auto const text = call_text("/stock/read", order_body("read"));
    auto const connection = kept_connection(f);
    auto const began = begin_stop(f);
    connection.send(text.substr(0, text.size() - 5));
    auto const after_quiet = 2'600ms; // twice the lifetime of the entry list and a second, with slack
    REQUIRE_FALSE(eventually(after_quiet - since(began), [&f] { return f.daemon(0).has_ended(); }));
    connection.send(text.substr(text.size() - 5));
    auto const answer = connection.receive_all(4s);
    CAPTURE(tls, answer.text_);
    auto const head = answer.text_.find("HTTP/1.1 503");
    REQUIRE(head != std::string::npos);
    CHECK(is_refusal(answer.text_.substr(head)));
    CHECK_FALSE(answer.reset_);
    CHECK(f.daemon(0).wait_end() == 0);
    CHECK(since(began) <= grace + scheduling_slack);
}

// Guards against a reset of the last answer, since the connection ends before all that the caller sent is
// read.
TEST_CASE("the last answer on a connection is not reset by what follows it", "[promise-12][process]")
{
    auto const tls = GENERATE(false, true);
    fleet f{{.daemons_ = 1, .engines_ = 1, .daemon_settings_ = short_grace, .tls_ = tls}};
    auto const connection = connect_to_daemon(f);
    begin_stop(f);
    connection.send(call_text("/stock/last", order_body("last")));
    connection.send(call_text("/stock/next", std::string(100'000, 'x')));
    auto const answer = connection.receive_all(3s);
    CAPTURE(tls, answer.text_);
    CHECK(is_refusal(answer.text_));
    CHECK_FALSE(answer.reset_);
    CHECK_FALSE(answer.timed_out_);
    CHECK(f.daemon(0).wait_end() == 0);
}

// Guards against kept connections that hold up the end of a stop.
TEST_CASE("kept connections do not delay the end of a stop", "[promise-12][process]")
{
    auto const tls = GENERATE(false, true);
    CAPTURE(tls);
    fleet f{{.daemons_ = 1, .engines_ = 1, .tls_ = tls}};
    std::vector<caller_connection> idle;
    auto const began = begin_stop(f);
    for (int i = 0; i < 3; ++i) {
        idle.push_back(connect_to_daemon(f));
    }
    idle.push_back(begin_connection(f));
    CHECK(f.daemon(0).wait_end() == 0);
    CHECK(since(began) < 2s + 1s + scheduling_slack); // quiet, closing and exit, slack
}

// Guards against a stop without a limit: a slow upstream, half a request and the log's outage together.
TEST_CASE("a stop ends within its grace time whatever it waits for", "[promise-12][process]")
{
    struct row {
        int grace_ms_;
        bool log_is_down_;
        bool tls_;
    };
    auto const [grace_ms, log_is_down, tls] =
        GENERATE(row{200, false, false}, row{200, true, false}, row{1'000, false, false},
                 row{1'000, true, false}, row{3'000, false, false}, row{3'000, true, false},
                 row{200, false, true}, row{1'000, false, true}, row{3'000, false, true});
    fleet f{{.daemons_ = 1,
             .engines_ = 1,
             .daemon_settings_ = "stop_grace_ms: " + std::to_string(grace_ms) + "\n",
             .tls_ = tls,
             .show_errors_ = true}};
    fleet::fault(f.service_address(0), {{"delay_ms", 8'000}});
    auto const half = connect_to_daemon(f);
    half.send("POST /stock/half HTTP/1.1\r\nHost: h.exa");
    auto call = std::async(std::launch::async, [&f] { return read_stock(f, "slow"); });
    REQUIRE(eventually(10s, [&f] {
        auto const answer = client_of(f.service_address(0)).Get("/received");
        return answer && answer->body.find("/stock/slow") != std::string::npos;
    }));
    if (log_is_down) {
        fleet::fault(f.log_address(), {{"outage", true}});
    }
    auto const began = std::chrono::steady_clock::now();
    (void)f.daemon(0).stop();
    CAPTURE(grace_ms, log_is_down, tls);
    CHECK(since(began) <= std::chrono::milliseconds{grace_ms} + scheduling_slack);
    auto const output = f.daemon(0).read_to_end();
    CAPTURE(output);
    CHECK(output.find(" outlasts the stop") != std::string::npos);
    auto const answer = call.get();
    if (grace_ms >= 1'000) { // below, the last answers have less time than this machine's delays
        CHECK(answer.status_ == 503);
        CHECK(answer.json().value("execution", "") == "unknown");
    }
}

// Guards against a stop that ends late and as failed, as a thread waits for an engine or for the log.
TEST_CASE("a stop does not wait for calls of the control part", "[promise-12][process]")
{
    struct slow_call {
        char const* name_;
        int load_ms_;
        int log_ms_;
    };
    auto const slow = GENERATE(values<slow_call>({{"an order to load", 6'000, 0}, {"the log", 100, 1'500}}));
    CAPTURE(slow.name_);
    fleet f{{.daemons_ = 1,
             .engines_ = 1,
             .load_ms_ = slow.load_ms_,
             .daemon_settings_ = short_grace,
             .show_errors_ = true}};
    auto const loads = f.received_by(0, "/orders/load");
    auto const cold = std::async(std::launch::async, [&f] { return f.ask(0, "c", "cold"); });
    REQUIRE(eventually(10s, [&] { return f.received_by(0, "/orders/load") > loads; }));
    fleet::fault(f.log_address(), {{"delay_ms", slow.log_ms_}});
    auto const began = std::chrono::steady_clock::now();
    auto const code = f.daemon(0).stop();
    CAPTURE(f.daemon(0).read_to_end());
    CHECK(code == 0);
    CHECK(since(began) <= grace + scheduling_slack);
}

// Guards against a purchase that a stop has given up and that runs again when its caller repeats it.
TEST_CASE("a purchase that outlasts the stop is not run again", "[promise-10][promise-12][process]")
{
    fleet f{{.daemons_ = 2, .engines_ = 1, .daemon_settings_ = short_grace}};
    fleet::fault(f.service_address(0), {{"delay_ms", 6'000}});
    auto call = std::async(std::launch::async, [&f] { return f.buy(0, "order-1"); });
    REQUIRE(eventually(10s, [&f] {
        auto const answer = client_of(f.service_address(0)).Get("/received");
        return answer && answer->body.find("/orders/purchase") != std::string::npos;
    }));
    (void)f.daemon(0).stop();
    CHECK(call.get().json().value("execution", "") == "unknown");
    fleet::fault(f.service_address(0), {{"delay_ms", 0}});
    auto const again = f.buy(1, "order-1");
    CAPTURE(again.body_);
    CHECK(again.status_ == 409);
    CHECK(again.json().value("execution", "") == "unknown");
    CHECK(eventually(10s, [&f] { return f.runs("order-1") == 1; }));
}
