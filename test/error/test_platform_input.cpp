// The platform adapter rejects invalid input with an error, or skips it with a warning and keeps
// the valid input beside it.
#include <catch2/catch.hpp>

#include <functional>

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

const std::string REQUIRED_SETTINGS =
    "node=a\nzone=z\nregion=r\nip=10.0.0.1\nbind_addresses.front=10.0.0.1:1\n"
    "bind_addresses.ready=10.0.0.1:2\ninternal_port_range=7,8\nplatform.address=10.0.0.2:3\n";

bool is_rejected(const std::string& spec) {
    return !has_value(platform::decode_target("i-1", spec));
}

/// Contents that another writer may leave in the store: nested without bound, half of a surrogate
/// pair, a byte that is not UTF-8, and a number out of range.
std::vector<std::string> unreadable_contents() {
    constexpr std::size_t DEPTH = 400000;
    return {entry_with("address", std::string(DEPTH, '[') + std::string(DEPTH, ']')),
            entry_with("version", R"("\ud800")"), entry_with("version", "\"\xff\""),
            entry_with("cold_remaining_ms", "1e999")};
}

std::string object_with(const std::string& name, const std::string& spec) {
    return R"({"meta": {"name": ")" + name + R"(", "revision": 3}, "spec": )" + spec + "}";
}

}  // namespace

TEST_CASE("a missing required settings key is an error that names the key") {
    const Result<platform::ParsedSettings> result =
        platform::parse_settings("node=a\n", "boot.conf");
    REQUIRE_FALSE(has_value(result));
    CHECK(describe(error_of(result)).find("boot.conf") != std::string::npos);
    CHECK(describe(error_of(result)).find("zone") != std::string::npos);
}

TEST_CASE("a required settings key without a usable value is an error that names key and value") {
    for (const char* key : {"bind_addresses.front", "bind_addresses.ready", "platform.address"}) {
        for (const char* value : {"soon", "10.0.0.1", "name:80", "10.0.0.1:0", "10.0.0.1:99999"}) {
            const std::string line = std::string(key) + "=" + value;
            const Result<platform::ParsedSettings> result =
                platform::parse_settings(REQUIRED_SETTINGS + line + "\n", "f");
            REQUIRE_FALSE(has_value(result));
            CHECK(describe(error_of(result)).find(line) != std::string::npos);
        }
    }
    for (const char* key : {"node", "zone", "region", "ip", "bind_addresses.front",
                            "bind_addresses.ready", "platform.address"}) {
        const Result<platform::ParsedSettings> result =
            platform::parse_settings(REQUIRED_SETTINGS + key + "=\n", "f");
        REQUIRE_FALSE(has_value(result));
        CHECK(describe(error_of(result)).find(key) != std::string::npos);
    }
}

TEST_CASE("a bound or limit is read in each form, and rounded to the side that keeps the bound") {
    using platform::Settings;
    struct Field {
        const char* key;
        std::function<double(const Settings&)> read;
        /// Values for 33.158, for true and for false; the last is the default if 0 is unusable.
        double fraction;
        double if_true;
        double if_false;
    };
    const Settings defaults;
    const auto ms = [](Duration Settings::*member) {
        return [member](const Settings& settings) {
            return to_ms(settings.*member);
        };
    };
    const auto whole = [](std::int64_t Settings::*member) {
        return [member](const Settings& settings) {
            return static_cast<double>(settings.*member);
        };
    };
    const auto decimal = [](double Settings::*member) {
        return [member](const Settings& settings) {
            return settings.*member;
        };
    };
    const std::vector<Field> fields = {
        {"limits.max_open_files", whole(&Settings::max_open_files), 33, 1, 1024},
        {"limits.cpu_share", decimal(&Settings::cpu_share), 33.158, 1, 1},
        {"bounds.grace_s", ms(&Settings::grace), 33158, 1000, 0},
        {"bounds.config_apply_ms", ms(&Settings::config_apply), 33.158, 1, 0},
        {"bounds.drain_ms", ms(&Settings::drain), 33.158, 1, 0},
        {"bounds.evacuate_ms", ms(&Settings::evacuate), 33.158, 1, 0},
        {"bounds.stable_window_ms", ms(&Settings::stable_window), 33.158, 1, 0},
        {"bounds.retry_budget_ratio", decimal(&Settings::retry_ratio), 33.158, 1, 0},
        {"bounds.budget_slack", whole(&Settings::retry_slack), 33, 1, 0},
        {"bounds.budget_window_s", ms(&Settings::retry_window), 33158, 1000, 0},
        {"bounds.cold_over", decimal(&Settings::cold_overrun), 33.158, 1, 0},
        {"bounds.cold_slack", whole(&Settings::cold_slack), 33, 1, 0},
    };
    for (const Field& field : fields) {
        INFO(field.key);
        const auto parse = [&field](const std::string& value, const Settings& fallback) {
            return platform::parse_settings(REQUIRED_SETTINGS + field.key + "=" + value + "\n", "f",
                                            fallback);
        };
        const auto read = [&parse, &field](const std::string& value) {
            const Result<platform::ParsedSettings> result = parse(value, Settings{});
            REQUIRE(has_value(result));
            return field.read(value_of(result).settings);
        };
        CHECK(read("7") == Approx(7 * field.if_true));
        CHECK(read("33.158") == Approx(field.fraction));
        CHECK(read("true") == Approx(field.if_true));
        CHECK(read("false") == Approx(field.if_false));
        CHECK(read("") == Approx(field.read(defaults)));
        // An unusable value leaves the previous one in force and is reported.
        const Result<platform::ParsedSettings> previous = parse("7", Settings{});
        REQUIRE(has_value(previous));
        for (const char* value : {"soon", "-1", "nan", "inf", "1e300", "7 8", "0x"}) {
            INFO(value);
            const Result<platform::ParsedSettings> result =
                parse(value, value_of(previous).settings);
            REQUIRE(has_value(result));
            CHECK(value_of(result).settings == value_of(previous).settings);
            REQUIRE(value_of(result).warnings.size() == 1);
            CHECK(value_of(result).warnings.front().find(std::string(field.key) + "=" + value) !=
                  std::string::npos);
        }
    }
}

