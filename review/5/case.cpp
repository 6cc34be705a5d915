// LOST: a stopping node goes on taking requests until it exits, and cuts those that are open then.
//
// A zone with three nodes, which get SIGTERM one second apart and are started again, a rolling
// restart. While the balancer has one node of three in rotation, fewer than half, it forwards new
// connections to all three. A request that a node passed on to a searcher must be answered.
#include <csignal>
#include <iostream>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr int NODES = 3;
/// Clients send this many requests a second in all, each on a new connection.
constexpr int REQUESTS_PER_SECOND = 84;
constexpr int DEADLINE_MS = 5000;
constexpr std::int64_t TRAFFIC_MS = 16000;
constexpr std::int64_t FIRST_TERM_MS = 5000;
constexpr std::int64_t TERM_GAP_MS = 1000;
/// The platform starts a process again this long after it has ended.
constexpr std::int64_t RESTART_DELAY_MS = 1000;
constexpr std::int64_t GRACE_MS = 6000;
/// The rule covers requests until this long after the grace period.
constexpr std::int64_t RULE_END_MS = 1000;
/// A request that was sent later than this after the SIGTERM is not excused by a searcher that is
/// still at work when the grace period ends.
constexpr std::int64_t EXCUSE_UNTIL_MS = 3000;

/// The platform's balancer: asks each node once a second whether it is ready.
class Balancer {
public:
    explicit Balancer(const std::vector<std::unique_ptr<Node>>& nodes)
        : m_nodes(nodes), m_misses(nodes.size(), 0), m_asker([this] { ask(); }) {}
    ~Balancer() {
        m_stopping = true;
        m_asker.join();
    }
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    Balancer(Balancer&&) = delete;
    Balancer& operator=(Balancer&&) = delete;

    /// The node that a new connection of the client is forwarded to. If fewer than half of the
    /// zone's nodes are in rotation, all of them are used.
    std::size_t choose(std::size_t client) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::size_t> in_rotation;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_misses[i] < MAX_MISSES) {
                in_rotation.push_back(i);
            }
        }
        if (2 * in_rotation.size() < m_nodes.size()) {
            return client % m_nodes.size();
        }
        return in_rotation[client % in_rotation.size()];
    }

private:
    static constexpr int MAX_MISSES = 2;

    void ask() {
        while (!m_stopping) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const bool ready = m_nodes[i]->is_ready();
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_misses[i] = ready ? 0 : m_misses[i] + 1;
            }
            std::this_thread::sleep_for(Milliseconds(1000));
        }
    }

    const std::vector<std::unique_ptr<Node>>& m_nodes;
    std::mutex m_mutex;
    std::vector<int> m_misses;
    std::atomic<bool> m_stopping = false;
    std::thread m_asker;
};

/// Each node gets SIGTERM in turn, and SIGKILL after the grace period if it has not ended; it is
/// started again a moment later. Sets the time of each SIGTERM.
class RollingRestart {
public:
    RollingRestart(Deployment& deployment, std::int64_t start_ms)
        : m_deployment(deployment), m_term_ms(NODES) {
        for (std::size_t i = 0; has_trouble() && i < NODES; ++i) {
            m_stops.emplace_back([this, i, start_ms] {
                stop(i, start_ms + FIRST_TERM_MS + static_cast<std::int64_t>(i) * TERM_GAP_MS,
                     start_ms + TRAFFIC_MS);
            });
        }
    }
    ~RollingRestart() {
        for (std::thread& stop : m_stops) {
            stop.join();
        }
    }
    RollingRestart(const RollingRestart&) = delete;
    RollingRestart& operator=(const RollingRestart&) = delete;
    RollingRestart(RollingRestart&&) = delete;
    RollingRestart& operator=(RollingRestart&&) = delete;

    /// When the node got SIGTERM; 0 if it got none.
    std::int64_t term_ms(std::size_t node) const {
        return m_term_ms[node];
    }

private:
    void stop(std::size_t index, std::int64_t at_ms, std::int64_t traffic_ends_ms) {
        Node& node = *m_deployment.nodes()[index];
        Record& record = m_deployment.record();
        sleep_until_ms(at_ms);
        record.add("SIGTERM to " + node.name());
        m_term_ms[index] = now_ms();
        node.signal(SIGTERM);
        while (now_ms() < m_term_ms[index] + GRACE_MS && !node.has_ended()) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
        record.add(node.name() + (node.has_ended() ? " has exited" : " gets SIGKILL"));
        node.signal(SIGKILL);
        std::this_thread::sleep_for(Milliseconds(RESTART_DELAY_MS));
        if (now_ms() < traffic_ends_ms) {
            node.restart();
            record.add(node.name() + " is started again");
        }
    }

    Deployment& m_deployment;
    std::vector<std::atomic<std::int64_t>> m_term_ms;
    std::vector<std::thread> m_stops;
};

/// True if the rule counts the request: it reached a searcher, was sent too late to be excused, and
/// its connection ended without an answer within the time of the planned work.
bool is_lost(const Sent& sent, std::int64_t term_ms, Deployment& deployment) {
    const bool is_planned = term_ms > 0 && sent.ended_ms <= term_ms + GRACE_MS + RULE_END_MS;
    const bool is_excused = sent.sent_ms <= term_ms + EXCUSE_UNTIL_MS;
    const Searcher* searcher = deployment.searcher_reached_by(sent.id);
    if (!sent.was_cut || !is_planned || is_excused || searcher == nullptr) {
        return false;
    }
    deployment.record().add("BROKEN: " + sent.id + ", sent " +
                            std::to_string(sent.sent_ms - term_ms) + " ms after the SIGTERM of " +
                            deployment.nodes()[sent.node]->name() + ", was passed on to " +
                            searcher->parameters().id +
                            " and its connection closed without an answer after " +
                            std::to_string(sent.ended_ms - sent.sent_ms) + " ms");
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
    Balancer balancer(deployment.nodes());
    RollingRestart restart(deployment, now_ms());
    OpenLoop loop;
    loop.per_second = REQUESTS_PER_SECOND;
    loop.length_ms = TRAFFIC_MS;
    loop.deadline_ms = DEADLINE_MS;
    loop.choose_node = [&balancer](std::int64_t request) {
        return balancer.choose(static_cast<std::size_t>(request));
    };
    loop.choose_page = [](std::int64_t request) {
        return "page-" + std::to_string(request);
    };
    const std::vector<Sent> all_sent = run_open_loop(deployment, loop);
    Share share;
    int lost = 0;
    for (const Sent& sent : all_sent) {
        share.add(sent);
        lost += is_lost(sent, restart.term_ms(sent.node), deployment) ? 1 : 0;
    }
    std::cout << share.text() << "\ncut after they were passed on: " << lost << '\n';
    if (share.value() == 0.0) {
        return COULD_NOT_RUN;
    }
    return lost > 0 ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

int main(int argc, char** argv) {
    return run_program(argc, argv, run_case);
}
