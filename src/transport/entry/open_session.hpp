#pragma once

#include <auburnchute/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace auburnchute {

/// \brief What happens on a caller's connection.
enum class session_state : std::uint8_t {
    idle,    ///< No byte of a request has come.
    reading, ///< A part of a request has come.
    serving, ///< A request was read, and its answer has not been written yet.
    closing, ///< Nothing more is answered on it.
};

/// \returns The state's word in the log. Thread safety: pure.
[[nodiscard]] constexpr std::string_view to_text(session_state state) noexcept
{
    switch (state) {
    case session_state::idle:
        return "idle";
    case session_state::reading:
        return "reading";
    case session_state::serving:
        return "serving";
    case session_state::closing:
        return "closing";
    }
    return "";
}

/// \brief A caller's connection, as a planned stop sees it. Thread safety: the loop's thread.
class open_session {
public:
    [[nodiscard]] session_state state() const noexcept { return state_; }

    /// \returns Since when the session has its state; boot clock.
    [[nodiscard]] millis state_since() const noexcept { return state_since_; }

    /// \returns Whether it was closed for others, and ends in the loop's next turns.
    [[nodiscard]] bool made_way() const noexcept { return made_way_; }

    /// \returns The id of the present request; empty if it was not read yet.
    [[nodiscard]] virtual std::string_view request_id() const noexcept = 0;

    /// \returns The upstream to which the present request was sent last; empty if it was not sent.
    [[nodiscard]] virtual std::string_view upstream_id() const noexcept = 0;

    /// \brief Ends what the caller waits for: a request that runs is given up, one that is half read is
    /// refused. May miss a request whose read has just ended, so it is called again until the stop ends.
    /// \pre The node's stop is closing.
    virtual void end_request() = 0;

    /// \brief Refuses a request whose body is being read if it cannot be served before the stop ends.
    /// \pre The node's stop has begun.
    virtual void end_late_upload() = 0;

    /// \brief Closes the connection, whatever its state; the session ends in the loop's next turns.
    virtual void abort() = 0;

    /// \brief Closes the connection as others need its room. \pre No request is served on it.
    virtual void make_way() = 0;

protected:
    open_session() = default;
    open_session(open_session const&) = default;
    open_session& operator=(open_session const&) = default;
    ~open_session() = default;

    void enter(session_state state) noexcept
    {
        state_ = state;
        state_since_ = boot_now();
    }

    void note_made_way() noexcept { made_way_ = true; }

private:
    session_state state_{session_state::idle};
    millis state_since_{boot_now()};
    bool made_way_{};
};

using session_set = std::set<open_session*>;

/// \brief Keeps a session in the set while this object lives. Thread safety: the loop's thread.
class session_entry {
public:
    session_entry(std::shared_ptr<session_set> sessions, open_session& session)
        : sessions_{std::move(sessions)}, session_{&session}
    {
        sessions_->insert(session_);
    }
    ~session_entry() { sessions_->erase(session_); }
    session_entry(session_entry const&) = delete;
    session_entry& operator=(session_entry const&) = delete;

private:
    std::shared_ptr<session_set> sessions_; ///< Shared, as coroutines may outlive the node.
    open_session* session_;
};

/// \returns Whether the session owes its caller an answer. Thread safety: pure.
[[nodiscard]] inline bool owes_answer(open_session const& session) noexcept
{
    return session.state() == session_state::reading || session.state() == session_state::serving;
}

/// \returns The session that makes way for a further caller: the one that has ended for longest and waits for
/// its caller to close, else the one that has been idle for longest, else the one that has read the same
/// request for longest; null if all are served. Thread safety: pure.
[[nodiscard]] inline open_session* choose_to_make_way(session_set const& sessions) noexcept
{
    // By how little the caller loses.
    auto const order = [](session_state state) {
        return state == session_state::closing ? 0 : state == session_state::idle ? 1 : 2;
    };
    open_session* chosen = nullptr;
    for (auto* const session : sessions) {
        if (session->state() == session_state::serving || session->made_way()) {
            continue;
        }
        auto const rank = [&](open_session const& one) {
            return std::pair{order(one.state()), one.state_since().count_};
        };
        if (chosen == nullptr || rank(*session) < rank(*chosen)) {
            chosen = session;
        }
    }
    return chosen;
}

/// \returns How many sessions owe their callers an answer. Thread safety: pure.
[[nodiscard]] inline std::int64_t open_requests(session_set const& sessions) noexcept
{
    return std::count_if(sessions.begin(), sessions.end(),
                         [](open_session const* session) { return owes_answer(*session); });
}

} // namespace auburnchute
