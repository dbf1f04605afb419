#include <auburnchute/memory_budget.hpp>

#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

using namespace auburnchute;

namespace {

constexpr std::size_t unit = 1'000;

memory_limits limits_of(std::size_t share)
{
    memory_limits limits;
    limits.shares_.fill(share);
    limits.reserves_.fill(2 * unit);
    limits.spared_ = unit;
    return limits;
}

} // namespace

// Guards against callers that send large bodies and never end them, which take the room of those that do.
TEST_CASE("what has taken most memory for longest makes room first", "[memory]")
{
    struct row {
        char const* what_;
        std::vector<std::pair<std::size_t, int>> before_; ///< Units, and the millisecond at which each began.
        std::size_t wanted_;                              ///< Units of the last, which begins at 1,000.
        std::vector<std::size_t> given_up_;
        bool has_room_;
    };
    auto const r = GENERATE(
        row{"all fit", {{4, 0}, {4, 0}}, 2, {}, true},
        row{"the larger of the same age", {{4, 0}, {5, 0}}, 2, {1}, true},
        row{"the older of the same size", {{4, 900}, {4, 0}}, 3, {1}, true},
        row{"as many as it takes", {{3, 0}, {3, 0}, {3, 0}}, 6, {0, 1}, true},
        row{"what wants room, if it is the worst", {{4, 1'000}, {4, 1'000}}, 5, {}, false},
        row{"none for what never fits", {{4, 0}, {4, 0}}, 11, {}, false},
        row{"none that is spared", {{1, 0}, {1, 0}, {1, 0}}, 9, {}, false},
        row{"what is spared has room beside the share", {{5, 0}, {5, 0}}, 1, {}, true},
        row{"what is spared goes on to have room", {{5, 0}, {5, 0}, {1, 0}, {1, 0}}, 1, {0}, true},
        row{"the oldest of those that are spared",
            {{1, 5}, {1, 0}, {1, 5}, {1, 5}, {1, 5}, {1, 5}, {1, 5}, {1, 5}, {1, 5}, {1, 5}, {1, 5}, {1, 5}},
            1,
            {1},
            true});
    CAPTURE(r.what_);
    memory_budget budget{limits_of(10 * unit)};
    std::vector<std::size_t> given_up;
    std::vector<std::unique_ptr<memory_budget::holding>> all;
    for (std::size_t i = 0; i < r.before_.size(); ++i) {
        auto const [units, began] = r.before_[i];
        all.push_back(std::make_unique<memory_budget::holding>(budget, memory_purpose::reading, millis{began},
                                                               [&given_up, i] { given_up.push_back(i); }));
        REQUIRE(all.back()->grow_to(units * unit, millis{began}));
    }
    memory_budget::holding last{budget, memory_purpose::reading, millis{1'000}, [] { FAIL("asked itself"); }};
    CHECK(last.grow_to(r.wanted_ * unit, millis{1'000}) == r.has_room_);
    CHECK(given_up == r.given_up_);
    for (auto const i : r.given_up_) {
        CHECK(all[i]->given_up());
        CHECK_FALSE(all[i]->grow_to(1, millis{1'000}));
        CHECK_FALSE(all[i]->keep());
    }
    all.clear();
    CHECK(budget.held(memory_purpose::reading) == (r.has_room_ ? r.wanted_ * unit : 0));
}

// Guards against a crowd that shows no key and keeps a request out that may be served (issue 51).
TEST_CASE("what isn't known to be allowed makes room for what is", "[memory]")
{
    struct row {
        char const* what_;
        bool allowed_; ///< The one that wants room, which is the larger and the younger.
        bool other_allowed_;
        bool given_up_;
    };
    auto const r =
        GENERATE(row{"neither", false, false, false}, row{"the one that wants room", true, false, true},
                 row{"the other", false, true, false}, row{"both", true, true, false});
    CAPTURE(r.what_);
    memory_budget budget{limits_of(10 * unit)};
    bool given_up = false;
    memory_budget::holding other{budget, memory_purpose::reading, millis{900}, [&] { given_up = true; }};
    REQUIRE(other.grow_to(3 * unit, millis{900}));
    memory_budget::holding last{budget, memory_purpose::reading, millis{950}, [] { FAIL("asked itself"); }};
    if (r.other_allowed_) {
        other.note_allowed();
    }
    if (r.allowed_) {
        last.note_allowed();
    }
    CHECK(last.grow_to(8 * unit, millis{1'000}) == r.given_up_);
    CHECK(given_up == r.given_up_);
}

// Guards against a purpose that takes the room of another, and against whole requests that are dropped.
TEST_CASE("a purpose has its share, and what is kept is not given up", "[memory]")
{
    memory_budget budget{limits_of(10 * unit)};
    bool asked = false;
    memory_budget::holding whole{budget, memory_purpose::reading, millis{0}, [&asked] { asked = true; }};
    REQUIRE(whole.grow_to(8 * unit, millis{0}));
    REQUIRE(whole.move_to(memory_purpose::request, millis{0}));
    CHECK(whole.keep());
    CHECK(budget.held(memory_purpose::reading) == 0);
    CHECK(budget.held(memory_purpose::request) == 8 * unit);
    memory_budget::holding next{budget, memory_purpose::reading, millis{1}};
    CHECK(next.grow_to(8 * unit, millis{1}));
    CHECK_FALSE(next.move_to(memory_purpose::request, millis{2}));
    CHECK_FALSE(asked);
    CHECK(budget.held(memory_purpose::reading) == 8 * unit);
    CHECK(next.grow_to(unit, millis{2}));
    CHECK(next.move_to(memory_purpose::request, millis{2}));
}

// Guards against shares that add up to more than a machine has, or that a largest request does not fit in.
TEST_CASE("the shares leave the process its own part", "[memory]")
{
    constexpr std::size_t mb = std::size_t{1024} * 1024;
    auto const stated = GENERATE(std::size_t{0}, 120 * mb, 160 * mb, 260 * mb, 512 * mb);
    auto const all = stated == 0 ? default_process_bytes : stated;
    auto const limits = divide_memory(stated);
    std::size_t sum = 0;
    for (auto const share : limits.shares_) {
        sum += share;
        CHECK(share > 8 * mb); // two requests of the largest usual size, 4 MiB
    }
    for (auto const reserve : limits.reserves_) {
        sum += reserve;
    }
    CHECK(sum + own_process_bytes < all);
}

// Guards against many small holdings, each of which always had room: with as many connections as the
// descriptors allow they took more than a small machine has (issue 51).
TEST_CASE("small holdings together stay within the share and its reserve", "[memory]")
{
    constexpr std::size_t mb = std::size_t{1024} * 1024;
    auto const purpose = GENERATE(memory_purpose::reading, memory_purpose::request, memory_purpose::answer);
    auto const limits = divide_memory(120 * mb);
    memory_budget budget{limits};
    std::vector<std::unique_ptr<memory_budget::holding>> all;
    std::size_t refused = 0;
    for (int i = 0; i < 3'000; ++i) {
        auto give_up = purpose == memory_purpose::request ? std::function<void()>{} : [] {};
        all.push_back(
            std::make_unique<memory_budget::holding>(budget, purpose, millis{i}, std::move(give_up)));
        refused += all.back()->grow_to(spared_bytes, millis{i}) ? 0U : 1U;
    }
    CHECK(budget.held(purpose) <= limits.bound(purpose, spared_bytes));
    CHECK(budget.held(purpose) > limits.share(purpose));
    // A whole request isn't given up for the next one.
    CHECK((refused > 0) == (purpose == memory_purpose::request));
}

// Guards against connections that take the descriptors which requests need, and against a bound that ordinary
// callers meet: 3,000 at once on a machine of 260 MB and 4,100 descriptors.
TEST_CASE("callers' connections have their part of memory and descriptors", "[memory]")
{
    constexpr std::size_t mb = std::size_t{1024} * 1024;
    struct row {
        std::size_t memory_;
        std::size_t descriptors_;
        std::size_t least_;
        std::size_t most_;
    };
    auto const r = GENERATE(row{260 * mb, 4'100, 3'000, 3'900}, row{260 * mb, 0, 3'000, 5'000},
                            row{120 * mb, 4'100, 1'000, 2'000}, row{120 * mb, 400, 100, 200},
                            row{260 * mb, 401, 100, 200}, row{260 * mb, 8, 1, 4});
    CAPTURE(r.memory_, r.descriptors_);
    auto const limit = connection_limit(divide_memory(r.memory_), r.descriptors_);
    CHECK(limit >= r.least_);
    CHECK(limit <= r.most_);
}

// Guards against the account of a process whose threads hold and give up at once.
TEST_CASE("an account that several threads use ends where it began", "[memory]")
{
    memory_budget budget{limits_of(10 * unit)};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&budget] {
            for (int round = 0; round < 2'000; ++round) {
                memory_budget::holding mine{budget, memory_purpose::answer, millis{round}, [] {}};
                (void)(mine.grow_to(4 * unit, millis{round}) && mine.grow_to(5 * unit, millis{round}) &&
                       mine.keep());
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(budget.held(memory_purpose::answer) == 0);
}
