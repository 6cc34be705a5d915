// LOST: one unreadable entry in the store ends every node, and each again when it starts.
//
// Three nodes, 14 searchers and clients on kept connections. Another writer puts an entry into the
// store's `servers` whose address is of another type: a list, nested deeply. The entry names no
// searcher to use; the others hold. The platform starts a process that has ended again after a
// second.
#include <iostream>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr int NODES = 3;
constexpr int CLIENTS = 30;
constexpr int DEADLINE_MS = 5000;
/// Pause of a client between two requests on its connection.
constexpr std::int64_t THINK_MS = 200;
constexpr std::int64_t ENTRY_MS = 6000;
constexpr std::int64_t TRAFFIC_MS = 20000;
constexpr std::int64_t RESTART_DELAY_MS = 1000;
/// Nesting of the entry's address. The entry has about 800 KB; the store takes 1 MiB.
constexpr std::size_t NESTING = 400000;
/// More requests than this, cut on kept connections after they were passed on, break the rule.
constexpr int ALLOWED_CUTS = 3;

struct Traffic {
    std::mutex mutex;
    std::vector<Sent> sent;
};

/// Asks again and again on a kept connection, and connects again when it has ended.
void run_client(int number, const Node& node, std::int64_t until_ms, Traffic& traffic,
                Record& record) {
    std::unique_ptr<Connection> connection;
    bool is_kept = false;
    for (int attempt = 0; now_ms() < until_ms; ++attempt) {
        std::this_thread::sleep_for(Milliseconds(THINK_MS));
        if (connection == nullptr || connection->is_closed_by_peer()) {
            connection = Connection::open(node.ip(), node.port(), Milliseconds(1000));
            is_kept = false;
        }
        Sent sent;
        sent.id = "c" + std::to_string(number) + "-" + std::to_string(attempt);
        sent.sent_ms = now_ms();
        sent.is_kept = is_kept;
        if (connection != nullptr) {
            const std::string page = "page-" + sent.id;
            const std::optional<Message> answer =
                ask(*connection, request_text("GET", sent.id, DEADLINE_MS, page), DEADLINE_MS, sent,
                    record);
            is_kept = answer.has_value();
            if (!answer.has_value() || answer->header("connection") == "close") {
                connection.reset();
            }
        }
        const std::lock_guard<std::mutex> lock(traffic.mutex);
        traffic.sent.push_back(sent);
    }
}

/// Starts processes that have ended again, as the platform does, and counts their ends.
class Restarter {
public:
    explicit Restarter(Deployment& deployment)
        : m_deployment(deployment), m_ends(NODES, 0), m_ended_ms(NODES, -1) {}

    void step() {
        for (std::size_t i = 0; i < NODES; ++i) {
            Node& node = *m_deployment.nodes()[i];
            if (node.has_ended() && m_ended_ms[i] < 0) {
                m_ended_ms[i] = now_ms();
                ++m_ends[i];
                m_deployment.record().add(node.name() + " has ended by itself, " + node.end_text());
            } else if (m_ended_ms[i] >= 0 && now_ms() > m_ended_ms[i] + RESTART_DELAY_MS) {
                m_ended_ms[i] = -1;
                node.restart();
                m_deployment.record().add(node.name() + " is started again");
            }
        }
    }

    /// Number of times that each node has ended.
    const std::vector<int>& ends() const {
        return m_ends;
    }

private:
    Deployment& m_deployment;
    std::vector<int> m_ends;
    std::vector<std::int64_t> m_ended_ms;
};

/// An entry of another writer; all fields but the address are as they should be.
void put_unreadable_entry(Deployment& deployment) {
    nlohmann::json entry = deployment.searchers().front()->entry();
    entry["address"] = "@";
    deployment.record().add("another writer puts servers/i-other");
    deployment.store().put_text("servers", "i-other", entry, "\"@\"",
                                std::string(NESTING, '[') + std::string(NESTING, ']'));
}

/// True if the rule counts the request: on a kept connection that closed without an answer after
/// the request had been passed on.
bool is_lost(const Sent& sent, Deployment& deployment) {
    const Searcher* searcher = deployment.searcher_reached_by(sent.id);
    if (!sent.was_cut || !sent.is_kept || searcher == nullptr) {
        return false;
    }
    deployment.record().add("BROKEN: " + sent.id + ", on a kept connection, was passed on to " +
                            searcher->parameters().id +
                            " and its connection closed without an answer");
    return true;
}

int run_case(const std::string& record_path) {
    DeploymentParameters parameters;
    parameters.searcher = {"i-socio", "app-socio", "curitiba"};
    parameters.searcher.slots = 4;
    parameters.searcher.work = Milliseconds(120);
    parameters.nodes = NODES;
    parameters.route.timeout_ms = DEADLINE_MS;
    parameters.route.target_latency_ms = 500;
    Deployment deployment(record_path, parameters);
    const std::int64_t start_ms = now_ms();
    Traffic traffic;
    std::vector<std::thread> clients;
    clients.reserve(CLIENTS);
    for (int i = 0; i < CLIENTS; ++i) {
        clients.emplace_back(run_client, i, std::cref(*deployment.nodes()[i % NODES]),
                             start_ms + TRAFFIC_MS, std::ref(traffic),
                             std::ref(deployment.record()));
    }
    Restarter restarter(deployment);
    bool has_entry = !has_trouble();
    while (now_ms() < start_ms + TRAFFIC_MS) {
        if (!has_entry && now_ms() >= start_ms + ENTRY_MS) {
            has_entry = true;
            put_unreadable_entry(deployment);
        }
        restarter.step();
        std::this_thread::sleep_for(Milliseconds(10));
    }
    for (std::thread& client : clients) {
        client.join();
    }
    Share before;
    Share after;
    int lost = 0;
    for (const Sent& sent : traffic.sent) {
        (sent.sent_ms < start_ms + ENTRY_MS ? before : after).add(sent);
        lost += is_lost(sent, deployment) ? 1 : 0;
    }
    std::cout << "before the entry: " << before.text() << "\nafter it: " << after.text()
              << "\nprocesses that ended by themselves:";
    for (const int count : restarter.ends()) {
        std::cout << ' ' << count;
    }
    std::cout << "\ncut on kept connections after they were passed on: " << lost << '\n';
    if (before.value() == 0.0) {
        return COULD_NOT_RUN;
    }
    return lost > ALLOWED_CUTS ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

int main(int argc, char** argv) {
    return run_program(argc, argv, run_case);
}
