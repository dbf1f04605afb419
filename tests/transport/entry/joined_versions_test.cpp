#include "transport/entry/versioned_world.hpp"

using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

/// Streams of a test: enough that the hash of their ids leads to all versions.
constexpr int streams_at_once = 36;

/// Streams that a test takes up at least.
constexpr int least_taken_up = 24;

/// How long after the VMs are back most take-ups go on.
constexpr auto settled_after = 3s;

/// Events that each stream has when its VM is lost.
constexpr int events_before = 5;

using streams = std::deque<resumable_stream>;

streams make_streams(std::string const& name, int count)
{
    streams made;
    for (int i = 1; i <= count; ++i) {
        made.emplace_back(name + "-" + std::to_string(i));
    }
    return made;
}

/// Runs a call for each stream, all at once. \returns When all have ended.
template <typename Call>
std::vector<std::future<void>> for_each_at_once(streams& all, Call call)
{
    std::vector<std::future<void>> calls;
    std::size_t number = 0;
    for (auto& stream : all) {
        calls.push_back(std::async(std::launch::async, [call, &stream, number] { call(stream, number); }));
        ++number;
    }
    return calls;
}

void wait_all(std::vector<std::future<void>>& calls)
{
    for (auto& call : calls) {
        call.get();
    }
}

/// Counts over the streams of a test.
struct outcome_counts {
    int taken_up_{};
    int went_on_{};
    int joined_{};
    int out_of_order_{};
    int dishonest_{}; ///< Take-ups that were answered, but neither served nor refused.
    int late_{};      ///< Refusals that came late.
};

outcome_counts count(streams const& all)
{
    outcome_counts sum;
    for (auto const& stream : all) {
        sum.taken_up_ += stream.take_ups_.empty() ? 0 : 1;
        sum.joined_ += stream.joined() ? 1 : 0;
        sum.out_of_order_ += stream.out_of_order_;
        bool went_on = false;
        for (auto const& end : stream.take_ups_) {
            went_on = went_on || end.events_ > 0;
            sum.dishonest_ += end.status_ == 0 || end.status_ == 200 || end.status_ == 503 ? 0 : 1;
            sum.late_ += end.status_ == 503 && end.answered_after_ > refusal_bound ? 1 : 0;
        }
        sum.went_on_ += went_on ? 1 : 0;
    }
    return sum;
}

template <typename Condition>
int count_if(streams const& all, Condition holds)
{
    return static_cast<int>(std::count_if(all.begin(), all.end(), holds));
}

/// Checks that no caller has a stream that is joined, has a gap or an event twice.
void check_sound(char const* what, streams const& all)
{
    auto const sum = count(all);
    CAPTURE(what, sum.taken_up_, sum.went_on_, sum.joined_);
    CHECK(sum.joined_ == 0);
    CHECK(sum.out_of_order_ == 0);
    CHECK(sum.dishonest_ == 0);
    CHECK(sum.late_ == 0);
}

} // namespace

// Guards against a stream that is taken up at an upstream of another software version than the one that began
// it, and against refusing all take-ups in place of it.
TEST_CASE("a stream whose VM is killed goes on only at the software version that began it",
          "[entry][versions][promise-8]")
{
    struct row {
        char const* about_;
        std::vector<std::string> versions_;
        bool all_killed_;  ///< All VMs, or that of the callers alone.
        char const* gone_; ///< Version whose upstreams are gone when the streams are taken up.
    };
    auto const r = GENERATE(
        row{"one version, all VMs killed", {"v1", "v1", "v1"}, true, nullptr},
        row{"two versions, all VMs killed", {"v1", "v1", "v1", "v2", "v2", "v2"}, true, nullptr},
        row{"two versions, all VMs killed, one version gone",
            {"v1", "v1", "v1", "v2", "v2", "v2"},
            true,
            "v2"},
        row{"two versions, one VM killed", {"v1", "v1", "v1", "v2", "v2", "v2"}, false, nullptr},
        row{"no version stated by some, all VMs killed", {"", "", "", "v1", "v1", "v1"}, true, nullptr},
        row{"no version stated by some, one VM killed", {"", "", "", "v1", "v1", "v1"}, false, nullptr});
    CAPTURE(r.about_);
    versioned_world world{r.versions_};
    auto all = make_streams("stream", streams_at_once);
    auto first = for_each_at_once(all, [&](auto& stream, auto number) {
        (void)attempt(stream, world.ips_[r.all_killed_ ? number % world.ips_.size() : 0]);
    });
    REQUIRE(eventually(limit, [&] {
        return std::all_of(all.begin(), all.end(),
                           [](auto const& s) { return s.last_event_ >= events_before; });
    }));
    if (r.all_killed_) {
        world.world_.daemons_.clear();
    } else {
        world.daemon(0).kill();
    }
    wait_all(first);
    for (auto const& version : r.versions_) {
        CAPTURE(version);
        CHECK(count_if(all, [&](auto const& s) { return s.version() == world.text_of(version); }) > 0);
    }
    REQUIRE(count_if(all, [](auto const& s) { return !s.whole_; }) >= least_taken_up);

    auto ips = world.ips_;
    if (r.gone_ != nullptr) {
        world.remove_upstreams(r.gone_);
    }
    if (r.all_killed_) {
        for (std::size_t vm = 0; vm < world.ips_.size(); ++vm) {
            world.start(vm);
        }
        REQUIRE(eventually(limit, [&] { return world.all_ready(); }));
    } else {
        ips.erase(ips.begin());
    }
    auto const back = steady::now();
    // Every other caller comes at once, and again as it is told; the others wait, and each comes once.
    auto take_ups = for_each_at_once(all, [&](auto& stream, auto number) {
        if (number % 2 == 0) {
            finish(stream, ips);
        } else {
            std::this_thread::sleep_until(back + settled_after);
            if (!stream.whole_) {
                (void)attempt(stream, ips[number % ips.size()]);
            }
        }
    });
    auto fresh = make_streams("fresh", streams_at_once / 2);
    auto begins = for_each_at_once(fresh, [&](auto& stream, auto number) {
        std::this_thread::sleep_until(back + settled_after);
        (void)attempt(stream, ips[number % ips.size()], events_before);
    });
    wait_all(take_ups);
    wait_all(begins);

    check_sound(r.about_, all);
    check_sound("new streams", fresh);
    struct share {
        int of_{};
        int held_{};
    };
    std::array<share, 2> went_on; // of callers who come at once, and of the others
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto const& stream = all[i];
        CAPTURE(stream.name_, stream.version());
        if (stream.take_ups_.empty()) {
            continue;
        }
        if (r.gone_ != nullptr && stream.versions_.contains(r.gone_)) {
            for (auto const& end : stream.take_ups_) {
                CHECK(end.status_ == 503);
                CHECK(end.answered_after_ <= refusal_bound);
            }
            continue;
        }
        ++went_on[i % 2].of_;
        went_on[i % 2].held_ += std::any_of(stream.take_ups_.begin(), stream.take_ups_.end(),
                                            [](auto const& end) { return end.events_ > 0; });
    }
    auto const begun = count_if(fresh, [](auto const& s) { return s.begun(); });
    CHECK(begun * 2 >= static_cast<int>(fresh.size()));
    for (auto const& group : went_on) {
        CAPTURE(group.held_, group.of_, begun, fresh.size());
        // The share that goes on is at least half of the share of new streams that begin.
        CHECK(group.held_ * 2 * static_cast<int>(fresh.size()) >= group.of_ * begun);
    }
}
