#include "io/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace ebonymount {
namespace {

/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t PIPE_CHUNK_BYTES = 4096;

/// Adding a line writes the buffer once it holds this many bytes.
constexpr std::size_t FLUSH_BYTES = 8192;

bool is_writable(int descriptor) {
    pollfd state{descriptor, POLLOUT, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & POLLOUT) != 0;
}

}  // namespace

LogOutput::LogOutput(int descriptor, std::int64_t max_lines_per_second,
                     std::size_t max_buffered_bytes)
    : m_descriptor(descriptor),
      m_max_lines_per_second(max_lines_per_second),
      m_max_buffered_bytes(max_buffered_bytes) {}

bool LogOutput::admit_line(std::size_t bytes, Time now) {
    if (now - m_second_started_at >= from_ms(1000)) {
        m_second_started_at = now;
        m_lines_in_second = 0;
    }
    ++m_lines_in_second;
    return m_lines_in_second <= m_max_lines_per_second &&
           m_buffer.size() + bytes + 1 <= m_max_buffered_bytes;
}

void LogOutput::add(std::string_view line, Time now) {
    if (!admit_line(line.size(), now)) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_reported_drops) {
        m_buffer += "{\"part\":\"log\",\"event\":\"dropped\",\"lines\":" +
                    std::to_string(m_dropped - m_reported_drops) + "}\n";
        m_reported_drops = m_dropped;
    }
    m_buffer.append(line);
    m_buffer += '\n';
    if (m_buffer.size() >= FLUSH_BYTES) {
        flush();
    }
}

void LogOutput::flush() {
    std::size_t sent = 0;
    while (sent < m_buffer.size() && is_writable(m_descriptor)) {
        const std::size_t size = std::min(PIPE_CHUNK_BYTES, m_buffer.size() - sent);
        const ssize_t written = write(m_descriptor, m_buffer.data() + sent, size);
        if (written <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, sent);
}

std::int64_t LogOutput::dropped() const {
    return m_dropped;
}

}  // namespace ebonymount
