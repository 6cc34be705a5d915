// Log lines of one request: what was decided, from which inputs, and how it ended.
#pragma once

#include <string>

#include "front/front_state.h"
#include "policy/fan_out.h"

namespace ebonymount {

/// The request that a log line is about, and the state that its decisions were based on.
struct RequestLogContext {
    const FrontState& front;
    const FleetView& view;
    const Route& route;
    const FanOutState& state;
    const std::string& request_id;
};

/// The attempt that a log line is about. `outcome` is the status of a failed attempt, and empty for
/// a hedge.
struct AttemptLogContext {
    const char* event = "";
    const char* outcome = "";
    std::uint32_t id = 0;
    std::uint32_t shard = 0;
    TargetIndex target = 0;
};

/// Logs one line at the end of a request.
void log_request_end(const RequestLogContext& context, const char* outcome, int http_status);

/// Logs one line for each shard without an available target, with the reason for each replica.
void log_shards_without_target(const RequestLogContext& context);

/// Logs one line for a hedge or a failed attempt.
void log_attempt(const RequestLogContext& context, const AttemptLogContext& attempt);

}  // namespace ebonymount
