// Requests that crash the targets that run them.
//
// Such a request comes again, at any node, and would take down one target after the other. A
// connection that breaks while a request runs may be one lost answer; if the target then refuses
// connections, it has crashed, and the requests that ran there are suspects. A request that was
// there at several crashes is refused. Nodes share what they see, so that a crash seen by one
// counts for all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/target_state.h"

namespace ebonymount {

/// Crashes after which a request is refused.
constexpr std::int64_t CRASHES_TO_QUARANTINE = 3;

/// A request that has crashed nothing for this long is given another chance.
constexpr Duration SUSPECT_TTL = from_ms(600000);

struct SuspectRequest {
    std::int64_t crashes = 0;
    Time last{};

    friend bool operator==(const SuspectRequest&, const SuspectRequest&) = default;
};

/// A connection that broke while a request ran.
struct BrokenConnection {
    TargetIndex target = 0;
    std::uint64_t request = 0;
    Time at{};

    friend bool operator==(const BrokenConnection&, const BrokenConnection&) = default;
};

/// Suspects by fingerprint, and breaks that may turn out to be crashes.
struct Quarantine {
    std::unordered_map<std::uint64_t, SuspectRequest> suspects;
    std::vector<BrokenConnection> breaks;
};

/// Notes that a request's connection to a target broke while it ran.
void record_break(Quarantine& quarantine, const BrokenConnection& broken);

/// The target refuses connections: returns the requests that ran there when it crashed, each
/// break once.
std::vector<std::uint64_t> confirm_crash(Quarantine& quarantine, TargetIndex target, Time now);

/// One crash as nodes tell each other: a name in the platform's store.
struct CrashReport {
    std::uint64_t request = 0;
    std::string node;
    /// Wall-clock milliseconds of the node's start, and the number of its report since.
    std::int64_t started_at_ms = 0;
    std::int64_t number = 0;

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Name of a report, and the report of a name; empty for any other name.
std::string crash_report_name(const CrashReport& report);
std::optional<CrashReport> parse_crash_report(const std::string& name);

/// What makes two requests the same: method, host, path with query, and body.
std::uint64_t fingerprint(std::string_view method, std::string_view host, std::string_view target,
                          std::string_view body);

/// Records crashes seen by this or another node.
void add_crashes(Quarantine& quarantine, std::uint64_t request, std::int64_t crashes, Time now);

/// True when the request must not be sent to any target.
bool is_quarantined(const Quarantine& quarantine, std::uint64_t request);

/// Forgets breaks that were no crash, and suspects that have not crashed a target for long.
void forget_old_suspects(Quarantine& quarantine, Time now);

}  // namespace ebonymount
