// The store returns from an older copy: what it had acknowledged since is gone, and its revisions
// go back and are given out again. Each case runs until a condition holds; no check depends on
// elapsed time.
#include <catch2/catch.hpp>

#include "feed_fleet.h"
#include "front_fleet.h"
#include "platform/names.h"
#include "policy/store_return.h"

namespace ebonymount {
namespace {

namespace names = platform::names;

/// Changes that are lost in a return, and that raise the revision above those that follow it.
constexpr int LOST_CHANGES = 30;

/// The store is away, returns from its copy, and answers again.
void return_from_copy(standin::PlatformStore& store) {
    standin::PlatformFaults away = store.faults();
    const standin::PlatformFaults before = away;
    away.outage = standin::Outage::reset;
    store.set_faults(away);
    store.return_from_copy();
    store.set_faults(before);
}

/// Sends requests to each node all the time, and keeps what became of the latest ones.
class Prober {
public:
    Prober(FrontFleet& fleet, std::size_t nodes, std::vector<std::string> paths)
        : Prober(fleet, 0, nodes, std::move(paths)) {}
    /// For the nodes from `first` on, up to but without `end`.
    Prober(FrontFleet& fleet, std::size_t first, std::size_t end, std::vector<std::string> paths)
        : m_fleet(fleet), m_first(first), m_end(end), m_paths(std::move(paths)) {}

    void begin() {
        for (std::size_t node = m_first; node < m_end; ++node) {
            for (const std::string& path : m_paths) {
                send(node, path);
            }
        }
    }

    /// True if the latest response of each node for the path has that status.
    bool all_end_with(const std::string& path, int status) const {
        for (std::size_t node = m_first; node < m_end; ++node) {
            const auto found = m_statuses.find({node, path});
            if (found == m_statuses.end() || found->second != status) {
                return false;
            }
        }
        return true;
    }

    /// True if the latest requests for the path, some for each node, all arrived at the target, or
    /// none of them did.
    bool all_reach(const std::string& path, const std::string& target) const {
        const std::vector<std::string> reached = latest_targets(path);
        return std::count(reached.begin(), reached.end(), target) == LATEST;
    }
    bool none_reach(const std::string& path, const std::string& target) const {
        const std::vector<std::string> reached = latest_targets(path);
        return reached.size() == LATEST &&
               std::find(reached.begin(), reached.end(), target) == reached.end();
    }

    /// Number of requests for the path that ended with that status.
    std::size_t count_of(const std::string& path, int status) const {
        const auto found = m_counts.find({path, status});
        return found == m_counts.end() ? 0 : found->second;
    }

private:
    static constexpr std::size_t LATEST = 24;

    /// Targets of the latest requests for the path; at most `LATEST`.
    std::vector<std::string> latest_targets(const std::string& path) const {
        std::vector<std::string> targets;
        const std::vector<FleetArrival>& arrivals = m_fleet.arrivals();
        for (auto arrival = arrivals.rbegin();
             arrival != arrivals.rend() && targets.size() < LATEST; ++arrival) {
            if (arrival->path == path) {
                targets.push_back(arrival->target);
            }
        }
        return targets;
    }

    void send(std::size_t node, const std::string& path) {
        m_fleet.send(node, path, [this, node, path](int status, const std::string&) {
            m_statuses[{node, path}] = status;
            ++m_counts[{path, status}];
            m_fleet.run_after(from_ms(20), [this, node, path] { send(node, path); });
        });
    }

