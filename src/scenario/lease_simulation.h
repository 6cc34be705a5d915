// Simulates nodes that compete for the lease of one target group, in virtual time.
//
// The simulation drives the real lease state machines against a small model of the platform's
// stored object and its faults, and tracks the requests that each node has running at one target.
// After every step the total number of running requests must not exceed the target's limit.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "cluster/gossip.h"
#include "cluster/group_lease_machine.h"

namespace ebonymount {

/// Limits and delays of a simulation. Each switch disables one mechanism, for mutants that must
/// fail.
struct LeaseSimulationOptions {
    std::int64_t limit = 4;
    Duration lease_duration = from_ms(6000);
    Duration max_request_time = from_ms(1500);
    Duration gossip_delay = from_ms(500);
    Duration store_latency = from_ms(5);
    Duration store_timeout = from_ms(1000);
    /// If false, a holder sends requests as long as its state says that it holds the group, even
    /// after its lease has expired.
    bool check_lease = true;
    /// If false, a successor without a handover uses the whole limit.
    bool halve_share = true;
};

/// One simulated node.
struct SimulatedNode {
    std::string host;
    std::int64_t incarnation = 0;
    GroupLeaseMachine machine;
    ClusterState cluster;
    bool alive = false;
    bool paused = false;
    bool stopping = false;
    /// True while this node is cut off from the platform.
    bool cut = false;
    bool is_assigned = false;
    bool draining = false;
    std::vector<Time> running;
    /// Results of platform calls in flight, with the times at which they arrive.
    std::deque<std::pair<Time, LeaseEvent>> incoming;
    std::vector<EndedEpoch> ended_epochs;
};

/// A write in flight to the store.
struct PendingWrite {
    std::string host;
    Time arrives_at{};
    WriteLease write;
};

class LeaseSimulation {
public:
    LeaseSimulation(LeaseSimulationOptions options, const std::vector<std::string>& hosts,
                    std::uint64_t seed);

    void start(const std::string& host);
    /// Ends the process at once; its requests continue to run at the target.
    void kill(const std::string& host);
    /// Starts a planned stop: the node hands over its lease and finishes its requests first.
    void stop(const std::string& host);
    void pause(const std::string& host);
    void resume(const std::string& host);
    /// Cuts a host off from the platform, or reconnects it.
    void cut(const std::string& host, bool is_cut);
    void set_platform_down(bool down);
    /// The next `count` writes are processed, but their results are lost.
    void lose_confirmations(int count);

    /// Advances virtual time in small steps. Returns a description if the limit is exceeded.
    std::optional<std::string> run_for(Duration duration);

    /// Host that holds the lease according to the store; empty after a release.
    std::string holder() const;
    /// Share of the limit that the host may use now, in 64ths.
    std::int64_t share(const std::string& host) const;
    /// Number of requests running at the target, including those of killed nodes.
    std::int64_t running() const;
    Time now() const {
        return m_now;
    }
    const GroupLeaseRecord& stored() const {
        return m_stored;
    }
    std::vector<std::string> hosts() const;
    const SimulatedNode& node(const std::string& host) const {
        return m_nodes.at(host);
    }

private:
    void tick(SimulatedNode& node);
    void apply_writes();
    void deliver(SimulatedNode& node);
    void advance(SimulatedNode& node, const LeaseEvent& event);
    void execute(SimulatedNode& node, const LeaseAction& action);
    void send_requests(SimulatedNode& node);
    void gossip();
    void assign_holder();
    bool reaches_platform(const SimulatedNode& node) const;
    LeaseContext lease_context(SimulatedNode& node);

    LeaseSimulationOptions m_options;
    std::map<std::string, SimulatedNode> m_nodes;
    Random m_random;
    Time m_now{};
    Time m_next_gossip{};
    GroupLeaseRecord m_stored;
    std::int64_t m_version = 0;
    bool m_platform_down = false;
    int m_confirmations_to_lose = 0;
    std::vector<PendingWrite> m_pending;
    /// End times of requests that still run at the target although their process was killed.
    std::vector<Time> m_orphans;
};

}  // namespace ebonymount
