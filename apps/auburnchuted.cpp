#include "protocol/logging.hpp"
#include "protocol/text_file.hpp"
#include "transport/admin_front.hpp"
#include "transport/http_front.hpp"

#include <auburnchute/error.hpp>

#include <csignal>
#include <docopt/docopt.h>

#include <iostream>
#include <pthread.h>

namespace {

using namespace auburnchute;

constexpr char usage[] =
    R"(auburnchuted: the entry daemon of auburnchute, one for each entry VM.

Usage:
  auburnchuted --settings FILE [--check-settings]
  auburnchuted (-h | --help)
  auburnchuted --version

Options:
  --settings FILE   Settings in YAML; see docs/OPERATING.md.
  --check-settings  Check the settings and exit.
  -h --help         Show this text.
  --version         Show the version.

SIGTERM or SIGINT begins a planned stop: the VM leaves the entry list, running
requests are finished, and the daemon exits. A second signal ends it at once.

Exit codes: 0 ended as planned, 1 failed, 2 the settings have a fault.
)";

/// Connection threads hold little on their stacks; 8 MiB each would count against the VM's address space.
constexpr std::size_t thread_stack_bytes = 512 * 1024;

/// Longest wait for running requests in a planned stop.
constexpr millis drain_limit{120'000};

constexpr millis leave_limit{10'000};

/// Waits for a signal to stop; all threads inherit the blocked mask.
void block_signals(sigset_t& signals)
{
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

/// \returns True if a signal arrived within the time.
bool wait_for_signal(sigset_t const& signals, millis time)
{
    timespec const limit{time.count_ / 1'000, (time.count_ % 1'000) * 1'000'000};
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

void serve(settings const& config, sigset_t const& signals)
{
    auburnchute::clock const clk;
    metrics counters;
    trail_store trails;
    span_sink spans{config.trace_file_};
    fleet_control control{config, clk, counters, trails};
    request_queue queue{control, counters};
    request_services const services{config, control, queue, counters, trails, spans};
    http_front callers{services};
    admin_front operators{services};
    auto const callers_port = callers.start();
    auto const admin_port = operators.start();
    control.start([&queue] { queue.dispatch_all(); }, [&queue] { return queue.demand(); });
    std::cout << "listening " << config.callers_.ip_ << ":" << callers_port << " admin " << config.admin_.ip_
              << ":" << admin_port << std::endl;
    log_change("start", config.vm_,
               "listens for callers at " + config.callers_.ip_ + ":" + std::to_string(callers_port));

    while (!wait_for_signal(signals, {500}) && !control.is_stopping()) {
    }
    control.begin_stop();
    // Callers may keep the entry list that still names this VM for its lifetime.
    bool hurried = wait_for_signal(signals, config.entry_ttl_);
    callers.begin_drain();
    auto const deadline = now(clk) + drain_limit;
    while (!hurried && callers.open_requests() > 0 && now(clk) < deadline) {
        hurried = wait_for_signal(signals, {50});
    }
    callers.stop();
    control.finish_stop(hurried ? millis{1} : leave_limit);
    operators.stop();
    log_change("stop", config.vm_, "ended");
}

} // namespace

int main(int argc, char** argv)
{
    auto const arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "auburnchuted 0.1.0");
    auto const file = arguments.at("--settings").asString();
    settings config;
    try {
        config = parse_settings(file, read_file(file));
    } catch (error const& fault) {
        std::cerr << fault.what() << "\n";
        return 2;
    }
    if (arguments.at("--check-settings").asBool()) {
        std::cout << file << ": no faults\n";
        return 0;
    }
    sigset_t signals;
    block_signals(signals);
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, thread_stack_bytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
    init_logging(config.log_level_);
    try {
        serve(config, signals);
    } catch (std::exception const& fault) {
        log_fault("start", config.vm_, fault.what());
        std::cerr << fault.what() << "\n";
        return 1;
    }
    return 0;
}
