// The gateway role: takes one request, drives its gather, and gives the answer to the caller.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "io/peer_link.h"
#include "node/idempotency_store.h"
#include "node/node_state.h"
#include "node/relay.h"
#include "policy/adaptive_concurrency_limit.h"
#include "policy/gather.h"

namespace ebonymount {

/// A caller's request as it came in.
struct GatewayRequest {
    std::string service;
    std::string body;
    bool idempotent = true;
    /// The caller's idempotency key; empty for idempotent requests or when the caller gave none.
    std::string key;
    Duration allowed = from_ms(60000);
    bool wants_trace = false;
};

/// Why a request was not even begun, or how its gather ended.
struct GatewayResponse {
    std::string request_id;
    std::string key;
    GatherOutcome outcome;
    /// Names of the shards in the order of `outcome.results`.
    std::vector<std::string> shards;
    /// Set when the request ended before its gather.
    std::optional<Error> error;
    /// The stored answer to a request whose key ran before.
    std::optional<std::string> stored_result;
};

/// One service's statistics at this gateway, under a lock of their own.
struct ServiceStatistics {
    std::mutex mutex;
    RetryBudget budget;
    LatencyEstimates scores;
    LatencyHistogram latencies;
    AdaptiveConcurrencyLimit limit;
    Random random{process_seed()};
};

class Gateway {
public:
    Gateway(NodeState& state, Relay& relay, PeerPool& peers, IdempotencyStore& idempotency_store);

    /// Serves one request; blocks the caller's thread until its answer is known.
    GatewayResponse serve(const GatewayRequest& request);

    /// Extra and planned sub-queries of each service so far.
    std::map<std::string, RetryBudget> retry_budget() const;

    /// Requests that are being served.
    std::int64_t in_flight() const;

private:
    GatewayResponse run_gather(const GatewayRequest& request, GatewayResponse answer);
    GatewayResponse serve_submit(const GatewayRequest& request, GatewayResponse answer);
    std::shared_ptr<ServiceStatistics> statistics_of(const std::string& service);

    NodeState& m_state;
    Relay& m_relay;
    PeerPool& m_peers;
    IdempotencyStore& m_idempotency_store;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<ServiceStatistics>> m_statistics;
    Random m_random;
    std::atomic<std::int64_t> m_in_flight{0};
};

}  // namespace ebonymount
