// Log lines of one request: what was decided, from which inputs, and how it ended.
#pragma once

#include <string>

#include "front/front_state.h"
#include "policy/fan_out.h"

namespace ebonymount {

/// What the lines of a request are made from.
struct RequestLogContext {
    const FrontState& front;
    const FleetView& view;
    const Route& route;
    const FanOutState& state;
    const std::string& request_id;
};

/// A decision about one try.
struct AttemptLogContext {
    const char* event = "";
    const char* outcome = "";
    std::uint32_t id = 0;
    std::uint32_t shard = 0;
    TargetIndex target = 0;
};

/// One line at the end of a request.
void log_request_end(const RequestLogContext& facts, const char* end, int status);

/// One line for each shard that could not be asked, with the reason for each of its replicas.
void log_shards_without_target(const RequestLogContext& facts);

/// One line for a hedge or a failed try.
void log_attempt(const RequestLogContext& facts, const AttemptLogContext& attempt);

}  // namespace ebonymount
