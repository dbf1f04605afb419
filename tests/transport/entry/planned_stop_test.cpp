#include "transport/entry/entry_world.hpp"

#include <atomic>
#include <future>
#include <set>
#include <sys/socket.h>

using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds grace{3'000};
constexpr auto const* grace_setting = "shutdown_grace_s: 3\n";

/// How much later than a step of the daemon's plan this machine may see it.
constexpr auto scheduling_slack = 400ms;

/// Begins a planned stop. \returns After the daemon has taken note of it.
std::chrono::steady_clock::time_point begin_stop(entry_world& world)
{
    auto const began = std::chrono::steady_clock::now();
    ::kill(world.daemon().pid(), SIGTERM);
    REQUIRE(eventually(limit, [&] { return !world.ready(); }));
    return began;
}

std::string request_text(std::string const& method, std::string const& path, std::string const& id,
                         std::string const& body, std::chrono::milliseconds allowed)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
           "\r\nApi-Key: key\r\nX-Deadline-Ms: " + std::to_string(allowed.count()) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A connection on which one request was answered, as callers keep them.
owned_socket kept_connection(entry_world const& world)
{
    auto connection = connect_to(world.ip_, callers_port);
    connection.send(request_text("GET", "/open/probe/", "id-kept", "", 4s));
    REQUIRE(entry_world::status_of(connection.receive_until("probe")) == 200);
    return connection;
}

/// Sends events until the daemon closes the connection.
bool stream_without_end(received_request const& request, owned_socket& connection)
{
    connection.send(stream_head(request));
    for (int number = 1;; ++number) {
        connection.send(chunk(event(number)));
        pollfd ended{connection.handle(), POLLIN, 0};
        if (::poll(&ended, 1, 50) > 0) { // the pause between two events
            return false;
        }
    }
}

/// Reads an answer with a length. \returns Head and body; less if the connection ended before.
std::string receive_whole(owned_socket const& connection)
{
    auto answer = connection.receive_until("\r\n\r\n");
    auto const at = answer.find("Content-Length: ");
    auto const head = answer.find("\r\n\r\n");
    if (at == std::string::npos || head == std::string::npos) {
        return answer;
    }
    auto const size = head + 4 + std::stoul(answer.substr(at + 16));
    while (answer.size() < size) {
        auto const more = connection.receive();
        if (more.empty()) {
            break;
        }
        answer += more;
    }
    return answer;
}

bool is_whole(std::string const& answer)
{
    auto const at = answer.find("Content-Length: ");
    auto const head = answer.find("\r\n\r\n");
    return at != std::string::npos && head != std::string::npos &&
           answer.size() == head + 4 + std::stoul(answer.substr(at + 16));
}

} // namespace

// Guards against a stream that is taken during a planned stop and cut when the process ends.
TEST_CASE("a stopping daemon refuses at once what it may not be able to end", "[entry][promise-12]")
{
    bool const kept = GENERATE(true, false);
    CAPTURE(kept);
    entry_world world{{after_probe(stream_without_end)}, grace_setting};
    auto const before = kept_connection(world);
    begin_stop(world);
    auto const fresh = connect_to(world.ip_, callers_port);
    auto const& caller = kept ? before : fresh;
    auto const sent = std::chrono::steady_clock::now();
    caller.send(request_text("POST", "/watch/1", "id-late", "a question", 8s));
    auto const answer = receive_whole(caller);
    CHECK(std::chrono::steady_clock::now() - sent < scheduling_slack);
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(is_whole(answer));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(caller.receive().empty());
    CHECK(world.arrivals() == 0);
}

