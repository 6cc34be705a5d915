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
    replace_all(registry, list, ListOrigin::regular, START);
    return registry;
}

}  // namespace

TEST_CASE(
    "an entry missing after an outage is kept until its target has had time to register again") {
    TargetRegistry registry = registry_of({entry("a"), entry("b")});
    replace_all(registry, {entry("a")}, ListOrigin::after_outage, START);
    CHECK(registry.entries.count("b") == 1);
    CHECK(expire_missing(registry, START + from_ms(1999)).empty());
    CHECK(expire_missing(registry, START + from_ms(2000)) == std::vector<std::string>{"b"});
    CHECK(registry.entries.count("b") == 0);
}

TEST_CASE("an entry that comes back stays in use") {
    TargetRegistry registry = registry_of({entry("a")});
    replace_all(registry, {}, ListOrigin::after_outage, START);
    upsert(registry, entry("a"));
    CHECK(expire_missing(registry, START + from_ms(10000)).empty());
    CHECK(registry.entries.count("a") == 1);
}

TEST_CASE("a second list does not give a missing target more time") {
    TargetRegistry registry = registry_of({entry("a")});
    replace_all(registry, {}, ListOrigin::after_outage, START);
    replace_all(registry, {}, ListOrigin::after_outage, START + from_ms(1500));
    CHECK(expire_missing(registry, START + from_ms(2000)).size() == 1);
}

TEST_CASE("a target is used until a second after its entry was removed") {
    TargetRegistry registry = registry_of({entry("a")});
    remove(registry, "a", START);
    CHECK(registry.entries.count("a") == 1);
    CHECK(expire_missing(registry, START + from_ms(999)).empty());
    CHECK(expire_missing(registry, START + from_ms(1000)).size() == 1);
}

// Guards against a fixed grace after an update that may be late itself.
TEST_CASE("a target whose entry was removed is not used beyond the given time") {
    TargetRegistry registry = registry_of({entry("a"), entry("b")});
    remove(registry, "a", START, START + from_ms(300));
    remove(registry, "b", START, START - from_ms(300));
    CHECK(expire_missing(registry, START) == std::vector<std::string>{"b"});
    CHECK(expire_missing(registry, START + from_ms(299)).empty());
    CHECK(expire_missing(registry, START + from_ms(300)) == std::vector<std::string>{"a"});
}

// Guards against the full grace after a list that was read because the store's history was lost.
TEST_CASE("a target that a list does not name is not used beyond the given time") {
    TargetRegistry registry = registry_of({entry("a")});
    replace_all(registry, {}, ListOrigin::regular, START, START + from_ms(300));
    CHECK(expire_missing(registry, START + from_ms(299)).empty());
    CHECK(expire_missing(registry, START + from_ms(300)) == std::vector<std::string>{"a"});
    // After an outage it may be running, however old the data was.
    registry = registry_of({entry("a")});
    replace_all(registry, {}, ListOrigin::after_outage, START, START + from_ms(300));
    CHECK(expire_missing(registry, START + REREGISTRATION_TIME - from_ms(1)).empty());
}

TEST_CASE("the last use of a target leaves time for a request on its way") {
    for (const Duration drain : {from_ms(1000), from_ms(3000), from_ms(6000)}) {
        CHECK(latest_use(START, drain) > START + drain * 9 / 10);
        CHECK(latest_use(START, drain) <= START + drain * 19 / 20);
    }
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
    replace_all(registry, {}, ListOrigin::after_outage, START);
    CHECK(registry.entries.empty());
}

// Guards against a node without memory that uses an entry of an older copy (DRAIN).
TEST_CASE("an entry that another node does not trust waits until its target has written it") {
    TargetRegistry registry = registry_of({entry("a"), entry("b")});
    const Time until = START + from_ms(3000);
    withhold(registry, "a", until);
    withhold(registry, "unknown", until);
    CHECK(registry.entries.count("a") == 0);
    CHECK(registry.unconfirmed.size() == 1);
    replace_all(registry, {entry("a"), entry("b")}, ListOrigin::regular, START + from_ms(1000));
    CHECK(registry.entries.count("a") == 0);
    CHECK(accept_unconfirmed(registry, until - from_ms(1)).empty());

    SECTION("its target writes it") {
        TargetEntry draining = entry("a");
        draining.draining = true;
        upsert(registry, draining);
        CHECK(accept_unconfirmed(registry, until).empty());
        CHECK(registry.entries.at("a").draining);
    }
    SECTION("its target does not") {
        CHECK(accept_unconfirmed(registry, until) == std::vector<std::string>{"a"});
        CHECK(registry.entries.count("a") == 1);
    }
}

