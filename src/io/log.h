// Logs: short sentences, each with the fixed prefix of the part that writes it.
#pragma once

#include <string>

#include "base/result.h"

namespace ebonymount {

enum class LogLevel : std::uint8_t { debug, info, warning, error };

/// Form of the lines: text for people on standard error, or JSON on standard output, where lines
/// are dropped rather than waited for.
enum class LogForm : std::uint8_t { text, json };

/// When JSON lines leave the process.
enum class LogFlush : std::uint8_t {
    each_line,
    by_owner,  ///< The process calls `flush_log` every fraction of a second, on the logging thread.
};

/// Sets up logging for the process. `node` appears in JSON lines.
void start_logging(LogLevel level, LogForm form, const std::string& node,
                   LogFlush flush = LogFlush::each_line);

/// Writes buffered lines; called every fraction of a second and at the end.
void flush_log();

/// Lines that were dropped because of their number or a slow reader.
std::int64_t dropped_log_lines();

/// Name of a level as it appears in lines and settings.
const char* log_level_name(LogLevel level);

/// Writes a line that is complete, such as one of `LogEvent`.
void write_log_line(LogLevel level, const std::string& line);

/// Parses a level's name from the settings.
Result<LogLevel> log_level_from(const std::string& name);

/// Writes one sentence for a part, such as "seats" or "platform".
void write_log(LogLevel level, const char* part, const std::string& sentence);

inline void log_info(const char* part, const std::string& sentence) {
    write_log(LogLevel::info, part, sentence);
}

inline void log_warning(const char* part, const std::string& sentence) {
    write_log(LogLevel::warning, part, sentence);
}

inline void log_error(const char* part, const std::string& sentence) {
    write_log(LogLevel::error, part, sentence);
}

}  // namespace ebonymount
