// Callers outside the limits at a daemon with little memory. Crowds and bounds are fixed; nothing depends on
// time.
#include "transport/caller_connection.hpp"
#include "transport/fleet.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <thread>
#include <zlib.h>

using namespace auburnchute;
using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

/// The settings of the tests, and what the process may take by them.
constexpr char memory_setting[] = "memory_mb: 128\n";
constexpr std::size_t memory_bound_kib = 128 * kib;
constexpr char caller_settings[] = ", max_open_streams: 40, max_body_bytes: 2097152";
constexpr std::size_t largest_body = 2 * mib;

/// Connections of 40 requests, of those that are told that there is no room, and the process's own.
constexpr std::size_t descriptor_bound = 256;

struct crowd {
    char const* what_;
    std::size_t connections_;
    std::string head_;       ///< Sent first; ends before the blank line.
    std::string again_{};    ///< Sent again and again after it.
    std::size_t bytes_{};    ///< How much of `again_`, in all.
    std::size_t piece_{mib}; ///< Bytes of one send.
    int delay_ms_{};         ///< Of the service.
};

std::string head_of(std::string const& fields, bool with_key = true)
{
    return "POST /stock/crowd HTTP/1.1\r\nHost: a\r\n" + fields +
           (with_key ? std::string{"Authorization: Bearer "} + fleet_key + "\r\n" : std::string{});
}

