// Counters of a process, shown on /metrics.
//
// A counter is found by name once and then counted without a lock. Names use the customary form
// `ebonymount_<part>_<what>_total`, with labels in braces where one part counts several things.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ebonymount {

using Counter = std::atomic<std::int64_t>;

/// All counters of a process.
class Metrics {
public:
    /// The counter of that name, made on first use. It lives as long as the registry.
    Counter& counter(const std::string& name);

    /// One line per counter, ordered by name.
    std::string text() const;

    /// Value of a counter; zero if nobody has counted yet.
    std::int64_t value(const std::string& name) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
};

}  // namespace ebonymount
