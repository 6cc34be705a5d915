#include "node/gossiper.h"

#include "io/peer_documents.h"

namespace ebonymount {

Gossiper::Gossiper(NodeState& state, PeerPool& peers)
    : m_state(state),
      m_peers(peers),
      m_gossip_messages(state.metrics().counter("ebonymount_peer_exchanges_total")),
      m_refused(state.metrics().counter("ebonymount_peer_refused_total")),
      m_random(process_seed()) {}

Gossiper::~Gossiper() {
    stop();
}

void Gossiper::start() {
    m_thread = std::thread([this] { run(); });
}

void Gossiper::stop() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Gossiper::spread_now() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_due = true;
    }
    m_wake.notify_all();
}

Result<std::string> Gossiper::answer(const std::string& bytes) {
    const Result<GossipMessage> message = decode_gossip(bytes);
    if (!has_value(message)) {
        ++m_refused;
        log_warning("peers", "Refused an exchange. " + describe(error_of(message)));
        return error_of(message);
    }
    take_in(value_of(message));
    return encode(own_message(&value_of(message)));
}

/// What this node tells, given what the other side has told.
GossipMessage Gossiper::own_message(const GossipMessage* other) const {
    const Time now = monotonic_now();
    const Peer self = m_state.described_self(now);
    const std::vector<EndedEpoch> left = m_state.ended_epochs();
    return m_state.query_cluster([&self, &left, other, now](const ClusterState& cluster,
                                                            const QuarantineList& quarantine_list) {
        return make_gossip(cluster, quarantine_list, self, left, other, now);
    });
}

void Gossiper::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_due = false;
        lock.unlock();
        const std::vector<Peer> chosen =
            m_state.query_cluster([this](const ClusterState& cluster, const QuarantineList&) {
                const std::size_t fanout =
                    static_cast<std::size_t>(m_state.settings().gossip_fanout);
                return choose_peers(cluster, m_state.self(), fanout, m_random);
            });
        for (const Peer& peer : chosen) {
            gossip_with(peer, nullptr);
        }
        lock.lock();
        m_wake.wait_for(lock, m_state.settings().gossip_interval,
                        [this] { return m_stopping || m_due; });
    }
}

void Gossiper::gossip_with(const Peer& peer, const GossipMessage* other) {
    const std::shared_ptr<std::string> received = std::make_shared<std::string>();
    const bool is_follow_up = other != nullptr;
    StreamEvents events;
    events.on_data = [received](std::string_view data) {
        received->append(data);
    };
    events.on_end = [this, peer, is_follow_up, received](StreamStatus end) {
        if (end == StreamStatus::complete) {
            on_answer(peer, *received, is_follow_up);
        }
    };
    ++m_gossip_messages;
    m_peers.call(route_to(m_state.settings(), peer.host, peer.address), "/exchange",
                 encode(own_message(other)), std::move(events));
}

void Gossiper::on_answer(const Peer& peer, const std::string& bytes, bool is_follow_up) {
    const Result<GossipMessage> answer = decode_gossip(bytes);
    if (!has_value(answer)) {
        ++m_refused;
        return;
    }
    take_in(value_of(answer));
    const bool differs =
        m_state.query_cluster([&answer](const ClusterState& cluster, const QuarantineList&) {
            return needs_follow_up(cluster, value_of(answer));
        });
    if (differs && !is_follow_up) {
        gossip_with(peer, &value_of(answer));
    }
}

void Gossiper::take_in(const GossipMessage& message) {
    bool changed = false;
    m_state.update_cluster(
        [&message, &changed](ClusterState& cluster, QuarantineList& quarantine_list) {
            changed = merge(cluster, quarantine_list, message, monotonic_now());
            return changed;
        });
    if (changed) {
        spread_now();
    }
}

std::string route_to(const NodeSettings& settings, const std::string& host,
                     const std::string& address) {
    const auto route = settings.peer_routes.find(host);
    return route == settings.peer_routes.end() ? address : route->second;
}

}  // namespace ebonymount
