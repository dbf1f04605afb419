#include <auburnchute/crash_evidence.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace auburnchute;

namespace {

constexpr std::uint64_t scope = 7;
constexpr millis tick{100};

/// One VM that plays requests against upstreams; crashes and answers are told by the test.
struct evidence_player {
    crash_evidence evidence_{};
    millis now_{1'000'000};
    std::uint32_t crashes_{};
    std::uint64_t requests_{};

    [[nodiscard]] std::vector<request_trait> traits(std::vector<std::uint64_t> const& parts,
                                                    std::uint32_t workspace = 1)
    {
        return traits_of(parts, scope, workspace, (++requests_) << 8U);
    }

    /// One upstream crashes under these requests, sent just before.
    void crash(std::vector<std::vector<request_trait>> const& requests, std::uint32_t workspace = 1,
               crash_weight weight = crash_weight::begun, millis sent_before = tick)
    {
        now_ += tick * 2;
        ++crashes_;
        for (auto const& request : requests) {
            record_crash(evidence_, {request, crashes_, workspace, weight, now_ - sent_before}, now_);
        }
    }

    void answer(std::vector<request_trait> const& request, std::uint32_t workspace = 1)
    {
        now_ += tick;
        record_answer(evidence_, request, workspace, now_, now_);
    }

    void hear(evidence_player const& peer)
    {
        now_ = std::max(now_, peer.now_) + tick;
        (void)merge_records(evidence_, records_after(peer.evidence_, 0), now_);
    }

    [[nodiscard]] bool refuses(std::vector<request_trait> const& request, std::uint32_t workspace = 1) const
    {
        return judge_request(evidence_, request, workspace, {}, now_).refused_;
    }
};

} // namespace

// Guards against refusing sound requests that share a caller or parts with deadly ones.
TEST_CASE("only the part that explains the crashes is blocked", "[crash-evidence]")
{
    constexpr std::uint64_t deadly = 50;
    evidence_player vm;
    auto const neighbours =
        GENERATE(std::vector<std::uint64_t>{}, std::vector<std::uint64_t>{10},
                 std::vector<std::uint64_t>{10, 20}, std::vector<std::uint64_t>{10, 20, 30});
    auto const position = GENERATE(0U, 1U, 3U);
    auto parts = neighbours;
    parts.insert(parts.begin() + std::min<std::ptrdiff_t>(position, std::ssize(parts)), deadly);
    int crashes = 0;
    for (int i = 0; i < 8; ++i) {
        if (!vm.refuses(vm.traits(parts))) {
            vm.crash({vm.traits(parts)});
            ++crashes;
        }
        for (auto const part : neighbours) {
            auto const sound = vm.traits({part});
            CHECK_FALSE(vm.refuses(sound));
            vm.answer(sound);
        }
    }
    CHECK(crashes <= 3);
    CHECK_FALSE(vm.refuses(vm.traits(neighbours)));
    CHECK_FALSE(vm.refuses(vm.traits({}))); // the same caller, another prompt
}

// Guards against a record that is full of crashes of one moment and takes none of those that follow.
TEST_CASE("a part that goes on to crash upstreams is blocked, however many crashed at the first moment",
          "[crash-evidence]")
{
    constexpr std::uint64_t deadly = 50;
    constexpr millis long_before{10'000};
    auto const at_first = GENERATE(2, 5, 6, 7, 30);
    auto const workspaces = GENERATE(1U, 5U);
    bool const told = GENERATE(false, true);
    CAPTURE(at_first, workspaces, told);
    evidence_player vm;
    for (int i = 0; i < at_first; ++i) {
        auto const workspace = 1 + static_cast<std::uint32_t>(i) % workspaces;
        vm.crash({vm.traits({deadly}, workspace)}, workspace, crash_weight::begun, long_before);
    }
    CHECK_FALSE(vm.refuses(vm.traits({deadly})));
    if (told) {
        auto other = vm;
        other.crash({other.traits({deadly})});
        std::vector<trait_record> records;
        for (auto const& [hash, record] : other.evidence_.records_) {
            records.push_back(record);
        }
        CHECK(merge_records(vm.evidence_, records, vm.now_));
    } else {
        vm.crash({vm.traits({deadly})});
    }
    CHECK(vm.refuses(vm.traits({deadly})));
}

// Guards against blocking a part that never comes without the deadly one once it does.
TEST_CASE("a part that only accompanied a deadly one stays allowed", "[crash-evidence]")
{
    evidence_player vm;
    for (int i = 0; i < 3; ++i) {
        vm.crash({vm.traits({10, static_cast<std::uint64_t>(100 + i)})});
    }
    CHECK(vm.refuses(vm.traits({10})));
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(vm.refuses(vm.traits({static_cast<std::uint64_t>(100 + i)})));
    }
}

