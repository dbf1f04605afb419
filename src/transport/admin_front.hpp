#pragma once

#include "transport/http_listener.hpp"
#include "transport/request_context.hpp"

#include <memory>
#include <optional>
#include <string>

namespace httplib {
struct Request;
struct Response;
class Server;
} // namespace httplib

namespace auburnchute {

/// \brief The HTTP interface for `auburnctl`; see docs/admin-api.md.
///
/// Thread safety: `stop` may be called from any thread.
class admin_front {
public:
    explicit admin_front(request_services services);
    ~admin_front();
    admin_front(admin_front const&) = delete;
    admin_front& operator=(admin_front const&) = delete;

    /// \brief Binds the address and serves on threads of its own. \returns The bound port. \throws error if
    /// the address cannot be bound.
    int start();
    void stop();

private:
    void add_routes();
    void get_tables(httplib::Response& response) const;
    void post_tables(httplib::Request const& request, httplib::Response& response);
    void get_keys(httplib::Response& response) const;
    void post_key(httplib::Request const& request, httplib::Response& response);
    void post_drain(httplib::Request const& request, httplib::Response& response);
    void get_status(httplib::Response& response) const;
    void get_explanation(std::string const& id, httplib::Response& response) const;
    /// \brief Writes a record and waits until it is folded. \returns None after the failure was answered.
    /// \param what What is written, as shown in failures. \param refused The answer if the fold rejects it.
    [[nodiscard]] std::optional<submit_result> write(record_body body, std::string const& what,
                                                     problem refused, httplib::Response& response);
    void write_record(record_body body, httplib::Response& response);
    [[nodiscard]] bool authorized(httplib::Request const& request, httplib::Response& response) const;

    request_services services_;
    std::unique_ptr<httplib::Server> server_;
    http_listener listener_;
};

} // namespace auburnchute
