#pragma once

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

extern char** environ;

namespace auburnchute::tests {

/// \brief A binary of the build folder that runs as a child process, with its standard output read through a
/// pipe. The destructor ends this child and no other process.
///
/// \code
/// child_process log{"standin-log", {"--retention", "100"}};
/// auto const address = log.wait_listening();
/// \endcode
/// Thread safety: none.
class child_process {
public:
    /// \param with_errors Whether standard error is read through the same pipe.
    /// \throws std::runtime_error if the binary cannot be started.
    child_process(std::string const& binary, std::vector<std::string> arguments, bool with_errors = false)
    {
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) {
            throw std::runtime_error{std::string{"pipe: "} + std::strerror(errno)};
        }
        auto path = std::string{AUBURNCHUTE_BINARY_DIR} + "/" + binary;
        std::vector<char*> argv{path.data()};
        for (auto& argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);

        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        if (with_errors) {
            posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
        }
        int const failed = ::posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(ends[1]);
        output_ = ends[0];
        if (failed != 0) {
            ::close(output_);
            throw std::runtime_error{"start " + path + ": " + std::strerror(failed)};
        }
    }

    child_process(child_process&& other) noexcept
        : pid_{std::exchange(other.pid_, -1)}, output_{std::exchange(other.output_, -1)},
          unread_{std::move(other.unread_)}, exit_code_{other.exit_code_}
    {
    }
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process& operator=(child_process&&) = delete;

    ~child_process()
    {
        if (running()) {
            ::kill(pid_, SIGKILL);
            reap(0);
        }
        if (output_ >= 0) {
            ::close(output_);
        }
    }

    [[nodiscard]] pid_t pid() const noexcept { return pid_; }

    /// \returns True until the child's end was seen.
    [[nodiscard]] bool running() const noexcept { return pid_ > 0 && exit_code_ < 0; }

    /// \returns Whether the child has ended, without taking note of it.
    [[nodiscard]] bool has_ended() const
    {
        siginfo_t seen{};
        return pid_ <= 0 ||
               (::waitid(P_PID, static_cast<id_t>(pid_), &seen, WEXITED | WNOHANG | WNOWAIT) == 0 &&
                seen.si_pid == pid_);
    }

    /// \brief Waits for a line of output that begins with the text.
    /// \returns The rest of the line. \throws std::runtime_error if the child ends or the time is over first.
    std::string wait_line(std::string_view beginning,
                          std::chrono::milliseconds limit = std::chrono::seconds{30})
    {
        auto const deadline = std::chrono::steady_clock::now() + limit;
        for (;;) {
            for (auto end = unread_.find('\n'); end != std::string::npos; end = unread_.find('\n')) {
                auto const line = unread_.substr(0, end);
                unread_.erase(0, end + 1);
                if (line.starts_with(beginning)) {
                    return line.substr(beginning.size());
                }
            }
            if (!read_more(deadline)) {
                throw std::runtime_error{"the child closed its output before the awaited line"};
            }
        }
    }

    /// \brief Waits for a line of output that holds the text. \returns The line.
    /// \throws std::runtime_error if the child ends or the time is over first.
    std::string wait_text(std::string_view text, std::chrono::milliseconds limit = std::chrono::seconds{30})
    {
        auto const deadline = std::chrono::steady_clock::now() + limit;
        for (;;) {
            auto line = wait_line("", std::chrono::duration_cast<std::chrono::milliseconds>(
                                          deadline - std::chrono::steady_clock::now()));
            if (line.find(text) != std::string::npos) {
                return line;
            }
        }
    }

    /// \brief Reads the child's output until it ends. \returns What no other call has returned.
    /// \throws std::runtime_error if it does not end in time.
    std::string read_to_end(std::chrono::milliseconds limit = std::chrono::seconds{30})
    {
        auto const deadline = std::chrono::steady_clock::now() + limit;
        while (read_more(deadline)) {
        }
        return std::exchange(unread_, {});
    }

    /// \returns The address `IP:PORT` at which the child listens.
    std::string wait_listening()
    {
        auto const rest = wait_line("listening ");
        return rest.substr(0, rest.find(' '));
    }

    /// \brief Ends the child at once, as a failing VM does. \returns After it ended.
    void kill()
    {
        send(SIGKILL);
        reap(0);
    }

    /// \brief Asks for a planned stop. \returns The exit code, or 128 and the signal that ended the child.
    int stop()
    {
        send(SIGTERM);
        return wait_end();
    }

    /// \brief Waits until the child ended by itself. \returns As `stop`.
    int wait_end()
    {
        if (running()) {
            reap(0);
        }
        return exit_code_;
    }

    /// \brief Freezes the child. \returns After it was stopped.
    void freeze()
    {
        send(SIGSTOP);
        reap(WUNTRACED);
    }

    /// \brief Lets a frozen child go on. \returns After it was continued.
    void resume()
    {
        send(SIGCONT);
        reap(WCONTINUED);
    }

private:
    void send(int signal)
    {
        if (!running()) {
            throw std::runtime_error{"the child has ended"};
        }
        ::kill(pid_, signal);
    }

    void reap(int options)
    {
        int status = 0;
        while (::waitpid(pid_, &status, options) < 0) {
            if (errno != EINTR) {
                return;
            }
        }
        if (WIFEXITED(status)) {
            exit_code_ = WEXITSTATUS(status);
        } else if (WIFSIGNALED(status)) {
            exit_code_ = 128 + WTERMSIG(status);
        }
    }

    /// Reads some output. Returns false at its end.
    bool read_more(std::chrono::steady_clock::time_point deadline)
    {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        pollfd readable{output_, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) == 0) {
            throw std::runtime_error{"the awaited line did not come in time"};
        }
        char buffer[4096];
        auto const got = ::read(output_, buffer, sizeof buffer);
        if (got > 0) {
            unread_.append(buffer, static_cast<std::size_t>(got));
        }
        return got != 0;
    }

    pid_t pid_{-1};
    int output_{-1};
    std::string unread_;
    int exit_code_{-1};
};

} // namespace auburnchute::tests
