// Real processes under failure. The greater part of the fault matrix runs in one process; see tests/state and
// tests/coordination.
#include "transport/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <set>
#include <sstream>

using namespace auburnchute;
using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

/// The first token of the stand-in's answer depends on model and prompt alone.
std::string content_of(fleet_answer const& answer)
{
    auto const json = answer.json();
    return json.is_object() && json.contains("choices") ? json["choices"][0]["message"].value("content", "")
                                                        : std::string{};
}

/// The text of a stream's chunks.
std::string streamed_content(fleet_answer const& answer)
{
    std::string text;
    std::istringstream lines{answer.body_};
    for (std::string line; std::getline(lines, line);) {
        auto const event = line.starts_with("data: ") ? nlohmann::json::parse(line.substr(6), nullptr, false)
                                                      : nlohmann::json{};
        if (event.is_object() && event.contains("choices") && !event["choices"].empty()) {
            text += event["choices"][0]["delta"].value("content", "");
        }
    }
    return text;
}

/// The engines' software versions as a daemon knows them, and `unknown` of one without a report.
std::vector<std::string> reported_versions(fleet const& f, std::size_t daemon)
{
    std::vector<std::string> versions(f.engines(), "unknown");
    auto const status = f.status(daemon);
    for (auto const& upstream : status["upstreams"]) {
        for (std::size_t engine = 0; engine < versions.size(); ++engine) {
            if (upstream["upstream"] == "engine-" + std::to_string(engine) &&
                upstream["software_version"].is_string()) {
                versions[engine] = upstream["software_version"].get<std::string>();
            }
        }
    }
    return versions;
}

bool said_not_run(fleet_answer const& answer)
{
    auto const json = answer.json();
    return json.is_object() && json.value("execution", "") == "not_run";
}

std::string own_digest()
{
    return salted_digest(fleet_salt, fleet_key);
}

} // namespace

// Guards against a second run when callers repeat a purchase at once at all daemons, with and without lost
// acknowledgements of the log.
TEST_CASE("a purchase repeated at all daemons at once runs once", "[promise-10][process]")
{
    auto const lost_acks = GENERATE(0, 4);
    fleet f{{}};
    fleet::fault(f.log_address(), {{"lose_acks", lost_acks}});
    std::vector<std::future<fleet_answer>> answers;
    for (int round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < f.daemons(); ++i) {
            answers.push_back(std::async(std::launch::async, [&f, i] { return f.buy(i, "order-1"); }));
        }
    }
    int succeeded = 0;
    for (auto& answer : answers) {
        auto const got = answer.get();
        succeeded += got.status_ == 200 ? 1 : 0;
        CHECK((got.status_ == 200 || got.status_ == 409 || got.status_ == 503));
    }
    CHECK(succeeded >= 1);
    CHECK(f.runs("order-1") == 1);
    // The outcome may still be on its way to the log; until then a repeat is told that the call runs.
    CHECK(eventually(10s, [&f] { return f.buy(2, "order-1").status_ == 200; }));
    CHECK(f.runs("order-1") == 1);
}

