#include "transport/entry/caller_session.hpp"

#include "platform/headers.hpp"
#include "protocol/decision_log.hpp"
#include "transport/entry/body_room.hpp"
#include "transport/entry/event_stream.hpp"
#include "transport/entry/forward_job.hpp"
#include "transport/entry/listen.hpp"
#include "transport/entry/request_input.hpp"
#include "transport/entry/upstream_booking.hpp"
#include "transport/entry/upstream_keeper.hpp"
#include "transport/entry/version_keeper.hpp"
#include "transport/entry/wait_keeper.hpp"
#include "transport/entry/work_turns.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <sstream>

namespace auburnchute {

namespace http = boost::beast::http;

namespace {

/// Longest time for connecting to an upstream; they answer within milliseconds or are gone.
constexpr millis connect_limit{1'000};

/// Upstreams to which connecting may fail before a request is given up; refused connections do not count, as
/// they cost no time.
constexpr int max_connect_failures = 4;

/// How long an upstream that failed is used only if the others are very busy.
constexpr millis suspect_time{2'000};

/// How long an upstream that refuses connections gets nothing; its process has ended and takes longer to
/// return.
constexpr millis refused_time{1'000};

/// First pause after an answer by which another upstream is at the address. The entry usually follows by
/// then.
constexpr millis astray_time{3'000};

/// The same for engines, where a model that was unloaded may be the reason.
constexpr millis engine_astray_time{300};

/// How long an upstream that turned a request away is used only if the others are very busy.
constexpr millis refusal_time{300};

/// Idle time up to which a kept connection is used for a request that may not be repeated: an upstream that
/// closes it meanwhile would leave open whether the request ran.
constexpr millis unsafe_idle{1'000};

/// The same for requests that may be repeated.
constexpr millis safe_idle{5'000};

/// How long a kept connection lasts if the upstream does not say.
constexpr millis default_keep_alive{4'000};

/// Part of its announced idle time for which a connection is kept, so that it ends here first.
constexpr millis keep_alive_margin{500};

/// Answers to other requests that are skipped on one connection before it is given up.
constexpr int max_stray_answers = 3;

/// Largest event of a stream that is taken; an upstream in trouble may send bytes without end.
constexpr std::size_t max_event_bytes = 1024 * 1024;

/// Shortest wait told to a caller whose request found no room.
constexpr millis least_retry_after{200};

/// When a caller may come back whose stream can't go on here for now: another VM may know more, and entries
/// and plans are read within this time.
constexpr millis version_retry_after{1'000};

/// When a caller may come back whose request found no room in memory: stopped bodies make way at once, and
/// requests that are served end within about this time.
constexpr millis no_room_retry_after{500};

/// Longest wait told to a caller whose request found no upstream that takes any.
constexpr millis longest_retry_after{60'000};

/// Longest time in which a caller takes nothing of an answer.
constexpr millis write_limit{10'000};

/// Least time for the rest of a request that a planned stop finds half read.
constexpr millis least_read_time{20};

/// Longest time for which a connection that was answered for the last time waits for its caller to close it.
constexpr millis linger_limit{2'000};

/// Longest time for a refused connection to show whether its upstream still listens.
constexpr millis probe_limit{300};

/// Least time that an engine takes for the first token.
constexpr millis first_token_time{100};

/// Receive buffer of a caller's connection, in bytes; the kernel takes twice as much. The platform counts
/// what it holds, and its own choice may be some MB.
constexpr int caller_receive_buffer = 64 * 1024;

/// Buffer that an idle connection of a caller keeps, in bytes; see `connection_bytes`.
constexpr std::size_t idle_buffer_bytes = 4'096;

/// Waiting requests look at the view again at least this often.
constexpr millis wait_round{250};

constexpr int misdirected = 421;
constexpr int internal_error = 500;
constexpr int bad_gateway = 502;
constexpr int timed_out = 504;
constexpr int unavailable = 503;

/// The library's own limit on bodies, 8 MiB, would count the events of a stream together.
constexpr std::uint64_t unlimited_body = std::numeric_limits<std::uint64_t>::max();

using body_parser = http::request_parser<http::string_body>;
using answer_parser = http::response_parser<http::buffer_body>;
using whole_answer_parser = http::response_parser<http::string_body>;

/// \returns Whether the body of a stream consists of events; one that does not is passed on as it is.
bool holds_events(http::fields const& head)
{
    auto type = head[http::field::content_type];
    type = type.substr(0, type.find_first_of("; \t"));
    return type.empty() || boost::beast::iequals(type, "text/event-stream");
}

/// \returns Whether the body of an answer is declared to consist of events.
bool names_events(http::fields const& head)
{
    return !head[http::field::content_type].empty() && holds_events(head);
}

/// \returns When a caller may come back whose request found no upstream: at once elsewhere, or when the first
/// upstream that asked for time may be used again.
millis time_until_open(choice const& chosen, millis now)
{
    return chosen.fault_ == choice_fault::all_held
               ? std::clamp(chosen.held_until_ - now, least_retry_after, longest_retry_after)
               : least_retry_after;
}

/// \returns The reason for which a request that has no software version is refused at once, or empty.
std::string_view version_refusal(choice_fault fault) noexcept
{
    switch (fault) {
    case choice_fault::version_gone:
        return "version-gone";
    case choice_fault::version_unknown:
        return "version-unknown";
    case choice_fault::version_stale:
        return "version-stale";
    default:
        return {};
    }
}

/// The answer to a request that is given up: a refusal that says when to come back if it is known not to have
/// run, else a failure that promises nothing.
own_answer give_up(forward_job const& job, std::string_view refusal, int failure_status,
                   std::string_view failure, millis retry_after = least_retry_after)
{
    return job.execution_ == execution::not_run ? own_answer{unavailable, refusal, retry_after}
                                                : own_answer{failure_status, failure, millis{-1}};
}

/// \returns The ids of the prompt parts that other requests may share, for a log line.
std::string shared_part_ids(request_attributes const& call)
{
    std::ostringstream text;
    text << std::hex;
    for (std::size_t i = 0; i + 1 < call.prompt_parts_.size(); ++i) {
        text << (i == 0 ? "" : ",") << call.prompt_parts_[i].id_;
    }
    return text.str();
}

/// \returns Milliseconds since the upstreams' entries were last known to be the newest.
std::int64_t entries_age_ms(entry_node const& node)
{
    return boot_now().count_ - node.shared_.entries_proof_at_.load(std::memory_order_acquire);
}

/// \returns Whether bytes have come that were not read. \pre The socket does not block.
bool has_input(tcp::socket& socket)
{
    error_code ignored; // a broken socket has none
    return socket.available(ignored) > 0;
}

/// What a prompt part of a request's head takes, in bytes: as it is split, parsed, and judged by the evidence
/// of crashes.
constexpr std::size_t prompt_part_bytes = 64;

/// A request's head is copied for its upstream.
constexpr std::size_t head_copies = 2;

/// \returns What a request takes beside its body until it is answered, in bytes.
std::size_t memory_of_head(caller_request const& request, request_attributes const& call)
{
    return head_copies * memory_of(request.base()) + prompt_part_bytes * call.prompt_parts_.size();
}

/// \returns What a connection's buffer takes beside that of an idle connection, in bytes.
std::size_t extra_bytes(std::size_t capacity) noexcept
{
    return capacity - std::min(capacity, idle_buffer_bytes);
}

/// A request with the memory that it takes.
struct held_request {
    std::shared_ptr<memory_budget> budget_;
    std::unique_ptr<memory_budget::holding> memory_;
    caller_request message_;
};

/// What is written to an upstream: all tries of a request share its body.
struct sent_request {
    std::shared_ptr<held_request const> origin_;
    http::request<http::span_body<char const>> message_;
};

/// The writing of a request to an upstream, which may go on while the answer comes.
struct upload_state {
    explicit upload_state(net::io_context& loop) : changed_{loop} {}

    bool written_{};
    bool failed_{};
    wake_event changed_;
};

/// How one try at an upstream ended.
struct try_outcome {
    try_result result_{try_result::not_sent};
    std::optional<upstream_answer> answer_;        ///< A whole answer, if it is not a stream.
    std::unique_ptr<memory_budget::holding> held_; ///< What the answer takes until the caller has it.
    bool streamed_{};                              ///< The whole stream has gone to the caller.
    int status_{};                                 ///< Of the upstream's answer; 0: none.
    bool upstream_gone_{}; ///< The upstream stopped listening, before or after the try.
    bool withdrawn_{};     ///< It was not sent, as the upstream wanted no more requests by then.
    std::string fault_;
};

/// The first request after the time for which an upstream wanted none, while it is not answered.
class upstream_try {
public:
    upstream_try(entry_node& node, chosen_upstream const& upstream)
        : node_{node}, id_{upstream.id_}, started_at_{upstream.started_at_}, running_{begin_try(
                                                                                 use_of(node, id_).signals_,
                                                                                 started_at_, boot_now())}
    {
    }
    upstream_try(upstream_try const&) = delete;
    upstream_try& operator=(upstream_try const&) = delete;
    ~upstream_try() { end(false); }

    /// \param answered The upstream has answered, and asked for no time.
    void end(bool answered)
    {
        if (std::exchange(running_, false)) {
            end_try(use_of(node_, id_).signals_, started_at_, answered);
            wake_waiting(node_);
        }
    }

private:
    entry_node& node_;
    std::string id_;
    std::int64_t started_at_;
    bool running_;
};

/// Books the crash of a request's upstream. \pre The job's traits were computed.
void note_crash(entry_node& node, forward_job const& job, chosen_upstream const& upstream, int status)
{
    auto const now = boot_now();
    bool const answering = job.answer_began_at_ > millis{0};
    bool const suspect = !answering || now - job.answer_began_at_ < crash_onset;
    bool const head_only = !answering && status != 0;
    node.counters_.count("auburnchute_crashed_requests_total", answering ? "answering" : "before-answer");
    log_failure("upstream-crashed",
                {{"id", job.call_.request_id_},
                 {"upstream", upstream.id_},
                 {"workspace", job.workspace_ != nullptr ? std::string_view{job.workspace_->name_} : ""},
                 {"route", job.route_->name_},
                 {"model", job.call_.model_},
                 {"shared_parts", shared_part_ids(job.call_)},
                 {"status", status},
                 {"answered_ms", answering ? (now - job.answer_began_at_).count_ : -1},
                 {"tries", job.used_.size()},
                 {"suspect", suspect}});
    if (suspect) {
        book_crash(node, {.traits_ = job.traits_,
                          .crash_ = short_hash_of(upstream.id_ + "/" + std::to_string(upstream.started_at_)),
                          .workspace_ = evidence_workspace(job),
                          .weight_ = head_only ? crash_weight::begun : crash_weight::waiting,
                          .sent_at_ = job.sent_at_});
    }
}

/// Sees whether the upstream of a request whose caller left before the first event crashes in the time in
/// which the request may be the cause: its connection is closed and shows nothing. \pre As `note_crash`.
net::awaitable<void> watch_abandoned(entry_node& node, forward_job job, chosen_upstream upstream, int status)
{
    co_await pause_for(crash_onset);
    auto const probe = node.pool_.make(upstream.id_);
    error_code fault;
    co_await upstream_pool::open(probe, upstream.address_, probe_limit, fault);
    auto const now = boot_now();
    if (fault != net::error::connection_refused ||
        !accepts_requests(node, upstream.id_, upstream.started_at_, now)) {
        co_return; // an upstream that leaves may have waited for this request only
    }
    auto& own = use_of(node, upstream.id_);
    own.suspect_until_ = now + suspect_time;
    own.closed_until_ = now + refused_time;
    node.pool_.forget(upstream.id_);
    note_crash(node, job, upstream, status);
}

class caller_session final : public open_session, public std::enable_shared_from_this<caller_session> {
public:
    caller_session(entry_node& node, tcp::socket socket) : node_{node}, stream_{std::move(socket)} {}

    net::awaitable<void> run();

    [[nodiscard]] std::string_view request_id() const noexcept override { return request_id_; }
    [[nodiscard]] std::string_view upstream_id() const noexcept override { return last_upstream_; }
    void end_request() override;
    void end_late_upload() override;
    void abort() override;
    void make_way() override;

private:
    [[nodiscard]] caller_limits limits_in_force() const;
    /// Waits for a request on an idle connection. \returns False if none comes in the time that is in force.
    net::awaitable<bool> read_first_bytes();
    net::awaitable<bool> read_request(held_request& request);
    net::awaitable<void> refuse_unread(own_answer answer, std::string request_id);
    /// As above, for a request of which a part was read: that part is let go first.
    net::awaitable<void> refuse_part(own_answer answer, std::optional<body_parser>& parser,
                                     held_request& request);
    /// Refuses a request whose head could not be read, if its caller can be told anything.
    net::awaitable<void> refuse_head(error_code fault, std::optional<body_parser>& parser,
                                     held_request& request);
    /// Waits until others have had their turn, if this connection has done much work since its last one.
    net::awaitable<void> work(std::size_t amount);
    /// Parses what has come of a body, or reads more of it. \param starved Nothing more can be parsed of what
    /// was read.
    net::awaitable<void> read_part(body_parser& parser, bool& starved, error_code& fault);
    net::awaitable<void> close_connection();
    net::awaitable<bool> serve(caller_request& request);
    net::awaitable<std::optional<own_answer>> dispatch(forward_job& job, caller_request const& request);
    /// As `dispatch`; an unexpected exception ends the request with an answer, too.
    net::awaitable<std::optional<own_answer>> dispatch_safely(forward_job& job,
                                                              caller_request const& request);
    net::awaitable<std::optional<own_answer>> wait_for_upstream(forward_job& job, choice const& chosen);
    net::awaitable<try_outcome> try_upstream(forward_job& job, caller_request const& request,
                                             chosen_upstream const& upstream);
    net::awaitable<void> read_answer(forward_job& job, chosen_upstream const& upstream,
                                     upstream_connection& connection, try_outcome& outcome, bool& reusable,
                                     millis& keep_alive);
    net::awaitable<void> relay_stream(forward_job& job, upstream_connection& connection,
                                      answer_parser& parser, try_outcome& outcome);
    /// Reads the rest of an answer that is held until it is whole.
    net::awaitable<void> read_whole(upstream_connection& connection, whole_answer_parser& parser,
                                    memory_budget::holding& held, error_code& fault);
    void note_answer_given_up(std::string_view upstream);
    /// Tells whether an answer that ended with its connection is whole. A reset is reported once, to a read
    /// or a write, and the reader sees a proper end if it was the writer's.
    net::awaitable<bool> ended_properly(millis deadline);
    /// \returns The account of an answer on the connection, which is closed if the answer is given up.
    std::unique_ptr<memory_budget::holding> hold_answer(upstream_connection& connection);
    net::awaitable<bool> pass_events(forward_job& job, answer_parser& parser, std::string_view events,
                                     event_sequence& sequence, bool& in_order);
    net::awaitable<bool> write_caller(std::string bytes);
    net::awaitable<bool> send_answer(upstream_answer answer);
    net::awaitable<bool> send_own(own_answer answer, std::string request_id);
    net::awaitable<void> watch_caller(std::uint64_t watch);
    /// Decides when the answer is written: the VM may have begun to stop since the request came. A further
    /// request that has come already is answered, too.
    bool keeps_open()
    {
        keep_ = keep_ && (!node_.stop_ || buffer_.size() > 0 || has_input(stream_.socket()));
        return keep_;
    }
    /// \returns Whether a read has failed as a planned stop ended the wait for the rest of a request.
    [[nodiscard]] bool ended_by_stop(error_code const& fault) const
    {
        return is_closing(node_) && fault == net::error::operation_aborted;
    }
    /// Reads the rest of a request whose head was read. \returns False if it is not to be served.
    net::awaitable<bool> read_body(std::optional<body_parser>& parser, caller_limits const& limits,
                                   held_request& request, request_attributes const& call);
    /// Books room for the next part of a body. \returns The refusal, or none if it may be read.
    std::optional<own_answer> book_next_part(body_parser& parser, caller_limits const& limits,
                                             held_request& request, bool starved, bool& authorized);
    void start_watch();
    void end_watch();
    void note_result(forward_job const& job, chosen_upstream const& upstream, try_outcome const& outcome);
    void note_survival(forward_job& job, caller_request const& request);
    /// Counts a request that found no room for the purpose, or was given up for others.
    void note_no_room(held_request const& request, std::string_view purpose);
    void log_end(forward_job const& job, std::string_view outcome, int status, std::string_view reason) const;

    entry_node& node_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t watch_{};
    bool watching_{};
    bool gone_{};
    bool given_up_{};        ///< A planned stop has ended the present request.
    bool keep_{};            ///< The connection stays open after the present request.
    millis began_at_{};      ///< When the first bytes of the present request came.
    millis next_began_at_{}; ///< The same for a request behind it that has come already; 0: none has.
    /// Of the present request, while its body is read.
    std::optional<millis> upload_deadline_;
    std::uint64_t upload_{};             ///< Counts the bodies, so that the end of one does not end the next.
    std::shared_ptr<upload_state> sent_; ///< Of the present try.
    millis answer_deadline_{};           ///< Of the present request, as its present try has it.
    bool writing_{};                     ///< A part of a stream is being written to the caller.
    std::shared_ptr<held_request> request_; ///< The present one.
    bool head_only_{};          ///< The present request is a HEAD, so that its answers have no body.
    std::string request_id_;    ///< Of the present request.
    std::string last_upstream_; ///< Of the present request, for its log line.
    int last_status_{};
    std::function<void()> cancel_try_;     ///< Ends the present try; null: none runs.
    upstream_try* first_try_{};            ///< Of the present try, while it waits for an answer.
    std::function<void()> on_first_event_; ///< Called once when the upstream begins to answer.
    std::function<void()> on_survival_;    ///< Called once when it has answered for `crash_onset`.
    wake_event* waiting_{};
    std::size_t work_{};      ///< Done on this connection since its last turn; see `work_turns`.
    bool took_turn_{};        ///< It has waited for a turn since the last look at the time.
    wake_event* turn_{};      ///< While it waits for a turn.
    std::size_t held_head_{}; ///< What the head of the present request takes, in bytes.
};

net::awaitable<void> caller_session::run()
{
    session_entry const listed{node_.sessions_, *this};
    set_liveness(stream_.socket(), millis{6'000});
    while (true) {
        enter(session_state::idle);
        request_ = std::make_shared<held_request>();
        request_->budget_ = node_.memory_;
        if (!co_await read_request(*request_) || !co_await serve(request_->message_)) {
            break;
        }
        if (buffer_.size() == 0 && buffer_.capacity() > idle_buffer_bytes) {
            buffer_.shrink_to_fit();
        }
    }
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    request_.reset();
    co_await close_connection();
}

net::awaitable<void> caller_session::close_connection()
{
    enter(session_state::closing);
    error_code ignored; // the caller may have closed first
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (!gone_) {
        // Closing with unread bytes would reset the connection, and what was written might not arrive.
        std::array<char, 4'096> sink{};
        stream_.expires_after(to_chrono(linger_limit));
        error_code ended;
        while (!ended) {
            co_await stream_.async_read_some(net::buffer(sink), outcome_in(ended));
        }
    }
    stream_.socket().close(ignored);
}

void caller_session::end_request()
{
    switch (state()) {
    case session_state::reading:
        if (boot_now() - state_since() >= least_read_time) {
            stream_.cancel();
        }
        break;
    case session_state::serving:
        given_up_ = true;
        if (cancel_try_) {
            cancel_try_();
        }
        if (waiting_ != nullptr) {
            waiting_->notify();
        }
        break;
    case session_state::idle:
    case session_state::closing:
        break;
    }
}

void caller_session::end_late_upload()
{
    if (upload_deadline_ && !may_begin(node_, *upload_deadline_)) {
        stream_.cancel();
    }
}

void caller_session::abort()
{
    end_request();
    stream_.close();
}

void caller_session::make_way()
{
    gone_ = true; // nothing is written any more, so nothing has to be read out
    note_made_way();
    enter(session_state::closing);
    stream_.close();
    if (turn_ != nullptr) {
        turn_->notify();
    }
}

caller_limits caller_session::limits_in_force() const
{
    auto const config = current_view(node_).config_;
    return config ? config->limits_ : caller_limits{};
}

net::awaitable<bool> caller_session::read_first_bytes()
{
    // A stream's own timer would close it by the limit of when the wait began.
    stream_.expires_never();
    auto const since = boot_now();
    net::steady_timer look{node_.loop_};
    auto ended = std::make_shared<bool>(false);
    std::function<void()> look_again = [&] {
        look.expires_after(to_chrono(since + limits_in_force().idle_timeout_ - boot_now()));
        look.async_wait([&, ended](error_code const& stopped) {
            if (stopped || *ended) {
                return;
            }
            if (boot_now() - since >= limits_in_force().idle_timeout_) {
                stream_.cancel();
            } else {
                look_again();
            }
        });
    };
    look_again();
    error_code fault;
    auto const size = co_await stream_.async_read_some(buffer_.prepare(4'096), outcome_in(fault));
    *ended = true; // the handlers refer to this frame
    buffer_.commit(size);
    co_return !fault;
}

net::awaitable<void> caller_session::work(std::size_t amount)
{
    work_ += amount;
    while (work_ > work_per_turn && !gone_) {
        work_ -= work_per_turn;
        node_.counters_.count("auburnchute_work_turns_total");
        took_turn_ = true;
        wake_event turn{node_.loop_};
        turn_ = &turn;
        co_await node_.turns_->wait(turn);
        turn_ = nullptr;
        if (request_->memory_->given_up()) {
            co_return;
        }
    }
}

net::awaitable<void> caller_session::refuse_head(error_code fault, std::optional<body_parser>& parser,
                                                 held_request& request)
{
    if (fault == http::error::header_limit) {
        co_await refuse_part({431, "header-too-large", millis{-1}}, parser, request);
    } else if (fault == net::error::no_buffer_space || request.memory_->given_up()) {
        note_no_room(request, "reading");
        co_await refuse_part({unavailable, "no-room", no_room_retry_after}, parser, request);
    } else if (ended_by_stop(fault)) {
        co_await refuse_part(refuse_for_stop(node_, boot_now()), parser, request);
    } else if (fault.category() == make_error_code(http::error::bad_method).category()) {
        co_await refuse_part({400, "malformed-request", millis{-1}}, parser, request);
    }
}

net::awaitable<bool> caller_session::read_request(held_request& request)
{
    request_id_.clear();
    last_upstream_.clear();
    head_only_ = false;
    if (buffer_.size() == 0) {
        work_ = 0;
        if (!co_await read_first_bytes()) {
            co_return false;
        }
    }
    enter(session_state::reading);
    auto const limits = limits_in_force(); // of now, not of when the connection became idle
    auto const came_at = std::exchange(next_began_at_, millis{0});
    began_at_ = came_at > millis{0} ? came_at : state_since();
    buffer_.max_size(std::max<std::size_t>(buffer_.size(), limits.header_bytes_ + max_unparsed_bytes));
    request.memory_ = std::make_unique<memory_budget::holding>(*request.budget_, memory_purpose::reading,
                                                               began_at_, [this] {
                                                                   stream_.cancel();
                                                                   if (turn_ != nullptr) {
                                                                       turn_->notify();
                                                                   }
                                                               });
    std::optional<body_parser> parser{std::in_place};
    parser->body_limit(unlimited_body); // judged below, by the limit in force once the head is read
    stream_.expires_after(to_chrono(limits.header_timeout_));
    head_terms const terms{
        .limit_ = limits.header_bytes_,
        .hold_ =
            [&](std::size_t bytes) {
                auto const buffer = extra_bytes(capacity_after_read(buffer_));
                return request.memory_->grow_to(bytes + buffer, boot_now());
            },
        .work_ = [this](std::size_t amount) { return work(amount); },
    };
    error_code fault;
    co_await read_head(stream_, buffer_, *parser, terms, fault);
    if (fault) {
        co_await refuse_head(fault, parser, request);
        co_return false;
    }
    // The parser keeps trailers, of which nothing is passed on, apart from the head.
    request.message_.base() = std::move(parser->get().base());
    auto const& head = request.message_;
    auto const call = platform::parse_request_attributes(head);
    request_id_ = call.request_id_;
    head_only_ = head.method() == http::verb::head;
    held_head_ = memory_of_head(head, call);
    // A body whose end cannot be told could hide a second request.
    bool const unclear = head.find(http::field::transfer_encoding) != head.end() &&
                         (!parser->chunked() || head.version() < 11);
    if (unclear || head.count(http::field::host) != 1) {
        co_await refuse_part({400, "malformed-request", millis{-1}}, parser, request);
        co_return false;
    }
    auto const limits_of_body = limits_in_force();
    if (parser->content_length().value_or(0) > limits_of_body.body_bytes_) {
        co_await refuse_part({413, "body-too-large", millis{-1}}, parser, request);
        co_return false;
    }
    parser->body_limit(limits_of_body.body_bytes_);
    if (!co_await read_body(parser, limits_of_body, request, call)) {
        co_return false;
    }
    keep_ = parser->keep_alive();
    auto& body = request.message_.body();
    body = std::move(parser->get().body());
    if (body.capacity() - body.size() > read_bytes) {
        body.shrink_to_fit();
    }
    if (buffer_.capacity() > idle_buffer_bytes) {
        buffer_.shrink_to_fit();
    }
    auto const whole = body.capacity() + held_head_ + extra_bytes(buffer_.capacity());
    bool const has_room = request.memory_->grow_to(whole, boot_now()) &&
                          request.memory_->move_to(memory_purpose::request, boot_now()) &&
                          request.memory_->keep();
    if (!has_room) {
        note_no_room(request, "request");
        co_await refuse_part({unavailable, "no-room", no_room_retry_after}, parser, request);
        co_return false;
    }
    if (buffer_.size() > 0) {
        next_began_at_ = boot_now();
    }
    co_return true;
}

void caller_session::note_no_room(held_request const& request, std::string_view purpose)
{
    if (request.memory_->given_up()) {
        node_.counters_.count("auburnchute_requests_given_up_total");
    } else {
        node_.counters_.count("auburnchute_no_room_total", purpose);
    }
}

std::optional<own_answer> caller_session::book_next_part(body_parser& parser, caller_limits const& limits,
                                                         held_request& request, bool starved,
                                                         bool& authorized)
{
    auto const now = boot_now();
    auto const capacity = capacity_after_read(buffer_);
    body_bounds const bounds{.announced_ = parser.content_length() ? std::optional{*parser.content_length()}
                                                                   : std::nullopt,
                             .limit_ = limits.body_bytes_,
                             .next_ = std::max(read_bytes, starved ? 0 : buffer_.size())};
    auto const room = next_room(parser.get().body(), bounds);
    // What is small is read, so that its refusal need not end the connection.
    if (!authorized && std::max<std::uint64_t>(room, bounds.announced_.value_or(0)) > spared_bytes) {
        authorized = true;
        forward_job job;
        job.arrived_ = began_at_;
        job.config_ = current_view(node_).config_;
        job.call_ = platform::parse_request_attributes(request.message_);
        if (auto refusal = authorize(node_, job, now)) {
            return refusal;
        }
        request.memory_->note_allowed();
    }
    if (!request.memory_->grow_to(room + held_head_ + extra_bytes(capacity), now)) {
        note_no_room(request, "reading");
        return own_answer{unavailable, "no-room", no_room_retry_after};
    }
    make_room(parser.get().body(), room, bounds);
    return std::nullopt;
}

net::awaitable<void> caller_session::refuse_part(own_answer answer, std::optional<body_parser>& parser,
                                                 held_request& request)
{
    parser.reset();
    request.message_ = {};
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    request.memory_.reset();
    co_await refuse_unread(answer, request_id_);
}

net::awaitable<void> caller_session::read_part(body_parser& parser, bool& starved, error_code& fault)
{
    if (starved) {
        co_await work(buffer_.size());       // what couldn't be parsed is looked at again
        if (request_->memory_->given_up()) { // no read was pending that this could have ended
            fault = net::error::operation_aborted;
            co_return;
        }
        co_await read_more(stream_, buffer_, fault);
        if (fault) {
            co_return;
        }
    }
    co_await work(0);
    // All that has come is parsed at once: a read for each chunk would cost far more than its bytes.
    parser.eager(true);
    auto const size = parser.put(buffer_.data(), fault);
    buffer_.consume(size);
    starved = buffer_.size() == 0 || fault == http::error::need_more;
    if (fault == http::error::need_more) {
        fault = {};
    }
}

net::awaitable<bool> caller_session::read_body(std::optional<body_parser>& parser,
                                               caller_limits const& limits, held_request& request,
                                               request_attributes const& call)
{
    bool const asked = boost::beast::iequals(request.message_[http::field::expect], "100-continue");
    if (parser->is_done() && !asked) {
        co_return true;
    }
    auto const config = current_view(node_).config_;
    auto const* const route = config ? match_route(*config, call.host_, call.path_) : nullptr;
    // Without a route the request is refused for that once it was read.
    auto const deadline =
        route != nullptr ? std::optional{deadline_of(*route, call, began_at_)} : std::nullopt;
    auto const is_late = [&] { return deadline && !may_begin(node_, *deadline); };
    auto const is_over = [&] { return deadline && boot_now() >= *deadline; };
    bool authorized = false;
    auto refusal = book_next_part(*parser, limits, request, buffer_.size() == 0, authorized);
    if (refusal) {
        co_await refuse_part(*refusal, parser, request);
        co_return false;
    }
    if (asked && !is_late() && !co_await write_caller("HTTP/1.1 100 Continue\r\n\r\n")) {
        co_return false;
    }
    stream_.expires_after(to_chrono(limits.idle_timeout_));
    net::steady_timer until_deadline{node_.loop_};
    if (deadline) {
        until_deadline.expires_after(to_chrono(*deadline - boot_now()));
        until_deadline.async_wait([self = shared_from_this(), upload = ++upload_](error_code const& ended) {
            if (!ended && self->upload_deadline_ && self->upload_ == upload) {
                self->stream_.cancel();
            }
        });
    }
    upload_deadline_ = deadline;
    auto count_chunk = [this](std::uint64_t, boost::beast::string_view, error_code&) {
        work_ += work_per_line;
    };
    parser->on_chunk_header(count_chunk);
    error_code fault;
    bool in_time = true;
    bool starved = buffer_.size() == 0;
    while (!parser->is_done() && !fault && in_time) {
        // What has come is read, so that a further request behind it is not dropped.
        bool const must_wait = (starved && !has_input(stream_.socket())) || std::exchange(took_turn_, false);
        in_time = !must_wait || !(is_late() || is_over());
        refusal = in_time ? book_next_part(*parser, limits, request, starved, authorized) : std::nullopt;
        if (refusal) {
            break;
        }
        if (in_time) {
            co_await read_part(*parser, starved, fault);
        }
    }
    upload_deadline_.reset();
    if (!refusal && request.memory_->given_up()) {
        note_no_room(request, "reading");
        refusal = own_answer{unavailable, "no-room", no_room_retry_after};
    }
    if (refusal) {
        co_await refuse_part(*refusal, parser, request);
        co_return false;
    }
    bool const given_up = !in_time || fault == net::error::operation_aborted;
    if (given_up && (is_late() || is_closing(node_))) {
        co_await refuse_part(refuse_for_stop(node_, boot_now()), parser, request);
        co_return false;
    }
    if (given_up && is_over()) {
        co_await refuse_part({unavailable, "deadline", least_retry_after}, parser, request);
        co_return false;
    }
    if (fault == http::error::buffer_overflow) {
        co_await refuse_part({400, "malformed-request", millis{-1}}, parser, request);
        co_return false;
    }
    if (fault == http::error::body_limit) {
        co_await refuse_part({413, "body-too-large", millis{-1}}, parser, request);
        co_return false;
    }
    co_return !fault;
}

net::awaitable<void> caller_session::refuse_unread(own_answer answer, std::string request_id)
{
    keep_ = false;
    enter(session_state::serving);
    log_failure("request", {{"id", request_id},
                            {"outcome", "own-answer"},
                            {"status", answer.status_},
                            {"reason", answer.reason_},
                            {"tries", 0}});
    node_.counters_.count("auburnchute_requests_total", "own-answer");
    co_await send_own(answer, std::move(request_id));
}

void caller_session::start_watch()
{
    watching_ = true;
    net::co_spawn(
        node_.loop_, [self = shared_from_this(), watch = ++watch_] { return self->watch_caller(watch); },
        report_failure);
}

void caller_session::end_watch()
{
    if (watching_) {
        watching_ = false;
        error_code ignored; // nothing but the watch is pending
        stream_.socket().cancel(ignored);
    }
}

net::awaitable<void> caller_session::watch_caller(std::uint64_t watch)
{
    error_code outcome;
    co_await stream_.socket().async_wait(tcp::socket::wait_read, outcome_in(outcome));
    if (!watching_ || watch != watch_) {
        co_return;
    }
    if (is_connected(stream_.socket())) {
        if (next_began_at_ == millis{0}) {
            next_began_at_ = boot_now();
        }
        co_return;
    }
    gone_ = true;
    if (cancel_try_) {
        cancel_try_();
    }
    if (waiting_ != nullptr) {
        waiting_->notify();
    }
}

net::awaitable<bool> caller_session::serve(caller_request& request)
{
    forward_job job;
    job.arrived_ = began_at_;
    job.config_ = current_view(node_).config_;
    job.call_ = platform::parse_request_attributes(request);
    last_status_ = 0;
    given_up_ = false;
    enter(session_state::serving);
    std::optional<own_answer> own = admit(node_, job, request);
    if (!own) {
        note_need(node_, job, boot_now());
        start_watch();
        own = co_await dispatch_safely(job, request);
        end_watch();
    }
    cancel_try_ = nullptr;
    if (own && job.execution_ == execution::not_run) {
        refund(node_, job);
    }
    if (gone_) {
        log_end(job, "caller-left", 0, "");
        co_return false;
    }
    if (own && job.head_sent_) {
        // The caller has part of a stream: only an unfinished answer is honest.
        log_end(job, "cut", 0, own->reason_);
        co_return false;
    }
    if (own) {
        log_end(job, "own-answer", own->status_, own->reason_);
        co_return co_await send_own(*own, job.call_.request_id_) && keep_;
    }
    log_end(job, "answered", last_status_, "");
    co_return keep_;
}

net::awaitable<std::optional<own_answer>> caller_session::dispatch_safely(forward_job& job,
                                                                          caller_request const& request)
{
    std::string fault;
    try {
        co_return co_await dispatch(job, request);
    } catch (std::exception const& failure) {
        fault = failure.what();
    }
    on_first_event_ = nullptr;
    on_survival_ = nullptr;
    log_failure("request-failed", {{"id", job.call_.request_id_}, {"fault", fault}});
    if (job.used_.empty()) {
        co_return own_answer{internal_error, "internal-error", millis{-1}};
    }
    job.execution_ = execution::unknown; // so that nothing is given back of its charge
    co_return own_answer{bad_gateway, "internal-error", millis{-1}};
}

net::awaitable<std::optional<own_answer>> caller_session::dispatch(forward_job& job,
                                                                   caller_request const& request)
{
    auto& retries = retries_of(node_, job.service_);
    deposit(retries);
    int connect_failures = 0;
    while (!gone_) {
        auto const now = boot_now();
        if (now >= job.deadline_) {
            co_return give_up(job, "deadline", timed_out, "deadline");
        }
        if (!may_begin(node_, job.deadline_)) {
            co_return job.execution_ == execution::not_run ? refuse_for_stop(node_, now)
                                                           : own_answer{bad_gateway, "stopping", millis{-1}};
        }
        std::vector<trait_hash> trials;
        if (!job.on_trial_) {
            if (auto refusal = refuse_deadly(node_, job, request, trials)) {
                co_return job.execution_ == execution::not_run
                    ? refusal
                    : own_answer{bad_gateway, "crashes-upstreams", millis{-1}};
            }
        }
        auto const chosen = choose(node_, job);
        if (!chosen.upstream_) {
            auto refusal = co_await wait_for_upstream(job, chosen);
            if (refusal) {
                co_return refusal;
            }
            continue;
        }
        begin_trial(node_, trials, job.call_.request_id_);
        job.on_trial_ = job.on_trial_ || !trials.empty();
        last_upstream_ = chosen.upstream_->id_;
        auto outcome = co_await try_upstream(job, request, *chosen.upstream_);
        job.on_trial_ = job.on_trial_ && outcome.result_ == try_result::not_sent;
        last_status_ = outcome.status_;
        if (outcome.result_ != try_result::not_sent) {
            note_room(node_, job, boot_now());
        }
        if (outcome.withdrawn_) {
            continue;
        }
        if ((gone_ || given_up_) && outcome.result_ != try_result::answered) {
            job.execution_ = execution_after(job.execution_, outcome.result_);
            continue; // the try was ended here, and says nothing of the upstream
        }
        note_result(job, *chosen.upstream_, outcome);
        if (gone_) {
            break;
        }
        if (outcome.result_ == try_result::answered) {
            if (outcome.streamed_) {
                co_return std::nullopt;
            }
            bool const worth_repeating = job.route_->kind_ == route_type::safe && outcome.status_ >= 500;
            bool const again = worth_repeating && may_begin(node_, job.deadline_) &&
                               static_cast<int>(job.used_.size()) < job.route_->max_upstreams_ &&
                               acquire_retry(retries, try_result::refused, true,
                                             static_cast<int>(job.used_.size()), boot_now(), job.deadline_);
            if (!again) {
                if (outcome.held_) { // a caller that takes it slowly may have to make room
                    outcome.held_->allow_giving_up([this, id = last_upstream_] {
                        note_answer_given_up(id);
                        stream_.close();
                    });
                }
                if (!co_await send_answer(std::move(*outcome.answer_))) {
                    gone_ = true;
                }
                co_return std::nullopt;
            }
            job.execution_ = execution_after(job.execution_, try_result::answered);
            continue;
        }
        job.execution_ = execution_after(job.execution_, outcome.result_);
        if (!may_begin(node_, job.deadline_)) {
            continue; // no further try, which would cost a part of the retry budget
        }
        bool const ran_nowhere = outcome.result_ == try_result::not_sent;
        bool const may_repeat = is_repeatable(job) || job.execution_ == execution::not_run;
        bool const upstreams_left = static_cast<int>(job.used_.size()) < job.route_->max_upstreams_;
        if (!ran_nowhere && (!may_repeat || !upstreams_left ||
                             !acquire_retry(retries, outcome.result_, true,
                                            static_cast<int>(job.used_.size()), boot_now(), job.deadline_))) {
            bool const late = boot_now() >= job.deadline_;
            co_return give_up(job, "upstream-refused", late ? timed_out : bad_gateway,
                              late ? "deadline" : "upstream-failed",
                              time_until_open(choose(node_, job), boot_now()));
        }
        if (ran_nowhere && !outcome.upstream_gone_ && ++connect_failures >= max_connect_failures) {
            co_return give_up(job, "upstreams-unreachable", bad_gateway, "upstreams-unreachable");
        }
    }
    co_return own_answer{bad_gateway, "caller-left", millis{-1}};
}

net::awaitable<std::optional<own_answer>> caller_session::wait_for_upstream(forward_job& job,
                                                                            choice const& chosen)
{
    auto const now = boot_now();
    auto const fault = chosen.fault_;
    auto const left = job.first_deadline_ - now;
    if (fault == choice_fault::all_held) {
        co_return give_up(job, "upstreams-held", bad_gateway, "no-other-upstream",
                          time_until_open(chosen, now));
    }
    if (job.execution_ != execution::not_run || !job.used_.empty()) {
        co_return give_up(job, "no-other-upstream", bad_gateway, "no-other-upstream");
    }
    if (fault == choice_fault::no_upstream) {
        co_return own_answer{unavailable, "no-upstream", millis{500}};
    }
    if (auto const reason = version_refusal(fault); !reason.empty()) {
        co_return own_answer{unavailable, reason, version_retry_after};
    }
    if (fault == choice_fault::not_loaded) {
        // An engine that has the model still needs some time for the first token.
        if (auto const load = load_remaining(node_, job); load + first_token_time > left) {
            log_failure("load-too-late",
                        {{"id", job.call_.request_id_},
                         {"model", job.call_.model_},
                         {"load_ms", load.count_},
                         {"left_ms", left.count_},
                         {"holder_epoch", node_.placements_.epoch_},
                         {"placement_age_ms", (now - node_.placements_.holder_message_at_).count_}});
            co_return own_answer{unavailable, "load-too-late", load + least_retry_after};
        }
    } else if (waits_by_turn(node_, chosen)) {
        if (auto refusal = refuse_wait(node_, job, now)) {
            co_return refusal;
        }
    } else if (now - job.arrived_ > (job.first_deadline_ - job.arrived_) / 2) {
        co_return own_answer{unavailable,
                             fault == choice_fault::version_awaited ? "version-awaited" : "upstreams-full",
                             least_retry_after};
    }
    wake_event wake{node_.loop_};
    auto const key = need_of(job);
    waiting_call entry{job.urgency_, job.arrived_, job.deadline_, key, name_hash_of(key), &wake};
    entry.job_ = waits_by_turn(node_, chosen) ? &job : nullptr;
    node_.waiting_.push_back(&entry);
    if (chosen.yielded_ && !std::exchange(job.waited_, true)) {
        wake_waiting(node_); // those that come first may not know of the room yet
    }
    auto& need = need_of(node_, entry.need_);
    if (++need.waiting_ == 1 && node_.need_changed_) {
        node_.need_changed_();
    }
    waiting_ = &wake;
    co_await wake.wait_for(std::min(wait_round, left));
    waiting_ = nullptr;
    --need_of(node_, entry.need_).waiting_;
    node_.waiting_.remove(&entry);
    co_return std::nullopt;
}

net::awaitable<try_outcome> caller_session::try_upstream(forward_job& job, caller_request const& request,
                                                         chosen_upstream const& upstream)
{
    try_outcome outcome;
    auto const& from = job.call_;
    auto const now = boot_now();
    upstream_booking booking{node_, upstream, from.prompt_tokens_ + from.output_tokens_, need_of(job), now};
    auto connection = node_.pool_.take_idle(upstream.id_, is_repeatable(job) ? safe_idle : unsafe_idle);
    bool const open = connection != nullptr;
    if (!open) {
        connection = node_.pool_.make(upstream.id_);
    }
    cancel_try_ = [connection] {
        error_code ignored; // its reader notices
        connection->stream_.socket().close(ignored);
    };
    if (!open) {
        error_code fault;
        co_await upstream_pool::open(connection, upstream.address_,
                                     std::min(connect_limit, job.deadline_ - now), fault);
        if (fault) {
            cancel_try_ = nullptr;
            outcome.fault_ = "connect: " + fault.message();
            outcome.upstream_gone_ = fault == net::error::connection_refused;
            co_return outcome;
        }
    }
    // The watch may lag behind on a busy VM; nothing may be sent on once the caller has left.
    gone_ = gone_ || !is_connected(stream_.socket());
    if (gone_) {
        outcome.fault_ = "the caller left";
        co_return outcome;
    }
    if (!may_begin(node_, job.deadline_) ||
        !accepts_requests(node_, upstream.id_, upstream.started_at_, boot_now())) {
        outcome.fault_ = "this VM stops, or the upstream leaves";
        outcome.withdrawn_ = true;
        co_return outcome;
    }
    auto const left = job.deadline_ - boot_now();
    if (left <= millis{0}) {
        co_return outcome;
    }
    platform::forwarded_fields plan{.upstream_id_ = upstream.id_,
                                    .address_ = upstream.address_,
                                    .workspace_ = job.workspace_ != nullptr
                                                      ? std::string_view{job.workspace_->name_}
                                                      : std::string_view{},
                                    .time_left_ = left,
                                    .urgency_ = std::nullopt,
                                    .resume_after_ = job.last_event_};
    if (job.engine_ != nullptr) {
        plan.urgency_ = static_cast<int>(std::clamp<std::int64_t>(job.urgency_, 0, 9));
    }
    auto sent = std::make_shared<sent_request>();
    sent->origin_ = request_;
    sent->message_.base() = platform::make_upstream_request_head(request.base(), plan);
    sent->message_.body() = {request.body().data(), request.body().size()};
    // A request without a body carries no length, as the caller sent none.
    if (!request.body().empty() || request.find(http::field::content_length) != request.end()) {
        sent->message_.prepare_payload();
    }
    log_decision("forward",
                 {{"id", from.request_id_},
                  {"upstream", upstream.id_},
                  {"software_version", upstream.software_version_},
                  {"stream", from.stream_id_},
                  {"after_event", job.last_event_},
                  {"running", upstream.known_running_},
                  {"unread_before", upstream.known_unread_},
                  {"left_ms", left.count_},
                  {"stop_left_ms", node_.stop_ ? (node_.stop_->answers_until_ - boot_now()).count_ : -1},
                  {"config", job.config_->version_},
                  {"config_age_ms", (boot_now() - fresh_at(node_)).count_},
                  {"entries_age_ms", entries_age_ms(node_)},
                  {"reused", connection->reused_}});
    if (needs_one_version(job)) {
        job.begun_at_version_ = upstream.software_version_;
    }
    job.used_.push_back(upstream.id_);
    upstream_try first_try{node_, upstream};
    first_try_ = &first_try;
    job.sent_at_ = boot_now();
    job.answer_began_at_ = {};
    // The answer may come before a long body is written, so both run at the same time.
    auto const upload = std::make_shared<upload_state>(node_.loop_);
    sent_ = upload;
    answer_deadline_ = job.deadline_;
    connection->stream_.expires_after(to_chrono(left));
    net::co_spawn(
        node_.loop_,
        [connection, sent, upload]() -> net::awaitable<void> {
            error_code fault;
            co_await http::async_write(connection->stream_, sent->message_, outcome_in(fault));
            upload->written_ = !fault;
            upload->failed_ = static_cast<bool>(fault);
            upload->changed_.notify();
        },
        report_failure);
    bool reusable = false;
    millis keep_alive = default_keep_alive;
    on_first_event_ = [&booking, &job] {
        job.answer_began_at_ = boot_now();
        booking.note_answering(job.answer_began_at_);
    };
    on_survival_ = [this, &job, &request] { note_survival(job, request); };
    co_await read_answer(job, upstream, *connection, outcome, reusable, keep_alive);
    first_try.end(false);
    first_try_ = nullptr;
    on_first_event_ = nullptr;
    on_survival_ = nullptr;
    cancel_try_ = nullptr;
    if (outcome.result_ == try_result::answered) {
        note_survival(job, request);
    }
    if (reusable && upload->written_ && !gone_) {
        node_.pool_.keep(connection, keep_alive);
    } else {
        error_code ignored; // a broken connection may be closed already
        connection->stream_.socket().close(ignored);
    }
    bool const broke =
        outcome.result_ == try_result::cut_before_answer || outcome.result_ == try_result::cut_in_answer;
    if (broke && !gone_ && !given_up_ && boot_now() < job.deadline_) {
        auto const probe = node_.pool_.make(upstream.id_);
        cancel_try_ = [probe] {
            error_code ignored; // the probe's end is what matters
            probe->stream_.socket().close(ignored);
        };
        error_code fault;
        co_await upstream_pool::open(probe, upstream.address_, probe_limit, fault);
        cancel_try_ = nullptr;
        outcome.upstream_gone_ = fault == net::error::connection_refused;
        if (outcome.upstream_gone_) {
            (void)traits_of(job, request);
            note_crash(node_, job, upstream, outcome.status_);
        }
    }
    bool const head_only = outcome.result_ == try_result::cut_in_answer && job.answer_began_at_ == millis{0};
    if (head_only && gone_ && !outcome.upstream_gone_) {
        (void)traits_of(job, request);
        net::co_spawn(
            node_.loop_,
            [&node = node_, job, upstream, status = outcome.status_] {
                return watch_abandoned(node, job, upstream, status);
            },
            report_failure);
    }
    co_return outcome;
}

net::awaitable<void> caller_session::read_answer(forward_job& job, chosen_upstream const& upstream,
                                                 upstream_connection& connection, try_outcome& outcome,
                                                 bool& reusable, millis& keep_alive)
{
    outcome.result_ = try_result::cut_before_answer;
    error_code fault;
    int interim = 0;
    for (int stray = 0; stray <= max_stray_answers; ++stray) {
        auto head = std::make_unique<http::response_parser<http::empty_body>>();
        head->body_limit(unlimited_body); // what is read of the body decides
        co_await http::async_read_header(connection.stream_, connection.buffer_, *head, outcome_in(fault));
        if (fault) {
            outcome.fault_ = "answer: " + fault.message();
            bool const malformed = fault.category() == make_error_code(http::error::bad_method).category() &&
                                   fault != http::error::end_of_stream;
            outcome.result_ = malformed ? try_result::wrong_answer : try_result::cut_before_answer;
            co_return;
        }
        auto const status = static_cast<int>(head->get().result_int());
        if (status < 100 || status > 599) {
            outcome.fault_ = "no status of an answer: " + std::to_string(status);
            outcome.result_ = try_result::wrong_answer;
            co_return;
        }
        if (status < 200) {
            if (++interim > max_interim_answers) {
                outcome.fault_ = "too many interim answers";
                outcome.result_ = try_result::wrong_answer;
                co_return;
            }
            --stray;
            continue;
        }
        auto const reply = platform::parse_response_attributes(head->get().base());
        take_signals(node_, upstream.id_, upstream.started_at_, reply.signals_);
        take_load(node_, upstream.id_, reply.load_, boot_now());
        if (!reply.request_id_.empty() && reply.request_id_ != job.call_.request_id_) {
            whole_answer_parser skipped{std::move(*head)};
            auto const held = hold_answer(connection);
            co_await read_whole(connection, skipped, *held, fault);
            node_.counters_.count("auburnchute_stray_answers_total");
            if (fault || !skipped.keep_alive()) {
                outcome.fault_ = "only an answer to another request came";
                outcome.result_ = try_result::wrong_answer;
                co_return;
            }
            continue;
        }
        outcome.status_ = status;
        if (reply.request_id_ != job.call_.request_id_) {
            outcome.result_ = try_result::wrong_answer;
            outcome.fault_ = "an answer that names no request";
            co_return;
        }
        first_try_->end(!reply.signals_.retry_after_);
        if (reply.closes_connection_) {
            keep_alive = millis{0};
        } else if (reply.keep_alive_) {
            keep_alive = *reply.keep_alive_ - keep_alive_margin;
        }
        bool const is_stream = job.route_->kind_ == route_type::stream && !head_only_ &&
                               (status == 200 || (status / 100 == 2 && names_events(head->get())));
        // Nothing but further events may follow what the caller has, be it of another answer.
        bool const must_go_on = job.head_sent_ || (is_stream && !job.last_event_.empty());
        if (must_go_on && !(is_stream && !reply.not_run_ && holds_events(head->get()))) {
            outcome.result_ = reply.not_run_ ? try_result::refused : try_result::wrong_answer;
            outcome.fault_ = "the stream is not continued: " + std::to_string(status);
            co_return;
        }
        if (is_stream && !reply.not_run_) {
            answer_parser parser{std::move(*head)};
            co_await relay_stream(job, connection, parser, outcome);
            reusable = outcome.result_ == try_result::answered && parser.keep_alive() &&
                       keep_alive > millis{0} && connection.buffer_.size() == 0;
            co_return;
        }
        upstream_answer answer;
        if (head_only_) {
            // No body follows, whatever the head says of one. A faulty upstream may send it all the same, so
            // the connection isn't used again.
            answer.base() = std::move(head->get().base());
        } else {
            whole_answer_parser parser{std::move(*head)};
            outcome.result_ = try_result::cut_in_answer;
            outcome.held_ = hold_answer(connection);
            co_await read_whole(connection, parser, *outcome.held_, fault);
            if (fault) {
                outcome.held_.reset(); // it refers to the connection
                outcome.fault_ = "answer: " + fault.message();
                co_return;
            }
            reusable = parser.keep_alive() && keep_alive > millis{0} && connection.buffer_.size() == 0;
            answer = parser.release();
        }
        if (reply.not_run_) {
            outcome.result_ = try_result::refused;
            outcome.fault_ = "the upstream did not run it: " + std::to_string(status);
            co_return;
        }
        outcome.result_ = try_result::answered;
        if (on_first_event_) {
            std::exchange(on_first_event_, nullptr)();
        }
        outcome.answer_ = std::move(answer);
        co_return;
    }
    outcome.fault_ = "too many answers to other requests";
    outcome.result_ = try_result::wrong_answer;
}

std::unique_ptr<memory_budget::holding> caller_session::hold_answer(upstream_connection& connection)
{
    return std::make_unique<memory_budget::holding>(*request_->budget_, memory_purpose::answer, boot_now(),
                                                    [this, &connection] {
                                                        note_answer_given_up(connection.upstream_id_);
                                                        error_code ignored; // its reader notices
                                                        connection.stream_.socket().close(ignored);
                                                        if (writing_) {
                                                            stream_.close();
                                                        }
                                                    });
}

net::awaitable<bool> caller_session::ended_properly(millis deadline)
{
    auto const upload = sent_;
    while (!upload->written_ && !upload->failed_ && boot_now() < deadline) {
        co_await upload->changed_.wait_for(deadline - boot_now());
    }
    co_return upload->written_;
}

void caller_session::note_answer_given_up(std::string_view upstream)
{
    node_.counters_.count("auburnchute_answers_given_up_total");
    log_failure("answer-given-up", {{"id", request_id_}, {"upstream", upstream}});
}

net::awaitable<void> caller_session::read_whole(upstream_connection& connection, whole_answer_parser& parser,
                                                memory_budget::holding& held, error_code& fault)
{
    // A length that was announced is not compared with a limit set after the head was read.
    if (parser.content_length().value_or(0) > max_answer_bytes) {
        fault = http::error::body_limit;
        co_return;
    }
    parser.body_limit(max_answer_bytes);
    parser.eager(true);
    body_bounds const bounds{.announced_ = parser.content_length() ? std::optional{*parser.content_length()}
                                                                   : std::nullopt,
                             .limit_ = max_answer_bytes};
    while (!parser.is_done() && !fault) {
        auto const room = next_room(parser.get().body(), bounds);
        if (!held.grow_to(room, boot_now())) {
            if (!held.given_up()) {
                note_answer_given_up(connection.upstream_id_);
            }
            fault = net::error::no_buffer_space;
            co_return;
        }
        make_room(parser.get().body(), room, bounds);
        co_await http::async_read_some(connection.stream_, connection.buffer_, parser, outcome_in(fault));
    }
    if (!held.keep()) {
        fault = net::error::no_buffer_space;
    } else if (!fault && parser.need_eof() && !co_await ended_properly(answer_deadline_)) {
        fault = net::error::connection_reset;
    }
}

net::awaitable<void> caller_session::relay_stream(forward_job& job, upstream_connection& connection,
                                                  answer_parser& parser, try_outcome& outcome)
{
    outcome.result_ = try_result::cut_in_answer;
    bool const continues = job.head_sent_;
    auto const last_before = job.last_event_;
    event_sequence sequence{.caller_last_ = event_number(job.last_event_), .run_last_ = std::nullopt};
    event_cutter cutter;
    auto const held = hold_answer(connection);
    std::array<char, 8'192> chunk{};
    error_code fault;
    bool in_order = true;
    while (!parser.is_done()) {
        auto& body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        co_await http::async_read_some(connection.stream_, connection.buffer_, parser, outcome_in(fault));
        if (fault == http::error::need_buffer) {
            fault = {};
        }
        auto const size = chunk.size() - body.size;
        auto events = feed_events(cutter, {chunk.data(), size});
        // What is passed on is copied twice on its way.
        if (!held->grow_to(cutter.pending_.capacity() + 3 * events.size(), boot_now())) {
            if (!held->given_up()) {
                note_answer_given_up(connection.upstream_id_);
            }
            outcome.fault_ = "stream: no room in memory";
            co_return;
        }
        if (parser.is_done() && !fault && !holds_events(parser.get())) {
            events += std::exchange(cutter.pending_, {}); // has no events that could be cut short
        }
        if (!events.empty() && on_first_event_) {
            std::exchange(on_first_event_, nullptr)();
        }
        if (on_survival_ && job.answer_began_at_ > millis{0} &&
            boot_now() - job.answer_began_at_ >= crash_onset) {
            std::exchange(on_survival_, nullptr)();
        }
        if (!events.empty() && !co_await pass_events(job, parser, events, sequence, in_order)) {
            gone_ = true;
            co_return;
        }
        if (fault || !in_order || gone_) {
            outcome.fault_ = fault ? "stream: " + fault.message() : "events out of order";
            co_return;
        }
        if (cutter.pending_.size() > max_event_bytes) {
            outcome.fault_ = "stream: an event without end";
            co_return;
        }
    }
    if (parser.need_eof() && !co_await ended_properly(job.deadline_)) {
        outcome.fault_ = "stream: reset";
        co_return;
    }
    if (!cutter.pending_.empty()) {
        outcome.fault_ = "stream: ended inside an event";
        co_return;
    }
    if (continues && job.last_event_ == last_before) {
        outcome.fault_ = "stream: ended without a further event"; // it cannot be told from one cut short
        co_return;
    }
    if (!job.head_sent_ && !co_await pass_events(job, parser, {}, sequence, in_order)) {
        gone_ = true;
        co_return;
    }
    if (!co_await write_caller("0\r\n\r\n")) {
        gone_ = true;
        co_return;
    }
    outcome.result_ = try_result::answered;
    outcome.streamed_ = true;
}

net::awaitable<bool> caller_session::pass_events(forward_job& job, answer_parser& parser,
                                                 std::string_view events, event_sequence& sequence,
                                                 bool& in_order)
{
    std::string passed;
    if (!holds_events(parser.get())) {
        passed = std::exchange(events, {});
        job.unnumbered_ = true;
    }
    while (!events.empty() && in_order) {
        auto const event = next_event(events);
        auto const verdict = judge_event(sequence, event);
        if (verdict == event_verdict::out_of_order) {
            in_order = false;
            break;
        }
        if (verdict == event_verdict::skip) {
            continue;
        }
        auto const id = event_id(event);
        if (id && event_number(*id)) {
            job.last_event_ = *id;
            if (job.first_event_.empty()) {
                job.first_event_ = *id;
            }
        } else {
            job.unnumbered_ = job.unnumbered_ || id || carries_data(event);
        }
        passed += event;
    }
    if (!in_order && passed.empty()) {
        co_return true; // another upstream may still begin the answer
    }
    std::string bytes;
    if (!job.head_sent_) {
        auto head = platform::make_caller_response_head(parser.get().base());
        head.erase(http::field::content_length);
        http::response<http::empty_body> answer{std::move(head)};
        answer.chunked(true);
        answer.keep_alive(keeps_open());
        std::ostringstream text;
        text << answer.base();
        bytes = text.str();
        job.head_sent_ = true;
        job.first_event_at_ = boot_now();
    }
    if (!passed.empty()) {
        std::ostringstream size;
        size << std::hex << passed.size();
        bytes += size.str() + "\r\n" + passed + "\r\n";
    }
    co_return bytes.empty() || co_await write_caller(std::move(bytes));
}

net::awaitable<bool> caller_session::write_caller(std::string bytes)
{
    error_code fault;
    stream_.expires_after(to_chrono(write_limit));
    writing_ = true;
    co_await net::async_write(stream_, net::buffer(bytes), outcome_in(fault));
    writing_ = false;
    co_return !fault;
}

net::awaitable<bool> caller_session::send_answer(upstream_answer answer)
{
    upstream_answer passed{platform::make_caller_response_head(answer.base())};
    passed.body() = std::move(answer.body());
    if (!head_only_) { // else the length, if any, is that of the body which a GET would have got
        passed.prepare_payload();
    }
    passed.keep_alive(keeps_open());
    error_code fault;
    stream_.expires_after(to_chrono(write_limit));
    co_await http::async_write(stream_, passed, outcome_in(fault));
    co_return !fault;
}

net::awaitable<bool> caller_session::send_own(own_answer answer, std::string request_id)
{
    auto message = to_message(answer, request_id);
    if (head_only_) {
        message.body().clear();
    }
    message.keep_alive(keeps_open());
    error_code fault;
    stream_.expires_after(to_chrono(write_limit));
    co_await http::async_write(stream_, message, outcome_in(fault));
    if (fault) {
        log_failure("answer-unsent",
                    {{"id", request_id}, {"status", answer.status_}, {"fault", fault.message()}});
    }
    node_.counters_.count("auburnchute_refusals_total", answer.reason_);
    co_return !fault;
}

void caller_session::note_result(forward_job const& job, chosen_upstream const& upstream,
                                 try_outcome const& outcome)
{
    auto& own = use_of(node_, upstream.id_);
    auto const now = boot_now();
    switch (outcome.result_) {
    case try_result::answered:
        own.suspect_until_ = {};
        note_answered(own.signals_, upstream.started_at_);
        break;
    case try_result::refused:
        if (outcome.status_ == misdirected && job.engine_ == nullptr) {
            note_astray(own.signals_, upstream.started_at_, upstream.address_, astray_time, now);
            node_.pool_.forget(upstream.id_);
        } else if (outcome.status_ == misdirected) {
            note_astray(own.signals_, upstream.started_at_, upstream.address_, engine_astray_time, now);
        } else {
            own.suspect_until_ = now + refusal_time;
        }
        break;
    default:
        own.suspect_until_ = now + suspect_time;
        if (outcome.upstream_gone_) {
            own.closed_until_ = now + refused_time;
        }
        node_.pool_.forget(upstream.id_);
    }
    if (outcome.status_ != misdirected) {
        note_fault(node_, upstream, outcome.result_, outcome.upstream_gone_, now);
    }
    if (outcome.result_ != try_result::answered) {
        log_failure("try-failed", {{"id", job.call_.request_id_},
                                   {"upstream", upstream.id_},
                                   {"peer", upstream.address_},
                                   {"status", outcome.status_},
                                   {"fault", outcome.fault_},
                                   {"tries", job.used_.size()}});
    }
}

void caller_session::note_survival(forward_job& job, caller_request const& request)
{
    if (!node_.evidence_.records_.empty()) {
        auto const began_at = job.answer_began_at_ > millis{0} ? job.answer_began_at_ : boot_now();
        book_answer(node_, traits_of(job, request), evidence_workspace(job), began_at);
    }
}

void caller_session::log_end(forward_job const& job, std::string_view outcome, int status,
                             std::string_view reason) const
{
    auto const now = boot_now();
    auto const route = job.route_ != nullptr ? std::string_view{job.route_->name_} : "";
    auto const workspace = job.workspace_ != nullptr ? std::string_view{job.workspace_->name_} : "";
    auto const first = job.first_event_at_ > millis{0} ? job.first_event_at_ - job.arrived_ : millis{-1};
    node_.counters_.count("auburnchute_requests_total", outcome);
    if (job.route_ != nullptr && takes_up_stream(job)) {
        node_.counters_.count("auburnchute_streams_taken_up_total", outcome);
    }
    node_.counters_.observe("auburnchute_request_ms", route, now - job.arrived_);
    if (first >= millis{0}) {
        node_.counters_.observe("auburnchute_first_event_ms", route, first);
    }
    auto const write = outcome == "answered" ? log_decision : log_failure;
    write("request", {{"id", job.call_.request_id_},
                      {"route", route},
                      {"workspace", workspace},
                      {"units", static_cast<std::int64_t>(job.charged_)},
                      {"model", job.call_.model_},
                      {"adapter", job.call_.adapter_},
                      {"outcome", outcome},
                      {"status", status},
                      {"reason", reason},
                      {"upstream", last_upstream_},
                      {"stream", job.call_.stream_id_},
                      {"after_event", job.call_.resume_after_},
                      {"first_event", job.first_event_},
                      {"last_event", job.last_event_},
                      {"tries", job.used_.size()},
                      {"first_ms", first.count_},
                      {"ms", (now - job.arrived_).count_},
                      {"allowed_ms", (job.deadline_ - job.arrived_).count_},
                      {"config", job.config_ ? job.config_->version_ : 0}});
}

} // namespace

void serve_callers(entry_node& node, std::string const& address)
{
    auto const limit = connection_limit(
        node.memory_->limits(), static_cast<std::size_t>(std::max(0.0, node.settings_.max_descriptors_)));
    auto const take = [&node, limit](tcp::socket socket) {
        if (node.sessions_->size() >= limit) {
            auto* const makes_way = choose_to_make_way(*node.sessions_);
            node.counters_.count("auburnchute_connections_closed_total",
                                 makes_way ? "for-others" : "refused");
            log_failure("connections-full", {{"connections", node.sessions_->size()}, {"limit", limit}});
            if (makes_way == nullptr) {
                return; // all are served; the socket closes
            }
            makes_way->make_way();
        }
        auto session = std::make_shared<caller_session>(node, std::move(socket));
        net::co_spawn(
            node.loop_, [session] { return session->run(); }, report_failure);
    };
    accept_connections(node.loop_, address, take, caller_receive_buffer);
}

} // namespace auburnchute
