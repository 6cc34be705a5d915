// The budget for extra load: hedges and retries that reach targets, together.
//
// Each planned sub-query earns a fraction of a token, each extra one spends a whole token, so the
// extra load stays below the table's fraction however many targets fail.
#pragma once

#include <cstdint>

namespace ebonymount {

/// Tokens in thousandths. A new budget has one, so that a node that just started can retry.
struct ExtraLoadBudget {
    std::int64_t milli_tokens = 1000;
    std::int64_t planned = 0;
    std::int64_t extra = 0;

    friend bool operator==(const ExtraLoadBudget&, const ExtraLoadBudget&) = default;
};

/// What a budget earns and keeps.
struct ExtraLoadTerms {
    /// Extra sub-queries for a thousand planned ones.
    std::int64_t permille = 0;
    std::int64_t most_saved_tokens = 1;

    friend bool operator==(const ExtraLoadTerms&, const ExtraLoadTerms&) = default;
};

/// Most tokens that can be saved up, so that a quiet hour does not pay for a burst.
constexpr std::int64_t MOST_SAVED_TOKENS = 2;

/// Earns for `count` planned sub-queries at `permille` extra load, up to `most_saved` tokens.
void earn(ExtraLoadBudget& budget, std::int64_t count, std::int64_t permille,
          std::int64_t most_saved = MOST_SAVED_TOKENS);

/// True when `try_spend` would succeed.
bool has_token(const ExtraLoadBudget& budget);

/// Spends one token if there is one; false means the extra sub-query must not be sent.
bool try_spend(ExtraLoadBudget& budget);

}  // namespace ebonymount
