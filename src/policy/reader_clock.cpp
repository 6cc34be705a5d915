#include "policy/reader_clock.h"

#include <algorithm>

namespace ebonymount {

Time data_time(ReaderClock& clock, const StatedAge& stated, Time opened, Time arrival) {
    if (!stated.written.has_value()) {
        return arrival - stated.age;
    }
    const Duration first_offset = opened.time_since_epoch() - *stated.written;
    // No message is written after it arrives. One that seems to be shows that this host's clock was
    // stopped meanwhile.
    const Duration latest_offset = arrival.time_since_epoch() - *stated.written;
    clock.offset = std::min(clock.offset.value_or(first_offset), latest_offset);
    return std::min(Time(*stated.written + *clock.offset), arrival) - stated.age;
}

}  // namespace ebonymount
