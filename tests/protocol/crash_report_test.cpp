#include "protocol/crash_report.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace auburnchute;

namespace {

/// Writes to an address that is not mapped.
void touch_nothing()
{
    auto* volatile nowhere = reinterpret_cast<int volatile*>(std::uintptr_t{16});
    *nowhere = 1;
}

/// \returns Something, so that no call is left out.
int overflow_stack(int depth)
{
    std::array<char volatile, 1'024> room{};
    room[0] = static_cast<char>(depth);
    return overflow_stack(depth + 1) + room[0];
}

void end_in_thread()
{
    std::thread{[] {
        crash_stack const own_stack;
        (void)overflow_stack(0);
    }}.join();
}

void throw_uncaught()
{
    []() noexcept { throw std::runtime_error{"the reason"}; }();
}

/// What a process wrote until a signal ended it.
struct ended_process {
    std::string output_;
    int signal_{};
};

/// Runs something in a process that reports crashes. \param full The log's pipe takes nothing more.
ended_process run_reporting(void (*end)(), bool full)
{
    std::array<int, 2> log{};
    std::array<int, 2> errors{};
    REQUIRE(::pipe(log.data()) == 0);
    REQUIRE(::pipe(errors.data()) == 0);
    auto const child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(errors[1], STDERR_FILENO);
        if (full) {
            ::close(log[0]); // nobody reads
            std::signal(SIGPIPE, SIG_IGN);
        }
        init_crash_report(log[1], [](std::string_view what) { std::cerr << what << std::endl; });
        crash_stack const own_stack;
        end();
        std::_Exit(0);
    }
    ::close(log[1]);
    ::close(errors[1]);
    ended_process ended;
    for (int const source : {log[0], errors[0]}) {
        std::array<char, 4'096> bytes{};
        for (ssize_t got = 0; (got = ::read(source, bytes.data(), bytes.size())) > 0;) {
            ended.output_.append(bytes.data(), static_cast<std::size_t>(got));
        }
        ::close(source);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    ended.signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return ended;
}

} // namespace

// Guards against a process that ends by itself without a line that says why, and against one that survives
// its fault.
TEST_CASE("a process that a fault ends names the signal and its stack", "[crash-report]")
{
    struct row {
        char const* what_;
        void (*end_)();
        int signal_;
        char const* said_;
    };
    auto const r =
        GENERATE(row{"a bad address", touch_nothing, SIGSEGV, "\"signal\":\"SIGSEGV\""},
                 row{"an abort", [] { std::abort(); }, SIGABRT, "\"signal\":\"SIGABRT\""},
                 row{"an exception", throw_uncaught, SIGABRT, "the reason"},
                 row{"an overflow of the stack", [] { (void)overflow_stack(0); }, SIGSEGV, "SIGSEGV"},
                 row{"an overflow in a thread", end_in_thread, SIGSEGV, "SIGSEGV"});
    auto const full = GENERATE(false, true);
    CAPTURE(r.what_, full);
    auto const ended = run_reporting(r.end_, full);
    CAPTURE(ended.output_);
    CHECK(ended.signal_ == r.signal_);
    CHECK(ended.output_.find(r.said_) != std::string::npos);
    CHECK(ended.output_.find("\"event\":\"crashed\"") != std::string::npos);
    auto const stack = ended.output_.find("\"event\":\"crash-stack\",\"frames\":\"");
    REQUIRE(stack != std::string::npos);
    CHECK(ended.output_.find("program+0x", stack) != std::string::npos);
    CHECK(ended.output_.find("\"}\n", stack) != std::string::npos);
}
