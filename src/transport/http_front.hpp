#pragma once

#include "transport/caller_request.hpp"
#include "transport/http_listener.hpp"
#include "transport/model_call.hpp"
#include "transport/request_context.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace httplib {
struct Request;
struct Response;
class Server;
} // namespace httplib

namespace auburnchute {

class caller_connections;

/// \brief The HTTP interface for callers.
///
/// Thread safety: `has_connections`, `end_idle`, `take_last`, `cut`, `open_requests` and `stop` may be
/// called from any thread.
class http_front {
public:
    explicit http_front(request_services services);
    ~http_front();
    http_front(http_front const&) = delete;
    http_front& operator=(http_front const&) = delete;

    /// \brief Binds the address and serves on threads of its own. \returns The bound port. \throws error if
    /// the address cannot be bound.
    int start();

    /// \returns Whether connections are open.
    [[nodiscard]] bool has_connections() const;

    /// \brief Ends connections without a request.
    void end_idle();

    /// \brief Lets no further connection begin, and takes those that the kernel holds. \param limit Longest
    /// time for this.
    void take_last(millis limit);

    /// \brief Ends all connections.
    void cut();

    /// \returns Requests that are being read or answered.
    [[nodiscard]] int open_requests() const noexcept;

    /// \brief Closes the port and ends all threads.
    void stop();

private:
    void add_routes();
    void serve_model(httplib::Request const& request, httplib::Response& response);
    void serve_service(httplib::Request const& request, httplib::Response& response);
    void update_gauges() const;
    void serve_entries(httplib::Response& response) const;
    void serve_models(httplib::Request const& request, httplib::Response& response) const;
    [[nodiscard]] bool refuse_if_full(request_context const& context, httplib::Response& response) const;
    /// \returns Why a request with a body is refused by its head, or none.
    [[nodiscard]] std::optional<problem> judge_head(httplib::Request const& head);
    void note_refused(problem const& shown);

    request_services services_;
    caller_bounds bounds_;
    std::atomic<std::int64_t> refusals_logged_until_{}; ///< Clock time in ms; one line is written a second.
    retry_budgets budgets_;
    std::unique_ptr<httplib::Server> server_;
    caller_connections* connections_{}; ///< The server's.
    std::atomic<int> open_{};
    std::unique_ptr<http_listener> listener_;
};

} // namespace auburnchute
