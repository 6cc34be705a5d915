// A node's view of the targets that have registered themselves with the platform.
//
// An entry disappears when its target leaves, but also when a running target could not reach the
// platform for a while. A target that leaves continues to serve for some seconds, so every entry
// that disappeared is kept until its target has had time to register again. After the store has
// returned from an older copy, an entry that contradicts what this node knew of the target waits
// until the target has had time to write it again.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/store_return.h"

namespace ebonymount {

/// Registration of a target, as written by the target itself.
struct TargetEntry {
    std::string id;
    std::string service;
    /// IPv4 address and port.
    std::string address;
    std::string data_centre;
    /// Number of requests that the target runs concurrently.
    std::int64_t slots = 1;
    bool draining = false;
    /// Remaining time for which the target is cold, at the time when the entry was written.
    Duration cold_remaining{};
    /// When the target started, in milliseconds by the wall clock; 0 if not reported. A change
    /// under the same id means that the target has restarted.
    std::int64_t started_at_ms = 0;

    friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

/// An entry of an older copy of the store, and when it is used if it is not written until then.
struct UnconfirmedEntry {
    TargetEntry entry;
    Time until{};

    friend bool operator==(const UnconfirmedEntry&, const UnconfirmedEntry&) = default;
};

/// The entries in use, including those that disappeared but may register again.
struct TargetRegistry {
    std::map<std::string, TargetEntry> entries;
    /// Targets whose entries have disappeared, with the time at which they are removed.
    std::map<std::string, Time> missing;
    /// Entries that are not used yet, as they contradict what this node knew before the store
    /// returned from an older copy.
    std::map<std::string, UnconfirmedEntry> unconfirmed;
    /// Targets that have left within `WITHDRAWAL_MEMORY`, with the time at which their entries
    /// disappeared.
    std::map<std::string, Time> left;
    /// Incremented with every change, so that code that uses the registry can detect changes.
    std::int64_t generation = 0;

    friend bool operator==(const TargetRegistry&, const TargetRegistry&) = default;
};

/// How long a running target may take to register again after an outage of the platform: the
/// platform promises about two seconds.
constexpr Duration REREGISTRATION_TIME = from_ms(2000);

/// How long a target is used at most after its entry was removed while the platform was reachable:
/// a third of the minimum time for which targets continue to serve after that. It is used for a
/// shorter time if the update that reports the removal may have taken more than the other two
/// thirds.
constexpr Duration REMOVAL_GRACE = from_ms(1000);

/// What precedes a list.
enum class ListOrigin : std::uint8_t {
    regular,
    after_outage,  ///< The store was unreachable, so entries may have expired.
    after_return,  ///< The store has returned from an older copy.
};

/// Applies a complete list. Entries that are not on it are kept for `REREGISTRATION_TIME` after an
/// outage or a return, otherwise for `REMOVAL_GRACE` but not beyond `latest`; draining ones are
/// removed at once. After a return, an entry that differs from the one in use, or whose target has
/// left, is unconfirmed for `REWRITE_TIME`.
void replace_all(TargetRegistry& registry, const std::vector<TargetEntry>& list, ListOrigin origin,
                 Time now, Time latest = Time::max());

/// Applies an entry that its target has written.
void upsert(TargetRegistry& registry, const TargetEntry& entry);

/// True if the entry is of a later start of its target than the one in use.
/// An older copy of the store may have entries of earlier starts.
bool is_of_later_start(const TargetRegistry& registry, const TargetEntry& entry);

/// Until when a target may be used whose entry was removed after the time `after`, so that the last
/// requests reach it within `drain`.
Time latest_use(Time after, Duration drain);

/// Applies the removal of an entry, which is kept for `REMOVAL_GRACE` but not beyond `latest`,
/// unless it was draining.
void remove(TargetRegistry& registry, const std::string& id, Time now, Time latest = Time::max());

/// The target's entry is one of an older copy, as another node knows: it is unconfirmed until
/// `until`, unless its target writes it before.
void withhold(TargetRegistry& registry, const std::string& id, Time until);

/// Removes the targets that have not registered again in time, and returns their ids.
std::vector<std::string> expire_missing(TargetRegistry& registry, Time now);

/// Uses the unconfirmed entries that have waited long enough, and returns the ids of their targets.
/// An entry of an earlier start than the one in use is dropped.
std::vector<std::string> accept_unconfirmed(TargetRegistry& registry, Time now);

}  // namespace ebonymount
