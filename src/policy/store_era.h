// The era of the platform's store, as its responses state it.
//
// The era only rises, by one each time that the store returns from an older copy, so a response of
// an earlier era is out of date. But a value that is wrong once, or a store that was set up anew,
// must not make a node deaf to all later responses: current reads that state the same earlier era
// for long enough are right.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "policy/store_position.h"

namespace ebonymount {

/// A rise by more than this is no era. A node that is cut off may miss some returns.
constexpr std::int64_t MAX_ERA_RISE = 1000;

/// How long current reads must state an earlier era until it is taken for the store's.
constexpr Duration ERA_CORRECTION_TIME = from_ms(20000);

struct StoreEra {
    std::int64_t known = UNKNOWN_ERA;
    /// An earlier era that the latest current reads have stated, and since when.
    std::int64_t contradicting = UNKNOWN_ERA;
    Time contradicted_since{};

    friend bool operator==(const StoreEra&, const StoreEra&) = default;
};

/// What follows from the era that a response states.
enum class EraChange : std::uint8_t {
    none,       ///< It is the known era, or none is stated.
    learned,    ///< The era is known for the first time.
    returned,   ///< The era has risen.
    earlier,    ///< The response is out of date.
    corrected,  ///< The known era was wrong: it is the stated one.
    ignored,    ///< The stated number is no era.
};

/// Applies the era that a response has stated; `UNKNOWN_ERA` if it has stated none.
EraChange on_stated_era(StoreEra& era, std::int64_t stated, bool is_current_read, Time now);

}  // namespace ebonymount
