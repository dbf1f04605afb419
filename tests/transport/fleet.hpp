#pragma once

#include "transport/child_process.hpp"
#include "transport/test_certificate.hpp"

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <functional>
#include <httplib.h>
#include <memory>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace auburnchute::tests {

inline constexpr char fleet_key[] = "fleet-key-of-the-tests";
inline constexpr char fleet_salt[] = "fleet-salt-of-the-tests";
inline constexpr char fleet_token[] = "fleet-token-of-the-tests";

/// \brief Asks again until the condition holds. \returns False if it did not within the limit.
inline bool eventually(std::chrono::milliseconds limit, std::function<bool()> const& holds)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    constexpr int pause_ms = 20;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        ::poll(nullptr, 0, pause_ms);
    }
    return true;
}

/// \param tls Whether the server speaks TLS; its certificate is not checked. \returns A client for `IP:PORT`.
inline httplib::Client client_of(std::string const& address, bool tls = false)
{
    httplib::Client client{(tls ? "https://" : "http://") + address};
    client.enable_server_certificate_verification(false);
    client.set_connection_timeout(std::chrono::seconds{2});
    client.set_read_timeout(std::chrono::seconds{120});
    client.set_tcp_nodelay(true);
    return client;
}

/// \returns A port that the kernel picked. Peers must know their addresses before they start, so port 0
/// cannot be used.
inline int free_port()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bool const bound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    ::close(descriptor);
    if (!bound) {
        throw std::runtime_error{"no port is free"};
    }
    return ntohs(address.sin_port);
}

/// \brief What a test fleet consists of.
struct fleet_options {
    int daemons_{3};
    int engines_{2};
    int services_{1};
    int slots_{8};
    int token_ms_{5};
    int load_ms_{100};
    int min_replicas_{1};
    int max_replicas_{1};
    bool honours_fencing_{true};
    bool resumes_streams_{};
    std::vector<std::size_t> never_resume_{};      ///< Engines to which `resumes_streams_` does not apply.
    std::vector<std::string> software_versions_{}; ///< Of the first engines; the others name none.
    std::int64_t rate_{100'000'000};
    std::int64_t burst_{1'000'000'000};
    std::vector<std::string> log_arguments_{};
    std::string daemon_settings_{}; ///< Further lines of the daemons' settings.
    std::string own_service_{};     ///< Address of a service of the test's own, beside those of `services_`.
    std::string caller_settings_{}; ///< Further fields of `callers`, each with a comma before it.
    bool tls_{};                    ///< Callers speak TLS to the daemons.
    bool show_errors_{};            ///< The daemons' log lines come with their output.
};

/// \brief An answer of the fleet.
struct fleet_answer {
    int status_{}; ///< 0: the connection failed.
    std::string body_;
    httplib::Headers headers_;

