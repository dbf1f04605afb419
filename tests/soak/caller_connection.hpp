#pragma once

#include "transport/entry/standin_platform.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <strings.h>
#include <utility>

namespace auburnchute::tests {

using soak_clock = std::chrono::steady_clock;

/// \brief How a caller's wait for an answer ended.
enum class answer_end : std::uint8_t {
    whole,
    closed,    ///< The connection ended before the answer was whole.
    reset,     ///< As `closed`, by a reset.
    timed_out, ///< The caller gave up after its time limit.
    left,      ///< The caller gave up because the soak ends.
};

/// \brief What a caller got for one request, byte by byte.
struct caller_answer {
    int status_{}; ///< 0 if no head came.
    std::string head_;
    std::string body_; ///< What came of it, without the marks of chunks.
    answer_end end_{answer_end::left};
    bool extra_bytes_{}; ///< More came than the answer.
    soak_clock::time_point sent_at_;
    soak_clock::time_point ended_at_;

    [[nodiscard]] bool is_whole() const noexcept { return end_ == answer_end::whole; }

    /// \returns The value of the field, or empty; names are compared without case.
    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (auto at = head_.find("\r\n"); at != std::string::npos; at = head_.find("\r\n", at + 2)) {
            auto const begin = at + 2;
            bool const named = head_.size() > begin + name.size() && head_[begin + name.size()] == ':' &&
                               ::strncasecmp(head_.data() + begin, name.data(), name.size()) == 0;
            if (named) {
                auto const value = head_.find_first_not_of(' ', begin + name.size() + 1);
                return head_.substr(value, head_.find("\r\n", value) - value);
            }
        }
        return {};
    }
};

/// \brief A caller's connection. It is used until the daemon ends it, so that its end is seen as it is.
///
/// Thread safety: none.
class caller_connection {
public:
    /// \throws std::runtime_error if nobody listens there.
    /// \param window Bytes that may wait at the caller's side; 0: as usual.
    caller_connection(std::string vm, int port, int window = 0)
        : vm_{std::move(vm)}, socket_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        timeval const connect_limit{1, 0};
        ::setsockopt(socket_.handle(), SOL_SOCKET, SO_SNDTIMEO, &connect_limit, sizeof connect_limit);
        if (window > 0) {
            ::setsockopt(socket_.handle(), SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        }
        auto const address = to_sockaddr(vm_, port);
        if (::connect(socket_.handle(), reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
            throw std::runtime_error{"nobody listens at " + vm_};
        }
    }

    /// \returns Address of the VM.
    [[nodiscard]] std::string const& vm() const noexcept { return vm_; }

    /// \returns Whether the daemon has ended the connection, or sent something that was not asked for.
    [[nodiscard]] bool has_ended(std::chrono::milliseconds wait = {}) const
    {
        pollfd readable{socket_.handle(), POLLIN, 0};
        return ::poll(&readable, 1, static_cast<int>(wait.count())) > 0;
    }

    /// \brief Sends a request. \returns When it began.
    soak_clock::time_point send(std::string_view request)
    {
        auto const began = soak_clock::now();
        socket_.send(request);
        ++awaited_;
        return began;
    }

    /// \brief Reads the answer to the oldest request that has none yet.
    /// \param sent_at As `send` returned it. \param limit The caller gives up this long after that.
    /// \param leave It gives up when set.
    [[nodiscard]] caller_answer receive(soak_clock::time_point sent_at, std::chrono::milliseconds limit,
                                        std::atomic<bool> const& leave)
    {
        caller_answer made;
        made.sent_at_ = sent_at;
        --awaited_;
        while (!parse(made)) {
            pollfd readable{socket_.handle(), POLLIN, 0};
            int const ready = ::poll(&readable, 1, look_ms);
            if (ready <= 0) {
                bool const late = soak_clock::now() > made.sent_at_ + limit;
                if (late || leave) {
                    made.end_ = late ? answer_end::timed_out : answer_end::left;
                    break;
                }
                continue;
            }
            std::array<char, 8'192> buffer{};
            auto const got = ::recv(socket_.handle(), buffer.data(), buffer.size(), 0);
            if (got <= 0) {
                made.end_ = got < 0 ? answer_end::reset : answer_end::closed;
                break;
            }
            unread_.append(buffer.data(), static_cast<std::size_t>(got));
        }
        made.extra_bytes_ = made.is_whole() && awaited_ == 0 && !unread_.empty();
        made.ended_at_ = soak_clock::now();
        return made;
    }

private:
    static constexpr int look_ms = 20;

    /// Reads what came so far, and takes a whole answer out of it. Returns whether the answer is whole.
    bool parse(caller_answer& made)
    {
        constexpr std::string_view blank = "\r\n\r\n";
        auto const head = unread_.find(blank);
        if (head == std::string::npos) {
            return false;
        }
        made.head_ = unread_.substr(0, head + 2);
        made.status_ = std::atoi(made.head_.c_str() + std::string_view{"HTTP/1.1 "}.size());
        auto at = head + blank.size();
        if (made.field("Transfer-Encoding").empty()) {
            auto const length = made.field("Content-Length");
            auto const size = length.empty() ? std::string::npos : std::stoul(length);
            made.body_ = unread_.substr(at, size);
            if (made.body_.size() < size) {
                return false;
            }
            at += size;
        } else {
            made.body_.clear();
            for (auto size = std::string::npos; size != 0;) {
                auto const line = unread_.find("\r\n", at);
                if (line == std::string::npos) {
                    return false;
                }
                size = std::strtoul(unread_.c_str() + at, nullptr, 16);
                made.body_ += unread_.substr(line + 2, size);
                at = line + 2 + size + 2;
                if (unread_.size() < at) {
                    return false;
                }
            }
        }
        unread_.erase(0, at);
        made.end_ = answer_end::whole;
        return true;
    }

    std::string vm_;
    owned_socket socket_;
    std::string unread_;
    int awaited_{}; ///< Requests that have no answer yet.
};

} // namespace auburnchute::tests
