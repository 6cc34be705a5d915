#include "io/metrics.h"

#include <algorithm>
#include <cstdio>

namespace ebonymount {
namespace {

std::string seconds_text(std::int64_t us) {
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%g", static_cast<double>(us) / 1e6);
    return std::string(text.data(), static_cast<std::size_t>(length));
}

}  // namespace

void Histogram::add(Duration duration) {
    const auto bucket = std::lower_bound(BOUNDS_US.begin(), BOUNDS_US.end(), duration.count());
    ++m_counts.at(static_cast<std::size_t>(bucket - BOUNDS_US.begin()));
    m_sum_us += duration.count();
}

std::string Histogram::text(const std::string& name) const {
    std::string lines;
    std::int64_t total = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        total += m_counts.at(i).load();
        const std::string bound = i < BOUNDS_US.size() ? seconds_text(BOUNDS_US.at(i)) : "+Inf";
        lines += name + "_bucket{le=\"" + bound + "\"} " + std::to_string(total) + "\n";
    }
    lines += name + "_sum " + seconds_text(m_sum_us.load()) + "\n";
    lines += name + "_count " + std::to_string(total) + "\n";
    return lines;
}

Counter& Metrics::counter(const std::string& name) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Counter>& counter = m_counters[name];
    if (counter == nullptr) {
        counter = std::make_unique<Counter>(0);
    }
    return *counter;
}

Histogram& Metrics::histogram(const std::string& name) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Histogram>& histogram = m_histograms[name];
    if (histogram == nullptr) {
        histogram = std::make_unique<Histogram>();
    }
    return *histogram;
}

std::string Metrics::text() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string lines;
    for (const auto& [name, counter] : m_counters) {
        lines += name + " " + std::to_string(counter->load()) + "\n";
    }
    for (const auto& [name, histogram] : m_histograms) {
        lines += histogram->text(name);
    }
    return lines;
}

std::int64_t Metrics::value(const std::string& name) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second->load();
}

}  // namespace ebonymount
