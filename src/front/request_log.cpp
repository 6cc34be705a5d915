#include "front/request_log.h"

#include "io/log_event.h"

namespace ebonymount {

void log_request_end(const RequestLogContext& facts, const char* end, int status) {
    LogEvent(LogLevel::info, "request", "ended")
        .add("request", facts.request_id)
        .add("route", facts.route.name)
        .add("end", end)
        .add("status", status)
        .add_ms("ms", monotonic_now() - facts.state.parameters.started)
        .add("shards", static_cast<std::int64_t>(facts.state.shards.size()))
        .add("answered", facts.state.answered)
        .add("failed", facts.state.failed)
        .add("hedges", facts.state.hedges)
        .add("retries", facts.state.retries)
        .add("without_token", facts.state.budget_exhausted)
        .add("verdict", name_of(facts.state.verdict))
        .add("config_version", facts.view.table.version)
        .add("registry", facts.front.registry_generation)
        .add_ms("targets_heard_ms_ago", monotonic_now() - facts.front.targets_updated_at)
        .write();
}

void log_shards_without_target(const RequestLogContext& facts) {
    const Time now = monotonic_now();
    for (const ShardState& shard : facts.state.shards) {
        if (!shard.failed || !shard.tried.empty()) {
            continue;
        }
        const ServiceView& service = facts.view.services[shard.service];
        std::string reasons;
        for (const TargetIndex index : service.targets) {
            const TargetState& target = facts.front.targets.states[index];
            reasons += reasons.empty() ? "" : " ";
            reasons += target.entry.id + ":" +
                       name_of(availability(facts.front.targets, target,
                                            service.limits.cold_per_second, now));
        }
        LogEvent(LogLevel::info, "request", "no_target")
            .add("request", facts.request_id)
            .add("service", service.limits.name)
            .add("targets", reasons)
            .add("registry", facts.front.registry_generation)
            .write();
    }
}

void log_attempt(const RequestLogContext& facts, const AttemptLogContext& attempt) {
    const Time now = monotonic_now();
    const TargetState& target = facts.front.targets.states[attempt.target];
    const ServiceIndex service = facts.state.shards[attempt.shard].service;
    LogEvent(LogLevel::info, "request", attempt.event)
        .add("request", facts.request_id)
        .add("try", static_cast<std::int64_t>(attempt.id))
        .add("service", facts.view.services[service].limits.name)
        .add("target", target.entry.id)
        .add("outcome", attempt.outcome)
        .add_ms("after_ms", now - facts.state.parameters.started)
        .add_ms("expected_ms",
                Duration(static_cast<std::int64_t>(expected_us(target, AttemptCosts{}, now))))
        .add("outstanding", target.outstanding)
        .add("failures", target.failures)
        .add("milli_tokens", facts.front.budgets[service].milli_tokens)
        .write();
}

}  // namespace ebonymount
