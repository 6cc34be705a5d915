// REFUSED: after a freeze, a node sends a non-idempotent request to a searcher and answers it 503.
//
// One node, three searchers that are full now and then, and clients that book. The node is frozen
// and woken. Each request that was answered 429, 503, 408 or 421 must not have run.
#include <csignal>
#include <iostream>
#include <set>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr int CLIENTS = 40;
constexpr int DEADLINE_MS = 4000;
constexpr std::int64_t TRAFFIC_MS = 32000;
constexpr std::int64_t FIRST_FREEZE_MS = 3000;
constexpr std::int64_t FREEZE_INTERVAL_MS = 6000;
constexpr int FREEZES = 5;
constexpr std::int64_t FREEZE_MS = 2000;
/// How long searchers are watched for requests that run after their refusal.
constexpr std::int64_t WATCH_AFTER_MS = 3000;

struct Traffic {
    std::mutex mutex;
    std::map<std::string, int> status_by_id;
    std::map<int, int> count_by_status;
};

/// Books again and again on a kept connection; each attempt has an id of its own.
void run_client(int number, const Node& node, std::int64_t until_ms, Traffic& traffic,
                Record& record) {
    std::unique_ptr<Connection> connection;
    for (int attempt = 0; now_ms() < until_ms; ++attempt) {
        if (connection == nullptr) {
            connection = Connection::open(node.ip(), node.port(), Milliseconds(1000));
            if (connection == nullptr) {
                std::this_thread::sleep_for(Milliseconds(100));
                continue;
            }
        }
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(attempt);
        record.add("client sends " + id);
        connection->send(request_text("POST", id, DEADLINE_MS));
        const std::optional<Message> answer = connection->read(Milliseconds(DEADLINE_MS));
        const int status = answer.has_value() ? answer->status() : 0;
        const std::string retry_after = answer.has_value() ? answer->header("retry-after") : "";
        record.add("client gets " + std::to_string(status) + " for " + id +
                   (retry_after.empty() ? "" : ", Retry-After " + retry_after));
        {
            const std::lock_guard<std::mutex> lock(traffic.mutex);
            traffic.status_by_id[id] = status;
            ++traffic.count_by_status[status];
        }
        if (!answer.has_value() || answer->header("connection") == "close") {
            connection.reset();
        }
        if (!retry_after.empty()) {
            std::this_thread::sleep_for(
                Milliseconds(static_cast<int>(std::stod(retry_after) * 1000.0)));
        }
    }
}

int run_case(const std::string& record_path) {
    Record record(record_path);
    const TemporaryFolder folder;
    const std::string ip = "127.0.0.1";
    Store store(ip);
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int i = 0; i < 3; ++i) {
        const SearcherParameters parameters{"i-book" + std::to_string(i), "booking", "lowlands-a"};
        searchers.push_back(std::make_unique<Searcher>(parameters, ip, record));
        store.put("servers", parameters.id, searchers.back()->entry());
    }
    RouteParameters route;
    route.type = "non_idempotent";
    route.service = "booking";
    route.timeout_ms = 1000;
    store.put("config", "main", config_of(route, 96));
    std::vector<std::unique_ptr<Node>> nodes;
    nodes.push_back(
        std::make_unique<Node>("front-a", ip, store.port(), folder.path(), "lowlands-a"));
    if (!wait_until_ready(nodes, Milliseconds(10000))) {
        std::cerr << "the node does not become ready\n";
        return COULD_NOT_RUN;
    }
    Node& node = *nodes.front();
    const std::int64_t start_ms = now_ms();
    Traffic traffic;
    std::vector<std::thread> clients;
    for (int i = 0; i < CLIENTS; ++i) {
        clients.emplace_back(run_client, i, std::cref(node), start_ms + TRAFFIC_MS,
                             std::ref(traffic), std::ref(record));
    }
    for (int i = 0; has_trouble() && i < FREEZES; ++i) {
        sleep_until_ms(start_ms + FIRST_FREEZE_MS + i * FREEZE_INTERVAL_MS);
        record.add("node freezes");
        node.signal(SIGSTOP);
        std::this_thread::sleep_for(Milliseconds(FREEZE_MS));
        record.add("node wakes");
        node.signal(SIGCONT);
    }
    for (std::thread& client : clients) {
        client.join();
    }
    std::this_thread::sleep_for(Milliseconds(WATCH_AFTER_MS));
    if (node.has_ended()) {
        std::cerr << "the node has ended\n";
        return COULD_NOT_RUN;
    }
    int broken = 0;
    for (const auto& [id, status] : traffic.status_by_id) {
        const bool promises = status == 429 || status == 503 || status == 408 || status == 421;
        for (const std::unique_ptr<Searcher>& searcher : searchers) {
            const std::map<std::string, int> runs = searcher->runs();
            if (promises && runs.count(id) > 0) {
                ++broken;
                record.add("BROKEN: " + id + " was answered " + std::to_string(status) +
                           " and ran at " + searcher->parameters().id);
            }
        }
    }
    for (const auto& [status, count] : traffic.count_by_status) {
        std::cout << "status " << status << ": " << count << '\n';
    }
    std::cout << "answered as not run, and run: " << broken << '\n';
    return traffic.count_by_status[200] == 0 ? COULD_NOT_RUN : broken > 0 ? RULE_BROKEN : RULE_HELD;
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
