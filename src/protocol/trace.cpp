#include "protocol/trace.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

namespace auburnchute {

namespace {

// About 10,000 spans; more are waiting only while the disk is full or slow.
constexpr std::size_t max_buffered = 4 * 1024 * 1024;

std::string random_hex(std::size_t digits)
{
    thread_local std::mt19937_64 generator = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64{seed};
    }();
    constexpr std::string_view symbols = "0123456789abcdef";
    std::string text(digits, '0');
    // All zeroes is not a valid id.
    while (text.find_first_not_of('0') == std::string::npos) {
        for (auto& digit : text) {
            digit = symbols[generator() % symbols.size()];
        }
    }
    return text;
}

bool is_hex(std::string_view text) noexcept
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_id(std::string_view text) noexcept
{
    return is_hex(text) && text.find_first_not_of('0') != std::string_view::npos;
}

bool is_traceparent(std::string_view header) noexcept
{
    constexpr std::size_t size = 55;
    if (header.size() < size || header[2] != '-' || header[35] != '-' || header[52] != '-') {
        return false;
    }
    auto const version = header.substr(0, 2);
    // Later versions may append fields; version 00 has exactly these.
    bool const size_fits = header.size() == size || (version != "00" && header[size] == '-');
    return size_fits && is_hex(version) && version != "ff" && is_id(header.substr(3, 32)) &&
           is_id(header.substr(36, 16)) && is_hex(header.substr(53, 2));
}

std::string nanos(millis time)
{
    return std::to_string(time.count_) + "000000";
}

} // namespace

trace_context parse_traceparent(std::string_view header)
{
    if (!is_traceparent(header)) {
        return {random_hex(32), {}, true};
    }
    // The lowest bit of the flags is the sampled flag.
    bool const sampled = std::string_view{"13579bdf"}.find(header[54]) != std::string_view::npos;
    return {std::string{header.substr(3, 32)}, std::string{header.substr(36, 16)}, sampled};
}

std::string to_traceparent(trace_context const& context)
{
    return "00-" + context.trace_id_ + "-" + context.span_id_ + (context.sampled_ ? "-01" : "-00");
}

trace_context child_of(trace_context const& context)
{
    return {context.trace_id_, random_hex(16), context.sampled_};
}

span_sink::span_sink(std::string_view file)
{
    if (file.empty()) {
        return;
    }
    std::string const path{file};
    file_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640);
    if (file_ < 0) {
        throw error{"traces", path, std::strerror(errno)};
    }
    writer_ = std::thread{[this] { run(); }};
}

span_sink::~span_sink()
{
    close();
}

void span_sink::close()
{
    {
        std::lock_guard const lock{mutex_};
        if (stop_ || file_ < 0) {
            return;
        }
        stop_ = true;
    }
    wake_.notify_one();
    writer_.join();
    ::close(file_);
}

void span_sink::write(trace_context const& own, std::string_view parent_span_id, std::string_view name,
                      millis wall_start, millis wall_end, std::span<span_attribute const> attributes)
{
    if (file_ < 0 || !own.sampled_) {
        return;
    }
    using nlohmann::ordered_json;
    auto const attribute = [](std::string_view key, std::string_view value) {
        return ordered_json{{"key", key}, {"value", {{"stringValue", value}}}};
    };
    ordered_json span{{"traceId", own.trace_id_}, {"spanId", own.span_id_}};
    if (!parent_span_id.empty()) {
        span["parentSpanId"] = parent_span_id;
    }
    span["name"] = name;
    span["startTimeUnixNano"] = nanos(wall_start);
    span["endTimeUnixNano"] = nanos(wall_end);
    span["attributes"] = ordered_json::array();
    for (auto const& item : attributes) {
        span["attributes"].push_back(attribute(item.key_, item.value_));
    }
    ordered_json resource;
    resource["attributes"] = ordered_json::array({attribute("service.name", "auburnchute")});
    ordered_json scope;
    scope["scope"]["name"] = "auburnchute";
    scope["spans"] = ordered_json::array({std::move(span)});
    ordered_json group;
    group["resource"] = std::move(resource);
    group["scopeSpans"] = ordered_json::array({std::move(scope)});
    ordered_json root;
    root["resourceSpans"] = ordered_json::array({std::move(group)});
    auto line = root.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
    line += '\n';

    std::lock_guard const lock{mutex_};
    if (stop_ || buffer_.size() + line.size() > max_buffered) {
        ++dropped_;
        return;
    }
    buffer_ += line;
    wake_.notify_one();
}

std::int64_t span_sink::dropped() const noexcept
{
    std::lock_guard const lock{mutex_};
    return dropped_;
}

void span_sink::run()
{
    std::string taken;
    std::unique_lock lock{mutex_};
    while (true) {
        wake_.wait(lock, [this] { return stop_ || !buffer_.empty(); });
        if (buffer_.empty()) {
            return;
        }
        taken.clear();
        taken.swap(buffer_);
        lock.unlock();
        write_out(taken);
        lock.lock();
    }
}

void span_sink::write_out(std::string_view lines)
{
    while (!lines.empty()) {
        auto const written = ::write(file_, lines.data(), lines.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            // A full disk: these spans are lost, and the next ones are tried again.
            std::lock_guard const lock{mutex_};
            dropped_ += std::count(lines.begin(), lines.end(), '\n');
            return;
        }
        lines.remove_prefix(static_cast<std::size_t>(written));
    }
}

} // namespace auburnchute
