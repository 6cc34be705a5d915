// One request on the direct path: first attempts, hedges, retries, coverage and verdicts.
#include <catch2/catch.hpp>

#include "fleet_fixture.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

/// One request under test, driven event by event.
struct Request {
    FleetFixture& fleet;
    FanOutState state;

    Request(FleetFixture& fixture, const FanOutParameters& parameters)
        : fleet(fixture), state(begin_request(parameters, fixture.all_shards())) {}

    std::vector<FanOutAction> begin() {
        return step(state, BeginRequest{}, fleet.context(state.parameters.started));
    }
    std::vector<FanOutAction> sent(std::uint32_t id, Time now) {
        return step(state, AttemptSent{id}, fleet.context(now));
    }
    std::vector<FanOutAction> end(std::uint32_t id, FanOutAttemptStatus status, Time now) {
        return step(state, AttemptEnded{id, status}, fleet.context(now));
    }
    std::vector<FanOutAction> tick(Time now) {
        return step(state, ClockTick{}, fleet.context(now));
    }
    std::vector<FanOutAction> exhaust_resources(Time now) {
        return step(state, ResourcesExhausted{}, fleet.context(now));
    }
};

FanOutParameters single_shard_parameters(FleetFixture& fleet, bool idempotent) {
    FanOutParameters parameters = fleet.parameters(START);
    parameters.fan_out = false;
    parameters.idempotent = idempotent;
    parameters.min_coverage = 1.0;
    return parameters;
}

/// Crash of a target of a shard while the request under test ran there.
Crash crash_of(std::size_t shard) {
    return {0, "s" + std::to_string(shard)};
}

void add_three_crashes(CrashQuarantine& quarantine, Time now) {
    for (std::size_t shard = 0; shard < 3; ++shard) {
        add_crash(quarantine, "report-" + std::to_string(shard), crash_of(shard), now);
    }
}

/// The target of the attempt refuses it, and turns the node away for that long.
std::vector<FanOutAction> turn_away(Request& request, const StartAttempt& attempt,
                                    Duration duration, Time now) {
    FleetFixture& fleet = request.fleet;
    request.sent(attempt.id, now);
    on_turned_away(fleet.targets.states[attempt.target], duration, fleet.random, now);
    return request.end(attempt.id, FanOutAttemptStatus::refused, now);
}

/// True if an attempt that reached a target may have run there.
bool may_have_run(const FanOutState& state) {
    return state.verdict != Verdict::not_run ||
           std::any_of(state.live.begin(), state.live.end(),
                       [](const FanOutAttempt& attempt) { return attempt.sent; });
}

/// Drives one request by random events at random times, also long after its deadline, as after a
/// freeze of the node, until it ends. Checks each step. Targets that refuse may turn the node away.
void check_random_request(std::uint64_t seed, bool turns_away) {
    INFO("seed " << seed);
    FleetFixture fleet(1 + seed % 4, 3);
    fleet.random = Random{seed};
    Random random{seed + 1};
    FanOutParameters parameters = fleet.parameters(START);
    parameters.fan_out = seed % 2 == 0;
    parameters.idempotent = parameters.fan_out || seed % 3 == 0;
    if (seed % 5 == 0) {
        parameters.final_deadline = START + from_ms(60);
    }
    Request request(fleet, parameters);
    std::vector<FanOutAction> actions = request.begin();
    Time now = START;
    std::vector<StartAttempt> open;
    while (true) {
        const std::vector<StartAttempt> starts = started(actions);
        const std::optional<EndRequest> end = ended(actions);
        CHECK((starts.empty() || (!end.has_value() && now < parameters.final_deadline)));
        if (end.has_value()) {
            CHECK((end->status != FanOutStatus::not_run || !may_have_run(request.state)));
            return;
        }
        for (const StartAttempt& start : starts) {
            if (uniform(random) < 0.8) {
                request.sent(start.id, now);
            }
            open.push_back(start);
        }
        const Duration pause = from_ms(uniform(random) < 0.1 ? 2000 : 7);
        now = std::max(now, std::min(next_tick(request.state), now + pause)) +
              (pause > from_ms(100) ? pause : Duration::zero());
        if (open.empty() || uniform(random) < 0.3) {
            actions = request.tick(now);
            CHECK((request.state.finished || next_tick(request.state) > now));
            continue;
        }
        const StartAttempt ending = open.back();
        open.pop_back();
        const double outcome = uniform(random);
        if (turns_away && outcome < 0.6) {
            const Duration duration = from_ms(uniform(random) < 0.5 ? 30 : 30000);
            on_turned_away(fleet.targets.states[ending.target], duration, fleet.random, now);
        }
        actions = request.end(ending.id,
                              outcome < 0.6   ? FanOutAttemptStatus::refused
                              : outcome < 0.8 ? FanOutAttemptStatus::not_connected
                              : outcome < 0.9 ? FanOutAttemptStatus::broken
                                              : FanOutAttemptStatus::answered,
                              now);
    }
}

}  // namespace

