#include "policy/crash_quarantine.h"

#include <algorithm>
#include <sstream>
#include <string>

#include "base/hash.h"

namespace ebonymount {
namespace {

/// A target that refuses connections, or is known to have restarted, within this time after a
/// connection broke has crashed. A crashed target is back after some seconds and registers within
/// its heartbeat.
constexpr Duration CRASH_DETECTION_TIME = from_ms(10000);

/// How long a broken connection counts against a request before it is known to be a crash. Connects
/// to other regions end within half of this time.
constexpr Duration CHECK_TIME = from_ms(100);

}  // namespace

std::string crash_report_name(const CrashReport& report) {
    return std::to_string(report.request) + "." + std::to_string(report.started_at_ms) + "." +
           std::to_string(report.number) + "." + report.node;
}

std::optional<CrashReport> parse_crash_report(const std::string& name) {
    CrashReport report;
    std::istringstream text(name);
    char first = 0;
    char second = 0;
    char third = 0;
    text >> report.request >> first >> report.started_at_ms >> second >> report.number >> third >>
        report.node;
    const bool is_report = !text.fail() && first == '.' && second == '.' && third == '.';
    return is_report ? std::optional<CrashReport>(report) : std::nullopt;
}

std::uint64_t fingerprint(std::string_view method, std::string_view host, std::string_view target,
                          std::string_view body) {
    std::string text;
    text.reserve(method.size() + host.size() + target.size() + body.size() + 3);
    text.append(method).append(1, '\0').append(host).append(1, '\0');
    text.append(target).append(1, '\0').append(body);
    return stable_hash(text);
}

void add_crash(CrashQuarantine& quarantine, const std::string& report, const Crash& crash,
               Time now) {
    SuspectRequest& suspect = quarantine.suspects[crash.request];
    suspect.crashes.emplace(report, crash);
    suspect.last_report_at = now;
}

const Crash* find_crash(const CrashQuarantine& quarantine, const std::string& report) {
    const std::optional<CrashReport> parsed = parse_crash_report(report);
    const auto suspect =
        parsed.has_value() ? quarantine.suspects.find(parsed->request) : quarantine.suspects.end();
    if (suspect == quarantine.suspects.end()) {
        return nullptr;
    }
    const auto crash = suspect->second.crashes.find(report);
    return crash == suspect->second.crashes.end() ? nullptr : &crash->second;
}

void remove_crash(CrashQuarantine& quarantine, const std::string& report, std::uint64_t request) {
    const auto found = quarantine.suspects.find(request);
    if (found != quarantine.suspects.end() && found->second.crashes.erase(report) > 0 &&
        found->second.crashes.empty()) {
        quarantine.suspects.erase(found);
    }
}

std::vector<std::string> refute_request(CrashQuarantine& quarantine, std::uint64_t request,
                                        const std::string& service) {
    const auto refute = [&service](Crash& crash) {
        crash.others_answered = true;
        return crash.service == service;
    };
    std::erase_if(quarantine.broken_connections, [&](BrokenConnection& broken) {
        return broken.crash.request == request && refute(broken.crash);
    });
    std::vector<std::string> refuted;
    const auto found = quarantine.suspects.find(request);
    if (found == quarantine.suspects.end()) {
        return refuted;
    }
    for (auto& [report, crash] : found->second.crashes) {
        if (refute(crash)) {
            refuted.push_back(report);
        }
    }
    for (const std::string& report : refuted) {
        remove_crash(quarantine, report, request);
    }
    return refuted;
}

Suspicion suspicion_of(const CrashQuarantine& quarantine, std::uint64_t request,
                       const std::string& service, Time now) {
    if (quarantine.suspects.empty() && quarantine.broken_connections.empty()) {
        return Suspicion::none;
    }
    std::int64_t in_service = 0;
    std::int64_t unanswered = 0;
    std::set<std::string_view> counted;
    const auto count = [&](const Crash& crash) {
        if (!crash.target.empty() && !counted.insert(crash.target).second) {
            return;
        }
        in_service += crash.service == service ? 1 : 0;
        unanswered += crash.others_answered ? 0 : 1;
    };
    const auto has_too_many = [&] {
        return std::max(in_service, unanswered) >= CRASHES_TO_QUARANTINE;
    };
    const auto found = quarantine.suspects.find(request);
    if (found != quarantine.suspects.end()) {
        for (const auto& [report, crash] : found->second.crashes) {
            count(crash);
        }
    }
    if (has_too_many()) {
        return Suspicion::quarantined;
    }
    for (const BrokenConnection& broken : quarantine.broken_connections) {
        if (broken.crash.request == request && now - broken.at <= CHECK_TIME) {
            count(broken.crash);
        }
    }
    return has_too_many() ? Suspicion::unconfirmed : Suspicion::none;
}

bool is_suspected(const CrashQuarantine& quarantine, std::uint64_t request) {
    return quarantine.suspects.count(request) > 0 ||
           std::any_of(quarantine.broken_connections.begin(), quarantine.broken_connections.end(),
                       [request](const BrokenConnection& broken) {
                           return broken.crash.request == request;
                       });
}

void record_broken_connection(CrashQuarantine& quarantine, const BrokenConnection& broken) {
    quarantine.broken_connections.push_back(broken);
}

bool begin_check(CrashQuarantine& quarantine, TargetIndex target) {
    const bool has_broken =
        std::any_of(quarantine.broken_connections.begin(), quarantine.broken_connections.end(),
                    [target](const BrokenConnection& broken) { return broken.target == target; });
    return has_broken && quarantine.checked_targets.insert(target).second;
}

void end_check(CrashQuarantine& quarantine, TargetIndex target) {
    quarantine.checked_targets.erase(target);
}

std::vector<Crash> confirm_crash(CrashQuarantine& quarantine, TargetIndex target, Time now) {
    std::vector<Crash> crashes;
    std::erase_if(quarantine.broken_connections, [&](const BrokenConnection& broken) {
        const bool is_match = broken.target == target && now - broken.at <= CRASH_DETECTION_TIME;
        if (is_match) {
            crashes.push_back(broken.crash);
        }
        return is_match;
    });
    return crashes;
}

std::size_t refute_crash(CrashQuarantine& quarantine, TargetIndex target, Time connected_at) {
    return std::erase_if(quarantine.broken_connections, [&](const BrokenConnection& broken) {
        return broken.target == target && broken.at <= connected_at;
    });
}

std::size_t drop_expired_suspects(CrashQuarantine& quarantine, Time now) {
    const std::size_t dropped = std::erase_if(
        quarantine.broken_connections,
        [now](const BrokenConnection& broken) { return now - broken.at > CRASH_DETECTION_TIME; });
    std::erase_if(quarantine.suspects, [now](const auto& entry) {
        return now - entry.second.last_report_at > SUSPECT_TTL;
    });
    return dropped;
}

}  // namespace ebonymount
