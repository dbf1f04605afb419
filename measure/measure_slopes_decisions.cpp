// Measures processor time and memory of the decision functions against members, upstreams, workspaces and
// waiting requests.
#include <auburnchute/admission.hpp>
#include <auburnchute/rate_share.hpp>
#include <auburnchute/rendezvous.hpp>
#include <auburnchute/retry.hpp>
#include <auburnchute/routing.hpp>

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace auburnchute;

volatile std::uint64_t sink;

double processor_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

/// \returns Microseconds of one call, over at least 0.1 s.
template <typename Call>
double microseconds(Call call)
{
    std::uint64_t calls = 0;
    std::uint64_t batch = 1;
    auto const start = processor_seconds();
    double spent = 0;
    while (spent < 0.1) {
        for (std::uint64_t i = 0; i < batch; ++i) {
            call(calls + i);
        }
        calls += batch;
        batch *= 2;
        spent = processor_seconds() - start;
    }
    return spent / static_cast<double>(calls) * 1e6;
}

/// \returns Bytes on the heap that `make` leaves in use.
template <typename Make>
std::size_t heap_bytes(Make make)
{
    auto const before = mallinfo2().uordblks;
    auto const kept = make();
    auto const after = mallinfo2().uordblks;
    sink = kept.size();
    return after - before;
}

std::vector<member_id> make_members(std::size_t count)
{
    std::vector<member_id> members;
    members.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({"entry-zone-a-" + std::to_string(i), i});
    }
    return members;
}

rate_bucket make_bucket(std::size_t peers)
{
    rate_bucket bucket;
    set_limits(bucket, 100'000, 1'000'000, {});
    begin_version(bucket, 1, total_share_units / 9, {});
    for (auto const& peer : make_members(peers)) {
        receive_loan(bucket, peer, {1, 10, 0}, {});
    }
    return bucket;
}

wait_queue make_queue(std::size_t waiting, std::size_t workspaces)
{
    wait_queue queue;
    queue.limit_ = 4 * waiting + 16;
    queue.waiting_.reserve(waiting + 1);
    for (std::size_t i = 0; i < waiting; ++i) {
        queue.waiting_.push_back({i,
                                  "workspace-" + std::to_string(i % workspaces),
                                  1,
                                  "model-a:adapter-b",
                                  priority::normal,
                                  1'000,
                                  {0},
                                  {1'000'000'000}});
    }
    return queue;
}

} // namespace

int main()
{
    std::puts("# Slopes of the decision functions\n");
    std::puts("Command: `build/measure_slopes_decisions`. Processor time of one call on this machine, over "
              "at least "
              "0.1 s of calls; heap bytes from the allocator. No random input but fixed names and hashes.\n");

    std::puts("## Members\n");
    std::puts("| members | preferred_members, 9 of them, µs | bytes for the list |");
    std::puts("|---|---|---|");
    for (std::size_t const count : {9U, 120U, 1'200U, 12'000U}) {
        auto const members = make_members(count);
        auto const time = microseconds([&](std::uint64_t n) {
            sink = preferred_members("pool-" + std::to_string(n % 64), members, 9).size();
        });
        std::printf("| %zu | %.2f | %zu |\n", count, time, heap_bytes([&] { return make_members(count); }));
    }

    std::puts("\n## Peers with loans\n");
    std::puts("| peers | refill, reserve, produce and release, µs | lend, µs | bytes for a bucket |");
    std::puts("|---|---|---|---|");
    for (std::size_t const count : {0U, 8U, 80U, 800U}) {
        auto bucket = make_bucket(count);
        auto const time = microseconds([&](std::uint64_t n) {
            millis const now{static_cast<std::int64_t>(n)};
            if (reserve(bucket, 10, now)) {
                produce(bucket, 5, now);
                release(bucket, 5, now);
            }
        });
        auto lender = make_bucket(count);
        member_id const borrower{"entry-zone-a-0", 0};
        auto const lend_time = microseconds([&](std::uint64_t n) {
            sink = static_cast<std::uint64_t>(
                lend(lender, borrower, 1, 0, {static_cast<std::int64_t>(n)}).total_lent_);
        });
        std::printf("| %zu | %.3f | %.3f | %zu |\n", count, time, lend_time,
                    sizeof(rate_bucket) + heap_bytes([&] { return make_bucket(count).loans_; }));
    }

    std::puts("\n## Workspaces (one bucket each with 8 peers)\n");
    std::puts("| workspaces | refill and idle_units of all, µs | bytes for all |");
    std::puts("|---|---|---|");
    for (std::size_t const count : {5U, 50U, 500U, 5'000U}) {
        std::vector<rate_bucket> buckets(count, make_bucket(8));
        auto const time = microseconds([&](std::uint64_t n) {
            std::int64_t idle = 0;
            for (auto& bucket : buckets) {
                refill(bucket, {static_cast<std::int64_t>(n) * 500});
                idle += idle_units(bucket);
            }
            sink = static_cast<std::uint64_t>(idle);
        });
        std::printf("| %zu | %.2f | %zu |\n", count, time,
                    heap_bytes([&] { return std::vector<rate_bucket>(count, make_bucket(8)); }));
    }

    std::puts("\n## Upstreams that hold a model\n");
    std::puts("| upstreams | pick_upstream, µs | bytes for the candidates |");
    std::puts("|---|---|---|");
    for (std::size_t const count : {3U, 12U, 120U, 1'200U, 10'000U}) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("gpu-zone-a-" + std::to_string(i));
        }
        std::vector<routing_candidate> candidates;
        candidates.reserve(count);
        for (auto const& name : names) {
            candidates.push_back({name, "zone-a", static_cast<std::int64_t>(name.size() % 5), 0, 8});
        }
        auto const time = microseconds([&](std::uint64_t n) {
            routing_request request;
            request.prefix_hash_ = n * 7;
            request.request_hash_ = n;
            request.availability_zone_ = "zone-a";
            sink = pick_upstream(candidates, request).value_or(0);
        });
        std::printf("| %zu | %.2f | %zu |\n", count, time, count * sizeof(routing_candidate));
    }

    std::puts("\n## Waiting requests\n");
    std::puts(
        "| waiting | workspaces | take_next and enqueue, µs | next_deadline, µs | bytes for the queue |");
    std::puts("|---|---|---|---|---|");
    for (std::size_t const workspaces : {5U, 50U, 500U}) {
        for (std::size_t const waiting : {16U, 256U, 4'096U}) {
            auto queue = make_queue(waiting, workspaces);
            auto const time = microseconds([&](std::uint64_t n) {
                millis const now{static_cast<std::int64_t>(n % 1'000)};
                auto taken = take_next(queue, "model-a:adapter-b", now);
                if (taken) {
                    sink = static_cast<std::uint64_t>(enqueue(queue, std::move(*taken), {{}, 1'000.0}, now));
                }
            });
            auto const deadline_time = microseconds([&](std::uint64_t) {
                sink = static_cast<std::uint64_t>(next_deadline(queue).value_or(millis{}).count_);
            });
            std::printf("| %zu | %zu | %.2f | %.2f | %zu |\n", waiting, workspaces, time, deadline_time,
                        heap_bytes([&] { return make_queue(waiting, workspaces).waiting_; }));
        }
    }
    retry_budget budget;
    auto const retry_time = microseconds([&](std::uint64_t) {
        deposit(budget);
        sink = acquire_retry(budget, try_result::not_sent, true, 1, {0}, {1}) ? 1 : 0;
    });
    std::printf("\n`deposit` and `acquire_retry`: %.4f µs, %zu bytes for a pool.\n", retry_time,
                sizeof(retry_budget));
}