TEST_CASE("each shard is served by the replica in the node's data centre if replicas are alike") {
    FleetFixture fleet(4, 3);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    for (const StartAttempt& attempt : attempts) {
        CHECK(attempt.target == fleet.target(attempt.shard, 0));
    }
}

TEST_CASE("a request is complete as soon as all shards have answered") {
    FleetFixture fleet(2, 3);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    request.sent(attempts[0].id, START);
    request.sent(attempts[1].id, START);
    CHECK_FALSE(
        ended(request.end(attempts[0].id, FanOutAttemptStatus::answered, START + from_ms(5))));
    const std::optional<EndRequest> end =
        ended(request.end(attempts[1].id, FanOutAttemptStatus::answered, START + from_ms(9)));
    REQUIRE(end);
    CHECK(end->status == FanOutStatus::complete);
}

TEST_CASE("a straggler is hedged once, at another replica, with a token of the budget") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 1000;
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    const Time due = next_tick(request.state);
    CHECK(due > START + from_ms(25));
    CHECK(due < START + from_ms(90));
    const std::vector<StartAttempt> hedge = started(request.tick(due));
    REQUIRE(hedge.size() == 1);
    CHECK(hedge[0].hedge);
    CHECK(hedge[0].target != first[0].target);
    request.sent(hedge[0].id, due);
    // The route allows two attempts, so no request goes to the third replica.
    CHECK(started(request.tick(due + from_ms(60))).empty());
}

TEST_CASE("without a token a straggler is not hedged") {
    FleetFixture fleet(1, 3);
    fleet.retry_budget = {0, 0, 0};
    fleet.budgets[0].milli_tokens = 0;
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    CHECK(started(request.tick(next_tick(request.state))).empty());
    CHECK(request.state.attempts_without_token > 0);
}

// Guards against a request that draws again each time that it asks for a token.
TEST_CASE("without a token a straggler draws one lot, and is hedged if it wins") {
    for (const std::int64_t permille : {0, 1000}) {
        FleetFixture fleet(1, 3);
        fleet.retry_budget.slack_is_for_all = false;
        fleet.retry_budget.drawn_permille = permille;
        FanOutParameters parameters = fleet.parameters(START);
        parameters.max_attempts = 3;
        Request request(fleet, parameters);
        const std::vector<StartAttempt> first = started(request.begin());
        request.sent(first[0].id, START);
        const std::vector<StartAttempt> hedge = started(request.tick(next_tick(request.state)));
        REQUIRE(hedge.size() == (permille > 0 ? 1 : 0));
        CHECK(fleet.budgets[0].extra == static_cast<std::int64_t>(hedge.size()));
        for (const StartAttempt& attempt : hedge) {
            request.sent(attempt.id, START + from_ms(60));
        }
        for (Time now = next_tick(request.state); now < START + from_ms(1000);
             now = next_tick(request.state)) {
            CHECK(started(request.tick(now)).empty());
        }
        CHECK(request.state.attempts_without_token > 0);
    }
}

