#pragma once

#include "transport/entry/async.hpp"

#include <cstddef>
#include <deque>
#include <memory>

namespace auburnchute {

/// \brief Work that one connection does before others get their turn: as much as parsing so many bytes of one
/// line takes. Plain bytes of a body are not counted, as all connections take turns in reading them anyway.
inline constexpr std::size_t work_per_turn = std::size_t{64} * 1024;

/// \brief Work of parsing a line: a field of a head or a trailer, or the length of a chunk.
inline constexpr std::size_t work_per_line = 128;

/// \brief Lets connections that are costly to read go on one after the other.
///
/// One of them gets a turn in each pass of the loop over what is ready. So together they take as much of the
/// loop's time as one of them alone would, and ordinary requests go on beside them; while nothing else is
/// ready, they take all of it. Thread safety: the loop's thread.
class work_turns : public std::enable_shared_from_this<work_turns> {
public:
    explicit work_turns(net::io_context& loop) : loop_{loop} {}

    /// \brief Waits for a turn. It ends early if the waiter is notified.
    /// \pre This is owned by a shared pointer; no other coroutine waits for `waiter`.
    net::awaitable<void> wait(wake_event& waiter);

private:
    void pass_on();

    net::io_context& loop_;
    std::deque<wake_event*> waiting_;
    bool passing_{}; ///< `pass_on` is due in the loop's next pass.
};

} // namespace auburnchute
