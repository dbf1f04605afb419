#include "protocol/fleet_codec.hpp"
#include "transport/entry/entry_world.hpp"

#include <atomic>

using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

/// Upstreams that crash when they begin to answer a request with a deadly part in its prompt: the head of the
/// answer comes, then the connections break and nothing listens any more. Requests that also name the part
/// `named` only claim to hold a deadly one.
class crashing_fleet {
public:
    crashing_fleet(std::size_t upstreams, std::vector<std::string> deadly) : deadly_{std::move(deadly)}
    {
        std::vector<scripted_upstream::script> scripts;
        for (std::size_t i = 0; i < upstreams; ++i) {
            scripts.push_back(script(i));
        }
        world_.emplace(scripts);
    }

    /// \returns The status of the answer to a stream request with these prompt parts, or 0 if it broke off.
    [[nodiscard]] int ask(std::string const& parts, std::string const& key = "key",
                          std::string const& ip = "")
    {
        auto const number = std::to_string(++asked_);
        auto const fields = "Connection: close\r\nApi-Key: " + key + "\r\nX-Prompt-Prefix: " + parts + "," +
                            number + "f:10\r\n";
        auto const answer = world_->call("POST", "/watch/" + number, "question " + number, fields, ip)
                                .receive_until("\r\n0\r\n\r\n");
        bool const unfinished = entry_world::status_of(answer) == 200 && !answer.ends_with("\r\n0\r\n\r\n");
        return unfinished ? 0 : entry_world::status_of(answer);
    }

    /// Sends a stream request with these prompt parts and leaves when the daemon has the head of the answer;
    /// the upstream crashes right after.
    void ask_and_leave(std::string const& parts)
    {
        auto const heads = world_->metric(world_->ip_, stray_answers);
        auto const before = crashes();
        {
            auto const number = std::to_string(++asked_);
            auto const connection =
                world_->call("POST", "/watch/" + number, "leave " + number,
                             "Api-Key: key\r\nX-Prompt-Prefix: " + parts + "," + number + "f:10\r\n");
            CHECK(eventually(limit, [&] { return world_->metric(world_->ip_, stray_answers) > heads; }));
        }
        CHECK(eventually(limit, [&] { return crashes() > before; }));
    }

    [[nodiscard]] int crashes() const { return crashes_; }
    void set_deadly(bool deadly) { armed_ = deadly; }
    entry_world& world() { return *world_; }

private:
    scripted_upstream::script script(std::size_t index)
    {
        return after_probe([this, index](received_request const& request, owned_socket& connection) {
            auto const parts = request.field("X-Prompt-Prefix");
            if (request.body_.starts_with("leave")) {
                // The answer to another request shows in a metric that the daemon reads, and the head follows
                // it.
                connection.send("HTTP/1.1 200 X\r\nX-Request-Id: other\r\nContent-Length: 0\r\n\r\n" +
                                stream_head(request));
                while (!connection.receive().empty()) {
                }
                world_->upstreams_[index]->stop_listening();
                ++crashes_;
                return false;
            }
            connection.send(stream_head(request));
            bool const names_only = parts.find("named:") != std::string::npos;
            bool const crash =
                armed_ && !names_only && std::any_of(deadly_.begin(), deadly_.end(), [&](auto const& part) {
                    return parts.find(part + ":") != std::string::npos;
                });
            if (crash) {
                ++crashes_;
                world_->upstreams_[index]->stop_listening();
                connection.reset();
                return false;
            }
            connection.send(chunk(event(1)) + "0\r\n\r\n");
            return true;
        });
    }

    static constexpr auto stray_answers = "auburnchute_stray_answers_total";

    std::vector<std::string> deadly_;
    std::atomic<bool> armed_{true};
    std::atomic<int> crashes_{0};
    int asked_{};
    std::optional<entry_world> world_;
};

/// \returns The loopback address of a second daemon of this test process.
std::string second_address()
{
    auto address = own_address();
    return address.replace(address.find("127.77."), 7, "127.78.");
}

constexpr auto evidence_topic = "keyed.auburnchute-crashes";

/// \returns The most workspaces for which one trait's stored marks are enough to block it.
int stored_blocks(standin_store& store)
{
    constexpr int blocking_weight = 4;
    int most = 0;
    for (auto const& value : store.values(evidence_topic)) {
        std::map<std::uint32_t, int> weights;
        for (auto const& mark : auburnchute::decode_evidence(value).value().marks_) {
            weights[mark.workspace_] += static_cast<int>(mark.weight_);
        }
        most = std::max(most,
                        static_cast<int>(std::count_if(weights.begin(), weights.end(), [](auto const& sum) {
                            return sum.second >= blocking_weight;
                        })));
    }
    return most;
}

