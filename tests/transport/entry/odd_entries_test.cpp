#include "protocol/fleet_codec.hpp"
#include "transport/entry/entry_world.hpp"

#include <algorithm>
#include <random>

using namespace auburnchute;
using namespace auburnchute::tests;

namespace {

/// Time within which the users' pages want a change in force.
constexpr std::chrono::milliseconds in_force{2'000};

constexpr int deep = 100'000;
constexpr std::size_t many_entries = 2'000;
constexpr std::uint32_t fixed_seed = 20261205;

/// \returns A JSON value in `deep` arrays, objects, or both in turn.
std::string nested(bool in_arrays, bool in_objects)
{
    std::string open;
    std::string close;
    for (int i = 0; i < deep; ++i) {
        bool const array = in_arrays && (!in_objects || i % 2 == 0);
        open += array ? "[" : R"({"name":)";
        close += array ? ']' : '}';
    }
    return open + "1" + std::string{close.rbegin(), close.rend()};
}

/// \returns An entry that is sound but for one field.
std::string entry_with(std::string const& name, std::string const& value)
{
    std::string document{"{"};
    for (auto const& [own, text] :
         {std::pair{"service", R"("desk")"}, std::pair{"address", R"("127.0.0.9:9")"},
          std::pair{"zone", R"("a")"}, std::pair{"slots", "8"}, std::pair{"state", R"("ready")"},
          std::pair{"born", "1"}, std::pair{"sequence", "1"}}) {
        if (name != own) {
            document += "\"" + std::string{own} + "\":" + text + ",";
        }
    }
    return document + "\"" + name + "\":" + value + "}";
}

struct odd_entry {
    std::string key_;
    std::string document_;
};

/// \returns Entries that name no upstream to use.
std::vector<odd_entry> odd_entries()
{
    std::vector<odd_entry> entries;
    auto const add = [&](std::string document) {
        entries.push_back({"odd-" + std::to_string(entries.size()), std::move(document)});
    };
    for (auto const& value : {nested(true, false), nested(false, true), nested(true, true)}) {
        add(value);
        add(entry_with("models", value));
        add(entry_with("models", R"([{"name":"m","adapters":)" + value + "}]"));
        add(entry_with("available", R"({"on_disk":)" + value + "}"));
        add(entry_with("note", value));
    }
    add("[" + std::string(deep, '{'));
    add(entry_with("note", "\"" + std::string(2'000'000, 'x') + "\""));
    add(entry_with("note", "\"" + std::string(61'000, 'x') + "\"")); // larger than a datagram
    for (auto const* const number :
         {"1e999", "1e300", "-1e300", "9223372036854775808", "18446744073709551616", "NaN", "Infinity", "-3",
          "0", "\"8\"", "[]", "{}", "true"}) {
        add(entry_with("slots", number));
        add(entry_with("born", std::string{number} == "0" ? "1.5" : number));
    }
    for (auto const* const port : {":0", ":65536", ":-1", ":99999999999", ":", "", ":80 ", ":8x"}) {
        add(entry_with("address", R"("127.0.0.9)" + std::string{port} + "\""));
    }
    for (auto const* const address :
         {"host.example:80", "[::1]:x", "::1:80", "0.0.0.0:8221", "224.0.0.1:80", "255.255.255.255:80",
          "127.0.0.9\\u0000:80", "127.0.0.9\\u0000\\r\\nX: y:80", "\\u0001", ":80"}) {
        add(entry_with("address", "\"" + std::string{address} + "\""));
    }
    for (auto const* const name : {"service", "address", "zone", "state", "models"}) {
        for (auto const* const value : {"7", "{}", "[[]]", "[7]", "null", "\"\xff\xfe\""}) {
            if (std::string{name} != "models" || std::string{value} != "null") {
                add(entry_with(name, value));
            }
        }
    }
    for (auto const* const text : {"", "{", "\xff\xfe", "nul", "null", "true", "[1,2]", "7", "\"x\""}) {
        if (*text != '\0') {
            add(text);
        }
    }
    return entries;
}

/// \returns Keys under which even a sound entry names no upstream, since they cannot be a header value.
std::vector<std::string> odd_keys()
{
    return {"i\r\nX-Tenant: w", std::string{"i\0j", 3}, "\xff\xfe", "\x01", " i", "i\t", "i-\xc3"};
}

std::string second_address()
{
    auto address = own_address();
    return address.replace(address.find("127.77."), 7, "127.78.");
}

std::string third_address()
{
    auto address = own_address();
    return address.replace(address.find("127.77."), 7, "127.79.");
}

/// \returns The body of an answer to a caller, or an empty text.
std::string ask(entry_world const& world, std::string const& ip = "", std::string const& key = "key")
{
    auto const connection = world.call("GET", "/look/1", "", "Api-Key: " + key + "\r\n", ip);
    auto const answer = connection.receive_until("\r\n\r\n");
    auto const end = answer.find("\r\n\r\n");
    return entry_world::status_of(answer) == 200 ? answer.substr(end + 4) : std::string{};
}

/// Has another upstream take over, and checks that the daemon follows in time.
void check_follows(entry_world& world, std::string const& ip, std::string const& name)
{
    CAPTURE(ip, name);
    auto const leaving = world.upstreams_.size() - 1;
    // The leave comes first, so that a VM which knows the new upstream knows of the leave.
    world.put_entry(leaving, "draining", 1);
    world.add_upstream(answering(name));
    CHECK(eventually(in_force, [&] { return ask(world, ip) == name; }));
    for (int i = 0; i < 10; ++i) {
        CHECK(ask(world, ip) == name);
    }
    CHECK_FALSE(world.daemons_.at(ip)->has_ended());
}

/// A UDP socket that stands for a daemon.
class false_peer {
public:
    explicit false_peer(std::string const& ip) : socket_{::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)}
    {
        auto address = to_sockaddr(ip, 0);
        socklen_t size = sizeof address;
        REQUIRE(::bind(socket_.handle(), reinterpret_cast<sockaddr const*>(&address), size) == 0);
        REQUIRE(::getsockname(socket_.handle(), reinterpret_cast<sockaddr*>(&address), &size) == 0);
        address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
    }

    [[nodiscard]] std::string const& address() const noexcept { return address_; }

    void send(std::string const& ip, std::vector<std::uint8_t> const& bytes) const
    {
        auto const to = to_sockaddr(ip, 7600);
        (void)::sendto(socket_.handle(), bytes.data(), std::min<std::size_t>(bytes.size(), 65'000), 0,
                       reinterpret_cast<sockaddr const*>(&to), sizeof to);
    }

private:
    owned_socket socket_;
    std::string address_;
};

} // namespace

// Guards against machines that end, or no longer follow the list, because of one odd entry (issue 30, LOST).
TEST_CASE(
    "an odd entry among those of the upstreams neither ends a VM nor keeps it from following the others",
    "[entry][odd]")
{
    entry_world world{{answering("first")}};
    auto const& ip = world.ip_;
    auto const put_all = [&](std::string const& prefix) {
        for (auto const& entry : odd_entries()) {
            world.store_.put("keyed.servers", prefix + entry.key_, entry.document_);
        }
    };

    SECTION("while the VM follows the entries")
    {
        put_all("");
        put_all(std::string(200, 'k'));
        for (auto const& key : odd_keys()) {
            world.store_.put("keyed.servers", key, entry_with("slots", "8"));
        }
        check_follows(world, ip, "second");
        check_follows(world, ip, "third");
    }
    SECTION("while the VM is paused, so that they come in one go")
    {
        ::kill(world.daemon().pid(), SIGSTOP);
        put_all("");
        put_all(std::string(200, 'k'));
        put_all("more-");
        ::kill(world.daemon().pid(), SIGCONT);
        check_follows(world, ip, "second");
        check_follows(world, ip, "third");
    }
    SECTION("before the first read")
    {
        world.daemons_.clear();
        put_all("");
        for (auto const& key : odd_keys()) {
            world.store_.put("keyed.servers", key, entry_with("slots", "8"));
        }
        world.start_daemon(ip, "front-a-1", "a");
        REQUIRE(eventually(limit, [&] { return world.ready() && ask(world) == "first"; }));
        check_follows(world, ip, "second");
    }
    SECTION("thousands at once")
    {
        for (std::size_t i = 0; i < many_entries; ++i) {
            world.store_.put("keyed.servers", "many-" + std::to_string(i),
                             entry_with("slots", i % 2 == 0 ? "1e300" : "[[[]]]"));
        }
        check_follows(world, ip, "second");
    }
    SECTION("one at a time, and each by way of a second VM, too")
    {
        auto const second = second_address();
        world.start_daemon(second, "front-b-1", "b");
        REQUIRE(eventually(limit, [&] { return world.ready(second) && ask(world, second) == "first"; }));
        for (auto const& entry : odd_entries()) {
            CAPTURE(entry.key_, entry.document_.substr(0, 200));
            world.store_.put("keyed.servers", entry.key_, entry.document_);
            ::poll(nullptr, 0, 10);
            REQUIRE_FALSE(world.daemon().has_ended());
        }
        check_follows(world, ip, "second");
        check_follows(world, second, "third");
        CHECK(eventually(limit, [&] { return world.metric(second, "auburnchute_members") == 2; }));
    }
}

// Guards against VMs that differ for good, and read all entries again and again, depending on whether they
// knew an upstream before its entry was overwritten.
TEST_CASE("an odd entry over that of an upstream ends its use at all VMs until it is written again",
          "[entry][odd]")
{
    auto const odd = GENERATE(std::string{"{"}, entry_with("slots", "1e300"),
                              entry_with("note", "\"" + std::string(60'000, 'x') + "\""));
    entry_world world{{answering("first"), answering("other")}};
    std::vector<std::string> const vms{world.ip_, second_address(), third_address()};
    auto const start = [&](std::size_t index, std::string const& vm, std::string const& zone) {
        world.start_daemon(vms[index], vm, zone);
        REQUIRE(
            eventually(limit, [&] { return world.ready(vms[index]) && !ask(world, vms[index]).empty(); }));
    };
    auto const check_answers = [&](std::string const& body, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            CAPTURE(vms[i], body);
            CHECK(eventually(in_force, [&] { return ask(world, vms[i]) == body; }));
        }
    };
    start(1, "front-b-1", "b");
    world.put_entry(1, "draining", 1);
    check_answers("first", 2);

    world.put_entry(1, "ready", 2);
    world.store_.put("keyed.servers", "i-1", odd);
    start(2, "front-c-1", "c"); // knows the odd entry only
    check_answers("other", 3);
    CHECK(eventually(limit, [&] { return world.metric(vms[2], "auburnchute_members") == 3; }));
    auto const reads = world.store_.newest_reads("keyed.servers");
    CHECK_FALSE(eventually(std::chrono::seconds{4},
                           [&] { return world.store_.newest_reads("keyed.servers") > reads + 2; }));

    world.put_entry(1, "draining", 2);
    check_answers("", 3); // none that may be used is left
    world.put_entry(0, "ready", 1);
    check_answers("first", 3);
}

// Guards against all VMs ending at once, or keeping an old configuration for good.
TEST_CASE("an odd configuration neither ends a VM nor keeps it from following the next one", "[entry][odd]")
{
    entry_world world{{answering("first")}};
    auto const with = [](std::string const& engine, std::string const& rate = "1000") {
        auto document = nlohmann::json::parse(config_document(4, R"("key","odd")")).dump();
        auto const service = document.find(R"("max_conns":100)");
        document.insert(service, R"("engine":{"models":[{"name":"m")" + engine + "}]},");
        for (auto at = document.find(R"("rate_per_s":1000)"); at != std::string::npos;
             at = document.find(R"("rate_per_s":1000)", at + 1)) {
            document.replace(at, 17, R"("rate_per_s":)" + rate);
        }
        return document;
    };
    auto const value = nested(true, true);
    for (auto const& odd :
         {std::string{"{"}, std::string{"\xff"}, value, with(R"(,"other":)" + value),
          with(R"(,"adapters":3000000)"), with(R"(,"load_s":1e300)"), with("", "1e300"), with("", "\"x\""),
          std::string{R"({"version":18446744073709551615,"routes":[],"services":[]})"},
          std::string{R"({"version":1e300,"routes":[],"services":[]})"}}) {
        CAPTURE(odd.substr(0, 200));
        world.store_.put("keyed.op", "config", odd);
        ::poll(nullptr, 0, 100);
        REQUIRE_FALSE(world.daemon().has_ended());
        CHECK(ask(world) == "first");
    }
    world.store_.put("keyed.op", "config", config_document(5, "\"next\""));
    CHECK(eventually(in_force, [&] { return ask(world, "", "next") == "first"; }));
    world.store_.set_down(true); // so that one read takes both
    world.store_.put("keyed.op", "config", config_document(6, "\"last\""));
    world.store_.put("keyed.op", "config", "{");
    world.store_.set_down(false);
    CHECK(eventually(in_force, [&] { return ask(world, "", "last") == "first"; }));
    CHECK_FALSE(world.daemon().wait_text("config-unreadable", limit).empty());
}

// Guards against VMs that no longer find each other, or never again place models.
TEST_CASE("odd records in the daemons' own topics neither end a VM nor keep it from following others",
          "[entry][odd]")
{
    entry_world world{{answering("first")}};
    auto const deep_value = nested(false, true);
    std::vector<std::string> const odd{
        "{",
        "[]",
        "7",
        "\xff",
        deep_value,
        R"({"peers":7})",
        R"({"peers":"10.0.0.1:0","callers":"10.0.0.1:80"})",
        R"({"peers":"10.0.0.1:99999","callers":"10.0.0.1:80"})",
        R"({"vm":7,"epoch":"x"})",
        R"({"incarnation":1e300,"peers":"127.0.0.9:9","callers":"127.0.0.9:9","strength":1e300})",
        R"({"incarnation":-1,"peers":"127.0.0.9:9","callers":"127.0.0.9:9","strength":9223372036854775807})",
        R"({"vm":"v","incarnation":1e300,"epoch":18446744073709551615,"orders_from":9223372036854775807})"};
    for (std::size_t i = 0; i < odd.size(); ++i) {
        for (auto const* const topic : {"keyed.auburnchute-members", "keyed.auburnchute-crashes"}) {
            world.store_.put(topic, "odd-" + std::to_string(i), odd[i]);
        }
    }
    world.start_daemon(world.ip_, "front-a-1", "a"); // reads them at its start
    REQUIRE(eventually(limit, [&] { return world.ready() && ask(world) == "first"; }));
    world.daemon().wait_text("lease-taken", limit);
    for (auto const* const record : {"{", R"({"vm":7,"epoch":"x"})", R"({"vm":"v","incarnation":1e300})"}) {
        CAPTURE(record);
        world.store_.put("keyed.auburnchute-lease", "placement", record);
        world.daemon().wait_text("lease-taken", limit);
    }
    auto const second = second_address();
    world.start_daemon(second, "front-b-1", "b");
    CHECK(eventually(limit, [&] { return world.metric(world.ip_, "auburnchute_members") == 2; }));
    CHECK(eventually(limit, [&] { return world.metric(second, "auburnchute_members") == 2; }));
    check_follows(world, world.ip_, "second");
    check_follows(world, second, "third");
}

// Guards against a VM that reads all entries again and again because of a peer that differs for good, as one
// of another release may.
TEST_CASE("a peer whose upstreams differ for good has the entries read anew ever more seldom", "[entry][odd]")
{
    entry_world world{{answering("first")}};
    false_peer const peer{world.ip_};
    world.store_.put("keyed.auburnchute-members", "front-z-1",
                     nlohmann::json{{"incarnation", 5},
                                    {"peers", peer.address()},
                                    {"callers", peer.address()},
                                    {"zone", "z"},
                                    {"strength", 1}}
                         .dump());
    fleet_message message;
    message.vm_ = "front-z-1";
    message.incarnation_ = 5;
    message.kind_ = message_kind::mesh;
    message.term_ = 1;
    message.send_interval_ = millis{200};
    message.store_era_ = world.store_.era(); // offsets of another era would not be compared
    message.seen_news_ = 1;                  // the one entry
    message.registry_ = 1;                   // the digest of none
    auto const tell = [&] {
        ++message.sent_at_;
        peer.send(world.ip_, encode_message(message));
        return world.store_.newest_reads("keyed.servers");
    };
    auto const reads = world.store_.newest_reads("keyed.servers");
    CHECK(eventually(limit, [&] { return tell() > reads; })); // it may have missed a record
    // At 1 s, 3 s and 7 s after the first.
    CHECK_FALSE(eventually(std::chrono::seconds{4}, [&] { return tell() > reads + 3; }));
}

// Guards against a VM that ends because of a datagram.
TEST_CASE("odd datagrams of a peer neither end a VM nor keep it from following the entries", "[entry][odd]")
{
    entry_world world{{answering("first")}};
    false_peer const peer{world.ip_};
    world.store_.put("keyed.auburnchute-members", "front-z-1",
                     nlohmann::json{{"incarnation", 5},
                                    {"peers", peer.address()},
                                    {"callers", peer.address()},
                                    {"zone", "z"},
                                    {"strength", 1}}
                         .dump());
    std::mt19937 draw{fixed_seed};
    fleet_message message;
    message.vm_ = "front-z-1";
    message.incarnation_ = 5;
    message.kind_ = message_kind::mesh;
    message.term_ = 1;
    message.send_interval_ = millis{200};
    message.store_era_ = world.store_.era(); // offsets of another era would not be compared
    auto const odd = odd_entries();
    auto const keys = odd_keys();
    for (int i = 0; i < 600; ++i) {
        message.sent_at_ = i + 1;
        message.news_from_ = static_cast<std::uint64_t>(i % 7);
        message.news_to_ = static_cast<std::uint64_t>(i % 13);
        message.news_.clear();
        auto const& entry = odd[draw() % odd.size()];
        auto const& key = i % 3 == 0 ? keys[draw() % keys.size()] : entry.key_;
        message.news_.push_back({message.news_to_ - 1, key, entry.document_.substr(0, 50'000)});
        message.seen_news_ = draw() % 20;
        message.leaves_ = {{key, static_cast<std::int64_t>(draw()), millis{0}}};
        message.lease_epoch_ = i % 5 == 0 ? draw() : 0;
        message.lease_end_ = draw() % 4;
        message.levels_ = {{draw(), static_cast<std::int64_t>(1) << 49U}};
        auto bytes = encode_message(message);
        auto const changes = draw() % 4;
        for (std::uint32_t j = 0; j < changes; ++j) {
            bytes[draw() % bytes.size()] = static_cast<std::uint8_t>(draw());
        }
        if (i % 10 == 9) {
            bytes.resize(draw() % bytes.size());
        }
        if (i % 50 == 49) {
            std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<std::uint8_t>(draw()); });
        }
        peer.send(world.ip_, bytes);
        ::poll(nullptr, 0, 2);
        REQUIRE_FALSE(world.daemon().has_ended());
    }
    CHECK(world.metric(world.ip_, "auburnchute_peer_messages_total{result=\"taken\"") > 0);
    check_follows(world, world.ip_, "second");
}
