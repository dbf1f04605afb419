#include "soak/loopback_proxy.hpp"
#include "transport/entry/entry_world.hpp"

#include <auburnchute/relay_plan.hpp>

#include <algorithm>
#include <array>

using namespace auburnchute::tests;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

/// Time in which a leave that the store has confirmed is in force; the default of the daemons' settings.
constexpr std::chrono::milliseconds leave_bound{2'000};

/// Time that the store takes for a call on a slow day; the bound leaves 600 ms.
constexpr std::chrono::milliseconds slow_store{400};

/// How long requests go on after a leave.
constexpr std::chrono::milliseconds observed{4'500};

/// VMs that read the store for all others; see peer_exchange.cpp.
constexpr std::size_t readers = 3;

/// \returns The loopback address of the VM with this number.
std::string address_of(std::size_t vm)
{
    auto address = own_address();
    return address.replace(address.find("127.77."), 7, "127." + std::to_string(80 + vm) + ".");
}

std::string name_of(std::size_t vm)
{
    return "front-" + std::to_string(vm);
}

/// What happens to VMs that read the store for the others when an upstream leaves.
enum class reader_fault : std::uint8_t { none, store_silent, store_resets, paused, killed };

/// Five VMs with a link to the store each, and two upstreams of which one will leave.
class leaving_world {
public:
    leaving_world() : world_{{script(), after_probe(answering("x"))}}
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            order_.push_back(vm);
            links_.push_back(std::make_unique<loopback_proxy>(
                world_.ip_, world_.ip_, world_.store_.port(), [this, vm](std::string_view sent) {
                    if (sent.find("topic=keyed.servers") != std::string_view::npos) {
                        read_at_[vm] = steady::now();
                    }
                }));
            world_.start_daemon(address_of(vm), name_of(vm), "a", "", links_.back()->address());
        }
        world_.daemons_.erase(world_.ip_);
        std::sort(order_.begin(), order_.end(), [](auto a, auto b) {
            return auburnchute::is_preferred_over({name_of(a), "a", 100}, {name_of(b), "a", 100});
        });
        REQUIRE(eventually(limit, [&] {
            return std::all_of(order_.begin(), order_.end(), [&](auto vm) {
                return world_.metric(address_of(vm), "auburnchute_members") == vms &&
                       world_.ready(address_of(vm)) && ask(vm) == 200;
            });
        }));
    }
    ~leaving_world()
    {
        for (auto const& [ip, daemon] : world_.daemons_) {
            if (daemon->running()) {
                ::kill(daemon->pid(), SIGCONT);
            }
        }
    }
    leaving_world(leaving_world const&) = delete;
    leaving_world& operator=(leaving_world const&) = delete;

    /// \returns The status that a request at the VM gets.
    [[nodiscard]] int ask(std::size_t vm)
    {
        auto const id = std::to_string(++asked_);
        return entry_world::status_of(
            world_.call("GET", "/open/" + id, "", "Connection: close\r\n", address_of(vm), id)
                .receive_until("\r\n\r\n"));
    }

    void break_reader(std::size_t vm, reader_fault fault)
    {
        auto& daemon = *world_.daemons_.at(address_of(vm));
        switch (fault) {
        case reader_fault::none:
            return;
        case reader_fault::store_silent:
            links_[vm]->set_fault(link_fault::silent);
            return;
        case reader_fault::store_resets:
            links_[vm]->set_fault(link_fault::reset);
            return;
        case reader_fault::paused:
            daemon.freeze();
            return;
        case reader_fault::killed:
            daemon.kill();
            return;
        }
    }

    /// \returns Whether the VMs that read for all read the entries, and the others need not.
    [[nodiscard]] bool is_settled() const
    {
        std::size_t place = 0;
        return std::all_of(order_.begin(), order_.end(), [&](auto vm) {
            bool const reads = steady::now() - read_at_[vm].load() < no_read;
            return reads == (place++ < readers);
        });
    }

    /// \returns Whether the links have taken up the faults that were set.
    [[nodiscard]] bool faults_in_force() const
    {
        return std::all_of(links_.begin(), links_.end(),
                           [](auto const& link) { return link->fault_in_force(); });
    }

    /// \returns The time from now to the last request that the first upstream gets from these VMs.
    [[nodiscard]] std::chrono::milliseconds last_arrival(std::vector<std::size_t> const& from)
    {
        auto const began = steady::now();
        last_ = began;
        std::size_t unserved = 0;
        while (steady::now() - began < observed) {
            for (auto const vm : from) {
                unserved += ask(vm) == 200 ? 0U : 1U;
            }
            ::poll(nullptr, 0, pace_ms);
        }
        CHECK(unserved == 0);
        return std::chrono::duration_cast<std::chrono::milliseconds>(last_.load() - began);
    }

    static constexpr std::size_t vms = 5;
    static constexpr int pace_ms = 10; ///< Time between rounds of requests.

    /// A VM that reads itself does so after two thirds of the bound, see leave_budget; one that did not read
    /// for this time is told.
    static constexpr std::chrono::milliseconds no_read{1'600};

    std::vector<std::size_t> order_;         ///< VMs in the order in which they read for all.
    std::atomic<steady::time_point> last_{}; ///< When the first upstream last got a request.

    std::array<std::atomic<steady::time_point>, vms> read_at_{}; ///< When each VM last read the entries.

private:
    scripted_upstream::script script()
    {
        return after_probe([this](received_request const& request, owned_socket& connection) {
            last_ = steady::now();
            connection.send(answer_to(request, "x"));
            return true;
        });
    }

    int asked_{};

public:
    entry_world world_;
    std::vector<std::unique_ptr<loopback_proxy>> links_; ///< Of each VM to the store.
};

} // namespace

