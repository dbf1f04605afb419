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

/// \brief How the events of one upstream follow what the caller has of the stream.
struct event_sequence {
    std::optional<std::int64_t> caller_last_; ///< Last event that the caller has; none: the stream is new.
    std::optional<std::int64_t> run_last_;    ///< Last numbered event of this upstream.
};

enum class event_verdict : std::uint8_t {
    pass,
    skip,         ///< The caller has it.
    out_of_order, ///< Neither it nor anything behind it may follow.
};

/// \returns What to do with the upstream's next event. In a new stream the ids increase. A run that goes on
/// begins with the next number, or with the last one once more; one that begins earlier is another run.
/// Thread safety: as `sequence`.
[[nodiscard]] event_verdict judge_event(event_sequence& sequence, std::string_view event) noexcept;

/// \returns The id as a number, or none if it has anything but digits or is too large. Thread safety: pure.
[[nodiscard]] std::optional<std::int64_t> event_number(std::string_view id) noexcept;

} // namespace auburnchute