/// \returns Whether the store holds evidence against a prompt part.
bool holds_part(standin_store& store)
{
    auto const values = store.values(evidence_topic);
    return std::any_of(values.begin(), values.end(), [](auto const& value) {
        return auburnchute::decode_evidence(value).value().trait_.depth_ != auburnchute::whole_request_depth;
    });
}

/// Crashes after which the users' rules bind.
constexpr int crash_bound = 5;

} // namespace

TEST_CASE("a prompt part that crashes upstreams is refused before it has crashed them one after another",
          "[entry][promise-3][promise-9]")
{
    crashing_fleet fleet{8, {"dead"}};
    for (int i = 0; i < 12; ++i) {
        CAPTURE(i);
        CHECK(fleet.ask("aa:100,dead:50,bb:20") != 200);
        CHECK(fleet.ask("aa:100,bb:20") == 200);
    }
    CHECK(fleet.crashes() <= crash_bound);
    CHECK(fleet.ask("aa:100,dead:50,bb:20") == 503);
}

// Guards against evidence that is lost with a VM, or that the other VMs and a new one do not have.
TEST_CASE("what is deadly is known to the other VMs and after the restart of all of them",
          "[entry][promise-3][promise-9]")
{
    crashing_fleet fleet{9, {"dead"}};
    auto& world = fleet.world();
    auto const second = second_address();
    world.start_daemon(second, "front-b-1", "b");
    REQUIRE(eventually(limit, [&] { return world.ready(second); }));
    while (fleet.crashes() < crash_bound && fleet.ask("aa:100,dead:50,bb:20") != 503) {
        CHECK(fleet.ask("aa:100,bb:20") == 200);
    }
    REQUIRE(fleet.crashes() < crash_bound);
    auto const refused_at = [&](std::string const& ip) {
        return fleet.ask("aa:100,dead:50,bb:20", "key", ip) == 503;
    };
    auto const before = fleet.crashes();
    REQUIRE(eventually(limit, [&] { return world.metric(second, "auburnchute_blocked_traits") > 0; }));
    CHECK(refused_at(second));

    SECTION("one VM is killed; the store is away, and the other VM knows")
    {
        world.store_.set_down(true);
        CHECK(refused_at(second));
        world.store_.set_down(false);
        world.start_daemon(world.ip_, "front-a-1", "a");
        REQUIRE(eventually(limit, [&] { return world.ready(); }));
        REQUIRE(eventually(limit, [&] { return world.metric(world.ip_, "auburnchute_blocked_traits") > 0; }));
        CHECK(refused_at(world.ip_));
    }
    SECTION("all VMs are killed at once; the store knows")
    {
        REQUIRE(eventually(limit, [&] { return stored_blocks(world.store_) > 0; }));
        world.daemons_.clear();
        world.start_daemon(world.ip_, "front-a-1", "a");
        REQUIRE(eventually(limit, [&] { return world.ready(); }));
        CHECK(refused_at(world.ip_));
    }
    CHECK(fleet.crashes() == before);
    CHECK(fleet.ask("aa:100,bb:20") == 200);
}

// Guards against a store that keeps a block as it was at first, for the workspaces that crashed upstreams
// then.
TEST_CASE("a block that comes to hold for all workspaces does so after the restart of all VMs",
          "[entry][promise-3][promise-9]")
{
    constexpr int most_crashes = 4; // for a workspace, if the reset overtakes the heads of the answers
    crashing_fleet fleet{10, {"dead"}};
    auto& world = fleet.world();
    int blocked = 0;
    for (auto const* const key : {"key", "key-v"}) {
        bool refused = false;
        for (int crashes = 0; crashes <= most_crashes && !refused; ++crashes) {
            refused = fleet.ask("aa:100,dead:50,bb:20", key) == 503;
            CHECK(fleet.ask("aa:100,bb:20", key) == 200);
        }
        REQUIRE(refused);
        ++blocked;
        CHECK(eventually(limit, [&] { return stored_blocks(world.store_) == blocked; }));
    }
    auto const before = fleet.crashes();
    world.daemons_.clear();
    world.start_daemon(world.ip_, "front-a-1", "a");
    REQUIRE(eventually(limit, [&] { return world.ready(); }));
    CHECK(fleet.ask("aa:100,dead:50,bb:20", "key") == 503);
    CHECK(fleet.ask("aa:100,dead:50,bb:20", "key-v") == 503);
    CHECK(fleet.crashes() == before);
}

