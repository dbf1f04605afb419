#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/shutdown_plan.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburnchute {

/// \brief A request of a caller, from its arrival to the end of its answer.
///
/// Thread safety: all functions may be called from any thread.
class open_request {
public:
    open_request(std::string id, millis arrived) : id_{std::move(id)}, arrived_{arrived} {}

    [[nodiscard]] std::string const& id() const noexcept { return id_; }
    [[nodiscard]] millis arrived() const noexcept { return arrived_; }

    /// \brief Sets what ends the wait for an upstream; an empty function removes it. \returns False if the
    /// request has been given up, so that the wait must not begin.
    bool on_give_up(std::function<void()> interrupt);

    /// \brief Ends the wait for an upstream, now and later.
    void give_up();

private:
    std::string id_;
    millis arrived_;
    std::mutex mutex_;
    std::function<void()> interrupt_;
    bool given_up_{};
};

/// \brief Decides during a planned stop which requests are taken, and gives up those that outlast it.
///
/// Thread safety: all functions may be called from any thread.
class stop_gate {
public:
    explicit stop_gate(auburnchute::clock const& clock) : clock_{clock} {}
    ~stop_gate();
    stop_gate(stop_gate const&) = delete;
    stop_gate& operator=(stop_gate const&) = delete;

    /// \brief Begins the stop. \param takes_until From here on no new request is taken, whatever its limit.
    void begin(shutdown_plan const& plan, millis takes_until);

    /// \brief Takes nothing more, names the open requests in log lines and gives them up. \returns The plan
    /// from here on. \pre `begin` was called.
    shutdown_plan close();

    [[nodiscard]] bool is_stopping() const noexcept { return stopping_.load(); }
    [[nodiscard]] bool is_closing() const noexcept { return closing_.load(); }

    /// \returns Whether new requests are taken at all.
    [[nodiscard]] bool takes_requests() const;

    /// \param ends_by When its answer is whole at the latest. \returns Whether a request may be sent to an
    /// upstream.
    [[nodiscard]] bool may_start(millis ends_by) const;

    /// \returns When a refused caller may come back.
    [[nodiscard]] millis retry_after(bool other_vm_is_ready) const;

    /// \brief Counts a request as open while the result lives.
    [[nodiscard]] std::shared_ptr<open_request> open(std::string const& id, millis arrived);

    [[nodiscard]] std::size_t open_requests() const;

    /// \brief Names in log lines the requests that end without an answer.
    void log_unanswered() const;

private:
    [[nodiscard]] std::vector<std::shared_ptr<open_request>> all_open() const;

    auburnchute::clock const& clock_;
    std::atomic<bool> stopping_{};
    std::atomic<bool> closing_{};
    mutable std::mutex mutex_;
    std::optional<shutdown_plan> plan_;
    millis takes_until_{};
    std::map<open_request const*, std::weak_ptr<open_request>> open_;
    std::jthread closer_;
};

} // namespace auburnchute
