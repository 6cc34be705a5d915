// A group of nodes that compete for one seat, driven in virtual time.
//
// The group holds the real seat machines, a small model of the platform's object with its faults,
// and a count of the requests that each holder has running at one target. After every step the
// requests running together must not exceed the target's limit.
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

/// Sizes and faults of a group. The switches turn a mechanism off, for twins that must fail.
struct LeaseSimulationOptions {
    std::int64_t limit = 4;
    Duration lease = from_ms(6000);
    Duration longest_request = from_ms(1500);
    Duration gossip_delay = from_ms(500);
    Duration store_latency = from_ms(5);
    Duration store_timeout = from_ms(1000);
    /// Off: a holder sends for as long as it believes to hold the seat, whatever its lease says.
    bool check_lease = true;
    /// Off: a successor without a hand-over takes the whole limit.
    bool halve_share = true;
};

/// One node of the group.
struct SimulatedNode {
    std::string host;
    std::int64_t incarnation = 0;
    GroupLeaseMachine machine;
    ClusterState cluster;
    bool alive = false;
    bool paused = false;
    bool stopping = false;
    /// Cut off from the platform.
    bool cut = false;
    bool wanted = false;
    bool draining = false;
    std::vector<Time> running;
    /// Outcomes of platform calls on their way.
    std::deque<std::pair<Time, LeaseEvent>> arriving;
    std::vector<EndedEpoch> left;
};

/// A write on its way to the store.
struct PendingWrite {
    std::string host;
    Time lands{};
    WriteLease write;
};

class LeaseSimulation {
public:
    LeaseSimulation(LeaseSimulationOptions options, const std::vector<std::string>& hosts,
                    std::uint64_t seed);

    void start(const std::string& host);
    /// Ends the process at once; its requests go on at the target.
    void kill(const std::string& host);
    void stop(const std::string& host);
    void pause(const std::string& host);
    void resume(const std::string& host);
    void cut(const std::string& host, bool is_cut);
    void set_platform_down(bool down);
    /// The next writes take effect, but their answers are lost.
    void lose_confirmations(int count);

    /// Advances virtual time in small steps; returns what broke the limit, if anything did.
    std::optional<std::string> run_for(Duration duration);

    std::string holder() const;
    std::int64_t share(const std::string& host) const;
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
    void land_writes();
    void deliver(SimulatedNode& node);
    void advance(SimulatedNode& node, const LeaseEvent& event);
    void carry_out(SimulatedNode& node, const LeaseAction& action);
    void send_requests(SimulatedNode& node);
    void gossip();
    void assign();
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
    int m_lost_confirmations = 0;
    std::vector<PendingWrite> m_pending;
    /// Requests at the target whose process has ended.
    std::vector<Time> m_orphans;
};

}  // namespace ebonymount
