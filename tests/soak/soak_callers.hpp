#pragma once

#include "soak/soak_world.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace auburnchute::tests {

/// \brief What the callers of a run share.
struct caller_world {
    soak_world& world_;
    oracle& checks_;
    std::uint64_t seed_{};
    std::atomic<bool> ended_{false};
    std::atomic<std::int64_t> last_id_{0};
};

/// \brief What a caller has of a stream.
struct stream_so_far {
    int events_{};         ///< Whole ones.
    std::string first_id_; ///< The request that brought the first one.
    std::string version_;  ///< Software version of the servers that made them.
};

/// \brief A request that a caller may make.
struct soak_request {
    soak_kind kind_{};
    char const* path_{};
    bool model_{}; ///< It names a model.
    soak_work work_;
    std::chrono::milliseconds limit_{4'000}; ///< The caller's time limit.
    std::chrono::milliseconds timeout_{route_timeout};
    stream_so_far so_far_{}; ///< Of the stream that it takes up again.
};

/// Events of the streams that end soon, and the pause between two.
inline constexpr int least_events = 4;
inline constexpr int most_events = 9;
inline constexpr std::chrono::milliseconds event_pause{20};

/// \returns The address of a random VM's callers' port as a random daemon's directory tells, or empty.
inline std::string ask_directory(soak_world& world, std::mt19937_64& random)
{
    auto const& vm = *world.vms_[random() % world.vms_.size()];
    httplib::Client client{vm.ip_, soak_directory_port};
    client.set_connection_timeout(std::chrono::seconds{1});
    client.set_read_timeout(std::chrono::seconds{1});
    auto const answer = client.Get("/auburnchute/resolve?name=h.example&region=r&zone=a");
    if (!answer || answer->status != 200) {
        return {};
    }
    auto const addresses = nlohmann::json::parse(answer->body).at("addresses");
    if (addresses.empty()) {
        return {};
    }
    auto const address = addresses[random() % addresses.size()].get<std::string>();
    return address.substr(0, address.rfind(':'));
}

/// \returns Whether the text is a software version as the soak's upstreams write it.
inline bool is_version(std::string const& text)
{
    return text.size() > 1 && text[0] == 'v' && text.find_first_not_of("0123456789", 1) == std::string::npos;
}

/// Checks the events that came, and adds them to what the caller has. `whole`: the stream ended as complete.
inline void check_events(caller_world& shared, std::string const& id, std::string const& vm,
                         std::string const& body, bool whole, stream_so_far& so_far)
{
    int expected = so_far.events_ + 1;
    auto version = so_far.version_;
    std::istringstream lines{body.substr(0, body.rfind('\n') + 1)}; // the last event may be cut in a line
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("id: ") && std::stoi(line.substr(4)) != expected++) {
            shared.checks_.fail_with("ORDER: " + id + " got event " + line.substr(4) + ", not " +
                                     std::to_string(expected - 1));
        }
        if (line.starts_with("data: ")) {
            auto const made_by = line.substr(std::min(line.size(), 6 + id.size() + 1));
            if (line != "data: " + id + " " + made_by || !is_version(made_by)) {
                shared.checks_.fail_with("MIXED: " + id + " got an event of " + line.substr(6));
            } else if (!version.empty() && made_by != version) {
                shared.checks_.fail_with(
                    "ORDER: " + id + " at " + vm + " got event " + std::to_string(expected - 1) + " of " +
                    made_by + " after " + version +
                    (so_far.first_id_ == id || so_far.first_id_.empty() ? std::string{}
                                                                        : ", taking up " + so_far.first_id_));
            }
            version = made_by;
        }
        if (line.empty()) { // the event is whole
            so_far = {expected - 1, so_far.first_id_.empty() ? id : so_far.first_id_, version};
        }
    }
    if (whole && expected != soak_work::of(id).events_ + 1) {
        shared.checks_.fail_with("ORDER: " + id + " ended as complete after event " +
                                 std::to_string(expected - 1));
    }
}

/// A caller's request on its way; the request gets what comes of its stream.
struct sent_request {
    soak_request made_;
    std::string id_;
    soak_clock::time_point at_;
};

