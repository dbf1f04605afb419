// Stand-ins of the platform's store, of servers and of requesters for the scripts of review/, and the processes of
// the system that a script starts. Loopback addresses only; the standard library, POSIX and nlohmann-json.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// Milliseconds since the program started.
inline std::int64_t elapsed_ms()
{
    static auto const start = steady::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

/// What was sent, answered and run, one line each, in the file that RECORD names.
class record_file {
public:
    record_file()
    {
        char const* name = std::getenv("RECORD");
        file_.open(name != nullptr ? name : "record.txt");
    }
    void line(std::string const& text)
    {
        std::scoped_lock const lock{mutex_};
        file_ << elapsed_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline record_file& record()
{
    static record_file file;
    return file;
}

inline bool with_trouble()
{
    char const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

class owned_fd {
public:
    explicit owned_fd(int fd = -1) : fd_{fd} {}
    owned_fd(owned_fd&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
    owned_fd& operator=(owned_fd&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~owned_fd()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    [[nodiscard]] int get() const { return fd_; }
    void close_now()
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }

private:
    int fd_;
};

inline sockaddr_in to_sockaddr(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Sends all bytes. \returns False once the peer has closed.
inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Reads what has come, waiting for at most `wait`. \returns Empty at the end; nothing after the wait.
inline std::optional<std::string> receive_some(int fd, std::chrono::milliseconds wait)
{
    pollfd readable{fd, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(std::max<std::int64_t>(0, wait.count()))) <= 0) {
        return std::nullopt;
    }
    char buffer[65536];
    auto const got = ::recv(fd, buffer, sizeof buffer, 0);
    return got > 0 ? std::string(buffer, static_cast<std::size_t>(got)) : std::string{};
}

/// Whether the peer has closed the connection; waits for at most `wait`. \pre The peer sends nothing more.
inline bool peer_leaves_within(int fd, std::chrono::milliseconds wait)
{
    pollfd readable{fd, POLLIN, 0};
    return ::poll(&readable, 1, static_cast<int>(wait.count())) > 0;
}

struct http_request {
    std::string method_;
    std::string path_;
    std::string query_;
    std::string head_; ///< With the request line, without the empty line.
    std::string body_;

    [[nodiscard]] std::string field(std::string name) const
    {
        auto const lower = [](std::string text) {
            std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
            return text;
        };
        name = lower("\r\n" + name + ":");
        auto const at = lower(head_).find(name);
        if (at == std::string::npos) {
            return {};
        }
        auto const begin = head_.find_first_not_of(' ', at + name.size());
        return head_.substr(begin, head_.find("\r\n", begin) - begin);
    }
    [[nodiscard]] std::string parameter(std::string const& name) const
    {
        auto const text = "&" + query_;
        auto const at = text.find("&" + name + "=");
        if (at == std::string::npos) {
            return {};
        }
        auto const begin = at + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }
};

/// Answers requests on a thread for each connection. The handler writes the answer itself and returns whether the
/// connection stays open.
class http_server {
public:
    using handler = std::function<bool(http_request const&, int)>;

    http_server(std::string ip, handler answer, int port = 0) : ip_{std::move(ip)}, answer_{std::move(answer)}
    {
        listener_ = owned_fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        int const on = 1;
        ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = to_sockaddr(ip_, port);
        socklen_t size = sizeof address;
        if (::bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(listener_.get(), 128) != 0 ||
            ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            throw std::runtime_error{"cannot listen at " + ip_};
        }
        port_ = ntohs(address.sin_port);
        std::thread{[this] { accept_all(); }}.detach();
    }
    [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(port_); }
    [[nodiscard]] int port() const { return port_; }

    /// Refuses new connections and closes the others, as the end of the process does.
    void crash()
    {
        ::shutdown(listener_.get(), SHUT_RDWR);
        std::scoped_lock const lock{mutex_};
        crashed_ = true;
        for (int const fd : connections_) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept_all()
    {
        while (true) {
            int const fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                int const on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::scoped_lock const lock{mutex_};
                if (crashed_) {
                    ::close(fd);
                    continue;
                }
                connections_.insert(fd);
                std::thread{[this, fd] { serve_one(fd); }}.detach();
            } else if (errno != EINTR && errno != ECONNABORTED) {
                return;
            }
        }
    }
    void serve_one(int fd)
    {
        serve(fd);
        std::scoped_lock const lock{mutex_};
        connections_.erase(fd);
        ::close(fd);
    }
    void serve(int connection)
    {
        std::string unread;
        auto const more = [&] {
            auto const bytes = receive_some(connection, 60s);
            if (!bytes || bytes->empty()) {
                return false;
            }
            unread += *bytes;
            return true;
        };
        while (true) {
            std::size_t end = 0;
            while ((end = unread.find("\r\n\r\n")) == std::string::npos) {
                if (!more()) {
                    return;
                }
            }
            http_request request;
            request.head_ = unread.substr(0, end + 2);
            unread.erase(0, end + 4);
            auto const line = request.head_.substr(0, request.head_.find("\r\n"));
            request.method_ = line.substr(0, line.find(' '));
            auto target = line.substr(request.method_.size() + 1);
            target = target.substr(0, target.find(' '));
            request.path_ = target.substr(0, target.find('?'));
            request.query_ = target.size() > request.path_.size() ? target.substr(request.path_.size() + 1) : "";
            auto const length = request.field("Content-Length");
            std::size_t const size = length.empty() ? 0 : std::stoul(length);
            while (unread.size() < size) {
                if (!more()) {
                    return;
                }
            }
            request.body_ = unread.substr(0, size);
            unread.erase(0, size);
            if (!answer_(request, connection)) {
                return;
            }
        }
    }

    std::string ip_;
    handler answer_;
    owned_fd listener_;
    int port_{};
    std::mutex mutex_;
    std::set<int> connections_;
    bool crashed_{};
};

inline bool send_answer(int fd, int status, std::string const& body, std::string const& more_fields = "",
                        std::string const& type = "application/json")
{
    return send_all(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type + "\r\n" + more_fields +
                            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// The platform's store: keyed topics with one partition, conditional appends and reads that wait.
class store_standin {
public:
    explicit store_standin(std::string const& ip)
        : server_{ip, [this](http_request const& request, int fd) { return answer(request, fd); }}
    {
        std::thread{[this] {
            while (true) {
                std::this_thread::sleep_for(heartbeat);
                write_heartbeats();
            }
        }}.detach();
    }
    [[nodiscard]] std::string address() const { return server_.address(); }

    /// Writes as the operator and the servers do. An empty value drops the key.
    void put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::scoped_lock const lock{mutex_};
        add(topics_[topic], static_cast<char>(key.size()) + key + value);
    }
    /// A server that has crashed writes nothing more.
    void silence(std::string const& server)
    {
        std::scoped_lock const lock{mutex_};
        silent_.insert(server);
    }

private:
    struct topic_log {
        std::vector<std::string> records_;
        std::map<std::string, std::pair<std::string, std::size_t>> newest_;
    };

    static constexpr auto heartbeat = 1'200ms; // heartbeat_ms

    /// Each server that runs writes its entry again, with a higher sequence.
    void write_heartbeats()
    {
        std::scoped_lock const lock{mutex_};
        auto& topic = topics_["keyed.servers"];
        auto const entries = topic.newest_;
        for (auto const& [id, newest] : entries) {
            if (!silent_.contains(id)) {
                auto entry = nlohmann::json::parse(newest.first);
                entry["sequence"] = entry["sequence"].get<int>() + 1;
                add(topic, static_cast<char>(id.size()) + id + entry.dump());
            }
        }
    }
    void add(topic_log& topic, std::string record)
    {
        auto const size = static_cast<std::size_t>(static_cast<unsigned char>(record.at(0)));
        auto const key = record.substr(1, size);
        if (record.size() > 1 + size) {
            topic.newest_[key] = {record.substr(1 + size), topic.records_.size()};
        } else {
            topic.newest_.erase(key);
        }
        topic.records_.push_back(std::move(record));
        changed_.notify_all();
    }
    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            text += static_cast<char>(value >> shift & 0xffU);
        }
        return text;
    }
    static std::string base64(std::string const& bytes)
    {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
            }
        }
        return text;
    }
    bool answer(http_request const& request, int fd)
    {
        std::this_thread::sleep_for(4ms); // of an answer
        auto const name = request.parameter("topic");
        std::unique_lock lock{mutex_};
        auto& topic = topics_[name];
        if (request.path_ == "/auburnchute/log-append") {
            std::vector<std::string> records;
            for (std::size_t at = 0; at + 4 <= request.body_.size();) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = size << 8U | static_cast<unsigned char>(request.body_[at + i]);
                }
                records.push_back(request.body_.substr(at + 4, size));
                at += 4 + size;
            }
            auto const expected = request.parameter("at");
            bool const conflict = !expected.empty() && std::stoull(expected) != topic.records_.size();
            auto const offset = topic.records_.size();
            for (auto& each : records) {
                if (!conflict) {
                    add(topic, std::move(each));
                }
            }
            nlohmann::json const body{{"offset", offset}, {"end_offset", topic.records_.size()}};
            lock.unlock();
            return send_answer(fd, conflict ? 412 : 200, body.dump());
        }
        if (request.path_ == "/auburnchute/log-read") {
            auto const from = std::stoull(request.parameter("from"));
            auto const wait = request.parameter("wait_ms");
            changed_.wait_for(lock, std::chrono::milliseconds{wait.empty() ? 0 : std::stoll(wait)},
                              [&] { return topic.records_.size() > from; });
            auto body = big_endian(topic.records_.size(), 8) + big_endian(0, 8);
            for (auto at = from; at < topic.records_.size(); ++at) {
                body += big_endian(topic.records_[at].size(), 4) + topic.records_[at];
            }
            lock.unlock();
            return send_answer(fd, 200, body, "", "application/octet-stream");
        }
        if (request.path_ == "/auburnchute/log-newest") {
            auto items = nlohmann::json::array();
            for (auto const& [key, newest] : topic.newest_) {
                items.push_back({{"key", key}, {"value", base64(newest.first)}, {"offset", newest.second}});
            }
            nlohmann::json const body{{"items", items}, {"truncated", false}, {"end_offset", topic.records_.size()}};
            lock.unlock();
            return send_answer(fd, 200, body.dump());
        }
        lock.unlock();
        return send_answer(fd, 404, "{}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic_log> topics_;
    std::set<std::string> silent_;
    http_server server_; ///< Last, as its threads use the others.
};

/// One front machine: its settings, from the template of the deploy file, and its process.
class front_machine {
public:
    struct place {
        std::string folder_; ///< Of settings and logs.
        std::string ip_;
        std::string zone_;
        int first_port_{};
        std::string store_;
    };
    front_machine(std::string name, place where) : name_{std::move(name)}, where_{std::move(where)} {}
    front_machine(front_machine const&) = delete;
    front_machine& operator=(front_machine const&) = delete;
    ~front_machine() { end(); }

    [[nodiscard]] std::string const& name() const { return name_; }
    [[nodiscard]] std::string const& ip() const { return where_.ip_; }
    [[nodiscard]] int front_port() const { return where_.first_port_ + 1; }
    [[nodiscard]] int ready_port() const { return where_.first_port_ + 2; }
    [[nodiscard]] pid_t pid() const { return pid_; }

    void start(bool bootstrap)
    {
        auto const file = where_.folder_ + "/" + name_ + ".yaml";
        write_settings(file, bootstrap);
        auto const log = where_.folder_ + "/" + name_ + ".log";
        auto const parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // the process ends with its script
            if (::getppid() != parent) {
                ::_exit(127);
            }
            int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execl("target/auburnchute-entry", "target/auburnchute-entry", "--settings", file.c_str(), nullptr);
            ::_exit(127);
        }
        record().line(name_ + " started");
    }
    void send_signal(int signal) const
    {
        if (pid_ > 0) {
            ::kill(pid_, signal);
        }
    }
    /// \returns Whether the process has ended by now.
    bool has_ended()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            record().line(name_ + " ended, " +
                          (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                               : "exit code " + std::to_string(WEXITSTATUS(status))));
        }
        return pid_ <= 0;
    }
    void end()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    /// \returns Resident memory in bytes; 0 once the process has ended.
    [[nodiscard]] std::int64_t resident_bytes() const
    {
        std::ifstream file{"/proc/" + std::to_string(pid_) + "/statm"};
        std::int64_t all = 0;
        std::int64_t resident = 0;
        file >> all >> resident;
        return resident * ::sysconf(_SC_PAGESIZE);
    }
    /// \returns Processor time that the process has used, in milliseconds.
    [[nodiscard]] std::int64_t processor_ms() const
    {
        std::ifstream file{"/proc/" + std::to_string(pid_) + "/stat"};
        std::string line;
        std::getline(file, line);
        if (line.empty()) {
            return 0;
        }
        std::istringstream rest{line.substr(line.rfind(')') + 2)};
        std::string word;
        std::int64_t user = 0;
        std::int64_t kernel = 0;
        for (int i = 0; i < 11; ++i) {
            rest >> word;
        }
        rest >> user >> kernel;
        return (user + kernel) * 1'000 / ::sysconf(_SC_CLK_TCK);
    }

