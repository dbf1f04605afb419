#pragma once

#include <auburnchute/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <span>

namespace auburnchute {

/// \brief What a process holds memory for on behalf of its callers.
enum class memory_purpose : std::uint8_t {
    reading,    ///< A request that is being read.
    request,    ///< A whole request that waits or is served.
    answer,     ///< An answer, until it has gone to its caller.
    connection, ///< A connection with its buffers.
};

inline constexpr std::size_t memory_purposes = 4;

/// \brief Bounds of a budget, in bytes.
struct memory_limits {
    std::array<std::size_t, memory_purposes> shares_{}; ///< By purpose.
    /// By purpose: what holdings of the spared size may take beside the share, so that large ones don't keep
    /// them out.
    std::array<std::size_t, memory_purposes> reserves_{};
    /// What takes no more gives way only to others of this size, and only once the reserve is taken.
    std::size_t spared_{};

    [[nodiscard]] std::size_t share(memory_purpose purpose) const noexcept
    {
        return shares_[static_cast<std::size_t>(purpose)];
    }

    /// \returns Most bytes that all holdings of the purpose take once one takes `bytes`.
    [[nodiscard]] std::size_t bound(memory_purpose purpose, std::size_t bytes) const noexcept
    {
        return share(purpose) + (bytes <= spared_ ? reserves_[static_cast<std::size_t>(purpose)] : 0);
    }
};

/// \brief Largest part of a request or of an answer that is spared, in bytes: heads and small bodies, of
/// which nearly all ordinary requests consist.
inline constexpr std::size_t spared_bytes = std::size_t{16} * 1024;

/// \brief What a process takes for a field of a request beside its text, in bytes: its places in a parser's
/// list and index.
inline constexpr std::size_t field_bytes = 96;

/// \brief What a process takes for itself, in bytes: code, tables, logs and the exchange with peers.
inline constexpr std::size_t own_process_bytes = std::size_t{40} * 1024 * 1024;

/// \brief Memory of a process whose settings state none, in bytes (DEVELOPERS.md, "Target").
inline constexpr std::size_t default_process_bytes = std::size_t{256} * 1024 * 1024;

/// \brief What an idle connection takes in a process, in bytes: its state and its smallest buffers.
inline constexpr std::size_t connection_bytes = std::size_t{8} * 1024;

/// \brief Descriptors of a process that are not for connections: files, listeners, timers and the like.
inline constexpr std::size_t other_descriptors = 200;

/// \brief Divides the memory of a process among its purposes.
/// \param process_bytes That the process may take; 0: `default_process_bytes`.
/// \returns Shares that together leave the process its own part and a third of the rest. Of that third, the
/// reserves take less than a half; the other is for what an allocator holds beside what was asked of it.
/// Thread safety: pure.
[[nodiscard]] memory_limits divide_memory(std::size_t process_bytes) noexcept;

/// \returns How many connections callers may have at once: as many as their share of the memory holds, and
/// four fifths of the descriptors, as requests need connections to upstreams, too. \param descriptors That
/// the process may open; 0: not stated. Thread safety: pure.
[[nodiscard]] std::size_t connection_limit(memory_limits const& limits, std::size_t descriptors) noexcept;

/// \brief A part of the budget as the choice of what is given up sees it.
struct held_memory {
    std::size_t bytes_{};
    millis since_{};         ///< When it began.
    bool may_be_given_up_{}; ///< It is not spared, and its owner can end it.
    bool is_allowed_{};      ///< It belongs to a request that is known to be allowed.
};

/// \returns The index of what is given up first: what isn't known to be allowed, and of that what has taken
/// most memory for longest, so that a large request that never ends goes before one of the same size that has
/// just come. None if nothing may be. Thread safety: pure.
[[nodiscard]] std::optional<std::size_t> choose_given_up(std::span<held_memory const> held,
                                                         millis now) noexcept;

/// \brief The memory that a process takes for its callers, and who holds it for what.
///
/// What has no room makes the largest and slowest of its purpose give up, or is refused itself; so no purpose
/// takes the memory of another, and what is large never takes that of what is small.
/// Thread safety: the calls may come from any thread.
class memory_budget {
public:
    explicit memory_budget(memory_limits const& limits) : limits_{limits} {}
    memory_budget(memory_budget const&) = delete;
    memory_budget& operator=(memory_budget const&) = delete;

    /// \brief What one request, answer or connection takes, for as long as this object lives.
    /// \pre The budget outlives it.
    class holding {
    public:
        /// \param give_up Ends what holds the memory; null if it can't be ended. Called at most once, not
        /// after `keep` or the destructor has returned, on the thread of another holding that grew. It must
        /// not call the budget. It is not called for the holding that has no room itself.
        holding(memory_budget& budget, memory_purpose purpose, millis now,
                std::function<void()> give_up = nullptr);
        holding(holding const&) = delete;
        holding& operator=(holding const&) = delete;
        ~holding();

        /// \brief Books what is taken now, before it is allocated where that is known. Others may be given
        /// up. \returns False if there is no room, or if this was given up: the owner ends what it does.
        /// Nothing is booked then.
        [[nodiscard]] bool grow_to(std::size_t bytes, millis now);

        /// \brief Books the memory for another purpose from now on.
        /// \returns As `grow_to`.
        [[nodiscard]] bool move_to(memory_purpose purpose, millis now);

        /// \brief The request is known to be allowed from now on, so those that aren't give way to it.
        void note_allowed();

        /// \brief This is not given up any more, for example as its answer is whole.
        /// \returns False if it was given up before.
        [[nodiscard]] bool keep();

        /// \brief From now on this may be given up (again). \param give_up As in the constructor.
        void allow_giving_up(std::function<void()> give_up);

        /// \returns Whether it was given up for others.
        [[nodiscard]] bool given_up() const;

        [[nodiscard]] std::size_t bytes() const;

    private:
        friend class memory_budget;

        memory_budget& budget_;
        memory_purpose purpose_;
        millis since_;
        bool is_allowed_{};
        std::function<void()> give_up_;
        std::size_t bytes_{};
        bool given_up_{};
        std::list<holding*>::iterator place_;
    };

    /// \returns Bytes that are held for the purpose, without what was given up.
    [[nodiscard]] std::size_t held(memory_purpose purpose) const;

    [[nodiscard]] memory_limits const& limits() const noexcept { return limits_; }

private:
    [[nodiscard]] bool book(holding& wanting, memory_purpose purpose, std::size_t bytes, millis now);
    [[nodiscard]] bool make_room(holding& wanting, memory_purpose purpose, std::size_t bytes, millis now);
    [[nodiscard]] std::size_t& held_for(memory_purpose purpose) noexcept
    {
        return held_[static_cast<std::size_t>(purpose)];
    }

    memory_limits limits_;
    mutable std::mutex mutex_;
    std::array<std::size_t, memory_purposes> held_{};
    std::array<std::list<holding*>, memory_purposes> holdings_; ///< By purpose.
};

} // namespace auburnchute
