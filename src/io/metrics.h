// Counters and histograms of a process, exposed on /metrics.
//
// A counter is looked up by name once and then incremented without a lock. Names follow the
// Prometheus convention `ebonymount_<part>_<what>_total`, with labels in braces where one counter
// name covers several cases.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/time.h"

namespace ebonymount {

using Counter = std::atomic<std::int64_t>;

/// A histogram of durations with fixed buckets; exposed in seconds.
class Histogram {
public:
    /// Upper bounds of the buckets in microseconds; longer durations go to a final `+Inf` bucket.
    static constexpr std::array<std::int64_t, 14> BOUNDS_US = {
        1000,   2500,   5000,   10000,  25000,   50000,   75000,
        100000, 150000, 250000, 500000, 1000000, 2500000, 5000000};

    void add(Duration duration);

    /// Lines in the Prometheus text format, with cumulative buckets.
    std::string text(const std::string& name) const;

private:
    std::array<Counter, BOUNDS_US.size() + 1> m_counts{};
    Counter m_sum_us{0};
};

/// Registry of all counters and histograms of a process.
class Metrics {
public:
    /// The counter of that name, created on first use. The reference is valid as long as the
    /// registry.
    Counter& counter(const std::string& name);

    /// The histogram of that name, created on first use. The reference is valid as long as the
    /// registry.
    Histogram& histogram(const std::string& name);

    /// One line per counter and the lines of each histogram, ordered by name.
    std::string text() const;

    /// Value of a counter; zero if the counter does not exist.
    std::int64_t value(const std::string& name) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

}  // namespace ebonymount
