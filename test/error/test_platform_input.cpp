// The platform adapter rejects invalid input with an error, or skips it with a warning and keeps
// the valid input beside it.
#include <catch2/catch.hpp>

#include "platform/call_headers.h"
#include "platform/settings.h"
#include "platform/store_calls.h"

namespace ebonymount {
namespace {

std::string entry_with(const std::string& field, const std::string& value) {
    std::string text =
        R"({"service": "s", "address": "10.0.0.9:80", "zone": "a", "version": "v", )"
        R"("max_concurrency": 2, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})";
    const std::size_t at = text.find("\"" + field + "\": ") + field.size() + 4;
    const std::size_t end = text.find_first_of(",}", at);
    return text.replace(at, end - at, value);
}

bool is_rejected(const std::string& spec) {
    return !has_value(platform::decode_target("i-1", spec));
}

}  // namespace

TEST_CASE("a missing required settings key is an error that names the key") {
    const Result<platform::Settings> result = platform::parse_settings("node=a\n", "boot.conf");
    REQUIRE_FALSE(has_value(result));
    CHECK(describe(error_of(result)).find("boot.conf") != std::string::npos);
    CHECK(describe(error_of(result)).find("zone") != std::string::npos);
}

TEST_CASE("a settings value that is not a number is an error that names key and value") {
    const std::string text =
        "node=a\nzone=z\nregion=r\nip=10.0.0.1\nbind_addresses.front=10.0.0.1:1\n"
        "bind_addresses.ready=10.0.0.1:2\ninternal_port_range=7,8\nplatform.address=10.0.0.2:3\n"
        "bounds.grace_s=soon\n";
    const Result<platform::Settings> result = platform::parse_settings(text, "f");
    REQUIRE_FALSE(has_value(result));
    CHECK(describe(error_of(result)).find("bounds.grace_s=soon") != std::string::npos);
}

TEST_CASE("malformed target entries are rejected") {
    CHECK_FALSE(is_rejected(entry_with("sequence", "1")));
    CHECK(is_rejected("not json"));
    CHECK(is_rejected("null"));
    CHECK(is_rejected("[]"));
    CHECK(is_rejected(entry_with("state", "\"resting\"")));
    CHECK(is_rejected(entry_with("state", "7")));
    CHECK(is_rejected(entry_with("service", "null")));
    CHECK(is_rejected(entry_with("service", "{}")));
    CHECK(is_rejected(entry_with("address", "\"name.example:80\"")));
    CHECK(is_rejected(entry_with("address", "\"10.0.0.9\"")));
    CHECK(is_rejected(entry_with("address", "\"\"")));
    CHECK(is_rejected(entry_with("max_concurrency", "0")));
    CHECK(is_rejected(entry_with("max_concurrency", "1.5")));
    CHECK(is_rejected(entry_with("cold_remaining_ms", "\"0\"")));
    CHECK(is_rejected(entry_with("sequence", "true")));
    CHECK(is_rejected(R"({"service": "s"})"));
}

TEST_CASE("a target id that is not a valid header value is rejected") {
    const std::string spec = entry_with("sequence", "1");
    CHECK(has_value(platform::decode_target("i-1", spec)));
    for (const std::string name : {"", "i 1", "i\r\nX-Other: 1", "i\n", "i\x7f", "\xc3\xa9"}) {
        CHECK_FALSE(has_value(platform::decode_target(name, spec)));
    }
}

TEST_CASE("a target entry with a fractional start time is rejected") {
    std::string text = entry_with("sequence", "1");
    text.insert(1, R"("born": 12.5, )");
    CHECK(is_rejected(text));
}

TEST_CASE("a malformed configuration is an error") {
    std::vector<std::string> warnings;
    CHECK_FALSE(has_value(platform::decode_config("{", warnings)));
    CHECK_FALSE(has_value(platform::decode_config("{}", warnings)));
    CHECK_FALSE(has_value(platform::decode_config(R"({"version": "7"})", warnings)));
}

TEST_CASE("an invalid row is skipped with a warning, the other rows are kept") {
    const std::string spec = R"({"version": 1, "services": [{"name": 5}, {"name": "s"}],
        "routes": [{"name": "slash", "hostname": "h", "path_prefix": "/a", "type": "idempotent",
                    "timeout_ms": 5, "service": "s"},
                   {"name": "none", "hostname": "h", "path_prefix": "/b/"},
                   {"name": "good", "hostname": "h", "path_prefix": "/c/", "type": "idempotent",
                    "timeout_ms": 5, "service": "s"}]})";
    std::vector<std::string> warnings;
    const Result<RouteTable> result = platform::decode_config(spec, warnings);
    REQUIRE(has_value(result));
    REQUIRE(value_of(result).routes.size() == 1);
    CHECK(value_of(result).routes[0].name == "good");
    CHECK(value_of(result).services.size() == 1);
    CHECK(warnings.size() == 3);
}

TEST_CASE("malformed responses of the store are errors") {
    CHECK_FALSE(has_value(platform::decode_list("")));
    CHECK_FALSE(has_value(platform::decode_list(R"({"items": 3})")));
    CHECK_FALSE(has_value(platform::decode_list(R"({"items": [{}], "store_revision": 1})")));
    CHECK_FALSE(has_value(platform::decode_changes(R"({"store_revision": 1})")));
}

TEST_CASE(
    "a malformed or negative deadline is treated as not given, a huge one is capped at a day") {
    CHECK_FALSE(platform::decode_caller_headers({}).deadline.has_value());
    CHECK_FALSE(platform::decode_caller_headers({{"X-Ebonymount-Deadline-Ms", "soon"}})
                    .deadline.has_value());
    CHECK_FALSE(
        platform::decode_caller_headers({{"X-Ebonymount-Deadline-Ms", "-5"}}).deadline.has_value());
    CHECK(platform::decode_caller_headers({{"X-Ebonymount-Deadline-Ms", "0"}}).deadline ==
          Duration::zero());
    CHECK(platform::decode_caller_headers({{"X-Ebonymount-Deadline-Ms", "9000000000000000"}})
              .deadline == from_ms(86400000));
}

}  // namespace ebonymount
