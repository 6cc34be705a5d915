#include "policy/gather.h"

#include <algorithm>
#include <utility>

#include "base/check.h"

namespace ebonymount {
namespace {

/// Expected response times of targets without measurements, in the own and in another data centre.
constexpr double SAME_DATA_CENTRE_PRIOR_US = 3000.0;
constexpr double OTHER_DATA_CENTRE_PRIOR_US = 15000.0;

/// Minimum pause before the replicas of a shard are tried again, and the maximum number of times it
/// doubles.
constexpr Duration MIN_BACKOFF = from_ms(10);
constexpr int MAX_BACKOFF_DOUBLINGS = 3;

/// Maximum number of restarts on another snapshot within one request.
constexpr int MAX_RESTARTS = 1;

using Actions = std::vector<GatherAction>;

struct Step {
    GatherState& state;
    const GatherContext& context;
    Time now;
    Random& random;
    Actions actions;
};

const Placement* placement_of(const Step& s) {
    const auto found = s.context.view.placements.find(s.state.request.service);
    return found == s.context.view.placements.end() ? nullptr : &found->second;
}

double noisy_expected_us(Step& s, const Target& target) {
    const bool is_same_data_centre = target.data_centre == s.context.own_data_centre;
    const double prior_us =
        is_same_data_centre ? SAME_DATA_CENTRE_PRIOR_US : OTHER_DATA_CENTRE_PRIOR_US;
    // A little noise spreads requests over replicas with nearly equal estimates.
    const double noise = 1.0 + 0.05 * uniform(s.random);
    return expected_us(s.context.latency_estimates, target.id, prior_us, s.now) * noise;
}

bool is_usable(const Step& s, const std::string& id) {
    const Target* target = find_target(*placement_of(s), id);
    return target != nullptr && accepts_new_work(s.context.view, *target);
}

bool has_usable_replica(const Step& s, std::size_t shard) {
    const std::vector<std::string>& replicas = s.state.pinned->shards.at(shard).replicas;
    const auto usable = [&s](const std::string& id) {
        return is_usable(s, id);
    };
    return std::any_of(replicas.begin(), replicas.end(), usable);
}

/// The untried usable replica with the shortest expected time, or null. A replica known to lack the
/// pinned snapshot comes after all others.
const Target* choose_replica(Step& s, std::size_t shard) {
    const Target* best = nullptr;
    bool best_lacks_snapshot = false;
    double best_us = 0.0;
    for (const std::string& id : s.state.pinned->shards.at(shard).replicas) {
        if (s.state.shards.at(shard).tried.count(id) > 0 || !is_usable(s, id)) {
            continue;
        }
        const Target* target = find_target(*placement_of(s), id);
        const bool lacks =
            lacks_snapshot(s.context.latency_estimates, id, s.state.pinned->id, s.now);
        const double candidate_us = noisy_expected_us(s, *target);
        if (best == nullptr ||
            std::pair(lacks, candidate_us) < std::pair(best_lacks_snapshot, best_us)) {
            best = target;
            best_lacks_snapshot = lacks;
            best_us = candidate_us;
        }
    }
    return best;
}

bool has_live_attempt(const GatherState& state, std::size_t shard) {
    const auto same = [shard](const GatherAttempt& attempt) {
        return attempt.shard == shard;
    };
    return std::any_of(state.live.begin(), state.live.end(), same);
}

bool has_live_probe(const GatherState& state) {
    const auto probing = [](const GatherAttempt& attempt) {
        return attempt.probe;
    };
    return std::any_of(state.live.begin(), state.live.end(), probing);
}

void send(Step& s, std::size_t shard, const Target& target, bool extra) {
    GatherState& state = s.state;
    GatherAttempt attempt;
    attempt.id = state.next_attempt++;
    attempt.shard = shard;
    attempt.target = target.id;
    attempt.sent_at = s.now;
    attempt.probe = state.probing;
    state.shards.at(shard).tried.insert(target.id);
    state.shards.at(shard).retry_at.reset();
    state.live.push_back(attempt);
    on_sent(s.context.latency_estimates, target.id);
    s.actions.emplace_back(SendAttempt{attempt.id, state.pinned->shards.at(shard).id, target.id,
                                       state.pinned->id, state.hard_deadline, extra});
}

Duration backoff(int refusals, Random& random) {
    const int doublings = std::min(refusals / 3, MAX_BACKOFF_DOUBLINGS);
    const double factor = (0.75 + 0.5 * uniform(random)) * static_cast<double>(1 << doublings);
    return Duration(static_cast<std::int64_t>(static_cast<double>(MIN_BACKOFF.count()) * factor));
}

/// Sends the first or another attempt for a shard, or schedules a retry, or gives up the shard.
void send_or_schedule_retry(Step& s, std::size_t shard) {
    ShardProgress& progress = s.state.shards.at(shard);
    if (!has_usable_replica(s, shard) || progress.attempts >= s.context.row.attempts_per_shard) {
        progress.given_up = true;
        return;
    }
    const Target* target = choose_replica(s, shard);
    if (target == nullptr) {
        progress.tried.clear();
        progress.retry_at = s.now + backoff(progress.refusals, s.random);
        return;
    }
    const bool extra = progress.attempts > 0;
    if (extra && !try_spend(s.context.budget)) {
        progress.retry_at = s.now + MIN_BACKOFF;
        return;
    }
    send(s, shard, *target, extra);
}

/// Sends an attempt for every shard that has neither a response nor an attempt in flight. While the
/// request is probed, only one attempt is in flight at a time.
void send_waiting_shards(Step& s) {
    for (std::size_t shard = 0; shard < s.state.shards.size(); ++shard) {
        if (s.state.probing && has_live_probe(s.state)) {
            return;
        }
        const ShardProgress& progress = s.state.shards.at(shard);
        const bool waiting =
            !progress.answered && !progress.given_up && !has_live_attempt(s.state, shard);
        const bool due = !progress.retry_at.has_value() || *progress.retry_at <= s.now;
        if (waiting && due) {
            send_or_schedule_retry(s, shard);
        }
    }
}

void pin_snapshot(Step& s, const Snapshot& snapshot) {
    s.state.pinned = &snapshot;
    s.state.shards.assign(snapshot.shards.size(), ShardProgress{});
}

void cancel_attempt(Step& s, const GatherAttempt& attempt) {
    on_cancelled(s.context.latency_estimates, attempt.target, s.now - attempt.sent_at, s.now);
    // The elapsed time is a lower bound of the latency, which still marks a straggler as slow.
    add_sample(s.context.latencies, s.now - attempt.sent_at);
    s.actions.emplace_back(CancelAttempt{attempt.id, attempt.target});
}

void cancel_all(Step& s) {
    for (const GatherAttempt& attempt : s.state.live) {
        cancel_attempt(s, attempt);
    }
    s.state.live.clear();
}

void cancel_shard(Step& s, std::size_t shard) {
    for (const GatherAttempt& attempt : s.state.live) {
        if (attempt.shard == shard) {
            cancel_attempt(s, attempt);
        }
    }
    std::erase_if(s.state.live,
                  [shard](const GatherAttempt& attempt) { return attempt.shard == shard; });
}

void finish_request(Step& s, GatherStatus status) {
    GatherState& state = s.state;
    GatherOutcome outcome;
    outcome.status = status;
    outcome.verdict = state.live.empty() ? state.combined_verdict
                                         : combine(state.combined_verdict, Verdict::may_have_run);
    outcome.coverage = coverage_of(state);
    outcome.overloaded = state.overloaded;
    if (state.pinned != nullptr) {
        outcome.snapshot = state.pinned->id;
    }
    for (ShardProgress& progress : state.shards) {
        outcome.results.push_back(progress.answered
                                      ? std::optional<std::string>(std::move(progress.result))
                                      : std::nullopt);
    }
    cancel_all(s);
    state.finished = true;
    s.actions.emplace_back(Finish{std::move(outcome)});
}

GatherStatus status_by_coverage(const GatherState& state) {
    const Coverage coverage = coverage_of(state);
    if (is_complete(coverage)) {
        return GatherStatus::complete;
    }
    if (state.quarantined) {
        return GatherStatus::quarantined;
    }
    return coverage.shards_answered == 0 ? GatherStatus::no_answer : GatherStatus::partial;
}

bool is_settled(const GatherState& state) {
    const auto settled = [](const ShardProgress& progress) {
        return progress.answered || progress.given_up;
    };
    return std::all_of(state.shards.begin(), state.shards.end(), settled);
}

/// True if the request may end at the soft deadline with the results so far.
bool is_coverage_enough(const GatherState& state, const ServiceRow& row) {
    const Coverage coverage = coverage_of(state);
    return state.request.idempotent && coverage.shards_answered > 0 &&
           permille(coverage) >= row.enough_coverage_permille;
}

/// Finishes the request if all shards are settled or a deadline has passed.
void finish_if_done(Step& s) {
    GatherState& state = s.state;
    if (state.finished) {
        return;
    }
    const bool past_soft_deadline =
        s.now >= state.soft_deadline && is_coverage_enough(state, s.context.row);
    const bool past_hard_deadline = s.now >= state.hard_deadline;
    if (is_settled(state) || past_soft_deadline || past_hard_deadline) {
        finish_request(s, status_by_coverage(state));
    }
}

/// Restarts the request on the newest snapshot other than the pinned one, if it may be repeated.
bool try_restart(Step& s) {
    GatherState& state = s.state;
    // Once a non-idempotent request may have run, it must not be sent by another shard map.
    const bool may_repeat = state.request.idempotent ||
                            (state.combined_verdict == Verdict::not_run && state.live.empty());
    if (state.restarts >= MAX_RESTARTS || !may_repeat) {
        return false;
    }
    for (const Snapshot& snapshot : placement_of(s)->snapshots) {
        if (snapshot.id != state.pinned->id) {
            ++state.restarts;
            cancel_all(s);
            pin_snapshot(s, snapshot);
            send_waiting_shards(s);
            return true;
        }
    }
    return false;
}

bool matches_snapshot(const GatherState& state, const GatherAttempt& attempt,
                      const AttemptOutcome& outcome) {
    const Shard& shard = state.pinned->shards.at(attempt.shard);
    const bool same_digest = shard.digest.empty() || shard.digest == outcome.digest;
    return outcome.snapshot == state.pinned->id && same_digest;
}

void handle_response(Step& s, const GatherAttempt& attempt, const AttemptOutcome& outcome) {
    on_response(s.context.latency_estimates, attempt.target, s.now - attempt.sent_at, s.now);
    add_sample(s.context.latencies, s.now - attempt.sent_at);
    ShardProgress& progress = s.state.shards.at(attempt.shard);
    progress.answered = true;
    progress.given_up = false;
    progress.result = outcome.result;
    cancel_shard(s, attempt.shard);
    if (s.state.probing && attempt.probe) {
        s.state.probing = false;
        s.actions.emplace_back(ChangeQuarantineState{QuarantineState::clear});
    }
}

void give_up_waiting_shards(GatherState& state) {
    for (std::size_t shard = 0; shard < state.shards.size(); ++shard) {
        if (!state.shards.at(shard).answered && !has_live_attempt(state, shard)) {
            state.shards.at(shard).given_up = true;
        }
    }
}

/// A target was lost while it ran the request: suspects the request, which is then probed, or
/// quarantines it if it was being probed.
void handle_target_loss(Step& s, const GatherAttempt& attempt) {
    ++s.state.target_losses;
    if (attempt.probe) {
        s.state.quarantined = true;
        s.actions.emplace_back(ChangeQuarantineState{QuarantineState::quarantined});
        give_up_waiting_shards(s.state);
        return;
    }
    if (s.state.target_losses == 1) {
        s.state.probing = true;
        s.actions.emplace_back(ChangeQuarantineState{QuarantineState::suspect});
    }
}

void handle_missing_snapshot(Step& s, const GatherAttempt& attempt) {
    const std::size_t shard = attempt.shard;
    on_snapshot_missing(s.context.latency_estimates, attempt.target, s.state.pinned->id, s.now);
    if (choose_replica(s, shard) == nullptr && !has_live_attempt(s.state, shard)) {
        try_restart(s);
    }
}

bool may_retry(const GatherState& state, const AttemptOutcome& outcome) {
    if (outcome.status == AttemptStatus::rejected) {
        return false;
    }
    return state.request.idempotent || outcome.verdict == Verdict::not_run;
}

void handle_failure(Step& s, const GatherAttempt& attempt, const AttemptOutcome& outcome) {
    GatherState& state = s.state;
    on_failure(s.context.latency_estimates, attempt.target, s.now);
    ShardProgress& progress = state.shards.at(attempt.shard);
    state.overloaded = state.overloaded || outcome.status == AttemptStatus::overloaded;
    if (reached_target(outcome.status)) {
        ++progress.attempts;
    } else {
        ++progress.refusals;
    }
    if (outcome.status == AttemptStatus::target_lost) {
        handle_target_loss(s, attempt);
    }
    if (!may_retry(state, outcome)) {
        progress.given_up = true;
    }
    if (outcome.status == AttemptStatus::rejected) {
        finish_request(s, GatherStatus::rejected);
        return;
    }
    if (outcome.status == AttemptStatus::snapshot_missing) {
        handle_missing_snapshot(s, attempt);
    }
}

void handle_outcome(Step& s, const AttemptOutcome& reported) {
    GatherState& state = s.state;
    const auto same = [&reported](const GatherAttempt& attempt) {
        return attempt.id == reported.attempt;
    };
    const auto found = std::find_if(state.live.begin(), state.live.end(), same);
    if (found == state.live.end()) {
        ++state.late_responses;
        return;
    }
    const GatherAttempt attempt = *found;
    state.live.erase(found);
    AttemptOutcome outcome = reported;
    state.combined_verdict = combine(state.combined_verdict, outcome.verdict);
    if (outcome.status == AttemptStatus::answered && !matches_snapshot(state, attempt, outcome)) {
        outcome.status = AttemptStatus::snapshot_missing;
    }
    if (outcome.status == AttemptStatus::answered) {
        handle_response(s, attempt, outcome);
    } else {
        handle_failure(s, attempt, outcome);
    }
}

void begin(Step& s) {
    GatherState& state = s.state;
    state.started = s.now;
    const Duration allowed_time =
        std::min(state.request.time_limit, from_ms(s.context.row.hard_deadline_ms));
    state.hard_deadline = s.now + allowed_time;
    state.soft_deadline =
        std::min(state.hard_deadline, s.now + from_ms(s.context.row.soft_deadline_ms));
    const Placement* placement = placement_of(s);
    if (placement == nullptr || placement->snapshots.empty()) {
        finish_request(s, GatherStatus::unknown_service);
        return;
    }
    pin_snapshot(s, placement->snapshots.front());
    if (s.context.quarantine_state == QuarantineState::quarantined) {
        finish_request(s, GatherStatus::quarantined);
        return;
    }
    state.probing = s.context.quarantine_state == QuarantineState::suspect;
    add_tokens(s.context.budget, static_cast<std::int64_t>(state.shards.size()),
               s.context.row.extra_load_permille);
}

bool may_hedge(const GatherState& state, const GatherContext& context,
               const GatherAttempt& attempt) {
    return state.request.idempotent && !state.probing && state.target_losses == 0 &&
           !attempt.hedged && context.hedge_delay > Duration::zero() &&
           context.row.hedge_quantile_permille < 1000;
}

void hedge_stragglers(Step& s) {
    const std::vector<GatherAttempt> waiting = s.state.live;
    for (const GatherAttempt& attempt : waiting) {
        const bool due = attempt.sent_at + s.context.hedge_delay <= s.now;
        if (!due || !may_hedge(s.state, s.context, attempt)) {
            continue;
        }
        for (GatherAttempt& live : s.state.live) {
            live.hedged = live.hedged || live.shard == attempt.shard;
        }
        const Target* target = choose_replica(s, attempt.shard);
        if (target != nullptr && try_spend(s.context.budget)) {
            send(s, attempt.shard, *target, true);
            s.state.live.back().hedged = true;
        }
    }
}

}  // namespace

const char* name_of(GatherStatus status) {
    switch (status) {
        case GatherStatus::complete:
            return "complete";
        case GatherStatus::partial:
            return "partial";
        case GatherStatus::no_answer:
            return "no_answer";
        case GatherStatus::rejected:
            return "rejected";
        case GatherStatus::quarantined:
            return "quarantined";
        case GatherStatus::unknown_service:
            return "unknown_service";
    }
    return "unknown";
}

std::vector<GatherAction> step(GatherState& state, const GatherEvent& event,
                               const GatherContext& context, Time now, Random& random) {
    Step s{state, context, now, random, {}};
    if (state.finished) {
        state.late_responses += std::holds_alternative<AttemptOutcome>(event) ? 1 : 0;
        return {};
    }
    if (std::holds_alternative<BeginEvent>(event)) {
        begin(s);
    } else if (const AttemptOutcome* outcome = std::get_if<AttemptOutcome>(&event)) {
        handle_outcome(s, *outcome);
    }
    if (!state.finished && now < state.hard_deadline) {
        send_waiting_shards(s);
        hedge_stragglers(s);
    }
    finish_if_done(s);
    return std::move(s.actions);
}

Time next_tick(const GatherState& state, const GatherContext& context) {
    Time next = state.hard_deadline;
    if (is_coverage_enough(state, context.row)) {
        next = std::min(next, state.soft_deadline);
    }
    const bool probe_in_flight = state.probing && has_live_probe(state);
    for (const ShardProgress& progress : state.shards) {
        if (!progress.answered && !probe_in_flight && progress.retry_at.has_value()) {
            next = std::min(next, *progress.retry_at);
        }
    }
    for (const GatherAttempt& attempt : state.live) {
        if (may_hedge(state, context, attempt)) {
            next = std::min(next, attempt.sent_at + context.hedge_delay);
        }
    }
    return next;
}

Coverage coverage_of(const GatherState& state) {
    Coverage coverage;
    if (state.pinned == nullptr) {
        return coverage;
    }
    for (std::size_t shard = 0; shard < state.shards.size(); ++shard) {
        const std::int64_t documents = state.pinned->shards.at(shard).documents;
        ++coverage.shards_total;
        coverage.documents_total += documents;
        if (state.shards.at(shard).answered) {
            ++coverage.shards_answered;
            coverage.documents_answered += documents;
        }
    }
    return coverage;
}

}  // namespace ebonymount
