// The platform adapter decodes the platform's settings, objects and headers into the product's
// types.
#include <catch2/catch.hpp>

#include "platform/call_headers.h"
#include "platform/settings.h"
#include "platform/store_calls.h"

namespace ebonymount {
namespace {

const std::string SETTINGS =
    "node=front-1\nzone=east-a\nregion=east\nip=10.1.0.3\nzones.east-a=east\nzones.west-a=west\n"
    "bind_addresses.front=10.1.0.3:80\nbind_addresses.ready=10.1.0.3:81\n"
    "internal_port_range=7740,7755\nplatform.address=10.9.0.1:82\nheartbeat_ms=1200\n"
    "bounds.retry_budget_ratio=0.2\nbounds.budget_slack=52\nbounds.grace_s=6\nnew.key=x,y\n";

/// Encodes a request for a target and parses it as the target does.
HttpRequestMessage encode_and_parse(const HttpRequestMessage& request, Duration remaining,
                                    const std::string& target_id) {
    std::string bytes =
        platform::encode_for_target(platform::prepare_for_targets(request), remaining, target_id);
    HttpRequestReader reader(HttpLimits{});
    REQUIRE(reader.consume(bytes) == ReadState::complete);
    CHECK(bytes.empty());
    return reader.take();
}

}  // namespace

TEST_CASE("settings are read by name, unknown keys are ignored") {
    const Result<platform::ParsedSettings> result = platform::parse_settings(SETTINGS, "f");
    REQUIRE(has_value(result));
    const platform::Settings& settings = value_of(result).settings;
    CHECK(settings.node == "front-1");
    CHECK(settings.data_centre == "east-a");
    CHECK(settings.regions.at("west-a") == "west");
    CHECK(settings.store_address == "10.9.0.1:82");
    CHECK(settings.cpu_share == Approx(1.0));
    CHECK(settings.retry_ratio == Approx(0.2));
    CHECK(settings.retry_slack == 52);
    CHECK(settings.grace == from_ms(6000));
}

TEST_CASE(
    "the peer address is the control address or first internal port; seeds are the initial peers") {
    const Result<platform::ParsedSettings> by_port = platform::parse_settings(SETTINGS, "f");
    REQUIRE(has_value(by_port));
    CHECK(value_of(by_port).settings.peer_address == "10.1.0.3:7740");
    CHECK(value_of(by_port).settings.initial_peers.empty());
    CHECK_FALSE(value_of(by_port).settings.first_start);
    const Result<platform::ParsedSettings> named = platform::parse_settings(
        SETTINGS +
            "bind_addresses.control=10.1.0.3:83\nseeds=10.1.0.3:83,,10.2.0.4:83\n"
            "bootstrap=true\n",
        "f");
    REQUIRE(has_value(named));
    CHECK(value_of(named).settings.peer_address == "10.1.0.3:83");
    CHECK(value_of(named).settings.initial_peers ==
          std::vector<std::string>{"10.1.0.3:83", "10.2.0.4:83"});
    CHECK(value_of(named).settings.first_start);
}

TEST_CASE("a node's registration is decoded as it was encoded") {
    const Member member = {"front-1", "east-a", "10.1.0.3:83"};
    platform::StoredObject object;
    object.name = member.node;
    object.spec = R"({"address":"10.1.0.3:83","data_centre":"east-a"})";
    CHECK(platform::registration_body(member).find(object.spec) != std::string::npos);
    CHECK(platform::decode_registration(object) == member);
    // Any other content belongs to a node that serves no followers.
    for (const char* spec : {"", "null", "7", "{}", R"({"address":"name:80"})"}) {
        object.spec = spec;
        CHECK(platform::decode_registration(object).address.empty());
    }
}

// Guards against an era that is taken for one although the header cannot be read.
TEST_CASE("the store's era is a whole number, or it is unknown and the value is named") {
    CHECK(platform::decode_era({}) == platform::StatedEra{});
    CHECK(platform::decode_era({{"store-era", "7"}}) == platform::StatedEra{7, ""});
    CHECK(platform::decode_era({{"Store-Era", "0"}}).era == 0);
    CHECK(platform::decode_era({{"Store-Era", std::to_string(MAX_ERA)}}).era == MAX_ERA);
    const std::string huge = std::to_string(MAX_ERA + 1);
    for (const std::string& text :
         {std::string(), std::string("-1"), std::string("+3"), std::string("3.0"),
          std::string("3 4"), std::string("x"), huge, std::string(5000, '9')}) {
        CAPTURE(text);
        const platform::StatedEra stated = platform::decode_era({{"Store-Era", text}});
        CHECK(stated.era == UNKNOWN_ERA);
        CHECK_FALSE(stated.ignored.empty());
        CHECK(stated.ignored.size() <= 50);
    }
}

TEST_CASE("a configuration is decoded into a route table") {
    const std::string spec = R"({"version": 7, "routes": [
        {"name": "all", "hostname": "h", "path_prefix": "/a/", "type": "idempotent",
         "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "max_attempts": 2,
         "fanout_services": ["s1", "s2"], "top_k": 5, "min_success_share": 0.75,
         "allowed_regions": ["east"]},
        {"name": "one", "hostname": "h", "path_prefix": "/b/", "type": "non_idempotent",
         "timeout_ms": 4000, "traffic_split": [{"service": "s1", "weight": 3},
                                               {"service": "s2", "weight": 1}]}],
        "services": [{"name": "s1", "health_path": "/health", "max_connections": 25,
                      "cold_start_s": 3.0, "cold_per_s": 2.5}],
        "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 4000}})";
    std::vector<std::string> warnings;
    const Result<RouteTable> result = platform::decode_config(spec, warnings);
    REQUIRE(has_value(result));
    const RouteTable& table = value_of(result);
    CHECK(warnings.empty());
    CHECK(table.version == 7);
    REQUIRE(table.routes.size() == 2);
    CHECK(is_fan_out(table.routes[0]));
    CHECK(table.routes[0].idempotent);
    CHECK(table.routes[0].min_coverage == Approx(0.75));
    CHECK(table.routes[0].latency_objective == from_ms(100));
    CHECK(table.routes[0].allowed_regions == std::vector<std::string>{"east"});
    CHECK_FALSE(table.routes[1].idempotent);
    CHECK(table.routes[1].latency_objective == from_ms(4000));
    REQUIRE(table.routes[1].services.size() == 2);
    CHECK(table.routes[1].services[0].weight == Approx(3.0));
    REQUIRE(table.services.size() == 1);
    CHECK(table.services[0].cold_start == from_ms(3000));
    CHECK(table.services[0].cold_per_second == Approx(2.5));
    CHECK(table.limits.max_body_bytes == 2000);
    CHECK(table.limits.idle_timeout == from_ms(4000));
}

