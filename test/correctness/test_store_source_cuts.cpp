// Ages of a fleet's data while some nodes of each data centre cannot reach the store, in virtual
// time without network.
#include <catch2/catch.hpp>
#include <set>

#include "store_source_model.h"

namespace ebonymount {
namespace {

constexpr std::size_t DATA_CENTRES = 3;
const std::vector<std::size_t> NODES_PER_DATA_CENTRE = {10, 16, 49};

}  // namespace

// Guards against readers that are never tried: the pauses between candidates are so long that the
// first ones are tried again before the last of the nodes that may take over reading.
TEST_CASE("all nodes get changes in time if one of those that take over reads the store") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        for (std::size_t reading = READERS_PER_DATA_CENTRE; reading < READING_NODES; ++reading) {
            CAPTURE(size, reading);
            ModelFleet fleet(DATA_CENTRES, size);
            fleet.run_for(from_ms(5000));
            for (ModelNode& node : fleet.nodes) {
                const std::size_t rank = node.source.rank;
                node.cut_from_store =
                    node.source.is_reader || (rank < READING_NODES && rank != reading);
            }
            CHECK(to_ms(fleet.max_true_age_during(60)) <= to_ms(CONFIG_APPLY));
        }
    }
}

// Guards against nodes that have taken over reading and give it back to a reader that is recent
// only because it follows them, so that nobody reads.
TEST_CASE("while the readers cannot reach the store, others go on reading it") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        CAPTURE(size);
        ModelFleet fleet(DATA_CENTRES, size);
        fleet.run_for(from_ms(5000));
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = node.source.is_reader;
        }
        fleet.run_for(CONFIG_APPLY);
        std::size_t ticks_without_reader = 0;
        for (int tick = 0; tick < 300; ++tick) {
            fleet.run_for(TICK);
            std::set<std::string> read;
            for (const ModelNode& node : fleet.nodes) {
                if (node.source.reading && !node.cut_from_store) {
                    read.insert(node.self.data_centre);
                }
            }
            ticks_without_reader += read.size() < DATA_CENTRES ? 1 : 0;
        }
        CHECK(ticks_without_reader == 0);
    }
}

// Guards against changes that come as many seconds late as there are nodes when none of the nodes
// that take over reading can reach the store.
TEST_CASE(
    "all nodes get changes in time if only nodes after those that take over reach the store") {
    for (const std::size_t size : NODES_PER_DATA_CENTRE) {
        for (std::size_t seed = 0; seed < 10; ++seed) {
            CAPTURE(size, seed);
            ModelFleet fleet(DATA_CENTRES, size);
            for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                fleet.nodes[i].random = Random(1000 * seed + i);
            }
            fleet.run_for(from_ms(5000));
            for (ModelNode& node : fleet.nodes) {
                node.cut_from_store = node.source.is_reader || node.source.rank < READING_NODES;
            }
            CHECK(to_ms(fleet.max_true_age_during(30)) <= to_ms(CONFIG_APPLY));
        }
    }
}

// Guards against a node that names itself as the origin of data that another one has read, or gives
// reading back for data whose origin is unknown; either closes the circle in which nobody reads.
TEST_CASE("the origin of data is the node that read it, and an unknown one takes no duty over") {
    const Time now = Time(from_ms(1000000));
    const StoreReadTiming timing = store_read_timing(CONFIG_APPLY, STABLE_WINDOW);
    const Member self = {"node-2", "east", "127.0.0.1:2"};
    const Member reader = {"node-1", "east", "127.0.0.1:1"};
    ReaderLink upstream;
    upstream.reader = reader;
    upstream.as_of = now;
    upstream.last_message = now;
    upstream.origin = "node-3";
    SourceInputs inputs{self, {}, timing, &upstream, nullptr, now - from_ms(9000), true, true, now};
    StoreSource source;
    source.members_known = true;
    source.is_reader = true;
    source.reading = true;
    Random random(1);
    decide(source, inputs, random);
    inputs.upstream = nullptr;
    CHECK(data_origin(source, inputs) == "node-3");

    for (const std::string origin : {"", "node-2", "node-1"}) {
        CAPTURE(origin);
        upstream.origin = origin;
        StoreSource substitute;
        substitute.members_known = true;
        substitute.readers = {reader};
        substitute.rank = 2;
        substitute.reading = true;
        const SourceInputs following{self,  {},   timing, &upstream, nullptr, now - from_ms(9000),
                                     false, true, now};
        decide(substitute, following, random);
        CHECK(substitute.reading == (origin != "node-1"));
    }
}

}  // namespace ebonymount
