#include "front/crash_detector.h"

#include "front/trial_claims.h"
#include "io/log_event.h"

namespace ebonymount {

void check_target(FrontState& front, TargetIndex target) {
    if (!begin_check(front.quarantine, target)) {
        return;
    }
    const Time connected_at = monotonic_now();
    front.pool.probe(target, [&front, target, connected_at](ConnectResult result) {
        end_check(front.quarantine, target);
        if (result == ConnectResult::refused) {
            on_crash_evidence(front, target, "connect_refused");
        } else if (result == ConnectResult::accepted) {
            front.counters.crash_evidence_refuted +=
                static_cast<std::int64_t>(refute_crash(front.quarantine, target, connected_at));
            // Connections that broke during the connect need one of their own.
            check_target(front, target);
        }
    });
}

void detect_crash(FrontState& front, const BrokenConnection& broken, const std::string& request_id,
                  CallStatus status) {
    record_broken_connection(front.quarantine, broken);
    ++front.counters.crash_evidence_broken;
    LogEvent(LogLevel::info, "quarantine", "connection_broken")
        .add("request", request_id)
        .add("fingerprint", std::to_string(broken.crash.request))
        .add("target", front.targets.states[broken.target].entry.id)
        .add("outcome", name_of(status))
        .write();
    check_target(front, broken.target);
}

void on_crash_evidence(FrontState& front, TargetIndex target, const char* evidence) {
    for (const Crash& crash : confirm_crash(front.quarantine, target, monotonic_now())) {
        ++front.counters.crash_evidence_confirmed;
        LogEvent(LogLevel::warning, "quarantine", "crash")
            .add("fingerprint", std::to_string(crash.request))
            .add("service", crash.service)
            .add("target", front.targets.states[target].entry.id)
            .add("others_answered", crash.others_answered ? "yes" : "no")
            .add("evidence", evidence)
            .write();
        front.on_crash(crash);
    }
}

void on_request_answered(FrontState& front, std::uint64_t request, const std::string& service) {
    if (!is_suspected(front.quarantine, request)) {
        return;
    }
    const std::vector<std::string> refuted = refute_request(front.quarantine, request, service);
    if (!refuted.empty()) {
        withdraw_claims(front, request, service);
    }
    for (const std::string& report : refuted) {
        LogEvent(LogLevel::info, "quarantine", "crash_refuted")
            .add("report", report)
            .add("service", service)
            .write();
        front.on_crash_refuted(report);
    }
}

}  // namespace ebonymount
