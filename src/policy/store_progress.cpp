#include "policy/store_progress.h"

#include <algorithm>
#include <iterator>

namespace ebonymount {
namespace {

/// Older entries are dropped; a lag that is longer counts as this long.
constexpr Duration MAX_LAG = from_ms(60000);

/// The position, with the era of the newest one seen if its own is unknown.
StorePosition comparable(const StoreProgress& progress, const StorePosition& position) {
    return progress.seen.empty() ? position : with_era_of(position, progress.seen.rbegin()->first);
}

void drop_old(std::map<StorePosition, Time>& times, Time now) {
    while (times.size() > 1 && now - times.begin()->second > MAX_LAG) {
        times.erase(times.begin());
    }
}

}  // namespace

void on_current_read(StoreProgress& progress, const StorePosition& position, Time as_of, Time now) {
    const StorePosition reached = comparable(progress, position);
    if (progress.seen.empty() || reached > progress.seen.rbegin()->first) {
        progress.seen[reached] = now;
    }
    Time& newest_until = progress.newest_until[reached];
    newest_until = std::max(newest_until, as_of);
    drop_old(progress.seen, now);
    drop_old(progress.newest_until, now);
}

Duration lag_of(const StoreProgress& progress, const StorePosition& position, Time now) {
    const auto newer = progress.seen.upper_bound(comparable(progress, position));
    return newer == progress.seen.end() ? Duration::zero() : now - newer->second;
}

Time proven_until(const StoreProgress& progress, const StorePosition& position) {
    const auto newer = progress.newest_until.upper_bound(comparable(progress, position));
    return newer == progress.newest_until.begin() ? Time{} : std::prev(newer)->second;
}

bool is_overdue(const StoreProgress& progress, const StorePosition& position, Duration max_unproven,
                Time now) {
    const bool has_newer =
        !progress.seen.empty() && progress.seen.rbegin()->first > comparable(progress, position);
    return has_newer && now - proven_until(progress, position) >= max_unproven;
}

}  // namespace ebonymount
