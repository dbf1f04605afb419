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
    /// What takes no more is never refused and never given up for others.
    std::size_t spared_{};

    [[nodiscard]] std::size_t share(memory_purpose purpose) const noexcept
    {
        return shares_[static_cast<std::size_t>(purpose)];
    }
};

/// \brief Largest part of a request or of an answer that is spared, in bytes: heads and small bodies, of
/// which nearly all ordinary requests consist.
inline constexpr std::size_t spared_bytes = std::size_t{16} * 1024;

/// \brief What a process takes for itself, in bytes: code, tables, logs and the exchange with peers.
inline constexpr std::size_t own_process_bytes = std::size_t{40} * 1024 * 1024;

/// \brief Memory of a process whose settings state none, in bytes (DEVELOPERS.md, "Target").
inline constexpr std::size_t default_process_bytes = std::size_t{256} * 1024 * 1024;

/// \brief Divides the memory of a process among its purposes.
/// \param process_bytes That the process may take; 0: `default_process_bytes`.
/// \returns Shares that together leave the process its own part, and a third of the rest for what an
/// allocator holds beside what was asked of it. Thread safety: pure.
[[nodiscard]] memory_limits divide_memory(std::size_t process_bytes) noexcept;

/// \brief A part of the budget as the choice of what is given up sees it.
struct held_memory {
    std::size_t bytes_{};
    millis since_{};         ///< When it began.
    bool may_be_given_up_{}; ///< It is not spared, and its owner can end it.
};

/// \returns The index of what is given up first: what has taken most memory for longest, so that a large
/// request that never ends goes before one of the same size that has just come. None if nothing may be.
/// Thread safety: pure.
[[nodiscard]] std::optional<std::size_t> choose_given_up(std::span<held_memory const> held,
                                                         millis now) noexcept;

/// \brief The memory that a process takes for its callers, and who holds it for what.
///
/// What has no room makes the largest and slowest of its purpose give up, or is refused itself; so no purpose
/// takes the memory of another, and what is small always has room.
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
        /// Nothing is booked then. What takes no more than the spared size always has room.
        [[nodiscard]] bool grow_to(std::size_t bytes, millis now);

        /// \brief Books the memory for another purpose from now on.
        /// \returns As `grow_to`.
        [[nodiscard]] bool move_to(memory_purpose purpose, millis now);

        /// \brief This is not given up any more, for example as its answer is whole.
        /// \returns False if it was given up before.
        [[nodiscard]] bool keep();

        /// \returns Whether it was given up for others.
        [[nodiscard]] bool given_up() const;

        [[nodiscard]] std::size_t bytes() const;

    private:
        friend class memory_budget;

        memory_budget& budget_;
        memory_purpose purpose_;
        millis since_;
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
