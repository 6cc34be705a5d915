// Ranking and availability of replicas: service time, queue, network latency, stalls, failures,
// cold starts and connection limits.
#include <catch2/catch.hpp>

#include "fleet_fixture.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

}  // namespace

TEST_CASE("a slow target ranks behind a target in another data centre, and is tried again later") {
    FleetFixture fleet(1, 2);
    TargetState& same_data_centre = fleet.state(0, 0);
    const TargetState& other_data_centre = fleet.state(0, 1);
    CHECK(expected_us(same_data_centre, AttemptCosts{}, START) <
          expected_us(other_data_centre, AttemptCosts{}, START));
    for (int i = 0; i < 10; ++i) {
        on_sent(same_data_centre, START);
        on_response(same_data_centre, from_ms(120), 0, START);
    }
    CHECK(expected_us(same_data_centre, AttemptCosts{}, START) >
          expected_us(other_data_centre, AttemptCosts{}, START));
    CHECK(expected_us(same_data_centre, AttemptCosts{}, START + from_ms(60000)) <
          expected_us(other_data_centre, AttemptCosts{}, START + from_ms(60000)));
}

TEST_CASE("a target that has not responded for a while counts as stalled until it responds") {
    FleetFixture fleet(1, 2);
    TargetState& target = fleet.state(0, 0);
    on_sent(target, START);
    const double before = expected_us(target, AttemptCosts{}, START + from_ms(30));
    const double stalled = expected_us(target, AttemptCosts{}, START + from_ms(80));
    CHECK(stalled > before + 50000.0);
    on_response(target, from_ms(90), 0, START + from_ms(90));
    on_sent(target, START + from_ms(90));
    CHECK(expected_us(target, AttemptCosts{}, START + from_ms(95)) < stalled);
}

TEST_CASE("one lost response does not make a target unavailable, two in a row do for a while") {
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

TEST_CASE("an unreachable target is unavailable at once, for longer each time") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    on_sent(target, START);
    on_failure(target, false, Duration::zero(), START);
    const Duration first = available_at(target, START) - START;
    on_sent(target, START);
    on_failure(target, false, Duration::zero(), START);
    CHECK(available_at(target, START) - START > first);
    on_sent(target, START);
    on_response(target, from_ms(5), 0, START);
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
}

TEST_CASE("all nodes together stay within the limit of a cold target in any second") {
    constexpr double COLD_PER_SECOND = 8.0;
    constexpr std::int64_t NODES = 6;
    FleetFixture fleet(1, 1);
    fleet.targets.group.count = NODES;
    TargetState& target = fleet.state(0, 0);
    target.cold_until = START + from_ms(60000);
    std::vector<Time> sends;
    for (Time now = START; now < START + from_ms(5000); now += from_ms(10)) {
        if (is_candidate(fleet.targets, target, COLD_PER_SECOND, now)) {
            count_request(target, now);
            sends.push_back(now);
        }
    }
    std::int64_t max_in_second = 0;
    for (const Time window_start : sends) {
        const std::int64_t in_second =
            std::count_if(sends.begin(), sends.end(), [window_start](Time at) {
                return at >= window_start && at < window_start + from_ms(1000);
            });
        max_in_second = std::max(max_in_second, in_second);
    }
    CHECK(max_in_second * NODES <= static_cast<std::int64_t>(COLD_PER_SECOND * 1.5) + 5);
    CHECK(max_in_second > 0);
}

TEST_CASE("a target's report sets for how long it is cold") {
    FleetFixture fleet(1, 1);
    on_cold_report(fleet.state(0, 0), from_ms(700), START);
    CHECK(fleet.state(0, 0).cold_until == START + from_ms(700));
    on_cold_report(fleet.state(0, 0), Duration::zero(), START);
    CHECK(fleet.state(0, 0).cold_until == START);
}

TEST_CASE("a cold target gets no requests if its limit is too small for the number of nodes") {
    FleetFixture fleet(1, 1);
    fleet.targets.group.count = 100;
    fleet.state(0, 0).cold_until = START + from_ms(1000);
    CHECK_FALSE(is_candidate(fleet.targets, fleet.state(0, 0), 8.0, START));
}

TEST_CASE("a node opens its share of a target's connections, and at least one") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    fleet.targets.group.count = 5;
    target.connections = 3;
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
    target.connections = 4;
    CHECK_FALSE(is_candidate(fleet.targets, target, 0.0, START));
    target.idle_connections = 1;
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
    fleet.targets.group.count = 84;
    target.idle_connections = 0;
    target.connections = 0;
    CHECK(is_candidate(fleet.targets, target, 0.0, START));
}

TEST_CASE("after a rejected connection only open connections are used for a while") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    on_connection_rejected(target, START);
    CHECK_FALSE(is_candidate(fleet.targets, target, 0.0, START + from_ms(100)));
    target.idle_connections = 1;
    CHECK(is_candidate(fleet.targets, target, 0.0, START + from_ms(100)));
    target.idle_connections = 0;
    CHECK(is_candidate(fleet.targets, target, 0.0, START + from_ms(1000)));
}

TEST_CASE("a target that was replaced at its address gets no requests until its entry changes") {
    FleetFixture fleet(1, 1);
    fleet.state(0, 0).replaced = true;
    CHECK_FALSE(is_candidate(fleet.targets, fleet.state(0, 0), 0.0, START));
}

