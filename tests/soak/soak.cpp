// A randomized soak: real entry daemons as processes, faults from outside, promises checked while it runs.

#include "soak/fault_driver.hpp"
#include "soak/soak_callers.hpp"

#include <docopt/docopt.h>

using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

constexpr char const* usage = R"(Soak of the entry daemon.

Usage:
  soak [--seed N] [--seeds N] [--planned N] [--seconds N] [--grace N] [--vms N] [--engines N] [--callers N] [--trace] [--logs DIR]
  soak --help

Options:
  --seed N     First seed [default: 1].
  --seeds N    Seeds to run, one after another [default: 1].
  --planned N  Seconds with planned work only, before the faults [default: 10].
  --seconds N  Time with faults for each seed, after half as long with releases and lost VMs only; some seconds
               before and after are calm [default: 20].
  --grace N    Seconds from SIGTERM to SIGKILL; 0: picked by the seed [default: 0].
  --vms N      Entry daemons [default: 4].
  --engines N  Upstreams that hold models [default: 2].
  --callers N  Callers at the same time, beside as many that take streams up again [default: 24].
  --trace      Prints each fault when it begins and ends, in milliseconds since 1970.
  --logs DIR   Appends the daemons' output to files there.
)";

/// Calm time before the first fault: all daemons are ready and a model is loaded.
constexpr auto start_limit = 20s;

/// Time after the last fault within which requests are served again; the platform's sheets say 12 s.
constexpr auto recovery_limit = 12s;

/// What the command line says of each seed's run.
struct run_options {
    std::chrono::seconds planned_;
    std::chrono::seconds time_;
    std::chrono::seconds grace_;
    int vms_{};
    int engines_{};
    int callers_{};
    bool trace_{};
    std::string logs_;
};

/// \returns What broke a promise.
std::vector<std::string> run_seed(std::uint64_t seed, run_options const& options)
{
    constexpr std::array graces{2s, 3s, 5s};
    oracle checks{options.grace_ > 0s ? options.grace_ : graces[seed % graces.size()]};
    soak_world world{checks, options.vms_, options.engines_, seed};
    caller_world shared{world, checks, seed};
    if (served_everywhere(shared, start_limit)) {
        std::vector<std::thread> threads;
        for (int i = 0; i < options.callers_; ++i) {
            threads.emplace_back([&shared, i] { run_caller(shared, i); });
        }
        for (int i = 0; i < options.callers_; ++i) {
            threads.emplace_back([&shared, i] { run_stream_caller(shared, i); });
        }
        fault_driver driver{world, checks, seed, options.trace_, options.logs_};
        driver.run_planned(options.planned_);
        driver.run_releases(options.time_ / 2);
        driver.run_all(options.time_);
        (void)served_everywhere(shared, recovery_limit);
        shared.ended_ = true;
        for (auto& thread : threads) {
            thread.join();
        }
    }
    auto const failures = checks.finish();
    std::cout << "seed " << seed << ": " << (failures.empty() ? "kept" : "BROKEN") << ", " << checks.summary()
              << std::endl;
    return failures;
}

} // namespace

int main(int argc, char** argv)
{
    auto const arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    std::signal(SIGPIPE, SIG_IGN);
    auto const number = [&](char const* name) { return arguments.at(name).asLong(); };
    auto const& logs = arguments.at("--logs");
    run_options const options{
        std::chrono::seconds{number("--planned")}, std::chrono::seconds{number("--seconds")},
        std::chrono::seconds{number("--grace")},   static_cast<int>(number("--vms")),
        static_cast<int>(number("--engines")),     static_cast<int>(number("--callers")),
        arguments.at("--trace").asBool(),          logs.isString() ? logs.asString() : std::string{}};
    int broken = 0;
    for (long i = 0; i < number("--seeds"); ++i) {
        auto const failures = run_seed(static_cast<std::uint64_t>(number("--seed") + i), options);
        for (auto const& failure : failures) {
            std::cout << "  " << failure << std::endl;
        }
        broken += failures.empty() ? 0 : 1;
    }
    return broken == 0 ? 0 : 1;
}
