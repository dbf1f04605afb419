#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace auburnchute {

/// \brief One named value of a log line.
struct log_field {
    std::string_view name_;
    std::variant<std::int64_t, std::string_view> value_;

    log_field(std::string_view name, std::string_view value) : name_{name}, value_{value} {}
    log_field(std::string_view name, char const* value) : name_{name}, value_{std::string_view{value}} {}
    log_field(std::string_view name, std::string const& value) : name_{name}, value_{std::string_view{value}}
    {
    }
    template <typename Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view name, Integer value)
        : name_{name}, value_{static_cast<std::int64_t>(value)}
    {
    }
};

/// \brief Longest text of one field; longer ones are cut and end with `~`.
inline constexpr std::size_t max_log_text = 160;

/// \brief Sends decision lines to standard output, one JSON object a line, through Boost.Log. A full pipe
/// drops lines; the next line that passes says how many. \pre Called once, before other threads log.
void init_decision_log();

/// \brief Writes one line about a decision: what was decided, from which inputs, with which outcome. Each
/// event name may write `max_lines_per_second` lines a second and the names of failures ten times as many;
/// what is left out is counted on the next line of that name.
/// Thread safety: may be called from any thread; never blocks on the output.
void log_decision(std::string_view event, std::initializer_list<log_field> fields);

/// \brief As `log_decision`, for failures and refusals, which are kept in larger numbers.
void log_failure(std::string_view event, std::initializer_list<log_field> fields);

/// \brief Bound on the lines of one event name; the decisions of a small VM's busiest second fit.
inline constexpr int max_lines_per_second = 100;

/// \returns The line without its end, as `log_decision` writes it. Thread safety: pure.
[[nodiscard]] std::string decision_line(std::string_view event, std::string_view time,
                                        std::initializer_list<log_field> fields, std::int64_t left_out);

/// \returns How many lines were lost to a full pipe since the start.
[[nodiscard]] std::int64_t lost_log_lines() noexcept;

} // namespace auburnchute
