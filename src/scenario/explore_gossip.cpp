#include <algorithm>
#include <deque>

#include "cluster/gossip.h"
#include "scenario/explore.h"

namespace ebonymount {
namespace {

constexpr std::size_t NODES = 6;
constexpr int STEPS = 400;
constexpr int QUIET_ROUNDS = 40;

/// One node's knowledge with the highest generation it has ever had.
struct SpreadNode {
    Peer self;
    ClusterState cluster;
    QuarantineList quarantine_list;
    std::int64_t highest = 0;
};

/// A message that may be lost, late or repeated.
struct Message {
    std::size_t to = 0;
    GossipMessage gossip;
};

struct Spread {
    std::vector<SpreadNode> nodes;
    std::deque<Message> messages;
    Configuration stored;
    Time now = Time{} + from_ms(1000);
};

SpreadNode make_node(std::size_t number) {
    SpreadNode node;
    node.self.host = "h" + std::to_string(number);
    node.self.incarnation = 1;
    node.self.node = node_name(node.self.host, 1);
    node.self.data_centre = number % 2 == 0 ? "x" : "y";
    node.self.address = node.self.host;
    return node;
}

void send(Spread& spread, std::size_t from, std::size_t to, const GossipMessage* other) {
    SpreadNode& node = spread.nodes.at(from);
    spread.messages.push_back(
        {to, make_gossip(node.cluster, node.quarantine_list, node.self, {}, other, spread.now)});
}

std::size_t number_of(const Peer& peer) {
    return std::stoul(peer.host.substr(1));
}

/// Delivers a message; the receiver answers while the two sides differ.
void deliver(Spread& spread, const Message& message) {
    SpreadNode& node = spread.nodes.at(message.to);
    merge(node.cluster, node.quarantine_list, message.gossip, spread.now);
    const GossipMessage own =
        make_gossip(node.cluster, node.quarantine_list, node.self, {}, nullptr, spread.now);
    if (own.digest != message.gossip.digest) {
        send(spread, message.to, number_of(message.gossip.from), &message.gossip);
    }
}

/// Delivers, loses, delays or repeats the next message.
void move_message(Spread& spread, Random& random) {
    if (spread.messages.empty()) {
        return;
    }
    const std::size_t index = random() % spread.messages.size();
    const Message message = spread.messages.at(index);
    const std::uint64_t fate = random() % 6;
    if (fate != 1) {
        spread.messages.erase(spread.messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (fate != 0) {
        deliver(spread, message);
    }
}

void act(Spread& spread, Random& random) {
    const std::size_t number = random() % NODES;
    SpreadNode& node = spread.nodes.at(number);
    switch (random() % 8) {
        case 0: {
            Configuration next = spread.stored;
            ++next.generation;
            spread.stored = next;
            adopt(node.cluster, next);
            break;
        }
        case 1: {
            // A stale read of the platform.
            Configuration stale = spread.stored;
            stale.generation -= static_cast<std::int64_t>(random() % 3);
            adopt(node.cluster, stale);
            break;
        }
        case 2:
            // A restart forgets everything but the name.
            node.cluster = ClusterState{};
            node.highest = 0;
            break;
        case 3:
            add_pending(node.cluster, {"op" + std::to_string(random() % 3), true, "x"});
            break;
        default:
            send(spread, number, random() % NODES, nullptr);
            move_message(spread, random);
            break;
    }
}

std::optional<std::string> check(Spread& spread) {
    for (SpreadNode& node : spread.nodes) {
        const std::int64_t generation = node.cluster.configuration.generation;
        if (generation < node.highest) {
            return node.self.node + " went back from generation " + std::to_string(node.highest) +
                   " to " + std::to_string(generation);
        }
        node.highest = generation;
    }
    return std::nullopt;
}

/// With nothing lost any more, every node must reach the highest generation that any node has.
std::optional<std::string> check_convergence(Spread& spread, Random& random) {
    for (int round = 0; round < QUIET_ROUNDS; ++round) {
        for (std::size_t number = 0; number < NODES; ++number) {
            send(spread, number, random() % NODES, nullptr);
        }
        while (!spread.messages.empty()) {
            const Message message = spread.messages.front();
            spread.messages.pop_front();
            deliver(spread, message);
        }
    }
    // A message on its way may have carried a higher generation than any node still had.
    std::int64_t highest = 0;
    for (const SpreadNode& node : spread.nodes) {
        highest = std::max({highest, node.highest, node.cluster.configuration.generation});
    }
    for (const SpreadNode& node : spread.nodes) {
        if (node.cluster.configuration.generation != highest) {
            return node.self.node + " stays at generation " +
                   std::to_string(node.cluster.configuration.generation) + " of " +
                   std::to_string(highest);
        }
    }
    return std::nullopt;
}

}  // namespace

ExploreResult explore_gossip(std::uint64_t seed) {
    Random random(seed);
    Spread spread;
    for (std::size_t number = 0; number < NODES; ++number) {
        spread.nodes.push_back(make_node(number));
    }
    ExploreResult result;
    for (int index = 0; index < STEPS; ++index) {
        spread.now += from_ms(50);
        ++result.steps;
        act(spread, random);
        if (const std::optional<std::string> broken = check(spread)) {
            result.failure = *broken;
            return result;
        }
    }
    result.failure = check_convergence(spread, random);
    return result;
}

}  // namespace ebonymount
