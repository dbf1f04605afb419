// A new desired state takes a key away. Its version is a Unix time in microseconds, far above the one before.

#include "world.hpp"

using namespace review;

namespace {

constexpr std::int64_t revoke_ms = 5'000; // bound of the rule

/// Version of the desired state that takes the key away: "Versions increase in uneven steps".
std::int64_t next_version()
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return trouble() ? std::chrono::duration_cast<std::chrono::microseconds>(since).count() : 4;
}

json desired_state(std::int64_t version, std::vector<std::string> const& keys)
{
    auto config = basic_config(3, json::array({tenant("w", keys)}));
    config["version"] = version;
    return config;
}

bool play(deployment& world)
{
    std::mutex mutex;
    std::set<std::string> ran;
    for (int i = 0; i < 2; ++i) {
        world.add_server("i-" + std::to_string(i + 1), [&](server& self, int handle, http_message const& request) {
            {
                std::scoped_lock const lock{mutex};
                ran.insert(request.field("x-request-id"));
            }
            record.line(self.id() + " runs " + request.field("x-request-id") + " for tenant '" +
                        request.field("x-tenant") + "'");
            return send_all(handle, server::answer(request, "body"));
        });
    }
    world.start_daemons(3);
    int asked = 0;
    auto const ask_with = [&](std::size_t vm, std::string const& key) {
        auto const id = key + "-" + std::to_string(++asked);
        auto const got = ask(world.daemons_[vm]->ip(), "GET", "/look/x", id, "Api-Key: " + key + "\r\n", "", 1'500);
        record.line(id + " at " + world.daemons_[vm]->vm() + " is answered " + std::to_string(got.status_));
        return std::pair{id, got.status_};
    };
    deployment::wait_until(15'000, "the key is not honoured at first", [&] {
        return ask_with(0, "late").second == 200 && ask_with(1, "late").second == 200 &&
               ask_with(2, "late").second == 200;
    });
    auto const version = next_version();
    world.store_.put("keyed.op", "config", desired_state(version, {"key-w"}).dump());
    auto const confirmed = now_ms();
    record.line("version " + std::to_string(version) + ", which takes the key away, is confirmed");
    sleep_until_ms(confirmed + revoke_ms + 500);
    int withdrawn = 0;
    int served = 0;
    for (int i = 0; i < 12; ++i) {
        auto const late = ask_with(static_cast<std::size_t>(i) % 3, "late").first;
        served += ask_with(static_cast<std::size_t>(i) % 3, "key-w").second == 200 ? 1 : 0;
        std::scoped_lock const lock{mutex};
        withdrawn += ran.contains(late) ? 1 : 0;
    }
    record.line("ran: " + std::to_string(withdrawn) + " of 12 requests with the withdrawn key");
    if (served == 0) {
        throw cannot_run{"nobody is served"};
    }
    return withdrawn > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, desired_state(3, {"key-w", "late"}).dump(), play);
}
