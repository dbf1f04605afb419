#include "transport/caller_request.hpp"

#include "transport/service_call.hpp"

#include <algorithm>
#include <array>
#include <auburnchute/answer_ledger.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cctype>
#include <sys/socket.h>
#include <utility>

namespace auburnchute {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

namespace {

/// Bytes taken from a connection at once.
constexpr std::size_t read_size = std::size_t{16} * 1024;

/// A buffer with less room grows first.
constexpr std::size_t smallest_read = 512;

/// The body as it came, and the copy that the library makes of it.
constexpr std::size_t copies = 2;

/// A head as the library has it, as it is forwarded, and as it is written to the upstream.
constexpr std::size_t head_copies = 3;

/// What a field takes beside its text in the library's map, in bytes.
constexpr std::size_t mapped_field_bytes = 112;

/// Fields on which the library acts: it answers to `Expect`, unpacks and splits bodies, and cuts answers.
constexpr std::array withheld_fields{http::field::expect,          http::field::content_encoding,
                                     http::field::content_type,    http::field::content_length,
                                     http::field::range,           http::field::transfer_encoding,
                                     http::field::accept_encoding, http::field::trailer};

thread_local request_account* served = nullptr;

/// A connection as Beast's synchronous calls take it. Errors of the library have no code.
class stream_source {
public:
    explicit stream_source(httplib::Stream& from) : from_{from} {}

