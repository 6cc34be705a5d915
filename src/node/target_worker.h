// Sends sub-queries to one target, at the node that holds its group's lease: a queue, the admission
// state, and for each slot a thread with its own connection.
//
// Immediately before each send the worker checks again that the lease is still valid, that the
// target is in service and that the deadline has not passed. Work that cannot start in time is
// refused before it is sent.
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

/// Receives the outcome of one sub-query. Called once per job, from any thread.
using OutcomeSink = std::function<void(WireOutcome)>;

/// One sub-query that is queued for a target or running at it.
struct RelayJob {
    std::shared_ptr<const WireQuery> query;
    WireSubQuery item;
    Time received{};
    Time deadline{};
    OutcomeSink sink;
    std::atomic<bool> cancelled{false};
};

/// State of a target, as shown to operators.
struct TargetStatus {
    std::string target;
    std::string group;
    AdmissionState admission;
    std::size_t queued = 0;
    int connections_opened = 0;
};

class TargetWorker {
public:
    /// Starts with the given admission state, which is cold unless a predecessor handed it over.
    TargetWorker(NodeState& state, std::string service, Target target, std::string group,
                 AdmissionState admission);
    ~TargetWorker();
    TargetWorker(const TargetWorker&) = delete;
    TargetWorker& operator=(const TargetWorker&) = delete;
    TargetWorker(TargetWorker&&) = delete;
    TargetWorker& operator=(TargetWorker&&) = delete;

    /// Queues the job, or refuses it immediately when it is not expected to start in time.
    void submit(const std::shared_ptr<RelayJob>& job);

    /// Cancels a queued job. A running job is marked and returned, so that the caller can cancel it
    /// at the target.
    std::shared_ptr<RelayJob> cancel(const std::string& query_id, std::uint64_t attempt);

    /// Asks the target to stop the job. Blocks until the target responds or the call times out.
    void cancel_at_target(const RelayJob& job) const;

    /// Starts threads for slots that the table has added. When the table has fewer slots than
    /// before, no thread ends and admission enforces the lower limit.
    void add_slot_threads();

    /// Refuses queued and new jobs. Running jobs continue.
    void close_queue();

    /// Waits until no job is running, at most for `timeout`. True when no job is running.
    bool wait_idle(Duration timeout);

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
    bool dequeue_startable_job(std::unique_lock<std::mutex>& lock, std::shared_ptr<RelayJob>& job);
    ConnectResult connect(HttpConnection& connection);
    std::deque<std::shared_ptr<RelayJob>>::iterator choose_job(Time now);
    std::optional<AttemptStatus> refusal(const RelayJob& job, Time now) const;
    bool run_job(const std::shared_ptr<RelayJob>& job, HttpConnection& connection);
    std::optional<WireOutcome> exchange(RelayJob& job, HttpConnection& connection);
    void apply_response(const HttpResponse& response, Duration service_time, WireOutcome& outcome);
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
