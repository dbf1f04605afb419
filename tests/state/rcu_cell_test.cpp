#include <auburnchute/rcu_cell.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace auburnchute;

namespace {

std::atomic<int> alive{0};

/// All elements are equal, and zero after destruction; a reader that sees different elements or zero has read
/// a freed value.
struct checked_value {
    explicit checked_value(std::uint64_t n)
    {
        numbers_.fill(n);
        ++alive;
    }
    checked_value(checked_value const&) = delete;
    checked_value& operator=(checked_value const&) = delete;
    ~checked_value()
    {
        numbers_.fill(0);
        --alive;
    }

    std::array<std::uint64_t, 64> numbers_{};
};

} // namespace

// Guards against a value that is freed while a reader uses it, and against a reader that sees an older value
// after a newer one. The thread and address sanitizers run this test too.
TEST_CASE("concurrent readers see complete values in the order of publication", "[rcu_cell]")
{
    auto const readers = GENERATE(1, 2, 6);
    constexpr std::uint64_t rounds = 400;
    rcu_cell<checked_value> cell{std::make_unique<checked_value const>(1)};
    std::atomic<bool> done{false};
    std::atomic<int> faults{0};
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < readers; ++i) {
            threads.emplace_back([&] {
                std::uint64_t last = 0;
                while (!done) {
                    auto const seen = cell.read([&faults](checked_value const& value) {
                        for (auto const n : value.numbers_) {
                            faults += n != value.numbers_[0] ? 1 : 0;
                        }
                        return value.numbers_[0];
                    });
                    faults += seen < last || seen == 0 ? 1 : 0;
                    last = seen;
                }
            });
        }
        for (std::uint64_t n = 2; n <= rounds; ++n) {
            cell.publish(std::make_unique<checked_value const>(n));
            faults += alive != 1 ? 1 : 0;
        }
        done = true;
    }
    CHECK(faults == 0);
    CHECK(cell.read([](checked_value const& value) { return value.numbers_[63]; }) == rounds);
}

// Guards against a read section that is not left after an exception, which would block every later `publish`.
TEST_CASE("an exception in a reader ends its read section", "[rcu_cell]")
{
    {
        rcu_cell<checked_value> cell{std::make_unique<checked_value const>(7)};
        CHECK_THROWS_AS(
            cell.read([](checked_value const&) -> int { throw std::runtime_error{"reader failed"}; }),
            std::runtime_error);
        cell.publish(std::make_unique<checked_value const>(8));
        CHECK(cell.read([](checked_value const& value) { return value.numbers_[0]; }) == 8);
    }
    CHECK(alive == 0);
}

// Guards against an outer read section that ends with the inner one, so that its value is freed while in use.
TEST_CASE("read sections nest", "[rcu_cell]")
{
    rcu_cell<checked_value> cell{std::make_unique<checked_value const>(3)};
    std::atomic<bool> published{false};
    std::jthread writer;
    auto const seen = cell.read([&](checked_value const& outer) {
        auto const inner = cell.read([](checked_value const& value) { return value.numbers_[0]; });
        writer = std::jthread{[&] {
            cell.publish(std::make_unique<checked_value const>(4));
            published = true;
        }};
        while (cell.read([](checked_value const& value) { return value.numbers_[0]; }) == inner) {
            std::this_thread::yield();
        }
        bool const kept = !published && outer.numbers_[0] == inner;
        return kept ? inner : 0;
    });
    CHECK(seen == 3);
}
