// Quarantine: what counts as a crash, which requests are refused, and how nodes report crashes.
#include <catch2/catch.hpp>

#include "policy/crash_quarantine.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

/// Counts a number of crashes of targets of service "a".
void add_crashes(CrashQuarantine& quarantine, std::uint64_t request, int crashes, Time now) {
    for (int i = 0; i < crashes; ++i) {
        add_crash(
            quarantine,
            "report-" + std::to_string(now.time_since_epoch().count()) + "-" + std::to_string(i),
            {request, "a"}, now);
    }
}

bool is_quarantined(const CrashQuarantine& quarantine, std::uint64_t request,
                    const std::string& service = "a") {
    return suspicion_of(quarantine, request, service, START) == Suspicion::quarantined;
}

}  // namespace

TEST_CASE(
    "a request is quarantined after three crashes until they are old, other requests are not") {
    CrashQuarantine quarantine;
    const std::uint64_t bad = fingerprint("GET", "h", "/a", "x");
    const std::uint64_t good = fingerprint("GET", "h", "/a", "y");
    add_crashes(quarantine, bad, 2, START);
    CHECK_FALSE(is_quarantined(quarantine, bad));
    add_crashes(quarantine, bad, 1, START + from_ms(1));
    CHECK(is_quarantined(quarantine, bad));
    CHECK_FALSE(is_quarantined(quarantine, good));
    drop_expired_suspects(quarantine, START + from_ms(601000));
    CHECK_FALSE(is_quarantined(quarantine, bad));
}

TEST_CASE("a broken connection is a crash only if the target refuses connections soon after") {
    CrashQuarantine quarantine;
    record_broken_connection(quarantine, {1, {77, "a"}, START});
    record_broken_connection(quarantine, {2, {78, "a"}, START});
    CHECK(confirm_crash(quarantine, 1, START + from_ms(10)) == std::vector<Crash>{{77, "a"}});
    CHECK(confirm_crash(quarantine, 1, START + from_ms(20)).empty());
    CHECK(confirm_crash(quarantine, 2, START + from_ms(10001)).empty());
    CHECK(drop_expired_suspects(quarantine, START + from_ms(10001)) == 1);
    CHECK(quarantine.broken_connections.empty());
}

// Guards against the incident "retries of crashing requests": broken connections that no later
// connect happened to check.
TEST_CASE("each broken connection is checked by one connect, which may show that it was no crash") {
    CrashQuarantine quarantine;
    CHECK_FALSE(begin_check(quarantine, 1));
    record_broken_connection(quarantine, {1, {77, "a"}, START});
    CHECK(begin_check(quarantine, 1));
    record_broken_connection(quarantine, {1, {78, "a"}, START + from_ms(5)});
    CHECK_FALSE(begin_check(quarantine, 1));
    // The connect began before the second connection broke, so it says nothing about that one.
    end_check(quarantine, 1);
    CHECK(refute_crash(quarantine, 1, START) == 1);
    CHECK(begin_check(quarantine, 1));
    end_check(quarantine, 1);
    CHECK(confirm_crash(quarantine, 1, START + from_ms(9)) == std::vector<Crash>{{78, "a"}});
    CHECK_FALSE(begin_check(quarantine, 1));
}

// Guards against the incident "retries of crashing requests": requests that merely ran on crashed
// targets were counted like the one that crashed them, and refused for ten minutes.
TEST_CASE("a request that a target answers is no longer suspected of crashes in that service") {
    CrashQuarantine quarantine;
    add_crashes(quarantine, 77, 3, START);
    add_crash(quarantine, "in-b", {77, "b"}, START);
    REQUIRE(is_quarantined(quarantine, 77));
    CHECK(refute_request(quarantine, 77, "a").size() == 3);
    CHECK_FALSE(is_quarantined(quarantine, 77));
    CHECK(is_suspected(quarantine, 77));
    CHECK(refute_request(quarantine, 77, "b") == std::vector<std::string>{"in-b"});
    CHECK_FALSE(is_suspected(quarantine, 77));
}

