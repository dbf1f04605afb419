#pragma once

#include <memory>
#include <string_view>

namespace auburnchute {

/// \brief Has the process write a log line before a signal for a fault, or an exception that nobody catches,
/// ends it.
///
/// The lines, in JSON, name the signal, the address, and the stack as modules with offsets, for `addr2line`.
/// The process still ends by the signal. A build with sanitizers has reports of its own, so nothing is
/// installed there.
/// \param descriptor Where the log goes; a line that it does not take goes to standard error.
/// \param log_exception Logs what the exception says.
/// Thread safety: called once, before other threads start. \pre The log was initialized.
void init_crash_report(int descriptor, void (*log_exception)(std::string_view what));

/// \brief Gives the calling thread a stack for the line while this object lives, so that an overflow of its
/// own is reported, too. Thread safety: made and destroyed on the thread that it is for.
class crash_stack {
public:
    crash_stack();
    crash_stack(crash_stack const&) = delete;
    crash_stack& operator=(crash_stack const&) = delete;
    ~crash_stack();

private:
    std::unique_ptr<char[]> memory_;
};

} // namespace auburnchute
