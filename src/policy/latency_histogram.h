// Latency statistics of one service: a histogram that forgets, for learned hedge delays.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// Histogram with buckets that grow by an eighth of a power of two, halved when it is full.
struct LatencyHistogram {
    static constexpr int BUCKETS = 200;
    std::array<std::uint32_t, BUCKETS> counts{};
    std::uint32_t total = 0;
};

/// Adds one observed duration.
void add_sample(LatencyHistogram& histogram, Duration sample);

/// Upper bound of the bucket that holds the quantile, in thousandths; zero without samples.
Duration quantile(const LatencyHistogram& histogram, std::int64_t permille);

}  // namespace ebonymount
