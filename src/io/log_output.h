// The end of the log: a bounded buffer before standard output that never blocks its writers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace ebonymount {

/// Buffers lines for a file descriptor and writes what it takes without waiting.
class LogOutput {
public:
    /// `most_lines_per_second` bounds the volume.
    LogOutput(int descriptor, std::int64_t most_lines_per_second, std::size_t most_bytes);

    /// Takes a line without its end, or drops it.
    void add(std::string_view line, Time now);

    /// Writes what the descriptor takes now.
    void flush();

    /// Lines dropped so far.
    std::int64_t dropped() const;

private:
    bool has_room(std::size_t bytes, Time now);

    int m_descriptor;
    std::int64_t m_most_lines_per_second;
    std::size_t m_most_bytes;
    std::string m_buffer;
    std::int64_t m_lines_in_second = 0;
    Time m_second{};
    std::int64_t m_dropped = 0;
    std::int64_t m_reported = 0;
};

}  // namespace ebonymount