// Guards against VMs that take messages of a VM which no longer reaches the store for proof that nothing
// changed, and so send requests to an upstream that has left.
TEST_CASE("a leave is in force at all VMs in time, also when VMs that read for all lose the store",
          "[entry][promise-11]")
{
    struct row {
        reader_fault fault_;
        std::size_t broken_; ///< VMs with the fault, those that read for all first.
    };
    auto const [fault, broken] =
        GENERATE(row{reader_fault::none, 0}, row{reader_fault::store_silent, 1},
                 row{reader_fault::store_silent, readers - 1}, row{reader_fault::store_silent, readers},
                 row{reader_fault::store_resets, readers}, row{reader_fault::paused, readers - 1},
                 row{reader_fault::killed, readers});
    CAPTURE(static_cast<int>(fault), broken);
    leaving_world world;
    REQUIRE(eventually(limit, [&world] { return world.is_settled(); }));
    std::vector<std::size_t> sound;
    for (std::size_t place = 0; place < world.order_.size(); ++place) {
        if (place < broken) {
            world.break_reader(world.order_[place], fault);
        } else {
            sound.push_back(world.order_[place]);
        }
    }
    REQUIRE(eventually(limit, [&world] { return world.faults_in_force(); }));
    world.world_.put_entry(0, "draining", 1);
    CHECK(world.last_arrival(sound) <= leave_bound);
}

// Guards against VMs that wait at a kept connection which fell silent until a leave is overdue.
TEST_CASE("a leave is in force in time at VMs whose kept connections to the store fell silent",
          "[entry][promise-11]")
{
    leaving_world world;
    REQUIRE(eventually(limit, [&world] { return world.is_settled(); }));
    std::vector<std::size_t> const sound{world.order_.begin() + readers, world.order_.end()};
    for (auto const vm : sound) {
        world.links_[vm]->set_fault(link_fault::silent);
    }
    REQUIRE(eventually(limit, [&world] { return world.faults_in_force(); }));
    for (auto const vm : sound) {
        world.links_[vm]->set_fault(link_fault::none);
    }
    for (std::size_t place = 0; place < readers; ++place) {
        world.break_reader(world.order_[place], reader_fault::store_silent);
    }
    world.world_.store_.set_slow(slow_store);
    world.world_.put_entry(0, "draining", 1);
    CHECK(world.last_arrival(sound) <= leave_bound);
}

