#include "transport/entry/upstream_booking.hpp"

#include "transport/entry/upstream_keeper.hpp"

#include <utility>

namespace auburnchute {

upstream_booking::upstream_booking(entry_node& node, chosen_upstream const& upstream, std::int64_t tokens,
                                   need_key need, millis now)
    : node_{node}, upstream_{upstream}, tokens_{tokens}, unread_{upstream.unread_tokens_},
      need_{std::move(need)}, began_{now}
{
    note_sent(node_, upstream_, now);
    auto& use = use_of(node_, upstream_.id_).use_;
    ++use.requests_;
    use.tokens_ += tokens_;
    use.unread_tokens_ += unread_;
    ++need_of(node_, need_).running_;
}

upstream_booking::~upstream_booking()
{
    if (answering_) {
        note_held(node_, need_.service_, boot_now() - began_);
    }
    auto& use = use_of(node_, upstream_.id_).use_;
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
    answering_ = true;
    auto& own = use_of(node_, upstream_.id_);
    own.use_.unread_tokens_ -= std::exchange(unread_, 0);
    record_answer_time(own.excess_latency_, upstream_.expected_ms_, now - began_, now);
    note_begun(node_, upstream_, need_.service_, began_, now);
}

} // namespace auburnchute
