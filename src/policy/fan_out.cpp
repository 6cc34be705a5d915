#include "policy/fan_out.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonymount {
namespace {

/// Cost of a refusal in microseconds: the network latency to another replica and the wait there.
/// Without a token for another attempt, the cost is the loss of the shard.
constexpr double REFUSAL_COST_US = 50000.0;
constexpr double REFUSAL_COST_WITHOUT_TOKEN_US = 150000.0;

/// Cost of a failure in microseconds: that of a refusal, plus the time spent at the first target
/// and the use of one of the few attempts that may run the request.
constexpr double FAILURE_COST_US = 100000.0;
constexpr double FAILURE_COST_WITHOUT_TOKEN_US = 200000.0;

/// Random addition to the expected time, as a fraction of it. It prevents nodes with the same
/// outdated state from all choosing the same replica.
constexpr double CHOICE_NOISE = 0.1;

/// An attempt counts as late after its expected response time times this factor, but not before
/// `MIN_LATE_TIME`: most first responses take less than that, even from another region.
constexpr double LATE_FACTOR = 1.8;
constexpr Duration MIN_LATE_TIME = from_ms(42);

/// If a response to a hedge sent then would miss the objective, hedges are sent earlier, but not
/// before these.
constexpr double EARLIEST_HEDGE_FACTOR = 1.3;
constexpr Duration EARLIEST_HEDGE = from_ms(26);

/// Spread of response times: a hedge is expected to be in time if this multiple of its expected
/// response time is left.
constexpr double HEDGE_TIME_FACTOR = 1.25;

/// How long an attempt that is late may go on: the fraction of the time until a hedge would miss
/// the objective. Pauses of targets often end in that time, and a token is kept for a shard that
/// needs it more. A request without fan-out waits for less, as a miss leaves it without an answer.
constexpr double FAN_OUT_PATIENCE = 0.9;
constexpr double SINGLE_PATIENCE = 0.5;

/// Pause before the replicas of a shard are tried again after all have refused: about the time
/// until a slot of a target becomes free.
constexpr Duration REFUSAL_PAUSE = from_ms(10);

/// Bounds of the retry-after time sent to callers, before jitter. Callers wait for at most a third
/// of their timeout; on the deployments, that third is 270 ms to 1.7 s.
constexpr Duration MIN_RETRY_AFTER = from_ms(50);
constexpr Duration MAX_RETRY_AFTER = from_ms(1000);

struct Step {
    FanOutState& state;
    const FanOutContext& context;
    std::vector<FanOutAction> actions;
};

const ServiceView& service_of(const Step& s, const ShardState& shard) {
    return s.context.view.services[shard.service];
}

bool is_region_allowed(const FanOutParameters& parameters, const TargetState& target) {
    return parameters.allowed_regions.empty() ||
           std::find(parameters.allowed_regions.begin(), parameters.allowed_regions.end(),
                     target.region) != parameters.allowed_regions.end();
}

bool has_tried(const ShardState& shard, TargetIndex target) {
    return std::find(shard.tried.begin(), shard.tried.end(), target) != shard.tried.end();
}

/// Costs of an unsuccessful attempt at a target of the service; higher if there is no token for
/// another attempt.
AttemptCosts costs_at(const Step& s, ServiceIndex service) {
    if (has_token(s.context.budgets[service])) {
        return {REFUSAL_COST_US, FAILURE_COST_US};
    }
    return {REFUSAL_COST_WITHOUT_TOKEN_US, FAILURE_COST_WITHOUT_TOKEN_US};
}

Suspicion suspicion(const Step& s, const ShardState& shard) {
    return suspicion_of(s.context.quarantine, s.state.parameters.fingerprint,
                        service_of(s, shard).limits.name, s.context.now);
}

/// The untried candidate with the shortest expected time, also for a suspected request.
std::optional<TargetIndex> choose_untried(Step& s, const ShardState& shard) {
    const ServiceView& service = service_of(s, shard);
    const AttemptCosts costs = costs_at(s, shard.service);
    std::optional<TargetIndex> best;
    double best_us = 0.0;
    for (const TargetIndex index : service.targets) {
        const TargetState& target = s.context.targets.states[index];
        if (has_tried(shard, index) || !is_region_allowed(s.state.parameters, target) ||
            !is_candidate(s.context.targets, target, service.limits.cold_per_second,
                          s.context.now)) {
            continue;
        }
        const double noise = 1.0 + CHOICE_NOISE * uniform(s.context.random);
        const double candidate_us = expected_us(target, costs, s.context.now) * noise;
        if (!best.has_value() || candidate_us < best_us) {
            best = index;
            best_us = candidate_us;
        }
    }
    return best;
}

/// The untried candidate with the shortest expected time; empty for a request that may crash it.
std::optional<TargetIndex> choose_target(Step& s, const ShardState& shard) {
    return suspicion(s, shard) == Suspicion::none ? choose_untried(s, shard) : std::nullopt;
}

/// When a target of the shard, tried or not, can accept the request at the earliest; empty if each
/// is known to be unavailable for an unknown time.
std::optional<Time> expected_available_at(const Step& s, const ShardState& shard) {
    std::optional<Time> earliest;
    for (const TargetIndex index : service_of(s, shard).targets) {
        const TargetState& target = s.context.targets.states[index];
        if (is_region_allowed(s.state.parameters, target) && is_expected_back(target)) {
            const Time at = available_at(target, s.context.now);
            earliest = std::min(earliest.value_or(at), at);
        }
    }
    return earliest;
}

/// False only if it is known that no target of the shard can accept the request before `end`.
bool may_accept_before(const Step& s, const ShardState& shard, Time end) {
    const std::optional<Time> earliest = expected_available_at(s, shard);
    return earliest.has_value() && *earliest < end;
}

std::int64_t total_shards(const FanOutState& state) {
    return static_cast<std::int64_t>(state.shards.size());
}

/// Minimum number of answered shards in a successful response.
std::int64_t needed_shards(const FanOutState& state) {
    const double share = state.parameters.fan_out ? state.parameters.min_coverage : 1.0;
    const double needed = std::ceil(share * static_cast<double>(total_shards(state)) - 1e-9);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(needed));
}

