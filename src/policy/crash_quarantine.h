// Quarantine of requests that crash the targets that run them ("queries of death").
//
// Callers send such a request again, to any node, and it would crash one target after another. A
// connection that breaks while a request runs may only mean a lost response. So the node connects
// to the target at once: if the connection is refused, or the target turns out to have restarted,
// it has crashed, and the requests that ran there are suspected. A request that was running when
// several targets crashed, and that none has answered, is refused. An answer shows that the request
// merely happened to run on a target that crashed for another reason, and its crashes no longer
// count. Nodes report crashes to each other, so that a crash seen by one node counts on every node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/target_state.h"

namespace ebonymount {

/// Crashes after which a request is refused.
constexpr std::int64_t CRASHES_TO_QUARANTINE = 3;

/// A request that has crashed no target for this long is no longer suspected or quarantined.
constexpr Duration SUSPECT_TTL = from_ms(600000);

/// One crash of a target while a request ran there.
struct Crash {
    /// Fingerprint of the request.
    std::uint64_t request = 0;
    /// Service of the target.
    std::string service;
    /// Targets of other services answered the same request, so it crashes only some targets, or the
    /// crash had another cause.
    bool others_answered = false;
    /// Identifies the incarnation of the target that crashed: its crash counts once, however many
    /// connections broke and however many nodes saw it. Empty if not known.
    std::string target{};

    friend bool operator==(const Crash&, const Crash&) = default;
};

/// A suspected request: the crashes that no answer of a target has refuted, by the names of their
/// reports, and the time of the last report.
struct SuspectRequest {
    std::map<std::string, Crash> crashes;
    Time last_report_at{};

    friend bool operator==(const SuspectRequest&, const SuspectRequest&) = default;
};

/// A connection that broke while a request ran.
struct BrokenConnection {
    TargetIndex target = 0;
    /// The crash that it may turn out to be.
    Crash crash;
    Time at{};

    friend bool operator==(const BrokenConnection&, const BrokenConnection&) = default;
};

/// Suspected requests by fingerprint, and broken connections that may turn out to be crashes.
struct CrashQuarantine {
    std::unordered_map<std::uint64_t, SuspectRequest> suspects;
    std::vector<BrokenConnection> broken_connections;
    /// Targets that are being checked by a connect.
    std::set<TargetIndex> checked_targets;
};

/// Records that a request's connection to a target broke while the request ran.
void record_broken_connection(CrashQuarantine& quarantine, const BrokenConnection& broken);

/// True if a connect to the target is to be made now, because a connection to it broke and no
/// earlier connect is in progress; `end_check` ends it.
bool begin_check(CrashQuarantine& quarantine, TargetIndex target);
void end_check(CrashQuarantine& quarantine, TargetIndex target);

/// Called when the target refuses connections or has restarted: returns a crash for each request
/// that ran there. Each broken connection counts once.
std::vector<Crash> confirm_crash(CrashQuarantine& quarantine, TargetIndex target, Time now);

/// Called when the target has accepted a connection that was opened at `connected_at`: it had not
/// crashed before. Returns the number of broken connections that were lost responses.
std::size_t refute_crash(CrashQuarantine& quarantine, TargetIndex target, Time connected_at);

/// One crash as nodes report it to each other: the name of an object in the platform's store.
struct CrashReport {
    /// Fingerprint of the request.
    std::uint64_t request = 0;
    std::string node;
    /// When the node started, in milliseconds by the wall clock, and the number of the report since
    /// then.
    std::int64_t started_at_ms = 0;
    std::int64_t number = 0;

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Name of the object that reports the crash.
std::string crash_report_name(const CrashReport& report);
/// Parses an object name made by `crash_report_name`; empty for any other name.
std::optional<CrashReport> parse_crash_report(const std::string& name);

/// Identifies equal requests: a hash of method, host, path with query, and body.
std::uint64_t fingerprint(std::string_view method, std::string_view host, std::string_view target,
                          std::string_view body);

/// Counts a crash that this or another node has seen, once for each report name.
void add_crash(CrashQuarantine& quarantine, const std::string& report, const Crash& crash,
               Time now);

/// The crash of that report; null if it does not count, or no longer.
const Crash* find_crash(const CrashQuarantine& quarantine, const std::string& report);

/// Another node has withdrawn its report of a crash of that request.
void remove_crash(CrashQuarantine& quarantine, const std::string& report, std::uint64_t request);

/// Called when a target of the service has answered the request: it does not crash these targets.
/// Returns the names of the reports that this refutes.
std::vector<std::string> refute_request(CrashQuarantine& quarantine, std::uint64_t request,
                                        const std::string& service);

/// Whether a request may be sent to a target.
enum class Suspicion : std::uint8_t {
    none,         ///< It may be sent.
    unconfirmed,  ///< It is refused if its broken connections were crashes, which is being checked.
    quarantined,  ///< It has crashed too many targets.
};

/// Suspicion of the request with that fingerprint at targets of the service; to be asked before
/// each attempt. Crashes in the same service count, and those after which no target of any service
/// has answered the request.
Suspicion suspicion_of(const CrashQuarantine& quarantine, std::uint64_t request,
                       const std::string& service, Time now);

/// True if crashes are counted, or connections broke, while the request ran.
bool is_suspected(const CrashQuarantine& quarantine, std::uint64_t request);

/// Drops broken connections that were not confirmed as crashes, and suspected requests whose last
/// crash is older than `SUSPECT_TTL`. Returns the number of broken connections dropped.
std::size_t drop_expired_suspects(CrashQuarantine& quarantine, Time now);

}  // namespace ebonymount
