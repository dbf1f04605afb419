#pragma once

#include <string>
#include <string_view>

namespace auburnchute {

/// \brief Reads a whole file. \param path Path; `-` reads standard input.
/// \throws error with step `read` and the path as peer.
[[nodiscard]] std::string read_file(std::string_view path);

/// \brief Replaces a file in one step, so that a crash leaves either the old or the new content.
/// \throws error with step `write` and the path as peer.
void replace_file(std::string_view path, std::string_view content);

} // namespace auburnchute
