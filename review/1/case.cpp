// REFUSED: after a freeze, a node sends a non-idempotent request to a searcher and answers it 503.
//
// One node, three searchers that are full now and then, and clients that book. The node is frozen
// and woken. Each request that was answered 429, 503, 408 or 421 must not have run.
#include <csignal>
#include <iostream>

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
    std::vector<Sent> sent;
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
        Sent sent;
        sent.id = "c" + std::to_string(number) + "-" + std::to_string(attempt);
        const std::optional<Message> answer =
            ask(*connection, request_text("POST", sent.id, DEADLINE_MS), DEADLINE_MS, sent, record);
        {
            const std::lock_guard<std::mutex> lock(traffic.mutex);
            traffic.sent.push_back(sent);
        }
        if (!answer.has_value() || answer->header("connection") == "close") {
            connection.reset();
        }
        const std::string retry_after = answer.has_value() ? answer->header("retry-after") : "";
        if (!retry_after.empty()) {
            std::this_thread::sleep_for(
                Milliseconds(static_cast<int>(std::stod(retry_after) * 1000.0)));
        }
    }
}

/// Number of requests that were answered as not run and have run.
int count_broken(const std::vector<Sent>& all_sent, Deployment& deployment) {
    int broken = 0;
    for (const Sent& sent : all_sent) {
        const int status = sent.status;
        if (status != 429 && status != 503 && status != 408 && status != 421) {
            continue;
        }
        for (const std::unique_ptr<Searcher>& searcher : deployment.searchers()) {
            if (searcher->runs().count(sent.id) > 0) {
                ++broken;
                deployment.record().add("BROKEN: " + sent.id + " was answered " +
                                        std::to_string(status) + " and ran at " +
                                        searcher->parameters().id);
            }
        }
    }
    return broken;
}

int run_case(const std::string& record_path) {
    DeploymentParameters parameters;
    parameters.searcher = {"i-book", "booking", "lowlands-a"};
    parameters.searchers = 3;
    parameters.nodes = 1;
    parameters.route.type = "non_idempotent";
    parameters.route.timeout_ms = 1000;
    parameters.route.max_connections = 96;
    Deployment deployment(record_path, parameters);
    Node& node = *deployment.nodes().front();
    const std::int64_t start_ms = now_ms();
    Traffic traffic;
    std::vector<std::thread> clients;
    clients.reserve(CLIENTS);
    for (int i = 0; i < CLIENTS; ++i) {
        clients.emplace_back(run_client, i, std::cref(node), start_ms + TRAFFIC_MS,
                             std::ref(traffic), std::ref(deployment.record()));
    }
    for (int i = 0; has_trouble() && i < FREEZES; ++i) {
        sleep_until_ms(start_ms + FIRST_FREEZE_MS + i * FREEZE_INTERVAL_MS);
        deployment.record().add("node freezes");
        node.signal(SIGSTOP);
        std::this_thread::sleep_for(Milliseconds(FREEZE_MS));
        deployment.record().add("node wakes");
        node.signal(SIGCONT);
    }
    for (std::thread& client : clients) {
        client.join();
    }
    std::this_thread::sleep_for(Milliseconds(WATCH_AFTER_MS));
    Share share;
    for (const Sent& sent : traffic.sent) {
        share.add(sent);
    }
    const int broken = count_broken(traffic.sent, deployment);
    std::cout << share.text() << "\nanswered as not run, and run: " << broken << '\n';
    if (node.has_ended() || share.value() == 0.0) {
        return COULD_NOT_RUN;
    }
    return broken > 0 ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

int main(int argc, char** argv) {
    return run_program(argc, argv, run_case);
}
