// The relay role: the only part of the system that calls targets. It serves the target groups whose
// leases this node holds.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/node_state.h"
#include "node/target_worker.h"
#include "node/task_queue.h"

namespace ebonymount {

/// Admission states by target that a planned handover passes to the successor.
using AdmissionStates = std::map<std::string, AdmissionState>;

/// A target of this data centre with its service and target group.
struct PlacedTarget {
    std::string service;
    Target target;
    std::string group;
};

class Relay {
public:
    explicit Relay(NodeState& state);

    /// Submits all sub-queries of a query. `sink` is called once for each of them, from any thread.
    void submit(const WireQuery& query, const OutcomeSink& sink);

    /// Cancels attempts of a query. Running ones are cancelled at their targets in the background.
    void cancel(const WireCancel& cancel);

    /// Starts workers for the targets of a group. `admissions` is empty after an unplanned change
    /// of the lease holder.
    void open_group(const std::string& group, const AdmissionStates& admissions);

    /// Refuses queued jobs of the group's targets, waits for running jobs, and drops the workers.
    /// Returns the admission states for a successor, or nothing if a job still runs after
    /// `timeout`.
    std::optional<AdmissionStates> close_group(const std::string& group, Duration timeout);

    /// Adjusts the workers of open target groups to the targets and limits of the current view.
    void apply_view();

    std::vector<TargetStatus> status() const;

    /// Ends all workers.
    void stop();

private:
    using WorkerMap = std::map<std::string, std::shared_ptr<TargetWorker>>;

    std::shared_ptr<TargetWorker> find_worker(const std::string& key) const;

    /// `admissions` applies only to workers that this call creates; targets that are added later
    /// start cold.
    void rebuild_workers(const AdmissionStates& admissions);
    std::shared_ptr<TargetWorker> worker_for(const std::string& key,
                                             const PlacedTarget& placed_target,
                                             const AdmissionStates& admissions);

    NodeState& m_state;
    mutable std::mutex m_mutex;
    WorkerMap m_workers;
    std::set<std::string> m_open_groups;
    TaskQueue m_cancel_tasks;
};

}  // namespace ebonymount
