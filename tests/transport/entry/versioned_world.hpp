#pragma once

#include "soak/loopback_proxy.hpp"
#include "transport/entry/entry_world.hpp"

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <optional>
#include <set>

namespace auburnchute::tests {

using steady = std::chrono::steady_clock;

/// A stream lasts 3 s.
inline constexpr int stream_events = 60;
inline constexpr std::chrono::milliseconds event_pause{50};

/// What a caller allows for a stream with all its attempts.
inline constexpr std::chrono::seconds stream_patience{16};

/// Within which a request that can't be served is refused.
inline constexpr std::chrono::milliseconds refusal_bound{1'000};

/// An attempt after whose last event the caller leaves.
inline constexpr int never_leaves = stream_events + 1;

/// What an attempt at a stream brought.
struct attempt_end {
    int status_{}; ///< 0: no answer.
    int events_{};
    std::chrono::milliseconds answered_after_{};
    std::chrono::milliseconds retry_after_{};
};

/// A stream as its caller sees it, over all attempts.
///
/// Thread safety: used by one attempt at a time; `last_event_` and `attempts_` may be read at any time.
struct resumable_stream {
    explicit resumable_stream(std::string name) : name_{std::move(name)} {}

    [[nodiscard]] bool begun() const { return last_event_ > 0; }
    [[nodiscard]] bool joined() const { return versions_.size() > 1; }
    [[nodiscard]] std::string version() const { return versions_.empty() ? "" : *versions_.begin(); }

    std::string name_;
    std::string path_{"/resume/question"};
    std::string origin_;                 ///< X-Request-Id of the attempt that brought the first event.
    std::optional<std::string> resumes_; ///< What `Resumes` says in place of `origin_`; see `sends_resumes_`.
    bool sends_resumes_{true};           ///< Whether take-ups have the field.
    std::set<std::string> versions_;     ///< Software versions that made its events.
    int out_of_order_{};                 ///< Events that don't follow the one before.
    std::atomic<int> last_event_{0};
    std::atomic<int> attempts_{0}; ///< Attempts that were sent.
    bool whole_{};
    std::vector<attempt_end> take_ups_;
    steady::time_point deadline_{steady::now() + stream_patience};
};

/// \brief Takes the body of an answer in chunks apart, as it arrives.
class chunked_body {
public:
    /// \returns The events that are whole now.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes)
    {
        unread_ += bytes;
        for (auto line = unread_.find("\r\n"); line != std::string::npos && !ended_;
             line = unread_.find("\r\n")) {
            auto const size = std::stoul(unread_.substr(0, line), nullptr, 16);
            if (unread_.size() < line + 2 + size + 2) {
                break;
            }
            text_ += unread_.substr(line + 2, size);
            unread_.erase(0, line + 2 + size + 2);
            ended_ = size == 0;
        }
        std::vector<std::string> events;
        for (auto end = text_.find("\n\n"); end != std::string::npos; end = text_.find("\n\n")) {
            events.push_back(text_.substr(0, end + 1));
            text_.erase(0, end + 2);
        }
        return events;
    }

    [[nodiscard]] bool ended() const { return ended_; }

private:
    std::string unread_; ///< Of the chunks.
    std::string text_;   ///< Of an event that isn't whole.
    bool ended_{};
};

/// \returns The value of an event's line with that name.
inline std::string event_line(std::string const& event, std::string const& name)
{
    auto const at = ("\n" + event).find("\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    auto const begin = at + name.size() + 2;
    return event.substr(begin, event.find('\n', begin) - begin);
}

inline void note_event(resumable_stream& stream, std::string const& event)
{
    auto const number = std::stoi("0" + event_line(event, "id"));
    stream.out_of_order_ += number == stream.last_event_ + 1 ? 0 : 1;
    stream.versions_.insert(event_line(event, "data"));
    stream.last_event_ = number;
}

/// \brief Reads the answer to an attempt with that id until it ends, or the caller leaves.
inline attempt_end read_stream(resumable_stream& stream, owned_socket const& connection,
                               std::string const& id, int leave_after)
{
    auto const sent = steady::now();
    attempt_end end;
    auto text = connection.receive_until("\r\n\r\n");
    auto const head = text.find("\r\n\r\n");
    if (head == std::string::npos) {
        return end;
    }
    end.status_ = entry_world::status_of(text);
    end.answered_after_ = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - sent);
    auto const retry_after = received_request{text.substr(0, head + 2), {}}.field("Retry-After");
    end.retry_after_ = std::chrono::milliseconds{static_cast<int>(std::stod("0" + retry_after) * 1'000)};
    if (end.status_ != 200) {
        return end;
    }
    chunked_body body;
    text.erase(0, head + 4);
    for (bool open = true; open && !body.ended() && stream.last_event_ < leave_after;) {
        for (auto const& event : body.feed(text)) {
            if (!stream.begun()) {
                stream.origin_ = id;
            }
            note_event(stream, event);
            ++end.events_;
        }
        stream.whole_ = stream.whole_ || body.ended();
        if (!body.ended() && stream.last_event_ < leave_after) {
            text = connection.receive();
            open = !text.empty();
        }
    }
    return end;
}

/// \brief Sends a stream, or takes it up, with an id of its own for each attempt, and reads it to its end.
/// \param leave_after The caller closes the connection after this event.
inline attempt_end attempt(resumable_stream& stream, std::string const& ip, int leave_after = never_leaves)
{
    auto const id = stream.name_ + "-" + std::to_string(stream.attempts_ + 1);
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(stream.deadline_ - steady::now());
    auto head = "POST " + stream.path_ +
                " HTTP/1.1\r\nHost: h.example\r\nApi-Key: key\r\nConnection: close\r\nX-Request-Id: " + id +
                "\r\nX-Deadline-Ms: " + std::to_string(left.count()) + "\r\n";
    bool const takes_up = stream.begun();
    if (takes_up) {
        head += "Last-Event-Id: " + std::to_string(stream.last_event_) + "\r\n";
        head += stream.sends_resumes_ ? "Resumes: " + stream.resumes_.value_or(stream.origin_) + "\r\n" : "";
    }
    attempt_end end;
    try {
        auto const connection = connect_to(ip, callers_port);
        connection.send(head + "Content-Length: " + std::to_string(stream.name_.size()) + "\r\n\r\n" +
                        stream.name_);
        ++stream.attempts_;
        end = read_stream(stream, connection, id, leave_after);
    } catch (std::runtime_error const&) {
        end.status_ = 0; // nobody listens
    }
    if (takes_up) {
        stream.take_ups_.push_back(end);
    }
    return end;
}

/// \brief Waits as long as a caller does after a refusal: as it is told, up to a third of the time it has.
inline void wait_after(resumable_stream const& stream, attempt_end const& end)
{
    constexpr std::chrono::milliseconds shortest{100}; // after an answer that asks for no time
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(stream.deadline_ - steady::now());
    ::poll(nullptr, 0, static_cast<int>(std::max(shortest, std::min(end.retry_after_, left / 3)).count()));
}

/// \returns Whether a caller has the time to send its request once more.
inline bool has_time(resumable_stream const& stream)
{
    constexpr std::chrono::milliseconds least{200};
    return steady::now() + least < stream.deadline_;
}

/// \brief Takes a stream up at one VM after the other until it is whole or its caller's time is over.
inline void finish(resumable_stream& stream, std::vector<std::string> const& ips)
{
    for (std::size_t i = 0; !stream.whole_ && has_time(stream); ++i) {
        auto const end = attempt(stream, ips[i % ips.size()]);
        if (end.status_ != 200) {
            wait_after(stream, end);
        }
    }
}

/// \brief VMs before upstreams of several software versions. The upstreams answer with streams of numbered
/// events that name the version of the software that made them, and go on behind `Last-Event-Id`.
///
/// Thread safety: `is_served` and `begin_at` may be called from any thread.
class versioned_world {
public:
    /// \param versions Of each upstream's software at the start; empty: its entry states none.
    explicit versioned_world(std::vector<std::string> const& versions, std::size_t vms = 3,
                             std::string const& config = config_document(3, "\"key\""))
        : world_{{}, settings, config}
    {
        world_.slots_ = 60; // no stream has to wait
        for (auto const& version : versions) {
            (void)add_upstream(version);
        }
        for (std::size_t vm = 0; vm < vms; ++vm) {
            auto address = own_address();
            ips_.push_back(vm == 0 ? address
                                   : address.replace(address.find("127.77."), 7,
                                                     "127." + std::to_string(80 + vm) + "."));
            links_.push_back(std::make_unique<loopback_proxy>(world_.ip_, world_.ip_, world_.store_.port()));
            start(vm);
        }
        REQUIRE(eventually(limit, [this] { return all_ready(); }));
        for (auto const& version : versions) {
            CAPTURE(version);
            REQUIRE(eventually(version_limit, [&] { return begins_at(version, ips_[0]); }));
        }
    }
    ~versioned_world()
    {
        for (auto const& [ip, daemon] : world_.daemons_) {
            if (daemon->running()) {
                ::kill(daemon->pid(), SIGCONT);
            }
        }
    }
    versioned_world(versioned_world const&) = delete;
    versioned_world& operator=(versioned_world const&) = delete;

    /// \returns The index of a new upstream, which is registered.
    std::size_t add_upstream(std::string const& version)
    {
        auto& state = upstreams_.emplace_back();
        state.version_ = version;
        world_.add_upstream(after_probe([&state](received_request const& request, owned_socket& connection) {
                                ++state.running_;
                                bool const open = answer(state, request, connection);
                                --state.running_;
                                return open;
                            }),
                            version);
        return upstreams_.size() - 1;
    }

    /// \brief Ends the upstreams of that version: their streams break and their entries are dropped.
    void remove_upstreams(std::string const& version)
    {
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].version_ == version && !upstreams_[i].gone_) {
                upstreams_[i].gone_ = true;
                world_.upstreams_[i]->stop_listening();
                world_.drop_entry(i);
            }
        }
    }

    /// \brief Makes the upstreams of that version leave: they end what they began, and are removed.
    void release(std::string const& version)
    {
        constexpr std::chrono::seconds longest_drain{4}; // a stream and some more
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].version_ == version && !upstreams_[i].gone_) {
                world_.put_entry(i, "draining", 1);
            }
        }
        (void)eventually(longest_drain, [&] {
            return std::all_of(upstreams_.begin(), upstreams_.end(), [&](auto const& state) {
                return state.version_ != version || state.running_ == 0;
            });
        });
        remove_upstreams(version);
    }

    /// \brief Makes upstreams break each new stream off inside the event after this one; 0: none.
    void set_break_after(int event)
    {
        for (auto& state : upstreams_) {
            state.break_after_ = event;
        }
    }

    void start(std::size_t vm)
    {
        world_.start_daemon(ips_[vm], "front-a-" + std::to_string(vm + 1), "a", settings,
                            links_[vm]->address());
    }

    [[nodiscard]] child_process& daemon(std::size_t vm) { return *world_.daemons_.at(ips_[vm]); }

    [[nodiscard]] bool all_ready() const
    {
        return std::all_of(ips_.begin(), ips_.end(), [this](auto const& ip) {
            return world_.ready(ip) &&
                   world_.metric(ip, "auburnchute_members") == static_cast<double>(ips_.size());
        });
    }

    /// \returns Whether one of some new streams at the VM begins at that version.
    [[nodiscard]] bool begins_at(std::string const& version, std::string const& ip)
    {
        constexpr int probes = 8;
        for (int i = 0; i < probes; ++i) {
            resumable_stream probe{"begin-" + std::to_string(++probes_)};
            probe.path_ = "/resume/short/question";
            (void)attempt(probe, ip);
            if (probe.begun() && probe.version() == text_of(version)) {
                return true;
            }
        }
        return false;
    }

    /// \returns What events of this version hold.
    static std::string text_of(std::string const& version) { return version.empty() ? "none" : version; }

    /// A new version gets its first streams some seconds after its entries, and its share grows slowly.
    static constexpr std::chrono::seconds version_limit{30};

    /// Shorter than in operation, so that the tests are brisk; retries are not what they are about.
    static constexpr auto const* settings = "leave_in_force_ms: 1000\nretry_ratio: 1\nretry_extra: 100\n";

