// Data of a fleet's nodes after the store has returned from an older copy, and the calls that this
// costs, in virtual time without network.
#include <catch2/catch.hpp>

#include "store_source_model.h"

namespace ebonymount {
namespace {

const std::vector<FleetSize> SIZES = {{1, 1}, {3, 1}, {3, 3}, {6, 10}, {5, 59}};

constexpr std::int64_t REVISION_BEFORE = 100;
constexpr std::int64_t REVISION_OF_COPY = 40;

bool is_any(const ModelNode& /*node*/) {
    return true;
}

/// A fleet whose nodes all have the store's data.
ModelFleet settled_fleet(const FleetSize& size) {
    ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
    fleet.store_position.revision = REVISION_BEFORE;
    fleet.run_for(from_ms(5000));
    fleet.reading_starts = 0;
    fleet.probes = 0;
    return fleet;
}

}  // namespace

// Guards against data that is taken for newer than the store's, as its revision is higher.
TEST_CASE("all nodes have the store's data in time after a return, and none reads that did not") {
    for (const FleetSize& size : SIZES) {
        CAPTURE(size.data_centres, size.nodes_per_data_centre);
        ModelFleet fleet = settled_fleet(size);
        CHECK(fleet.all_up_to_date(is_any));
        fleet.return_from_copy(REVISION_OF_COPY);
        fleet.run_for(CONFIG_APPLY);
        CHECK(fleet.all_up_to_date(is_any));
        CHECK(fleet.reading_starts == 0);
        CHECK(fleet.probes == 0);
    }
}

// Guards against a return that is worse for the store than the outage before it.
TEST_CASE("an outage that ends with a return costs no more calls than one that does not") {
    for (const FleetSize& size : SIZES) {
        CAPTURE(size.data_centres, size.nodes_per_data_centre);
        std::vector<std::size_t> calls;
        for (const bool returns : {false, true}) {
            ModelFleet fleet = settled_fleet(size);
            fleet.store_is_up = false;
            fleet.run_for(from_ms(1000));
            if (returns) {
                fleet.return_from_copy(REVISION_OF_COPY);
            }
            fleet.store_is_up = true;
            fleet.run_for(CONFIG_APPLY);
            CHECK(fleet.all_up_to_date(is_any));
            calls.push_back(fleet.probes + fleet.reading_starts);
        }
        CHECK(calls.back() <= calls.front());
    }
}

// Guards against answers of the earlier era, and messages that were sent before the return, which
// take back what a node has read since or keep it from reading.
TEST_CASE("two returns, late messages and answers of the earlier era delay no node for long") {
    for (const FleetSize& size : SIZES) {
        for (std::size_t seed = 0; seed < 5; ++seed) {
            CAPTURE(size.data_centres, size.nodes_per_data_centre, seed);
            ModelFleet fleet = settled_fleet(size);
            for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                fleet.nodes[i].random = Random(1000 * seed + i);
            }
            fleet.message_delay = from_ms(300);
            fleet.earlier_era_share = 0.3;
            for (std::size_t second = 0; second < 6; ++second) {
                if (second % 2 == 0 && second < 4) {
                    fleet.return_from_copy(fleet.store_position.revision - REVISION_OF_COPY);
                }
                ModelNode& restarted = fleet.nodes[(seed + 7 * second) % fleet.nodes.size()];
                fleet.restart(restarted, seed);
                ++fleet.store_position.revision;
                fleet.run_for(from_ms(1000));
            }
            fleet.earlier_era_share = 0.0;
            fleet.run_for(CONFIG_APPLY);
            CHECK(fleet.all_up_to_date(is_any));
        }
    }
}

// Guards against nodes that go on following a reader which has not noticed the return.
TEST_CASE("nodes leave readers that cannot reach the store when it returns") {
    const auto reaches_store = [](const ModelNode& node) {
        return !node.cut_from_store;
    };
    for (const FleetSize& size : SIZES) {
        CAPTURE(size.data_centres, size.nodes_per_data_centre);
        ModelFleet fleet = settled_fleet(size);
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = node.source.is_reader;
        }
        fleet.return_from_copy(REVISION_OF_COPY);
        fleet.run_for(CONFIG_APPLY);
        CHECK(fleet.all_up_to_date(reaches_store));
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = false;
        }
        fleet.run_for(CONFIG_APPLY);
        CHECK(fleet.all_up_to_date(is_any));
    }
}

}  // namespace ebonymount
