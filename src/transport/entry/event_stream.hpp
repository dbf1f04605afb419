#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Cuts an event stream into whole events without changing their bytes.
struct event_cutter {
    std::string pending_; ///< Bytes of the event that is not yet complete.
};

/// \brief Takes the next bytes. \returns The bytes up to the end of the last whole event; empty if none
/// ended.
[[nodiscard]] std::string feed_events(event_cutter& cutter, std::string_view bytes);

/// \brief Takes the first whole event off `events`. \pre `events` holds whole events only.
[[nodiscard]] std::string_view next_event(std::string_view& events) noexcept;

/// \returns The event's id without spaces around it, or none. The last of several ids counts, as for readers.
/// Thread safety: pure.
[[nodiscard]] std::optional<std::string_view> event_id(std::string_view event) noexcept;

/// \returns Whether the event has data; comments that keep a connection alive have none. Thread safety: pure.
[[nodiscard]] bool carries_data(std::string_view event) noexcept;

/// \returns The id as a number, or none if it has anything but digits or is too large. Thread safety: pure.
[[nodiscard]] std::optional<std::int64_t> event_number(std::string_view id) noexcept;

} // namespace auburnchute
