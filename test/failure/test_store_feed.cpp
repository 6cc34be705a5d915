// Nodes of one data centre that relay store updates to each other over loopback. Each case runs
// until a condition holds; no check depends on elapsed time.
#include <catch2/catch.hpp>

#include "catch_main.h"
#include "feed_fleet.h"
#include "io/server_socket.h"
#include "platform/names.h"

namespace ebonymount {
TEST_CASE("two nodes read the store, and all nodes receive a change") {
    FeedFleet fleet;
    CHECK(fleet.run_steps(
        {{[&fleet] { return fleet.follower_count() == FOLLOWERS && fleet.all_have_target("t0"); },
          [&fleet] {
              fleet.add_target("t1");
          }},
         {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

TEST_CASE("followers of a reader that ends still receive changes") {
    FeedFleet fleet;
    CHECK(fleet.run_steps({{[&fleet] { return fleet.follower_count() == FOLLOWERS; },
                            [&fleet] {
                                fleet.reader().feed.reset();
                                fleet.add_target("t1");
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

TEST_CASE("after an outage of the store all nodes receive changes and follow again") {
    FeedFleet fleet;
    CHECK(fleet.run_steps({{[&fleet] { return fleet.follower_count() == FOLLOWERS; },
                            [&fleet] {
                                standin::PlatformFaults faults;
                                faults.outage = standin::Outage::reset;
                                fleet.store.set_faults(faults);
                            }},
                           // No node follows a reader whose data is too old.
                           {[&fleet] { return fleet.follower_count() == 0; },
                            [&fleet] {
                                fleet.store.set_faults(standin::PlatformFaults{});
                                fleet.add_target("t1");
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr},
                           {[&fleet] { return fleet.follower_count() == FOLLOWERS; }, nullptr}}));
}

TEST_CASE("a node that starts while the store is unavailable receives other nodes' state") {
    FeedFleet fleet(1);
    CHECK(fleet.run_steps({{[&fleet] { return fleet.all_have_target("t0"); },
                            [&fleet] {
                                standin::PlatformFaults faults;
                                faults.outage = standin::Outage::reset;
                                fleet.store.set_faults(faults);
                                fleet.start(*fleet.nodes.back());
                            }},
                           {[&fleet] { return fleet.all_have_target("t0"); }, nullptr}}));
}

TEST_CASE("no change is lost when the store's history is gone") {
    FeedFleet fleet;
    CHECK(fleet.run_steps({{[&fleet] { return fleet.follower_count() == FOLLOWERS; },
                            [&fleet] {
                                fleet.add_target("t1");
                                fleet.store.compact();
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

// Guards against nodes that nobody can follow because another process held their address when they
// started.
TEST_CASE("nodes whose addresses are in use at their start are followed once they are free") {
    FeedFleet fleet(NODES);
    std::vector<Poco::Net::ServerSocket> holders;
    for (const std::unique_ptr<FeedFleet::Node>& node : fleet.nodes) {
        holders.push_back(listen_at(node->self.address, 1));
        fleet.start(*node);
    }
    CHECK(fleet.run_steps({{[&fleet] { return fleet.all_have_target("t0"); },
                            [&holders] {
                                for (Poco::Net::ServerSocket& holder : holders) {
                                    holder.close();
                                }
                            }},
                           {[&fleet] { return fleet.follower_count() == FOLLOWERS; }, nullptr}}));
}

// Guards against followers that have to find the node that took over reading, one by one.
TEST_CASE("a reader that cannot reach the store is offered data by a follower that can") {
    FeedFleet fleet;
    std::vector<FeedFleet::Node*> readers;
    const auto is_reader_offered = [&readers] {
        return std::any_of(readers.begin(), readers.end(), [](FeedFleet::Node* reader) {
            return reader->metrics.counter("ebonymount_store_offers_total") > 0;
        });
    };
    CHECK(fleet.run_steps({{[&fleet] { return fleet.is_settled(); },
                            [&fleet, &readers] {
                                readers = fleet.readers();
                                for (const FeedFleet::Node* reader : readers) {
                                    for (const char* kind : {platform::names::CONFIG_KIND,
                                                             platform::names::TARGETS_KIND,
                                                             platform::names::EVACUATIONS_KIND,
                                                             platform::names::QUARANTINE_KIND}) {
                                        fleet.store.set_kind_outage(reader->store_address, kind,
                                                                    standin::Outage::busy);
                                    }
                                }
                            }},
                           {is_reader_offered,
                            [&fleet] {
                                fleet.add_target("t1");
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

// Guards against a node that goes on with old state because an update of it could not be applied:
// the copy that is passed on has it already, so the list that is read again says nothing new.
TEST_CASE("an update that a node fails to apply is delivered again") {
    const nlohmann::json spec = {{"version", 2}};
    FeedFleet fleet;
    std::set<std::string> failed;
    fleet.on_update = [&failed](const FeedFleet::Node& node, const KindUpdate& update) {
        const auto is_new = [](const platform::StoredObject& object) {
            return object.name == platform::names::CONFIG_NAME;
        };
        if (update.kind == platform::Kind::config &&
            std::any_of(update.objects.begin(), update.objects.end(), is_new) &&
            failed.insert(node.self.node).second) {
            throw std::runtime_error("update");
        }
    };
    const auto missing = [&] {
        return fleet.nodes_without(platform::Kind::config, platform::names::CONFIG_NAME, spec);
    };
    expect_exceptions(NODES);
    CHECK(fleet.run_steps({{[&fleet] { return fleet.is_settled(); },
                            [&] {
                                fleet.store.put(platform::names::CONFIG_KIND,
                                                platform::names::CONFIG_NAME, spec);
                            }},
                           {[&missing] { return missing().empty(); }, nullptr}}));
    CHECK_THAT(missing(), Catch::Matchers::Equals(std::vector<std::string>{}));
    CHECK(failed.size() == NODES);
}

}  // namespace ebonymount
