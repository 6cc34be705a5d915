// Finds out whether a connection that broke while a request ran means that the target crashed.
//
// Without a check of its own, a node would see a crash only if it happened to connect to the same
// target soon after, which it avoids. The evidence is a refused connect, or a target that turns out
// to be another instance than before; a target that accepts a connection has not crashed.
#pragma once

#include <string>

#include "front/front_state.h"
#include "io/http_channel.h"

namespace ebonymount {

/// Records a broken connection and connects to the target to check it. `request_id` and `status`
/// are for the log.
void detect_crash(FrontState& front, const BrokenConnection& broken, const std::string& request_id,
                  CallStatus status);

/// A target of the service has answered the request: withdraws the reports that this refutes.
void on_request_answered(FrontState& front, std::uint64_t request, const std::string& service);

/// Connects to the target if connections to it broke and no connect has shown yet whether it
/// crashed.
void check_target(FrontState& front, TargetIndex target);

/// The target has crashed if a connection to it broke shortly before: counts and reports a crash
/// for each request that ran there. `evidence` is for the log.
void on_crash_evidence(FrontState& front, TargetIndex target, const char* evidence);

}  // namespace ebonymount
