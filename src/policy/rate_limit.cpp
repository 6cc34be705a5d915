#include "policy/rate_limit.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Fraction of a limit that all nodes use together; the rest is for the nodes that check whether
/// the limit still holds.
constexpr double RATE_SHARE = 0.9;
constexpr double CHECK_SHARE = 0.15;

/// Sum of the bursts of all nodes: this many seconds of the limit, and a constant number of
/// requests. The platform allows 1.5 times the limit and 5 requests in 4 s. A third more, while
/// nodes that were just added are not known to the others, still fits.
constexpr double BURST_SECONDS = 0.5;
constexpr double BURST_REQUESTS = 3.0;

/// Smallest limit that shares are computed from; a target with a smaller one is only checked.
constexpr double MIN_LIMIT_PER_SECOND = 0.05;

/// A limit below this counts as this much for the rate of checks.
constexpr double MIN_CHECKED_LIMIT = 0.25;

/// How long a node may make its check once it is due. A check that no request came for is left out
/// until the next interval: otherwise nodes would save them up and make them together.
constexpr Duration CHECK_SLOT = from_ms(1000);

constexpr Duration MIN_CHECK_INTERVAL = from_ms(10000);

constexpr double US_PER_SECOND = 1e6;

double seconds(Duration duration) {
    return static_cast<double>(duration.count()) / US_PER_SECOND;
}

Duration from_seconds(double value) {
    return Duration(static_cast<std::int64_t>(value * US_PER_SECOND));
}

double tokens_at(const RateLimit& limit, Time now) {
    const double gained = limit.share.per_second * std::max(0.0, seconds(now - limit.refilled_at));
    return std::min(limit.share.burst, limit.tokens + gained);
}

/// Start of the last check slot that has begun, or of the first one.
Time check_slot_at(const RateLimit& limit, Time now) {
    if (now < limit.next_check) {
        return limit.next_check;
    }
    const std::int64_t passed = (now - limit.next_check) / limit.share.check_interval;
    return limit.next_check + passed * limit.share.check_interval;
}

}  // namespace

std::vector<std::string> names_in_group(std::vector<std::string> registered,
                                        const std::string& self) {
    const bool is_listed =
        std::find(registered.begin(), registered.end(), self) != registered.end();
    if (!registered.empty() && !is_listed) {
        registered.push_back(self);
    }
    return registered;
}

RateShare share_of_limit(double per_second, std::size_t rank, std::int64_t nodes) {
    const double burst = BURST_SECONDS * per_second + BURST_REQUESTS;
    const std::int64_t senders =
        per_second < MIN_LIMIT_PER_SECOND
            ? 0
            : std::clamp<std::int64_t>(static_cast<std::int64_t>(burst), 1, nodes);
    RateShare share;
    if (static_cast<std::int64_t>(rank) < senders) {
        share.per_second = RATE_SHARE * per_second / static_cast<double>(senders);
        share.burst = burst / static_cast<double>(senders);
    }
    const double checks_per_second = CHECK_SHARE * std::max(per_second, MIN_CHECKED_LIMIT);
    const Duration interval =
        from_seconds(static_cast<double>(nodes - senders) / checks_per_second);
    share.check_interval = std::max(interval, MIN_CHECK_INTERVAL);
    return share;
}

std::size_t rank_for_target(const NodeGroup& group, const std::string& target) {
    const auto weight = [&target](const std::string& node) {
        return stable_hash(target + "/" + node);
    };
    const std::uint64_t own = weight(group.self);
    if (group.names.empty()) {
        // The place of a node among that many is not known; the hash stands for it.
        return static_cast<std::size_t>(own % static_cast<std::uint64_t>(group.count));
    }
    return static_cast<std::size_t>(
        std::count_if(group.names.begin(), group.names.end(),
                      [&](const std::string& node) { return weight(node) < own; }));
}

void update_limit(RateLimit& limit, double per_second, const NodeGroup& group,
                  const std::string& target, Random& random, Time now) {
    const bool is_new = limit.group_generation < 0;
    limit.tokens = tokens_at(limit, now);
    limit.refilled_at = now;
    limit.named_at = now;
    if (limit.group_generation != group.generation) {
        limit.rank = rank_for_target(group, target);
    } else if (limit.per_second == per_second) {
        return;
    }
    limit.per_second = per_second;
    limit.group_generation = group.generation;
    limit.share = share_of_limit(per_second, limit.rank, group.count);
    limit.tokens = std::min(limit.tokens, limit.share.burst);
    if (is_new) {
        // At a random time, so that nodes do not check together.
        limit.next_check = now + scaled(limit.share.check_interval, uniform(random));
    }
}

bool has_limit_token(const RateLimit& limit, Time now) {
    return limit_token_at(limit, now) <= now;
}

Time limit_token_at(const RateLimit& limit, Time now) {
    if (limit.share.per_second <= 0.0) {
        const Time slot = check_slot_at(limit, now);
        const Time next = now < slot + CHECK_SLOT ? slot : slot + limit.share.check_interval;
        return std::max(now, next);
    }
    const double missing = 1.0 - tokens_at(limit, now);
    // Half a microsecond less than a token counts as one, as times are whole microseconds.
    const double wait = missing / limit.share.per_second;
    return wait * US_PER_SECOND < 0.5 ? now : now + from_seconds(wait) + Duration(1);
}

void spend_limit_token(RateLimit& limit, Time now) {
    if (limit.share.per_second <= 0.0) {
        limit.next_check = check_slot_at(limit, now) + limit.share.check_interval;
        return;
    }
    limit.tokens = std::max(0.0, tokens_at(limit, now) - 1.0);
    limit.refilled_at = now;
}

void return_limit_token(RateLimit& limit) {
    limit.tokens = std::min(limit.share.burst, limit.tokens + 1.0);
}

}  // namespace ebonymount
