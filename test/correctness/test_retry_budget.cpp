// The bound on a fleet's extra arrivals, split among its nodes: no window exceeds it, however the
// nodes spend their budgets.
#include <catch2/catch.hpp>

#include "policy/retry_budget.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

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

}  // namespace ebonymount
