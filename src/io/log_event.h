// Structured log lines: one JSON object per decision, with the inputs of that decision.
//
// Lines go to standard output through Boost.Log. The volume is bounded and writing never blocks:
// lines beyond the rate limit, or that the reader is too slow for, are dropped and counted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "io/log.h"

namespace ebonymount {

/// Builder of one line.
class LogEvent {
public:
    /// `part` is the component that logs, `event` the decision.
    LogEvent(LogLevel level, const char* part, const char* event);

    LogEvent& add(const char* name, std::string_view value);
    LogEvent& add(const char* name, const char* value);
    LogEvent& add(const char* name, std::int64_t value);
    LogEvent& add_ms(const char* name, Duration value);
    LogEvent& add_fraction(const char* name, double value);

    /// Writes the line. Call once, as the last operation on the event.
    void write();

private:
    LogLevel m_level;
    std::string m_line;
};

}  // namespace ebonymount
