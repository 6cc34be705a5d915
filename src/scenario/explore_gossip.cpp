#include <algorithm>
#include <deque>

#include "cluster/gossip.h"
#include "scenario/explore.h"

namespace ebonymount {
namespace {

constexpr std::size_t NODES = 6;
constexpr int STEPS = 400;
constexpr int LOSSLESS_ROUNDS = 40;

/// One node's cluster state and the highest generation that it has had since its last restart.
struct GossipNode {
    Peer self;
    ClusterState cluster;
    QuarantineList quarantine_list;
    std::int64_t max_generation = 0;
};

/// A message in flight, which may be lost, delayed or repeated.
struct Message {
    std::size_t to = 0;
    GossipMessage gossip;
};

struct GossipSimulation {
    std::vector<GossipNode> nodes;
    std::deque<Message> messages;
    Configuration stored;
    Time now = Time{} + from_ms(1000);
};

GossipNode make_node(std::size_t number) {
    GossipNode node;
    node.self.host = "h" + std::to_string(number);
    node.self.incarnation = 1;
    node.self.node = node_name(node.self.host, 1);
    node.self.data_centre = number % 2 == 0 ? "x" : "y";
    node.self.address = node.self.host;
    return node;
}

void send(GossipSimulation& simulation, std::size_t from, std::size_t to,
          const GossipMessage* peer_message) {
    GossipNode& node = simulation.nodes.at(from);
    simulation.messages.push_back({to, make_gossip(node.cluster, node.quarantine_list, node.self,
                                                   {}, peer_message, simulation.now)});
}

std::size_t node_index(const Peer& peer) {
    return std::stoul(peer.host.substr(1));
}

/// Delivers a message. The receiver replies if its digest differs from the sender's.
void deliver(GossipSimulation& simulation, const Message& message) {
    GossipNode& node = simulation.nodes.at(message.to);
    merge(node.cluster, node.quarantine_list, message.gossip, simulation.now);
    const GossipMessage own =
        make_gossip(node.cluster, node.quarantine_list, node.self, {}, nullptr, simulation.now);
    if (own.digest != message.gossip.digest) {
        send(simulation, message.to, node_index(message.gossip.from), &message.gossip);
    }
}

/// Picks a random message and delivers it, loses it, or delivers it and keeps it for another
/// delivery. The random choice delays and reorders messages.
void process_message(GossipSimulation& simulation, Random& random) {
    if (simulation.messages.empty()) {
        return;
    }
    const std::size_t index = random() % simulation.messages.size();
    const Message message = simulation.messages.at(index);
    const std::uint64_t choice = random() % 6;
    if (choice != 1) {
        simulation.messages.erase(simulation.messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (choice != 0) {
        deliver(simulation, message);
    }
}

void change_random_node(GossipSimulation& simulation, Random& random) {
    const std::size_t number = random() % NODES;
    GossipNode& node = simulation.nodes.at(number);
    switch (random() % 8) {
        case 0: {
            Configuration next = simulation.stored;
            ++next.generation;
            simulation.stored = next;
            adopt(node.cluster, next);
            break;
        }
        case 1: {
            // The node reads an outdated configuration from the platform.
            Configuration stale = simulation.stored;
            stale.generation -= static_cast<std::int64_t>(random() % 3);
            adopt(node.cluster, stale);
            break;
        }
        case 2:
            // A restart loses all state except the name.
            node.cluster = ClusterState{};
            node.max_generation = 0;
            break;
        case 3:
            add_pending(node.cluster, {"op" + std::to_string(random() % 3), true, "x"});
            break;
        default:
            send(simulation, number, random() % NODES, nullptr);
            process_message(simulation, random);
            break;
    }
}

std::optional<std::string> check_invariants(GossipSimulation& simulation) {
    for (GossipNode& node : simulation.nodes) {
        const std::int64_t generation = node.cluster.configuration.generation;
        if (generation < node.max_generation) {
            return node.self.node + " went back from generation " +
                   std::to_string(node.max_generation) + " to " + std::to_string(generation);
        }
        node.max_generation = generation;
    }
    return std::nullopt;
}

/// Once no messages are lost, every node must reach the highest generation that any node has.
std::optional<std::string> check_convergence(GossipSimulation& simulation, Random& random) {
    for (int round = 0; round < LOSSLESS_ROUNDS; ++round) {
        for (std::size_t number = 0; number < NODES; ++number) {
            send(simulation, number, random() % NODES, nullptr);
        }
        while (!simulation.messages.empty()) {
            const Message message = simulation.messages.front();
            simulation.messages.pop_front();
            deliver(simulation, message);
        }
    }
    // A message in flight may have carried a higher generation than any node had at the start.
    std::int64_t max_generation = 0;
    for (const GossipNode& node : simulation.nodes) {
        max_generation =
            std::max({max_generation, node.max_generation, node.cluster.configuration.generation});
    }
    for (const GossipNode& node : simulation.nodes) {
        if (node.cluster.configuration.generation != max_generation) {
            return node.self.node + " stays at generation " +
                   std::to_string(node.cluster.configuration.generation) + ", the highest is " +
                   std::to_string(max_generation);
        }
    }
    return std::nullopt;
}

}  // namespace

ExploreResult explore_gossip(std::uint64_t seed) {
    Random random(seed);
    GossipSimulation simulation;
    for (std::size_t number = 0; number < NODES; ++number) {
        simulation.nodes.push_back(make_node(number));
    }
    ExploreResult result;
    for (int index = 0; index < STEPS; ++index) {
        simulation.now += from_ms(50);
        ++result.steps;
        change_random_node(simulation, random);
        if (const std::optional<std::string> violation = check_invariants(simulation)) {
            result.failure = *violation;
            return result;
        }
    }
    result.failure = check_convergence(simulation, random);
    return result;
}

}  // namespace ebonymount
