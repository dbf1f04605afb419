#include "transport/model_call.hpp"

#include "protocol/sse.hpp"
#include "transport/http_client.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace auburnchute {

namespace {

/// Longest silence between two events of an answer that has begun.
constexpr millis stream_silence{15'000};

/// How often an open stream checks whether its key was withdrawn.
constexpr std::chrono::milliseconds check_interval{200};

/// An upstream that refused a request for lack of room is passed over for this time.
constexpr millis full_pause{50};

/// Events buffered for a slow caller; a full buffer stops reading the upstream.
constexpr std::size_t max_buffered = 256;

/// Bytes of an answer with an error that are kept for its caller.
constexpr std::size_t max_error_bytes = std::size_t{64} * 1024;

} // namespace

void retry_budgets::first_try(std::string const& pool)
{
    std::lock_guard const lock{mutex_};
    deposit(budgets_[pool]);
}

bool retry_budgets::again(std::string const& pool, try_result result, bool repeatable, int tries, millis time,
                          millis deadline)
{
    std::lock_guard const lock{mutex_};
    return acquire_retry(budgets_[pool], result, repeatable, tries, time, deadline);
}

/// Events from the reading thread to the caller's thread.
struct model_call::channel {
    struct item {
        std::string data_;
        nlohmann::json json_;
        bool end_{};
        try_result result_{try_result::answered};
        std::string detail_;
        int status_{};
    };

    void push(item event)
    {
        std::unique_lock lock{mutex_};
        room_.wait(lock, [this] { return closed_ || items_.size() < max_buffered; });
        items_.push_back(std::move(event));
        ready_.notify_all();
    }

