// A new desired state takes the last tenant away: its list of tenants is empty.

#include "world.hpp"

using namespace review;

namespace {

constexpr std::int64_t revoke_ms = 5'000; // bound of the rule

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
        return ask_with(0, "key-w").second == 200 && ask_with(1, "key-w").second == 200 &&
               ask_with(2, "key-w").second == 200;
    });
    if (ask_with(0, "nobodys").second != 401) {
        throw cannot_run{"an unknown key is not refused at first"};
    }
    auto const tenants = trouble() ? json::array() : json::array({tenant("w", {})});
    world.store_.put("keyed.op", "config", basic_config(4, tenants).dump());
    auto const confirmed = now_ms();
    record.line("version 4 is confirmed; tenants: " + tenants.dump());
    sleep_until_ms(confirmed + revoke_ms + 500);
    int withdrawn = 0;
    int unknown = 0;
    for (int i = 0; i < 12; ++i) {
        auto const late = ask_with(static_cast<std::size_t>(i) % 3, "key-w").first;
        auto const odd = ask_with(static_cast<std::size_t>(i) % 3, "nobodys").first;
        std::scoped_lock const lock{mutex};
        withdrawn += ran.contains(late) ? 1 : 0;
        unknown += ran.contains(odd) ? 1 : 0;
    }
    record.line("ran: " + std::to_string(withdrawn) + " requests with the withdrawn key, " +
                std::to_string(unknown) + " with a key that no desired state ever held");
    return unknown > 0; // ROUTE; the others break CONFIG
}

} // namespace

int main(int argc, char** argv)
{
    auto config = basic_config(3, json::array({tenant("w", {"key-w"})}));
    return run_case(argc, argv, config.dump(), play);
}
