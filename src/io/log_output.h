// Bounded buffer between the log and standard output; never blocks its writers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace ebonymount {

/// Buffers lines for a file descriptor and writes as much as it accepts without blocking.
class LogOutput {
public:
    /// Lines beyond `max_lines_per_second` or `max_buffered_bytes` are dropped.
    LogOutput(int descriptor, std::int64_t max_lines_per_second, std::size_t max_buffered_bytes);

    /// Buffers a line, given without its line break, or drops it when a bound is exceeded. The next
    /// line that is not dropped is preceded by a line with the number of dropped lines.
    void add(std::string_view line, Time now);

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

    /// Number of lines dropped so far.
    std::int64_t dropped() const;

private:
    /// Counts a line of `bytes` bytes; false when it exceeds one of the bounds.
    bool admit_line(std::size_t bytes, Time now);

    int m_descriptor;
    std::int64_t m_max_lines_per_second;
    std::size_t m_max_buffered_bytes;
    std::string m_buffer;
    std::int64_t m_lines_in_second = 0;
    Time m_second_started_at{};
    std::int64_t m_dropped = 0;
    std::int64_t m_reported_drops = 0;
};

}  // namespace ebonymount
