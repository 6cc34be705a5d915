// The gateway role: accepts a request, runs its scatter-gather, and returns the response to the
// caller.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "io/peer_sessions.h"
#include "node/idempotency_store.h"
#include "node/node_state.h"
#include "node/relay.h"
#include "policy/adaptive_concurrency_limit.h"
#include "policy/gather.h"

namespace ebonymount {

/// A caller's request, as received.
struct GatewayRequest {
    std::string service;
    std::string body;
    bool idempotent = true;
    /// The caller's idempotency key; empty for idempotent requests or when the caller gave none.
    std::string key;
    /// Time allowed by the caller.
    Duration time_limit = from_ms(60000);
    bool wants_trace = false;
};

/// The response to a caller: the reason for a refusal, or the outcome of the request's gather.
struct GatewayResponse {
    std::string request_id;
    /// The caller's idempotency key, or a generated one if a non-idempotent request has none.
    std::string key;
    GatherOutcome outcome;
    /// Names of the shards in the order of `outcome.results`.
    std::vector<std::string> shards;
    /// Set when the request was refused before its gather started.
    std::optional<Error> error;
    /// The stored result, when a request with the same key has run before.
    std::optional<std::string> stored_result;
};

/// One service's retry budget, latency statistics and concurrency limit at this gateway, protected
/// by `mutex`.
struct ServiceStatistics {
    std::mutex mutex;
    RetryBudget budget;
    LatencyEstimates latency_estimates;
    LatencyHistogram latencies;
    AdaptiveConcurrencyLimit concurrency_limit;
    Random random{process_seed()};
};

class Gateway {
public:
    Gateway(NodeState& state, Relay& relay, PeerPool& peers, IdempotencyStore& idempotency_store);

    /// Serves one request. Blocks the calling thread until the response is known.
    GatewayResponse serve(const GatewayRequest& request);

    /// Retry budgets by service. Hedges and retries draw on the same budget.
    std::map<std::string, RetryBudget> retry_budgets() const;

    /// Number of requests being served.
    std::int64_t in_flight() const;

private:
    GatewayResponse run_gather(const GatewayRequest& request, GatewayResponse response);
    GatewayResponse serve_submit(const GatewayRequest& request, GatewayResponse response);
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