// Guards against "still running" where the first call was answered and its outcome is on its way to the log.
TEST_CASE("a purchase repeated at another daemon before its outcome is in the log gets the outcome",
          "[promise-10][process]")
{
    auto const repeats_at = GENERATE(std::size_t{0}, std::size_t{1});
    fleet f{{}};
    fleet::fault(f.service_address(0), {{"delay_ms", 1'500}});
    auto first = std::async(std::launch::async, [&f] { return f.buy(0, "order-9"); });
    REQUIRE(eventually(10s, [&f] { return f.runs("order-9") == 1; }));
    fleet::fault(f.log_address(), {{"append_outage", true}});
    CHECK(first.get().status_ == 200);
    auto again = std::async(std::launch::async, [&] { return f.buy(repeats_at, "order-9"); });
    REQUIRE(eventually(10s, [&] {
        return again.wait_for(0s) == std::future_status::ready ||
               f.get(repeats_at, "/metrics").body_.find("\nauburnchute_open_requests 1") != std::string::npos;
    }));
    fleet::fault(f.log_address(), {{"clear", true}});
    auto const repeat = again.get();
    CAPTURE(repeat.body_);
    CHECK(repeat.status_ == 200);
    CHECK(repeat.headers_.find("Idempotency-Replayed") != repeat.headers_.end());
    CHECK(f.runs("order-9") == 1);
}

// Guards against a second run after the daemon that made the call was killed before it stored the outcome.
TEST_CASE("a purchase whose daemon is killed during the call is not run again",
          "[promise-10][promise-9][process]")
{
    fleet f{{}};
    fleet::fault(f.service_address(0), {{"delay_ms", 1'500}});
    auto first = std::async(std::launch::async, [&f] { return f.buy(0, "order-2"); });
    REQUIRE(eventually(10s, [&f] { return f.runs("order-2") == 1; }));
    f.daemon(0).kill();
    CHECK(first.get().status_ == 0);
    fleet_answer repeat;
    bool const told = eventually(60s, [&] {
        repeat = f.buy(1, "order-2");
        return repeat.status_ == 409 &&
               repeat.json().value("type", "") == "urn:auburnchute:problem:outcome-unknown";
    });
    CHECK(told);
    CHECK(repeat.json()["execution"] == "unknown");
    CHECK(f.runs("order-2") == 1);
}

// Guards against keys that go on working on open streams or at daemons other than the one that was told.
TEST_CASE("a withdrawn key ends open streams and is refused everywhere", "[promise-6][process]")
{
    fleet f{{.token_ms_ = 50}};
    auto stream = std::async(std::launch::async, [&f] { return f.ask(1, "m", "long", 1'000, true); });
    REQUIRE(eventually(10s, [&f] {
        return f.received_by(0, "/v1/chat/completions") + f.received_by(1, "/v1/chat/completions") == 1;
    }));
    REQUIRE(f.admin_delete(0, "/admin/v1/keys/" + own_digest()).status_ == 200);
    REQUIRE(stream.wait_for(9s) == std::future_status::ready);
    auto const cut = stream.get();
    CHECK(cut.body_.find("[DONE]") == std::string::npos);
    CHECK(cut.body_.find("the key was withdrawn") != std::string::npos);
    for (std::size_t i = 0; i < f.daemons(); ++i) {
        CHECK(eventually(9s, [&] { return f.ask(i, "m", "short").status_ == 401; }));
    }
    CHECK(f.admin_post(1, "/admin/v1/keys", {{"digest", own_digest()}, {"workspace", "w"}, {"name", "again"}})
              .status_ == 422);
}

// Guards against an outage of the log that stops warm models, and against calls that may not be repeated
// without a claim.
TEST_CASE("warm models are served while the log is down and purchases are refused as not run",
          "[promise-3][promise-9][process]")
{
    fleet f{{}};
    fleet::fault(f.log_address(), {{"outage", true}});
    REQUIRE(eventually(20s, [&f] {
        bool all = true;
        for (std::size_t i = 0; i < f.daemons(); ++i) {
            all = all && f.status(i).value("authority", "") == "fresh_outage";
        }
        return all;
    }));
    for (std::size_t i = 0; i < f.daemons(); ++i) {
        CHECK(f.ask(i, "m", "warm").status_ == 200);
        auto const purchase = f.buy(i, "order-3");
        CHECK(purchase.status_ == 503);
        CHECK(said_not_run(purchase));
    }
    CHECK(f.runs("order-3") == 0);
    CHECK(f.admin_post(0, "/admin/v1/tables", f.tables(1, "outage")).status_ == 503);
    fleet::fault(f.log_address(), {{"clear", true}});
    CHECK(eventually(20s, [&f] { return f.buy(1, "order-3").status_ == 200; }));
    CHECK(f.runs("order-3") == 1);
}

// Guards against a planned stop that cuts a stream or leaves the VM in the entry list.
TEST_CASE("a planned stop finishes streams and leaves the entry list", "[promise-12][process]")
{
    fleet f{{.token_ms_ = 20}};
    auto stream = std::async(std::launch::async, [&f] { return f.ask(2, "m", "long", 150, true); });
    REQUIRE(eventually(10s, [&f] {
        return f.received_by(0, "/v1/chat/completions") + f.received_by(1, "/v1/chat/completions") == 1;
    }));
    auto stopped = std::async(std::launch::async, [&f] { return f.daemon(2).stop(); });
    auto const listed = [&f] {
        auto const entries = f.get(0, "/v1/entries").json()["entries"];
        return std::any_of(entries.begin(), entries.end(),
                           [](auto const& entry) { return entry["vm"] == "entry-2"; });
    };
    CHECK(eventually(5s, [&] { return !listed(); }));
    auto const whole = stream.get();
    CHECK(whole.status_ == 200);
    CHECK(whole.body_.find("[DONE]") != std::string::npos);
    CHECK(stopped.get() == 0);
    CHECK(eventually(10s, [&f] {
        return f.status(0).value("share_pending", 1) == 0 && f.status(0)["members"].size() == 2;
    }));
}

// Guards against a frozen daemon that serves on stale knowledge when it goes on, and against its share being
// lost.
TEST_CASE("a frozen daemon is voted out, and joins again when it goes on", "[promise-7][process]")
{
    fleet f{{}};
    auto const before = f.status(1)["incarnation"].get<std::string>();
    f.daemon(1).freeze();
    REQUIRE(eventually(40s, [&f] {
        return f.status(0)["members"].size() == 2 && f.status(0).value("share_pending", 1) == 0;
    }));
    CHECK(eventually(20s, [&f] { return f.status(0)["workspaces"][0]["units"] == 500'000; }));
    f.daemon(1).resume();
    CHECK(eventually(30s, [&f] { return f.ask(1, "m", "back").status_ == 200; }));
    CHECK(f.status(1)["incarnation"].get<std::string>() != before);
    CHECK(eventually(30s, [&f] {
        auto const units = f.status(0)["workspaces"][0]["units"];
        return units == 333'333 || units == 333'334;
    }));
}

// Guards against a poison request that takes down upstream after upstream while its caller sends it again.
TEST_CASE("a poison request is stopped and innocent requests go on", "[promise-9][process]")
{
    fleet f{{.engines_ = 4, .min_replicas_ = 4, .max_replicas_ = 4}};
    for (std::size_t i = 0; i < f.engines(); ++i) {
        fleet::fault(f.engine_address(i), {{"crash_on", "poison"}});
    }
    bool const refused = eventually(60s, [&f] { return f.ask(0, "m", "poison").status_ == 422; });
    CHECK(refused);
    CHECK(eventually(10s, [&f] { return f.ask(1, "m", "poison").status_ == 422; }));
    std::size_t answering = 0;
    for (std::size_t i = 0; i < f.engines(); ++i) {
        answering += client_of(f.engine_address(i)).Get("/report") ? 1 : 0;
    }
    CHECK(answering >= 2);
    CHECK(eventually(20s, [&f] { return f.ask(2, "m", "innocent").status_ == 200; }));
}

// Guards against answers that reach the wrong caller when an upstream exchanges them.
TEST_CASE("crossed answers never reach the other caller", "[promise-8][process]")
{
    fleet f{{.engines_ = 1}};
    auto const one = content_of(f.ask(0, "m", "first question"));
    auto const two = content_of(f.ask(0, "m", "second question"));
    REQUIRE(one != two);
    fleet::fault(f.engine_address(0), {{"cross_answers", true}});
    auto a = std::async(std::launch::async, [&f] { return f.ask(0, "m", "first question"); });
    auto b = std::async(std::launch::async, [&f] { return f.ask(1, "m", "second question"); });
    for (auto* const pair : {&a, &b}) {
        auto const answer = pair->get();
        auto const expected = pair == &a ? one : two;
        if (answer.status_ == 200) {
            CHECK(content_of(answer) == expected);
        } else {
            CHECK(answer.json().is_object());
        }
    }
}

// Guards against a cut stream that looks complete, and against a resumed one that repeats or loses tokens.
TEST_CASE("a cut stream is resumed or ends with an explicit error", "[promise-8][process]")
{
    bool const resumes = GENERATE(false, true);
    fleet f{{.engines_ = 2, .min_replicas_ = 2, .max_replicas_ = 2, .resumes_streams_ = resumes}};
    auto const whole = f.ask(0, "m", "a story", 10);
    REQUIRE(whole.status_ == 200);
    fleet::fault(f.engine_address(0), {{"cut_after_tokens", 4}});
    for (int round = 0; round < 6; ++round) {
        auto const answer = f.ask(0, "m", "a story", 10);
        if (resumes) {
            CHECK(answer.status_ == 200);
        }
        if (answer.status_ == 200) {
            CHECK(content_of(answer) == content_of(whole));
        } else {
            CHECK(answer.json()["execution"] == "ran");
        }
        auto const stream = f.ask(1, "m", "a story", 10, true);
        bool const done = stream.body_.find("[DONE]") != std::string::npos;
        bool const failed = stream.body_.find("\"error\"") != std::string::npos;
        CHECK(done != failed);
    }
}

// Guards against an answer that begins with one software version and goes on with another, also where a
// daemon knows an engine's version from a peer, or where an engine runs another one than its report names.
TEST_CASE("an answer goes on only with the software version that began it", "[promise-8][process]")
{
    struct row {
        std::vector<std::string> versions_; ///< Engine 0 cuts its answers.
        std::string reported_by_engine_1_;
        bool goes_on_;
    };
    auto const r =
        GENERATE(row{{"1", "2", "1"}, "", true}, row{{"", "2", ""}, "", true},
                 row{{"1", "2", "1"}, "1", true}, row{{"1", "2"}, "", false}, row{{"1", ""}, "", false},
                 row{{"", "2"}, "", false}, row{{"1", "2"}, "1", false});
    constexpr int tokens = 20;
    constexpr int prompts = 5;
    auto const engines = static_cast<int>(r.versions_.size());
    fleet f{{.daemons_ = 2,
             .engines_ = engines,
             .min_replicas_ = engines,
             .max_replicas_ = engines,
             .resumes_streams_ = true,
             .software_versions_ = r.versions_}};
    auto reported = r.versions_;
    if (!r.reported_by_engine_1_.empty()) {
        reported[1] = r.reported_by_engine_1_;
        fleet::fault(f.engine_address(1), {{"reported_version", reported[1]}});
    }
    for (std::size_t daemon = 0; daemon < f.daemons(); ++daemon) {
        REQUIRE(eventually(10s, [&] { return reported_versions(f, daemon) == reported; }));
    }
    std::size_t cut = 0;
    for (int i = 0; i < prompts; ++i) {
        auto const prompt = "story " + std::to_string(i);
        std::vector<std::string> whole;
        for (std::size_t engine = 0; engine < f.engines(); ++engine) {
            whole.push_back(content_of(f.ask_engine(engine, "m", prompt, tokens)));
        }
        REQUIRE(whole[0] != whole[1]);
        fleet::fault(f.engine_address(0), {{"cut_after_tokens", 4}});
        for (std::size_t daemon = 0; daemon < f.daemons(); ++daemon) {
            auto const before = f.received_by(0, "/v1/chat/completions");
            auto const began = std::chrono::steady_clock::now();
            auto const answer = f.ask(daemon, "m", prompt, tokens, daemon == 1);
            CHECK(std::chrono::steady_clock::now() - began < 5s);
            bool const was_cut = f.received_by(0, "/v1/chat/completions") > before;
            cut += was_cut ? 1 : 0;
            auto const text = daemon == 1 ? streamed_content(answer) : content_of(answer);
            CAPTURE(prompt, daemon, was_cut, answer.status_, answer.body_, whole);
            bool const complete =
                daemon == 1 ? answer.body_.find("[DONE]") != std::string::npos : answer.status_ == 200;
            CHECK(complete == (r.goes_on_ || !was_cut));
            CHECK(std::any_of(whole.begin(), whole.end(), [&](std::string const& one) {
                return complete ? text == one : one.starts_with(text);
            }));
            if (!complete && daemon == 0) {
                CHECK(answer.status_ == 502);
                CHECK(answer.json()["execution"] == "ran");
            }
        }
        fleet::fault(f.engine_address(0), {{"clear", true}});
    }
    CHECK(cut > 0);
}

// Guards against a stream that is continued at an engine which cannot, and so ends as one that did not run.
TEST_CASE("a cut stream goes on only at an engine that resumes streams", "[promise-8][promise-9][process]")
{
    struct row {
        int engines_; ///< Engine 0 cuts its answers, engine 1 does not resume them.
        bool goes_on_;
    };
    auto const r = GENERATE(row{3, true}, row{2, false});
    constexpr int tokens = 20;
    fleet f{{.daemons_ = 1,
             .engines_ = r.engines_,
             .min_replicas_ = r.engines_,
             .max_replicas_ = r.engines_,
             .resumes_streams_ = true,
             .never_resume_ = {1}}};
    REQUIRE(eventually(10s, [&] {
        return reported_versions(f, 0) == std::vector<std::string>(f.engines(), std::string{});
    }));
    fleet::fault(f.engine_address(0), {{"cut_after_tokens", 4}});
    std::size_t cut = 0;
    for (int i = 0; i < 10; ++i) {
        auto const prompt = "story " + std::to_string(i);
        auto const before = f.received_by(0, "/v1/chat/completions");
        auto const answer = f.ask(0, "m", prompt, tokens);
        bool const was_cut = f.received_by(0, "/v1/chat/completions") > before;
        cut += was_cut ? 1 : 0;
        CAPTURE(prompt, was_cut, answer.body_);
        CHECK((answer.status_ == 200) == (r.goes_on_ || !was_cut));
        if (answer.status_ == 200) {
            CHECK(content_of(answer) == content_of(f.ask_engine(1, "m", prompt, tokens)));
        } else {
            CHECK(answer.status_ == 502);
            CHECK(answer.json().value("execution", "") == "ran");
        }
    }
    CHECK(cut > 0);
}

// Guards against a caller that waits although no engine is left that could go on with its answer.
TEST_CASE("an answer whose software version has no engine left ends at once", "[promise-8][process]")
{
    fleet f{{.daemons_ = 1,
             .engines_ = 2,
             .token_ms_ = 50,
             .min_replicas_ = 2,
             .max_replicas_ = 2,
             .resumes_streams_ = true,
             .software_versions_ = {"1", "2"}}};
    REQUIRE(eventually(10s, [&f] { return reported_versions(f, 0) == std::vector<std::string>{"1", "2"}; }));
    std::vector<std::future<fleet_answer>> streams;
    for (auto const* const prompt : {"one", "other"}) {
        streams.push_back(
            std::async(std::launch::async, [&f, prompt] { return f.ask(0, "m", prompt, 100, true); }));
    }
    auto const calls = [&f](std::size_t engine) { return f.received_by(engine, "/v1/chat/completions"); };
    REQUIRE(eventually(10s, [&] { return calls(0) + calls(1) == 2; }));
    REQUIRE(calls(0) == 1);
    f.mark_leaving("engine-0");
    REQUIRE(eventually(10s, [&f] {
        auto const upstreams = f.status(0)["upstreams"];
        return std::any_of(upstreams.begin(), upstreams.end(),
                           [](auto const& u) { return u["upstream"] == "engine-0" && u["leaving"] == true; });
    }));
    auto const began = std::chrono::steady_clock::now();
    f.engine(0).kill();
    std::size_t ended = 0;
    for (auto& stream : streams) {
        auto const answer = stream.get();
        bool const failed = answer.body_.find("\"error\"") != std::string::npos;
        ended += failed ? 1 : 0;
        CAPTURE(answer.body_);
        CHECK(failed != (answer.body_.find("[DONE]") != std::string::npos));
        CHECK((!failed || answer.body_.find("software version") != std::string::npos));
    }
    CHECK(ended == 1);
    CHECK(std::chrono::steady_clock::now() - began < 8s);
    CHECK(calls(1) == 1);
}

// Guards against a key that opens routes of another workspace.
TEST_CASE("a key opens only the routes of its workspace", "[promise-4][process]")
{
    fleet f{{}};
    std::string const other_key = "key-of-workspace-x";
    REQUIRE(
        f.admin_post(0, "/admin/v1/keys",
                     {{"digest", salted_digest(fleet_salt, other_key)}, {"workspace", "x"}, {"name", "k"}})
            .status_ == 200);
    struct row {
        std::string key_;
        int status_;
    };
    for (auto const& r : {row{other_key, 403}, row{"a-key-that-was-never-granted", 401}, row{"", 401}}) {
        for (std::size_t i = 0; i < f.daemons(); ++i) {
            fleet_answer answer;
            CHECK(eventually(9s, [&] {
                answer = f.ask(i, "m", "not-for-you", 3, false, r.key_);
                return answer.status_ == r.status_;
            }));
            CHECK(said_not_run(answer));
        }
    }
    CHECK(f.received().find("not-for-you") == std::string::npos);
    CHECK(f.ask(0, "m", "for-me").status_ == 200);
}

// Guards against caller keys that reach an upstream in any header or body.
TEST_CASE("no upstream receives a caller's key", "[promise-5][process]")
{
    fleet f{{}};
    REQUIRE(f.ask(0, "m", "hello").status_ == 200);
    REQUIRE(f.buy(1, "order-5").status_ == 200);
    REQUIRE(f.get(2, "/stock/timber").status_ == 200);
    CHECK(f.ask(0, "m", std::string{"my key is "} + fleet_key).status_ == 400);
    CHECK(f.get(0, std::string{"/stock/"} + fleet_key).status_ == 400);
    auto const received = f.received();
    CHECK(received.find("hello") != std::string::npos);
    CHECK(received.find(fleet_key) == std::string::npos);
}

// Guards against two operators who both believe that their edit of the same version is in force.
TEST_CASE("of two racing edits exactly one is accepted and all daemons have it", "[promise-13][process]")
{
    fleet f{{}};
    auto edit = [&f](std::size_t daemon, std::string const& deadline) {
        auto body = f.tables(1, "operator-" + deadline);
        auto routes = body["routes"].get<std::string>();
        routes.replace(routes.find("20000"), 5, deadline);
        body["routes"] = routes;
        return f.admin_post(daemon, "/admin/v1/tables", body);
    };
    auto a = std::async(std::launch::async, [&] { return edit(0, "21000"); });
    auto b = std::async(std::launch::async, [&] { return edit(1, "22000"); });
    auto const first = a.get();
    auto const second = b.get();
    std::multiset<int> const codes{first.status_, second.status_};
    CHECK(codes == std::multiset<int>{200, 409});
    std::string const author = first.status_ == 200 ? "operator-21000" : "operator-22000";
    for (std::size_t i = 0; i < f.daemons(); ++i) {
        CHECK(eventually(9s, [&] {
            auto const now_in_force = f.admin_get(i, "/admin/v1/tables").json();
            return now_in_force["version"] == 2 && now_in_force["author"] == author;
        }));
    }
}

// Guards against new work for an upstream that the VM list shows as leaving.
TEST_CASE("a leaving upstream gets no new work", "[promise-11][process]")
{
    fleet f{{.engines_ = 2, .min_replicas_ = 2, .max_replicas_ = 2}};
    f.mark_leaving("engine-0");
    auto const all_know = [&f] {
        for (std::size_t i = 0; i < f.daemons(); ++i) {
            auto const upstreams = f.status(i)["upstreams"];
            bool const known = std::any_of(upstreams.begin(), upstreams.end(), [](auto const& u) {
                return u["upstream"] == "engine-0" && u["leaving"] == true;
            });
            if (!known) {
                return false;
            }
        }
        return true;
    };
    REQUIRE(eventually(5s, all_know));
    auto const before = f.received_by(0, "/v1/chat/completions");
    for (int i = 0; i < 30; ++i) {
        CHECK(f.ask(static_cast<std::size_t>(i) % 3, "m", "prompt " + std::to_string(i)).status_ == 200);
    }
    CHECK(f.received_by(0, "/v1/chat/completions") == before);
}

// Guards against several loads of one model when its first requests arrive at all daemons at once.
TEST_CASE("a burst of first requests causes one load", "[promise-1][process]")
{
    bool const fenced = GENERATE(true, false);
    fleet f{{.engines_ = 3, .load_ms_ = 400, .honours_fencing_ = fenced}};
    std::vector<std::future<fleet_answer>> answers;
    for (int round = 0; round < 4; ++round) {
        for (std::size_t i = 0; i < f.daemons(); ++i) {
            answers.push_back(std::async(std::launch::async, [&f, i] { return f.ask(i, "c", "cold"); }));
        }
    }
    for (auto& answer : answers) {
        CHECK(answer.get().status_ == 200);
    }
    int loads = 0;
    for (std::size_t i = 0; i < f.engines(); ++i) {
        auto const report = nlohmann::json::parse(client_of(f.engine_address(i)).Get("/report")->body);
        for (auto const& replica : report["replicas"]) {
            loads += replica["model"] == "c" ? 1 : 0;
        }
    }
    CHECK(loads == 1);
}

// Guards against a daemon that comes back with older tables or keys than it had confirmed.
TEST_CASE("a daemon that restarts serves what is in force", "[promise-13][process]")
{
    fleet f{{}};
    f.daemon(1).kill();
    auto body = f.tables(1, "while-away");
    auto routes = body["routes"].get<std::string>();
    routes.replace(routes.find("20000"), 5, "23000");
    body["routes"] = routes;
    REQUIRE(f.admin_post(0, "/admin/v1/tables", body).status_ == 200);
    f.start_daemon(1);
    fleet_answer answer;
    CHECK(eventually(20s, [&] {
        answer = f.ask(1, "m", "again");
        return answer.status_ == 200;
    }));
    auto const row = answer.headers_.find("Auburnchute-Row");
    REQUIRE(row != answer.headers_.end());
    CHECK(row->second == "routes/r@2");
}

// Guards against tokens above rate and burst when a workspace spreads its requests over all daemons.
TEST_CASE("a workspace gets no more than its burst over all daemons", "[promise-7][process]")
{
    constexpr int burst = 600;
    fleet f{{.rate_ = 1, .burst_ = burst}};
    std::atomic<int> produced{};
    std::atomic<int> refused{};
    auto const started = std::chrono::steady_clock::now();
    std::vector<std::future<void>> callers;
    for (std::size_t i = 0; i < f.daemons(); ++i) {
        callers.push_back(std::async(std::launch::async, [&, i] {
            for (int request = 0; request < 30; ++request) {
                auto const answer = f.ask(i, "m", "x", 20);
                if (answer.status_ == 200) {
                    produced += answer.json()["usage"]["completion_tokens"].get<int>();
                } else {
                    refused += answer.status_ == 429 && said_not_run(answer) ? 1 : 0;
                }
            }
        }));
    }
    for (auto& caller : callers) {
        caller.get();
    }
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - started).count();
    CHECK(produced <= burst + seconds + 1);
    CHECK(refused > 0);
}
