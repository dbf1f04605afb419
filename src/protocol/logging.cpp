#include "protocol/logging.hpp"

#include <auburnchute/clock.hpp>
#include <auburnchute/error.hpp>

#include <algorithm>
#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <ctime>
#include <iostream>
#include <string>

namespace auburnchute {

namespace {

namespace trivial = boost::log::trivial;

std::string timestamp()
{
    auto const time = wall_now();
    auto const seconds = static_cast<std::time_t>(time.count_ / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    auto const size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto const rest = std::to_string(1000 + time.count_ % 1000);
    return std::string{text.data(), size} + "." + rest.substr(1) + "Z";
}

/// Keeps text from elsewhere within its quotes and on one line.
std::string quoted(std::string_view text)
{
    std::string shown{'"'};
    for (char const c : text) {
        if (c == '"' || c == '\\') {
            shown += '\\';
            shown += c;
        } else {
            shown += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? ' ' : c;
        }
    }
    return shown += '"';
}

std::string field(std::string_view text)
{
    if (text.empty()) {
        return "-";
    }
    bool const plain = std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c != 0x7f && c != '"' && c != '\\' && c != '=';
    });
    return plain ? std::string{text} : quoted(text);
}

void log_line(trivial::severity_level level, std::string_view step, std::string_view peer,
              std::string_view message)
{
    auto& logger = trivial::logger::get();
    if (auto entry = logger.open_record(boost::log::keywords::severity = level)) {
        boost::log::record_ostream stream{entry};
        stream << timestamp() << ' ' << trivial::to_string(level) << " step=" << field(step)
               << " peer=" << field(peer) << " message=" << quoted(message);
        stream.flush();
        logger.push_record(std::move(entry));
    }
}

} // namespace

void init_logging(std::string_view level)
{
    trivial::severity_level least{};
    if (level == "fatal" || !trivial::from_string(level.data(), level.size(), least)) {
        throw error{"settings", "",
                    "log level " + std::string{level} +
                        " does not exist; expected trace, debug, info, warning or error"};
    }
    using backend = boost::log::sinks::text_ostream_backend;
    auto const lines = boost::make_shared<backend>();
    lines->add_stream(boost::shared_ptr<std::ostream>{&std::clog, boost::null_deleter{}});
    lines->auto_flush(true);
    auto const core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_sink(boost::make_shared<boost::log::sinks::synchronous_sink<backend>>(lines));
    core->set_filter(trivial::severity >= least);
}

void log_change(std::string_view step, std::string_view peer, std::string_view message)
{
    log_line(trivial::info, step, peer, message);
}

void log_fault(std::string_view step, std::string_view peer, std::string_view message)
{
    log_line(trivial::error, step, peer, message);
}

} // namespace auburnchute
