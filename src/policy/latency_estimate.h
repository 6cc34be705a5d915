// Expected time for an answer from each target, as the gateway measures it.
//
// The measure includes the link and the queue at the relay. It drifts back to a prior when a
// target has not been asked for a while, so that a target which was slow once is tried again.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace ebonymount {

/// What one gateway has measured of one target.
struct LatencyEstimate {
    double mean_us = 0.0;
    int outstanding = 0;
    Time last_answer{};
    Time last_failure{};
    bool failed = false;
};

using LatencyEstimates = std::map<std::string, LatencyEstimate>;

/// Expected microseconds for an answer, given the prior for a target not asked lately.
double expected_us(const LatencyEstimates& scores, const std::string& target, double prior_us,
                   Time now);

/// Counts a request on its way.
void on_sent(LatencyEstimates& scores, const std::string& target);

/// Records an answer.
void on_answer(LatencyEstimates& scores, const std::string& target, Duration latency, Time now);

/// Records a failure, which keeps new work away for a short while.
void on_failure(LatencyEstimates& scores, const std::string& target, Time now);

/// Forgets a request that was cancelled after it had taken `elapsed`. The time is a lower bound of
/// the answer's, so it can only raise the expectation.
void on_cancelled(LatencyEstimates& scores, const std::string& target, Duration elapsed, Time now);

}  // namespace ebonymount
