#include <auburnchute/ids.hpp>
#include <auburnchute/upstream_choice.hpp>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

upstream_candidate engine(std::string_view id, std::int64_t running)
{
    return {.id_ = id,
            .running_ = running,
            .slots_ = 64,
            .running_tokens_ = running * 9'000,
            .kv_tokens_ = 232'000};
}

upstream_candidate server(std::string_view id, std::int64_t running)
{
    return {.id_ = id, .running_ = running, .slots_ = 6};
}

choice_request prompt(std::uint64_t prefix, std::uint64_t tie_breaker = 7)
{
    return {.prompt_tokens_ = 9'000,
            .shared_tokens_ = 6'000,
            .output_tokens_ = 60,
            .prefix_hash_ = prefix,
            .tie_breaker_ = tie_breaker};
}

std::optional<std::size_t> chosen(std::vector<upstream_candidate> const& candidates,
                                  choice_request const& request)
{
    auto const best = choose_upstream(candidates, request);
    return best ? std::optional{best->index_} : std::nullopt;
}

} // namespace

// Guards against requests queued behind long prompts on one engine although another one, with more requests
// that are already decoding, would answer sooner.
TEST_CASE("the engine with the fewest prompt tokens queued before the request is chosen", "[choice]")
{
    struct row {
        std::int64_t first_running_;
        std::int64_t first_unread_;
        std::int64_t second_running_;
        std::int64_t second_unread_;
        std::size_t expected_;
    };
    for (auto const& row : {row{2, 18'000, 12, 0, 1}, row{12, 0, 2, 18'000, 0}, row{3, 9'000, 3, 6'000, 1},
                            row{4, 0, 12, 0, 0}}) {
        CAPTURE(row.first_unread_, row.second_unread_);
        std::vector<upstream_candidate> candidates{engine("e1", row.first_running_),
                                                   engine("e2", row.second_running_)};
        candidates[0].unread_tokens_ = row.first_unread_;
        candidates[1].unread_tokens_ = row.second_unread_;
        CHECK(chosen(candidates, prompt(0)) == row.expected_);
    }
}

