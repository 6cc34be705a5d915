// The HTTP interface for callers.
//
//   POST /v1/services/{service}/query    an idempotent request
//   POST /v1/services/{service}/submit   a non-idempotent request; header Idempotency-Key
//   GET  /ready /live /metrics
//
// Header X-Timeout-Ms limits the request's time; header X-Trace: 1 records a trace. Every response
// to a request states the verdict; responses to queries also state snapshot and coverage.
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

/// Parses a caller's request. The error names the offending path, method, header value or body.
Result<GatewayRequest> gateway_request_from(const HandlerRequest& call);

/// Converts the gateway's response to HTTP.
HandlerResponse http_response_from(const GatewayResponse& response);

}  // namespace ebonymount