TEST_CASE("a fan-out that other shards answered is not quarantined for crashes in three services") {
    CrashQuarantine quarantine;
    for (const char* service : {"a", "b", "c"}) {
        add_crash(quarantine, std::string("report-") + service, {77, service, true}, START);
    }
    CHECK_FALSE(is_quarantined(quarantine, 77, "a"));
    for (const char* service : {"a", "b", "c"}) {
        add_crash(quarantine, std::string("report-") + service, {78, service, false}, START);
    }
    CHECK(is_quarantined(quarantine, 78, "a"));
    CHECK(is_quarantined(quarantine, 78, "d"));
}

TEST_CASE("a request that crashes the targets of one shard is quarantined for that shard only") {
    CrashQuarantine quarantine;
    for (const char* report : {"1", "2", "3"}) {
        add_crash(quarantine, report, {77, "a", true}, START);
    }
    refute_request(quarantine, 77, "b");
    CHECK(is_quarantined(quarantine, 77, "a"));
    CHECK_FALSE(is_quarantined(quarantine, 77, "b"));
}

TEST_CASE("unconfirmed crashes hold a request for a moment only") {
    CrashQuarantine quarantine;
    add_crashes(quarantine, 77, 2, START);
    record_broken_connection(quarantine, {1, {77, "a"}, START});
    CHECK(suspicion_of(quarantine, 77, "a", START + from_ms(50)) == Suspicion::unconfirmed);
    CHECK(suspicion_of(quarantine, 77, "a", START + from_ms(101)) == Suspicion::none);
    refute_request(quarantine, 77, "a");
    CHECK(suspicion_of(quarantine, 77, "a", START) == Suspicion::none);
}

// Guards against review case 4: each connection that broke counted as a crash, so one target that
// crashed with several slots quarantined the request that ran in them.
TEST_CASE("the crash of one target counts once, however many connections and nodes saw it") {
    CrashQuarantine quarantine;
    for (const char* report : {"1", "2", "3", "4"}) {
        add_crash(quarantine, report, {77, "a", false, "a-0/1700"}, START);
    }
    CHECK_FALSE(is_quarantined(quarantine, 77));
    record_broken_connection(quarantine, {1, {77, "a", false, "a-0/1700"}, START});
    CHECK(suspicion_of(quarantine, 77, "a", START) == Suspicion::none);
    add_crash(quarantine, "5", {77, "a", false, "a-0/1900"}, START);
    add_crash(quarantine, "6", {77, "a", false, "a-1/1700"}, START);
    CHECK(is_quarantined(quarantine, 77));
}

TEST_CASE("a withdrawn report no longer counts, and a repeated one counts once") {
    CrashQuarantine quarantine;
    for (const char* report : {"1", "2", "2", "2"}) {
        add_crash(quarantine, report, {77, "a"}, START);
    }
    CHECK_FALSE(is_quarantined(quarantine, 77));
    add_crash(quarantine, "3", {77, "a"}, START);
    CHECK(is_quarantined(quarantine, 77));
    remove_crash(quarantine, "1", 77);
    CHECK_FALSE(is_quarantined(quarantine, 77));
    remove_crash(quarantine, "2", 77);
    remove_crash(quarantine, "3", 77);
    remove_crash(quarantine, "3", 77);
    CHECK_FALSE(is_suspected(quarantine, 77));
}

TEST_CASE("a crash report is parsed from its name, and other names are not reports") {
    const CrashReport report{18446744073709551615U, "front-east-1", 1700000000000, 3};
    CHECK(parse_crash_report(crash_report_name(report)) == report);
    CHECK_FALSE(parse_crash_report("leader"));
    CHECK_FALSE(parse_crash_report("1.2.3"));
    CHECK_FALSE(parse_crash_report(""));
}

}  // namespace ebonymount
