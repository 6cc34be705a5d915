// RECOVER: a request that ran when all searchers of its service crashed is refused from then on.
//
// Three nodes, one service, and clients of which nine in ten ask for the same page. All searchers
// of the service crash and are back 4.5 s later; then all nodes are killed and started again. Of
// the requests that are sent later than `recovery_s` after that, a quarter must be served.
//
// TROUBLE=0 leaves both disruptions out, TROUBLE=kill only the crash of the searchers.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr int NODES = 3;
constexpr int SEARCHERS = 14;
constexpr int REQUESTS_PER_SECOND = 60;
constexpr int DEADLINE_MS = 5000;
constexpr std::int64_t CRASH_MS = 8000;
constexpr std::int64_t CRASH_LENGTH_MS = 4500;
constexpr std::int64_t KILL_MS = 15000;
constexpr std::int64_t DOWN_MS = 880;
constexpr std::int64_t RECOVERY_MS = 12000;
constexpr std::int64_t TRAFFIC_MS = 40000;
/// One request in this many asks for a page of its own, the others for the same one.
constexpr std::int64_t OWN_PAGE_INTERVAL = 10;
constexpr const char* COMMON_PAGE = "start";
/// Less than this share of the requests served after the recovery breaks the rule, if at least this
/// share was served before the final fault.
constexpr double MIN_SERVED_SHARE = 0.25;

struct Sent {
    std::int64_t sent_ms = 0;
    int status = 0;
};

struct Share {
    int sent = 0;
    int served = 0;
    std::map<int, int> count_by_status;

    void add(const Sent& request) {
        ++sent;
        served += request.status == 200 ? 1 : 0;
        ++count_by_status[request.status];
    }
    double value() const {
        return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
    }
    std::string text() const {
        std::string line = std::to_string(served) + " of " + std::to_string(sent) + " served;";
        for (const auto& [status, count] : count_by_status) {
            line += " " + std::to_string(status) + ": " + std::to_string(count);
        }
        return line;
    }
};

Sent send_request(const std::string& id, const std::string& page, const Node& node,
                  Record& record) {
    Sent sent;
    sent.sent_ms = now_ms();
    const std::unique_ptr<Connection> connection =
        Connection::open(node.ip(), node.port(), Milliseconds(1000));
    if (connection != nullptr) {
        record.add("client sends " + id + " for " + page + " to " + node.name());
        connection->send(request_text("GET", id, DEADLINE_MS, page));
        const std::optional<Message> answer = connection->read(Milliseconds(DEADLINE_MS));
        sent.status = answer.has_value() ? answer->status() : 0;
        record.add("client gets " + std::to_string(sent.status) + " for " + id +
                   (sent.status >= 500 ? ": " + answer->body : ""));
    }
    return sent;
}

/// All searchers of the service crash at once and are back after a while.
void crash_searchers(const std::vector<std::unique_ptr<Searcher>>& searchers, Store& store,
                     std::int64_t back_ms) {
    std::vector<std::thread> crashes;
    for (const std::unique_ptr<Searcher>& searcher : searchers) {
        crashes.emplace_back([&searcher] { searcher->crash(); });
    }
    for (std::thread& crash : crashes) {
        crash.join();
    }
    sleep_until_ms(back_ms);
    for (const std::unique_ptr<Searcher>& searcher : searchers) {
        searcher->restart();
        store.put("servers", searcher->parameters().id, searcher->entry());
    }
}

/// The final fault: all nodes are killed, and started again after a moment.
void kill_nodes(const std::vector<std::unique_ptr<Node>>& nodes, Record& record) {
    record.add("all nodes get SIGKILL");
    for (const std::unique_ptr<Node>& node : nodes) {
        node->signal(SIGKILL);
    }
    std::this_thread::sleep_for(Milliseconds(DOWN_MS));
    for (const std::unique_ptr<Node>& node : nodes) {
        while (!node->has_ended()) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
        node->restart();
    }
    record.add("all nodes are started again");
}

int run_case(const std::string& record_path) {
    Record record(record_path);
    const TemporaryFolder folder;
    const std::string ip = "127.0.0.1";
    Store store(ip);
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int i = 0; i < SEARCHERS; ++i) {
        SearcherParameters parameters{"i-socio" + std::to_string(i), "app-socio", "curitiba"};
        parameters.slots = 4;
        parameters.work = Milliseconds(120);
        searchers.push_back(std::make_unique<Searcher>(parameters, ip, record));
        store.put("servers", parameters.id, searchers.back()->entry());
    }
    RouteParameters route;
    route.service = "app-socio";
    route.timeout_ms = DEADLINE_MS;
    route.target_latency_ms = 500;
    store.put("config", "main", config_of(route, 45));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < NODES; ++i) {
        nodes.push_back(std::make_unique<Node>("front-curitiba-" + std::to_string(i + 1), ip,
                                               store.port(), folder.path(), "curitiba"));
    }
    if (!wait_until_ready(nodes, Milliseconds(10000))) {
        std::cerr << "the nodes do not become ready\n";
        return COULD_NOT_RUN;
    }
    const char* mode = std::getenv("TROUBLE");
    const bool kills_only = mode != nullptr && std::string(mode) == "kill";
    const std::int64_t start_ms = now_ms();
    std::int64_t back_ms = start_ms + KILL_MS + DOWN_MS;
    std::thread disruptions([&] {
        if (!has_trouble()) {
            return;
        }
        sleep_until_ms(start_ms + CRASH_MS);
        if (!kills_only) {
            crash_searchers(searchers, store, start_ms + CRASH_MS + CRASH_LENGTH_MS);
        }
        sleep_until_ms(start_ms + KILL_MS);
        kill_nodes(nodes, record);
        back_ms = now_ms();
    });
    std::mutex mutex;
    std::vector<Sent> all_sent;
    std::vector<std::thread> requests;
    const std::int64_t count = TRAFFIC_MS * REQUESTS_PER_SECOND / 1000;
    for (std::int64_t i = 0; i < count; ++i) {
        sleep_until_ms(start_ms + i * 1000 / REQUESTS_PER_SECOND);
        requests.emplace_back([&, i] {
            const std::string id = "r" + std::to_string(i);
            const bool has_own_page = i % OWN_PAGE_INTERVAL == 0;
            const Sent sent = send_request(id, has_own_page ? "page-" + id : COMMON_PAGE,
                                           *nodes[i % NODES], record);
            const std::lock_guard<std::mutex> lock(mutex);
            all_sent.push_back(sent);
        });
    }
    for (std::thread& request : requests) {
        request.join();
    }
    disruptions.join();
    Share before;
    Share after;
    for (const Sent& sent : all_sent) {
        if (sent.sent_ms < start_ms + KILL_MS) {
            before.add(sent);
        } else if (sent.sent_ms > back_ms + RECOVERY_MS) {
            after.add(sent);
        }
    }
    std::cout << "before the final fault: " << before.text()
              << "\nlater than recovery_s after it: " << after.text() << '\n';
    if (before.value() < MIN_SERVED_SHARE) {
        return COULD_NOT_RUN;
    }
    return after.value() < MIN_SERVED_SHARE ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run_case(argc > 1 ? argv[1] : "record.txt");
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return COULD_NOT_RUN;
    }
}