private:
    /// Fills in the template with the fields of DEPLOY.md; the bounds are those of the site file.
    void write_settings(std::string const& file, bool bootstrap) const
    {
        auto const listen = [&](int port) { return nlohmann::json(where_.ip_ + ":" + std::to_string(port)).dump(); };
        std::map<std::string, std::string> const values{
            {"node_name", nlohmann::json(name_).dump()},
            {"ip", nlohmann::json(where_.ip_).dump()},
            {"zone", nlohmann::json(where_.zone_).dump()},
            {"bootstrap", bootstrap ? "true" : "false"},
            {"limits.cpu_share", "0.25"},
            {"listen.front", listen(front_port())},
            {"listen.ready", listen(ready_port())},
            {"listen.directory", listen(where_.first_port_)},
            {"port_range.0", std::to_string(where_.first_port_ + 3)},
            {"port_range.1", std::to_string(where_.first_port_ + 4)},
            {"platform.address", nlohmann::json(where_.store_).dump()},
            {"bounds.config_apply_ms", "2000"},
            {"bounds.drain_ms", "2000"},
            {"bounds.revoke_ms", "5000"},
            {"bounds.lease_ms", "3000"},
            {"bounds.grace_s", "8"},
            {"bounds.ttl_max_s", "5"},
            {"bounds.budget_ratio", "0.2"},
            {"bounds.budget_extra", "56"},
            {"bounds.ceiling_window_s", "5"}};
        std::ifstream from{"deploy/entry.yaml.in"};
        std::string text{std::istreambuf_iterator<char>{from}, {}};
        for (auto const& [name, value] : values) {
            auto const placeholder = "{{" + name + "|json}}";
            for (std::size_t at = 0; (at = text.find(placeholder, at)) != std::string::npos; at += value.size()) {
                text.replace(at, placeholder.size(), value);
            }
        }
        if (text.find("{{") != std::string::npos) {
            throw std::runtime_error{"the template has a field that this stand-in does not know"};
        }
        std::ofstream{file} << text;
    }

    std::string name_;
    place where_;
    pid_t pid_{-1};
};