TEST_CASE("a request that was never sent goes to another replica without a token") {
    FleetFixture fleet(1, 3);
    fleet.retry_budget = {0, 0, 0};
    fleet.budgets[0].milli_tokens = 0;
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> first = started(request.begin());
    const std::vector<StartAttempt> second =
        started(request.end(first[0].id, FanOutAttemptStatus::not_connected, START + from_ms(2)));
    REQUIRE(second.size() == 1);
    CHECK(second[0].target != first[0].target);
}

TEST_CASE("shortly before the objective a partial response is sent if coverage is enough") {
    FleetFixture fleet(4, 1);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        request.end(attempts[i].id, FanOutAttemptStatus::answered, START + from_ms(10));
    }
    CHECK_FALSE(ended(request.tick(START + from_ms(100))));
    const std::optional<EndRequest> end = ended(request.tick(next_tick(request.state)));
    REQUIRE(end);
    CHECK(end->status == FanOutStatus::partial);
}

TEST_CASE("with too few shards a request waits beyond its objective and then ends as out of time") {
    FleetFixture fleet(4, 1);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
    }
    request.end(attempts[0].id, FanOutAttemptStatus::answered, START + from_ms(10));
    CHECK_FALSE(ended(request.tick(START + from_ms(500))));
    const std::optional<EndRequest> end = ended(request.tick(START + from_ms(1200)));
    REQUIRE(end);
    CHECK(end->status == FanOutStatus::out_of_time);
}

TEST_CASE(
    "a request is refused before anything is sent if too few shards have an available target") {
    FleetFixture fleet(4, 2);
    for (std::size_t shard = 0; shard < 2; ++shard) {
        fleet.state(shard, 0).accepts_work = false;
        fleet.state(shard, 1).accepts_work = false;
    }
    Request request(fleet, fleet.parameters(START));
    const std::vector<FanOutAction> actions = request.begin();
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
    CHECK(ended(actions)->retry_after > Duration::zero());
}

// Guards against a timer that is set again at a time that has passed, so that the node reads no
// socket until the route's objective.
TEST_CASE("a failed request that awaits a verdict ends at its deadline if the objective is later") {
    FleetFixture fleet(2, 1);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.min_coverage = 1.0;
    parameters.final_deadline = START + from_ms(60);
    REQUIRE(parameters.final_deadline < parameters.objective_deadline);
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    request.sent(attempts[0].id, START);
    request.sent(attempts[1].id, START);
    on_turned_away(fleet.targets.states[attempts[0].target], from_ms(30000), fleet.random, START);
    CHECK_FALSE(ended(request.end(attempts[0].id, FanOutAttemptStatus::refused, START)));
    CHECK(next_tick(request.state) <= parameters.final_deadline);
    const std::optional<EndRequest> end = ended(request.tick(parameters.final_deadline));
    REQUIRE(end);
    CHECK(end->status == FanOutStatus::failed);
    CHECK(may_have_run(request.state));
}

TEST_CASE("a request whose deadline has passed is refused before anything is sent") {
    FleetFixture fleet(2, 2);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.final_deadline = START;
    Request request(fleet, parameters);
    const std::vector<FanOutAction> actions = request.begin();
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
}

TEST_CASE("a non-idempotent request is never sent again once it may have run") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    CHECK(started(request.tick(START + from_ms(400))).empty());
    const std::vector<FanOutAction> actions =
        request.end(first[0].id, FanOutAttemptStatus::broken, START + from_ms(500));
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::failed);
    CHECK(request.state.verdict == Verdict::may_have_run);
}

TEST_CASE("a non-idempotent request is retried if the target reports that it has not run it") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    std::vector<StartAttempt> attempts = started(request.begin());
    request.sent(attempts[0].id, START);
    attempts =
        started(request.end(attempts[0].id, FanOutAttemptStatus::refused, START + from_ms(3)));
    REQUIRE(attempts.size() == 1);
    request.sent(attempts[0].id, START + from_ms(3));
    const std::vector<FanOutAction> actions =
        request.end(attempts[0].id, FanOutAttemptStatus::answered, START + from_ms(20));
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::complete);
}

