#include <auburnchute/admission.hpp>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <string>

using namespace auburnchute;

namespace {

waiting_request make_request(std::uint64_t ticket, std::string workspace, priority level = priority::normal,
                             std::int64_t tokens = 100, millis arrived = {}, millis deadline = {30'000})
{
    return {ticket, std::move(workspace), 1, "m", level, tokens, arrived, deadline};
}

std::vector<std::uint64_t> take_all(wait_queue& queue, millis now)
{
    std::vector<std::uint64_t> order;
    while (auto const taken = take_next(queue, "m", now)) {
        order.push_back(taken->ticket_);
    }
    return order;
}

std::size_t virtual_finish_entries(wait_queue const& queue)
{
    std::size_t entries = 0;
    for (auto const& [model, virtual_times] : queue.virtual_clocks_) {
        entries += virtual_times.virtual_finish_.size();
    }
    return entries;
}

} // namespace

// Guards against starvation of waiting requests, and against a class above the most important one.
TEST_CASE("a request is raised one class for each aging interval", "[admission][promise-3]")
{
    auto const [level, waited, aging, expected] = GENERATE(table<priority, std::int64_t, std::int64_t, int>({
        {priority::low, 0, 10'000, 3},
        {priority::low, 9'999, 10'000, 3},
        {priority::low, 10'000, 10'000, 2},
        {priority::low, 30'000, 10'000, 0},
        {priority::low, 90'000, 10'000, 0},
        {priority::urgent, 90'000, 10'000, 0},
        {priority::low, 90'000, 0, 3},
        {priority::normal, -5, 10'000, 2},
    }));
    CHECK(effective_class(make_request(1, "a", level), {aging}, {waited}) == expected);
}

// Guards against a request without a place that holds up those behind it, or is charged while it stays.
TEST_CASE("requests that are passed over stay in the queue uncharged", "[admission][promise-3]")
{
    struct row {
        std::vector<std::uint64_t> passed_over_;
        std::vector<std::uint64_t> taken_;
        std::vector<std::uint64_t> left_;
    };
    for (auto const& r : {row{{}, {1, 3, 2, 4}, {}}, row{{1}, {2, 3, 4}, {1}}, row{{1, 2}, {3, 4}, {1, 2}},
                          row{{3, 4}, {1, 2}, {3, 4}}, row{{1, 2, 3, 4}, {}, {1, 3, 2, 4}}}) {
        wait_queue queue;
        for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
            REQUIRE(enqueue(queue, make_request(ticket, ticket <= 2 ? "a" : "b"), {}, {}) ==
                    enqueue_verdict::queued);
        }
        std::vector<std::uint64_t> taken;
        while (auto const next = take_next(queue, "m", {}, r.passed_over_)) {
            taken.push_back(next->ticket_);
        }
        CHECK(taken == r.taken_);
        CHECK(take_all(queue, {}) == r.left_);
    }
}

// Guards against FIFO order, in which a workspace with many requests delays the others behind all of them.
TEST_CASE("workspaces alternate within a class", "[admission][promise-3]")
{
    wait_queue queue;
    for (std::uint64_t ticket = 1; ticket <= 6; ++ticket) {
        REQUIRE(enqueue(queue, make_request(ticket, "busy"), {}, {}) == enqueue_verdict::queued);
    }
    REQUIRE(enqueue(queue, make_request(7, "quiet"), {}, {}) == enqueue_verdict::queued);
    REQUIRE(enqueue(queue, make_request(8, "quiet"), {}, {}) == enqueue_verdict::queued);
    CHECK(take_all(queue, {}) == std::vector<std::uint64_t>{1, 7, 2, 8, 3, 4, 5, 6});
}

// Guards against shares of service that ignore the weights or the size of requests.
TEST_CASE("service is divided by weight and in tokens", "[admission]")
{
    auto const [weight, tokens, expected] = GENERATE(
        table<std::int64_t, std::int64_t, int>({{1, 100, 10}, {3, 100, 15}, {1, 300, 5}, {3, 300, 10}}));
    wait_queue queue;
    for (std::uint64_t ticket = 0; ticket < 40; ++ticket) {
        auto request = make_request(ticket, ticket % 2 == 0 ? "a" : "b");
        if (ticket % 2 == 0) {
            request.weight_ = weight;
            request.tokens_ = tokens;
        }
        REQUIRE(enqueue(queue, request, {}, {}) == enqueue_verdict::queued);
    }
    int taken = 0;
    for (int i = 0; i < 20; ++i) {
        taken += take_next(queue, "m", {})->workspace_ == "a" ? 1 : 0;
    }
    CHECK(std::abs(taken - expected) <= 1);
}

// Guards against charging a workspace for requests that expired or were cancelled.
TEST_CASE("expired and cancelled requests cost nothing", "[admission]")
{
    wait_queue queue;
    for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
        REQUIRE(enqueue(queue, make_request(ticket, "a", priority::normal, 100, {}, {1'000}), {}, {}) ==
                enqueue_verdict::queued);
    }
    CHECK(cancel(queue, 20));
    CHECK(take_expired(queue, {1'000}).size() == 19);
    REQUIRE(enqueue(queue, make_request(21, "a", priority::normal, 100, {1'000}), {}, {1'000}) ==
            enqueue_verdict::queued);
    REQUIRE(enqueue(queue, make_request(22, "b", priority::normal, 100, {1'000}), {}, {1'000}) ==
            enqueue_verdict::queued);
    CHECK(take_all(queue, {1'000}) == std::vector<std::uint64_t>{21, 22});
}

// Guards against queueing requests that cannot be served in time, and against refusals that count requests of
// other workspaces, classes or models that would be served later.
TEST_CASE("a request that cannot be served in time is refused at once", "[admission][promise-3]")
{
    auto const [workspace, level, load, rate, deadline, verdict] =
        GENERATE(table<std::string, priority, std::int64_t, double, std::int64_t, enqueue_verdict>({
            {"quiet", priority::normal, 0, 0.0, 30'000, enqueue_verdict::queued},
            {"quiet", priority::normal, 0, 0.0, 0, enqueue_verdict::too_late},
            {"quiet", priority::normal, 30'000, 0.0, 30'000, enqueue_verdict::too_late},
            {"quiet", priority::normal, 29'999, 0.0, 30'000, enqueue_verdict::queued},
            {"quiet", priority::normal, 0, 1.0, 5'000, enqueue_verdict::queued},
            {"busy", priority::normal, 0, 1.0, 5'000, enqueue_verdict::too_late},
            {"busy", priority::normal, 0, 1.0, 50'001, enqueue_verdict::queued},
            {"busy", priority::high, 0, 1.0, 5'000, enqueue_verdict::queued},
            {"quiet", priority::low, 0, 1.0, 5'000, enqueue_verdict::too_late},
            {"quiet", priority::normal, 4'000, 1.0, 4'000, enqueue_verdict::too_late},
        }));
    wait_queue queue;
    for (std::uint64_t ticket = 1; ticket <= 50; ++ticket) {
        queue.waiting_.push_back(make_request(ticket, "busy", priority::normal, 100, {}, {600'000}));
    }
    auto const request = make_request(99, workspace, level, 100, {}, {deadline});
    CHECK(enqueue(queue, request, {{load}, rate}, {}) == verdict);
}

// Guards against a workspace that fills the queue, with which all others are refused.
TEST_CASE("one workspace fills at most half of the queue", "[admission][promise-3]")
{
    wait_queue queue;
    queue.limit_ = 16;
    std::uint64_t ticket = 0;
    int queued = 0;
    for (int i = 0; i < 20; ++i) {
        queued += enqueue(queue, make_request(++ticket, "busy"), {}, {}) == enqueue_verdict::queued ? 1 : 0;
    }
    CHECK(queued == 8);
    for (auto const* workspace : {"b", "c", "d", "e"}) {
        CHECK(enqueue(queue, make_request(++ticket, workspace), {}, {}) == enqueue_verdict::queued);
    }
}

// Guards against unbounded memory for models and workspaces that were served once.
TEST_CASE("models and workspaces without waiting requests take no memory", "[admission]")
{
    wait_queue queue;
    auto const add = [&](std::uint64_t ticket, std::string workspace, std::string model) {
        auto request = make_request(ticket, std::move(workspace));
        request.model_ = std::move(model);
        REQUIRE(enqueue(queue, request, {}, {}) == enqueue_verdict::queued);
    };
    for (std::uint64_t ticket = 0; ticket < 1'000; ++ticket) {
        add(ticket, "w" + std::to_string(ticket), "m");
        add(ticket, "steady", "m");
        add(ticket, "a", "m" + std::to_string(ticket));
        add(ticket, "b", "m" + std::to_string(ticket));
        REQUIRE(take_next(queue, "m", {}).has_value());
        REQUIRE(take_next(queue, "m" + std::to_string(ticket), {}).has_value());
        REQUIRE(take_next(queue, "m" + std::to_string(ticket), {}).has_value());
        if (ticket > 0) {
            REQUIRE(take_next(queue, "m", {}).has_value());
        }
    }
    CHECK(queue.virtual_clocks_.size() <= 1);
    CHECK(virtual_finish_entries(queue) <= 3);
}

// Guards against a virtual time shared by all models: requests for one model advanced it, and a workspace
// with many requests for another won every tie there (found by the stateful test, seed 1).
TEST_CASE("requests for one model do not affect fairness for another", "[admission][promise-3]")
{
    wait_queue queue;
    for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
        REQUIRE(enqueue(queue, make_request(ticket, "busy"), {}, {}) == enqueue_verdict::queued);
    }
    for (std::uint64_t ticket = 21; ticket <= 24; ++ticket) {
        REQUIRE(enqueue(queue, make_request(ticket, "quiet", priority::normal, 100, {1}), {}, {1}) ==
                enqueue_verdict::queued);
    }
    std::vector<std::uint64_t> order;
    for (std::uint64_t round = 0; round < 8; ++round) {
        for (std::uint64_t i = 0; i < 4; ++i) {
            auto other = make_request(100 + 4 * round + i, "third");
            other.model_ = "other";
            REQUIRE(enqueue(queue, other, {}, {1}) == enqueue_verdict::queued);
        }
        for (int i = 0; i < 4; ++i) {
            REQUIRE(take_next(queue, "other", {1}).has_value());
        }
        order.push_back(take_next(queue, "m", {1})->ticket_);
    }
    CHECK(order == std::vector<std::uint64_t>{1, 21, 2, 22, 3, 23, 4, 24});
}

// Guards against a timer set too late to refuse the next expired request.
TEST_CASE("the next deadline is the earliest of all waiting requests", "[admission][promise-3]")
{
    wait_queue queue;
    CHECK_FALSE(next_deadline(queue).has_value());
    for (std::int64_t const deadline : {500, 200, 900}) {
        REQUIRE(enqueue(queue, make_request(1, "a", priority::normal, 1, {}, {deadline}), {}, {}) ==
                enqueue_verdict::queued);
    }
    CHECK(next_deadline(queue) == millis{200});
}

namespace {

enum class outcome { refused, waiting, taken, expired, cancelled };

struct tracked_request {
    outcome outcome_{outcome::refused};
    waiting_request request_;
    int passed_over_{}; ///< Takes of its model for other workspaces while it was next of its own.
};

struct queue_model {};

/// Queue under test, with each request's expected outcome and how often it was passed over; the order in the
/// queue is not modelled.
struct tracked_queue {
    wait_queue queue_;
    millis now_{};
    std::vector<tracked_request> requests_;
};

constexpr int workspaces = 4;
constexpr std::int64_t equal_tokens = 100;

void set_outcome(tracked_queue& l, std::uint64_t ticket, outcome end)
{
    auto& entry = l.requests_[ticket];
    RC_ASSERT(entry.outcome_ == outcome::waiting);
    entry.outcome_ = end;
}

/// The oldest waiting request of a workspace and model in the most important effective class.
tracked_request* oldest_eligible(tracked_queue& l, std::string const& workspace, std::string const& model)
{
    tracked_request* first = nullptr;
    for (auto& entry : l.requests_) {
        auto const& r = entry.request_;
        if (entry.outcome_ == outcome::waiting && r.workspace_ == workspace && r.model_ == model &&
            r.deadline_ > l.now_ && effective_class(r, l.queue_.aging_, l.now_) == 0 &&
            (first == nullptr || r.arrived_ < first->request_.arrived_)) {
            first = &entry;
        }
    }
    return first;
}

enum class queue_action { enqueue, enqueue_many, take, expire, cancel, advance };

struct queue_step : rc::state::Command<queue_model, tracked_queue> {
    queue_action action_ = *rc::gen::weightedElement<queue_action>({{6, queue_action::enqueue},
                                                                    {1, queue_action::enqueue_many},
                                                                    {10, queue_action::take},
                                                                    {2, queue_action::expire},
                                                                    {1, queue_action::cancel},
                                                                    {4, queue_action::advance}});
    int workspace_ = *rc::gen::inRange(0, workspaces);
    int model_ = *rc::gen::weightedElement<int>({{4, 0}, {1, 1}});
    int level_ = *rc::gen::inRange(0, 4);
    std::int64_t n_ = *rc::gen::inRange<std::int64_t>(1, 1'000);

    void show(std::ostream& os) const override
    {
        os << "action " << static_cast<int>(action_) << " w" << workspace_ << " m" << model_ << " class "
           << level_ << " n=" << n_;
    }

    void run(queue_model const&, tracked_queue& l) const override
    {
        switch (action_) {
        case queue_action::enqueue:
            add(l);
            break;
        case queue_action::enqueue_many:
            for (int i = 0; i < 30; ++i) {
                add(l);
            }
            break;
        case queue_action::take:
            take(l);
            break;
        case queue_action::expire:
            for (auto const& gone : take_expired(l.queue_, l.now_)) {
                RC_ASSERT(gone.deadline_ <= l.now_);
                set_outcome(l, gone.ticket_, outcome::expired);
            }
            for (auto const& entry : l.requests_) {
                RC_ASSERT(entry.outcome_ != outcome::waiting || entry.request_.deadline_ > l.now_);
            }
            break;
        case queue_action::cancel:
            if (!l.requests_.empty()) {
                auto const ticket = static_cast<std::uint64_t>(n_) % l.requests_.size();
                bool const waits = l.requests_[ticket].outcome_ == outcome::waiting;
                RC_ASSERT(cancel(l.queue_, ticket) == waits);
                if (waits) {
                    set_outcome(l, ticket, outcome::cancelled);
                }
            }
            break;
        case queue_action::advance:
            l.now_ += millis{n_ * n_ / 100};
            break;
        }
        check(l);
    }

    void add(tracked_queue& l) const
    {
        waiting_request request{l.requests_.size(),
                                "w" + std::to_string(workspace_),
                                1,
                                "m" + std::to_string(model_),
                                static_cast<priority>(level_),
                                equal_tokens,
                                l.now_,
                                l.now_ + millis{n_ * 100 - 1'000}};
        auto const verdict = enqueue(l.queue_, request, {}, l.now_);
        RC_ASSERT((verdict == enqueue_verdict::too_late) == (request.deadline_ <= l.now_));
        l.requests_.push_back(
            {verdict == enqueue_verdict::queued ? outcome::waiting : outcome::refused, request, 0});
    }

    void take(tracked_queue& l) const
    {
        auto const model = "m" + std::to_string(model_);
        std::array<tracked_request*, workspaces> oldest{};
        for (int w = 0; w < workspaces; ++w) {
            oldest[static_cast<std::size_t>(w)] = oldest_eligible(l, "w" + std::to_string(w), model);
        }
        bool const any =
            std::any_of(l.requests_.begin(), l.requests_.end(), [&](tracked_request const& entry) {
                return entry.outcome_ == outcome::waiting && entry.request_.model_ == model &&
                       entry.request_.deadline_ > l.now_;
            });
        auto const taken = take_next(l.queue_, model, l.now_);
        RC_ASSERT(taken.has_value() == any);
        if (!taken) {
            return;
        }
        RC_ASSERT(taken->deadline_ > l.now_);
        RC_ASSERT(taken->model_ == model);
        set_outcome(l, taken->ticket_, outcome::taken);
        for (auto* const entry : oldest) {
            if (entry == nullptr) {
                continue;
            }
            if (entry->request_.workspace_ != taken->workspace_) {
                // All requests have one cost, so virtual start times differ by at most one request, and each
                // other workspace is served at most twice before this one.
                RC_ASSERT(++entry->passed_over_ <= 2 * (workspaces - 1));
            }
        }
        // The count of a workspace that was served restarts for its next request of the model.
        for (auto& entry : l.requests_) {
            if (entry.request_.workspace_ == taken->workspace_ && entry.request_.model_ == model) {
                entry.passed_over_ = 0;
            }
        }
    }

    static void check(tracked_queue const& l)
    {
        std::size_t waiting = 0;
        for (auto const& entry : l.requests_) {
            waiting += entry.outcome_ == outcome::waiting ? 1 : 0;
        }
        RC_ASSERT(l.queue_.waiting_.size() == waiting);
        RC_ASSERT(waiting <= l.queue_.limit_);
    }
};

} // namespace

// Guards against requests that are lost, served twice or served after the deadline, and against starvation of
// a workspace whose request has been raised to the most important class.
TEST_CASE("each waiting request ends once, in time and without starvation", "[admission][promise-3]")
{
    auto const limit = GENERATE(as<std::size_t>{}, 8, 64, 4'096);
    CHECK(rc::check("taken, expired or cancelled exactly once", [limit] {
        queue_model const model;
        tracked_queue tracked;
        tracked.queue_.limit_ = limit;
        auto const commands = *rc::gen::resize(
            200, rc::state::gen::commands(model, rc::state::gen::execOneOfWithArgs<queue_step>()));
        rc::state::runAll(commands, model, tracked);
    }));
}
