// REFUSED: after a freeze, a node sends a non-idempotent request to a searcher and answers it 503.
//
// Three nodes, three searchers and clients that book. Now and then many clients come at once and
// the searchers are full for a moment; one node freezes then and wakes later. Each request that was
// answered 429, 503, 408 or 421 must not have run.
//
// TROUBLE=0 leaves both out, TROUBLE=burst only the freezes.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr std::size_t NODES = 3;
constexpr int DEADLINE_MS = 4000;
/// Requests a second over all nodes. The searchers can run 66.
constexpr double REQUESTS_PER_SECOND = 55.0;
/// While many clients come at once, that is multiplied by this.
constexpr double BURST = 1.7;
constexpr std::int64_t BURST_MS = 3000;
constexpr std::int64_t FIRST_BURST_MS = 3000;
constexpr std::int64_t BURST_INTERVAL_MS = 8000;
constexpr std::int64_t BURSTS = 10;
/// The freeze begins this long after the burst.
constexpr std::int64_t FREEZE_AT_MS = 2800;
constexpr std::int64_t FREEZE_MS = 2000;
constexpr std::int64_t TRAFFIC_MS = FIRST_BURST_MS + BURSTS * BURST_INTERVAL_MS;
/// How long searchers are watched for requests that run after their refusal.
constexpr std::int64_t WATCH_AFTER_MS = 3000;

bool is_burst(double at_ms) {
    const std::int64_t since_first = static_cast<std::int64_t>(at_ms) - FIRST_BURST_MS;
    return has_trouble() && since_first >= 0 && since_first % BURST_INTERVAL_MS < BURST_MS;
}

/// One booking on a new connection.
Sent book(const std::string& id, const Node& node, Record& record) {
    Sent sent;
    sent.id = id;
    const std::unique_ptr<Connection> connection =
        Connection::open(node.ip(), node.port(), Milliseconds(1000));
    if (connection != nullptr) {
        const std::string page = "stand-" + id;
        ask(*connection, request_text("POST", id, DEADLINE_MS, page), DEADLINE_MS, sent, record);
    }
    return sent;
}

/// Sends the bookings of all clients, and returns them once all have ended.
std::vector<Sent> run_traffic(Deployment& deployment, std::int64_t start_ms) {
    std::mutex mutex;
    std::vector<Sent> all_sent;
    std::vector<std::thread> bookings;
    double due_ms = 0.0;
    for (std::size_t i = 0; due_ms < static_cast<double>(TRAFFIC_MS); ++i) {
        sleep_until_ms(start_ms + static_cast<std::int64_t>(due_ms));
        bookings.emplace_back([&, i] {
            const Sent sent =
                book("r" + std::to_string(i), *deployment.nodes()[i % NODES], deployment.record());
            const std::lock_guard<std::mutex> lock(mutex);
            all_sent.push_back(sent);
        });
        due_ms += 1000.0 / (REQUESTS_PER_SECOND * (is_burst(due_ms) ? BURST : 1.0));
    }
    for (std::thread& booking : bookings) {
        booking.join();
    }
    return all_sent;
}

/// Freezes one node at the end of each burst, the nodes in turn.
void freeze_nodes(Deployment& deployment, std::int64_t start_ms) {
    for (std::int64_t i = 0; i < BURSTS; ++i) {
        Node& node = *deployment.nodes()[static_cast<std::size_t>(i) % NODES];
        sleep_until_ms(start_ms + FIRST_BURST_MS + i * BURST_INTERVAL_MS + FREEZE_AT_MS);
        deployment.record().add(node.name() + " freezes");
        node.signal(SIGSTOP);
        std::this_thread::sleep_for(Milliseconds(FREEZE_MS));
        deployment.record().add(node.name() + " wakes");
        node.signal(SIGCONT);
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
    parameters.nodes = static_cast<int>(NODES);
    parameters.route.type = "non_idempotent";
    parameters.route.timeout_ms = 1000;
    parameters.route.max_connections = 96;
    Deployment deployment(record_path, parameters);
    const char* mode = std::getenv("TROUBLE");
    const bool bursts_only = mode != nullptr && std::string(mode) == "burst";
    const std::int64_t start_ms = now_ms();
    std::thread freezes([&deployment, bursts_only, start_ms] {
        if (has_trouble() && !bursts_only) {
            freeze_nodes(deployment, start_ms);
        }
    });
    const std::vector<Sent> all_sent = run_traffic(deployment, start_ms);
    freezes.join();
    std::this_thread::sleep_for(Milliseconds(WATCH_AFTER_MS));
    Share share;
    for (const Sent& sent : all_sent) {
        share.add(sent);
    }
    const int broken = count_broken(all_sent, deployment);
    std::cout << share.text() << "\nanswered as not run, and run: " << broken << '\n';
    for (const std::unique_ptr<Node>& node : deployment.nodes()) {
        if (node->has_ended()) {
            return COULD_NOT_RUN;
        }
    }
    if (share.value() == 0.0) {
        return COULD_NOT_RUN;
    }
    return broken > 0 ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

int main(int argc, char** argv) {
    return run_program(argc, argv, run_case);
}