// Guards against callers who free what crashes upstreams under others by naming it in prompts without it.
TEST_CASE("a workspace that names a deadly part does not free it for another",
          "[entry][promise-3][promise-9]")
{
    crashing_fleet fleet{9, {"dead"}};
    while (fleet.crashes() < crash_bound && fleet.ask("aa:100,dead:50,bb:20", "key") != 503) {
        CHECK(fleet.ask("aa:100,bb:20", "key") == 200);
    }
    auto const before = fleet.crashes();
    for (int i = 0; i < 5; ++i) {
        CAPTURE(i);
        CHECK(fleet.ask("aa:100,dead:50,named:10,bb:20", "key-v") == 200);
        CHECK(fleet.ask("aa:100,dead:50,bb:20", "key") == 503);
        CHECK(fleet.ask("aa:100,bb:20", "key") == 200);
    }
    CHECK(fleet.crashes() == before);
}

// Guards against crashes that go unseen because the caller left after the head of the answer.
TEST_CASE("a part that crashes upstreams as their callers leave is refused", "[entry][promise-3][promise-9]")
{
    crashing_fleet fleet{6, {"dead"}};
    auto& world = fleet.world();
    fleet.ask_and_leave("aa:100,dead:50,bb:20");
    REQUIRE(eventually(limit, [&] { return world.metric(world.ip_, "auburnchute_crash_records") > 0; }));
    CHECK(fleet.ask("aa:100,bb:20") == 200);
    fleet.ask_and_leave("aa:100,dead:50,bb:20");
    REQUIRE(eventually(limit, [&] { return world.metric(world.ip_, "auburnchute_blocked_traits") > 0; }));
    CHECK(fleet.ask("aa:100,dead:50,bb:20") == 503);
    CHECK(fleet.ask("aa:100,bb:20") == 200);
}

// Guards against a part that stays refused for good, and a store that keeps it.
TEST_CASE("a part that is no longer deadly serves again", "[entry][promise-9]")
{
    crashing_fleet fleet{9, {"dead"}};
    while (fleet.crashes() < crash_bound && fleet.ask("aa:100,dead:50,bb:20") != 503) {
    }
    REQUIRE(fleet.ask("aa:100,dead:50,bb:20") == 503);
    auto& store = fleet.world().store_;
    REQUIRE(eventually(limit, [&] { return holds_part(store); }));
    fleet.set_deadly(false);
    REQUIRE(eventually(90s, [&] { return fleet.ask("aa:100,dead:50,bb:20") == 200; }));
    CHECK(fleet.ask("aa:100,dead:50,bb:20") == 200);
    // The requests that crashed upstreams did not come again, and are kept as such until they are out of
    // date.
    CHECK(eventually(limit, [&] { return !holds_part(store); }));
}

// Guards against a request that crashes upstreams further and further as all VMs are lost before it is
// refused.
TEST_CASE("crashes below the limit count after the loss of all VMs", "[entry][promise-3][promise-9]")
{
    constexpr int blocking_crashes = 4; // of requests that wait for their answer
    auto const lost_after = GENERATE(1, 2, 3);
    CAPTURE(lost_after);
    std::atomic<int> crashes{0};
    std::optional<entry_world> world;
    std::vector<scripted_upstream::script> scripts;
    for (std::size_t i = 0; i < 6; ++i) {
        scripts.push_back(after_probe([&, i](received_request const&, owned_socket& connection) {
            ++crashes;
            world->upstreams_[i]->stop_listening();
            connection.reset();
            return false;
        }));
    }
    world.emplace(scripts);
    auto const ask = [&] {
        return entry_world::status_of(
            world->call("POST", "/watch/1", "deadly", "Connection: close\r\nApi-Key: key\r\n")
                .receive_until("\r\n\r\n"));
    };
    for (int i = 0; i < lost_after; ++i) {
        auto const before = world->store_.end_offset(evidence_topic);
        CHECK(ask() == 502);
        REQUIRE(eventually(limit, [&] { return world->store_.end_offset(evidence_topic) > before; }));
    }
    REQUIRE(crashes == lost_after);
    world->daemons_.clear();
    world->start_daemon(world->ip_, "front-a-1", "a");
    REQUIRE(eventually(limit, [&] { return world->ready(); }));
    while (crashes < blocking_crashes) {
        auto const before = crashes.load();
        CHECK(ask() != 200);
        REQUIRE(crashes > before);
    }
    CHECK(ask() == 503);
    CHECK(crashes == blocking_crashes);
}
