#include "transport/entry/entry_world.hpp"

#include <functional>

using namespace auburnchute::tests;

namespace {

/// Settings of the daemon under test: a small machine.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t descriptors = 400;
constexpr std::size_t largest_body = 1'000'000; ///< Bytes that the configuration of the test allows.
constexpr int crowd = 64;
constexpr int idle_crowd = 500; ///< Connections on which nothing comes.

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

bool answer_crowd(received_request const& request, owned_socket& connection)
{
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

} // namespace

// Guards against a process that ends as it runs out of memory or descriptors by callers that nobody controls.
TEST_CASE("a crowd of callers outside the limits costs others nothing", "[entry][crowd]")
{
    auto const r = GENERATE(from_range(crowd_rows()));
    CAPTURE(r.what_);
    entry_world world{std::vector<scripted_upstream::script>(5, after_probe(answer_crowd)),
                      "memory_mb: " + std::to_string(memory_mb) +
                          "\nmax_descriptors: " + std::to_string(descriptors) + "\n"};
    auto const pid = world.daemon().pid();
    std::vector<owned_socket> callers;
    for (int i = 0; i < r.callers_; ++i) {
        callers.push_back(connect_to(world.ip_, callers_port));
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
    CHECK(entry_world::status_of(largest) == 200);
    CHECK(open_descriptors(pid) <= descriptors);
    CHECK(peak_memory_kb(pid) <= memory_mb * 1024);
    CHECK_FALSE(world.daemon().has_ended());
}
