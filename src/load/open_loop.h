// Open-loop load: each request is sent at its intended time, whether or not earlier ones have
// received a response, and its latency is measured from the intended time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// A stream of requests at a constant rate.
struct LoadOptions {
    /// Caller addresses of the nodes, used round robin.
    std::vector<std::string> callers;
    std::string service;
    /// Sends non-idempotent requests, each with its own idempotency key.
    bool submit = false;
    std::string key_prefix = "load";
    double rate_per_s = 100.0;
    /// Number of requests.
    std::int64_t count = 100;
    /// Maximum number of requests in flight.
    int threads = 64;
    /// Timeout of connecting, and of each request.
    Duration timeout = from_ms(5000);
};

/// Outcome of one request, as its caller sees it.
struct LoadSample {
    /// Time from the intended send time to the response.
    Duration latency{};
    /// HTTP status; 0 if there was no response.
    int status = 0;
    std::string end;
    std::string verdict;
    std::int64_t coverage_permille = 0;
    std::string snapshot;
};

/// Sends the whole stream and returns a sample per request.
std::vector<LoadSample> run_open_loop(const LoadOptions& options);

/// Figures over the samples of a stream.
struct LoadSummary {
    std::int64_t count = 0;
    /// Status 200 with full coverage.
    std::int64_t whole = 0;
    /// Status 200 with less than full coverage.
    std::int64_t partial = 0;
    /// Status 503 with the verdict that the request has not run.
    std::int64_t refused = 0;
    /// Any other outcome, including no response.
    std::int64_t failed = 0;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    double max_ms = 0.0;
    /// Mean coverage over all requests, from 0 to 1; a failed request counts as 0.
    double mean_coverage = 0.0;
    double min_coverage = 0.0;
};

/// Counts outcomes and computes latency and coverage figures.
LoadSummary summarize(const std::vector<LoadSample>& samples);

/// The figures as one line of text, which scripts match.
std::string describe(const LoadSummary& summary);

/// A quantile (from 0 to 1) of the latencies, in milliseconds; 0 without samples.
double latency_quantile_ms(std::vector<LoadSample> samples, double quantile);

}  // namespace ebonymount
