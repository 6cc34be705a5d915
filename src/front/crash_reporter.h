// Writes crash reports to the platform's store, and repeats a write until the store has taken it.
//
// Other nodes count a crash only once its report is stored, and the store is often in trouble while
// targets crash. Calls are made one at a time; after a failure the queue waits, with a growing
// pause and full jitter, so that an unavailable store gets one call at a time from each node. Most
// requests that ran on a crashed target are innocent and are answered by another target at once, so
// a report first waits for that.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "base/random.h"
#include "front/front_state.h"

namespace ebonymount {

class CrashReporter {
public:
    CrashReporter(FrontState& state, std::string store_address);

    /// Queues a report with that name. If the queue is full, the oldest call is dropped.
    void add(const std::string& name, const Crash& crash);

    /// Queues the claim of a trial of this node. Calls are made in the order in which they were
    /// queued, so the store has the claim before the report of a crash in that trial.
    void add_claim(const TrialClaim& claim, const std::string& node);

    /// Withdraws a report or claim of this or another node, whether or not the store has it yet.
    void withdraw(const std::string& name);

    /// True if a call for that report is queued or in progress.
    bool is_queued(const std::string& name) const;

    /// Makes the next call if it is due; to be called several times a second.
    void sweep(Time now);

private:
    /// A report to be created, or removed if `body` is empty.
    struct Write {
        std::string name;
        std::string body;
        Time due{};
    };

    void push(Write write);
    void make_call();
    void on_end(CallStatus status, int http_status);

    FrontState& m_state;
    std::string m_store_address;
    /// Calls may end after the reporter is gone; their handlers check here whether it still exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Random m_random{process_seed()};
    /// Calls to be made, in order. The first one stays until it has ended.
    std::deque<Write> m_queue;
    bool m_in_flight = false;
    int m_failures = 0;
    Time m_next_call{};
};

}  // namespace ebonymount