    template <typename Buffers>
    std::size_t read_some(Buffers const& buffers, error_code& fault)
    {
        auto const room = *boost::asio::buffer_sequence_begin(buffers);
        auto const got = from_.read(static_cast<char*>(room.data()), room.size());
        if (got <= 0) {
            fault = boost::asio::error::eof;
            return 0;
        }
        fault = {};
        return static_cast<std::size_t>(got);
    }
    template <typename Buffers>
    std::size_t read_some(Buffers const& buffers)
    {
        error_code fault;
        auto const size = read_some(buffers, fault);
        if (fault) {
            throw boost::system::system_error{fault};
        }
        return size;
    }

private:
    httplib::Stream& from_;
};

std::string_view bytes_of(boost::beast::flat_buffer const& buffer) noexcept
{
    return {static_cast<char const*>(buffer.data().data()), buffer.size()};
}

/// \returns What the parser takes for the fields in these bytes, at most.
std::size_t memory_of_lines(std::string_view bytes) noexcept
{
    return field_bytes * static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

void read_more(stream_source& source, boost::beast::flat_buffer& buffer, error_code& fault)
{
    auto const left = buffer.max_size() - buffer.size();
    if (left == 0) {
        fault = http::error::buffer_overflow;
        return;
    }
    auto const room = buffer.capacity() - buffer.size();
    auto const size = std::min({left, room >= smallest_read ? room : read_size, read_size});
    buffer.commit(source.read_some(buffer.prepare(size), fault));
}

/// \returns Whether the last chunk may come next, whose trailers the parser takes at once.
bool may_end(std::string_view bytes) noexcept
{
    bytes.remove_prefix(std::min(bytes.size(), bytes.starts_with("\r\n") ? std::size_t{2} : std::size_t{0}));
    return bytes.starts_with('0');
}

/// An assignment would keep the memory.
void give_back(std::string& text)
{
    std::string{}.swap(text);
}

/// A request that was read, and the way back to its caller.
class whole_request : public httplib::Stream {
public:
    whole_request(std::string head, std::string body, httplib::Stream& to)
        : head_{std::move(head)}, body_{std::move(body)}, to_{to}
    {
    }

    [[nodiscard]] bool is_readable() const override { return true; }
    [[nodiscard]] bool is_writable() const override { return to_.is_writable(); }
    ssize_t read(char* to, std::size_t size) override
    {
        auto& from = at_ < head_.size() ? head_ : body_;
        auto const begin = &from == &head_ ? at_ : at_ - head_.size();
        auto const count = std::min(size, from.size() - begin);
        std::copy_n(from.data() + begin, count, to);
        at_ += count;
        if (at_ == head_.size() + body_.size()) {
            at_ = 0;
            head_.clear();
            give_back(body_);
        }
        return static_cast<ssize_t>(count);
    }
    ssize_t write(char const* from, std::size_t size) override { return to_.write(from, size); }
    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        to_.get_remote_ip_and_port(ip, port);
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        to_.get_local_ip_and_port(ip, port);
    }
    [[nodiscard]] socket_t socket() const override { return to_.socket(); }

private:
    std::string head_;
    std::string body_;
    std::size_t at_{};
    httplib::Stream& to_;
};

problem make_refusal(int status, std::string_view type, std::string_view title, std::string_view detail)
{
    problem shown;
    shown.status_ = status;
    shown.type_ = type;
    shown.title_ = title;
    shown.detail_ = detail;
    shown.step_ = "accept";
    return shown;
}

problem no_room()
{
    auto shown = make_refusal(503, "not-ready", "This VM cannot take requests now",
                              "not run: the requests at this VM take all of its memory");
    shown.retry_after_s_ = 1;
    return shown;
}

problem malformed(std::string_view detail = "not run: the request is malformed")
{
    return make_refusal(400, "bad-request", "The request could not be read", detail);
}

problem too_large()
{
    return make_refusal(413, "bad-request", "The request could not be read",
                        "not run: the body is too large");
}

bool is_withheld(http::field name)
{
    return std::find(withheld_fields.begin(), withheld_fields.end(), name) != withheld_fields.end();
}

std::string_view to_std(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

request_account::request_account(memory_budget& budget, auburnchute::clock const& clk, socket_t socket)
    : clock_{clk}, socket_{socket}, request_{budget, memory_purpose::reading, now(clk),
                                             [socket] { ::shutdown(socket, SHUT_RD); }},
      answer_{budget, memory_purpose::answer, now(clk), [this] { give_up_answer(); }}
{
    served = this;
}

request_account::~request_account()
{
    served = nullptr;
}

bool request_account::hold_request(std::size_t bytes)
{
    return request_.grow_to(bytes + head_bytes_, now(clock_));
}

void request_account::note_allowed()
{
    request_.note_allowed();
}

bool request_account::read_whole()
{
    return request_.keep() && request_.move_to(memory_purpose::request, now(clock_));
}

bool request_account::hold_answer(std::size_t bytes)
{
    return answer_.grow_to(bytes, now(clock_));
}

void request_account::on_give_up(std::function<void()> interrupt)
{
    std::lock_guard const lock{mutex_};
    interrupt_ = std::move(interrupt);
}

request_account* request_account::current() noexcept
{
    return served;
}

void request_account::give_up_answer()
{
    std::lock_guard const lock{mutex_};
    if (interrupt_) {
        interrupt_();
    } else {
        ::shutdown(socket_, SHUT_RDWR);
    }
}

caller_requests::caller_requests(caller_bounds const& bounds) : bounds_{bounds}, buffer_{max_unparsed_bytes}
{
    buffer_.reserve(read_size);
}

request_fault caller_requests::refuse(httplib::Stream& to, problem shown)
{
    httplib::Response response;
    answer_problem(shown, response);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Refused\r\nConnection: close\r\n" +
                       "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    for (auto const& [name, value] : response.headers) {
        text += name;
        text += ": " + value + "\r\n";
    }
    text += "\r\n" + response.body;
    (void)to.write(text.data(), text.size()); // a caller that has left is not told
    return request_fault::refused;
}

error_code caller_requests::read_head(httplib::Stream& from, request_account& account,
                                      http::request_parser<http::buffer_body>& parser)
{
    stream_source source{from};
    parser.header_limit(static_cast<std::uint32_t>(max_unparsed_bytes));
    // The parser alone has no bound, as it counts only what it has not taken yet.
    std::size_t taken = 0;
    std::size_t fields = memory_of_lines(bytes_of(buffer_));
    error_code fault;
    while (true) {
        if (buffer_.size() > 0) {
            auto const size = parser.put(buffer_.data(), fault);
            buffer_.consume(size);
            taken += size;
            if (parser.is_header_done() || fault != http::error::need_more) {
                return fault;
            }
            fault = {};
        }
        if (taken + buffer_.size() >= max_unparsed_bytes) {
            return http::error::header_limit;
        }
        if (!account.hold_request(taken + fields + buffer_.capacity())) {
            return boost::asio::error::no_buffer_space;
        }
        auto const before = buffer_.size();
        read_more(source, buffer_, fault);
        if (fault) {
            return fault;
        }
        fields += memory_of_lines(bytes_of(buffer_).substr(before));
    }
}

error_code caller_requests::read_part(httplib::Stream& from, request_account& account,
                                      http::request_parser<http::buffer_body>& parser, bool& starved)
{
    error_code fault;
    if (starved) {
        stream_source source{from};
        read_more(source, buffer_, fault);
    }
    starved = false;
    while (!fault && !parser.is_done() && !starved) {
        if (may_end(bytes_of(buffer_)) && !account.hold_request(body_.size() * copies + buffer_.capacity() +
                                                                memory_of_lines(bytes_of(buffer_)))) {
            return boost::asio::error::no_buffer_space;
        }
        buffer_.consume(parser.put(buffer_.data(), fault));
        starved = buffer_.size() == 0 || fault == http::error::need_more;
        if (fault == http::error::need_more) {
            fault = {};
        }
    }
    return fault == http::error::need_buffer ? error_code{} : fault;
}

request_fault caller_requests::read(httplib::Stream& from, request_account& account)
{
    http::request_parser<http::buffer_body> parser;
    parser.body_limit(bounds_.body_bytes_);
    auto const refuse_by = [&](problem const& shown) {
        bounds_.refused_(shown);
        return refuse(from, shown);
    };
    auto fault = read_head(from, account, parser);
    if (fault == boost::asio::error::eof) {
        // What is given up for others ends like this, too.
        return account.hold_request(0) ? request_fault::ended : refuse_by(no_room());
    }
    if (fault == boost::asio::error::no_buffer_space) {
        return refuse_by(no_room());
    }
    if (fault == http::error::body_limit) {
        return refuse_by(too_large());
    }
    if (fault == http::error::header_limit) {
        return refuse_by(malformed("not run: the headers are above 16 KiB"));
    }
    if (fault) {
        return refuse(from, malformed());
    }
    std::size_t fields = 0;
    std::size_t text = 0;
    for (auto const& field : parser.get()) {
        ++fields;
        text += field.name_string().size() + field.value().size();
    }
    if (text + fields * field_separator_bytes > max_header_bytes) {
        return refuse_by(malformed("not run: the headers are above 16 KiB"));
    }
    account.head_bytes_ = head_copies * (text + fields * mapped_field_bytes);
    if (!account.hold_request(buffer_.capacity())) {
        return refuse_by(no_room());
    }
    bool expects = false;
    auto const length = parser.content_length();
    bool const is_small = parser.is_done() || (length && *length <= bounds_.memory_.limits().spared_);
    if (auto const refused = take_head(parser.get(), account, is_small, expects)) {
        return refuse(from, *refused);
    }
    if (!is_small) {
        account.note_allowed();
    }
    if (expects) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)from.write(go_on.data(), go_on.size()); // a caller that has left sends no body
    }
    if (length) {
        body_.reserve(static_cast<std::size_t>(*length)); // pages that nothing is written to cost nothing
    }
    std::array<char, read_size> piece{};
    bool starved = buffer_.size() == 0;
    while (!parser.is_done()) {
        auto& into = parser.get().body();
        into.data = piece.data();
        into.size = piece.size();
        fault = read_part(from, account, parser, starved);
        std::string_view const bytes{piece.data(), piece.size() - into.size};
        if (fault == http::error::body_limit) {
            return refuse_by(too_large());
        }
        if (fault) {
            if (fault == boost::asio::error::no_buffer_space ||
                !account.hold_request(body_.size() * copies)) {
                give_back(body_);
                return refuse_by(no_room()); // given up for others
            }
            return fault == boost::asio::error::eof ? request_fault::ended : refuse(from, malformed());
        }
        auto const size = body_.size() + bytes.size();
        auto const needed = size > body_.capacity() ? body_.capacity() + size * 2 : size;
        auto const trailers = starved ? memory_of_lines(bytes_of(buffer_)) : 0;
        if (!account.hold_request(std::max(needed, size * copies) + buffer_.capacity() + trailers)) {
            give_back(body_);
            return refuse_by(no_room());
        }
        body_ += bytes;
    }
    if (!account.hold_request(body_.size() * copies + buffer_.capacity()) || !account.read_whole()) {
        give_back(body_);
        return refuse_by(no_room());
    }
    head_ += "Content-Length: " + std::to_string(body_.size()) + "\r\n\r\n";
    return request_fault::none;
}

std::optional<problem> caller_requests::take_head(http::request_header<>& head, request_account& account,
                                                  bool is_small, bool& expects)
{
    httplib::Request judged;
    judged.method = to_std(head.method_string());
    judged.target = to_std(head.target());
    judged.path = judged.target.substr(0, judged.target.find_first_of("?#"));
    head_ = judged.method + " " + judged.target + " HTTP/1." + (head.version() == 10 ? "0" : "1") + "\r\n";
    for (auto const& field : head) {
        std::string const name{to_std(field.name_string())};
        std::string const value{to_std(field.value())};
        judged.headers.emplace(name, value);
        if (is_withheld(field.name())) {
            expects = expects || field.name() == http::field::expect;
            account.withheld_.emplace(name, value);
        } else {
            head_ += name;
            head_ += ": " + value + "\r\n";
        }
    }
    head.clear();
    return is_small ? std::nullopt : bounds_.judge_(judged);
}

std::unique_ptr<httplib::Stream> caller_requests::whole(httplib::Stream& to)
{
    return std::make_unique<whole_request>(std::exchange(head_, {}), std::exchange(body_, {}), to);
}

} // namespace auburnchute
