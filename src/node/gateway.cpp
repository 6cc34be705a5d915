#include "node/gateway.h"

#include "node/query_run.h"

namespace ebonymount {
namespace {

/// Counts a request as in flight for the lifetime of this object.
class InFlightGuard {
public:
    explicit InFlightGuard(std::atomic<std::int64_t>& count) : m_count(count) {
        ++m_count;
    }
    ~InFlightGuard() {
        --m_count;
    }
    InFlightGuard(const InFlightGuard&) = delete;
    InFlightGuard& operator=(const InFlightGuard&) = delete;
    InFlightGuard(InFlightGuard&&) = delete;
    InFlightGuard& operator=(InFlightGuard&&) = delete;

private:
    std::atomic<std::int64_t>& m_count;
};

GatewayResponse refuse(GatewayResponse response, ErrorCode code, const std::string& message,
                       const std::string& offender) {
    response.error = Error{code, message, offender};
    response.outcome.verdict = Verdict::not_run;
    return response;
}

GatewayResponse response_to_repeat(GatewayResponse response, const IdempotencyRecord& record) {
    response.outcome.verdict = verdict_for(record.state);
    if (record.state == IdempotencyState::ran) {
        response.outcome.status = GatherStatus::complete;
        response.stored_result = record.result;
        return response;
    }
    response.error =
        Error{ErrorCode::conflict,
              "a request with this key was sent before and its outcome is unknown", response.key};
    return response;
}

std::string first_result(const GatherOutcome& outcome) {
    const bool has_result = !outcome.results.empty() && outcome.results.front().has_value();
    return has_result ? *outcome.results.front() : "";
}

}  // namespace

Gateway::Gateway(NodeState& state, Relay& relay, PeerPool& peers,
                 IdempotencyStore& idempotency_store)
    : m_state(state),
      m_relay(relay),
      m_peers(peers),
      m_idempotency_store(idempotency_store),
      m_random(process_seed()) {}

GatewayResponse Gateway::serve(const GatewayRequest& request) {
    const InFlightGuard in_flight(m_in_flight);
    ++m_state.metrics().counter("ebonymount_gateway_requests_total");
    GatewayResponse response;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        response.request_id = random_id(m_random);
        response.key = request.key;
        if (!request.idempotent && request.key.empty()) {
            response.key = random_id(m_random);
        }
    }
    const std::shared_ptr<const RoutingView> view = m_state.view();
    if (view->configuration.generation == 0 || m_state.is_isolated(monotonic_now())) {
        return refuse(std::move(response), ErrorCode::unavailable, "this node is not ready",
                      m_state.self().node);
    }
    if (find_row(view->configuration, request.service) == nullptr ||
        view->placements.count(request.service) == 0) {
        return refuse(std::move(response), ErrorCode::not_found, "unknown service",
                      request.service);
    }
    if (request.time_limit <= Duration::zero()) {
        return refuse(std::move(response), ErrorCode::timeout, "the time limit has expired",
                      std::to_string(request.time_limit.count() / 1000) + " ms");
    }
    const std::shared_ptr<ServiceStatistics> statistics = statistics_of(request.service);
    bool admitted = false;
    {
        const std::lock_guard<std::mutex> lock(statistics->mutex);
        admitted = try_admit(statistics->concurrency_limit);
    }
    if (!admitted) {
        ++m_state.metrics().counter("ebonymount_gateway_refused_total");
        return refuse(std::move(response), ErrorCode::refused, "the service is overloaded",
                      request.service);
    }
    response = request.idempotent ? run_gather(request, std::move(response))
                                  : serve_submit(request, std::move(response));
    const std::lock_guard<std::mutex> lock(statistics->mutex);
    on_request_end(statistics->concurrency_limit, response.outcome.overloaded, monotonic_now());
    return response;
}

GatewayResponse Gateway::serve_submit(const GatewayRequest& request, GatewayResponse response) {
    const Time start = monotonic_now();
    const std::shared_ptr<const RoutingView> view = m_state.view();
    const ServiceRow& row = *find_row(view->configuration, request.service);
    const Duration time_limit = std::min(request.time_limit, from_ms(row.hard_deadline_ms));
    KeyClaim claim;
    claim.key = response.key;
    claim.fingerprint = fingerprint_of(request.service, request.body);
    claim.claimant = m_state.self().node + "/" + response.request_id;
    const Result<ClaimDecision> decision = m_idempotency_store.claim(
        request.service, claim, from_ms(row.key_retention_s * 1000), start + time_limit);
    if (!has_value(decision)) {
        return refuse(std::move(response), ErrorCode::unavailable, error_of(decision).message,
                      claim.key);
    }
    switch (value_of(decision).outcome) {
        case ClaimOutcome::other_request:
            return refuse(std::move(response), ErrorCode::conflict,
                          "the key was used for a request with different content", claim.key);
        case ClaimOutcome::repeated:
            return response_to_repeat(std::move(response), value_of(decision).record);
        case ClaimOutcome::granted:
            break;
    }
    GatewayRequest claimed = request;
    claimed.key = response.key;
    claimed.time_limit = request.time_limit - (monotonic_now() - start);
    response = run_gather(claimed, std::move(response));
    m_idempotency_store.record(request.service,
                               {claim.key, claim.claimant, state_for(response.outcome.verdict),
                                first_result(response.outcome)});
    return response;
}

GatewayResponse Gateway::run_gather(const GatewayRequest& request, GatewayResponse response) {
    GatherRequest gather;
    gather.service = request.service;
    gather.idempotent = request.idempotent;
    gather.fingerprint = fingerprint_of(request.service, request.body);
    gather.time_limit = request.time_limit;
    const std::shared_ptr<ServiceStatistics> statistics = statistics_of(request.service);
    const std::shared_ptr<const RoutingView> view = m_state.view();
    const ServiceRow* row = find_row(view->configuration, request.service);
    const std::int64_t permille = row == nullptr ? 0 : row->trace_permille;
    bool sampled = request.wants_trace;
    {
        const std::lock_guard<std::mutex> lock(statistics->mutex);
        sampled = sampled || uniform(statistics->random) * 1000.0 < static_cast<double>(permille);
    }
    const std::shared_ptr<QueryRun> run =
        std::make_shared<QueryRun>(QueryDependencies{m_state, m_relay, m_peers},
                                   response.request_id, gather, request.body, request.key);
    response.outcome = run->run(*statistics, sampled);
    response.shards = run->shards();
    if (sampled) {
        m_state.traces().add(run->take_trace());
    }
    ++m_state.metrics().counter(std::string("ebonymount_gateway_ends_total{end=\"") +
                                name_of(response.outcome.status) + "\"}");
    return response;
}

std::map<std::string, RetryBudget> Gateway::retry_budgets() const {
    std::map<std::string, std::shared_ptr<ServiceStatistics>> statistics;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        statistics = m_statistics;
    }
    std::map<std::string, RetryBudget> result;
    for (const auto& [service, service_statistics] : statistics) {
        const std::lock_guard<std::mutex> lock(service_statistics->mutex);
        result[service] = service_statistics->budget;
    }
    return result;
}

std::int64_t Gateway::in_flight() const {
    return m_in_flight;
}

std::shared_ptr<ServiceStatistics> Gateway::statistics_of(const std::string& service) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::shared_ptr<ServiceStatistics>& statistics = m_statistics[service];
    if (statistics == nullptr) {
        statistics = std::make_shared<ServiceStatistics>();
    }
    return statistics;
}

}  // namespace ebonymount
