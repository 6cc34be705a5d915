#include "io/trace.h"

#include <algorithm>

namespace ebonymount {

void TraceRing::add(Trace trace) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_traces.push_back(std::move(trace));
    if (m_traces.size() > CAPACITY) {
        m_traces.pop_front();
    }
}

std::vector<Trace> TraceRing::latest(std::size_t limit) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::size_t count = std::min(limit, m_traces.size());
    return {m_traces.end() - static_cast<std::ptrdiff_t>(count), m_traces.end()};
}

}  // namespace ebonymount
