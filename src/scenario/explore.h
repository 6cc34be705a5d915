// Randomized tests of the decision modules in virtual time. The system's promises are checked as
// invariants after every step; they are numbered as in the scenario scripts. A seed determines a
// whole run, so that every failure can be reproduced.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ebonymount {

/// Result of one random schedule.
struct ExploreResult {
    /// The violated invariant, with the steps that led to it if the schedule records them; empty
    /// when all invariants held.
    std::optional<std::string> failure;
    std::int64_t steps = 0;
};

/// One kind of random schedule.
struct Exploration {
    std::string name;
    std::function<ExploreResult(std::uint64_t seed)> run;
};

/// All kinds of random schedules.
const std::vector<Exploration>& explorations();

/// Starts, stops, kills and pauses nodes that compete for the lease of a target group, and cuts
/// them off from the platform. Checks promise 3.
ExploreResult explore_leases(std::uint64_t seed);

/// Claims the same idempotency keys at several nodes while the platform fails. Covers promises 6
/// and 7.
ExploreResult explore_idempotency(std::uint64_t seed);

/// Completes, fails, delays and repeats the attempts of one request. Checks promises 1, 2, 5, 6 and
/// 7.
ExploreResult explore_gather(std::uint64_t seed);

/// Gossips configuration generations and out-of-service operations while messages are lost,
/// delayed, repeated and reordered. Checks promise 10.
ExploreResult explore_gossip(std::uint64_t seed);

/// Sends requests to a target that turns cold repeatedly. Checks promise 3.
ExploreResult explore_admission(std::uint64_t seed);

}  // namespace ebonymount
