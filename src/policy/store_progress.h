// How far the store's recent data is behind its current data.
//
// Recent reads are cheap, but the store only says that their data may be seconds old. Each response
// has the position of the store that its data reflects. Current reads show which position the store
// had reached and when, so a recent read with an earlier one is at least that far behind. This
// needs no failure that this process, or any other, has seen.
#pragma once

#include <map>

#include "base/time.h"
#include "policy/store_position.h"

namespace ebonymount {

/// Positions that the store has reached, as current reads have shown them.
struct StoreProgress {
    /// When each position was first seen.
    std::map<StorePosition, Time> seen;
};

/// Records the position of a current read that was answered at `now`.
void on_current_read(StoreProgress& progress, const StorePosition& position, Time now);

/// Minimum time by which data of that position, received at `now`, is behind; zero if it is not
/// known to be.
Duration lag_of(const StoreProgress& progress, const StorePosition& position, Time now);

}  // namespace ebonymount
