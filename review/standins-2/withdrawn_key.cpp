// The store comes back from a copy that is some seconds old and states a key again that was taken away. A
// machine is added just then.

#include "world.hpp"

using namespace review;

namespace {

constexpr std::int64_t revoke_ms = 5'000; // bound of the rule

/// Times after the confirmation of the version that takes the key away.
constexpr std::int64_t away_at_ms = 4'200;
constexpr std::int64_t back_at_ms = 5'200;
constexpr std::int64_t added_at_ms = 5'250;
constexpr std::int64_t asked_from_ms = 5'300;
constexpr std::int64_t written_again_at_ms = 7'000;
constexpr std::int64_t asked_until_ms = 10'000;

struct runs {
    std::mutex mutex_;
    std::set<std::string> ids_;
};

bool play(deployment& world)
{
    auto& ran = *new runs;
    for (int i = 0; i < 3; ++i) {
        world.add_server("i-" + std::to_string(i + 1), [&ran](server& self, int handle, http_message const& request) {
            {
                std::scoped_lock const lock{ran.mutex_};
                ran.ids_.insert(request.field("x-request-id"));
            }
            record.line(self.id() + " runs " + request.field("x-request-id") + " for tenant " +
                        request.field("x-tenant"));
            sleep_ms(10);
            return send_all(handle, server::answer(request, "body"));
        });
    }
    world.start_daemons(3);
    int asked = 0;
    auto const ask_with = [&](std::size_t vm, std::string const& key, std::string const& why) {
        auto const id = why + "-" + std::to_string(++asked);
        auto const sent_at = now_ms();
        auto const got = ask(world.daemons_[vm]->ip(), "GET", "/look/x", id, "Api-Key: " + key + "\r\n", "", 1'500);
        record.line(id + " with " + key + " at " + world.daemons_[vm]->vm() + ", sent at " +
                    std::to_string(sent_at) + ", is answered " + std::to_string(got.status_));
        return std::pair{id, got.status_};
    };
    deployment::wait_until(15'000, "the key is not honoured at first", [&] {
        return ask_with(0, "late", "before").second == 200 && ask_with(1, "late", "before").second == 200 &&
               ask_with(2, "late", "before").second == 200;
    });
    sleep_ms(3'000);
    auto const copy = world.store_.copy();
    sleep_ms(300);
    auto const without = basic_config(4, json::array({tenant("w", {"key-w"})})).dump();
    world.store_.put("keyed.op", "config", without);
    auto const confirmed = now_ms();
    record.line("version 4, which takes the key away, is confirmed");
    deployment::wait_until(2'000, "a daemon goes on to honour the key", [&] {
        bool refused = true;
        for (std::size_t vm = 0; vm < 3; ++vm) {
            refused = ask_with(vm, "late", "after").second != 200 && refused;
        }
        return refused;
    });
    if (trouble()) {
        sleep_until_ms(confirmed + away_at_ms);
        world.store_.set_down(true);
        record.line("the store is away");
        sleep_until_ms(confirmed + back_at_ms);
        world.store_.return_to(copy);
        record.line("the store is back from a copy of " + std::to_string(confirmed - 300) + " ms");
        world.write_entries();
    }
    // A machine is added in any case.
    sleep_until_ms(confirmed + added_at_ms);
    auto& added = world.add_daemon();
    added.start(false);
    sleep_until_ms(confirmed + asked_from_ms);
    bool written = false;
    int broken = 0;
    int served = 0;
    while (now_ms() < confirmed + asked_until_ms) {
        if (!written && now_ms() >= confirmed + written_again_at_ms) {
            world.store_.put("keyed.op", "config", without);
            record.line("the operator has written version 4 again");
            written = true;
        }
        auto const sent_at = now_ms();
        for (std::size_t vm = 0; vm < 4; ++vm) {
            auto const id = ask_with(vm, "late", "revoked").first;
            std::scoped_lock const lock{ran.mutex_};
            broken += ran.ids_.contains(id) && sent_at > confirmed + revoke_ms ? 1 : 0;
        }
        served += ask_with(3, "key-w", "other").second == 200 ? 1 : 0;
        sleep_ms(50);
    }
    record.line(std::to_string(broken) + " requests with the withdrawn key, sent more than " +
                std::to_string(revoke_ms) + " ms after the confirmation, ran");
    if (served == 0) {
        throw cannot_run{"the machine that was added serves nobody"};
    }
    return broken > 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto config = basic_config(3, json::array({tenant("w", {"key-w", "late"})}));
    return run_case(argc, argv, config.dump(), play);
}
