// Measures the entry daemon as a real process against stand-ins: added latency, requests per core, and the
// slopes of control cost over members, upstreams and open streams.
#include "child_process.hpp"

#include <auburnchute/clock.hpp>
#include <auburnchute/ids.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <httplib.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>
#include <thread>

namespace {

using namespace auburnchute;
using measure::child_process;
using steady = std::chrono::steady_clock;

constexpr char key_text[] = "measure-key";
constexpr char salt[] = "measure-salt-measure-salt";
constexpr char token[] = "measure-token-measure-token";

std::string binary(std::string const& name)
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

httplib::Client client_for(std::string const& address)
{
    auto const colon = address.rfind(':');
    httplib::Client client{address.substr(0, colon), std::stoi(address.substr(colon + 1))};
    client.set_read_timeout(std::chrono::seconds{120});
    client.set_tcp_nodelay(true);
    client.set_keep_alive(true);
    return client;
}

/// A port that was free a moment ago; peers need addresses that are known before the start.
int free_port()
{
    int const socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(socket_fd);
    return ntohs(address.sin_port);
}

struct fleet_size {
    int daemons_{1};
    int engines_{1};
    int token_ms_{1};
    int slots_{64};
};

/// A running fleet with one model loaded on every engine.
class fleet {
public:
    explicit fleet(fleet_size size)
        : folder_{std::filesystem::temp_directory_path() /
                  ("auburnchute-measure-" + std::to_string(getpid()))},
          log_{{binary("standin-log")}}, list_{{binary("standin-vmlist")}}
    {
        std::filesystem::create_directories(folder_);
        nlohmann::json vms = nlohmann::json::array();
        for (int i = 0; i < size.engines_; ++i) {
            auto const name = "engine-" + std::to_string(i);
            engines_.emplace_back(std::vector<std::string>{
                binary("standin-engine"), "--name", name, "--vm-instance", name + "-1", "--slots",
                std::to_string(size.slots_), "--token-ms", std::to_string(size.token_ms_), "--load-ms", "50",
                "--honours-fencing"});
            vms.push_back({{"name", name},
                           {"instance", name + "-1"},
                           {"role", "upstream"},
                           {"address", engines_.back().address()},
                           {"availability_zone", "occ-a"},
                           {"memory_mb", 80'000},
                           {"honours_fencing", true}});
        }
        auto list = client_for(list_.address());
        list.Put("/v1/vms", nlohmann::json{{"vms", vms}}.dump(), "application/json");
        for (int i = 0; i < size.daemons_; ++i) {
            start_daemon(i);
        }
        publish(size);
    }

    ~fleet() { std::filesystem::remove_all(folder_); }
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    [[nodiscard]] child_process const& daemon(std::size_t index) const { return daemons_[index]; }
    [[nodiscard]] std::size_t daemons() const { return daemons_.size(); }
    [[nodiscard]] child_process const& engine() const { return engines_.front(); }

    /// Sum of the control bytes that a daemon counted.
    [[nodiscard]] double control_bytes(std::size_t index) const
    {
        auto client = client_for(daemons_[index].address());
        auto const answer = client.Get("/metrics");
        double sum = 0;
        std::istringstream lines{answer ? answer->body : ""};
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("auburnchute_control_bytes_total{")) {
                sum += std::stod(line.substr(line.rfind(' ')));
            }
        }
        return sum;
    }

private:
    void start_daemon(int index)
    {
        auto const vm = "entry-" + std::to_string(index);
        auto const path = folder_ / (vm + ".yaml");
        std::ofstream{path} << "vm: " << vm << "\navailability_zone: occ-a\n"
                            << "callers: {listen: \"127.0.0.1:" << free_port() << "\"}\n"
                            << "peers: {listen: \"127.0.0.1:" << free_port() << "\"}\n"
                            << "admin: {listen: \"127.0.0.1:" << (admin_ports_.emplace_back(free_port()))
                            << "\"}\n"
                            << "log: {address: \"" << log_.address() << "\"}\n"
                            << "vm_list: {address: \"" << list_.address() << "\"}\n"
                            << "key_salt: " << salt << "\noperator_token: " << token
                            << "\norder_key: measure-order-key\n";
        daemons_.emplace_back(std::vector<std::string>{binary("auburnchuted"), "--settings", path.string()});
    }

