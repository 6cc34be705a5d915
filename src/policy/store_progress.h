// How far the store's recent data is behind its current data.
//
// Recent reads are cheap, but the store only says that their data may be seconds old. Each response
// has the position of the store that its data reflects. Current reads show which position the store
// had reached and when, so a recent read with an earlier one is at least that far behind. This
// needs no failure that this process, or any other, has seen.
//
// The same reads show how long data of a position was complete: until the last of them that showed
// no newer one. Once the store has moved on, data of that position may lack a change as old as
// that, so it must be read again before the change is due, however small the lag may be.
#pragma once

#include <map>

#include "base/time.h"
#include "policy/store_position.h"

namespace ebonymount {

/// Positions that the store has reached, as current reads have shown them.
struct StoreProgress {
    /// When each position was first seen.
    std::map<StorePosition, Time> seen;
    /// As of when each position was last seen to be the newest.
    std::map<StorePosition, Time> newest_until;
};

/// Records the position of a current read that was answered at `now` and shows the store as of
/// `as_of` or later.
void on_current_read(StoreProgress& progress, const StorePosition& position, Time as_of, Time now);

/// Minimum time by which data of that position, received at `now`, is behind; zero if it is not
/// known to be.
Duration lag_of(const StoreProgress& progress, const StorePosition& position, Time now);

/// As of when data of that position is known to have been complete; `Time{}` if that is not known.
Time proven_until(const StoreProgress& progress, const StorePosition& position);

/// True if the store is known to have moved on from that position, and data of it has not been
/// known to be complete for `max_unproven`.
bool is_overdue(const StoreProgress& progress, const StorePosition& position, Duration max_unproven,
                Time now);

}  // namespace ebonymount
