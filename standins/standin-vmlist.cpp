#include "standin.hpp"

#include <fstream>

using namespace standins;

namespace {

constexpr char usage[] = R"(Stand-in for the platform's list of VMs.

Usage:
  standin-vmlist [options]

Options:
  --listen IP:PORT   Address to bind; port 0 is picked by the kernel [default: 127.0.0.1:0].
  --vms FILE         JSON file with the list at the start; without it, the list is empty [default: ].
  --lag-ms MS        Time until a change appears [default: 0].
  --help             Show this text.
)";

/// The list and its older versions. Thread safety: all members may be called from any thread.
class vm_history {
public:
    /// The first list is visible at once, whatever the lag.
    explicit vm_history(json vms) : first_(std::move(vms)) {}

    void replace(json vms)
    {
        std::lock_guard const lock{mutex_};
        changes_.push_back({steady_now(), std::move(vms)});
    }

    [[nodiscard]] json visible(millis lag) const
    {
        std::lock_guard const lock{mutex_};
        auto const now = steady_now();
        auto const* chosen = &first_;
        for (auto const& change : changes_) {
            if (change.at_ + lag <= now) {
                chosen = &change.vms_;
            }
        }
        return *chosen;
    }

private:
    struct change_entry {
        millis at_{};
        json vms_;
    };

    mutable std::mutex mutex_;
    json first_;
    std::deque<change_entry> changes_;
};

/// \returns The list with the optional fields filled in. \throws json::exception or std::invalid_argument
/// that names the field at fault.
json checked_vms(json const& body)
{
    json vms = json::array();
    for (auto const& given : body.at("vms")) {
        json vm{{"name", given.at("name").get<std::string>()},
                {"instance", given.at("instance").get<std::string>()},
                {"role", given.at("role").get<std::string>()},
                {"address", given.at("address").get<std::string>()},
                {"availability_zone", given.value("availability_zone", std::string{})},
                {"memory_mb", given.value("memory_mb", std::int64_t{0})},
                {"leaving", given.value("leaving", false)},
                {"honours_fencing", given.value("honours_fencing", false)},
                {"checks_sender", given.value("checks_sender", false)}};
        if (vm["role"] != "upstream" && vm["role"] != "entry") {
            throw std::invalid_argument{"role of VM " + vm["name"].get<std::string>() +
                                        " is neither upstream nor entry"};
        }
        vms.push_back(std::move(vm));
    }
    return vms;
}

int run_vmlist(std::map<std::string, docopt::value> const& arguments)
{
    json vms = json::array();
    if (auto const& path = arguments.at("--vms"); path && !path.asString().empty()) {
        std::ifstream file{path.asString()};
        if (!file) {
            throw std::runtime_error{"cannot read " + path.asString()};
        }
        vms = checked_vms(json::parse(file));
    }
    vm_history history{std::move(vms)};
    auto const default_lag = arguments.at("--lag-ms").asLong();
    fault_set faults{json{{"lag_ms", -1}, {"outage", false}}};

    httplib::Server server;
    faults.serve_on(server);
    server.Get("/v1/vms", [&](httplib::Request const&, httplib::Response& res) {
        if (faults.flag("outage")) {
            return refuse(res, 503, "outage", "the VM list is not available");
        }
        auto const lag = faults.number("lag_ms");
        answer(res, {{"vms", history.visible({lag >= 0 ? lag : default_lag})}});
    });
    server.Put("/v1/vms", [&](httplib::Request const& req, httplib::Response& res) {
        auto const replacement = checked_vms(json::parse(req.body));
        history.replace(replacement);
        answer(res, {{"vms", replacement}});
    });
    return serve(server, arguments.at("--listen").asString(), 128);
}

} // namespace

int main(int argc, char** argv)
{
    return run(usage, argc, argv, run_vmlist);
}
