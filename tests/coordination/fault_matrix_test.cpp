#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace auburnchute;
using namespace auburnchute::test;

namespace {

struct combination_counts {
    int run_{};
    int passed_{};
    int injected_{}; ///< Combinations in which every fault was injected.
};

std::string describe(operation op, std::vector<fault_injection> const& injections)
{
    std::string text{operation_names[static_cast<std::size_t>(op)]};
    for (auto const& s : injections) {
        text.append(", ").append(fault_names[static_cast<std::size_t>(s.fault_)]);
        text.append(" at step ").append(std::to_string(s.step_));
    }
    return text;
}

void run_combination(operation op, std::vector<fault_injection> const& injections, combination_counts& counts)
{
    fleet_simulation sim{op, injections};
    sim.run();
    ++counts.run_;
    counts.injected_ += sim.injected() == injections.size() ? 1 : 0;
    if (sim.violations().empty()) {
        ++counts.passed_;
        return;
    }
    UNSCOPED_INFO(describe(op, injections) << ": " << sim.violations().front());
}

/// Faults are injected from step 1 up to this step, during which the operation itself runs.
constexpr int max_first_step = 14;
/// Steps from the first fault of a pair to the second one.
constexpr int second_fault_offsets[] = {0, 1, 3};

/// Every n-th combination is run. The simulation has one thread, so the thread sanitizer, under which it is
/// ten times slower, runs only a part of the combinations.
#ifdef __SANITIZE_THREAD__
constexpr int combination_stride = 7;
#else
constexpr int combination_stride = 1;
#endif

void report(char const* kind, operation op, combination_counts const& counts)
{
    std::cout << "fault matrix, " << kind << ", " << operation_names[static_cast<std::size_t>(op)] << ": "
              << counts.run_ << " combinations run, " << counts.passed_ << " passed, all faults injected in "
              << counts.injected_ << '\n';
    CHECK(counts.run_ > 0);
    CHECK(counts.passed_ == counts.run_);
    CHECK(counts.injected_ == counts.run_);
}

} // namespace

// Guards against a simulation in which nothing happens, so that no check can fail.
TEST_CASE("without faults each operation has its effect", "[fault_matrix]")
{
    auto const op = static_cast<operation>(GENERATE(range(0, static_cast<int>(operation_names.size()))));
    fleet_simulation sim{op, {}};
    sim.run();
    auto counts = sim.counts();
    CAPTURE(operation_names[static_cast<std::size_t>(op)]);
    CHECK(sim.violations().empty());
    CHECK(sim.steps() > 20);
    CHECK(counts["loads"] >= (op == operation::drain ? 2 : 3)); // No load is sent to the drained upstream.
    CHECK(counts["requests served"] > 0);
    CHECK(counts["requests refused"] > 0);
    CHECK(counts["purchases"] == (op == operation::purchase ? 1 : 0));
    CHECK(counts["voted out"] == 0);
}

// Guards against injected faults that have no effect in the simulation.
TEST_CASE("injected faults take effect", "[fault_matrix]")
{
    auto const [what, effect] = GENERATE(table<fault, char const*>({
        {fault::paused, "voted out"},
        {fault::partition, "voted out"},
        {fault::poison, "crashes"},
    }));
    fleet_simulation sim{operation::load, {{what, 3}}};
    sim.run();
    auto counts = sim.counts();
    CAPTURE(effect);
    CHECK(counts[effect] > 0);
}

// Guards against guarantees broken by a fault at any step of an operation, injected once or twice.
TEMPLATE_TEST_CASE_SIG("a fault at any step of an operation breaks no guarantee",
                       "[fault_matrix][promise-1][promise-2][promise-4][promise-6][promise-9][promise-10]"
                       "[promise-11][promise-13]",
                       ((operation Op), Op), operation::load, operation::unload, operation::request,
                       operation::purchase, operation::configuration, operation::key_change, operation::drain,
                       operation::takeover)
{
    combination_counts counts;
    int number = 0;
    for (std::size_t f = 0; f < fault_names.size(); ++f) {
        for (int at = 1; at <= max_first_step; ++at) {
            if (number++ % combination_stride == 0) {
                auto const what = static_cast<fault>(f);
                run_combination(Op, {{what, at}}, counts);
                run_combination(Op, {{what, at}, {what, at + 2}}, counts);
            }
        }
    }
    report("single and twice", Op, counts);
}

// Guards against guarantees broken by two different faults during one operation.
TEMPLATE_TEST_CASE_SIG("two different faults during an operation break no guarantee",
                       "[fault_matrix][promise-1][promise-2][promise-4][promise-6][promise-9][promise-10]"
                       "[promise-11][promise-13]",
                       ((operation Op), Op), operation::load, operation::unload, operation::request,
                       operation::purchase, operation::configuration, operation::key_change, operation::drain,
                       operation::takeover)
{
    combination_counts counts;
    int number = 0;
    for (std::size_t f = 0; f < fault_names.size(); ++f) {
        for (std::size_t g = 0; g < fault_names.size(); ++g) {
            for (int at = 1; f != g && at <= max_first_step; at += 3) {
                for (auto const later : second_fault_offsets) {
                    if (number++ % combination_stride == 0) {
                        run_combination(
                            Op, {{static_cast<fault>(f), at}, {static_cast<fault>(g), at + later}}, counts);
                    }
                }
            }
        }
    }
    report("pairs", Op, counts);
}