/// Sends a request.
inline sent_request send_one(caller_world& shared, caller_connection& connection, soak_request const& made,
                             std::string const& key, std::string const& model)
{
    auto const id =
        made.work_.id("s" + std::to_string(shared.seed_) + "n" + std::to_string(++shared.last_id_));
    auto const body = made.kind_ == soak_kind::lookup ? std::string{} : "body of " + id;
    auto text = std::string{made.kind_ == soak_kind::lookup ? "GET " : "POST "} + made.path_ +
                " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nApi-Key: " + key +
                "\r\nX-Deadline-Ms: " + std::to_string(made.limit_.count()) +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (made.so_far_.events_ > 0) {
        text += "Last-Event-Id: " + std::to_string(made.so_far_.events_) +
                "\r\nResumes: " + made.so_far_.first_id_ + "\r\n";
    }
    if (!model.empty()) {
        text += "X-Model: " + model + "\r\nX-Token-Counts: 100,20\r\n";
    }
    shared.checks_.note_sent(id, made.kind_, key, connection.vm());
    return {made, id, connection.send(text + "\r\n" + body)};
}

/// Checks the answer to a request; and, if a stopping daemon refuses it, that its connection ends.
/// \param is_last No further request was sent on the connection.
inline caller_answer receive_one(caller_world& shared, caller_connection& connection, sent_request& sent,
                                 bool is_last = true)
{
    /// A caller waits this much longer than its time limit.
    constexpr std::chrono::milliseconds patience{1'500};
    auto& [made, id, at] = sent;
    auto const limit = std::min(made.limit_, made.timeout_);
    auto answer = connection.receive(at, limit + patience, shared.ended_);
    if (answer.status_ == 200 &&
        (answer.field("X-Request-Id") != id || answer.field("X-Response-Stamp").empty())) {
        shared.checks_.fail_with("MIXED: " + id + " got an answer to " + answer.field("X-Request-Id"));
    }
    if (answer.status_ == 200 && made.work_.events_ > 0) {
        check_events(shared, id, connection.vm(), answer.body_, answer.is_whole(), made.so_far_);
    } else if (answer.status_ == 200 && answer.is_whole() && answer.body_ != soak_work::body(id)) {
        shared.checks_.fail_with("MIXED: " + id + " got '" + answer.body_.substr(0, 100) + "'");
    }
    if (answer.extra_bytes_) {
        shared.checks_.fail_with("MIXED: more came than the answer to " + id);
    }
    if (!answer.field("Server-Leaving").empty()) {
        shared.checks_.note_leave_passed_on(connection.vm(), answer.field("X-Process"));
    }
    if (answer.is_whole()) {
        shared.checks_.note_status(id, answer.status_);
    }
    bool const refused_in_stop = answer.is_whole() && answer.status_ == 503 && answer.body_ == "stopping\n";
    bool const stays_open = refused_in_stop && is_last && !connection.has_ended(loss_check::close_limit);
    shared.checks_.losses_.note_ended(id, connection.vm(), limit, answer, is_last, stays_open);
    return answer;
}

/// \returns Why a request did not run, as its answer tells.
inline std::string refusal_of(caller_answer const& answer)
{
    return answer.is_whole()
               ? std::to_string(answer.status_) + " " + answer.body_.substr(0, answer.body_.find('\n'))
               : "no answer";
}

/// Sends a request and waits for its answer. \param made Gets what comes of its stream.
inline caller_answer call_once(caller_world& shared, caller_connection& connection, soak_request& made,
                               std::string const& key, std::string const& model)
{
    constexpr int unauthorized = 401;
    constexpr int too_many_requests = 429;
    auto sent = send_one(shared, connection, made, key, model);
    auto answer = receive_one(shared, connection, sent);
    bool const is_owed = answer.end_ != answer_end::left && answer.status_ != unauthorized &&
                         answer.status_ != too_many_requests;
    if (made.kind_ == soak_kind::resumable_stream && is_owed) {
        bool const taken_up = made.so_far_.events_ > 0;
        auto const& losses = shared.checks_.losses_;
        shared.checks_.note_stream(
            taken_up, answer.status_ == 200 ? std::string{} : refusal_of(answer),
            losses.is_calm(connection.vm(), sent.at_) && losses.is_calm(loss_check::store, sent.at_) &&
                (!taken_up || shared.world_.servers_of(made.so_far_.version_, sent.at_) >= 2));
    }
    made.so_far_ = sent.made_.so_far_;
    return answer;
}

/// Sends two requests at once, reads late, and wants the answers one after the other.
/// \returns The last answer that came.
inline caller_answer call_twice(caller_world& shared, caller_connection& connection, std::string const& key)
{
    constexpr std::size_t large = 150'000;
    constexpr std::chrono::milliseconds reads_late{100};
    soak_request const made{soak_kind::lookup, "/look/1", false, {0, {}, large}};
    auto first = send_one(shared, connection, made, key, "");
    auto second = send_one(shared, connection, made, key, "");
    std::this_thread::sleep_for(reads_late); // the daemon may close meanwhile
    auto const answer = receive_one(shared, connection, first, false);
    second.at_ = answer.ended_at_; // a daemon reads it once the first one is answered
    return answer.is_whole() ? receive_one(shared, connection, second) : answer;
}

/// \returns A connection to the VM; empty if nobody listens there.
inline std::unique_ptr<caller_connection> try_connect(std::string const& vm, int window = 0)
{
    try {
        return std::make_unique<caller_connection>(vm, soak_callers_port, window);
    } catch (std::runtime_error const&) {
        return nullptr; // a caller whose VM is gone asks the directory again
    }
}

/// Sends a request, and takes its stream up again elsewhere if it breaks off and may be resumed.
/// \returns The first answer.
inline caller_answer call_through(caller_world& shared, caller_connection& connection, soak_request made,
                                  std::string const& key, std::mt19937_64& random)
{
    using namespace std::chrono;
    constexpr int most_take_ups = 3;
    constexpr milliseconds least_left{100};
    constexpr milliseconds look_again{100}; // while the directory names no VM
    auto const end = soak_clock::now() + made.limit_;
    auto const model = made.model_ ? "m" + std::to_string(1 + random() % 3) : std::string{};
    auto const first = call_once(shared, connection, made, key, model);
    auto last = first;
    for (int taken_up = 0; made.kind_ == soak_kind::resumable_stream && taken_up < most_take_ups;) {
        auto const left = duration_cast<milliseconds>(end - soak_clock::now());
        bool const is_refusal = last.is_whole() && last.status_ >= 500 && made.so_far_.events_ > 0;
        if ((last.is_whole() && !is_refusal) || left < least_left || shared.ended_) {
            break;
        }
        if (is_refusal) {
            milliseconds const told{std::lround(std::atof(last.field("Retry-After").c_str()) * 1'000)};
            std::this_thread::sleep_for(std::min(told, left / 3)); // as the daemon asks
        }
        auto const vm = ask_directory(shared.world_, random);
        auto const next = vm.empty() ? nullptr : try_connect(vm);
        if (!next) {
            std::this_thread::sleep_for(look_again);
            continue;
        }
        made.limit_ = duration_cast<milliseconds>(end - soak_clock::now());
        if (made.limit_ >= least_left) {
            last = call_once(shared, *next, made, key, model);
            ++taken_up;
        }
    }
    return first;
}

/// \returns A request that its upstream answers soon.
inline soak_request brisk_request(std::mt19937_64& random)
{
    soak_work const stream{least_events + static_cast<int>(random() % (most_events - least_events + 1)),
                           event_pause};
    std::array const all{soak_request{soak_kind::purchase, "/buy/1", false, {}},
                         soak_request{soak_kind::lookup, "/look/1", false, {}},
                         soak_request{soak_kind::stream, "/watch/1", false, stream},
                         soak_request{soak_kind::resumable_stream, "/resume/1", false, stream},
                         soak_request{soak_kind::stream, "/ask/1", true, stream}};
    return all[random() % all.size()];
}

/// \returns A request of any length and time limit, also streams that outlast the grace time.
inline soak_request any_request(std::mt19937_64& random, std::chrono::milliseconds grace)
{
    using std::chrono::milliseconds;
    constexpr std::array limits{milliseconds{300}, milliseconds{800}, milliseconds{2'000},
                                milliseconds{4'000}, milliseconds{8'000}};
    constexpr milliseconds long_pause{50};
    auto const limit = limits[random() % limits.size()];
    auto const work = milliseconds{random() % 4 == 0 ? random() % 1'500 : random() % 300};
    switch (random() % 6) {
    case 0:
        return {soak_kind::purchase, "/buy/1", false, {0, work}, limit};
    case 1:
        return {soak_kind::lookup, "/look/1", false, {0, work}, limit};
    case 2: {
        auto const lasts = grace / 4 + grace * static_cast<int>(random() % 130) / 100;
        return {soak_kind::stream,
                "/long/1",
                false,
                {static_cast<int>(lasts / long_pause) + 1, long_pause},
                long_route_timeout,
                long_route_timeout};
    }
    default: {
        auto made = brisk_request(random);
        made.limit_ = limit;
        return made;
    }
    }
}

/// Uses one connection at a time as fast as it can, and connects again while the VM listens.
inline void run_brisk_caller(caller_world& shared, int number)
{
    std::mt19937_64 random{shared.seed_ * 1'000 + static_cast<std::uint64_t>(number)};
    bool const limited = number % 8 == 0;
    while (!shared.ended_) {
        auto const vm = ask_directory(shared.world_, random);
        auto connection = vm.empty() ? nullptr : try_connect(vm);
        if (!connection) {
            std::this_thread::sleep_for(std::chrono::milliseconds{100}); // a caller's pause
            continue;
        }
        // Some callers go on with a key that was withdrawn.
        bool const withdrawn = !limited && random() % 4 == 0;
        auto const key = limited     ? std::string{"k0-limited"}
                         : withdrawn ? shared.world_.withdrawn_key()
                                     : shared.world_.oldest_key();
        for (int i = 0; i < 40 && connection && !shared.ended_; ++i) {
            auto const made = brisk_request(random);
            auto const answer = call_through(shared, *connection, made, key, random);
            if (!answer.is_whole() || (answer.status_ == 401 && !withdrawn)) {
                break;
            }
            // Some go on although the daemon says that it closes: their requests cross its close.
            if (answer.field("Connection") == "close" && random() % 2 == 0) {
                connection = try_connect(vm);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{random() % 40}); // between two requests
        }
    }
}

/// Holds connections to several VMs, idle most of the time, and uses each until the daemon ends it.
inline void run_patient_caller(caller_world& shared, int number)
{
    constexpr std::size_t held = 3;
    constexpr int small_window = 4'096; // bytes; large answers wait at the daemon's side
    auto const grace = shared.checks_.losses_.grace();
    std::mt19937_64 random{shared.seed_ * 1'000 + static_cast<std::uint64_t>(number)};
    std::vector<std::unique_ptr<caller_connection>> connections;
    while (!shared.ended_) {
        if (connections.size() < held) {
            auto const vm = ask_directory(shared.world_, random);
            if (auto made = vm.empty() ? nullptr : try_connect(vm, number % 4 == 1 ? small_window : 0)) {
                connections.push_back(std::move(made));
            }
        }
        if (!connections.empty()) {
            auto const at = connections.begin() + static_cast<std::ptrdiff_t>(random() % connections.size());
            auto const made = any_request(random, grace);
            auto const key = shared.world_.oldest_key();
            auto const answer = random() % 8 == 0 ? call_twice(shared, **at, key)
                                                  : call_through(shared, **at, made, key, random);
            if (!answer.is_whole()) {
                connections.erase(at);
            }
        }
        auto const longest = random() % 6 == 0 ? grace.count() / 2 : 40;
        auto const pause_end =
            soak_clock::now() +
            std::chrono::milliseconds{random() % static_cast<std::uint64_t>(longest)}; // idle in between
        while (soak_clock::now() < pause_end && !shared.ended_) {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
    }
}

/// Asks for streams that last long enough for faults to cut them, each on a connection of its own.
inline void run_stream_caller(caller_world& shared, int number)
{
    using std::chrono::milliseconds;
    constexpr milliseconds pause{50};
    constexpr milliseconds limit{10'000};
    std::mt19937_64 random{shared.seed_ * 1'000 + 500 + static_cast<std::uint64_t>(number)};
    while (!shared.ended_) {
        auto const vm = ask_directory(shared.world_, random);
        if (auto const connection = vm.empty() ? nullptr : try_connect(vm)) {
            // 1 to 3 s
            soak_work const work{20 + static_cast<int>(random() % 41), pause};
            call_through(shared, *connection, {soak_kind::resumable_stream, "/resume/1", false, work, limit},
                         shared.world_.oldest_key(), random);
        }
        std::this_thread::sleep_for(milliseconds{random() % 200}); // between two requests
    }
}

inline void run_caller(caller_world& shared, int number)
{
    number % 2 == 0 ? run_brisk_caller(shared, number) : run_patient_caller(shared, number);
}

/// Waits until a request of each kind is served at every daemon. \returns False if that took too long.
inline bool served_everywhere(caller_world& shared, std::chrono::seconds limit)
{
    auto const end = soak_clock::now() + limit;
    std::array const all{
        soak_request{soak_kind::lookup, "/look/1", false, {}},
        soak_request{soak_kind::purchase, "/buy/1", false, {}},
        soak_request{soak_kind::resumable_stream, "/resume/1", false, {least_events, event_pause}}};
    for (auto const& vm : shared.world_.vms_) {
        for (auto made : all) {
            while (true) {
                auto const connection = try_connect(vm->ip_);
                if (connection &&
                    call_once(shared, *connection, made, shared.world_.oldest_key(), "").status_ == 200) {
                    break;
                }
                if (soak_clock::now() > end) {
                    shared.checks_.fail_with("RECOVER: " + vm->name_ + " does not serve " + made.path_);
                    return false;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds{100}); // between two tries
            }
        }
    }
    return true;
}

} // namespace auburnchute::tests
