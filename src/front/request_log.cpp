#include "front/request_log.h"

#include "io/log_event.h"

namespace ebonymount {

void log_request_end(const RequestLogContext& context, const char* outcome, int http_status) {
    LogEvent(LogLevel::info, "request", "ended")
        .add("request", context.request_id)
        .add("route", context.route.name)
        .add("end", outcome)
        .add("status", http_status)
        .add_ms("ms", monotonic_now() - context.state.parameters.started)
        .add("shards", static_cast<std::int64_t>(context.state.shards.size()))
        .add("answered", context.state.answered)
        .add("failed", context.state.failed)
        .add("hedges", context.state.hedges)
        .add("retries", context.state.retries)
        .add("without_token", context.state.attempts_without_token)
        .add("verdict", name_of(context.state.verdict))
        .add("config_version", context.view.table.version)
        .add("registry", context.front.registry_generation)
        .add_ms("targets_heard_ms_ago", monotonic_now() - context.front.targets_updated_at)
        .add("reader", context.front.store_source.reader)
        .add_ms("store_age_ms",
                context.front.store_source.age + monotonic_now() - context.front.store_source_at)
        .write();
}

void log_shards_without_target(const RequestLogContext& context) {
    const Time now = monotonic_now();
    for (const ShardState& shard : context.state.shards) {
        if (!shard.failed || !shard.tried.empty()) {
            continue;
        }
        const ServiceView& service = context.view.services[shard.service];
        std::string reasons;
        for (const TargetIndex index : service.targets) {
            const TargetState& target = context.front.targets.states[index];
            reasons += reasons.empty() ? "" : " ";
            reasons += target.entry.id + ":" +
                       name_of(availability(context.front.targets, target,
                                            service.limits.cold_per_second, now));
        }
        LogEvent(LogLevel::info, "request", "no_target")
            .add("request", context.request_id)
            .add("service", service.limits.name)
            .add("targets", reasons)
            .add("registry", context.front.registry_generation)
            .write();
    }
}

void log_attempt(const RequestLogContext& context, const AttemptLogContext& attempt) {
    const Time now = monotonic_now();
    const TargetState& target = context.front.targets.states[attempt.target];
    const ServiceIndex service = context.state.shards[attempt.shard].service;
    LogEvent(LogLevel::info, "request", attempt.event)
        .add("request", context.request_id)
        .add("try", static_cast<std::int64_t>(attempt.id))
        .add("service", context.view.services[service].limits.name)
        .add("target", target.entry.id)
        .add("outcome", attempt.outcome)
        .add_ms("after_ms", now - context.state.parameters.started)
        .add_ms("expected_ms",
                Duration(static_cast<std::int64_t>(expected_us(target, AttemptCosts{}, now))))
        .add("outstanding", target.outstanding)
        .add("failures", target.failures)
        .add("milli_tokens", context.front.budgets[service].milli_tokens)
        .write();
}

}  // namespace ebonymount
