#include "front/front_state.h"

#include <limits>

namespace ebonymount {
namespace {

Counter& ended_counter(Metrics& metrics, const char* outcome) {
    return metrics.counter(std::string("ebonymount_front_requests_ended_total{end=\"") + outcome +
                           "\"}");
}

Counter& crash_evidence_counter(Metrics& metrics, const char* state) {
    return metrics.counter(std::string("ebonymount_front_crash_evidence_total{state=\"") + state +
                           "\"}");
}

Counter& crash_report_counter(Metrics& metrics, const char* outcome) {
    return metrics.counter(std::string("ebonymount_front_crash_reports_total{outcome=\"") +
                           outcome + "\"}");
}

}  // namespace

FrontMetrics::FrontMetrics(Metrics& metrics)
    : requests(metrics.counter("ebonymount_front_requests_total")),
      complete(ended_counter(metrics, "complete")),
      partial(ended_counter(metrics, "partial")),
      target_errors(ended_counter(metrics, "target_error")),
      not_run(ended_counter(metrics, "not_run")),
      failed(ended_counter(metrics, "failed")),
      out_of_time(ended_counter(metrics, "out_of_time")),
      caller_gone(ended_counter(metrics, "caller_gone")),
      internal_errors(ended_counter(metrics, "internal_error")),
      unknown_route(ended_counter(metrics, "unknown_route")),
      not_ready(ended_counter(metrics, "not_ready")),
      short_of_memory(metrics.counter("ebonymount_front_short_of_memory_total")),
      quarantined(ended_counter(metrics, "quarantined")),
      quarantine_trials(metrics.counter("ebonymount_front_quarantine_trials_total")),
      attempts(metrics.counter("ebonymount_front_tries_total")),
      hedges(metrics.counter("ebonymount_front_hedges_total")),
      retries(metrics.counter("ebonymount_front_retries_total")),
      attempts_without_token(metrics.counter("ebonymount_front_without_token_total")),
      parts_missing(metrics.counter("ebonymount_front_parts_missing_total")),
      limits_named(metrics.counter("ebonymount_front_target_limits_named_total")),
      limits_ended(metrics.counter("ebonymount_front_target_limits_ended_total")),
      turned_away(metrics.counter("ebonymount_front_turned_away_total")),
      targets_leaving(metrics.counter("ebonymount_front_targets_leaving_total")),
      malformed_signatures(metrics.counter("ebonymount_front_malformed_signatures_total")),
      responses_without_id(metrics.counter("ebonymount_front_responses_without_id_total")),
      crash_evidence_broken(crash_evidence_counter(metrics, "broken")),
      crash_evidence_confirmed(crash_evidence_counter(metrics, "confirmed")),
      crash_evidence_refuted(crash_evidence_counter(metrics, "refuted")),
      crash_evidence_unconfirmed(crash_evidence_counter(metrics, "unconfirmed")),
      crash_reports_stored(crash_report_counter(metrics, "stored")),
      crash_reports_failed(crash_report_counter(metrics, "failed")),
      crash_reports_dropped(crash_report_counter(metrics, "dropped")),
      crash_reports_rewritten(crash_report_counter(metrics, "rewritten")),
      config_version(metrics.counter("ebonymount_front_config_version")),
      request_time(metrics.histogram("ebonymount_front_request_seconds")),
      attempt_time(metrics.histogram("ebonymount_front_try_seconds")) {}

FrontState::FrontState(EventLoop& loop, Metrics& metrics_registry)
    : event_loop(loop),
      metrics(metrics_registry),
      counters(metrics_registry),
      memory(MemoryBudget::create(loop, std::numeric_limits<std::int64_t>::max())),
      pool(loop, targets),
      random(process_seed()) {}

}  // namespace ebonymount
