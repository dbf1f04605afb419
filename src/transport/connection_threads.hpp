#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <utility>

namespace auburnchute {

/// \brief Runs each connection on a thread of its own, as cpp-httplib needs, up to a limit. Threads are
/// started on demand and reused; above the limit connections wait, and above a limit of those they are
/// refused.
///
/// Thread safety: as `httplib::TaskQueue`.
class connection_threads : public httplib::TaskQueue {
public:
    /// \param crowded Called when a connection has to wait, on the accepting thread.
    explicit connection_threads(
        std::size_t limit, std::function<void()> crowded = [] {})
        : limit_{limit}, crowded_{std::move(crowded)}
    {
    }

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

    /// \returns Whether the connection that the calling thread runs is to be closed at once.
    [[nodiscard]] static bool refuses() noexcept;

private:
    void run();

    std::size_t limit_;
    std::function<void()> crowded_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> waiting_;
    std::size_t threads_{};
    std::size_t idle_{};
    bool stopping_{};
};

} // namespace auburnchute
