#include <auburnchute/ids.hpp>
#include <auburnchute/routing.hpp>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

constexpr std::array<std::string_view, 12> names = {"gpu-0", "gpu-1", "gpu-2", "gpu-3", "gpu-4",  "gpu-5",
                                                    "gpu-6", "gpu-7", "gpu-8", "gpu-9", "gpu-10", "gpu-11"};
constexpr std::array<std::string_view, 3> zones = {"occ-a", "occ-b", "occ-c"};

bool is_eligible(routing_candidate const& c, routing_request const& r)
{
    return c.accepts_work_ && c.reported_requests_ + c.own_requests_since_report_ < c.slots_ &&
           !(r.isolated_ && c.runs_suspect_) &&
           !(r.zone_required_ && c.availability_zone_ != r.availability_zone_);
}

} // namespace

// Guards against requests routed to an upstream that is leaving, full or outside a required availability
// zone, and against two isolated requests on one upstream.
TEST_CASE("a single candidate is chosen only if it is eligible", "[routing][promise-11]")
{
    auto const [accepts, reported, own_requests, runs_suspect, isolated, zone_required, zone, avoid, taken] =
        GENERATE(table<bool, int, int, bool, bool, bool, std::string, std::string, bool>({
            {true, 0, 0, false, false, false, "occ-a", "", true},
            {false, 0, 0, false, false, false, "occ-a", "", false},
            {true, 8, 0, false, false, false, "occ-a", "", false},
            {true, 4, 4, false, false, false, "occ-a", "", false},
            {true, 4, 3, false, false, false, "occ-a", "", true},
            {true, 0, 0, true, false, false, "occ-a", "", true},
            {true, 0, 0, true, true, false, "occ-a", "", false},
            {true, 0, 0, false, true, false, "occ-a", "", true},
            {true, 0, 0, false, false, true, "occ-b", "", false},
            {true, 0, 0, false, false, true, "occ-a", "", true},
            {true, 0, 0, false, false, false, "occ-b", "", true},
            {true, 0, 0, false, false, false, "occ-a", "gpu-0", true},
        }));
    std::vector<routing_candidate> const candidates{
        {"gpu-0", zone, reported, own_requests, 8, accepts, runs_suspect}};
    auto const chosen = pick_upstream(candidates, {1, 2, "occ-a", zone_required, isolated, avoid, 1});
    CHECK(chosen.has_value() == taken);
}

