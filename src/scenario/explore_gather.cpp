#include <algorithm>
#include <map>
#include <set>

#include "policy/gather.h"
#include "scenario/explore.h"

namespace ebonymount {
namespace {

constexpr int MAX_STEPS = 400;

/// A request in progress, with the records that its outcome is checked against.
struct GatherRun {
    RoutingView view;
    ServiceRow row;
    RetryBudget budget;
    LatencyEstimates latency_estimates;
    LatencyHistogram latencies;
    GatherState state;
    QuarantineState quarantine_state = QuarantineState::clear;
    std::map<std::uint64_t, SendAttempt> sent;
    /// Attempts with an outcome, which may be delivered again.
    std::set<std::uint64_t> reported;
    /// Number of attempts that ran or may have run, by the shard they were sent for.
    std::map<std::string, int> runs;
    int target_losses = 0;
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

GatherRun make_run(Random& random) {
    GatherRun run;
    Placement placement;
    placement.service = "svc";
    placement.version = 1;
    constexpr std::size_t MAX_SHARDS = 6;
    for (const char* data_centre : {"x", "y", "z"}) {
        for (std::size_t number = 0; number < MAX_SHARDS; ++number) {
            placement.targets.push_back({data_centre + std::to_string(number), data_centre,
                                         std::string("host-") + data_centre, "", false});
        }
    }
    placement.snapshots.push_back(make_snapshot("new", 1 + random() % MAX_SHARDS, random));
    placement.snapshots.push_back(make_snapshot("old", 1 + random() % MAX_SHARDS, random));
    run.view.placements["svc"] = placement;
    if (random() % 3 == 0) {
        run.view.configuration.out_of_service_data_centres.push_back("z");
    }
    run.row.service = "svc";
    run.row.enough_coverage_permille = random() % 2 == 0 ? 1000 : 600;
    run.state.request.service = "svc";
    run.state.request.idempotent = random() % 3 != 0;
    run.quarantine_state = random() % 5 == 0 ? QuarantineState::suspect : QuarantineState::clear;
    return run;
}

void apply_actions(GatherRun& run, const std::vector<GatherAction>& actions) {
    for (const GatherAction& action : actions) {
        if (const SendAttempt* send = std::get_if<SendAttempt>(&action)) {
            run.sent_after_end = run.sent_after_end || run.outcome.has_value();
            run.sent[send->attempt] = *send;
        } else if (const Finish* finish = std::get_if<Finish>(&action)) {
            run.outcome = finish->outcome;
        } else if (const ChangeQuarantineState* change =
                       std::get_if<ChangeQuarantineState>(&action)) {
            run.quarantine_state = change->quarantine_state;
        }
    }
}

void advance(GatherRun& run, const GatherEvent& event, Time now, Random& random) {
    const GatherContext context{run.view,
                                run.row,
                                "x",
                                from_ms(10),
                                run.quarantine_state,
                                run.budget,
                                run.latency_estimates,
                                run.latencies};
    apply_actions(run, step(run.state, event, context, now, random));
}

/// A random outcome of an attempt. Half of the outcomes are responses, a few of which come from
/// another snapshot.
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
    const bool may_have_run = outcome.status == AttemptStatus::target_lost ||
                              outcome.status == AttemptStatus::relay_lost ||
                              outcome.status == AttemptStatus::timed_out;
    outcome.verdict = may_have_run ? Verdict::may_have_run : Verdict::not_run;
    return outcome;
}

std::optional<std::string> check_outcome(const GatherRun& run) {
    const GatherOutcome& outcome = *run.outcome;
    const std::vector<Snapshot>& snapshots = run.view.placements.at("svc").snapshots;
    const auto is_same_snapshot = [&outcome](const Snapshot& item) {
        return item.id == outcome.snapshot;
    };
    const auto pinned = std::find_if(snapshots.begin(), snapshots.end(), is_same_snapshot);
    if (pinned == snapshots.end()) {
        return "the response names no known snapshot";
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
            return "shard " + shard.id + " returned the result " + *outcome.results[index];
        }
        ++counted.shards_answered;
        counted.documents_answered += shard.documents;
    }
    if (!(counted == outcome.coverage)) {
        return "the coverage reports " + std::to_string(outcome.coverage.shards_answered) +
               " shards, the results contain " + std::to_string(counted.shards_answered);
    }
    if (!run.state.request.idempotent && outcome.verdict == Verdict::not_run && !run.runs.empty()) {
        return "the verdict is not_run although an attempt ran or may have run";
    }
    return std::nullopt;
}

std::optional<std::string> check_invariants(const GatherRun& run, Time now) {
    if (run.sent_after_end) {
        return "an attempt was sent after the request had ended";
    }
    for (const auto& [shard, runs] : run.runs) {
        if (!run.state.request.idempotent && runs > 1) {
            return "a non-idempotent request may have run " + std::to_string(runs) +
                   " times at shard " + shard;
        }
    }
    if (!run.outcome.has_value() && now > run.state.hard_deadline) {
        return "the request has not ended at the hard deadline";
    }
    for (const auto& [attempt, send] : run.sent) {
        if (send.target.front() == 'z' &&
            !run.view.configuration.out_of_service_data_centres.empty()) {
            return "an attempt was sent to a data centre that is out of service";
        }
    }
    return run.outcome.has_value() ? check_outcome(run) : std::nullopt;
}

/// Ends a random attempt, which may have ended before.
void end_random_attempt(GatherRun& run, Time now, Random& random) {
    if (run.sent.empty()) {
        advance(run, TickEvent{}, now, random);
        return;
    }
    auto chosen = run.sent.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random() % run.sent.size()));
    const AttemptOutcome outcome = random_outcome(chosen->second, random);
    const bool first = run.reported.insert(outcome.attempt).second;
    if (first && outcome.verdict != Verdict::not_run) {
        ++run.runs[chosen->second.shard];
    }
    if (first || random() % 2 == 0) {
        advance(run, outcome, now, random);
    }
}

}  // namespace

ExploreResult explore_gather(std::uint64_t seed) {
    Random random(seed);
    GatherRun run = make_run(random);
    Time now = Time{} + from_ms(1000);
    ExploreResult result;
    advance(run, BeginEvent{}, now, random);
    for (int index = 0; index < MAX_STEPS && !run.outcome.has_value(); ++index) {
        now += Duration(static_cast<std::int64_t>(random() % 4000));
        ++result.steps;
        if (now >= run.state.hard_deadline || random() % 3 == 0) {
            advance(run, TickEvent{}, now, random);
        } else {
            end_random_attempt(run, now, random);
        }
        if (const std::optional<std::string> violation = check_invariants(run, now)) {
            result.failure = *violation;
            return result;
        }
    }
    // Outcomes that arrive after the request has ended must change nothing.
    for (int late = 0; late < 5; ++late) {
        end_random_attempt(run, now, random);
    }
    result.failure = check_invariants(run, now);
    return result;
}

}  // namespace ebonymount