TEST_CASE("a view distinguishes targets of the own data centre, the own region and other regions") {
    RouteTable table;
    table.services.push_back({"s", "/health", 25, from_ms(3000), 0.0});
    TargetRegistry registry;
    for (const char* data_centre : {"near-a", "near-b", "far"}) {
        TargetEntry entry;
        entry.id = data_centre;
        entry.service = "s";
        entry.address = "10.0.0.1:80";
        entry.data_centre = data_centre;
        upsert(registry, entry);
    }
    const std::map<std::string, std::string> regions = {
        {"near-a", "near"}, {"near-b", "near"}, {"far", "far"}};
    TargetTable targets;
    targets.own_data_centre = "near-a";
    targets.own_region = "near";
    ServiceIndices indices;
    const std::set<std::string> out_of_service;
    make_view({table, registry, out_of_service, regions}, indices, targets, START);
    const TargetState& own = targets.states[targets.by_id.at("near-a")];
    const TargetState& same_region = targets.states[targets.by_id.at("near-b")];
    const TargetState& other_region = targets.states[targets.by_id.at("far")];
    CHECK(own.same_region);
    CHECK(same_region.same_region);
    CHECK_FALSE(other_region.same_region);
    CHECK(expected_us(own, AttemptCosts{}, START) <
          expected_us(same_region, AttemptCosts{}, START));
    CHECK(expected_us(same_region, AttemptCosts{}, START) <
          expected_us(other_region, AttemptCosts{}, START));
}

TEST_CASE("idle connections of all nodes leave room at a target") {
    // 84 nodes in three regions, and 74 connections per target.
    constexpr std::int64_t NODES = 84;
    constexpr std::int64_t CONNECTION_LIMIT = 74;
    std::int64_t idle_connections = 0;
    for (std::int64_t node = 0; node < NODES; ++node) {
        TargetTable table;
        table.group.self = "node-" + std::to_string(node);
        table.group.count = NODES;
        TargetState state;
        state.entry.id = "target";
        state.max_connections = CONNECTION_LIMIT;
        state.same_region = node % 3 == 0;
        idle_connections += may_keep_idle(table, state) ? 1 : 0;
    }
    // After a power loss, the third of the nodes that is in the target's region can connect again.
    CHECK(idle_connections + NODES / 3 <= CONNECTION_LIMIT + 5);
    CHECK(idle_connections >= NODES / 3);
}

TEST_CASE("a target whose limit is used up is left out until this node may send again") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    const auto report = [&](std::optional<double> limit, bool is_answer, Time sent_at, Time now) {
        return on_limit_report(fleet.targets, target, {limit, is_answer, sent_at}, fleet.random,
                               now);
    };
    CHECK(report(std::nullopt, true, START, START) == LimitChange::none);
    CHECK(report(2.0, true, START, START) == LimitChange::named);
    CHECK(report(2.0, false, START, START) == LimitChange::none);
    CHECK(availability(fleet.targets, target, 0.0, START) == Availability::over_limit);
    const Time next = available_at(target, START);
    CHECK(next <= START + from_ms(1000));
    CHECK(availability(fleet.targets, target, 0.0, next) == Availability::available);
    count_request(target, next);
    CHECK(availability(fleet.targets, target, 0.0, next) == Availability::over_limit);
    uncount_request(target);
    CHECK(availability(fleet.targets, target, 0.0, next) == Availability::available);
    // Only the answer to a request sent since then shows that the limit has ended.
    CHECK(report(std::nullopt, false, next, next) == LimitChange::none);
    CHECK(report(std::nullopt, true, START, next) == LimitChange::none);
    CHECK(report(std::nullopt, true, next, next) == LimitChange::ended);
    CHECK_FALSE(target.limit.has_value());
}

TEST_CASE("a target that is leaving is left out until another instance has its id") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    target.leaving = true;
    CHECK(availability(fleet.targets, target, 0.0, START) == Availability::leaving);
    TargetEntry entry = target.entry;
    entry.cold_remaining = from_ms(500);
    update_entry(fleet.targets, fleet.target(0, 0), entry, START);
    CHECK(target.leaving);
    entry.started_at_ms = target.entry.started_at_ms + 1;
    update_entry(fleet.targets, fleet.target(0, 0), entry, START);
    CHECK_FALSE(target.leaving);
}

TEST_CASE("a target that turned this node away gets one request after that time, then all") {
    FleetFixture fleet(1, 1);
    TargetState& target = fleet.state(0, 0);
    on_turned_away(target, from_ms(2000), fleet.random, START);
    const auto state_at = [&](Time now) {
        return availability(fleet.targets, target, 0.0, now);
    };
    CHECK(state_at(START + from_ms(1999)) == Availability::turned_away);
    const Time back = available_at(target, START);
    CHECK(back >= START + from_ms(2000));
    CHECK(back <= START + from_ms(2400));
    // A shorter time that a response to an earlier request names does not shorten it.
    on_turned_away(target, from_ms(100), fleet.random, START + from_ms(10));
    CHECK(available_at(target, START) == back);
    // The response to an earlier request does not end it either.
    on_sent(target, START);
    on_response(target, from_ms(20), 0, START + from_ms(20));
    CHECK(state_at(START + from_ms(1000)) == Availability::turned_away);
    REQUIRE(state_at(back) == Availability::available);
    on_sent(target, back);
    CHECK(state_at(back) == Availability::turned_away);
    on_response(target, from_ms(20), 0, back + from_ms(20));
    CHECK(state_at(back + from_ms(20)) == Availability::available);
}

}  // namespace ebonymount
