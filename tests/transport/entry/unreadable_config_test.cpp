#include "transport/entry/entry_world.hpp"

#include <algorithm>

using namespace auburnchute::tests;

namespace {

/// Times within which a withdrawn key no longer works and a configuration is in force; the defaults of the
/// daemons' settings.
constexpr std::chrono::milliseconds withdrawal_bound{5'000};
constexpr std::chrono::milliseconds config_bound{2'000};

constexpr std::size_t vms = 3;
constexpr int asked_each = 4;

/// What is odd about a desired state whose only key of workspace `w` is "key".
struct odd_config {
    char const* about_;
    bool keys_readable_; ///< Else no key can be told to be valid.
    std::string document_;
};

/// \returns The desired state with a change to its document.
template <typename Change>
std::string changed(Change change)
{
    auto document = nlohmann::json::parse(config_document(4, "\"key\""));
    change(document);
    return document.dump();
}

std::vector<odd_config> odd_configs()
{
    return {
        {"a Unix time in microseconds as its version", true,
         changed([](auto& document) { document["version"] = 1'800'000'000'000'000; })},
        {"a route that can't be read", true,
         changed([](auto& document) { document["routes"][0]["timeout_ms"] = "soon"; })},
        {"a route without a service", true,
         changed([](auto& document) { document["routes"][0].erase("service"); })},
        {"a rate out of range", true,
         changed([](auto& document) { document["tenants"][1]["rate_per_s"] = 1e300; })},
        {"keys that can't be read", false,
         changed([](auto& document) { document["tenants"][1]["api_keys"] = 7; })},
        {"no version", false, changed([](auto& document) { document.erase("version"); })},
        {"no JSON", false, "{"},
    };
}

/// Three VMs, of which not all read the store themselves.
class odd_config_world {
public:
    odd_config_world() : world_{{answering("x")}}
    {
        world_.store_.put("keyed.op", "config", config_document(3, R"("key","late")"));
        for (std::size_t vm = 0; vm < vms; ++vm) {
            auto address = world_.ip_;
            ips_.push_back(vm == 0 ? address : address.replace(0, 7, "127." + std::to_string(90 + vm) + "."));
            if (vm > 0) {
                world_.start_daemon(ips_[vm], "front-b-" + std::to_string(vm), "b");
            }
        }
        REQUIRE(eventually(limit, [&] {
            return std::all_of(ips_.begin(), ips_.end(), [&](auto const& ip) {
                return world_.metric(ip, "auburnchute_members") == vms && ask(ip, "late") == 200;
            });
        }));
    }

    /// \returns The status that a request gets. \param key Empty: a request to a route that needs none.
    int ask(std::string const& ip, std::string const& key)
    {
        auto const path = (key.empty() ? "/open/" : "/look/") + std::to_string(++asked_);
        return entry_world::status_of(
            world_
                .call("GET", path, "",
                      "Connection: close\r\n" + (key.empty() ? key : "Api-Key: " + key + "\r\n"), ip,
                      key + "-" + std::to_string(asked_))
                .receive_until("\r\n\r\n"));
    }

    entry_world world_;
    std::vector<std::string> ips_;

private:
    int asked_{};
};

} // namespace

// Guards against a withdrawn key that goes on to work because the state that withdrew it can't be read.
TEST_CASE("a key that an odd configuration withdraws works no longer than any other withdrawn key",
          "[entry][odd][config][promise-6]")
{
    auto const configs = odd_configs();
    auto const number = GENERATE(range(std::size_t{0}, std::size_t{7}));
    REQUIRE(configs.size() == 7);
    auto const& row = configs[number];
    CAPTURE(row.about_);
    odd_config_world world;
    world.world_.store_.put("keyed.op", "config", row.document_);
    (void)eventually(withdrawal_bound, [] { return false; }); // the time that a withdrawn key may work for

    for (auto const& ip : world.ips_) {
        CAPTURE(ip);
        for (int i = 0; i < asked_each; ++i) {
            auto const withdrawn = world.ask(ip, "late");
            CHECK((withdrawn == 401 || withdrawn == 503));
            CHECK(world.ask(ip, "") == 200); // needs no key
        }
        auto const valid = world.ask(ip, "key");
        CHECK((valid == 200 || valid == 503));
        CHECK((!row.keys_readable_ || eventually(limit, [&] { return world.ask(ip, "key") == 200; })));
        CHECK((row.keys_readable_ || world.ask(ip, "key") == 503)); // not 401: it may well be valid
    }

    auto next = nlohmann::json::parse(config_document(5, "\"next\""));
    next["version"] = 1'800'000'000'000'001;
    world.world_.store_.put("keyed.op", "config", next.dump());
    for (auto const& ip : world.ips_) {
        CAPTURE(ip);
        CHECK(eventually(config_bound, [&] { return world.ask(ip, "next") == 200; }));
    }
}
