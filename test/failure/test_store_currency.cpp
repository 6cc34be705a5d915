// Nodes of one data centre must receive each change while part of what the store answers is missing
// or old. Each case runs until a condition holds; no check depends on elapsed time.
#include <catch2/catch.hpp>

#include "feed_fleet.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

const nlohmann::json NEW_CONFIGURATION = {{"version", 2}};

/// An object that is added or replaced while recent data lags.
struct ChangedObject {
    platform::Kind kind;
    const char* name;
    nlohmann::json spec;
};

const std::vector<ChangedObject> CHANGED_OBJECTS = {
    {platform::Kind::config, platform::names::CONFIG_NAME, NEW_CONFIGURATION},
    {platform::Kind::targets, "t0", {{"service", "s"}, {"state", "draining"}}},
    {platform::Kind::evacuations, "east", nlohmann::json::object()},
    {platform::Kind::quarantine, "r0", nlohmann::json::object()}};

/// Recent data of the store shows nothing that is written from now on.
void stop_recent_data(standin::PlatformStore& store) {
    standin::PlatformFaults faults;
    faults.stale_until = monotonic_now();
    store.set_faults(faults);
}

/// Runs the fleet until the nodes follow each other, starts the lag with `start_lag`, writes all
/// `CHANGED_OBJECTS` once they follow each other again, and checks that all nodes receive them.
void check_changes_arrive(FeedFleet& fleet, const std::function<void()>& start_lag) {
    const auto missing = [&fleet] {
        std::vector<std::string> found;
        for (const ChangedObject& object : CHANGED_OBJECTS) {
            for (const std::string& node :
                 fleet.nodes_without(object.kind, object.name, object.spec)) {
                found.push_back(std::string(platform::name_of(object.kind)) + " at " + node);
            }
        }
        return found;
    };
    const auto is_settled = [&fleet] {
        return fleet.is_settled() && fleet.all_have_target("t0");
    };
    const auto write = [&fleet] {
        for (const ChangedObject& object : CHANGED_OBJECTS) {
            fleet.store.put(platform::name_of(object.kind), object.name, object.spec);
        }
    };
    CHECK(fleet.run_steps({{is_settled, start_lag},
                           {is_settled, write},
                           {[&missing] { return missing().empty(); }, nullptr}}));
    CHECK_THAT(missing(), Catch::Matchers::Equals(std::vector<std::string>{}));
}

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
            CHECK_THAT(nodes_without(), Catch::Matchers::Equals(std::vector<std::string>{}));
        }
    }
}

// Guards against reads that may be old: the store lags and no node has seen a failure of it, so
// recent data, which never shows these changes, is all that a node asks for.
TEST_CASE("changes reach nodes that were started while the store's recent data lags") {
    FeedFleet fleet(NODES);
    stop_recent_data(fleet.store);
    for (const std::unique_ptr<FeedFleet::Node>& node : fleet.nodes) {
        fleet.start(*node);
    }
    check_changes_arrive(fleet, nullptr);
}

// Guards against the same where the lag begins while the nodes run and nothing fails.
TEST_CASE("changes reach nodes that saw no failure when the store's recent data began to lag") {
    FeedFleet fleet;
    check_changes_arrive(fleet, [&fleet] { stop_recent_data(fleet.store); });
}

// Guards against the same where a reader is started during the lag: it has read current lists, and
// goes on with recent data.
TEST_CASE("changes reach all nodes when a reader was restarted while recent data lags") {
    FeedFleet fleet;
    check_changes_arrive(fleet, [&fleet] {
        stop_recent_data(fleet.store);
        FeedFleet::Node& restarted = fleet.reader();
        restarted.feed.reset();
        fleet.start(restarted);
    });
}

}  // namespace ebonymount