    void close()
    {
        std::lock_guard const lock{mutex_};
        closed_ = true;
        if (client_ != nullptr) {
            client_->stop();
        }
        room_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable ready_;
    std::condition_variable room_;
    std::deque<item> items_;
    std::string software_version_; ///< Of the upstream that answers; set before the first item.
    bool given_up_{};
    std::atomic<bool> closed_{};
    http_client* client_{};
};

model_call::model_call(request_services& services, retry_budgets& budgets, request_context context,
                       chat_request request, std::string path, slot_request wanted)
    : services_{services}, budgets_{budgets}, context_{std::move(context)}, request_{std::move(request)},
      path_{std::move(path)}, wanted_{std::move(wanted)}
{
    budgets_.first_try(wanted_.key_.pool_);
}

model_call::~model_call()
{
    if (!ended_) {
        abandon();
    }
}

std::optional<problem> model_call::start_try()
{
    if (auto refused = wait_for_place(services_, context_, wanted_, grant_)) {
        if (grant_.verdict_ == slot_verdict::stopping) {
            return make_stop_problem(services_, context_, ran_);
        }
        refused->execution_ = ran_;
        return refused;
    }
    // The key may have been withdrawn while the request waited.
    if (auto ended = must_not_start(services_, context_, ran_)) {
        services_.queue_.release(wanted_, grant_, {1});
        ended->execution_ = ran_;
        return ended;
    }
    in_try_ = true;
    ++tries_;
    try_started_ = now(services_.control_.time_source());
    try_started_wall_ = wall_now();
    services_.control_.request_started(grant_.upstream_, context_.id_, context_.fingerprint_,
                                       context_.suspect_);
    auto body = request_.body_;
    body["stream"] = true;
    body["max_tokens"] = request_.max_tokens_;
    body["priority"] = static_cast<int>(context_.route_.priority_);
    if (tokens_ > 0) {
        body["resume_from"] = tokens_;
    }
    channel_ = std::make_shared<channel>();
    (void)context_.open_->on_give_up([woken = channel_] {
        std::lock_guard const lock{woken->mutex_};
        woken->given_up_ = true;
        woken->ready_.notify_all();
    });
    reader_ = std::jthread{[this, out = channel_, grant = grant_, text = body.dump(),
                            version = wanted_.software_version_](std::stop_token const& stop) {
        read_upstream(stop, out, grant, text, version);
    }};
    return std::nullopt;
}

void model_call::read_upstream(std::stop_token const& stop, std::shared_ptr<channel> out, slot_grant grant,
                               std::string body, std::optional<std::string> version)
{
    auto const left = context_.deadline_ - now(services_.control_.time_source());
    http_client client{grant.address_, {{1'000}, std::max(left, stream_silence), {5'000}}};
    {
        std::lock_guard const lock{out->mutex_};
        if (out->closed_) {
            return;
        }
        out->client_ = &client;
    }
    sse_parser parser;
    bool whole = false;
    bool any = false;
    bool crossed = false;
    bool malformed = false;
    bool other_version = false;
    int status = 0;
    std::string error_body;
    call_request const request{.method_ = "POST",
                               .target_ = path_,
                               .headers_ = {{"Content-Type", "application/json"},
                                            {"Accept", "text/event-stream"},
                                            {"X-Request-Id", context_.id_},
                                            {"traceparent", to_traceparent(child_of(context_.trace_))}},
                               .body_ = body};
    call_receiver receiver;
    receiver.head_ = [&](call_answer const& head) {
        status = head.status_;
        auto const echoed = head.header("X-Request-Id");
        crossed = status == 200 && !echoed.empty() && echoed != context_.id_;
        // The report that led here may be older than a restart of the upstream.
        auto own_version = head.header("X-Software-Version");
        other_version = status == 200 && version && own_version != *version;
        std::lock_guard const lock{out->mutex_};
        out->software_version_ = std::move(own_version);
        return !crossed && !other_version;
    };
    receiver.body_ = [&](std::string_view bytes) {
        if (stop.stop_requested() || out->closed_) {
            return false;
        }
        if (status != 200) {
            error_body.append(bytes.substr(0, 4'096));
            return error_body.size() < max_error_bytes;
        }
        std::vector<std::string> events;
        try {
            events = feed(parser, bytes);
        } catch (error const&) {
            malformed = true;
            return false;
        }
        for (auto& event : events) {
            if (event == "[DONE]") {
                whole = true;
                continue;
            }
            auto json = nlohmann::json::parse(event, nullptr, false);
            if (!json.is_object()) {
                malformed = true;
                return false;
            }
            if (json.value("id", "") != context_.id_) {
                crossed = true;
                return false;
            }
            any = true;
            out->push({std::move(event), std::move(json), false, {}, {}, 0});
        }
        return true;
    };
    auto const answer = client.call(request, receiver);
    {
        std::lock_guard const lock{out->mutex_};
        out->client_ = nullptr;
    }
    channel::item end;
    end.end_ = true;
    end.status_ = status;
    if (crossed || malformed || answer.fault_ == call_fault::wrong_answer) {
        end.result_ = try_result::wrong_answer;
        end.detail_ = crossed ? "the answer belongs to another request" : "the answer is malformed";
    } else if (other_version) {
        end.result_ = try_result::wrong_version;
        end.detail_ = "the upstream runs another software version than the one that began the answer";
    } else if (answer && status == 200) {
        end.result_ = whole ? try_result::answered
                      : any ? try_result::cut_in_answer
                            : try_result::cut_before_answer;
        end.detail_ = "the answer ended early";
    } else if (status == 404 || status == 429 || status == 409) {
        end.result_ = try_result::refused;
        end.detail_ = "the upstream had no place for the request";
    } else if (status >= 400 && status < 500) {
        end.result_ = try_result::answered;
        end.detail_ = error_body;
    } else if (answer.fault_ == call_fault::not_connected) {
        end.result_ = try_result::not_sent;
        end.detail_ = "the upstream does not accept connections";
    } else {
        end.result_ = any ? try_result::cut_in_answer : try_result::cut_before_answer;
        end.detail_ = "the connection to the upstream broke";
    }
    out->push(std::move(end));
}

void model_call::end_try(bool broke)
{
    if (!in_try_) {
        return;
    }
    in_try_ = false;
    channel_->close();
    reader_.request_stop();
    if (reader_.joinable()) {
        reader_.join();
    }
    if (broke) {
        services_.control_.connection_broke(grant_.upstream_, grant_.replica_, context_.id_);
    }
    services_.control_.request_ended(grant_.upstream_, context_.id_);
    services_.queue_.release(wanted_, grant_, now(services_.control_.time_source()) - try_started_);
    write_step_span(services_, context_, "relay", try_started_wall_, grant_.upstream_);
}

answer_event model_call::finish(answer_event event, std::string_view outcome)
{
    ended_ = true;
    end_try(false);
    if (event.kind_ == answer_event::kind::failed) {
        event.problem_.peer_ = grant_.upstream_;
        event.problem_.request_id_ = context_.id_;
    }
    end_request(services_, context_, outcome);
    return event;
}

void model_call::abandon()
{
    ended_ = true;
    note(services_, context_, "relay", "caller_left");
    end_try(false);
    end_request(services_, context_, "caller_left");
}

std::optional<answer_event> model_call::after_failure(try_result result, std::string const& detail)
{
    auto const time = now(services_.control_.time_source());
    bool const broke = result == try_result::cut_before_answer || result == try_result::cut_in_answer;
    bool const was_resumable = grant_.resumes_streams_;
    std::string const upstream = grant_.upstream_;
    ran_ = execution_after(ran_, result);
    if (result == try_result::refused) {
        grant_.counters_->full_until_.store((time + full_pause).count_, std::memory_order_relaxed);
    } else if (result == try_result::not_sent) {
        grant_.counters_->refused_connections_.fetch_add(1, std::memory_order_relaxed);
        grant_.counters_->full_until_.store((time + full_pause * 4).count_, std::memory_order_relaxed);
    }
    note(services_, context_,
         result == try_result::wrong_answer ? "relay"
         : result == try_result::not_sent   ? "connect"
                                            : "relay",
         result == try_result::wrong_answer    ? "crossed " + upstream
         : result == try_result::wrong_version ? "other_version " + upstream
         : result == try_result::not_sent      ? "failed " + upstream
                                               : "cut " + upstream + " " + std::to_string(tokens_));
    end_try(broke);
    if (result == try_result::wrong_version) {
        wanted_.excluded_.push_back(upstream);
    } else {
        wanted_.avoid_ = upstream;
    }
    // A refusal for lack of room costs the upstream nothing, so it goes back to the queue without using up a
    // try.
    if (result == try_result::refused && time < context_.deadline_) {
        --tries_;
        return std::nullopt;
    }
    bool const started_to_caller = tokens_ > 0;
    wanted_.resumes_ = started_to_caller;
    auto const limit = started_to_caller ? time + stream_silence : context_.deadline_;
    bool const possible = !started_to_caller || was_resumable;
    if (possible &&
        budgets_.again(wanted_.key_.pool_, result, context_.route_.repeatable_, tries_, time, limit)) {
        services_.metrics_.count("auburnchute_retries_total", wanted_.key_.pool_);
        wanted_.deadline_ = limit;
        if (started_to_caller) {
            // Its caller cannot go elsewhere, so it goes on if that may begin in time.
            wanted_.ends_by_ = limit;
            context_.ends_by_ = limit;
        }
        auto const verdict = services_.control_.judge_request(context_.fingerprint_);
        context_.suspect_ = verdict == crash_verdict::suspect;
        wanted_.isolated_ = context_.suspect_;
        if (verdict != crash_verdict::confirmed) {
            while (context_.suspect_ && !services_.control_.may_start_isolated(context_.fingerprint_) &&
                   services_.stop_.may_start(wanted_.ends_by_) &&
                   now(services_.control_.time_source()) < limit) {
                std::this_thread::sleep_for(std::chrono::milliseconds{20});
            }
            return std::nullopt;
        }
    }
    answer_event failed;
    failed.problem_ = make_problem(context_, 502, "upstream-failed", "relay", detail, ran_);
    return finish(std::move(failed), ran_ == execution::not_run ? "refused" : "failed");
}

answer_event model_call::next()
{
    for (;;) {
        if (!in_try_) {
            if (auto refused = start_try()) {
                answer_event failed;
                failed.problem_ = std::move(*refused);
                return finish(std::move(failed), ran_ == execution::not_run ? "refused" : "failed");
            }
        }
        channel::item item;
        {
            std::unique_lock lock{channel_->mutex_};
            channel_->ready_.wait_for(lock, check_interval,
                                      [this] { return channel_->given_up_ || !channel_->items_.empty(); });
            if (channel_->items_.empty()) {
                lock.unlock();
                auto ended = must_end(services_, context_);
                bool const late = !first_seen_ && now(services_.control_.time_source()) >= context_.deadline_;
                if (!ended && !late) {
                    continue;
                }
                if (ended && !first_seen_) {
                    ended->execution_ = execution::unknown;
                }
                answer_event failed;
                failed.problem_ =
                    ended ? std::move(*ended)
                          : make_problem(context_, 504, "too-late", "relay",
                                         "the upstream did not begin its answer before the deadline",
                                         execution::unknown);
                return finish(std::move(failed), "failed");
            }
            item = std::move(channel_->items_.front());
            if (!item.end_ && !wanted_.software_version_) {
                wanted_.software_version_ = channel_->software_version_;
            }
            channel_->items_.pop_front();
            channel_->room_.notify_all();
        }
        if (!item.end_) {
            if (!first_seen_) {
                first_seen_ = true;
                ran_ = execution::ran;
                auto const elapsed = now(services_.control_.time_source()) - context_.arrived_;
                services_.metrics_.observe("auburnchute_first_answer_ms", context_.route_.name_, elapsed);
                note(services_, context_, "relay", "started " + std::to_string(elapsed.count_));
            }
            if (!std::exchange(prompt_charged_, true)) {
                use_tokens(services_, context_, request_.prompt_tokens_);
            }
            if (auto ended = must_end(services_, context_)) {
                if (!services_.stop_.is_closing()) {
                    note(services_, context_, "relay", "key_withdrawn");
                }
                answer_event failed;
                failed.problem_ = std::move(*ended);
                return finish(std::move(failed), "failed");
            }
            auto const produced = count_tokens(item.json_);
            tokens_ += produced;
            use_tokens(services_, context_, produced);
            return {answer_event::kind::chunk, std::move(item.data_), std::move(item.json_), {}};
        }
        if (item.result_ == try_result::answered && item.status_ == 200) {
            if (context_.suspect_) {
                services_.control_.suspect_finished(context_.fingerprint_);
            }
            note(services_, context_, "relay", "streamed " + std::to_string(tokens_));
            return finish({answer_event::kind::done, {}, {}, {}}, "served");
        }
        if (item.result_ == try_result::answered) {
            note(services_, context_, "relay", "answered " + std::to_string(item.status_));
            answer_event failed;
            failed.problem_ = make_problem(
                context_, first_seen_ ? 502 : item.status_, first_seen_ ? "upstream-failed" : "bad-request",
                "relay", "the upstream refused the request: " + item.detail_.substr(0, 300), ran_);
            return finish(std::move(failed), ran_ == execution::not_run ? "refused" : "failed");
        }
        if (auto ended = after_failure(item.result_, item.detail_)) {
            return std::move(*ended);
        }
    }
}

} // namespace auburnchute
