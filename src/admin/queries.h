// Queries of operators: each answers from what the node or the platform has and changes nothing.
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

    /// The configuration in force at this node.
    Json table() const;

    /// The draft, and what it would change.
    Result<Json> draft() const;

    /// Accepted generations that the platform keeps.
    Result<Json> history() const;

    /// What this node knows, holds and does.
    Json status() const;

    /// The latest traces.
    Json traces(std::size_t most) const;

private:
    NodeState& m_state;
    PlatformClient& m_platform;
    const Relay& m_relay;
    const Gateway& m_gateway;
};

}  // namespace ebonymount
