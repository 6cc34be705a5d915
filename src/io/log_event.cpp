#include "io/log_event.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace ebonymount {
namespace {

constexpr std::size_t TYPICAL_LINE_BYTES = 320;
constexpr unsigned char FIRST_PRINTABLE = 0x20;

void append_number(std::string& line, std::int64_t value) {
    std::array<char, 24> digits{};
    const std::to_chars_result end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    line.append(digits.data(), end.ptr);
}

/// Appends text as the content of a JSON string. Control characters and bytes beyond ASCII become
/// question marks, since callers may send any bytes.
void append_escaped(std::string& line, std::string_view text) {
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else {
            line += byte < FIRST_PRINTABLE || byte > '~' ? '?' : character;
        }
    }
}

}  // namespace

LogEvent::LogEvent(LogLevel level, const char* part, const char* event) : m_level(level) {
    m_line.reserve(TYPICAL_LINE_BYTES);
    m_line += "{\"at_ms\":";
    append_number(m_line, wall_clock_ms());
    add("level", log_level_name(level));
    add("part", part);
    add("event", event);
}

LogEvent& LogEvent::add(const char* name, std::string_view value) {
    m_line += ",\"";
    m_line += name;
    m_line += "\":\"";
    append_escaped(m_line, value);
    m_line += '"';
    return *this;
}

LogEvent& LogEvent::add(const char* name, const char* value) {
    return add(name, std::string_view(value));
}

LogEvent& LogEvent::add(const char* name, std::int64_t value) {
    m_line += ",\"";
    m_line += name;
    m_line += "\":";
    append_number(m_line, value);
    return *this;
}

LogEvent& LogEvent::add_ms(const char* name, Duration value) {
    return add_fraction(name, to_ms(value));
}

LogEvent& LogEvent::add_fraction(const char* name, double value) {
    std::array<char, 32> digits{};
    const int length = std::snprintf(digits.data(), digits.size(), "%.2f", value);
    m_line += ",\"";
    m_line += name;
    m_line += "\":";
    m_line.append(digits.data(), static_cast<std::size_t>(length));
    return *this;
}

void LogEvent::write() {
    m_line += '}';
    write_log_line(m_level, m_line);
}

}  // namespace ebonymount
