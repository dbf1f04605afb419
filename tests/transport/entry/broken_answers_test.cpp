#include "transport/entry/entry_world.hpp"

using namespace auburnchute::tests;

namespace {

std::string answer_head(received_request const& request, std::string const& status_line,
                        std::string const& fields)
{
    return status_line + "\r\nX-Request-Id: " + request.field("X-Request-Id") +
           "\r\nX-Response-Stamp: proof\r\n" + fields + "\r\n";
}

bool looks_complete(std::string const& answer)
{
    bool const chunked = answer.find("Transfer-Encoding: chunked") != std::string::npos;
    return entry_world::status_of(answer) / 100 == 2 && (!chunked || answer.ends_with("0\r\n\r\n"));
}

std::string receive_all(owned_socket const& connection)
{
    return connection.receive_until("never sent");
}

} // namespace

// Guards against a part of an answer that a caller takes for the whole: its upstream reset the connection.
TEST_CASE("an answer without a length that ends by a reset is not complete", "[entry][broken]")
{
    struct row {
        char const* what_;
        std::string path_;
        std::string fields_;
        std::string body_;
    };
    std::string const events = "Content-Type: text/event-stream\r\n";
    auto const r =
        GENERATE_COPY(row{"a plain answer", "/buy/1", "", "a part"},
                      row{"a stream between two events", "/watch/1", events, event(1) + event(2)},
                      row{"a stream that may go on", "/resume/1", events, event(1) + event(2)},
                      row{"a stream inside an event", "/watch/1", events, event(1) + "id: 2\ndata: ha"},
                      row{"a stream before its first event", "/watch/1", events, ""},
                      row{"a stream route whose answer has no events", "/watch/1",
                          "Content-Type: text/plain\r\n", "a part"});
    bool const early = GENERATE(false, true); // while the upload is still being written
    CAPTURE(r.what_, early);
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        connection.send(answer_head(request, "HTTP/1.1 200 OK", r.fields_) + r.body_);
        connection.reset();
        return false;
    })}};
    auto const upload = std::string(early ? 900'000 : 1, 'u');
    std::string const fields =
        std::string{"Api-Key: key\r\nConnection: close\r\n"} + (early ? "X-Early: 1\r\n" : "");
    auto const answer = receive_all(world.call("POST", r.path_, upload, fields));
    CAPTURE(answer.substr(0, 400));
    CHECK_FALSE(looks_complete(answer));
}

// Guards against an answer of a status that there is not: its upstream is in trouble.
TEST_CASE("an answer with a status outside 100 to 599 is none", "[entry][broken]")
{
    auto const status = GENERATE("000", "001", "099", "600", "999");
    auto const path = GENERATE("/buy/1", "/watch/1", "/look/1");
    CAPTURE(status, path);
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        connection.send(
            answer_head(request, "HTTP/1.1 " + std::string{status} + " X", "Content-Length: 5\r\n") +
            "wrong");
        return true;
    })}};
    auto const answer = receive_all(world.call("POST", path, "q", "Api-Key: key\r\nConnection: close\r\n"));
    CHECK(entry_world::status_of(answer) == 502);
    CHECK(answer.find("wrong") == std::string::npos);
}

// Guards against a sound answer that is taken for a broken one as it came early, or behind interim answers.
TEST_CASE("a sound answer before the end of the upload, or behind interim ones, is whole", "[entry][broken]")
{
    auto const path = GENERATE("/buy/1", "/watch/1");
    bool const interim = GENERATE(false, true);
    CAPTURE(path, interim);
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        connection.send(
            (interim ? std::string{"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"} : "") +
            stream_head(request) + chunk(event(1)) + "0\r\n\r\n");
        return true;
    })}};
    auto const answer = receive_all(world.call("POST", path, std::string(900'000, 'u'),
                                               "Api-Key: key\r\nConnection: close\r\nX-Early: 1\r\n"));
    CHECK(entry_world::status_of(answer) == 200);
    CHECK(answer.find("piece") != std::string::npos);
    CHECK(looks_complete(answer));
}
