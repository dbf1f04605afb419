#pragma once

#include "protocol/settings.hpp"

#include <auburnchute/error.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnchute {

/// \brief An answer of the admin interface.
struct admin_answer {
    int status_{};       ///< 0: no answer came.
    bool sent_{true};    ///< False if the call provably did not reach the daemon.
    std::string detail_; ///< For a failure: what went wrong, for the operator.
    std::string address_;
    nlohmann::json body_;
};

/// \brief Calls the admin interface of entry VMs.
/// Thread safety: one thread at a time.
class admin_client {
public:
    admin_client(std::vector<std::string> addresses, std::string token)
        : addresses_{std::move(addresses)}, token_{std::move(token)}
    {
    }

    /// \brief Calls the VMs in order until one answers. A call that changes something goes to the next VM
    /// only if it did not reach the one before, so that it is never made twice.
    [[nodiscard]] admin_answer call(std::string_view method, std::string const& path,
                                    nlohmann::json const& body = nullptr)
    {
        admin_answer answer;
        std::string reasons;
        for (auto const& address : addresses_) {
            answer = call_one(address, method, path, body);
            if (answer.status_ != 0 || (answer.sent_ && method != "GET")) {
                return answer;
            }
            reasons += (reasons.empty() ? "" : "; ") + answer.detail_;
        }
        answer.detail_ = reasons;
        return answer;
    }

    /// \brief Calls one VM.
    [[nodiscard]] admin_answer call_one(std::string const& address, std::string_view method,
                                        std::string const& path, nlohmann::json const& body = nullptr) const
    {
        auto const where = parse_listen_address(address);
        httplib::Client client{where.ip_, where.port_};
        client.set_connection_timeout(3);
        // The daemon waits until it has read a change back from the log, which may be slow.
        client.set_read_timeout(30);
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.set_header("Authorization", "Bearer " + token_);
        if (!body.is_null()) {
            request.set_header("Content-Type", "application/json");
            request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }
        return read_answer(address, client.send(request));
    }

private:
    static admin_answer read_answer(std::string const& address, httplib::Result const& result)
    {
        admin_answer answer;
        answer.address_ = address;
        if (!result) {
            answer.sent_ = result.error() != httplib::Error::Connection &&
                           result.error() != httplib::Error::ConnectionTimeout;
            answer.detail_ =
                address + ": " + (answer.sent_ ? "the connection broke before the answer" : "not reachable");
            return answer;
        }
        answer.status_ = result->status;
        answer.body_ = nlohmann::json::parse(result->body, nullptr, false);
        if (answer.body_.is_discarded() || !answer.body_.is_object()) {
            answer.body_ = nlohmann::json::object();
        }
        if (answer.status_ >= 400) {
            answer.detail_ = address + ": " + describe_problem(answer);
        }
        return answer;
    }

    static std::string describe_problem(admin_answer const& answer)
    {
        auto const text = [&answer](char const* name) {
            auto const it = answer.body_.find(name);
            return it != answer.body_.end() && it->is_string() ? it->get<std::string>() : std::string{};
        };
        if (answer.status_ == 401) {
            return "the operator token is not accepted";
        }
        auto shown = text("detail").empty() ? text("title") : text("detail");
        if (shown.empty()) {
            shown = "status " + std::to_string(answer.status_);
        }
        auto const step = text("step");
        auto const peer = text("peer");
        if (!step.empty()) {
            shown += " (step " + step + (peer.empty() ? "" : ", peer " + peer) + ")";
        }
        return shown;
    }

    std::vector<std::string> addresses_;
    std::string token_;
};

} // namespace auburnchute
