// Ownership of targets: seats, their leases, and how much of a limit a holder may use.
//
// Each data centre has a fixed number of seats; targets map to seats by rendezvous hashing, and
// the holder of a seat is the only process that speaks to its targets. A seat is a platform object
// that is taken and renewed by conditional update. All waiting is measured on the waiter's own
// monotonic clock, so hosts' clocks need not agree.
//
// Safety when leases lapse rests on shares. A holder whose lease has lapsed while it cannot reach
// the platform keeps half of its share; a successor that saw no hand-over takes at most the other
// half. The shares of all past and present holders never add up to more than the whole.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// A node's use of a seat under one epoch. A node never returns to an epoch that it has left.
struct HolderEpoch {
    std::string node;
    std::int64_t epoch = 0;

    friend bool operator==(const HolderEpoch&, const HolderEpoch&) = default;
};

/// The seat as it stands in the platform.
struct GroupLeaseRecord {
    std::string holder;
    std::string address;
    std::int64_t epoch = 0;
    std::int64_t renewal = 0;
    /// Parts of the limit that the holder may use, in 1/64ths.
    std::int64_t share_64ths = 64;
    /// True after a planned release: nothing of the last holder is running any more.
    bool released = true;
    /// Earlier holders that were replaced without a hand-over and may still use a lapsed share.
    std::vector<HolderEpoch> former_holders;

    friend bool operator==(const GroupLeaseRecord&, const GroupLeaseRecord&) = default;
};

/// Whole share of a limit, in the unit of `GroupLeaseRecord::share_64ths`.
constexpr std::int64_t WHOLE_SHARE = 64;

/// What a holder knows of its own lease.
struct GroupLease {
    std::int64_t epoch = 0;
    std::int64_t share_64ths = WHOLE_SHARE;
    /// The lease counts from before the renewal was sent, so it ends early rather than late.
    Time valid_until{};
    /// Set when the platform failed to answer a renewal that began after the lease had lapsed.
    bool platform_failed_since_lapse = false;
    /// Set when the platform showed another holder or a later epoch: nothing may be sent again.
    bool lost = false;
    bool draining = false;

    friend bool operator==(const GroupLease&, const GroupLease&) = default;
};

/// What a candidate has seen of a seat that somebody else holds.
struct LeaseObservation {
    GroupLeaseRecord last_seen;
    Time unchanged_since{};
    /// Uses known to have ended: the node's host is gone, or the node said so itself.
    std::vector<HolderEpoch> ended_holders;
};

/// Part of each limit, in 1/64ths, that the lease allows at this moment; 0 forbids sending.
std::int64_t usable_share(const GroupLease& lease, Time now);

/// Slots out of `limit` that a share allows, rounded down.
std::int64_t share_of(std::int64_t limit, std::int64_t share_64ths);

/// True when a candidate may try to take the seat. Requests that the last holder had started
/// before its lease lapsed are over by then, if none lasts longer than `longest_request`.
bool may_acquire(const LeaseObservation& watch, Duration lease_duration, Duration longest_request,
                 Time now);

/// The record that a candidate writes to take the seat.
GroupLeaseRecord acquired_by(const LeaseObservation& watch, const std::string& node,
                             const std::string& address);

/// The record that a holder writes to renew. The share returns to the whole once every remnant is
/// known to be gone.
GroupLeaseRecord renewed(const GroupLeaseRecord& current,
                         const std::vector<HolderEpoch>& ended_holders);

/// The record that a holder writes when nothing of it is running any more.
GroupLeaseRecord released(const GroupLeaseRecord& current);

/// Extends the lease after a confirmed renewal whose request was sent at `sent`.
void on_renewed(GroupLease& lease, Duration lease_duration, Time sent);

/// Notes that a renewal begun at `sent` got no answer from the platform.
void on_platform_failure(GroupLease& lease, Time sent);

/// Notes that the platform holds another record than this holder's.
void on_lease_lost(GroupLease& lease);

/// Name of the seat in `data_centre` that owns a target.
std::string group_of(const std::string& target, const std::string& data_centre,
                     std::int64_t group_count);

/// Spreads seats evenly over nodes: the node that should hold each seat, in the order of `groups`.
/// Nodes with the same knowledge compute the same assignment; where they differ, the conditional
/// write decides.
std::vector<std::string> assign_groups(const std::vector<std::string>& groups,
                                       const std::vector<std::string>& nodes);

/// The node that watches a seat besides its assigned holder, to take it when the holder cannot;
/// empty when there is no other node.
std::string standby_of(const std::string& group, const std::string& holder,
                       const std::vector<std::string>& nodes);

/// Names of all seats of a data centre.
std::vector<std::string> group_names(const std::string& data_centre, std::int64_t group_count);

}  // namespace ebonymount
