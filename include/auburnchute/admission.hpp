#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/tables.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief A request that waits for a free slot.
struct waiting_request {
    std::uint64_t ticket_{}; ///< Unique in the queue.
    std::string workspace_;
    std::int64_t weight_{1}; ///< The workspace's weight.
    std::string model_;      ///< Model with adapter, `base:adapter`.
    priority priority_{priority::normal};
    std::int64_t tokens_{}; ///< Expected tokens, the request's size for fairness.
    millis arrived_{};
    millis deadline_{}; ///< Served or refused by then.
};

/// \brief Weighted fair queueing among the workspaces that wait for one model.
struct virtual_clock {
    double virtual_time_{}; ///< Virtual start of the last request taken.
    /// Virtual finish of each workspace's last request taken, if ahead of the time.
    std::map<std::string, double, std::less<>> virtual_finish_;
};

/// \brief Requests of one pool that wait, in no order. Plain data; the functions below change it.
///
/// A workspace is charged when its request is taken, not when it is queued: requests that expire or are
/// cancelled cost it nothing. Each model has its own virtual time: with one for the pool, requests taken for
/// one model made all workspaces even that waited for another.
struct wait_queue {
    std::vector<waiting_request> waiting_;
    std::map<std::string, virtual_clock, std::less<>>
        virtual_clocks_; ///< By model, while requests of it wait.
    /// A workspace may queue as many as are free, so it never fills the queue alone.
    std::size_t limit_{4096};
    millis aging_{10'000};
};

/// \brief What is known about when a slot comes free.
struct wait_estimate {
    millis load_remaining_{};    ///< Until a replica of the model is loaded; 0 if one is.
    double served_per_second_{}; ///< Requests of the model that the pool starts per second; 0: unknown.
};

enum class enqueue_verdict : std::uint8_t { queued, too_late, queue_full };

/// \brief Puts a request in the queue, or refuses it at once when its deadline cannot be met.
/// Thread safety of all functions on a queue: the caller holds the queue's lock.
[[nodiscard]] enqueue_verdict enqueue(wait_queue& queue, waiting_request request,
                                      wait_estimate const& estimate, millis now);

/// \brief Takes the next request of a model: by class raised by waiting, then the workspace with the earliest
/// virtual finish, then the oldest request.
/// \returns None if no request of the model waits whose deadline is later than `now`.
[[nodiscard]] std::optional<waiting_request> take_next(wait_queue& queue, std::string_view model, millis now);

/// \brief Takes out all requests whose deadline has come; they must be refused.
[[nodiscard]] std::vector<waiting_request> take_expired(wait_queue& queue, millis now);

/// \brief Takes out one request, when its caller has gone. \returns False if it is not there.
bool cancel(wait_queue& queue, std::uint64_t ticket) noexcept;

/// \returns When the next waiting request expires; none if the queue is empty.
[[nodiscard]] std::optional<millis> next_deadline(wait_queue const& queue) noexcept;

/// \returns The class after aging, 0 the most important. Thread safety: pure.
[[nodiscard]] int effective_class(waiting_request const& request, millis aging, millis now) noexcept;

} // namespace auburnchute