// Guards against targets that are used again after they left, because the store has returned from
// a copy that is older than their leaving (DRAIN).
TEST_CASE("an older copy brings back no draining or removed target until it has been rewritten") {
    TargetEntry draining = entry("a");
    draining.draining = true;
    TargetRegistry registry = registry_of({entry("a"), entry("b"), entry("c"), entry("d")});
    upsert(registry, draining);
    remove(registry, "b", START);
    CHECK(expire_missing(registry, START + REMOVAL_GRACE).size() == 1);
    remove(registry, "c", START + REMOVAL_GRACE);
    const Time returned = START + REMOVAL_GRACE + from_ms(500);
    const std::vector<TargetEntry> copy = {entry("a"), entry("b"), entry("c"), entry("d")};
    replace_all(registry, copy, ListOrigin::after_return, returned);
    CHECK(registry.entries.at("a").draining);
    CHECK(registry.entries.count("b") == 0);
    CHECK(registry.missing.count("c") == 1);
    CHECK(registry.unconfirmed.size() == 3);
    // Neither another list of the copy nor time below the bound changes that.
    replace_all(registry, copy, ListOrigin::regular, returned + from_ms(3000));
    CHECK(expire_missing(registry, returned + REMOVAL_GRACE).size() == 1);
    CHECK(accept_unconfirmed(registry, returned + REWRITE_TIME - from_ms(1)).empty());
    CHECK(registry.entries.at("a").draining);
    CHECK(registry.entries.size() == 2);
    CHECK(registry.entries.count("d") == 1);

    SECTION("what the targets write is used at once") {
        upsert(registry, entry("b"));
        replace_all(registry, {draining, entry("b"), entry("d")}, ListOrigin::regular,
                    returned + from_ms(3500));
        CHECK(registry.entries.at("a").draining);
        CHECK(registry.entries.count("b") == 1);
        CHECK(registry.unconfirmed.empty());
        CHECK(expire_missing(registry, returned + from_ms(9000)).empty());
    }
    SECTION("what nobody writes again is used as the copy has it") {
        CHECK(accept_unconfirmed(registry, returned + REWRITE_TIME).size() == 3);
        CHECK_FALSE(registry.entries.at("a").draining);
        CHECK(registry.entries.size() == 4);
        CHECK(expire_missing(registry, returned + from_ms(9000)).empty());
    }
    SECTION("an entry that the store removes is not used") {
        remove(registry, "b", returned + from_ms(3600));
        CHECK(accept_unconfirmed(registry, returned + REWRITE_TIME).size() == 2);
        CHECK(registry.entries.count("b") == 0);
    }
}

// Guards against two returns in a row, of which the second begins before the first is dealt with.
TEST_CASE("a second return gives targets as much time as the first one") {
    TargetEntry draining = entry("a");
    draining.draining = true;
    TargetRegistry registry = registry_of({entry("a"), entry("b")});
    upsert(registry, draining);
    replace_all(registry, {entry("a")}, ListOrigin::after_return, START);
    replace_all(registry, {entry("a"), entry("b")}, ListOrigin::after_return,
                START + from_ms(4000));
    CHECK(accept_unconfirmed(registry, START + from_ms(3999) + REWRITE_TIME).empty());
    CHECK(registry.entries.at("a").draining);
    CHECK(registry.entries.count("b") == 1);
    upsert(registry, draining);
    CHECK(registry.unconfirmed.count("a") == 0);
    replace_all(registry, {entry("a")}, ListOrigin::after_return, START + from_ms(9000));
    CHECK(registry.entries.at("a").draining);
}

// Guards against a target that is taken for restarted, and its connections for crashes, because an
// older copy of the store has the entry of an earlier start.
TEST_CASE("an entry of an earlier start replaces none of a later one, and is no restart") {
    TargetEntry restarted = entry("a");
    restarted.started_at_ms = 2;
    TargetRegistry registry = registry_of({entry("a")});
    CHECK(is_of_later_start(registry, restarted));
    upsert(registry, restarted);
    CHECK_FALSE(is_of_later_start(registry, restarted));
    CHECK_FALSE(is_of_later_start(registry, entry("a")));
    replace_all(registry, {entry("a")}, ListOrigin::after_return, START);
    replace_all(registry, {entry("a")}, ListOrigin::regular, START + from_ms(1000));
    CHECK(accept_unconfirmed(registry, START + REWRITE_TIME).empty());
    CHECK(registry.entries.at("a").started_at_ms == 2);
    CHECK(registry.unconfirmed.empty());
}

TEST_CASE("a target that is missing from an older copy is kept until it could register again") {
    TargetRegistry registry = registry_of({entry("a"), entry("b")});
    replace_all(registry, {entry("a")}, ListOrigin::after_return, START);
    CHECK(expire_missing(registry, START + REREGISTRATION_TIME - from_ms(1)).empty());
    CHECK(expire_missing(registry, START + REREGISTRATION_TIME).size() == 1);
}

TEST_CASE("what has left is forgotten after a minute") {
    TargetRegistry registry = registry_of({entry("a")});
    remove(registry, "a", START);
    const Time left = START + REMOVAL_GRACE;
    expire_missing(registry, left);
    expire_missing(registry, left + WITHDRAWAL_MEMORY);
    CHECK(registry.left.size() == 1);
    expire_missing(registry, left + WITHDRAWAL_MEMORY + from_ms(1));
    CHECK(registry.left.empty());
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
