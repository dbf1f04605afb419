#include "transport/connection_threads.hpp"

#include <chrono>
#include <utility>

namespace auburnchute {

namespace {

constexpr std::chrono::seconds idle_thread_lifetime{30};

/// Connections that wait for a thread; each takes a descriptor.
constexpr std::size_t max_waiting = 64;

thread_local bool refuses_connection = false;

} // namespace

void connection_threads::enqueue(std::function<void()> connection)
{
    std::unique_lock lock{mutex_};
    bool const waits = idle_ <= waiting_.size() && threads_ >= limit_;
    if (waits && waiting_.size() >= max_waiting) {
        lock.unlock();
        refuses_connection = true;
        connection();
        refuses_connection = false;
    } else {
        waiting_.push_back(std::move(connection));
        if (idle_ >= waiting_.size() || threads_ >= limit_) {
            wake_.notify_one();
        } else {
            ++threads_;
            std::thread{[this] { run(); }}.detach();
        }
        lock.unlock();
    }
    if (waits) {
        crowded_();
    }
}

bool connection_threads::refuses() noexcept
{
    return refuses_connection;
}

void connection_threads::run()
{
    std::unique_lock lock{mutex_};
    for (;;) {
        ++idle_;
        bool const woken =
            wake_.wait_for(lock, idle_thread_lifetime, [this] { return stopping_ || !waiting_.empty(); });
        --idle_;
        if (waiting_.empty() && (!woken || stopping_)) {
            break;
        }
        auto const connection = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        connection();
        lock.lock();
    }
    --threads_;
    ended_.notify_all();
}

void connection_threads::shutdown()
{
    std::unique_lock lock{mutex_};
    stopping_ = true;
    wake_.notify_all();
    ended_.wait(lock, [this] { return threads_ == 0; });
}

} // namespace auburnchute
