// Case 12: a searcher leaves while the store's reads with `allow_stale` are three seconds behind.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <cstdio>
#include <exception>

#include "../stand_in_3/world.h"

namespace {

using world::Json;

constexpr const char* HOST = "stands.example";
constexpr const char* SERVICE = "booking";
constexpr double DRAIN_MS = 3000.0;
/// "Continues serving for the same time": `drain_ms` after the acknowledgement, and a little
/// longer.
constexpr std::int64_t SERVES_ON_MS = 3500;
/// Network time of a request between a node and a searcher is far below this.
constexpr double SLACK_MS = 50.0;
constexpr std::int64_t USUAL_STALE_MS = 800;
constexpr std::int64_t TROUBLED_STALE_MS = 3000;
/// Time of calm before each searcher leaves.
constexpr std::int64_t CALM_MS = 25000;

int play(world::Record& record) {
    const bool trouble = world::has_trouble();
    record.line(trouble ? "stale reads are 3,000 ms behind" : "stale reads are 800 ms behind");
    const std::vector<world::FrontPlace> places = {
        {"front-lowlands-a-1", "127.0.1.1", "lowlands-a", "lowlands"},
        {"front-highlands-a-1", "127.0.1.2", "highlands-a", "highlands"},
        {"front-borders-a-1", "127.0.1.3", "borders-a", "borders"},
        {"front-lowlands-a-2", "127.0.1.4", "lowlands-a", "lowlands"},
        {"front-highlands-a-2", "127.0.1.5", "highlands-a", "highlands"},
        {"front-borders-a-2", "127.0.1.6", "borders-a", "borders"}};
    std::vector<std::string> hosts;
    for (const world::FrontPlace& place : places) {
        hosts.push_back(place.host);
    }
    const std::vector<int> free = world::free_ports(hosts, 20);
    const world::Ports ports{free[0], free[1], free[2], free[4]};
    world::Folder folder;
    world::RunLog runs;
    world::Store store("127.0.0.1");
    store.set_stale_by(trouble ? TROUBLED_STALE_MS : USUAL_STALE_MS);
    std::vector<std::unique_ptr<world::Searcher>> searchers;
    for (std::size_t i = 0; i < 9; ++i) {
        searchers.push_back(std::make_unique<world::Searcher>(
            "i-searcher-" + std::to_string(i), SERVICE, places[i % 3].zone, 90, runs));
        store.put("servers", searchers.back()->id(), searchers.back()->entry("ready"));
    }
    const Json route = {{"name", "stand-book"},
                        {"hostname", HOST},
                        {"path_prefix", "/stands/"},
                        {"type", "non_idempotent"},
                        {"timeout_ms", 4000},
                        {"target_latency_ms", 400},
                        {"priority", 2},
                        {"service", SERVICE},
                        {"max_attempts", 2},
                        {"allowed_regions", Json::array()}};
    store.put("config", "main",
              {{"version", 7},
               {"routes", Json::array({route})},
               {"services", Json::array({world::service_row(SERVICE)})},
               {"limits", world::limits_row()}});
    std::vector<std::unique_ptr<world::FrontProcess>> fronts;
    for (const world::FrontPlace& place : places) {
        fronts.push_back(std::make_unique<world::FrontProcess>(place, ports, store.address(),
                                                               places, folder.path()));
        fronts.back()->start(true);
    }
    if (!world::wait_until_ready(fronts, 10000)) {
        record.line("the fronts are not ready");
        return 2;
    }
    world::Clients clients({HOST, "POST", "/stands/7", 4000, 60});
    for (const std::unique_ptr<world::FrontProcess>& front : fronts) {
        clients.start(front->address(), 3);
    }
    struct Departure {
        std::string id;
        double acknowledged_ms = 0.0;
    };
    std::vector<Departure> departures;
    for (std::size_t i = 0; i < 3; ++i) {
        world::sleep_ms(CALM_MS);
        world::Searcher& searcher = *searchers[i];
        const std::int64_t revision = store.remove("servers", searcher.id());
        departures.push_back({searcher.id(), world::now_ms()});
        record.line("the store acknowledged revision " + std::to_string(revision) +
                    ": the entry of " + searcher.id() + " is gone");
        world::sleep_ms(SERVES_ON_MS);
        record.line(searcher.id() + " exits");
        searcher.exit();
    }
    world::sleep_ms(3000);
    clients.stop();
    int late = 0;
    for (const world::Run& run : runs.all()) {
        for (const Departure& departure : departures) {
            if (run.searcher == departure.id &&
                run.at_ms > departure.acknowledged_ms + DRAIN_MS + SLACK_MS) {
                ++late;
                char text[160];
                std::snprintf(text, sizeof text,
                              "request %s ran at %s, %.0f ms after the acknowledgement",
                              run.request_id.c_str(), run.searcher.c_str(),
                              run.at_ms - departure.acknowledged_ms);
                record.line(text);
            }
        }
    }
    int unserved = 0;
    std::size_t served = 0;
    for (const world::Answer& answer : clients.answers()) {
        if (answer.status == 200) {
            ++served;
        } else {
            ++unserved;
            record.line("request " + answer.request_id + " sent at " +
                        std::to_string(answer.sent_ms / 1000.0) + " s: status " +
                        std::to_string(answer.status));
        }
    }
    record.line("served " + std::to_string(served) + ", not served " + std::to_string(unserved) +
                ", runs later than drain_ms " + std::to_string(late));
    return late > 0 ? 1 : 0;
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