// Guards against purchases that are cut at the end of a planned stop, and against refusing those that end in
// time.
TEST_CASE("a purchase at any moment of a planned stop is answered whole or refused as not run",
          "[entry][promise-9][promise-10][promise-12]")
{
    constexpr auto allowed = 800ms;
    constexpr int work_ms = 300;
    entry_world world{{after_probe([](received_request const& request, owned_socket& connection) {
                          ::poll(nullptr, 0, work_ms);
                          connection.send(answer_to(request, "bought"));
                          return true;
                      })},
                      grace_setting};
    constexpr int callers = 60;
    std::vector<owned_socket> connections;
    for (int i = 0; i < callers; ++i) {
        connections.push_back(kept_connection(world));
    }
    struct outcome {
        std::chrono::milliseconds sent_;
        std::string answer_;
    };
    std::vector<std::future<outcome>> outcomes;
    auto const began = begin_stop(world);
    for (int i = 0; i < callers; ++i) {
        outcomes.push_back(std::async(std::launch::async, [&, i] {
            std::this_thread::sleep_until(began + grace * i / callers); // the moment that the row is about
            auto const sent = std::chrono::steady_clock::now() - began;
            connections[static_cast<std::size_t>(i)].send(
                request_text("POST", "/buy/1", "id-" + std::to_string(i), "an order", allowed));
            return outcome{std::chrono::duration_cast<std::chrono::milliseconds>(sent),
                           receive_whole(connections[static_cast<std::size_t>(i)])};
        }));
    }
    std::vector<outcome> ends;
    for (auto& end : outcomes) {
        ends.push_back(end.get());
    }
    std::set<std::string> ran;
    for (auto const& request : world.upstreams_[0]->requests()) {
        ran.insert(request.field("X-Request-Id"));
    }
    for (int i = 0; i < callers; ++i) {
        auto const& end = ends[static_cast<std::size_t>(i)];
        auto const status = entry_world::status_of(end.answer_);
        CAPTURE(i, end.sent_.count(), end.answer_);
        if (ran.contains("id-" + std::to_string(i))) {
            CHECK(status == 200);
            CHECK(is_whole(end.answer_));
        } else {
            // Only a request that crosses the end of the process may have no answer.
            CHECK((status == 503 || (end.answer_.empty() && end.sent_ > grace * 5 / 6)));
        }
        // A sixth of the grace time is more than enough for the last answers.
        if (end.sent_ + allowed + scheduling_slack < grace * 5 / 6) {
            CHECK(status == 200);
        }
    }
    CHECK(world.daemon().wait_end() == 0);
}

