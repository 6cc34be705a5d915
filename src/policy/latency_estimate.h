// Expected response time of each target, as measured by the gateway.
//
// The measurement includes the network and the queue at the relay. It decays to a prior while a
// target receives no requests, so that a target that was slow once is tried again.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace ebonymount {

/// One gateway's measurements of one target.
struct LatencyEstimate {
    /// Smoothed response time in microseconds; 0 without measurements.
    double mean_us = 0.0;
    /// Requests in flight.
    int outstanding = 0;
    Time last_response{};
    Time last_failure{};
    bool failed = false;
    /// The snapshot that the target last turned out to lack; empty if none.
    std::string missing_snapshot;
    Time snapshot_missed_at{};
};

using LatencyEstimates = std::map<std::string, LatencyEstimate>;

/// Expected response time in microseconds; `prior_us` applies to a target without recent
/// measurements.
double expected_us(const LatencyEstimates& estimates, const std::string& target, double prior_us,
                   Time now);

/// Counts a request in flight.
void on_sent(LatencyEstimates& estimates, const std::string& target);

/// Records a response.
void on_response(LatencyEstimates& estimates, const std::string& target, Duration latency,
                 Time now);

/// Records a failure, which raises the expected time for a short while.
void on_failure(LatencyEstimates& estimates, const std::string& target, Time now);

/// Records that the target does not have a snapshot.
void on_snapshot_missing(LatencyEstimates& estimates, const std::string& target,
                         const std::string& snapshot, Time now);

/// True for some seconds after the target turned out to lack the snapshot. It may obtain it later,
/// so it is tried again after that.
bool lacks_snapshot(const LatencyEstimates& estimates, const std::string& target,
                    const std::string& snapshot, Time now);

/// Records that a request was cancelled after `elapsed`. As this is a lower bound of its response
/// time, it can only raise the expected time.
void on_cancelled(LatencyEstimates& estimates, const std::string& target, Duration elapsed,
                  Time now);

}  // namespace ebonymount
