// Writes crash reports to the platform's store, and repeats a write until the store has taken it.
//
// Other nodes count a crash only once its report is stored, and the store is often in trouble while
// targets crash. Reports are written one at a time, oldest first; after a failure the queue waits,
// with a growing pause and full jitter, so that an unavailable store gets one call at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "base/random.h"
#include "front/front_state.h"

namespace ebonymount {

class CrashReporter {
public:
    CrashReporter(FrontState& state, std::string store_address);

    /// Queues the report with that name. If the queue is full, the oldest report is dropped.
    void add(const std::string& name);

    /// Writes the next report if it is due; to be called several times a second.
    void sweep(Time now);

private:
    void write_next();
    void on_end(const std::string& name, CallStatus status, int http_status);

    FrontState& m_state;
    std::string m_store_address;
    /// Calls may end after the reporter is gone; their handlers check here whether it still exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Random m_random{process_seed()};
    std::deque<std::string> m_queue;
    bool m_in_flight = false;
    int m_failures = 0;
    Time m_next_write{};
};

}  // namespace ebonymount
