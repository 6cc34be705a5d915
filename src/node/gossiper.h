// Gossips with a few peers at regular intervals, and immediately after a change that affects
// routing or that an operator made.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "io/peer_sessions.h"
#include "node/node_state.h"

namespace ebonymount {

class Gossiper {
public:
    Gossiper(NodeState& state, PeerPool& peers);
    ~Gossiper();
    Gossiper(const Gossiper&) = delete;
    Gossiper& operator=(const Gossiper&) = delete;
    Gossiper(Gossiper&&) = delete;
    Gossiper& operator=(Gossiper&&) = delete;

    void start();
    void stop();

    /// Gossips with a few peers now instead of at the next interval.
    void gossip_now();

    /// Merges a peer's encoded gossip message and returns the encoded response. Fails when the
    /// message cannot be decoded or has another protocol version.
    Result<std::string> respond(const std::string& bytes);

private:
    void run();
    void gossip_with(const Peer& peer, const GossipMessage* peer_message);
    void on_response(const Peer& peer, const std::string& bytes, bool is_follow_up);
    GossipMessage own_message(const GossipMessage* peer_message) const;
    void merge_message(const GossipMessage& message);

    NodeState& m_state;
    PeerPool& m_peers;
    Counter& m_messages_sent;
    Counter& m_refused;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_gossip_requested = false;
    Random m_random;
    std::thread m_thread;
};

/// The address at which this node reaches a host: the host's entry in `peer_routes`, or `address`
/// if it has none.
std::string route_to(const NodeSettings& settings, const std::string& host,
                     const std::string& address);

}  // namespace ebonymount