TEST_CASE("a request that was only refused ends as not run, with a retry-after time") {
    FleetFixture fleet(1, 1);
    fleet.retry_budget = {0, 0, 0};
    fleet.budgets[0].milli_tokens = 0;
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    std::vector<FanOutAction> actions =
        request.end(first[0].id, FanOutAttemptStatus::refused, START + from_ms(3));
    Time now = START + from_ms(3);
    while (!ended(actions) && now < START + from_ms(2000)) {
        now = next_tick(request.state);
        actions = request.tick(now);
    }
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
    CHECK(ended(actions)->retry_after > Duration::zero());
}

TEST_CASE("a request that the node cannot hold says truly whether it may have run") {
    FleetFixture fleet(1, 3);
    Request unsent(fleet, single_shard_parameters(fleet, false));
    unsent.begin();
    const std::vector<FanOutAction> refused = unsent.exhaust_resources(START + from_ms(1));
    REQUIRE(ended(refused));
    CHECK(ended(refused)->status == FanOutStatus::not_run);
    CHECK(ended(refused)->retry_after > Duration::zero());
    Request sent(fleet, single_shard_parameters(fleet, false));
    sent.sent(started(sent.begin())[0].id, START);
    const std::vector<FanOutAction> failed = sent.exhaust_resources(START + from_ms(1));
    REQUIRE(ended(failed));
    CHECK(ended(failed)->status == FanOutStatus::failed);
    CHECK(sent.exhaust_resources(START + from_ms(2)).empty());
}

TEST_CASE("a fan-out that the node cannot hold ends with its parts if they are enough") {
    FleetFixture fleet(2, 3);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.min_coverage = 0.5;
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
    }
    request.end(attempts[0].id, FanOutAttemptStatus::answered, START + from_ms(5));
    const std::vector<FanOutAction> actions = request.exhaust_resources(START + from_ms(6));
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::partial);
}

TEST_CASE("a target's failure response is passed on when no other attempt is allowed") {
    FleetFixture fleet(1, 1);
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    const std::vector<FanOutAction> actions =
        request.end(first[0].id, FanOutAttemptStatus::target_error, START + from_ms(9));
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::target_error);
}

TEST_CASE("a route with allowed regions is served in no other region") {
    FleetFixture fleet(1, 3);
    for (std::size_t replica = 0; replica < 3; ++replica) {
        fleet.state(0, replica).region = replica == 2 ? "north" : "south";
    }
    FanOutParameters parameters = fleet.parameters(START);
    parameters.allowed_regions = {"north"};
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 1);
    CHECK(attempts[0].target == fleet.target(0, 2));
}

TEST_CASE("the margin before the objective covers the parts that are still awaited, not all") {
    FleetFixture fleet(4, 1);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.response_margin = from_ms(10);
    parameters.part_time = from_ms(5);
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
    }
    // Three of four shards are enough.
    for (std::size_t i = 0; i < 3; ++i) {
        request.end(attempts[i].id, FanOutAttemptStatus::answered, START + from_ms(10));
    }
    const Time due = parameters.objective_deadline - from_ms(15);
    CHECK_FALSE(ended(request.tick(due - from_ms(1))));
    const std::optional<EndRequest> end = ended(request.tick(due));
    REQUIRE(end);
    CHECK(end->status == FanOutStatus::partial);
}

TEST_CASE("a late attempt is waited for while a hedge can still be in time") {
    FleetFixture fleet(1, 3);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.objective_deadline = START + from_ms(250);
    Request long_objective(fleet, parameters);
    long_objective.sent(started(long_objective.begin())[0].id, START);
    // The pauses of targets, of 150 ms, have ended by then, and no token is spent on them.
    CHECK(next_tick(long_objective.state) > START + from_ms(150));
    CHECK(next_tick(long_objective.state) < START + from_ms(220));
    parameters.objective_deadline = START + from_ms(80);
    Request short_objective(fleet, parameters);
    short_objective.sent(started(short_objective.begin())[0].id, START);
    CHECK(next_tick(short_objective.state) < START + from_ms(35));
}