    void publish(fleet_size size)
    {
        auto admin = client_for("127.0.0.1:" + std::to_string(admin_ports_.front()));
        admin.set_bearer_token_auth(token);
        auto const count = std::to_string(size.engines_);
        nlohmann::json const tables{{"base_version", 0},
                                    {"author", "measure"},
                                    {"message", "measure"},
                                    {"routes", "workspaces: [{name: w, rate: 100000000, burst: 1000000000}]\n"
                                               "routes: [{name: r, workspaces: [w], model: m, pool: p, "
                                               "deadline_ms: 60000, max_tokens: 4096}]\n"},
                                    {"pools", "store: {checkpoint_transfers: 4, adapter_transfers: 32}\n"
                                              "pools: [{name: p, kind: model, upstreams: [\"engine-*\"], "
                                              "models: [{name: m, memory_mb: 1000, min_replicas: " +
                                                  count + ", max_replicas: " + count +
                                                  ", slots: " + std::to_string(size.slots_) +
                                                  ", load_time_ms: 100, idle_unload_ms: 3600000}]}]\n"}};
        retry([&] {
            auto const answer = admin.Post("/admin/v1/tables", tables.dump(), "application/json");
            return answer && (answer->status == 200 || answer->status == 409);
        });
        retry([&] {
            auto const answer = admin.Post(
                "/admin/v1/keys",
                nlohmann::json{{"digest", key_digest(salt, key_text)}, {"workspace", "w"}, {"name", "k"}}
                    .dump(),
                "application/json");
            return answer && (answer->status == 200 || answer->status == 422);
        });
        retry([&] {
            auto const answer = admin.Get("/admin/v1/status");
            if (!answer || answer->status != 200) {
                return false;
            }
            auto const status = nlohmann::json::parse(answer->body);
            auto const loaded =
                std::count_if(status["replicas"].begin(), status["replicas"].end(),
                              [](auto const& replica) { return replica["status"] == "loaded"; });
            bool const shares = status["share_pending"] == 0 && status["workspaces"].size() == 1 &&
                                status["workspaces"][0]["tokens"] > 1'000'000;
            return loaded == size.engines_ &&
                   status["members"].size() == static_cast<std::size_t>(size.daemons_) && shares;
        });
    }

