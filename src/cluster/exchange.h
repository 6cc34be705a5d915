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
#include "policy/routing_view.h"
#include "policy/suspicion.h"

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
struct PendingTakeOut {
    std::string operation;
    bool is_data_centre = true;
    std::string name;

    friend bool operator==(const PendingTakeOut&, const PendingTakeOut&) = default;
};

/// One seat with its record.
struct SeatNews {
    std::string seat;
    SeatRecord record;

    friend bool operator==(const SeatNews&, const SeatNews&) = default;
};

/// A node's statement that it has left a seat's epoch and runs nothing for it any more.
struct SeatLeft {
    std::string seat;
    std::int64_t epoch = 0;

    friend bool operator==(const SeatLeft&, const SeatLeft&) = default;
};

/// That a node of the sender's data centre was alive a while ago, as the sender knows it. With many
/// nodes most are not heard from directly for a long time.
struct AliveNews {
    std::string host;
    std::int64_t incarnation = 0;
    std::int64_t age_ms = 0;
    bool reaches_platform = false;

    friend bool operator==(const AliveNews&, const AliveNews&) = default;
};

/// What a node has, part by part; sent only after digests were found to differ.
struct ExchangeDetails {
    std::map<std::string, std::int64_t> placement_versions;
    /// Hash over the seats of each data centre.
    std::map<std::string, std::uint64_t> seat_digests;

    friend bool operator==(const ExchangeDetails&, const ExchangeDetails&) = default;
};

/// What one node sends to another, both ways. In quiet times it carries the digest alone. When
/// digests differ the answer carries details, and the next exchange what either side lacks.
struct Exchange {
    std::int64_t protocol = PEER_PROTOCOL_VERSION;
    Peer from;
    std::int64_t generation = 0;
    /// Hash over generation, placement versions and seats. Equal digests need nothing more.
    std::uint64_t digest = 0;
    std::optional<ExchangeDetails> details;
    std::vector<AliveNews> alive;
    std::vector<SeatNews> seats;
    /// Seats whose epochs the sender has left for good.
    std::vector<SeatLeft> left_seats;
    std::vector<PendingTakeOut> pending;
    std::vector<SuspicionNotice> suspicions;
    /// Documents that the other side lacks.
    std::optional<Configuration> configuration;
    std::vector<Placement> placements;
};

/// Everything that a node knows of the cluster; it survives no restart.
struct ClusterKnowledge {
    Configuration configuration;
    std::map<std::string, Placement> placements;
    std::map<std::string, SeatRecord> seats;
    /// When a seat's record last changed here, to tell news from old knowledge.
    std::map<std::string, Time> seat_changed;
    std::vector<PendingTakeOut> pending;
    /// Nodes by host, listed by the platform or heard from.
    std::map<std::string, Peer> peers;
    /// When a host's node was last heard, by host.
    std::map<std::string, Time> heard_from;
    /// When a host's node is known to have been alive, from itself or through others, by host.
    std::map<std::string, Time> alive_at;
    /// Statements of peers by node, as last heard.
    std::map<std::string, std::vector<SeatLeft>> left_seats;
    /// When a node that is asked about was first found on no host list.
    std::map<std::string, Time> missing_since;
    /// When a node that is asked about was first found replaced by a later incarnation.
    std::map<std::string, Time> replaced_since;
    std::set<std::string> leaving_hosts;
    std::optional<Time> platform_heard;
};

/// Name of a node from its host and incarnation.
std::string node_name(const std::string& host, std::int64_t incarnation);

/// The host in a node's name.
std::string host_of(const std::string& node);

/// The incarnation in a node's name; 0 when it has none.
std::int64_t incarnation_of(const std::string& node);

/// Adopts a configuration if its generation is higher; older ones are ignored.
bool adopt(ClusterKnowledge& knowledge, const Configuration& configuration);

/// Adopts a placement if its version is higher.
bool adopt(ClusterKnowledge& knowledge, const Placement& placement);

/// Adopts a seat record if its epoch is higher, or equal with a later renewal.
bool adopt(ClusterKnowledge& knowledge, const std::string& seat, const SeatRecord& record,
           Time now);

/// Adds a take-out unless it is stored or known already.
bool add_pending(ClusterKnowledge& knowledge, const PendingTakeOut& take_out);

/// Replaces the host list. An empty list is taken for a fault of its source and ignored.
void adopt_hosts(ClusterKnowledge& knowledge, const std::vector<Peer>& hosts, Time now);

/// Takes in what a peer said. Suspicions go to `suspicions`. True when routing is affected.
bool merge(ClusterKnowledge& knowledge, SuspicionList& suspicions, const Exchange& exchange,
           Time now);

/// What to tell a peer, given what it has (null before it has said anything).
Exchange make_exchange(const ClusterKnowledge& knowledge, const SuspicionList& suspicions,
                       const Peer& self, const std::vector<SeatLeft>& left_seats,
                       const Exchange* other, Time now);

/// True when the other side's answer calls for one more exchange.
bool needs_follow_up(const ClusterKnowledge& knowledge, const Exchange& answer);

/// Peers to exchange with in this round: one of the own data centre and others at random.
std::vector<Peer> choose_peers(const ClusterKnowledge& knowledge, const Peer& self,
                               std::size_t count, Random& random);

/// Nodes of a data centre that were heard lately, with this node if it belongs there.
std::vector<std::string> live_nodes(const ClusterKnowledge& knowledge, const Peer& self, Time now);

/// Of the live nodes those that reach the platform, and so can take a seat.
std::vector<std::string> seat_candidates(const ClusterKnowledge& knowledge, const Peer& self,
                                         Time now);

/// True when the platform has answered this node lately.
bool reaches_platform(const ClusterKnowledge& knowledge, Duration lately, Time now);

/// True when this node is one of the few of its data centre that watch the platform.
bool is_platform_watcher(const ClusterKnowledge& knowledge, const Peer& self, Time now);

/// True when the node has heard neither the platform nor any of the peers it knows for so long
/// that it could have missed a take-out. Such a node sends no new work.
bool is_isolated(const ClusterKnowledge& knowledge, const Peer& self, Duration limit, Time now);

/// Notes which nodes of `uses` are on no host list and have not been heard from, and which have
/// been replaced by a later incarnation.
void note_missing(ClusterKnowledge& knowledge, const std::vector<SeatUse>& uses, Time now);

/// Uses of the seat that have ended: the node has been missing for longer than the host list can
/// lag, a later incarnation has run in its place for as long as its last requests may run on at
/// their targets, or it said itself that it has left the epoch.
std::vector<SeatUse> known_gone(const ClusterKnowledge& knowledge, const std::string& seat,
                                const std::vector<SeatUse>& uses, Duration longest_request,
                                Time now);

/// The view for routing that follows from what is known.
RoutingView make_view(const ClusterKnowledge& knowledge);

}  // namespace ebonymount
