#include <auburnchute/log_writer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnchute {

std::optional<std::uint64_t> submit(log_writer& writer, record_body body)
{
    if (writer.queued_.size() >= writer.max_queued_) {
        return std::nullopt;
    }
    auto const sequence = writer.next_sequence_++;
    writer.queued_.push_back({writer.self_, sequence, std::move(body)});
    return sequence;
}

std::vector<record> start_batch(log_writer& writer, std::size_t members, millis now)
{
    bool const nothing_to_send = writer.in_flight_.empty() && writer.queued_.empty();
    bool const too_early = now - writer.last_append_ < append_interval(members) || now < writer.retry_at_;
    if (writer.append_running_ || nothing_to_send || too_early) {
        return {};
    }
    if (writer.in_flight_.empty()) {
        auto const size = std::min(writer.max_batch_, writer.queued_.size());
        auto const end = writer.queued_.begin() + static_cast<std::ptrdiff_t>(size);
        writer.in_flight_.assign(std::make_move_iterator(writer.queued_.begin()),
                                 std::make_move_iterator(end));
        writer.queued_.erase(writer.queued_.begin(), end);
    }
    writer.append_running_ = true;
    writer.last_append_ = now;
    return writer.in_flight_;
}

void complete_append(log_writer& writer, bool acknowledged, millis now) noexcept
{
    writer.append_running_ = false;
    if (writer.in_flight_.empty()) {
        return; // The whole batch was read back before the append returned.
    }
    writer.retry_at_ = now + (acknowledged ? read_back_timeout : append_retry_delay);
}

bool confirm_read_back(log_writer& writer, std::uint64_t sequence) noexcept
{
    auto const& batch = writer.in_flight_;
    bool const belonged =
        !batch.empty() && sequence >= batch.front().sequence_ && sequence <= batch.back().sequence_;
    std::erase_if(writer.in_flight_, [sequence](record const& rec) { return rec.sequence_ <= sequence; });
    if (writer.in_flight_.empty()) {
        writer.retry_at_ = {};
    }
    return belonged;
}

std::vector<std::uint64_t> drop_unsent(log_writer& writer)
{
    std::vector<std::uint64_t> dropped;
    dropped.reserve(writer.queued_.size());
    for (auto const& rec : writer.queued_) {
        dropped.push_back(rec.sequence_);
    }
    writer.queued_.clear();
    return dropped;
}

millis append_interval(std::size_t members) noexcept
{
    auto const count = static_cast<std::int64_t>(std::max<std::size_t>(members, 1));
    return {(count * 1'000 + max_appends_per_second - 1) / max_appends_per_second};
}

} // namespace auburnchute