// Guards against two deadly parts that hide each other.
TEST_CASE("two deadly parts at once are both blocked", "[crash-evidence]")
{
    evidence_player vm;
    int crashes = 0;
    for (int i = 0; i < 10; ++i) {
        for (std::uint64_t const deadly : {50U, 60U}) {
            if (!vm.refuses(vm.traits({10, deadly}))) {
                vm.crash({vm.traits({10, deadly}), vm.traits({10, 20})});
                ++crashes;
            }
            vm.answer(vm.traits({10, 20}));
        }
    }
    CHECK(vm.refuses(vm.traits({50})));
    CHECK(vm.refuses(vm.traits({60})));
    CHECK_FALSE(vm.refuses(vm.traits({10, 20})));
    CHECK(crashes <= 8); // four each
}

// Guards against refusing sound parts when upstreams crash for causes of their own.
TEST_CASE("crashes with other causes block no part", "[crash-evidence]")
{
    SECTION("several upstreams at one moment")
    {
        evidence_player vm;
        auto const at = vm.now_;
        for (std::uint32_t upstream = 0; upstream < 6; ++upstream) {
            auto const request = vm.traits({10, 20});
            record_crash(vm.evidence_, {request, upstream, 1, crash_weight::begun, at - tick}, at);
        }
        CHECK(vm.evidence_.blocked_.empty());
    }
    SECTION("a crash every two seconds under random sound requests")
    {
        // 20 parts; each request is answered 300 ms after it was sent unless one of 10 upstreams crashes.
        auto const seed = GENERATE(range(1U, 40U));
        std::mt19937_64 random{seed};
        evidence_player vm;
        std::size_t refused = 0;
        struct sent_request {
            std::vector<request_trait> traits_;
            std::uint64_t upstream_;
            millis sent_at_;
        };
        std::vector<sent_request> running;
        std::uint32_t crashes = 0;
        for (int step = 0; step < 1'200; ++step) {
            vm.now_ += millis{50};
            auto const request = vm.traits({1 + random() % 3, 10 + random() % 20});
            if (vm.refuses(request)) {
                ++refused;
            } else {
                running.push_back({request, random() % 10, vm.now_});
            }
            auto const down = step % 40 == 0 ? random() % 10 : 10;
            crashes += down < 10 ? 1 : 0;
            std::erase_if(running, [&](sent_request const& sent) {
                if (sent.upstream_ == down) {
                    record_crash(vm.evidence_,
                                 {sent.traits_, crashes, 1, crash_weight::waiting, sent.sent_at_}, vm.now_);
                    return true;
                }
                bool const done = vm.now_ - sent.sent_at_ >= millis{300};
                if (done) {
                    record_answer(vm.evidence_, sent.traits_, 1, vm.now_, vm.now_);
                }
                return done;
            });
        }
        CAPTURE(seed, crashes);
        CHECK(refused == 0);
    }
}