bool can_succeed(const FanOutState& state) {
    return total_shards(state) - state.failed >= needed_shards(state);
}

/// A trial goes on after its request has failed, as its outcome is of use to others.
bool has_live_trial(const FanOutState& state) {
    return std::any_of(state.live.begin(), state.live.end(),
                       [](const FanOutAttempt& attempt) { return attempt.is_trial; });
}

/// True for a request that has failed and runs nowhere as far as is known, while attempts that were
/// sent can still show that it has not run at all.
bool awaits_verdict(const FanOutState& state) {
    return !can_succeed(state) && !has_live_trial(state) && state.verdict == Verdict::not_run &&
           std::any_of(state.live.begin(), state.live.end(),
                       [](const FanOutAttempt& attempt) { return attempt.sent; });
}

/// Until when a failed request awaits a verdict.
Time verdict_deadline(const FanOutState& state) {
    return std::min(state.parameters.objective_deadline, state.parameters.final_deadline);
}

/// When a partial response is due while `awaited` parts are missing.
Time partial_response_time(const FanOutParameters& parameters, std::int64_t awaited) {
    return parameters.objective_deadline - parameters.response_margin -
           parameters.part_time * awaited;
}

/// Expected response time of the best other replica; empty if there is none.
std::optional<Duration> alternative_time(const Step& s, const ShardState& shard) {
    std::optional<Duration> best;
    for (const TargetIndex index : service_of(s, shard).targets) {
        const TargetState& target = s.context.targets.states[index];
        if (has_tried(shard, index) || !is_region_allowed(s.state.parameters, target) ||
            !is_candidate(s.context.targets, target, service_of(s, shard).limits.cold_per_second,
                          s.context.now)) {
            continue;
        }
        const Duration time(static_cast<std::int64_t>(response_us(target, s.context.now)));
        best = std::min(best.value_or(time), time);
    }
    return best;
}

/// Time after which an attempt at the target is hedged. It follows from the time that is left: an
/// attempt that is late is waited for as long as a hedge can still be in time.
Duration hedge_delay(const Step& s, const ShardState& shard, const TargetState& target) {
    const double expected = response_us(target, s.context.now);
    const Duration late =
        std::max(MIN_LATE_TIME, Duration(static_cast<std::int64_t>(expected * LATE_FACTOR)));
    const std::optional<Duration> alternative = alternative_time(s, shard);
    if (!alternative.has_value()) {
        return late;
    }
    const Duration latest = partial_response_time(s.state.parameters, 1) - s.context.now -
                            scaled(*alternative, HEDGE_TIME_FACTOR);
    if (latest >= late) {
        const double patience = s.state.parameters.fan_out ? FAN_OUT_PATIENCE : SINGLE_PATIENCE;
        return late + scaled(latest - late, patience);
    }
    const Duration earliest = std::max(
        EARLIEST_HEDGE, Duration(static_cast<std::int64_t>(expected * EARLIEST_HEDGE_FACTOR)));
    return std::min(late, std::max(latest, earliest));
}

