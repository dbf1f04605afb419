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
    int dishonest_{}; ///< Take-ups that were neither served nor refused.
    int late_{};      ///< Refusals that came late.
};

/// \returns The counts with those of some more streams.
outcome_counts count(streams const& all, outcome_counts sum = {})
{
    for (auto const& stream : all) {
        sum.taken_up_ += stream.take_ups_.empty() ? 0 : 1;
        sum.joined_ += stream.joined() ? 1 : 0;
        sum.out_of_order_ += stream.out_of_order_;
        bool went_on = false;
        for (auto const& end : stream.take_ups_) {
            went_on = went_on || end.events_ > 0;
            sum.dishonest_ += end.status_ == 200 || end.status_ == 503 ? 0 : 1;
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
void check_sound(char const* what, outcome_counts const& sum)
{
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

    check_sound(r.about_, count(all));
    check_sound("new streams", count(fresh));
    struct share {
        int of_{};
        int held_{};
    };
    int served_of_gone = 0;       // streams
    std::array<share, 2> went_on; // of callers who come at once, and of the others
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto const& stream = all[i];
        CAPTURE(stream.name_, stream.version());
        if (stream.take_ups_.empty()) {
            continue;
        }
        if (r.gone_ != nullptr && stream.versions_.contains(r.gone_)) {
            served_of_gone += std::any_of(stream.take_ups_.begin(), stream.take_ups_.end(),
                                          [](auto const& end) { return end.status_ != 503; });
            continue;
        }
        ++went_on[i % 2].of_;
        went_on[i % 2].held_ += std::any_of(stream.take_ups_.begin(), stream.take_ups_.end(),
                                            [](auto const& end) { return end.events_ > 0; });
    }
    CHECK(served_of_gone == 0);
    auto const begun = count_if(fresh, [](auto const& s) { return s.begun(); });
    CHECK(begun * 2 >= static_cast<int>(fresh.size()));
    for (auto const& group : went_on) {
        CAPTURE(group.held_, group.of_, begun, fresh.size());
        // The share that goes on is at least half of the share of new streams that begin.
        CHECK(group.held_ * 2 * static_cast<int>(fresh.size()) >= group.of_ * begun);
    }
}

// Guards against a stream that this VM itself sends on to an upstream of another software version.
TEST_CASE("a stream that its upstream breaks off goes on within the answer at its software version alone",
          "[entry][versions][promise-8]")
{
    auto const versions = GENERATE(std::vector<std::string>{"v1", "v1", "v1", "v2", "v2", "v2"},
                                   std::vector<std::string>{"v1", "v1", "v1", "v2"},
                                   std::vector<std::string>{"", "", "", "v1", "v1", "v1"});
    CAPTURE(versions);
    versioned_world world{versions, 1};
    world.set_break_after(events_before);
    auto all = make_streams("stream", streams_at_once);
    auto calls = for_each_at_once(all, [&](auto& stream, auto) { (void)attempt(stream, world.ips_[0]); });
    wait_all(calls);
    check_sound("streams", count(all));
    for (auto const& version : std::set<std::string>{versions.begin(), versions.end()}) {
        auto const begun =
            count_if(all, [&](auto const& s) { return s.versions_.contains(world.text_of(version)); });
        auto const whole = count_if(
            all, [&](auto const& s) { return s.whole_ && s.versions_.contains(world.text_of(version)); });
        CAPTURE(version, begun, whole);
        CHECK(begun > 0);
        bool const has_other = std::count(versions.begin(), versions.end(), version) > 1;
        CHECK((whole * 2 >= begun || !has_other));
    }
}

namespace {

/// What a VM misses of the others while a software version joins.
enum class missed : std::uint8_t {
    processor,           ///< It stands still.
    store,               ///< Its link to the store resets.
    store_silent,        ///< Its link to the store is silent.
    processor_and_store, ///< It stands still, and does not reach the store afterwards.
    all,                 ///< The same, and the other VMs are killed meanwhile.
};

bool is_frozen(missed what)
{
    return what != missed::store && what != missed::store_silent;
}

/// Begins streams at one VM and takes them up at another. \returns Whether one of that version goes on.
bool goes_on(versioned_world& world, streams& all, std::string const& version, std::string const& from,
             std::string const& to)
{
    constexpr std::size_t probes = 8;
    auto const first = all.size();
    for (std::size_t i = first; i < first + probes; ++i) {
        all.emplace_back("later-" + std::to_string(i));
        (void)attempt(all.back(), from, 1);
        auto const begun = all.back().begun();
        auto const end = begun ? attempt(all.back(), to, 2) : attempt_end{};
        if (end.events_ > 0 && all.back().versions_.contains(world.text_of(version))) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a VM that was out of touch while a software version joined, and takes up at another version
// what other VMs began there.
TEST_CASE("a VM that missed how a software version joined joins no streams", "[entry][versions][promise-8]")
{
    auto const what = GENERATE(missed::processor, missed::store, missed::store_silent,
                               missed::processor_and_store, missed::all);
    CAPTURE(static_cast<int>(what));
    versioned_world world{{"v1", "v1", "v1"}};
    auto const& cut_off = world.ips_[2];
    if (is_frozen(what)) {
        world.daemon(2).freeze();
    }
    if (what != missed::processor) {
        world.links_[2]->set_fault(what == missed::store_silent ? link_fault::silent : link_fault::reset);
        REQUIRE(eventually(limit, [&] { return world.links_[2]->fault_in_force(); }));
    }
    for (int i = 0; i < 3; ++i) {
        (void)world.add_upstream("v2");
    }
    REQUIRE(eventually(world.version_limit, [&] {
        return world.begins_at("v2", world.ips_[0]) && world.begins_at("v2", world.ips_[1]);
    }));
    auto all = make_streams("stream", streams_at_once);
    auto begins = for_each_at_once(all, [&](auto& stream, auto number) {
        (void)attempt(stream, world.ips_[number % 2], events_before);
    });
    wait_all(begins);
    CHECK(count_if(all, [](auto const& s) { return s.version() == "v1"; }) > 0);
    CHECK(count_if(all, [](auto const& s) { return s.version() == "v2"; }) > 0);
    if (what == missed::all) {
        world.daemon(0).kill();
        world.daemon(1).kill();
    }
    auto take_ups =
        for_each_at_once(all, [&](auto& stream, auto) { (void)attempt(stream, cut_off, events_before * 2); });
    if (is_frozen(what)) {
        // What waits at its connections is the first that it reads.
        REQUIRE(eventually(limit, [&] {
            return std::all_of(all.begin(), all.end(), [](auto const& s) { return s.attempts_ == 2; });
        }));
        world.daemon(2).resume();
    }
    wait_all(take_ups);
    check_sound("streams taken up at once", count(all));

    streams later;
    world.links_[2]->set_fault(link_fault::none);
    if (what == missed::all) {
        world.start(0);
        world.start(1);
    }
    REQUIRE(eventually(limit, [&] { return world.all_ready(); }));
    for (auto const* const version : {"v1", "v2"}) {
        CAPTURE(version);
        CHECK(eventually(world.version_limit,
                         [&] { return goes_on(world, later, version, world.ips_[0], cut_off); }));
    }
    check_sound("streams taken up later", count(later));
}

// Guards against streams that are joined while slots of ids move from one software version to another.
TEST_CASE("streams that are taken up during releases and a rollback are not joined",
          "[entry][versions][promise-8]")
{
    auto const versions =
        GENERATE(std::vector<std::string>{"v1", "v2", "v3"}, std::vector<std::string>{"v1", "v2", "v1"});
    CAPTURE(versions);
    constexpr int callers = 24;
    constexpr auto patience = 6s; // of each caller, so that streams begin all the time
    versioned_world world{{versions[0], versions[0]}};
    std::atomic<bool> released{false};
    std::vector<streams> all(callers);
    std::vector<std::future<void>> calls;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        calls.push_back(std::async(std::launch::async, [&, caller] {
            for (std::size_t i = 0; !released; ++i) {
                auto& stream =
                    all[caller].emplace_back("caller-" + std::to_string(caller) + "-" + std::to_string(i));
                stream.deadline_ = steady::now() + patience;
                auto ips = world.ips_;
                std::rotate(ips.begin(), ips.begin() + static_cast<std::ptrdiff_t>((caller + i) % ips.size()),
                            ips.end());
                while (!stream.begun() && has_time(stream)) {
                    auto const end = attempt(stream, ips[0], events_before);
                    if (!stream.begun()) {
                        wait_after(stream, end);
                    }
                    std::rotate(ips.begin(), ips.begin() + 1, ips.end());
                }
                if (stream.begun()) {
                    finish(stream, ips);
                }
            }
        }));
    }
    for (std::size_t i = 1; i < versions.size(); ++i) {
        CAPTURE(versions[i]);
        (void)world.add_upstream(versions[i]);
        (void)world.add_upstream(versions[i]);
        CHECK(eventually(world.version_limit, [&] { return world.begins_at(versions[i], world.ips_[0]); }));
        world.release(versions[i - 1]);
    }
    released = true;
    wait_all(calls);
    int asked = 0;
    int begun = 0;
    outcome_counts sum;
    for (auto const& of_caller : all) {
        sum = count(of_caller, sum);
        asked += static_cast<int>(of_caller.size());
        begun += count_if(of_caller, [](auto const& s) { return s.begun(); });
    }
    check_sound("streams during the releases", sum);
    CAPTURE(asked, begun);
    CHECK(begun * 2 >= asked);
    streams later;
    CHECK(eventually(world.version_limit,
                     [&] { return goes_on(world, later, versions.back(), world.ips_[0], world.ips_[1]); }));
    check_sound("streams taken up later", count(later));
}

// Guards against VMs that guess the version of a stream while they can't read of versions that join.
TEST_CASE("streams that are taken up while the store is away are not joined, and go on afterwards",
          "[entry][versions][promise-8]")
{
    bool const joins = GENERATE(false, true); // the second version, right before the store is away
    CAPTURE(joins);
    constexpr auto patience = 6s; // of callers; the store is away for this time
    std::vector<std::string> versions(3, "v1");
    versions.insert(versions.end(), joins ? 0 : 3, "v2");
    versioned_world world{versions};
    auto all = make_streams("stream", streams_at_once);
    auto begins = for_each_at_once(all, [&](auto& stream, auto number) {
        (void)attempt(stream, world.ips_[number % world.ips_.size()], events_before);
    });
    wait_all(begins);
    for (int i = 0; joins && i < 3; ++i) {
        (void)world.add_upstream("v2");
    }
    world.world_.store_.set_down(true);
    auto const down = steady::now();
    auto fresh = make_streams("fresh", streams_at_once);
    auto take_ups = for_each_at_once(all, [&](auto& stream, auto number) {
        stream.deadline_ = down + patience;
        finish(stream, {world.ips_[(number + 1) % world.ips_.size()]});
    });
    auto others = for_each_at_once(fresh, [&](auto& stream, auto number) {
        stream.deadline_ = down + patience;
        (void)attempt(stream, world.ips_[number % world.ips_.size()], events_before);
        if (stream.begun()) {
            finish(stream, {world.ips_[(number + 1) % world.ips_.size()]});
        }
    });
    wait_all(take_ups);
    wait_all(others);
    check_sound("begun before", count(all));
    check_sound("begun meanwhile", count(fresh));

    world.world_.store_.set_down(false);
    streams later;
    for (auto const* const version : {"v1", "v2"}) {
        CAPTURE(version);
        CHECK(eventually(world.version_limit,
                         [&] { return goes_on(world, later, version, world.ips_[0], world.ips_[1]); }));
    }
    check_sound("streams taken up later", count(later));
}

namespace {

/// What a caller says of the stream that it takes up.
struct claim {
    char const* about_;
    bool sends_resumes_;
    std::optional<std::string> resumes_; ///< In place of the id of the attempt that began the stream.
    std::string name_;                   ///< Begins the ids of the attempts.
};

std::vector<claim> odd_claims()
{
    std::string const odd{"odd \"{\\,;=\xc3\xa9\x80\xff%00"};
    // The first five name no stream that has begun; the others are what the caller rightly says.
    return {{"missing", false, std::nullopt, "missing"},
            {"empty", true, "", "empty"},
            {"unknown", true, "unknown", "unknown"},
            {"very long", true, std::string(4'000, 'x'), "long"},
            {"odd bytes", true, odd, "bytes"},
            {"the very long id of the first attempt", true, std::nullopt, std::string(4'000, 'x')},
            {"odd bytes in the id of the first attempt", true, std::nullopt, odd}};
}

/// Begins streams and takes each up twice, as the claim says.
streams take_up_with(versioned_world const& world, claim const& said)
{
    auto all = make_streams(said.name_, streams_at_once);
    auto calls = for_each_at_once(all, [&](auto& stream, auto number) {
        auto const ip = [&](std::size_t step) { return world.ips_[(number + step) % world.ips_.size()]; };
        stream.sends_resumes_ = said.sends_resumes_;
        if (said.resumes_) {
            stream.resumes_ = *said.resumes_ + (said.resumes_->empty() ? "" : std::to_string(number));
        }
        (void)attempt(stream, ip(0), events_before);
        if (said.resumes_ && !said.resumes_->empty()) {
            // Which stream it is can't be known; but it is the same one each time.
            stream.versions_.clear();
        }
        (void)attempt(stream, ip(1), events_before * 2);
        (void)attempt(stream, ip(2), events_before * 3);
    });
    wait_all(calls);
    return all;
}

} // namespace

// Guards against take-ups that do not say which stream they mean and are joined, hang or fail.
TEST_CASE("a take-up whose stream is unclear is served or refused at once, and joins nothing",
          "[entry][versions][promise-8]")
{
    versioned_world world{{"v1", "v1", "v1", "v2", "v2", "v2"}};
    for (auto const& said : odd_claims()) {
        CAPTURE(said.about_);
        auto const all = take_up_with(world, said);
        check_sound(said.about_, count(all));
        CHECK(count_if(all, [](auto const& s) { return s.begun(); }) == streams_at_once);
        bool const is_known = said.sends_resumes_ && !said.resumes_;
        CHECK((count(all).went_on_ * 2 >= streams_at_once || !is_known));
    }
}

// Guards against refusing take-ups that can only go on at one version.
TEST_CASE("a take-up whose stream is unclear goes on while one version serves", "[entry][versions]")
{
    versioned_world world{{"v1", "v1", "v1"}};
    for (auto const& said : odd_claims()) {
        CAPTURE(said.about_);
        auto const all = take_up_with(world, said);
        check_sound(said.about_, count(all));
        CHECK(count(all).went_on_ == streams_at_once);
    }
}

namespace {

/// \returns The configuration of that version after a change to its routes, an array by `entry_world`.
template <typename Change>
std::string config_with_routes(int version, Change change)
{
    auto document = nlohmann::json::parse(config_document(version, "\"key\""));
    change(document["routes"]);
    return document.dump();
}

nlohmann::json& route_named(nlohmann::json& routes, char const* name)
{
    return *std::find_if(routes.begin(), routes.end(), [&](auto const& row) { return row["name"] == name; });
}

/// \returns The status of a take-up behind the last but one event, of a stream that nobody began.
int probe_take_up(versioned_world const& world, std::string const& path, std::string const& ip)
{
    auto const answer = world.world_
                            .call("POST", path, "{}",
                                  "Api-Key: key\r\nConnection: close\r\nResumes: probe-0\r\nLast-Event-Id: " +
                                      std::to_string(stream_events - 1) + "\r\n",
                                  ip, "probe")
                            .receive_until("\r\n\r\n");
    return entry_world::status_of(answer);
}

/// How the streams of a path come to be resumable.
struct route_change {
    char const* about_;
    char const* path_;
    std::string before_; ///< Configurations.
    std::string after_;
};

std::vector<route_change> route_changes()
{
    auto const none = [](auto&) {};
    auto const set = [](char const* name, bool resumable) {
        return [=](auto& routes) { route_named(routes, name)["resumable"] = resumable; };
    };
    auto const add_longer = [](char const* name, char const* prefix, bool resumable) {
        return [=](auto& routes) {
            auto longer = route_named(routes, name);
            longer["name"] = "season";
            longer["path_prefix"] = prefix;
            longer["resumable"] = resumable;
            routes.push_back(longer);
        };
    };
    return {
        {"the route changes", "/watch/question", config_with_routes(3, none),
         config_with_routes(4, set("watch", true))},
        {"a longer route is added", "/watch/season/question", config_with_routes(3, none),
         config_with_routes(4, add_longer("watch", "/watch/season/", true))},
        {"a longer route goes", "/resume/season/question",
         config_with_routes(3, add_longer("resume", "/resume/season/", false)), config_with_routes(4, none)},
        {"no route was resumable before", "/resume/question", config_with_routes(3, set("resume", false)),
         config_with_routes(4, none)},
    };
}

} // namespace

// Guards against joining streams that began before a change of the configuration made them resumable.
TEST_CASE("streams that began on a route that wasn't resumable go on at their software version once it is",
          "[entry][versions][config][promise-8]")
{
    auto const changes = route_changes();
    REQUIRE(changes.size() == 4);
    auto const& r = changes[GENERATE(range(std::size_t{0}, std::size_t{4}))];
    bool const all_killed = GENERATE(false, true); // after the change
    CAPTURE(r.about_, all_killed);
    versioned_world world{{"v1", "v1", "v1", "v2", "v2", "v2"}, 3, r.before_};
    auto all = make_streams("stream", streams_at_once);
    for (auto& stream : all) {
        stream.path_ = r.path_;
    }
    auto begins = for_each_at_once(all, [&](auto& stream, auto number) {
        (void)attempt(stream, world.ips_[number % world.ips_.size()], events_before);
    });
    wait_all(begins);
    REQUIRE(count_if(all, [](auto const& s) { return s.begun(); }) == streams_at_once);
    CHECK(count_if(all, [](auto const& s) { return s.version() == "v1"; }) > 0);
    CHECK(count_if(all, [](auto const& s) { return s.version() == "v2"; }) > 0);

    world.world_.store_.put("keyed.op", "config", r.after_);
    for (auto const& ip : world.ips_) {
        REQUIRE(eventually(limit, [&] { return probe_take_up(world, r.path_, ip) == 200; }));
    }
    if (all_killed) {
        world.world_.daemons_.clear();
        for (std::size_t vm = 0; vm < world.ips_.size(); ++vm) {
            world.start(vm);
        }
        REQUIRE(eventually(limit, [&] { return world.all_ready(); }));
    }
    auto take_ups = for_each_at_once(all, [&](auto& stream, auto number) {
        (void)attempt(stream, world.ips_[(number + 1) % world.ips_.size()]);
    });
    wait_all(take_ups);
    check_sound(r.about_, count(all));
    CHECK(count(all).went_on_ * 2 >= streams_at_once);
}

// Guards against refusing streams for the sake of take-ups that their route does not allow.
TEST_CASE("new streams that can't be taken up begin while the store is away", "[entry][versions]")
{
    auto const versions =
        GENERATE(std::vector<std::string>{"v1", "v1"}, std::vector<std::string>{"v1", "v2"});
    CAPTURE(versions);
    constexpr auto outage = 6s; // longer than streams that may be taken up begin without the store
    versioned_world world{versions, 2, config_with_routes(3, [](auto& routes) {
                              route_named(routes, "watch")["public"] = true;
                          })};
    world.world_.store_.set_down(true);
    (void)eventually(outage, [] { return false; });
    auto all = make_streams("stream", streams_at_once);
    for (auto& stream : all) {
        stream.path_ = "/watch/question";
    }
    auto begins = for_each_at_once(all, [&](auto& stream, auto number) {
        (void)attempt(stream, world.ips_[number % world.ips_.size()], 1);
    });
    wait_all(begins);
    CHECK(count_if(all, [](auto const& s) { return s.begun(); }) == streams_at_once);
}

// Guards against streams that wait for a plan which can't be made, as their service has no upstreams.
TEST_CASE("a stream to a service without upstreams is refused for that at once", "[entry][versions]")
{
    auto const* const path = GENERATE("/watch/question", "/resume/question");
    CAPTURE(path);
    entry_world const world{{}};
    auto const sent = steady::now();
    auto const answer =
        world.call("POST", path, "{}", "Api-Key: key\r\nConnection: close\r\n").receive_until("\r\n\r\n");
    CHECK(entry_world::status_of(answer) == 503);
    CHECK(answer.find("no-upstream") != std::string::npos);
    CHECK(steady::now() - sent < refusal_bound);
}
