// State machine of one caller's request on the direct path, on which a node sends to targets
// itself: chooses replicas, hedges, retries, collects the responses and ends the request.
//
// A request on a fan-out route has one shard for each service of the route; any other request has
// a single shard. `step` takes one event and returns the actions to carry out. It reads no clock
// and does no I/O, so the daemon and the tests drive the same function.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/verdict.h"
#include "policy/crash_quarantine.h"
#include "policy/fleet_view.h"
#include "policy/retry_budget.h"

namespace ebonymount {

/// How one attempt at a target ended.
enum class FanOutAttemptStatus : std::uint8_t {
    answered,       ///< A whole, successful response.
    target_error,   ///< The target ran the request and responded with a failure.
    refused,        ///< The target reports that it has not run the request.
    misdirected,    ///< Another target has the address; not run.
    not_connected,  ///< No connection; never sent.
    broken,         ///< The connection closed or sent malformed data after the request was sent.
    timed_out,      ///< No response within the time that the target was given.
};

/// Name of a status in logs.
const char* name_of(FanOutAttemptStatus status);

/// True if the status proves that the target has not run the request.
bool is_not_run(FanOutAttemptStatus status);

/// Parameters of a request, from its route and its caller.
struct FanOutParameters {
    bool fan_out = false;
    bool idempotent = false;
    std::int64_t max_attempts = 1;
    double min_coverage = 1.0;
    Time started{};
    /// End of the latency objective; a response by then has its full value.
    Time objective_deadline{};
    /// How long before the objective a partial response is sent: time for merging and the network.
    Duration response_margin = from_ms(15);
    /// Added to that margin for each part that is still awaited: CPU time to process it, as the
    /// awaited parts may all arrive at the last moment.
    Duration part_time{};
    /// After this time no response is of use.
    Time final_deadline{};
    /// Regions whose targets may be used; empty means all.
    std::vector<std::string> allowed_regions;
    /// Identifies equal requests in the crash quarantine.
    std::uint64_t fingerprint = 0;
    /// One attempt may be sent although the request is quarantined; see `quarantine_trial.h`.
    bool is_trial = false;
};

/// One attempt at one target.
struct FanOutAttempt {
    std::uint32_t id = 0;
    std::uint32_t shard = 0;
    TargetIndex target = 0;
    /// Set once the request's bytes were passed to a connection.
    bool sent = false;
    bool hedge = false;
    bool is_trial = false;
};

/// Progress of one shard.
struct ShardState {
    ServiceIndex service = 0;
    bool answered = false;
    bool failed = false;
    /// Requests that arrived at targets of the shard, and how many of them may have run there.
    std::int64_t arrivals = 0;
    std::int64_t runs = 0;
    /// Number of attempts that have not ended.
    std::int64_t live_attempts = 0;
    /// Probability, in thousandths, that the retry budget allows one extra attempt that the node
    /// has no token for; zero once the lot was drawn.
    std::int64_t drawn_permille = 0;
    /// Targets of the attempts so far; cleared when no untried replica is available.
    std::vector<TargetIndex> tried;
    std::optional<Time> hedge_at;
    std::optional<Time> retry_at;
};

/// How a request ends.
enum class FanOutStatus : std::uint8_t {
    complete,      ///< Every shard answered.
    partial,       ///< Enough shards answered.
    target_error,  ///< The failure response of a single target, passed on unchanged.
    not_run,       ///< Nothing was run; the caller may retry.
    failed,        ///< Too many shards failed; some may have run.
    out_of_time,   ///< Too few shards answered in time; some may have run.
};

/// Name of a status in logs.
const char* name_of(FanOutStatus status);

/// The whole state of one request.
struct FanOutState {
    FanOutParameters parameters;
    std::vector<ShardState> shards;
    /// Attempts that have not ended.
    std::vector<FanOutAttempt> live;
    std::uint32_t next_attempt = 1;
    /// Combined over all ended attempts.
    Verdict verdict = Verdict::not_run;
    /// Number of shards that have answered, and of those that have failed.
    std::int64_t answered = 0;
    std::int64_t failed = 0;
    std::int64_t hedges = 0;
    std::int64_t retries = 0;
    /// Attempts that were not made because the retry budget was exhausted.
    std::int64_t attempts_without_token = 0;
    /// Without fan-out: a target responded with a failure, which is passed on if no other target
    /// succeeds.
    bool has_target_error = false;
    bool finished = false;
};

/// The request begins; always the first event.
struct BeginRequest {};
/// The request of an attempt was passed to a connection. It is reported at once, also while the
/// actions of a step are carried out, and causes no actions itself: a step that does not know of it
/// could end the request as not run.
struct AttemptSent {
    std::uint32_t id = 0;
};
/// An attempt ended, whether or not it had been sent.
struct AttemptEnded {
    std::uint32_t id = 0;
    FanOutAttemptStatus status = FanOutAttemptStatus::broken;
};
/// The time returned by `next_tick` has come.
struct ClockTick {};
/// The node cannot hold what the request needs, so the request ends now, with the parts that it has
/// if they are enough.
struct ResourcesExhausted {};
using FanOutEvent =
    std::variant<BeginRequest, AttemptSent, AttemptEnded, ClockTick, ResourcesExhausted>;

/// Sends the request to a target.
struct StartAttempt {
    std::uint32_t id = 0;
    std::uint32_t shard = 0;
    TargetIndex target = 0;
    /// When the target may stop working on it.
    Time deadline{};
    bool hedge = false;
    /// The trial of a quarantined request.
    bool is_trial = false;
};
/// Withdraws an attempt that has not been sent.
struct WithdrawAttempt {
    std::uint32_t id = 0;
};
/// Ends the request. The outcomes of attempts that have not ended no longer matter.
struct EndRequest {
    FanOutStatus status = FanOutStatus::failed;
    /// For `not_run`: time after which a retry can be expected to be accepted.
    Duration retry_after{};
};
using FanOutAction = std::variant<StartAttempt, WithdrawAttempt, EndRequest>;

/// What a step may read and change besides the state of the request.
struct FanOutContext {
    const FleetView& view;
    TargetTable& targets;
    /// Retry budget of each service, by service index.
    std::vector<RetryBudget>& budgets;
    RetryBudgetLimits retry_budget;
    const CrashQuarantine& quarantine;
    Time now{};
    Random& random;
};

/// Initial state of a request. `services` are the shards, or the one service that was chosen.
FanOutState begin_request(const FanOutParameters& parameters,
                          const std::vector<ServiceIndex>& services);

/// Advances the request by one event. A step that ends the request starts no attempt.
std::vector<FanOutAction> step(FanOutState& state, const FanOutEvent& event,
                               const FanOutContext& context);

/// When the next `ClockTick` is due.
Time next_tick(const FanOutState& state);

}  // namespace ebonymount
