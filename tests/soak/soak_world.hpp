#pragma once

#include "soak/loopback_proxy.hpp"
#include "soak/oracle.hpp"
#include "transport/child_process.hpp"
#include "transport/entry/standin_platform.hpp"

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <random>

namespace auburnchute::tests {

inline constexpr int soak_callers_port = 8221;
inline constexpr int soak_ready_port = 8224;
inline constexpr int soak_directory_port = 8220;
inline constexpr std::chrono::milliseconds route_timeout{4'000};
inline constexpr std::chrono::milliseconds long_route_timeout{15'000};

/// \returns The first three numbers of loopback addresses that no other soak uses at the same time, and a
/// dot.
inline std::string own_network()
{
    auto const pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(80 + (pid >> 8U) % 128U) + "." + std::to_string(pid & 0xffU) + ".";
}

/// \brief What an upstream does for a request. Its caller picks it, and the request's id carries it.
struct soak_work {
    int events_{};                   ///< Of the whole stream; 0: one answer.
    std::chrono::milliseconds each_; ///< Until the answer, or between two events.
    std::size_t padding_{};          ///< Bytes behind one answer's text.

    /// \param name A part of the id that no other request has, without `-`.
    [[nodiscard]] std::string id(std::string const& name) const
    {
        return name + "-" + std::to_string(events_) + "-" + std::to_string(each_.count()) + "-" +
               std::to_string(padding_);
    }

    [[nodiscard]] static soak_work of(std::string const& id)
    {
        soak_work read;
        char mark{};
        std::istringstream text{id.substr(id.find('-') + 1)};
        std::int64_t each{};
        text >> read.events_ >> mark >> each >> mark >> read.padding_;
        read.each_ = std::chrono::milliseconds{each};
        return read;
    }

    /// \returns The whole answer's body, if it has no events.
    [[nodiscard]] static std::string body(std::string const& id)
    {
        return id + " is whole" + std::string(of(id).padding_, '.');
    }
};

/// \brief A model engine's placement: it carries out one order at a time.
class soak_engine {
public:
    soak_engine(std::string id, oracle& checks) : id_{std::move(id)}, checks_{checks} {}

    /// \returns The answer to an order or a question about the state; empty if the request is another one.
    [[nodiscard]] std::string answer(received_request const& request)
    {
        std::scoped_lock const lock{mutex_};
        finish_load();
        if (request.head_.starts_with("GET /auburnchute/report")) {
            return answer_to(request, report());
        }
        if (!request.head_.starts_with("POST /auburnchute/order")) {
            return {};
        }
        auto const order = nlohmann::json::parse(request.body_);
        checks_.note_order(id_, order.at("holder"), order.at("fence_token"));
        if (!loading_.empty() || order.value("precondition", accepted_) != accepted_) {
            return answer_to(request, "{}", 409);
        }
        ++accepted_;
        auto const model = order.at("model").get<std::string>();
        if (order.at("operation") == "unload") {
            models_.erase(model);
        } else if (models_.size() < room) {
            loading_ = model;
            loaded_at_ = soak_clock::now() + load_time;
        } else {
            checks_.fail_with("LIMIT: " + id_ + " was ordered to load more than it holds");
        }
        return answer_to(request, "{}", 202);
    }

    [[nodiscard]] bool holds(std::string const& model)
    {
        std::scoped_lock const lock{mutex_};
        finish_load();
        return models_.contains(model);
    }

private:
    static constexpr std::size_t room = 2; ///< Models of equal size.
    static constexpr std::chrono::milliseconds load_time{300};

    void finish_load()
    {
        if (!loading_.empty() && soak_clock::now() >= loaded_at_) {
            models_.insert(std::exchange(loading_, {}));
        }
    }

    [[nodiscard]] std::string report() const
    {
        auto models = nlohmann::json::array();
        for (auto const& model : models_) {
            models.push_back({{"name", model}, {"version", 1}, {"adapters", nlohmann::json::array()}});
        }
        return nlohmann::json{{"stage", "both"},       {"models", models},    {"busy", !loading_.empty()},
                              {"sequence", accepted_}, {"queued", 0},         {"active", 0},
                              {"kv_used", 0},          {"kv_total", 100'000}, {"handles", 0}}
            .dump();
    }

    std::string id_;
    oracle& checks_;
    std::mutex mutex_;
    std::set<std::string> models_;
    std::string loading_;
    soak_clock::time_point loaded_at_;
    std::int64_t accepted_{};
};

/// \brief An upstream behind a proxy; an engine too, if it is of the service with models.
struct soak_upstream {
    std::string id_;
    std::string service_;
    std::unique_ptr<soak_engine> engine_;
    std::unique_ptr<scripted_upstream> server_;
    std::unique_ptr<loopback_proxy> proxy_;
    std::string state_; ///< As its entry says; empty: it has none.
    std::atomic<bool> loses_answers_{false};
    std::atomic<bool> leaving_{false};                  ///< Its answers say that it leaves.
    std::atomic<std::int64_t> born_{1'700'000'000'000}; ///< Start of its process.
    std::atomic<int> version_{1};                       ///< Of its software.
    std::atomic<bool> exited_{false};                   ///< Its process ended, and the next one hasn't begun.

    [[nodiscard]] std::string process() const { return id_ + "/" + std::to_string(born_); }
    [[nodiscard]] std::string version() const { return "v" + std::to_string(version_); }
    /// \returns A name for `loss_check` of the times at which it doesn't serve, which excuse no loss.
    [[nodiscard]] std::string absence() const { return id_ + " away"; }
};

/// \brief One entry VM: a real process with its own address, and a proxy on its way to the store.
struct soak_vm {
    std::string name_;
    std::string ip_;
    std::filesystem::path settings_;
    std::unique_ptr<loopback_proxy> to_store_;
    std::optional<child_process> process_;
    bool frozen_{};
    bool was_frozen_{}; ///< Since its planned stop began.
};

/// \brief All processes and stand-ins of one soak run.
class soak_world {
public:
    soak_world(oracle& checks, int vms, int engines, std::uint64_t seed)
        : checks_{checks}, prefix_{own_network()}, base_{prefix_ + "1"}, store_{base_}
    {
        put_config();
        for (int i = 0; i < 6; ++i) {
            add_upstream("desk");
        }
        for (int i = 0; i < engines; ++i) {
            add_upstream("llm");
        }
        for (int i = 0; i < vms; ++i) {
            add_vm(i, seed);
        }
        heartbeats_ = std::jthread{[this](std::stop_token const& stop) { write_heartbeats(stop); }};
    }
    ~soak_world()
    {
        heartbeats_.request_stop();
        heartbeats_.join();
        for (auto& vm : vms_) {
            if (vm->process_ && vm->frozen_) {
                vm->process_->resume();
            }
            vm->process_.reset(); // before the upstreams, whose threads wait for its connections
            std::filesystem::remove(vm->settings_);
        }
    }
    soak_world(soak_world const&) = delete;
    soak_world& operator=(soak_world const&) = delete;

    /// \brief Starts the VM's process, with its settings as they should be.
    void start(soak_vm& vm)
    {
        write_settings(vm);
        vm.process_.emplace("auburnchute-entry",
                            std::vector<std::string>{"--settings", vm.settings_.string()});
        vm.frozen_ = false;
        checks_.note_interrupted(vm.ip_);
    }

    /// \brief Writes the VM's settings file.
    void write_settings(soak_vm const& vm) const
    {
        auto const listen = [&](int port) { return vm.ip_ + ":" + std::to_string(port) + "\n"; };
        std::ofstream{vm.settings_}
            << "vm: " << vm.name_ << "\nip: " << vm.ip_
            << "\navailability_zone: a\nfirst_start: false\ncallers_listen: " << listen(soak_callers_port)
            << "ready_listen: " << listen(soak_ready_port)
            << "directory_listen: " << listen(soak_directory_port)
            << "peer_port: 7600\nmetrics_port: 7601\nstore_address: " << vm.to_store_->address()
            << "\nretry_extra: 50\nretry_ratio: 0.2\norder_lease_ms: 3000\nshutdown_grace_s: "
            << std::chrono::duration_cast<std::chrono::seconds>(checks_.losses_.grace()).count() << "\n";
    }

    /// \brief Publishes the configuration as it should be now.
    void put_config()
    {
        ++version_;
        auto const route = [](std::string const& name, std::string const& type, std::string const& service,
                              int attempts, bool resumable,
                              std::chrono::milliseconds timeout = route_timeout) {
            return nlohmann::json{
                {"name", name},       {"host", "h.example"},           {"path_prefix", "/" + name + "/"},
                {"route_type", type}, {"timeout_ms", timeout.count()}, {"target_latency_ms", 300},
                {"service", service}, {"max_attempts", attempts},      {"resumable", resumable},
                {"priority", 1}};
        };
        nlohmann::json const models{{{"name", "m1"}, {"weights_mb", 40}, {"load_s", 0.3}},
                                    {{"name", "m2"}, {"weights_mb", 40}, {"load_s", 0.3}},
                                    {{"name", "m3"}, {"weights_mb", 40}, {"load_s", 0.3}}};
        nlohmann::json const config{
            {"version", version_},
            {"routes",
             {route("buy", "unsafe", "desk", 2, false), route("look", "safe", "desk", 2, false),
              route("watch", "streaming", "desk", 2, false), route("resume", "streaming", "desk", 2, true),
              route("ask", "streaming", "llm", 2, false),
              // Its streams may outlast the grace time of a stop.
              route("long", "streaming", "desk", 2, false, long_route_timeout)}},
            {"services",
             {{{"name", "desk"}, {"max_conns", 200}},
              {{"name", "llm"},
               {"max_conns", 200},
               {"engine",
                {{"slots", 16 + writes_ % 2},
                 {"kv_capacity", 100'000},
                 {"weights_mb", 100},
                 {"adapter_slots", 2},
                 {"loads_per_s", 50},
                 {"models", models}}}}}},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 1'000'000},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}},
            {"tenants",
             {{{"name", "free"}, {"api_keys", free_keys_}},
              {{"name", "limited"},
               {"api_keys", {"k0-limited"}},
               {"rate_per_s", oracle::limited_rate},
               {"burst", oracle::limited_burst}},
              // Another one in each version, so that no two are alike.
              {{"name", "other"}, {"api_keys", {"k" + std::to_string(version_) + "-other"}}}}}};
        config_ = config.dump();
        store_.put("keyed.op", "config", config_);
    }

    /// \brief The store comes back from the copy; operator and upstreams write again what they wrote.
    void return_to(std::map<std::string, standin_store::stored_topic> copy)
    {
        store_.return_to(std::move(copy));
        store_.set_down(false);
        store_.put("keyed.op", "config", config_);
        std::scoped_lock const lock{mutex_};
        for (auto const& upstream : upstreams_) {
            write_entry(*upstream);
        }
    }

    /// \brief Takes the oldest key away and adds a new one.
    void revoke_key()
    {
        std::string gone;
        {
            std::scoped_lock const lock{mutex_};
            gone = free_keys_.front();
            withdrawn_ = gone;
            free_keys_.erase(free_keys_.begin());
            free_keys_.push_back("k" + std::to_string(++keys_made_) + "-free");
        }
        put_config();
        checks_.note_revoked(gone); // after the store has confirmed it
    }

    /// \returns The key that is withdrawn next; callers may go on with it afterwards.
    [[nodiscard]] std::string oldest_key()
    {
        std::scoped_lock const lock{mutex_};
        return free_keys_.front();
    }

    /// \returns The key that was withdrawn last; before the first one, a key that is in force.
    [[nodiscard]] std::string withdrawn_key()
    {
        std::scoped_lock const lock{mutex_};
        return withdrawn_;
    }

    /// \brief Writes an upstream's entry, or removes it.
    void put_entry(soak_upstream& upstream, std::string const& state)
    {
        std::scoped_lock const lock{mutex_};
        upstream.state_ = state;
        write_entry(upstream);
    }

    /// \brief The upstream's process ends, with its connections.
    static void end_process(soak_upstream& upstream)
    {
        upstream.exited_ = true;
        upstream.proxy_->set_fault(link_fault::reset);
    }

    /// \brief The next process starts under the upstream's id.
    /// \pre `end_process`, and all connections have seen it.
    void start_process(soak_upstream& upstream, int version)
    {
        std::scoped_lock const lock{mutex_};
        upstream.version_ = version;
        upstream.leaving_ = false;
        ++upstream.born_;
        upstream.exited_ = false;
        upstream.proxy_->set_fault(link_fault::none);
        upstream.state_ = "ready";
        write_entry(upstream);
    }

    /// \returns How many servers of the version have served since `loss_check::contact` before the moment.
    [[nodiscard]] std::ptrdiff_t servers_of(std::string const& version, soak_clock::time_point since) const
    {
        return std::count_if(upstreams_.begin(), upstreams_.end(), [&](auto const& upstream) {
            return upstream->service_ == "desk" && upstream->version() == version &&
                   checks_.losses_.is_calm(upstream->id_, since) &&
                   checks_.losses_.is_calm(upstream->absence(), since);
        });
    }

    oracle& checks_;
    std::string prefix_; ///< Of the addresses of this process.
    std::string base_;
    standin_store store_;
    std::vector<std::unique_ptr<soak_upstream>> upstreams_;
    std::vector<std::unique_ptr<soak_vm>> vms_;

private:
    std::string config_; ///< As last published.

    /// \pre The lock is held.
    void write_entry(soak_upstream const& upstream)
    {
        store_.put("keyed.servers", upstream.id_,
                   upstream.state_.empty() ? std::string{}
                                           : nlohmann::json{{"service", upstream.service_},
                                                            {"address", upstream.proxy_->address()},
                                                            {"zone", "a"},
                                                            {"slots", 16 + writes_ % 2},
                                                            {"state", upstream.state_},
                                                            {"born", upstream.born_.load()},
                                                            {"version", upstream.version()},
                                                            {"sequence", ++writes_}}
                                                 .dump());
    }

    /// Upstreams write their entries again and again, one after the other.
    void write_heartbeats(std::stop_token const& stop)
    {
        for (std::size_t next = 0; !stop.stop_requested(); ++next) {
            {
                std::scoped_lock const lock{mutex_};
                if (auto const& upstream = *upstreams_[next % upstreams_.size()]; !upstream.state_.empty()) {
                    write_entry(upstream);
                }
            }
            std::this_thread::sleep_for(heartbeat / upstreams_.size()); // the upstreams' own rhythm
        }
    }

    static constexpr std::chrono::milliseconds heartbeat{1'000};

    void add_upstream(std::string const& service)
    {
        auto made = std::make_unique<soak_upstream>();
        auto* const upstream = made.get();
        upstream->id_ = "i-" + service + "-" + std::to_string(upstreams_.size());
        upstream->service_ = service;
        if (service == "llm") {
            upstream->engine_ = std::make_unique<soak_engine>(upstream->id_, checks_);
        }
        upstream->server_ = std::make_unique<scripted_upstream>(
            base_, [this, upstream](received_request const& request, owned_socket& socket) {
                return run(*upstream, request, socket);
            });
        auto const& address = upstream->server_->address();
        upstream->proxy_ =
            std::make_unique<loopback_proxy>(base_, base_, std::stoi(address.substr(address.rfind(':') + 1)));
        upstreams_.push_back(std::move(made));
        put_entry(*upstream, "ready");
    }

    void add_vm(int number, std::uint64_t seed)
    {
        auto vm = std::make_unique<soak_vm>();
        vm->name_ = "front-" + std::to_string(number);
        vm->ip_ = prefix_ + std::to_string(2 + number);
        vm->to_store_ = std::make_unique<loopback_proxy>(base_, base_, store_.port());
        vm->settings_ =
            std::filesystem::temp_directory_path() /
            ("soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed) + "-" + vm->name_ + ".yaml");
        start(*vm);
        vms_.push_back(std::move(vm));
    }

    /// Runs a request as an upstream does. \returns Whether the connection stays open.
    bool run(soak_upstream& upstream, received_request const& request, owned_socket& socket)
    {
        if (upstream.exited_) {
            return false;
        }
        if (request.field("X-Target-Instance") != upstream.id_) {
            socket.send("HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
                        request.field("X-Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (upstream.engine_) {
            if (auto const answer = upstream.engine_->answer(request); !answer.empty()) {
                socket.send(answer);
                return true;
            }
        }
        auto const id = request.field("X-Request-Id");
        bool const model_missing = upstream.engine_ && !upstream.engine_->holds(request.field("X-Model"));
        if (model_missing) {
            socket.send("HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: " + id +
                        "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (!request.field("Api-Key").empty()) {
            checks_.fail_with("UNASKED: an upstream saw the caller's key of " + id);
        }
        auto const resumed = request.field("Last-Event-Id");
        int const first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        checks_.note_run(id, request.field("X-Tenant"), first, upstream.process());
        checks_.losses_.note_run(id, upstream.id_);
        auto const end = answer(upstream, request, socket, id, first);
        checks_.losses_.note_run_ended(id, upstream.id_, end);
        return end == run_end::answered;
    }

    /// Does a request's work and sends its answer. \param first The first event of a stream.
    static run_end answer(soak_upstream const& upstream, received_request const& request,
                          owned_socket const& socket, std::string const& id, int first)
    {
        auto const version = upstream.version();
        auto const cut = [&] { return upstream.exited_ ? run_end::broke_off : run_end::was_left; };
        auto const goes_on = [&](std::chrono::milliseconds time) {
            pollfd gone{socket.handle(), POLLIN, 0};
            return ::poll(&gone, 1, static_cast<int>(time.count())) <= 0; // the work that the caller picked
        };
        auto const leaving = upstream.leaving_
                                 ? "Server-Leaving: 1\r\nX-Process: " + upstream.process() + "\r\n"
                                 : std::string{};
        bool const lost = upstream.loses_answers_ && std::hash<std::string>{}(id) % 2 == 0;
        auto const work = soak_work::of(id);
        if (work.events_ == 0) {
            if (!goes_on(work.each_)) {
                return cut();
            }
            if (lost) {
                return run_end::broke_off;
            }
            auto answer = answer_to(request, soak_work::body(id));
            socket.send(answer.insert(answer.find("\r\n") + 2, leaving));
            return run_end::answered;
        }
        socket.send("HTTP/1.1 200 X\r\n" + leaving + "X-Request-Id: " + id +
                    "\r\nX-Response-Stamp: proof\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = first; event <= work.events_; ++event) {
            auto const text = "id: " + std::to_string(event) + "\ndata: " + id + " " + version + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
            socket.send(chunk.str());
            if (lost && event == 2) {
                return run_end::broke_off;
            }
            if (!goes_on(work.each_)) {
                return cut();
            }
        }
        socket.send("0\r\n\r\n");
        return run_end::answered;
    }

    std::jthread heartbeats_;
    std::mutex mutex_;
    int writes_{};
    int version_{};
    int keys_made_{1};
    std::vector<std::string> free_keys_{"k0-free", "k1-free"};
    std::string withdrawn_{"k0-free"};
};

} // namespace auburnchute::tests
