#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Bound on one event. Token chunks have a few hundred bytes; the bound keeps an upstream that never
/// ends an event from filling the memory.
inline constexpr std::size_t max_sse_event = 1024 * 1024;

/// \brief State of a stream of server-sent events that arrives in arbitrary chunks.
struct sse_parser {
    std::string buffer_; ///< The line that is not yet complete.
    std::string data_;   ///< The data lines of the event that is not yet complete.
    bool has_data_{};
    bool after_cr_{}; ///< The last byte was a carriage return, so a line feed next belongs to it.
};

/// \brief Takes the next bytes of the stream.
/// \returns The `data` payloads of the events that these bytes complete, in order. Comments and other fields
/// are left out. \throws error with step `relay` if an event exceeds `max_sse_event`.
[[nodiscard]] std::vector<std::string> feed(sse_parser& parser, std::string_view bytes);

/// \returns An event with that payload; each line of the payload becomes a `data` line. Thread safety: pure.
[[nodiscard]] std::string sse_event(std::string_view data);

} // namespace auburnchute
