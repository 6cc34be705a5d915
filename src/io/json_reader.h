// Typed, strict reader of a JSON object that tracks which keys were read.
//
// Errors are thrown as `UserError` with the path of the member; modules that use the reader convert
// them to `Result` in their public functions. `finish` rejects keys that were not read.
#pragma once

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "base/check.h"

namespace ebonymount {

/// Reads one JSON object; `path` prefixes member names in errors. The object must outlive the
/// reader.
class JsonReader {
public:
    JsonReader(const nlohmann::json& object, std::string path)
        : m_object(object), m_path(std::move(path)) {
        user_check(object.is_object()) << m_path << " is not an object";
    }

    /// The member of that name; throws if it is absent.
    const nlohmann::json& member(const std::string& name) {
        m_read.insert(name);
        user_check(m_object.contains(name)) << path_of(name) << " is missing";
        return m_object.at(name);
    }

    /// The member of that name, or null when it is absent.
    const nlohmann::json* find(const std::string& name) {
        m_read.insert(name);
        return m_object.contains(name) ? &m_object.at(name) : nullptr;
    }

    std::string text(const std::string& name) {
        const nlohmann::json& value = member(name);
        user_check(value.is_string()) << path_of(name) << " is not a string: " << value.dump();
        return value.get<std::string>();
    }

    std::string text_or(const std::string& name, const std::string& default_value) {
        return find(name) == nullptr ? default_value : text(name);
    }

    /// A 64-bit hash, which is text because JSON numbers do not hold it exactly.
    std::uint64_t hash(const std::string& name) {
        const std::string value = text(name);
        std::uint64_t number = 0;
        const std::from_chars_result end =
            std::from_chars(value.data(), value.data() + value.size(), number);
        user_check(end.ec == std::errc() && end.ptr == value.data() + value.size())
            << path_of(name) << " is not a 64-bit hash: " << value;
        return number;
    }

    std::int64_t integer(const std::string& name, std::int64_t minimum, std::int64_t maximum) {
        const nlohmann::json& value = member(name);
        user_check(value.is_number_integer())
            << path_of(name) << " is not a whole number: " << value.dump();
        const std::int64_t number = value.get<std::int64_t>();
        user_check(number >= minimum && number <= maximum)
            << path_of(name) << " is " << number << ", allowed is " << minimum << " to " << maximum;
        return number;
    }

    std::int64_t integer_or(const std::string& name, std::int64_t minimum, std::int64_t maximum,
                            std::int64_t default_value) {
        return find(name) == nullptr ? default_value : integer(name, minimum, maximum);
    }

    bool boolean_or(const std::string& name, bool default_value) {
        const nlohmann::json* value = find(name);
        if (value == nullptr) {
            return default_value;
        }
        user_check(value->is_boolean())
            << path_of(name) << " is not true or false: " << value->dump();
        return value->get<bool>();
    }

    /// The array of that name; empty if it is absent.
    const nlohmann::json& array(const std::string& name) {
        static const nlohmann::json empty = nlohmann::json::array();
        const nlohmann::json* value = find(name);
        if (value == nullptr) {
            return empty;
        }
        user_check(value->is_array()) << path_of(name) << " is not a list";
        return *value;
    }

    std::vector<std::string> texts(const std::string& name) {
        std::vector<std::string> result;
        for (const nlohmann::json& value : array(name)) {
            user_check(value.is_string())
                << path_of(name) << " has an entry that is not a string: " << value.dump();
            result.push_back(value.get<std::string>());
        }
        return result;
    }

    /// Throws if the object has a key that was not read.
    void finish() const {
        for (const auto& [key, value] : m_object.items()) {
            user_check(m_read.count(key) > 0) << path_of(key) << " is not a known key";
        }
    }

    std::string path_of(const std::string& name) const {
        return m_path.empty() ? name : m_path + "." + name;
    }

private:
    const nlohmann::json& m_object;
    std::string m_path;
    std::set<std::string> m_read;
};

}  // namespace ebonymount
