// Measures the entry daemon as a real process against stand-ins: added latency, requests per core, and the
// slopes of control cost over members, upstreams and open streams.
#include "transport/fleet.hpp"

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

using namespace auburnchute::tests;
using steady = std::chrono::steady_clock;

/// What the kernel counted for a process.
struct process_usage {
    double cpu_seconds_{};
    std::int64_t resident_kb_{};
    std::int64_t threads_{};
};

process_usage usage_of(pid_t pid)
{
    process_usage result;
    auto const folder = "/proc/" + std::to_string(pid);
    std::ifstream stat{folder + "/stat"};
    std::string text;
    std::getline(stat, text);
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string field;
    for (int i = 3; i <= 15 && fields >> field; ++i) {
        if (i == 14 || i == 15) {
            result.cpu_seconds_ += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        }
    }
    std::ifstream status{folder + "/status"};
    while (std::getline(status, text)) {
        if (text.starts_with("VmRSS:")) {
            result.resident_kb_ = std::stoll(text.substr(6));
        } else if (text.starts_with("Threads:")) {
            result.threads_ = std::stoll(text.substr(8));
        }
    }
    return result;
}

/// Sum of the control bytes that a daemon counted.
double control_bytes(fleet const& running, std::size_t index)
{
    auto const answer = client_of(running.daemon_address(index)).Get("/metrics");
    double sum = 0;
    std::istringstream lines{answer ? answer->body : ""};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("auburnchute_control_bytes_total{")) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

/// A fleet whose engines all hold the model.
fleet_options make_options(int daemons, int engines, int token_ms, int slots)
{
    fleet_options options;
    options.daemons_ = daemons;
    options.engines_ = engines;
    options.services_ = 0;
    options.slots_ = slots;
    options.token_ms_ = token_ms;
    options.load_ms_ = 50;
    options.min_replicas_ = engines;
    options.max_replicas_ = engines;
    return options;
}

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
    auto client = client_of(address);
    client.set_bearer_token_auth(fleet_key);
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
    fleet running{make_options(1, 1, 1, 64)};
    constexpr int requests = 2'000;
    (void)time_requests(running.daemon_address(0), 50);
    auto const direct = time_requests(running.engine_address(0), requests);
    auto const through = time_requests(running.daemon_address(0), requests);
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
        fleet running{make_options(1, 1, 1, 64)};
        std::atomic<std::int64_t> done{};
        std::atomic<bool> stop{};
        std::vector<std::jthread> threads;
        auto const before = usage_of(running.daemon(0).pid());
        auto const start = steady::now();
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([&] {
                while (!stop) {
                    done += static_cast<std::int64_t>(time_requests(running.daemon_address(0), 20).size());
                }
            });
        }
        std::this_thread::sleep_for(std::chrono::seconds{5});
        stop = true;
        threads.clear();
        auto const seconds = std::chrono::duration<double>(steady::now() - start).count();
        auto const cpu = usage_of(running.daemon(0).pid()).cpu_seconds_ - before.cpu_seconds_;
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
        fleet running{make_options(1, 1, 100, 1'000)};
        std::vector<std::jthread> threads;
        std::atomic<int> open{};
        std::atomic<bool> stop{};
        for (int i = 0; i < streams; ++i) {
            threads.emplace_back([&] {
                auto client = client_of(running.daemon_address(0));
                client.set_bearer_token_auth(fleet_key);
                httplib::Request request;
                request.method = "POST";
                request.path = "/v1/chat/completions";
                request.body = request_body(4'000);
                request.headers.emplace("Content-Type", "application/json");
                request.headers.emplace("Authorization", std::string{"Bearer "} + fleet_key);
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
        auto const before = usage_of(running.daemon(0).pid());
        std::this_thread::sleep_for(std::chrono::seconds{4});
        auto const after = usage_of(running.daemon(0).pid());
        std::cout << "| " << open << " | " << static_cast<double>(after.resident_kb_) / 1'024 << " | "
                  << after.threads_ << " | " << (after.cpu_seconds_ - before.cpu_seconds_) / 4 << " |\n";
        stop = true;
    }
    std::cout << "\n";
}

void report_control(std::string const& title, std::vector<std::pair<int, int>> const& sizes)
{
    std::cout << "## " << title << "\n\nNo requests; mean over the daemons during 10 s.\n\n"
              << "| daemons | upstreams | % of a core | resident MB | threads | control bytes/s "
                 "|\n|---:|---:|---:|---:|---:|---:|\n";
    for (auto const& [daemons, engines] : sizes) {
        fleet running{make_options(daemons, engines, 20, 8)};
        constexpr int seconds = 10;
        double cpu = 0;
        double bytes = 0;
        double memory = 0;
        double threads = 0;
        std::vector<double> bytes_before;
        std::vector<double> cpu_before;
        for (std::size_t i = 0; i < running.daemons(); ++i) {
            bytes_before.push_back(control_bytes(running, i));
            cpu_before.push_back(usage_of(running.daemon(i).pid()).cpu_seconds_);
        }
        std::this_thread::sleep_for(std::chrono::seconds{seconds});
        for (std::size_t i = 0; i < running.daemons(); ++i) {
            auto const usage = usage_of(running.daemon(i).pid());
            cpu += (usage.cpu_seconds_ - cpu_before[i]) / seconds * 100;
            bytes += (control_bytes(running, i) - bytes_before[i]) / seconds;
            memory += static_cast<double>(usage.resident_kb_) / 1'024;
            threads += static_cast<double>(usage.threads_);
        }
        auto const count = static_cast<double>(running.daemons());
        std::cout << "| " << daemons << " | " << engines << " | " << cpu / count << " | " << memory / count
                  << " | " << threads / count << " | " << bytes / count << " |\n";
    }
    std::cout << "\n";
}

} // namespace

/// `measure_daemon control` measures the cost of control alone.
int main(int argc, char** argv)
{
    bool const all = argc < 2 || std::string_view{argv[1]} != "control";
    std::cout << std::fixed << std::setprecision(2)
              << "# The daemon as a process\n\nCommand: `build/measure_daemon`, on one machine with "
              << std::thread::hardware_concurrency() << " cores, all processes on loopback.\n\n";
    if (all) {
        report_latency();
        report_throughput();
        report_streams();
    }
    report_control("Control cost over members", {{1, 3}, {3, 3}, {6, 3}, {9, 3}});
    report_control("Control cost over upstreams", {{3, 3}, {3, 12}, {3, 24}});
    return 0;
}
