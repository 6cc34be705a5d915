// Case 11: the store comes back from a copy some seconds old, and the operator goes on.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <cstdio>
#include <exception>

#include "../stand_in_3/world.h"

namespace {

using world::Json;

constexpr const char* HOST = "catalogue.example";
constexpr const char* OLD_SERVICE = "catalogue-1";
constexpr const char* NEW_SERVICE = "catalogue-2";
/// `config_apply_ms` and the longest stretch of it, `max_stretch_ms`.
constexpr std::int64_t APPLY_MS = 3000;
constexpr std::int64_t STRETCH_MS = 12000;
constexpr std::int64_t STABLE_MS = 4000;
constexpr std::int64_t CATCH_UP_MS = 4000;

Json route_row(const std::string& name, const std::string& prefix, const std::string& service) {
    return {{"name", name},          {"hostname", HOST},
            {"path_prefix", prefix}, {"type", "idempotent"},
            {"timeout_ms", 1200},    {"target_latency_ms", 150},
            {"priority", 1},         {"service", service},
            {"max_attempts", 2},     {"allowed_regions", Json::array()}};
}

Json config(std::int64_t version, const std::vector<Json>& routes) {
    return {{"version", version},
            {"routes", routes},
            {"services",
             Json::array({world::service_row(OLD_SERVICE), world::service_row(NEW_SERVICE)})},
            {"limits", world::limits_row()}};
}

struct Probe {
    std::string path;
    int served = 0;
    int unknown_route = 0;
    int other = 0;
    int run_by_old = 0;
};

/// Sends some requests to each front and counts what became of them.
Probe probe(const std::vector<std::unique_ptr<world::FrontProcess>>& fronts,
            const std::string& path, const std::string& label, world::Record& record) {
    Probe result{path, 0, 0, 0, 0};
    for (const std::unique_ptr<world::FrontProcess>& front : fronts) {
        for (int i = 0; i < 5; ++i) {
            const world::Answer answer =
                world::send_once(front->address(), HOST, "GET", path + "x",
                                 label + "-" + front->place().node + "-" + std::to_string(i), 1200);
            const bool by_old = answer.body.rfind(OLD_SERVICE, 0) == 0;
            result.served += answer.status == 200 ? 1 : 0;
            result.run_by_old += answer.status == 200 && by_old ? 1 : 0;
            result.unknown_route += answer.status == 404 ? 1 : 0;
            result.other += answer.status != 200 && answer.status != 404 ? 1 : 0;
            record.line("request " + answer.request_id + " for " + path + ": status " +
                        std::to_string(answer.status) + " " +
                        answer.body.substr(0, answer.body.find('\n')));
        }
    }
    record.line(label + " " + path + ": served " + std::to_string(result.served) +
                ", of these by " + OLD_SERVICE + " " + std::to_string(result.run_by_old) +
                ", 404 " + std::to_string(result.unknown_route) + ", other " +
                std::to_string(result.other));
    return result;
}

int play(world::Record& record) {
    const bool trouble = world::has_trouble();
    std::vector<world::FrontPlace> places;
    const std::vector<std::string> zones = {"lowlands", "highlands", "borders"};
    for (std::size_t i = 0; i < 8; ++i) {
        const std::string& region = zones[i % 3];
        places.push_back({"front-" + region + "-a-" + std::to_string(i / 3 + 1),
                          "127.0.1." + std::to_string(i + 1), region + "-a", region});
    }
    std::vector<std::string> hosts;
    for (const world::FrontPlace& place : places) {
        hosts.push_back(place.host);
    }
    const std::vector<int> free = world::free_ports(hosts, 20);
    const world::Ports ports{free[0], free[1], free[2], free[4]};
    world::Folder folder;
    world::RunLog runs;
    world::Store store("127.0.0.1");
    store.set_stale_by(800);
    std::vector<std::unique_ptr<world::Searcher>> searchers;
    for (std::size_t i = 0; i < 6; ++i) {
        searchers.push_back(std::make_unique<world::Searcher>("i-searcher-" + std::to_string(i),
                                                              i < 3 ? OLD_SERVICE : NEW_SERVICE,
                                                              places[i % 3].zone, 10, runs));
        store.put("servers", searchers.back()->id(), searchers.back()->entry("ready"));
    }
    store.put("config", "main", config(7, {route_row("r-browse", "/browse/", OLD_SERVICE)}));

    // Six machines; two more are added later.
    std::vector<std::unique_ptr<world::FrontProcess>> fronts;
    const auto add_front = [&](std::size_t i, bool bootstrap) {
        fronts.push_back(std::make_unique<world::FrontProcess>(places[i], ports, store.address(),
                                                               places, folder.path()));
        fronts.back()->start(bootstrap);
    };
    for (std::size_t i = 0; i < 6; ++i) {
        add_front(i, true);
    }
    if (!world::wait_until_ready(fronts, 10000)) {
        record.line("the fronts are not ready");
        return 2;
    }
    world::sleep_ms(8000);
    store.take_copy();
    record.line("a copy of the store is kept, revision " + std::to_string(store.revision()));

    // Within the next seconds: machines are added, which register, and the operator adds a route.
    for (std::size_t i = 6; i < 8; ++i) {
        add_front(i, false);
    }
    if (!world::wait_until_ready(fronts, 10000)) {
        record.line("the added fronts are not ready");
        return 2;
    }
    const double registered_by = world::now_ms() + 5000;
    while (store.count("ebonymount-nodes") < 8 && world::now_ms() < registered_by) {
        world::sleep_ms(50);
    }
    record.line("nodes registered: " + std::to_string(store.count("ebonymount-nodes")));
    const std::vector<Json> routes_8 = {route_row("r-browse", "/browse/", OLD_SERVICE),
                                        route_row("r-check", "/check/", OLD_SERVICE)};
    record.line("version 8 is acknowledged, revision " +
                std::to_string(store.put("config", "main", config(8, routes_8))));
    world::sleep_ms(2500);
    if (trouble) {
        store.set_away(true);
        record.line("the store is away");
        world::sleep_ms(1000);
        store.restore_copy();
        store.set_away(false);
        record.line("the store is back from the copy, revision " +
                    std::to_string(store.revision()));
        record.line("the operator writes version 8 again, revision " +
                    std::to_string(store.put("config", "main", config(8, routes_8))));
    }
    world::sleep_ms(STABLE_MS + CATCH_UP_MS);
    const Probe before = probe(fronts, "/check/", "version-8", record);

    // A calm store: the next version moves a route to another service and adds one.
    const std::vector<Json> routes_9 = {route_row("r-browse", "/browse/", NEW_SERVICE),
                                        route_row("r-check", "/check/", OLD_SERVICE),
                                        route_row("r-new", "/new/", NEW_SERVICE)};
    record.line("version 9 is acknowledged, revision " +
                std::to_string(store.put("config", "main", config(9, routes_9))));
    world::sleep_ms(APPLY_MS + STRETCH_MS);
    const Probe moved = probe(fronts, "/browse/", "version-9", record);
    const Probe added = probe(fronts, "/new/", "version-9", record);

    // The old service is no longer named for the first route, so its searchers leave.
    record.line("the searchers of " + std::string(OLD_SERVICE) + " drain");
    for (std::size_t i = 0; i < 3; ++i) {
        store.put("servers", searchers[i]->id(), searchers[i]->entry("draining"));
    }
    world::sleep_ms(6000);
    for (std::size_t i = 0; i < 3; ++i) {
        store.remove("servers", searchers[i]->id());
        searchers[i]->exit();
    }
    world::sleep_ms(4000);
    const Probe after = probe(fronts, "/browse/", "old-service-gone", record);
    if (before.served == 0) {
        record.line("version 8 was not in force before, so the case says nothing");
        return 2;
    }
    const bool broken = moved.run_by_old > 0 || added.unknown_route > 0;
    record.line(std::string("CONFIG ") + (broken ? "broken" : "held") +
                "; after the old searchers left, " + std::to_string(after.served) + " of " +
                std::to_string(5 * fronts.size()) + " requests were served");
    return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    try {
        world::Record record(argv[1]);
        return play(record);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