    FrontFleet& m_fleet;
    std::size_t m_first;
    std::size_t m_end;
    std::vector<std::string> m_paths;
    std::map<std::pair<std::string, int>, std::size_t> m_counts;
    std::map<std::pair<std::size_t, std::string>, int> m_statuses;
};

/// Requests that arrived at the target after the store's return and before its writers must have
/// written again.
std::ptrdiff_t count_before_rewriting(const FrontFleet& fleet, const std::string& target,
                                      Time returned) {
    return std::count_if(fleet.arrivals().begin(), fleet.arrivals().end(),
                         [&](const FleetArrival& arrival) {
                             return arrival.target == target && arrival.at >= returned &&
                                    arrival.at < returned + REWRITE_TIME;
                         });
}

}  // namespace

// Guards against deciding by revisions alone what is newer: changes of all kinds after such a
// return were dropped, as their revisions were lower than those before it.
TEST_CASE("changes after the store returned from an older copy reach nodes and their followers") {
    const std::vector<std::pair<platform::Kind, const char*>> changed = {
        {platform::Kind::config, names::CONFIG_NAME},
        {platform::Kind::targets, "t0"},
        {platform::Kind::evacuations, "east"},
        {platform::Kind::quarantine, "r0"}};
    const nlohmann::json spec = {{"version", 2}};
    FeedFleet fleet;
    const auto lose_changes = [&fleet] {
        fleet.store.take_copy();
        for (int i = 0; i < LOST_CHANGES; ++i) {
            fleet.add_target("lost");
        }
    };
    const auto change = [&] {
        return_from_copy(fleet.store);
        for (const auto& [kind, name] : changed) {
            fleet.store.put(platform::name_of(kind), name, spec);
        }
    };
    const auto missing = [&] {
        std::vector<std::string> found;
        for (const auto& [kind, name] : changed) {
            for (const std::string& node : fleet.nodes_without(kind, name, spec)) {
                found.push_back(std::string(platform::name_of(kind)) + " at " + node);
            }
        }
        return found;
    };
    CHECK(fleet.run_steps(
        {{[&fleet] { return fleet.is_settled() && fleet.all_have_target("t0"); }, lose_changes},
         {[&fleet] { return fleet.all_have_target("lost"); }, change},
         {[&missing] { return missing().empty(); }, nullptr},
         {[&fleet] { return fleet.follower_count() == FOLLOWERS; }, nullptr}}));
    CHECK_THAT(missing(), Catch::Matchers::Equals(std::vector<std::string>{}));
    CHECK_FALSE(fleet.all_have_target("lost"));
}

// Guards against the incident of 7 December: after such a return nodes went on with the old
// configuration (CONFIG, HOME, DENIED) and with targets that were leaving (DRAIN).
TEST_CASE("nodes obey routes, homes and leaving targets that change after such a return") {
    constexpr std::size_t NODE_COUNT = 3;
    const FleetRoute before = {"book", {"old"}};
    FrontFleet fleet(NODE_COUNT);
    fleet.add_targets("old", 3);
    fleet.add_targets("new", 1);
    fleet.add_targets("leaving", 2);
    fleet.add_targets("witness", 2);
    const std::vector<FleetRoute> unchanged = {{"leave", {"leaving"}}, {"witness", {"witness"}}};
    const auto publish = [&](std::vector<FleetRoute> routes) {
        routes.insert(routes.end(), unchanged.begin(), unchanged.end());
        fleet.publish_routes(routes);
    };
    fleet.start({before, unchanged[0], unchanged[1]});
    Prober prober(fleet, NODE_COUNT, {"/book/1", "/check/1", "/added/1", "/leave/1", "/witness/1"});
    const auto lose_changes = [&] {
        fleet.store().take_copy();
        for (int i = 0; i < LOST_CHANGES; ++i) {
            fleet.set_target_state("new-0", "ready");
        }
        fleet.set_target_state("leaving-0", "ready");
        // Shows when nodes have received all changes of targets before it.
        fleet.set_target_state("witness-0", "draining");
        publish({before, {"check", {"old"}}});
    };
    const auto change = [&] {
        return_from_copy(fleet.store());
        fleet.publish_again(names::CONFIG_KIND, names::CONFIG_NAME);
        for (const char* target : {"new-0", "leaving-0", "witness-0"}) {
            fleet.publish_again(names::TARGETS_KIND, target);
        }
        FleetRoute moved_home = {"check", {"old"}};
        moved_home.regions = {"west"};
        publish({{"book", {"new"}}, moved_home, {"added", {"new"}}});
        fleet.set_target_state("leaving-0", "draining");
    };
    CHECK(fleet.run_steps({{[&] { return fleet.is_ready(); },
                            [&prober] {
                                prober.begin();
                            }},
                           {[&] { return prober.all_end_with("/book/1", 200); }, lose_changes},
                           {[&] {
                                return prober.all_end_with("/check/1", 200) &&
                                       prober.all_reach("/witness/1", "witness-1");
                            },
                            change},
                           {[&] { return prober.all_end_with("/added/1", 200); }, nullptr},
                           {[&] { return prober.all_reach("/book/1", "new-0"); }, nullptr},
                           {[&] { return prober.all_reach("/check/1", "old-1"); }, nullptr},
                           {[&] { return prober.all_reach("/leave/1", "leaving-1"); }, nullptr}}));
    // Shows which of the steps failed.
    CHECK(prober.all_end_with("/added/1", 200));
    CHECK(prober.all_reach("/book/1", "new-0"));
    CHECK(prober.all_reach("/check/1", "old-1"));
    CHECK(prober.all_reach("/leave/1", "leaving-1"));
}

// Guards against an older copy that brings back what was withdrawn after it: a target that is
// draining (DRAIN) and a data centre that is out of service (EVAC), until that is written again.
TEST_CASE(
    "targets that were withdrawn before such a return are not used because the copy has them") {
    constexpr std::size_t NODE_COUNT = 3;
    constexpr std::size_t REQUESTS = 300;
    FrontFleet fleet(NODE_COUNT);
    fleet.add_targets("leaving", 2);
    fleet.add_targets("evacuated", 3);
    fleet.start({{"leave", {"leaving"}}, {"evacuate", {"evacuated"}}});
    Prober prober(fleet, NODE_COUNT, {"/leave/1", "/evacuate/1"});
    Time returned = Time::max();
    const auto withdraw = [&fleet] {
        fleet.store().take_copy();
        fleet.set_target_state("leaving-0", "draining");
        fleet.store().put(names::EVACUATIONS_KIND, "north", nlohmann::json::object());
    };
    const auto go_back = [&] {
        returned = monotonic_now();
        return_from_copy(fleet.store());
    };
    const auto count_since_return = [&](const std::string& target) {
        return count_before_rewriting(fleet, target, returned);
    };
    const auto has_enough_requests = [&] {
        return monotonic_now() >= returned + REWRITE_TIME ||
               (fleet.requests_reaching_targets("/leave/1", returned) >= REQUESTS &&
                fleet.requests_reaching_targets("/evacuate/1", returned) >= REQUESTS);
    };
    CHECK(fleet.run_steps({{[&] { return fleet.is_ready(); },
                            [&prober] {
                                prober.begin();
                            }},
                           {[&] {
                                return prober.all_end_with("/leave/1", 200) &&
                                       prober.all_end_with("/evacuate/1", 200);
                            },
                            withdraw},
                           {[&] {
                                return prober.all_reach("/leave/1", "leaving-1") &&
                                       prober.none_reach("/evacuate/1", "evacuated-2");
                            },
                            go_back},
                           {has_enough_requests, nullptr}}));
    CHECK(count_since_return("leaving-0") == 0);
    CHECK(count_since_return("evacuated-2") == 0);
    CHECK(count_since_return("leaving-1") > 0);
}

// Guards against a node that starts after such a return and takes the copy for the truth: it used
// what was withdrawn (DRAIN, EVAC) and refused a route that was added (DENIED) after the copy.
TEST_CASE("a node that starts after such a return learns from others what the copy lacks") {
    constexpr std::size_t OLD_NODES = 3;
    constexpr std::size_t ADDED_NODE = 3;
    constexpr std::size_t REQUESTS = 200;
    // Both in the data centre of the added node, which prefers it.
    const bool is_target_withdrawn = GENERATE(true, false);
    CAPTURE(is_target_withdrawn);
    FrontFleet fleet(OLD_NODES + 1);
    fleet.hold_back(ADDED_NODE);
    fleet.add_targets("leaving", 2);
    fleet.add_targets("evacuated", 3);
    const std::vector<FleetRoute> routes = {{"leave", {"leaving"}}, {"evacuate", {"evacuated"}}};
    fleet.start(routes);
    const std::vector<std::string> paths = {"/leave/1", "/evacuate/1", "/added/1"};
    Prober before(fleet, 0, OLD_NODES, paths);
    Prober after(fleet, ADDED_NODE, ADDED_NODE + 1, paths);
    const auto change = [&] {
        fleet.store().take_copy();
        if (is_target_withdrawn) {
            fleet.set_target_state("leaving-0", "draining");
        } else {
            fleet.store().put(names::EVACUATIONS_KIND, "east", nlohmann::json::object());
        }
        fleet.publish_routes({routes[0], routes[1], {"added", {"leaving"}}});
    };
    Time returned = Time::max();
    const auto go_back = [&] {
        returned = monotonic_now();
        return_from_copy(fleet.store());
        fleet.start_node(ADDED_NODE);
    };
    const auto count_since_return = [&](const std::string& target) {
        return count_before_rewriting(fleet, target, returned);
    };
    const auto has_enough_requests = [&] {
        const bool is_over = monotonic_now() >= returned + REWRITE_TIME;
        return (is_over && after.count_of("/added/1", 200) > 0) ||
               std::all_of(paths.begin(), paths.end(), [&](const std::string& path) {
                   return after.count_of(path, 200) >= REQUESTS;
               });
    };
    CHECK(fleet.run_steps({{[&] { return fleet.is_ready(); },
                            [&before] {
                                before.begin();
                            }},
                           {[&] { return before.all_end_with("/evacuate/1", 200); }, change},
                           {[&] {
                                return before.all_end_with("/added/1", 200) &&
                                       before.none_reach("/leave/1", "leaving-0") &&
                                       (is_target_withdrawn ||
                                        before.none_reach("/evacuate/1", "evacuated-0"));
                            },
                            go_back},
                           {[&] { return fleet.is_ready(); },
                            [&after] {
                                after.begin();
                            }},
                           {has_enough_requests, nullptr}}));
    CHECK(count_since_return("leaving-0") == 0);
    CHECK((is_target_withdrawn || count_since_return("evacuated-0") == 0));
    CHECK(after.count_of("/added/1", 404) == 0);
    CHECK(after.count_of("/added/1", 200) > 0);
}

}  // namespace ebonymount
