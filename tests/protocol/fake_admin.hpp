#pragma once

#include <functional>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace auburnchute::testing {

inline std::string const operator_token = "operator-token-1";

/// The admin interface of one VM as docs/admin-api.md states it, with a log of its own.
class fake_admin {
public:
    fake_admin()
    {
        auto const all = [this](httplib::Request const& request, httplib::Response& response) {
            handle(request, response);
        };
        server_.Get(".*", all);
        server_.Post(".*", all);
        server_.Delete(".*", all);
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread{[this] { server_.listen_after_bind(); }};
        // A server that is told to stop before it runs would run forever.
        while (!server_.is_running()) {
            std::this_thread::yield();
        }
    }
    fake_admin(fake_admin const&) = delete;
    fake_admin& operator=(fake_admin const&) = delete;
    ~fake_admin()
    {
        server_.stop();
        thread_.join();
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// What came in: method, path and body of each call.
    [[nodiscard]] std::string received()
    {
        std::lock_guard const lock{mutex_};
        return received_;
    }

    [[nodiscard]] int calls(std::string const& call)
    {
        auto const text = received();
        int found = 0;
        for (auto at = text.find(call); at != std::string::npos; at = text.find(call, at + 1)) {
            ++found;
        }
        return found;
    }

    void publish(std::string const& author, std::string const& message, std::string const& routes,
                 std::string const& pools)
    {
        ++version_;
        author_ = author;
        message_ = message;
        routes_ = routes;
        pools_ = pools;
        ++next_offset_;
    }

    static void answer_problem(httplib::Response& response, int status, nlohmann::json const& body)
    {
        response.status = status;
        response.set_content(body.dump(), "application/problem+json");
    }

    /// Cuts the connection within the answer.
    static void cut(httplib::Response& response)
    {
        response.status = 200;
        response.body.clear();
        response.set_content_provider(100, "application/json",
                                      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }

    using handler = std::function<bool(httplib::Request const&, httplib::Response&)>;
    handler before_; ///< Answers in place of the interface if it returns true.
    std::function<void(httplib::Request const&, httplib::Response&)> after_;
    std::string vm_{"entry-a1"};
    std::uint64_t version_{0};
    std::string author_;
    std::string message_;
    std::string routes_;
    std::string pools_;
    std::uint64_t next_offset_{10};
    std::map<std::string, nlohmann::json> keys_; ///< By digest.
    nlohmann::json other_members_ = nlohmann::json::array();
    std::map<std::string, nlohmann::json> explanations_;

private:
    void handle(httplib::Request const& request, httplib::Response& response)
    {
        std::lock_guard const lock{mutex_};
        received_ += request.method + " " + request.path + " " + request.body + "\n";
        if (request.get_header_value("Authorization") != "Bearer " + operator_token) {
            answer_problem(response, 401, nlohmann::json::object());
        } else if (!before_ || !before_(request, response)) {
            route(request, response);
            if (after_) {
                after_(request, response);
            }
        }
    }

    void route(httplib::Request const& request, httplib::Response& response)
    {
        auto const call = request.method + " " + request.path;
        auto const body = nlohmann::json::parse(request.body, nullptr, false);
        response.status = 200;
        if (call == "GET /admin/v1/tables") {
            answer(response, {{"version", version_},
                              {"author", author_},
                              {"message", message_},
                              {"routes", routes_},
                              {"pools", pools_}});
        } else if (call == "POST /admin/v1/tables") {
            if (body.at("base_version") != version_) {
                answer_problem(response, 409,
                               {{"detail", "version " + std::to_string(version_) + " is in force"}});
                return;
            }
            publish(body.at("author"), body.at("message"), body.at("routes"), body.at("pools"));
            answer(response, {{"version", version_}, {"offset", next_offset_ - 1}, {"changed", true}});
        } else if (call == "GET /admin/v1/keys") {
            auto list = nlohmann::json::array();
            for (auto const& [digest, key] : keys_) {
                list.push_back(key);
            }
            answer(response, {{"salt", "fleet-salt"}, {"keys", list}});
        } else if (call == "POST /admin/v1/keys") {
            if (body.at("workspace") == "nobody") {
                answer_problem(response, 422,
                               {{"detail", "workspace nobody does not exist"}, {"step", "keys"}});
                return;
            }
            keys_[body.at("digest")] = body;
            answer(response, {{"offset", next_offset_++}});
        } else if (call.starts_with("DELETE /admin/v1/keys/")) {
            keys_.erase(request.path.substr(request.path.rfind('/') + 1));
            answer(response, {{"offset", next_offset_++}});
        } else if (call == "POST /admin/v1/drains") {
            answer(response, {{"offset", next_offset_++}});
        } else if (call == "GET /admin/v1/status") {
            answer(response, status());
        } else if (call.starts_with("GET /admin/v1/explain/")) {
            auto const found = explanations_.find(request.path.substr(request.path.rfind('/') + 1));
            if (found == explanations_.end()) {
                answer_problem(response, 404, {{"detail", "this VM has no record of the id"}});
            } else {
                answer(response, found->second);
            }
        } else {
            response.status = 404;
        }
    }

    static void answer(httplib::Response& response, nlohmann::json const& body)
    {
        response.set_content(body.dump(), "application/json");
    }

    [[nodiscard]] nlohmann::json status() const
    {
        nlohmann::json const own{{"vm", vm_},
                                 {"incarnation", "1f"},
                                 {"availability_zone", "occ-a"},
                                 {"http", "127.0.0.1:1"},
                                 {"admin", address()},
                                 {"status", "live"},
                                 {"next_offset", next_offset_},
                                 {"heard_ms_ago", 0}};
        auto members = other_members_;
        members.insert(members.begin(), own);
        return {{"vm", vm_},
                {"incarnation", "1f"},
                {"ready", true},
                {"authority", "fresh_log"},
                {"log", {{"next_offset", next_offset_}, {"age_ms", 35}, {"reachable", true}}},
                {"tables_version", version_},
                {"members", members},
                {"share_version", 4},
                {"share_pending", 0},
                {"pools", {{{"name", "large"}, {"kind", "model"}, {"waiting", 2}, {"oldest_wait_ms", 1500}}}},
                {"replicas", nlohmann::json::array()},
                {"upstreams",
                 {{{"upstream", "engine-a1"},
                   {"address", "127.0.0.1:2"},
                   {"availability_zone", "occ-a"},
                   {"memory_mb", 80000},
                   {"reserved_mb", 42000},
                   {"running", 3},
                   {"drained", false},
                   {"leaving", false}}}},
                {"workspaces",
                 {{{"workspace", "forge"}, {"units", 111112}, {"tokens", 900}, {"outstanding", 0}}}}};
    }

    httplib::Server server_;
    std::mutex mutex_;
    std::string received_;
    int port_{};
    std::thread thread_;
};

} // namespace auburnchute::testing
