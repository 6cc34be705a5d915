// Random schedules over groups of decision modules in virtual time, with the promises as
// invariants after every step. Each run is fixed by its seed.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ebonymount {

/// What one schedule found.
struct ExploreResult {
    /// The broken invariant, with the schedule's last steps; nothing when all held.
    std::optional<std::string> failure;
    std::int64_t steps = 0;
};

/// One kind of schedule.
struct Exploration {
    std::string name;
    std::function<ExploreResult(std::uint64_t seed)> run;
};

/// All kinds of schedules.
const std::vector<Exploration>& explorations();

/// Starts, stops, kills, pauses and cuts nodes that compete for a seat. Promise 3.
ExploreResult explore_leases(std::uint64_t seed);

/// Claims equal keys at several nodes while the platform fails. Promises 6 and 7.
ExploreResult explore_idempotency(std::uint64_t seed);

/// Answers, fails, delays and repeats the attempts of one request. Promises 1, 2, 5, 6 and 7.
ExploreResult explore_gather(std::uint64_t seed);

/// Spreads generations and take-outs with messages lost, late and out of order. Promise 10.
ExploreResult explore_gossip(std::uint64_t seed);

/// Loads a target that turns cold again and again. Promise 3.
ExploreResult explore_admission(std::uint64_t seed);

}  // namespace ebonymount
