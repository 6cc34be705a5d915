#include "policy/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace ebonymount {
namespace {

/// Weight of the newest sample.
constexpr double NEWEST_SAMPLE_WEIGHT = 0.2;

/// Time constant (1/e) with which a measurement loses weight against the prior.
constexpr double DECAY_TIME_US = 2'000'000.0;

/// Time for which a failure counts against a target.
constexpr Duration FAILURE_PENALTY_TIME = from_ms(500);

/// Added to the expected time, in microseconds, while a failure counts.
constexpr double FAILURE_PENALTY_US = 1'000'000.0;

/// Time for which a target that lacked a snapshot is assumed to lack it still. It exceeds the time
/// limit of a request, so that the next request does not repeat the choices of one that waited.
constexpr Duration MISSING_SNAPSHOT_TIME = from_ms(20000);

void count_end(LatencyEstimate& estimate) {
    estimate.outstanding = std::max(0, estimate.outstanding - 1);
}

void add_latency(LatencyEstimate& estimate, double sample_us, Time now) {
    if (estimate.mean_us == 0.0) {
        estimate.mean_us = sample_us;
    }
    estimate.mean_us += (sample_us - estimate.mean_us) * NEWEST_SAMPLE_WEIGHT;
    estimate.last_response = now;
}

}  // namespace

double expected_us(const LatencyEstimates& estimates, const std::string& target, double prior_us,
                   Time now) {
    const LatencyEstimates::const_iterator found = estimates.find(target);
    if (found == estimates.end()) {
        return prior_us;
    }
    const LatencyEstimate& estimate = found->second;
    const double age_us = static_cast<double>((now - estimate.last_response).count());
    const double weight = estimate.mean_us == 0.0 ? 0.0 : std::exp(-age_us / DECAY_TIME_US);
    const double base_us = prior_us + (estimate.mean_us - prior_us) * weight;
    const bool is_penalised = estimate.failed && now - estimate.last_failure < FAILURE_PENALTY_TIME;
    return base_us * (1.0 + estimate.outstanding) + (is_penalised ? FAILURE_PENALTY_US : 0.0);
}

void on_sent(LatencyEstimates& estimates, const std::string& target) {
    ++estimates[target].outstanding;
}

void on_response(LatencyEstimates& estimates, const std::string& target, Duration latency,
                 Time now) {
    LatencyEstimate& estimate = estimates[target];
    count_end(estimate);
    add_latency(estimate, static_cast<double>(latency.count()), now);
    estimate.failed = false;
}

void on_failure(LatencyEstimates& estimates, const std::string& target, Time now) {
    LatencyEstimate& estimate = estimates[target];
    count_end(estimate);
    estimate.failed = true;
    estimate.last_failure = now;
}

void on_snapshot_missing(LatencyEstimates& estimates, const std::string& target,
                         const std::string& snapshot, Time now) {
    LatencyEstimate& estimate = estimates[target];
    estimate.missing_snapshot = snapshot;
    estimate.snapshot_missed_at = now;
}

bool lacks_snapshot(const LatencyEstimates& estimates, const std::string& target,
                    const std::string& snapshot, Time now) {
    const LatencyEstimates::const_iterator found = estimates.find(target);
    return found != estimates.end() && found->second.missing_snapshot == snapshot &&
           now - found->second.snapshot_missed_at < MISSING_SNAPSHOT_TIME;
}

void on_cancelled(LatencyEstimates& estimates, const std::string& target, Duration elapsed,
                  Time now) {
    LatencyEstimate& estimate = estimates[target];
    count_end(estimate);
    const double sample_us = static_cast<double>(elapsed.count());
    if (sample_us > estimate.mean_us) {
        add_latency(estimate, sample_us, now);
    }
}

}  // namespace ebonymount
