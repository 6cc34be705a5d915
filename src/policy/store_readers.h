// Which nodes read the platform's store themselves, and whom the others follow.
//
// Every call to the store costs the operators, and its rates grow more slowly than the fleet. A
// few nodes of each data centre, chosen by rendezvous hashing over the registered nodes, read the
// store; the others hear from them. Nothing is agreed: nodes with different lists of members may
// choose differently, which costs calls and nothing else, because a node that has not heard fresh
// news for a while reads the store itself.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// A node as it registered itself.
struct Member {
    std::string node;
    std::string data_centre;
    /// IPv4 address and port for other nodes; empty when it serves none.
    std::string address;

    friend bool operator==(const Member&, const Member&) = default;
};

/// Readers in each data centre: one may be lost while the others go on following.
constexpr std::size_t READERS_PER_DATA_CENTRE = 2;

/// Followers in a data centre below which every node reads the store itself: a reader's probes cost
/// as much as what two or three followers save.
constexpr std::size_t MIN_FOLLOWERS = 3;

/// The longest time that a call to the store may take beside the wait that it asks for: it answers
/// in 4 ms, and in a quarter of a second when it is slow.
constexpr Duration STORE_CALL_TIMEOUT = from_ms(600);

/// How fresh news of the store is kept, derived from the bounds on nodes in touch with it.
struct StoreReadTiming {
    /// Longest wait of a watch. A connection that fell silent unseen is found out when the wait and
    /// the call's timeout are over, which must be before the node counts as in touch again.
    Duration watch_wait{};
    /// The same for a reader's watch that shows its followers whether the store is in reach.
    Duration probe_wait{};
    /// Longest silence of a reader towards its followers.
    Duration heartbeat{};
    /// Age of news at which a follower looks for another reader, and at which it turns to the
    /// store.
    Duration stale_age{};
    Duration max_age{};
    /// How long a node that turned to the store reads it at least.
    Duration hold{};
    /// Pause after changes, so that a burst of them costs one call: a reader's, whose news must
    /// stay fresh, and any other node's.
    Duration reader_pause{};
    Duration change_pause{};

    friend bool operator==(const StoreReadTiming&, const StoreReadTiming&) = default;
};

/// Terms for changes that must be in force within `config_apply`, at nodes that have been
/// undisturbed for `stable_window`.
StoreReadTiming store_read_timing(Duration config_apply, Duration stable_window);

/// Readers that failed this node, with the time until which it does not follow them.
using AvoidedReaders = std::map<std::string, Time>;

/// Nodes that the node may follow, the preferred one first; empty when it is a reader itself, or
/// when every node before it in the common order is avoided.
std::vector<Member> readers_for(const Member& self, const std::vector<Member>& members,
                                const AvoidedReaders& avoided, Time now);

/// True when other nodes of its data centre are expected to follow the node.
bool has_followers(const Member& self, const std::vector<Member>& members);

}  // namespace ebonymount
