#include "transport/entry/plain_server.hpp"

#include "protocol/decision_log.hpp"
#include "transport/entry/listen.hpp"
#include "transport/entry/request_input.hpp"

#include <auburnchute/answer_ledger.hpp>

#include <algorithm>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <list>

namespace auburnchute {

namespace http = boost::beast::http;

namespace {

/// Idle time after which a connection to an own page is closed.
constexpr millis page_idle{20'000};

/// Largest head of a request for a page, in bytes.
constexpr std::uint32_t page_head_bytes = 8 * 1024;

struct page_connections;

struct page_connection {
    page_connection(page_connections& all, tcp::socket socket) : all_{all}, stream_{std::move(socket)} {}

    page_connections& all_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
    bool waits_{}; ///< For a whole request.
    std::list<page_connection*>::iterator place_;
};

/// Connections to one page, in the order in which they began to wait for their request.
struct page_connections {
    net::io_context& loop_;
    page_bounds bounds_;
    page_handler handler_;
    std::list<page_connection*> open_;
};

/// Keeps a connection in the list while it is served.
class listed_connection {
public:
    explicit listed_connection(page_connection& one) : one_{one}
    {
        one.place_ = one.all_.open_.insert(one.all_.open_.end(), &one);
    }
    ~listed_connection() { one_.all_.open_.erase(one_.place_); }
    listed_connection(listed_connection const&) = delete;
    listed_connection& operator=(listed_connection const&) = delete;

private:
    page_connection& one_;
};

/// \returns Whether the connection may be used for a further request.
net::awaitable<bool> serve_next(page_connection& one)
{
    auto& all = one.all_;
    auto& memory = *all.bounds_.memory_;
    auto& stream = one.stream_;
    all.open_.splice(all.open_.end(), all.open_, one.place_);
    one.waits_ = true;
    memory_budget::holding held{memory, memory_purpose::reading, boot_now(), [&stream] { stream.close(); }};
    head_terms const terms{
        .limit_ = page_head_bytes,
        .hold_ =
            [&](std::size_t bytes) {
                return held.grow_to(bytes + capacity_after_read(one.buffer_), boot_now());
            },
        .work_ = [&](std::size_t amount) -> net::awaitable<void> {
            if (amount > work_per_turn) {
                wake_event turn{all.loop_};
                co_await all.bounds_.turns_->wait(turn);
            }
        },
    };
    http::request_parser<http::empty_body> parser;
    error_code fault;
    stream.expires_after(to_chrono(page_idle));
    co_await read_head(stream, one.buffer_, parser, terms, fault);
    one.waits_ = false;
    if (fault || !held.keep()) {
        co_return false;
    }
    bool const keep = parser.keep_alive() && parser.is_done();
    auto answer = all.handler_(plain_request{std::move(parser.get().base())});
    memory_budget::holding sent{memory, memory_purpose::answer, boot_now(), [&stream] { stream.close(); }};
    if (!sent.grow_to(answer.body().size(), boot_now())) {
        co_return false;
    }
    answer.version(11);
    answer.keep_alive(keep);
    answer.prepare_payload();
    stream.expires_after(to_chrono(page_idle));
    co_await http::async_write(stream, answer, outcome_in(fault));
    co_return keep && !fault;
}

net::awaitable<void> serve_connection(std::shared_ptr<page_connections> all, tcp::socket socket)
{
    page_connection one{*all, std::move(socket)};
    listed_connection const listed{one};
    while (co_await serve_next(one)) {
    }
    error_code ignored; // the peer may have closed first
    one.stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void take_connection(std::shared_ptr<page_connections> const& all, tcp::socket socket)
{
    auto& open = all->open_;
    if (open.size() >= all->bounds_.connections_) {
        all->bounds_.counters_.count("auburnchute_connections_closed_total", "page");
        log_failure("page-connections-full", {{"connections", open.size()}});
        auto const slowest =
            std::find_if(open.begin(), open.end(), [](auto const* one) { return one->waits_; });
        if (slowest == open.end()) {
            return; // all are being answered; the socket closes
        }
        (*slowest)->waits_ = false;
        (*slowest)->stream_.close();
    }
    net::co_spawn(all->loop_, serve_connection(all, std::move(socket)), report_failure);
}

} // namespace

void serve_pages(net::io_context& loop, std::string const& address, page_bounds const& bounds,
                 page_handler handler)
{
    auto const all =
        std::make_shared<page_connections>(page_connections{loop, bounds, std::move(handler), {}});
    accept_connections(loop, address, [all](tcp::socket socket) { take_connection(all, std::move(socket)); });
}

} // namespace auburnchute