// Guards against ineligible upstreams in any set of candidates, and against a request that waits although an
// eligible upstream has a free slot.
TEST_CASE("the chosen upstream is eligible, and one is chosen if any is eligible", "[routing][promise-11]")
{
    CHECK(rc::check("the chosen upstream is eligible", [] {
        std::vector<routing_candidate> candidates;
        auto const count = *rc::gen::inRange<std::size_t>(0, names.size() + 1);
        for (std::size_t i = 0; i < count; ++i) {
            candidates.push_back({names[i], zones[*rc::gen::inRange<std::size_t>(0, 3)],
                                  *rc::gen::inRange(0, 9), *rc::gen::inRange(0, 5), *rc::gen::inRange(1, 9),
                                  *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
        }
        routing_request request{*rc::gen::arbitrary<std::uint64_t>(),
                                *rc::gen::arbitrary<std::uint64_t>(),
                                zones[*rc::gen::inRange<std::size_t>(0, 3)],
                                *rc::gen::arbitrary<bool>(),
                                *rc::gen::arbitrary<bool>(),
                                names[*rc::gen::inRange<std::size_t>(0, 12)],
                                *rc::gen::inRange(1, 10)};
        auto const chosen = pick_upstream(candidates, request);
        auto const eligible = std::count_if(candidates.begin(), candidates.end(),
                                            [&](auto const& c) { return is_eligible(c, request); });
        RC_ASSERT(chosen.has_value() == (eligible > 0));
        if (chosen) {
            RC_ASSERT(is_eligible(candidates[*chosen], request));
            RC_ASSERT(eligible == 1 || candidates[*chosen].upstream_ != request.avoid_);
        }
    }));
}

// Guards against requests with the same prompt prefix that are spread over many prefix caches at low load.
TEST_CASE("requests with equal prefixes go to at most two upstreams at low load", "[routing]")
{
    std::vector<routing_candidate> candidates;
    for (auto const name : names) {
        candidates.push_back({name, "occ-a", 0, 0, 8});
    }
    std::vector<int> hits(names.size());
    for (std::uint64_t request = 0; request < 500; ++request) {
        ++hits[*pick_upstream(candidates, {42, stable_hash("r", request), "occ-a", false, false, {}, 1})];
    }
    CHECK(std::count_if(hits.begin(), hits.end(), [](int n) { return n > 0; }) <= 2);
}

// Guards against a popular prefix that overloads its upstreams while others are idle.
TEST_CASE("an upstream that has the prefix cached is passed over if its load is above the mean", "[routing]")
{
    std::vector<routing_candidate> candidates;
    for (auto const name : names) {
        candidates.push_back({name, "occ-a", 2, 0, 16});
    }
    std::vector<std::size_t> preferred;
    for (std::uint64_t request = 0; request < 50; ++request) {
        auto const chosen = *pick_upstream(candidates, {42, request, "occ-a", false, false, {}, 1});
        if (std::find(preferred.begin(), preferred.end(), chosen) == preferred.end()) {
            preferred.push_back(chosen);
        }
    }
    for (auto const index : preferred) {
        candidates[index].reported_requests_ = 12;
    }
    for (std::uint64_t request = 0; request < 50; ++request) {
        auto const chosen =
            *pick_upstream(candidates, {42, stable_hash("r", request), "occ-a", false, false, {}, 1});
        CHECK(std::find(preferred.begin(), preferred.end(), chosen) == preferred.end());
    }
}

namespace {

/// Simulates daemons that see each other's requests only through load reports taken every `report_age` ms.
/// \returns The largest excess of an upstream's load over the mean load at the same time.
std::int64_t largest_overload(bool sampled, std::int64_t senders, int daemons, int report_age,
                              std::uint64_t seed)
{
    constexpr int upstreams = 9;
    constexpr int slots = 64;
    constexpr int service_time_ms = 2'000;
    constexpr int requests_per_step = 1; // Per 10 ms: 200 requests run on average, 22 on each upstream.
    std::mt19937_64 random{seed};
    std::vector<std::deque<int>> running(upstreams);         // End times in ms, by upstream.
    std::deque<std::array<std::int64_t, upstreams>> history; // Load of each upstream, newest step last.
    std::vector<std::vector<std::deque<int>>> sent_by(static_cast<std::size_t>(daemons),
                                                      std::vector<std::deque<int>>(upstreams));
    std::int64_t largest_excess = 0;
    for (int now = 0; now < 60'000; now += 10) {
        std::array<std::int64_t, upstreams> loads{};
        std::int64_t total = 0;
        for (std::size_t u = 0; u < upstreams; ++u) {
            std::erase_if(running[u], [&](int end) { return end <= now; });
            loads[u] = static_cast<std::int64_t>(running[u].size());
            total += loads[u];
        }
        largest_excess =
            std::max(largest_excess, *std::max_element(loads.begin(), loads.end()) - total / upstreams);
        history.push_back(loads);
        // Reports are taken every `report_age` ms and reach all daemons at the same time.
        auto const report_at = now / report_age * report_age;
        auto const& report = history[static_cast<std::size_t>(report_at / 10)];
        for (int i = 0; i < requests_per_step; ++i) {
            auto const d = static_cast<std::size_t>(random() % static_cast<std::uint64_t>(daemons));
            std::vector<routing_candidate> candidates;
            for (std::size_t u = 0; u < upstreams; ++u) {
                std::erase_if(sent_by[d][u], [&](int sent) { return sent < report_at; });
                candidates.push_back(
                    {names[u], "occ-a", report[u], static_cast<std::int64_t>(sent_by[d][u].size()), slots});
            }
            std::size_t chosen = 0;
            if (sampled) {
                chosen = *pick_upstream(candidates, {random(), random(), "occ-a", false, false, {}, senders});
            } else {
                for (std::size_t u = 1; u < upstreams; ++u) {
                    if (candidates[u].reported_requests_ + candidates[u].own_requests_since_report_ <
                        candidates[chosen].reported_requests_ +
                            candidates[chosen].own_requests_since_report_) {
                        chosen = u;
                    }
                }
            }
            running[chosen].push_back(now + service_time_ms);
            sent_by[d][chosen].push_back(now);
        }
    }
    return largest_excess;
}

} // namespace

// Guards against daemons with the same stale load report that all send to one upstream.
TEST_CASE("sampling overloads upstreams less than least-loaded routing on stale reports", "[routing]")
{
    auto const [daemons, age] = GENERATE(table<int, int>({{4, 1'000}, {9, 500}, {9, 1'000}, {9, 2'000}}));
    auto const sampled = largest_overload(true, daemons, daemons, age, 20261204);
    auto const single_sender = largest_overload(true, 1, daemons, age, 20261204);
    auto const least_loaded = largest_overload(false, 1, daemons, age, 20261204);
    CAPTURE(daemons, age, sampled, single_sender, least_loaded);
    CHECK(sampled < single_sender);
    CHECK(sampled * 2 <= least_loaded);
}
