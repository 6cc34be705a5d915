// Tests each rule of the soak's checker with events that keep the promise and events that break it.
#include <catch2/catch.hpp>

#include "policy/record_merge.h"
#include "soak_checker.h"
#include "soak_environment.h"
#include "soak_plan.h"

namespace soak {
namespace {

using ebonymount::from_ms;

const Time START = Time{} + from_ms(1000000);
const std::string LOW = "0000000000000001";
const std::string HIGH = "9999999999999999";

Time at(std::int64_t milliseconds) {
    return START + from_ms(milliseconds);
}

SoakConfig config(std::int64_t version, Time acknowledged) {
    SoakConfig made;
    made.version = version;
    made.acknowledged = acknowledged;
    made.routes["browse"] = {"browse", true, 2, from_ms(1000), {"a", "b"}, true, 1, 0.5};
    made.routes["book"] = {"book", true, 2, from_ms(1000), {"booking"}, false, 0, 1.0};
    made.routes["order"] = {"order", false, 2, from_ms(1000), {"booking"}, false, 0, 1.0};
    return made;
}

SoakRequest request(const std::string& id, const std::string& route, Time sent) {
    return {id, "node-1", route, "POST", "/" + route + "/x", "body", sent};
}

const SoakTarget BOOKING = {"t-1", "booking", "east", "region-east"};
const SoakTarget SHARD_A = {"t-2", "a", "east", "region-east"};
const SoakTarget SHARD_B = {"t-3", "b", "west", "region-west"};

/// A checker with a configuration in force.
SoakChecker checker() {
    SoakChecker made{SoakBounds{}};
    made.on_config(config(1, START));
    return made;
}

bool has_violation(const SoakChecker& checked, const std::string& rule) {
    for (const std::string& violation : checked.violations()) {
        if (violation.rfind(rule + ":", 0) == 0) {
            return true;
        }
    }
    return false;
}

/// Runs a request at a target, which responds with success, `signature` and `body`.
void run_at(SoakChecker& checked, const SoakTarget& target, const SoakRequest& made, Time now,
            const std::string& signature, const std::string& body) {
    checked.on_arrival(target, made, now);
    checked.on_run(target, made.id, now);
    checked.on_target_response(target, made.id, signature, body, true);
}

SoakResponse merged(const std::vector<std::string>& signatures, std::int64_t missing,
                    const std::string& body) {
    SoakResponse response;
    response.status = 200;
    response.part_signatures = signatures;
    response.missing_parts = missing;
    response.body = body;
    return response;
}

SoakResponse plain(int status, const std::string& signature, const std::string& body) {
    SoakResponse response;
    response.status = status;
    response.signature = signature;
    response.body = body;
    return response;
}

/// A checker with a fan-out request whose two shards have both responded.
SoakChecker with_parts() {
    SoakChecker checked = checker();
    const SoakRequest made = request("r1", "browse", at(20000));
    checked.on_request(made);
    run_at(checked, SHARD_A, made, at(20001), "s1", LOW);
    run_at(checked, SHARD_B, made, at(20001), "s2", HIGH);
    return checked;
}

}  // namespace

TEST_CASE("a merged response must match its parts") {
    SoakChecker good = with_parts();
    good.on_response("r1", merged({"s1", "s2"}, 0, HIGH), at(20010));
    CHECK(good.violations().empty());
    SoakChecker partial = with_parts();
    partial.on_response("r1", merged({"s1"}, 1, LOW), at(20010));
    CHECK(partial.violations().empty());

    const std::vector<SoakResponse> wrong = {
        merged({"s1", "s2"}, 0, LOW), merged({"s1", "s1"}, 0, LOW), merged({"s1"}, 0, LOW),
        merged({"s1", "s9"}, 0, HIGH), merged({"s2", "s1"}, 1, HIGH)};
    for (const SoakResponse& response : wrong) {
        SoakChecker violating = with_parts();
        violating.on_response("r1", response, at(20010));
        CHECK(has_violation(violating, "MIXED"));
    }
}

TEST_CASE("a merged response must reach the minimum coverage") {
    SoakChecker violating{SoakBounds{}};
    SoakConfig strict = config(1, START);
    strict.routes["browse"].min_coverage = 0.9;
    violating.on_config(strict);
    const SoakRequest made = request("r1", "browse", at(20000));
    violating.on_request(made);
    run_at(violating, SHARD_A, made, at(20001), "s1", LOW);
    violating.on_response("r1", merged({"s1"}, 1, LOW), at(20010));
    CHECK(has_violation(violating, "MIXED"));
}

TEST_CASE("a plain response must be the one that the target sent") {
    for (const bool is_violating : {false, true}) {
        SoakChecker checked = checker();
        const SoakRequest made = request("r1", "book", at(20000));
        checked.on_request(made);
        run_at(checked, BOOKING, made, at(20001), "s1", "kept");
        checked.on_response("r1", plain(200, "s1", is_violating ? "changed" : "kept"), at(20010));
        CHECK(has_violation(checked, "MIXED") == is_violating);
    }
    SoakChecker swapped = checker();
    swapped.on_request(request("r1", "book", at(20000)));
    SoakResponse response_to_other = plain(200, "s1", "kept");
    response_to_other.request_id = "r2";
    swapped.on_response("r1", response_to_other, at(20010));
    CHECK(has_violation(swapped, "MIXED"));
    SoakChecker garbled = checker();
    garbled.on_malformed("r1");
    CHECK(has_violation(garbled, "MIXED"));
}

TEST_CASE("targets receive only requests that callers sent, unmodified") {
    SoakChecker good = checker();
    const SoakRequest made = request("r1", "book", at(20000));
    good.on_request(made);
    good.on_arrival(BOOKING, made, at(20001));
    CHECK(good.violations().empty());
    SoakRequest changed = made;
    changed.body = "other";
    good.on_arrival(BOOKING, changed, at(20001));
    CHECK(has_violation(good, "UNASKED"));
    SoakChecker unknown = checker();
    unknown.on_arrival(BOOKING, made, at(20001));
    CHECK(has_violation(unknown, "UNASKED"));
}

TEST_CASE("a non-idempotent request runs at most once, and never after a rejection") {
    SoakChecker once = checker();
    const SoakRequest order = request("r1", "order", at(20000));
    once.on_request(order);
    run_at(once, BOOKING, order, at(20001), "s1", "done");
    CHECK(once.violations().empty());
    run_at(once, BOOKING, order, at(20002), "s2", "done");
    CHECK(has_violation(once, "TWICE"));

    SoakChecker refused = checker();
    refused.on_request(order);
    refused.on_response("r1", plain(503, "", ""), at(20010));
    CHECK(refused.violations().empty());
    run_at(refused, BOOKING, order, at(20020), "s1", "done");
    CHECK(has_violation(refused, "REFUSED"));

    SoakChecker untrue = checker();
    untrue.on_request(order);
    run_at(untrue, BOOKING, order, at(20001), "s1", "done");
    untrue.on_response("r1", plain(503, "", ""), at(20010));
    CHECK(has_violation(untrue, "REFUSED"));
}

TEST_CASE(
    "a target that drains or whose data centre is out of service receives nothing after the "
    "bound") {
    for (const std::string rule : {"DRAIN", "EVAC"}) {
        SoakChecker checked = checker();
        if (rule == "DRAIN") {
            checked.on_target_leaving("t-1", at(20000));
        } else {
            checked.on_data_centre("east", false, at(20000));
        }
        const SoakRequest made = request("r1", "book", at(22900));
        checked.on_request(made);
        checked.on_arrival(BOOKING, made, at(22950));
        CHECK(checked.violations().empty());
        // A disturbed node may not have received the update.
        checked.mark_node_disturbed("node-1", at(21500));
        checked.on_arrival(BOOKING, made, at(25400));
        CHECK(checked.violations().empty());
        checked.on_arrival(BOOKING, made, at(25600));
        CHECK(has_violation(checked, rule));
    }
}

TEST_CASE("requests run only at services that a configuration version in force allows") {
    for (const std::int64_t after_ms : {2900, 3100}) {
        SoakChecker checked = checker();
        SoakConfig moved = config(2, at(20000));
        moved.routes["book"].services = {"awards"};
        checked.on_config(moved);
        const SoakRequest made = request("r1", "book", at(20000 + after_ms));
        checked.on_request(made);
        run_at(checked, BOOKING, made, made.sent + from_ms(1), "s1", "done");
        CHECK(has_violation(checked, "CONFIG") == (after_ms > 3000));
    }
    SoakChecker never = checker();
    const SoakRequest made = request("r1", "book", at(20000));
    never.on_request(made);
    run_at(never, SHARD_A, made, at(20001), "s1", "done");
    CHECK(has_violation(never, "ROUTE"));
}

/// A checker with a second version from `acknowledged` on, in which a route below `book` has
/// another service and its homes in one region.
SoakChecker with_nested_route(Time acknowledged) {
    SoakChecker checked = checker();
    SoakConfig added = config(2, acknowledged);
    added.routes["book/x2"].name = "book/x2";
    added.routes["book/x2"].services = {"b"};
    added.routes["book/x2"].regions = {"region-west"};
    checked.on_config(added);
    return checked;
}

TEST_CASE("HOME: a request reaches a target in a region that is no home of its route") {
    const auto reaches = [](const SoakTarget& target, std::int64_t after_ms, bool is_disturbed) {
        SoakChecker checked = with_nested_route(at(20000));
        if (is_disturbed) {
            checked.mark_node_disturbed("node-1", at(20000));
        }
        const SoakRequest made = request("r1", "book/x2", at(20000 + after_ms));
        checked.on_request(made);
        checked.on_arrival(target, made, made.sent + from_ms(1));
        return has_violation(checked, "HOME");
    };
    const SoakTarget far = {"t-4", "b", "east", "region-east"};
    CHECK_FALSE(reaches(SHARD_B, 3100, false));
    CHECK(reaches(far, 3100, false));
    // Before the new version must be in force, and at a disturbed node, the request may run by the
    // route above it, which has no homes.
    CHECK_FALSE(reaches(BOOKING, 2900, false));
    CHECK_FALSE(reaches(BOOKING, 3100, true));
    CHECK(reaches(BOOKING, 3100, false));
}

TEST_CASE("HOME: each version that may be in force allows its own homes") {
    for (const char* region : {"region-east", "region-north", "region-west"}) {
        SoakChecker checked = with_nested_route(at(20000));
        SoakConfig moved = config(3, at(30000));
        moved.routes["book/x2"].services = {"b"};
        moved.routes["book/x2"].regions = {"region-east"};
        checked.on_config(moved);
        const SoakRequest made = request("r1", "book/x2", at(31000));
        checked.on_request(made);
        checked.on_arrival({"t-5", "b", "any", region}, made, at(31001));
        CHECK(has_violation(checked, "HOME") == (std::string(region) == "region-north"));
    }
}

TEST_CASE("a request runs by the route with the longest prefix in each version") {
    for (const std::int64_t after_ms : {2900, 3100}) {
        SoakChecker checked = with_nested_route(at(20000));
        const SoakRequest made = request("r1", "book/x2", at(20000 + after_ms));
        checked.on_request(made);
        run_at(checked, BOOKING, made, made.sent + from_ms(1), "s1", "done");
        CHECK(has_violation(checked, "CONFIG") == (after_ms > 3000));
        CHECK_FALSE(has_violation(checked, "ROUTE"));
    }
}

/// A checker with three versions, of which the second moves `book` to another service and adds a
/// route, and whose node was disturbed until `disturbed`.
SoakChecker with_versions(Time disturbed) {
    SoakChecker checked = checker();
    checked.on_node_started("node-1", at(0));
    for (const std::int64_t version : {2, 3}) {
        SoakConfig moved = config(version, at(20000 + version));
        moved.routes["book"].services = {"awards"};
        moved.routes["added"] = moved.routes["book"];
        checked.on_config(moved);
    }
    checked.mark_node_disturbed("node-1", disturbed);
    return checked;
}

const SoakTarget AWARDS = {"t-6", "awards", "east", "region-east"};

// Guards against not seeing that a node takes a version back, as it may after the store has
// returned from an older copy: the store is disturbed then, so that no bound in time applies.
TEST_CASE("CONFIG: a node goes back to a version older than one whose effect a target saw") {
    const auto goes_back = [](std::int64_t after_ms, Time disturbed, bool is_new_process) {
        SoakChecker checked = with_versions(disturbed);
        checked.mark_store_disturbed(at(30000));
        const SoakRequest first = request("r1", "book", at(20100));
        checked.on_request(first);
        run_at(checked, AWARDS, first, at(20110), "s1", "done");
        if (is_new_process) {
            checked.on_node_started("node-1", at(20200));
        }
        const SoakRequest second = request("r2", "book", at(20110 + after_ms));
        checked.on_request(second);
        run_at(checked, BOOKING, second, second.sent + from_ms(1), "s2", "done");
        return has_violation(checked, "CONFIG");
    };
    CHECK(goes_back(251, Time{}, false));
    CHECK_FALSE(goes_back(250, Time{}, false));
    CHECK_FALSE(goes_back(251, Time{}, true));
    // A disturbed node has eight times as long.
    CHECK_FALSE(goes_back(2000, at(18200), false));
    CHECK(goes_back(2001, at(18200), false));
}

TEST_CASE("CONFIG: a node denies a route of a version whose effect a target saw") {
    const auto denies = [](std::int64_t after_ms, int status) {
        SoakChecker checked = with_versions(Time{});
        checked.mark_store_disturbed(at(30000));
        const SoakRequest first = request("r1", "book", at(20100));
        checked.on_request(first);
        run_at(checked, AWARDS, first, at(20110), "s1", "done");
        checked.on_request(request("r2", "added", at(20110 + after_ms)));
        checked.on_response("r2", plain(status, "", ""), at(20120 + after_ms));
        return has_violation(checked, "CONFIG");
    };
    CHECK(denies(251, 404));
    CHECK_FALSE(denies(250, 404));
    CHECK_FALSE(denies(251, 503));
}

TEST_CASE("CONFIG: what several versions allow is no sign of the newest of them") {
    SoakChecker checked = with_versions(Time{});
    checked.on_config(config(4, at(20004)));
    const SoakRequest first = request("r1", "book", at(20100));
    checked.on_request(first);
    run_at(checked, BOOKING, first, at(20110), "s1", "done");
    const SoakRequest second = request("r2", "book", at(21000));
    checked.on_request(second);
    run_at(checked, AWARDS, second, at(21010), "s2", "done");
    CHECK(checked.violations().empty());
    // By now version 2 or newer is in force; only version 4 allows this after it.
    const SoakRequest third = request("r3", "book", at(22000));
    checked.on_request(third);
    run_at(checked, BOOKING, third, at(22010), "s3", "done");
    CHECK(checked.violations().empty());
}

// Guards against taking what the store acknowledged before its return for undone: a copy may say
// that the target is ready and that the data centre is in service.
TEST_CASE("a target that left and a data centre taken out before the store returned stay so") {
    for (const std::string rule : {"DRAIN", "EVAC"}) {
        SoakChecker checked = checker();
        if (rule == "DRAIN") {
            checked.on_target_leaving("t-1", at(20000));
        } else {
            checked.on_data_centre("east", false, at(20000));
        }
        // The store is away until its return, and the change is written again.
        checked.mark_store_disturbed(at(24000));
        if (rule == "DRAIN") {
            checked.on_target_leaving("t-1", at(25500));
        } else {
            checked.on_data_centre("east", false, at(25500));
        }
        const SoakRequest made = request("r1", "book", at(27000));
        checked.on_request(made);
        checked.on_arrival(BOOKING, made, at(28000));
        CHECK(checked.violations().empty());
        checked.on_arrival(BOOKING, made, at(28001));
        CHECK(has_violation(checked, rule));
    }
}

TEST_CASE("a route that is in force is not denied while a newer version is on its way") {
    SoakChecker checked = checker();
    checked.on_config(config(2, at(20000)));
    checked.on_request(request("r1", "book", at(20500)));
    checked.on_response("r1", plain(404, "", ""), at(20510));
    CHECK(has_violation(checked, "DENIED"));

    SoakChecker added = checker();
    SoakConfig with_new = config(2, at(20000));
    with_new.routes["extra"] = with_new.routes["book"];
    added.on_config(with_new);
    added.on_request(request("r1", "extra", at(20500)));
    added.on_response("r1", plain(404, "", ""), at(20510));
    CHECK_FALSE(has_violation(added, "DENIED"));
}

TEST_CASE("a route that is in force is not denied") {
    for (const std::int64_t sent_ms : {2000, 20000}) {
        SoakChecker checked = checker();
        checked.on_request(request("r1", "book", at(sent_ms)));
        checked.on_response("r1", plain(404, "", ""), at(sent_ms + 10));
        CHECK(has_violation(checked, "DENIED") == (sent_ms > 3000));
    }
}

TEST_CASE(
    "a graceful shutdown cuts off no request that the node has read, and no node ends "
    "unexpectedly") {
    for (const bool is_violating : {false, true}) {
        SoakChecker checked = checker();
        const SoakRequest made = request("r1", "book", at(20000));
        checked.on_request(made);
        checked.on_planned_stop("node-1", at(19900));
        if (is_violating) {
            checked.on_arrival(BOOKING, made, at(20001));
        }
        checked.on_response("r1", SoakResponse{}, at(20100));
        CHECK(has_violation(checked, "LOST") == is_violating);
    }
    // A stopping node that passes a request on answers it, however late the request came.
    for (const bool is_passed_on : {false, true}) {
        SoakChecker late = checker();
        const SoakRequest made = request("r1", "book", at(25300));
        late.on_request(made);
        late.on_planned_stop("node-1", at(19900));
        if (is_passed_on) {
            late.on_arrival(BOOKING, made, at(25310));
        }
        late.on_response("r1", SoakResponse{}, at(25400));
        CHECK(has_violation(late, "LOST") == is_passed_on);
    }
    SoakChecker ended = checker();
    ended.on_unexpected_end("node-1", 9);
    CHECK(has_violation(ended, "ENDED"));
}

TEST_CASE("extra arrivals stay within the retry budget's ratio and slack") {
    for (const std::int64_t extra : {40, 70}) {
        SoakChecker checked = checker();
        for (std::int64_t i = 0; i < 100; ++i) {
            const SoakRequest made = request("r" + std::to_string(i), "book", at(20000 + i * 10));
            checked.on_request(made);
            checked.on_arrival(BOOKING, made, made.sent);
            if (i < extra) {
                checked.on_arrival(BOOKING, made, made.sent);
            }
        }
        checked.finish(at(90000), at(21000));
        // The bound is a fifth of 100 requests plus a slack of 40.
        CHECK(has_violation(checked, "BUDGET") == (extra > 60));
    }
}

TEST_CASE("requests get a response in time, and are served again after the faults") {
    for (const bool is_violating : {false, true}) {
        SoakChecker checked = checker();
        for (std::int64_t i = 0; i < 20; ++i) {
            const SoakRequest made = request("r" + std::to_string(i), "book", at(20000 + i * 10));
            checked.on_request(made);
            checked.on_target_response(BOOKING, made.id, "s" + std::to_string(i), "x", true);
            const Time answered = made.sent + from_ms(is_violating ? 1600 : 1400);
            checked.on_response(made.id, plain(200, "s" + std::to_string(i), "x"), answered);
        }
        checked.finish(at(90000), at(30000));
        CHECK(has_violation(checked, "TIMEOUT") == is_violating);
    }
    SoakChecker down = checker();
    for (std::int64_t i = 0; i < 20; ++i) {
        down.on_request(request("r" + std::to_string(i), "book", at(20000)));
        down.on_response("r" + std::to_string(i), plain(503, "", ""), at(20010));
    }
    down.finish(at(19000), at(30000));
    CHECK(has_violation(down, "RECOVER"));
}

TEST_CASE("targets start no work for callers that have disconnected") {
    for (const std::int64_t delay_ms : {400, 600}) {
        SoakChecker checked = checker();
        for (std::int64_t i = 0; i < 12; ++i) {
            const SoakRequest made = request("r" + std::to_string(i), "book", at(20000));
            checked.on_request(made);
            checked.on_caller_disconnected(made.id, at(20050));
            checked.on_run(BOOKING, made.id, at(20050 + delay_ms));
        }
        checked.finish(at(90000), at(30000));
        CHECK(has_violation(checked, "GONE") == (delay_ms > 500));
    }
}

TEST_CASE("LIMIT: a target gets more requests in 4 s than the limit that it names allows") {
    const auto send = [](int requests, bool is_disturbed) {
        SoakChecker checked = checker();
        checked.on_limit(BOOKING.id, 2.0, at(0));
        if (is_disturbed) {
            checked.mark_node_disturbed("node-1", at(9000));
        }
        // The first ones tell the node of the limit.
        for (int i = 0; i < 5 + requests; ++i) {
            const Time now = at(i < 5 ? 100 : 5000 + i);
            const SoakRequest made = request("r" + std::to_string(i), "book", now);
            checked.on_request(made);
            checked.on_arrival(BOOKING, made, now);
        }
        return has_violation(checked, "LIMIT");
    };
    CHECK_FALSE(send(17, false));
    CHECK(send(18, false));
    CHECK_FALSE(send(18, true));
}

TEST_CASE("overlapping faults of the store end one by one") {
    const auto step = [](StepKind kind, double strength) {
        return SoakStep{from_ms(0), kind, from_ms(1000), strength, 0};
    };
    const SoakStep silent = step(StepKind::store_silent, 1.0);
    const SoakStep busy = step(StepKind::store_busy, 1.0);
    const SoakStep slow = step(StepKind::store_slow, 0.5);
    const SoakStep slower = step(StepKind::store_slow, 1.0);
    const SoakStep stale = step(StepKind::store_is_stale, 1.0);
    const standin::PlatformFaults all = combined_store_faults({silent, busy, slow, slower, stale});
    CHECK(all.outage == standin::Outage::silent);
    CHECK(all.response_time == from_ms(400));
    CHECK(all.stale_by == from_ms(6000));
    const standin::PlatformFaults left = combined_store_faults({busy, slow, stale});
    CHECK(left.outage == standin::Outage::busy);
    CHECK(left.response_time == from_ms(200));
    CHECK(left.stale_by == from_ms(6000));
    CHECK(combined_store_faults({busy, step(StepKind::store_returns, 1.0)})
              .stale_reads_are_of_earlier_era);
    CHECK_FALSE(left.stale_reads_are_of_earlier_era);
    const standin::PlatformFaults none = combined_store_faults({});
    CHECK(none.outage == standin::Outage::none);
    CHECK(none.response_time == standin::PlatformFaults{}.response_time);
    CHECK(none.stale_by == standin::PlatformFaults{}.stale_by);
}

TEST_CASE("a plan of some kinds has series of these kinds only") {
    const StepKind kind = StepKind::config_adds_route;
    CHECK(find_kind(name_of(kind)) == kind);
    CHECK_FALSE(find_kind("unknown").has_value());
    std::size_t series_steps = 0;
    for (const SoakStep& step : make_plan(7, from_ms(14000), {kind})) {
        CHECK((step.kind == kind || step.kind == StepKind::target_names_limit));
        series_steps += step.kind == kind ? 1 : 0;
    }
    CHECK(series_steps > 0);
}

TEST_CASE("a plan has one or two returns of the store, unless it is of other kinds only") {
    const auto returns = [](const std::vector<StepKind>& kinds) {
        std::size_t count = 0;
        for (const SoakStep& step : make_plan(7, from_ms(14000), kinds)) {
            count +=
                step.kind == StepKind::store_returns || step.kind == StepKind::store_returns_twice
                    ? 1
                    : 0;
        }
        return count;
    };
    CHECK(returns({}) >= 1);
    CHECK(returns({}) <= 2);
    CHECK(returns({StepKind::store_is_stale}) == 0);
    CHECK(returns({StepKind::store_returns}) > 0);
}

TEST_CASE(
    "the same seed gives the same plan, another seed a different one, and steps end within the "
    "length of the plan") {
    const Duration length = from_ms(14000);
    CHECK(make_plan(7, length) == make_plan(7, length));
    CHECK(make_plan(7, length) != make_plan(8, length));
    for (const SoakStep& step : make_plan(7, length)) {
        CHECK(step.at + step.length <= length);
    }
}

}  // namespace soak
