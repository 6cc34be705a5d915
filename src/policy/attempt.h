// How one attempt at a target ends, as the relay reports it to the gateway.
#pragma once

#include <cstdint>
#include <string>

#include "base/verdict.h"

namespace ebonymount {

/// How one attempt at a target ended.
enum class AttemptStatus : std::uint8_t {
    answered,          ///< The target ran the request and its whole response arrived.
    rejected,          ///< The target refused the request because of its content.
    overloaded,        ///< The relay could not start it in time; never sent.
    not_owner,         ///< The relay does not hold the lease of the target's group; never sent.
    out_of_service,    ///< Target, host or data centre is out of service; never sent.
    unreachable,       ///< No connection to target or relay; never sent.
    shed,              ///< The target refused it before it started.
    snapshot_missing,  ///< The target does not hold the pinned snapshot.
    target_lost,       ///< The connection to the target broke while it may have been running.
    relay_lost,        ///< The link to the relay broke after the request was sent to it.
    timed_out,         ///< No response before the deadline.
    cancelled,         ///< Cancelled by the gateway.
};

/// Name of a status in traces and errors.
const char* name_of(AttemptStatus status);

/// True if the attempt may have put load on a target; false if it was never sent to one.
bool reached_target(AttemptStatus status);

/// What a relay reports about one attempt.
struct AttemptOutcome {
    std::uint64_t attempt = 0;
    AttemptStatus status = AttemptStatus::unreachable;
    Verdict verdict = Verdict::not_run;
    /// Snapshot from which the target responded, and its digest of the shard.
    std::string snapshot;
    std::string digest;
    std::string result;

    friend bool operator==(const AttemptOutcome&, const AttemptOutcome&) = default;
};

}  // namespace ebonymount
