#include <auburnchute/answer_ledger.hpp>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace auburnchute;

// Guards against a sound answer that is given up while another takes the memory.
TEST_CASE("the largest unfinished answer is given up when all take too much", "[entry]")
{
    constexpr std::size_t unit = spared_answer_bytes;
    struct row {
        char const* what_;
        std::vector<std::size_t> bytes_; ///< Of the answers, in the order in which they are read.
        int finished_;                   ///< Index of an answer that is whole; below 0: none.
        int given_up_;                   ///< Index of the answer that is given up; below 0: none.
    };
    auto const r = GENERATE(row{"all fit", {4 * unit, 6 * unit}, -1, -1},
                            row{"the largest, though it came first", {6 * unit, 5 * unit}, -1, 0},
                            row{"the largest, which came last", {2 * unit, 9 * unit}, -1, 1},
                            row{"none that is whole", {6 * unit, 5 * unit}, 0, 1},
                            row{"none that is small",
                                {unit, unit, unit, unit, unit, unit, unit, unit, unit, unit, unit},
                                -1,
                                -1});
    CAPTURE(r.what_);
    answer_ledger ledger{10 * unit};
    std::vector<int> given_up;
    std::vector<std::unique_ptr<answer_ledger::entry>> entries;
    std::size_t left = 0;
    for (int i = 0; i < static_cast<int>(r.bytes_.size()); ++i) {
        entries.push_back(
            std::make_unique<answer_ledger::entry>(ledger, [&given_up, i] { given_up.push_back(i); }));
        entries.back()->hold(r.bytes_[static_cast<std::size_t>(i)]);
        if (i == r.finished_) {
            CHECK(entries.back()->finish());
        }
        left += i == r.given_up_ ? 0 : r.bytes_[static_cast<std::size_t>(i)];
    }
    CHECK(given_up == (r.given_up_ < 0 ? std::vector<int>{} : std::vector{r.given_up_}));
    CHECK(ledger.held() == left);
    for (int i = 0; i < static_cast<int>(entries.size()); ++i) {
        CHECK(entries[static_cast<std::size_t>(i)]->finish() == (i != r.given_up_));
    }
    entries.clear();
    CHECK(ledger.held() == 0);
}