TEST_CASE("a hedge that would miss the objective is sent only if coverage needs it") {
    FleetFixture fleet(4, 2);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.objective_deadline = START + from_ms(60);
    for (std::size_t shard = 0; shard < 4; ++shard) {
        // The other replica takes longer than the objective.
        fleet.state(shard, 1).service_time_us = 90000.0;
        fleet.state(shard, 1).service_time_updated_at = START;
    }
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
    }
    std::size_t answered = 0;
    Time now = START;
    while (!request.state.finished && now < parameters.objective_deadline) {
        now = std::max(next_tick(request.state), now + from_ms(1));
        const bool is_partial_due = now >= parameters.objective_deadline - from_ms(15);
        const std::vector<StartAttempt> hedges = started(request.tick(now));
        CHECK((hedges.empty() || is_partial_due));
        answered += hedges.size();
    }
    // No shard has answered, so a late response is better than none.
    CHECK(answered == 4);
}

// Guards against the incident "retries of crashing requests": the quarantine was asked once, on
// arrival, so a request that was running went on to further targets.
TEST_CASE("a running request is sent to no further target once it has crashed three") {
    FleetFixture fleet(4, 3);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    const Time now = START + from_ms(5);
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        record_broken_connection(fleet.quarantine, {attempts[i].target, crash_of(i), now});
    }
    // Until connects have shown whether these were crashes, nothing more is sent.
    CHECK(started(request.end(attempts[0].id, FanOutAttemptStatus::broken, now)).empty());
    CHECK(started(request.end(attempts[1].id, FanOutAttemptStatus::broken, now)).empty());
    CHECK_FALSE(request.state.finished);
    fleet.quarantine.broken_connections.clear();
    add_three_crashes(fleet.quarantine, now);
    const std::vector<FanOutAction> actions = request.tick(now + from_ms(10));
    CHECK(started(actions).empty());
    REQUIRE(ended(actions).has_value());
    CHECK(ended(actions)->status == FanOutStatus::failed);
    CHECK(request.state.verdict == Verdict::may_have_run);
}

TEST_CASE("a running request goes on if its broken connections were no crashes") {
    FleetFixture fleet(4, 3);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    const Time now = START + from_ms(5);
    for (const StartAttempt& attempt : attempts) {
        request.sent(attempt.id, START);
        record_broken_connection(fleet.quarantine, {attempt.target, crash_of(attempt.shard), now});
    }
    CHECK(started(request.end(attempts[0].id, FanOutAttemptStatus::broken, now)).empty());
    fleet.quarantine.broken_connections.clear();
    CHECK(started(request.tick(now + from_ms(10))).size() == 1);
}

TEST_CASE("a quarantined request is refused before anything is sent") {
    FleetFixture fleet(4, 3);
    add_three_crashes(fleet.quarantine, START);
    Request request(fleet, fleet.parameters(START));
    const std::vector<FanOutAction> actions = request.begin();
    CHECK(started(actions).empty());
    REQUIRE(ended(actions).has_value());
    CHECK(ended(actions)->status == FanOutStatus::not_run);
}

// Guards against review case 4: a quarantined request was sent to no target, so nothing could show
// that it crashes none.
TEST_CASE("the trial of a quarantined request is one attempt at one target") {
    FleetFixture fleet(4, 3);
    add_three_crashes(fleet.quarantine, START);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.is_trial = true;
    Request request(fleet, parameters);
    const std::vector<FanOutAction> actions = request.begin();
    const std::vector<StartAttempt> attempts = started(actions);
    REQUIRE(attempts.size() == 1);
    CHECK(attempts[0].is_trial);
    CHECK_FALSE(ended(actions));
    request.sent(attempts[0].id, START);
    CHECK(started(request.tick(START + from_ms(100))).empty());
    const std::vector<FanOutAction> last =
        request.end(attempts[0].id, FanOutAttemptStatus::broken, START + from_ms(101));
    CHECK(started(last).empty());
    REQUIRE(ended(last));
    CHECK(ended(last)->status == FanOutStatus::failed);
}

