// How far the store's recent data is behind its current data.
//
// Recent reads are cheap, but the store only says that their data may be seconds old. Each response
// has the revision of the store that its data reflects. Current reads show which revision the store
// had reached and when, so a recent read with a lower one is at least that far behind. This needs
// no failure that this process, or any other, has seen.
#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace ebonymount {

/// Revisions that the store has reached, as current reads have shown them.
struct StoreProgress {
    /// When each revision was first seen.
    std::map<std::int64_t, Time> seen;
};

/// Records the revision of a current read that was answered at `now`.
void on_current_read(StoreProgress& progress, std::int64_t revision, Time now);

/// Minimum time by which data of that revision, received at `now`, is behind; zero if it is not
/// known to be.
Duration lag_of(const StoreProgress& progress, std::int64_t revision, Time now);

}  // namespace ebonymount
