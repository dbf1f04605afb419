#include "protocol/crash_report.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace auburnchute {

namespace {

/// Room for the unwinder, which reads tables of the modules.
constexpr std::size_t stack_bytes = std::size_t{64} * 1024;

constexpr int max_frames = 40;
constexpr std::size_t max_modules = 64;

/// Longest wait for room in the pipe that takes the log.
constexpr int pipe_wait_ms = 200;

constexpr std::array signals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

/// A loaded file, as of the start.
struct module_range {
    std::uintptr_t base_{};
    std::uintptr_t end_{};
    std::array<char, 48> name_{};
};

std::array<module_range, max_modules> modules{};
std::size_t module_count = 0;

int log_descriptor = STDERR_FILENO;
void (*log_uncaught)(std::string_view what) = nullptr;

/// A line in memory of its own: a handler may neither allocate nor take locks.
class fixed_line {
public:
    fixed_line& text(std::string_view more) noexcept
    {
        for (char const c : more) {
            if (size_ < bytes_.size()) {
                bytes_[size_++] = c;
            }
        }
        return *this;
    }

    fixed_line& number(std::uint64_t value, unsigned base = 10, int least_digits = 1) noexcept
    {
        std::array<char, 20> digits{};
        int count = 0;
        for (; value > 0 || count < least_digits; value /= base) {
            digits[static_cast<std::size_t>(count++)] = "0123456789abcdef"[value % base];
        }
        while (count > 0) {
            text({&digits[static_cast<std::size_t>(--count)], 1});
        }
        return *this;
    }

    fixed_line& address(std::uintptr_t value) noexcept { return text("0x").number(value, 16); }

    /// Writes the line to the log's pipe, or to standard error.
    void write_out() noexcept
    {
        text("\"}\n");
        for (int const target : {log_descriptor, STDERR_FILENO}) {
            pollfd room{target, POLLOUT, 0};
            bool const open = ::poll(&room, 1, pipe_wait_ms) > 0 && (room.revents & POLLOUT) != 0;
            if (open && ::write(target, bytes_.data(), size_) == static_cast<ssize_t>(size_)) {
                return;
            }
        }
    }

private:
    std::array<char, 2'048> bytes_{};
    std::size_t size_{};
};

std::string_view name_of(int signal) noexcept
{
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

void append_time(fixed_line& line) noexcept
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    using namespace std::chrono;
    auto const since = seconds{now.tv_sec};
    auto const day = floor<days>(sys_seconds{since});
    year_month_day const date{day};
    hh_mm_ss const time{sys_seconds{since} - day};
    line.number(static_cast<std::uint64_t>(static_cast<int>(date.year())), 10, 4).text("-");
    line.number(static_cast<unsigned>(date.month()), 10, 2).text("-");
    line.number(static_cast<unsigned>(date.day()), 10, 2).text("T");
    line.number(static_cast<std::uint64_t>(time.hours().count()), 10, 2).text(":");
    line.number(static_cast<std::uint64_t>(time.minutes().count()), 10, 2).text(":");
    line.number(static_cast<std::uint64_t>(time.seconds().count()), 10, 2).text(".");
    line.number(static_cast<std::uint64_t>(now.tv_nsec / 1'000'000), 10, 3).text("Z");
}

fixed_line begin_line(std::string_view event) noexcept
{
    fixed_line line;
    line.text("{\"time\":\"");
    append_time(line);
    return line.text("\",\"event\":\"").text(event).text("\",");
}

void append_place(fixed_line& line, std::uintptr_t place) noexcept
{
    for (std::size_t i = 0; i < module_count; ++i) {
        auto const& known = modules[i];
        if (place >= known.base_ && place < known.end_) {
            line.text(known.name_.data()).text("+").address(place - known.base_);
            return;
        }
    }
    line.address(place);
}

void report(int signal, siginfo_t* info, void* /*context*/)
{
    // The handler was reset, so a fault in it ends the process. What is certain comes first.
    auto line = begin_line("crashed");
    line.text("\"signal\":\"").text(name_of(signal)).text("\",\"code\":");
    line.text(info->si_code < 0 ? "-" : "").number(static_cast<std::uint64_t>(std::abs(info->si_code)));
    line.text(",\"address\":\"").address(reinterpret_cast<std::uintptr_t>(info->si_addr));
    line.write_out();
    std::array<void*, max_frames> frames{};
    auto const count = ::backtrace(frames.data(), max_frames);
    auto stack = begin_line("crash-stack");
    stack.text("\"frames\":\"");
    for (int i = 0; i < count; ++i) {
        stack.text(i == 0 ? "" : " ");
        append_place(stack, reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]));
    }
    stack.write_out();
    ::raise(signal); // ends the process once this handler has returned
}

int note_module(dl_phdr_info* info, std::size_t /*size*/, void* /*data*/)
{
    if (module_count == max_modules) {
        return 1;
    }
    std::uintptr_t end = info->dlpi_addr;
    for (int i = 0; i < info->dlpi_phnum; ++i) {
        auto const& header = info->dlpi_phdr[i];
        if (header.p_type == PT_LOAD) {
            end = std::max<std::uintptr_t>(end, info->dlpi_addr + header.p_vaddr + header.p_memsz);
        }
    }
    auto& made = modules[module_count++];
    made.base_ = info->dlpi_addr;
    made.end_ = end;
    std::string_view name{info->dlpi_name};
    name = name.empty() ? "program" : name.substr(name.rfind('/') + 1);
    name.copy(made.name_.data(), made.name_.size() - 1);
    return 0;
}

[[noreturn]] void report_exception()
{
    try {
        if (auto const failure = std::current_exception()) {
            std::rethrow_exception(failure);
        }
        log_uncaught("terminated without an exception");
    } catch (std::exception const& failure) {
        log_uncaught(failure.what());
    } catch (...) {
        log_uncaught("an exception of an unknown type");
    }
    std::abort();
}

constexpr bool has_sanitizer =
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    true;
#else
    false;
#endif

} // namespace

void init_crash_report(int descriptor, void (*log_exception)(std::string_view what))
{
    log_descriptor = descriptor;
    log_uncaught = log_exception;
    if (has_sanitizer) {
        return;
    }
    std::array<void*, 1> first{};
    (void)::backtrace(first.data(), 1); // loads the unwinder, which a handler must not do
    ::dl_iterate_phdr(note_module, nullptr);
    std::set_terminate(report_exception);
    struct sigaction action = {};
    action.sa_sigaction = report;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    ::sigemptyset(&action.sa_mask);
    for (int const signal : signals) {
        if (::sigaction(signal, &action, nullptr) != 0) {
            log_exception("a signal's handler cannot be installed");
        }
    }
}

crash_stack::crash_stack() : memory_{std::make_unique<char[]>(stack_bytes)}
{
    stack_t own{};
    own.ss_sp = memory_.get();
    own.ss_size = stack_bytes;
    (void)::sigaltstack(&own, nullptr); // without it, only an overflow of the stack goes unreported
}

crash_stack::~crash_stack()
{
    stack_t none{};
    none.ss_flags = SS_DISABLE;
    (void)::sigaltstack(&none, nullptr); // fails only while a handler runs on it
}

} // namespace auburnchute