TEST_CASE("a target's entry is decoded with its start time and state") {
    const Result<TargetEntry> result = platform::decode_target(
        "i-1", R"({"service": "s", "address": "10.0.0.9:8080", "zone": "east-a", "version": "v1",
                   "max_concurrency": 2, "state": "draining", "cold_remaining_ms": 250,
                   "sequence": 4, "born": 1700000000000})");
    REQUIRE(has_value(result));
    CHECK(value_of(result).draining);
    CHECK(value_of(result).slots == 2);
    CHECK(value_of(result).cold_remaining == from_ms(250));
    CHECK(value_of(result).started_at_ms == 1700000000000);
}

TEST_CASE("lists and changes of the store are decoded") {
    const Result<platform::ObjectPage> list = platform::decode_list(
        R"({"items": [{"meta": {"name": "a", "revision": 3, "deleting": true}, "spec": {"x": 1}},
                      {"meta": {"name": "b", "revision": 4}}],
            "has_more": true, "store_revision": 9})");
    REQUIRE(has_value(list));
    REQUIRE(value_of(list).objects.size() == 2);
    CHECK(value_of(list).objects[0].deleting);
    CHECK(value_of(list).objects[0].spec == R"({"x":1})");
    CHECK(value_of(list).objects[1].spec == "null");
    CHECK(value_of(list).has_more);
    CHECK(value_of(list).store_revision == 9);
    const Result<platform::ObjectPage> changes = platform::decode_changes(
        R"({"events": [{"deleted": true, "object": {"meta": {"name": "a", "revision": 5}}}],
            "store_revision": 10})");
    REQUIRE(has_value(changes));
    CHECK(value_of(changes).objects.front().removed);
}

