#include "transport/entry/event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace auburnchute {

namespace {

/// Takes the first line off `text`, which has one. \returns It without its end.
std::string_view next_line(std::string_view& text) noexcept
{
    auto const end = std::min(text.find('\n'), text.size());
    auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

/// \returns Offset after the next blank line, or npos.
std::size_t event_end(std::string_view text) noexcept
{
    auto rest = text;
    while (rest.find('\n') != std::string_view::npos) {
        if (next_line(rest).empty()) {
            return text.size() - rest.size();
        }
    }
    return std::string_view::npos;
}

std::string_view trim(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

} // namespace

std::string feed_events(event_cutter& cutter, std::string_view bytes)
{
    cutter.pending_.append(bytes);
    std::size_t whole = 0;
    while (true) {
        auto const end = event_end(std::string_view{cutter.pending_}.substr(whole));
        if (end == std::string_view::npos) {
            break;
        }
        whole += end;
    }
    std::string events = cutter.pending_.substr(0, whole);
    cutter.pending_.erase(0, whole);
    return events;
}

std::string_view next_event(std::string_view& events) noexcept
{
    auto const end = std::min(event_end(events), events.size());
    auto const event = events.substr(0, end);
    events.remove_prefix(end);
    return event;
}

std::optional<std::string_view> event_id(std::string_view event) noexcept
{
    std::optional<std::string_view> id;
    while (!event.empty()) {
        auto const line = next_line(event);
        if (line == "id") {
            id = std::string_view{};
        } else if (line.starts_with("id:")) {
            id = trim(line.substr(3));
        }
    }
    return id;
}

bool carries_data(std::string_view event) noexcept
{
    return event.starts_with("data") || event.find("\ndata") != std::string_view::npos;
}

std::optional<std::int64_t> event_number(std::string_view id) noexcept
{
    if (id.starts_with('-')) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    auto const [end, fault] = std::from_chars(id.data(), id.data() + id.size(), number);
    return fault == std::errc{} && end == id.data() + id.size() ? std::optional{number} : std::nullopt;
}

event_verdict judge_event(event_sequence& sequence, std::string_view event) noexcept
{
    auto const id = event_id(event);
    auto const number = id ? event_number(*id) : std::nullopt;
    auto const last = sequence.caller_last_;
    if (!number) {
        bool const has_place = !last || !(id || carries_data(event));
        return has_place ? event_verdict::pass : event_verdict::out_of_order;
    }
    auto const run_last = std::exchange(sequence.run_last_, number);
    if (run_last && *number <= *run_last) {
        return event_verdict::out_of_order;
    }
    if (!last) {
        return event_verdict::pass;
    }
    if (*number == *last) {
        return event_verdict::skip;
    }
    if (*number - 1 != *last) { // a number is not negative
        return event_verdict::out_of_order;
    }
    sequence.caller_last_ = number;
    return event_verdict::pass;
}

} // namespace auburnchute
