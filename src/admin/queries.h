// Operator queries of the administration API. Each reads the state of the node or the platform and
// changes nothing.
#pragma once

#include "io/documents.h"
#include "io/platform_client.h"
#include "node/gateway.h"
#include "node/node_state.h"
#include "node/relay.h"

namespace ebonymount {

class Queries {
public:
    Queries(NodeState& state, PlatformClient& platform, const Relay& relay, const Gateway& gateway);

    /// The configuration in effect at this node.
    Json table() const;

    /// The draft and its differences from the configuration in effect at this node.
    Result<Json> draft() const;

    /// The accepted generations that the platform stores, each with its changes. Objects that
    /// cannot be parsed are skipped.
    Result<Json> history() const;

    /// This node's generation, readiness, leases, target groups, targets and retry budgets.
    Json status() const;

    /// The latest traces, up to `limit` of them.
    Json traces(std::size_t limit) const;

private:
    NodeState& m_state;
    PlatformClient& m_platform;
    const Relay& m_relay;
    const Gateway& m_gateway;
};

}  // namespace ebonymount
