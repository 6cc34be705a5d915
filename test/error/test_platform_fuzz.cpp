// Fuzzes the parsers of the platform adapter, of crash report names and of HTTP messages with
// mutated input. A fixed seed gives the same inputs each time; a crash, a hang or a violated
// invariant fails the run.
#include <catch2/catch.hpp>

#include "base/random.h"
#include "io/http_message.h"
#include "mutation.h"
#include "platform/call_headers.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "platform/store_calls.h"
#include "policy/crash_quarantine.h"
#include "policy/record_merge.h"

namespace ebonymount {
namespace {

constexpr int ROUNDS = 4000;
constexpr std::uint64_t SEED = 20261204;

void fuzz(const std::vector<std::string>& samples,
          const std::function<void(const std::string&)>& parse) {
    Random random(SEED);
    for (int round = 0; round < ROUNDS; ++round) {
        parse(mutate(samples[round % samples.size()], random));
    }
}

const std::string SETTINGS =
    "node=a\nzone=z\nregion=r\nip=10.0.0.1\nzones.z=r\nbind_addresses.front=10.0.0.1:1\n"
    "bind_addresses.ready=10.0.0.1:2\ninternal_port_range=7,8\nplatform.address=10.0.0.2:3\n"
    "bounds.grace_s=6\nbounds.retry_budget_ratio=0.2\n";

const std::string CONFIG =
    R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"idempotent",)"
    R"("timeout_ms":800,"target_latency_ms":100,"priority":2,"fanout_services":["s","t"],)"
    R"("max_attempts":2,"top_k":5,"min_success_share":0.75},{"name":"q","hostname":"h",)"
    R"("path_prefix":"/b/","type":"non_idempotent","timeout_ms":5,"traffic_split":)"
    R"([{"service":"s","weight":1.5}]}],"services":[{"name":"s","max_connections":25,)"
    R"("cold_start_s":3.0,"cold_per_s":0.5}],"limits":{"max_body_bytes":9}})";

const std::string ENTRY =
    R"({"service":"s","address":"10.0.0.9:80","zone":"a","version":"v","max_concurrency":2,)"
    R"("state":"ready","cold_remaining_ms":0,"sequence":1,"born":5})";

const std::string LIST =
    R"({"items":[{"meta":{"name":"a","revision":3},"spec":{"x":1}}],"has_more":false,)"
    R"("store_revision":9})";

const std::string CHANGES =
    R"({"events":[{"deleted":false,"object":{"meta":{"name":"a","revision":3},"spec":1}}],)"
    R"("store_revision":9})";

}  // namespace

TEST_CASE("mutated settings are parsed or rejected with a message") {
    fuzz({SETTINGS}, [](const std::string& text) {
        const Result<platform::ParsedSettings> result = platform::parse_settings(text, "f");
        if (!has_value(result)) {
            CHECK_FALSE(error_of(result).message.empty());
        }
    });
}

TEST_CASE("mutated configurations give valid routes or an error message") {
    fuzz({CONFIG}, [](const std::string& text) {
        std::vector<std::string> warnings;
        const Result<RouteTable> result = platform::decode_config(text, warnings);
        if (!has_value(result)) {
            CHECK_FALSE(error_of(result).message.empty());
            return;
        }
        for (const Route& route : value_of(result).routes) {
            CHECK(route.path_prefix.front() == '/');
            CHECK(route.path_prefix.back() == '/');
            CHECK(route.max_attempts >= 1);
            CHECK((is_fan_out(route) || !route.services.empty()));
        }
        match_route(value_of(result), "h", text);
    });
}

TEST_CASE("mutated target entries give a usable target or an error") {
    fuzz({ENTRY}, [](const std::string& text) {
        const Result<TargetEntry> result = platform::decode_target("i", text);
        if (has_value(result)) {
            CHECK(value_of(result).slots >= 1);
            CHECK(value_of(result).address.find(':') != std::string::npos);
        }
    });
}

TEST_CASE("mutated lists and changes of the store are decoded or rejected") {
    fuzz({LIST, CHANGES}, [](const std::string& text) {
        platform::decode_list(text);
        platform::decode_changes(text);
    });
}

TEST_CASE("mutated headers of targets are decoded within bounds or ignored") {
    fuzz({"28.1", "2", "0.25", "1", "2,7,2", "600"}, [](const std::string& text) {
        HttpResponseMessage response;
        response.status = 503;
        for (const char* name :
             {platform::names::RATE_LIMIT, platform::names::RETRY_AFTER, platform::names::LEAVING,
              platform::names::LOAD, platform::names::COLD}) {
            response.headers.push_back({name, text});
        }
        const platform::TargetResponseHeaders headers = platform::decode_target_headers(response);
        CHECK((!headers.rate_limit.has_value() || *headers.rate_limit >= 0.0));
        CHECK((!headers.turned_away_for.has_value() ||
               (*headers.turned_away_for >= from_ms(0) &&
                *headers.turned_away_for <= from_ms(600000))));
        CHECK((!headers.waiting.has_value() || *headers.waiting >= 0));
    });
}

TEST_CASE("mutated crash reports are decoded or ignored") {
    const std::string name = crash_report_name({77, "node", 5, 3});
    fuzz({R"({"service":"a","others_answered":true})"}, [&name](const std::string& text) {
        const std::optional<Crash> crash =
            platform::decode_crash_report({name, 1, false, false, text});
        REQUIRE(crash.has_value());
        CHECK(crash->request == 77);
    });
}

TEST_CASE("mutated names of crash reports are parsed consistently or rejected") {
    fuzz({crash_report_name({77, "node", 5, 3})}, [](const std::string& text) {
        const std::optional<CrashReport> report = parse_crash_report(text);
        if (report.has_value()) {
            CHECK(parse_crash_report(crash_report_name(*report)) == report);
        }
    });
}

TEST_CASE("mutated names of trial claims are parsed consistently or rejected") {
    fuzz({trial_claim_name({77, 2})}, [](const std::string& text) {
        const std::optional<TrialClaim> claim = parse_trial_claim(text);
        CHECK((!claim.has_value() || trial_claim_name(*claim) == text));
    });
}

TEST_CASE("mutated requests and responses stay within the limits, however they are split") {
    const HttpLimits limits{400, 100};
    const std::vector<std::string> samples = {
        "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-Ebonymount-Deadline-Ms: "
        "80\r\n\r\nhello",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Ebonymount-Server-Load: 1,2,3\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 Busy\r\nX-Ebonymount-Not-Executed: 1\r\n\r\n"};
    Random cuts(SEED + 1);
    fuzz(samples, [&limits, &cuts](const std::string& text) {
        HttpRequestReader requests(limits);
        HttpResponseReader responses(limits);
        const std::size_t cut = cuts() % (text.size() + 1);
        std::string first = text.substr(0, cut);
        std::string second = text.substr(0, cut);
        requests.consume(first);
        responses.consume(second);
        first += text.substr(cut);
        second += text.substr(cut);
        if (requests.consume(first) == ReadState::complete) {
            const HttpRequestMessage request = requests.take();
            CHECK(request.body.size() <= limits.max_body_bytes);
            platform::decode_caller_headers(request.headers);
            platform::encode_for_target(platform::prepare_for_targets(request), from_ms(5), "i");
        }
        if (responses.consume(second) == ReadState::complete) {
            const HttpResponseMessage response = responses.take();
            platform::decode_target_headers(response);
            CHECK(merge_records({response.body}, 3).size() <= 3 * RECORD_BYTES);
        }
    });
}

}  // namespace ebonymount
