// Invalid input from callers, operators and peers gives a typed error that names the offender.
#include <catch2/catch.hpp>
#include <sstream>

#include "admin/ctl.h"
#include "front/store_mirror.h"
#include "io/documents.h"
#include "io/peer_documents.h"
#include "node/caller_api.h"
#include "node/settings.h"
#include "scenario/script.h"

using namespace ebonymount;

namespace {

HandlerRequest submit_request() {
    HandlerRequest http_request;
    http_request.method = "POST";
    http_request.path = "/v1/services/booking/submit";
    http_request.body = "{}";
    return http_request;
}

std::string offender_of(const HandlerRequest& http_request) {
    const Result<GatewayRequest> request = gateway_request_from(http_request);
    return has_value(request) ? "" : error_of(request).offender;
}

std::string valid_settings() {
    return R"({
        // Comments are allowed.
        "host": "h1", "data_centre": "x",
        "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:2",
        "peer_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4"
    })";
}

std::string settings_error(const std::string& key, const Json& value) {
    Json document = Json::parse(valid_settings(), nullptr, true, true);
    document[key] = value;
    const Result<NodeSettings> settings = settings_from(document.dump(), "node.json");
    return has_value(settings) ? "" : error_of(settings).message;
}

}  // namespace

TEST_CASE("a caller's request is parsed with its key and timeout") {
    HandlerRequest http_request = submit_request();
    http_request.headers["idempotency-key"] = "k";
    http_request.headers["x-timeout-ms"] = "50";
    const Result<GatewayRequest> request = gateway_request_from(http_request);
    REQUIRE(has_value(request));
    CHECK(value_of(request).service == "booking");
    CHECK_FALSE(value_of(request).idempotent);
    CHECK(value_of(request).key == "k");
    CHECK(value_of(request).time_limit == from_ms(50));
}

TEST_CASE("the error of an invalid request names the offending value") {
    HandlerRequest http_request = submit_request();
    http_request.path = "/v2/services/booking/submit";
    CHECK(offender_of(http_request) == http_request.path);
    http_request = submit_request();
    http_request.path = "/v1/services/booking";
    CHECK(offender_of(http_request) == http_request.path);
    http_request = submit_request();
    http_request.method = "GET";
    CHECK(offender_of(http_request) == "GET");
    http_request = submit_request();
    http_request.body = "{\"stand\": ";
    CHECK(offender_of(http_request) == http_request.body);
    for (const char* timeout : {"0", "-5", "abc", "5x", "99999999999999999999"}) {
        http_request = submit_request();
        http_request.headers["x-timeout-ms"] = timeout;
        CHECK(offender_of(http_request) == timeout);
    }
    http_request = submit_request();
    http_request.headers["idempotency-key"] = std::string(129, 'k');
    CHECK(offender_of(http_request) == std::string(40, 'k'));
}

TEST_CASE("settings may contain comments and omit keys that have defaults") {
    const Result<NodeSettings> settings = settings_from(valid_settings(), "node.json");
    REQUIRE(has_value(settings));
    CHECK(value_of(settings).host == "h1");
    CHECK(value_of(settings).lease_duration == from_ms(6000));
}

TEST_CASE("errors in settings name the file, the key, the value and what is allowed") {
    CHECK(settings_error("hots", "x") == "node.json: hots is not a known key");
    CHECK(settings_error("host", "") ==
          "node.json: host is \"\", allowed is 1 to 64 characters without #, / and space");
    CHECK(settings_error("lease_ms", 10) == "node.json: lease_ms is 10, allowed is 500 to 600000");
    CHECK(settings_error("lease_ms", "6 s") ==
          "node.json: lease_ms is not a whole number: \"6 s\"");
    CHECK(settings_error("peer_address", "localhost-") ==
          "node.json: peer_address is \"localhost-\", allowed is an IP address and a port such as "
          "127.0.0.1:8080");
    CHECK(settings_error("log", {{"level", "loud"}}).find("loud") != std::string::npos);
    CHECK(settings_error("log", {{"form", "xml"}}) ==
          "node.json: log.form is \"xml\", allowed is text or json");
    CHECK(error_of(settings_from("{", "node.json")).message.find("node.json is not JSON") == 0);
    CHECK(error_of(read_settings("/nonexistent")).code == ErrorCode::not_found);
}

