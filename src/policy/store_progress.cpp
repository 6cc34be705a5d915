#include "policy/store_progress.h"

namespace ebonymount {
namespace {

/// Older entries are dropped; a lag that is longer counts as this long.
constexpr Duration MAX_LAG = from_ms(60000);

}  // namespace

void on_current_read(StoreProgress& progress, std::int64_t revision, Time now) {
    if (progress.seen.empty() || revision > progress.seen.rbegin()->first) {
        progress.seen[revision] = now;
    }
    while (progress.seen.size() > 1 && now - progress.seen.begin()->second > MAX_LAG) {
        progress.seen.erase(progress.seen.begin());
    }
}

Duration lag_of(const StoreProgress& progress, std::int64_t revision, Time now) {
    const auto newer = progress.seen.upper_bound(revision);
    return newer == progress.seen.end() ? Duration::zero() : now - newer->second;
}

}  // namespace ebonymount