// Guards against an upstream that is several times slower than the others and still gets an equal share of
// requests.
TEST_CASE("an upstream whose answers begin late is avoided for some seconds", "[choice]")
{
    struct row {
        millis took_;
        int answers_;
        millis passed_;
        std::size_t expected_;
    };
    for (auto const& row :
         {row{millis{100}, 5, millis{0}, 0}, row{millis{1'500}, 1, millis{0}, 1},
          row{millis{1'500}, 5, millis{2'000}, 1}, row{millis{1'500}, 5, millis{30'000}, 0}}) {
        CAPTURE(row.took_.count_, row.answers_, row.passed_.count_);
        upstream_excess_latency excess;
        millis now{10'000};
        for (int i = 0; i < row.answers_; ++i) {
            record_answer_time(excess, 250, row.took_, now);
            now += millis{100};
        }
        now += row.passed_;
        // The second engine has a prompt queued, so it is chosen only if the first one has excess latency.
        std::vector<upstream_candidate> candidates{engine("e1", 0), engine("e2", 0)};
        candidates[0].excess_latency_ms_ = current_excess_latency(excess, now);
        candidates[1].unread_tokens_ = 3'000;
        CHECK(chosen(candidates, prompt(0)) == row.expected_);
    }
}

// Guards against counting a cached prompt prefix as prefill work.
TEST_CASE("the tokens to prefill exclude a prefix cached at the preferred upstream", "[choice]")
{
    std::vector<upstream_candidate> const one{engine("e1", 0)};
    CHECK(choose_upstream(one, prompt(3))->unread_tokens_ == 3'000);
    CHECK(choose_upstream(one, prompt(0))->unread_tokens_ == 9'000);
}

// Guards against a shared prompt prefix that is prefilled on every engine.
TEST_CASE("requests with the same prefix go to one upstream unless it is much busier", "[choice]")
{
    std::vector<upstream_candidate> candidates{engine("e1", 0), engine("e2", 0), engine("e3", 0)};
    for (std::uint64_t prefix = 1; prefix < 20; ++prefix) {
        CAPTURE(prefix);
        auto const preferred = chosen(candidates, prompt(prefix, 1));
        REQUIRE(preferred);
        CHECK(chosen(candidates, prompt(prefix, 2)) == preferred);
        auto busier = candidates;
        busier[*preferred].unread_tokens_ = 3'000;
        CHECK(chosen(busier, prompt(prefix)) == preferred);
        busier[*preferred].unread_tokens_ = 9'000;
        CHECK(chosen(busier, prompt(prefix)) != preferred);
    }
}

// Guards against requests sent to full or already tried upstreams, and to recently failed ones without need.
TEST_CASE("full and already tried upstreams are excluded, and recently failed ones are the last choice",
          "[choice]")
{
    struct row {
        upstream_candidate first_;
        upstream_candidate second_;
        std::optional<std::size_t> expected_;
    };
    auto used = server("s1", 0);
    used.already_tried_ = true;
    auto failed = server("s1", 0);
    failed.recently_failed_ = true;
    auto no_memory = engine("e1", 25);
    auto const rows = std::vector<row>{
        {server("s1", 3), server("s2", 1), 1},
        {server("s1", 9), server("s2", 9), std::nullopt},
        {used, server("s2", 5), 1},
        {failed, server("s2", 5), 1},
        {failed, server("s2", 9), 0},
        {no_memory, engine("e2", 20), 1},
        {no_memory, engine("e2", 64), std::nullopt},
    };
    for (std::size_t i = 0; i < rows.size(); ++i) {
        CAPTURE(i);
        std::vector<upstream_candidate> const candidates{rows[i].first_, rows[i].second_};
        CHECK(chosen(candidates, prompt(0)) == rows[i].expected_);
    }
}

// Guards against requests that no engine ever accepts.
TEST_CASE("a request that exceeds an engine's KV cache may run on an idle engine", "[choice]")
{
    auto large = prompt(0);
    large.prompt_tokens_ = 300'000;
    std::vector<upstream_candidate> const idle{engine("e1", 0)};
    CHECK(choose_upstream(idle, large));
    std::vector<upstream_candidate> const busy{engine("e1", 1)};
    CHECK_FALSE(choose_upstream(busy, large));
}

namespace {

/// How the VMs of a played service choose.
enum class play_rule : std::uint8_t {
    as_before, ///< Without what is new under load.
    best,      ///< By the engines' slowness, always the best one.
    drawn,     ///< By the engines' slowness, the requests unheard of counted.
};

/// Engines under load: requests come at random times to VMs that hear of each other's requests late.
struct played_service {
    std::vector<double> slowness_;         ///< Of each engine.
    double load_{};                        ///< Part of what the engines can do.
    std::optional<std::size_t> started_{}; ///< An engine that has a window of 2.
};

struct played_result {
    double busiest_{};      ///< Busiest over mean, in work done.
    double late_{};         ///< Part of the requests whose answers began later than their callers' target.
    double flooded_{};      ///< Part of the started engine's requests that found twice its window there.
    double started_busy_{}; ///< Its requests over the mean of all engines.
};

/// Each engine reads one prompt after another. The choice knows the requests that are older than the
/// staleness; what callers wait follows from all of them.
played_result play(played_service const& service, play_rule rule)
{
    constexpr double staleness_ms = 300;
    constexpr double target_ms = 800;
    constexpr std::uint64_t requests = 4'000;
    // Half of the prompts are short, and of the long ones, each second one has a prefix that is held already.
    constexpr std::array<std::int64_t, 4> prompts{826, 826, 2'890, 9'190};
    constexpr double mean_work_ms = (826 + 826 + 2'890 + 9'190) / 4 / 38.0;
    struct sent {
        double at_;
        double ends_;
        std::int64_t tokens_;
    };
    auto const engines = service.slowness_.size();
    double capacity = 0;
    std::vector<std::string> ids;
    for (auto const slowness : service.slowness_) {
        capacity += 1 / slowness;
        ids.push_back("engine-" + std::to_string(ids.size()));
    }
    auto const mean_pause_ms = mean_work_ms / capacity / service.load_;
    std::vector<std::vector<sent>> at(engines);
    std::vector<double> busy(engines);
    played_result result;
    std::uint64_t late = 0;
    double started = 0;
    double flooded = 0;
    double now = 0;
    for (std::uint64_t i = 0; i < requests; ++i) {
        auto const drawn = (static_cast<double>(stable_hash("pause", i) >> 11U) + 1) * 0x1p-53;
        now -= std::log(drawn) * mean_pause_ms;
        std::vector<upstream_candidate> candidates;
        for (std::size_t e = 0; e < engines; ++e) {
            std::erase_if(at[e], [now](sent const& each) { return each.ends_ <= now; });
            auto candidate = engine(ids[e], 0);
            for (auto const& each : at[e]) {
                bool const known = each.at_ <= now - staleness_ms;
                candidate.running_ += known ? 1 : 0;
                candidate.unread_tokens_ += known ? each.tokens_ : 0;
            }
            candidate.slowness_ = service.started_ == e ? 1 : service.slowness_[e]; // not known yet
            if (service.started_ == e && rule != play_rule::as_before) {
                candidate.window_left_ = 2 - candidate.running_;
            }
            candidates.push_back(candidate);
        }
        auto const tokens = prompts[stable_hash("prompt", i) % prompts.size()];
        auto const best =
            chosen(candidates, {.prompt_tokens_ = tokens,
                                .output_tokens_ = 60,
                                .tie_breaker_ = i,
                                .contested_ = rule != play_rule::as_before,
                                .unheard_ = rule == play_rule::drawn ? staleness_ms / mean_pause_ms : 0});
        REQUIRE(best);
        auto const begins = at[*best].empty() ? now : std::max(now, at[*best].back().ends_);
        auto const ends = begins + static_cast<double>(tokens) / 38 * service.slowness_[*best];
        late += ends - now > target_ms ? 1 : 0;
        busy[*best] += ends - begins;
        at[*best].push_back({now, ends, tokens});
        if (service.started_ == *best) {
            ++started;
            flooded += at[*best].size() > 4 ? 1 : 0;
        }
    }
    double sum = 0;
    for (auto const each : busy) {
        sum += each;
        result.busiest_ = std::max(result.busiest_, each);
    }
    result.busiest_ /= sum / static_cast<double>(engines);
    result.flooded_ = started > 0 ? flooded / started : 0;
    result.started_busy_ = started * static_cast<double>(engines) / static_cast<double>(requests);
    result.late_ = static_cast<double>(late) / static_cast<double>(requests);
    return result;
}

std::vector<double> engines_with_slow(std::size_t all, std::size_t slow)
{
    std::vector<double> slowness(all, 1.0);
    std::fill_n(slowness.begin(), slow, 1.8);
    return slowness;
}

} // namespace

// Answers a fleet with slow engines that get requests as all others do, and one whose VMs know the slow ones
// and therefore all send to the same few idle ones until they hear of each other.
TEST_CASE("under load few answers begin late, and no engine is far busier than the others", "[choice]")
{
    struct row {
        char const* name_;
        played_service service_;
        double part_of_before_; ///< Of the late answers.
        double part_of_best_;
        double most_busiest_;
    };
    for (auto const& row :
         {row{"alike", {engines_with_slow(30, 0), 0.6, {}}, 1.3, 1.3, 1.4},
          row{"a quarter is slow", {engines_with_slow(30, 8), 0.6, {}}, 0.7, 1, 1.5},
          row{"the same at high load", {engines_with_slow(30, 8), 0.8, {}}, 0.9, 0.4, 1.4}}) {
        CAPTURE(row.name_);
        auto const before = play(row.service_, play_rule::as_before);
        auto const best = play(row.service_, play_rule::best);
        auto const drawn = play(row.service_, play_rule::drawn);
        CAPTURE(before.late_, before.busiest_, best.late_, best.busiest_);
        CHECK(drawn.late_ <= before.late_ * row.part_of_before_);
        CHECK(drawn.late_ <= best.late_ * row.part_of_best_);
        CHECK(drawn.busiest_ <= row.most_busiest_);
    }
}

// Guards against a process that has just started and is flooded by VMs that don't know of each other.
TEST_CASE("a process with a pace gets about what its window leaves", "[choice]")
{
    // At its start it takes three times as long.
    auto slowness = engines_with_slow(30, 0);
    slowness[0] = 3;
    for (auto const load : {0.5, 0.8}) {
        CAPTURE(load);
        auto const result = play({slowness, load, 0}, play_rule::drawn);
        auto const before = play({slowness, load, 0}, play_rule::as_before);
        CAPTURE(before.flooded_, before.started_busy_, result.started_busy_, before.late_, result.late_);
        CHECK(result.flooded_ < 0.05);
        CHECK(result.flooded_ < before.flooded_);
        CHECK(result.late_ < before.late_);
        CHECK(result.started_busy_ > 0.2);
    }
}

// Guards against a pace that leaves a process idle, or a request refused that could only go there.
TEST_CASE("a pace gives way to a request that would be refused", "[choice]")
{
    struct row {
        std::optional<std::int64_t> left_;
        bool other_has_room_;
        bool last_resort_;
        std::optional<std::size_t> expected_;
    };
    for (auto const& row :
         {row{1, false, false, 0}, row{0, false, false, std::nullopt}, row{0, false, true, 0},
          row{-3, false, true, 0}, row{0, true, true, 1}, row{0, true, false, 1}}) {
        CAPTURE(row.left_.value_or(-9), row.other_has_room_, row.last_resort_);
        std::vector<upstream_candidate> candidates{engine("e1", 2),
                                                   engine("e2", row.other_has_room_ ? 3 : 64)};
        candidates[0].window_left_ = row.left_;
        auto request = prompt(0);
        request.contested_ = true;
        request.last_resort_ = row.last_resort_;
        CHECK(chosen(candidates, request) == row.expected_);
    }
}

// Guards against a prefix read by every engine in turn once the first one is busy.
TEST_CASE("what the first engine for a prefix can't take goes to the second and third", "[choice]")
{
    std::vector<upstream_candidate> candidates;
    std::vector<std::string> const ids{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"};
    for (auto const& id : ids) {
        candidates.push_back(engine(id, 0));
    }
    auto request = prompt(5);
    request.contested_ = true;
    std::vector<std::size_t> order;
    for (int i = 0; i < 3; ++i) {
        auto const best = chosen(candidates, request);
        REQUIRE(best);
        order.push_back(*best);
        candidates[*best].unread_tokens_ = 50'000;
    }
    for (std::uint64_t tie = 0; tie < 20; ++tie) {
        auto again = candidates;
        again[order[1]].unread_tokens_ = 0;
        request.tie_breaker_ = tie;
        CHECK(chosen(again, request) == order[1]);
    }
    // A slow engine reads the prefix's rest later than another one the whole prompt.
    candidates[order[0]].unread_tokens_ = 0;
    candidates[order[0]].slowness_ = 4;
    CHECK(chosen(candidates, request) != order[0]);
}

// Guards against a busy server with free slots that is taken for a fast one, and so gets busier.
TEST_CASE("a plain service's answers are measured against its queue alone", "[choice]")
{
    struct row {
        std::int64_t running_;
        double wait_ms_;
    };
    for (auto const& row : {row{0, 0}, row{5, 0}, row{6, 10}, row{8, 30}}) {
        CAPTURE(row.running_);
        std::vector<upstream_candidate> const candidates{server("s1", row.running_)};
        auto const best = choose_upstream(candidates, {.contested_ = true, .usual_answer_ms_ = 60});
        REQUIRE(best);
        CHECK(best->work_ms_ == Approx(60));
        CHECK(best->wait_ms_ == Approx(row.wait_ms_));
    }
}
