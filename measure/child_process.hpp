#pragma once

#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

extern char** environ;

namespace auburnchute::measure {

/// \brief What the kernel counted for a process.
struct process_usage {
    double cpu_seconds_{};
    std::int64_t resident_kb_{};
    std::int64_t threads_{};
};

/// \brief A binary started for a measurement. Ends only its own child.
class child_process {
public:
    /// \brief Starts the binary and waits for its line `listening IP:PORT`.
    explicit child_process(std::vector<std::string> arguments)
    {
        int ends[2];
        if (pipe2(ends, O_CLOEXEC) != 0) {
            throw std::runtime_error{"pipe failed"};
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
        std::vector<char*> raw;
        for (auto& argument : arguments) {
            raw.push_back(argument.data());
        }
        raw.push_back(nullptr);
        int const failed = posix_spawn(&pid_, raw.front(), &actions, nullptr, raw.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        close(ends[1]);
        if (failed != 0) {
            close(ends[0]);
            throw std::runtime_error{"cannot start " + arguments.front()};
        }
        output_ = ends[0];
        std::string line;
        char byte = 0;
        while (read(output_, &byte, 1) == 1 && byte != '\n') {
            line.push_back(byte);
        }
        std::istringstream words{line};
        std::string word;
        words >> word >> address_;
        if (word != "listening") {
            stop();
            throw std::runtime_error{arguments.front() + " did not start: " + line};
        }
    }

    ~child_process() { stop(); }
    child_process(child_process&& other) noexcept
        : pid_{std::exchange(other.pid_, -1)}, output_{std::exchange(other.output_, -1)}, address_{std::move(
                                                                                              other.address_)}
    {
    }
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process& operator=(child_process&&) = delete;

    [[nodiscard]] std::string const& address() const noexcept { return address_; }

    [[nodiscard]] process_usage usage() const
    {
        process_usage result;
        auto const folder = "/proc/" + std::to_string(pid_);
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

    void stop() noexcept
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
        if (output_ >= 0) {
            close(output_);
            output_ = -1;
        }
    }

private:
    pid_t pid_{-1};
    int output_{-1};
    std::string address_;
};

} // namespace auburnchute::measure
