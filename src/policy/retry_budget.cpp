#include "policy/retry_budget.h"

#include <algorithm>
#include <numeric>

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

/// If the slack has less than a token for each node: the fractions of it for the nodes that have
/// one, and for their refill. The rest is a margin for the draws of the other nodes.
constexpr double FEW_CAPACITY_SHARE = 0.6;
constexpr double FEW_REFILL_SHARE = 0.1;

/// Fractions of the ratio for requests in a window, and for what is kept from the one before it.
/// The bound counts the requests in one of both, so the fractions add up to less than 1.
constexpr double EARNED_SHARE = 0.6;
constexpr double KEPT_SHARE = 0.35;

/// The draws use a fraction f = slack / (slack + this) of the ratio at most. Where they allow n on
/// average, the bound leaves n / f and a margin m. That is six standard deviations more, of at most
/// sqrt(n) each, for any n if 4 m (1 / f - 1) >= 36.
constexpr double DRAW_SLACK = 30.0;

/// Only the requests of the last window count for what a node keeps.
void forget_old_requests(RetryBudget& budget, const RetryBudgetLimits& limits, Time now) {
    const std::size_t slots = budget.planned_in_slot.size();
    const Duration length = std::max(Duration(1), limits.window / static_cast<std::int64_t>(slots));
    const std::int64_t passed = std::max<std::int64_t>(0, (now - budget.slot_began) / length);
    for (std::size_t i = 0; i < std::min(slots, static_cast<std::size_t>(passed)); ++i) {
        budget.slot = (budget.slot + 1) % slots;
        budget.planned_in_slot[budget.slot] = 0;
    }
    budget.slot_began += passed * length;
}

/// Whole tokens that a node may keep now.
std::int64_t capacity_of(const RetryBudget& budget, const RetryBudgetLimits& limits) {
    if (limits.slack_is_for_all) {
        return limits.max_tokens;
    }
    const std::int64_t recent = std::accumulate(budget.planned_in_slot.begin(),
                                                budget.planned_in_slot.end(), std::int64_t{0});
    const std::int64_t earned = std::min(MAX_RETRY_TOKENS, recent * limits.kept_permille / 1000);
    return budget.has_slack ? std::max(limits.max_tokens, earned) : earned;
}

/// Drops what the node may not keep any more.
void drop_excess(RetryBudget& budget, const RetryBudgetLimits& limits, Time now) {
    if (!limits.slack_is_for_all) {
        forget_old_requests(budget, limits, now);
        budget.milli_tokens = std::min(budget.milli_tokens, capacity_of(budget, limits) * TOKEN);
    }
}

RetryBudgetLimits share_among_few(double ratio, std::int64_t slack, Duration window) {
    const double usable = static_cast<double>(std::max<std::int64_t>(0, slack));
    RetryBudgetLimits limits;
    limits.permille = static_cast<std::int64_t>(ratio * EARNED_SHARE * 1000.0);
    limits.slack_is_for_all = false;
    limits.slack_nodes = static_cast<std::int64_t>(usable * FEW_CAPACITY_SHARE);
    limits.kept_permille = static_cast<std::int64_t>(ratio * KEPT_SHARE * 1000.0);
    const double drawn_share = std::min(EARNED_SHARE, usable / (usable + DRAW_SLACK));
    limits.drawn_permille = static_cast<std::int64_t>(ratio * drawn_share * 1000.0);
    limits.window = window;
    if (limits.slack_nodes > 0) {
        const double seconds = std::max(1.0, to_ms(window) / 1000.0);
        limits.refill_milli_tokens_per_s = static_cast<std::int64_t>(
            usable * FEW_REFILL_SHARE * 1000.0 / static_cast<double>(limits.slack_nodes) / seconds);
    }
    return limits;
}

}  // namespace

void add_tokens(RetryBudget& budget, std::int64_t count, std::int64_t permille,
                std::int64_t max_tokens) {
    budget.planned += count;
    budget.milli_tokens = std::min(budget.milli_tokens + count * permille, max_tokens * TOKEN);
}

void refill(RetryBudget& budget, const RetryBudgetLimits& limits, Time now) {
    drop_excess(budget, limits, now);
    if (!budget.has_slack) {
        return;
    }
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
    limits.max_tokens =
        static_cast<std::int64_t>(static_cast<double>(slack) * CAPACITY_SHARE / count);
    if (limits.max_tokens < 1) {
        return share_among_few(ratio, slack, window);
    }
    limits.permille = static_cast<std::int64_t>(ratio * RATIO_SHARE * 1000.0);
    const double slack_for_refill = usable_slack - static_cast<double>(limits.max_tokens) * count;
    const double seconds = std::max(1.0, to_ms(window) / 1000.0);
    limits.refill_milli_tokens_per_s =
        static_cast<std::int64_t>(std::max(0.0, slack_for_refill) * 1000.0 / count / seconds);
    return limits;
}

void update_slack(RetryBudget& budget, const RetryBudgetLimits& limits, const NodeGroup& group,
                  const std::string& service, Time now) {
    if (budget.group_generation == group.generation) {
        return;
    }
    const bool had_slack = budget.has_slack;
    budget.group_generation = group.generation;
    budget.has_slack = limits.slack_is_for_all || static_cast<std::int64_t>(rank_for_target(
                                                      group, service)) < limits.slack_nodes;
    if (!had_slack) {
        // Its first token comes by time, as the node that had one before may have spent it.
        budget.refilled = now;
    }
}

std::int64_t plan_request(RetryBudget& budget, const RetryBudgetLimits& limits, Time now) {
    if (limits.slack_is_for_all) {
        add_tokens(budget, 1, limits.permille, limits.max_tokens);
        return 0;
    }
    drop_excess(budget, limits, now);
    ++budget.planned_in_slot[budget.slot];
    const std::int64_t capacity = capacity_of(budget, limits);
    add_tokens(budget, 1, limits.permille, capacity);
    return capacity > 0 ? 0 : limits.drawn_permille;
}

bool draw_token(RetryBudget& budget, std::int64_t permille, Random& random) {
    if (permille <= 0 || uniform(random) * 1000.0 >= static_cast<double>(permille)) {
        return false;
    }
    ++budget.extra;
    return true;
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
