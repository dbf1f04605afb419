#include "transport/entry/http_peer.hpp"

#include "transport/endless_service.hpp"

#include <auburnchute/error.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace auburnchute;

namespace {

/// A service that answers as many requests on each connection as the script says, and then falls silent.
class silent_service {
public:
    explicit silent_service(std::vector<int> answers)
        : acceptor_{loop_, {net::ip::make_address("127.0.0.1"), 0}}, thread_{
                                                                         [this, answers] { serve(answers); }}
    {
    }
    ~silent_service() { thread_.join(); }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void serve(std::vector<int> const& answers)
    {
        std::vector<tcp::socket> open;
        for (auto const count : answers) {
            open.push_back(acceptor_.accept());
            std::string requests;
            for (int i = 0; i < count; ++i) {
                auto const size = net::read_until(open.back(), net::dynamic_buffer(requests), "\r\n\r\n");
                requests.erase(0, size);
                net::write(open.back(),
                           net::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}));
            }
        }
        error_code ended; // until the caller closes its last connection
        std::string rest;
        net::read_until(open.back(), net::dynamic_buffer(rest), "never", ended);
    }

    net::io_context loop_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace

// Found on cancha-luz-grown, a drawn day (DRAIN): all connections to the store fell silent without a reset,
// the VMs that read for all waited 2.2 s for an answer and took the store for lost.
TEST_CASE("a call on a connection that fell silent is repeated on a new one", "[entry]")
{
    struct row {
        bool repeatable_;
        bool answered_;
    };
    for (auto const& row : {row{true, true}, row{false, false}}) {
        CAPTURE(row.repeatable_);
        silent_service service{row.repeatable_ ? std::vector<int>{1, 1} : std::vector<int>{1}};
        net::io_context loop;
        std::optional<plain_response> second;
        std::string fault;
        net::co_spawn(
            loop,
            [&]() -> net::awaitable<void> {
                http_peer peer{loop, service.address()};
                plain_request request{boost::beast::http::verb::get, "/", 11};
                (void)co_await peer.call(request, {.limit_ = millis{1'500}, .repeatable_ = true});
                try {
                    second = co_await peer.call(request,
                                                {.limit_ = millis{1'500}, .repeatable_ = row.repeatable_});
                } catch (error const& failure) {
                    fault = failure.what();
                }
            },
            net::detached);
        loop.run();
        CHECK(second.has_value() == row.answered_);
        CHECK(fault.empty() == row.answered_);
    }
}

// Guards against a call for a report, an order or a read of the store that fills the memory with an answer
// without end.
TEST_CASE("a call ends when its answer is larger than its bounds", "[entry]")
{
    constexpr std::uint64_t largest_answer = std::uint64_t{1024} * 1024;
    struct row {
        char const* what_;
        std::string start_;
    };
    auto const r = GENERATE(row{"a status line", ""}, row{"a field", "HTTP/1.1 200 OK\r\nA: "},
                            row{"a chunk's length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
                            row{"a body", "HTTP/1.1 200 OK\r\n\r\n"});
    CAPTURE(r.what_);
    auburnchute::tests::endless_service service{r.start_};
    net::io_context loop;
    std::string fault;
    net::co_spawn(
        loop,
        [&]() -> net::awaitable<void> {
            http_peer peer{loop, service.address()};
            try {
                (void)co_await peer.call({boost::beast::http::verb::get, "/", 11},
                                         {.limit_ = millis{10'000}, .largest_answer_ = largest_answer});
            } catch (error const& failure) {
                fault = failure.what();
            }
        },
        net::detached);
    loop.run();
    CHECK_FALSE(fault.empty());
    CHECK(service.taken() < auburnchute::tests::endless_service::most_taken);
}
