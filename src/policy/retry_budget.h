// The budget for extra load: hedges and retries that reach targets, together.
//
// Each planned sub-query earns a fraction of a token, each extra one spends a whole token, so the
// extra load stays below the table's fraction however many targets fail.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// Tokens in thousandths. A new budget has one, so that a node that just started can retry.
struct RetryBudget {
    std::int64_t milli_tokens = 1000;
    std::int64_t planned = 0;
    std::int64_t extra = 0;
    /// When the budget last earned by time.
    Time refilled{};

    friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

/// What a budget earns and keeps.
struct RetryBudgetLimits {
    /// Extra sub-queries for a thousand planned ones.
    std::int64_t permille = 0;
    std::int64_t max_tokens = 1;
    /// Tokens in thousandths that a second brings, whatever was planned.
    std::int64_t refill_milli_tokens_per_s = 0;

    friend bool operator==(const RetryBudgetLimits&, const RetryBudgetLimits&) = default;
};

/// Most tokens that can be saved up, so that a quiet hour does not pay for a burst.
constexpr std::int64_t MAX_RETRY_TOKENS = 2;

/// Earns for `count` planned sub-queries at `permille` extra load, up to `max_tokens` tokens.
void add_tokens(RetryBudget& budget, std::int64_t count, std::int64_t permille,
                std::int64_t max_tokens = MAX_RETRY_TOKENS);

/// Earns what the time since the last call brings, up to the terms' saved tokens.
void refill(RetryBudget& budget, const RetryBudgetLimits& limits, Time now);

/// What a node may spend so that all nodes together stay within the platform's bound: `ratio`
/// extra arrivals a request and `slack` more in any window. Saved tokens and refills of all nodes
/// take the slack; too high a count of nodes makes both smaller.
RetryBudgetLimits node_share_of_budget(double ratio, std::int64_t slack, Duration window,
                                       std::int64_t nodes);

/// True when `try_spend` would succeed.
bool has_token(const RetryBudget& budget);

/// Spends one token if there is one; false means the extra sub-query must not be sent.
bool try_spend(RetryBudget& budget);

}  // namespace ebonymount
