// One request on the direct path: first tries, hedges, retries, coverage and verdicts.
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
    std::vector<FanOutAction> end(std::uint32_t id, FanOutAttemptStatus how, Time now) {
        return step(state, AttemptEnded{id, how}, fleet.context(now));
    }
    std::vector<FanOutAction> tick(Time now) {
        return step(state, ClockTick{}, fleet.context(now));
    }
};

FanOutParameters single(FleetFixture& fleet, bool idempotent) {
    FanOutParameters parameters = fleet.parameters(START);
    parameters.fan_out = false;
    parameters.idempotent = idempotent;
    parameters.min_coverage = 1.0;
    return parameters;
}

}  // namespace

TEST_CASE("each shard is sent to the replica in the own data centre when all are alike") {
    FleetFixture fleet(4, 3);
    Request request(fleet, fleet.parameters(START));
    const std::vector<StartAttempt> attempts = started(request.begin());
    REQUIRE(attempts.size() == 4);
    for (const StartAttempt& attempt : attempts) {
        CHECK(attempt.target == fleet.target(attempt.shard, 0));
    }
}

TEST_CASE("a request with all shards answered is complete at once") {
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
    CHECK(end->end == FanOutStatus::complete);
}

TEST_CASE("a straggler is hedged once, from the budget, at another replica") {
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
    // Two attempts is the route's limit, so the third replica is not asked.
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
    CHECK(request.state.budget_exhausted > 0);
}

TEST_CASE("a try that was never sent moves to another replica for free") {
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

TEST_CASE("at the objective an answer leaves with what is in, if that is enough") {
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
    CHECK(end->end == FanOutStatus::partial);
}

TEST_CASE("with too few shards a request waits beyond its objective and then says so") {
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
    CHECK(end->end == FanOutStatus::out_of_time);
}

TEST_CASE("a request that too few shards can take is refused before anything is sent") {
    FleetFixture fleet(4, 2);
    for (std::size_t shard = 0; shard < 2; ++shard) {
        fleet.state(shard, 0).accepts_work = false;
        fleet.state(shard, 1).accepts_work = false;
    }
    Request request(fleet, fleet.parameters(START));
    const std::vector<FanOutAction> actions = request.begin();
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->end == FanOutStatus::not_run);
    CHECK(ended(actions)->retry_after > Duration::zero());
}

TEST_CASE("a request whose time is over is refused before anything is sent") {
    FleetFixture fleet(2, 2);
    FanOutParameters parameters = fleet.parameters(START);
    parameters.final_deadline = START;
    Request request(fleet, parameters);
    const std::vector<FanOutAction> actions = request.begin();
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->end == FanOutStatus::not_run);
}

TEST_CASE("a non-idempotent request is never sent again once it may have run") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    CHECK(started(request.tick(START + from_ms(400))).empty());
    const std::vector<FanOutAction> actions =
        request.end(first[0].id, FanOutAttemptStatus::broken, START + from_ms(500));
    CHECK(started(actions).empty());
    REQUIRE(ended(actions));
    CHECK(ended(actions)->end == FanOutStatus::failed);
    CHECK(request.state.verdict == Verdict::may_have_run);
}

TEST_CASE("a non-idempotent request goes on when the target says that it has not run it") {
    FleetFixture fleet(1, 3);
    fleet.budgets[0].milli_tokens = 5000;
    Request request(fleet, single(fleet, false));
    std::vector<StartAttempt> attempts = started(request.begin());
    request.sent(attempts[0].id, START);
    attempts =
        started(request.end(attempts[0].id, FanOutAttemptStatus::refused, START + from_ms(3)));
    REQUIRE(attempts.size() == 1);
    request.sent(attempts[0].id, START + from_ms(3));
    const std::vector<FanOutAction> actions =
        request.end(attempts[0].id, FanOutAttemptStatus::answered, START + from_ms(20));
    REQUIRE(ended(actions));
    CHECK(ended(actions)->end == FanOutStatus::complete);
}

TEST_CASE("refusals alone end a request as not run, with advice to come back") {
    FleetFixture fleet(1, 1);
    fleet.retry_budget = {0, 0, 0};
    fleet.budgets[0].milli_tokens = 0;
    Request request(fleet, single(fleet, false));
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
    CHECK(ended(actions)->end == FanOutStatus::not_run);
    CHECK(ended(actions)->retry_after > Duration::zero());
}

TEST_CASE("a target's failure of a plain request is passed on when nothing else may be tried") {
    FleetFixture fleet(1, 1);
    Request request(fleet, single(fleet, false));
    const std::vector<StartAttempt> first = started(request.begin());
    request.sent(first[0].id, START);
    const std::vector<FanOutAction> actions =
        request.end(first[0].id, FanOutAttemptStatus::target_error, START + from_ms(9));
    REQUIRE(ended(actions));
    CHECK(ended(actions)->end == FanOutStatus::target_error);
}

TEST_CASE("a route bound to regions is served in no other") {
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

}  // namespace ebonymount
