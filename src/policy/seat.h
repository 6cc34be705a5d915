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
struct SeatUse {
    std::string node;
    std::int64_t epoch = 0;

    friend bool operator==(const SeatUse&, const SeatUse&) = default;
};

/// The seat as it stands in the platform.
struct SeatRecord {
    std::string holder;
    std::string address;
    std::int64_t epoch = 0;
    std::int64_t renewal = 0;
    /// Parts of the limit that the holder may use, in 1/64ths.
    std::int64_t share_64ths = 64;
    /// True after a planned release: nothing of the last holder is running any more.
    bool released = true;
    /// Earlier holders that were replaced without a hand-over and may still use a lapsed share.
    std::vector<SeatUse> remnants;

    friend bool operator==(const SeatRecord&, const SeatRecord&) = default;
};

/// Whole share of a limit, in the unit of `SeatRecord::share_64ths`.
constexpr std::int64_t WHOLE_SHARE = 64;

/// What a holder knows of its own lease.
struct SeatLease {
    std::int64_t epoch = 0;
    std::int64_t share_64ths = WHOLE_SHARE;
    /// The lease counts from before the renewal was sent, so it ends early rather than late.
    Time valid_until{};
    /// Set when the platform failed to answer a renewal that began after the lease had lapsed.
    bool platform_failed_since_lapse = false;
    /// Set when the platform showed another holder or a later epoch: nothing may be sent again.
    bool lost = false;
    bool draining = false;

    friend bool operator==(const SeatLease&, const SeatLease&) = default;
};

/// What a candidate has seen of a seat that somebody else holds.
struct SeatWatch {
    SeatRecord last_seen;
    Time unchanged_since{};
    /// Uses known to have ended: the node's host is gone, or the node said so itself.
    std::vector<SeatUse> known_gone;
};

/// Part of each limit, in 1/64ths, that the lease allows at this moment; 0 forbids sending.
std::int64_t usable_share(const SeatLease& lease, Time now);

/// Slots out of `limit` that a share allows, rounded down.
std::int64_t share_of(std::int64_t limit, std::int64_t share_64ths);

/// True when a candidate may try to take the seat. Requests that the last holder had started
/// before its lease lapsed are over by then, if none lasts longer than `longest_request`.
bool may_take(const SeatWatch& watch, Duration lease_duration, Duration longest_request, Time now);

/// The record that a candidate writes to take the seat.
SeatRecord taken_by(const SeatWatch& watch, const std::string& node, const std::string& address);

/// The record that a holder writes to renew. The share returns to the whole once every remnant is
/// known to be gone.
SeatRecord renewed(const SeatRecord& current, const std::vector<SeatUse>& known_gone);

/// The record that a holder writes when nothing of it is running any more.
SeatRecord released(const SeatRecord& current);

/// Extends the lease after a confirmed renewal whose request was sent at `sent`.
void on_renewed(SeatLease& lease, Duration lease_duration, Time sent);

/// Notes that a renewal begun at `sent` got no answer from the platform.
void on_platform_failure(SeatLease& lease, Time sent);

/// Notes that the platform holds another record than this holder's.
void on_seat_lost(SeatLease& lease);

/// Name of the seat in `data_centre` that owns a target.
std::string seat_of(const std::string& target, const std::string& data_centre,
                    std::int64_t seat_count);

/// Spreads seats evenly over nodes: the node that should hold each seat, in the order of `seats`.
/// Nodes with the same knowledge compute the same assignment; where they differ, the conditional
/// write decides.
std::vector<std::string> assign_seats(const std::vector<std::string>& seats,
                                      const std::vector<std::string>& nodes);

/// The node that watches a seat besides its assigned holder, to take it when the holder cannot;
/// empty when there is no other node.
std::string standby_of(const std::string& seat, const std::string& holder,
                       const std::vector<std::string>& nodes);

/// Names of all seats of a data centre.
std::vector<std::string> seat_names(const std::string& data_centre, std::int64_t seat_count);

}  // namespace ebonymount