namespace {

/// How an upstream's answer tells that it leaves.
enum class answer_kind : std::uint8_t { whole, stream, refusal, failure, stray, cut_short };

/// Sends an answer of that kind, with more fields in its head. \returns Whether the connection stays open.
bool send_answer(answer_kind kind, received_request const& request, owned_socket& connection,
                 std::string const& fields)
{
    auto const with_fields = [&](std::string answer) {
        return answer.insert(answer.find("\r\n") + 2, fields);
    };
    switch (kind) {
    case answer_kind::whole:
        connection.send(with_fields(answer_to(request, "x")));
        return true;
    case answer_kind::stream:
        connection.send(with_fields(stream_head(request)) + chunk(event(1)) + "0\r\n\r\n");
        return true;
    case answer_kind::refusal:
        connection.send(with_fields("HTTP/1.1 503 X\r\nX-Request-Id: " + request.field("X-Request-Id") +
                                    "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
        return true;
    case answer_kind::failure:
        connection.send(with_fields(answer_to(request, "x", 500)));
        return true;
    case answer_kind::stray:
        connection.send(with_fields("HTTP/1.1 200 X\r\nX-Request-Id: other\r\nContent-Length: 0\r\n\r\n") +
                        answer_to(request, "x"));
        return true;
    case answer_kind::cut_short:
        connection.send(with_fields("HTTP/1.1 200 X\r\nX-Request-Id: " + request.field("X-Request-Id") +
                                    "\r\nContent-Length: 9\r\n\r\nha"));
        return false;
    }
    return false;
}

/// \returns The value of a header field of an answer, or empty.
std::string field_of(std::string const& answer, std::string const& name)
{
    return received_request{answer, {}}.field(name);
}

} // namespace

// Guards against an upstream that says in an answer that it leaves, and is used on by this VM or another.
TEST_CASE("an upstream that says in any answer that it leaves gets nothing until it starts anew",
          "[entry][promise-11]")
{
    auto const kind = GENERATE(answer_kind::whole, answer_kind::stream, answer_kind::refusal,
                               answer_kind::failure, answer_kind::stray, answer_kind::cut_short);
    CAPTURE(static_cast<int>(kind));
    std::atomic<bool> leaving{true};
    std::atomic<int> at_first{0};  ///< Requests that the first VM sent to the upstream that leaves.
    std::atomic<int> at_second{0}; ///< The same of the second VM.
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
                           ++(request.head_.find("/second") == std::string::npos ? at_first : at_second);
                           return send_answer(leaving ? kind : answer_kind::whole, request, connection,
                                              leaving ? "Server-Leaving: 1\r\n" : "");
                       }),
                       after_probe([&](received_request const& request, owned_socket& connection) {
                           return send_answer(kind == answer_kind::stream ? kind : answer_kind::whole,
                                              request, connection, "");
                       })}};
    auto const second = address_of(1);
    world.start_daemon(second, "front-b-1", "b");
    REQUIRE(eventually(
        limit, [&] { return world.ready(second) && world.metric(second, "auburnchute_members") == 2; }));
    int asked = 0;
    auto const ask = [&](std::string const& path, std::string const& ip) {
        auto const route = kind == answer_kind::stream ? "/resume/" : "/look/";
        return entry_world::status_of(world
                                          .call(kind == answer_kind::stream ? "POST" : "GET", route + path,
                                                kind == answer_kind::stream ? "q" : "",
                                                "Connection: close\r\nApi-Key: key\r\n", ip,
                                                "id-" + std::to_string(++asked))
                                          .receive_until("\r\n\r\n"));
    };
    REQUIRE(eventually(limit, [&] { return ask("first", world.ip_) > 0 && at_first > 0; }));
    for (int i = 0; i < 50; ++i) {
        CHECK(ask("first", world.ip_) == 200);
    }
    CHECK(at_first == 1);

    // The bound itself: nothing but time shows that it is over.
    REQUIRE_FALSE(eventually(leave_bound, [&] { return !world.ready(second); }));
    auto const before = at_second.load();
    for (int i = 0; i < 50; ++i) {
        CHECK(ask("second", second) == 200);
    }
    CHECK(at_second == before);

    leaving = false;
    world.put_entry(0, "ready", 2); // the next process under that id
    CHECK(eventually(limit, [&] { return ask("first", world.ip_) == 200 && at_first > 1; }));
    CHECK(eventually(limit, [&] { return ask("second", second) == 200 && at_second > before; }));
}

// Guards against requests and retries that reach an upstream in the time for which it wants none.
TEST_CASE("an upstream that asks for time gets nothing meanwhile, and is used again afterwards", "[entry]")
{
    std::atomic<bool> shedding{true};
    std::atomic<int> held{0};
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
                           ++held;
                           return send_answer(shedding ? answer_kind::refusal : answer_kind::whole, request,
                                              connection, shedding ? "Retry-After: 2\r\n" : "");
                       }),
                       after_probe(answering("x"))}};
    auto const ask = [&] {
        return entry_world::status_of(world.call("GET", "/look/1").receive_until("\r\n\r\n"));
    };
    REQUIRE(eventually(limit, [&] { return ask() == 200 && held == 1; }));
    auto const until = steady::now() + 1'800ms;
    while (steady::now() < until) {
        CHECK(ask() == 200);
        ::poll(nullptr, 0, leaving_world::pace_ms);
    }
    CHECK(held == 1);
    shedding = false;
    CHECK(eventually(limit, [&] { return ask() == 200 && held > 1; }));
}