private:
    struct upstream_state {
        std::string version_;
        std::atomic<bool> gone_{false};
        std::atomic<int> running_{0}; ///< Streams.
        std::atomic<int> break_after_{0};
    };

    static bool answer(upstream_state const& state, received_request const& request, owned_socket& connection)
    {
        auto const after = request.field("Last-Event-Id");
        int const last = request.head_.find("/short/") == std::string::npos ? stream_events : 1;
        connection.send(stream_head(request));
        for (int number = std::stoi("0" + after) + 1; number <= last; ++number) {
            auto const text = "id: " + std::to_string(number) + "\ndata: " + text_of(state.version_) + "\n\n";
            if (after.empty() && state.break_after_ > 0 && number > state.break_after_) {
                connection.send(chunk(text.substr(0, text.size() / 2)));
                return false;
            }
            connection.send(chunk(text));
            pollfd left{connection.handle(), POLLIN, 0};
            bool const cancelled = number<last&& ::poll(&left, 1, static_cast<int>(event_pause.count()))> 0;
            if (cancelled || state.gone_) {
                connection.reset();
                return false;
            }
        }
        connection.send("0\r\n\r\n");
        return true;
    }

    std::deque<upstream_state> upstreams_; // of upstreams that outlive the daemons
    std::atomic<int> probes_{0};

public:
    entry_world world_;
    std::vector<std::string> ips_;                       ///< Of the VMs.
    std::vector<std::unique_ptr<loopback_proxy>> links_; ///< Of each VM to the store.
};

} // namespace auburnchute::tests
