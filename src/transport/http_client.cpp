#include "transport/http_client.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <limits>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace auburnchute {

namespace net = boost::asio;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

/// Statuses of HTTP (RFC 9110, section 15).
constexpr unsigned least_status = 100;
constexpr unsigned largest_status = 599;

constexpr std::size_t read_size = std::size_t{16} * 1024;

/// \returns Whether the socket got ready, or ended, in time.
bool wait_for(tcp::socket& socket, short events, millis limit)
{
    pollfd ready{socket.native_handle(), events, 0};
    int got = 0;
    do {
        got = ::poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, limit.count_)));
    } while (got < 0 && errno == EINTR);
    return got > 0;
}

/// The connection as the library's synchronous calls take it, with limits on each wait. \pre The socket does
/// not block.
class timed_stream {
public:
    timed_stream(tcp::socket& socket, call_limits const& limits) : socket_{socket}, limits_{limits} {}

    template <typename Buffers>
    std::size_t read_some(Buffers const& buffers, error_code& fault)
    {
        return wait_for(socket_, POLLIN, limits_.read_) ? socket_.read_some(buffers, fault) : give_up(fault);
    }
    template <typename Buffers>
    std::size_t write_some(Buffers const& buffers, error_code& fault)
    {
        return wait_for(socket_, POLLOUT, limits_.write_) ? socket_.write_some(buffers, fault)
                                                          : give_up(fault);
    }
    template <typename Buffers>
    std::size_t read_some(Buffers const& buffers)
    {
        error_code fault;
        auto const size = read_some(buffers, fault);
        throw_if(fault);
        return size;
    }
    template <typename Buffers>
    std::size_t write_some(Buffers const& buffers)
    {
        error_code fault;
        auto const size = write_some(buffers, fault);
        throw_if(fault);
        return size;
    }

private:
    static std::size_t give_up(error_code& fault)
    {
        fault = net::error::timed_out;
        return 0;
    }
    static void throw_if(error_code const& fault)
    {
        if (fault) {
            throw boost::system::system_error{fault};
        }
    }

    tcp::socket& socket_;
    call_limits const& limits_;
};

call_fault fault_of(error_code const& fault)
{
    bool const in_protocol = fault.category() == make_error_code(http::error::bad_method).category();
    bool const ended = fault == http::error::end_of_stream || fault == http::error::partial_message;
    return in_protocol && !ended ? call_fault::wrong_answer : call_fault::broken;
}

boost::beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string call_answer::header(std::string const& name) const
{
    auto const found = headers_.find(name);
    return found == headers_.end() ? std::string{} : found->second;
}

http_client::http_client(std::string_view address, call_limits const& limits)
    : address_{address}, limits_{limits}
{
    auto const colon = address.rfind(':');
    unsigned port = 0;
    error_code malformed;
    if (colon != std::string_view::npos) {
        auto const digits = address.substr(colon + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
        peer_ = {net::ip::make_address(std::string{address.substr(0, colon)}, malformed),
                 static_cast<std::uint16_t>(port)};
    }
    if (malformed || port == 0 || port > 65'535) {
        throw error{"connect", address, "the address is not of the form IP:PORT"};
    }
}

bool http_client::connect()
{
    error_code fault;
    {
        std::lock_guard const lock{mutex_};
        if (stopped_) {
            return false;
        }
        socket_.open(peer_.protocol(), fault);
    }
    if (fault) {
        return false;
    }
    socket_.non_blocking(true, fault);
    socket_.set_option(tcp::no_delay{true}, fault); // a kernel that refuses this only slows the call
    fault = {};
    if (::connect(socket_.native_handle(), peer_.data(), static_cast<socklen_t>(peer_.size())) == 0) {
        return true;
    }
    if (errno != EINPROGRESS || !wait_for(socket_, POLLOUT, limits_.connect_)) {
        return false;
    }
    int problem = 0;
    socklen_t size = sizeof problem;
    return ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &problem, &size) == 0 && problem == 0;
}

void http_client::stop()
{
    std::lock_guard const lock{mutex_};
    stopped_ = true;
    if (socket_.is_open()) {
        ::shutdown(socket_.native_handle(), SHUT_RDWR);
    }
}

call_answer http_client::call(call_request const& request, call_receiver const& receiver)
{
    call_answer answer;
    if (!connect()) {
        answer.fault_ = call_fault::not_connected;
    } else {
        http::request<http::span_body<char const>> message;
        message.version(11);
        message.method_string(to_beast(request.method_));
        message.target(to_beast(request.target_));
        for (auto const& [name, value] : request.headers_) {
            message.insert(name, value);
        }
        message.set(http::field::host, address_);
        message.set(http::field::connection, "close");
        message.body() = {request.body_.data(), request.body_.size()};
        message.prepare_payload();
        timed_stream stream{socket_, limits_};
        error_code fault;
        http::write(stream, message, fault);
        // One that refuses a long body may have answered before it was read.
        answer = read_answer(request.method_ == "HEAD", !fault, receiver);
    }
    std::lock_guard const lock{mutex_};
    error_code ignored; // the other side may have closed first
    socket_.close(ignored);
    return answer;
}

call_answer http_client::read_answer(bool head_only, bool sent, call_receiver const& receiver)
{
    call_answer answer;
    timed_stream stream{socket_, limits_};
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    error_code fault;
    std::optional<http::response_parser<http::buffer_body>> parser;
    for (int interim = 0; !parser || parser->get().result_int() < 200; ++interim) {
        if (interim > max_interim_answers) {
            answer.fault_ = call_fault::wrong_answer;
            return answer;
        }
        parser.emplace();
        parser->skip(head_only);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max()); // its own, below, counts what is kept
        http::read_header(stream, buffer, *parser, fault);
        if (fault) {
            answer.fault_ = fault_of(fault);
            return answer;
        }
        auto const status = parser->get().result_int();
        if (status < least_status || status > largest_status) {
            answer.fault_ = call_fault::wrong_answer;
            return answer;
        }
    }
    answer.status_ = static_cast<int>(parser->get().result_int());
    for (auto const& field : parser->get()) {
        answer.headers_.emplace(std::string{field.name_string()}, std::string{field.value()});
    }
    if (receiver.head_ && !receiver.head_(answer)) {
        return answer;
    }
    std::array<char, read_size> chunk{};
    while (!parser->is_done()) {
        auto& body = parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        http::read_some(stream, buffer, *parser, fault);
        std::string_view const bytes{chunk.data(), chunk.size() - body.size};
        if (fault && fault != http::error::need_buffer) {
            answer.fault_ = fault_of(fault);
            return answer;
        }
        if (receiver.body_) {
            if (!bytes.empty() && !receiver.body_(bytes)) {
                return answer;
            }
            continue;
        }
        if (answer.body_.size() + bytes.size() > limits_.answer_bytes_) {
            answer.fault_ = call_fault::wrong_answer;
            return answer;
        }
        answer.body_ += bytes;
        if (receiver.held_) {
            receiver.held_(answer.body_.capacity());
        }
    }
    // The failed write has taken the socket's error, so a reset reads like the end of an answer.
    answer.fault_ = parser->need_eof() && !sent ? call_fault::broken : call_fault::none;
    return answer;
}

} // namespace auburnchute
