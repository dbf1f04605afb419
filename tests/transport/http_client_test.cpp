#include "transport/http_client.hpp"

#include "transport/endless_service.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>

using namespace auburnchute;
using auburnchute::tests::endless_service;

namespace {

constexpr std::size_t largest_answer = std::size_t{1024} * 1024;

} // namespace

// Guards against a daemon that runs out of memory by an answer without end, to a request, a call for a report
// or an order, or a read of the log or of the list of VMs.
TEST_CASE("a call of auburnchuted ends when its answer is larger than its bounds", "[transport]")
{
    struct row {
        char const* what_;
        std::string start_;
        std::string again_{"x"};
    };
    std::string const head = "HTTP/1.1 200 OK\r\n";
    auto const r =
        GENERATE_COPY(row{"a status line", ""}, row{"a field", head + "A: "}, row{"fields", head, "A: b\r\n"},
                      row{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                      row{"a chunk's length", head + "Transfer-Encoding: chunked\r\n\r\n"},
                      row{"a chunk's extension", head + "Transfer-Encoding: chunked\r\n\r\n5;a="},
                      row{"a trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
                      row{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
                      row{"a body", head + "\r\n"});
    CAPTURE(r.what_);
    endless_service service{r.start_, r.again_};
    http_client client{service.address(), {{1'000}, {5'000}, {1'000}, largest_answer}};
    auto const answer = client.call({.target_ = "/"});
    CHECK(answer.fault_ == call_fault::wrong_answer);
    CHECK(service.taken() < endless_service::most_taken);
}

// Guards against sound answers that the client cuts, joins wrongly or does not recognise.
TEST_CASE("the client of auburnchuted reads answers of any sound shape", "[transport]")
{
    struct row {
        char const* what_;
        std::string answer_;
        int status_;
        std::string body_;
        call_fault fault_{call_fault::none};
        std::string method_{"GET"};
    };
    std::string const large(largest_answer, 's');
    auto const r = GENERATE_COPY(
        row{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
        row{"chunks",
            "HTTP/1.1 201 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;a=b\r\ndy\r\n0\r\nT: t\r\n\r\n",
            201, "body"},
        row{"the connection's end", "HTTP/1.0 200 OK\r\n\r\nbody", 200, "body"},
        row{"no body", "HTTP/1.1 204 X\r\n\r\n", 204, ""},
        row{"an interim answer before", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\n-",
            404, "-"},
        row{"the largest",
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(largest_answer) + "\r\n\r\n" + large, 200,
            large},
        row{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 200, "", call_fault::none, "HEAD"},
        row{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", 200, "bo",
            call_fault::broken},
        row{"cut in the head", "HTTP/1.1 200 OK\r\nCon", 0, "", call_fault::broken},
        row{"no answer", "", 0, "", call_fault::broken},
        row{"no HTTP", "220 mail\r\n\r\n", 0, "", call_fault::wrong_answer});
    CAPTURE(r.what_);
    endless_service service{r.answer_, ""}; // without further bytes
    http_client client{service.address(), {{1'000}, {5'000}, {1'000}, largest_answer}};
    auto const answer = client.call({.method_ = r.method_, .target_ = "/"});
    CHECK(answer.fault_ == r.fault_);
    CHECK(answer.status_ == r.status_);
    CHECK(answer.body_ == r.body_);
}

// Guards against a part that is taken for a whole answer: without a length its end is the connection's, and a
// failed write takes the socket's error, so that the reset then looks like an end.
TEST_CASE("an answer that is cut while the upload is written is whole only by its own length",
          "[transport][mixed]")
{
    struct row {
        char const* what_;
        std::string answer_;
        call_fault fault_;
    };
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string const chunk = "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    auto const r = GENERATE_COPY(
        row{"no length", head + "\r\npart", call_fault::broken},
        row{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", call_fault::broken},
        row{"events", head + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n", call_fault::broken},
        row{"short of its length", head + "Content-Length: 5\r\n\r\npart", call_fault::broken},
        row{"short of its last chunk", head + chunk, call_fault::broken},
        row{"whole by its length", head + "Content-Length: 4\r\n\r\npart", call_fault::none},
        row{"whole by its chunks", head + chunk + "0\r\n\r\n", call_fault::none});
    CAPTURE(r.what_);
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::string const upload(std::size_t{32} * 1024 * 1024, 'u'); // more than the kernel holds
    std::thread upstream{[&] {
        auto connection = acceptor.accept();
        std::string request;
        boost::system::error_code ignored;
        boost::asio::read_until(connection, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        boost::asio::write(connection, boost::asio::buffer(r.answer_), ignored);
        connection.set_option(boost::asio::socket_base::linger{true, 0}); // the close is a reset
    }};
    http_client client{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                       {{1'000}, {5'000}, {5'000}, largest_answer}};
    auto const answer = client.call({.method_ = "POST", .target_ = "/", .body_ = upload});
    upstream.join();
    CHECK(answer.fault_ == r.fault_);
}

// Guards against an upstream in trouble whose answer has no status of HTTP.
TEST_CASE("the client takes an answer with a status outside 100 to 599 for none", "[transport][mixed]")
{
    auto const* const status = GENERATE("000", "001", "099", "600", "999");
    auto const* const interim = GENERATE("", "HTTP/1.1 103 X\r\n\r\n");
    CAPTURE(status, interim);
    endless_service service{
        std::string{interim} + "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody", ""};
    http_client client{service.address(), {{1'000}, {5'000}, {1'000}, largest_answer}};
    CHECK(client.call({.target_ = "/"}).fault_ == call_fault::wrong_answer);
}

// Guards against a call that goes on after it was ended, or that ends late.
TEST_CASE("a call ends when it is stopped or its time is over", "[transport]")
{
    auto const stopped = GENERATE(true, false);
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor silent{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    http_client client{"127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
                       {{1'000}, stopped ? millis{60'000} : millis{100}, {1'000}}};
    std::thread stopper;
    if (stopped) {
        stopper = std::thread{[&] {
            auto const connection = silent.accept();
            client.stop();
        }};
    }
    CHECK(client.call({.target_ = "/"}).fault_ == call_fault::broken);
    if (stopper.joinable()) {
        stopper.join();
    }
    http_client ended{"127.0.0.1:" + std::to_string(silent.local_endpoint().port()), {}};
    ended.stop();
    CHECK(ended.call({.target_ = "/"}).fault_ == call_fault::not_connected);
}

// Guards against a wrong claim that a request was sent, or was not.
TEST_CASE("a call tells whether it was connected and refuses malformed addresses", "[transport]")
{
    std::string address;
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::acceptor closed{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
        address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }
    CHECK(http_client{address, {}}.call({.target_ = "/"}).fault_ == call_fault::not_connected);
    auto const malformed =
        GENERATE("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "name:80");
    CHECK_THROWS_AS((http_client{malformed, {}}), error);
}
