#include "transport/service_call.hpp"

#include "protocol/logging.hpp"
#include "transport/caller_request.hpp"
#include "transport/http_client.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <httplib.h>
#include <memory>
#include <optional>
#include <stop_token>
#include <utility>

namespace auburnchute {

namespace {

/// Longest wait of a caller for a claim to be folded.
constexpr millis claim_wait{10'000};

/// Longest wait of a repeat for the outcome of the first call, which takes the same way as a claim.
constexpr millis outcome_wait = claim_wait;

constexpr std::size_t max_key_length = 256;

/// The answer as it came, and the library's copy.
constexpr std::size_t answer_copies = 2;

/// Status of an outcome whose call may or may not have run.
constexpr int unknown_outcome = 0;

/// Longest times of a call's parts; the last is the service's for its answer.
constexpr millis connect_limit{1'000};
constexpr millis send_limit{5'000};
constexpr millis answer_limit = service_call_limit - connect_limit - send_limit;

/// Headers that concern one connection or carry the caller's key.
constexpr std::array dropped_headers{
    "authorization",  "connection",        "host",         "keep-alive",  "proxy-authorization",
    "content-length", "transfer-encoding", "te",           "trailer",     "upgrade",
    "expect",         "traceparent",       "x-request-id", "remote_addr", "remote_port",
    "local_addr",     "local_port"};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool is_dropped(std::string const& name)
{
    return std::find(dropped_headers.begin(), dropped_headers.end(), lower(name)) != dropped_headers.end();
}

struct service_result {
    try_result result_{try_result::not_sent};
    bool given_up_{}; ///< The end of a planned stop broke the connection, not the upstream.
    int status_{};
    std::string content_type_;
    std::string body_;
    httplib::Headers headers_;
};

service_result call_service(request_services& services, request_context const& context,
                            slot_grant const& grant, httplib::Request const& request)
{
    auto const started = wall_now();
    http_client client{grant.address_, {connect_limit, answer_limit, send_limit}};
    call_request forwarded{.method_ = request.method, .target_ = request.target, .body_ = request.body};
    auto* const account = request_account::current();
    for (auto const* const fields : {&request.headers, &std::as_const(account->withheld_)}) {
        for (auto const& [name, value] : *fields) {
            if (!is_dropped(name)) {
                forwarded.headers_.emplace(name, value);
            }
        }
    }
    forwarded.headers_.emplace("X-Request-Id", context.id_);
    forwarded.headers_.emplace("traceparent", to_traceparent(child_of(context.trace_)));
    service_result result;
    if (!context.open_->on_give_up([&client] { client.stop(); })) {
        result.given_up_ = true;
        return result;
    }
    std::atomic<bool> kept{true};
    auto const give_up = [&] {
        kept = false;
        client.stop();
    };
    account->on_give_up(give_up);
    auto answer = client.call(forwarded, {.held_ = [&](std::size_t bytes) {
                                  if (!account->hold_answer(bytes * answer_copies)) {
                                      give_up();
                                  }
                              }});
    account->on_give_up({});
    (void)context.open_->on_give_up({});
    if (!kept || answer.fault_ == call_fault::wrong_answer) {
        log_fault("relay", grant.upstream_,
                  kept ? "the answer is malformed or too large" : "the answers take too much memory");
        result.result_ = try_result::wrong_answer;
    } else if (answer) {
        auto const echoed = answer.header("X-Request-Id");
        bool const crossed = !echoed.empty() && echoed != context.id_;
        result.result_ = crossed ? try_result::wrong_answer : try_result::answered;
        result.status_ = answer.status_;
        result.content_type_ = answer.header("Content-Type");
        result.body_ = std::move(answer.body_);
        result.headers_ = std::move(answer.headers_);
    } else {
        bool const never = answer.fault_ == call_fault::not_connected;
        result.result_ = never ? try_result::not_sent : try_result::cut_before_answer;
        result.given_up_ = services.stop_.is_closing();
    }
    write_step_span(services, context, "relay", started, grant.upstream_);
    return result;
}

slot_request wanted_by(request_context const& context)
{
    slot_request wanted;
    wanted.key_ = {context.route_.pool_, {}, {}};
    wanted.workspace_ = context.workspace_;
    wanted.weight_ = context.weight_;
    wanted.priority_ = context.route_.priority_;
    wanted.tokens_ = context.route_.cost_;
    wanted.arrived_ = context.arrived_;
    wanted.deadline_ = context.deadline_;
    wanted.ends_by_ = context.ends_by_;
    wanted.request_hash_ = stable_hash(context.id_);
    wanted.isolated_ = context.suspect_;
    return wanted;
}

void answer_result(request_context const& context, service_result const& result, httplib::Response& response)
{
    response.status = result.status_;
    for (auto const& [name, value] : result.headers_) {
        auto const key = lower(name);
        if (!is_dropped(name) && key != "content-type") {
            response.set_header(name, value);
        }
    }
    response.set_header("Auburnchute-Request-Id", context.id_);
    response.set_header("Auburnchute-Row", to_string(context.row_));
    response.set_content(result.body_,
                         result.content_type_.empty() ? "application/octet-stream" : result.content_type_);
}

/// One try on one upstream, with its place in the pool.
service_result try_once(request_services& services, request_context& context, slot_request& wanted,
                        slot_grant const& grant, httplib::Request const& request)
{
    auto const started = now(services.control_.time_source());
    services.control_.request_started(grant.upstream_, context.id_, context.fingerprint_, context.suspect_);
    auto result = call_service(services, context, grant, request);
    if (result.result_ == try_result::cut_before_answer && !result.given_up_) {
        services.control_.connection_broke(grant.upstream_, grant.replica_, context.id_);
    } else if (result.result_ == try_result::not_sent && !result.given_up_) {
        grant.counters_->refused_connections_.fetch_add(1, std::memory_order_relaxed);
    } else if (context.suspect_ && !result.given_up_) {
        services.control_.suspect_finished(context.fingerprint_);
    }
    services.control_.request_ended(grant.upstream_, context.id_);
    services.queue_.release(wanted, grant, now(services.control_.time_source()) - started);
    wanted.avoid_ = grant.upstream_;
    return result;
}

void run_repeatable(request_services& services, retry_budgets& budgets, request_context& context,
                    httplib::Request const& request, httplib::Response& response)
{
    auto wanted = wanted_by(context);
    auto const& pool = context.route_.pool_;
    budgets.first_try(pool);
    auto ran = execution::not_run;
    for (int tries = 1;; ++tries) {
        slot_grant grant;
        if (auto refused = wait_for_place(services, context, wanted, grant)) {
            refused->execution_ = ran;
            if (grant.verdict_ == slot_verdict::stopping) {
                refused = make_stop_problem(services, context, ran);
            }
            answer_problem(*refused, response);
            end_request(services, context, ran == execution::not_run ? "refused" : "failed");
            return;
        }
        if (auto ended = must_not_start(services, context, ran)) {
            services.queue_.release(wanted, grant, {1});
            ended->execution_ = ran;
            answer_problem(*ended, response);
            end_request(services, context, ran == execution::not_run ? "refused" : "failed");
            return;
        }
        auto const result = try_once(services, context, wanted, grant, request);
        ran = execution_after(ran, result.result_);
        if (ran != execution::not_run) {
            use_tokens(services, context, context.route_.cost_);
        }
        if (result.result_ == try_result::answered) {
            note(services, context, "relay", "answered " + std::to_string(result.status_));
            answer_result(context, result, response);
            end_request(services, context, "served");
            return;
        }
        note(services, context, result.result_ == try_result::not_sent ? "connect" : "relay",
             result.result_ == try_result::not_sent ? "failed " + grant.upstream_
                                                    : "cut " + grant.upstream_ + " 0");
        if (result.given_up_ || !budgets.again(pool, result.result_, true, tries,
                                               now(services.control_.time_source()), context.deadline_)) {
            auto failed = result.given_up_ ? make_stop_problem(services, context, ran)
                                           : make_problem(context, 502, "upstream-failed", "relay",
                                                          "the upstream failed", ran);
            failed.peer_ = grant.upstream_;
            answer_problem(failed, response);
            end_request(services, context, ran == execution::not_run ? "refused" : "failed");
            return;
        }
        services.metrics_.count("auburnchute_retries_total", pool);
    }
}

/// Waits while the call of a claim runs or its outcome is on its way here. \returns The state that was seen
/// last.
std::shared_ptr<fleet_state const> wait_for_outcome(request_services& services,
                                                    request_context const& context, std::string const& key,
                                                    std::string const& request_digest)
{
    auto const is_settled = [&](fleet_state const& state) {
        auto const it = state.claims_.find(key);
        return it == state.claims_.end() || it->second.finished_ ||
               it->second.request_digest_ != request_digest || is_gone(state, it->second.daemon_);
    };
    auto const left = std::min(context.deadline_ - now(services.control_.time_source()), outcome_wait);
    std::stop_source given_up;
    if (!context.open_->on_give_up([&given_up] { given_up.request_stop(); })) {
        given_up.request_stop();
    }
    auto state = services.control_.wait_folded(is_settled, left, given_up.get_token());
    (void)context.open_->on_give_up({});
    return state;
}

/// Answers a call whose key is claimed already, with the outcome as soon as it is known. \returns False if
/// the claim is free.
bool answer_repeat(request_services& services, request_context& context, std::string const& key,
                   std::string const& request_digest, httplib::Response& response)
{
    auto const state = wait_for_outcome(services, context, key, request_digest);
    auto const found = state->claims_.find(key);
    if (found == state->claims_.end()) {
        return false;
    }
    auto const& claim = found->second;
    bool const claimant_gone = is_gone(*state, claim.daemon_);
    if (auto ended = must_end(services, context)) {
        // The key may have been withdrawn while the repeat waited.
        ended->execution_ = execution::unknown;
        answer_problem(*ended, response);
        end_request(services, context, "refused");
    } else if (claim.request_digest_ != request_digest) {
        note(services, context, "claim", "other_body");
        answer_problem(make_problem(context, 422, "key-reused", "claim",
                                    "not run: the idempotency key was used with another body"),
                       response);
        end_request(services, context, "refused");
    } else if (claim.finished_ && claim.status_ != unknown_outcome) {
        note(services, context, "claim", "replayed");
        service_result stored;
        stored.status_ = claim.status_;
        stored.content_type_ = claim.content_type_;
        stored.body_ = claim.body_;
        answer_result(context, stored, response);
        response.set_header("Idempotency-Replayed", "true");
        if (!claim.body_kept_) {
            response.set_header("Auburnchute-Body", "not-kept");
        }
        end_request(services, context, "replayed");
    } else if (claimant_gone || claim.finished_) {
        note(services, context, "claim", "unknown");
        answer_problem(
            make_problem(context, 409, "outcome-unknown", "claim",
                         "the first call ended without a stored outcome; the call is not made again",
                         execution::unknown),
            response);
        end_request(services, context, "unknown");
    } else {
        note(services, context, "claim", "in_progress");
        auto refused = make_problem(context, 409, "in-progress", "claim",
                                    "the same call is still running, or its outcome has not reached this VM",
                                    execution::unknown);
        refused.retry_after_s_ = 1;
        answer_problem(refused, response);
        end_request(services, context, "refused");
    }
    return true;
}

void record_outcome(request_services& services, request_context& context, std::string const& key,
                    member_id const& self, service_result const& result)
{
    claim_outcome outcome;
    outcome.key_ = key;
    outcome.daemon_ = self;
    outcome.not_run_ = result.result_ == try_result::not_sent;
    outcome.status_ = result.result_ == try_result::answered ? result.status_ : unknown_outcome;
    outcome.content_type_ = result.content_type_;
    outcome.body_kept_ = result.body_.size() <= max_outcome_body_bytes;
    if (outcome.body_kept_) {
        outcome.body_ = result.body_;
    }
    note(services, context, "settle", "outcome_kept");
    services.control_.submit(std::move(outcome));
}

/// Claims the call in the log. \returns The refusal, or none if this daemon may make the call now.
std::optional<problem> claim(request_services& services, request_context& context, std::string const& key,
                             std::string const& request_digest, member_id& self)
{
    auto const fresh = services.control_.read([&](fleet_view const& view) {
        self = view.self_;
        return view.authority_ == authority::fresh_log;
    });
    if (!fresh) {
        note(services, context, "claim", "log_down");
        auto refused = make_problem(context, 503, "log-unreachable", "claim",
                                    "not run: the log service is not reachable");
        refused.retry_after_s_ = 5;
        return refused;
    }
    claim_made body;
    body.key_ = key;
    body.route_ = context.route_.name_;
    body.workspace_ = context.workspace_;
    body.request_digest_ = request_digest;
    body.daemon_ = self;
    struct shared_wait {
        std::mutex mutex_;
        std::condition_variable done_;
        std::optional<submit_result> result_;
        bool abandoned_{};
        bool given_up_{};
    };
    auto const wait = std::make_shared<shared_wait>();
    auto& control = services.control_;
    control.submit(std::move(body), [wait, &control, key, self](submit_result const& result) {
        std::lock_guard const lock{wait->mutex_};
        wait->result_ = result;
        wait->done_.notify_all();
        if (wait->abandoned_ && result.known_ && result.verdict_.verdict_ == verdict::accepted) {
            // The caller was told "not run" already; the claim is freed and the call is never made.
            claim_outcome freed;
            freed.key_ = key;
            freed.daemon_ = self;
            freed.not_run_ = true;
            control.submit(std::move(freed));
        }
    });
    auto const left = std::min(context.deadline_ - now(control.time_source()), claim_wait);
    (void)context.open_->on_give_up([wait] {
        std::lock_guard const woken{wait->mutex_};
        wait->given_up_ = true;
        wait->done_.notify_all();
    });
    std::unique_lock lock{wait->mutex_};
    wait->done_.wait_for(lock, std::chrono::milliseconds{std::max<std::int64_t>(0, left.count_)},
                         [&wait] { return wait->given_up_ || wait->result_.has_value(); });
    if (!wait->result_ || !wait->result_->known_) {
        wait->abandoned_ = true;
        note(services, context, "claim", "log_down");
        auto refused = make_problem(context, 503, "log-unreachable", "claim",
                                    "not run: the log service did not confirm the claim in time");
        refused.retry_after_s_ = 5;
        return refused;
    }
    if (wait->result_->verdict_.verdict_ != verdict::accepted) {
        // Another daemon's claim was first, unless this daemon is no member any more.
        auto refused =
            make_problem(context, 409, "in-progress", "claim", "not run: " + wait->result_->verdict_.reason_);
        refused.retry_after_s_ = 1;
        return refused;
    }
    note(services, context, "claim", "accepted");
    return std::nullopt;
}

void run_at_most_once(request_services& services, request_context& context, httplib::Request const& request,
                      httplib::Response& response)
{
    auto const idempotency_key = request.get_header_value("Idempotency-Key");
    if (idempotency_key.empty() || idempotency_key.size() > max_key_length) {
        answer_problem(
            make_problem(
                context, 400, "bad-request", "claim",
                "not run: calls on this route need the header Idempotency-Key with 1 to 256 characters"),
            response);
        end_request(services, context, "refused");
        return;
    }
    auto const key = salted_digest(context.workspace_ + "\n" + context.route_.name_, idempotency_key);
    auto const request_digest = salted_digest(request.method + " " + request.target, request.body);
    if (answer_repeat(services, context, key, request_digest, response)) {
        return;
    }
    // The place is taken before the claim, so that a refusal for lack of room leaves no claim behind.
    auto wanted = wanted_by(context);
    slot_grant grant;
    if (auto const refused = wait_for_place(services, context, wanted, grant)) {
        answer_problem(*refused, response);
        end_request(services, context, "refused");
        return;
    }
    auto const started = wall_now();
    member_id self;
    if (auto const refused = claim(services, context, key, request_digest, self)) {
        services.queue_.release(wanted, grant, {1});
        write_step_span(services, context, "claim", started);
        if (refused->status_ == 409 && answer_repeat(services, context, key, request_digest, response)) {
            return;
        }
        answer_problem(*refused, response);
        end_request(services, context, "refused");
        return;
    }
    write_step_span(services, context, "claim", started);
    bool const may_call = services.control_.read([&](fleet_view const& view) {
        return view.authority_ == authority::fresh_log &&
               is_usable(view, now(services.control_.time_source())) && view.self_ == self &&
               (context.route_.open_ || view.state_->keys_.contains(context.key_digest_));
    });
    service_result result;
    if (!services.stop_.may_start(context.ends_by_)) {
        services.queue_.release(wanted, grant, {1});
        record_outcome(services, context, key, self, result);
        answer_problem(make_stop_problem(services, context), response);
        end_request(services, context, "refused");
        return;
    }
    if (may_call) {
        result = try_once(services, context, wanted, grant, request);
    } else {
        services.queue_.release(wanted, grant, {1});
    }
    record_outcome(services, context, key, self, result);
    if (result.result_ == try_result::answered) {
        use_tokens(services, context, context.route_.cost_);
        note(services, context, "relay", "answered " + std::to_string(result.status_));
        answer_result(context, result, response);
        end_request(services, context, "served");
        return;
    }
    auto const ran = execution_after(execution::not_run, result.result_);
    if (ran != execution::not_run) {
        use_tokens(services, context, context.route_.cost_);
    }
    auto failed = make_problem(
        context, 502, ran == execution::not_run ? "upstream-failed" : "outcome-unknown", "relay",
        ran == execution::not_run ? "not run: the upstream could not be reached"
                                  : "the connection broke after the call was sent; it is not made again",
        ran);
    failed.peer_ = grant.upstream_;
    answer_problem(failed, response);
    end_request(services, context, ran == execution::not_run ? "refused" : "unknown");
}

} // namespace

void answer_problem(problem const& shown, httplib::Response& response)
{
    response.status = shown.status_;
    if (shown.retry_after_s_ >= 0) {
        response.set_header("Retry-After", std::to_string(shown.retry_after_s_));
    }
    if (!shown.request_id_.empty()) {
        response.set_header("Auburnchute-Request-Id", shown.request_id_);
    }
    if (!shown.row_.empty()) {
        response.set_header("Auburnchute-Row", shown.row_);
    }
    if (shown.status_ == 401) {
        response.set_header("WWW-Authenticate", "Bearer");
    }
    response.set_content(to_json(shown), std::string{problem_content_type});
}

void run_service_call(request_services& services, retry_budgets& budgets, request_context context,
                      httplib::Request const& request, httplib::Response& response)
{
    auto refused =
        check_quarantine(services, context, request.method + " " + request.target + "\n" + request.body);
    if (!refused) {
        refused = reserve(services, context, context.route_.cost_);
    }
    if (refused) {
        answer_problem(*refused, response);
        end_request(services, context, "refused");
        return;
    }
    if (context.route_.repeatable_) {
        run_repeatable(services, budgets, context, request, response);
    } else {
        run_at_most_once(services, context, request, response);
    }
}

} // namespace auburnchute
