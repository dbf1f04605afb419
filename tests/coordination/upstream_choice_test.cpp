#include <auburnchute/upstream_choice.hpp>

#include <catch2/catch.hpp>
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
