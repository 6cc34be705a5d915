// Trials of quarantined requests at a front node: claims them, and reports their ends.
//
// The decisions are in `policy/quarantine_trial.h`; the claim itself is made by the `FleetWatcher`,
// through the platform's store.
#pragma once

#include <cstdint>
#include <string>

#include "front/front_state.h"

namespace ebonymount {

/// True if the request may be sent as a trial although it is quarantined. Otherwise the node claims
/// a trial if one is due, for a request that comes later.
bool take_or_claim_trial(FrontState& front, std::uint64_t request);

/// When a quarantined request may return: soon, if it may be tried, otherwise after minutes.
Duration quarantine_retry_after(const FrontState& front, std::uint64_t request);

/// The attempt of a trial has ended, or was never started.
void report_trial_end(FrontState& front, std::uint64_t request, TrialEnd end);

/// A target of the service has answered the request: removes the claims of its trials, and tells
/// other nodes of the answer if there are any.
void withdraw_claims(FrontState& front, std::uint64_t request, const std::string& service);

}  // namespace ebonymount