TEST_CASE("request paths contain the escaped names, the revision and the freshness") {
    using platform::Freshness;
    using platform::Kind;
    CHECK(platform::list_path(Kind::targets, "", Freshness::current) ==
          "/ebonymount/objects/servers");
    CHECK(platform::list_path(Kind::targets, "a b&c", Freshness::current) ==
          "/ebonymount/objects/servers?after=a%20b%26c");
    CHECK(platform::object_path(Kind::targets, "a/b") == "/ebonymount/objects/servers/a%2Fb");
    CHECK(platform::list_path(Kind::targets, "a", Freshness::recent) ==
          "/ebonymount/objects/servers?allow_stale=1&after=a");
    CHECK(platform::watch_path(Kind::config, 53, from_ms(2000), Freshness::current) ==
          "/ebonymount/objects/config?watch=53&wait_ms=2000");
    CHECK(platform::watch_path(Kind::config, 53, from_ms(2000), Freshness::recent) ==
          "/ebonymount/objects/config?allow_stale=1&watch=53&wait_ms=2000");
}

TEST_CASE("a request is forwarded without hop-by-hop headers, with a new deadline and target id") {
    HttpRequestMessage request{"POST", "/a?b", {}, "body", true};
    request.headers = {{"Host", "h"},
                       {"X-Ebonymount-Request-Id", "r1"},
                       {"X-Ebonymount-Deadline-Ms", "800"},
                       {"X-Ebonymount-Expect-Instance", "forged"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"Transfer-Encoding", "chunked"},
                       {"X-Own", "kept"}};
    const HttpRequestMessage sent = encode_and_parse(request, from_ms(700), "i-1");
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/a?b");
    CHECK(sent.body == "body");
    CHECK(find_header(sent.headers, "X-Ebonymount-Request-Id") == "r1");
    CHECK(find_header(sent.headers, "X-Ebonymount-Deadline-Ms") == "700");
    CHECK(find_header(sent.headers, "X-Ebonymount-Expect-Instance") == "i-1");
    CHECK(find_header(sent.headers, "X-Own") == "kept");
    CHECK(find_header(sent.headers, "X-Hop").empty());
    CHECK(find_header(sent.headers, "Transfer-Encoding").empty());
}

TEST_CASE("a target's response reports load, a refusal, a misdirected request and the request id") {
    HttpResponseMessage response;
    response.status = 503;
    response.headers = {{"X-Ebonymount-Not-Executed", "1"},
                        {"X-Ebonymount-Server-Load", "2,7,2"},
                        {"X-Ebonymount-Request-Id", "r1"}};
    const platform::TargetResponseHeaders refused = platform::decode_target_headers(response);
    CHECK(refused.not_run);
    CHECK_FALSE(refused.misdirected);
    CHECK(refused.waiting == 7);
    CHECK(platform::request_id_of(response) == "r1");
    response.status = 421;
    response.headers.clear();
    CHECK(platform::decode_target_headers(response).misdirected);
}

TEST_CASE("a target's limit is a decimal number of at least zero, and anything else is none") {
    const auto decoded = [](const std::string& text) {
        HttpResponseMessage response;
        response.headers = {{"Server-Limit", text}};
        return platform::decode_target_headers(response).rate_limit;
    };
    CHECK(decoded("28.1") == 28.1);
    CHECK(decoded("1") == 1.0);
    CHECK(decoded("0") == 0.0);
    CHECK(decoded("0.25") == 0.25);
    for (const char* text : {"", "-1", "+1", " ", "1e3", "nan", "inf", "0x10", "1,5", "1.2.3",
                             "1 per second", "28.1;q=1", "."}) {
        CAPTURE(text);
        CHECK_FALSE(decoded(text).has_value());
    }
    CHECK_FALSE(decoded(std::string(400, '9')).has_value());
    CHECK_FALSE(platform::decode_target_headers(HttpResponseMessage{}).rate_limit.has_value());
}

