// Quarantine: what counts as a crash, which requests are refused, and how nodes report crashes.
#include <catch2/catch.hpp>

#include "policy/crash_quarantine.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

}  // namespace

TEST_CASE(
    "a request is quarantined after three crashes until they are old, other requests are not") {
    CrashQuarantine quarantine;
    const std::uint64_t bad = fingerprint("GET", "h", "/a", "x");
    const std::uint64_t good = fingerprint("GET", "h", "/a", "y");
    add_crashes(quarantine, bad, 2, START);
    CHECK_FALSE(is_quarantined(quarantine, bad));
    add_crashes(quarantine, bad, 1, START);
    CHECK(is_quarantined(quarantine, bad));
    CHECK_FALSE(is_quarantined(quarantine, good));
    drop_expired_suspects(quarantine, START + from_ms(601000));
    CHECK_FALSE(is_quarantined(quarantine, bad));
}

TEST_CASE("a broken connection is a crash only if the target refuses connections soon after") {
    CrashQuarantine quarantine;
    record_broken_connection(quarantine, {1, 77, START});
    record_broken_connection(quarantine, {2, 78, START});
    CHECK(confirm_crash(quarantine, 1, START + from_ms(10)) == std::vector<std::uint64_t>{77});
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
    record_broken_connection(quarantine, {1, 77, START});
    CHECK(begin_check(quarantine, 1));
    record_broken_connection(quarantine, {1, 78, START + from_ms(5)});
    CHECK_FALSE(begin_check(quarantine, 1));
    // The connect began before the second connection broke, so it says nothing about that one.
    end_check(quarantine, 1);
    CHECK(refute_crash(quarantine, 1, START) == 1);
    CHECK(begin_check(quarantine, 1));
    end_check(quarantine, 1);
    CHECK(confirm_crash(quarantine, 1, START + from_ms(9)) == std::vector<std::uint64_t>{78});
    CHECK_FALSE(begin_check(quarantine, 1));
}

TEST_CASE("a crash report is parsed from its name, and other names are not reports") {
    const CrashReport report{18446744073709551615U, "front-east-1", 1700000000000, 3};
    CHECK(parse_crash_report(crash_report_name(report)) == report);
    CHECK_FALSE(parse_crash_report("leader"));
    CHECK_FALSE(parse_crash_report("1.2.3"));
    CHECK_FALSE(parse_crash_report(""));
}

}  // namespace ebonymount