TEST_CASE("a deadline or cold time that does not fit is ignored or bounded") {
    const auto deadline = [](const std::string& value) {
        return platform::decode_caller_headers({{"X-Ebonymount-Deadline-Ms", value}}).deadline;
    };
    CHECK(deadline("800") == from_ms(800));
    CHECK_FALSE(deadline("800abc").has_value());
    CHECK_FALSE(deadline("-1").has_value());
    CHECK_FALSE(deadline("99999999999999999999").has_value());
    HttpResponseMessage response;
    response.headers = {{"X-Ebonymount-Cold-Ms", "9223372036854775807"},
                        {"X-Ebonymount-Server-Load", "3,5,8"}};
    const platform::TargetResponseHeaders headers = platform::decode_target_headers(response);
    CHECK(headers.cold_remaining > Duration::zero());
    CHECK(headers.waiting == 5);
    const Result<TargetEntry> entry =
        platform::decode_target("i-1", entry_with("cold_remaining_ms", "9223372036854775807"));
    REQUIRE(has_value(entry));
    CHECK(value_of(entry).cold_remaining > Duration::zero());
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

// Guards against review case 2, in which one entry ended every node by a stack overflow, and case
// 3, in which one entry made the whole list unreadable.
TEST_CASE("an unreadable entry of another writer names no target, and the entries beside it hold") {
    const std::string good = entry_with("sequence", "7");
    for (const std::string& bad : unreadable_contents()) {
        const Result<platform::ObjectPage> list = platform::decode_list(
            R"({"items": [)" + object_with("a", good) + "," + object_with("b", bad) + "," +
            object_with("c", good) + R"(], "has_more": false, "store_revision": 9})");
        REQUIRE(has_value(list));
        REQUIRE(value_of(list).objects.size() == 3);
        CHECK(has_value(platform::decode_target("a", value_of(list).objects[0].spec)));
        CHECK(value_of(list).objects[1].name == "b");
        CHECK(value_of(list).objects[1].spec == "null");
        CHECK(is_rejected(value_of(list).objects[1].spec));
        CHECK(has_value(platform::decode_target("c", value_of(list).objects[2].spec)));
    }
}

// Guards against review cases 2 and 3 on the way of changes.
TEST_CASE("an unreadable change of another writer leaves the changes beside it readable") {
    const std::string good = entry_with("sequence", "7");
    for (const std::string& bad : unreadable_contents()) {
        const Result<platform::ObjectPage> changes =
            platform::decode_changes(R"({"events": [{"deleted": false, "object": )" +
                                     object_with("b", bad) + R"(}, {"deleted": false, "object": )" +
                                     object_with("c", good) + R"(}], "store_revision": 9})");
        REQUIRE(has_value(changes));
        REQUIRE(value_of(changes).objects.size() == 2);
        CHECK(is_rejected(value_of(changes).objects[0].spec));
        CHECK_FALSE(is_rejected(value_of(changes).objects[1].spec));
    }
}

// Guards against the same on a related path: other fields of an object than its content.
TEST_CASE("an object whose name cannot be read is left out and counted") {
    const Result<platform::ObjectPage> list = platform::decode_list(
        R"({"items": [{"meta": {"name": "\ud800", "revision": 3}, "spec": {}},)"
        R"({"meta": {"name": "a", "revision": 3, "finalizers": ["\ud800"]}, "spec": {}}],)"
        R"("store_revision": 9})");
    REQUIRE(has_value(list));
    REQUIRE(value_of(list).objects.size() == 1);
    CHECK(value_of(list).objects[0].name == "a");
    CHECK(value_of(list).without_name == 1);
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
