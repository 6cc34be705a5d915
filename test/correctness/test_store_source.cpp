// Load on the platform's store by fleets of 6 to 1,000 nodes, in virtual time without network.
//
// While the store is in trouble, each follower's updates become old at the same moment. The test
// guards against a thundering herd: the calls must grow with the data centres, not with the nodes,
// and a change must still be in force everywhere in time.
#include <catch2/catch.hpp>

#include <set>

#include "store_source_model.h"

namespace ebonymount {
namespace {

const std::vector<FleetSize> SIZES = {{3, 2}, {6, 10}, {6, 49}, {13, 77}};

std::size_t steady_readers(const FleetSize& size) {
    return size.data_centres * std::min(size.nodes_per_data_centre, READERS_PER_DATA_CENTRE);
}

}  // namespace

TEST_CASE("at the start of all nodes only the readers read the store") {
    for (const FleetSize& size : SIZES) {
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        CHECK(fleet.reading_starts == steady_readers(size));
        CHECK(fleet.probes == 0);
        CHECK(fleet.all_newer_than(from_ms(300)));
    }
}

// Guards against an overload that keeps itself up: nodes that have read an early list of nodes take
// themselves for readers, and go on reading though the store answers nobody in time.
TEST_CASE("nodes whose reads of the store overload it leave it to the readers") {
    for (const FleetSize& size : SIZES) {
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.store_capacity = 2 * steady_readers(size);
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            fleet.restart_with_early_list(fleet.nodes[i], i);
        }
        fleet.run_for(from_ms(2000));
        fleet.complete_lists();
        fleet.run_for(2 * STABLE_WINDOW);
        CHECK(fleet.reading() == steady_readers(size));
        CHECK(fleet.all_newer_than(from_ms(300)));
    }
}

TEST_CASE("calls to a store that is down grow with data centres, not with nodes") {
    for (const FleetSize& size : SIZES) {
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        fleet.reading_starts = 0;
        fleet.store_is_up = false;
        constexpr std::int64_t OUTAGE_S = 20;
        fleet.run_for(from_ms(OUTAGE_S * 1000));
        CHECK(fleet.reading_starts == 0);
        CHECK(fleet.reading() == steady_readers(size));
        // A second has one probe of the many, and each of the few probes at most each half second
        // and four times on average before its pause is at the maximum.
        CHECK(fleet.probes <= size.data_centres * (2 * OUTAGE_S + READING_NODES * 8));
        fleet.store_is_up = true;
        fleet.run_for(from_ms(1000));
        CHECK(fleet.all_newer_than(from_ms(300)));
        fleet.run_for(from_ms(10000));
        CHECK(fleet.reading() == steady_readers(size));
        CHECK(fleet.reading_starts <= size.data_centres * READING_NODES);
    }
}

TEST_CASE("followers of readers that cannot reach the store get changes in time") {
    for (const FleetSize& size : SIZES) {
        if (size.nodes_per_data_centre < READING_NODES) {
            continue;
        }
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = node.source.reading;
        }
        fleet.run_for(CONFIG_APPLY);
        const auto too_old = [&fleet](const ModelNode& node) {
            return !node.cut_from_store && fleet.now - node.source.last_contact > CONFIG_APPLY / 2;
        };
        CHECK(fleet.count(too_old) == 0);
        CHECK(fleet.reading() <= size.data_centres * READING_NODES);
        for (int second = 0; second < 20; ++second) {
            fleet.run_for(from_ms(1000));
            CHECK(fleet.count(too_old) == 0);
        }
    }
}

TEST_CASE("a store that turns away a third of the nodes is read by few, and all get changes") {
    for (const FleetSize& size : SIZES) {
        if (size.nodes_per_data_centre < READING_NODES) {
            continue;
        }
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        Random random(7);
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = uniform(random) < 0.33;
        }
        fleet.run_for(CONFIG_APPLY);
        CHECK(fleet.all_newer_than(CONFIG_APPLY / 2));
        CHECK(fleet.reading() <= size.data_centres * READING_NODES);
        CHECK(fleet.probes <= size.data_centres * READING_NODES * 2);
    }
}

