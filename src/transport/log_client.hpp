#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief One record of the log service: a batch of fleet records.
struct log_entry {
    std::uint64_t offset_{};
    millis log_time_{};
    std::string data_;
};

/// \brief One answer of the log service.
struct log_page {
    std::uint64_t first_{}; ///< Oldest offset kept.
    std::uint64_t next_{};  ///< Offset of the next append.
    std::vector<log_entry> entries_;
};

/// \brief Client of the append-only log service.
///
/// Thread safety: all functions may be called from any thread; each call opens its own connection or reuses
/// the calling thread's one.
class log_client {
public:
    /// \brief Makes a client. \pre `address` is `IP:PORT`.
    explicit log_client(std::string address);

    /// \brief Appends one entry.
    /// \returns True if the log service acknowledged it; false if the outcome is unknown or it was refused.
    [[nodiscard]] bool append(std::string_view data) const;

    /// \brief Reads entries from an offset, waiting up to `wait` when there are none yet.
    /// \returns The page; none if the log service could not be reached or answered nonsense.
    [[nodiscard]] std::optional<log_page> read(std::uint64_t from, std::size_t max, millis wait) const;

private:
    std::string address_;
};

} // namespace auburnchute
