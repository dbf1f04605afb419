#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/tables.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief A request that waits for a free slot of an upstream.
struct waiting_request {
    std::uint64_t ticket_{}; ///< Unique in the queue.
    std::string workspace_;
    std::int64_t weight_{1}; ///< The workspace's weight in fair queueing.
    std::string model_;      ///< Model, with an adapter as `base:adapter`.
    priority priority_{priority::normal};
    std::int64_t tokens_{}; ///< Expected tokens; the request's cost is these divided by the weight.
    millis arrived_{};
    millis deadline_{}; ///< Time by which it is served or refused.
};

/// \brief Virtual times of weighted fair queueing among the workspaces that wait for one model.
struct virtual_clock {
    double virtual_time_{}; ///< Virtual start time of the last request taken.
    /// Virtual finish time of each workspace's last request taken, if later than `virtual_time_`.
    std::map<std::string, double, std::less<>> virtual_finish_;
};

/// \brief Waiting requests of one pool, unordered. Plain data, changed by the functions below.
///
/// A workspace is charged when its request is taken, not when it is queued, so requests that expire or are
/// cancelled cost it nothing. Each model has its own virtual clock: with one for the pool, requests taken for
/// one model would equalize the virtual times of the workspaces that wait for another.
struct wait_queue {
    std::vector<waiting_request> waiting_;
    /// By model. `take_next` drops an entry when at most one request of its model waits.
    std::map<std::string, virtual_clock, std::less<>> virtual_clocks_;
    /// Largest sum of all waiting requests and those of the enqueuing workspace, so that one workspace alone
    /// fills at most half of the queue.
    std::size_t limit_{4096};
    millis aging_{10'000}; ///< Wait that raises a request by one priority class; 0: never.
};

/// \brief Inputs for the estimate of a new request's wait.
struct wait_estimate {
    millis load_remaining_{};    ///< Time until a replica of the model is loaded; 0 if one is.
    double served_per_second_{}; ///< Requests of the model that the pool serves per second; 0: unknown.
};

enum class enqueue_verdict : std::uint8_t {
    queued,
    too_late, ///< The deadline has passed or the estimated wait exceeds it.
    queue_full
};

/// \brief Queues a request, or refuses it at once if the queue is full or its deadline cannot be met.
/// Thread safety of all functions on a queue: the caller holds the queue's lock.
[[nodiscard]] enqueue_verdict enqueue(wait_queue& queue, waiting_request request,
                                      wait_estimate const& estimate, millis now);

/// \brief Removes the next request of a model and charges its workspace: the most important effective class
/// first, then the workspace with the earliest virtual start, then the oldest request.
/// \param passed_over Tickets of requests that stay, because no upstream that may serve them has room.
/// \returns None if no other waiting request of the model has a deadline after `now`.
[[nodiscard]] std::optional<waiting_request> take_next(wait_queue& queue, std::string_view model, millis now,
                                                       std::span<std::uint64_t const> passed_over = {});

/// \brief Removes all requests whose deadline has passed. \returns These; the caller refuses them.
[[nodiscard]] std::vector<waiting_request> take_expired(wait_queue& queue, millis now);

/// \brief Removes a request whose caller has disconnected. \returns False if it is not in the queue.
bool cancel(wait_queue& queue, std::uint64_t ticket) noexcept;

/// \returns The earliest deadline of all waiting requests; none if the queue is empty.
[[nodiscard]] std::optional<millis> next_deadline(wait_queue const& queue) noexcept;

/// \returns The priority class, raised by one for each `aging` waited; 0 is the most important. Thread
/// safety: pure.
[[nodiscard]] int effective_class(waiting_request const& request, millis aging, millis now) noexcept;

} // namespace auburnchute