TEST_CASE("the trial at the quarantined shard of a fan-out completes its response") {
    FleetFixture fleet(4, 3);
    for (const char* report : {"1", "2", "3"}) {
        add_crash(fleet.quarantine, report, {0, "s2", true}, START);
    }
    FanOutParameters parameters = fleet.parameters(START);
    parameters.is_trial = true;
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    for (const StartAttempt& attempt : attempts) {
        CHECK(attempt.is_trial == (attempt.shard == 2));
    }
}

// Guards against review case 1: a node that woke after the deadline sent a refused request to
// another target, and answered in the same step that it had not run.
TEST_CASE("a refused request is not sent again once its deadline has passed") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    const std::vector<FanOutAction> actions = request.end(first[0].id, FanOutAttemptStatus::refused,
                                                          request.state.parameters.final_deadline);
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
}

// Guards against review case 1 by the other way: the pause before the next attempt ends late.
TEST_CASE("a request that waits for its next attempt is not sent once its deadline has passed") {
    FleetFixture fleet(1, 1);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    const std::vector<FanOutAction> paused =
        request.end(first[0].id, FanOutAttemptStatus::refused, START + from_ms(3));
    REQUIRE(started(paused).empty());
    REQUIRE_FALSE(ended(paused));
    const std::vector<FanOutAction> actions =
        request.tick(request.state.parameters.final_deadline + from_ms(2000));
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
}

// Guards against the same false promise on related paths: a step that ends the request, because
// another shard has failed or its time is over, must not send anything either.
TEST_CASE("no step both starts an attempt and ends the request, and not run is true") {
    constexpr std::uint64_t SEEDS = 3000;
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        check_random_request(seed, false);
    }
}

TEST_CASE("the same holds for requests at targets that turn the node away") {
    constexpr std::uint64_t SEEDS = 3000;
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        check_random_request(seed, true);
    }
}

// Guards against an attempt that counts as unsent while it is being sent: its own step may be
// followed by one that ends the request.
TEST_CASE("a sent attempt is recorded without actions, also after the deadline") {
    FleetFixture fleet(1, 1);
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    CHECK(request.sent(first[0].id, request.state.parameters.final_deadline).empty());
    const std::vector<FanOutAction> actions = request.tick(request.state.parameters.final_deadline);
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::out_of_time);
}

// Guards against issue 32: a request that all targets had turned away was answered only at the end
// of its objective.
TEST_CASE("a request is refused at once when its last target turns the node away") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    std::vector<FanOutAction> actions = request.begin();
    for (std::int64_t refusal = 1; refusal <= 3; ++refusal) {
        const std::vector<StartAttempt> attempts = started(actions);
        REQUIRE(attempts.size() == 1);
        REQUIRE_FALSE(ended(actions));
        actions = turn_away(request, attempts[0], from_ms(30000),
                            START + from_ms(static_cast<int>(refusal)));
    }
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
    CHECK(ended(actions)->retry_after > from_ms(700));
}

TEST_CASE("a request waits for a target that returns in time, and is then served by it") {
    FleetFixture fleet(1, 2);
    fleet.budgets[0].milli_tokens = 5000;
    FanOutParameters parameters = single_shard_parameters(fleet, false);
    Request request(fleet, parameters);
    std::vector<FanOutAction> actions =
        turn_away(request, started(request.begin())[0], from_ms(30000), START + from_ms(1));
    REQUIRE(started(actions).size() == 1);
    const TargetIndex returning = started(actions)[0].target;
    actions = turn_away(request, started(actions)[0], from_ms(50), START + from_ms(2));
    Time now = START;
    while (started(actions).empty()) {
        REQUIRE_FALSE(ended(actions));
        now = next_tick(request.state);
        actions = request.tick(now);
    }
    CHECK(now >= START + from_ms(52));
    CHECK(now < parameters.objective_deadline);
    CHECK(started(actions)[0].target == returning);
}

