// Traces: one span per hop of a request, kept in a ring buffer at the gateway.
#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace ebonymount {

/// One hop of a request. Times are microseconds after the start of the request.
struct Span {
    std::string name;
    std::string parent;
    std::int64_t start_us = 0;
    std::int64_t duration_us = 0;
    std::string detail;

    friend bool operator==(const Span&, const Span&) = default;
};

/// All spans of one request.
struct Trace {
    std::string id;
    std::string service;
    std::string end;
    std::vector<Span> spans;

    friend bool operator==(const Trace&, const Trace&) = default;
};

/// Ring buffer of the latest traces of a node. Thread-safe.
class TraceRing {
public:
    void add(Trace trace);
    /// The latest traces, at most `limit`, oldest first.
    std::vector<Trace> latest(std::size_t limit) const;

private:
    static constexpr std::size_t CAPACITY = 200;
    mutable std::mutex m_mutex;
    std::deque<Trace> m_traces;
};

}  // namespace ebonymount
