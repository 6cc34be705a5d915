#include "policy/store_progress.h"

namespace ebonymount {
namespace {

/// Older entries are dropped; a lag that is longer counts as this long.
constexpr Duration MAX_LAG = from_ms(60000);

/// The position, with the era of the newest one seen if its own is unknown.
StorePosition comparable(const StoreProgress& progress, const StorePosition& position) {
    return progress.seen.empty() ? position : with_era_of(position, progress.seen.rbegin()->first);
}

}  // namespace

void on_current_read(StoreProgress& progress, const StorePosition& position, Time now) {
    const StorePosition reached = comparable(progress, position);
    if (progress.seen.empty() || reached > progress.seen.rbegin()->first) {
        progress.seen[reached] = now;
    }
    while (progress.seen.size() > 1 && now - progress.seen.begin()->second > MAX_LAG) {
        progress.seen.erase(progress.seen.begin());
    }
}

Duration lag_of(const StoreProgress& progress, const StorePosition& position, Time now) {
    const auto newer = progress.seen.upper_bound(comparable(progress, position));
    return newer == progress.seen.end() ? Duration::zero() : now - newer->second;
}

}  // namespace ebonymount
