#include "transport/http_front.hpp"

#include "protocol/logging.hpp"
#include "protocol/sse.hpp"
#include "transport/caller_server.hpp"
#include "transport/connection_threads.hpp"
#include "transport/service_call.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <ctime>
#include <httplib.h>
#include <utility>

namespace auburnchute {

namespace {

/// Connections above `max_open_streams` that can be told so; further ones wait to be accepted.
constexpr std::size_t refusal_threads = 64;

/// What a connection takes: touched pages of its thread's stack, its read buffer, and the library's.
constexpr std::size_t caller_thread_bytes = std::size_t{48} * 1024;

/// Pause between two lines on refusals by size or for lack of memory.
constexpr millis refusal_log_pause{1'000};

/// A body as it came, as text for its upstream, and as that is built.
constexpr std::size_t request_copies = 3;

/// The text of an answer as it is collected, with its growth, and as the caller's document.
constexpr std::size_t answer_copies = 3;

/// An idle connection holds a thread, so it is closed soon.
constexpr time_t keep_alive_seconds = 5;

/// The library closes connections after 5 requests by default, which costs busy callers a new one each time.
constexpr std::size_t max_requests_per_connection = 100'000;

std::string bearer_key(httplib::Request const& request)
{
    constexpr std::string_view scheme = "Bearer ";
    auto const header = request.get_header_value("Authorization");
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string{};
}

std::size_t header_bytes(httplib::Request const& request)
{
    std::size_t sum = 0;
    for (auto const* const fields :
         {&request.headers, &std::as_const(request_account::current()->withheld_)}) {
        for (auto const& [name, value] : *fields) {
            sum += name.size() + value.size() + field_separator_bytes;
        }
    }
    return sum;
}

/// True if the key stands anywhere else in the request, from where it would reach an upstream.
bool key_leaks(httplib::Request const& request, std::string const& key)
{
    if (key.empty()) {
        return false;
    }
    auto const leaks = [&key](auto const& item) {
        return item.first != "Authorization" && item.first != "authorization" &&
               item.second.find(key) != std::string::npos;
    };
    auto const& withheld = request_account::current()->withheld_;
    bool const in_headers = std::any_of(request.headers.begin(), request.headers.end(), leaks) ||
                            std::any_of(withheld.begin(), withheld.end(), leaks);
    return in_headers || request.target.find(key) != std::string::npos ||
           request.path.find(key) != std::string::npos || request.body.find(key) != std::string::npos;
}

/// Counts a request as open for its lifetime.
class open_guard {
public:
    explicit open_guard(std::atomic<int>& count) : count_{count} { count_.fetch_add(1); }
    ~open_guard() { count_.fetch_sub(1); }
    open_guard(open_guard const&) = delete;
    open_guard& operator=(open_guard const&) = delete;

private:
    std::atomic<int>& count_;
};

std::string error_event(problem const& shown)
{
    nlohmann::json const body{{"error", nlohmann::json::parse(to_json(shown))}};
    return sse_event(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Collects the chunks of a streamed answer into one completion object.
class completion_builder {
public:
    void add(nlohmann::json const& chunk)
    {
        if (base_.is_null()) {
            base_ = {{"id", chunk.value("id", "")},
                     {"created", chunk.value("created", std::int64_t{0})},
                     {"model", chunk.value("model", "")}};
            chat_ = chunk.value("object", "").starts_with("chat");
        }
        if (auto const usage = chunk.find("usage"); usage != chunk.end() && usage->is_object()) {
            base_["usage"] = *usage;
        }
        for (auto const& choice : chunk.value("choices", nlohmann::json::array())) {
            auto& collected = choices_[choice.value("index", 0)];
            auto const& part = choice.contains("delta") ? choice["delta"] : choice;
            if (part.contains(chat_ ? "content" : "text") && part[chat_ ? "content" : "text"].is_string()) {
                collected.text_ += part[chat_ ? "content" : "text"].get<std::string>();
            }
            if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
                collected.finish_ = choice["finish_reason"].get<std::string>();
            }
        }
    }

    [[nodiscard]] std::string finish() const
    {
        auto whole = base_.is_null() ? nlohmann::json::object() : base_;
        whole["object"] = chat_ ? "chat.completion" : "text_completion";
        auto& choices = whole["choices"] = nlohmann::json::array();
        for (auto const& [index, collected] : choices_) {
            nlohmann::json choice{{"index", index},
                                  {"finish_reason", collected.finish_.empty() ? "stop" : collected.finish_}};
            if (chat_) {
                choice["message"] = {{"role", "assistant"}, {"content", collected.text_}};
            } else {
                choice["text"] = collected.text_;
            }
            choices.push_back(std::move(choice));
        }
        return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

private:
    struct collected_choice {
        std::string text_;
        std::string finish_;
    };
    nlohmann::json base_;
    bool chat_{true};
    std::map<int, collected_choice> choices_;
};

} // namespace

http_front::http_front(request_services services)
    : services_{services}, bounds_{services_.memory_, services_.control_.time_source(),
                                   static_cast<std::size_t>(services_.config_.max_body_bytes_),
                                   [this](httplib::Request const& head) { return judge_head(head); },
                                   [this](problem const& shown) { note_refused(shown); }}
{
    auto const& config = services_.config_;
    if (config.callers_certificate_.empty()) {
        auto server = std::make_unique<caller_server>(bounds_);
        connections_ = &server->connections();
        server_ = std::move(server);
    } else {
        auto server = std::make_unique<tls_caller_server>(config.callers_certificate_,
                                                          config.callers_private_key_, bounds_);
        connections_ = &server->connections();
        server_ = std::move(server);
        if (!server_->is_valid()) {
            throw error{"settings", config.callers_certificate_, "the certificate or its key cannot be used"};
        }
    }
    auto const room = services_.memory_.limits().share(memory_purpose::connection) / caller_thread_bytes;
    auto const limit = std::min(static_cast<std::size_t>(config.max_open_streams_) + refusal_threads,
                                std::max<std::size_t>(1, room));
    server_->new_task_queue = [this, limit] {
        return new connection_threads{limit, [this] {
                                          services_.metrics_.count("auburnchute_crowded_connections_total");
                                          connections_->end_slowest();
                                      }};
    };
    server_->set_payload_max_length(static_cast<std::size_t>(config.max_body_bytes_));
    server_->set_keep_alive_timeout(keep_alive_seconds);
    server_->set_keep_alive_max_count(max_requests_per_connection);
    server_->set_tcp_nodelay(true);
    listener_ = std::make_unique<http_listener>(*server_);
    add_routes();
}

http_front::~http_front()
{
    stop();
}

int http_front::start()
{
    return listener_->start(services_.config_.callers_, "callers");
}

bool http_front::has_connections() const
{
    return connections_->count() > 0;
}

void http_front::end_idle()
{
    connections_->end_idle();
}

void http_front::take_last(millis limit)
{
    listener_->take_last(limit);
}

void http_front::cut()
{
    connections_->cut();
}

int http_front::open_requests() const noexcept
{
    return std::max(open_.load(), connections_->busy());
}

void http_front::stop()
{
    listener_->stop();
}

bool http_front::refuse_if_full(request_context const& context, httplib::Response& response) const
{
    bool const stops = !services_.stop_.takes_requests();
    if (!stops && open_.load() <= services_.config_.max_open_streams_) {
        return false;
    }
    problem refused;
    if (stops) {
        refused = make_stop_problem(services_, context);
    } else {
        refused = make_problem(context, 503, "not-ready", "accept",
                               "not run: this VM serves as many requests as it can");
        refused.retry_after_s_ = 1;
    }
    answer_problem(refused, response);
    response.set_header("Connection", "close");
    services_.metrics_.count("auburnchute_requests_total", "refused");
    return true;
}

std::optional<problem> http_front::judge_head(httplib::Request const& head)
{
    bool const serves_models =
        head.method == "POST" && (head.path == "/v1/chat/completions" || head.path == "/v1/completions");
    // What the library would decode is judged once the request is whole.
    bool const has_body = head.method != "GET" && head.method != "HEAD" && head.method != "OPTIONS";
    if (!has_body || head.path.find('%') != std::string::npos) {
        return std::nullopt;
    }
    auto context = begin_request(services_, head.get_header_value("traceparent"));
    std::optional<problem> refused;
    if (serves_models) {
        auto const key = bearer_key(head);
        auto const digest = key.empty() ? std::string{} : salted_digest(services_.config_.key_salt_, key);
        bool const unknown = services_.control_.read([&](fleet_view const& view) {
            auto const& routes = view.state_->tables_->routes_;
            return view.ready_ && !view.state_->keys_.contains(digest) &&
                   std::none_of(routes.begin(), routes.end(),
                                [](auto const& row) { return row.open_ && !row.model_.empty(); });
        });
        if (unknown) {
            refused =
                make_problem(context, 401, "unauthorized", "authenticate",
                             key.empty() ? "not run: a key is required" : "not run: the key is not known");
        }
    } else {
        refused = admit(services_, context, bearer_key(head), {{}, head.path});
    }
    if (refused) {
        end_request(services_, context, "refused");
    }
    return refused;
}

void http_front::note_refused(problem const& shown)
{
    services_.metrics_.count("auburnchute_unread_requests_total", std::to_string(shown.status_));
    auto const time = now(services_.control_.time_source()).count_;
    auto until = refusals_logged_until_.load();
    if (time >= until &&
        refusals_logged_until_.compare_exchange_strong(until, time + refusal_log_pause.count_)) {
        log_fault("accept", {}, shown.detail_);
    }
}

void http_front::add_routes()
{
    auto const model = [this](httplib::Request const& request, httplib::Response& response) {
        serve_model(request, response);
    };
    server_->Post("/v1/chat/completions", model);
    server_->Post("/v1/completions", model);
    server_->Get("/v1/entries",
                 [this](httplib::Request const&, httplib::Response& response) { serve_entries(response); });
    server_->Get("/v1/models", [this](httplib::Request const& request, httplib::Response& response) {
        serve_models(request, response);
    });
    server_->Get("/healthz", [](httplib::Request const&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    server_->Get("/readyz", [this](httplib::Request const&, httplib::Response& response) {
        bool const ready = services_.control_.read([](fleet_view const& view) {
            return view.ready_ && !view.stopping_ && view.authority_ != authority::lapsed;
        });
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server_->Get("/metrics", [this](httplib::Request const&, httplib::Response& response) {
        update_gauges();
        response.set_content(services_.metrics_.text(), "text/plain; version=0.0.4");
    });
    auto const service = [this](httplib::Request const& request, httplib::Response& response) {
        serve_service(request, response);
    };
    server_->Get("/.*", service);
    server_->Post("/.*", service);
    server_->Put("/.*", service);
    server_->Patch("/.*", service);
    server_->Delete("/.*", service);
    server_->set_post_routing_handler([this](httplib::Request const&, httplib::Response& response) {
        if (services_.stop_.is_stopping() || response.get_header_value("Connection") == "close") {
            response.headers.erase("Connection");
            response.headers.erase("Keep-Alive");
            response.set_header("Connection", "close");
            caller_connections::close_after_answer();
        }
    });
    server_->set_error_handler([](httplib::Request const&, httplib::Response& response) {
        if (response.body.empty()) {
            problem shown;
            shown.status_ = response.status;
            shown.type_ = "bad-request";
            shown.title_ = "The request could not be read";
            shown.detail_ = response.status == 413   ? "not run: the body is too large"
                            : response.status == 414 ? "not run: the address is too long"
                                                     : "not run: the request is malformed";
            shown.step_ = "accept";
            answer_problem(shown, response);
        }
    });
    server_->set_exception_handler(
        [](httplib::Request const&, httplib::Response& response, std::exception_ptr fault) {
            std::string what = "unknown";
            try {
                std::rethrow_exception(fault);
            } catch (std::exception const& known) {
                what = known.what();
            } catch (...) {
                what = "not a standard exception";
            }
            log_fault("accept", "", "a handler failed: " + what);
            problem shown;
            shown.type_ = "internal";
            shown.title_ = "The daemon failed";
            shown.execution_ = execution::unknown;
            shown.step_ = "accept";
            answer_problem(shown, response);
        });
}

void http_front::update_gauges() const
{
    auto& counters = services_.metrics_;
    counters.gauge("auburnchute_open_requests", {}, open_.load());
    counters.gauge("auburnchute_log_age_ms", {}, static_cast<double>(services_.control_.log_age().count_));
    auto const& memory = services_.memory_;
    counters.gauge("auburnchute_held_bytes", "reading",
                   static_cast<double>(memory.held(memory_purpose::reading)));
    counters.gauge("auburnchute_held_bytes", "request",
                   static_cast<double>(memory.held(memory_purpose::request)));
    counters.gauge("auburnchute_held_bytes", "answer",
                   static_cast<double>(memory.held(memory_purpose::answer)));
    counters.gauge("auburnchute_spans_dropped", {}, static_cast<double>(services_.spans_.dropped()));
    for (auto const& [pool, queue] : services_.queue_.status()) {
        counters.gauge("auburnchute_waiting", pool, static_cast<double>(queue.waiting_));
    }
    services_.control_.read([&](fleet_view const& view) {
        counters.gauge("auburnchute_members", {}, static_cast<double>(view.live_members_));
        counters.gauge("auburnchute_replicas", {}, static_cast<double>(view.state_->replicas_.size()));
    });
}

void http_front::serve_model(httplib::Request const& request, httplib::Response& response)
{
    auto const guard = std::make_shared<open_guard>(open_);
    auto context = begin_request(services_, request.get_header_value("traceparent"));
    if (refuse_if_full(context, response)) {
        return;
    }
    auto const key = bearer_key(request);
    auto const refuse = [&](problem const& shown) {
        answer_problem(shown, response);
        end_request(services_, context, "refused");
    };
    chat_request parsed;
    try {
        if (header_bytes(request) > max_header_bytes || key_leaks(request, key)) {
            throw error{"accept", "",
                        header_bytes(request) > max_header_bytes
                            ? "the headers are above 16 KiB"
                            : "the key stands outside the Authorization header"};
        }
        if (request_account::current()->withheld_.contains("Content-Encoding")) {
            throw error{"accept", "", "the body must come without Content-Encoding"};
        }
        if (!request_account::current()->hold_request(request.body.size() * request_copies +
                                                      json_memory(request.body))) {
            auto refused = make_problem(context, 503, "not-ready", "accept",
                                        "not run: the requests at this VM take all of its memory");
            refused.retry_after_s_ = 1;
            note_refused(refused);
            refuse(refused);
            return;
        }
        parsed = parse_chat_request(request.body);
    } catch (error const& fault) {
        note(services_, context, "accept", std::string{"refused "} + fault.what());
        refuse(make_problem(context, 400, "bad-request", "accept", std::string{"not run: "} + fault.what()));
        return;
    }
    if (auto const refused = admit(services_, context, key, {parsed.model_, {}})) {
        refuse(*refused);
        return;
    }
    auto const name = split_model_name(parsed.model_);
    bool const known = services_.control_.read([&](fleet_view const& view) {
        auto const* const pool = find_pool(*view.state_->tables_, context.route_.pool_);
        auto const* const model = pool == nullptr ? nullptr : find_model(*pool, name.base_);
        return model != nullptr && (name.adapter_.empty() || find_adapter(*model, name.adapter_) != nullptr);
    });
    if (!known) {
        refuse(make_problem(context, 404, "no-route", "route",
                            "not run: pool " + context.route_.pool_ + " has no model " + parsed.model_));
        return;
    }
    auto const limit = context.route_.max_tokens_;
    parsed.max_tokens_ = parsed.max_tokens_ > 0 ? std::min(parsed.max_tokens_, limit) : limit;
    auto refused = check_quarantine(services_, context, request.body);
    if (!refused) {
        refused = reserve(services_, context, parsed.prompt_tokens_ + parsed.max_tokens_);
    }
    if (refused) {
        refuse(*refused);
        return;
    }
    slot_request wanted;
    wanted.key_ = {context.route_.pool_, name.base_, name.adapter_};
    wanted.workspace_ = context.workspace_;
    wanted.weight_ = context.weight_;
    wanted.priority_ = context.route_.priority_;
    wanted.tokens_ = parsed.prompt_tokens_ + parsed.max_tokens_;
    wanted.arrived_ = context.arrived_;
    wanted.deadline_ = context.deadline_;
    wanted.ends_by_ = context.ends_by_;
    wanted.prefix_hash_ = stable_hash(parsed.prefix_, stable_hash(parsed.model_));
    wanted.request_hash_ = stable_hash(context.id_);
    wanted.isolated_ = context.suspect_;
    bool const streamed = parsed.stream_;
    response.set_header("Auburnchute-Request-Id", context.id_);
    response.set_header("Auburnchute-Row", to_string(context.row_));
    auto const call = std::make_shared<model_call>(services_, budgets_, std::move(context), std::move(parsed),
                                                   request.path, std::move(wanted));
    auto first = call->next();
    if (first.kind_ == answer_event::kind::failed) {
        response.headers.erase("Auburnchute-Request-Id");
        response.headers.erase("Auburnchute-Row");
        answer_problem(first.problem_, response);
        return;
    }
    if (!streamed) {
        completion_builder builder;
        std::size_t collected = 0;
        while (first.kind_ == answer_event::kind::chunk) {
            collected += first.data_.size();
            if (!request_account::current()->hold_answer(collected * answer_copies)) {
                first.kind_ = answer_event::kind::failed;
                first.problem_ =
                    make_problem(call->context(), 502, "upstream-failed", "relay",
                                 "the answers at this VM take all of its memory", execution::ran);
                break;
            }
            builder.add(first.json_);
            first = call->next();
        }
        if (first.kind_ == answer_event::kind::failed) {
            response.headers.erase("Auburnchute-Request-Id");
            response.headers.erase("Auburnchute-Row");
            answer_problem(first.problem_, response);
            return;
        }
        response.set_content(builder.finish(), "application/json");
        return;
    }
    auto const pending = std::make_shared<answer_event>(std::move(first));
    auto const ended = std::make_shared<bool>(false);
    response.set_chunked_content_provider(
        "text/event-stream",
        [call, pending, ended, guard](std::size_t, httplib::DataSink& sink) {
            auto const event = std::exchange(*pending, answer_event{});
            switch (event.kind_) {
            case answer_event::kind::chunk: {
                auto const text = sse_event(event.data_);
                if (!sink.write(text.data(), text.size())) {
                    return false;
                }
                *pending = call->next();
                return true;
            }
            case answer_event::kind::done: {
                auto const text = sse_event("[DONE]");
                sink.write(text.data(), text.size());
                break;
            }
            case answer_event::kind::failed: {
                auto const text = error_event(event.problem_);
                sink.write(text.data(), text.size());
                break;
            }
            }
            *ended = true;
            sink.done();
            return true;
        },
        [call, guard](bool) {});
}

void http_front::serve_service(httplib::Request const& request, httplib::Response& response)
{
    open_guard const guard{open_};
    auto context = begin_request(services_, request.get_header_value("traceparent"));
    if (refuse_if_full(context, response)) {
        return;
    }
    auto const key = bearer_key(request);
    if (header_bytes(request) > max_header_bytes || key_leaks(request, key)) {
        answer_problem(make_problem(context, 400, "bad-request", "accept",
                                    header_bytes(request) > max_header_bytes
                                        ? "not run: the headers are above 16 KiB"
                                        : "not run: the key stands outside the Authorization header"),
                       response);
        end_request(services_, context, "refused");
        return;
    }
    if (auto const refused = admit(services_, context, key, {{}, request.path})) {
        answer_problem(*refused, response);
        end_request(services_, context, "refused");
        return;
    }
    run_service_call(services_, budgets_, std::move(context), request, response);
}

void http_front::serve_entries(httplib::Response& response) const
{
    nlohmann::json body{{"max_age_ms", services_.config_.entry_ttl_.count_},
                        {"entries", nlohmann::json::array()}};
    services_.control_.read([&](fleet_view const& view) {
        for (auto const& [member, entry] : view.state_->members_) {
            bool const self_stopping = member == view.self_ && view.stopping_;
            if (entry.status_ == member_status::live && !self_stopping &&
                !view.state_->drained_.contains(member.vm_)) {
                body["entries"].push_back({{"vm", member.vm_},
                                           {"address", entry.http_},
                                           {"availability_zone", entry.availability_zone_}});
            }
        }
    });
    response.set_header("Cache-Control",
                        "max-age=" + std::to_string(services_.config_.entry_ttl_.count_ / 1'000));
    response.set_content(body.dump(), "application/json");
}

void http_front::serve_models(httplib::Request const& request, httplib::Response& response) const
{
    auto const key = bearer_key(request);
    auto const digest = key.empty() ? std::string{} : salted_digest(services_.config_.key_salt_, key);
    nlohmann::json body{{"object", "list"}, {"data", nlohmann::json::array()}};
    services_.control_.read([&](fleet_view const& view) {
        auto const& state = *view.state_;
        auto const known = state.keys_.find(digest);
        std::string const workspace = known == state.keys_.end() ? std::string{} : known->second.workspace_;
        for (auto const& route : state.tables_->routes_) {
            bool const allowed = route.open_ || std::find(route.workspaces_.begin(), route.workspaces_.end(),
                                                          workspace) != route.workspaces_.end();
            if (!allowed || route.model_.empty()) {
                continue;
            }
            body["data"].push_back(
                {{"id", route.model_}, {"object", "model"}, {"created", 0}, {"owned_by", route.pool_}});
            auto const* const pool = find_pool(*state.tables_, route.pool_);
            auto const* const model = pool == nullptr ? nullptr : find_model(*pool, route.model_);
            for (auto const& adapter : model == nullptr ? std::vector<adapter_row>{} : model->adapters_) {
                body["data"].push_back({{"id", route.model_ + ":" + adapter.name_},
                                        {"object", "model"},
                                        {"created", 0},
                                        {"owned_by", route.pool_}});
            }
        }
    });
    response.set_content(body.dump(), "application/json");
}

} // namespace auburnchute
