// Case: a new desired state raises max_body_bytes. Requesters with kept channels then send what the new state allows,
// later than config_apply_ms after the store has confirmed it.

#include "world.hpp"

using namespace review;

namespace {

constexpr int small_limit = 65'536;
constexpr int large_limit = 4'194'304; // of the site
constexpr std::size_t small_body = 18'000;
constexpr std::size_t large_body = 110'000; // the largest request of the site
constexpr int channels_per_machine = 4;
constexpr auto after_confirmation = 4'000ms; // config_apply_ms is 2,000

bool serve(std::string const& own_id, http_request const& request, int fd)
{
    auto const id = request.field("X-Request-Id");
    if (request.field("X-Target-Instance") != own_id) {
        return send_answer(fd, 421, "", "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n");
    }
    record().line(own_id + " runs " + id + ", " + std::to_string(request.body_.size()) + " bytes");
    std::this_thread::sleep_for(15ms);
    return send_answer(fd, 200, "booked", "X-Request-Id: " + id + "\r\nX-Response-Stamp: stamp-of-" + id + "\r\n");
}

std::string request_text(std::string const& id, std::size_t size)
{
    return "POST /booking/2f HTTP/1.1\r\nHost: flags.example\r\nApi-Key: k-club\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 2000\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
}

std::string config(int version, int max_body_bytes)
{
    return nlohmann::json{
        {"version", version},
        {"routes",
         {{{"name", "charge-book"}, {"host", "flags.example"}, {"path_prefix", "/booking/"}, {"route_type", "unsafe"},
           {"timeout_ms", 2'000}, {"target_latency_ms", 100}, {"service", "shopfront"}, {"max_attempts", 1},
           {"priority", 2}}}},
        {"services", {{{"name", "shopfront"}, {"max_conns", 110}}}},
        {"limits",
         {{"max_header_bytes", 16'384}, {"max_body_bytes", max_body_bytes}, {"header_timeout_ms", 3'000}, {"idle_timeout_ms", 15'000}}},
        {"tenants", {{{"name", "club"}, {"api_keys", {"k-club"}}}}}}
        .dump();
}

} // namespace

int main(int, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string const folder = argv[1];
    auto const network = own_network();
    store_standin store{network + "1"};
    store.put("keyed.op", "config", config(3, with_trouble() ? small_limit : large_limit));
    std::vector<std::unique_ptr<http_server>> servers;
    for (int i = 1; i <= 3; ++i) {
        auto const id = "i-" + std::to_string(i);
        servers.push_back(std::make_unique<http_server>(
            network + "1", [id](http_request const& request, int fd) { return serve(id, request, fd); }));
        store.put("keyed.servers", id,
                  nlohmann::json{{"service", "shopfront"}, {"address", servers.back()->address()}, {"zone", "bengal-east-a"},
                                 {"version", "1"},         {"slots", 6},                           {"state", "ready"},
                                 {"cold_remaining_ms", 0}, {"sequence", 1},                        {"born", 1'790'000'000'000}}
                      .dump());
    }
    std::vector<std::string> const zones{"bengal-east-a", "bengal-east-b", "bengal-east-c"};
    std::vector<std::string> addresses;
    for (int i = 0; i < 3; ++i) {
        addresses.push_back(network + std::to_string(2 + i));
    }
    int const port = free_ports(addresses);
    std::vector<std::unique_ptr<front_machine>> fronts;
    for (std::size_t i = 0; i < 3; ++i) {
        fronts.push_back(std::make_unique<front_machine>(
            "front-" + zones[i] + "-1",
            front_machine::place{folder, addresses[i], zones[i], port, store.address()}));
        fronts.back()->start(true);
    }
    auto const all_ready = [&] {
        return std::all_of(fronts.begin(), fronts.end(), [](auto const& front) {
            return status_of(front->ip(), front->ready_port(), "/auburnchute/ready") == 200;
        });
    };
    if (!wait_until(all_ready, 20s)) {
        record().line("the machines did not become ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(4s); // longer than contact_ms after the start

    int asked = 0;
    int denied = 0;
    int served = 0;
    auto const send_on = [&](int channel, std::string const& id, std::size_t size, std::string const& where) {
        ++asked;
        (void)send_all(channel, request_text(id, size));
        auto const answer = read_answer(channel, 3s);
        served += answer.status_ == 200 && answer.complete_ ? 1 : 0;
        bool const own_denial = answer.status_ >= 300 && answer.status_ < 500 && answer.status_ != 408 &&
                                answer.status_ != 421 && answer.status_ != 429 && !answer.has_field("X-Response-Stamp");
        denied += own_denial ? 1 : 0;
        record().line("sent " + id + ", " + std::to_string(size) + " bytes, on " + where + "; answer: status " +
                      std::to_string(answer.status_));
        return answer.status_ == 200;
    };
    struct kept_channel {
        owned_fd channel_;
        std::string where_;
    };
    std::vector<kept_channel> kept;
    for (auto const& front : fronts) {
        for (int i = 0; i < channels_per_machine; ++i) {
            auto channel = connect_to(front->ip(), front->front_port());
            auto const where = "a kept channel to " + front->name();
            if (!channel || !send_on(channel->get(), "first" + std::to_string(asked), small_body, where)) {
                record().line("a first request was not served");
                return could_not_run;
            }
            kept.push_back({std::move(*channel), where});
        }
    }
    if (with_trouble()) {
        store.put("keyed.op", "config", config(7, large_limit));
        record().line("version 7 raises max_body_bytes from " + std::to_string(small_limit) + " to " +
                      std::to_string(large_limit) + ", confirmed");
    }
    std::this_thread::sleep_for(after_confirmation);
    for (auto const& each : kept) {
        (void)send_on(each.channel_.get(), "large" + std::to_string(asked), large_body, each.where_);
    }
    int new_served = 0;
    for (auto const& front : fronts) {
        auto const channel = connect_to(front->ip(), front->front_port());
        new_served += channel && send_on(channel->get(), "new" + std::to_string(asked), large_body,
                                         "a new channel to " + front->name())
                          ? 1
                          : 0;
    }
    double const allowed = 5 + asked / 500.0;
    record().line("large requests on new channels served: " + std::to_string(new_served) + " of 3");
    record().line("requests: " + std::to_string(asked) + ", served " + std::to_string(served) +
                  ", ended with a 4xx of the system's own: " + std::to_string(denied) + ", allowed " + std::to_string(allowed));
    for (auto const& each : fronts) {
        each->end();
    }
    auto const result = denied > allowed ? rule_broken : new_served < 3 ? could_not_run : rule_held;
    record().line(result == rule_broken ? "BROKEN" : result == rule_held ? "held" : "could not run");
    std::_Exit(result);
}
