#include "protocol/metrics.hpp"

#include <catch2/catch.hpp>
#include <sstream>
#include <thread>
#include <vector>

using namespace auburnchute;

namespace {

std::vector<std::string> lines_with(std::string const& text, std::string const& part)
{
    std::istringstream in{text};
    std::vector<std::string> found;
    for (std::string line; std::getline(in, line);) {
        if (line.find(part) != std::string::npos) {
            found.push_back(line);
        }
    }
    return found;
}

} // namespace

// Guards against families that a Prometheus reader cannot take or that lose their label.
TEST_CASE("metrics are shown in the Prometheus format", "[metrics]")
{
    metrics counters;
    counters.count("auburnchute_requests_total", "served");
    counters.count("auburnchute_requests_total", "served", 4);
    counters.count("auburnchute_requests_total", "refused", 2);
    counters.count("plain_total");
    counters.gauge("waiting", "large", 3);
    counters.gauge("waiting", "large", 1.5);
    auto const text = counters.text();

    CHECK_THAT(text, Catch::Contains("# TYPE auburnchute_requests_total counter\n"));
    CHECK_THAT(text, Catch::Contains("auburnchute_requests_total{outcome=\"served\"} 5\n"));
    CHECK_THAT(text, Catch::Contains("auburnchute_requests_total{outcome=\"refused\"} 2\n"));
    CHECK_THAT(text, Catch::Contains("plain_total 1\n"));
    CHECK_THAT(text, Catch::Contains("# TYPE waiting gauge\n"));
    CHECK_THAT(text, Catch::Contains("waiting{label=\"large\"} 1.5\n"));
}

// Guards against durations that fall into the bucket next to theirs: Prometheus's buckets include their
// bound.
TEST_CASE("durations fall into the right bucket", "[metrics]")
{
    auto const [value, bucket, below] = GENERATE(table<std::int64_t, std::string, std::string>({
        {0, "0", ""},
        {-3, "0", ""},
        {1, "5", "0"},
        {5, "5", "0"},
        {6, "10", "5"},
        {20'000, "20000", "10000"},
        {600'000, "600000", "120000"},
        {600'001, "+Inf", "600000"},
        {1'000'000'000'000, "+Inf", "600000"},
    }));
    metrics counters;
    counters.observe("auburnchute_load_ms", "adapter", {value});
    auto const text = counters.text();
    INFO(text);

    if (bucket != "0") {
        CHECK_THAT(text, Catch::Contains("le=\"" + bucket + "\"} 1\n"));
        CHECK((below == "0" || text.find("le=\"" + below + "\"} 0\n") != std::string::npos));
    } else {
        CHECK_THAT(text, Catch::Contains("le=\"5\"} 1\n"));
    }
    CHECK(lines_with(text, "_bucket").size() == 17);
    CHECK_THAT(text, Catch::Contains("auburnchute_load_ms_count{kind=\"adapter\"} 1\n"));
}

// Guards against text from callers that fills the memory through label values.
TEST_CASE("label values are bounded", "[metrics]")
{
    metrics counters;
    for (int i = 0; i < 1'000; ++i) {
        counters.count("auburnchute_retries_total", "w" + std::to_string(i), 2);
    }
    auto const shown = lines_with(counters.text(), "auburnchute_retries_total{");

    CHECK(shown.size() == max_label_values + 1);
    CHECK(shown.front() ==
          "auburnchute_retries_total{pool=\"other\"} " + std::to_string(2 * (1'000 - max_label_values)));
}

// Guards against labels that break the format, for example by a line end within.
TEST_CASE("label values cannot break the format", "[metrics]")
{
    auto const label = GENERATE(as<std::string>{}, "a\"b", "a\nb 7", "a\\b", "\xff", std::string("a\0b", 3));
    metrics counters;
    counters.count("odd_total", label);

    CHECK(lines_with(counters.text(), "odd_total{").size() == 1);
    CHECK(lines_with(counters.text(), "b 7\"} 1").size() <= 1);
}

// Guards against a family that is shown with two types.
TEST_CASE("a name keeps the type of its first use", "[metrics]")
{
    metrics counters;
    counters.count("odd_total");
    counters.gauge("odd_total", {}, 9);
    counters.observe("odd_total", {}, {9});

    CHECK_THAT(counters.text(), Catch::Contains("odd_total 1\n"));
    CHECK(lines_with(counters.text(), "odd_total ").size() == 3);
}

// Guards against counts that are lost when threads count at the same time.
TEST_CASE("counts of several threads add up", "[metrics]")
{
    metrics counters;
    constexpr int each = 10'000;
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&counters, t] {
                for (int i = 0; i < each; ++i) {
                    counters.count("shared_total", "a");
                    counters.observe("shared_ms", "a", {i % 100});
                    counters.gauge("own", std::to_string(t), i);
                    if (i % 1'000 == 0) {
                        static_cast<void>(counters.text());
                    }
                }
            });
        }
    }
    auto const text = counters.text();

    CHECK_THAT(text, Catch::Contains("shared_total{label=\"a\"} 40000\n"));
    CHECK_THAT(text, Catch::Contains("shared_ms_count{label=\"a\"} 40000\n"));
}
