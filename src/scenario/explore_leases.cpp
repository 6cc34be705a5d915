#include "scenario/explore.h"
#include "scenario/lease_simulation.h"

namespace ebonymount {
namespace {

constexpr int FAULTS_PER_RUN = 40;

/// Starts or ends one fault, at a random host or at the platform. Returns its description for the
/// failure report.
std::string inject_fault(LeaseSimulation& simulation, Random& random) {
    const std::vector<std::string> hosts = simulation.hosts();
    const std::string& host = hosts.at(random() % hosts.size());
    const SimulatedNode& node = simulation.node(host);
    switch (random() % 10) {
        case 0:
            if (node.alive) {
                simulation.kill(host);
                return "kill " + host;
            }
            break;
        case 1:
            if (node.alive) {
                simulation.stop(host);
                return "stop " + host;
            }
            break;
        case 2:
            simulation.pause(host);
            return "pause " + host;
        case 3:
            simulation.set_platform_down(true);
            return "platform down";
        case 4:
            simulation.set_platform_down(false);
            return "platform up";
        case 5:
            simulation.cut(host, true);
            return "cut " + host;
        case 6:
            simulation.cut(host, false);
            return "uncut " + host;
        case 7:
            simulation.lose_confirmations(1 + static_cast<int>(random() % 3));
            return "lose confirmations";
        default:
            break;
    }
    if (node.paused) {
        simulation.resume(host);
        return "resume " + host;
    }
    if (!node.alive) {
        simulation.start(host);
        return "start " + host;
    }
    return "nothing";
}

}  // namespace

ExploreResult explore_leases(std::uint64_t seed) {
    Random random(seed);
    LeaseSimulation simulation({}, {"a", "b", "c"}, seed);
    simulation.start("a");
    simulation.start("b");
    ExploreResult result;
    std::string schedule;
    for (int fault = 0; fault < FAULTS_PER_RUN; ++fault) {
        schedule += inject_fault(simulation, random) + "; ";
        const std::int64_t delay_ms = static_cast<std::int64_t>(random() % 6000);
        ++result.steps;
        if (const std::optional<std::string> violation =
                simulation.run_for(from_ms(delay_ms / 10 * 10))) {
            result.failure = *violation + " after: " + schedule;
            return result;
        }
        schedule += std::to_string(delay_ms) + " ms; ";
    }
    return result;
}

}  // namespace ebonymount
