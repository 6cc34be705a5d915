// Which replica looks best: pace, queue, distance, stalls, refusals, cold starts and caps.
#include <catch2/catch.hpp>

#include "fleet_fixture.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

}  // namespace

TEST_CASE("a slow target ranks behind a target in another data centre, and is tried again later") {
    FleetFixture fleet(1, 2);
    TargetState& near = fleet.state(0, 0);
    const TargetState& far = fleet.state(0, 1);
    CHECK(expected_us(near, 0.0, START) < expected_us(far, 0.0, START));
    for (int i = 0; i < 10; ++i) {
        on_sent(near, START);
        on_answer(near, from_ms(120), 0, START);
    }
    CHECK(expected_us(near, 0.0, START) > expected_us(far, 0.0, START));
    CHECK(expected_us(near, 0.0, START + from_ms(60000)) <
          expected_us(far, 0.0, START + from_ms(60000)));
}

TEST_CASE("a target that owes an answer for long counts as stalled until it answers") {
    FleetFixture fleet(1, 2);
    TargetState& target = fleet.state(0, 0);
    on_sent(target, START);
    const double before = expected_us(target, 0.0, START + from_ms(30));
    const double stalled = expected_us(target, 0.0, START + from_ms(80));
    CHECK(stalled > before + 50000.0);
    on_answer(target, from_ms(90), 0, START + from_ms(90));
    on_sent(target, START + from_ms(90));
    CHECK(expected_us(target, 0.0, START + from_ms(95)) < stalled);
}

TEST_CASE("one lost answer does not take a target out, two in a row do for a while") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    on_sent(target, START);
    on_failure(target, true, Duration::zero(), START);
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
    on_sent(target, START);
    on_failure(target, true, Duration::zero(), START);
    CHECK_FALSE(is_candidate(fleet.targets, target, 0.0, START));
    CHECK(is_candidate(fleet.targets, target, 0.0, available_at(target, START)));
}

TEST_CASE("a target that cannot be reached is out at once, for longer each time") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    on_sent(target, START);
    on_failure(target, false, Duration::zero(), START);
    const Duration first = available_at(target, START) - START;
    on_sent(target, START);
    on_failure(target, false, Duration::zero(), START);
    CHECK(available_at(target, START) - START > first);
    on_sent(target, START);
    on_answer(target, from_ms(5), 0, START);
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
}

TEST_CASE("nodes together send a cold target no more than it bears in any second") {
    constexpr double COLD_PER_SECOND = 8.0;
    constexpr std::int64_t NODES = 6;
    FleetFixture fleet(1, 1);
    fleet.targets.nodes = NODES;
    TargetState& target = fleet.state(0, 0);
    target.cold_until = START + from_ms(60000);
    std::vector<Time> sends;
    for (Time now = START; now < START + from_ms(5000); now += from_ms(10)) {
        if (is_candidate(fleet.targets, target, COLD_PER_SECOND, now)) {
            count_cold(target, now);
            sends.push_back(now);
        }
    }
    std::int64_t most = 0;
    for (const Time from : sends) {
        const std::int64_t in_second = std::count_if(sends.begin(), sends.end(), [from](Time at) {
            return at >= from && at < from + from_ms(1000);
        });
        most = std::max(most, in_second);
    }
    CHECK(most * NODES <= static_cast<std::int64_t>(COLD_PER_SECOND * 1.5) + 5);
    CHECK(most > 0);
}

TEST_CASE("a target says itself how long it stays cold") {
    FleetFixture fleet(1, 1);
    on_cold_report(fleet.state(0, 0), from_ms(700), START);
    CHECK(fleet.state(0, 0).cold_until == START + from_ms(700));
    on_cold_report(fleet.state(0, 0), Duration::zero(), START);
    CHECK(fleet.state(0, 0).cold_until == START);
}

TEST_CASE("a cold target gets nothing while the number of nodes could be large") {
    FleetFixture fleet(1, 1);
    fleet.targets.nodes = 100;
    fleet.state(0, 0).cold_until = START + from_ms(1000);
    CHECK_FALSE(is_candidate(fleet.targets, fleet.state(0, 0), 8.0, START));
}

TEST_CASE("a node holds its share of a target's connections, and one in any case") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    fleet.targets.nodes = 5;
    target.connections = 3;
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
    target.connections = 4;
    CHECK_FALSE(is_candidate(fleet.targets, target, 0.0, START));
    target.idle_connections = 1;
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
    fleet.targets.nodes = 84;
    target.idle_connections = 0;
    target.connections = 0;
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
}

TEST_CASE("after a rejected connection only open ones are used for a while") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    on_connection_rejected(target, START);
    CHECK_FALSE(is_candidate(fleet.targets, target, 0.0, START + from_ms(100)));
    target.idle_connections = 1;
    CHECK(is_candidate(fleet.targets, target, 0.0, START + from_ms(100)));
    target.idle_connections = 0;
    CHECK(is_candidate(fleet.targets, target, 0.0, START + from_ms(1000)));
}

TEST_CASE("a target that was replaced at its address gets nothing until its entry changes") {
    FleetFixture fleet(1, 1);
    fleet.state(0, 0).replaced = true;
    CHECK_FALSE(is_candidate(fleet.targets, fleet.state(0, 0), 0.0, START));
}

}  // namespace ebonymount
