#include "protocol/decision_log.hpp"

#include <auburnchute/clock.hpp>

#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <ctime>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <unistd.h>

namespace auburnchute {

namespace {

/// Failures explain complaints, so more of them are kept.
constexpr int failure_lines_factor = 10;

std::atomic<std::int64_t> lost_lines{0};

/// Writes whole lines to standard output and drops them while the pipe is full.
class pipe_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    // The name is Boost.Log's.
    void consume(boost::log::record_view const&, std::string const& line)
    {
        std::string whole{line};
        whole += '\n';
        // A pipe takes lines of up to PIPE_BUF bytes whole or not at all.
        if (write(STDOUT_FILENO, whole.data(), whole.size()) != static_cast<ssize_t>(whole.size())) {
            lost_lines.fetch_add(1, std::memory_order_relaxed);
        }
    }
};

/// Lines of one event name in the current second.
struct line_rate {
    std::int64_t second_{};
    int written_{};
    std::int64_t left_out_{};
};

std::mutex rates_mutex;
std::map<std::string, line_rate, std::less<>> rates;

/// Books a line. \returns The lines left out before it, or -1 if it must be left out too.
std::int64_t book_line(std::string_view event, int limit)
{
    auto const second = boot_now().count_ / 1'000;
    std::scoped_lock const lock{rates_mutex};
    auto found = rates.find(event);
    if (found == rates.end()) {
        found = rates.emplace(std::string{event}, line_rate{}).first;
    }
    auto& rate = found->second;
    if (rate.second_ != second) {
        rate.second_ = second;
        rate.written_ = 0;
    }
    if (rate.written_ >= limit) {
        ++rate.left_out_;
        return -1;
    }
    ++rate.written_;
    return std::exchange(rate.left_out_, 0);
}

std::string timestamp()
{
    auto const time = wall_now();
    auto const seconds = static_cast<std::time_t>(time.count_ / 1'000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    auto const size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return std::string{text.data(), size} + "." + std::to_string(1'000 + time.count_ % 1'000).substr(1) + "Z";
}

void append_text(std::string& line, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    line += '"';
    for (char const c : text.substr(0, max_log_text)) {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 0x20 || byte >= 0x7f) {
            line += "\\u00";
            line += digits[byte >> 4U];
            line += digits[byte & 0xfU];
        } else {
            line += c;
        }
    }
    line += text.size() > max_log_text ? "~\"" : "\"";
}

void write_line(std::string_view event, std::initializer_list<log_field> fields, int limit)
{
    auto const left_out = book_line(event, limit);
    if (left_out < 0) {
        return;
    }
    thread_local boost::log::sources::logger logger;
    if (auto entry = logger.open_record()) {
        boost::log::record_ostream stream{entry};
        stream << decision_line(event, timestamp(), fields, left_out);
        stream.flush();
        logger.push_record(std::move(entry));
    }
}

} // namespace

std::string decision_line(std::string_view event, std::string_view time,
                          std::initializer_list<log_field> fields, std::int64_t left_out)
{
    std::string line{"{\"time\":"};
    append_text(line, time);
    line += ",\"event\":";
    append_text(line, event);
    for (auto const& field : fields) {
        line += ',';
        append_text(line, field.name_);
        line += ':';
        if (auto const* const number = std::get_if<std::int64_t>(&field.value_)) {
            line += std::to_string(*number);
        } else {
            append_text(line, std::get<std::string_view>(field.value_));
        }
    }
    if (left_out > 0) {
        line += ",\"left_out\":" + std::to_string(left_out);
    }
    return line += '}';
}

void init_decision_log()
{
    auto const flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        // Without it a reader that stalls would stall requests; a failure leaves blocking writes.
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    auto const core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_sink(boost::make_shared<boost::log::sinks::synchronous_sink<pipe_backend>>());
}

void log_decision(std::string_view event, std::initializer_list<log_field> fields)
{
    write_line(event, fields, max_lines_per_second);
}

void log_failure(std::string_view event, std::initializer_list<log_field> fields)
{
    write_line(event, fields, max_lines_per_second * failure_lines_factor);
}

std::int64_t lost_log_lines() noexcept
{
    return lost_lines.load(std::memory_order_relaxed);
}

} // namespace auburnchute
