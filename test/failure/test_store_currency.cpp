// Nodes of one data centre must receive each change while part of what the store answers is missing
// or old. Each case runs until a condition holds; no check depends on elapsed time.
#include <catch2/catch.hpp>

#include "feed_fleet.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

const nlohmann::json NEW_CONFIGURATION = {{"version", 2}};

}  // namespace

// Guards against one age for all kinds of data: a reader whose calls for the configuration fail is
// recent by its other calls, so that nobody leaves it.
TEST_CASE("a new configuration reaches all nodes though some readers cannot read that kind") {
    for (const standin::Outage outage : {standin::Outage::silent, standin::Outage::busy}) {
        for (const std::size_t failing_readers : {std::size_t{1}, READERS_PER_DATA_CENTRE}) {
            CAPTURE(static_cast<int>(outage), failing_readers);
            FeedFleet fleet;
            // The calls for targets go on to be answered with changes.
            fleet.on_sweep = [&fleet] {
                fleet.add_target("changing");
            };
            const auto nodes_without = [&fleet] {
                return fleet.nodes_without(platform::Kind::config, platform::names::CONFIG_NAME,
                                           NEW_CONFIGURATION);
            };
            CHECK(fleet.run_steps(
                {{[&fleet] {
                      return fleet.follower_count() == FOLLOWERS &&
                             fleet.all_have_target("changing");
                  },
                  [&fleet, outage, failing_readers] {
                      const std::vector<FeedFleet::Node*> readers = fleet.readers();
                      for (std::size_t i = 0; i < failing_readers; ++i) {
                          fleet.store.set_kind_outage(readers.at(i)->store_address,
                                                      platform::names::CONFIG_KIND, outage);
                      }
                      fleet.store.put(platform::names::CONFIG_KIND, platform::names::CONFIG_NAME,
                                      NEW_CONFIGURATION);
                  }},
                 {[&nodes_without] { return nodes_without().empty(); }, nullptr}}));
            CHECK(nodes_without() == std::vector<std::string>{});
        }
    }
}

}  // namespace ebonymount
