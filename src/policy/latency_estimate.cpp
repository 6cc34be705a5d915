#include "policy/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace ebonymount {
namespace {

/// Weight of the newest sample.
constexpr double NEWEST_WEIGHT = 0.2;

/// Time constant (1/e) with which a measurement loses weight against the prior.
constexpr double DECAY_TIME_US = 2'000'000.0;

/// Time for which a failure counts against a target.
constexpr Duration FAILURE_PENALTY_TIME = from_ms(500);

/// Added to the expected time, in microseconds, while a failure counts.
constexpr double FAILURE_PENALTY_US = 1'000'000.0;

void count_end(LatencyEstimate& score) {
    score.outstanding = std::max(0, score.outstanding - 1);
}

void add_latency(LatencyEstimate& score, double sample_us, Time now) {
    if (score.mean_us == 0.0) {
        score.mean_us = sample_us;
    }
    score.mean_us += (sample_us - score.mean_us) * NEWEST_WEIGHT;
    score.last_answer = now;
}

}  // namespace

double expected_us(const LatencyEstimates& scores, const std::string& target, double prior_us,
                   Time now) {
    const LatencyEstimates::const_iterator found = scores.find(target);
    if (found == scores.end()) {
        return prior_us;
    }
    const LatencyEstimate& score = found->second;
    const double age = static_cast<double>((now - score.last_answer).count());
    const double weight = score.mean_us == 0.0 ? 0.0 : std::exp(-age / DECAY_TIME_US);
    const double base = prior_us + (score.mean_us - prior_us) * weight;
    const bool is_penalised = score.failed && now - score.last_failure < FAILURE_PENALTY_TIME;
    return base * (1.0 + score.outstanding) + (is_penalised ? FAILURE_PENALTY_US : 0.0);
}

void on_sent(LatencyEstimates& scores, const std::string& target) {
    ++scores[target].outstanding;
}

void on_response(LatencyEstimates& scores, const std::string& target, Duration latency, Time now) {
    LatencyEstimate& score = scores[target];
    count_end(score);
    add_latency(score, static_cast<double>(latency.count()), now);
    score.failed = false;
}

void on_failure(LatencyEstimates& scores, const std::string& target, Time now) {
    LatencyEstimate& score = scores[target];
    count_end(score);
    score.failed = true;
    score.last_failure = now;
}

void on_cancelled(LatencyEstimates& scores, const std::string& target, Duration elapsed, Time now) {
    LatencyEstimate& score = scores[target];
    count_end(score);
    const double sample_us = static_cast<double>(elapsed.count());
    if (sample_us > score.mean_us) {
        add_latency(score, sample_us, now);
    }
}

}  // namespace ebonymount