TEST_CASE("a refusal's Retry-After is a number of seconds up to ten minutes, or is ignored") {
    const auto decoded = [](int status, const std::string& text) {
        HttpResponseMessage response;
        response.status = status;
        response.headers = {{"Retry-After", text}};
        return platform::decode_target_headers(response);
    };
    for (const int status : {503, 429}) {
        CHECK(decoded(status, "2").turned_away_for == from_ms(2000));
        CHECK(decoded(status, "0.25").turned_away_for == from_ms(250));
        CHECK(decoded(status, "0").turned_away_for == from_ms(0));
        CHECK(decoded(status, "600").turned_away_for == from_ms(600000));
        for (const char* text : {"-1", "601", "99999999999999999999", "1e1", "soon", "1,5",
                                 "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            CAPTURE(text);
            CHECK_FALSE(decoded(status, text).turned_away_for.has_value());
            CHECK(decoded(status, text).ignored_retry_after == text);
        }
        CHECK(decoded(status, "").ignored_retry_after.empty());
    }
    CHECK_FALSE(decoded(200, "2").turned_away_for.has_value());
    CHECK_FALSE(decoded(500, "2").turned_away_for.has_value());
}

TEST_CASE("a target is leaving only if it says so") {
    HttpResponseMessage response;
    CHECK_FALSE(platform::decode_target_headers(response).leaving);
    response.headers = {{"Server-Leaving", "0"}};
    CHECK_FALSE(platform::decode_target_headers(response).leaving);
    response.headers = {{"server-leaving", "1"}};
    CHECK(platform::decode_target_headers(response).leaving);
}

TEST_CASE("a merged response lists the signatures of its parts and the number of missing ones") {
    const HttpResponseMessage response = platform::merged_response({"a.1", "b.2"}, 1, "records");
    CHECK(response.status == 200);
    CHECK(find_header(response.headers, "X-Ebonymount-Part-Stamps") == "a.1, b.2");
    CHECK(find_header(response.headers, "X-Ebonymount-Missing-Parts") == "1");
    CHECK(response.body == "records");
}

// Guards against signatures that cannot be listed: one wrong item spoils the whole response.
TEST_CASE("a signature that is too long, or no item of a list, is none") {
    const auto decoded = [](const std::string& signature) {
        return platform::decode_target_headers(
            {200, {{"X-Ebonymount-Server-Stamp", signature}}, "", true}, 40);
    };
    CHECK(decoded("3e1b.07.5a2.600.0.c9f2a4d1").signature == "3e1b.07.5a2.600.0.c9f2a4d1");
    CHECK(decoded(std::string(40, 's')).signature.size() == 40);
    const std::vector<std::string> malformed = {
        std::string(41, 's'), "a,b", "a b", "a, b", "a\tb", "\x01", "\xc3\xa9"};
    for (const std::string& signature : malformed) {
        INFO(signature);
        CHECK(decoded(signature).signature.empty());
        CHECK(decoded(signature).malformed_signature_bytes == signature.size());
    }
    CHECK(decoded("").malformed_signature_bytes == 0);
}

// Guards against a field that grows with the number of parts beyond what HTTP implementations take.
TEST_CASE("the signatures of many parts take several lines") {
    std::vector<std::string> signatures(2500);
    for (std::size_t part = 0; part < signatures.size(); ++part) {
        signatures[part] = std::string(24, 's') + std::to_string(part);
    }
    const HttpResponseMessage response = platform::merged_response(signatures, 0, "");
    std::string joined;
    for (const HttpHeader& header : response.headers) {
        if (header.name == "X-Ebonymount-Part-Stamps") {
            CHECK(header.value.size() <= 8192);
            joined += (joined.empty() ? "" : ", ") + header.value;
        }
    }
    std::string expected;
    for (const std::string& signature : signatures) {
        expected += (expected.empty() ? "" : ", ") + signature;
    }
    CHECK(joined == expected);
}

TEST_CASE("Retry-After is given in seconds with fractions, and omitted if zero") {
    const HttpResponseMessage response = platform::local_response(503, "r1", "full", from_ms(250));
    CHECK(find_header(response.headers, "Retry-After") == "0.250");
    const HttpResponseMessage none = platform::local_response(404, "r1", "no", Duration::zero());
    CHECK(find_header(none.headers, "Retry-After").empty());
}

}  // namespace ebonymount
