#include "child_process.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>

using auburnchute::tests::child_process;
using nlohmann::json;

namespace {

/// A stand-in with a client for it.
class standin {
public:
    standin(std::string const& binary, std::vector<std::string> const& arguments)
        : child_{binary, arguments}, address_{child_.wait_listening()}
    {
    }

    child_process& child() noexcept { return child_; }

    struct answer {
        int status_{}; ///< 0: the connection ended without an answer.
        std::string body_;
        std::string request_;
    };

    answer get(std::string const& path) const { return read(client().Get(path)); }

    answer post(std::string const& path, json const& body, std::string const& request = {}) const
    {
        return read(client().Post(path, httplib::Headers{{"X-Request-Id", request}}, body.dump(),
                                  "application/json"));
    }

    json got(std::string const& path) const { return json::parse(get(path).body_); }

private:
    httplib::Client client() const
    {
        httplib::Client made{"http://" + address_};
        made.set_read_timeout(std::chrono::seconds{30});
        return made;
    }

    static answer read(httplib::Result const& result)
    {
        if (!result) {
            return {};
        }
        return {result->status, result->body, result->get_header_value("X-Request-Id")};
    }

    child_process child_;
    std::string address_;
};

json load_order(std::string const& replica, std::string const& model, std::string const& adapter,
                std::int64_t memory_mb, std::uint64_t fencing)
{
    return {{"replica", replica}, {"model", model},     {"adapter", adapter}, {"memory_mb", memory_mb},
            {"source", "store"},  {"fencing", fencing}, {"vm_instance", "i1"}};
}

standin loaded_engine(std::vector<std::string> arguments)
{
    for (auto const* argument : {"--vm-instance", "i1", "--load-ms", "1", "--token-ms", "1"}) {
        arguments.emplace_back(argument);
    }
    standin engine{"standin-engine", arguments};
    REQUIRE(engine.post("/orders/load", load_order("r1", "m", "", 100, 5)).status_ == 200);
    return engine;
}

json const chat{{"model", "m"}, {"max_tokens", 6}, {"messages", {{{"role", "user"}, {"content", "hello"}}}}};

json with(json base, json const& changes)
{
    base.update(changes);
    return base;
}

/// The texts of a stream's tokens, and whether it ended as a whole.
struct streamed {
    std::vector<std::string> tokens_;
    bool done_{};
};

streamed read_stream(std::string const& body)
{
    streamed result;
    std::istringstream lines{body};
    for (std::string line; std::getline(lines, line);) {
        if (line == "data: [DONE]") {
            result.done_ = true;
        } else if (line.starts_with("data: ")) {
            auto const choices = json::parse(line.substr(6)).value("choices", json::array());
            if (!choices.empty() && choices[0]["delta"].contains("content")) {
                result.tokens_.push_back(choices[0]["delta"]["content"]);
            }
        }
    }
    return result;
}

} // namespace

// Guards against a log that loses the record along with its acknowledgement, which would hide faults in the
// writer's repeats, and against faults that outlive their count.
TEST_CASE("the log keeps a record whose acknowledgement is lost", "[standin]")
{
    standin const log{"standin-log", {}};
    REQUIRE(log.post("/fault", {{"lose_acks", 1}}).status_ == 200);

    CHECK(log.post("/v1/records", "lost").status_ == 0);
    CHECK(log.post("/v1/records", "kept").status_ == 200);

    auto const read = log.got("/v1/records?from=0&max=10");
    CHECK(read["next"] == 2);
    CHECK(read["records"][0]["data"] == "Imxvc3Qi"); // "lost" with its JSON quotes
}

// Guards against faults of the log that are accepted but not applied; tests with them would pass for nothing.
TEST_CASE("the log's faults refuse or hide what they name", "[standin]")
{
    struct row {
        char const* name_;
        json fault_;
        int append_;
        int read_;
    };
    auto const at = GENERATE(range(0, 5));
    auto const expected = std::array<row, 5>{{
        {"none", {{"clear", true}}, 200, 200},
        {"outage", {{"outage", true}}, 503, 503},
        {"append outage", {{"append_outage", true}}, 503, 200},
        {"append rate", {{"appends_per_second", 0}}, 429, 200},
        {"retention", {{"retention", 0}}, 200, 200},
    }}[static_cast<std::size_t>(at)];
    INFO(expected.name_);
    standin const log{"standin-log", {}};
    REQUIRE(log.post("/v1/records", "first").status_ == 200);
    REQUIRE(log.post("/fault", expected.fault_).status_ == 200);
    auto const appended = log.post("/v1/records", "next").status_;

    CHECK(appended == expected.append_);
    auto const read = log.get("/v1/records?from=0&max=10");
    CHECK(read.status_ == expected.read_);
    if (expected.fault_.contains("retention")) {
        CHECK(json::parse(read.body_)["first"] == 2);
        CHECK(json::parse(read.body_)["records"].empty());
    }
}