// Guards against a part that stays refused after it has become sound, and against trying a deadly one often.
TEST_CASE("a blocked part is tried again with doubled pauses and serves again once it is answered",
          "[crash-evidence]")
{
    evidence_player vm;
    vm.crash({vm.traits({50})});
    vm.crash({vm.traits({50})});
    REQUIRE(vm.refuses(vm.traits({50})));
    auto const verdict_at = [&](millis after) {
        return judge_request(vm.evidence_, vm.traits({50}), 1, {}, vm.now_ + after);
    };
    CHECK(verdict_at({}).retry_after_ == millis{10'000});
    auto const due = verdict_at(millis{10'000});
    REQUIRE(due.trials_.size() == 1);
    SECTION("it still crashes")
    {
        vm.now_ += millis{10'000};
        record_trial(vm.evidence_, due.trials_, vm.now_);
        CHECK(vm.refuses(vm.traits({50}))); // one trial at a time
        vm.crash({vm.traits({50})});
        CHECK(verdict_at({}).retry_after_ == millis{20'000});
        int trials = 0;
        for (millis hour = vm.now_ + millis{3'600'000}; vm.now_ < hour; vm.now_ += millis{1'000}) {
            auto const now = judge_request(vm.evidence_, vm.traits({50}), 1, {}, vm.now_);
            if (!now.refused_) {
                record_trial(vm.evidence_, now.trials_, vm.now_);
                vm.crash({vm.traits({50})});
                ++trials;
            }
        }
        CHECK(trials <= 12);
    }
    SECTION("it is answered")
    {
        vm.now_ += millis{10'000};
        record_trial(vm.evidence_, due.trials_, vm.now_);
        vm.answer(vm.traits({50}));
        CHECK_FALSE(vm.refuses(vm.traits({50})));
    }
}

// Guards against callers who have the parts of other workspaces refused.
TEST_CASE("one workspace cannot block a part for another", "[crash-evidence]")
{
    evidence_player vm;
    for (int i = 0; i < 10; ++i) {
        vm.crash({vm.traits({50}, 1)}, 1);
        vm.crash({vm.traits({50}, 0)}, 0); // a route open to all
    }
    CHECK(vm.refuses(vm.traits({50}, 1), 1));
    CHECK_FALSE(vm.refuses(vm.traits({50}, 2), 2));
    SECTION("but a part that crashes upstreams for two is refused to all")
    {
        vm.crash({vm.traits({50}, 2)}, 2);
        vm.crash({vm.traits({50}, 2)}, 2);
        CHECK(vm.refuses(vm.traits({50}, 3), 3));
    }
}

// Guards against callers who free what crashes upstreams under others by naming it in prompts without it.
TEST_CASE("one workspace cannot free a part for another", "[crash-evidence]")
{
    evidence_player vm;
    auto const liar = GENERATE(0U, 1U, 2U);
    auto const crash_for = [&](std::uint32_t workspace) {
        vm.crash({vm.traits({50}, workspace)}, workspace);
    };
    if (liar == 2) { // has marks of its own too
        crash_for(liar);
        crash_for(liar);
    }
    for (auto const workspace : {3U, 4U, 3U, 4U}) {
        crash_for(workspace);
    }
    for (int i = 0; i < 10; ++i) {
        CAPTURE(liar, i);
        vm.answer(vm.traits({50}, liar), liar);
        CHECK(vm.refuses(vm.traits({50}, 3), 3));
        CHECK(vm.refuses(vm.traits({50}, 4), 4));
        CHECK(vm.refuses(vm.traits({50}, 5), 5));
        CHECK_FALSE(vm.refuses(vm.traits({50}, liar), liar));
        crash_for(liar);
    }
    SECTION("answers to two free it for all")
    {
        vm.answer(vm.traits({50}, 1), 1);
        vm.answer(vm.traits({50}, 2), 2);
        for (std::uint32_t workspace = 1; workspace <= 5; ++workspace) {
            CHECK_FALSE(vm.refuses(vm.traits({50}, workspace), workspace));
        }
    }
    SECTION("its own answers free a workspace's part, and it can be blocked again")
    {
        vm.answer(vm.traits({50}, 3), 3);
        CHECK_FALSE(vm.refuses(vm.traits({50}, 3), 3));
        crash_for(3);
        crash_for(3);
        CHECK(vm.refuses(vm.traits({50}, 3), 3));
    }
}

// Guards against VMs that differ on what is blocked, as each has seen the answers to another workspace.
TEST_CASE("answers to workspaces on several VMs count together, and late marks do not come back",
          "[crash-evidence]")
{
    evidence_player before;
    for (auto const workspace : {3U, 4U, 3U, 4U}) {
        before.crash({before.traits({50}, workspace)}, workspace);
    }
    auto one = before;
    auto two = before;
    one.answer(one.traits({50}, 3), 3);
    two.answer(two.traits({50}, 4), 4);
    one.hear(before);
    CHECK_FALSE(one.refuses(one.traits({50}, 3), 3));
    CHECK(one.refuses(one.traits({50}, 4), 4));
    CHECK(two.refuses(two.traits({50}, 3), 3));
    auto third = before;
    bool const reversed = GENERATE(false, true);
    third.hear(reversed ? two : one);
    third.hear(reversed ? one : two);
    one.hear(two);
    two.hear(before);
    two.hear(one);
    for (auto* const vm : {&one, &two, &third}) {
        vm->hear(before);
        CHECK_FALSE(vm->refuses(vm->traits({50}, 3), 3));
        CHECK_FALSE(vm->refuses(vm->traits({50}, 4), 4));
        CHECK(vm->evidence_.records_.at(vm->traits({50})[1].hash_).round_ == 1);
    }
}

TEST_CASE("a part that crashes upstreams under three workspaces is refused to all", "[crash-evidence]")
{
    evidence_player vm;
    for (std::uint32_t workspace = 1; workspace <= 3; ++workspace) {
        vm.crash({vm.traits({50}, workspace)}, workspace);
    }
    CHECK(vm.refuses(vm.traits({50}, 4), 4));
}

// Guards against memory and messages that grow with what callers send.
TEST_CASE("the records are bounded and a workspace displaces only its own", "[crash-evidence]")
{
    evidence_player vm;
    vm.crash({vm.traits({50}, 2)}, 2);
    vm.crash({vm.traits({50}, 2)}, 2);
    for (std::uint64_t i = 0; i < 200; ++i) {
        std::vector<std::uint64_t> many(700);
        std::generate(many.begin(), many.end(), [&, part = i * 1'000]() mutable { return ++part; });
        vm.crash({vm.traits(many, 1)}, 1);
        CHECK(vm.evidence_.records_.size() <= max_trait_records);
    }
    CHECK(find_blocked(vm.evidence_, vm.traits({50}, 2)[1].hash_) != nullptr);
    std::size_t marks = 0;
    for (auto const& [hash, record] : vm.evidence_.records_) {
        marks += record.marks_.size();
    }
    CHECK(marks <= max_trait_records * 24);
    // A deadly part behind the ones with a record of their own is stopped as well.
    std::vector<std::uint64_t> many(700);
    std::generate(many.begin(), many.end(), [part = 900'000U]() mutable { return ++part; });
    CHECK(vm.refuses(vm.traits(many, 1), 1));
}

// Guards against evidence that depends on the order or number of messages.
TEST_CASE("records merge to the same evidence in any order", "[crash-evidence]")
{
    auto const seed = GENERATE(range(1U, 30U));
    auto const workspaces = GENERATE(1U, 4U);
    CAPTURE(seed, workspaces);
    std::mt19937_64 random{seed};
    std::vector<evidence_player> vms(4);
    std::vector<trait_record> told;
    std::uint32_t crash = 0;
    for (int step = 0; step < 60; ++step) {
        auto& vm = vms[random() % vms.size()];
        vm.now_ = millis{1'000'000 + step * 100};
        auto const request = vm.traits({random() % 4, 10 + random() % 6});
        auto const workspace = static_cast<std::uint32_t>(random() % workspaces) + (workspaces == 1 ? 1 : 0);
        if (random() % 3 == 0) {
            record_crash(vm.evidence_, {request, ++crash, workspace, crash_weight::begun, vm.now_}, vm.now_);
        } else {
            record_answer(vm.evidence_, request, workspace, vm.now_, vm.now_);
        }
        auto const records = records_after(vm.evidence_, 0);
        told.insert(told.end(), records.begin(), records.end());
    }
    std::vector<std::set<trait_hash>> blocked;
    for (auto& vm : vms) {
        std::shuffle(told.begin(), told.end(), random);
        for (auto const& record : told) {
            (void)merge_records(vm.evidence_, {&record, 1}, millis{1'010'000});
        }
        std::set<trait_hash> hashes;
        for (auto const& entry : vm.evidence_.blocked_) {
            hashes.insert(entry.hash_);
        }
        blocked.push_back(hashes);
        CHECK_FALSE(merge_records(vm.evidence_, told, millis{1'010'000}));
    }
    for (auto const& hashes : blocked) {
        CHECK(hashes == blocked.front());
    }
}

// Guards against many VMs that try a deadly part at the same moment.
TEST_CASE("few of 1,200 VMs may try a blocked part at first, and all in the end", "[crash-evidence]")
{
    evidence_player vm;
    vm.crash({vm.traits({50})});
    vm.crash({vm.traits({50})});
    auto const due = vm.now_ + millis{10'000};
    auto const allowed = [&](millis at) {
        std::size_t count = 0;
        for (std::uint64_t name = 1; name <= 1'200; ++name) {
            trial_rights const rights{name * 0x9e3779b97f4a7c15ULL, 1'200, millis{1'000}};
            count += judge_request(vm.evidence_, vm.traits({50}), 1, rights, at).refused_ ? 0U : 1U;
        }
        return count;
    };
    CHECK(allowed(due - millis{1}) == 0);
    CHECK(allowed(due) <= 6);
    CHECK(allowed(due + millis{5'000}) <= 64);
    CHECK(allowed(due + millis{11'000}) == 1'200);
}

// Guards against a restart that forgets what is deadly, or that refuses for long what has become sound.
TEST_CASE("records from the store block at once and are tried again soon", "[crash-evidence]")
{
    evidence_player vm;
    vm.crash({vm.traits({50})});
    vm.crash({vm.traits({50})});
    crash_evidence restarted;
    CHECK(restore_records(restarted, records_after(vm.evidence_, 0), millis{500}));
    CHECK(judge_request(restarted, vm.traits({50}), 1, {}, millis{500}).refused_);
    CHECK_FALSE(judge_request(restarted, vm.traits({50}), 1, {}, millis{3'500}).refused_);
}

// Guards against crash evidence below the limit that the loss of all VMs forgets, and against a write to the
// store for each part of each request that waited at a crashed upstream.
TEST_CASE("a whole request is kept from its first crash on and a part from its second", "[crash-evidence]")
{
    evidence_player vm;
    auto const again = vm.traits({50, 60});
    auto const other = vm.traits({50, 70});
    auto const kept = [&](request_trait const& trait) {
        auto const found = vm.evidence_.records_.find(trait.hash_);
        return found != vm.evidence_.records_.end() && is_worth_keeping(found->second);
    };
    vm.crash({again, other}, 1, crash_weight::waiting);
    CHECK(kept(again[0]));
    CHECK(kept(other[0]));
    CHECK_FALSE(kept(again[1]));
    CHECK_FALSE(kept(again[2]));
    vm.crash({again}, 1, crash_weight::waiting);
    CHECK(kept(again[1]));
    CHECK(kept(again[2]));
    CHECK_FALSE(kept(other[2]));
    vm.answer(again);
    CHECK_FALSE(kept(again[0]));
    CHECK_FALSE(kept(again[1]));
    CHECK(kept(other[0]));
}
