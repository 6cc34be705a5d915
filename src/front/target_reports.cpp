#include "front/target_reports.h"

#include "io/log_event.h"

namespace ebonymount {
namespace {

void apply_limit(FrontState& front, const platform::TargetResponseHeaders& headers,
                 const TargetResponseInfo& info) {
    TargetState& target = front.targets.states[info.target];
    const LimitChange change =
        on_limit_report(front.targets, target, {headers.rate_limit, info.is_answer, info.sent_at},
                        front.random, monotonic_now());
    if (change == LimitChange::none) {
        return;
    }
    const bool is_named = change == LimitChange::named;
    ++(is_named ? front.counters.limits_named : front.counters.limits_ended);
    LogEvent line(LogLevel::info, "targets", is_named ? "limit_named" : "limit_ended");
    line.add("target", target.entry.id)
        .add("service", target.entry.service)
        .add("nodes", front.targets.group.count);
    if (target.limit.has_value()) {
        line.add_fraction("per_second", target.limit->per_second)
            .add_fraction("share_per_second", target.limit->share.per_second)
            .add("rank", static_cast<std::int64_t>(target.limit->rank));
    }
    line.write();
}

void apply_leaving(FrontState& front, const TargetResponseInfo& info) {
    TargetState& target = front.targets.states[info.target];
    if (target.leaving) {
        return;
    }
    target.leaving = true;
    ++front.counters.targets_leaving;
    LogEvent(LogLevel::info, "targets", "leaving")
        .add("target", target.entry.id)
        .add("service", target.entry.service)
        .write();
}

void apply_turned_away(FrontState& front, Duration duration, const TargetResponseInfo& info) {
    TargetState& target = front.targets.states[info.target];
    on_turned_away(target, duration, front.random, monotonic_now());
    ++front.counters.turned_away;
    LogEvent(LogLevel::info, "targets", "turned_away")
        .add("target", target.entry.id)
        .add("service", target.entry.service)
        .add_ms("for_ms", duration)
        .write();
}

}  // namespace

void apply_target_reports(FrontState& front, const platform::TargetResponseHeaders& headers,
                          const TargetResponseInfo& info) {
    TargetState& target = front.targets.states[info.target];
    const Time now = monotonic_now();
    if (headers.waiting.has_value()) {
        on_load_report(target, *headers.waiting, now);
    }
    if (headers.cold_remaining.has_value()) {
        on_cold_report(target, *headers.cold_remaining, now);
    }
    apply_limit(front, headers, info);
    if (headers.leaving) {
        apply_leaving(front, info);
    }
    if (headers.turned_away_for.has_value()) {
        apply_turned_away(front, *headers.turned_away_for, info);
    }
    if (!headers.ignored_retry_after.empty()) {
        LogEvent(LogLevel::warning, "targets", "ignored_retry_after")
            .add("target", target.entry.id)
            .add("value", headers.ignored_retry_after)
            .write();
    }
}

}  // namespace ebonymount
