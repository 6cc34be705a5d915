// The retry budget: one token bucket for the hedges and retries that reach targets.
//
// Each planned sub-query adds a fraction of a token, and each hedge or retry spends a whole one.
// The extra load therefore stays below the table's fraction however many targets fail.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// State of the token bucket. It starts with one token, so that a node that just started can retry.
struct RetryBudget {
    /// Tokens in thousandths.
    std::int64_t milli_tokens = 1000;
    /// Planned sub-queries, and extra ones (hedges and retries), counted so far.
    std::int64_t planned = 0;
    std::int64_t extra = 0;
    /// When `refill` last added tokens.
    Time refilled{};

    friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

/// How fast a budget accrues tokens, and its capacity.
struct RetryBudgetLimits {
    /// Extra sub-queries allowed for each thousand planned ones.
    std::int64_t permille = 0;
    /// Token bucket capacity.
    std::int64_t max_tokens = 1;
    /// Refill in thousandths of a token per second, independent of planned sub-queries.
    std::int64_t refill_milli_tokens_per_s = 0;

    friend bool operator==(const RetryBudgetLimits&, const RetryBudgetLimits&) = default;
};

/// Default token bucket capacity. It is small, so that an hour without retries does not allow a
/// burst of them.
constexpr std::int64_t MAX_RETRY_TOKENS = 2;

/// Adds tokens for `count` planned sub-queries at `permille` thousandths of a token each, up to a
/// capacity of `max_tokens` tokens.
void add_tokens(RetryBudget& budget, std::int64_t count, std::int64_t permille,
                std::int64_t max_tokens = MAX_RETRY_TOKENS);

/// Adds tokens for the time since the last refill, up to the capacity.
void refill(RetryBudget& budget, const RetryBudgetLimits& limits, Time now);

/// Limits for one of `nodes` nodes, such that all of them together stay within the platform's bound
/// in any window: `ratio` extra arrivals per request plus `slack`. The capacities and the refills
/// of all nodes share the slack; if `nodes` is too high, both become smaller, never larger.
RetryBudgetLimits node_share_of_budget(double ratio, std::int64_t slack, Duration window,
                                       std::int64_t nodes);

/// True if `try_spend` would succeed.
bool has_token(const RetryBudget& budget);

/// Spends one token if there is one; on false the extra sub-query must not be sent.
bool try_spend(RetryBudget& budget);

/// Returns a token that was spent on a sub-query that has not been sent.
void return_token(RetryBudget& budget);

}  // namespace ebonymount
