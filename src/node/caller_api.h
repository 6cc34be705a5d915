// The HTTP interface for callers.
//
//   POST /v1/services/{service}/query    an idempotent request
//   POST /v1/services/{service}/submit   a non-idempotent request; header Idempotency-Key
//   GET  /ready /live /metrics
//
// Header X-Timeout-Ms limits the time; header X-Trace: 1 keeps a trace. Every answer states the
// verdict; answers to queries state snapshot and coverage.
#pragma once

#include "io/http_server.h"
#include "node/gateway.h"

namespace ebonymount {

class CallerApi {
public:
    CallerApi(NodeState& state, Gateway& gateway) : m_state(state), m_gateway(gateway) {}

    HandlerResponse handle(const HandlerRequest& call);

private:
    HandlerResponse serve(const HandlerRequest& call);

    NodeState& m_state;
    Gateway& m_gateway;
};

/// Reads a caller's request; the error names the offending part.
Result<GatewayRequest> gateway_request_from(const HandlerRequest& call);

/// The HTTP form of an answer.
HandlerResponse http_response_from(const GatewayResponse& answer);

}  // namespace ebonymount
