#include <auburnchute/version_plan.hpp>

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>

using namespace auburnchute;

namespace {

constexpr version_timing timing{millis{2'000}, millis{4'500}};
constexpr millis longest{15'000};

std::string id_of(int number)
{
    return "stream-" + std::to_string(number);
}

version_census census_of(version_counts const& counts)
{
    version_census census;
    for (auto const& [version, count] : counts) {
        census.present_.insert(version);
        census.usable_[""][version] = count;
    }
    return census;
}

version_counts slots_of(version_era const& era)
{
    version_counts owned;
    for (std::size_t slot = 0; slot < stream_slots; ++slot) {
        ++owned[era.owner(slot)];
    }
    return owned;
}

/// Plans as one VM that stores each plan at once.
class planner {
public:
    bool plan(version_census const& census, millis at)
    {
        auto next = next_plan(known(), census, timing, longest, at);
        if (next) {
            CHECK(is_valid(*next));
            CHECK(next->revision_ == (known() == nullptr ? 1 : known()->revision_ + 1));
            date_eras(*next, known(), at, at);
            plan_ = std::make_unique<version_plan>(std::move(*next));
        }
        return next.has_value();
    }

    [[nodiscard]] version_plan const* known() const { return plan_.get(); }
    [[nodiscard]] era_list const& eras(std::string_view model = "") const { return *eras_of(*plan_, model); }

private:
    std::unique_ptr<version_plan> plan_;
};

} // namespace

// Guards against one version for all new streams, and against one that gets far more than its upstreams bear.
TEST_CASE("versions that are there at the first look share the streams by their upstreams", "[versions]")
{
    struct row {
        version_counts counts_;
        version_counts slots_;
    };
    for (auto const& row :
         {row{{{"a", 3}, {"b", 3}}, {{"a", 32}, {"b", 32}}}, row{{{"a", 12}}, {{"a", 64}}},
          row{{{"a", 3}, {"b", 1}}, {{"a", 48}, {"b", 16}}}, row{{{"", 1}, {"a", 1}}, {{"", 32}, {"a", 32}}},
          row{{{"a", 1'000}, {"b", 1}, {"c", 0}}, {{"a", 63}, {"b", 1}}},
          row{{{"a", 1}, {"b", 1}, {"c", 1}}, {{"a", 22}, {"b", 21}, {"c", 21}}}}) {
        planner plans;
        REQUIRE(plans.plan(census_of(row.counts_), millis{10}));
        CHECK(slots_of(plans.eras().back()) == row.slots_);
        CHECK_FALSE(plans.plan(census_of(row.counts_), millis{60'000}));
    }
    planner none;
    CHECK_FALSE(none.plan(census_of({{"a", 0}}), millis{10}));
}

// Guards against streams that begin at a version before all VMs that take streams up know that they may.
TEST_CASE("a version that joins gets new streams once the fence is over, and at most a quarter at once",
          "[versions]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 6}}), millis{0}));
    auto const both = census_of({{"a", 6}, {"b", 6}});
    REQUIRE(plans.plan(both, millis{10'000}));
    CHECK(slots_of(plans.eras().back()) == version_counts{{"a", 48}, {"b", 16}});
    int at_b = 0;
    for (int i = 0; i < 640; ++i) {
        CHECK(version_of_new(plans.eras(), id_of(i), timing, millis{11'999}) == "a");
        auto const later = version_of_new(plans.eras(), id_of(i), timing, millis{12'000});
        at_b += later == "b" ? 1 : 0;
    }
    CHECK(at_b > 640 / 8);
    CHECK_FALSE(plans.plan(both, millis{16'499})); // the era before is not over
    REQUIRE(plans.plan(both, millis{16'500}));
    CHECK(slots_of(plans.eras().back()) == version_counts{{"a", 32}, {"b", 32}});
    CHECK(plans.eras().size() == 3);
    REQUIRE(plans.plan(both, millis{60'000}));
    CHECK(plans.eras().size() == 1);
    CHECK_FALSE(plans.plan(both, millis{90'000}));
}

// Guards against new streams that are refused for long although another version could take them.
TEST_CASE("the slots of a version without upstreams move at once", "[versions]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 3}, {"b", 3}}), millis{0}));
    auto gone = census_of({{"a", 0}, {"b", 3}});
    CHECK_FALSE(plans.plan(gone, millis{1'999})); // the era before is not in use everywhere
    REQUIRE(plans.plan(gone, millis{2'000}));
    CHECK(slots_of(plans.eras().back()) == version_counts{{"b", 64}});
    gone = census_of({{"b", 3}});
    CHECK(is_open(plans.known(), {"b"}));
    REQUIRE(plans.plan(gone, millis{22'000}));
    CHECK(plans.eras().size() == 1);
    CHECK_FALSE(is_open(plans.known(), {"b"}));
    CHECK(is_open(plans.known(), {"b", "c"}));
}

// Guards against a version that loses most of its upstreams and keeps most streams.
TEST_CASE("a version far above its share gives twice as many slots away", "[versions]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 12}}), millis{0}));
    REQUIRE(plans.plan(census_of({{"a", 11}, {"b", 1}}), millis{5'000}));
    REQUIRE(plans.plan(census_of({{"a", 2}, {"b", 10}}), millis{12'000}));
    CHECK(slots_of(plans.eras().back()) == version_counts{{"a", 27}, {"b", 37}});
    REQUIRE(plans.plan(census_of({{"a", 2}, {"b", 10}}), millis{20'000}));
    CHECK(slots_of(plans.eras().back()) == version_counts{{"a", 11}, {"b", 53}});
}

// Guards against text of two versions: the era in which a stream began can't be told from its id alone.
TEST_CASE("a stream is taken up only where one version can have begun it", "[versions]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 1}}), millis{0}));
    REQUIRE(plans.plan(census_of({{"a", 1}, {"b", 1}}), millis{10'000}));
    auto const& eras = plans.eras();
    int told = 0;
    for (int i = 0; i < 640; ++i) {
        auto const id = id_of(i);
        bool const moved = eras.front().owner(slot_of(id)) != eras.back().owner(slot_of(id));
        auto const early = version_of_begun(eras, id, millis{14'500}, timing, millis{20'000});
        CHECK(early.has_value() == !moved);
        CHECK((!early || *early == "a"));
        CHECK(version_of_begun(eras, id, millis{14'501}, timing, millis{20'000}) ==
              eras.back().owner(slot_of(id)));
        told += early ? 1 : 0;
    }
    CHECK(told > 640 / 2);
    // Until the fence is over nobody begins in the new era.
    CHECK(version_of_begun(eras, std::nullopt, millis{0}, timing, millis{11'999}) == "a");
    CHECK_FALSE(
        version_of_begun(eras, std::nullopt, millis{14'501}, timing, millis{20'000})); // it names no stream
    CHECK(version_of_begun({eras.front()}, std::nullopt, millis{0}, timing, millis{20'000}) == "a");
}

// Guards against a stream that counts as younger than it is, as its caller's limit is longer than the plan's.
TEST_CASE("what a caller has left tells when its stream may have begun", "[versions]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 1}}), millis{0}));
    auto const& plan = *plans.known();
    CHECK(plan.longest_limit_ == longest);
    CHECK_FALSE(raise_limit(plan, longest));
    auto const raised = raise_limit(plan, millis{15'200});
    REQUIRE(raised);
    CHECK(raised->longest_limit_ == millis{16'000});
    CHECK(raised->revision_ == plan.revision_ + 1);
    CHECK(raise_limit(plan, millis{1'000'000'000})->longest_limit_ == max_time_limit);
    auto unbounded = plan;
    unbounded.longest_limit_ = max_time_limit;
    CHECK(began_after(unbounded, millis{12'000}, timing, millis{100'000}) == millis{0});
    struct row {
        std::optional<millis> left_;
        millis after_;
    };
    for (auto const& row :
         {row{std::nullopt, millis{0}}, row{millis{0}, millis{84'000}}, row{millis{12'000}, millis{96'000}},
          row{millis{14'000}, millis{98'000}}, row{millis{14'001}, millis{0}}, row{millis{15'000}, millis{0}},
          row{millis{200'000}, millis{0}}}) {
        CHECK(began_after(plan, row.left_, timing, millis{100'000}) == row.after_);
    }
}

// Guards against a VM that starts and uses an era that others don't, or one that is over.
TEST_CASE("a VM that has just started begins only streams on whose version its eras agree", "[versions]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 1}}), millis{0}));
    REQUIRE(plans.plan(census_of({{"a", 1}, {"b", 1}}), millis{10'000}));
    auto plan = *plans.known();
    date_eras(plan, nullptr, millis{0}, millis{11'000});
    auto const& eras = *eras_of(plan, "m"); // a model without eras of its own
    for (int i = 0; i < 640; ++i) {
        auto const slot = slot_of(id_of(i));
        bool const moved = eras.front().owner(slot) != eras.back().owner(slot);
        CHECK(version_of_new(eras, id_of(i), timing, millis{12'999}).has_value() == !moved);
        CHECK(version_of_new(eras, id_of(i), timing, millis{13'000}) == eras.back().owner(slot));
    }
}

// Guards against streams for a model that begin at a version whose upstreams don't hold it.
TEST_CASE("each model has eras of its own while several versions are there", "[versions]")
{
    planner plans;
    auto census = census_of({{"a", 2}});
    census.usable_["m"]["a"] = 1;
    census.usable_["n"]["a"] = 1;
    REQUIRE(plans.plan(census, millis{0}));
    CHECK(plans.known()->models_.size() == 1);
    census.present_.insert("b");
    census.usable_[""]["b"] = 2;
    census.usable_["n"] = {{"b", 1}};
    REQUIRE(plans.plan(census, millis{5'000}));
    CHECK(slots_of(plans.eras("m").back()) == version_counts{{"a", 64}});
    CHECK(slots_of(plans.eras("n").back()) == version_counts{{"b", 64}});
    CHECK(slots_of(plans.eras().back()) == version_counts{{"a", 48}, {"b", 16}});
    // Once one version is left everywhere, one list is enough, also for models that nobody holds.
    version_census last = census_of({{"b", 4}});
    last.usable_["n"]["b"] = 1;
    millis at{10'000};
    while (plans.plan(last, at) || is_open(plans.known(), {"b"})) {
        at = at + millis{2'500};
        REQUIRE(at < millis{120'000});
    }
    CHECK(plans.known()->models_.size() == 1);
    CHECK(slots_of(plans.eras("m").back()) == version_counts{{"b", 64}});
}

// Guards against a plan of another writer that names slots without a version.
TEST_CASE("a plan without eras, or with odd ones, is not valid", "[versions][odd]")
{
    planner plans;
    REQUIRE(plans.plan(census_of({{"a", 1}, {"b", 1}}), millis{0}));
    auto const change = [&](auto&& by) {
        auto plan = *plans.known();
        by(plan);
        return is_valid(plan);
    };
    CHECK(change([](version_plan&) {}));
    CHECK(change([](version_plan& plan) { number_plan(plan, 9); }));
    CHECK_FALSE(change([](version_plan& plan) { plan.models_[""].clear(); }));
    CHECK_FALSE(change([](version_plan& plan) { plan.models_.clear(); }));
    CHECK_FALSE(change([](version_plan& plan) { plan.models_["m"] = plan.models_.extract("").mapped(); }));
    CHECK_FALSE(change([](version_plan& plan) { plan.models_[""][0].owners_[5] = 2; }));
    CHECK_FALSE(change([](version_plan& plan) { plan.models_[""][0].versions_.clear(); }));
    CHECK_FALSE(change([](version_plan& plan) { plan.models_[""].push_back(plan.models_[""][0]); }));
}

namespace {

/// VMs that learn of plans late, are cut off, stand still or start anew, while versions come and go.
class version_simulation {
public:
    explicit version_simulation(std::uint64_t seed) : random_{seed}, vms_(4) { counts_["v0"] = 2 + pick(4); }

    void run(millis end)
    {
        for (now_ = millis{1}; now_ < end; now_ = now_ + step) {
            change_versions();
            for (auto& vm : vms_) {
                disturb(vm);
                hear(vm);
            }
            write_plan(vms_[static_cast<std::size_t>(pick(static_cast<int>(vms_.size())))]);
            begin_streams();
            take_streams_up();
        }
    }

    int begun_{};
    int taken_up_{};
    int refused_{};
    std::set<std::string> used_; ///< Versions at which streams began.

private:
    struct vm {
        std::unique_ptr<version_plan> plan_;
        millis proof_at_{};
        millis away_until_{}; ///< Hears nothing of the store.
        bool standing_{};     ///< Serves no requests, either.
    };
    struct stream {
        std::string id_;
        std::string version_;
        millis began_{};
        millis limit_{}; ///< Of its caller.
    };

    int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }

    void change_versions()
    {
        if (pick(60) != 0) {
            return;
        }
        if (pick(2) == 0) {
            counts_["v" + std::to_string(pick(3))] += 1 + pick(3); // also an earlier one: a rollback
        } else {
            auto const at = std::next(counts_.begin(), pick(static_cast<int>(counts_.size())));
            at->second = pick(3) == 0 ? 0 : std::max<std::int64_t>(0, at->second - 1);
        }
        std::erase_if(counts_, [](auto const& entry) { return entry.second == 0; });
        if (counts_.empty()) {
            counts_["v" + std::to_string(pick(3))] = 2;
        }
    }

    void disturb(vm& one)
    {
        if (pick(400) == 0) {
            one = {}; // killed, and started again
        }
        if (pick(300) == 0) {
            one.away_until_ = now_ + millis{pick(12'000)};
            one.standing_ = pick(2) == 0;
        }
        if (pick(2'000) == 0) {
            for (auto& each : vms_) {
                each = {};
            }
        }
    }

    void hear(vm& one)
    {
        if (now_ < one.away_until_ || pick(4) == 0) {
            return;
        }
        one.standing_ = false;
        // What it hears is up to a second old, and never older than what it knows.
        auto const at = std::max(one.proof_at_, now_ - millis{pick(1'000)});
        auto const newest = std::find_if(stored_.rbegin(), stored_.rend(),
                                         [&](auto const& record) { return record.first <= at; });
        if (newest != stored_.rend() && (!one.plan_ || one.plan_->revision_ < newest->second.revision_)) {
            auto plan = newest->second;
            date_eras(plan, one.plan_.get(), one.proof_at_, now_);
            one.plan_ = std::make_unique<version_plan>(std::move(plan));
        }
        one.proof_at_ = at;
    }

    void write_plan(vm& one)
    {
        if (now_ < one.away_until_ || now_ - one.proof_at_ > timing.fence_) {
            return;
        }
        auto const stored = stored_.empty() ? 0 : stored_.back().second.revision_;
        auto next = next_plan(one.plan_.get(), census_of(counts_), timing, longest, now_);
        if (next && next->revision_ == stored + 1) { // as the store's condition has it
            stored_.emplace_back(now_, *next);
            date_eras(*next, one.plan_.get(), one.proof_at_, now_);
            one.plan_ = std::make_unique<version_plan>(std::move(*next));
        }
    }

    void begin_streams()
    {
        auto const& one = vms_[static_cast<std::size_t>(pick(static_cast<int>(vms_.size())))];
        if (!one.plan_ || one.standing_ || one.proof_at_ == millis{0} ||
            now_ - one.proof_at_ > timing.begin_limit_) {
            return;
        }
        auto const id = id_of(begun_);
        if (auto const version = version_of_new(*eras_of(*one.plan_, ""), id, timing, now_)) {
            streams_.push_back({id, std::string{*version}, now_, millis{2'000 + pick(13'001)}});
            used_.insert(std::string{*version});
            ++begun_;
        }
    }

    void take_streams_up()
    {
        std::erase_if(streams_, [&](stream const& each) { return now_ - each.began_ >= each.limit_; });
        if (streams_.empty()) {
            return;
        }
        auto const& taken = streams_[static_cast<std::size_t>(pick(static_cast<int>(streams_.size())))];
        for (auto const& one : vms_) {
            if (!one.plan_ || one.standing_ || one.proof_at_ == millis{0} ||
                now_ - one.proof_at_ > timing.fence_) {
                continue;
            }
            auto const left = taken.limit_ - (now_ - taken.began_);
            auto const version = version_of_begun(*eras_of(*one.plan_, ""), taken.id_,
                                                  began_after(*one.plan_, left, timing, now_), timing, now_);
            ++(version ? taken_up_ : refused_);
            if (version) {
                CAPTURE(taken.id_, taken.began_.count_, now_.count_);
                CHECK(*version == taken.version_);
            }
        }
    }

    static constexpr millis step{100};

    std::mt19937_64 random_;
    millis now_{};
    std::vector<vm> vms_;
    std::vector<std::pair<millis, version_plan>> stored_;
    version_counts counts_;
    std::vector<stream> streams_;
};

} // namespace

// Guards against text of two versions after lost, late or outdated knowledge.
TEST_CASE("streams go on at the version that began them while VMs fail and versions come and go",
          "[versions][simulation]")
{
    int begun = 0;
    int taken_up = 0;
    int refused = 0;
    std::size_t versions = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        version_simulation simulation{seed};
        simulation.run(millis{240'000});
        begun += simulation.begun_;
        taken_up += simulation.taken_up_;
        refused += simulation.refused_;
        versions += simulation.used_.size();
    }
    CAPTURE(begun, taken_up, refused, versions);
    CHECK(begun > 60 * 1'000);
    CHECK(versions > 60);
    CHECK(taken_up > refused);
}
