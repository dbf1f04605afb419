#include "fleet_model.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace auburnchute;
using namespace auburnchute::test;

namespace {

struct cell_counts {
    int run_{};
    int passed_{};
    int struck_{}; ///< Cells in which every fault struck.
};

std::string describe(operation op, std::vector<strike> const& strikes)
{
    std::string text{operation_names[static_cast<std::size_t>(op)]};
    for (auto const& s : strikes) {
        text.append(", ").append(fault_names[static_cast<std::size_t>(s.fault_)]);
        text.append(" at step ").append(std::to_string(s.step_));
    }
    return text;
}

void run_cell(operation op, std::vector<strike> const& strikes, cell_counts& counts)
{
    fleet_model model{op, strikes};
    model.run();
    ++counts.run_;
    counts.struck_ += model.struck() == strikes.size() ? 1 : 0;
    if (model.violations().empty()) {
        ++counts.passed_;
        return;
    }
    UNSCOPED_INFO(describe(op, strikes) << ": " << model.violations().front());
}

/// The first steps, in which the operation itself runs.
constexpr int tested_steps = 14;
/// In pairs the second fault strikes some steps after the first.
constexpr int second_steps[] = {0, 1, 3};

/// The model has one thread, so the thread sanitizer, which makes it ten times slower, gets a part of the
/// cells.
#ifdef __SANITIZE_THREAD__
constexpr int stride = 7;
#else
constexpr int stride = 1;
#endif

void report(char const* kind, operation op, cell_counts const& counts)
{
    std::cout << "fault matrix, " << kind << ", " << operation_names[static_cast<std::size_t>(op)] << ": "
              << counts.run_ << " cells run, " << counts.passed_ << " passed, all faults struck in "
              << counts.struck_ << '\n';
    CHECK(counts.run_ > 0);
    CHECK(counts.passed_ == counts.run_);
    CHECK(counts.struck_ == counts.run_);
}

} // namespace

// Guards against a model in which nothing happens, so that its cells pass for no reason.
TEST_CASE("without faults each operation has its effect", "[fault_matrix]")
{
    auto const op = static_cast<operation>(GENERATE(range(0, static_cast<int>(operation_names.size()))));
    fleet_model model{op, {}};
    model.run();
    auto counts = model.counts();
    CAPTURE(operation_names[static_cast<std::size_t>(op)]);
    CHECK(model.violations().empty());
    CHECK(model.steps() > 20);
    CHECK(counts["loads"] >= (op == operation::drain ? 2 : 3)); // The drained upstream gets none.
    CHECK(counts["requests served"] > 0);
    CHECK(counts["requests refused"] > 0);
    CHECK(counts["purchases"] == (op == operation::purchase ? 1 : 0));
    CHECK(counts["voted out"] == 0);
}

// Guards against faults that have no effect in the model.
TEST_CASE("faults of the matrix take effect", "[fault_matrix]")
{
    auto const [what, effect] = GENERATE(table<fault, char const*>({
        {fault::frozen, "voted out"},
        {fault::cut_both_ways, "voted out"},
        {fault::poison, "crashes"},
    }));
    fleet_model model{operation::load, {{what, 3}}};
    model.run();
    auto counts = model.counts();
    CAPTURE(effect);
    CHECK(counts[effect] > 0);
}

// Guards against faults at any step of an operation that break a guarantee: each fault alone and twice.
TEMPLATE_TEST_CASE_SIG("single faults at every step",
                       "[fault_matrix][promise-1][promise-2][promise-4][promise-6][promise-9][promise-10]"
                       "[promise-11][promise-13]",
                       ((operation Op), Op), operation::load, operation::unload, operation::request,
                       operation::purchase, operation::configuration, operation::key_change, operation::drain,
                       operation::takeover)
{
    cell_counts counts;
    int number = 0;
    for (std::size_t f = 0; f < fault_names.size(); ++f) {
        for (int at = 1; at <= tested_steps; ++at) {
            if (number++ % stride == 0) {
                auto const what = static_cast<fault>(f);
                run_cell(Op, {{what, at}}, counts);
                run_cell(Op, {{what, at}, {what, at + 2}}, counts);
            }
        }
    }
    report("single and twice", Op, counts);
}

// As above, for pairs of different faults.
TEMPLATE_TEST_CASE_SIG("pairs of faults at every step",
                       "[fault_matrix][promise-1][promise-2][promise-4][promise-6][promise-9][promise-10]"
                       "[promise-11][promise-13]",
                       ((operation Op), Op), operation::load, operation::unload, operation::request,
                       operation::purchase, operation::configuration, operation::key_change, operation::drain,
                       operation::takeover)
{
    cell_counts counts;
    int number = 0;
    for (std::size_t f = 0; f < fault_names.size(); ++f) {
        for (std::size_t g = 0; g < fault_names.size(); ++g) {
            for (int at = 1; f != g && at <= tested_steps; at += 3) {
                for (auto const later : second_steps) {
                    if (number++ % stride == 0) {
                        run_cell(Op, {{static_cast<fault>(f), at}, {static_cast<fault>(g), at + later}},
                                 counts);
                    }
                }
            }
        }
    }
    report("pairs", Op, counts);
}
