// The gateway role: accepts a request, runs its scatter-gather, and returns the response to the
// caller.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "io/peer_link.h"
#include "node/claimer.h"
#include "node/node_state.h"
#include "node/relay.h"
#include "policy/gather.h"
#include "policy/query_limit.h"

namespace ebonymount {

/// A caller's request, as received.
struct CallerRequest {
    std::string service;
    std::string body;
    bool idempotent = true;
    /// The caller's idempotency key; empty for idempotent requests or when the caller gave none.
    std::string key;
    Duration allowed = from_ms(60000);
    bool wants_trace = false;
};

/// The response to a caller: why the request was refused, or the outcome of its gather.
struct CallerAnswer {
    std::string request_id;
    std::string key;
    GatherOutcome outcome;
    /// Names of the shards in the order of `outcome.results`.
    std::vector<std::string> shards;
    /// Set when the request was refused before its gather started.
    std::optional<Error> error;
    /// The stored result, when a request with the same key has run before.
    std::optional<std::string> stored_result;
};

/// One service's statistics at this gateway, protected by `mutex`.
struct ServiceStatistics {
    std::mutex mutex;
    ExtraLoadBudget budget;
    TargetScores scores;
    LatencyHistogram latencies;
    QueryLimit limit;
    Random random{process_seed()};
};

class Gateway {
public:
    Gateway(NodeState& state, Relay& relay, PeerPool& peers, Claimer& idempotency_store);

    /// Serves one request. Blocks the calling thread until the response is known.
    CallerAnswer serve(const CallerRequest& request);

    /// The retry budget of each service: counts of planned and extra sub-queries.
    std::map<std::string, ExtraLoadBudget> extra_load() const;

    /// Number of requests being served.
    std::int64_t in_flight() const;

private:
    CallerAnswer run_gather(const CallerRequest& request, CallerAnswer answer);
    CallerAnswer serve_submit(const CallerRequest& request, CallerAnswer answer);
    std::shared_ptr<ServiceStatistics> statistics_of(const std::string& service);

    NodeState& m_state;
    Relay& m_relay;
    PeerPool& m_peers;
    Claimer& m_idempotency_store;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<ServiceStatistics>> m_statistics;
    Random m_random;
    std::atomic<std::int64_t> m_in_flight{0};
};

}  // namespace ebonymount
