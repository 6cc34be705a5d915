// Process-wide logging. Each line is one short sentence with a fixed prefix that names the
// component (part) that logs it.
#pragma once

#include <string>

#include "base/result.h"

namespace ebonymount {

enum class LogLevel : std::uint8_t { debug, info, warning, error };

/// Format of the lines: text for people on standard error, or JSON on standard output, where lines
/// are dropped instead of blocking the writer.
enum class LogFormat : std::uint8_t { text, json };

/// When JSON lines are written to standard output.
enum class LogFlush : std::uint8_t {
    each_line,
    manual,  ///< The process calls `flush_log` several times a second, on the logging thread.
};

/// Configures logging for the process. `node` appears in JSON lines.
void start_logging(LogLevel level, LogFormat form, const std::string& node,
                   LogFlush flush = LogFlush::each_line);

/// Writes buffered lines. With `LogFlush::manual`, call it several times a second and at exit.
void flush_log();

/// Number of lines dropped because of the rate limit or a slow reader.
std::int64_t dropped_log_lines();

/// Name of a level, as in log lines and settings.
const char* log_level_name(LogLevel level);

/// Writes a complete line, such as one built by `LogEvent`, unless its level is disabled.
void write_log_line(LogLevel level, const std::string& line);

/// Parses the name of a level from the settings.
Result<LogLevel> log_level_from(const std::string& name);

/// Writes one sentence with the prefix of a part, such as "seats" or "platform", unless its level
/// is disabled.
void write_log(LogLevel level, const char* part, const std::string& message);

inline void log_info(const char* part, const std::string& message) {
    write_log(LogLevel::info, part, message);
}

inline void log_warning(const char* part, const std::string& message) {
    write_log(LogLevel::warning, part, message);
}

inline void log_error(const char* part, const std::string& message) {
    write_log(LogLevel::error, part, message);
}

}  // namespace ebonymount
