// Structured log lines: one JSON object for each decision, with the inputs that decided it.
//
// Lines go to standard output through Boost.Log. The volume is bounded and writing never blocks:
// lines beyond the rate, or that the reader does not take in time, are dropped and counted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "io/log.h"

namespace ebonymount {

/// One line in the making.
class LogEvent {
public:
    /// `part` writes the line, `event` says what was decided.
    LogEvent(LogLevel level, const char* part, const char* event);

    LogEvent& add(const char* name, std::string_view value);
    LogEvent& add(const char* name, const char* value);
    LogEvent& add(const char* name, std::int64_t value);
    LogEvent& add_ms(const char* name, Duration value);
    LogEvent& add_fraction(const char* name, double value);

    /// Hands the line over. The event is used up.
    void write();

private:
    LogLevel m_level;
    std::string m_line;
};

}  // namespace ebonymount