std::string chunk_of(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

std::string repeat(std::string const& text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

/// Bytes of a head or trailer of small fields; four of them are a field.
constexpr std::size_t field_bytes = 60'000;

/// \returns A head that does not end. Its lines end where a read of any multiple of four bytes ends.
std::string aligned_head()
{
    auto text = head_of({}) + "P: ";
    return text + std::string(6 - text.size() % 4, 'p') + "\r\n";
}

std::string packed(std::size_t bytes)
{
    z_stream stream{};
    std::string zeros(bytes, '\0');
    std::string out(bytes / 500, '\0');
    deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED, MAX_WBITS + 16, MAX_MEM_LEVEL, Z_DEFAULT_STRATEGY);
    stream.next_in = reinterpret_cast<Bytef*>(zeros.data());
    stream.avail_in = static_cast<uInt>(zeros.size());
    stream.next_out = reinterpret_cast<Bytef*>(out.data());
    stream.avail_out = static_cast<uInt>(out.size());
    deflate(&stream, Z_FINISH);
    out.resize(stream.total_out);
    deflateEnd(&stream);
    return out;
}

crowd with_packed_body(char const* what, std::size_t bytes)
{
    auto const body = packed(bytes);
    return {what, 4,
            head_of("Content-Encoding: gzip\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") +
                "\r\n",
            body, body.size()};
}

std::size_t peak_kib(pid_t process)
{
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t peak = 0;
            status >> peak;
            return peak;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code gone;
    std::filesystem::directory_iterator const all{"/proc/" + std::to_string(process) + "/fd", gone};
    return gone ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

void send_all(owned_socket const& to, crowd const& r)
{
    // The daemon may answer before the end; it is not read, as by a caller that only sends.
    timeval const limit{5, 0}; // seconds, microseconds
    ::setsockopt(to.handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    to.send(r.head_);
    auto const text = r.again_.empty() ? std::string{} : repeat(r.again_, std::min(r.piece_, r.bytes_));
    for (std::size_t sent = 0; sent < r.bytes_;) {
        auto const size = std::min(text.size(), r.bytes_ - sent);
        if (::send(to.handle(), text.data(), size, MSG_NOSIGNAL) != static_cast<ssize_t>(size)) {
            return;
        }
        sent += size;
    }
}

/// A body of legal size whose values take many times its text.
crowd with_small_values(char const* what)
{
    std::string body = R"({"model":"none","messages":[{"role":"user","content":"x"}],"x":[{})";
    body += repeat(",{}", largest_body - body.size() - 5) + "]}";
    return {what,
            8,
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " +
                std::string{fleet_key} + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n",
            body,
            body.size(),
            body.size()};
}

/// A service whose answers are long.
class long_answers {
public:
    long_answers()
    {
        server_.Get("/report", [](httplib::Request const&, httplib::Response& response) {
            response.set_content(R"({"vm_instance":"desk-own-1","taken_ms_ago":0,"running":0,"waiting":0,)"
                                 R"("leaving":false})",
                                 "application/json");
        });
        server_.Get("/stock/.*", [](httplib::Request const&, httplib::Response& response) {
            response.set_content(std::string(answer_bytes, 'a'), "application/octet-stream");
        });
        server_.Post("/stock/.*", [](httplib::Request const&, httplib::Response& response) {
            response.set_content("ok", "text/plain");
        });
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread{[this] { server_.listen_after_bind(); }};
    }
    ~long_answers()
    {
        server_.stop();
        thread_.join();
    }
    long_answers(long_answers const&) = delete;
    long_answers& operator=(long_answers const&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    static constexpr std::size_t answer_bytes = 6 * mib;

private:
    httplib::Server server_;
    int port_{};
    std::thread thread_;
};

fleet_answer post(fleet const& f, std::string const& body)
{
    auto client = f.callers_client(0);
    client.set_bearer_token_auth(fleet_key);
    auto const result = client.Post("/stock/ordinary", body, "text/plain");
    return result ? fleet_answer{result->status, result->body, result->headers} : fleet_answer{};
}

} // namespace

// Guards against a daemon that runs out of memory or descriptors by callers outside the limits (issue 43).
TEST_CASE("a crowd outside the limits costs a daemon no more than its memory", "[crowd][process]")
{
    std::string const length = "Content-Length: " + std::to_string(largest_body) + "\r\n";
    std::string const chunked = "Transfer-Encoding: chunked\r\n";
    auto const r = GENERATE_COPY(
        crowd{"bodies announced over the limit", 64, head_of("Content-Length: 1000000000\r\n") + "\r\n", "x",
              mib},
        crowd{"bodies sent over the limit", 16, head_of(chunked) + "\r\n", chunk_of(64 * kib), 16 * mib},
        crowd{"legal bodies that stop short", 64, head_of(length) + "\r\n", "x", largest_body - 1},
        crowd{"legal bodies in pieces that stop short", 64, head_of(length) + "\r\n", "x", largest_body - 1,
              4 * kib},
        crowd{"large chunks that stop short", 64, head_of(chunked) + "\r\n", chunk_of(64 * kib), 2'000'000},
        crowd{"tiny chunks that stop short", 64, head_of(chunked) + "\r\n", chunk_of(1), mib},
        crowd{"legal bodies without a key that stop short", 64, head_of(length, false) + "\r\n", "x",
              largest_body - 1},
        crowd{"a line of a head without end", 64, head_of({}) + "A: ", "x", 2 * mib},
        crowd{"a head without end", 64, head_of({}), "A: b\r\n", mib},
        crowd{"the line of a chunk's length without end", 64, head_of(chunked) + "\r\n5;a=", "x", 2 * mib},
        crowd{"legal bodies that are whole", 64, head_of(length) + "\r\n", "x", largest_body, mib, 2'000},
        with_small_values("legal bodies of many small values"),
        crowd{"heads of many fields before a body that stops short", 100,
              head_of(length) + repeat("A:\r\n", field_bytes) + "\r\n", "x", 1},
        crowd{"heads of whole lines without end", 64, aligned_head(), "A:\r\n", mib},
        crowd{"heads of many fields that wait for an answer", 100,
              head_of("Content-Length: 2\r\n") + repeat("A:\r\n", 15'000) + "\r\n", "xx", 2, mib, 2'000},
        crowd{"trailers of many fields that stop short", 100, head_of(chunked) + "\r\n1\r\nx\r\n0\r\n",
              "A:\r\n", field_bytes},
        crowd{"a trailer's line that stops short", 100, head_of(chunked) + "\r\n1\r\nx\r\n0\r\nA: ", "x",
              field_bytes},
        crowd{"whole trailers of many fields that wait for an answer", 100,
              head_of(chunked) + "\r\n1\r\nx\r\n0\r\n" + repeat("A:\r\n", field_bytes), "\r\n", 2, mib,
              2'000},
        crowd{"trailers without end", 64, head_of(chunked) + "\r\n1\r\nx\r\n0\r\n", "A:\r\n", mib},
        with_packed_body("packed bodies that unpack to more than the limit", 64 * mib),
        crowd{"connections without a request", 400, ""});
    CAPTURE(r.what_);
    fleet f{{.daemons_ = 1,
             .engines_ = 1,
             .daemon_settings_ = memory_setting,
             .caller_settings_ = caller_settings}};
    auto const process = f.daemon(0).pid();
    REQUIRE(eventually(20s, [&] { return post(f, "calm").status_ == 200; }));
    CHECK(post(f, std::string(largest_body, 'x')).status_ == 200);
    fleet::fault(f.service_address(0), {{"delay_ms", r.delay_ms_}});
    auto const calm = open_descriptors(process);
    auto const colon = f.daemon_address(0).rfind(':');
    auto const ip = f.daemon_address(0).substr(0, colon);
    auto const port = std::stoi(f.daemon_address(0).substr(colon + 1));
    std::size_t most_descriptors = 0;
    {
        std::vector<owned_socket> connections;
        for (std::size_t i = 0; i < r.connections_; ++i) {
            connections.push_back(connect_to(ip, port));
            send_all(connections.back(), r);
            most_descriptors = std::max(most_descriptors, open_descriptors(process));
        }
        CHECK(eventually(60s, [&] { return post(f, "beside the crowd").status_ == 200; }));
        CHECK(most_descriptors <= descriptor_bound);
    }
    // What the kernel holds is read to its end.
    CHECK(eventually(60s, [&] { return open_descriptors(process) <= calm + 8; }));
    CHECK(eventually(60s, [&] { return post(f, "after").status_ == 200; }));
    CHECK(eventually(60s, [&] { return post(f, std::string(largest_body, 'x')).status_ == 200; }));
    CHECK_FALSE(f.daemon(0).has_ended());
    CHECK(peak_kib(process) <= memory_bound_kib);
}

// Guards against answers that callers do not take and that fill the memory.
TEST_CASE("callers that take their answers slowly cost a daemon no more than its memory", "[crowd][process]")
{
    constexpr std::size_t callers = 16;
    long_answers const service;
    fleet f{{.daemons_ = 1,
             .engines_ = 1,
             .services_ = 0,
             .daemon_settings_ = memory_setting,
             .own_service_ = service.address(),
             .caller_settings_ = caller_settings}};
    auto const process = f.daemon(0).pid();
    auto const calm = f.get(0, "/stock/calm");
    CHECK(calm.status_ == 200);
    CHECK(calm.body_.size() == long_answers::answer_bytes);
    auto const colon = f.daemon_address(0).rfind(':');
    {
        std::vector<owned_socket> connections;
        for (std::size_t i = 0; i < callers; ++i) {
            connections.push_back(connect_to(f.daemon_address(0).substr(0, colon),
                                             std::stoi(f.daemon_address(0).substr(colon + 1))));
            connections.back().send("GET /stock/slow HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " +
                                    std::string{fleet_key} + "\r\n\r\n");
        }
        CHECK(eventually(60s, [&] { return post(f, "beside the crowd").status_ == 200; }));
        CHECK(eventually(
            60s, [&] { return f.get(0, "/stock/beside").body_.size() == long_answers::answer_bytes; }));
    }
    CHECK(eventually(60s, [&] { return post(f, "after").status_ == 200; }));
    CHECK(eventually(60s, [&] { return post(f, std::string(largest_body, 'x')).status_ == 200; }));
    CHECK_FALSE(f.daemon(0).has_ended());
    CHECK(peak_kib(process) <= memory_bound_kib);
}
