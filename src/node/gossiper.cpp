#include "node/gossiper.h"

#include "io/exception_guard.h"
#include "io/peer_documents.h"

namespace ebonymount {

Gossiper::Gossiper(NodeState& state, PeerPool& peers)
    : m_state(state),
      m_peers(peers),
      m_messages_sent(state.metrics().counter("ebonymount_peer_exchanges_total")),
      m_refused(state.metrics().counter("ebonymount_peer_refused_total")),
      m_random(process_seed()) {}

Gossiper::~Gossiper() {
    stop();
}

void Gossiper::start() {
    m_thread = std::thread([this] { run_thread("gossip", [this] { run(); }); });
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

void Gossiper::gossip_now() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_gossip_requested = true;
    }
    m_wake.notify_all();
}

Result<std::string> Gossiper::respond(const std::string& bytes) {
    const Result<GossipMessage> message = decode_gossip(bytes);
    if (!has_value(message)) {
        ++m_refused;
        log_warning("peers", "Refused a gossip message. " + describe(error_of(message)));
        return error_of(message);
    }
    merge_message(value_of(message));
    return encode(own_message(&value_of(message)));
}

/// This node's gossip message, given the other side's last message (null when there is none).
GossipMessage Gossiper::own_message(const GossipMessage* peer_message) const {
    const Time now = monotonic_now();
    const Peer self = m_state.self_description(now);
    const std::vector<EndedEpoch> ended_epochs = m_state.ended_epochs();
    return m_state.query_cluster(
        [&self, &ended_epochs, peer_message, now](const ClusterState& cluster,
                                                  const QuarantineList& quarantine_list) {
            return make_gossip(cluster, quarantine_list, self, ended_epochs, peer_message, now);
        });
}

void Gossiper::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_gossip_requested = false;
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
                        [this] { return m_stopping || m_gossip_requested; });
    }
}

void Gossiper::gossip_with(const Peer& peer, const GossipMessage* peer_message) {
    const std::shared_ptr<std::string> received = std::make_shared<std::string>();
    const bool is_follow_up = peer_message != nullptr;
    StreamCallbacks events;
    events.on_data = [received](std::string_view data) {
        received->append(data);
    };
    events.on_end = [this, peer, is_follow_up, received](StreamStatus status) {
        if (status == StreamStatus::complete) {
            on_response(peer, *received, is_follow_up);
        }
    };
    ++m_messages_sent;
    m_peers.call(route_to(m_state.settings(), peer.host, peer.address), "/exchange",
                 encode(own_message(peer_message)), std::move(events));
}

void Gossiper::on_response(const Peer& peer, const std::string& bytes, bool is_follow_up) {
    const Result<GossipMessage> response = decode_gossip(bytes);
    if (!has_value(response)) {
        ++m_refused;
        return;
    }
    merge_message(value_of(response));
    const bool differs =
        m_state.query_cluster([&response](const ClusterState& cluster, const QuarantineList&) {
            return needs_follow_up(cluster, value_of(response));
        });
    if (differs && !is_follow_up) {
        gossip_with(peer, &value_of(response));
    }
}

void Gossiper::merge_message(const GossipMessage& message) {
    bool changed = false;
    m_state.update_cluster(
        [&message, &changed](ClusterState& cluster, QuarantineList& quarantine_list) {
            changed = merge(cluster, quarantine_list, message, monotonic_now());
            return changed;
        });
    if (changed) {
        gossip_now();
    }
}

std::string route_to(const NodeSettings& settings, const std::string& host,
                     const std::string& address) {
    const auto route = settings.peer_routes.find(host);
    return route == settings.peer_routes.end() ? address : route->second;
}

}  // namespace ebonymount
