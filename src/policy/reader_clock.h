// Converts the age that another node states for its data into a time of this node's own clock.
//
// A message may wait for seconds before it is read: in a socket, behind a longer message, or while
// either process does not run. If the receiver counted the stated age from the arrival, that wait
// would make the data younger than it is, and nodes that follow each other without the store would
// keep each other's data young for ever. So messages carry the time at which they were written, by
// the sender's clock, and the receiver knows a time by its own clock that cannot be later than the
// first of them: when it asked for the stream.
#pragma once

#include <optional>

#include "base/time.h"

namespace ebonymount {

/// Relation of a sender's clock to this node's, as far as the messages of one stream show it.
struct ReaderClock {
    /// Added to a time of the sender's clock, gives a time of this node's clock that is not later.
    std::optional<Duration> offset;
};

/// What a message states about the sender's data.
struct StatedAge {
    /// Time since the sender's data was complete, when the message was written.
    Duration age{};
    /// When the message was written, by the sender's clock; empty from nodes of an older release.
    std::optional<Duration> written;

    friend bool operator==(const StatedAge&, const StatedAge&) = default;
};

/// Latest time by this node's clock at which the sender's data was certainly complete. `opened` is
/// when this node asked for the stream, `arrival` when the message was read.
Time data_time(ReaderClock& clock, const StatedAge& stated, Time opened, Time arrival);

}  // namespace ebonymount
