// What nodes tell each other, and how what they hear changes what they know.
//
// Every node exchanges news with a few peers at a time: the generations it has, the seats it
// holds, take-outs that the platform does not have yet, and suspect requests. Whoever is behind
// gets the newer documents in the answer. Knowledge only moves forward: to higher generations, to
// higher epochs, and from pending to stored.
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

/// Version of the exchange between nodes; nodes with another version are refused.
constexpr std::int64_t PEER_PROTOCOL_VERSION = 1;

/// A host as the platform lists it, with the node on it once that has been heard from. Hosts of
/// targets have no address for peers.
struct Peer {
    /// The node's name: its host and incarnation; empty while nothing has been heard from it.
    std::string node;
    /// Rises with each start of a node on the same host.
    std::int64_t incarnation = 0;
    std::string host;
    std::string data_centre;
    std::string address;
    bool leaving = false;
    /// What the node said of itself; a node that cannot reach the platform cannot take seats.
    bool reaches_platform = false;

    friend bool operator==(const Peer&, const Peer&) = default;
};

/// An operator's take-out that the platform has not stored yet.
struct PendingOutOfService {
    std::string operation;
    bool is_data_centre = true;
    std::string name;

    friend bool operator==(const PendingOutOfService&, const PendingOutOfService&) = default;
};

/// One seat with its record.
struct GroupLeaseUpdate {
    std::string group;
    GroupLeaseRecord record;

    friend bool operator==(const GroupLeaseUpdate&, const GroupLeaseUpdate&) = default;
};

/// A node's statement that it has left a seat's epoch and runs nothing for it any more.
struct EndedEpoch {
    std::string group;
    std::int64_t epoch = 0;

    friend bool operator==(const EndedEpoch&, const EndedEpoch&) = default;
};

/// That a node of the sender's data centre was alive a while ago, as the sender knows it. With many
/// nodes most are not heard from directly for a long time.
struct LivenessReport {
    std::string host;
    std::int64_t incarnation = 0;
    std::int64_t age_ms = 0;
    bool reaches_platform = false;

    friend bool operator==(const LivenessReport&, const LivenessReport&) = default;
};

/// What a node has, part by part; sent only after digests were found to differ.
struct GossipDetails {
    std::map<std::string, std::int64_t> placement_versions;
    /// Hash over the seats of each data centre.
    std::map<std::string, std::uint64_t> group_digests;

    friend bool operator==(const GossipDetails&, const GossipDetails&) = default;
};

/// What one node sends to another, both ways. In quiet times it carries the digest alone. When
/// digests differ the answer carries details, and the next exchange what either side lacks.
struct GossipMessage {
    std::int64_t protocol = PEER_PROTOCOL_VERSION;
    Peer from;
    std::int64_t generation = 0;
    /// Hash over generation, placement versions and seats. Equal digests need nothing more.
    std::uint64_t digest = 0;
    std::optional<GossipDetails> details;
    std::vector<LivenessReport> alive;
    std::vector<GroupLeaseUpdate> groups;
    /// Seats whose epochs the sender has left for good.
    std::vector<EndedEpoch> ended_epochs;
    std::vector<PendingOutOfService> pending;
    std::vector<QuarantineNotice> quarantine_notices;
    /// Documents that the other side lacks.
    std::optional<Configuration> configuration;
    std::vector<Placement> placements;
};

/// Everything that a node knows of the cluster; it survives no restart.
struct ClusterState {
    Configuration configuration;
    std::map<std::string, Placement> placements;
    std::map<std::string, GroupLeaseRecord> groups;
    /// When a seat's record last changed here, to tell news from old knowledge.
    std::map<std::string, Time> lease_changed_at;
    std::vector<PendingOutOfService> pending;
    /// Nodes by host, listed by the platform or heard from.
    std::map<std::string, Peer> peers;
    /// When a host's node was last heard, by host.
    std::map<std::string, Time> last_contact;
    /// When a host's node is known to have been alive, from itself or through others, by host.
    std::map<std::string, Time> alive_at;
    /// Statements of peers by node, as last heard.
    std::map<std::string, std::vector<EndedEpoch>> ended_epochs;
    /// When a node that is asked about was first found on no host list.
    std::map<std::string, Time> missing_since;
    /// When a node that is asked about was first found replaced by a later incarnation.
    std::map<std::string, Time> replaced_since;
    std::set<std::string> leaving_hosts;
    std::optional<Time> platform_last_contact;
};

