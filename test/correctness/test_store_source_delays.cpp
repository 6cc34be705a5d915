// Ages of a fleet's data while messages between nodes take time, in virtual time without network.
//
// A node that takes its data for newer than it is stays with a source that has nothing new. So the
// age that it believes must never be smaller than the true one.
#include <catch2/catch.hpp>

#include "store_source_model.h"

namespace ebonymount {
namespace {

constexpr std::size_t DATA_CENTRES = 3;
const std::vector<std::size_t> NODES_PER_DATA_CENTRE = {10, 49};

/// Time that a message takes on a loaded machine, and on an idle one.
constexpr Duration SLOW_MESSAGE = from_ms(300);
constexpr Duration FAST_MESSAGE = TICK;

/// Runs the fleet while each node is paused again and again, for 1.5 to 4.5 s; messages to it wait
/// in its sockets.
void run_with_pauses(ModelFleet& fleet, Duration duration) {
    constexpr double PAUSED_AT_TICK = 0.2;
    constexpr Duration MEAN_PAUSE = from_ms(3000);
    Random random(5);
    for (const Time end = fleet.now + duration; fleet.now < end;) {
        for (ModelNode& node : fleet.nodes) {
            if (fleet.now >= node.paused_until && uniform(random) < PAUSED_AT_TICK) {
                node.paused_until = fleet.now + scaled(MEAN_PAUSE, 0.5 + uniform(random));
            }
        }
        fleet.run_for(TICK);
    }
}

void cut_from_store(ModelFleet& fleet, const std::function<bool(const ModelNode&)>& is_cut) {
    for (ModelNode& node : fleet.nodes) {
        node.cut_from_store = is_cut(node);
    }
}

}  // namespace

// Guards against an age that is measured at the receiver: the time that a message takes makes the
// data newer.
TEST_CASE("no node takes its data for newer than it is while messages take time") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        for (const Duration delay : {FAST_MESSAGE, SLOW_MESSAGE}) {
            CAPTURE(size, to_ms(delay));
            ModelFleet fleet(DATA_CENTRES, size);
            fleet.message_delay = delay;
            fleet.run_for(from_ms(20000));
            CHECK(to_ms(fleet.max_understatement) <= 0.0);
        }
    }
}

// Guards against the same for messages that waited in a socket while the node was paused.
TEST_CASE("no node takes its data for newer than it is while nodes are paused") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        CAPTURE(size);
        ModelFleet fleet(DATA_CENTRES, size);
        fleet.message_delay = FAST_MESSAGE;
        fleet.run_for(from_ms(5000));
        run_with_pauses(fleet, from_ms(60000));
        CHECK(to_ms(fleet.max_understatement) <= 0.0);
    }
}

// Guards against an island: nodes that cannot reach the store follow each other, and each message
// makes their data newer.
TEST_CASE("data of nodes that cannot reach the store is as old to them as the cut is long") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        for (const bool has_pauses : {false, true}) {
            CAPTURE(size, has_pauses);
            ModelFleet fleet(DATA_CENTRES, size);
            fleet.message_delay = SLOW_MESSAGE;
            fleet.run_for(from_ms(5000));
            cut_from_store(fleet, [](const ModelNode& /*node*/) { return true; });
            const Time cut_at = fleet.now;
            if (has_pauses) {
                run_with_pauses(fleet, from_ms(60000));
            } else {
                fleet.run_for(from_ms(60000));
            }
            CHECK(to_ms(fleet.min_believed_age()) >= to_ms(fleet.now - cut_at));
        }
    }
}

// Guards against the same beside nodes that can reach the store: they must leave readers that
// cannot, so that a change is in force at them in time.
TEST_CASE("nodes that can reach the store leave readers that cannot, while messages take time") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        CAPTURE(size);
        ModelFleet fleet(DATA_CENTRES, size);
        fleet.message_delay = SLOW_MESSAGE;
        fleet.run_for(from_ms(5000));
        cut_from_store(fleet, [](const ModelNode& node) { return node.source.is_reader; });
        CHECK(to_ms(fleet.max_true_age_during(30)) <= to_ms(CONFIG_APPLY));
    }
}

}  // namespace ebonymount
