// Random schedules with fixed seeds, and with the seeds that once violated an invariant.
#include <catch2/catch.hpp>

#include "scenario/explore.h"

using namespace ebonymount;

namespace {

void check_seed(ExploreResult (*explore)(std::uint64_t), std::uint64_t seed) {
    const ExploreResult result = explore(seed);
    INFO("seed " << seed << ": " << result.failure.value_or("held"));
    CHECK_FALSE(result.failure.has_value());
}

}  // namespace

TEST_CASE("all invariants hold for the fixed seeds") {
    constexpr std::uint64_t SEEDS = 300;
    for (const Exploration& exploration : explorations()) {
        for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
            const ExploreResult result = exploration.run(seed);
            INFO(exploration.name << " seed " << seed << ": " << result.failure.value_or("held"));
            CHECK_FALSE(result.failure.has_value());
        }
    }
}

TEST_CASE("a non-idempotent request is not restarted on another snapshot once it may have run") {
    check_seed(explore_gather, 27);
}

TEST_CASE("a new lease holder waits for the last requests of the holder that it replaces") {
    check_seed(explore_leases, 13778);
}

TEST_CASE(
    "a lease holder that is not yet in a node's cluster state is not mistaken for a replaced one") {
    check_seed(explore_leases, 2075);
}

TEST_CASE("a target that turns cold without notice is detected by its service time") {
    for (const std::uint64_t seed : {10, 92, 1217, 2969}) {
        check_seed(explore_admission, seed);
    }
}
