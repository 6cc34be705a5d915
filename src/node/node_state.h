// State shared by the parts of one node: cluster state, quarantine list, leases and counters.
//
// The cluster state and the quarantine list share a mutex; the published view, the listeners, the
// leases and the ended epochs each have their own. Routing reads an immutable view, which is
// replaced whenever the cluster state changes in a way that affects routing.
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

/// Leases of the target groups whose lease state this node tracks, held or not.
class LeaseTable {
public:
    /// The share of each limit that this node may use for the group at `now`, in 1/64ths.
    std::int64_t usable_share(const std::string& group, Time now) const;

    /// Stores the lease as the group's state machine last reported it.
    void set(const std::string& group, const GroupLease& lease);

    /// The leases that are held.
    std::map<std::string, GroupLease> held() const;

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
    /// This node's description of itself for peers, as of `now`.
    Peer self_description(Time now) const;
    /// Records contact with the platform.
    void record_platform_contact(Time now);
    Metrics& metrics() {
        return m_metrics;
    }
    TraceRing& traces() {
        return m_traces;
    }
    LeaseTable& leases() {
        return m_leases;
    }

    /// The current routing view.
    std::shared_ptr<const RoutingView> view() const;

    /// Runs `change` on the cluster state with its mutex held. When `change` returns true, a new
    /// view is published and the listeners are called.
    void update_cluster(const std::function<bool(ClusterState&, QuarantineList&)>& change);

    /// Runs `query` on the cluster state with its mutex held and returns the result.
    template <typename Query>
    auto query_cluster(Query query) const {
        const std::lock_guard<std::mutex> lock(m_cluster_mutex);
        return query(m_cluster, m_quarantine_list);
    }

    /// Registers a listener. It is called after each new view, on the thread that made the change.
    void on_view_change(std::function<void()> listener);

    /// Quarantine state of the request with this fingerprint.
    QuarantineState quarantine_state(std::uint64_t fingerprint, Time now) const;
    void set_quarantine_state(std::uint64_t fingerprint, QuarantineState quarantine_state,
                              Duration ttl, Time now);

    /// Records that this node has ended an epoch of a target group for good.
    void record_ended_epoch(const std::string& group, std::int64_t epoch);
    /// The latest ended epochs, which gossip announces to peers.
    std::vector<EndedEpoch> ended_epochs() const;

    /// True when the node may have missed an out-of-service operation and must not send new work.
    bool is_isolated(Time now) const;

    /// Readiness as reported to the load balancer.
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
    mutable std::mutex m_ended_epochs_mutex;
    std::vector<EndedEpoch> m_ended_epochs;
    std::atomic<bool> m_draining{false};
};

}  // namespace ebonymount
