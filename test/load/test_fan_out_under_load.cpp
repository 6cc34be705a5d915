// The decision code of the direct request path under heavy load and faults, in virtual time and
// without a network. The titles name the load or fault and the mechanism that handles it.
#include <catch2/catch.hpp>

#include "fleet_simulation.h"

namespace ebonymount {
namespace {

/// Bound on extra arrivals at a service in ten seconds, from all nodes: the platform's ratio and
/// slack for a small deployment.
constexpr double RETRY_RATIO = 0.2;
constexpr std::int64_t RETRY_SLACK = 52;
constexpr Duration RETRY_WINDOW = from_ms(10000);

void check_budget(const SimulationOptions& options, const SimulationReport& report) {
    const double requests = options.rate * to_ms(RETRY_WINDOW) / 1000.0;
    const std::int64_t allowed = static_cast<std::int64_t>(RETRY_RATIO * requests) + RETRY_SLACK;
    for (const auto& [service, arrivals] : report.extra) {
        CHECK(max_in_window(arrivals, RETRY_WINDOW) <= allowed);
    }
}

}  // namespace

TEST_CASE("moderate load is served completely and in time") {
    SimulationOptions options;
    FleetSimulation simulation(options);
    const SimulationReport report = simulation.run();
    CHECK(report.goodput() > 0.99);
    CHECK(report.refused + report.failed == 0);
}

TEST_CASE("half of the replicas shed: least expected latency with the cost of a refusal") {
    // One of two replicas of each shard refuses six of ten requests; the other can serve nearly
    // all.
    SimulationOptions options;
    options.replicas = 2;
    options.rate = 170.0;
    FleetSimulation simulation(options);
    for (std::size_t shard = 0; shard < options.shards; ++shard) {
        simulation.target(shard, shard % 2).shed_share = 0.6;
    }
    const SimulationReport report = simulation.run();
    // Random choice would not suffice: nine of ten shards have to respond, the shedding replica
    // serves four in ten requests, and there is a retry token for one in five.
    CHECK(report.goodput() > 0.75);
    check_budget(options, report);
}

TEST_CASE("pauses of single targets: hedged requests from a token bucket") {
    SimulationOptions options;
    FleetSimulation simulation(options);
    for (std::size_t target = 0; target < options.shards * options.replicas; ++target) {
        // Each target pauses for 150 ms every 3.6 s, like the targets of the deployments.
        for (Duration at = from_ms(static_cast<std::int64_t>(target) * 120); at < options.length;
             at += from_ms(3600)) {
            simulation.schedule_after_start(at, [&simulation, &options, target, at] {
                simulation.target(target / options.replicas, target % options.replicas)
                    .paused_until = Time{} + from_ms(1000000) + at + from_ms(150);
            });
        }
    }
    const SimulationReport report = simulation.run();
    CHECK(report.goodput() > 0.95);
    check_budget(options, report);
}

TEST_CASE(
    "fan-out to 90 shards with pauses and a short objective: hedges by the time that is left") {
    // A pause lasts longer than the objective, so each part that meets one depends on a hedge, and
    // a response from another data centre takes a third of the objective.
    SimulationOptions options;
    options.nodes = 30;
    options.shards = 90;
    options.slots = 7;
    options.rate = 24.0;
    options.service_time = from_ms(4);
    options.objective = from_ms(100);
    options.part_time = Duration(300);
    options.min_coverage = 0.85;
    options.retry_budget = node_share_of_budget(RETRY_RATIO, 100, RETRY_WINDOW, 30);
    FleetSimulation simulation(options);
    for (std::size_t target = 0; target < options.shards * options.replicas; ++target) {
        // Replicas of a shard do not pause together.
        for (Duration at = from_ms(static_cast<std::int64_t>(target * 1613 % 3600));
             at < options.length; at += from_ms(3600)) {
            simulation.schedule_after_start(at, [&simulation, &options, target, at] {
                simulation.target(target / options.replicas, target % options.replicas)
                    .paused_until = Time{} + from_ms(1000000) + at + from_ms(150);
            });
        }
    }
    const SimulationReport report = simulation.run();
    CHECK(report.goodput() > 0.99);
    // Without hedges in time, nearly four of 90 parts are left out of each response. With one left
    // out, a response is worth (89 / 90)^2, or .98.
    CHECK(report.shards_missing < report.requests);
}

TEST_CASE("half of the replicas are slow: least expected latency moves work to the others") {
    SimulationOptions options;
    FleetSimulation simulation(options);
    simulation.schedule_after_start(from_ms(2000), [&simulation, &options] {
        for (std::size_t shard = 0; shard < options.shards; ++shard) {
            simulation.target(shard, shard % options.replicas).slow_factor = 8.0;
        }
    });
    const SimulationReport report = simulation.run();
    CHECK(report.goodput() > 0.9);
    check_budget(options, report);
}

TEST_CASE("one replica of each shard loses responses or fails: outlier ejection by failure share") {
    for (const bool loses_responses : {true, false}) {
        SimulationOptions options;
        FleetSimulation simulation(options);
        for (std::size_t shard = 0; shard < options.shards; ++shard) {
            SimulatedTarget& target = simulation.target(shard, shard % options.replicas);
            (loses_responses ? target.lost_response_share : target.error_share) = 0.4;
        }
        const SimulationReport report = simulation.run();
        // The two healthy replicas can serve the whole load.
        CHECK(report.goodput() > 0.97);
        // Without ejection, a third of the nodes would keep losing shards at their nearest
        // replicas.
        CHECK(report.shards_missing < report.requests / 20);
        check_budget(options, report);
    }
}

TEST_CASE("with one shard down, the responses of the other shards are returned in time") {
    SimulationOptions options;
    FleetSimulation simulation(options);
    for (std::size_t replica = 0; replica < options.replicas; ++replica) {
        simulation.target(0, replica).shed_share = 1.0;
    }
    const SimulationReport report = simulation.run();
    CHECK(report.goodput() > 0.9);
    CHECK(report.shards_missing >= report.in_objective);
    check_budget(options, report);
}

TEST_CASE(
    "overload at twice the targets' capacity: the retry budget holds although requests fail") {
    SimulationOptions options;
    options.rate = 1400.0;
    options.length = from_ms(4000);
    FleetSimulation simulation(options);
    const SimulationReport report = simulation.run();
    check_budget(options, report);
    CHECK(report.requests == report.in_objective + report.late + report.refused + report.failed);
}

}  // namespace ebonymount
