// How far a read of the platform's store has come.
//
// Revisions rise with each change, but only as long as the store keeps what it has acknowledged. A
// store that returns from an older copy gives revisions out again, for other contents, and begins a
// new era. So only the era and the revision together say which of two states is the newer one.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace ebonymount {

/// Era of data whose source does not state one. It precedes every stated era.
constexpr std::int64_t UNKNOWN_ERA = -1;

/// A greater number is no era: the largest whole number that JSON carries exactly.
constexpr std::int64_t MAX_ERA = (std::int64_t{1} << 53) - 1;

/// True for a number that can be an era, and for `UNKNOWN_ERA`.
constexpr bool is_valid_era(std::int64_t era) {
    return era >= UNKNOWN_ERA && era <= MAX_ERA;
}

/// A state of the store. Positions are ordered from older to newer.
struct StorePosition {
    std::int64_t era = UNKNOWN_ERA;
    /// 0 before anything has been read.
    std::int64_t revision = 0;

    friend bool operator==(const StorePosition&, const StorePosition&) = default;
    friend bool operator<(const StorePosition& left, const StorePosition& right) {
        return std::tie(left.era, left.revision) < std::tie(right.era, right.revision);
    }
    friend bool operator>(const StorePosition& left, const StorePosition& right) {
        return right < left;
    }
    friend bool operator<=(const StorePosition& left, const StorePosition& right) {
        return !(right < left);
    }
};

/// The position, or if its era is unknown, the one with that revision in the era of `known`: data
/// whose source states no era can only be compared by revisions.
StorePosition with_era_of(const StorePosition& position, const StorePosition& known);

/// The position as text, for log lines: `3/1207`, or `-/1207` if the era is unknown.
std::string describe(const StorePosition& position);

}  // namespace ebonymount
