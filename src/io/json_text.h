// JSON text from outside: bounded nesting, and values that are read apart from each other.
//
// Code that walks a parsed document calls itself for each level, so nesting without a bound uses up
// the stack. And a parser rejects a text as a whole, though one value in it may come from a writer
// that has nothing to do with the others. A list is therefore split into its elements first, by
// strings and brackets alone, and each element is parsed by itself.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"

namespace ebonymount {

/// Maximum nesting of arrays and objects in a document. Documents of this project and of its
/// platform have less than ten levels.
constexpr std::size_t MAX_JSON_DEPTH = 64;

/// A member of an object: its key without quotes, and the text of its value.
using JsonMember = std::pair<std::string_view, std::string_view>;

/// Splits the text of an object into its members, or of an array into its elements. The values are
/// delimited but not checked. Empty if the text is no whole object or array.
std::optional<std::vector<JsonMember>> json_members(std::string_view object);
std::optional<std::vector<std::string_view>> json_elements(std::string_view array);

/// Text of the member with that key; empty if there is none.
std::string_view find_member(const std::vector<JsonMember>& members, std::string_view key);

/// Parses a JSON text. The error says why it is none, or that it is nested too deeply.
Result<nlohmann::json> parse_json_text(std::string_view text);

/// True if a text with comments, or MessagePack bytes, are nested deeper than `MAX_JSON_DEPTH`.
/// Bytes that cannot be parsed count up to where they are wrong.
bool is_text_nested_too_deeply(std::string_view text);
bool is_msgpack_nested_too_deeply(std::string_view bytes);

}  // namespace ebonymount
