#include "protocol/sse.hpp"

#include <auburnchute/error.hpp>

namespace auburnchute {

namespace {

/// Takes one complete line; an empty line ends the event.
void end_line(sse_parser& parser, std::vector<std::string>& events)
{
    std::string_view line{parser.buffer_};
    if (line.empty()) {
        if (parser.has_data_) {
            events.push_back(std::move(parser.data_));
        }
        parser.data_.clear();
        parser.has_data_ = false;
        return;
    }
    auto const colon = line.find(':');
    if (line.substr(0, colon) == "data") {
        auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (parser.has_data_) {
            parser.data_ += '\n';
        }
        parser.data_ += value;
        parser.has_data_ = true;
    }
    parser.buffer_.clear();
}

void check_bound(sse_parser const& parser)
{
    if (parser.buffer_.size() + parser.data_.size() > max_sse_event) {
        throw error{"relay", "",
                    "an event of the stream exceeds " + std::to_string(max_sse_event) + " bytes"};
    }
}

} // namespace

std::vector<std::string> feed(sse_parser& parser, std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty()) {
        if (parser.after_cr_ && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            parser.after_cr_ = false;
            continue;
        }
        parser.after_cr_ = false;
        auto const end = bytes.find_first_of("\r\n");
        parser.buffer_ += bytes.substr(0, end);
        check_bound(parser);
        if (end == std::string_view::npos) {
            break;
        }
        parser.after_cr_ = bytes[end] == '\r';
        end_line(parser, events);
        bytes.remove_prefix(end + 1);
    }
    return events;
}

std::string sse_event(std::string_view data)
{
    std::string event;
    event.reserve(data.size() + 8);
    for (bool more = true; more;) {
        auto const end = data.find_first_of("\r\n");
        more = end != std::string_view::npos;
        event.append("data: ").append(data.substr(0, end)).append("\n");
        if (more) {
            bool const crlf = data.substr(end).starts_with("\r\n");
            data.remove_prefix(end + (crlf ? 2 : 1));
        }
    }
    return event += '\n';
}

} // namespace auburnchute
