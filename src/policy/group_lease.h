// Ownership of targets: target groups, their leases, and the share of a limit that a holder may
// use.
//
// Each data centre has a fixed number of target groups. Targets are assigned to groups by
// rendezvous hashing, and the holder of a group's lease is the only process that sends requests to
// the group's targets. The lease is an object in the platform's store that is acquired and renewed
// by conditional update. Waiting times are measured on the waiting node's own monotonic clock, so
// that hosts' clocks need not agree.
//
// Shares keep limits safe when leases lapse. A holder whose lease has lapsed while it cannot reach
// the platform keeps half of its share; a successor without a handover uses at most the other half.
// The shares of all past and present holders never add up to more than the whole.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// A node that holds or held a group's lease, and the epoch of that tenure. A node never resumes an
/// epoch that has ended.
struct HolderEpoch {
    std::string node;
    std::int64_t epoch = 0;

    friend bool operator==(const HolderEpoch&, const HolderEpoch&) = default;
};

/// The lease record of a group as stored in the platform.
struct GroupLeaseRecord {
    std::string holder;
    std::string address;
    std::int64_t epoch = 0;
    /// Incremented with each renewal and release, so that observers see the record change.
    std::int64_t renewal = 0;
    /// Share of each limit that the holder may use, in 64ths.
    std::int64_t share_64ths = 64;
    /// True after a planned release: no request of the last holder is running any more.
    bool released = true;
    /// Former holders that were replaced without a handover and may still use their lapsed share.
    std::vector<HolderEpoch> former_holders;

    friend bool operator==(const GroupLeaseRecord&, const GroupLeaseRecord&) = default;
};

/// The whole of a limit, in the unit of `GroupLeaseRecord::share_64ths`.
constexpr std::int64_t WHOLE_SHARE = 64;

/// A holder's view of its own lease.
struct GroupLease {
    std::int64_t epoch = 0;
    std::int64_t share_64ths = WHOLE_SHARE;
    /// Counted from when the renewal was sent, so that the lease ends too early rather than too
    /// late.
    Time valid_until{};
    /// Set when the platform did not respond to a renewal that was sent after the lease had lapsed.
    bool platform_failed_since_lapse = false;
    /// Set when the platform's record has another holder or a later epoch: nothing may be sent any
    /// more.
    bool lost = false;
    /// Set before a planned release: nothing new is sent while running requests end.
    bool draining = false;

    friend bool operator==(const GroupLease&, const GroupLease&) = default;
};

/// What a candidate has observed of a lease that another node holds.
struct LeaseObservation {
    GroupLeaseRecord last_seen;
    Time unchanged_since{};
    /// Holders whose epochs are known to have ended: the node's host is gone, or the node reported
    /// it.
    std::vector<HolderEpoch> ended_holders;
};

/// Share of each limit, in 64ths, that the lease allows at `now`; at 0 nothing may be sent.
std::int64_t usable_share(const GroupLease& lease, Time now);

/// The part of `limit` that a share allows, rounded down.
std::int64_t share_of(std::int64_t limit, std::int64_t share_64ths);

/// True if a candidate may try to acquire the lease: it was released, or its record has not changed
/// for the lease duration plus `max_request_time`. Requests that the last holder started before its
/// lease lapsed have ended by then, provided that none takes longer than `max_request_time`.
bool may_acquire(const LeaseObservation& observation, Duration lease_duration,
                 Duration max_request_time, Time now);

/// The record that a candidate writes to acquire the lease. Without a handover, the last holder
/// becomes a former holder and the share is halved.
GroupLeaseRecord acquired_by(const LeaseObservation& observation, const std::string& node,
                             const std::string& address);

/// The record that a holder writes to renew the lease. The share becomes the whole again once the
/// epochs of all former holders are known to have ended.
GroupLeaseRecord renewed(const GroupLeaseRecord& current,
                         const std::vector<HolderEpoch>& ended_holders);

/// The record that a holder writes to release the lease, once none of its requests is running.
GroupLeaseRecord released(const GroupLeaseRecord& current);

/// Extends the lease after a confirmed renewal that was sent at `sent`.
void on_renewed(GroupLease& lease, Duration lease_duration, Time sent);

/// Records that a renewal sent at `sent` got no response from the platform.
void on_platform_failure(GroupLease& lease, Time sent);

/// Records that the platform's record is not this holder's any more.
void on_lease_lost(GroupLease& lease);

/// Name of the group in `data_centre` that owns a target.
std::string group_of(const std::string& target, const std::string& data_centre,
                     std::int64_t group_count);

/// Spreads groups evenly over nodes: returns the node that should hold each group's lease, in the
/// order of `groups`. Nodes with the same cluster state compute the same assignment; otherwise, the
/// conditional write decides.
std::vector<std::string> assign_groups(const std::vector<std::string>& groups,
                                       const std::vector<std::string>& nodes);

/// The standby of a group: the node that observes the lease besides its assigned holder and
/// acquires it when the holder cannot; empty if there is no other node.
std::string standby_of(const std::string& group, const std::string& holder,
                       const std::vector<std::string>& nodes);

/// Names of all groups of a data centre.
std::vector<std::string> group_names(const std::string& data_centre, std::int64_t group_count);

}  // namespace ebonymount
