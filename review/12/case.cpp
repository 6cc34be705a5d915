// Case 12: a searcher leaves while the store's reads with `allow_stale` are three seconds behind.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <iomanip>
#include <sstream>

#include "../stand_in_3/world.h"

namespace {

constexpr const char* HOST = "stands.example";
constexpr const char* SERVICE = "booking";
constexpr std::size_t FRONTS = 6;
constexpr std::size_t SEARCHERS = 9;
constexpr std::size_t DEPARTURES = 3;
constexpr std::int64_t WORK_MS = 90;
constexpr double DRAIN_MS = 3000.0;
/// "Continues serving for the same time": `drain_ms` after the acknowledgement, and a little
/// longer.
constexpr std::int64_t SERVES_ON_MS = 3500;
/// Network time of a request between a node and a searcher is far below this.
constexpr double SLACK_MS = 50.0;
constexpr std::int64_t TROUBLED_STALE_MS = 3000;
/// Time of calm before each searcher leaves.
constexpr std::int64_t CALM_MS = 25000;

struct Departure {
    std::string id;
    double acknowledged_ms = 0.0;
};

/// The entry of a searcher is removed; it serves on for a while, then its process ends.
Departure leave(world::Searcher& searcher, world::Store& store, world::Record& record) {
    const std::int64_t revision = store.remove("servers", searcher.id());
    const Departure departure{searcher.id(), world::now_ms()};
    record.line("the store acknowledged revision " + std::to_string(revision) + ": the entry of " +
                searcher.id() + " is gone");
    world::sleep_ms(SERVES_ON_MS);
    record.line(searcher.id() + " exits");
    searcher.exit();
    return departure;
}

/// Counts requests that began to run at a searcher later than `drain_ms` after its entry was gone.
int count_late(const std::vector<world::Run>& runs, const std::vector<Departure>& departures,
               world::Record& record) {
    int late = 0;
    for (const world::Run& run : runs) {
        for (const Departure& departure : departures) {
            const double after_ms = run.at_ms - departure.acknowledged_ms;
            if (run.searcher == departure.id && after_ms > DRAIN_MS + SLACK_MS) {
                ++late;
                std::ostringstream text;
                text << "request " << run.request_id << " ran at " << run.searcher << ", "
                     << std::fixed << std::setprecision(0) << after_ms
                     << " ms after the acknowledgement";
                record.line(text.str());
            }
        }
    }
    return late;
}

int count_unserved(const std::vector<world::Answer>& answers, world::Record& record) {
    int unserved = 0;
    for (const world::Answer& answer : answers) {
        if (answer.status != 200) {
            ++unserved;
            record.line("request " + answer.request_id + " sent at " +
                        std::to_string(answer.sent_ms / 1000.0) + " s: status " +
                        std::to_string(answer.status));
        }
    }
    return unserved;
}

int play(world::Record& record) {
    world::Deployment deployment(FRONTS);
    world::Store& store = deployment.store();
    if (world::has_trouble()) {
        store.set_stale_by(TROUBLED_STALE_MS);
        record.line("stale reads are 3,000 ms behind");
    } else {
        record.line("stale reads are 800 ms behind");
    }
    std::vector<std::unique_ptr<world::Searcher>> searchers;
    for (std::size_t i = 0; i < SEARCHERS; ++i) {
        searchers.push_back(std::make_unique<world::Searcher>("i-searcher-" + std::to_string(i),
                                                              SERVICE, deployment.zone(i), WORK_MS,
                                                              deployment.runs()));
        store.put("servers", searchers.back()->id(), searchers.back()->entry("ready"));
    }
    store.put(
        "config", "main",
        world::config(7, {{"stand-book", HOST, "/stands/", "non_idempotent", 4000, 400, SERVICE}},
                      {SERVICE}));
    if (!deployment.start_fronts(FRONTS, true)) {
        record.line("the fronts are not ready");
        return 2;
    }
    world::Clients clients({HOST, "POST", "/stands/7", 4000, 60});
    for (const std::unique_ptr<world::FrontProcess>& front : deployment.fronts()) {
        clients.start(front->address(), 3);
    }
    std::vector<Departure> departures;
    for (std::size_t i = 0; i < DEPARTURES; ++i) {
        world::sleep_ms(CALM_MS);
        departures.push_back(leave(*searchers[i], store, record));
    }
    world::sleep_ms(3000);
    clients.stop();
    const int late = count_late(deployment.runs().all(), departures, record);
    const std::vector<world::Answer> answers = clients.answers();
    const int unserved = count_unserved(answers, record);
    record.line("served " + std::to_string(static_cast<int>(answers.size()) - unserved) +
                ", not served " + std::to_string(unserved) + ", runs later than drain_ms " +
                std::to_string(late));
    return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    return world::run_case(argc, argv, play);
}