// A target without Retry-After is full, and may have a slot soon.
TEST_CASE("a request waits for a full target while the others have turned the node away") {
    FleetFixture fleet(1, 2);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    std::vector<FanOutAction> actions =
        turn_away(request, started(request.begin())[0], from_ms(30000), START + from_ms(1));
    REQUIRE(started(actions).size() == 1);
    const StartAttempt full = started(actions)[0];
    request.sent(full.id, START + from_ms(1));
    actions = request.end(full.id, FanOutAttemptStatus::refused, START + from_ms(2));
    REQUIRE_FALSE(ended(actions));
    const Time retry = next_tick(request.state);
    CHECK(retry <= START + from_ms(12));
    actions = request.tick(retry);
    REQUIRE(started(actions).size() == 1);
    CHECK(started(actions)[0].target == full.target);
}

TEST_CASE("a waiting request is refused at once when its targets become unavailable meanwhile") {
    FleetFixture fleet(1, 2);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single_shard_parameters(fleet, false));
    std::vector<FanOutAction> actions = request.begin();
    for (std::int64_t refusal = 1; refusal <= 2; ++refusal) {
        const std::uint32_t id = started(actions)[0].id;
        request.sent(id, START);
        actions = request.end(id, FanOutAttemptStatus::refused, START + from_ms(1));
    }
    REQUIRE_FALSE(ended(actions));
    // Other requests learn of it.
    on_turned_away(fleet.state(0, 0), from_ms(30000), fleet.random, START + from_ms(2));
    SECTION("leaving") {
        fleet.state(0, 1).leaving = true;
    }
    SECTION("over its limit") {
        RateLimit limit;
        limit.share.check_interval = from_ms(10000);
        limit.next_check = START + from_ms(9000);
        fleet.state(0, 1).limit = limit;
    }
    SECTION("unreachable") {
        fleet.state(0, 1).unreachable_until = START + from_ms(2000);
    }
    SECTION("replaced") {
        fleet.state(0, 1).replaced = true;
    }
    SECTION("out of service") {
        fleet.state(0, 1).accepts_work = false;
    }
    SECTION("in a region that the route does not allow") {
        fleet.state(0, 0).region = "south";
        request.state.parameters.allowed_regions = {"south"};
    }
    actions = request.tick(next_tick(request.state));
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::not_run);
}

TEST_CASE("a fan-out ends at once when a shard that it needs cannot be served in time") {
    FleetFixture fleet(4, 1);
    FanOutParameters parameters = fleet.parameters(START);
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    request.sent(attempts[2].id, START);
    request.end(attempts[2].id, FanOutAttemptStatus::answered, START + from_ms(2));
    // Three of four shards are enough.
    CHECK_FALSE(ended(turn_away(request, attempts[0], from_ms(30000), START + from_ms(3))));
    const std::vector<FanOutAction> actions =
        turn_away(request, attempts[1], from_ms(30000), START + from_ms(4));
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::failed);
}

// Whether a fan-out has run depends on the attempts that are still at targets.
TEST_CASE("a fan-out that all targets turn away ends as not run, and sends nothing meanwhile") {
    FleetFixture fleet(4, 2);
    for (std::size_t shard = 0; shard < 4; ++shard) {
        fleet.state(shard, 1).leaving = true;
    }
    FanOutParameters parameters = fleet.parameters(START);
    Request request(fleet, parameters);
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    for (std::size_t i = 1; i < 4; ++i) {
        request.sent(attempts[i].id, START);
    }
    turn_away(request, attempts[1], from_ms(30000), START + from_ms(1));
    std::vector<FanOutAction> actions =
        turn_away(request, attempts[2], from_ms(30000), START + from_ms(2));
    // Three of four shards are needed, so the attempt that waits for a connection is withdrawn.
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<WithdrawAttempt>(actions[0]));
    CHECK(std::get<WithdrawAttempt>(actions[0]).id == attempts[0].id);
    const Time end_at = START + from_ms(3);
    FanOutStatus expected = FanOutStatus::not_run;
    SECTION("the last attempt is refused") {
        actions = turn_away(request, attempts[3], from_ms(30000), end_at);
    }
    SECTION("the last attempt runs") {
        expected = FanOutStatus::failed;
        actions = request.end(attempts[3].id, FanOutAttemptStatus::answered, end_at);
    }
    SECTION("the last attempt takes too long") {
        expected = FanOutStatus::failed;
        fleet.state(3, 1).leaving = false;
        Time now = START;
        while (now < parameters.objective_deadline) {
            REQUIRE_FALSE(ended(actions));
            now = next_tick(request.state);
            actions = request.tick(now);
            CHECK(started(actions).empty());
        }
    }
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == expected);
}

