// Shares of a target's limit, over fleets of 1 to 295 nodes in virtual time.
//
// Bound of the platform: in any 4 s, all nodes together send at most one and a half times what the
// limit allows, and 5 requests.
#include <catch2/catch.hpp>

#include "policy/rate_limit.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);
constexpr Duration TICK = from_ms(20);
constexpr Duration WINDOW = from_ms(4000);
const std::string TARGET = "target";

std::size_t allowed_requests(double limit) {
    return static_cast<std::size_t>(1.5 * limit * 4.0) + 5;
}

/// One node with endless demand for the target while `wants` is set.
struct LimitedNode {
    NodeGroup group;
    RateLimit limit;
    Random random{1};
};

class LimitedFleet {
public:
    LimitedFleet(std::size_t nodes, double limit) : m_limit(limit) {
        for (std::size_t i = 0; i < nodes; ++i) {
            add_node(i, nodes);
        }
    }

    /// Adds a node that knows of `known` nodes.
    void add_node(std::size_t number, std::size_t known) {
        LimitedNode node;
        for (std::size_t i = 0; i < known; ++i) {
            node.group.names.push_back("node-" + std::to_string(i));
        }
        node.group.self = "node-" + std::to_string(number);
        node.group.count = static_cast<std::int64_t>(std::max(known, std::size_t{1}));
        node.random.seed(number + 1);
        update_limit(node.limit, m_limit, node.group, TARGET, node.random, m_now);
        m_nodes.push_back(std::move(node));
    }

    /// Each node sends whenever it may; the target names its limit in each response.
    void run_for(Duration duration, bool wants = true) {
        for (const Time end = m_now + duration; m_now < end; m_now += TICK) {
            for (LimitedNode& node : m_nodes) {
                while (wants && has_limit_token(node.limit, m_now)) {
                    spend_limit_token(node.limit, m_now);
                    update_limit(node.limit, m_limit, node.group, TARGET, node.random, m_now);
                    m_sent.push_back(m_now);
                }
            }
        }
    }

    std::size_t sent() const {
        return m_sent.size();
    }

    std::size_t max_in_window() const {
        std::size_t first = 0;
        std::size_t most = 0;
        for (std::size_t last = 0; last < m_sent.size(); ++last) {
            while (m_sent[last] - m_sent[first] >= WINDOW) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    double m_limit;
    Time m_now = START;
    std::vector<LimitedNode> m_nodes;
    std::vector<Time> m_sent;
};

}  // namespace

// Guards against the incident "capped targets": shares that do not add up to the limit.
TEST_CASE("nodes of any number keep any limit together, after idle times too, and use it") {
    for (const std::size_t nodes : {1, 2, 3, 6, 9, 60, 295}) {
        for (const double limit : {0.0, 0.02, 0.3, 1.0, 2.5, 6.0, 28.1, 300.0}) {
            CAPTURE(nodes, limit);
            LimitedFleet fleet(nodes, limit);
            fleet.run_for(from_ms(10000));
            const std::size_t sent = fleet.sent();
            fleet.run_for(from_ms(30000));
            if (limit >= 1.0) {
                CHECK(static_cast<double>(fleet.sent() - sent) >= 0.8 * limit * 30.0);
            }
            fleet.run_for(from_ms(30000), false);
            fleet.run_for(from_ms(10000));
            CHECK(fleet.max_in_window() <= allowed_requests(limit));
        }
    }
}

TEST_CASE("a third more nodes that the others do not know of yet still fit") {
    for (const std::size_t nodes : {6, 9, 60, 285}) {
        for (const double limit : {1.0, 6.0, 28.1}) {
            CAPTURE(nodes, limit);
            LimitedFleet fleet(nodes, limit);
            fleet.run_for(from_ms(10000), false);
            for (std::size_t i = 0; i < nodes / 3; ++i) {
                fleet.add_node(nodes + i, nodes + nodes / 3);
            }
            fleet.run_for(from_ms(10000));
            CHECK(fleet.max_in_window() <= allowed_requests(limit));
        }
    }
}

TEST_CASE("a node that does not know the others yet takes a small share") {
    NodeGroup unknown;
    unknown.count = 100;
    unknown.self = "node-1";
    const std::size_t rank = rank_for_target(unknown, TARGET);
    CHECK(rank < 100);
    CHECK(share_of_limit(28.1, rank, 100).per_second <= 28.1 / 17.0);
}

TEST_CASE("a node without a rate checks rarely whether the limit still holds") {
    const RateShare share = share_of_limit(1.0, 5, 9);
    CHECK(share.per_second == 0.0);
    CHECK(share.check_interval >= from_ms(10000));
    RateLimit limit;
    NodeGroup group;
    group.count = 9;
    group.names = {"a"};
    group.self = "a";
    Random random(1);
    update_limit(limit, 0.0, group, TARGET, random, START);
    CHECK_FALSE(has_limit_token(limit, START));
    const Time next = limit_token_at(limit, START);
    CHECK(next > START);
    CHECK(has_limit_token(limit, next));
    spend_limit_token(limit, next);
    CHECK_FALSE(has_limit_token(limit, next + from_ms(1000)));
}

TEST_CASE("a request that was not sent gives its token back, up to the burst") {
    RateLimit limit;
    NodeGroup group;
    group.names = {"a"};
    group.self = "a";
    Random random(1);
    update_limit(limit, 1.0, group, TARGET, random, START);
    const Time now = START + from_ms(2000);
    REQUIRE(has_limit_token(limit, now));
    spend_limit_token(limit, now);
    CHECK_FALSE(has_limit_token(limit, now));
    return_limit_token(limit);
    CHECK(has_limit_token(limit, now));
    for (int i = 0; i < 10; ++i) {
        return_limit_token(limit);
    }
    CHECK(limit.tokens <= limit.share.burst);
}

// Guards against many nodes of a first start that each take the limits of the whole fleet.
TEST_CASE("an empty list of nodes says nothing about their number") {
    CHECK(names_in_group({}, "a").empty());
}

TEST_CASE("a node counts itself before it is listed") {
    CHECK(names_in_group({"b", "c"}, "a") == std::vector<std::string>{"b", "c", "a"});
    CHECK(names_in_group({"a", "b"}, "a") == std::vector<std::string>{"a", "b"});
}

}  // namespace ebonymount
