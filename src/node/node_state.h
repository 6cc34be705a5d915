// What the parts of one node share: its knowledge of the cluster, suspects, leases and counters.
//
// Each piece of state has a lock of its own. Routing reads an immutable view that is published
// anew whenever knowledge changes.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cluster/gossip.h"
#include "io/metrics.h"
#include "io/trace.h"
#include "node/settings.h"
#include "policy/quarantine_list.h"
#include "policy/routing_view.h"

namespace ebonymount {

/// The leases of the seats that this node holds or has held.
class LeaseTable {
public:
    /// Part of each limit that may be used for the seat at this moment, in 1/64ths.
    std::int64_t usable_share(const std::string& group, Time now) const;

    /// Sets what the seat's machine knows of its lease.
    void set(const std::string& group, const GroupLease& lease);

    /// The leases of seats that are held.
    std::map<std::string, GroupLease> all() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, GroupLease> m_leases;
};

class NodeState {
public:
    NodeState(const NodeSettings& settings, std::int64_t incarnation);

    const NodeSettings& settings() const {
        return m_settings;
    }
    const Peer& self() const {
        return m_self;
    }
    /// This node as it describes itself to peers at this moment.
    Peer described_self(Time now) const;
    /// Notes that the platform has answered.
    void note_platform_contact(Time now);
    Metrics& metrics() {
        return m_metrics;
    }
    TraceRing& traces() {
        return m_traces;
    }
    LeaseTable& leases() {
        return m_leases;
    }

    /// The published view.
    std::shared_ptr<const RoutingView> view() const;

    /// Runs `change` on the knowledge under its lock. When `change` returns true a new view is
    /// published and the listeners are told.
    void update_cluster(const std::function<bool(ClusterState&, QuarantineList&)>& change);

    /// Copies what `query` returns while the lock is held.
    template <typename Query>
    auto query_cluster(Query query) const {
        const std::lock_guard<std::mutex> lock(m_cluster_mutex);
        return query(m_cluster, m_quarantine_list);
    }

    /// Called after each publication, on the thread that made the change.
    void on_view_change(std::function<void()> listener);

    /// Standing of a request.
    QuarantineState quarantine_state(std::uint64_t fingerprint, Time now) const;
    void set_quarantine_state(std::uint64_t fingerprint, QuarantineState quarantine_state,
                              Duration ttl, Time now);

    /// Notes that this node has left a seat's epoch for good.
    void end_epoch(const std::string& group, std::int64_t epoch);
    std::vector<EndedEpoch> ended_epochs() const;

    /// True when the node may have missed a take-out and must not send new work.
    bool is_isolated(Time now) const;

    /// Readiness for the balancer.
    bool is_ready(Time now) const;
    void set_draining();
    bool is_draining() const;

private:
    NodeSettings m_settings;
    Peer m_self;
    Metrics m_metrics;
    TraceRing m_traces;
    LeaseTable m_leases;
    mutable std::mutex m_cluster_mutex;
    ClusterState m_cluster;
    QuarantineList m_quarantine_list;
    mutable std::mutex m_view_mutex;
    std::shared_ptr<const RoutingView> m_view;
    mutable std::mutex m_listener_mutex;
    std::vector<std::function<void()>> m_listeners;
    mutable std::mutex m_left_mutex;
    std::vector<EndedEpoch> m_ended_epochs;
    std::atomic<bool> m_draining{false};
};

}  // namespace ebonymount
