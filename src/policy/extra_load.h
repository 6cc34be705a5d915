// The retry budget: a token bucket for hedges and retries together, counted when they reach
// targets.
//
// Each planned sub-query adds a fraction of a token, and each hedge or retry spends a whole one.
// The extra load therefore stays below the table's fraction however many targets fail.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// State of the token bucket. It starts with one token, so that a node that just started can retry.
struct ExtraLoadBudget {
    /// Tokens in thousandths.
    std::int64_t milli_tokens = 1000;
    std::int64_t planned = 0;
    std::int64_t extra = 0;
    /// When `refill` last added tokens.
    Time refilled{};

    friend bool operator==(const ExtraLoadBudget&, const ExtraLoadBudget&) = default;
};

/// How fast a budget accrues tokens, and its capacity.
struct ExtraLoadTerms {
    /// Extra sub-queries allowed for each thousand planned ones.
    std::int64_t permille = 0;
    std::int64_t most_saved_tokens = 1;
    /// Refill in thousandths of a token per second, independent of planned sub-queries.
    std::int64_t milli_per_second = 0;

    friend bool operator==(const ExtraLoadTerms&, const ExtraLoadTerms&) = default;
};

/// Default token bucket capacity; small, so that an hour without retries does not allow a burst.
constexpr std::int64_t MOST_SAVED_TOKENS = 2;

/// Adds tokens for `count` planned sub-queries at `permille` thousandths of a token each, up to a
/// capacity of `most_saved` tokens.
void earn(ExtraLoadBudget& budget, std::int64_t count, std::int64_t permille,
          std::int64_t most_saved = MOST_SAVED_TOKENS);

/// Adds tokens for the time since the last refill, up to the capacity.
void refill(ExtraLoadBudget& budget, const ExtraLoadTerms& terms, Time now);

/// Limits for one of `nodes` nodes such that all of them together stay within the platform's bound:
/// in any window, `ratio` extra arrivals per request plus `slack`. The capacities and the refills
/// of all nodes share the slack; if `nodes` is too high, both become smaller, never larger.
ExtraLoadTerms share_of_bound(double ratio, std::int64_t slack, Duration window,
                              std::int64_t nodes);

/// True if `try_spend` would succeed.
bool has_token(const ExtraLoadBudget& budget);

/// Spends one token if there is one; on false the extra sub-query must not be sent.
bool try_spend(ExtraLoadBudget& budget);

}  // namespace ebonymount
