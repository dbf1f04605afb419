#pragma once

// Stand-ins of the platform's store, of servers and of clients, and the start of entry daemons as separate
// processes, for the cases of this review. Everything listens on loopback addresses.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
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
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline steady::time_point const begun = steady::now();

/// Milliseconds since the start of the case.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - begun).count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

inline void sleep_until_ms(std::int64_t at)
{
    if (at > now_ms()) {
        sleep_ms(at - now_ms());
    }
}

/// Thrown if the case can't be run.
struct cannot_run {
    std::string why_;
};

/// What was sent, answered and run, one line each.
class record_file {
public:
    void open(std::string const& path) { file_.open(path); }
    void line(std::string const& text)
    {
        std::scoped_lock const lock{mutex_};
        file_ << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline record_file record;

// ---------------------------------------------------------------------------------------------- sockets

inline sockaddr_in to_sockaddr(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool send_all(int handle, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const sent = ::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Appends what comes next. Returns false at the end of the connection or after the limit.
inline bool receive_some(int handle, std::string& into, std::int64_t limit_ms)
{
    pollfd readable{handle, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(limit_ms)) <= 0) {
        return false;
    }
    char buffer[16'384];
    auto const got = ::recv(handle, buffer, sizeof buffer, 0);
    if (got <= 0) {
        return false;
    }
    into.append(buffer, static_cast<std::size_t>(got));
    return true;
}

inline int connect_to(std::string const& ip, int port)
{
    int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = to_sockaddr(ip, port);
    if (::connect(handle, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    int const one = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return handle;
}

struct http_message {
    std::string start_;                          ///< First line.
    std::map<std::string, std::string> fields_;  ///< Names in lower case.
    std::string body_;

    [[nodiscard]] std::string field(std::string name) const
    {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto const found = fields_.find(name);
        return found == fields_.end() ? std::string{} : found->second;
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream words{start_};
        std::string word;
        for (int i = 0; i <= index; ++i) {
            words >> word;
        }
        return word;
    }
};

inline void parse_head(std::string const& head, http_message& message)
{
    std::istringstream lines{head};
    std::string line;
    std::getline(lines, line);
    message.start_ = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
        line = line.substr(0, line.find('\r'));
        auto const colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.fields_[name] = value;
    }
}

/// Reads a message whose body has a length. `buffer` keeps what follows it.
inline std::optional<http_message> read_message(int handle, std::string& buffer, std::int64_t limit_ms)
{
    auto const until = now_ms() + limit_ms;
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (now_ms() >= until || !receive_some(handle, buffer, until - now_ms())) {
            return std::nullopt;
        }
    }
    http_message message;
    parse_head(buffer.substr(0, end), message);
    buffer.erase(0, end + 4);
    auto const length = message.field("content-length");
    auto const size = length.empty() ? std::size_t{0} : static_cast<std::size_t>(std::stoull(length));
    while (buffer.size() < size) {
        if (now_ms() >= until || !receive_some(handle, buffer, until - now_ms())) {
            return std::nullopt;
        }
    }
    message.body_ = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

/// Accepts connections, each served by a thread. Can end like a process that crashes, and start again.
class listener {
public:
    using serve_function = std::function<void(int handle)>;

    listener(std::string ip, serve_function serve) : ip_{std::move(ip)}, serve_{std::move(serve)} {}
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    void start()
    {
        int const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const one = 1;
        ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        auto address = to_sockaddr(ip_, port_);
        socklen_t size = sizeof address;
        if (::bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(handle, 128) != 0 ||
            ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            throw cannot_run{"no socket at " + ip_};
        }
        port_ = ntohs(address.sin_port);
        std::scoped_lock const lock{mutex_};
        handle_ = handle;
        up_ = true;
        std::thread{[this, handle] { accept_all(handle); }}.detach();
    }

    /// Closes the port and resets all connections. Returns when no thread serves any.
    void crash()
    {
        std::unique_lock lock{mutex_};
        up_ = false;
        if (handle_ >= 0) {
            ::shutdown(handle_, SHUT_RDWR);
            ::close(handle_);
            handle_ = -1;
        }
        for (auto const connection : open_) {
            linger const now{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(connection, SHUT_RDWR);
        }
    }

    [[nodiscard]] bool up()
    {
        std::scoped_lock const lock{mutex_};
        return up_;
    }
    [[nodiscard]] int port() const noexcept { return port_; }
    [[nodiscard]] std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void accept_all(int handle)
    {
        while (true) {
            int const connection = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                return;
            }
            int const one = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                std::scoped_lock const lock{mutex_};
                open_.insert(connection);
            }
            std::thread{[this, connection] {
                serve_(connection);
                std::scoped_lock const lock{mutex_};
                open_.erase(connection);
                ::close(connection);
            }}.detach();
        }
    }

    std::string ip_;
    serve_function serve_;
    std::mutex mutex_;
    std::set<int> open_;
    int handle_{-1};
    int port_{};
    bool up_{};
};

// ---------------------------------------------------------------------------------------------- the store

/// The platform's store as PROTOCOL.md describes it, with the return of letter 11: topics with one partition,
/// conditional appends, reads that wait, the newest record of each key, and `Store-Era`.
class store {
public:
    explicit store(std::string const& ip) : port_{ip, [this](int handle) { serve(handle); }} { port_.start(); }

    struct topic {
        std::vector<std::string> records_;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest_;
    };

    [[nodiscard]] std::string address() const { return port_.address(); }

    /// Writes a key of a keyed topic, as the operator and the servers do; without a value the key is dropped.
    /// While the store is away nothing is written.
    void put(std::string const& name, std::string const& key, std::string const& value)
    {
        std::scoped_lock const lock{mutex_};
        if (down_) {
            return;
        }
        add(topics_[name], static_cast<char>(key.size()) + key + value);
        changed_.notify_all();
    }
    [[nodiscard]] bool holds(std::string const& name)
    {
        std::scoped_lock const lock{mutex_};
        return !topics_[name].newest_.empty();
    }
    [[nodiscard]] std::map<std::string, topic> copy()
    {
        std::scoped_lock const lock{mutex_};
        return topics_;
    }
    void set_down(bool down)
    {
        std::scoped_lock const lock{mutex_};
        down_ = down;
        changed_.notify_all();
    }
    /// Comes back from the copy.
    void return_to(std::map<std::string, topic> copy)
    {
        std::scoped_lock const lock{mutex_};
        topics_ = std::move(copy);
        ++era_;
        down_ = false;
        changed_.notify_all();
    }

private:
    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            text += static_cast<char>(value >> shift & 0xffU);
        }
        return text;
    }
    static std::string to_base64(std::string const& bytes)
    {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
            }
        }
        return text;
    }
    static void add(topic& to, std::string record)
    {
        auto const size = static_cast<std::size_t>(static_cast<unsigned char>(record[0]));
        auto const key = record.substr(1, size);
        if (record.size() > 1 + size) {
            to.newest_[key] = {record.substr(1 + size), to.records_.size()};
        } else {
            to.newest_.erase(key);
        }
        to.records_.push_back(std::move(record));
    }
    static std::map<std::string, std::string> query_of(std::string const& target)
    {
        std::map<std::string, std::string> query;
        auto const mark = target.find('?');
        std::istringstream pairs{mark == std::string::npos ? "" : target.substr(mark + 1)};
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            auto const equals = pair.find('=');
            query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
        }
        return query;
    }

    void serve(int handle)
    {
        std::string buffer;
        while (auto request = read_message(handle, buffer, 60'000)) {
            std::string body;
            std::string type = "application/json";
            auto const target = request->word(1);
            auto const path = target.substr(0, target.find('?'));
            auto query = query_of(target);
            int status = 200;
            std::unique_lock lock{mutex_};
            if (down_) {
                status = 503;
            } else if (path == "/auburnchute/log-append") {
                auto& to = topics_[query["topic"]];
                if (query.contains("at") && std::stoull(query["at"]) != to.records_.size()) {
                    status = 412;
                } else if (request->body_.size() > 4) {
                    add(to, request->body_.substr(4));
                    changed_.notify_all();
                }
                body = json{{"end_offset", to.records_.size()}}.dump();
            } else if (path == "/auburnchute/log-read") {
                auto const from = std::stoull(query["from"]);
                auto const wait = query.contains("wait_ms") ? std::stoll(query["wait_ms"]) : 0;
                auto const era = era_;
                changed_.wait_for(lock, std::chrono::milliseconds{wait}, [&] {
                    return down_ || era != era_ || topics_[query["topic"]].records_.size() > from;
                });
                auto const& of = topics_[query["topic"]];
                if (down_) {
                    status = 503;
                } else if (from > of.records_.size()) {
                    status = 410;
                    body = json{{"first", 0}}.dump();
                } else {
                    type = "application/octet-stream";
                    body = big_endian(of.records_.size(), 8) + big_endian(0, 8);
                    for (auto at = from; at < of.records_.size() && body.size() < 1'000'000; ++at) {
                        body += big_endian(of.records_[at].size(), 4) + of.records_[at];
                    }
                }
            } else if (path == "/auburnchute/log-newest") {
                auto const& of = topics_[query["topic"]];
                auto items = json::array();
                for (auto const& [key, value] : of.newest_) {
                    items.push_back({{"key", key}, {"value", to_base64(value.first)}, {"offset", value.second}});
                }
                body = json{{"items", items}, {"truncated", false}, {"end_offset", of.records_.size()}}.dump();
            } else {
                status = 404;
            }
            auto const answer = "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + std::to_string(era_) +
                                "\r\nContent-Type: " + type + "\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
            lock.unlock();
            if (!send_all(handle, answer)) {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic> topics_;
    std::uint64_t era_{1};
    bool down_{};
    listener port_;
};

// ---------------------------------------------------------------------------------------------- servers

/// A server of a service. It answers what it runs with its proof; `run_` may do otherwise.
class server {
public:
    /// Serves a request that it has begun to run. Returns whether the connection stays open.
    using run_function = std::function<bool(server& self, int handle, http_message const& request)>;

    server(std::string const& ip, std::string id, std::string zone, run_function run)
        : id_{std::move(id)}, zone_{std::move(zone)}, run_{std::move(run)},
          port_{ip, [this](int handle) { serve(handle); }}
    {
        port_.start();
    }

    [[nodiscard]] std::string const& id() const noexcept { return id_; }
    [[nodiscard]] json entry() const
    {
        return {{"service", "desk"},      {"address", port_.address()},
                {"zone", zone_},          {"version", version_},
                {"slots", 16},            {"state", leaving_ ? "draining" : "ready"},
                {"cold_remaining_ms", 0}, {"sequence", 1},
                {"born", born_}};
    }
    /// Version of its software. \pre Its entry hasn't been written.
    void set_version(std::string version) { version_ = std::move(version); }
    void drain() { leaving_ = true; }
    void leave()
    {
        gone_ = true;
        crash();
    }
    [[nodiscard]] bool gone() const noexcept { return gone_; }
    /// Fields with which a server that leaves says so in all its answers.
    [[nodiscard]] std::string leave_fields() const
    {
        return leaving_ ? "Server-Leaving: 1\r\nConnection: close\r\n" : "";
    }
    [[nodiscard]] bool leaving() const noexcept { return leaving_; }
    void crash() { port_.crash(); }

    static std::string answer(http_message const& request, std::string const& body, int status = 200)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + request.field("x-request-id") +
               "\r\nX-Response-Stamp: proof-" + request.field("x-request-id") +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    void serve(int handle)
    {
        std::string buffer;
        while (auto request = read_message(handle, buffer, 60'000)) {
            auto const path = request->word(1);
            if (path == "/health") {
                if (!send_all(handle, "HTTP/1.1 " + std::string{leaving_ ? "503" : "200"} + " X\r\nX-Instance-Id: " +
                                          id_ + "\r\n" + leave_fields() + "Content-Length: 0\r\n\r\n") ||
                    leaving_) {
                    return;
                }
                continue;
            }
            auto const target = request->field("x-target-instance");
            if (!target.empty() && target != id_) {
                if (!send_all(handle, "HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
                                          request->field("x-request-id") + "\r\n" + leave_fields() +
                                          "Content-Length: 0\r\n\r\n") ||
                    leaving_) {
                    return;
                }
                continue;
            }
            if (!run_(*this, handle, *request)) {
                return;
            }
        }
    }

    std::string id_;
    std::string zone_;
    run_function run_;
    std::string version_{"v1"};
    std::int64_t born_{std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()};
    std::atomic<bool> leaving_{};
    std::atomic<bool> gone_{};
    listener port_;
};

// ---------------------------------------------------------------------------------------------- daemons

/// One entry daemon, started with the command of the deploy file.
class daemon_process {
public:
    static constexpr int callers_port = 8221;
    static constexpr int ready_port = 8224;
    static constexpr int directory_port = 8220;

    daemon_process(std::string folder, std::string vm, std::string ip, std::string zone, std::string store_address)
        : folder_{std::move(folder)}, vm_{std::move(vm)}, ip_{std::move(ip)}, zone_{std::move(zone)},
          store_{std::move(store_address)}
    {
    }
    daemon_process(daemon_process const&) = delete;
    daemon_process& operator=(daemon_process const&) = delete;

    void start(bool first)
    {
        auto const settings = folder_ + "/" + vm_ + ".yaml";
        // deploy/entry.yaml.in with the figures of plumavera-gdl.
        std::ofstream{settings} << "vm: \"" << vm_ << "\"\nip: \"" << ip_ << "\"\navailability_zone: \"" << zone_
                                << "\"\nfirst_start: " << (first ? "true" : "false")
                                << "\nprocessor_share: 0.25\ncallers_listen: \"" << ip_ << ":" << callers_port
                                << "\"\nready_listen: \"" << ip_ << ":" << ready_port << "\"\ndirectory_listen: \""
                                << ip_ << ":" << directory_port << "\"\npeer_port: 7600\nmetrics_port: 7615\n"
                                << "store_address: \"" << store_ << "\"\n"
                                << "config_in_force_ms: 2000\nleave_in_force_ms: 2000\nkey_withdrawal_ms: 5000\n"
                                << "order_lease_ms: 3000\nshutdown_grace_s: 8\ndirectory_lifetime_s: 5\n"
                                << "retry_ratio: 0.2\nretry_extra: 58\nload_window_s: 5\n"
                                << "agreements: [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                                   "\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n"
                                << "memory_mb: 260\nmax_descriptors: 4100\n";
        auto const log = folder_ + "/" + vm_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it never outlives the case
            auto* const out = std::freopen(log.c_str(), "a", stdout);
            auto* const err = std::freopen(log.c_str(), "a", stderr);
            (void)out;
            (void)err;
            ::execl("target/auburnchute-entry", "target/auburnchute-entry", "--settings", settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record.line("started " + vm_ + " at " + ip_);
    }
    /// Kills the process as the platform's SIGKILL does.
    void kill()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    [[nodiscard]] bool alive() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    [[nodiscard]] std::string const& ip() const noexcept { return ip_; }
    [[nodiscard]] std::string const& vm() const noexcept { return vm_; }
    [[nodiscard]] bool ready() const
    {
        int const handle = connect_to(ip_, ready_port);
        if (handle < 0) {
            return false;
        }
        std::string buffer;
        send_all(handle, "GET /auburnchute/ready HTTP/1.1\r\nHost: " + ip_ + "\r\nConnection: close\r\n\r\n");
        auto const answer = read_message(handle, buffer, 1'000);
        ::close(handle);
        return answer && answer->word(1) == "200";
    }

private:
    std::string folder_;
    std::string vm_;
    std::string ip_;
    std::string zone_;
    std::string store_;
    pid_t pid_{-1};
};

// ---------------------------------------------------------------------------------------------- clients

struct reply {
    int status_{};     ///< 0: the channel ended without an answer.
    bool whole_{};     ///< The answer came to its end.
    std::string text_; ///< Head and body.
};

/// Sends one request on a new channel and reads the answer to its end.
inline reply ask(std::string const& ip, std::string const& method, std::string const& path, std::string const& id,
                 std::string const& fields, std::string const& body = "", std::int64_t limit_ms = 5'000)
{
    reply got;
    int const handle = connect_to(ip, daemon_process::callers_port);
    if (handle < 0) {
        return got;
    }
    send_all(handle, method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
                         "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) + "\r\nConnection: close\r\n" + fields +
                         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
                         body);
    auto const until = now_ms() + limit_ms + 500;
    while (now_ms() < until && receive_some(handle, got.text_, until - now_ms())) {
    }
    ::close(handle);
    auto const end = got.text_.find("\r\n\r\n");
    if (end == std::string::npos) {
        return got;
    }
    http_message head;
    parse_head(got.text_.substr(0, end), head);
    got.status_ = std::atoi(head.word(1).c_str());
    auto const length = head.field("content-length");
    got.whole_ = length.empty() ? got.text_.ends_with("0\r\n\r\n")
                                : got.text_.size() - end - 4 == static_cast<std::size_t>(std::stoull(length));
    return got;
}

// ---------------------------------------------------------------------------------------------- a deployment

/// A small deployment: a store, servers of the service `desk`, and daemons in three zones.
class deployment {
public:
    deployment(std::string folder, std::string const& config) : folder_{std::move(folder)}, store_{ip_of(0)}
    {
        store_.put("keyed.op", "config", config);
        std::thread{[this] {
            while (true) {
                sleep_ms(heartbeat_ms);
                write_entries();
            }
        }}.detach();
    }

    /// A loopback address that no other run uses at the same time. 0 is the store's and the servers'.
    static std::string ip_of(int vm)
    {
        auto const pid = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(100 + vm) + "." + std::to_string(pid >> 8U & 0xffU) + "." +
               std::to_string(1 + (pid & 0xffU) % 254U);
    }
    server& add_server(std::string const& id, server::run_function run)
    {
        auto& made = add_silent_server(id, std::move(run));
        put_entry(made);
        return made;
    }
    /// A server that has not written its entry yet.
    server& add_silent_server(std::string const& id, server::run_function run)
    {
        servers_.push_back(std::make_unique<server>(
            ip_of(0), id, std::string(1, static_cast<char>('a' + servers_.size() % 3)), std::move(run)));
        return *servers_.back();
    }
    /// From now on the server writes its entry every `heartbeat_ms`.
    void put_entry(server& of)
    {
        std::scoped_lock const lock{entries_mutex_};
        if (std::find(reporting_.begin(), reporting_.end(), &of) == reporting_.end()) {
            reporting_.push_back(&of);
        }
        store_.put("keyed.servers", of.id(), of.entry().dump());
    }
    /// The server has left: its entry is removed.
    void drop_entry(server& of)
    {
        std::scoped_lock const lock{entries_mutex_};
        std::erase(reporting_, &of);
        store_.put("keyed.servers", of.id(), "");
    }
    /// All servers write their entries.
    void write_entries()
    {
        std::scoped_lock const lock{entries_mutex_};
        for (auto* const each : reporting_) {
            store_.put("keyed.servers", each->id(), each->entry().dump());
        }
    }
    /// A daemon of a further machine, not started yet.
    daemon_process& add_daemon()
    {
        auto const number = static_cast<int>(daemons_.size()) + 1;
        auto const zone = std::string(1, static_cast<char>('a' + (number - 1) % 3));
        daemons_.push_back(std::make_unique<daemon_process>(folder_, "front-" + zone + "-" + std::to_string(number),
                                                            ip_of(number), zone, store_.address()));
        return *daemons_.back();
    }
    void stop_daemons()
    {
        for (auto const& each : daemons_) {
            each->kill();
        }
    }
    void start_daemons(int count)
    {
        for (int i = 0; i < count; ++i) {
            add_daemon().start(true);
        }
        wait_until(15'000, "the daemons are not ready", [&] {
            return std::all_of(daemons_.begin(), daemons_.end(), [](auto const& each) { return each->ready(); });
        });
    }
    static void wait_until(std::int64_t limit_ms, std::string const& why, std::function<bool()> const& holds)
    {
        auto const until = now_ms() + limit_ms;
        while (!holds()) {
            if (now_ms() > until) {
                throw cannot_run{why};
            }
            sleep_ms(50);
        }
    }

    static constexpr std::int64_t heartbeat_ms = 1'200; // as the settings state it

    std::string folder_;
    store store_;
    std::vector<std::unique_ptr<server>> servers_;
    std::mutex entries_mutex_;
    std::vector<server*> reporting_; ///< Servers that write their entries.
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

inline bool trouble()
{
    auto const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

inline json basic_config(int version, json tenants)
{
    auto const route = [](std::string const& name, std::string const& type, int timeout, int attempts) {
        return json{{"name", name},        {"host", "h.example"},       {"path_prefix", "/" + name + "/"},
                    {"route_type", type},  {"timeout_ms", timeout},     {"target_latency_ms", 400},
                    {"priority", 1},       {"service", "desk"},         {"max_attempts", attempts},
                    {"public", false},     {"gap_target_ms", 250}};
    };
    return {{"version", version},
            {"routes", json::array({route("buy", "unsafe", 3'000, 1), route("look", "safe", 3'000, 2),
                                    route("talk", "streaming", 15'000, 1)})},
            {"services", json::array({{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 370}}})},
            {"tenants", std::move(tenants)},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 1'000'000},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

inline json tenant(std::string const& name, std::vector<std::string> const& keys)
{
    return {{"name", name}, {"api_keys", keys}, {"rate_per_s", 0}, {"burst", 0}};
}

/// Runs a case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
/// \param broken Plays the case on a deployment that lives until the process ends, as its threads do.
inline int run_case(int argc, char** argv, std::string const& config, std::function<bool(deployment&)> const& broken)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD-FILE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    auto pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        std::cerr << "no temporary folder\n";
        return 2;
    }
    int code = 2;
    deployment* world = nullptr;
    try {
        world = new deployment{pattern, config};
        record.line(trouble() ? "with the disruption" : "without the disruption");
        code = broken(*world) ? 1 : 0;
        record.line(code == 1 ? "the rule was broken" : "the rule held");
    } catch (cannot_run const& failure) {
        record.line("could not run: " + failure.why_);
        std::cerr << "could not run: " << failure.why_ << '\n';
    } catch (std::exception const& failure) {
        record.line(std::string{"could not run: "} + failure.what());
        std::cerr << "could not run: " << failure.what() << '\n';
    }
    if (world != nullptr) {
        world->stop_daemons();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(pattern, ignored);
    } else {
        std::cerr << "logs in " << pattern << '\n';
    }
    std::cout << (code == 1 ? "BROKEN" : code == 0 ? "held" : "not run") << std::endl;
    std::_Exit(code);
}

} // namespace review
