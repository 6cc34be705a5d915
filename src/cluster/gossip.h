// Gossip between nodes: the messages, and how received messages change a node's cluster state.
//
// Every node gossips with a few peers at a time about document generations, the leases of target
// groups, out-of-service operations that the platform has not stored yet, and suspected requests. A
// node that is behind gets the newer documents in the response. Cluster state only moves forward:
// to higher generations, to higher epochs, and from pending to stored.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "policy/quarantine_list.h"
#include "policy/routing_view.h"

namespace ebonymount {

/// Version of the gossip protocol. Messages of any other version are refused.
constexpr std::int64_t PEER_PROTOCOL_VERSION = 1;

/// A host from the platform's list, with the node that runs on it once it is known. Hosts that only
/// run targets have no peer address.
struct Peer {
    /// The node's name: host and incarnation. Empty until the node is known to have been alive.
    std::string node;
    /// Increases with each start of a node on the same host.
    std::int64_t incarnation = 0;
    std::string host;
    std::string data_centre;
    std::string address;
    bool leaving = false;
    /// As the node reports it. A node that cannot reach the platform cannot acquire leases.
    bool reaches_platform = false;

    friend bool operator==(const Peer&, const Peer&) = default;
};

/// An operator's command that takes a data centre or host out of service and that the platform has
/// not stored yet.
struct PendingOutOfService {
    /// Identifier of the operation, listed in `Configuration::applied_operations` once it is
    /// stored.
    std::string operation;
    bool is_data_centre = true;
    /// The data centre or host.
    std::string name;

    friend bool operator==(const PendingOutOfService&, const PendingOutOfService&) = default;
};

/// The lease record of one target group.
struct GroupLeaseUpdate {
    std::string group;
    GroupLeaseRecord record;

    friend bool operator==(const GroupLeaseUpdate&, const GroupLeaseUpdate&) = default;
};

/// A node's statement that it has ended an epoch of a target group: it runs no request under that
/// epoch and will start none.
struct EndedEpoch {
    std::string group;
    std::int64_t epoch = 0;

    friend bool operator==(const EndedEpoch&, const EndedEpoch&) = default;
};

/// The sender's report of when a node of its data centre was last known to be alive. In a large
/// cluster most pairs of nodes have no direct contact for a long time.
struct LivenessReport {
    std::string host;
    std::int64_t incarnation = 0;
    std::int64_t age_ms = 0;
    bool reaches_platform = false;

    friend bool operator==(const LivenessReport&, const LivenessReport&) = default;
};

/// Versions and digests of the parts of a node's cluster state; sent only after the overall digests
/// were found to differ.
struct GossipDetails {
    std::map<std::string, std::int64_t> placement_versions;
    /// Hash over the epochs and release states of all target groups of a data centre, by data
    /// centre. Renewals do not change it.
    std::map<std::string, std::uint64_t> group_digests;

