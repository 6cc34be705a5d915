#include "policy/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace ebonymount {
namespace {

constexpr double BUCKETS_PER_DOUBLING = 8.0;

/// Number of samples at which all counts are halved, so that old samples lose weight.
constexpr std::uint32_t MAX_SAMPLES = 4000;

std::size_t bucket_of(Duration sample) {
    const double microseconds = std::max(1.0, static_cast<double>(sample.count()));
    const double position = std::log2(microseconds) * BUCKETS_PER_DOUBLING;
    return std::min<std::size_t>(static_cast<std::size_t>(position), LatencyHistogram::BUCKETS - 1);
}

Duration upper_bound_of(std::size_t bucket) {
    const double exponent = (static_cast<double>(bucket) + 1.0) / BUCKETS_PER_DOUBLING;
    return Duration(static_cast<std::int64_t>(std::exp2(exponent)));
}

void halve_counts(LatencyHistogram& histogram) {
    histogram.total = 0;
    for (std::uint32_t& count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

}  // namespace

void add_sample(LatencyHistogram& histogram, Duration sample) {
    if (histogram.total >= MAX_SAMPLES) {
        halve_counts(histogram);
    }
    ++histogram.counts.at(bucket_of(sample));
    ++histogram.total;
}

Duration quantile(const LatencyHistogram& histogram, std::int64_t permille) {
    const std::uint64_t rank =
        (static_cast<std::uint64_t>(histogram.total) * permille + 999) / 1000;
    std::uint64_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        cumulative_count += histogram.counts.at(bucket);
        if (cumulative_count >= rank && cumulative_count > 0) {
            return upper_bound_of(bucket);
        }
    }
    return Duration::zero();
}

}  // namespace ebonymount