    template <typename F>
    void retry(F&& attempt)
    {
        auto const limit = steady::now() + std::chrono::seconds{90};
        while (!attempt()) {
            if (steady::now() > limit) {
                throw std::runtime_error{"the fleet did not come up within 90 s"};
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
    }

    std::filesystem::path folder_;
    child_process log_;
    child_process list_;
    std::vector<child_process> engines_;
    std::vector<child_process> daemons_;
    std::vector<int> admin_ports_;
};

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

std::string request_body(int tokens)
{
    return nlohmann::json{{"model", "m"},
                          {"max_tokens", tokens},
                          {"stream", true},
                          {"messages", {{{"role", "user"}, {"content", "hello"}}}}}
        .dump();
}

/// Times of whole answers with one token, in milliseconds.
std::vector<double> time_requests(std::string const& address, int count)
{
    auto client = client_for(address);
    client.set_bearer_token_auth(key_text);
    auto const body = request_body(1);
    std::vector<double> times;
    for (int i = 0; i < count; ++i) {
        auto const start = steady::now();
        auto const answer = client.Post("/v1/chat/completions", body, "application/json");
        if (!answer || answer->status != 200) {
            throw std::runtime_error{"a warm request failed" +
                                     (answer ? ": " + answer->body : std::string{})};
        }
        times.push_back(std::chrono::duration<double, std::milli>(steady::now() - start).count());
    }
    return times;
}

void report_latency()
{
    fleet const running{{1, 1, 1, 64}};
    constexpr int requests = 2'000;
    (void)time_requests(running.daemon(0).address(), 50);
    auto const direct = time_requests(running.engine().address(), requests);
    auto const through = time_requests(running.daemon(0).address(), requests);
    std::cout << "## Time added to a warm request\n\n"
              << requests << " requests of one token, one after the other, same client in the same run.\n\n"
              << "| | p50 ms | p99 ms |\n|---|---:|---:|\n"
              << "| straight to the stand-in | " << quantile(direct, 0.5) << " | " << quantile(direct, 0.99)
              << " |\n"
              << "| through the daemon | " << quantile(through, 0.5) << " | " << quantile(through, 0.99)
              << " |\n"
              << "| added | " << quantile(through, 0.5) - quantile(direct, 0.5) << " | "
              << quantile(through, 0.99) - quantile(direct, 0.99) << " |\n\n";
}

void report_throughput()
{
    std::cout << "## Requests for each core\n\nRequests of one token; processor time of the daemon only.\n\n"
              << "| clients at once | requests/s | daemon cores | requests/s for each core "
                 "|\n|---:|---:|---:|---:|\n";
    for (int const clients : {4, 16, 48}) {
        fleet const running{{1, 1, 1, 64}};
        std::atomic<std::int64_t> done{};
        std::atomic<bool> stop{};
        std::vector<std::jthread> threads;
        auto const before = running.daemon(0).usage();
        auto const start = steady::now();
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([&] {
                while (!stop) {
                    done += static_cast<std::int64_t>(time_requests(running.daemon(0).address(), 20).size());
                }
            });
        }
        std::this_thread::sleep_for(std::chrono::seconds{5});
        stop = true;
        threads.clear();
        auto const seconds = std::chrono::duration<double>(steady::now() - start).count();
        auto const cpu = running.daemon(0).usage().cpu_seconds_ - before.cpu_seconds_;
        std::cout << "| " << clients << " | " << static_cast<double>(done) / seconds << " | " << cpu / seconds
                  << " | " << static_cast<double>(done) / cpu << " |\n";
    }
    std::cout << "\n";
}

void report_streams()
{
    std::cout << "## Open streams\n\nEach stream produces a token every 100 ms.\n\n"
              << "| open streams | resident MB | threads | cores |\n|---:|---:|---:|---:|\n";
    for (int const streams : {0, 50, 100, 200, 400}) {
        fleet const running{{1, 1, 100, 1'000}};
        std::vector<std::jthread> threads;
        std::atomic<int> open{};
        std::atomic<bool> stop{};
        for (int i = 0; i < streams; ++i) {
            threads.emplace_back([&] {
                auto client = client_for(running.daemon(0).address());
                client.set_bearer_token_auth(key_text);
                httplib::Request request;
                request.method = "POST";
                request.path = "/v1/chat/completions";
                request.body = request_body(4'000);
                request.headers.emplace("Content-Type", "application/json");
                request.headers.emplace("Authorization", std::string{"Bearer "} + key_text);
                bool counted = false;
                request.content_receiver = [&](char const*, std::size_t, std::uint64_t, std::uint64_t) {
                    open += counted ? 0 : 1;
                    counted = true;
                    return !stop;
                };
                httplib::Response response;
                httplib::Error fault{};
                client.send(request, response, fault);
            });
        }
        auto const limit = steady::now() + std::chrono::seconds{60};
        while (open < streams && steady::now() < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        auto const before = running.daemon(0).usage();
        std::this_thread::sleep_for(std::chrono::seconds{4});
        auto const after = running.daemon(0).usage();
        std::cout << "| " << open << " | " << static_cast<double>(after.resident_kb_) / 1'024 << " | "
                  << after.threads_ << " | " << (after.cpu_seconds_ - before.cpu_seconds_) / 4 << " |\n";
        stop = true;
    }
    std::cout << "\n";
}

void report_control(std::string const& title, std::vector<fleet_size> const& sizes)
{
    std::cout << "## " << title << "\n\nNo requests; mean over the daemons during 10 s.\n\n"
              << "| daemons | upstreams | % of a core | resident MB | threads | control bytes/s "
                 "|\n|---:|---:|---:|---:|---:|---:|\n";
    for (auto const& size : sizes) {
        fleet const running{size};
        constexpr int seconds = 10;
        double cpu = 0;
        double bytes = 0;
        double memory = 0;
        double threads = 0;
        std::vector<double> bytes_before;
        std::vector<double> cpu_before;
        for (std::size_t i = 0; i < running.daemons(); ++i) {
            bytes_before.push_back(running.control_bytes(i));
            cpu_before.push_back(running.daemon(i).usage().cpu_seconds_);
        }
        std::this_thread::sleep_for(std::chrono::seconds{seconds});
        for (std::size_t i = 0; i < running.daemons(); ++i) {
            auto const usage = running.daemon(i).usage();
            cpu += (usage.cpu_seconds_ - cpu_before[i]) / seconds * 100;
            bytes += (running.control_bytes(i) - bytes_before[i]) / seconds;
            memory += static_cast<double>(usage.resident_kb_) / 1'024;
            threads += static_cast<double>(usage.threads_);
        }
        auto const count = static_cast<double>(running.daemons());
        std::cout << "| " << size.daemons_ << " | " << size.engines_ << " | " << cpu / count << " | "
                  << memory / count << " | " << threads / count << " | " << bytes / count << " |\n";
    }
    std::cout << "\n";
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(2)
              << "# The daemon as a process\n\nCommand: `build/measure_daemon`, on one machine with "
              << std::thread::hardware_concurrency() << " cores, all processes on loopback.\n\n";
    report_latency();
    report_throughput();
    report_streams();
    report_control("Control cost over members", {{1, 3, 20, 8}, {3, 3, 20, 8}, {6, 3, 20, 8}, {9, 3, 20, 8}});
    report_control("Control cost over upstreams", {{3, 3, 20, 8}, {3, 12, 20, 8}, {3, 24, 20, 8}});
    return 0;
}
