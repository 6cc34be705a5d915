// The system's guarantees, tested over real sockets with faults in platform, targets and nodes.
#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <thread>

#include "test_cluster.h"

using namespace ebonymount_test;
using ebonymount::Json;

namespace {

constexpr int BASE_PORT = 10000;
constexpr std::size_t MAX_CALLERS = 8;

int runs_of(TestCluster& cluster, const std::string& service, const std::string& key) {
    int runs = 0;
    for (const standin::FakeTarget* target : cluster.targets_of(service)) {
        const std::map<std::string, int> by_key = target->runs_by_key();
        const auto found = by_key.find(key);
        runs += found == by_key.end() ? 0 : found->second;
    }
    return runs;
}

std::int64_t started_in(TestCluster& cluster, const std::string& data_centre) {
    std::int64_t started = 0;
    for (const standin::FakeTarget* target : cluster.targets_of("catalogue")) {
        const bool is_in_data_centre =
            target->parameters().id.find(data_centre) != std::string::npos;
        started += is_in_data_centre ? target->report().started : 0;
    }
    return started;
}

std::int64_t cold_overloads(TestCluster& cluster) {
    std::int64_t overloads = 0;
    for (const char* service : {"catalogue", "booking"}) {
        for (const standin::FakeTarget* target : cluster.targets_of(service)) {
            overloads += target->report().cold_overloads;
        }
    }
    return overloads;
}

}  // namespace

TEST_CASE("a query gets a complete response from one snapshot, with a trace span for each hop") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    const CallResult response = cluster.query(0, "catalogue", "{\"q\":1}");
    REQUIRE(response.status == 200);
    CHECK(response.body.at("end") == "complete");
    CHECK(response.body.at("snapshot") == "v1");
    CHECK(response.body.at("coverage").at("shards_answered") == 4);
    CHECK(response.body.at("results").size() == 4);
    const Json traces = cluster.admin(0, "GET", "/traces", "").body;
    std::set<std::string> hops;
    for (const Json& span : traces.at(0).at("spans")) {
        hops.insert(span.at("name").get<std::string>().substr(0, 7));
    }
    CHECK(hops == std::set<std::string>{"gateway", "attempt", "relay", "target"});
}

TEST_CASE("equal and different concurrent requests each get their own response") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    std::atomic<int> wrong_responses{0};
    std::vector<std::thread> callers;
    callers.reserve(MAX_CALLERS);
    for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&cluster, &wrong_responses, caller] {
            for (int number = 0; number < 10; ++number) {
                const Json body = {{"q", number % 2 == 0 ? 0 : caller * 100 + number}};
                const CallResult response = cluster.query(caller % 3, "catalogue", body.dump());
                bool is_correct = response.status == 200;
                for (const Json& result : response.body.value("results", Json::array())) {
                    is_correct = is_correct && result.at("result").at("echo") == body;
                }
                wrong_responses += is_correct ? 0 : 1;
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(wrong_responses == 0);
}

TEST_CASE("a booking sent to several nodes at the same time runs once") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    for (int number = 0; number < 5; ++number) {
        const std::string key = "k" + std::to_string(number);
        std::vector<std::thread> callers;
        callers.reserve(MAX_CALLERS);
        for (std::size_t node = 0; node < 3; ++node) {
            callers.emplace_back(
                [&cluster, &key, node] { cluster.submit(node, "booking", key, "{\"stand\":1}"); });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        CHECK(runs_of(cluster, "booking", key) == 1);
    }
}

TEST_CASE(
    "a booking runs once when its idempotency record is stored but the confirmation is lost") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    cluster.platform_fault("lost_confirmations", 4);
    const CallResult response = cluster.submit(0, "booking", "lost", "{}");
    CHECK(response.body.at("verdict") == "ran");
    CHECK(runs_of(cluster, "booking", "lost") == 1);
}

TEST_CASE("a booking refused while the platform is down has not run and can be repeated later") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    cluster.platform_fault("down", 1);
    const CallResult refused = cluster.submit(0, "booking", "later", "{}");
    CHECK(refused.status == 503);
    CHECK(refused.body.at("verdict") == "not_run");
    CHECK(runs_of(cluster, "booking", "later") == 0);
    const CallResult query = cluster.query(1, "catalogue", "{}");
    CHECK(query.status == 200);
    CHECK(query.body.at("coverage").at("permille") == 1000);
    cluster.platform_fault("down", 0);
    CHECK(eventually([&cluster] {
        return cluster.submit(2, "booking", "later", "{}").body.value("verdict", "") == "ran";
    }));
    CHECK(runs_of(cluster, "booking", "later") == 1);
}

TEST_CASE(
    "a data centre out of service gets no new work, with the platform up or down, and can return") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    const bool platform_down = GENERATE(false, true);
    cluster.platform_fault("down", platform_down ? 1 : 0);
    const CallResult out = cluster.admin(0, "POST", "/data-centres/east/out", "");
    REQUIRE(out.status == 200);
    CHECK(out.body.at("stored") == !platform_down);
    for (std::size_t node = 0; node < 3; ++node) {
        CHECK(eventually([&cluster, node] {
            const Json status = cluster.status(node);
            return status.at("out_data_centres") == Json::array({"east"}) ||
                   status.at("pending_out") == Json::array({"east"});
        }));
    }
    const std::int64_t before = started_in(cluster, "east");
    for (std::size_t node = 0; node < 3; ++node) {
        const CallResult response = cluster.query(node, "catalogue", "{}");
        CHECK(response.body.at("coverage").at("permille") == 1000);
    }
    CHECK(started_in(cluster, "east") == before);
    cluster.platform_fault("down", 0);
    CHECK(eventually([&cluster] {
        return cluster.admin(1, "POST", "/data-centres/east/in", "").status == 200;
    }));
    CHECK(eventually([&cluster, before] {
        cluster.query(0, "catalogue", "{}");
        return started_in(cluster, "east") > before;
    }));
    CHECK(cold_overloads(cluster) == 0);
}

