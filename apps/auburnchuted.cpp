#include "protocol/crash_report.hpp"
#include "protocol/logging.hpp"
#include "protocol/text_file.hpp"
#include "transport/admin_front.hpp"
#include "transport/http_front.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <malloc.h>
#include <mutex>
#include <pthread.h>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

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
requests are finished, and the daemon exits, within `stop_grace_ms` of the
settings. A second signal gives up the running requests. SIGHUP changes nothing.

Exit codes: 0 ended as planned, 1 failed, 2 the settings have a fault.
)";

/// Connection threads hold little on their stacks; 8 MiB each would count against the VM's address space.
constexpr std::size_t thread_stack_bytes = 512 * 1024;

/// Larger blocks are mapped on their own. The C library's first value; it would grow with the blocks.
constexpr int largest_pooled_bytes = 128 * 1024;

/// Pools of memory that threads share, as each keeps what its threads freed.
constexpr int max_pools = 4;

/// Longest time for the fleet to take over this VM's share, after the last answer.
constexpr millis leave_limit{10'000};

/// Largest part of the grace time for this.
constexpr std::int64_t leave_parts = 6;

/// Part of the time after the last answers for connections that have begun when no more may begin: 125 ms at
/// most.
constexpr std::int64_t last_parts = 4;

/// Pause between two looks at what is still open.
constexpr millis look_pause{10};

/// A thread that wakes up later than this was paused with its process.
constexpr millis usual_lag{100};

/// Keeps the signals for `wait_for_stop`; all threads inherit the blocked mask.
void block_signals(sigset_t& signals)
{
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

/// \returns True if a signal to stop arrived within the time.
bool wait_for_stop(sigset_t const& signals, millis time)
{
    timespec const limit{time.count_ / 1'000, (time.count_ % 1'000) * 1'000'000};
    auto const signal = sigtimedwait(&signals, nullptr, &limit);
    if (signal == SIGHUP) {
        log_change("reload", {}, "SIGHUP changes nothing: settings are read at the start only");
    }
    return signal > 0 && signal != SIGHUP;
}

/// Ends the process at the end of the grace time, whatever it waits for. One that was paused across that end
/// has the time of the last answers and the exit all the same.
class exit_watch {
public:
    exit_watch(auburnchute::clock const& clk, millis ends_at, millis last_phases, std::string vm)
        : thread_{[this, &clk, ends_at, last_phases, vm = std::move(vm)](std::stop_token const& stop) {
              std::unique_lock lock{mutex_};
              auto end = ends_at;
              while (!stop.stop_requested() && now(clk) < end) {
                  wake_.wait_for(lock, stop, std::chrono::milliseconds{(end - now(clk)).count_},
                                 [] { return false; });
                  bool const was_paused = now(clk) - end > usual_lag;
                  if (was_paused && end == ends_at) {
                      end = now(clk) + last_phases;
                  }
              }
              if (!stop.stop_requested()) {
                  log_fault("stop", vm,
                            std::string{"did not end within the grace time; waited for "} +
                                waits_for_.load());
                  std::_Exit(1);
              }
          }}
    {
    }

    /// \brief Sets what the stop waits for from here on, as the log shows it. \param what A string literal.
    void waits_for(char const* what) noexcept { waits_for_.store(what); }

private:
    std::atomic<char const*> waits_for_{"callers"};
    std::mutex mutex_;
    std::condition_variable_any wake_;
    std::jthread thread_;
};

/// Gives callers their last answers. Returns true if a second signal has come.
bool end_requests(http_front& callers, request_queue& queue, stop_gate& stop, auburnchute::clock const& clk,
                  shutdown_plan const& plan, sigset_t const& signals)
{
    bool hurried = false;
    while (!hurried && now(clk) < plan.answers_until_ &&
           (now(clk) < plan.quiet_from_ || callers.open_requests() > 0)) {
        hurried = wait_for_stop(signals, look_pause);
    }
    auto const closing = stop.close();
    queue.refuse_waiting();
    // Kept connections may bring a request until half of the time is over, and have its other half for the
    // answer.
    auto const closing_time = closing.ends_at_ - closing.answers_until_;
    auto const idle_until = closing.answers_until_ + closing_time / 2;
    auto const begins_until = closing.ends_at_ - closing_time / last_parts;
    for (bool ended = false; now(clk) < begins_until && callers.has_connections();) {
        if (!ended && now(clk) >= idle_until) {
            callers.end_idle();
            ended = true;
        }
        hurried = wait_for_stop(signals, look_pause) || hurried;
    }
    callers.end_idle();
    // A paused process has this time too.
    auto const last_until = std::max(closing.ends_at_, now(clk) + closing_time / last_parts);
    callers.take_last((last_until - now(clk)) / 2);
    while (now(clk) < last_until && callers.has_connections()) {
        hurried = wait_for_stop(signals, look_pause) || hurried;
    }
    stop.log_unanswered();
    callers.cut();
    callers.stop();
    return hurried;
}

/// \returns Bytes that the process may take: as stated, or what its machine has.
std::size_t memory_of(settings const& config)
{
    constexpr std::size_t megabyte = std::size_t{1024} * 1024;
    if (config.memory_mb_ > 0) {
        return static_cast<std::size_t>(config.memory_mb_) * megabyte;
    }
    auto const machine =
        static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    std::size_t group = 0; // stays 0 where the file is missing or says `max`
    std::ifstream{"/sys/fs/cgroup/memory.max"} >> group;
    return group > 0 ? std::min(group, machine) : machine;
}

/// Serves until a planned stop has ended.
[[noreturn]] void serve(settings const& config, sigset_t const& signals)
{
    auburnchute::clock const clk;
    metrics counters;
    trail_store trails;
    span_sink spans{config.trace_file_};
    fleet_control control{config, clk, counters, trails};
    stop_gate stop{clk};
    request_queue queue{control, counters, stop};
    memory_budget memory{divide_memory(memory_of(config))};
    request_services const services{config, control, queue, counters, trails, spans, stop, memory};
    http_front callers{services};
    admin_front operators{services};
    auto const callers_port = callers.start();
    auto const admin_port = operators.start();
    control.start([&queue] { queue.dispatch_all(); }, [&queue] { return queue.demand(); });
    std::cout << "listening " << config.callers_.ip_ << ":" << callers_port << " admin " << config.admin_.ip_
              << ":" << admin_port << std::endl;
    log_change("start", config.vm_,
               "listens for callers at " + config.callers_.ip_ + ":" + std::to_string(callers_port));

    while (!wait_for_stop(signals, {500}) && !control.is_stopping()) {
    }
    auto const began = now(clk);
    auto const whole = plan_shutdown(began, config.stop_grace_, config.entry_ttl_);
    auto const leave_time = std::min(leave_limit, config.stop_grace_ / leave_parts);
    auto const plan = plan_shutdown(began, config.stop_grace_ - leave_time, config.entry_ttl_);
    exit_watch watch{clk, whole.ends_at_, whole.ends_at_ - plan.answers_until_, config.vm_};
    // Callers may keep the entry list that still names this VM for its lifetime.
    stop.begin(plan, began + config.entry_ttl_);
    queue.refuse_waiting();
    control.begin_stop();
    bool const hurried = end_requests(callers, queue, stop, clk, plan, signals);
    watch.waits_for("the end of the membership");
    auto const left = std::max(millis{1}, whole.answers_until_ - now(clk));
    control.end_membership(hurried ? millis{1} : std::min(leave_limit, left));
    watch.waits_for("operators");
    operators.stop();
    watch.waits_for("the file of traces");
    spans.close();
    log_change("stop", config.vm_, "ended");
    // Threads may still wait for the log, an upstream or a peer for longer than the grace time.
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGHUP, SIG_IGN); // until it is blocked; its default action would end the process
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
    // Freed bodies go back to the kernel, where the library would keep them in the pools of all threads.
    mallopt(M_MMAP_THRESHOLD, largest_pooled_bytes);
    mallopt(M_ARENA_MAX, max_pools);
    sigset_t signals;
    block_signals(signals);
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, thread_stack_bytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
    init_logging(config.log_level_);
    init_crash_report(STDERR_FILENO, [](std::string_view what) { log_fault("terminated", {}, what); });
    crash_stack const own_stack;
    try {
        serve(config, signals);
    } catch (std::exception const& fault) {
        log_fault("start", config.vm_, fault.what());
        std::cerr << fault.what() << "\n";
        return 1;
    }
}
