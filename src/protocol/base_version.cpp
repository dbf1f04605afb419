#include "protocol/base_version.hpp"

#include <auburnchute/error.hpp>

#include <charconv>

namespace auburnchute {

namespace {

constexpr std::string_view marker = "# base_version:";

struct marked_line {
    std::size_t begin_;
    std::size_t end_; ///< Without the line's end.
};

std::optional<marked_line> find_line(std::string_view text)
{
    std::optional<marked_line> found;
    for (std::size_t begin = 0; begin < text.size();) {
        auto const end = std::min(text.find('\n', begin), text.size());
        if (text.substr(begin, end - begin).starts_with(marker)) {
            if (found) {
                throw error{"publish", "", "the routes file has two lines `# base_version: N`"};
            }
            found = marked_line{begin, end};
        }
        begin = end + 1;
    }
    return found;
}

} // namespace

std::optional<std::uint64_t> base_version(std::string_view routes_text)
{
    auto const line = find_line(routes_text);
    if (!line) {
        return std::nullopt;
    }
    auto value = routes_text.substr(line->begin_ + marker.size(), line->end_ - line->begin_ - marker.size());
    while (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    while (value.ends_with(' ') || value.ends_with('\r')) {
        value.remove_suffix(1);
    }
    std::uint64_t version = 0;
    auto const result = std::from_chars(value.data(), value.data() + value.size(), version);
    if (value.empty() || result.ec != std::errc{} || result.ptr != value.data() + value.size()) {
        throw error{"publish", "", "the line `# base_version: N` of the routes file holds no number"};
    }
    return version;
}

std::string with_base_version(std::string_view routes_text, std::uint64_t version)
{
    auto const shown = std::string{marker} + " " + std::to_string(version);
    std::string text{routes_text};
    if (auto const line = find_line(routes_text)) {
        return text.replace(line->begin_, line->end_ - line->begin_, shown);
    }
    return shown + "\n" + text;
}

} // namespace auburnchute
