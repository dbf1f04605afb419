#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

namespace auburnchute {

/// \brief Bytes of a connection that were read and not yet parsed: a head, the line of a chunk's length with
/// its extensions, or a trailer. More end the connection.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

/// \brief Largest answer of an upstream that is held until it is whole, in bytes.
inline constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;

/// \brief Memory that the answers of all requests may take together, in bytes: a quarter of a daemon's.
inline constexpr std::size_t max_held_answer_bytes = std::size_t{64} * 1024 * 1024;

/// \brief An answer that takes less, in bytes, is never given up for others.
inline constexpr std::size_t spared_answer_bytes = std::size_t{256} * 1024;

/// \brief Interim answers (1xx) that are skipped before an answer; an upstream in trouble may send them
/// without end.
inline constexpr int max_interim_answers = 16;

/// \brief Memory that answers take until they have gone to their callers, over all requests of a process.
///
/// When all of them take too much, the largest unfinished one is given up, as an upstream that sends bytes
/// without end must not cost others their answers. Thread safety: the calls may come from any thread.
class answer_ledger {
public:
    explicit answer_ledger(std::size_t limit = max_held_answer_bytes) : limit_{limit} {}
    answer_ledger(answer_ledger const&) = delete;
    answer_ledger& operator=(answer_ledger const&) = delete;

    /// \brief What one answer takes, for as long as the entry lives. \pre The ledger outlives its entries.
    class entry {
    public:
        /// \param give_up Ends the answer; called at most once, not after `finish` has returned, on the
        /// thread of the answer that grew. It must not call the ledger.
        entry(answer_ledger& ledger, std::function<void()> give_up);
        entry(entry const&) = delete;
        entry& operator=(entry const&) = delete;
        ~entry();

        /// \brief Books what the answer takes now. Another answer, or this one, may be given up.
        void hold(std::size_t bytes);

        /// \brief The answer is whole and no longer grows. \returns False if it was given up before.
        [[nodiscard]] bool finish();

    private:
        friend class answer_ledger;

        answer_ledger& ledger_;
        std::function<void()> give_up_;
        std::size_t bytes_{};
        bool unfinished_{true};
        bool given_up_{};
        std::list<entry*>::iterator place_;
    };

    /// \returns Bytes of all answers but those that were given up.
    [[nodiscard]] std::size_t held() const;

private:
    void give_up_largest();

    std::size_t limit_;
    mutable std::mutex mutex_;
    std::size_t held_{};
    std::list<entry*> entries_;
};

} // namespace auburnchute
