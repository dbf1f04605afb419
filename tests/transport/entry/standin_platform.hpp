#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace auburnchute::tests {

/// \returns A loopback address that no other test process uses at the same time, so that ports may be fixed.
inline std::string own_address()
{
    auto const pid = static_cast<unsigned>(::getpid());
    return "127.77." + std::to_string(pid >> 8U & 0xffU) + "." + std::to_string(1 + (pid & 0xffU) % 254U);
}

/// \brief A socket that closes itself.
class owned_socket {
public:
    explicit owned_socket(int handle) : handle_{handle} {}
    owned_socket(owned_socket&& other) noexcept : handle_{std::exchange(other.handle_, -1)} {}
    owned_socket(owned_socket const&) = delete;
    owned_socket& operator=(owned_socket const&) = delete;
    owned_socket& operator=(owned_socket&&) = delete;
    ~owned_socket()
    {
        if (handle_ >= 0) {
            ::close(handle_);
        }
    }

    [[nodiscard]] int handle() const noexcept { return handle_; }

    void send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            auto const sent = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /// \brief Reads some bytes. \returns Empty at the end of the connection or after ten seconds.
    [[nodiscard]] std::string receive() const
    {
        pollfd readable{handle_, POLLIN, 0};
        if (::poll(&readable, 1, 10'000) <= 0) {
            return {};
        }
        char buffer[4096];
        auto const got = ::recv(handle_, buffer, sizeof buffer, 0);
        return got > 0 ? std::string(buffer, static_cast<std::size_t>(got)) : std::string{};
    }

    /// \brief Reads until the text has come. \returns Everything read, also if the connection ended before.
    [[nodiscard]] std::string receive_until(std::string_view text) const
    {
        std::string all;
        while (all.find(text) == std::string::npos) {
            auto const more = receive();
            if (more.empty()) {
                break;
            }
            all += more;
        }
        return all;
    }

    /// \brief Closes the connection so that the peer sees a reset.
    void reset()
    {
        linger const now{1, 0};
        ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(std::exchange(handle_, -1));
    }

private:
    int handle_;
};

inline sockaddr_in to_sockaddr(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// \brief Connects as a caller. \throws std::runtime_error if nobody listens.
inline owned_socket connect_to(std::string const& ip, int port)
{
    owned_socket made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    auto const address = to_sockaddr(ip, port);
    if (::connect(made.handle(), reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
        throw std::runtime_error{"nobody listens at " + ip + ":" + std::to_string(port)};
    }
    return made;
}

/// \brief Listens at a port that the kernel picks. \returns The address `IP:PORT`. \throws std::runtime_error
/// if that fails.
inline std::string listen_at(owned_socket const& listener, std::string const& ip)
{
    constexpr int backlog = 64;
    auto address = to_sockaddr(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(listener.handle(), reinterpret_cast<sockaddr const*>(&address), size) != 0 ||
        ::listen(listener.handle(), backlog) != 0 ||
        ::getsockname(listener.handle(), reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error{"cannot listen at " + ip};
    }
    return ip + ":" + std::to_string(ntohs(address.sin_port));
}

/// \brief The platform's store: topics in memory, with conditional appends and reads that wait.
class standin_store {
public:
    explicit standin_store(std::string const& ip)
    {
        // Reads that wait hold a thread each.
        server_.new_task_queue = [] { return new httplib::ThreadPool{store_threads}; };
        server_.Post("/auburnchute/log-append",
                     [this](auto const& request, auto& response) { append(request, response); });
        server_.Get("/auburnchute/log-read",
                    [this](auto const& request, auto& response) { read(request, response); });
        server_.Get("/auburnchute/log-newest",
                    [this](auto const& request, auto& response) { newest(request, response); });
        server_.set_pre_routing_handler([this](auto const&, auto& response) {
            ++calls_;
            if (auto const slow = slow_ms_.load(); slow > 0) {
                std::unique_lock lock{mutex_};
                changed_.wait_for(lock, std::chrono::milliseconds{slow}, [this] { return slow_ms_ == 0; });
            }
            if (!down_) {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            response.status = 503;
            return httplib::Server::HandlerResponse::Handled;
        });
        port_ = server_.bind_to_any_port(ip.c_str());
        thread_ = std::thread{[this] { server_.listen_after_bind(); }};
    }
    ~standin_store()
    {
        down_ = true;
        changed_.notify_all();
        server_.stop();
        thread_.join();
    }
    standin_store(standin_store const&) = delete;
    standin_store& operator=(standin_store const&) = delete;

    [[nodiscard]] int port() const noexcept { return port_; }

    /// \brief Writes a key of a keyed topic, as the operator and the upstreams do.
    void put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::scoped_lock const lock{mutex_};
        add(topics_[topic], static_cast<char>(key.size()) + key + value);
        changed_.notify_all();
    }

    /// \returns The values of all keys of the keyed topic.
    [[nodiscard]] std::vector<std::string> values(std::string const& topic)
    {
        std::scoped_lock const lock{mutex_};
        std::vector<std::string> all;
        for (auto const& [key, record] : topics_[topic].newest_) {
            all.push_back(record.first);
        }
        return all;
    }

    /// \returns Whether the keyed topic holds any key.
    [[nodiscard]] bool holds(std::string const& topic)
    {
        std::scoped_lock const lock{mutex_};
        return !topics_[topic].newest_.empty();
    }

    /// \returns How often all newest records of the topic were asked for.
    [[nodiscard]] int newest_reads(std::string const& topic)
    {
        std::scoped_lock const lock{mutex_};
        return newest_reads_[topic];
    }

    /// \returns How many records the topic has been given.
    [[nodiscard]] std::uint64_t end_offset(std::string const& topic)
    {
        std::scoped_lock const lock{mutex_};
        return topics_[topic].end();
    }

    /// \brief Makes each call take this much longer.
    void set_slow(std::chrono::milliseconds by)
    {
        slow_ms_ = by.count();
        changed_.notify_all();
    }

    /// \brief Drops all records but the newest of each key, as when their time is over.
    void forget_history()
    {
        std::scoped_lock const lock{mutex_};
        for (auto& [name, topic] : topics_) {
            topic.first_ += topic.records_.size();
            topic.records_.clear();
        }
    }

    void set_down(bool down)
    {
        down_ = down;
        changed_.notify_all();
    }

    struct stored_topic {
        std::uint64_t first_{}; ///< Offset of the oldest record that is kept.
        std::vector<std::string> records_;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest_; ///< Value and offset by key.

        [[nodiscard]] std::uint64_t end() const { return first_ + records_.size(); }
    };

    /// \returns All that the store holds now.
    [[nodiscard]] std::map<std::string, stored_topic> copy()
    {
        std::scoped_lock const lock{mutex_};
        return topics_;
    }

    /// \brief Comes back from the copy: what was written since is lost, and its offsets are given out again.
    void return_to(std::map<std::string, stored_topic> copy)
    {
        std::scoped_lock const lock{mutex_};
        topics_ = std::move(copy);
        ++era_;
        changed_.notify_all();
    }

    /// \returns The era that all answers state.
    [[nodiscard]] std::uint64_t era()
    {
        std::scoped_lock const lock{mutex_};
        return era_;
    }

    /// \returns How many calls came so far.
    [[nodiscard]] int calls() const noexcept { return calls_; }

private:
    static std::string to_base64(std::string const& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        auto const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                          reinterpret_cast<unsigned char const*>(bytes.data()),
                                          static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            text += static_cast<char>(value >> shift & 0xffU);
        }
        return text;
    }

    static void add(stored_topic& topic, std::string record)
    {
        auto const size = static_cast<std::size_t>(static_cast<unsigned char>(record[0]));
        auto const key = record.substr(1, size);
        if (record.size() > 1 + size) {
            topic.newest_[key] = {record.substr(1 + size), topic.end()};
        } else {
            topic.newest_.erase(key);
        }
        topic.records_.push_back(std::move(record));
    }

    /// \pre The store is locked.
    void state_era(httplib::Response& response) const
    {
        response.set_header("Store-Era", std::to_string(era_));
    }

    void append(httplib::Request const& request, httplib::Response& response)
    {
        std::scoped_lock const lock{mutex_};
        state_era(response);
        auto& topic = topics_[request.get_param_value("topic")];
        bool const conflict =
            request.has_param("at") && std::stoull(request.get_param_value("at")) != topic.end();
        if (conflict) {
            response.status = 412;
        } else {
            add(topic, request.body.substr(4));
            changed_.notify_all();
        }
        response.set_content(nlohmann::json{{"end_offset", topic.end()}}.dump(), "application/json");
    }

    void read(httplib::Request const& request, httplib::Response& response)
    {
        std::unique_lock lock{mutex_};
        auto const name = request.get_param_value("topic");
        auto const from = std::stoull(request.get_param_value("from"));
        auto const wait = std::chrono::milliseconds{std::stoll(request.get_param_value("wait_ms"))};
        auto const era = era_;
        changed_.wait_for(lock, wait, [&] { return down_ || era_ != era || topics_[name].end() > from; });
        state_era(response);
        if (down_) {
            response.status = 503;
            return;
        }
        auto const& topic = topics_[name];
        if (from < topic.first_ || from > topic.end()) {
            response.status = 410;
            response.set_content(nlohmann::json{{"first", topic.first_}}.dump(), "application/json");
            return;
        }
        auto body = big_endian(topic.end(), 8) + big_endian(topic.first_, 8);
        auto const page =
            request.has_param("max_kb") ? std::stoull(request.get_param_value("max_kb")) * 1024 : page_bytes;
        for (auto at = from; at < topic.end(); ++at) {
            auto const& record = topic.records_[at - topic.first_];
            if (at > from && body.size() + record.size() > page) {
                break;
            }
            body += big_endian(record.size(), 4) + record;
        }
        response.set_content(body, "application/octet-stream");
    }

    void newest(httplib::Request const& request, httplib::Response& response)
    {
        std::scoped_lock const lock{mutex_};
        state_era(response);
        auto const name = request.get_param_value("topic");
        auto const after = request.get_param_value("after");
        auto const& topic = topics_[name];
        newest_reads_[name] += after.empty() ? 1 : 0;
        auto items = nlohmann::json::array();
        std::size_t bytes = 0;
        auto at = topic.newest_.upper_bound(after);
        for (; at != topic.newest_.end(); ++at) {
            auto const& [key, newest] = *at;
            bytes += key.size() + newest.first.size();
            if (items.size() == page_items || (!items.empty() && bytes > page_bytes)) {
                break;
            }
            items.push_back({{"key", key}, {"value", to_base64(newest.first)}, {"offset", newest.second}});
        }
        // A key that is not UTF-8 cannot be written in JSON as it is.
        response.set_content(nlohmann::json{{"items", items},
                                            {"truncated", at != topic.newest_.end()},
                                            {"end_offset", topic.end()}}
                                 .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                             "application/json");
    }

    static constexpr std::size_t store_threads = 96;
    /// Bounds of an answer, as the platform's page on the store states them; one record always fits.
    static constexpr std::size_t page_bytes = 1024 * 1024;
    static constexpr std::size_t page_items = 500;

    httplib::Server server_;
    int port_{};
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> down_{false};
    std::atomic<std::int64_t> slow_ms_{0};
    std::map<std::string, stored_topic> topics_;
    std::map<std::string, int> newest_reads_;
    std::uint64_t era_{1};
    std::atomic<int> calls_{0};
};

/// \brief A request as an upstream got it.
struct received_request {
    std::string head_;
    std::string body_;

    /// \returns The value of the field, or empty.
    [[nodiscard]] std::string field(std::string const& name) const
    {
        auto const at = head_.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        auto const begin = at + name.size() + 4;
        return head_.substr(begin, head_.find("\r\n", begin) - begin);
    }
};

/// \brief An upstream that answers as a test says, byte by byte.
class scripted_upstream {
public:
    /// Called for each request, on a thread of its connection. It writes what it likes; the connection ends
    /// when it returns false.
    using script = std::function<bool(received_request const&, owned_socket&)>;

    scripted_upstream(std::string const& ip, script answer)
        : listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}, answer_{std::move(answer)}
    {
        address_ = listen_at(listener_, ip);
        acceptor_ = std::thread{[this] { accept_all(); }};
    }
    ~scripted_upstream()
    {
        ::shutdown(listener_.handle(), SHUT_RDWR);
        acceptor_.join();
        for (auto& connection : connections_) {
            connection.join();
        }
    }
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    [[nodiscard]] std::string const& address() const noexcept { return address_; }

    /// \brief Refuses connections from now on, as after a crash of the process.
    void stop_listening() const { ::shutdown(listener_.handle(), SHUT_RDWR); }

    /// \returns The requests that came so far.
    [[nodiscard]] std::vector<received_request> requests() const
    {
        std::scoped_lock const lock{mutex_};
        return requests_;
    }

private:
    void accept_all()
    {
        while (true) {
            int const handle = ::accept4(listener_.handle(), nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                return;
            }
            connections_.emplace_back([this, handle] { serve(owned_socket{handle}); });
        }
    }

    void serve(owned_socket connection)
    {
        std::string unread;
        while (true) {
            auto end = unread.find("\r\n\r\n");
            if (end == std::string::npos) {
                auto const more = connection.receive();
                if (more.empty()) {
                    return;
                }
                unread += more;
                continue;
            }
            received_request request{unread.substr(0, end + 2), {}};
            unread.erase(0, end + 4);
            bool const early = !request.field("X-Early").empty(); // answered before its body is read
            if (early && !answer_(request, connection)) {
                return;
            }
            auto const length = request.field("Content-Length");
            auto const size = length.empty() ? 0U : std::stoul(length);
            while (unread.size() < size) {
                auto const more = connection.receive();
                if (more.empty()) {
                    return;
                }
                unread += more;
            }
            request.body_ = unread.substr(0, size);
            unread.erase(0, size);
            {
                std::scoped_lock const lock{mutex_};
                requests_.push_back(request);
            }
            if (!early && !answer_(request, connection)) {
                return;
            }
        }
    }

    owned_socket listener_;
    script answer_;
    std::string address_;
    std::thread acceptor_;
    std::vector<std::thread> connections_;
    mutable std::mutex mutex_;
    std::vector<received_request> requests_;
};

/// \returns A whole answer to the request, with the proof that callers check.
inline std::string answer_to(received_request const& request, std::string const& body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + request.field("X-Request-Id") +
           "\r\nX-Response-Stamp: proof\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace auburnchute::tests
