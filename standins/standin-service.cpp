#include "standin.hpp"

#include <atomic>

using namespace standins;

namespace {

constexpr char usage[] = R"(Stand-in for a plain service: an order desk, a shopfront or a checkout.

Usage:
  standin-service [options]

Options:
  --listen IP:PORT     Address to bind; port 0 is picked by the kernel [default: 127.0.0.1:0].
  --name NAME          Name shown in answers [default: service].
  --vm-instance ID     Instance of the VM [default: service-1].
  --work-ms MS         Time that each call takes [default: 5].
  --help               Show this text.
)";

/// Runs by order. Thread safety: all members may be called from any thread.
class run_counts {
public:
    /// \returns How often the order ran, this run included.
    std::int64_t add(std::string const& order)
    {
        std::lock_guard const lock{mutex_};
        return ++runs_[order];
    }

    [[nodiscard]] json all() const
    {
        std::lock_guard const lock{mutex_};
        return runs_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::int64_t> runs_;
};

/// Counts a call while it runs.
class running_guard {
public:
    explicit running_guard(std::atomic<std::int64_t>& running) : running_{running} { ++running_; }
    running_guard(running_guard const&) = delete;
    running_guard& operator=(running_guard const&) = delete;
    ~running_guard() { --running_; }

private:
    std::atomic<std::int64_t>& running_;
};

/// \returns The `order` field of a JSON body, or an empty text.
std::string order_of(httplib::Request const& req)
{
    auto const body = json::parse(req.body, nullptr, false);
    if (!body.is_object() || !body.contains("order")) {
        return {};
    }
    auto const& order = body["order"];
    return order.is_string() ? order.get<std::string>() : order.dump();
}

int run_service(std::map<std::string, docopt::value> const& arguments)
{
    auto const name = arguments.at("--name").asString();
    auto const vm_instance = arguments.at("--vm-instance").asString();
    auto const work_ms = arguments.at("--work-ms").asLong();
    fault_set faults{json{{"delay_ms", 0},
                          {"cut_before_answer", false},
                          {"crash_on", ""},
                          {"nonsense", false},
                          {"leaving", false}}};
    received_requests received;
    run_counts runs;
    std::atomic<std::int64_t> running{0};

    httplib::Server server;
    server.set_payload_max_length(16 << 20);
    faults.serve_on(server);
    received.serve_on(server);
    server.Get("/runs", [&](httplib::Request const&, httplib::Response& res) {
        answer(res, {{"runs", runs.all()}});
    });
    server.Get("/report", [&](httplib::Request const&, httplib::Response& res) {
        answer(res, {{"vm_instance", vm_instance},
                     {"taken_ms_ago", 0},
                     {"running", running.load()},
                     {"waiting", 0},
                     {"leaving", faults.flag("leaving")}});
    });
    httplib::Server::Handler const call = [&](httplib::Request const& req, httplib::Response& res) {
        running_guard const guard{running};
        received.note(req);
        if (req.has_header("X-Request-Id")) {
            res.set_header("X-Request-Id", req.get_header_value("X-Request-Id"));
        }
        if (auto const text = faults.text("crash_on");
            !text.empty() && (req.body + req.path).find(text) != std::string::npos) {
            std::_Exit(70);
        }
        json body{{"service", name}, {"method", req.method}, {"path", req.path}};
        if (auto const order = order_of(req); req.method == "POST" && !order.empty()) {
            body["order"] = order;
            body["run"] = runs.add(order);
        } else if (req.path.starts_with("/stock/")) {
            body["in_stock"] = 40 + static_cast<int>(req.path.size()) % 10;
        }
        std::this_thread::sleep_for(to_duration({work_ms + faults.number("delay_ms")}));
        if (faults.flag("cut_before_answer")) {
            return drop_connection(req);
        }
        if (faults.flag("nonsense")) {
            return res.set_content("{\"order\": <", "application/json");
        }
        answer(res, body);
    };
    server.Get(".*", call);
    server.Post(".*", call);
    server.Put(".*", call);
    server.Patch(".*", call);
    server.Delete(".*", call);
    server.Options(".*", call);
    return serve(server, arguments.at("--listen").asString(), 256);
}

} // namespace

int main(int argc, char** argv)
{
    return run(usage, argc, argv, run_service);
}
