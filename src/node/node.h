// One node: creates its parts, starts them, and stops them without aborting accepted requests.
#pragma once

#include <memory>

#include "admin/admin_api.h"
#include "io/event_loop.h"
#include "node/caller_api.h"
#include "node/gateway.h"
#include "node/gossiper.h"
#include "node/group_lease_manager.h"
#include "node/idempotency_store.h"
#include "node/platform_sync.h"
#include "node/relay.h"

namespace ebonymount {

class Node {
public:
    /// Creates a node and starts its parts. The error names the address that could not be bound.
    static Result<std::unique_ptr<Node>> start(const NodeSettings& settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    Node(Node&&) = delete;
    Node& operator=(Node&&) = delete;

    /// Reports unready, waits for the load balancer to notice, finishes accepted requests and hands
    /// over the leases that this node holds.
    void stop_gracefully();

    const NodeState& state() const {
        return m_state;
    }

private:
    explicit Node(const NodeSettings& settings);

    Result<Done> start_parts();
    void serve_peer(const std::shared_ptr<ServerStream>& stream, const std::string& path,
                    const std::string& body);
    void serve_query(const std::shared_ptr<ServerStream>& stream, const std::string& body);

    NodeState m_state;
    TrafficCounters m_traffic;
    EventLoop m_loop;
    PeerPool m_peers;
    PlatformClient m_platform;
    Relay m_relay;
    IdempotencyStore m_idempotency_store;
    Gateway m_gateway;
    Gossiper m_gossiper;
    PlatformSync m_sync;
    GroupLeaseManager m_lease_manager;
    Commands m_commands;
    Queries m_queries;
    CallerApi m_caller_api;
    AdminApi m_admin_api;
    TaskQueue m_view_tasks;
    std::shared_ptr<PeerServer> m_peer_server;
    std::unique_ptr<HttpServer> m_caller_server;
    std::unique_ptr<HttpServer> m_admin_server;
    bool m_stopped = false;
};

}  // namespace ebonymount
