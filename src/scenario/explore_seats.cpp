#include "scenario/explore.h"
#include "scenario/seat_group.h"

namespace ebonymount {
namespace {

constexpr int FAULTS_PER_RUN = 40;

/// Starts or ends one fault at a random host. Returns its description for the failure report.
std::string inject(SeatGroup& group, Random& random) {
    const std::vector<std::string> hosts = group.hosts();
    const std::string& host = hosts.at(random() % hosts.size());
    const GroupNode& node = group.node(host);
    switch (random() % 10) {
        case 0:
            if (node.alive) {
                group.kill(host);
                return "kill " + host;
            }
            break;
        case 1:
            if (node.alive) {
                group.stop(host);
                return "stop " + host;
            }
            break;
        case 2:
            group.pause(host);
            return "pause " + host;
        case 3:
            group.set_platform_down(true);
            return "platform down";
        case 4:
            group.set_platform_down(false);
            return "platform up";
        case 5:
            group.cut(host, true);
            return "cut " + host;
        case 6:
            group.cut(host, false);
            return "uncut " + host;
        case 7:
            group.lose_confirmations(1 + static_cast<int>(random() % 3));
            return "lose confirmations";
        default:
            break;
    }
    if (node.paused) {
        group.resume(host);
        return "resume " + host;
    }
    if (!node.alive) {
        group.start(host);
        return "start " + host;
    }
    return "nothing";
}

}  // namespace

ExploreResult explore_seats(std::uint64_t seed) {
    Random random(seed);
    SeatGroup group({}, {"a", "b", "c"}, seed);
    group.start("a");
    group.start("b");
    ExploreResult result;
    std::string schedule;
    for (int fault = 0; fault < FAULTS_PER_RUN; ++fault) {
        schedule += inject(group, random) + "; ";
        const std::int64_t pause_ms = static_cast<std::int64_t>(random() % 6000);
        ++result.steps;
        if (const std::optional<std::string> broken = group.run_for(from_ms(pause_ms / 10 * 10))) {
            result.failure = *broken + " after: " + schedule;
            return result;
        }
        schedule += std::to_string(pause_ms) + " ms; ";
    }
    return result;
}

}  // namespace ebonymount
