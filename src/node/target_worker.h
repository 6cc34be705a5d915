// One target as its owner sees it: queue, ledger, and a thread with a connection per slot.
//
// Right before each send the worker checks again that the node still owns the target, that the
// target is in service and that the deadline allows it. Work that cannot start in time is refused
// before it is sent.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "io/http_client.h"
#include "io/wire.h"
#include "node/node_state.h"
#include "policy/admission.h"

namespace ebonymount {

/// Takes the outcome of one sub-query; called once per job, from any thread.
using OutcomeSink = std::function<void(WireOutcome)>;

/// One sub-query that waits or runs at a target.
struct RelayJob {
    std::shared_ptr<const WireQuery> query;
    WireItem item;
    Time received{};
    Time deadline{};
    OutcomeSink sink;
    std::atomic<bool> cancelled{false};
};

/// State of a target for operators.
struct TargetStatus {
    std::string target;
    std::string group;
    AdmissionState admission;
    std::size_t queued = 0;
    int connections_opened = 0;
};

class TargetWorker {
public:
    /// Starts with `admission`, which is cold unless a predecessor handed it over.
    TargetWorker(NodeState& state, std::string service, Target target, std::string group,
                 AdmissionState admission);
    ~TargetWorker();
    TargetWorker(const TargetWorker&) = delete;
    TargetWorker& operator=(const TargetWorker&) = delete;
    TargetWorker(TargetWorker&&) = delete;
    TargetWorker& operator=(TargetWorker&&) = delete;

    /// Queues the job, or refuses it at once when it could not start in time.
    void submit(const std::shared_ptr<RelayJob>& job);

    /// Cancels a waiting job. A running one is marked and returned, to be cancelled at the target.
    std::shared_ptr<RelayJob> cancel(const std::string& query_id, std::uint64_t attempt);

    /// Asks the target to stop running the job; blocks for the exchange.
    void cancel_at_target(const RelayJob& job) const;

    /// Starts threads for slots that the table has added; fewer slots only lower the admission.
    void follow_limits();

    /// Refuses what waits; what runs goes on.
    void close_queue();

    /// Waits until nothing runs any more or the time is over. True when nothing runs.
    bool wait_idle(Duration most);

    AdmissionState admission() const;
    TargetStatus status() const;
    const Target& target() const {
        return m_target;
    }
    const std::string& group() const {
        return m_group;
    }

private:
    void run_slot();
    std::shared_ptr<RelayJob> next_job(std::unique_lock<std::mutex>& lock);
    bool take_startable(std::unique_lock<std::mutex>& lock, std::shared_ptr<RelayJob>& job);
    ConnectResult connect(HttpConnection& connection);
    std::deque<std::shared_ptr<RelayJob>>::iterator choose_job(Time now);
    std::optional<AttemptStatus> refusal(const RelayJob& job, Time now) const;
    bool run_job(const std::shared_ptr<RelayJob>& job, HttpConnection& connection);
    std::optional<WireOutcome> exchange(RelayJob& job, HttpConnection& connection);
    void apply(const HttpResponse& answer, Duration service_time, WireOutcome& outcome);
    void probe(std::unique_lock<std::mutex>& lock);
    ServiceRow row() const;
    std::int64_t share(Time now) const;

    NodeState& m_state;
    std::string m_service;
    Target m_target;
    std::string m_group;
    Counter& m_sent;
    Counter& m_refused;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_idle;
    std::deque<std::shared_ptr<RelayJob>> m_queue;
    std::vector<std::shared_ptr<RelayJob>> m_running;
    AdmissionState m_admission;
    bool m_closed = false;
    bool m_stopping = false;
    bool m_probing = false;
    std::atomic<int> m_connections_opened{0};
    std::vector<std::thread> m_threads;
};

}  // namespace ebonymount
