#pragma once

#include <auburnchute/clock.hpp>

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief One step of a decision.
///
/// `what_` is a word of the vocabulary in explain.cpp, followed by its arguments, separated by spaces, for
/// example step `pick` with `replica r-17 engine-a1`. Text outside the vocabulary is shown as it stands.
struct decision_event {
    std::string step_;
    std::string what_;
    std::string row_; ///< The row that decided, for example `routes/build-review@3`, or empty.
    millis at_;       ///< From the daemon's clock.
};

/// \brief How a request, load or unload came to its outcome.
struct decision_trail {
    std::string id_;      ///< Request id, or the id of the replica.
    std::string kind_;    ///< `request`, `load` or `unload`
    std::string outcome_; ///< For example `served`, `refused`, `loaded`, `failed`, `unloaded`.
    std::string row_;
    std::vector<decision_event> events_;
};

/// \returns Plain sentences for readers without technical background; they name table, row and version.
/// Thread safety: pure.
[[nodiscard]] std::vector<std::string> explain(decision_trail const& trail);

/// \brief The newest trails of this daemon.
/// Thread safety: all functions may be called from any thread.
class trail_store {
public:
    /// \param capacity Trails kept. \pre Above 0. 8,192 trails of about 1 KiB each take 8 MiB.
    explicit trail_store(std::size_t capacity = 8'192);

    /// \brief Stores a trail; the oldest one leaves when the store is full. A trail that is put again hides
    /// its earlier state.
    void put(decision_trail trail);

    /// \returns The newest trail with that id. Scans the store, since it runs only for `explain`.
    [[nodiscard]] std::optional<decision_trail> find(std::string_view id) const;

private:
    mutable std::mutex mutex_;
    std::size_t const capacity_;
    std::deque<decision_trail> trails_; ///< Oldest first.
};

} // namespace auburnchute
