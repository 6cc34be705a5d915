// A node's view of registered targets, when entries disappear or come back and targets restart.
#include <catch2/catch.hpp>

#include "policy/fleet_view.h"
#include "policy/target_registry.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

TargetEntry entry(const std::string& id) {
    TargetEntry result;
    result.id = id;
    result.service = "shard";
    result.address = "10.0.0.1:80";
    result.data_centre = "east";
    result.slots = 2;
    result.started_at_ms = 1;
    return result;
}

TargetRegistry registry_of(const std::vector<TargetEntry>& list) {
    TargetRegistry registry;
    replace_all(registry, list, false, START);
    return registry;
}

}  // namespace

TEST_CASE(
    "an entry missing after an outage is kept until its target has had time to register again") {
    TargetRegistry registry = registry_of({entry("a"), entry("b")});
    replace_all(registry, {entry("a")}, true, START);
    CHECK(registry.entries.count("b") == 1);
    CHECK(expire_missing(registry, START + from_ms(1999)).empty());
    CHECK(expire_missing(registry, START + from_ms(2000)) == std::vector<std::string>{"b"});
    CHECK(registry.entries.count("b") == 0);
}

TEST_CASE("an entry that comes back stays in use") {
    TargetRegistry registry = registry_of({entry("a")});
    replace_all(registry, {}, true, START);
    upsert(registry, entry("a"));
    CHECK(expire_missing(registry, START + from_ms(10000)).empty());
    CHECK(registry.entries.count("a") == 1);
}

TEST_CASE("a second list does not give a missing target more time") {
    TargetRegistry registry = registry_of({entry("a")});
    replace_all(registry, {}, true, START);
    replace_all(registry, {}, true, START + from_ms(1500));
    CHECK(expire_missing(registry, START + from_ms(2000)).size() == 1);
}

TEST_CASE("a target is used until a second after its entry was removed") {
    TargetRegistry registry = registry_of({entry("a")});
    remove(registry, "a", START);
    CHECK(registry.entries.count("a") == 1);
    CHECK(expire_missing(registry, START + from_ms(999)).empty());
    CHECK(expire_missing(registry, START + from_ms(1000)).size() == 1);
}

TEST_CASE("a draining target is removed together with its entry") {
    TargetEntry draining = entry("a");
    draining.draining = true;
    TargetRegistry registry = registry_of({draining, entry("b")});
    remove(registry, "a", START);
    CHECK(registry.entries.count("a") == 0);
    TargetEntry other = entry("b");
    other.draining = true;
    upsert(registry, other);
    replace_all(registry, {}, true, START);
    CHECK(registry.entries.empty());
}

TEST_CASE("a view resolves routes and marks targets that accept no work") {
    RouteTable table;
    Route route;
    route.shards = {"shard", "unknown"};
    table.routes = {route};
    table.services = {{"shard", "/health", 25, from_ms(3000), 0.0}};
    TargetEntry draining = entry("b");
    draining.draining = true;
    TargetEntry in_other_data_centre = entry("c");
    in_other_data_centre.data_centre = "west";
    const TargetRegistry registry = registry_of({entry("a"), draining, in_other_data_centre});
    const std::set<std::string> out_of_service = {"west"};
    const std::map<std::string, std::string> regions = {{"east", "r"}, {"west", "r"}};
    TargetTable targets;
    targets.own_data_centre = "east";
    ServiceIndices indices;
    const std::shared_ptr<const FleetView> view =
        make_view({table, registry, out_of_service, regions}, indices, targets, START);
    REQUIRE(view->routes.front().services.size() == 2);
    CHECK(view->services[indices.at("shard")].targets.size() == 3);
    CHECK(view->services[indices.at("unknown")].targets.empty());
    CHECK(targets.states[targets.by_id.at("a")].accepts_work);
    CHECK(targets.states[targets.by_id.at("a")].same_data_centre);
    CHECK_FALSE(targets.states[targets.by_id.at("b")].accepts_work);
    CHECK_FALSE(targets.states[targets.by_id.at("c")].accepts_work);
}

TEST_CASE("a service keeps its index when the table changes") {
    RouteTable table;
    table.services = {{"one", "", 1, {}, 0.0}, {"two", "", 1, {}, 0.0}};
    const TargetRegistry registry;
    const std::set<std::string> out_of_service;
    const std::map<std::string, std::string> regions;
    TargetTable targets;
    ServiceIndices indices;
    make_view({table, registry, out_of_service, regions}, indices, targets, START);
    const ServiceIndex two = indices.at("two");
    table.services = {{"two", "", 1, {}, 0.0}, {"three", "", 1, {}, 0.0}};
    const std::shared_ptr<const FleetView> view =
        make_view({table, registry, out_of_service, regions}, indices, targets, START);
    CHECK(indices.at("two") == two);
    CHECK(view->services[two].limits.name == "two");
}

TEST_CASE("the measurements of a target are reset when it restarts") {
    TargetTable targets;
    const TargetIndex index = index_of(targets, "a");
    update_entry(targets, index, entry("a"), START);
    on_sent(targets.states[index], START);
    on_failure(targets.states[index], false, from_ms(0), START);
    REQUIRE(targets.states[index].failures == 1);
    TargetEntry restarted = entry("a");
    restarted.started_at_ms = 2;
    restarted.cold_remaining = from_ms(500);
    update_entry(targets, index, restarted, START);
    CHECK(targets.states[index].failures == 0);
    CHECK(targets.states[index].unreachable_until == Time{});
    CHECK(targets.states[index].cold_until == START + from_ms(500));
}

}  // namespace ebonymount
