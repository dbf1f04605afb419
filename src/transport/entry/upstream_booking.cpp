#include "transport/entry/upstream_booking.hpp"

#include <utility>

namespace auburnchute {

upstream_booking::upstream_booking(entry_node& node, chosen_upstream const& upstream, std::int64_t tokens,
                                   need_key need, millis now)
    : node_{node}, id_{upstream.id_}, tokens_{tokens}, unread_{upstream.unread_tokens_},
      need_{std::move(need)}, expected_ms_{upstream.expected_ms_}, began_{now}
{
    auto& use = use_of(node_, id_).use_;
    ++use.requests_;
    use.tokens_ += tokens_;
    use.unread_tokens_ += unread_;
    ++need_of(node_, need_).running_;
}

upstream_booking::~upstream_booking()
{
    auto& use = use_of(node_, id_).use_;
    --use.requests_;
    use.tokens_ -= tokens_;
    use.unread_tokens_ -= unread_;
    --need_of(node_, need_).running_;
    if (!node_.waiting_.empty()) {
        wake_waiting(node_);
    }
}

void upstream_booking::note_answering(millis now)
{
    auto& own = use_of(node_, id_);
    own.use_.unread_tokens_ -= std::exchange(unread_, 0);
    record_answer_time(own.excess_latency_, expected_ms_, now - began_, now);
}

} // namespace auburnchute
