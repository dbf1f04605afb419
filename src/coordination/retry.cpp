#include <auburnchute/retry.hpp>

#include <algorithm>

namespace auburnchute {

namespace {

constexpr std::int64_t thousandths_per_retry = 1'000;

execution execution_of(try_result result) noexcept
{
    switch (result) {
    case try_result::not_sent:
    case try_result::refused:
        return execution::not_run;
    case try_result::answered:
    case try_result::cut_in_answer:
        return execution::ran;
    case try_result::cut_before_answer:
    case try_result::wrong_answer:
    case try_result::wrong_version:
        break;
    }
    return execution::unknown;
}

} // namespace

void set_vm_share(retry_budget& budget, double ratio, double extra, std::size_t vms) noexcept
{
    auto const thousandths = [](double retries) {
        return static_cast<std::int64_t>(std::max(0.0, retries) * static_cast<double>(thousandths_per_retry));
    };
    // The limit is at least one whole retry; a VM of a large fleet with a smaller share could never retry.
    budget.limit_ = std::max(thousandths_per_retry, thousandths(extra / static_cast<double>(vms)));
    budget.deposit_per_request_ = thousandths(ratio);
    budget.balance_ = std::min(budget.balance_, budget.limit_);
}

void deposit(retry_budget& budget) noexcept
{
    budget.balance_ = std::min(budget.limit_, budget.balance_ + budget.deposit_per_request_);
}

bool acquire_retry(retry_budget& budget, try_result result, bool repeatable, int tries, millis now,
                   millis deadline) noexcept
{
    if (result == try_result::answered || !repeatable || tries >= max_tries || now >= deadline ||
        budget.balance_ < thousandths_per_retry) {
        return false;
    }
    budget.balance_ -= thousandths_per_retry;
    return true;
}

execution execution_after(execution before, try_result result) noexcept
{
    auto const latest = execution_of(result);
    if (before == execution::ran || latest == execution::ran) {
        return execution::ran;
    }
    return before == execution::unknown ? before : latest;
}

} // namespace auburnchute
