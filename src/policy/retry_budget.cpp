#include "policy/retry_budget.h"

#include <algorithm>

namespace ebonymount {
namespace {

constexpr std::int64_t TOKEN = 1000;
constexpr std::int64_t US_PER_SECOND = 1000000;

/// Parts of the platform's bounds that nodes use together; the rest is margin for windows that cut
/// through bursts.
constexpr double RATIO_SHARE = 0.95;
constexpr double SLACK_SHARE = 0.9;

/// Part of the slack that may be saved for a burst; the rest comes second by second.
constexpr double SAVED_SHARE = 0.8;

}  // namespace

void add_tokens(RetryBudget& budget, std::int64_t count, std::int64_t permille,
                std::int64_t max_tokens) {
    budget.planned += count;
    budget.milli_tokens = std::min(budget.milli_tokens + count * permille, max_tokens * TOKEN);
}

void refill(RetryBudget& budget, const RetryBudgetLimits& limits, Time now) {
    const std::int64_t most = limits.max_tokens * TOKEN;
    // A budget that was idle for long is full; the bound keeps the product small.
    const std::int64_t elapsed_us =
        std::clamp<std::int64_t>((now - budget.refilled).count(), 0, 100 * US_PER_SECOND);
    const std::int64_t accrued = elapsed_us * limits.refill_milli_tokens_per_s / US_PER_SECOND;
    if (accrued > 0) {
        budget.milli_tokens =
            std::max(budget.milli_tokens, std::min(budget.milli_tokens + accrued, most));
        budget.refilled = now;
    }
}

RetryBudgetLimits node_share_of_budget(double ratio, std::int64_t slack, Duration window,
                                       std::int64_t nodes) {
    const double count = static_cast<double>(std::max<std::int64_t>(1, nodes));
    const double usable = static_cast<double>(slack) * SLACK_SHARE;
    RetryBudgetLimits limits;
    limits.permille = static_cast<std::int64_t>(ratio * RATIO_SHARE * 1000.0);
    limits.max_tokens = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(static_cast<double>(slack) * SAVED_SHARE / count));
    const double left = usable - static_cast<double>(limits.max_tokens) * count;
    const double seconds = std::max(1.0, to_ms(window) / 1000.0);
    limits.refill_milli_tokens_per_s =
        static_cast<std::int64_t>(std::max(0.0, left) * 1000.0 / count / seconds);
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

}  // namespace ebonymount
