// The bound on a fleet's extra arrivals, split among its nodes: no window exceeds it, however the
// nodes spend their budgets.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/retry_budget.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);
constexpr Duration WINDOW = from_ms(10000);

/// Spends every token of every node as soon as it is available, with requests at a constant rate,
/// and returns the maximum number of extra arrivals in any window of ten seconds.
std::int64_t max_extra_in_window(std::int64_t nodes, std::int64_t slack,
                                 std::int64_t requests_per_second) {
    const RetryBudgetLimits limits = node_share_of_budget(0.2, slack, from_ms(10000), nodes);
    std::vector<RetryBudget> budgets(static_cast<std::size_t>(nodes));
    std::vector<std::int64_t> by_step;
    constexpr std::int64_t STEPS_PER_SECOND = 20;
    std::int64_t request = 0;
    for (std::int64_t at = 0; at < 60 * STEPS_PER_SECOND; ++at) {
        const Time now = START + from_ms(at * 1000 / STEPS_PER_SECOND);
        for (std::int64_t i = 0; i < requests_per_second / STEPS_PER_SECOND; ++i) {
            add_tokens(budgets[static_cast<std::size_t>(request++ % nodes)], 1, limits.permille,
                       limits.max_tokens);
        }
        std::int64_t extra = 0;
        // A burst after a quiet time also spends the accrued tokens.
        for (RetryBudget& budget : budgets) {
            refill(budget, limits, now);
            while (at > 20 * STEPS_PER_SECOND && try_spend(budget)) {
                ++extra;
            }
        }
        by_step.push_back(extra);
    }
    std::int64_t max_extra = 0;
    const std::size_t window = 10 * STEPS_PER_SECOND;
    for (std::size_t first = 0; first + window <= by_step.size(); ++first) {
        std::int64_t sum = 0;
        for (std::size_t i = first; i < first + window; ++i) {
            sum += by_step[i];
        }
        max_extra = std::max(max_extra, sum);
    }
    return max_extra;
}

/// Nodes of a fleet, each with its own budget for one service.
class Fleet {
public:
    Fleet(std::int64_t nodes, std::int64_t slack, std::uint64_t seed)
        : m_limits(node_share_of_budget(0.2, slack, WINDOW, nodes)),
          m_budgets(static_cast<std::size_t>(nodes)),
          m_random(seed) {
        m_group.count = nodes;
        for (std::int64_t i = 0; i < nodes; ++i) {
            m_group.names.push_back("node-" + std::to_string(i));
        }
    }

    /// One request of a node, which would be sent once more; true if it may be.
    bool retry_request(std::size_t node, Time now) {
        return run_request(node, now, 1);
    }

    /// A request that wants `extra` further attempts; true if the first of them may be sent.
    bool run_request(std::size_t node, Time now, std::int64_t extra) {
        RetryBudget& budget = m_budgets[node];
        m_group.self = m_group.names[node];
        update_slack(budget, m_limits, m_group, "service", now);
        m_requests.push_back(now);
        std::int64_t drawn = plan_request(budget, m_limits, now);
        bool first_is_allowed = false;
        for (std::int64_t i = 0; i < extra; ++i) {
            refill(budget, m_limits, now);
            const bool is_allowed =
                try_spend(budget) || draw_token(budget, std::exchange(drawn, 0), m_random);
            if (is_allowed) {
                m_extra.push_back(now);
            }
            first_is_allowed = first_is_allowed || (i == 0 && is_allowed);
        }
        return first_is_allowed;
    }

    /// Most that the extra arrivals of a window exceed the bound by; negative if none does.
    double worst_excess(double ratio, std::int64_t slack) const {
        double worst = -1e9;
        for (const Time end : m_extra) {
            std::int64_t requests = 0;
            for (const Duration shift : {Duration::zero(), WINDOW / 2, WINDOW}) {
                requests = std::max(requests, count_in_window(m_requests, end - shift));
            }
            worst = std::max(worst, static_cast<double>(count_in_window(m_extra, end) - slack) -
                                        ratio * static_cast<double>(requests));
        }
        return worst;
    }

    std::int64_t extra() const {
        return static_cast<std::int64_t>(m_extra.size());
    }
    Random& random() {
        return m_random;
    }

private:
    /// Number of times in the window that ends with `end`; `times` are in order.
    static std::int64_t count_in_window(const std::vector<Time>& times, Time end) {
        return std::upper_bound(times.begin(), times.end(), end) -
               std::upper_bound(times.begin(), times.end(), end - WINDOW);
    }

    RetryBudgetLimits m_limits;
    std::vector<RetryBudget> m_budgets;
    NodeGroup m_group;
    Random m_random;
    std::vector<Time> m_requests;
    std::vector<Time> m_extra;
};

/// A node for the next request: the load is even, or at the first tenth of the nodes, or falls with
/// the node's number.
std::size_t choose_node(std::size_t spread, std::int64_t nodes, Random& random) {
    const double share = uniform(random);
    const double count = static_cast<double>(nodes);
    const double number = spread == 0   ? share * count
                          : spread == 1 ? share * std::ceil(count / 10.0)
                                        : share * share * share * count;
    return static_cast<std::size_t>(number);
}

}  // namespace

TEST_CASE("all nodes together stay within ratio and slack in any window") {
    const std::vector<std::pair<std::int64_t, std::int64_t>> fleets = {
        {6, 52}, {9, 58}, {64, 168}, {84, 208}, {1, 52}};
    for (const auto& [nodes, slack] : fleets) {
        for (const std::int64_t rate : {20, 100, 200, 1000}) {
            CHECK(max_extra_in_window(nodes, slack, rate) <= rate * 10 / 5 + slack);
        }
    }
}