// Guards against a crowd of callers at an upstream that wants more time when its time is over.
TEST_CASE("after the time that an upstream asked for, one request goes first", "[entry]")
{
    constexpr int crowd = 10;
    constexpr auto decides_within = 200ms; // below the time after which the next one may try
    std::atomic<int> tries{0};
    std::atomic<bool> crowd_is_there{false};
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        bool const first = ++tries == 1;
        if (!first) {
            (void)eventually(decides_within, [&] { return crowd_is_there.load(); });
        }
        return send_answer(answer_kind::refusal, request, connection,
                           first ? "Retry-After: 1\r\n" : "Retry-After: 30\r\n");
    })}};
    REQUIRE(entry_world::status_of(world.call("POST", "/buy/1", "x").receive_until("\r\n\r\n")) == 503);
    REQUIRE(tries == 1);
    std::vector<owned_socket> callers;
    auto const call = [&] {
        callers.push_back(world.call("POST", "/buy/1", "x", "Api-Key: key\r\n", "",
                                     "id-" + std::to_string(callers.size() + 2)));
    };
    REQUIRE(eventually(limit, [&] {
        for (int i = 0; i < crowd; ++i) {
            call();
        }
        return tries > 1;
    }));
    for (int i = 0; i < crowd; ++i) {
        call();
    }
    // All have an answer or wait at the daemon.
    CHECK(eventually(2s, [&] {
        auto const answered = std::count_if(callers.begin(), callers.end(), [](owned_socket const& caller) {
            pollfd readable{caller.handle(), POLLIN, 0};
            return ::poll(&readable, 1, 0) > 0;
        });
        return static_cast<double>(answered) + world.metric(world.ip_, "auburnchute_open_requests") >=
               static_cast<double>(callers.size());
    }));
    crowd_is_there = true;
    for (auto const& caller : callers) {
        CHECK(entry_world::status_of(caller.receive_until("\r\n\r\n")) == 503);
    }
    CHECK(tries == 2);
}

// Guards against callers that wait for an upstream which nobody may ask, until their time is over.
TEST_CASE("a caller hears at once when to come back if all upstreams ask for time", "[entry][promise-9]")
{
    auto const wanted = GENERATE(std::string{"5"}, std::string{"4.5"}, std::string{"864000"});
    CAPTURE(wanted);
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
        return send_answer(answer_kind::refusal, request, connection, "Retry-After: " + wanted + "\r\n");
    })}};
    for (int i = 0; i < 5; ++i) {
        CAPTURE(i);
        auto const began = steady::now();
        auto const answer = world.call("POST", "/buy/now", "an order").receive_until("\r\n\r\n");
        CHECK(entry_world::status_of(answer) == 503);
        CHECK(steady::now() - began < 1s);
        REQUIRE_FALSE(field_of(answer, "Retry-After").empty());
        auto const seconds = std::stod(field_of(answer, "Retry-After"));
        CHECK(seconds > 3);
        CHECK(seconds <= std::min(60.0, std::stod(wanted)));
    }
    CHECK(world.arrivals() == 1);
}

// Guards against pauses that don't grow while another upstream is at the address, and against an upstream
// that gets nothing although its entry has changed.
TEST_CASE("an upstream that is not at its address gets little until its entry changes", "[entry]")
{
    std::atomic<bool> astray{true};
    std::atomic<int> tries{0};
    entry_world world{{after_probe([&](received_request const& request, owned_socket& connection) {
                           ++tries;
                           connection.send(answer_to(request, "x", astray ? 421 : 200));
                           return true;
                       }),
                       after_probe(answering("x"))}};
    auto const ask = [&] {
        return entry_world::status_of(world.call("GET", "/look/1").receive_until("\r\n\r\n"));
    };
    REQUIRE(eventually(limit, [&] { return ask() == 200 && tries == 1; }));
    auto const began = steady::now();
    while (steady::now() - began < 8s) {
        CHECK(ask() == 200);
        ::poll(nullptr, 0, leaving_world::pace_ms);
    }
    CHECK(tries == 2); // after 3 s; the next is due after 9 s
    astray = false;
    auto const before = tries.load();
    world.put_entry(0, "ready", 2);
    auto const changed = steady::now();
    REQUIRE(eventually(limit, [&] { return ask() == 200 && tries > before; }));
    CHECK(steady::now() - changed < 900ms);
}
