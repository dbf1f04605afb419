#include "transport/entry/limit_keeper.hpp"

#include "protocol/decision_log.hpp"

#include <cmath>
#include <string>

namespace auburnchute {

namespace {

constexpr int too_many_requests = 429;

/// Between two lines about a workspace's order.
constexpr millis order_log_period{1'000};

std::string class_name(std::size_t of)
{
    return of == 0 ? "small" : "urgency-" + std::to_string(of - 1);
}

std::int64_t rounded(double value)
{
    return std::llround(value);
}

void log_order(forward_job const& job, workspace_use& use, limit_verdict const& verdict, millis now)
{
    if (!verdict.ordered_ || now - use.order_logged_at_ < order_log_period) {
        return;
    }
    use.order_logged_at_ = now;
    log_decision("limit-order", {{"workspace", job.workspace_->name_},
                                 {"rate", rounded(use.bucket_.rate_)},
                                 {"demand", rounded(verdict.demand_)},
                                 {"level", rounded(use.bucket_.level_)},
                                 {"class", class_name(verdict.class_)},
                                 {"part_percent", rounded(verdict.part_.fraction_ * 100)},
                                 {"reserved", rounded(verdict.part_.reserved_)},
                                 {"kept", rounded(verdict.part_.kept_)}});
}

} // namespace

std::optional<own_answer> charge_in_order(entry_node& node, forward_job& job, workspace_use& use,
                                          bucket_request const& wanted, millis now)
{
    // The workspace's own priority is the same for all its requests.
    auto const verdict = spend_in_order(use.order_, use.bucket_, wanted, job.route_->priority_, now);
    log_order(job, use, verdict, now);
    if (verdict.admitted_) {
        job.charged_ = wanted.units_;
        use.used_ += static_cast<std::int64_t>(wanted.units_);
        return std::nullopt;
    }
    node.counters_.count("auburnchute_limited_requests_total", class_name(verdict.class_));
    log_failure("rate-limited", {{"id", job.call_.request_id_},
                                 {"workspace", job.workspace_->name_},
                                 {"units", rounded(wanted.units_)},
                                 {"level", rounded(use.bucket_.level_)},
                                 {"rate", rounded(use.bucket_.rate_)},
                                 {"heard_percent", rounded(wanted.visibility_.share_ * 100)},
                                 {"class", class_name(verdict.class_)},
                                 {"part_percent", rounded(verdict.part_.fraction_ * 100)},
                                 {"retry_ms", verdict.retry_after_.count_}});
    return own_answer{too_many_requests, "rate-limited", verdict.retry_after_};
}

} // namespace auburnchute
