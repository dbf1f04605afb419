#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace auburnchute {

/// \brief How one try of a request on an upstream ended.
enum class try_result : std::uint8_t {
    answered,          ///< The whole answer was received.
    not_sent,          ///< No byte was written: the connection was refused or broke before.
    refused,           ///< The upstream stated that it did not run the request.
    cut_before_answer, ///< The connection broke after the request was written, before the first byte of the
                       ///< answer.
    cut_in_answer,     ///< The connection broke within the answer.
    wrong_answer,      ///< The answer belongs to another request or is malformed.
    wrong_version,     ///< The answer is of another software version than the one that began it.
};

/// \brief What a caller may be told about the execution of its request.
enum class execution : std::uint8_t { not_run, ran, unknown };

/// \brief Token bucket that limits retries to a fraction of the requests, so that they cannot amplify an
/// overload. One for each pool or service.
struct retry_budget {
    /// Thousandths of a retry. Starts full, because the deposits of a rarely used pool would not allow a
    /// retry.
    std::int64_t balance_{10'000};
    std::int64_t limit_{10'000};            ///< Largest balance: ten retries at once.
    std::int64_t deposit_per_request_{100}; ///< Thousandths of a retry deposited for each first try.
};

/// \brief Most tries of one request, the first one included.
inline constexpr int max_tries = 3;

/// \brief Sets a VM's share of a retry budget of the whole fleet.
///
/// The fleet may retry `extra` requests at once, divided evenly among the VMs, but at least one per VM; each
/// first try deposits `ratio` of a retry at the VM where it arrives. Balance above a lowered limit is lost.
/// \param ratio Retries for each first try. \param extra Retries at once over all VMs.
/// \param vms VMs that may retry concurrently. \pre `vms > 0`. Thread safety: the caller synchronizes.
void set_vm_share(retry_budget& budget, double ratio, double extra, std::size_t vms) noexcept;

/// \brief Adds the deposit of one first try, up to the limit. Thread safety: the caller synchronizes.
void deposit(retry_budget& budget) noexcept;

/// \brief Withdraws one retry from the budget if the request may be retried. Thread safety: the caller
/// synchronizes.
/// \returns False, with nothing withdrawn, if the request was answered or is not repeatable (even if it did
/// not run: its caller may repeat it), if `tries` reaches `max_tries`, if the balance is below one retry, or
/// if the deadline has passed.
[[nodiscard]] bool acquire_retry(retry_budget& budget, try_result result, bool repeatable, int tries,
                                 millis now, millis deadline) noexcept;

/// \returns What the caller may be told after one more try: `ran` if any try ran, `not_run` only if all are
/// known not to have run. Thread safety: pure.
[[nodiscard]] execution execution_after(execution before, try_result result) noexcept;

} // namespace auburnchute
