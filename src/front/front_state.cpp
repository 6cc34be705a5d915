#include "front/front_state.h"

namespace ebonymount {
namespace {

Counter& ended(Metrics& metrics, const char* end) {
    return metrics.counter(std::string("ebonymount_front_requests_ended_total{end=\"") + end +
                           "\"}");
}

}  // namespace

FrontMetrics::FrontMetrics(Metrics& metrics)
    : requests(metrics.counter("ebonymount_front_requests_total")),
      complete(ended(metrics, "complete")),
      partial(ended(metrics, "partial")),
      passed_errors(ended(metrics, "target_error")),
      not_run(ended(metrics, "not_run")),
      failed(ended(metrics, "failed")),
      out_of_time(ended(metrics, "out_of_time")),
      caller_gone(ended(metrics, "caller_gone")),
      unknown_route(ended(metrics, "unknown_route")),
      not_ready(ended(metrics, "not_ready")),
      quarantined(ended(metrics, "quarantined")),
      attempts(metrics.counter("ebonymount_front_tries_total")),
      hedges(metrics.counter("ebonymount_front_hedges_total")),
      retries(metrics.counter("ebonymount_front_retries_total")),
      budget_exhausted(metrics.counter("ebonymount_front_without_token_total")),
      parts_missing(metrics.counter("ebonymount_front_parts_missing_total")),
      request_time(metrics.histogram("ebonymount_front_request_seconds")),
      attempt_time(metrics.histogram("ebonymount_front_try_seconds")) {}

FrontState::FrontState(EventLoop& loop, Metrics& registry)
    : event_loop(loop),
      metrics(registry),
      counters(registry),
      pool(loop, targets),
      random(process_seed()) {}

}  // namespace ebonymount