    [[nodiscard]] nlohmann::json json() const { return nlohmann::json::parse(body_, nullptr, false); }
};

/// \brief Entry daemons with the stand-ins that they need, as child processes on 127.0.0.1. The tables have
/// the workspace `w`, the routes `r` (model `m`), `cold` (model `c`), `buy` (POST /orders/, not repeatable)
/// and `stock` (repeatable).
class fleet {
public:
    explicit fleet(fleet_options options)
        : options_{std::move(options)}, log_{"standin-log", options_.log_arguments_},
          log_address_{log_.wait_listening()}, list_{"standin-vmlist", {}},
          list_address_{list_.wait_listening()}, folder_{make_folder()}
    {
        for (int i = 0; i < options_.engines_; ++i) {
            start_engine(static_cast<std::size_t>(i));
        }
        for (int i = 0; i < options_.services_; ++i) {
            auto const name = "desk-" + std::to_string(i);
            services_.push_back(
                std::make_unique<child_process>("standin-service", std::vector<std::string>{}));
            service_addresses_.push_back(services_.back()->wait_listening());
            add_vm(name, service_addresses_.back(), 1'000);
        }
        if (!options_.own_service_.empty()) {
            add_vm("desk-own", options_.own_service_, 1'000);
        }
        publish_list();
        if (options_.tls_) {
            write_certificate(folder_ / "callers.pem", folder_ / "callers.key");
        }
        for (int i = 0; i < options_.daemons_; ++i) {
            start_daemon(i);
        }
        publish_tables();
    }

    ~fleet() { std::filesystem::remove_all(folder_); }
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    [[nodiscard]] child_process& daemon(std::size_t index) { return *daemons_[index]; }
    [[nodiscard]] child_process& engine(std::size_t index) { return *engines_[index]; }
    [[nodiscard]] std::size_t daemons() const { return daemons_.size(); }
    [[nodiscard]] std::size_t engines() const { return engines_.size(); }
    [[nodiscard]] std::size_t services() const { return services_.size(); }
    [[nodiscard]] std::string const& daemon_address(std::size_t index) const { return callers_[index]; }
    [[nodiscard]] std::string const& engine_address(std::size_t index) const
    {
        return engine_addresses_[index];
    }
    [[nodiscard]] std::string const& service_address(std::size_t index) const
    {
        return service_addresses_[index];
    }
    [[nodiscard]] std::string const& log_address() const { return log_address_; }
    [[nodiscard]] bool uses_tls() const { return options_.tls_; }

    /// \returns A client of a daemon, without a key.
    [[nodiscard]] httplib::Client callers_client(std::size_t daemon) const
    {
        return client_of(callers_[daemon], options_.tls_);
    }

    /// \brief Sets faults of a stand-in.
    static void fault(std::string const& address, nlohmann::json const& fields)
    {
        auto const answer = client_of(address).Post("/fault", fields.dump(), "application/json");
        if (!answer || answer->status != 200) {
            throw std::runtime_error{"the fault was not set: " +
                                     (answer ? answer->body : std::string{"no answer"})};
        }
    }

    /// \brief Sends a model request and waits for the whole answer.
    [[nodiscard]] fleet_answer ask(std::size_t daemon, std::string const& model, std::string const& prompt,
                                   int tokens = 3, bool stream = false,
                                   std::string const& key = fleet_key) const
    {
        auto client = callers_client(daemon);
        if (!key.empty()) {
            client.set_bearer_token_auth(key);
        }
        return read(client.Post("/v1/chat/completions", model_body(model, prompt, tokens, stream).dump(),
                                "application/json"));
    }

    /// \brief Sends a model request to an engine itself.
    [[nodiscard]] fleet_answer ask_engine(std::size_t engine, std::string const& model,
                                          std::string const& prompt, int tokens) const
    {
        auto client = client_of(engine_addresses_[engine]);
        return read(client.Post("/v1/chat/completions", model_body(model, prompt, tokens, false).dump(),
                                "application/json"));
    }

    /// \brief Sends a purchase.
    [[nodiscard]] fleet_answer buy(std::size_t daemon, std::string const& order) const
    {
        auto client = callers_client(daemon);
        httplib::Headers const headers{{"Authorization", std::string{"Bearer "} + fleet_key},
                                       {"Idempotency-Key", order}};
        return read(client.Post("/orders/purchase", headers, nlohmann::json{{"order", order}}.dump(),
                                "application/json"));
    }

    [[nodiscard]] fleet_answer get(std::size_t daemon, std::string const& path) const
    {
        auto client = callers_client(daemon);
        client.set_bearer_token_auth(fleet_key);
        return read(client.Get(path));
    }

    [[nodiscard]] fleet_answer admin_get(std::size_t daemon, std::string const& path) const
    {
        auto client = admin_client(daemon);
        return read(client.Get(path));
    }

    [[nodiscard]] fleet_answer admin_post(std::size_t daemon, std::string const& path,
                                          nlohmann::json const& body) const
    {
        auto client = admin_client(daemon);
        return read(client.Post(path, body.dump(), "application/json"));
    }

    [[nodiscard]] fleet_answer admin_delete(std::size_t daemon, std::string const& path) const
    {
        auto client = admin_client(daemon);
        return read(client.Delete(path));
    }

    [[nodiscard]] nlohmann::json status(std::size_t daemon) const
    {
        auto const answer = admin_get(daemon, "/admin/v1/status");
        return answer.status_ == 200 ? answer.json() : nlohmann::json::object();
    }

    /// \returns How often an order ran over all services.
    [[nodiscard]] int runs(std::string const& order) const
    {
        int sum = 0;
        for (auto const& address : service_addresses_) {
            auto const answer = client_of(address).Get("/runs");
            sum += answer ? nlohmann::json::parse(answer->body)["runs"].value(order, 0) : 0;
        }
        return sum;
    }

    /// \returns All requests and orders that upstreams received, as text.
    [[nodiscard]] std::string received() const
    {
        std::string all;
        for (auto const* const list : {&engine_addresses_, &service_addresses_}) {
            for (auto const& address : *list) {
                if (auto const answer = client_of(address).Get("/received")) {
                    all += answer->body;
                }
            }
        }
        return all;
    }

    /// \returns Requests that a stand-in engine received for a model.
    [[nodiscard]] std::size_t received_by(std::size_t engine, std::string const& path) const
    {
        auto const answer = client_of(engine_addresses_[engine]).Get("/received");
        std::size_t count = 0;
        for (auto const& request :
             answer ? nlohmann::json::parse(answer->body)["requests"] : nlohmann::json::array()) {
            count += request["path"] == path ? 1 : 0;
        }
        return count;
    }

    /// \brief Marks a VM of the VM list as leaving.
    void mark_leaving(std::string const& name)
    {
        for (auto& vm : vms_) {
            if (vm["name"] == name) {
                vm["leaving"] = true;
            }
        }
        publish_list();
    }

    /// \returns The tables that the fleet starts with, for `POST /admin/v1/tables`.
    [[nodiscard]] nlohmann::json tables(std::uint64_t base_version, std::string const& author) const
    {
        auto const limit = std::to_string(options_.max_replicas_);
        auto const slots = std::to_string(options_.slots_);
        return {
            {"base_version", base_version},
            {"author", author},
            {"message", "test"},
            {"routes",
             "workspaces:\n  - {name: w, rate: " + std::to_string(options_.rate_) +
                 ", burst: " + std::to_string(options_.burst_) +
                 "}\n  - {name: x, rate: 1000, burst: 10000}\nroutes:\n"
                 "  - {name: r, workspaces: [w], model: m, pool: p, deadline_ms: 20000, max_tokens: 4000}\n"
                 "  - {name: cold, workspaces: [w], model: c, pool: p, deadline_ms: 20000, max_tokens: 100}\n"
                 "  - {name: buy, workspaces: [w], path: /orders/, pool: d, repeatable: false, deadline_ms: "
                 "8000}\n"
                 "  - {name: stock, workspaces: [w], path: /stock/, pool: d, deadline_ms: 8000}\n"},
            {"pools", "store: {checkpoint_transfers: 4, adapter_transfers: 32}\npools:\n"
                      "  - name: p\n    kind: model\n    upstreams: [\"engine-*\"]\n    models:\n"
                      "      - {name: m, memory_mb: 1000, min_replicas: " +
                          std::to_string(options_.min_replicas_) + ", max_replicas: " + limit +
                          ", slots: " + slots +
                          ", load_time_ms: 500, idle_unload_ms: 3600000}\n"
                          "      - {name: c, memory_mb: 1000, max_replicas: " +
                          limit + ", slots: " + slots +
                          ", load_time_ms: 500, idle_unload_ms: 3600000}\n"
                          "  - {name: d, kind: service, upstreams: [\"desk-*\"]}\n"}};
    }

    /// \brief Starts a daemon, or starts it again after it ended, at the same addresses.
    void start_daemon(int index)
    {
        auto const number = static_cast<std::size_t>(index);
        auto const vm = "entry-" + std::to_string(index);
        auto const path = folder_ / (vm + ".yaml");
        if (number == daemons_.size()) {
            admin_.push_back("127.0.0.1:" + std::to_string(free_port()));
            auto const callers = "127.0.0.1:" + std::to_string(free_port());
            std::ofstream{path} << "vm: " << vm << "\navailability_zone: occ-a\ncallers: {listen: \""
                                << callers << "\", entry_ttl_ms: 500" << tls_settings()
                                << options_.caller_settings_
                                << "}\npeers: {listen: \"127.0.0.1:" << free_port()
                                << "\"}\nadmin: {listen: \"" << admin_.back() << "\"}\nlog: {address: \""
                                << log_address_ << "\"}\nvm_list: {address: \"" << list_address_
                                << "\"}\nkey_salt: " << fleet_salt << "\noperator_token: " << fleet_token
                                << "\norder_key: fleet-order-key-of-the-tests\n"
                                << "log_level: error\n"
                                << options_.daemon_settings_;
            callers_.push_back(callers);
            daemons_.push_back(nullptr);
        }
        daemons_[number] = std::make_unique<child_process>(
            "auburnchuted", std::vector<std::string>{"--settings", path.string()}, options_.show_errors_);
        (void)daemons_[number]->wait_listening();
    }

private:
    static std::filesystem::path make_folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "auburnchute-test-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error{"no temporary folder"};
        }
        return pattern;
    }

