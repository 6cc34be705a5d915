// Exchanges news with a few peers at a time, and at once when something important has changed.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "io/peer_link.h"
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

    /// Exchanges with a few peers now instead of at the next interval.
    void spread_now();

    /// Takes in a peer's exchange and returns the encoded answer.
    Result<std::string> answer(const std::string& bytes);

private:
    void run();
    void gossip_with(const Peer& peer, const GossipMessage* other);
    void on_answer(const Peer& peer, const std::string& bytes, bool is_follow_up);
    GossipMessage own_message(const GossipMessage* other) const;
    void take_in(const GossipMessage& message);

    NodeState& m_state;
    PeerPool& m_peers;
    Counter& m_gossip_messages;
    Counter& m_refused;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_due = false;
    Random m_random;
    std::thread m_thread;
};

/// The address by which this node reaches a host, after its settings' routes.
std::string route_to(const NodeSettings& settings, const std::string& host,
                     const std::string& address);

}  // namespace ebonymount
