#include "policy/extra_load.h"

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

void earn(ExtraLoadBudget& budget, std::int64_t count, std::int64_t permille,
          std::int64_t most_saved) {
    budget.planned += count;
    budget.milli_tokens = std::min(budget.milli_tokens + count * permille, most_saved * TOKEN);
}

void refill(ExtraLoadBudget& budget, const ExtraLoadTerms& terms, Time now) {
    const std::int64_t capacity = terms.most_saved_tokens * TOKEN;
    // After a long idle time the budget is full anyway; the clamp prevents an overflow of the
    // product.
    const std::int64_t elapsed_us =
        std::clamp<std::int64_t>((now - budget.refilled).count(), 0, 100 * US_PER_SECOND);
    const std::int64_t added = elapsed_us * terms.milli_per_second / US_PER_SECOND;
    if (added > 0) {
        budget.milli_tokens =
            std::max(budget.milli_tokens, std::min(budget.milli_tokens + added, capacity));
        budget.refilled = now;
    }
}

ExtraLoadTerms share_of_bound(double ratio, std::int64_t slack, Duration window,
                              std::int64_t nodes) {
    const double count = static_cast<double>(std::max<std::int64_t>(1, nodes));
    const double usable_slack = static_cast<double>(slack) * SLACK_SHARE;
    ExtraLoadTerms terms;
    terms.permille = static_cast<std::int64_t>(ratio * RATIO_SHARE * 1000.0);
    terms.most_saved_tokens = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(static_cast<double>(slack) * CAPACITY_SHARE / count));
    const double slack_for_refill =
        usable_slack - static_cast<double>(terms.most_saved_tokens) * count;
    const double seconds = std::max(1.0, to_ms(window) / 1000.0);
    terms.milli_per_second =
        static_cast<std::int64_t>(std::max(0.0, slack_for_refill) * 1000.0 / count / seconds);
    return terms;
}

bool has_token(const ExtraLoadBudget& budget) {
    return budget.milli_tokens >= TOKEN;
}

bool try_spend(ExtraLoadBudget& budget) {
    if (!has_token(budget)) {
        return false;
    }
    budget.milli_tokens -= TOKEN;
    ++budget.extra;
    return true;
}

}  // namespace ebonymount
