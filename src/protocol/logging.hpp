#pragma once

#include <string_view>

namespace auburnchute {

/// \brief Sends log lines of this level and above to standard error, one line each:
/// `2026-12-04T05:10:00.123Z info step=connect peer=10.0.0.7:8000 message="..."`.
/// \param level `trace`, `debug`, `info`, `warning` or `error`.
/// \throws error with step `settings` for another level.
/// \pre Called before other threads log. A second call replaces the level.
void init_logging(std::string_view level);

/// \brief Logs a change of state at level `info`. Thread safety: may be called from any thread.
/// \param peer The peer involved, or empty.
void log_change(std::string_view step, std::string_view peer, std::string_view message);

/// \brief Logs a fault at level `error`; otherwise as `log_change`.
void log_fault(std::string_view step, std::string_view peer, std::string_view message);

} // namespace auburnchute
