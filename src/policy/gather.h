// The life of one request at the gateway: plan, hedge, retry, gather, finish.
//
// `step` takes one event and the time and returns the actions to carry out. It reads no clock and
// does no I/O, so the daemon, the scenario runner and tests all drive this same function.
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

/// Why a gather ended as it did.
enum class GatherStatus : std::uint8_t {
    complete,         ///< Every shard answered.
    partial,          ///< Some shards are missing; coverage says how many.
    no_answer,        ///< No shard answered.
    rejected,         ///< The targets refuse the request for its content.
    quarantined,      ///< The request crashed targets and is refused.
    unknown_service,  ///< No placement for the service.
};

/// Name of an end in answers.
const char* name_of(GatherStatus end);

/// The answer to the caller.
struct GatherOutcome {
    GatherStatus end = GatherStatus::no_answer;
    Verdict verdict = Verdict::not_run;
    std::string snapshot;
    Coverage coverage;
    /// True when a target could not take a sub-query in time.
    bool overloaded = false;
    /// Results by shard in map order; empty where the shard did not answer.
    std::vector<std::optional<std::string>> results;
};

/// What the caller asked for.
struct GatherRequest {
    std::string service;
    bool idempotent = true;
    std::uint64_t fingerprint = 0;
    /// Time allowed by the caller; the table's hard deadline can only shorten it.
    Duration allowed = from_ms(60000);
};

/// One sub-query on its way.
struct GatherAttempt {
    std::uint64_t id = 0;
    std::size_t shard = 0;
    std::string target;
    Time sent{};
    bool hedged = false;
    bool probe = false;
};

/// Progress of one shard of the pinned snapshot.
struct ShardProgress {
    bool answered = false;
    bool given_up = false;
    /// Attempts that put load on a target, and those that ended before that.
    int attempts = 0;
    int refusals = 0;
    /// True when every replica tried so far lacks the pinned snapshot.
    bool snapshot_missing = false;
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
    const Snapshot* pinned = nullptr;
    std::vector<ShardProgress> shards;
    std::vector<GatherAttempt> live;
    std::uint64_t next_attempt = 1;
    Verdict worst = Verdict::not_run;
    int losses = 0;
    int restarts = 0;
    bool probing = false;
    bool quarantined = false;
    bool overloaded = false;
    bool finished = false;
    int late_answers = 0;
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
    bool extra = false;
};

/// Cancels an attempt whose answer is no longer wanted.
struct CancelAttempt {
    std::uint64_t attempt = 0;
    std::string target;
};

/// Changes the request's standing and tells peers.
struct ChangeQuarantineState {
    QuarantineState quarantine_state = QuarantineState::clear;
};

/// Ends the request.
struct Finish {
    GatherOutcome outcome;
};

using GatherAction = std::variant<SendAttempt, CancelAttempt, ChangeQuarantineState, Finish>;

/// What a step may read and update besides the request's own state. All of it belongs to one
/// service at one gateway, under one lock.
struct GatherContext {
    const RoutingView& view;
    const ServiceRow& row;
    std::string own_data_centre;
    Duration hedge_delay{};
    QuarantineState quarantine_state = QuarantineState::clear;
    RetryBudget& budget;
    LatencyEstimates& scores;
    LatencyHistogram& latencies;
};

/// Advances the request by one event.
std::vector<GatherAction> step(GatherState& state, const GatherEvent& event,
                               const GatherContext& context, Time now, Random& random);

/// The next time at which a `TickEvent` is due.
Time next_tick(const GatherState& state, const GatherContext& context);

/// Coverage as it stands.
Coverage coverage_of(const GatherState& state);

}  // namespace ebonymount