void fail_shard(Step& s, ShardState& shard) {
    if (!shard.failed && !shard.answered) {
        shard.failed = true;
        shard.hedge_at.reset();
        shard.retry_at.reset();
        ++s.state.failed;
    }
}

/// True once no response can be of use: nothing more is sent, and the request ends in this step.
bool is_out_of_time(const Step& s) {
    return s.context.now >= s.state.parameters.final_deadline;
}

/// Takes back the start of an attempt that this step decided on. Returns false if the attempt was
/// started by an earlier step.
bool cancel_start(Step& s, const FanOutAttempt& attempt) {
    const auto starts = [&attempt](const FanOutAction& action) {
        const StartAttempt* start = std::get_if<StartAttempt>(&action);
        return start != nullptr && start->id == attempt.id;
    };
    if (std::erase_if(s.actions, starts) == 0) {
        return false;
    }
    uncount_request(s.context.targets.states[attempt.target]);
    const ShardState& shard = s.state.shards[attempt.shard];
    if (shard.arrivals > 0) {
        return_token(s.context.budgets[shard.service]);
    }
    return true;
}

/// Withdraws attempts of the shard that still wait for a connection. An attempt that this step
/// started is not sent at all: it could be on its way before its withdrawal.
void withdraw_unsent(Step& s, std::uint32_t shard) {
    for (std::size_t i = 0; i < s.state.live.size();) {
        const FanOutAttempt& attempt = s.state.live[i];
        if (attempt.shard != shard || attempt.sent) {
            ++i;
            continue;
        }
        if (!cancel_start(s, attempt)) {
            s.actions.emplace_back(WithdrawAttempt{attempt.id});
        }
        --s.state.shards[shard].live_attempts;
        s.state.live.erase(s.state.live.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

/// Spends a token of the retry budget, or draws the lot of the shard; an attempt is free until one
/// has reached a target of the shard.
bool spend_token(Step& s, ShardState& shard) {
    if (shard.arrivals == 0) {
        return true;
    }
    RetryBudget& budget = s.context.budgets[shard.service];
    refill(budget, s.context.retry_budget, s.context.now);
    if (try_spend(budget) ||
        draw_token(budget, std::exchange(shard.drawn_permille, 0), s.context.random)) {
        return true;
    }
    ++s.state.attempts_without_token;
    return false;
}

/// What an attempt is for.
enum class AttemptPurpose : std::uint8_t { serve, hedge, trial };

void start_attempt(Step& s, std::uint32_t shard_index, TargetIndex target, AttemptPurpose purpose) {
    ShardState& shard = s.state.shards[shard_index];
    TargetState& state = s.context.targets.states[target];
    FanOutAttempt attempt;
    attempt.id = s.state.next_attempt++;
    attempt.shard = shard_index;
    attempt.target = target;
    attempt.hedge = purpose == AttemptPurpose::hedge;
    attempt.is_trial = purpose == AttemptPurpose::trial;
    s.state.live.push_back(attempt);
    shard.tried.push_back(target);
    ++shard.live_attempts;
    shard.retry_at.reset();
    if (s.state.parameters.idempotent) {
        shard.hedge_at = s.context.now + hedge_delay(s, shard, state);
    }
    count_request(state, s.context.now);
    s.actions.emplace_back(StartAttempt{attempt.id, shard_index, target,
                                        s.state.parameters.final_deadline, attempt.hedge,
                                        attempt.is_trial});
}

/// True if the request may be sent to another target.
bool may_send_again(const Step& s, const ShardState& shard) {
    return shard.runs < s.state.parameters.max_attempts &&
           (s.state.parameters.idempotent || shard.runs == 0);
}

/// After an attempt has ended: sends the shard's request to another target, or schedules a retry,
/// or fails the shard if no target can accept it in time.
void retry_or_fail_shard(Step& s, std::uint32_t shard_index) {
    ShardState& shard = s.state.shards[shard_index];
    if (shard.answered || shard.failed || shard.live_attempts > 0 || is_out_of_time(s)) {
        return;
    }
    if (!can_succeed(s.state) || !may_send_again(s, shard) ||
        suspicion(s, shard) == Suspicion::quarantined) {
        fail_shard(s, shard);
        return;
    }
    if (suspicion(s, shard) == Suspicion::unconfirmed) {
        if (may_accept_before(s, shard, s.state.parameters.final_deadline)) {
            shard.retry_at = s.context.now + REFUSAL_PAUSE;
        } else {
            fail_shard(s, shard);
        }
        return;
    }
    const std::optional<TargetIndex> choice = choose_target(s, shard);
    if (choice.has_value() && spend_token(s, shard)) {
        s.state.retries += shard.tried.empty() ? 0 : 1;
        start_attempt(s, shard_index, *choice, AttemptPurpose::serve);
        return;
    }
    // Nothing is sent after waiting beyond the objective.
    const Time wait_end = s.state.parameters.objective_deadline;
    const bool may_wait = s.context.now + REFUSAL_PAUSE < wait_end &&
                          (shard.arrivals > 0 || !shard.tried.empty()) &&
                          (choice.has_value() || may_accept_before(s, shard, wait_end));
    if (!may_wait) {
        fail_shard(s, shard);
        return;
    }
    if (!choice.has_value()) {
        shard.tried.clear();
    }
    shard.retry_at = s.context.now + REFUSAL_PAUSE;
}

void hedge_shard(Step& s, std::uint32_t shard_index) {
    ShardState& shard = s.state.shards[shard_index];
    shard.hedge_at.reset();
    if (shard.answered || shard.failed || shard.live_attempts == 0 || !can_succeed(s.state)) {
        return;
    }
    const auto is_unsent = [shard_index](const FanOutAttempt& attempt) {
        return attempt.shard == shard_index && !attempt.sent;
    };
    const bool has_unsent = std::any_of(s.state.live.begin(), s.state.live.end(), is_unsent);
    if (!has_unsent && !may_send_again(s, shard)) {
        return;
    }
    const std::optional<TargetIndex> choice = choose_target(s, shard);
    if (!choice.has_value()) {
        if (suspicion(s, shard) == Suspicion::unconfirmed) {
            shard.hedge_at = s.context.now + REFUSAL_PAUSE;
        }
        return;
    }
    const Time partial_response = partial_response_time(s.state.parameters, 1);
    const Duration response(
        static_cast<std::int64_t>(response_us(s.context.targets.states[*choice], s.context.now)));
    const bool is_in_time = s.context.now + response <= partial_response;
    if (s.state.parameters.fan_out && !is_in_time && s.context.now < partial_response) {
        // The response would be left out of a partial one. If none can be sent then, because too
        // many parts are missing, a late one is still of use.
        shard.hedge_at = partial_response;
        return;
    }
    withdraw_unsent(s, shard_index);
    if (spend_token(s, shard)) {
        ++s.state.hedges;
        start_attempt(s, shard_index, *choice, AttemptPurpose::hedge);
    } else if (shard.live_attempts == 0) {
        retry_or_fail_shard(s, shard_index);
    } else {
        shard.hedge_at = s.context.now + REFUSAL_PAUSE;
    }
}

/// Expected time until as many shards as a successful response needs accept requests again, within
/// the retry-after bounds and with 25 percent jitter.
Duration expected_retry_after(const Step& s) {
    const Time latest = s.context.now + MAX_RETRY_AFTER;
    std::vector<Time> available;
    for (const ShardState& shard : s.state.shards) {
        available.push_back(std::min(expected_available_at(s, shard).value_or(latest), latest));
    }
    std::sort(available.begin(), available.end());
    const std::size_t needed = static_cast<std::size_t>(needed_shards(s.state));
    const Time enough = needed <= available.size() ? available[needed - 1] : latest;
    const double jitter = 0.75 + 0.5 * uniform(s.context.random);
    const Duration wait = std::max(enough - s.context.now, MIN_RETRY_AFTER);
    return Duration(static_cast<std::int64_t>(static_cast<double>(wait.count()) * jitter));
}

void withdraw_all_unsent(Step& s) {
    for (std::uint32_t shard = 0; shard < s.state.shards.size(); ++shard) {
        withdraw_unsent(s, shard);
    }
}

void end_request(Step& s, FanOutStatus status) {
    FanOutState& state = s.state;
    const auto was_sent = [](const FanOutAttempt& attempt) {
        return attempt.sent;
    };
    if (std::any_of(state.live.begin(), state.live.end(), was_sent)) {
        state.verdict = combine(state.verdict, Verdict::may_have_run);
    }
    if (status == FanOutStatus::failed && state.has_target_error) {
        status = FanOutStatus::target_error;
    }
    const bool is_failure = status == FanOutStatus::failed || status == FanOutStatus::out_of_time;
    if (is_failure && state.verdict == Verdict::not_run) {
        status = FanOutStatus::not_run;
    }
    withdraw_all_unsent(s);
    state.finished = true;
    const bool may_retry = status == FanOutStatus::not_run;
    s.actions.emplace_back(
        EndRequest{status, may_retry ? expected_retry_after(s) : Duration::zero()});
}

void end_request_if_done(Step& s) {
    FanOutState& state = s.state;
    if (state.finished) {
        return;
    }
    const std::int64_t total = total_shards(state);
    const std::int64_t needed = needed_shards(state);
    const bool all_settled = state.answered + state.failed == total;
    const bool is_objective_near =
        s.context.now >=
        partial_response_time(state.parameters, total - state.answered - state.failed);
    if (state.answered == total) {
        end_request(s, FanOutStatus::complete);
    } else if (state.answered >= needed && (all_settled || is_objective_near)) {
        end_request(s, FanOutStatus::partial);
    } else if (awaits_verdict(state) && s.context.now < verdict_deadline(state)) {
        withdraw_all_unsent(s);
    } else if (!can_succeed(state) && !has_live_trial(state)) {
        end_request(s, FanOutStatus::failed);
    } else if (is_out_of_time(s)) {
        end_request(s, FanOutStatus::out_of_time);
    }
}

/// The first attempt for a shard, before it is known whether the request is refused.
struct FirstAttempt {
    std::uint32_t shard = 0;
    TargetIndex target = 0;
    AttemptPurpose purpose = AttemptPurpose::serve;
};

void begin(Step& s) {
    if (is_out_of_time(s)) {
        // The deadline has passed before anything was sent.
        end_request(s, FanOutStatus::not_run);
        return;
    }
    for (ShardState& shard : s.state.shards) {
        RetryBudget& budget = s.context.budgets[shard.service];
        const RetryBudgetLimits& limits = s.context.retry_budget;
        update_slack(budget, limits, s.context.targets.group, service_of(s, shard).limits.name,
                     s.context.now);
        shard.drawn_permille = plan_request(budget, limits, s.context.now);
    }
    bool has_trial = false;
    std::vector<FirstAttempt> attempts;
    for (std::uint32_t shard_index = 0; shard_index < s.state.shards.size(); ++shard_index) {
        ShardState& shard = s.state.shards[shard_index];
        const bool is_trial = s.state.parameters.is_trial && !has_trial &&
                              suspicion(s, shard) == Suspicion::quarantined;
        const std::optional<TargetIndex> choice =
            is_trial ? choose_untried(s, shard) : choose_target(s, shard);
        if (!choice.has_value()) {
            fail_shard(s, shard);
            continue;
        }
        has_trial = has_trial || is_trial;
        attempts.push_back(
            {shard_index, *choice, is_trial ? AttemptPurpose::trial : AttemptPurpose::serve});
    }
    // Refuses the request before anything is sent if too few shards have an available target.
    const bool has_too_few = !can_succeed(s.state);
    if (has_too_few && !has_trial) {
        end_request(s, FanOutStatus::not_run);
        return;
    }
    for (const FirstAttempt& attempt : attempts) {
        if (!has_too_few || attempt.purpose == AttemptPurpose::trial) {
            start_attempt(s, attempt.shard, attempt.target, attempt.purpose);
        } else {
            fail_shard(s, s.state.shards[attempt.shard]);
        }
    }
}

void handle_attempt_sent(Step& s, const AttemptSent& event) {
    for (FanOutAttempt& attempt : s.state.live) {
        if (attempt.id == event.id && !attempt.sent) {
            attempt.sent = true;
            ++s.state.shards[attempt.shard].arrivals;
            ++s.state.shards[attempt.shard].runs;
        }
    }
}

void handle_attempt_ended(Step& s, const AttemptEnded& event) {
    FanOutState& state = s.state;
    const auto same = [&event](const FanOutAttempt& attempt) {
        return attempt.id == event.id;
    };
    const auto found = std::find_if(state.live.begin(), state.live.end(), same);
    if (found == state.live.end()) {
        return;
    }
    const FanOutAttempt attempt = *found;
    state.live.erase(found);
    ShardState& shard = state.shards[attempt.shard];
    --shard.live_attempts;
    if (is_not_run(event.status)) {
        shard.runs -= attempt.sent ? 1 : 0;
    } else {
        const bool ran = event.status == FanOutAttemptStatus::answered ||
                         event.status == FanOutAttemptStatus::target_error;
        state.verdict = combine(state.verdict, ran ? Verdict::ran : Verdict::may_have_run);
    }
    if (event.status == FanOutAttemptStatus::answered && !shard.answered) {
        state.failed -= shard.failed ? 1 : 0;
        shard.failed = false;
        shard.answered = true;
        shard.hedge_at.reset();
        shard.retry_at.reset();
        ++state.answered;
        withdraw_unsent(s, attempt.shard);
        return;
    }
    if (event.status == FanOutAttemptStatus::target_error && !state.parameters.fan_out) {
        state.has_target_error = true;
    }
    retry_or_fail_shard(s, attempt.shard);
}

void on_tick(Step& s) {
    if (is_out_of_time(s)) {
        return;
    }
    for (std::uint32_t shard_index = 0; shard_index < s.state.shards.size(); ++shard_index) {
        const ShardState& shard = s.state.shards[shard_index];
        if (shard.hedge_at.has_value() && *shard.hedge_at <= s.context.now) {
            hedge_shard(s, shard_index);
        }
        if (shard.retry_at.has_value() && *shard.retry_at <= s.context.now) {
            s.state.shards[shard_index].retry_at.reset();
            retry_or_fail_shard(s, shard_index);
        }
    }
}

}  // namespace

const char* name_of(FanOutAttemptStatus status) {
    switch (status) {
        case FanOutAttemptStatus::answered:
            return "answered";
        case FanOutAttemptStatus::target_error:
            return "target_error";
        case FanOutAttemptStatus::refused:
            return "refused";
        case FanOutAttemptStatus::misdirected:
            return "misdirected";
        case FanOutAttemptStatus::not_connected:
            return "not_connected";
        case FanOutAttemptStatus::broken:
            return "broken";
        case FanOutAttemptStatus::timed_out:
            return "timed_out";
    }
    return "unknown";
}

bool is_not_run(FanOutAttemptStatus status) {
    return status == FanOutAttemptStatus::refused || status == FanOutAttemptStatus::misdirected ||
           status == FanOutAttemptStatus::not_connected;
}

const char* name_of(FanOutStatus status) {
    switch (status) {
        case FanOutStatus::complete:
            return "complete";
        case FanOutStatus::partial:
            return "partial";
        case FanOutStatus::target_error:
            return "target_error";
        case FanOutStatus::not_run:
            return "not_run";
        case FanOutStatus::failed:
            return "failed";
        case FanOutStatus::out_of_time:
            return "out_of_time";
    }
    return "unknown";
}

FanOutState begin_request(const FanOutParameters& parameters,
                          const std::vector<ServiceIndex>& services) {
    FanOutState state;
    state.parameters = parameters;
    state.shards.resize(services.size());
    for (std::size_t i = 0; i < services.size(); ++i) {
        state.shards[i].service = services[i];
    }
    return state;
}

std::vector<FanOutAction> step(FanOutState& state, const FanOutEvent& event,
                               const FanOutContext& context) {
    Step s{state, context, {}};
    if (state.finished) {
        return {};
    }
    if (std::holds_alternative<BeginRequest>(event)) {
        begin(s);
    } else if (const AttemptSent* sent = std::get_if<AttemptSent>(&event)) {
        handle_attempt_sent(s, *sent);
        return {};
    } else if (const AttemptEnded* ended = std::get_if<AttemptEnded>(&event)) {
        handle_attempt_ended(s, *ended);
    } else if (std::holds_alternative<ResourcesExhausted>(event)) {
        const bool has_enough = state.parameters.fan_out && state.answered >= needed_shards(state);
        end_request(s, has_enough ? FanOutStatus::partial : FanOutStatus::failed);
    } else {
        on_tick(s);
    }
    end_request_if_done(s);
    return std::move(s.actions);
}

Time next_tick(const FanOutState& state) {
    Time next = state.parameters.final_deadline;
    const Time partial_response_at = partial_response_time(
        state.parameters, total_shards(state) - state.answered - state.failed);
    for (const ShardState& shard : state.shards) {
        if (shard.hedge_at.has_value()) {
            next = std::min(next, *shard.hedge_at);
        }
        if (shard.retry_at.has_value()) {
            next = std::min(next, *shard.retry_at);
        }
    }
    if (awaits_verdict(state)) {
        next = std::min(next, verdict_deadline(state));
    }
    return state.answered >= needed_shards(state) ? std::min(next, partial_response_at) : next;
}

}  // namespace ebonymount
