// Splitting JSON text into values, and the bound on nesting.
#include <catch2/catch.hpp>

#include <string>

#include "io/json_text.h"

namespace ebonymount {
namespace {

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

}  // namespace

TEST_CASE("an object is split into its members, whatever their values are") {
    const auto members =
        json_members(R"( { "a" : 1 , "b":"x,}\"]", "c": {"d": [1, 2]}, "e": bad\ud800 } )");
    REQUIRE(members.has_value());
    REQUIRE(members->size() == 4);
    CHECK(find_member(*members, "a") == "1");
    CHECK(find_member(*members, "b") == R"("x,}\"]")");
    CHECK(find_member(*members, "c") == R"({"d": [1, 2]})");
    CHECK(find_member(*members, "e") == R"(bad\ud800)");
    CHECK(find_member(*members, "d").empty());
    CHECK(json_members("{}")->empty());
}

TEST_CASE("an array is split into its elements, whatever they are") {
    const auto elements = json_elements(R"([ {"a": "]"}, "\\", [], 1e999 ])");
    REQUIRE(elements.has_value());
    CHECK(*elements == std::vector<std::string_view>{R"({"a": "]"})", R"("\\")", "[]", "1e999"});
    CHECK(json_elements(" [ ] ")->empty());
    // Left to the parser, which rejects this element alone.
    CHECK(*json_elements("[1 [2], 3]") == std::vector<std::string_view>{"1 [2]", "3"});
}

TEST_CASE("a text that is no whole object or array is not split") {
    for (const char* text : {"", " ", "{", "[", "}", "[1", "[1,", "[1,]", "[,1]", "[]]", "[] x",
                             R"(["a)", R"(["a\)", "[[]", "3", "{}"}) {
        CHECK_FALSE(json_elements(text).has_value());
    }
    for (const char* text : {"", "{", R"({"a"})", R"({"a":})", R"({"a":1,})", R"({a:1})",
                             R"({"a":1)", R"({"a":1}})", R"({"a:1})", R"({"a":[})", "[]"}) {
        CHECK_FALSE(json_members(text).has_value());
    }
}

TEST_CASE("text and MessagePack are parsed up to the bound on nesting") {
    CHECK(has_value(parse_json_text(nested(MAX_JSON_DEPTH))));
    CHECK_FALSE(has_value(parse_json_text(nested(MAX_JSON_DEPTH + 1))));
    CHECK_FALSE(has_value(parse_json_text("[] " + nested(1))));
    CHECK_FALSE(is_text_nested_too_deeply("// [[\n" + nested(MAX_JSON_DEPTH)));
    CHECK(is_text_nested_too_deeply("/* \" */" + nested(MAX_JSON_DEPTH + 1)));
    CHECK_FALSE(is_msgpack_nested_too_deeply(std::string(MAX_JSON_DEPTH, '\x91')));
    CHECK(is_msgpack_nested_too_deeply(std::string(MAX_JSON_DEPTH + 1, '\x91')));
}

TEST_CASE("brackets in strings do not count as nesting") {
    CHECK(has_value(parse_json_text("\"" + nested(1000) + "\"")));
}

}  // namespace ebonymount
