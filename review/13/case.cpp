// Case 13: the store comes back from an older copy, and what it held of a request that crashes its
// searchers is gone; then machines are added.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <algorithm>
#include <cstdio>
#include <exception>

#include "../stand_in_3/world.h"

namespace {

using world::Json;

constexpr const char* HOST = "stands.example";
constexpr const char* SERVICE = "booking";
constexpr const char* BAD_PATH = "/stands/crash";
constexpr std::int64_t STABLE_MS = 4000;
constexpr std::int64_t DOWN_MS = 3000;
constexpr std::size_t MAX_RETRIES = 3;

/// A searcher that the request for `BAD_PATH` crashes; it is back after some seconds, under its id
/// and at its address.
class FragileSearcher {
public:
    FragileSearcher(std::string id, std::string zone, int port, world::Store& store,
                    world::RunLog& runs, world::Record& record)
        : m_id(std::move(id)),
          m_zone(std::move(zone)),
          m_port(port),
          m_store(store),
          m_runs(runs),
          m_record(record) {
        start();
        m_worker = std::thread([this] { work(); });
    }

    ~FragileSearcher() {
        m_ending = true;
        m_worker.join();
    }

    FragileSearcher(const FragileSearcher&) = delete;
    FragileSearcher& operator=(const FragileSearcher&) = delete;
    FragileSearcher(FragileSearcher&&) = delete;
    FragileSearcher& operator=(FragileSearcher&&) = delete;

    /// Writes its entry, as at its start and when the store has lost it.
    void register_again() {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_store.put("servers", m_id, entry());
    }

private:
    void start() {
        m_server = std::make_unique<world::Server>(
            "127.0.0.1", m_port, [this](const world::Message& request) { return serve(request); });
        m_born_ms = std::chrono::duration_cast<world::Milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
        register_again();
    }

    Json entry() const {
        return {{"service", SERVICE},     {"address", "127.0.0.1:" + std::to_string(m_port)},
                {"zone", m_zone},         {"version", "v1"},
                {"max_concurrency", 8},   {"state", "ready"},
                {"cold_remaining_ms", 0}, {"sequence", 1},
                {"born", m_born_ms}};
    }

    std::string serve(const world::Message& request) {
        const std::string request_id = request.header("X-Ebonymount-Request-Id");
        if (request.target == "/health") {
            return world::response_text(200, {{"X-Ebonymount-Instance-Id", m_id}}, "");
        }
        const std::string expected = request.header("X-Ebonymount-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            return world::response_text(421,
                                        {{"X-Ebonymount-Request-Id", request_id},
                                         {"X-Ebonymount-Not-Executed", "1"},
                                         {"X-Ebonymount-Instance-Id", m_id}},
                                        "");
        }
        if (request.target == BAD_PATH) {
            m_runs.add({world::now_ms(), m_id, SERVICE, request_id, request.body.size()});
            m_record.line(m_id + " begins to run " + request_id + " and crashes");
            m_crashed = true;
            m_server->stop();
            return "";
        }
        world::sleep_ms(20);
        return world::response_text(
            200,
            {{"X-Ebonymount-Request-Id", request_id},
             {"X-Ebonymount-Server-Stamp", m_id + "." + std::to_string(++m_answers)},
             {"X-Ebonymount-Server-Load", "0,0,8"}},
            "served\n");
    }

    void work() {
        double crashed_at = 0.0;
        while (!m_ending) {
            world::sleep_ms(20);
            if (m_crashed && crashed_at == 0.0) {
                crashed_at = world::now_ms();
            }
            if (m_crashed && world::now_ms() > crashed_at + DOWN_MS) {
                m_crashed = false;
                crashed_at = 0.0;
                start();
            }
        }
    }

    std::string m_id;
    std::string m_zone;
    int m_port;
    world::Store& m_store;
    world::RunLog& m_runs;
    world::Record& m_record;
    std::mutex m_mutex;
    std::int64_t m_born_ms = 0;
    std::atomic<int> m_answers{0};
    std::atomic<bool> m_crashed{false};
    std::atomic<bool> m_ending{false};
    std::unique_ptr<world::Server> m_server;
    std::thread m_worker;
};

