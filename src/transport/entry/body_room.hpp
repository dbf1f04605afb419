#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace auburnchute {

/// \brief Room for the next read of a body, in bytes: the library reads as much as its buffer holds, which
/// begins with half of this.
inline constexpr std::size_t read_bytes = std::size_t{8} * 1024;

/// \brief How large a body may become.
struct body_bounds {
    std::optional<std::uint64_t> announced_; ///< Its length, by the head.
    std::uint64_t limit_{};
    std::size_t next_{read_bytes}; ///< Most bytes that the next read adds.
};

/// \returns The memory that the body takes once the next read has ended, in bytes: what was announced is
/// allocated at once but taken as it comes; else the body grows by a quarter, or by a read, and not to the
/// double. Thread safety: pure.
[[nodiscard]] std::size_t next_room(std::string const& body, body_bounds const& bounds) noexcept;

/// \brief Allocates what `next_room` returned for the body.
void make_room(std::string& body, std::size_t room, body_bounds const& bounds);

} // namespace auburnchute
