#pragma once

#include "transport/entry/entry_node.hpp"
#include "transport/entry/forward_job.hpp"

#include <string>

namespace auburnchute {

/// \brief Books a request at an upstream while it lives, so that other requests see the load.
///
/// Thread safety: used by the thread that owns the node. \pre The node outlives the booking.
class upstream_booking {
public:
    /// \param tokens Prompt and output tokens of the request.
    upstream_booking(entry_node& node, chosen_upstream const& upstream, std::int64_t tokens, need_key need,
                     millis now);
    upstream_booking(upstream_booking const&) = delete;
    upstream_booking& operator=(upstream_booking const&) = delete;
    ~upstream_booking();

    /// \brief Books that the upstream has begun to answer.
    void note_answering(millis now);

private:
    entry_node& node_;
    chosen_upstream upstream_;
    std::int64_t tokens_;
    std::int64_t unread_;
    need_key need_;
    millis began_;
    bool answering_{};
};

} // namespace auburnchute
