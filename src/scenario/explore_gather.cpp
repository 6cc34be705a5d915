#include <algorithm>
#include <map>
#include <set>

#include "policy/gather.h"
#include "scenario/explore.h"

namespace ebonymount {
namespace {

constexpr int MOST_STEPS = 400;

/// A request in progress with everything its outcome is judged by.
struct GatherTrial {
    RoutingView view;
    ServiceRow row;
    RetryBudget budget;
    LatencyEstimates scores;
    LatencyHistogram latencies;
    GatherState state;
    QuarantineState quarantine_state = QuarantineState::clear;
    std::map<std::uint64_t, SendAttempt> sent;
    std::set<std::uint64_t> reported;
    /// Attempts that ran or may have run, by shard of the snapshot they were sent for.
    std::map<std::string, int> runs;
    int losses = 0;
    std::map<std::string, std::string> truthful;
    std::optional<GatherOutcome> outcome;
    bool sent_after_end = false;
};

Snapshot make_snapshot(const std::string& id, std::size_t shards, Random& random) {
    Snapshot snapshot;
    snapshot.id = id;
    for (std::size_t number = 0; number < shards; ++number) {
        Shard shard;
        shard.id = "s" + std::to_string(number);
        shard.documents = static_cast<std::int64_t>(random() % 100);
        shard.digest = id + "/" + shard.id;
        for (const char* data_centre : {"x", "y", "z"}) {
            shard.replicas.push_back(std::string(data_centre) + std::to_string(number));
        }
        snapshot.shards.push_back(shard);
    }
    return snapshot;
}

GatherTrial make_trial(Random& random) {
    GatherTrial trial;
    Placement placement;
    placement.service = "svc";
    placement.version = 1;
    constexpr std::size_t MOST_SHARDS = 6;
    for (const char* data_centre : {"x", "y", "z"}) {
        for (std::size_t number = 0; number < MOST_SHARDS; ++number) {
            placement.targets.push_back({data_centre + std::to_string(number), data_centre,
                                         std::string("host-") + data_centre, "", false});
        }
    }
    placement.snapshots.push_back(make_snapshot("new", 1 + random() % MOST_SHARDS, random));
    placement.snapshots.push_back(make_snapshot("old", 1 + random() % MOST_SHARDS, random));
    trial.view.placements["svc"] = placement;
    if (random() % 3 == 0) {
        trial.view.configuration.out_of_service_data_centres.push_back("z");
    }
    trial.row.service = "svc";
    trial.row.enough_coverage_permille = random() % 2 == 0 ? 1000 : 600;
    trial.state.request.service = "svc";
    trial.state.request.idempotent = random() % 3 != 0;
    trial.quarantine_state = random() % 5 == 0 ? QuarantineState::suspect : QuarantineState::clear;
    return trial;
}

void take_actions(GatherTrial& trial, const std::vector<GatherAction>& actions) {
    for (const GatherAction& action : actions) {
        if (const SendAttempt* send = std::get_if<SendAttempt>(&action)) {
            trial.sent_after_end = trial.sent_after_end || trial.outcome.has_value();
            trial.sent[send->attempt] = *send;
        } else if (const Finish* finish = std::get_if<Finish>(&action)) {
            trial.outcome = finish->outcome;
        } else if (const ChangeQuarantineState* change =
                       std::get_if<ChangeQuarantineState>(&action)) {
            trial.quarantine_state = change->quarantine_state;
        }
    }
}

void advance(GatherTrial& trial, const GatherEvent& event, Time now, Random& random) {
    const GatherContext context{
        trial.view,   trial.row,      "x", from_ms(10), trial.quarantine_state, trial.budget,
        trial.scores, trial.latencies};
    take_actions(trial, step(trial.state, event, context, now, random));
}

/// A random end for an attempt: mostly answers, of which a few come from another snapshot.
AttemptOutcome random_outcome(const SendAttempt& send, Random& random) {
    static const std::vector<AttemptStatus> failures = {
        AttemptStatus::overloaded, AttemptStatus::not_owner,        AttemptStatus::unreachable,
        AttemptStatus::shed,       AttemptStatus::snapshot_missing, AttemptStatus::target_lost,
        AttemptStatus::relay_lost, AttemptStatus::timed_out};
    AttemptOutcome outcome;
    outcome.attempt = send.attempt;
    if (random() % 2 == 0) {
        outcome.status = AttemptStatus::answered;
        outcome.verdict = Verdict::ran;
        outcome.snapshot = random() % 8 == 0 ? "other" : send.snapshot;
        outcome.digest = (random() % 8 == 0 ? "stale" : send.snapshot) + "/" + send.shard;
        outcome.result = outcome.digest;
        return outcome;
    }
    outcome.status = failures.at(random() % failures.size());
    const bool doubtful = outcome.status == AttemptStatus::target_lost ||
                          outcome.status == AttemptStatus::relay_lost ||
                          outcome.status == AttemptStatus::timed_out;
    outcome.verdict = doubtful ? Verdict::may_have_run : Verdict::not_run;
    return outcome;
}

std::optional<std::string> check_outcome(const GatherTrial& trial) {
    const GatherOutcome& outcome = *trial.outcome;
    const std::vector<Snapshot>& snapshots = trial.view.placements.at("svc").snapshots;
    const auto same = [&outcome](const Snapshot& item) {
        return item.id == outcome.snapshot;
    };
    const auto pinned = std::find_if(snapshots.begin(), snapshots.end(), same);
    if (pinned == snapshots.end()) {
        return "the answer names no snapshot";
    }
    Coverage counted;
    for (std::size_t index = 0; index < pinned->shards.size(); ++index) {
        const Shard& shard = pinned->shards[index];
        ++counted.shards_total;
        counted.documents_total += shard.documents;
        if (!outcome.results.at(index).has_value()) {
            continue;
        }
        if (*outcome.results[index] != pinned->id + "/" + shard.id) {
            return "shard " + shard.id + " carries the result " + *outcome.results[index];
        }
        ++counted.shards_answered;
        counted.documents_answered += shard.documents;
    }
    if (!(counted == outcome.coverage)) {
        return "coverage states " + std::to_string(outcome.coverage.shards_answered) +
               " shards, the results have " + std::to_string(counted.shards_answered);
    }
    if (!trial.state.request.idempotent && outcome.verdict == Verdict::not_run &&
        !trial.runs.empty()) {
        return "the verdict is not_run although an attempt ran or may have run";
    }
    return std::nullopt;
}

std::optional<std::string> check(const GatherTrial& trial, Time now) {
    if (trial.sent_after_end) {
        return "an attempt was sent after the end";
    }
    for (const auto& [shard, runs] : trial.runs) {
        if (!trial.state.request.idempotent && runs > 1) {
            return "a non-idempotent request may have run " + std::to_string(runs) +
                   " times at shard " + shard;
        }
    }
    if (!trial.outcome.has_value() && now > trial.state.hard_deadline) {
        return "there is no answer at the hard deadline";
    }
    for (const auto& [attempt, send] : trial.sent) {
        if (send.target.front() == 'z' &&
            !trial.view.configuration.out_of_service_data_centres.empty()) {
            return "an attempt went to a data centre that is out";
        }
    }
    return trial.outcome.has_value() ? check_outcome(trial) : std::nullopt;
}

/// Ends a random attempt, sometimes one that has been ended before.
void end_some_attempt(GatherTrial& trial, Time now, Random& random) {
    if (trial.sent.empty()) {
        advance(trial, TickEvent{}, now, random);
        return;
    }
    auto chosen = trial.sent.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random() % trial.sent.size()));
    const AttemptOutcome outcome = random_outcome(chosen->second, random);
    const bool first = trial.reported.insert(outcome.attempt).second;
    if (first && outcome.verdict != Verdict::not_run) {
        ++trial.runs[chosen->second.shard];
    }
    if (first || random() % 2 == 0) {
        advance(trial, outcome, now, random);
    }
}

}  // namespace

ExploreResult explore_gather(std::uint64_t seed) {
    Random random(seed);
    GatherTrial trial = make_trial(random);
    Time now = Time{} + from_ms(1000);
    ExploreResult result;
    advance(trial, BeginEvent{}, now, random);
    for (int index = 0; index < MOST_STEPS && !trial.outcome.has_value(); ++index) {
        now += Duration(static_cast<std::int64_t>(random() % 4000));
        ++result.steps;
        if (now >= trial.state.hard_deadline || random() % 3 == 0) {
            advance(trial, TickEvent{}, now, random);
        } else {
            end_some_attempt(trial, now, random);
        }
        if (const std::optional<std::string> broken = check(trial, now)) {
            result.failure = *broken;
            return result;
        }
    }
    // What arrives after the end must change nothing.
    for (int late = 0; late < 5; ++late) {
        end_some_attempt(trial, now, random);
    }
    result.failure = check(trial, now);
    return result;
}

}  // namespace ebonymount
