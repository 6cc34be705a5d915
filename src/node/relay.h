// The relay role: the only part of the system that speaks to targets, for the seats it holds.
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

/// What a planned hand-over tells the successor of a seat.
using AdmissionStates = std::map<std::string, AdmissionState>;

/// A target of this data centre with its service and seat.
struct PlacedTarget {
    std::string service;
    Target target;
    std::string group;
};

class Relay {
public:
    explicit Relay(NodeState& state);

    /// Starts all sub-queries of a query. The sink is called once per item, from any thread.
    void submit(const WireQuery& query, const OutcomeSink& sink);

    /// Cancels attempts of a query.
    void cancel(const WireCancel& cancel);

    /// Starts workers for the targets of a seat; the ledgers are empty after an unplanned change.
    void open_group(const std::string& group, const AdmissionStates& admissions);

    /// Refuses what waits for the seat's targets, waits for what runs, and ends the workers.
    /// Returns the ledgers for a successor, or nothing when something still runs after `most`.
    std::optional<AdmissionStates> close_group(const std::string& group, Duration most);

    /// Adjusts the workers of open seats to the targets and limits in the view.
    void follow_view();

    std::vector<TargetStatus> status() const;

    /// Ends all workers.
    void stop();

private:
    using WorkerMap = std::map<std::string, std::shared_ptr<TargetWorker>>;

    std::shared_ptr<TargetWorker> find_worker(const std::string& key) const;

    /// Ledgers count for workers that are started now; targets that come later start cold.
    void rebuild_workers(const AdmissionStates& admissions);
    std::shared_ptr<TargetWorker> worker_for(const std::string& key, const PlacedTarget& place,
                                             const AdmissionStates& admissions);

    NodeState& m_state;
    mutable std::mutex m_mutex;
    WorkerMap m_workers;
    std::set<std::string> m_open_groups;
    TaskQueue m_cancels;
};

}  // namespace ebonymount
