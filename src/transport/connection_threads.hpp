#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace auburnchute {

/// \brief Runs each connection on a thread of its own, as cpp-httplib needs, up to a limit. Threads are
/// started on demand and reused; above the limit connections wait.
///
/// Thread safety: as `httplib::TaskQueue`.
class connection_threads : public httplib::TaskQueue {
public:
    explicit connection_threads(std::size_t limit) : limit_{limit} {}

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

private:
    void run();

    std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> waiting_;
    std::size_t threads_{};
    std::size_t idle_{};
    bool stopping_{};
};

} // namespace auburnchute
