// The budget for extra load: hedges and retries that reach targets, together.
//
// Each planned sub-query earns a fraction of a token, each extra one spends a whole token, so the
// extra load stays below the table's fraction however many targets fail.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// Tokens in thousandths. A new budget has one, so that a node that just started can retry.
struct ExtraLoadBudget {
    std::int64_t milli_tokens = 1000;
    std::int64_t planned = 0;
    std::int64_t extra = 0;
    /// When the budget last earned by time.
    Time refilled{};

    friend bool operator==(const ExtraLoadBudget&, const ExtraLoadBudget&) = default;
};

/// What a budget earns and keeps.
struct ExtraLoadTerms {
    /// Extra sub-queries for a thousand planned ones.
    std::int64_t permille = 0;
    std::int64_t most_saved_tokens = 1;
    /// Tokens in thousandths that a second brings, whatever was planned.
    std::int64_t milli_per_second = 0;

    friend bool operator==(const ExtraLoadTerms&, const ExtraLoadTerms&) = default;
};

/// Most tokens that can be saved up, so that a quiet hour does not pay for a burst.
constexpr std::int64_t MOST_SAVED_TOKENS = 2;

/// Earns for `count` planned sub-queries at `permille` extra load, up to `most_saved` tokens.
void earn(ExtraLoadBudget& budget, std::int64_t count, std::int64_t permille,
          std::int64_t most_saved = MOST_SAVED_TOKENS);

/// Earns what the time since the last call brings, up to the terms' saved tokens.
void refill(ExtraLoadBudget& budget, const ExtraLoadTerms& terms, Time now);

/// What a node may spend so that all nodes together stay within the platform's bound: `ratio`
/// extra arrivals a request and `slack` more in any window. Saved tokens and refills of all nodes
/// take the slack; too high a count of nodes makes both smaller.
ExtraLoadTerms share_of_bound(double ratio, std::int64_t slack, Duration window,
                              std::int64_t nodes);

/// True when `try_spend` would succeed.
bool has_token(const ExtraLoadBudget& budget);

/// Spends one token if there is one; false means the extra sub-query must not be sent.
bool try_spend(ExtraLoadBudget& budget);

}  // namespace ebonymount
