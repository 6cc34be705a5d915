#include "policy/adaptive_concurrency_limit.h"

#include <algorithm>

namespace ebonymount {
namespace {

constexpr double LEAST_LIMIT = 2.0;
constexpr double MOST_LIMIT = 10000.0;

/// Part of the limit that is left after a cut.
constexpr double CUT = 0.7;

/// Requests that were in flight together meet the same overload, so it cuts the limit once.
constexpr Duration CUT_INTERVAL = from_ms(100);

}  // namespace

bool try_admit(AdaptiveConcurrencyLimit& limit) {
    if (static_cast<double>(limit.in_flight) >= limit.limit) {
        return false;
    }
    ++limit.in_flight;
    return true;
}

void on_request_end(AdaptiveConcurrencyLimit& limit, bool overloaded, Time now) {
    // Only a gateway that uses its limit learns that more would do.
    const bool is_used = static_cast<double>(limit.in_flight) * 2.0 >= limit.limit;
    --limit.in_flight;
    if (!overloaded) {
        limit.limit += is_used ? 1.0 / limit.limit : 0.0;
        limit.limit = std::min(limit.limit, MOST_LIMIT);
        return;
    }
    if (now - limit.last_cut >= CUT_INTERVAL) {
        limit.limit = std::max(LEAST_LIMIT, limit.limit * CUT);
        limit.last_cut = now;
    }
}

}  // namespace ebonymount
