#include "transport/entry/work_turns.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace auburnchute {

namespace {

/// Only a lost wake-up would make a turn come so late.
constexpr millis longest_wait{60'000};

} // namespace

net::awaitable<void> work_turns::wait(wake_event& waiter)
{
    // Shared, as a coroutine may be destroyed after the node.
    struct place {
        ~place() { std::erase(turns_->waiting_, waiter_); }
        std::shared_ptr<work_turns> turns_;
        wake_event* waiter_;
    };
    place const own{shared_from_this(), &waiter};
    waiting_.push_back(&waiter);
    if (!passing_) {
        passing_ = true;
        net::post(loop_, [self = own.turns_] { self->pass_on(); });
    }
    co_await waiter.wait_for(longest_wait);
}

void work_turns::pass_on()
{
    passing_ = !waiting_.empty();
    if (passing_) {
        waiting_.front()->notify();
        waiting_.pop_front();
        // Goes behind all that is ready now.
        net::post(loop_, [self = shared_from_this()] { self->pass_on(); });
    }
}

} // namespace auburnchute
