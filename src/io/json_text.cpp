#include "io/json_text.h"

#include <algorithm>

namespace ebonymount {
namespace {

using Json = nlohmann::json;

constexpr std::string_view WHITESPACE = " \t\r\n";

/// Reads a JSON text value by value. Members that find no value leave the position at the end and
/// return false or an empty text.
class Scanner {
public:
    explicit Scanner(std::string_view text) : m_text(text) {}

    /// Skips whitespace, and then the character if it is the next one.
    bool skip(char character) {
        skip_whitespace();
        if (m_position == m_text.size() || m_text[m_position] != character) {
            return false;
        }
        ++m_position;
        return true;
    }

    bool is_at_end() {
        skip_whitespace();
        return m_position == m_text.size();
    }

    /// Text of the next value; empty if there is none or it has no end.
    std::string_view next_value() {
        skip_whitespace();
        const std::size_t start = m_position;
        std::size_t depth = 0;
        while (m_position < m_text.size()) {
            const char character = m_text[m_position];
            if (character == '"') {
                if (!skip_string()) {
                    return {};
                }
            } else if (character == '[' || character == '{') {
                ++depth;
                m_depth = std::max(m_depth, depth);
                ++m_position;
            } else if (character == ']' || character == '}') {
                if (depth == 0) {
                    break;
                }
                --depth;
                ++m_position;
            } else if (character == ',' && depth == 0) {
                break;
            } else {
                ++m_position;
                continue;
            }
            if (depth == 0) {
                break;
            }
        }
        return depth == 0 ? trimmed(m_text.substr(start, m_position - start)) : std::string_view{};
    }

    /// Text between the quotes of the next string, still escaped.
    std::optional<std::string_view> next_string() {
        skip_whitespace();
        const std::size_t start = m_position;
        if (start == m_text.size() || m_text[start] != '"' || !skip_string()) {
            return std::nullopt;
        }
        return m_text.substr(start + 1, m_position - start - 2);
    }

    /// Deepest nesting of the values so far.
    std::size_t depth() const {
        return m_depth;
    }

private:
    static std::string_view trimmed(std::string_view text) {
        const std::size_t last = text.find_last_not_of(WHITESPACE);
        return last == std::string_view::npos ? std::string_view{} : text.substr(0, last + 1);
    }

    void skip_whitespace() {
        m_position = std::min(m_text.find_first_not_of(WHITESPACE, m_position), m_text.size());
    }

    bool skip_string() {
        ++m_position;
        while (true) {
            m_position = std::min(m_text.find_first_of("\"\\", m_position), m_text.size());
            if (m_position == m_text.size()) {
                return false;
            }
            if (m_text[m_position] == '"') {
                ++m_position;
                return true;
            }
            m_position = std::min(m_position + 2, m_text.size());
        }
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    std::size_t m_depth = 0;
};

/// Stops a parser at the first value that is nested too deeply.
class DepthChecker : public nlohmann::json_sax<Json> {
public:
    bool is_too_deep() const {
        return m_depth > MAX_JSON_DEPTH;
    }

    bool start_object(std::size_t /*elements*/) override {
        return begin();
    }
    bool end_object() override {
        return end();
    }
    bool start_array(std::size_t /*elements*/) override {
        return begin();
    }
    bool end_array() override {
        return end();
    }
    bool null() override {
        return true;
    }
    bool boolean(bool /*value*/) override {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
        return true;
    }
    bool string(string_t& /*value*/) override {
        return true;
    }
    bool binary(binary_t& /*value*/) override {
        return true;
    }
    bool key(string_t& /*value*/) override {
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                     const Json::exception& /*error*/) override {
        return false;
    }

private:
    bool begin() {
        ++m_depth;
        return !is_too_deep();
    }
    bool end() {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
};

}  // namespace

std::optional<std::vector<JsonMember>> json_members(std::string_view object) {
    Scanner scanner(object);
    std::vector<JsonMember> members;
    if (!scanner.skip('{')) {
        return std::nullopt;
    }
    bool is_closed = scanner.skip('}');
    while (!is_closed) {
        const std::optional<std::string_view> key = scanner.next_string();
        if (!key.has_value() || !scanner.skip(':')) {
            return std::nullopt;
        }
        const std::string_view value = scanner.next_value();
        is_closed = scanner.skip('}');
        if (value.empty() || (!is_closed && !scanner.skip(','))) {
            return std::nullopt;
        }
        members.emplace_back(*key, value);
    }
    return scanner.is_at_end() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> json_elements(std::string_view array) {
    Scanner scanner(array);
    std::vector<std::string_view> elements;
    if (!scanner.skip('[')) {
        return std::nullopt;
    }
    bool is_closed = scanner.skip(']');
    while (!is_closed) {
        const std::string_view value = scanner.next_value();
        is_closed = scanner.skip(']');
        if (value.empty() || (!is_closed && !scanner.skip(','))) {
            return std::nullopt;
        }
        elements.push_back(value);
    }
    return scanner.is_at_end() ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view find_member(const std::vector<JsonMember>& members, std::string_view key) {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [key](const JsonMember& member) { return member.first == key; });
    return found == members.end() ? std::string_view{} : found->second;
}

Result<nlohmann::json> parse_json_text(std::string_view text) {
    constexpr std::size_t MAX_QUOTED = 80;
    Scanner scanner(text);
    scanner.next_value();
    if (scanner.depth() > MAX_JSON_DEPTH) {
        return Error{ErrorCode::protocol, "nested too deeply",
                     std::string(text.substr(0, MAX_QUOTED))};
    }
    Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return Error{ErrorCode::protocol, "not JSON", std::string(text.substr(0, MAX_QUOTED))};
    }
    return document;
}

bool is_text_nested_too_deeply(std::string_view text) {
    DepthChecker checker;
    Json::sax_parse(text, &checker, Json::input_format_t::json, true, true);
    return checker.is_too_deep();
}

bool is_msgpack_nested_too_deeply(std::string_view bytes) {
    DepthChecker checker;
    Json::sax_parse(bytes, &checker, Json::input_format_t::msgpack);
    return checker.is_too_deep();
}

}  // namespace ebonymount