TEST_CASE("an accepted table reaches every node, and only one of two accepts of a draft succeeds") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    Json table = cluster.admin(0, "GET", "/table", "").body;
    table["table"][0]["cells"]["hard_deadline_ms"]["value"] = 4000;
    CHECK(cluster.admin(0, "PUT", "/draft", table.dump()).status == 200);
    const CallResult first = cluster.admin(0, "POST", "/accept", "");
    CHECK(first.body.at("generation") == 2);
    const CallResult second = cluster.admin(1, "POST", "/accept", "");
    CHECK(second.status == 409);
    CHECK(second.body.at("message").get<std::string>().find("hard_deadline_ms") !=
          std::string::npos);
    for (std::size_t node = 0; node < 3; ++node) {
        CHECK(eventually([&cluster, node] { return cluster.status(node).at("generation") == 2; }));
    }
}

TEST_CASE(
    "a node that starts while the platform is down becomes ready through gossip with a peer") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    cluster.stop_node(2);
    cluster.platform_fault("down", 1);
    cluster.start_node(2);
    // Without the host list the node has no peers until one of them contacts it.
    CHECK(eventually([&cluster] { return cluster.is_ready(2); }));
    CHECK(cluster.status(2).at("generation") == 1);
}

TEST_CASE("a graceful stop of each node in turn fails no request") {
    TestCluster cluster({2, 4, 4, BASE_PORT});
    cluster.start_all();
    std::atomic<bool> done{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    callers.reserve(MAX_CALLERS);
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&cluster, &done, &served, &failed, caller] {
            for (std::size_t number = 0; !done; ++number) {
                const std::size_t node = (number + static_cast<std::size_t>(caller)) % 6;
                if (!cluster.is_ready(node)) {
                    continue;
                }
                const CallResult response = cluster.query(node, "catalogue", "{}");
                const bool is_complete =
                    response.status == 200 && response.body.at("coverage").at("permille") == 1000;
                served += is_complete ? 1 : 0;
                failed += is_complete ? 0 : 1;
            }
        });
    }
    for (std::size_t node = 0; node < 6; ++node) {
        cluster.stop_node(node);
        cluster.start_node(node);
        CHECK(eventually([&cluster, node] { return cluster.is_ready(node); }));
    }
    done = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(served > 0);
    CHECK(failed == 0);
    CHECK(cold_overloads(cluster) == 0);
}

TEST_CASE("a request that crashes its targets crashes a bounded number of them over all nodes") {
    TestCluster cluster({1, 1, 4, BASE_PORT});
    cluster.start_all();
    const std::string body = "{\"crash\":true}";
    for (int repeat = 0; repeat < 3; ++repeat) {
        cluster.query(static_cast<std::size_t>(repeat), "catalogue", body);
        CHECK(eventually([&cluster, repeat, &body] {
            return cluster.query(static_cast<std::size_t>((repeat + 1) % 3), "catalogue", body)
                       .status == 422;
        }));
    }
    std::int64_t crashes = 0;
    for (const standin::FakeTarget* target : cluster.targets_of("catalogue")) {
        crashes += target->report().crashes;
    }
    // One crash in the first run, one in the probe, and one more if a node had not yet received the
    // notice of the suspected request.
    CHECK(crashes <= 3);
    CHECK(eventually([&cluster] {
        return cluster.query(0, "catalogue", "{\"q\":\"fine\"}").body.value("end", "") ==
               "complete";
    }));
}

TEST_CASE("results of a replica that reports a snapshot it does not have are not used") {
    TestCluster cluster({1, 4, 4, BASE_PORT});
    cluster.start_all();
    for (const char* data_centre : {"east", "north", "west"}) {
        standin::FakeTarget& target = cluster.target(std::string("catalogue-0-") + data_centre);
        const bool has_snapshot = std::string(data_centre) == "west";
        target.set_snapshots({has_snapshot ? "v1" : "v0"});
        target.set_serving_missing_snapshots(true);
    }
    CHECK(eventually([&cluster] {
        const CallResult response = cluster.query(0, "catalogue", "{}");
        for (const Json& result : response.body.value("results", Json::array())) {
            if (result.at("shard") == "s0") {
                CHECK(result.at("result").at("target") == "catalogue-0-west");
            }
        }
        return response.body.value("end", "") == "complete";
    }));
}

TEST_CASE("a restarted target gets no more load than a cold target can handle") {
    TestCluster cluster({1, 2, 4, BASE_PORT});
    cluster.start_all();
    std::atomic<bool> done{false};
    std::vector<std::thread> callers;
    callers.reserve(MAX_CALLERS);
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&cluster, &done] {
            while (!done) {
                cluster.query(0, "catalogue", "{}");
            }
        });
    }
    for (int restart = 0; restart < 3; ++restart) {
        standin::FakeTarget& target = cluster.target("catalogue-0-east");
        const std::int64_t before = target.report().answered;
        target.make_cold(true);
        const bool recovered =
            eventually([&target, before] { return target.report().answered > before + 5; });
        INFO(cluster.status(0).dump(1));
        CHECK(recovered);
    }
    done = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(cold_overloads(cluster) == 0);
}