// Guards against requests that end with the process in silence.
TEST_CASE("what outlasts a planned stop ends before the process, with an answer and a log line",
          "[entry][promise-8][promise-12]")
{
    struct row {
        char const* path_;
        bool begun_; ///< The caller has a part of the answer.
        char const* outcome_;
    };
    auto const r = GENERATE(row{"/buy/1", false, "own-answer"}, row{"/watch/1", true, "cut"});
    CAPTURE(r.path_);
    entry_world world{{after_probe([&r](received_request const& request, owned_socket& connection) {
                          if (r.begun_) {
                              return stream_without_end(request, connection);
                          }
                          (void)connection.receive(); // works until the daemon gives up
                          return false;
                      })},
                      grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    caller.send(request_text("POST", r.path_, "id-long", "a question", 8s));
    REQUIRE(eventually(limit, [&] { return world.arrivals() == 1; }));
    auto const began = begin_stop(world);
    auto const answer = r.begun_ ? caller.receive_until("0\r\n\r\n") : receive_whole(caller);
    CHECK(std::chrono::steady_clock::now() - began < grace);
    CHECK(entry_world::status_of(answer) == (r.begun_ ? 200 : 502));
    if (r.begun_) {
        CHECK(answer.ends_with("\r\n"));
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    } else {
        CHECK(is_whole(answer));
    }
    auto const log = world.daemon().read_to_end();
    CHECK(std::chrono::steady_clock::now() - began < grace);
    auto const line = log.find("\"event\":\"request\",\"id\":\"id-long\"");
    REQUIRE(line != std::string::npos);
    auto const text = log.substr(line, log.find('\n', line) - line);
    CHECK(text.find(std::string{"\"outcome\":\""} + r.outcome_ + "\"") != std::string::npos);
    CHECK(text.find("\"reason\":\"stopping\"") != std::string::npos);
    CHECK(log.find("request-unanswered") == std::string::npos);
    CHECK(world.daemon().wait_end() == 0);
}

// Guards against a request that is tried again during a planned stop and cut with the process.
TEST_CASE("a stopping daemon does not try a request again that may not end in time", "[entry][promise-12]")
{
    bool const may_have_run = GENERATE(false, true);
    CAPTURE(may_have_run);
    std::promise<void> arrived;
    std::promise<void> go_on;
    auto released = go_on.get_future().share();
    std::atomic<int> tries{0};
    auto const script = after_probe([&](received_request const& request, owned_socket& connection) {
        if (++tries > 1) {
            (void)connection.receive(); // works until the daemon gives up
            return false;
        }
        arrived.set_value();
        released.wait_for(limit);
        if (!may_have_run) {
            connection.send("HTTP/1.1 503 X\r\nX-Request-Id: " + request.field("X-Request-Id") +
                            "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        return false;
    });
    entry_world world{{script, script}, grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    caller.send(request_text("GET", "/look/1", "id-again", "", 5s));
    REQUIRE(arrived.get_future().wait_for(limit) == std::future_status::ready);
    auto const began = begin_stop(world);
    go_on.set_value();
    auto const answer = receive_whole(caller);
    CHECK(std::chrono::steady_clock::now() - began < grace / 2);
    CHECK(entry_world::status_of(answer) == (may_have_run ? 502 : 503));
    CHECK((answer.find("Retry-After: ") != std::string::npos) == !may_have_run);
    CHECK(tries == 1);
}

// Guards against a reset that takes the last answer away from a caller that has sent its next request, and
// against a request that was read behind another one and is dropped.
TEST_CASE("the last answer on a connection arrives whole although a further request has come",
          "[entry][promise-8][promise-12]")
{
    bool const stopping = GENERATE(true, false);
    bool const at_once = GENERATE(true, false);
    CAPTURE(stopping, at_once);
    std::string const goods(400'000, 'g');
    std::promise<void> go_on;
    auto released = go_on.get_future().share();
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
                          released.wait_for(limit);
                          connection.send(answer_to(request, goods));
                          return true;
                      })},
                      grace_setting};
    owned_socket const caller{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    int const window = 4'096; // most of the answer waits at the daemon's side
    ::setsockopt(caller.handle(), SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    auto const address = to_sockaddr(world.ip_, callers_port);
    REQUIRE(::connect(caller.handle(), reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0);
    auto first = request_text("GET", "/look/1", "id-first", "", 1'500ms);
    if (!stopping) {
        first.insert(first.find("\r\n") + 2, "Connection: close\r\n");
    }
    auto const second = request_text("GET", "/look/2", "id-second", "", 1'500ms);
    caller.send(first + (at_once ? second : ""));
    REQUIRE(eventually(limit, [&] { return world.arrivals() == 1; }));
    if (!at_once) {
        caller.send(second);
    }
    if (stopping) {
        begin_stop(world);
    }
    go_on.set_value();
    ::poll(nullptr, 0, 300); // a caller that reads late; the daemon closes meanwhile
    std::string all;
    for (auto more = caller.receive(); !more.empty(); more = caller.receive()) {
        all += more;
    }
    auto const behind = all.find("HTTP/1.1", 1);
    CHECK(is_whole(all.substr(0, behind)));
    CHECK(entry_world::status_of(all) == 200);
    CHECK((behind != std::string::npos) == stopping);
    if (stopping) {
        CHECK(is_whole(all.substr(behind)));
        CHECK(all.find("X-Request-Id: id-second", behind) != std::string::npos);
        CHECK(all.find("Connection: close", behind) != std::string::npos);
    }
}

// Guards against a caller that has sent a part of its request when the process ends and hears nothing.
TEST_CASE("a request that is still being read at the end of a planned stop is refused", "[entry][promise-12]")
{
    entry_world world{{after_probe(answering("x"))}, grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    auto const text = request_text("POST", "/buy/1", "id-part", "an order", 800ms);
    auto const shown = GENERATE(as<std::size_t>{}, 9, 60);
    CAPTURE(shown);
    auto const began = begin_stop(world);
    std::this_thread::sleep_until(began + grace / 2); // within the time in which a head may come
    caller.send(text.substr(0, text.size() - shown));
    auto const answer = receive_whole(caller);
    CHECK(std::chrono::steady_clock::now() - began < grace);
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(is_whole(answer));
    CHECK(world.daemon().wait_end() == 0);
    CHECK(world.arrivals() == 0);
}

// Guards against a caller that must upload all of a request before it hears that the stop leaves no time for
// it, and against a reset that takes the refusal away while it uploads.
TEST_CASE("an upload that cannot be served before the end of a planned stop is refused at once",
          "[entry][promise-12]")
{
    struct row {
        char const* what_;
        bool begun_; ///< The head came before the stop.
        bool asks_;  ///< The caller waits for 100 before it sends the body.
    };
    auto const r = GENERATE(row{"begun before the stop", true, false}, row{"begun in the stop", false, false},
                            row{"asked in the stop", false, true});
    CAPTURE(r.what_);
    constexpr std::size_t piece = 1'000;
    entry_world world{{after_probe(answering("x"))}, grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    auto text = request_text("POST", "/buy/1", "id-upload", std::string(900 * piece, 'b'), 4s);
    if (r.asks_) {
        text.insert(text.find("\r\n") + 2, "Expect: 100-continue\r\n");
    }
    auto const head = text.find("\r\n\r\n") + 4;
    auto sent = head;
    if (r.begun_) {
        sent += piece;
        caller.send(text.substr(0, sent));
        REQUIRE(eventually(limit, [&] { return world.metric(world.ip_, "auburnchute_open_requests") == 1; }));
        begin_stop(world);
    } else {
        begin_stop(world);
        caller.send(text.substr(0, sent));
    }
    auto const began = std::chrono::steady_clock::now();
    pollfd answered{caller.handle(), POLLIN, 0};
    if (!r.asks_) {
        for (; sent < text.size() && ::poll(&answered, 1, 1) == 0; sent += piece) { // a slow upload
            caller.send(text.substr(sent, piece));
        }
    }
    REQUIRE(::poll(&answered, 1, 10'000) == 1);
    CHECK(std::chrono::steady_clock::now() - began < scheduling_slack);
    CHECK(sent < text.size() / 2);
    if (!r.asks_) {
        caller.send(text.substr(sent)); // the rest, before it reads
    }
    auto const answer = receive_whole(caller);
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(is_whole(answer));
    CHECK(answer.find("X-Request-Id: id-upload") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(caller.receive().empty());
    CHECK(world.arrivals() == 0);
}

// Guards against a request that is held, and handed on, for longer than its caller waits.
TEST_CASE("a request's time limit counts from its first bytes", "[entry]")
{
    auto const in_head = GENERATE(false, true);
    CAPTURE(in_head);
    constexpr auto allowed = 2'000ms;
    constexpr auto pause = 1'000ms;
    entry_world world{{after_probe(answering("bought"))}};
    auto const caller = connect_to(world.ip_, callers_port);
    auto const text = request_text("POST", "/buy/1", "id-slow", "an order", allowed);
    auto const part = text.size() - (in_head ? 20 : 4);
    auto const began = std::chrono::steady_clock::now();
    caller.send(text.substr(0, part));
    std::this_thread::sleep_until(began + pause); // the slow upload that the test is about
    caller.send(text.substr(part));
    CHECK(entry_world::status_of(receive_whole(caller)) == 200);
    for (auto const& request : world.upstreams_[0]->requests()) {
        if (!is_probe(request)) {
            CHECK(std::stoll(request.field("X-Deadline-Ms")) <= (allowed - pause).count());
        }
    }
    CHECK(world.arrivals() == 1);
}

// Guards against an upload that outlasts its caller's time limit and is held, or ends without an answer.
TEST_CASE("an upload that outlasts its time limit is refused then", "[entry]")
{
    constexpr auto allowed = 700ms;
    entry_world world{{after_probe(answering("x"))}};
    auto const caller = connect_to(world.ip_, callers_port);
    auto const text = request_text("POST", "/buy/1", "id-endless", "an order", allowed);
    auto const began = std::chrono::steady_clock::now();
    caller.send(text.substr(0, text.size() - 4));
    auto const answer = receive_whole(caller);
    auto const took = std::chrono::steady_clock::now() - began;
    CHECK(took >= allowed - 10ms);
    CHECK(took < allowed + scheduling_slack);
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(is_whole(answer));
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(world.arrivals() == 0);
}

// Guards against a half read request that a stop misses as its read has just ended.
TEST_CASE("uploads that go on at the end of a planned stop are refused", "[entry][promise-12]")
{
    constexpr int uploads = 60;
    constexpr std::size_t piece = 1'000;
    constexpr std::size_t pieces = 900;
    entry_world world{{after_probe(answering("x"))}, grace_setting};
    auto const began = begin_stop(world);
    std::vector<std::future<std::string>> answers;
    for (int i = 0; i < uploads; ++i) {
        answers.push_back(std::async(std::launch::async, [&, i] {
            auto const caller = connect_to(world.ip_, callers_port);
            std::this_thread::sleep_until(began + grace * 3 / 4); // the head comes within its time limit
            auto text = request_text("POST", "/buy/1", "id-" + std::to_string(i),
                                     std::string(piece * pieces, 'b'), 700ms);
            auto const head = text.size() - piece * (pieces - 1);
            caller.send(text.substr(0, head));
            pollfd answered{caller.handle(), POLLIN, 0};
            for (auto at = head; at < text.size() && ::poll(&answered, 1, 1) == 0; at += piece) {
                caller.send(text.substr(at, piece));
            }
            return receive_whole(caller);
        }));
    }
    for (auto& answer : answers) {
        auto const text = answer.get();
        CHECK(entry_world::status_of(text) == 503);
        CHECK(is_whole(text));
    }
    CHECK(world.daemon().read_to_end().find("request-unanswered") == std::string::npos);
    CHECK(world.arrivals() == 0);
}

// Guards against requests on which a stop gives up in silence after a pause across its end.
TEST_CASE("what came during a pause across the end of the grace time is refused", "[entry][promise-12]")
{
    struct row {
        char const* what_;
        bool kept_;
        std::size_t missing_; ///< Bytes of the request that do not come.
    };
    auto const r = GENERATE(row{"whole, kept connection", true, 0}, row{"whole, new connection", false, 0},
                            row{"part of the body, kept", true, 4}, row{"part of the body, new", false, 4},
                            row{"part of the head, kept", true, 30}, row{"part of the head, new", false, 30});
    CAPTURE(r.what_);
    entry_world world{{after_probe(answering("x"))}, grace_setting};
    auto const before = kept_connection(world);
    auto const began = begin_stop(world);
    world.daemon().freeze();
    auto const fresh = connect_to(world.ip_, callers_port);
    auto const& caller = r.kept_ ? before : fresh;
    auto const text = request_text("POST", "/buy/1", "id-paused", "an order", 800ms);
    caller.send(text.substr(0, text.size() - r.missing_));
    std::this_thread::sleep_until(began + grace); // the pause that the test is about
    world.daemon().resume();
    auto const answer = receive_whole(caller);
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(is_whole(answer));
    auto const log = world.daemon().read_to_end();
    CHECK(log.find("request-unanswered") == std::string::npos);
    CHECK(log.find("accept-failed") == std::string::npos);
    CHECK(world.daemon().wait_end() == 0);
    CHECK(world.arrivals() == 0);
}

// Guards against a purchase that was read and dropped, so that its caller may not send it again.
TEST_CASE("a request that crosses the end of an idle connection is not read", "[entry][promise-12]")
{
    entry_world world{{after_probe(answering("x"))}, grace_setting};
    auto const caller = kept_connection(world);
    begin_stop(world);
    pollfd ended{caller.handle(), POLLIN, 0};
    REQUIRE(::poll(&ended, 1, 5'000) == 1);
    caller.send(request_text("POST", "/buy/1", "id-cross", "an order", 800ms)); // a caller further away
    int fault = 0;
    socklen_t size = sizeof fault;
    CHECK(eventually(2s, [&] {
        ::getsockopt(caller.handle(), SOL_SOCKET, SO_ERROR, &fault, &size);
        return fault != 0;
    }));
}

// Guards against a blocked write to a caller that outlives what it refers to, and ends unnamed.
TEST_CASE("a stream whose caller does not read ends with a planned stop and is named", "[entry][promise-12]")
{
    entry_world world{{after_probe([](received_request const& request, owned_socket& connection) {
                          connection.send(stream_head(request));
                          timeval const brief{0, 200'000};
                          ::setsockopt(connection.handle(), SOL_SOCKET, SO_SNDTIMEO, &brief, sizeof brief);
                          pollfd ended{connection.handle(), POLLIN, 0};
                          for (int number = 1; ::poll(&ended, 1, 0) == 0; ++number) {
                              connection.send(chunk("id: " + std::to_string(number) +
                                                    "\ndata: " + std::string(20'000, 'x') + "\n\n"));
                          }
                          return false;
                      })},
                      grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    caller.send(request_text("POST", "/watch/1", "id-stuck", "a question", 8s));
    REQUIRE(eventually(limit, [&] { return world.arrivals() == 1; }));
    auto const began = begin_stop(world);
    auto const log = world.daemon().read_to_end();
    CHECK(std::chrono::steady_clock::now() - began < grace);
    CHECK(log.find("\"event\":\"request-unanswered\",\"id\":\"id-stuck\"") != std::string::npos);
    CHECK(log.find("\"event\":\"request\",\"id\":\"id-stuck\"") != std::string::npos);
    CHECK(world.daemon().wait_end() == 0);
}

// Guards against an exception in a session that ends its request without an answer or a line that names it.
TEST_CASE("an unexpected exception ends a request with an answer", "[entry][promise-8]")
{
    entry_world world{{after_probe(answering("x"))}};
    auto const caller = connect_to(world.ip_, callers_port);
    caller.send(request_text("TRACE", "/look/1", "id-thrown", "a body that this method may not have", 2s));
    auto const answer = receive_whole(caller);
    CHECK(entry_world::status_of(answer) == 500);
    CHECK(is_whole(answer));
    CHECK_NOTHROW(world.daemon().wait_text("\"event\":\"request\",\"id\":\"id-thrown\"", 5s));
    CHECK(entry_world::status_of(world.call("GET", "/look/1").receive_until("x")) == 200);
}

// Guards against a whole answer of an upstream that is replaced by a failure of the VM's own.
TEST_CASE("a whole failure that comes during a planned stop is passed on", "[entry][promise-8]")
{
    std::promise<void> go_on;
    auto released = go_on.get_future().share();
    auto const script = after_probe([&](received_request const& request, owned_socket& connection) {
        released.wait_for(limit);
        connection.send(answer_to(request, "broken", 500));
        return true;
    });
    entry_world world{{script, script}, grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    caller.send(request_text("GET", "/look/1", "id-500", "", 5s));
    REQUIRE(eventually(limit, [&] { return world.arrivals() == 1; }));
    begin_stop(world);
    go_on.set_value();
    CHECK(entry_world::status_of(receive_whole(caller)) == 500);
    CHECK(world.arrivals() == 1);
}

// Guards against a process that was paused during its grace time and takes requests that it has no time for.
TEST_CASE("a daemon that was paused across the end of its grace time cuts nothing that it takes",
          "[entry][promise-12]")
{
    entry_world world{{after_probe(stream_without_end)}, grace_setting};
    auto const idle = kept_connection(world);
    auto const late = kept_connection(world);
    auto const began = begin_stop(world);
    world.daemon().freeze();
    late.send(request_text("POST", "/buy/1", "id-paused", "an order", 800ms));
    std::this_thread::sleep_until(began + grace + scheduling_slack); // the pause that the test is about
    world.daemon().resume();
    auto const answer = receive_whole(late);
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(is_whole(answer));
    CHECK(idle.receive().empty());
    CHECK(world.daemon().wait_end() == 0);
    CHECK(world.arrivals() == 0);
}

// Guards against a reload that takes the handling of signals with it, so that the next stop is not graceful.
TEST_CASE("a planned stop is graceful after a settings file that cannot be read", "[entry][promise-12]")
{
    auto const r = GENERATE(as<std::string>{}, "[a, b]: c\n", "{a: 1}: 2\n", "vm: [1\n", "vm: {x: y}\n",
                            std::string(100'000, '['), std::string("vm: \0\xff\xfe\n", 8), "");
    CAPTURE(r.substr(0, 20));
    entry_world world{{after_probe(stream_without_end)}, grace_setting};
    auto const caller = connect_to(world.ip_, callers_port);
    caller.send(request_text("POST", "/watch/1", "id-long", "a question", 8s));
    REQUIRE(eventually(limit, [&] { return world.arrivals() == 1; }));
    std::ofstream{world.settings_.back(), std::ios::trunc} << r;
    ::kill(world.daemon().pid(), SIGHUP);
    CHECK_NOTHROW(world.daemon().wait_text("\"event\":\"settings-rejected\"", 5s));
    begin_stop(world);
    auto const log = world.daemon().read_to_end();
    CHECK(log.find("\"event\":\"request\",\"id\":\"id-long\"") != std::string::npos);
    CHECK(world.daemon().wait_end() == 0);
}

// Guards against a process that listens before it handles signals, and is killed by the stop that comes then.
TEST_CASE("a stop just after the start is graceful", "[entry][promise-12]")
{
    constexpr int starts = 8;
    entry_world world{{after_probe(answering("x"))}};
    auto const ip = "127.78" + world.ip_.substr(world.ip_.find('.', 4));
    for (int i = 0; i < starts; ++i) {
        CAPTURE(i);
        world.start_daemon(ip, "front-a-2", "a", "shutdown_grace_s: 1\n");
        auto& daemon = *world.daemons_.at(ip);
        for (bool listens = false; !listens;) { // without a pause, so as to come at the first moment
            try {
                (void)connect_to(ip, callers_port);
                listens = true;
            } catch (std::runtime_error const&) {
                REQUIRE_FALSE(daemon.has_ended());
            }
        }
        CHECK(daemon.stop() == 0);
    }
}

// Guards against a process that stands still for a moment, and is killed as its steps then come late.
TEST_CASE("a planned stop with a short pause in it ends in time", "[entry][promise-12]")
{
    constexpr auto short_grace = 2'000ms;
    struct row {
        char const* what_;
        std::chrono::milliseconds from_; ///< Since the signal.
        std::chrono::milliseconds to_;
    };
    auto const r =
        GENERATE(row{"as the signal comes", 0ms, 400ms}, row{"as the answers' time ends", 1'600ms, 1'850ms});
    CAPTURE(r.what_);
    entry_world world{{after_probe([](received_request const&, owned_socket& connection) {
                          (void)connection.receive(); // works until the daemon gives up
                          return false;
                      })},
                      "shutdown_grace_s: 2\n"};
    auto const caller = connect_to(world.ip_, callers_port); // does not close it
    caller.send(request_text("POST", "/buy/1", "id-long", "an order", 4s));
    REQUIRE(eventually(limit, [&] { return world.arrivals() == 1; }));
    auto& daemon = world.daemon();
    auto const began = std::chrono::steady_clock::now();
    if (r.from_ == 0ms) {
        daemon.freeze();
        ::kill(daemon.pid(), SIGTERM);
    } else {
        ::kill(daemon.pid(), SIGTERM);
        std::this_thread::sleep_until(began + r.from_); // the pause that the test is about
        daemon.freeze();
    }
    std::this_thread::sleep_until(began + r.to_);
    daemon.resume();
    REQUIRE(eventually(limit, [&] { return daemon.has_ended(); }));
    CHECK(std::chrono::steady_clock::now() - began < short_grace);
    CHECK(daemon.wait_end() == 0);
    CHECK(entry_world::status_of(receive_whole(caller)) == 502);
    CHECK(daemon.read_to_end().find("\"event\":\"ended\"") != std::string::npos);
}

// Guards against a signal that meets no handler any more while the process ends.
TEST_CASE("signals that come to the very end of a stop change nothing", "[entry][promise-12]")
{
    constexpr int stops = 8;
    entry_world world{{after_probe(answering("x"))}, "shutdown_grace_s: 1\n"};
    for (int i = 0; i < stops; ++i) {
        CAPTURE(i);
        if (i > 0) {
            world.start_daemon(world.ip_, "front-a-1", "a", "shutdown_grace_s: 1\n");
            REQUIRE(eventually(limit, [&] { return world.ready(); }));
        }
        auto& daemon = world.daemon();
        ::kill(daemon.pid(), SIGTERM);
        while (!daemon.has_ended()) {
            ::kill(daemon.pid(), i % 2 == 0 ? SIGHUP : SIGTERM);
            ::poll(nullptr, 0, 1); // a reload takes some time
        }
        CHECK(daemon.wait_end() == 0);
    }
}
