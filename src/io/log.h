// Logs: short sentences, each with the fixed prefix of the part that writes it.
#pragma once

#include <string>

#include "base/result.h"

namespace ebonymount {

enum class LogLevel : std::uint8_t { debug, info, warning, error };

/// Form of the lines on standard error.
enum class LogForm : std::uint8_t { text, json };

/// Sets up logging for the process. `node` appears in JSON lines.
void start_logging(LogLevel level, LogForm form, const std::string& node);

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
