#include "node/peer_exchanger.h"

#include "io/documents.h"

namespace ebonymount {

PeerExchanger::PeerExchanger(NodeState& state, PeerPool& peers)
    : m_state(state),
      m_peers(peers),
      m_exchanges(state.metrics().counter("ebonymount_peer_exchanges_total")),
      m_refused(state.metrics().counter("ebonymount_peer_refused_total")),
      m_random(process_seed()) {}

PeerExchanger::~PeerExchanger() {
    stop();
}

void PeerExchanger::start() {
    m_thread = std::thread([this] { run(); });
}

void PeerExchanger::stop() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeerExchanger::spread_now() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_due = true;
    }
    m_wake.notify_all();
}

Result<std::string> PeerExchanger::answer(const std::string& bytes) {
    const Result<Exchange> exchange = decode_exchange(bytes);
    if (!has_value(exchange)) {
        ++m_refused;
        log_warning("peers", "Refused an exchange. " + describe(error_of(exchange)));
        return error_of(exchange);
    }
    const bool is_behind = take_in(value_of(exchange));
    if (is_behind) {
        exchange_with(value_of(exchange).from);
    }
    const Peer self = m_state.described_self(monotonic_now());
    return m_state.query_knowledge([this, &self, &exchange](const ClusterKnowledge& knowledge,
                                                            const SuspicionList& suspicions) {
        return encode(make_exchange(knowledge, suspicions, self, m_state.left_seats(),
                                    &value_of(exchange), monotonic_now()));
    });
}

void PeerExchanger::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_due = false;
        lock.unlock();
        const std::vector<Peer> chosen = m_state.query_knowledge(
            [this](const ClusterKnowledge& knowledge, const SuspicionList&) {
                const std::size_t fanout =
                    static_cast<std::size_t>(m_state.settings().exchange_fanout);
                return choose_peers(knowledge, m_state.self(), fanout, m_random);
            });
        for (const Peer& peer : chosen) {
            exchange_with(peer);
        }
        lock.lock();
        m_wake.wait_for(lock, m_state.settings().exchange_interval,
                        [this] { return m_stopping || m_due; });
    }
}

void PeerExchanger::exchange_with(const Peer& peer) {
    const Peer self = m_state.described_self(monotonic_now());
    const std::string bytes = m_state.query_knowledge(
        [this, &self](const ClusterKnowledge& knowledge, const SuspicionList& suspicions) {
            return encode(make_exchange(knowledge, suspicions, self, m_state.left_seats(), nullptr,
                                        monotonic_now()));
        });
    const std::shared_ptr<std::string> received = std::make_shared<std::string>();
    StreamEvents events;
    events.on_data = [received](std::string_view data) {
        received->append(data);
    };
    events.on_end = [this, received](StreamEnd end) {
        if (end != StreamEnd::complete) {
            return;
        }
        const Result<Exchange> answer = decode_exchange(*received);
        if (has_value(answer)) {
            take_in(value_of(answer));
        } else {
            ++m_refused;
        }
    };
    ++m_exchanges;
    m_peers.call(route_to(m_state.settings(), peer.host, peer.address), "/exchange", bytes,
                 std::move(events));
}

/// Returns true when the other side has documents that this node lacks.
bool PeerExchanger::take_in(const Exchange& exchange) {
    bool is_behind = false;
    bool news = false;
    m_state.change_knowledge(
        [&exchange, &is_behind, &news](ClusterKnowledge& knowledge, SuspicionList& suspicions) {
            news = merge(knowledge, suspicions, exchange, monotonic_now());
            is_behind = exchange.generation > knowledge.configuration.generation;
            for (const auto& [service, version] : exchange.placement_versions) {
                const auto known = knowledge.placements.find(service);
                is_behind = is_behind || known == knowledge.placements.end() ||
                            known->second.version < version;
            }
            return news;
        });
    if (news) {
        spread_now();
    }
    return is_behind;
}

std::string route_to(const NodeSettings& settings, const std::string& host,
                     const std::string& address) {
    const auto route = settings.peer_routes.find(host);
    return route == settings.peer_routes.end() ? address : route->second;
}

}  // namespace ebonymount
