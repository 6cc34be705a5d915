// Latency statistics of one service: a decaying histogram, from which hedge delays are computed.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// Histogram with eight buckets per power of two, in microseconds. All counts are halved once it
/// holds its maximum number of samples.
struct LatencyHistogram {
    static constexpr int BUCKETS = 200;
    std::array<std::uint32_t, BUCKETS> counts{};
    std::uint32_t total = 0;
};

/// Adds one observed duration.
void add_sample(LatencyHistogram& histogram, Duration sample);

/// Upper bound of the bucket that holds the quantile `permille` (in thousandths); zero without
/// samples.
Duration quantile(const LatencyHistogram& histogram, std::int64_t permille);

}  // namespace ebonymount
