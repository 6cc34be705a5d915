// Case 11: the store comes back from a copy some seconds old, and the operator goes on.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include "../stand_in_3/world.h"

namespace {

constexpr const char* HOST = "catalogue.example";
constexpr const char* OLD_SERVICE = "catalogue-1";
constexpr const char* NEW_SERVICE = "catalogue-2";
constexpr std::size_t FRONTS = 6;
constexpr std::size_t ADDED_FRONTS = 2;
constexpr std::size_t SEARCHERS_EACH = 3;
constexpr std::int64_t WORK_MS = 10;
constexpr int PROBES_EACH = 5;
/// `config_apply_ms` and the longest stretch of it, `max_stretch_ms`.
constexpr std::int64_t APPLY_MS = 3000;
constexpr std::int64_t STRETCH_MS = 12000;
constexpr std::int64_t STABLE_MS = 4000;
constexpr std::int64_t CATCH_UP_MS = 4000;

using Searchers = std::vector<std::unique_ptr<world::Searcher>>;

world::RouteRow route(const std::string& name, const std::string& prefix,
                      const std::string& service) {
    return {name, HOST, prefix, "idempotent", 1200, 150, service};
}

world::Json config(std::int64_t version, const std::vector<world::RouteRow>& routes) {
    return world::config(version, routes, {OLD_SERVICE, NEW_SERVICE});
}

struct Probe {
    int served = 0;
    int unknown_route = 0;
    int other = 0;
    int run_by_old = 0;
};

/// Sends some requests to each front and counts what became of them.
Probe probe(const world::Deployment& deployment, const std::string& path, const std::string& label,
            world::Record& record) {
    Probe result;
    for (const std::unique_ptr<world::FrontProcess>& front : deployment.fronts()) {
        for (int i = 0; i < PROBES_EACH; ++i) {
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

void put_config(world::Store& store, const world::Json& spec, world::Record& record) {
    const std::int64_t revision = store.put("config", "main", spec);
    record.line("version " + spec.at("version").dump() + " is acknowledged, revision " +
                std::to_string(revision));
}

Searchers start_searchers(world::Deployment& deployment) {
    Searchers searchers;
    for (std::size_t i = 0; i < 2 * SEARCHERS_EACH; ++i) {
        searchers.push_back(std::make_unique<world::Searcher>(
            "i-searcher-" + std::to_string(i), i < SEARCHERS_EACH ? OLD_SERVICE : NEW_SERVICE,
            deployment.zone(i), WORK_MS, deployment.runs()));
        deployment.store().put("servers", searchers.back()->id(), searchers.back()->entry("ready"));
    }
    return searchers;
}

/// Machines are added, which register, and the operator adds a route. False if the machines do not
/// get ready.
bool change_and_lose(world::Deployment& deployment, world::Record& record) {
    world::Store& store = deployment.store();
    store.take_copy();
    record.line("a copy of the store is kept, revision " + std::to_string(store.revision()));
    if (!deployment.start_fronts(ADDED_FRONTS, false)) {
        return false;
    }
    const double registered_by = world::now_ms() + 5000;
    while (store.count("ebonymount-nodes") < FRONTS + ADDED_FRONTS &&
           world::now_ms() < registered_by) {
        world::sleep_ms(50);
    }
    record.line("nodes registered: " + std::to_string(store.count("ebonymount-nodes")));
    const world::Json version_8 = config(
        8, {route("r-browse", "/browse/", OLD_SERVICE), route("r-check", "/check/", OLD_SERVICE)});
    put_config(store, version_8, record);
    world::sleep_ms(2500);
    if (world::has_trouble()) {
        store.set_away(true);
        record.line("the store is away");
        world::sleep_ms(1000);
        store.restore_copy();
        store.set_away(false);
        record.line("the store is back from the copy, revision " +
                    std::to_string(store.revision()));
        put_config(store, version_8, record);
    }
    return true;
}

/// No version names the old service any more, so its searchers leave.
void retire_old_service(Searchers& searchers, world::Store& store, world::Record& record) {
    record.line("the searchers of " + std::string(OLD_SERVICE) + " drain");
    for (std::size_t i = 0; i < SEARCHERS_EACH; ++i) {
        store.put("servers", searchers[i]->id(), searchers[i]->entry("draining"));
    }
    world::sleep_ms(6000);
    for (std::size_t i = 0; i < SEARCHERS_EACH; ++i) {
        store.remove("servers", searchers[i]->id());
        searchers[i]->exit();
    }
    world::sleep_ms(4000);
}

int play(world::Record& record) {
    world::Deployment deployment(FRONTS + ADDED_FRONTS);
    world::Store& store = deployment.store();
    Searchers searchers = start_searchers(deployment);
    put_config(store, config(7, {route("r-browse", "/browse/", OLD_SERVICE)}), record);
    if (!deployment.start_fronts(FRONTS, true)) {
        record.line("the fronts are not ready");
        return 2;
    }
    world::sleep_ms(8000);
    if (!change_and_lose(deployment, record)) {
        record.line("the added fronts are not ready");
        return 2;
    }
    world::sleep_ms(STABLE_MS + CATCH_UP_MS);
    const Probe before = probe(deployment, "/check/", "version-8", record);
    if (before.served == 0) {
        record.line("version 8 is not in force, so the case says nothing");
        return 2;
    }

    // The next version moves both routes to the new service and adds one.
    put_config(
        store,
        config(9, {route("r-browse", "/browse/", NEW_SERVICE),
                   route("r-check", "/check/", NEW_SERVICE), route("r-new", "/new/", NEW_SERVICE)}),
        record);
    world::sleep_ms(APPLY_MS + STRETCH_MS);
    const Probe moved = probe(deployment, "/browse/", "version-9", record);
    const Probe added = probe(deployment, "/new/", "version-9", record);
    retire_old_service(searchers, store, record);
    const Probe after = probe(deployment, "/browse/", "old-service-gone", record);
    const bool broken = moved.run_by_old > 0 || added.unknown_route > 0;
    record.line(std::string("CONFIG ") + (broken ? "broken" : "held") +
                "; after the old searchers left, " + std::to_string(after.served) + " of " +
                std::to_string(PROBES_EACH * static_cast<int>(deployment.fronts().size())) +
                " requests were served");
    return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    return world::run_case(argc, argv, play);
}
