#include "protocol/explain.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace auburnchute;

namespace {

std::string const review = "routes/build-review@3";
std::string const purchase = "routes/purchase@3";
std::string const large = "pools/large@3";

struct told {
    char const* case_;
    decision_trail trail_;
    std::vector<std::string> sentences_;
};

std::vector<told> requests()
{
    return {
        {"review streamed",
         {"entry-a1-1f-7",
          "request",
          "served",
          review,
          {{"accept", "received", "", {1'000}},
           {"authenticate", "workspace forge", "", {1'000}},
           {"route", "matched", review, {1'000}},
           {"limit", "granted forge 1200", "", {1'001}},
           {"pick", "replica r-17 engine-a1", large, {1'001}},
           {"relay", "started 420", "", {1'420}},
           {"relay", "streamed 800", "", {43'000}},
           {"settle", "returned 224", "", {43'000}}}},
         {"This is about the request entry-a1-1f-7. It falls under the row \"build-review\" of the table "
          "routes, version 3.",
          "The request arrived.", "The key that came with it belongs to the workspace forge.",
          "The tables allow this request.",
          "The workspace forge was within its rate; 1200 tokens were set aside for the request.",
          "It was given to the copy r-17 of the model on the upstream engine-a1. This was decided by the row "
          "\"large\" of the table pools, version 3.",
          "The answer began after 420 milliseconds.",
          "The answer was passed on while it was written, 800 tokens in all.",
          "224 unused tokens were given back to the workspace.",
          "In the end the request was answered in full. All this took 42 seconds."}},
        {"purchase made once",
         {"entry-a1-1f-8",
          "request",
          "served",
          purchase,
          {{"accept", "received", "", {0}},
           {"claim", "accepted", purchase, {40}},
           {"pick", "service desk-b1", "", {40}},
           {"relay", "answered 200", "", {1'040}},
           {"settle", "outcome_kept", "", {1'080}}}},
         {"This is about the request entry-a1-1f-8. It falls under the row \"purchase\" of the table routes, "
          "version 3.",
          "The request arrived.",
          "The order may run only once. Its run was written to the log before the service was called.",
          "It was given to the service on the upstream desk-b1.",
          "The upstream answered with status 200, and the answer was passed on.",
          "The outcome was written to the log, so a repeat gets the same answer.",
          "In the end the request was answered in full. All this took 1.1 seconds."}},
        {"purchase repeated",
         {"entry-b1-2a-1",
          "request",
          "served",
          purchase,
          {{"accept", "received", "", {0}}, {"claim", "replayed", purchase, {0}}}},
         {"This is about the request entry-b1-2a-1. It falls under the row \"purchase\" of the table routes, "
          "version 3.",
          "The request arrived.",
          "The same order had been run before. It was not run again; the stored answer of the first run was "
          "given.",
          "In the end the request was answered in full."}},
        {"refusal by rate",
         {"entry-a1-1f-9",
          "request",
          "refused",
          review,
          {{"accept", "received", "", {0}},
           {"limit", "refused forge 2000", "routes/workspaces/forge@3", {2}}}},
         {"This is about the request entry-a1-1f-9. It falls under the row \"build-review\" of the table "
          "routes, version 3.",
          "The request arrived.",
          "The workspace forge had used up its rate on all VMs together, so the request was refused. It "
          "could be sent again after 2 seconds. This was decided by the row \"workspaces/forge\" of the "
          "table routes, version 3.",
          "In the end the request was refused and did not run. All this took 2 milliseconds."}},
        {"refusal by deadline",
         {"entry-a1-1f-10",
          "request",
          "refused",
          review,
          {{"accept", "received", "", {0}},
           {"wait", "cold ledger-70b", "", {1}},
           {"wait", "deadline 30000", review, {30'000}}}},
         {"This is about the request entry-a1-1f-10. It falls under the row \"build-review\" of the table "
          "routes, version 3.",
          "The request arrived.", "The model ledger-70b was not loaded anywhere, so a load was asked for.",
          "It had not started after 30 seconds, the longest time allowed, so it was refused.",
          "In the end the request was refused and did not run. All this took 30 seconds."}},
        {"refusal by estimate",
         {"entry-a1-1f-11", "request", "refused", review, {{"wait", "estimate 300000 30000", review, {0}}}},
         {"This is about the request entry-a1-1f-11. It falls under the row \"build-review\" of the table "
          "routes, version 3.",
          "It could not have started in time: the expected wait was 5 minutes, and at most 30 seconds are "
          "allowed. It was refused at once.",
          "In the end the request was refused and did not run."}},
        {"quarantined request",
         {"entry-a1-1f-12", "request", "refused", review, {{"pick", "quarantined", review, {0}}}},
         {"This is about the request entry-a1-1f-12. It falls under the row \"build-review\" of the table "
          "routes, version 3.",
          "The same request has crashed an upstream before while it ran apart from others. It is blocked, so "
          "that it crashes no other, and was refused.",
          "In the end the request was refused and did not run."}},
        {"withdrawn key",
         {"entry-a1-1f-13", "request", "refused", "", {{"authenticate", "withdrawn_key", "", {0}}}},
         {"This is about the request entry-a1-1f-13.",
          "The key that came with it had been withdrawn, so it was refused.",
          "In the end the request was refused and did not run."}},
        {"log service down",
         {"entry-a1-1f-14", "request", "refused", purchase, {{"claim", "log_down", purchase, {0}}}},
         {"This is about the request entry-a1-1f-14. It falls under the row \"purchase\" of the table "
          "routes, version 3.",
          "The log service could not be reached. An order that may run only once must be written there "
          "first, so it was refused.",
          "In the end the request was refused and did not run."}},
    };
}

std::vector<told> loads()
{
    return {
        {"cold model loaded",
         {"r-17",
          "load",
          "loaded",
          large,
          {{"demand", "waiting 3 ledger-70b 1500", "", {0}},
           {"place", "decided ledger-70b engine-a1 store 42000", large, {40}},
           {"order", "sent engine-a1", "", {80}},
           {"order", "loaded 21000", "", {21'080}}}},
         {"This is about the load r-17. It falls under the row \"large\" of the table pools, version 3.",
          "3 requests waited for the model ledger-70b, the oldest for 1.5 seconds.",
          "The model ledger-70b was to be loaded on the upstream engine-a1 from the weight store; 42000 MB "
          "of memory were reserved there.",
          "The upstream engine-a1 was told to load it.", "The load was complete after 21 seconds.",
          "In the end the model was ready for requests. All this took 21.1 seconds."}},
        {"unload for memory",
         {"r-9",
          "unload",
          "unloaded",
          large,
          {{"unload", "memory draft-8b ledger-70b", large, {0}},
           {"unload", "sent engine-a1", "", {10}},
           {"unload", "released 16000", "", {900}}}},
         {"This is about the unload r-9. It falls under the row \"large\" of the table pools, version 3.",
          "The model ledger-70b was waited for and needed the memory, and the copy of the model draft-8b was "
          "not in use, so it was to be unloaded.",
          "The upstream engine-a1 was told to unload it.", "The memory was free again, 16000 MB.",
          "In the end the copy was gone and its memory free. All this took 900 milliseconds."}},
        {"refused load, no memory",
         {"r-18", "load", "refused", large, {{"place", "no_memory ledger-70b 42000", large, {0}}}},
         {"This is about the load r-18. It falls under the row \"large\" of the table pools, version 3.",
          "No upstream had 42000 MB of memory free for the model ledger-70b, so it was not loaded.",
          "In the end nothing was loaded."}},
        {"refused load, by the upstream",
         {"r-19",
          "load",
          "failed",
          large,
          {{"order", "refused engine-a1", "", {0}}, {"order", "failed out_of_memory on the VM.", "", {0}}}},
         {"This is about the load r-19. It falls under the row \"large\" of the table pools, version 3.",
          "The upstream engine-a1 refused the load.", "The load failed: out_of_memory on the VM.",
          "In the end the model was not loaded."}},
    };
}

} // namespace

// Guards against explanations that leave out the row, the reason or the outcome, or that a manager cannot
// read.
TEST_CASE("decisions are told in plain sentences", "[explain]")
{
    auto cases = requests();
    auto const more = loads();
    cases.insert(cases.end(), more.begin(), more.end());
    for (auto const& one : cases) {
        INFO(one.case_);
        CHECK(explain(one.trail_) == one.sentences_);
    }
}

// Guards against a row that is repeated in every sentence, or that is not named when another row decides.
TEST_CASE("a row is named when it changes", "[explain]")
{
    decision_trail const trail{"x",
                               "request",
                               "served",
                               "routes/a@1",
                               {{"accept", "received", "routes/a@1", {0}},
                                {"relay", "started 5", "pools/b@1", {0}},
                                {"relay", "streamed 5", "pools/b@1", {0}},
                                {"settle", "outcome_kept", "routes/a@1", {0}},
                                {"settle", "returned 5", "", {0}}}};
    auto const sentences = explain(trail);
    std::vector<bool> named;
    for (auto const& sentence : sentences) {
        named.push_back(sentence.find(" row \"") != std::string::npos);
    }
    CHECK(named == std::vector<bool>{true, false, true, false, true, false, false});
}

// Guards against an event that is lost or crashes because its text is not in the vocabulary.
TEST_CASE("unknown events are shown as they stand", "[explain]")
{
    auto const [what, shown] = GENERATE(table<std::string, std::string>({
        {"something new happened", "At the step relay: something new happened."},
        {"", "At the step relay: no detail."},
        {"   ", "At the step relay:    ."},
        {"100% %1 %ms", "At the step relay: 100% %1 %ms."},
        {"streamed", "The answer was passed on while it was written, (not recorded) tokens in all."},
        {"started soon", "The answer began after soon."},
        {"started 99999999999999999999999", "The answer began after 99999999999999999999999."},
        {"streamed %2 %3", "The answer was passed on while it was written, %2 tokens in all."},
    }));
    decision_trail const trail{"x", "request", "odd", "odd row", {{"relay", what, "a@b/c", {5}}}};

    CHECK(explain(trail) ==
          std::vector<std::string>{"This is about the request x. It falls under the row odd row.",
                                   shown + " This was decided by the row a@b/c.", "Outcome: odd."});
}

// Guards against times that readers misjudge.
TEST_CASE("times are shown in everyday units", "[explain]")
{
    auto const [time, shown] = GENERATE(table<std::string, std::string>({
        {"0", "0 milliseconds"},
        {"999", "999 milliseconds"},
        {"1000", "1 second"},
        {"1049", "1 second"},
        {"1050", "1.1 seconds"},
        {"20000", "20 seconds"},
        {"119999", "120 seconds"},
        {"120000", "2 minutes"},
        {"3600000", "60 minutes"},
    }));
    decision_trail const trail{"x", "request", "served", "", {{"wait", "served " + time, "", {0}}}};

    CHECK(explain(trail)[1] == "It waited " + shown + ".");
}

// Guards against a store that grows without bound or forgets the newest trail.
TEST_CASE("the store keeps the newest trails", "[explain]")
{
    trail_store store{3};
    for (int i = 0; i < 5; ++i) {
        store.put({"id-" + std::to_string(i), "request", "served", "", {}});
    }
    auto const [id, kept] = GENERATE(table<std::string, bool>(
        {{"id-0", false}, {"id-1", false}, {"id-2", true}, {"id-4", true}, {"id-9", false}, {"", false}}));

    CHECK(store.find(id).has_value() == kept);
}

// Guards against an earlier state of a replica that hides its newest one.
TEST_CASE("the newest trail of an id is found", "[explain]")
{
    trail_store store;
    store.put({"r-1", "load", "loaded", "", {}});
    store.put({"r-1", "unload", "unloaded", "", {}});

    CHECK(store.find("r-1")->kind_ == "unload");
}

// Guards against races between requests that end and an operator who asks.
TEST_CASE("the store is used by several threads", "[explain]")
{
    trail_store store{16};
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&store, t] {
                for (int i = 0; i < 1'000; ++i) {
                    store.put({std::to_string(t), "request", "served", "", {}});
                    static_cast<void>(store.find("0"));
                }
            });
        }
    }
    CHECK(store.find("0").has_value() + store.find("1").has_value() + store.find("2").has_value() +
              store.find("3").has_value() >
          0);
}
