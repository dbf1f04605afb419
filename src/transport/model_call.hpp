#pragma once

#include "protocol/openai.hpp"
#include "transport/request_context.hpp"

#include <auburnchute/retry.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburnchute {

/// \brief Retry budgets of all pools. Thread safety: all functions may be called from any thread.
class retry_budgets {
public:
    void first_try(std::string const& pool);
    [[nodiscard]] bool again(std::string const& pool, try_result result, bool repeatable, int tries,
                             millis time, millis deadline);

private:
    std::mutex mutex_;
    std::map<std::string, retry_budget> budgets_;
};

/// \brief One event of an answer on its way to the caller.
struct answer_event {
    enum class kind : std::uint8_t {
        chunk, ///< A chunk of the caller's own answer.
        done,  ///< The answer is whole.
        failed ///< The answer ended early; `problem_` says why.
    };
    kind kind_{kind::failed};
    std::string data_;
    nlohmann::json json_;
    problem problem_;
};

/// \brief Runs a model request on upstreams, with retries and resumption, and hands out the events of its
/// answer.
///
/// The upstream is always read as a stream, so that a late, crossed or cut answer is noticed event by event,
/// and tokens are charged as they are produced. Thread safety: one thread at a time; the call runs a thread
/// of its own that reads the upstream.
class model_call {
public:
    model_call(request_services& services, retry_budgets& budgets, request_context context,
               chat_request request, std::string path, slot_request wanted);
    ~model_call();
    model_call(model_call const&) = delete;
    model_call& operator=(model_call const&) = delete;

    /// \brief Waits for the next event. After `done` or `failed` it must not be called again.
    [[nodiscard]] answer_event next();

    /// \brief Ends the call because the caller has gone.
    void abandon();

    [[nodiscard]] request_context& context() noexcept { return context_; }

private:
    struct channel;

    [[nodiscard]] std::optional<problem> start_try();
    void read_upstream(std::stop_token const& stop, std::shared_ptr<channel> out, slot_grant grant,
                       std::string body, std::optional<std::string> version);
    [[nodiscard]] std::optional<answer_event> after_failure(try_result result, std::string const& detail);
    void end_try(bool broke);
    answer_event finish(answer_event event, std::string_view outcome);

    request_services& services_;
    retry_budgets& budgets_;
    request_context context_;
    chat_request request_;
    std::string path_;
    slot_request wanted_;
    slot_grant grant_;
    std::shared_ptr<channel> channel_;
    std::jthread reader_;
    int tries_{};
    std::int64_t tokens_{};
    bool prompt_charged_{};
    bool in_try_{};
    bool first_seen_{};
    bool ended_{};
    execution ran_{execution::not_run};
    millis try_started_{};
    millis try_started_wall_{};
};

} // namespace auburnchute