TEST_CASE("a partial response does not wait for a shard that cannot be served in time") {
    FleetFixture fleet(4, 1);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    turn_away(request, attempts[0], from_ms(30000), START + from_ms(1));
    std::vector<FanOutAction> actions;
    for (std::size_t i = 1; i < 4; ++i) {
        REQUIRE_FALSE(ended(actions));
        request.sent(attempts[i].id, START);
        actions = request.end(attempts[i].id, FanOutAttemptStatus::answered, START + from_ms(9));
    }
    REQUIRE(ended(actions));
    CHECK(ended(actions)->status == FanOutStatus::partial);
}

TEST_CASE("a suspected request does not wait for a check if no target could run it afterwards") {
    FleetFixture fleet(1, 2);
    Request request(fleet, single_shard_parameters(fleet, true));
    const std::vector<StartAttempt> attempts = started(request.begin());
    const Time now = START + from_ms(5);
    request.sent(attempts[0].id, START);
    for (std::size_t replica = 0; replica < 2; ++replica) {
        on_turned_away(fleet.state(0, replica), from_ms(30000), fleet.random, now);
    }
    for (TargetIndex target = 0; target < 3; ++target) {
        record_broken_connection(fleet.quarantine, {target, crash_of(0), now});
    }
    REQUIRE(ended(request.end(attempts[0].id, FanOutAttemptStatus::broken, now)));
}

// Guards against callers that return at once because one shard is available, and are refused again
// because others are not.
TEST_CASE("callers of a refused fan-out return when enough of its shards accept requests") {
    FleetFixture fleet(4, 1);
    // Three of four shards are enough.
    fleet.state(0, 0).turned_away_until = START + from_ms(400);
    fleet.state(1, 0).turned_away_until = START + from_ms(700);
    Request request(fleet, fleet.parameters(START));
    const std::optional<EndRequest> end = ended(request.begin());
    REQUIRE(end);
    CHECK(end->status == FanOutStatus::not_run);
    CHECK(end->retry_after >= from_ms(300));
    CHECK(end->retry_after <= from_ms(500));
}

TEST_CASE("the retry-after time counts no target that the route does not allow") {
    FleetFixture fleet(1, 2);
    fleet.state(0, 0).region = "south";
    fleet.state(0, 1).region = "north";
    fleet.state(0, 1).turned_away_until = START + from_ms(400);
    FanOutParameters parameters = single_shard_parameters(fleet, false);
    parameters.allowed_regions = {"north"};
    Request request(fleet, parameters);
    const std::optional<EndRequest> end = ended(request.begin());
    REQUIRE(end);
    CHECK(end->retry_after >= from_ms(300));
    CHECK(end->retry_after <= from_ms(500));
}

TEST_CASE("the retry-after time counts no target without an expected return") {
    FleetFixture fleet(1, 2);
    fleet.state(0, 0).turned_away_until = START + from_ms(400);
    SECTION("leaving") {
        fleet.state(0, 1).leaving = true;
    }
    SECTION("replaced") {
        fleet.state(0, 1).replaced = true;
    }
    SECTION("out of service") {
        fleet.state(0, 1).accepts_work = false;
    }
    Request request(fleet, single_shard_parameters(fleet, false));
    const std::optional<EndRequest> end = ended(request.begin());
    REQUIRE(end);
    CHECK(end->retry_after >= from_ms(300));
    CHECK(end->retry_after <= from_ms(500));
}

}  // namespace ebonymount
