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
constexpr int SEARCHERS = 14;
/// Clients send this many requests a second in all, each on a new connection.
constexpr int REQUESTS_PER_SECOND = 120;
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

struct Sent {
    std::string id;
    std::size_t node = 0;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
    int status = 0;
    bool has_connected = false;
    bool was_cut = false;
};

/// One request on a new connection.
Sent send_request(const std::string& id, std::size_t index, const Node& node, Record& record) {
    Sent sent;
    sent.id = id;
    sent.node = index;
    const std::unique_ptr<Connection> connection =
        Connection::open(node.ip(), node.port(), Milliseconds(1000));
    sent.sent_ms = now_ms();
    if (connection == nullptr) {
        record.add("client cannot connect to " + node.name() + " for " + id);
        return sent;
    }
    sent.has_connected = true;
    record.add("client sends " + id + " to " + node.name());
    connection->send(request_text("GET", id, DEADLINE_MS));
    const std::optional<Message> answer = connection->read(Milliseconds(DEADLINE_MS));
    sent.ended_ms = now_ms();
    sent.status = answer.has_value() ? answer->status() : 0;
    sent.was_cut = !answer.has_value() && connection->has_ended();
    record.add("client gets " +
               (sent.was_cut ? "a closed connection" : std::to_string(sent.status)) + " for " + id);
    return sent;
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
        parameters.work = Milliseconds(180);
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
    Balancer balancer(nodes);
    const std::int64_t start_ms = now_ms();
    std::vector<std::int64_t> term_ms(NODES, -1);
    std::mutex mutex;
    std::vector<Sent> all_sent;
    std::vector<std::thread> requests;
    std::vector<std::thread> stops;
    for (int i = 0; has_trouble() && i < NODES; ++i) {
        stops.emplace_back([&, i] {
            Node& node = *nodes[i];
            sleep_until_ms(start_ms + FIRST_TERM_MS + i * TERM_GAP_MS);
            record.add("SIGTERM to " + node.name());
            const std::int64_t signalled_ms = now_ms();
            {
                const std::lock_guard<std::mutex> lock(mutex);
                term_ms[i] = signalled_ms;
            }
            node.signal(SIGTERM);
            while (now_ms() < signalled_ms + GRACE_MS && !node.has_ended()) {
                std::this_thread::sleep_for(Milliseconds(5));
            }
            record.add(node.name() + (node.has_ended() ? " has exited" : " gets SIGKILL"));
            node.signal(SIGKILL);
            std::this_thread::sleep_for(Milliseconds(RESTART_DELAY_MS));
            if (now_ms() < start_ms + TRAFFIC_MS) {
                node.restart();
                record.add(node.name() + " is started again");
            }
        });
    }
    const std::int64_t count = TRAFFIC_MS * REQUESTS_PER_SECOND / 1000;
    for (std::int64_t i = 0; i < count; ++i) {
        sleep_until_ms(start_ms + i * 1000 / REQUESTS_PER_SECOND);
        const std::size_t index = balancer.choose(static_cast<std::size_t>(i));
        requests.emplace_back([&, index, id = "r" + std::to_string(i)] {
            const Sent sent = send_request(id, index, *nodes[index], record);
            const std::lock_guard<std::mutex> lock(mutex);
            all_sent.push_back(sent);
        });
    }
    for (std::thread& request : requests) {
        request.join();
    }
    for (std::thread& stop : stops) {
        stop.join();
    }
    int broken = 0;
    int served = 0;
    for (const Sent& sent : all_sent) {
        served += sent.status == 200 ? 1 : 0;
        const std::int64_t term = term_ms[sent.node];
        const bool is_planned = term >= 0 && sent.ended_ms <= term + GRACE_MS + RULE_END_MS;
        const bool is_excused = sent.sent_ms <= term + EXCUSE_UNTIL_MS;
        if (!sent.was_cut || !is_planned || is_excused) {
            continue;
        }
        // The node had read the whole request: it reached a searcher.
        for (const std::unique_ptr<Searcher>& searcher : searchers) {
            if (searcher->arrivals().count(sent.id) > 0) {
                ++broken;
                record.add("BROKEN: " + sent.id + ", sent " + std::to_string(sent.sent_ms - term) +
                           " ms after the SIGTERM of " + nodes[sent.node]->name() +
                           ", was passed on to " + searcher->parameters().id +
                           " and its connection closed without an answer after " +
                           std::to_string(sent.ended_ms - sent.sent_ms) + " ms");
            }
        }
    }
    std::cout << "requests: " << all_sent.size() << ", served: " << served
              << "\ncut after they were passed on: " << broken << '\n';
    return served == 0 ? COULD_NOT_RUN : broken > 0 ? RULE_BROKEN : RULE_HELD;
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
