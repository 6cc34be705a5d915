// The retry budget: one token bucket for the hedges and retries that reach targets.
//
// Each planned sub-query adds a fraction of a token, and each hedge or retry spends a whole one.
// The extra load therefore stays below the table's fraction however many targets fail.
//
// On the direct path, the nodes divide one bound among themselves without talking to each other: a
// ratio of the requests, and a slack. Each node may keep one token if the slack has one for each.
// If there are more nodes, a token at each would exceed the bound as soon as all fail together:
//
// - A token of the slack is at few nodes only: those that come first by rendezvous hashing, so each
//   service has others.
// - Any other node keeps tokens only as far as its own recent requests have earned whole ones.
// - A node with fewer requests draws a lot: each of its requests may be sent once more with the
//   probability that it has earned, and keeps nothing of it for others.
//
// What nodes keep at the begin of a window is a fraction of the requests of the window before, and
// what they earn in it a fraction of its own. The bound is over the larger of both, so it holds
// however the load is spread and changes if the fractions add up to less than the ratio.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "policy/rate_limit.h"

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
    /// False at a node that has no token of the slack, and the generation of the node group that
    /// this was computed from.
    bool has_slack = true;
    std::int64_t group_generation = -1;
    /// Sub-queries planned in the last window, by slots of it; the current one began at
    /// `slot_began`. Counted only if the slack is too small for all nodes.
    std::array<std::int64_t, 8> planned_in_slot{};
    std::size_t slot = 0;
    Time slot_began{};

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
    /// False if the slack has less than a token for each node. Then the members below apply, and
    /// the capacity and the refill above are for the nodes with a token of the slack only.
    bool slack_is_for_all = true;
    /// Number of nodes with a token of the slack.
    std::int64_t slack_nodes = 0;
    /// Whole tokens that a node may keep for each thousand of its requests in the last window.
    std::int64_t kept_permille = 0;
    /// Probability, in thousandths, that a request may be sent once more by a node that keeps no
    /// token.
    std::int64_t drawn_permille = 0;
    Duration window{};

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
/// Draws keep the bound only in all likelihood: the slack that is not used covers six standard
/// deviations.
RetryBudgetLimits node_share_of_budget(double ratio, std::int64_t slack, Duration window,
                                       std::int64_t nodes);

/// Decides whether this node has a token of the service's slack; call it before `plan_request`.
void update_slack(RetryBudget& budget, const RetryBudgetLimits& limits, const NodeGroup& group,
                  const std::string& service, Time now);

/// Adds what one request for the service earns. Returns the probability, in thousandths, with which
/// `draw_token` may allow one extra sub-query of this request; zero at a node that keeps tokens.
std::int64_t plan_request(RetryBudget& budget, const RetryBudgetLimits& limits, Time now);

/// Draws a lot; on true one extra sub-query may be sent, and has been counted.
bool draw_token(RetryBudget& budget, std::int64_t permille, Random& random);

/// True if `try_spend` would succeed.
bool has_token(const RetryBudget& budget);

/// Spends one token if there is one; on false the extra sub-query must not be sent.
bool try_spend(RetryBudget& budget);

/// Returns a token that was spent on a sub-query that has not been sent.
void return_token(RetryBudget& budget);

}  // namespace ebonymount
