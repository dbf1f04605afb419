#include "protocol/metrics.hpp"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <shared_mutex>
#include <sstream>
#include <vector>

namespace auburnchute {

namespace {

namespace bh = boost::histogram;

struct description {
    std::string_view name_;
    std::string_view label_;
    std::string_view help_;
};

// The families that the daemon uses; docs/OPERATING.md lists them with their alarms.
constexpr std::array descriptions{
    description{"auburnchute_requests_total", "outcome", "Requests that ended, by outcome."},
    description{"auburnchute_retries_total", "pool", "Requests that were tried again on another upstream."},
    description{"auburnchute_wait_ms", "pool", "Time spent in the pool's queue, in milliseconds."},
    description{"auburnchute_first_answer_ms", "route",
                "Time from arrival to the first part of the answer, in milliseconds."},
    description{"auburnchute_load_ms", "kind", "Duration of loads that this VM ordered, in milliseconds."},
    description{"auburnchute_upstream_crashes_total", "upstream",
                "Deaths of upstreams while requests of this VM ran on them."},
    description{"auburnchute_report_errors_total", "upstream", "Load reports that could not be read."},
    description{"auburnchute_vm_list_errors_total", "", "Failed reads of the VM list."},
    description{"auburnchute_log_read_errors_total", "", "Failed reads of the log."},
    description{"auburnchute_log_appends_total", "result", "Appends to the log, by result."},
    description{"auburnchute_log_malformed_total", "",
                "Log entries that could not be decoded and were left out."},
    description{"auburnchute_records_folded_total", "", "Records folded into the state."},
    description{"auburnchute_records_fetched_from_peers_total", "",
                "Records that a peer passed on because this VM could not read the log."},
    description{"auburnchute_proposals_rejected_total", "kind", "Own records that the fold rejected."},
    description{"auburnchute_heartbeats_total", "result", "Heartbeats to peers, by result."},
    description{"auburnchute_loans_asked_total", "", "Times this VM asked a peer for a part of its share."},
    description{"auburnchute_loans_given_total", "", "Times this VM lent a peer a part of its share."},
    description{"auburnchute_control_bytes_total", "kind", "Bytes spent on the log and on heartbeats."},
    description{"auburnchute_held_bytes", "purpose", "Memory that requests and answers take, by purpose."},
    description{"auburnchute_unread_requests_total", "status",
                "Requests that were refused by their size or for lack of memory, by status."},
    description{"auburnchute_crowded_connections_total", "",
                "Connections that found no thread free and waited or were refused."},
    description{"auburnchute_open_requests", "", "Requests that are being answered."},
    description{"auburnchute_log_age_ms", "", "Milliseconds since the log was known to be read to its tail."},
    description{"auburnchute_members", "", "Live entry VMs."},
    description{"auburnchute_replicas", "", "Replicas that are decided, loaded or being unloaded."},
    description{"auburnchute_waiting", "pool", "Requests that wait at this VM."},
    description{"auburnchute_spans_dropped", "", "Spans that were lost."},
    description{"auburnchute_refusals_total", "reason",
                "Answers of the system's own in place of an upstream's."},
    description{"auburnchute_limited_requests_total", "class",
                "Requests beyond their workspace's limit, under contested load; small, or by urgency."},
    description{"auburnchute_yielded_requests_total", "",
                "Requests that left room to others that had waited for it."},
    description{"auburnchute_stray_answers_total", "",
                "Answers of upstreams to other requests that were skipped."},
    description{"auburnchute_answers_given_up_total", "",
                "Unfinished answers that were given up as all answers together took too much memory."},
    description{"auburnchute_requests_given_up_total", "",
                "Requests that made room for others while they were being read."},
    description{"auburnchute_no_room_total", "purpose", "Requests that found no room in memory."},
    description{"auburnchute_work_turns_total", "",
                "Times that a connection which is costly to read waited for its turn."},
    description{"auburnchute_connections_closed_total", "how",
                "Callers' connections that were closed as there were too many."},
    description{"auburnchute_held_bytes", "purpose", "Memory that requests and answers take."},
    description{"auburnchute_streams_taken_up_total", "outcome",
                "Requests that take a stream up, by outcome; own-answer: refused."},
    description{"auburnchute_version_plans", "", "Services whose software versions this VM has a plan for."},
    description{"auburnchute_config_complete", "",
                "0 while only the keys of the newest configuration, or nothing of it, could be read."},
    description{"auburnchute_unreadable_entries_total", "", "Entries of upstreams that could not be read."},
    description{"auburnchute_store_changes_total", "state",
                "Times that the platform's store was lost or regained."},
    description{"auburnchute_store_era", "",
                "Era of the platform's store; rises when it comes back from an older copy."},
    description{"auburnchute_orders_total", "step",
                "Orders to engines that were accepted, by step; `refused`: the others."},
    description{"auburnchute_peer_messages_total", "result",
                "Messages between entry daemons, by what became of them."},
    description{"auburnchute_peer_bytes_total", "direction", "Bytes of messages between entry daemons."},
    description{"auburnchute_crashed_requests_total", "answer",
                "Requests whose upstream crashed, by whether their answer had begun."},
    description{"auburnchute_blocked_traits", "", "Prompt parts and whole requests that are refused."},
    description{"auburnchute_upstream_paces", "", "Upstreams whose pace limits their requests at this VM."},
    description{"auburnchute_upstream_pace_total", "event", "Paces begun, by cause, and ended."},
    description{"auburnchute_crash_records", "", "Records of crash evidence that this VM holds."},
    description{"auburnchute_relays", "", "Whether this VM passes on what other VMs tell."},
    description{"auburnchute_first_event_ms", "route",
                "Time from arrival to the first event of a stream, in milliseconds."},
    description{"auburnchute_request_ms", "route",
                "Time from arrival to the end of a request, in milliseconds."},
};

description describe(std::string_view name)
{
    for (auto const& known : descriptions) {
        if (known.name_ == name) {
            return known;
        }
    }
    return {name, "label", "No description."};
}

// From the 5 ms of an adapter load to the ten minutes after which every deadline has passed.
constexpr std::array<double, 17> bounds{-1,    5,     10,     20,     50,     100,    200,     500,    1'000,
                                        2'000, 5'000, 10'000, 20'000, 30'000, 60'000, 120'000, 600'000};

using duration_axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using duration_histogram =
    bh::histogram<std::tuple<duration_axis>, bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>>;

constexpr std::string_view overflow_label = "other";

} // namespace

enum class family_kind : std::uint8_t { counter, gauge, histogram };

struct metric_cell {
    std::atomic<std::int64_t> count_{0}; ///< Of a counter; of a histogram the sum of its values.
    std::atomic<double> gauge_{0};
    std::unique_ptr<duration_histogram> histogram_;
};

struct family {
    family_kind kind_{family_kind::counter};
    std::map<std::string, metric_cell, std::less<>> cells_;
};

struct metrics::registry {
    mutable std::shared_mutex mutex_;
    std::map<std::string, family, std::less<>> families_;

