#include "policy/retry_budget.h"

#include <algorithm>

namespace ebonymount {
namespace {

constexpr std::int64_t TOKEN = 1000;
constexpr std::int64_t US_PER_SECOND = 1000000;

/// Fractions of the platform's bounds that all nodes use together; the rest is a margin for windows
/// that begin or end within a burst.
constexpr double RATIO_SHARE = 0.95;
constexpr double SLACK_SHARE = 0.9;

/// Fraction of the slack that is token bucket capacity, for bursts; the rest is refilled over time.
constexpr double CAPACITY_SHARE = 0.8;

}  // namespace

void add_tokens(RetryBudget& budget, std::int64_t count, std::int64_t permille,
                std::int64_t max_tokens) {
    budget.planned += count;
    budget.milli_tokens = std::min(budget.milli_tokens + count * permille, max_tokens * TOKEN);
}

void refill(RetryBudget& budget, const RetryBudgetLimits& limits, Time now) {
    const std::int64_t capacity = limits.max_tokens * TOKEN;
    // After a long idle time the budget is full anyway; the clamp prevents an overflow of the
    // product.
    const std::int64_t elapsed_us =
        std::clamp<std::int64_t>((now - budget.refilled).count(), 0, 100 * US_PER_SECOND);
    const std::int64_t added = elapsed_us * limits.refill_milli_tokens_per_s / US_PER_SECOND;
    if (added > 0) {
        budget.milli_tokens =
            std::max(budget.milli_tokens, std::min(budget.milli_tokens + added, capacity));
        budget.refilled = now;
    }
}

RetryBudgetLimits node_share_of_budget(double ratio, std::int64_t slack, Duration window,
                                       std::int64_t nodes) {
    const double count = static_cast<double>(std::max<std::int64_t>(1, nodes));
    const double usable_slack = static_cast<double>(slack) * SLACK_SHARE;
    RetryBudgetLimits limits;
    limits.permille = static_cast<std::int64_t>(ratio * RATIO_SHARE * 1000.0);
    limits.max_tokens = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(static_cast<double>(slack) * CAPACITY_SHARE / count));
    const double slack_for_refill = usable_slack - static_cast<double>(limits.max_tokens) * count;
    const double seconds = std::max(1.0, to_ms(window) / 1000.0);
    limits.refill_milli_tokens_per_s =
        static_cast<std::int64_t>(std::max(0.0, slack_for_refill) * 1000.0 / count / seconds);
    return limits;
}

bool has_token(const RetryBudget& budget) {
    return budget.milli_tokens >= TOKEN;
}

bool try_spend(RetryBudget& budget) {
    if (!has_token(budget)) {
        return false;
    }
    budget.milli_tokens -= TOKEN;
    ++budget.extra;
    return true;
}

void return_token(RetryBudget& budget) {
    budget.milli_tokens += TOKEN;
    --budget.extra;
}

}  // namespace ebonymount
