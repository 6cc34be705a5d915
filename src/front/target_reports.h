// What targets say of themselves in the headers of their responses: load, cold state, limit,
// leaving, and that they turn this node away.
//
// Applied to the target's state for every response of the expected target, whether or not its
// request still waits for it. Changes are logged and counted.
#pragma once

#include "base/time.h"
#include "front/front_state.h"
#include "platform/call_headers.h"

namespace ebonymount {

/// The response that carried the headers.
struct TargetResponseInfo {
    TargetIndex target = 0;
    /// When the request was sent.
    Time sent_at{};
    /// The request ran and succeeded.
    bool is_answer = false;
};

void apply_target_reports(FrontState& front, const platform::TargetResponseHeaders& headers,
                          const TargetResponseInfo& info);

}  // namespace ebonymount