    /// Calls `use` with the cell; the map's nodes never move or leave, so the cell stays valid under the
    /// lock.
    template <typename Use>
    void with_cell(family_kind kind, std::string_view name, std::string_view label, Use&& use)
    {
        {
            std::shared_lock const lock{mutex_};
            if (auto* const cell = find(kind, name, label)) {
                use(*cell);
                return;
            }
        }
        std::unique_lock const lock{mutex_};
        if (auto* const cell = make(kind, name, label)) {
            use(*cell);
        }
    }

    metric_cell* find(family_kind kind, std::string_view name, std::string_view label)
    {
        auto const it = families_.find(name);
        if (it == families_.end() || it->second.kind_ != kind) {
            return nullptr;
        }
        auto& cells = it->second.cells_;
        auto cell = cells.find(label);
        if (cell == cells.end() && cells.size() > max_label_values) {
            cell = cells.find(overflow_label);
        }
        return cell == cells.end() ? nullptr : &cell->second;
    }

    /// Null if the family is of another kind; such a value is dropped, as it cannot be shown.
    metric_cell* make(family_kind kind, std::string_view name, std::string_view label)
    {
        auto it = families_.find(name);
        if (it == families_.end()) {
            it = families_.try_emplace(std::string{name}).first;
            it->second.kind_ = kind;
        }
        if (it->second.kind_ != kind) {
            return nullptr;
        }
        auto& cells = it->second.cells_;
        bool const full = cells.size() >= max_label_values && cells.find(label) == cells.end();
        auto& cell = cells[std::string{full ? overflow_label : label}];
        if (kind == family_kind::histogram && !cell.histogram_) {
            cell.histogram_ = std::make_unique<duration_histogram>(
                std::make_tuple(duration_axis(bounds.begin(), bounds.end())));
        }
        return &cell;
    }
};

namespace {

prometheus::ClientMetric::Histogram show_histogram(metric_cell const& cell)
{
    prometheus::ClientMetric::Histogram shown;
    std::uint64_t total = 0;
    for (auto const& bin : bh::indexed(*cell.histogram_, bh::coverage::all)) {
        total += *bin;
        // The last bin is the overflow and has an infinite upper bound.
        shown.bucket.push_back({total, bin.bin().upper()});
    }
    shown.sample_count = total;
    shown.sample_sum = static_cast<double>(cell.count_.load());
    return shown;
}

/// Only ASCII without control characters is shown, because a label may come from a request.
std::string printable(std::string_view label)
{
    std::string shown{label};
    for (auto& c : shown) {
        c = c < ' ' || c == 0x7f ? '?' : c;
    }
    return shown;
}

prometheus::MetricFamily show(std::string const& name, family const& shown)
{
    auto const known = describe(name);
    prometheus::MetricFamily out;
    out.name = name;
    out.help = known.help_;
    switch (shown.kind_) {
    case family_kind::counter:
        out.type = prometheus::MetricType::Counter;
        break;
    case family_kind::gauge:
        out.type = prometheus::MetricType::Gauge;
        break;
    case family_kind::histogram:
        out.type = prometheus::MetricType::Histogram;
        break;
    }
    for (auto const& [label, cell] : shown.cells_) {
        prometheus::ClientMetric metric;
        if (!label.empty()) {
            metric.label.push_back(
                {std::string{known.label_.empty() ? "label" : known.label_}, printable(label)});
        }
        if (shown.kind_ == family_kind::counter) {
            metric.counter.value = static_cast<double>(cell.count_.load());
        } else if (shown.kind_ == family_kind::gauge) {
            metric.gauge.value = cell.gauge_.load();
        } else {
            metric.histogram = show_histogram(cell);
        }
        out.metric.push_back(std::move(metric));
    }
    return out;
}

} // namespace

metrics::metrics() : registry_{std::make_unique<registry>()} {}

metrics::~metrics() = default;

void metrics::count(std::string_view name, std::string_view label, std::int64_t n)
{
    registry_->with_cell(family_kind::counter, name, label,
                         [n](metric_cell& cell) { cell.count_.fetch_add(n, std::memory_order_relaxed); });
}

void metrics::observe(std::string_view name, std::string_view label, millis value)
{
    registry_->with_cell(family_kind::histogram, name, label, [value](metric_cell& cell) {
        // A clock that was read on two threads can differ by a tick; a negative duration counts as 0.
        auto const booked = std::max<std::int64_t>(0, value.count_);
        // Bins exclude their upper bound, but Prometheus's buckets include it; values are whole.
        (*cell.histogram_)(static_cast<double>(booked) - 0.5);
        cell.count_.fetch_add(booked, std::memory_order_relaxed);
    });
}

void metrics::gauge(std::string_view name, std::string_view label, double value)
{
    registry_->with_cell(family_kind::gauge, name, label,
                         [value](metric_cell& cell) { cell.gauge_.store(value, std::memory_order_relaxed); });
}

std::string metrics::text() const
{
    std::vector<prometheus::MetricFamily> shown;
    {
        std::shared_lock const lock{registry_->mutex_};
        for (auto const& [name, one] : registry_->families_) {
            shown.push_back(show(name, one));
        }
    }
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, shown);
    return out.str();
}

} // namespace auburnchute
