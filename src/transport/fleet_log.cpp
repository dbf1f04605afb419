// Reading and writing the log.
#include "protocol/logging.hpp"
#include "protocol/record_codec.hpp"
#include "transport/fleet_control.hpp"
#include "transport/peer_link.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/rendezvous.hpp>

#include <algorithm>

#include <utility>

namespace auburnchute {

namespace {

constexpr millis read_wait{1'000};
constexpr millis retry_pause{200};
constexpr std::size_t read_batch = 512;
constexpr std::size_t recent_limit = 4'096;

/// Appends between two snapshots, unless the log keeps fewer.
constexpr std::uint64_t snapshot_interval = 2'000;

} // namespace

void fleet_control::run_reader(std::stop_token const& stop)
{
    while (!stop.stop_requested()) {
        bool const reached = read_log();
        if (!reached && !fetch_from_peers()) {
            pause(stop, retry_pause);
        }
        after_fold();
    }
}

bool fleet_control::read_log()
{
    std::uint64_t from = 0;
    {
        std::lock_guard const lock{mutex_};
        from = fold_.next_offset_;
    }
    auto const sent = now(clock_);
    auto const page = log_.read(from, read_batch, read_wait);
    {
        std::lock_guard const lock{mutex_};
        if (page.has_value() != authority_.log_reachable_) {
            log_change("read", config_.log_address_,
                       page ? "the log service answers" : "the log service does not answer");
        }
        authority_.log_reachable_ = page.has_value();
    }
    if (!page) {
        metrics_.count("auburnchute_log_read_errors_total");
        return false;
    }
    if (page->first_ > from) {
        return restore_from_snapshot(page->first_, page->next_);
    }
    std::int64_t bytes = 0;
    for (auto const& entry : page->entries_) {
        bytes += static_cast<std::int64_t>(entry.data_.size());
    }
    metrics_.count("auburnchute_control_bytes_total", "log_read", bytes);
    fold_entries(page->entries_);
    {
        std::lock_guard const lock{mutex_};
        if (fold_.next_offset_ >= page->next_) {
            authority_.log_tail_read_at_ = sent;
            ready_ = true;
        }
    }
    write_snapshot_if_due(page->first_);
    return true;
}

bool fleet_control::fetch_from_peers()
{
    std::uint64_t from = 0;
    std::shared_ptr<peer_link> best;
    {
        std::lock_guard const lock{mutex_};
        from = fold_.next_offset_;
        for (auto const& [member, link] : links_) {
            if (link->next_offset_ > from && (!best || link->next_offset_ > best->next_offset_)) {
                best = link;
            }
        }
    }
    if (!best) {
        return false;
    }
    peer::v1::FetchRequest request;
    request.set_from(from);
    request.set_max(read_batch);
    auto const reply = best->client_.fetch(request, {1'000});
    if (!reply || reply->records().empty() || reply->records(0).offset() > from) {
        return false;
    }
    metrics_.count("auburnchute_records_fetched_from_peers_total", {}, reply->records_size());
    std::vector<log_entry> entries;
    for (auto const& record : reply->records()) {
        entries.push_back({record.offset(), {record.log_time_ms()}, record.data()});
    }
    fold_entries(entries);
    return true;
}

void fleet_control::fold_entries(std::span<log_entry const> entries)
{
    std::vector<std::pair<std::uint64_t, submit_result>> own;
    std::int64_t folded = 0;
    for (auto const& entry : entries) {
        std::vector<record> batch;
        try {
            batch = decode_batch(entry.data_);
        } catch (error const& fault) {
            // All daemons skip the same entry, so their folds stay equal.
            metrics_.count("auburnchute_log_malformed_total");
            log_fault("decode", config_.log_address_, fault.what());
        }
        std::lock_guard const lock{mutex_};
        if (entry.offset_ < fold_.next_offset_) {
            continue;
        }
        folded += static_cast<std::int64_t>(batch.size());
        for (auto const& rec : batch) {
            note_failed_load(rec);
            auto result = apply(fold_, rec, entry.offset_, entry.log_time_);
            if (rec.writer_ == self_) {
                (void)confirm_read_back(writer_, rec.sequence_);
                if (result.verdict_ != verdict::repeated) {
                    own.emplace_back(rec.sequence_, submit_result{true, std::move(result), entry.offset_});
                }
            }
            if (auto const* const crash = std::get_if<crash_seen>(&rec.body_)) {
                reconcile_evidence(fold_, quarantine_, crash->fingerprint_, now(clock_));
                std::erase_if(fresh_crashes_, [crash](auto const& known) {
                    return known.fingerprint_ == crash->fingerprint_;
                });
            } else if (auto const* const cleared = std::get_if<crash_cleared>(&rec.body_)) {
                reconcile_evidence(fold_, quarantine_, cleared->fingerprint_, now(clock_));
            }
            if (std::holds_alternative<snapshot>(rec.body_)) {
                last_snapshot_ = entry.offset_;
            }
        }
        fold_.next_offset_ = entry.offset_ + 1;
        recent_.push_back(entry);
        if (recent_.size() > recent_limit) {
            recent_.pop_front();
        }
    }
    if (!entries.empty()) {
        std::lock_guard const lock{mutex_};
        state_ = std::make_shared<fleet_state const>(fold_);
    }
    metrics_.count("auburnchute_records_folded_total", {}, folded);
    if (!own.empty()) {
        publish(); // Whoever waits for a record reads a view that contains it.
    }
    for (auto& [sequence, result] : own) {
        resolve(sequence, result);
    }
    writer_wake_.notify_all();
}

void fleet_control::note_failed_load(record const& rec)
{
    auto const* const failed = std::get_if<load_failed>(&rec.body_);
    auto const replica = failed == nullptr ? fold_.replicas_.end() : fold_.replicas_.find(failed->replica_);
    if (replica != fold_.replicas_.end()) {
        auto const time = now(clock_);
        std::erase_if(failed_loads_,
                      [time](failed_load const& old) { return old.at_ + failed_load_retention < time; });
        failed_loads_.push_back(
            {replica->second.upstream_, replica->second.model_, replica->second.adapter_, time});
    }
}

bool fleet_control::restore_from_snapshot(std::uint64_t first, std::uint64_t next)
{
    std::shared_ptr<fleet_state const> newest;
    for (auto from = first; from < next;) {
        auto const page = log_.read(from, read_batch, {0});
        if (!page || page->entries_.empty()) {
            break;
        }
        for (auto const& entry : page->entries_) {
            from = entry.offset_ + 1;
            try {
                for (auto const& rec : decode_batch(entry.data_)) {
                    auto const* const found = std::get_if<snapshot>(&rec.body_);
                    if (found != nullptr && found->offset_ >= first) {
                        newest = std::make_shared<fleet_state const>(restore(*found));
                    }
                }
            } catch (error const&) {
                metrics_.count("auburnchute_log_malformed_total");
            }
        }
    }
    if (!newest) {
        log_fault("read", config_.log_address_,
                  "the log no longer holds the records and no snapshot covers them");
        return false;
    }
    {
        std::lock_guard const lock{mutex_};
        if (newest->next_offset_ <= fold_.next_offset_) {
            return false;
        }
        fold_ = *newest;
        state_ = newest;
        recent_.clear();
    }
    log_change("read", config_.log_address_,
               "restored from the snapshot at offset " + std::to_string(newest->next_offset_));
    return true;
}

void fleet_control::resolve(std::uint64_t sequence, submit_result const& result)
{
    std::function<void(submit_result const&)> then;
    {
        std::lock_guard const lock{mutex_};
        auto const it = pending_.find(sequence);
        if (it == pending_.end()) {
            return;
        }
        then = std::move(it->second.then_);
        pending_.erase(it);
    }
    then(result);
}

void fleet_control::join()
{
    member_joined body;
    {
        std::lock_guard const lock{mutex_};
        if (!ready_ || joined_ || stopping_) {
            return;
        }
        joined_ = true;
        body.member_ = self_;
        body.read_to_ = fold_.next_offset_;
    }
    body.availability_zone_ = config_.availability_zone_;
    body.http_ = config_.advertised_callers_;
    body.peer_ = config_.advertised_peers_;
    body.admin_ = config_.advertised_admin_;
    log_change("join", to_string(body.member_), "registers as a member");
    submit(std::move(body), [this](submit_result const& answer) {
        if (answer.known_ && answer.verdict_.verdict_ == verdict::rejected) {
            // Another incarnation joined on this VM after the last read; the next try has read its join.
            std::lock_guard const lock{mutex_};
            joined_ = false;
        }
    });
}

void fleet_control::after_fold()
{
    std::map<std::uint64_t, pending_submit> lost;
    auto const folded = state();
    {
        std::lock_guard const lock{mutex_};
        // The fold takes the next join as proof that this process ended, so all its orders must have ended
        // first.
        if (is_gone(*state_, self_) && !stopping_ && running_orders_.empty()) {
            // Voted out: the records of this incarnation are void, so the daemon joins again as a new one.
            log_change("join", to_string(self_), "was removed by votes; joins again with a new incarnation");
            self_.incarnation_ = random_incarnation();
            lost.swap(pending_);
            writer_ = {};
            writer_.self_ = self_;
            authority_.self_ = self_;
            open_proposals_.clear();
            joined_ = false;
            shares_.reset();
        }
    }
    for (auto& [sequence, submitted] : lost) {
        submitted.then_({});
    }
    join();
    member_id self;
    {
        std::lock_guard const lock{mutex_};
        self = self_;
        for (auto const& [id, replica] : state_->replicas_) {
            if (replica.status_ == replica_status::loaded) {
                loaded_at_.try_emplace(id, now(clock_));
            }
        }
        std::erase_if(loaded_at_,
                      [this](auto const& item) { return !state_->replicas_.contains(item.first); });
    }
    if (auto const version = shares_.follow(*folded, self)) {
        submit(share_ack{self, *version});
    }
    if (folded->drained_.contains(config_.vm_)) {
        begin_stop();
    }
    start_orders();
    publish();
    wake_.notify_all();
    planner_wake_.notify_all();
}

void fleet_control::run_writer(std::stop_token const& stop)
{
    while (!stop.stop_requested()) {
        std::vector<record> batch;
        {
            std::unique_lock lock{mutex_};
            auto const members = std::max<std::size_t>(1, live_members(*state_).size());
            batch = start_batch(writer_, members, now(clock_));
            if (batch.empty()) {
                bool const waiting = !writer_.queued_.empty() || !writer_.in_flight_.empty();
                writer_wake_.wait_for(lock, std::chrono::milliseconds{waiting ? 5 : 500});
                continue;
            }
        }
        auto const data = encode_batch(batch);
        metrics_.count("auburnchute_control_bytes_total", "log_appended",
                       static_cast<std::int64_t>(data.size()));
        bool const acknowledged = log_.append(data);
        metrics_.count("auburnchute_log_appends_total", acknowledged ? "acknowledged" : "unknown");
        std::lock_guard const lock{mutex_};
        complete_append(writer_, acknowledged, now(clock_));
    }
}

void fleet_control::write_snapshot_if_due(std::uint64_t first)
{
    snapshot body;
    {
        std::lock_guard const lock{mutex_};
        if (!joined_ || fold_.next_offset_ == 0) {
            return;
        }
        auto const kept = fold_.next_offset_ - first;
        auto const interval = first > 0 ? std::min(snapshot_interval, kept / 3) : snapshot_interval;
        auto const since = fold_.next_offset_ - std::min(fold_.next_offset_, last_snapshot_);
        auto const live = live_members(fold_);
        auto const writer = preferred_members("snapshot", live, 1);
        if (since < interval || writer.empty() || writer.front() != self_) {
            return;
        }
        last_snapshot_ = fold_.next_offset_;
        body = {fold_.next_offset_, state_};
    }
    submit(std::move(body));
}

} // namespace auburnchute