// Guards against an engine that takes more weights than its memory or an order of a former holder: a daemon
// that breaks the guarantees on memory and replicas would go unnoticed.
TEST_CASE("the engine refuses orders by its rules", "[standin]")
{
    struct row {
        char const* name_;
        std::vector<std::string> arguments_;
        json order_;
        int status_;
        char const* code_;
    };
    auto const at = GENERATE(range(0, 8));
    auto const expected = std::array<row, 8>{{
        {"fits", {}, load_order("r2", "n", "", 900, 6), 200, ""},
        {"repeat", {}, load_order("r1", "m", "", 100, 5), 200, ""},
        {"above the memory", {}, load_order("r2", "n", "", 901, 6), 409, "out_of_memory"},
        {"old number, ignored", {}, load_order("r2", "m", "", 100, 4), 200, ""},
        {"old number", {"--honours-fencing"}, load_order("r2", "m", "", 100, 4), 409, "stale_fencing"},
        {"adapter without base", {}, load_order("r2", "n", "a", 1, 6), 409, "base_not_loaded"},
        {"other instance",
         {},
         with(load_order("r2", "n", "", 1, 6), {{"vm_instance", "i2"}}),
         409,
         "wrong_instance"},
        {"not in the cache",
         {},
         with(load_order("r2", "n", "", 1, 6), {{"source", "disk_cache"}}),
         409,
         "not_cached"},
    }}[static_cast<std::size_t>(at)];
    INFO(expected.name_);
    auto arguments = expected.arguments_;
    arguments.insert(arguments.end(), {"--memory-mb", "1000"});
    auto const engine = loaded_engine(arguments);

    auto const answer = engine.post("/orders/load", expected.order_);

    CHECK(answer.status_ == expected.status_);
    if (expected.status_ != 200) {
        CHECK(json::parse(answer.body_)["error"]["code"] == expected.code_);
    }
}

// Guards against a load that takes effect after its replica was unloaded, on engines that promise to refuse
// it.
TEST_CASE("an engine that honours fencing refuses a load after its unload", "[standin]")
{
    auto const [flag, status] =
        GENERATE(table<std::string, int>({{"--honours-fencing", 409}, {"--resumes-streams", 200}}));
    auto const engine = loaded_engine({flag});
    REQUIRE(engine.post("/orders/unload", {{"replica", "r1"}, {"fencing", 5}}).status_ == 200);

    CHECK(engine.post("/orders/load", load_order("r1", "m", "", 100, 5)).status_ == status);
}

// Guards against unsigned orders that an engine takes although it checks its sender. The signature was
// computed with openssl(1).
TEST_CASE("an engine that checks its sender refuses unsigned orders", "[standin]")
{
    standin const engine{"standin-engine", {"--checks-sender", "--order-key", "k"}};

    CHECK(engine.post("/orders/load", load_order("r1", "m", "", 100, 5)).status_ == 401);
    CHECK(engine.post("/orders/unload", {{"replica", "r1"}}).status_ == 401);
}

// Guards against a resumed stream whose text differs from the rest of the cut one: the relay's resume could
// not be judged.
TEST_CASE("a cut stream goes on with the same text on another engine", "[standin]")
{
    auto const first = loaded_engine({});
    auto const second = loaded_engine({"--resumes-streams"});
    auto const stream = with(chat, {{"stream", true}});
    auto const whole = read_stream(first.post("/v1/chat/completions", stream).body_);
    REQUIRE(whole.done_);
    REQUIRE(whole.tokens_.size() == 6);
    auto const from = GENERATE(1, 3, 6);

    auto const rest =
        read_stream(second.post("/v1/chat/completions", with(stream, {{"resume_from", from}})).body_);

    CHECK(rest.done_);
    CHECK(rest.tokens_ == std::vector<std::string>(whole.tokens_.begin() + from, whole.tokens_.end()));
    CHECK(first.post("/v1/chat/completions", with(stream, {{"resume_from", from}})).status_ == 400);
}

// Guards against faults of the engine that leave the answer whole.
TEST_CASE("the engine's faults break the answer", "[standin]")
{
    auto const [fault, is_stream, status] =
        GENERATE(table<json, bool, int>({{{{"cut_after_tokens", 2}}, false, 0},
                                         {{{"cut_after_tokens", 2}}, true, 0},
                                         {{{"nonsense", true}}, false, 200},
                                         {{{"nonsense", true}}, true, 0},
                                         {{{"crash_on", "hello"}}, false, 0}}));
    INFO(fault.dump());
    auto engine = loaded_engine({});
    REQUIRE(engine.post("/fault", fault).status_ == 200);

    auto const answer = engine.post("/v1/chat/completions", with(chat, {{"stream", is_stream}}));

    CHECK(answer.status_ == status);
    CHECK_FALSE(json::accept(answer.body_));
    if (fault.contains("crash_on")) {
        CHECK(engine.child().wait_end() == 70);
    }
}