    /// Fields of `callers` in the settings.
    [[nodiscard]] std::string tls_settings() const
    {
        return options_.tls_ ? ", certificate: " + (folder_ / "callers.pem").string() +
                                   ", private_key: " + (folder_ / "callers.key").string()
                             : std::string{};
    }

    static nlohmann::json model_body(std::string const& model, std::string const& prompt, int tokens,
                                     bool stream)
    {
        return {{"model", model},
                {"max_tokens", tokens},
                {"stream", stream},
                {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    }

    static fleet_answer read(httplib::Result const& result)
    {
        return result ? fleet_answer{result->status, result->body, result->headers} : fleet_answer{};
    }

    [[nodiscard]] httplib::Client admin_client(std::size_t daemon) const
    {
        auto client = client_of(admin_[daemon]);
        client.set_bearer_token_auth(fleet_token);
        return client;
    }

    void start_engine(std::size_t index)
    {
        auto const name = "engine-" + std::to_string(index);
        std::vector<std::string> arguments{"--name",          name,
                                           "--vm-instance",   name + "-1",
                                           "--slots",         std::to_string(options_.slots_),
                                           "--token-ms",      std::to_string(options_.token_ms_),
                                           "--load-ms",       std::to_string(options_.load_ms_),
                                           "--report-lag-ms", "50"};
        if (options_.honours_fencing_) {
            arguments.emplace_back("--honours-fencing");
        }
        auto const& never = options_.never_resume_;
        if (options_.resumes_streams_ && std::find(never.begin(), never.end(), index) == never.end()) {
            arguments.emplace_back("--resumes-streams");
        }
        if (index < options_.software_versions_.size() && !options_.software_versions_[index].empty()) {
            arguments.insert(arguments.end(), {"--software-version", options_.software_versions_[index]});
        }
        engines_.push_back(std::make_unique<child_process>("standin-engine", arguments));
        engine_addresses_.push_back(engines_.back()->wait_listening());
        add_vm(name, engine_addresses_.back(), 10'000);
    }

    void add_vm(std::string const& name, std::string const& address, int memory_mb)
    {
        vms_.push_back({{"name", name},
                        {"instance", name + "-1"},
                        {"role", "upstream"},
                        {"address", address},
                        {"availability_zone", "occ-a"},
                        {"memory_mb", memory_mb},
                        {"honours_fencing", options_.honours_fencing_},
                        {"leaving", false}});
    }

    void publish_list()
    {
        client_of(list_address_).Put("/v1/vms", nlohmann::json{{"vms", vms_}}.dump(), "application/json");
    }

    void publish_tables()
    {
        constexpr std::chrono::seconds limit{60};
        nlohmann::json const key{
            {"digest", salted_digest(fleet_salt, fleet_key)}, {"workspace", "w"}, {"name", "k"}};
        bool const up = eventually(limit,
                                   [&] {
                                       auto const answer =
                                           admin_post(0, "/admin/v1/tables", tables(0, "test"));
                                       return answer.status_ == 200 || answer.status_ == 409;
                                   }) &&
                        eventually(limit,
                                   [&] {
                                       auto const answer = admin_post(0, "/admin/v1/keys", key);
                                       return answer.status_ == 200 || answer.status_ == 422;
                                   }) &&
                        eventually(limit, [&] { return settled(); });
        if (!up) {
            throw std::runtime_error{"the fleet did not come up: " + status(0).dump()};
        }
    }

    /// True if all daemons agree on the tables, the key, the members, the shares and the first replicas.
    [[nodiscard]] bool settled() const
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            auto const seen = status(i);
            if (seen.value("tables_version", 0) != 1 || seen["members"].size() != daemons_.size() ||
                seen.value("share_pending", 1) != 0 || seen["upstreams"].size() != vms_.size() ||
                seen["workspaces"].size() != 2 || seen["workspaces"][0]["tokens"] == 0 ||
                seen["log"].value("next_offset", 0) < 4) {
                return false;
            }
            int loaded = 0;
            for (auto const& replica : seen["replicas"]) {
                loaded += replica["status"] == "loaded" ? 1 : 0;
            }
            if (loaded < options_.min_replicas_ || get(i, "/v1/models").json()["data"].size() != 2) {
                return false;
            }
        }
        return true;
    }

    fleet_options options_;
    child_process log_;
    std::string log_address_;
    child_process list_;
    std::string list_address_;
    std::filesystem::path folder_;
    nlohmann::json vms_ = nlohmann::json::array();
    std::vector<std::unique_ptr<child_process>> engines_;
    std::vector<std::string> engine_addresses_;
    std::vector<std::unique_ptr<child_process>> services_;
    std::vector<std::string> service_addresses_;
    std::vector<std::unique_ptr<child_process>> daemons_;
    std::vector<std::string> callers_;
    std::vector<std::string> admin_;
};

} // namespace auburnchute::tests