/// \returns The first three numbers of loopback addresses for this run, and a dot.
inline std::string own_network()
{
    auto const pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (pid >> 8U) % 128U) + "." + std::to_string(pid & 0xffU) + ".";
}

/// \returns The first of eight ports that are free at all these addresses.
inline int free_ports(std::vector<std::string> const& addresses)
{
    auto const is_free = [&](int port, int type) {
        return std::all_of(addresses.begin(), addresses.end(), [&](std::string const& ip) {
            owned_fd const probe{::socket(AF_INET, type | SOCK_CLOEXEC, 0)};
            auto const address = to_sockaddr(ip, port);
            return ::bind(probe.get(), reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
        });
    };
    for (int first = 18'000 + ::getpid() % 1'000 * 8; first < 32'000; first += 8) {
        bool all = true;
        for (int port = first; all && port < first + 8; ++port) {
            all = is_free(port, SOCK_STREAM) && is_free(port, SOCK_DGRAM);
        }
        if (all) {
            return first;
        }
    }
    throw std::runtime_error{"no free ports"};
}

/// Connects as a requester does. \returns None if that fails.
inline std::optional<owned_fd> connect_to(std::string const& ip, int port)
{
    owned_fd made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    int const on = 1;
    ::setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto const address = to_sockaddr(ip, port);
    if (::connect(made.get(), reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
        return std::nullopt;
    }
    return made;
}

struct caller_answer {
    std::string bytes_;    ///< All that came.
    int status_{};         ///< 0: no whole head came.
    bool complete_{};      ///< The whole body came.
    bool closed_{};        ///< The channel ended before that.
    std::int64_t took_ms_{};

    [[nodiscard]] bool has_field(std::string const& name) const
    {
        return bytes_.substr(0, bytes_.find("\r\n\r\n")).find("\r\n" + name + ":") != std::string::npos;
    }
};

/// Reads one answer on a requester's channel, for at most `patience`.
inline caller_answer read_answer(int fd, std::chrono::milliseconds patience)
{
    caller_answer answer;
    auto const began = elapsed_ms();
    auto const until = steady::now() + patience;
    while (!answer.complete_ && !answer.closed_) {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now());
        if (left <= 0ms) {
            break;
        }
        auto const bytes = receive_some(fd, left);
        if (!bytes) {
            break;
        }
        answer.closed_ = bytes->empty();
        answer.bytes_ += *bytes;
        auto const end = answer.bytes_.find("\r\n\r\n");
        if (end == std::string::npos) {
            continue;
        }
        answer.status_ = std::atoi(answer.bytes_.c_str() + 9);
        http_request const head{.method_ = {}, .path_ = {}, .query_ = {}, .head_ = answer.bytes_.substr(0, end + 2), .body_ = {}};
        auto const length = head.field("Content-Length");
        answer.complete_ = length.empty() ? answer.bytes_.ends_with("\r\n0\r\n\r\n")
                                          : answer.bytes_.size() >= end + 4 + std::stoul(length);
    }
    answer.took_ms_ = elapsed_ms() - began;
    return answer;
}

/// A GET whose status alone matters, as the platform asks whether a daemon is ready.
inline int status_of(std::string const& ip, int port, std::string const& path)
{
    auto const channel = connect_to(ip, port);
    if (!channel ||
        !send_all(channel->get(), "GET " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n")) {
        return 0;
    }
    return read_answer(channel->get(), 1s).status_;
}

/// Waits until a condition holds. \returns Whether it did in time.
inline bool wait_until(std::function<bool()> const& holds, std::chrono::milliseconds limit)
{
    auto const until = steady::now() + limit;
    while (!holds()) {
        if (steady::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

/// Exit codes of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

} // namespace review
