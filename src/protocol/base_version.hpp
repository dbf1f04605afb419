#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Reads the version that an edited routes file is based on, from its line `# base_version: 3`.
/// \returns Nothing if there is no such line. Thread safety: pure.
/// \throws error with step `publish` if the line holds no number or stands twice.
[[nodiscard]] std::optional<std::uint64_t> base_version(std::string_view routes_text);

/// \returns The text with the line set to that version; the line is put first if there is none.
/// Thread safety: pure.
[[nodiscard]] std::string with_base_version(std::string_view routes_text, std::uint64_t version);

} // namespace auburnchute