TEST_CASE(
    "token buckets of a large fleet have a small capacity and are refilled over time instead") {
    const RetryBudgetLimits large = node_share_of_budget(0.2, 208, from_ms(10000), 84);
    CHECK(large.max_tokens == 1);
    CHECK(large.refill_milli_tokens_per_s > 100);
}

TEST_CASE("an overestimated number of nodes makes each node's limits smaller, never larger") {
    const RetryBudgetLimits right = node_share_of_budget(0.2, 208, from_ms(10000), 84);
    const RetryBudgetLimits wrong = node_share_of_budget(0.2, 208, from_ms(10000), 300);
    CHECK(wrong.refill_milli_tokens_per_s <= right.refill_milli_tokens_per_s);
    CHECK(wrong.max_tokens <= right.max_tokens);
}

TEST_CASE("a budget never holds more tokens than its capacity") {
    RetryBudget budget;
    const RetryBudgetLimits limits{0, 2, 1000};
    refill(budget, limits, START);
    refill(budget, limits, START + from_ms(60000));
    CHECK(budget.milli_tokens == 2000);
}

// Guards against a token at each of more nodes than the slack has tokens: all spend it together.
TEST_CASE("250 nodes whose requests all fail stay within ratio and slack") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(250, 40, seed);
        for (std::size_t i = 0; i < 323; ++i) {
            fleet.retry_request(i % 250, START + from_ms(static_cast<std::int64_t>(i) * 30));
        }
        CHECK(fleet.extra() <= 323 / 5 + 40);
    }
}

// Guards against a bound that holds only for some numbers of nodes, loads or spreads of the load.
TEST_CASE("no window exceeds ratio and slack, at any number of nodes and spread of the load") {
    Random random(4711);
    for (const std::int64_t nodes : {1, 3, 9, 60, 250, 295, 1000}) {
        for (const std::int64_t slack : {0, 2, 12, 40, 52, 630}) {
            for (std::size_t spread = 0; spread < 3; ++spread) {
                Fleet fleet(nodes, slack, random());
                Time now = START;
                double rate = 1.0;
                // Requests fail from some moment on, and in every other span of 15 s then.
                const Time failing_from =
                    START + from_ms(5000 + static_cast<std::int64_t>(20000.0 * uniform(random)));
                for (std::size_t i = 0; i < 6000; ++i) {
                    if (i % 500 == 0) {
                        rate = std::pow(10.0, 3.5 * uniform(random) - 0.5);
                    }
                    now += Duration(
                        static_cast<std::int64_t>(-std::log(1.0 - uniform(random)) * 1e6 / rate));
                    const bool fails =
                        now >= failing_from && (now - failing_from) / from_ms(15000) % 2 == 0;
                    fleet.run_request(choose_node(spread, nodes, random), now, fails ? 2 : 0);
                }
                INFO("nodes " << nodes << ", slack " << slack << ", spread " << spread);
                CHECK(fleet.worst_excess(0.2, slack) <= 0.0);
            }
        }
    }
}

// Guards against a bound that is kept by sending no retries: the requests to one failing target.
TEST_CASE("at 250 nodes, many retries of a lone failing target are allowed") {
    const std::vector<std::pair<std::int64_t, double>> loads = {
        {323, 0.12}, {6000, 0.5}, {10000, 0.9}};
    for (const auto& [requests_per_window, least_share] : loads) {
        Fleet fleet(250, 40, 1);
        std::int64_t failed = 0;
        std::int64_t allowed = 0;
        const Duration gap = WINDOW / requests_per_window;
        for (std::int64_t i = 0; i < 20 * requests_per_window; ++i) {
            const std::size_t node = choose_node(0, 250, fleet.random());
            const bool fails = i > requests_per_window && i % 30 == 0;
            const bool is_allowed = fleet.run_request(node, START + gap * i, fails ? 1 : 0);
            failed += fails ? 1 : 0;
            allowed += is_allowed ? 1 : 0;
        }
        INFO(requests_per_window);
        CHECK(static_cast<double>(allowed) >= least_share * static_cast<double>(failed));
    }
}

TEST_CASE("a slack that has a token for each node is divided among all") {
    for (const auto& [nodes, slack] : std::vector<std::pair<std::int64_t, std::int64_t>>{
             {6, 52}, {9, 58}, {64, 168}, {84, 208}, {295, 630}}) {
        const RetryBudgetLimits limits = node_share_of_budget(0.2, slack, WINDOW, nodes);
        CHECK(limits.slack_is_for_all);
        CHECK(limits.permille == 190);
        CHECK(limits.max_tokens == slack * 8 / 10 / nodes);
    }
}

TEST_CASE("a node that becomes one of the few with a token of the slack gets it by time") {
    const RetryBudgetLimits limits = node_share_of_budget(0.2, 40, WINDOW, 250);
    NodeGroup group;
    group.self = "node-0";
    group.names = {"node-0"};
    for (std::int64_t i = 1; i < 250; ++i) {
        group.names.push_back("node-" + std::to_string(i));
    }
    RetryBudget budget;
    std::string service = "service";
    while (static_cast<std::int64_t>(rank_for_target(group, service)) < limits.slack_nodes) {
        service += "s";
    }
    update_slack(budget, limits, group, service, START);
    CHECK(!budget.has_slack);
    refill(budget, limits, START);
    CHECK(!has_token(budget));
    group.names = {"node-0"};
    ++group.generation;
    update_slack(budget, limits, group, service, START);
    CHECK(budget.has_slack);
    refill(budget, limits, START + from_ms(1000));
    CHECK(!has_token(budget));
    refill(budget, limits, START + from_ms(90000));
    CHECK(budget.milli_tokens == 1000);
}

}  // namespace ebonymount