TEST_CASE(
    "documents with unknown keys, wrong types, values out of bounds or unknown targets are "
    "rejected") {
    CHECK_FALSE(has_value(configuration_from(Json::array())));
    CHECK_FALSE(has_value(configuration_from({{"tabel", Json::array()}})));
    CHECK_FALSE(has_value(configuration_from({{"generation", -1}})));
    CHECK_FALSE(has_value(
        configuration_from({{"table", {{{"service", "a"}, {"cells", {{"slots", "many"}}}}}}})));
    const Json placement = {
        {"service", "a"},
        {"version", 1},
        {"snapshots",
         {{{"id", "v"}, {"shards", {{{"id", "s"}, {"documents", 1}, {"replicas", {"t"}}}}}}}}};
    const Result<Placement> refused = placement_from(placement);
    REQUIRE_FALSE(has_value(refused));
    CHECK(error_of(refused).message.find("unknown target t") != std::string::npos);
}

TEST_CASE("bytes that are not a gossip message are rejected") {
    CHECK(error_of(decode_gossip("")).code == ErrorCode::protocol);
    CHECK(error_of(decode_gossip("\xc1")).code == ErrorCode::protocol);
    CHECK_FALSE(has_value(decode_gossip("\x01")));
}

// Guards against review case 2 on related paths: code that decodes or copies nested values calls
// itself for each level, so one message could end the process.
TEST_CASE("messages and documents that are nested without bound are rejected") {
    constexpr std::size_t DEPTH = 1000000;
    const std::string text = std::string(DEPTH, '[') + std::string(DEPTH, ']');
    CHECK_FALSE(has_value(decode_gossip(std::string(DEPTH, '\x91'))));
    CHECK_FALSE(has_value(parse_json(text, "draft")));
    CHECK_FALSE(has_value(decode_store_update(text)));
    CHECK(decode_follow_request(R"({"revisions": )" + text + "}").known.empty());
}

TEST_CASE("a hash that is not a number in a gossip message or a stored record is an error") {
    GossipMessage message;
    message.from.host = "h1";
    message.quarantine_notices.push_back({7, QuarantineState::suspect, from_ms(1000)});
    const std::string bytes = encode(message);
    REQUIRE(has_value(decode_gossip(bytes)));
    for (const char* hash : {"", "x", "-1", "7x", "99999999999999999999999"}) {
        Json document = Json::from_msgpack(bytes.begin(), bytes.end());
        document["suspicions"][0]["fingerprint"] = hash;
        std::string damaged;
        Json::to_msgpack(document, damaged);
        CHECK_FALSE(has_value(decode_gossip(damaged)));
        IdempotencyBucket bucket;
        bucket["k"] = {7, "a", IdempotencyState::ran, 5, "{}"};
        Json stored = to_document(bucket);
        for (Json& record : stored.contains("claims") ? stored["claims"] : stored) {
            record["fingerprint"] = hash;
        }
        CHECK_FALSE(has_value(idempotency_bucket_from(stored)));
    }
}

TEST_CASE("the command line rejects invalid arguments before it sends anything") {
    std::ostringstream output;
    std::ostringstream errors;
    const CtlOptions options;
    CHECK(run_ctl(options, {}, output, errors) == CtlExit::bad_input);
    CHECK(run_ctl(options, {"dc", "sideways", "x"}, output, errors) == CtlExit::bad_input);
    CHECK(run_ctl(options, {"dc", "out"}, output, errors) == CtlExit::bad_input);
    CHECK(run_ctl(options, {"check", "/nonexistent"}, output, errors) == CtlExit::bad_input);
    CHECK(errors.str().find("use: dc out NAME") != std::string::npos);
}

TEST_CASE("the error of an invalid scenario names the cause") {
    CHECK_FALSE(has_value(run_script(Json::array())));
    const Json unknown = {
        {"name", "n"}, {"promise", "p"}, {"kind", "magic"}, {"steps", Json::array()}};
    CHECK(error_of(run_script(unknown)).message.find("magic") != std::string::npos);
}
