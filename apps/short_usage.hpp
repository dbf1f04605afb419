#pragma once

#include <string>
#include <string_view>

namespace auburnchute {

/// \returns The usage patterns of a docopt text, for the message after wrong arguments. Thread safety: pure.
[[nodiscard]] inline std::string short_usage(std::string_view text)
{
    auto const begin = text.find("Usage:");
    auto const end = text.find("\n\n", begin);
    return std::string{text.substr(begin, end - begin)} + "\n\nSee --help.";
}

} // namespace auburnchute
