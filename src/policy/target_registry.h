// What a node believes about the targets that registered themselves with the platform.
//
// Entries vanish when a target leaves, and also when the platform could not hear a living target
// for a while. A target that leaves serves on for seconds, so every entry that vanished is kept
// until its target has had time to register again.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// What a target says of itself.
struct TargetEntry {
    std::string id;
    std::string service;
    /// IPv4 address and port.
    std::string address;
    std::string data_centre;
    /// Requests that the target runs at once.
    std::int64_t slots = 1;
    bool draining = false;
    /// How much longer the target stays cold, when the entry was written.
    Duration cold_remaining{};
    /// Wall-clock milliseconds of the target's start; 0 when it does not say. A change under the
    /// same id means that the target has started anew.
    std::int64_t started_at_ms = 0;

    friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

/// The entries in use, and those that may come back.
struct TargetRegistry {
    std::map<std::string, TargetEntry> entries;
    /// Targets whose entries vanished, with the time when they count as gone.
    std::map<std::string, Time> missing;
    /// Counts changes, so that readers can tell whether they have seen the latest.
    std::int64_t generation = 0;

    friend bool operator==(const TargetRegistry&, const TargetRegistry&) = default;
};

/// How long a living target may take to register again after the platform was away: the platform
/// promises about two seconds.
constexpr Duration REREGISTRATION_TIME = from_ms(2000);

/// How long a target is used after its entry was removed while the platform was in reach: a third
/// of the shortest time that targets serve on after that; the news takes up to two thirds.
constexpr Duration REMOVAL_GRACE = from_ms(1000);

/// Takes a complete list. Entries that are not on it are kept for REREGISTRATION_TIME after an
/// outage of the platform, else for REMOVAL_GRACE.
void replace_all(TargetRegistry& registry, const std::vector<TargetEntry>& list, bool after_outage,
                 Time now);

/// Takes a new or changed entry.
void upsert(TargetRegistry& registry, const TargetEntry& entry);

/// Takes the removal of an entry, which is kept for REMOVAL_GRACE unless it was draining.
void remove(TargetRegistry& registry, const std::string& id, Time now);

/// Removes the targets that did not come back in time; returns their ids.
std::vector<std::string> expire_missing(TargetRegistry& registry, Time now);

}  // namespace ebonymount
