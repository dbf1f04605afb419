#pragma once

#include "protocol/metrics.hpp"
#include "transport/fleet_control.hpp"
#include "transport/stop_gate.hpp"

#include <auburnchute/admission.hpp>
#include <auburnchute/clock.hpp>
#include <auburnchute/placement.hpp>
#include <auburnchute/routing.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief What a request needs from its pool.
struct slot_request {
    model_key key_; ///< Model and adapter are empty for a service.
    std::string workspace_;
    std::int64_t weight_{1};
    priority priority_{priority::normal};
    std::int64_t tokens_{};
    millis arrived_{};
    millis deadline_{}; ///< Of the wait for a place.
    millis ends_by_{};  ///< When the answer is whole at the latest; decides whether it fits into a stop.
    std::uint64_t prefix_hash_{};
    std::uint64_t request_hash_{};
    bool isolated_{};
    std::string avoid_;                           ///< The upstream on which the request last failed.
    std::optional<std::string> software_version_; ///< Of an answer that has begun; no other may continue it.
    bool resumes_{};                    ///< Only an upstream that resumes streams may continue the answer.
    std::vector<std::string> excluded_; ///< Upstreams whose answers to the request were of another version.
};

enum class slot_verdict : std::uint8_t {
    granted,
    too_late,
    queue_full,
    expired,
    stopping,
    no_version ///< No upstream with the software version of the answer is left.
};

/// \brief A place on an upstream.
struct slot_grant {
    slot_verdict verdict_{slot_verdict::expired};
    std::string upstream_;
    std::string address_;
    std::string replica_;
    bool resumes_streams_{};
    bool was_cold_{}; ///< No replica of the model was loaded on arrival.
    millis expected_wait_{};
    std::shared_ptr<upstream_counters> counters_;
};

/// \brief The requests of this daemon that wait for a place on an upstream, and the demand that they make.
///
/// Thread safety: all functions may be called from any thread. A request that finds a place at once takes the
/// pool's lock for one pass over the candidates.
class request_queue {
public:
    request_queue(fleet_control& control, metrics& counters, stop_gate const& stop);

    /// \brief Waits for a place until the deadline. \returns The grant; `release` must follow if it was
    /// granted.
    [[nodiscard]] slot_grant acquire(slot_request const& request);

    /// \brief Frees a place.
    void release(slot_request const& request, slot_grant const& grant, millis served_for);

    /// \brief Tries all queues again, after a new view was published.
    void dispatch_all();

    /// \brief Ends the wait of requests that a planned stop lets no longer start.
    void refuse_waiting();

    /// \returns This daemon's demand for models.
    [[nodiscard]] std::map<model_key, model_demand> demand() const;

    /// \brief What `status` shows of a queue.
    struct pool_status {
        std::int64_t waiting_{};
        millis oldest_wait_{};
    };
    [[nodiscard]] std::map<std::string, pool_status> status() const;

private:
    struct waiter {
        slot_request request_;
        slot_grant grant_;
        bool done_{};
        std::condition_variable wake_;
    };
    struct usage {
        std::int64_t running_{};
        millis last_used_{};

        millis missed_at_{-3'600'000}; ///< A request was refused because the load would take too long.

        double mean_service_ms_{};
        priority highest_{priority::low};
    };
    struct pool_queue {
        mutable std::mutex mutex_;
        wait_queue queue_;
        std::map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
        std::map<model_key, usage> usage_;
        std::map<model_key, model_demand>
            arrivals_; ///< Of base models, with the arrivals for their adapters.
    };

    [[nodiscard]] pool_queue& queue_of(std::string const& pool);
    /// \returns True if an upstream has a place; `grant` then names it.
    [[nodiscard]] bool find_place(fleet_view const& view, slot_request const& request,
                                  slot_grant& grant) const;
    /// \brief As `find_place`, and counts the request as running there.
    [[nodiscard]] bool take_place(fleet_view const& view, slot_request const& request,
                                  slot_grant& grant) const;
    /// \returns False if no upstream, free or not, may continue the request's answer.
    [[nodiscard]] static bool may_continue(fleet_view const& view, slot_request const& request);
    [[nodiscard]] wait_estimate estimate(fleet_view const& view, pool_queue const& pool,
                                         slot_request const& request, bool& cold) const;
    void dispatch(fleet_view const& view, pool_queue& pool);
    void book_arrival(fleet_view const& view, pool_queue& pool, slot_request const& request);

    fleet_control& control_;
    metrics& metrics_;
    stop_gate const& stop_;
    mutable std::mutex mutex_; ///< Guards the map of pools.
    std::map<std::string, std::unique_ptr<pool_queue>> pools_;
    std::atomic<std::uint64_t> next_ticket_{1};
};

} // namespace auburnchute