TEST_CASE("when all nodes are killed at once few read, and all have their state soon") {
    for (const bool store_is_up : {true, false}) {
        for (const FleetSize& size : SIZES) {
            INFO("nodes per data centre: " << size.nodes_per_data_centre);
            ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
            fleet.run_for(from_ms(5000));
            fleet.reading_starts = 0;
            fleet.store_is_up = store_is_up;
            Random random(3);
            for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                fleet.restart(fleet.nodes[i], i);
            }
            fleet.run_for(from_ms(10000));
            fleet.store_is_up = true;
            fleet.run_for(from_ms(1500));
            CHECK(fleet.all_newer_than(from_ms(300)));
            fleet.run_for(from_ms(10000));
            CHECK(fleet.reading() == steady_readers(size));
            CHECK(fleet.reading_starts <= size.data_centres * READING_NODES);
        }
    }
}

/// What the store does to nodes that start.
enum class StoreTrouble : std::uint8_t { down, loses_answers, turns_some_away };

void set_trouble(ModelFleet& fleet, StoreTrouble trouble, Random& random) {
    fleet.store_is_up = trouble != StoreTrouble::down;
    fleet.lost_share = trouble == StoreTrouble::loses_answers ? 0.8 : 0.0;
    for (ModelNode& node : fleet.nodes) {
        node.cut_from_store = trouble == StoreTrouble::turns_some_away && uniform(random) < 0.5;
    }
}

void end_trouble(ModelFleet& fleet) {
    fleet.store_is_up = true;
    fleet.lost_share = 0.0;
    for (ModelNode& node : fleet.nodes) {
        node.cut_from_store = false;
    }
}

/// True if a node of each data centre reads the store.
bool is_read_everywhere(const ModelFleet& fleet) {
    std::set<std::string> all;
    std::set<std::string> read;
    for (const ModelNode& node : fleet.nodes) {
        all.insert(node.self.data_centre);
        if (node.source.reading) {
            read.insert(node.self.data_centre);
        }
    }
    return all == read;
}

// Guards against the incident "no node reads the store": nodes without any state followed each
// other and stopped their own calls, so none noticed that the store was back.
TEST_CASE(
    "nodes that start together in trouble of the store all have their state once it is over") {
    const std::vector<FleetSize> sizes = {{1, 1}, {1, 2}, {3, 1}, {3, 2}, {3, 3}, {6, 10}, {5, 59}};
    for (const StoreTrouble trouble :
         {StoreTrouble::down, StoreTrouble::loses_answers, StoreTrouble::turns_some_away}) {
        for (const FleetSize& size : sizes) {
            for (const std::int64_t length_s : {0, 1, 2, 5, 20}) {
                for (std::size_t seed = 0; seed < 3; ++seed) {
                    CAPTURE(static_cast<int>(trouble), size.data_centres,
                            size.nodes_per_data_centre, length_s, seed);
                    ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
                    fleet.run_for(from_ms(5000));
                    Random random(seed);
                    set_trouble(fleet, trouble, random);
                    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                        // Starts are spread over half a second or so.
                        const bool pauses =
                            uniform(random) * static_cast<double>(fleet.nodes.size()) < 5.0;
                        fleet.run_for(pauses ? TICK : Duration::zero());
                        fleet.restart_without_members(fleet.nodes[i], 100 * seed + i);
                    }
                    fleet.run_for(from_ms(length_s * 1000));
                    end_trouble(fleet);
                    fleet.run_for(from_ms(2000));
                    CHECK(is_read_everywhere(fleet));
                    fleet.run_for(from_ms(1000));
                    CHECK(fleet.count([](const ModelNode& node) { return node.has_state; }) ==
                          fleet.nodes.size());
                    CHECK(fleet.all_newer_than(CONFIG_APPLY / 2));
                }
            }
        }
    }
}

TEST_CASE("followers of a reader that is killed or silent follow the other reader") {
    for (const bool is_killed : {true, false}) {
        ModelFleet fleet(6, 49);
        fleet.run_for(from_ms(5000));
        const std::size_t before = fleet.reading_starts;
        std::vector<std::string> lost;
        for (ModelNode& node : fleet.nodes) {
            const bool is_first =
                std::find(lost.begin(), lost.end(), node.self.data_centre) == lost.end();
            if (node.source.reading && is_first) {
                lost.push_back(node.self.data_centre);
                node.running = !is_killed;
                node.cut_from_store = true;
            }
        }
        fleet.run_for(CONFIG_APPLY / 2);
        const auto is_old = [&fleet](const ModelNode& node) {
            return node.running && !node.cut_from_store &&
                   fleet.now - node.source.last_contact > from_ms(300);
        };
        CHECK(fleet.count(is_old) == 0);
        CHECK(fleet.reading_starts == before);
        CHECK(fleet.probes == 0);
    }
}

}  // namespace ebonymount
