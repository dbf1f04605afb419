#include "transport/entry/entry_world.hpp"

#include <atomic>

using namespace auburnchute::tests;

namespace {

/// Memory that a daemon may use (DEVELOPERS.md, "Target").
constexpr std::size_t memory_limit_kb = 256 * 1024;

/// More than a daemon takes of one answer, with what the kernel's buffers hold.
constexpr std::size_t most_taken = std::size_t{64} * 1024 * 1024;

/// Sends the text again and again until the peer closes. \returns Bytes sent, at most `limit`.
std::size_t send_without_end(owned_socket const& connection, std::string const& text, std::size_t limit)
{
    std::string block;
    while (block.size() < 50'000) {
        block += text;
    }
    std::size_t sent = 0;
    while (sent < limit) {
        auto const size = ::send(connection.handle(), block.data(), block.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return sent;
        }
        sent += static_cast<std::size_t>(size);
    }
    return sent;
}

/// \returns The largest resident memory of a process so far, in KiB.
std::size_t peak_memory_kb(pid_t pid)
{
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

std::string head_of(received_request const& request, std::string const& fields,
                    std::string const& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.field("X-Request-Id") +
           "\r\nX-Response-Stamp: proof\r\n" + fields + "\r\n";
}

} // namespace

// Guards against a process that runs out of memory, and takes the requests of all its callers with it, by
// bytes that one upstream sends without end.
TEST_CASE("an upstream that sends bytes without end costs one request and little memory",
          "[entry][promise-8]")
{
    struct row {
        char const* what_;
        char const* path_;
        std::string fields_; ///< The head's fields; empty: the head itself has no end.
        std::string start_;  ///< Sent once.
        std::string again_;  ///< Sent without end.
    };
    std::string const chunked = "Transfer-Encoding: chunked\r\n";
    std::string const events = "Content-Type: text/event-stream\r\n" + chunked;
    std::string const chunk_of_x = chunk(std::string(4'096, 'x'));
    auto const r =
        GENERATE_COPY(row{"a status line", "/buy/1", "", "", "x"},
                      row{"a head's field", "/buy/1", "", "HTTP/1.1 200 OK\r\nA: ", "x"},
                      row{"fields of a head", "/buy/1", "", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
                      row{"empty lines before a head", "/buy/1", "", "", "\r\n"},
                      row{"interim answers", "/buy/1", "", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                      row{"a chunk's length", "/buy/1", chunked, "", "x"},
                      row{"a chunk's length of zeros", "/buy/1", chunked, "", "0"},
                      row{"a chunk's extension", "/buy/1", chunked, "5;a=", "x"},
                      row{"a trailer", "/buy/1", chunked, "0\r\n", "A: b\r\n"},
                      row{"a body in chunks", "/buy/1", chunked, "", chunk_of_x},
                      row{"a body up to the connection's end", "/buy/1", "Connection: close\r\n", "", "x"},
                      row{"a stream's chunk length", "/watch/1", events, "", "x"},
                      row{"a stream's chunk length after an event", "/watch/1", events, chunk(event(1)), "x"},
                      row{"a stream's trailer", "/watch/1", events, chunk(event(1)) + "0\r\n", "A: b\r\n"},
                      row{"an event", "/watch/1", events, "", chunk_of_x});
    CAPTURE(r.what_);
    std::atomic<std::size_t> taken{0};
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        if (request.field("X-Request-Id") != "id-endless") {
            connection.send(answer_to(request, "whole"));
            return true;
        }
        connection.send((r.fields_.empty() ? "" : head_of(request, r.fields_)) + r.start_);
        taken = send_without_end(connection, r.again_, most_taken);
        return false;
    })}};
    auto const endless = world.call("POST", r.path_, "q", "Api-Key: key\r\n", "", "id-endless");
    auto const sound = world.call("GET", "/look/1", "", "Api-Key: key\r\n", "", "id-sound");
    CHECK(sound.receive_until("whole").ends_with("whole"));
    auto const answer = endless.receive_until("upstream-failed");
    CHECK((entry_world::status_of(answer) == 502 || answer.find("id: 1\n") != std::string::npos));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(eventually(limit, [&] { return taken > 0; }));
    CHECK(taken < most_taken);
    CHECK(peak_memory_kb(world.daemon().pid()) < memory_limit_kb);
    CHECK_FALSE(world.daemon().has_ended());
}

// Guards against the same by many answers, each within its own bound, and against a sound answer that is
// given up for them.
TEST_CASE("many large answers at once leave sound ones whole", "[entry][promise-8]")
{
    struct row {
        std::string path_;
        std::size_t upstreams_;
        int answers_;
        int blocks_; ///< Of each answer; one is below the largest event.
    };
    auto const r = GENERATE(row{"/buy/", 8, 48, 15}, row{"/watch/", 24, 250, 1});
    CAPTURE(r.path_);
    constexpr std::size_t block = std::size_t{1000} * 1000;
    std::atomic<bool> over{false};
    std::atomic<int> sent{0};
    auto const script = after_probe([&](received_request const& request, owned_socket& connection) {
        if (request.field("X-Request-Id") == "id-sound") {
            connection.send(head_of(request, "Content-Length: 200000\r\n") + std::string(200'000, 's'));
            return true;
        }
        connection.send(
            head_of(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        // A large part of an answer, or of an event, and then nothing until the end of the test.
        for (int i = 0; i < r.blocks_; ++i) {
            connection.send(chunk(std::string(block, 'x')));
        }
        ++sent;
        return eventually(limit, [&] { return over.load(); }) && false;
    });
    entry_world world{std::vector<scripted_upstream::script>(r.upstreams_, script)};
    std::vector<owned_socket> callers;
    for (int i = 0; i < r.answers_; ++i) {
        callers.push_back(world.call("POST", r.path_ + std::to_string(i), "q", "Api-Key: key\r\n", "",
                                     "id-" + std::to_string(i)));
    }
    CHECK(eventually(limit, [&] { return sent == r.answers_; }));
    auto const sound = world.call("GET", "/look/1", "", "Api-Key: key\r\n", "", "id-sound");
    auto const answer = sound.receive_until(std::string(200'000, 's'));
    CHECK(entry_world::status_of(answer) == 200);
    CHECK(answer.ends_with("ss"));
    over = true;
    CHECK(peak_memory_kb(world.daemon().pid()) < memory_limit_kb);
    CHECK_FALSE(world.daemon().has_ended());
}

// Guards against a sound answer that a bound refuses: the library counts 8 MiB of an answer that says its
// length, and of all events of a stream together.
TEST_CASE("large sound answers are passed on whole", "[entry][promise-8]")
{
    struct row {
        char const* path_;
        std::string fields_;
        std::string body_;
        std::size_t size_; ///< Of what the caller gets after the head, at least.
    };
    constexpr std::size_t large_body = std::size_t{15} * 1024 * 1024;
    constexpr std::size_t large_event = std::size_t{1000} * 1000;
    constexpr int events = 12;
    std::string long_stream;
    for (int i = 1; i <= events; ++i) {
        long_stream +=
            chunk("id: " + std::to_string(i) + "\ndata: " + std::string(large_event, 's') + "\n\n");
    }
    auto const r = GENERATE_COPY(
        row{"/buy/1", "Content-Length: " + std::to_string(large_body) + "\r\n", std::string(large_body, 's'),
            large_body},
        row{"/buy/1", "Transfer-Encoding: chunked\r\n", chunk(std::string(large_body, 's')) + "0\r\n\r\n",
            large_body},
        row{"/buy/1", "A: " + std::string(7'000, 'h') + "\r\nContent-Length: 4\r\n", "last", 4},
        row{"/buy/1", "Transfer-Encoding: chunked\r\n",
            "4;a=" + std::string(30'000, 'e') + "\r\nlast\r\n0\r\n\r\n", 4},
        row{"/watch/1", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            long_stream + "0\r\n\r\n", events * large_event},
        row{"/watch/1", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            chunk("id: 1\ndata: " + std::string(large_event, 's') + "\n\n") + "0\r\n\r\n", large_event});
    CAPTURE(r.path_, r.size_, r.fields_.substr(0, 40));
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        connection.send(head_of(request, r.fields_) + r.body_);
        return true;
    })}};
    auto const caller = world.call("POST", r.path_, "q", "Api-Key: key\r\n", "", "id-large");
    std::string answer = caller.receive_until("\r\n\r\n");
    auto const body = answer.find("\r\n\r\n") + 4;
    while (answer.size() - body < r.size_) {
        auto const more = caller.receive();
        REQUIRE_FALSE(more.empty());
        answer += more;
    }
    CHECK(entry_world::status_of(answer) == 200);
    CHECK(peak_memory_kb(world.daemon().pid()) < memory_limit_kb);
}