int play(world::Record& record) {
    const bool trouble = world::has_trouble();
    std::vector<world::FrontPlace> places;
    const std::vector<std::string> zones = {"lowlands", "highlands", "borders"};
    std::vector<std::string> hosts = {"127.0.0.1"};
    for (std::size_t i = 0; i < 9; ++i) {
        const std::string& region = zones[i % 3];
        places.push_back({"front-" + region + "-a-" + std::to_string(i / 3 + 1),
                          "127.0.1." + std::to_string(i + 1), region + "-a", region});
        hosts.push_back(places.back().host);
    }
    const std::vector<int> free = world::free_ports(hosts, 30);
    const world::Ports ports{free[0], free[1], free[2], free[3]};
    world::Folder folder;
    world::RunLog runs;
    world::Store store("127.0.0.1");
    store.set_stale_by(800);
    std::vector<std::unique_ptr<FragileSearcher>> searchers;
    for (std::size_t i = 0; i < 9; ++i) {
        searchers.push_back(std::make_unique<FragileSearcher>("i-searcher-" + std::to_string(i),
                                                              places[i % 3].zone, free[20 + i],
                                                              store, runs, record));
    }
    const Json route = {{"name", "stand-book"},
                        {"hostname", HOST},
                        {"path_prefix", "/stands/"},
                        {"type", "idempotent"},
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
    world::Clients clients({HOST, "GET", "/stands/7", 4000, 60});
    for (const std::unique_ptr<world::FrontProcess>& front : fronts) {
        clients.start(front->address(), 2);
    }
    world::sleep_ms(8000);
    store.take_copy();
    record.line("a copy of the store is kept, revision " + std::to_string(store.revision()));

    const auto send_bad = [&](std::size_t front, const std::string& label, int number) {
        const world::Answer answer =
            world::send_once(fronts[front]->address(), HOST, "GET", BAD_PATH,
                             label + "-" + std::to_string(number), 4000);
        record.line(label + "-" + std::to_string(number) + " at " + fronts[front]->place().node +
                    ": status " + std::to_string(answer.status));
        return answer.status;
    };
    // It comes again until the nodes refuse it.
    for (int i = 0; i < 6; ++i) {
        send_bad(static_cast<std::size_t>(i) % 6, "first", i);
        world::sleep_ms(400);
    }
    const std::vector<world::Run> first = runs.all();
    if (first.size() < 3) {
        record.line("fewer than three searchers crashed, so the case says nothing");
        return 2;
    }
    const double third_crash_ms = first[2].at_ms;
    world::sleep_ms(1000);
    record.line("crash reports in the store: " +
                std::to_string(store.count("ebonymount-quarantine")));
    if (trouble) {
        store.set_away(true);
        record.line("the store is away");
        world::sleep_ms(1000);
        store.restore_copy();
        store.set_away(false);
        record.line("the store is back from the copy, revision " +
                    std::to_string(store.revision()));
        // What the searchers wrote is written again.
        for (const std::unique_ptr<FragileSearcher>& searcher : searchers) {
            searcher->register_again();
        }
    } else {
        world::sleep_ms(1000);
    }
    world::sleep_ms(6000);
    for (std::size_t i = 6; i < 9; ++i) {
        add_front(i, false);
    }
    if (!world::wait_until_ready(fronts, 10000)) {
        record.line("the added fronts are not ready");
        return 2;
    }
    record.line("three machines are added");
    world::sleep_ms(2 * STABLE_MS);
    record.line("crash reports in the store: " +
                std::to_string(store.count("ebonymount-quarantine")));
    // The request comes again, at any machine.
    for (int i = 0; i < 62; ++i) {
        send_bad(static_cast<std::size_t>(62 - i) % fronts.size(), "again", i);
        world::sleep_ms(400);
    }
    clients.stop();
    int sendings = 0;
    std::set<std::string> retries;
    for (const world::Run& run : runs.all()) {
        if (run.at_ms > third_crash_ms + static_cast<double>(STABLE_MS)) {
            ++sendings;
            retries.insert(run.request_id);
        }
    }
    const std::vector<world::Answer> answers = clients.answers();
    record.line("other requests served: " +
                std::to_string(std::count_if(
                    answers.begin(), answers.end(),
                    [](const world::Answer& answer) { return answer.status == 200; })) +
                " of " + std::to_string(answers.size()));
    record.line(
        "retries that reached a searcher later than stable_window_ms after the third crash: " +
        std::to_string(retries.size()) + ", in " + std::to_string(sendings) + " sendings");
    return retries.size() > MAX_RETRIES ? 1 : 0;
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
