#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace auburnchute {

/// \brief How a try on an upstream ended.
enum class try_result : std::uint8_t {
    answered,          ///< Whole answer received.
    not_sent,          ///< No byte was written: connection refused or cut before.
    refused,           ///< The upstream stated that it did not run the request.
    cut_before_answer, ///< The connection broke after the request was written, before the first byte of the
                       ///< answer.
    cut_in_answer,     ///< The connection broke within the answer.
    wrong_answer,      ///< The answer belongs to another request or is malformed.
};

/// \brief What a caller may be told about the run of its request.
enum class execution : std::uint8_t { not_run, ran, unknown };

/// \brief Limits retries to a part of the requests, so that they cannot multiply an overload. One for each
/// pool.
struct retry_budget {
    std::int64_t balance_{
        10'000};                 ///< Thousandths of a retry; full at first, as rarely used pools earn little.
    std::int64_t limit_{10'000}; ///< Ten retries at once at most.
    std::int64_t deposit_per_request_{100}; ///< Each first try earns a tenth of a retry.
};

inline constexpr int max_tries = 3;

/// \brief Sets a VM's part of a budget that all VMs share.
///
/// The parts add up to the fleet's budget: what all VMs may try again at once is `extra`, and each first try
/// earns `ratio` of a retry where it arrives. A part that shrinks loses what is above it.
/// \param ratio Retries for each first try. \param extra Retries at once, all VMs together.
/// \param vms VMs that may retry at the same time. \pre `vms > 0`. Thread safety: the caller owns the budget.
void set_vm_share(retry_budget& budget, double ratio, double extra, std::size_t vms) noexcept;

/// \brief Books a first try. Thread safety: the caller holds the budget's lock.
void deposit(retry_budget& budget) noexcept;

/// \brief Decides whether to try again, and takes the retry from the budget.
/// \returns False if the request is not repeatable (even if it did not run: its caller may repeat it), it was
/// answered, the tries or the budget are used up, or the deadline has come.
[[nodiscard]] bool acquire_retry(retry_budget& budget, try_result result, bool repeatable, int tries,
                                 millis now, millis deadline) noexcept;

/// \returns What the caller may be told after all tries. Thread safety: pure.
[[nodiscard]] execution execution_after(execution before, try_result result) noexcept;

} // namespace auburnchute
