// State machine of one scatter-gather request at the gateway: chooses replicas, hedges, retries,
// collects the results and finishes.
//
// `step` takes one event and the time and returns the actions to carry out. It reads no clock and
// does no I/O, so the daemon, the scenario runner and tests all drive the same function.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "policy/attempt.h"
#include "policy/coverage.h"
#include "policy/latency_estimate.h"
#include "policy/latency_histogram.h"
#include "policy/quarantine_list.h"
#include "policy/retry_budget.h"
#include "policy/routing_view.h"

namespace ebonymount {

/// How a request ended.
enum class GatherStatus : std::uint8_t {
    complete,         ///< Every shard answered.
    partial,          ///< Some shards are missing; `Coverage` has the counts.
    no_answer,        ///< No shard answered.
    rejected,         ///< A target refused the request because of its content.
    quarantined,      ///< The request has crashed targets and is refused.
    unknown_service,  ///< No placement for the service.
};

/// Name of a status in responses.
const char* name_of(GatherStatus status);

/// The outcome for the caller.
struct GatherOutcome {
    GatherStatus status = GatherStatus::no_answer;
    Verdict verdict = Verdict::not_run;
    std::string snapshot;
    Coverage coverage;
    /// True if a relay could not start a sub-query at its target in time.
    bool overloaded = false;
    /// Results by shard in map order; empty for shards that did not respond.
    std::vector<std::optional<std::string>> results;
};

/// The caller's request.
struct GatherRequest {
    std::string service;
    bool idempotent = true;
    std::uint64_t fingerprint = 0;
    /// Time allowed by the caller; the table's hard deadline can only shorten it.
    Duration time_limit = from_ms(60000);
};

/// One sub-query in flight.
struct GatherAttempt {
    std::uint64_t id = 0;
    std::size_t shard = 0;
    std::string target;
    Time sent_at{};
    /// True once a hedge for the shard was due, even if none could be sent; each attempt is hedged
    /// at most once.
    bool hedged = false;
    /// True for the only attempt in flight of a suspected request.
    bool probe = false;
};

/// Progress of one shard of the pinned snapshot.
struct ShardProgress {
    bool answered = false;
    bool given_up = false;
    /// Attempts that reached a target, and attempts that ended before that.
    int attempts = 0;
    int refusals = 0;
    std::optional<Time> retry_at;
    std::set<std::string> tried;
    std::string result;
};

/// The whole state of one request.
struct GatherState {
    GatherRequest request;
    Time started{};
    Time soft_deadline{};
    Time hard_deadline{};
    /// The snapshot that every shard has to use, so that one response never mixes two.
    const Snapshot* pinned = nullptr;
    std::vector<ShardProgress> shards;
    /// Attempts in flight.
    std::vector<GatherAttempt> live;
    std::uint64_t next_attempt = 1;
    Verdict combined_verdict = Verdict::not_run;
    int target_losses = 0;
    int restarts = 0;
    /// True while the request is suspected and is probed with one attempt at a time.
    bool probing = false;
    bool quarantined = false;
    bool overloaded = false;
    bool finished = false;
    int late_responses = 0;
};

struct BeginEvent {};
struct TickEvent {};
using GatherEvent = std::variant<BeginEvent, AttemptOutcome, TickEvent>;

/// Sends one sub-query.
struct SendAttempt {
    std::uint64_t attempt = 0;
    std::string shard;
    std::string target;
    std::string snapshot;
    Time deadline{};
    /// True for a hedge or a retry, which spent a token of the retry budget.
    bool extra = false;
};

/// Cancels an attempt whose response is no longer needed.
struct CancelAttempt {
    std::uint64_t attempt = 0;
    std::string target;
};

/// Changes the request's quarantine state at this node and sends the change to the other nodes.
struct ChangeQuarantineState {
    QuarantineState quarantine_state = QuarantineState::clear;
};

/// Ends the request.
struct Finish {
    GatherOutcome outcome;
};

using GatherAction = std::variant<SendAttempt, CancelAttempt, ChangeQuarantineState, Finish>;

/// What a step may read and update besides the request's own state. All of it belongs to one
/// service at one gateway and is protected by one lock.
struct GatherContext {
    const RoutingView& view;
    const ServiceRow& row;
    std::string own_data_centre;
    /// Time after which an attempt without a response is hedged; zero disables hedges.
    Duration hedge_delay{};
    QuarantineState quarantine_state = QuarantineState::clear;
    RetryBudget& budget;
    LatencyEstimates& latency_estimates;
    LatencyHistogram& latencies;
};

/// Advances the request by one event.
std::vector<GatherAction> step(GatherState& state, const GatherEvent& event,
                               const GatherContext& context, Time now, Random& random);

/// The next time at which a `TickEvent` is due.
Time next_tick(const GatherState& state, const GatherContext& context);

/// Coverage of the shards that have answered so far.
Coverage coverage_of(const GatherState& state);

}  // namespace ebonymount
