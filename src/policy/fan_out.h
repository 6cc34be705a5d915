// The life of one caller's request that a node sends to targets itself: choose replicas, hedge,
// retry, gather, answer.
//
// A request on a fan-out route has one shard for each service of the route; any other request has
// a single one. `step` takes one event and returns the actions to carry out. It reads no clock and
// does no I/O, so the daemon and the tests drive this same function.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/verdict.h"
#include "policy/fleet_view.h"
#include "policy/retry_budget.h"

namespace ebonymount {

/// How one try at a target ended.
enum class FanOutAttemptStatus : std::uint8_t {
    answered,       ///< A whole, successful answer.
    target_error,   ///< The target ran the request and answered with a failure.
    refused,        ///< The target says that it has not run the request.
    misdirected,    ///< Another target has the address; not run.
    not_connected,  ///< No connection; never sent.
    broken,         ///< The connection ended or garbled after the request was sent.
    timed_out,      ///< No answer within the time that the target was given.
};

/// Name of an end in logs.
const char* name_of(FanOutAttemptStatus end);

/// True when the end proves that the target has not run the request.
bool is_not_run(FanOutAttemptStatus end);

/// What the route and the caller allow.
struct FanOutParameters {
    bool fan_out = false;
    bool idempotent = false;
    std::int64_t max_attempts = 1;
    double min_coverage = 1.0;
    Time started{};
    /// Until then an answer has its full worth.
    Time objective_deadline{};
    /// Left of the objective when an answer leaves with what is in: merging and the way back.
    Duration answer_margin = from_ms(15);
    /// No answer is of use after that.
    Time final_deadline{};
    /// Regions whose targets may be used; empty means all.
    std::vector<std::string> allowed_regions;
};

/// One try at one target.
struct FanOutAttempt {
    std::uint32_t id = 0;
    std::uint32_t shard = 0;
    TargetIndex target = 0;
    /// Set once the request's bytes were handed to a connection.
    bool sent = false;
    bool hedge = false;
};

/// Progress of one shard.
struct ShardState {
    ServiceIndex service = 0;
    bool answered = false;
    bool failed = false;
    /// Requests that arrived at targets of the shard, and those that may have run there.
    std::int64_t arrivals = 0;
    std::int64_t runs = 0;
    std::int64_t open = 0;
    std::vector<TargetIndex> tried;
    std::optional<Time> hedge_at;
    std::optional<Time> retry_at;
};

/// How a request ends.
enum class FanOutStatus : std::uint8_t {
    complete,      ///< Every shard answered.
    partial,       ///< Enough shards answered.
    target_error,  ///< A single target's failure, passed on as it is.
    not_run,       ///< Nothing was run; the caller may come back.
    failed,        ///< Too many shards failed; some may have run.
    out_of_time,   ///< Too few shards answered in time; some may have run.
};

/// Name of an end in logs.
const char* name_of(FanOutStatus end);

struct FanOutState {
    FanOutParameters parameters;
    std::vector<ShardState> shards;
    std::vector<FanOutAttempt> live;
    std::uint32_t next_attempt = 1;
    Verdict verdict = Verdict::not_run;
    std::int64_t answered = 0;
    std::int64_t failed = 0;
    std::int64_t hedges = 0;
    std::int64_t retries = 0;
    /// Tries that wanted a token and found none.
    std::int64_t budget_exhausted = 0;
    /// A target has answered a plain request with a failure, which is passed on for want of
    /// anything better.
    bool has_target_error = false;
    bool finished = false;
};

struct BeginRequest {};
/// The bytes of a try were handed to a connection.
struct AttemptSent {
    std::uint32_t id = 0;
};
struct AttemptEnded {
    std::uint32_t id = 0;
    FanOutAttemptStatus end = FanOutAttemptStatus::broken;
};
struct ClockTick {};
using FanOutEvent = std::variant<BeginRequest, AttemptSent, AttemptEnded, ClockTick>;

/// Sends the request to a target.
struct StartAttempt {
    std::uint32_t id = 0;
    std::uint32_t shard = 0;
    TargetIndex target = 0;
    /// When the target may stop.
    Time deadline{};
    bool hedge = false;
};
/// Withdraws a try that has not been sent.
struct WithdrawAttempt {
    std::uint32_t id = 0;
};
/// Ends the request. Tries that are still open are no longer awaited.
struct EndRequest {
    FanOutStatus end = FanOutStatus::failed;
    /// For `not_run`: when room is expected.
    Duration retry_after{};
};
using FanOutAction = std::variant<StartAttempt, WithdrawAttempt, EndRequest>;

/// What a step may read and change besides the request.
struct FanOutContext {
    const FleetView& view;
    TargetTable& targets;
    /// Budget for extra arrivals of each service, at service indices.
    std::vector<RetryBudget>& budgets;
    RetryBudgetLimits retry_budget;
    Time now{};
    Random& random;
};

/// A request at its start. `services` are the shards, or the one service that was chosen.
FanOutState begin_request(const FanOutParameters& parameters,
                          const std::vector<ServiceIndex>& services);

/// Advances the request by one event.
std::vector<FanOutAction> step(FanOutState& state, const FanOutEvent& event,
                               const FanOutContext& context);

/// When the next `ClockTick` is due.
Time next_tick(const FanOutState& state);

}  // namespace ebonymount
