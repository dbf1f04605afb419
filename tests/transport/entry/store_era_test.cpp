#include "soak/loopback_proxy.hpp"
#include "transport/entry/entry_world.hpp"

#include <array>

using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

/// Times within which a leave and a configuration that the store has confirmed are in force; the defaults of
/// the daemons' settings.
constexpr std::chrono::milliseconds leave_bound{2'000};
constexpr std::chrono::milliseconds config_bound{2'000};

/// Time after which a VM whose machine or link was harmed counts as sound again; by the platform's settings.
constexpr std::chrono::milliseconds contact_time{3'000};

/// Time between two returns of the store.
constexpr std::chrono::milliseconds between_returns{3'000};

/// What happens when the store comes back from a copy.
struct drill {
    int lost_{};     ///< Records of upstreams that are lost, besides few others.
    int returns_{};  ///< Of the store, each from the same copy.
    bool cut_off_{}; ///< One VM does not reach the store meanwhile.
};

/// Three VMs, of which the last reaches the store over a link that can be cut, and three upstreams.
class returning_world {
public:
    static constexpr std::size_t vms = 3;

    returning_world()
        : world_{{after_probe([this](received_request const& request, owned_socket& connection) {
                      ++at_first_;
                      connection.send(answer_to(request, "x"));
                      return true;
                  }),
                  after_probe(answering("x"))}},
          link_{world_.ip_, world_.ip_, world_.store_.port(), [](std::string_view) {}}
    {
        ips_[0] = world_.ip_;
        for (std::size_t vm = 1; vm < vms; ++vm) {
            ips_[vm] = world_.ip_;
            ips_[vm].replace(0, 7, "127." + std::to_string(90 + vm) + ".");
            world_.start_daemon(ips_[vm], "front-b-" + std::to_string(vm), "b", "",
                                vm + 1 == vms ? link_.address() : "");
        }
        REQUIRE(eventually(limit, [&] {
            return std::all_of(ips_.begin(), ips_.end(), [&](auto const& ip) {
                return world_.metric(ip, "auburnchute_members") == vms && world_.ready(ip) && ask(ip) == 200;
            });
        }));
        REQUIRE(eventually(limit, [&] { return world_.store_.holds("keyed.auburnchute-lease"); }));
    }

    /// \returns The status that a request at the VM gets.
    int ask(std::string const& ip, std::string const& path = "/open/", std::string const& fields = "")
    {
        auto const id = std::to_string(++asked_);
        return entry_world::status_of(
            world_.call("GET", path + id, "", "Connection: close\r\n" + fields, ip, id)
                .receive_until("\r\n\r\n"));
    }

    int ask_with_key(std::string const& ip, std::string const& key)
    {
        return ask(ip, "/look/", "Api-Key: " + key + "\r\n");
    }

    /// \brief Writes records of upstreams until all VMs but one that is cut off have read them.
    void write_records(int count, bool cut_off)
    {
        for (int i = 0; i < count; ++i) {
            world_.put_entry(static_cast<std::size_t>(i % 2), "ready", 1);
        }
        auto const seen = std::make_shared<std::array<std::atomic<bool>, vms>>();
        world_.add_upstream([seen](received_request const& request, owned_socket& connection) {
            for (std::size_t vm = 0; vm < vms; ++vm) {
                if (request.head_.find("/vm" + std::to_string(vm)) != std::string::npos) {
                    (*seen)[vm] = true;
                }
            }
            connection.send(answer_to(request, "x"));
            return true;
        });
        REQUIRE(eventually(limit, [&] {
            bool all = true;
            for (std::size_t vm = 0; vm < vms - (cut_off ? 1 : 0); ++vm) {
                (void)ask(ips_[vm], "/open/vm" + std::to_string(vm) + "/");
                all = all && (*seen)[vm];
            }
            return all;
        }));
        world_.drop_entry(world_.upstreams_.size() - 1);
    }

    /// \brief Has the store come back from the copy; the upstreams write their entries again.
    void come_back(std::map<std::string, standin_store::stored_topic> const& copy, drill const& row)
    {
        for (int i = 0; i < row.returns_; ++i) {
            if (i > 0) {
                pass(between_returns);
            }
            world_.store_.return_to(copy);
            world_.put_entry(0, "ready", 1);
            world_.put_entry(1, "ready", 1);
        }
    }

    /// \brief Lets a time pass that is part of what is played.
    static void pass(std::chrono::milliseconds time)
    {
        (void)eventually(time, [] { return false; });
    }

    /// \returns The newest record of the order lease.
    [[nodiscard]] nlohmann::json lease()
    {
        auto const values = world_.store_.values("keyed.auburnchute-lease");
        return values.empty() ? nlohmann::json{{"vm", ""}, {"epoch", 0}}
                              : nlohmann::json::parse(values.front());
    }

    std::atomic<int> at_first_{0}; ///< Requests that the first upstream got.
    int asked_{};
    entry_world world_;
    loopback_proxy link_; ///< Of the last VM to the store.
    std::array<std::string, vms> ips_;
};

} // namespace

// Guards against offsets that are compared across a return of the store, so that records which were given
// the same offsets again are taken for old ones.
TEST_CASE("an upstream that leaves after the store came back from a copy gets nothing in time",
          "[entry][era][promise-11]")
{
    auto const row =
        GENERATE(drill{3, 1, false}, drill{1'000, 1, false}, drill{1'000, 2, false}, drill{1'000, 1, true});
    CAPTURE(row.lost_, row.returns_, row.cut_off_);
    returning_world world;
    auto const copy = world.world_.store_.copy();
    if (row.cut_off_) {
        world.link_.set_fault(link_fault::reset);
        REQUIRE(eventually(limit, [&] { return world.link_.fault_in_force(); }));
    }
    world.write_records(row.lost_, row.cut_off_);
    auto const lease = world.lease();
    world.come_back(copy, row);
    if (row.cut_off_) {
        world.link_.set_fault(link_fault::none);
        returning_world::pass(contact_time);
    }
    bool const by_removal = row.returns_ == 1 && row.lost_ > 3 && !row.cut_off_;
    if (by_removal) {
        returning_world::pass(contact_time); // a removal sooner than that may be an entry's end by the outage
        world.world_.drop_entry(0);
    } else {
        world.world_.put_entry(0, "draining", 1);
    }
    returning_world::pass(leave_bound);
    auto const before = world.at_first_.load();
    for (int i = 0; i < 30; ++i) {
        CHECK(world.ask(world.ips_[static_cast<std::size_t>(i) % returning_world::vms]) == 200);
    }
    CHECK(world.at_first_ == before);
    CHECK(eventually(limit, [&] { return world.lease()["vm"] == lease["vm"]; }));
    CHECK(world.lease()["epoch"] >= lease["epoch"]);
}

// Guards against a key that is honoured again because the store states an older configuration.
TEST_CASE("a key withdrawn before or after a return of the store stays out", "[entry][era]")
{
    auto const row = GENERATE(drill{3, 1, false}, drill{300, 2, false}, drill{300, 1, true});
    CAPTURE(row.lost_, row.returns_, row.cut_off_);
    returning_world world;
    auto const put_config = [&](int version, std::string const& keys) {
        world.world_.store_.put("keyed.op", "config", config_document(version, keys));
    };
    auto const all_say = [&](std::string const& key, auto const& expected) {
        return std::all_of(world.ips_.begin(), world.ips_.end(),
                           [&](auto const& ip) { return expected(world.ask_with_key(ip, key)); });
    };
    auto const served = [](int status) { return status == 200; };
    auto const refused = [](int status) { return status == 401 || status == 403 || status == 503; };
    put_config(4, R"("key","late")");
    REQUIRE(eventually(limit, [&] { return all_say("late", served); }));
    auto const copy = world.world_.store_.copy();
    if (row.cut_off_) {
        world.link_.set_fault(link_fault::reset);
        REQUIRE(eventually(limit, [&] { return world.link_.fault_in_force(); }));
    }
    put_config(5, R"("key")");
    world.write_records(row.lost_, row.cut_off_);
    REQUIRE(eventually(limit, [&] { return all_say("late", refused); }));
    world.come_back(copy, row);
    world.link_.set_fault(link_fault::none);
    // The operator has not written again yet.
    CHECK_FALSE(eventually(contact_time, [&] { return !all_say("late", refused); }));
    put_config(5, R"("key")");
    CHECK(eventually(limit, [&] { return all_say("key", served); }));
    CHECK(all_say("late", refused));
    put_config(6, "");
    returning_world::pass(config_bound);
    CHECK(all_say("key", refused));
    CHECK(all_say("key-v", served));
}

// Guards against a storm of calls when all VMs notice that the store came back.
TEST_CASE("a return of the store costs at most twice the usual calls in the ten seconds after it",
          "[entry][era]")
{
    constexpr std::chrono::seconds span{10};
    returning_world world;
    world.write_records(100, false);
    auto const copy = world.world_.store_.copy();
    auto const begin = world.world_.store_.calls();
    returning_world::pass(span);
    auto const usual = world.world_.store_.calls() - begin;
    world.write_records(100, false);
    auto const at_return = world.world_.store_.calls();
    world.come_back(copy, {100, 1, false});
    returning_world::pass(span);
    CHECK(world.world_.store_.calls() - at_return <= 2 * usual);
    CHECK(world.world_.store_.values("keyed.auburnchute-members").size() == returning_world::vms);
}
