#include "node/peer_exchanger.h"

#include "io/peer_documents.h"

namespace ebonymount {

PeerExchanger::PeerExchanger(NodeState& state, PeerPool& peers)
    : m_state(state),
      m_peers(peers),
      m_messages_sent(state.metrics().counter("ebonymount_peer_exchanges_total")),
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

void PeerExchanger::gossip_now() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_due = true;
    }
    m_wake.notify_all();
}

Result<std::string> PeerExchanger::respond(const std::string& bytes) {
    const Result<Exchange> exchange = decode_exchange(bytes);
    if (!has_value(exchange)) {
        ++m_refused;
        log_warning("peers", "Refused a gossip message. " + describe(error_of(exchange)));
        return error_of(exchange);
    }
    merge_message(value_of(exchange));
    return encode(own_message(&value_of(exchange)));
}

/// This node's gossip message, given the other side's last message (null when there is none).
Exchange PeerExchanger::own_message(const Exchange* other) const {
    const Time now = monotonic_now();
    const Peer self = m_state.described_self(now);
    const std::vector<SeatLeft> left = m_state.left_seats();
    return m_state.query_knowledge([&self, &left, other, now](const ClusterKnowledge& knowledge,
                                                              const SuspicionList& suspicions) {
        return make_exchange(knowledge, suspicions, self, left, other, now);
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
            gossip_with(peer, nullptr);
        }
        lock.lock();
        m_wake.wait_for(lock, m_state.settings().exchange_interval,
                        [this] { return m_stopping || m_due; });
    }
}

void PeerExchanger::gossip_with(const Peer& peer, const Exchange* other) {
    const std::shared_ptr<std::string> received = std::make_shared<std::string>();
    const bool is_follow_up = other != nullptr;
    StreamEvents events;
    events.on_data = [received](std::string_view data) {
        received->append(data);
    };
    events.on_end = [this, peer, is_follow_up, received](StreamEnd end) {
        if (end == StreamEnd::complete) {
            on_response(peer, *received, is_follow_up);
        }
    };
    ++m_messages_sent;
    m_peers.call(route_to(m_state.settings(), peer.host, peer.address), "/exchange",
                 encode(own_message(other)), std::move(events));
}

void PeerExchanger::on_response(const Peer& peer, const std::string& bytes, bool is_follow_up) {
    const Result<Exchange> answer = decode_exchange(bytes);
    if (!has_value(answer)) {
        ++m_refused;
        return;
    }
    merge_message(value_of(answer));
    const bool differs =
        m_state.query_knowledge([&answer](const ClusterKnowledge& knowledge, const SuspicionList&) {
            return needs_follow_up(knowledge, value_of(answer));
        });
    if (differs && !is_follow_up) {
        gossip_with(peer, &value_of(answer));
    }
}

void PeerExchanger::merge_message(const Exchange& exchange) {
    bool news = false;
    m_state.change_knowledge(
        [&exchange, &news](ClusterKnowledge& knowledge, SuspicionList& suspicions) {
            news = merge(knowledge, suspicions, exchange, monotonic_now());
            return news;
        });
    if (news) {
        gossip_now();
    }
}

std::string route_to(const NodeSettings& settings, const std::string& host,
                     const std::string& address) {
    const auto route = settings.peer_routes.find(host);
    return route == settings.peer_routes.end() ? address : route->second;
}

}  // namespace ebonymount
