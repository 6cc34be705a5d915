#include "io/metrics.h"

namespace ebonymount {

Counter& Metrics::counter(const std::string& name) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Counter>& counter = m_counters[name];
    if (counter == nullptr) {
        counter = std::make_unique<Counter>(0);
    }
    return *counter;
}

std::string Metrics::text() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string lines;
    for (const auto& [name, counter] : m_counters) {
        lines += name + " " + std::to_string(counter->load()) + "\n";
    }
    return lines;
}

std::int64_t Metrics::value(const std::string& name) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second->load();
}

}  // namespace ebonymount