    friend bool operator==(const GossipDetails&, const GossipDetails&) = default;
};

/// A gossip message; request and response have the same form. While digests are equal it carries no
/// details and no documents. When they differ, the response carries the details, and the next round
/// trip carries what either side lacks.
struct GossipMessage {
    std::int64_t protocol = PEER_PROTOCOL_VERSION;
    Peer from;
    std::int64_t generation = 0;
    /// Hash over generation, placement versions and group digests. If the digests are equal,
    /// neither side needs more.
    std::uint64_t digest = 0;
    std::optional<GossipDetails> details;
    std::vector<LivenessReport> liveness_reports;
    std::vector<GroupLeaseUpdate> groups;
    /// Epochs that the sender has ended for good.
    std::vector<EndedEpoch> ended_epochs;
    std::vector<PendingOutOfService> pending;
    std::vector<QuarantineNotice> quarantine_notices;
    /// Documents that the other side lacks.
    std::optional<Configuration> configuration;
    std::vector<Placement> placements;
};

/// A node's view of the cluster. It is kept in memory only and lost at a restart.
struct ClusterState {
    Configuration configuration;
    std::map<std::string, Placement> placements;
    std::map<std::string, GroupLeaseRecord> groups;
    /// Time of the last change of each group's lease record that affected routing. Recent changes
    /// are included in every message, even when the digests are equal.
    std::map<std::string, Time> lease_changed_at;
    std::vector<PendingOutOfService> pending;
    /// Nodes by host: listed by the platform, or known from gossip.
    std::map<std::string, Peer> peers;
    /// Time of the last direct contact with a host's node, by host.
    std::map<std::string, Time> last_contact;
    /// Latest time at which a host's node is known to have been alive, from direct contact or from
    /// reports of other nodes, by host.
    std::map<std::string, Time> alive_at;
    /// Ended epochs by node, as the node last stated them.
    std::map<std::string, std::vector<EndedEpoch>> ended_epochs;
    /// When a node passed to `record_absent_nodes` was first found absent from the host list.
    std::map<std::string, Time> absent_since;
    /// When a node passed to `record_absent_nodes` was first found replaced by a later incarnation.
    std::map<std::string, Time> replaced_since;
    std::set<std::string> leaving_hosts;
    std::optional<Time> platform_last_contact;
};

/// A node's name, made of its host and incarnation.
std::string node_name(const std::string& host, std::int64_t incarnation);

/// The host in a node's name.
std::string host_of(const std::string& node);

/// The incarnation in a node's name; 0 when it has none.
std::int64_t incarnation_of(const std::string& node);

/// Adopts a configuration if its generation is higher. True when it was adopted.
bool adopt(ClusterState& cluster, const Configuration& configuration);

/// Adopts a placement if its version is higher. True when it was adopted.
bool adopt(ClusterState& cluster, const Placement& placement);

/// Adopts a lease record if its epoch is higher, or equal with a later renewal. True when this
/// affects routing.
bool adopt(ClusterState& cluster, const std::string& group, const GroupLeaseRecord& record,
           Time now);

/// Adds a pending out-of-service operation unless it is already stored or pending. True when it was
/// added.
bool add_pending(ClusterState& cluster, const PendingOutOfService& pending_out);

/// Replaces the host list. An empty list is treated as a fault of its source and ignored.
void adopt_hosts(ClusterState& cluster, const std::vector<Peer>& hosts, Time now);

/// Merges a gossip message into the cluster state and its quarantine notices into
/// `quarantine_list`. True when routing is affected.
bool merge(ClusterState& cluster, QuarantineList& quarantine_list, const GossipMessage& message,
           Time now);

/// The gossip message for a peer, given the peer's last message (null when there is none yet).
GossipMessage make_gossip(const ClusterState& cluster, const QuarantineList& quarantine_list,
                          const Peer& self, const std::vector<EndedEpoch>& ended_epochs,
                          const GossipMessage* peer_message, Time now);

/// True when the response shows that another round trip is needed.
bool needs_follow_up(const ClusterState& cluster, const GossipMessage& response);

/// Up to `count` peers to gossip with in this round: one from this node's data centre, the rest
/// chosen at random from all peers.
std::vector<Peer> choose_peers(const ClusterState& cluster, const Peer& self, std::size_t count,
                               Random& random);

/// Names of this node and of the nodes of its data centre that are known to have been alive
/// recently. Nodes that are leaving are left out.
std::vector<std::string> live_nodes(const ClusterState& cluster, const Peer& self, Time now);

/// The live nodes that can reach the platform and therefore acquire a lease.
std::vector<std::string> lease_candidates(const ClusterState& cluster, const Peer& self, Time now);

/// True when this node last had contact with the platform less than `window` ago.
bool reaches_platform(const ClusterState& cluster, Duration window, Time now);

/// True when this node is one of the few in its data centre that watch the platform.
bool is_platform_watcher(const ClusterState& cluster, const Peer& self, Time now);

/// True when the node has had no contact with the platform or any known peer for `limit` or longer,
/// so that it could have missed an out-of-service operation. Such a node sends no new work. Always
/// false for a node that knows no peers.
bool is_isolated(const ClusterState& cluster, const Peer& self, Duration limit, Time now);

/// Records which nodes of `holders` are absent from the host list and have had no recent contact,
/// and which have been replaced by a later incarnation.
void record_absent_nodes(ClusterState& cluster, const std::vector<HolderEpoch>& holders, Time now);

/// The entries of `holders` that can no longer have requests running at the target group. That is
/// the case when the node has been absent for longer than the host list can be delayed, when a
/// later incarnation has been known for `max_request_time` (the last requests may keep running at
/// their targets for that long), or when the node itself has stated that it has ended the epoch.
std::vector<HolderEpoch> ended_holders(const ClusterState& cluster, const std::string& group,
                                       const std::vector<HolderEpoch>& holders,
                                       Duration max_request_time, Time now);

/// Builds the routing view from the cluster state.
RoutingView make_view(const ClusterState& cluster);

}  // namespace ebonymount
