// The request rate that a target allows all nodes together, and this node's part in it.
//
// A target in need names a limit in its responses for as long as it holds. The nodes divide it
// among themselves without talking to each other: each takes an equal share of the rate, as a token
// bucket. A share of a small limit would be less than one request in seconds, and full buckets of
// many nodes would exceed the limit together, so only as many nodes send as the burst has whole
// requests: those that come first by rendezvous hashing over the registered nodes. Any other node
// sends one request once in a long while, to learn whether the limit still holds.
//
// Errors of the node list are on the safe side while nodes leave, because a share stays too small.
// A node that was just added has a share before the others reduce theirs; the burst leaves room for
// that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace ebonymount {

/// Nodes that share the targets.
struct NodeGroup {
    /// Names of the registered nodes with this one; empty while they are not known.
    std::vector<std::string> names;
    std::string self;
    /// Number of nodes; an assumption while the names are not known.
    std::int64_t count = 1;
    /// Incremented with every change.
    std::int64_t generation = 0;
};

/// Names for a group: the registered nodes, and this one if it is not among them yet. An empty list
/// is from before the first nodes of a deployment had registered, so it says nothing about their
/// number; the names stay unknown then.
std::vector<std::string> names_in_group(std::vector<std::string> registered,
                                        const std::string& self);

/// This node's part in a target's limit.
struct RateShare {
    /// Requests per second, and the most that may be sent at once; zero for a node that only checks
    /// whether the limit still holds.
    double per_second = 0.0;
    double burst = 0.0;
    /// For such a node: the time between two of its requests.
    Duration check_interval{};

    friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// The share of the node that is the `rank`-th of `nodes` nodes in a limit of `per_second`.
RateShare share_of_limit(double per_second, std::size_t rank, std::int64_t nodes);

/// The node's place, from 0, in the order in which nodes send to that target.
std::size_t rank_for_target(const NodeGroup& group, const std::string& target);

/// A limit that a target has named, and what this node has left of its share.
struct RateLimit {
    /// Requests a second of all nodes together, as named.
    double per_second = 0.0;
    RateShare share;
    /// Place of the node for this target, and the generation of the group that it was computed
    /// from.
    std::size_t rank = 0;
    std::int64_t group_generation = -1;
    double tokens = 0.0;
    Time refilled_at{};
    /// When the limit was last named.
    Time named_at{};
    /// For a node without a rate: when the next time slot for a check begins.
    Time next_check{};
};

/// Begins to apply a limit, or updates it. A new limit starts with an empty bucket.
void update_limit(RateLimit& limit, double per_second, const NodeGroup& group,
                  const std::string& target, Random& random, Time now);

/// True if a request may be sent now.
bool has_limit_token(const RateLimit& limit, Time now);

/// When a request may be sent; `now` or later.
Time limit_token_at(const RateLimit& limit, Time now);

/// Counts a request that is sent.
void spend_limit_token(RateLimit& limit, Time now);

/// Takes back a request that was counted and not sent.
void return_limit_token(RateLimit& limit);

}  // namespace ebonymount
