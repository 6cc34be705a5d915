// Which nodes read the platform's store themselves, and which readers the other nodes follow.
//
// Every call to the store has a cost for the operators, and the permitted call rates grow more
// slowly than the fleet. A few nodes of each data centre, chosen by rendezvous hashing over the
// registered nodes, read the store; the others receive updates from them. There is no agreement
// protocol: nodes with different member lists may choose different readers. That costs extra calls
// and nothing else, because a node that has not received recent updates for a while reads the store
// itself.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// A node that has registered with the platform.
struct Member {
    std::string node;
    std::string data_centre;
    /// IPv4 address and port for followers; empty if the node serves none.
    std::string address;

    friend bool operator==(const Member&, const Member&) = default;
};

/// Readers in each data centre: if one is lost, the others can still be followed.
constexpr std::size_t READERS_PER_DATA_CENTRE = 2;

/// Minimum number of followers in a data centre; with fewer, every node reads the store itself. A
/// reader's probes cost as many calls as two or three followers save.
constexpr std::size_t MIN_FOLLOWERS = 3;

/// Timeout of a call to the store, in addition to the wait that the call asks for. The store
/// responds in 4 ms, and in a quarter of a second when it is slow.
constexpr Duration STORE_CALL_TIMEOUT = from_ms(600);

/// Timing of store reads and relayed updates, derived from the bounds for nodes in contact with the
/// store.
struct StoreReadTiming {
    /// Maximum wait of a watch. A connection that was lost silently is detected once the wait and
    /// the call's timeout have passed, which must be before the node counts as in contact again.
    Duration watch_wait{};
    /// Maximum wait of a reader's probe: a watch that shows its followers whether the store is
    /// reachable.
    Duration probe_wait{};
    /// Maximum time between two messages of a reader to its followers.
    Duration heartbeat{};
    /// Age of the last update at which a follower switches to another reader, and the age at which
    /// it reads the store itself.
    Duration stale_age{};
    Duration max_age{};
    /// Lag of the store's recent data from which only current data is read.
    Duration max_lag{};
    /// Minimum time for which a node reads the store itself once it has started to.
    Duration min_reading_time{};
    /// Delay between the groups of nodes that probe the store when their updates are too old, and
    /// the time that a node then waits for a reader to recover.
    Duration takeover_step{};
    Duration recovery_wait{};
    /// Pause after a change, so that a burst of changes costs one call: that of a reader, which is
    /// shorter to keep its updates recent, and that of any other node.
    Duration reader_pause{};
    Duration change_pause{};

    friend bool operator==(const StoreReadTiming&, const StoreReadTiming&) = default;
};

/// Timing for changes that must be in force within `config_apply`, at nodes that have been
/// undisturbed for `stable_window`.
StoreReadTiming store_read_timing(Duration config_apply, Duration stable_window);

/// Times by which data that the store has moved on from must be shown to be complete.
struct ProofTiming {
    /// Maximum time between two current reads, which show whether the store has moved on.
    Duration interval{};
    /// How long data of targets and of data centres out of service may go unproven.
    Duration targets{};
    Duration evacuations{};

    friend bool operator==(const ProofTiming&, const ProofTiming&) = default;
};

/// Timing for targets that must be out of use within `drain` and data centres within `evacuate`.
/// A node that reads for others leaves them the time for which they keep a removed target.
ProofTiming proof_timing(Duration drain, Duration evacuate, bool reads_for_others);

/// Readers that failed, with the time until which this node does not follow them.
using AvoidedReaders = std::map<std::string, Time>;

/// Nodes that `self` may follow, preferred first; empty if it is a reader itself, or if all nodes
/// before it in the common order are avoided.
std::vector<Member> readers_for(const Member& self, const std::vector<Member>& members,
                                const AvoidedReaders& avoided, Time now);

/// The first `count` other nodes of the data centre in the common order, which a reader may follow
/// while it cannot reach the store itself.
std::vector<Member> substitutes_for(const Member& self, const std::vector<Member>& members,
                                    std::size_t count);

/// True if other nodes of its data centre are expected to follow `self`.
bool has_followers(const Member& self, const std::vector<Member>& members);

}  // namespace ebonymount
