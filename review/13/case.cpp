// Case 13: the store comes back from an older copy, and what it held of a request that crashes its
// searchers is gone; then machines are added.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <algorithm>

#include "../stand_in_3/world.h"

namespace {

using world::Json;

constexpr const char* HOST = "stands.example";
constexpr const char* SERVICE = "booking";
constexpr const char* BAD_PATH = "/stands/crash";
constexpr std::int64_t STABLE_MS = 4000;
constexpr std::int64_t DOWN_MS = 3000;
constexpr std::size_t MAX_RETRIES = 3;
constexpr std::size_t CRASHES = 3;
constexpr std::size_t FRONTS = 6;
constexpr std::size_t ADDED_FRONTS = 3;
constexpr std::size_t SEARCHERS = 9;
constexpr std::size_t LATER_RETRIES = 62;
constexpr std::int64_t RETRY_PAUSE_MS = 400;

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

using Searchers = std::vector<std::unique_ptr<FragileSearcher>>;

/// Sends the request that crashes its searchers to one front.
void send_bad(const world::Deployment& deployment, std::size_t front, const std::string& request_id,
              world::Record& record) {
    const world::FrontProcess& node = *deployment.fronts()[front];
    const world::Answer answer =
        world::send_once(node.address(), HOST, "GET", BAD_PATH, request_id, 4000);
    record.line(request_id + " at " + node.place().node + ": status " +
                std::to_string(answer.status));
}

void record_reports(const world::Store& store, world::Record& record) {
    record.line("crash reports in the store: " +
                std::to_string(store.count("ebonymount-quarantine")));
}

/// The store comes back from its copy, and the searchers write their entries again.
void return_from_copy(world::Store& store, const Searchers& searchers, world::Record& record) {
    store.set_away(true);
    record.line("the store is away");
    world::sleep_ms(1000);
    store.restore_copy();
    store.set_away(false);
    record.line("the store is back from the copy, revision " + std::to_string(store.revision()));
    for (const std::unique_ptr<FragileSearcher>& searcher : searchers) {
        searcher->register_again();
    }
}

/// Counts the retries that reached a searcher after that time.
std::size_t count_retries(const std::vector<world::Run>& runs, double after_ms,
                          world::Record& record) {
    int sendings = 0;
    std::set<std::string> retries;
    for (const world::Run& run : runs) {
        if (run.at_ms > after_ms) {
            ++sendings;
            retries.insert(run.request_id);
        }
    }
    record.line(
        "retries that reached a searcher later than stable_window_ms after the third crash: " +
        std::to_string(retries.size()) + ", in " + std::to_string(sendings) + " sendings");
    return retries.size();
}

Searchers start_searchers(world::Deployment& deployment, world::Record& record) {
    Searchers searchers;
    for (std::size_t i = 0; i < SEARCHERS; ++i) {
        searchers.push_back(std::make_unique<FragileSearcher>(
            "i-searcher-" + std::to_string(i), deployment.zone(i), deployment.searcher_port(i),
            deployment.store(), deployment.runs(), record));
    }
    return searchers;
}

int play(world::Record& record) {
    world::Deployment deployment(FRONTS + ADDED_FRONTS);
    world::Store& store = deployment.store();
    const Searchers searchers = start_searchers(deployment, record);
    store.put("config", "main",
              world::config(7, {{"stand-book", HOST, "/stands/", "idempotent", 4000, 400, SERVICE}},
                            {SERVICE}));
    if (!deployment.start_fronts(FRONTS, true)) {
        record.line("the fronts are not ready");
        return 2;
    }
    world::Clients clients({HOST, "GET", "/stands/7", 4000, 60});
    for (const std::unique_ptr<world::FrontProcess>& front : deployment.fronts()) {
        clients.start(front->address(), 2);
    }
    world::sleep_ms(8000);
    store.take_copy();
    record.line("a copy of the store is kept, revision " + std::to_string(store.revision()));

    // It comes again until the nodes refuse it.
    for (std::size_t i = 0; i < FRONTS; ++i) {
        send_bad(deployment, i, "first-" + std::to_string(i), record);
        world::sleep_ms(RETRY_PAUSE_MS);
    }
    const std::vector<world::Run> first = deployment.runs().all();
    if (first.size() < CRASHES) {
        record.line("too few searchers crashed, so the case says nothing");
        return 2;
    }
    const double counted_from_ms = first[CRASHES - 1].at_ms + static_cast<double>(STABLE_MS);
    world::sleep_ms(1000);
    record_reports(store, record);
    if (world::has_trouble()) {
        return_from_copy(store, searchers, record);
    } else {
        world::sleep_ms(1000);
    }
    world::sleep_ms(6000);
    if (!deployment.start_fronts(ADDED_FRONTS, false)) {
        record.line("the added fronts are not ready");
        return 2;
    }
    record.line("three machines are added");
    world::sleep_ms(2 * STABLE_MS);
    record_reports(store, record);
    // The request comes again, at any machine.
    for (std::size_t i = 0; i < LATER_RETRIES; ++i) {
        send_bad(deployment, (LATER_RETRIES - i) % deployment.fronts().size(),
                 "again-" + std::to_string(i), record);
        world::sleep_ms(RETRY_PAUSE_MS);
    }
    clients.stop();
    const std::vector<world::Answer> answers = clients.answers();
    record.line("other requests served: " +
                std::to_string(std::count_if(
                    answers.begin(), answers.end(),
                    [](const world::Answer& answer) { return answer.status == 200; })) +
                " of " + std::to_string(answers.size()));
    return count_retries(deployment.runs().all(), counted_from_ms, record) > MAX_RETRIES ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    return world::run_case(argc, argv, play);
}