/// Name of a node from its host and incarnation.
std::string node_name(const std::string& host, std::int64_t incarnation);

/// The host in a node's name.
std::string host_of(const std::string& node);

/// The incarnation in a node's name; 0 when it has none.
std::int64_t incarnation_of(const std::string& node);

/// Adopts a configuration if its generation is higher; older ones are ignored.
bool adopt(ClusterState& cluster, const Configuration& configuration);

/// Adopts a placement if its version is higher.
bool adopt(ClusterState& cluster, const Placement& placement);

/// Adopts a seat record if its epoch is higher, or equal with a later renewal.
bool adopt(ClusterState& cluster, const std::string& group, const GroupLeaseRecord& record,
           Time now);

/// Adds a take-out unless it is stored or known already.
bool add_pending(ClusterState& cluster, const PendingOutOfService& pending_out);

/// Replaces the host list. An empty list is taken for a fault of its source and ignored.
void adopt_hosts(ClusterState& cluster, const std::vector<Peer>& hosts, Time now);

/// Takes in what a peer said. Suspicions go to `quarantine_list`. True when routing is affected.
bool merge(ClusterState& cluster, QuarantineList& quarantine_list, const GossipMessage& message,
           Time now);

/// What to tell a peer, given what it has (null before it has said anything).
GossipMessage make_gossip(const ClusterState& cluster, const QuarantineList& quarantine_list,
                          const Peer& self, const std::vector<EndedEpoch>& ended_epochs,
                          const GossipMessage* other, Time now);

/// True when the other side's answer calls for one more exchange.
bool needs_follow_up(const ClusterState& cluster, const GossipMessage& answer);

/// Peers to exchange with in this round: one of the own data centre and others at random.
std::vector<Peer> choose_peers(const ClusterState& cluster, const Peer& self, std::size_t count,
                               Random& random);

/// Nodes of a data centre that were heard lately, with this node if it belongs there.
std::vector<std::string> live_nodes(const ClusterState& cluster, const Peer& self, Time now);

/// Of the live nodes those that reach the platform, and so can take a seat.
std::vector<std::string> lease_candidates(const ClusterState& cluster, const Peer& self, Time now);

/// True when the platform has answered this node lately.
bool reaches_platform(const ClusterState& cluster, Duration lately, Time now);

/// True when this node is one of the few of its data centre that watch the platform.
bool is_platform_watcher(const ClusterState& cluster, const Peer& self, Time now);

/// True when the node has heard neither the platform nor any of the peers it knows for so long
/// that it could have missed a take-out. Such a node sends no new work.
bool is_isolated(const ClusterState& cluster, const Peer& self, Duration limit, Time now);

/// Notes which nodes of `uses` are on no host list and have not been heard from, and which have
/// been replaced by a later incarnation.
void note_missing(ClusterState& cluster, const std::vector<HolderEpoch>& uses, Time now);

/// Uses of the seat that have ended: the node has been missing for longer than the host list can
/// lag, a later incarnation has run in its place for as long as its last requests may run on at
/// their targets, or it said itself that it has left the epoch.
std::vector<HolderEpoch> ended_holders(const ClusterState& cluster, const std::string& group,
                                       const std::vector<HolderEpoch>& uses,
                                       Duration longest_request, Time now);

/// The view for routing that follows from what is known.
RoutingView make_view(const ClusterState& cluster);

}  // namespace ebonymount