// Guards against a cross that changes only the text: the relay tells a crossed answer by its id.
TEST_CASE("crossed answers carry each other's request id", "[standin]")
{
    auto const engine = loaded_engine({});
    REQUIRE(engine.post("/fault", {{"cross_answers", true}}).status_ == 200);

    auto other =
        std::async(std::launch::async, [&] { return engine.post("/v1/chat/completions", chat, "other"); });
    auto const own = engine.post("/v1/chat/completions", chat, "own");

    CHECK(own.request_ == "other");
    CHECK(json::parse(own.body_)["id"] == "other");
    CHECK(other.get().request_ == "own");
    CHECK(engine.post("/v1/chat/completions", chat, "third").request_ == "third");
}

// Guards against a store that serves all at full speed: cold starts would look better than they are.
TEST_CASE("transfers beyond the bound share the store's speed", "[standin]")
{
    standin const store{"standin-store",
                        {"--checkpoints", "1", "--checkpoint-ms", "100", "--loads-per-second", "0"}};
    auto const transfer = [&] {
        return json::parse(
                   store.post("/v1/transfers", {{"kind", "checkpoint"}, {"name", "m"}}).body_)["duration_ms"]
            .get<int>();
    };

    auto other = std::async(std::launch::async, transfer);
    auto const own = transfer();

    // Whoever came first had the speed alone for a while, so only the sum is bounded from below.
    CHECK(own + other.get() >= 300 - 5);
    CHECK(store.got("/v1/transfers")["checkpoints"]["finished"] == 2);
}

// Guards against a run that is not counted because its answer was cut: at-most-once could not be judged.
TEST_CASE("the service counts runs whose answer was cut", "[standin]")
{
    auto const [fault, status] =
        GENERATE(table<json, int>({{{{"clear", true}}, 200}, {{{"cut_before_answer", true}}, 0}}));
    standin const service{"standin-service", {}};
    REQUIRE(service.post("/fault", fault).status_ == 200);

    CHECK(service.post("/orders/purchase", {{"order", "o1"}}).status_ == status);

    CHECK(service.got("/runs")["runs"]["o1"] == 1);
}

// Guards against a VM list without lag: faults that come from late news would not be found.
TEST_CASE("a change of the VM list appears after its lag", "[standin]")
{
    auto const [lag_ms, visible] = GENERATE(table<int, std::size_t>({{0, 1}, {3'600'000, 0}}));
    child_process child{"standin-vmlist", {"--lag-ms", std::to_string(lag_ms)}};
    httplib::Client client{"http://" + child.wait_listening()};
    json const vm{{"name", "e1"}, {"instance", "i1"}, {"role", "upstream"}, {"address", "127.0.0.1:1"}};

    REQUIRE(client.Put("/v1/vms", json{{"vms", {vm}}}.dump(), "application/json")->status == 200);

    CHECK(json::parse(client.Get("/v1/vms")->body)["vms"].size() == visible);
}

// Guards against a misspelt fault that a stand-in ignores: its test would pass without the fault.
TEST_CASE("an unknown fault is refused", "[standin]")
{
    auto const binary = GENERATE(as<std::string>{}, "standin-log", "standin-vmlist", "standin-store",
                                 "standin-engine", "standin-service");
    standin const one{binary, {}};

    CHECK(one.post("/fault", {{"outtage", true}}).status_ == 400);
    CHECK(one.post("/fault", {{"clear", true}}).body_ == "{}");
}

// Guards against a helper that leaves children behind or takes a frozen one for ended.
TEST_CASE("a child process is frozen, resumed, stopped and killed", "[child_process]")
{
    child_process child{"standin-vmlist", {}};
    httplib::Client client{"http://" + child.wait_listening()};
    client.set_read_timeout(std::chrono::milliseconds{200});

    child.freeze();
    CHECK(child.running());
    CHECK_FALSE(client.Get("/v1/vms"));
    child.resume();
    client.set_read_timeout(std::chrono::seconds{30});
    CHECK(client.Get("/v1/vms"));
    CHECK(child.stop() == 0);
    CHECK_FALSE(child.running());

    child_process other{"standin-vmlist", {}};
    (void)other.wait_listening();
    other.kill();
    CHECK(other.wait_end() == 128 + SIGKILL);
}
