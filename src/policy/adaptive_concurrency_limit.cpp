#include "policy/adaptive_concurrency_limit.h"

#include <algorithm>

namespace ebonymount {
namespace {

constexpr double MIN_LIMIT = 2.0;
constexpr double MAX_LIMIT = 10000.0;

/// Multiplicative decrease of the limit on overload.
constexpr double DECREASE_FACTOR = 0.7;

/// Minimum time between two cuts of the limit. Requests that were in flight together met the same
/// overload, which should cut the limit only once.
constexpr Duration MIN_CUT_INTERVAL = from_ms(100);

}  // namespace

bool try_admit(AdaptiveConcurrencyLimit& limit) {
    if (static_cast<double>(limit.in_flight) >= limit.limit) {
        return false;
    }
    ++limit.in_flight;
    return true;
}

void on_request_end(AdaptiveConcurrencyLimit& limit, bool overloaded, Time now) {
    // The limit grows only while it is used; otherwise success does not show that more would work.
    const bool is_used = static_cast<double>(limit.in_flight) * 2.0 >= limit.limit;
    --limit.in_flight;
    if (!overloaded) {
        limit.limit += is_used ? 1.0 / limit.limit : 0.0;
        limit.limit = std::min(limit.limit, MAX_LIMIT);
        return;
    }
    if (now - limit.last_cut >= MIN_CUT_INTERVAL) {
        limit.limit = std::max(MIN_LIMIT, limit.limit * DECREASE_FACTOR);
        limit.last_cut = now;
    }
}

}  // namespace ebonymount
