#include "transport/entry/entry_world.hpp"

#include <atomic>
#include <functional>

using namespace auburnchute::tests;

namespace {

/// Settings of the daemon under test: a small machine.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t descriptors = 400;
constexpr std::size_t largest_body = 1'000'000; ///< Bytes that the configuration of the test allows.
constexpr int crowd = 64;
constexpr int idle_crowd = 500; ///< Connections on which nothing comes.

/// Settings of the tests of heads and trailers: more connections, and a larger limit on heads.
constexpr std::size_t many_descriptors = 1'000;
constexpr int many = 500;
constexpr std::size_t large_header_bytes = 65'536;
constexpr std::size_t large_trailer = 120'000; ///< More than any limit, less than a process read at once.
constexpr std::size_t legal_fields = 60'000;   ///< Bytes of fields within `large_header_bytes`.
constexpr std::size_t endless_bytes = 1'000'000;

/// Without a byte taken for so long, in milliseconds, a caller of the crowd stops sending.
constexpr int stalled_ms = 2'000;

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

std::size_t open_descriptors(pid_t pid)
{
    std::filesystem::directory_iterator const all{"/proc/" + std::to_string(pid) + "/fd"};
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// Sends the same bytes on all connections, in turns of a piece, as far as they are taken.
void send_in_turns(std::vector<owned_socket> const& callers, std::string const& bytes, std::size_t piece)
{
    std::vector<std::size_t> sent(callers.size());
    while (true) {
        std::vector<pollfd> open;
        std::vector<std::size_t> places;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            if (sent[i] < bytes.size()) {
                open.push_back({callers[i].handle(), POLLOUT, 0});
                places.push_back(i);
            }
        }
        if (open.empty() || ::poll(open.data(), open.size(), stalled_ms) <= 0) {
            return;
        }
        for (std::size_t at = 0; at < open.size(); ++at) {
            if (open[at].revents == 0) {
                continue;
            }
            auto& done = sent[places[at]];
            auto const size = ::send(open[at].fd, bytes.data() + done, std::min(piece, bytes.size() - done),
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
            done = size > 0 ? done + static_cast<std::size_t>(size) : bytes.size();
        }
    }
}

std::string head(std::string const& path, std::string const& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\n" + fields + "\r\n";
}

/// \returns Fields of four bytes each, the shortest that a line can hold.
std::string small_fields(std::size_t bytes)
{
    std::string all;
    while (all.size() + 4 <= bytes) {
        all += "A:\r\n";
    }
    return all;
}

/// \returns A head that does not end. Its lines end where a read of any multiple of four bytes ends.
std::string open_head(std::string const& path, std::size_t bytes)
{
    auto text = head(path, "P: ");
    text.resize(text.size() - 4); // the end of the field and of the head
    text += std::string(6 - text.size() % 4, 'p') + "\r\n";
    return text + small_fields(bytes);
}

std::string chunks(std::size_t size, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += chunk(std::string(size, 'x'));
    }
    return all;
}

struct crowd_row {
    char const* what_;
    int callers_;
    std::string bytes_;
    std::size_t piece_{1'000'000}; ///< Bytes that a caller sends before it is the next one's turn.
    bool reads_{};                 ///< The callers read their answers.
    int port_{callers_port};
    std::size_t descriptors_{descriptors};
    std::size_t header_bytes_{}; ///< Limit of the configuration; 0: that of `config_document`.
};

std::vector<crowd_row> crowd_rows()
{
    std::string const key = "Api-Key: key\r\n";
    std::string const chunked = key + "Transfer-Encoding: chunked\r\n";
    std::string const length = "Content-Length: " + std::to_string(largest_body) + "\r\n";
    std::string const body(largest_body, 'x');
    auto const short_body = body.substr(1);
    return {
        {"announced over the limit", crowd,
         head("/look/1", key + "Content-Length: 900000000\r\n") + body + body},
        {"sent over the limit", crowd, head("/look/1", chunked) + chunks(100'000, 40)},
        {"whole bodies of legal size", crowd, head("/look/1", key + length) + body, 1'000'000, true},
        {"bodies that stop short", crowd, head("/look/1", key + length) + short_body},
        {"bodies in pieces that stop short", crowd, head("/look/1", key + length) + short_body, 20'000},
        {"large chunks that stop short", crowd, head("/look/1", chunked) + chunks(99'000, 10)},
        {"tiny chunks that stop short", crowd, head("/look/1", chunked) + chunks(1, 200'000)},
        {"heads that stop short", crowd, head("/look/1", "A: " + std::string(16'000, 'x')).substr(0, 16'000)},
        {"without a key", crowd, head("/look/1", length) + short_body},
        {"without a route", crowd, head("/nowhere/1", key + length) + short_body},
        {"connections without a byte", idle_crowd, ""},
        {"long answers that are not read", crowd, head("/buy/long", key + "Content-Length: 0\r\n")},
        {"streams that are not read", crowd / 2, head("/watch/long", key + "Content-Length: 0\r\n")},
    };
}

/// Heads, trailers and what lies before a body's bytes.
std::vector<crowd_row> field_rows()
{
    std::string const key = "Api-Key: key\r\n";
    auto const chunked = head("/look/1", key + "Transfer-Encoding: chunked\r\n") + chunk("x");
    auto const waiting = head("/look/wait", key + "Transfer-Encoding: chunked\r\n") + chunk("x");
    auto const two_bytes = key + "Content-Length: 2\r\n";
    auto const row = [](char const* what, int callers, std::string bytes) {
        return crowd_row{.what_ = what,
                         .callers_ = callers,
                         .bytes_ = std::move(bytes),
                         .descriptors_ = many_descriptors,
                         .header_bytes_ = large_header_bytes};
    };
    auto const short_body = head("/look/1", two_bytes + small_fields(legal_fields)) + "x";
    return {
        row("heads of many fields before a body that stops short", crowd, short_body),
        row("heads of many fields that wait for an answer", crowd,
            head("/look/wait", two_bytes + small_fields(legal_fields)) + "xx"),
        row("heads of whole lines without end", crowd, open_head("/look/1", endless_bytes)),
        row("heads that stop short", many, open_head("/look/1", legal_fields)),
        row("a head's line that stops short", many,
            head("/look/1", "A: " + std::string(legal_fields, 'x')).substr(0, legal_fields)),
        row("trailers of many fields that stop short", many, chunked + "0\r\n" + small_fields(large_trailer)),
        row("a trailer's line that stops short", many,
            chunked + "0\r\nA: " + std::string(large_trailer, 'x')),
        row("trailers without end", crowd, chunked + "0\r\n" + small_fields(endless_bytes)),
        row("whole trailers of many fields that wait for an answer", crowd,
            waiting + "0\r\n" + small_fields(legal_fields) + "\r\n"),
        row("a chunk's extension that stops short", many, chunked + "5;a=" + std::string(large_trailer, 'x')),
        row("a chunk's length that stops short", many, chunked + std::string(large_trailer, '0')),
    };
}

/// Pages of the daemon's own, which callers reach, too.
std::vector<crowd_row> page_rows()
{
    auto const row = [](char const* what, int port, int callers, std::string bytes) {
        return crowd_row{.what_ = what, .callers_ = callers, .bytes_ = std::move(bytes), .port_ = port};
    };
    std::string const body(largest_body, 'x');
    auto const upload = head("/auburnchute/ready", "Content-Length: 1000000\r\n") + body.substr(1);
    return {
        row("connections to the page for readiness", ready_port, idle_crowd, ""),
        row("connections to the directory", directory_port, idle_crowd, ""),
        row("bodies at the page for readiness", ready_port, crowd, upload),
        row("bodies at the directory", directory_port, crowd, upload),
        row("heads of whole lines at the page for readiness", ready_port, crowd,
            open_head("/auburnchute/ready", endless_bytes)),
    };
}

/// Answers of the crowd's that wait are sent when the test has seen what they cost.
std::atomic<bool> released{false};

bool answer_crowd(received_request const& request, owned_socket& connection)
{
    if (request.head_.find("/look/wait") != std::string::npos) {
        (void)eventually(limit, [] { return released.load(); });
    }
    if (request.head_.find("/buy/long") != std::string::npos) {
        connection.send(answer_to(request, std::string(std::size_t{4} * 1024 * 1024, 'a')));
    } else if (request.head_.find("/watch/long") != std::string::npos) {
        connection.send(stream_head(request));
        for (int i = 1; i <= 8; ++i) {
            connection.send(
                chunk("id: " + std::to_string(i) + "\ndata: " + std::string(900'000, 's') + "\n\n"));
        }
        connection.send("0\r\n\r\n");
    } else {
        connection.send(answer_to(request, "fine"));
    }
    return true;
}

void play_crowd(crowd_row const& r)
{
    CAPTURE(r.what_);
    released = false;
    // With places for all of the crowd, so that nobody is refused for their lack.
    entry_world world{std::vector<scripted_upstream::script>(13, after_probe(answer_crowd)),
                      "memory_mb: " + std::to_string(memory_mb) +
                          "\nmax_descriptors: " + std::to_string(r.descriptors_) + "\n"};
    if (r.header_bytes_ > 0) {
        auto config = nlohmann::json::parse(config_document(4, "\"key\""));
        config["limits"]["max_header_bytes"] = r.header_bytes_;
        world.store_.put("keyed.op", "config", config.dump());
        REQUIRE(eventually(limit, [&] {
            auto const large = world.call("GET", "/look/0", "", "Api-Key: key\r\n" + small_fields(30'000));
            return entry_world::status_of(large.receive_until("\r\n\r\n")) == 200;
        }));
    }
    auto const pid = world.daemon().pid();
    std::vector<owned_socket> callers;
    for (int i = 0; i < r.callers_; ++i) {
        callers.push_back(connect_to(world.ip_, r.port_));
        int const small = 4'096;
        ::setsockopt(callers.back().handle(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    }
    send_in_turns(callers, r.bytes_, r.piece_);
    for (auto const& caller : callers) {
        if (r.reads_) {
            (void)caller.receive_until("\r\n\r\n");
        }
    }
    auto const ordinary = world.call("GET", "/look/2").receive_until("fine");
    CHECK(entry_world::status_of(ordinary) == 200);
    auto const largest = world.call("POST", "/look/3", std::string(largest_body, 'y')).receive_until("fine");
    INFO(largest);
    CHECK(entry_world::status_of(largest) == 200);
    CHECK(open_descriptors(pid) <= r.descriptors_);
    CHECK(peak_memory_kb(pid) <= memory_mb * 1024);
    CHECK(world.ready());
    CHECK_FALSE(world.daemon().has_ended());
    released = true;
}

} // namespace

// Guards against a process that ends as it runs out of memory or descriptors by callers that nobody controls.
TEST_CASE("a crowd of callers outside the limits costs others nothing", "[entry][crowd]")
{
    auto const r = GENERATE(from_range(crowd_rows()));
    play_crowd(r);
}

// Guards against the same by what surrounds a body, which no limit on bodies counts (issue 51).
TEST_CASE("a crowd of callers with heads and trailers without end costs others nothing", "[entry][crowd]")
{
    auto const r = GENERATE(from_range(field_rows()));
    play_crowd(r);
}

// Guards against the same at the pages of the daemon's own (issue 51).
TEST_CASE("a crowd at the daemon's own pages costs callers nothing", "[entry][crowd]")
{
    auto const r = GENERATE(from_range(page_rows()));
    play_crowd(r);
}

// Guards against state that is kept under a name which callers make up, long after their requests have ended
// (issue 51).
TEST_CASE("names that callers make up are forgotten with their requests", "[entry][crowd]")
{
    constexpr int requests = 5'000;
    constexpr std::size_t name_bytes = 12'000;
    entry_world world{{after_probe(answer_crowd)}, "memory_mb: " + std::to_string(memory_mb) + "\n"};
    auto const caller = connect_to(world.ip_, callers_port);
    // Beyond its rate a request is refused, and the caller goes on all the same.
    for (int served = 0, sent = 0; served < requests; ++sent) {
        caller.send("GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-" + std::to_string(sent) +
                    "\r\nApi-Key: key\r\nX-Model: " + std::to_string(sent) + std::string(name_bytes, 'm') +
                    "\r\n\r\n");
        auto const status = entry_world::status_of(caller.receive_until("\r\n\r\n"));
        REQUIRE((status == 200 || status == 429));
        served += status == 200 ? 1 : 0;
    }
    CHECK(peak_memory_kb(world.daemon().pid()) <= memory_mb * 1024);
    CHECK_FALSE(world.daemon().has_ended());
}
