// State machine of one target group's lease at one node: watch, acquire, renew, hand over, lose.
//
// `step` takes one event and the time and returns the actions to perform. At most one call to the
// platform is in flight at a time; its outcome comes back as an event. The daemon performs the
// actions; scenarios and random schedules drive the same function in virtual time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "cluster/store_status.h"
#include "policy/group_lease.h"

namespace ebonymount {

/// Whether the lease is held, and which call or event the machine waits for.
enum class LeasePhase : std::uint8_t {
    watching,   ///< The lease is not held; no call is in flight.
    polling,    ///< The lease is not held; a read of its record is in flight.
    acquiring,  ///< The write that acquires the lease is in flight.
    holding,    ///< The lease is held; no call is in flight.
    renewing,   ///< The write of a renewal is in flight.
    verifying,  ///< A renewal was not confirmed; a read is in flight.
    draining,   ///< Planned handover; running requests are being finished.
    releasing,  ///< The write that releases the lease is in flight.
    checking,   ///< The release was not confirmed; a read is in flight.
    ending,     ///< The lease was lost; running requests are being finished.
};

/// A node's state of one target group's lease.
struct GroupLeaseMachine {
    LeasePhase phase = LeasePhase::watching;
    /// The record as this node last stored it; used while the lease is held.
    GroupLeaseRecord record;
    /// Version of the lease object as last read or written.
    std::int64_t version = 0;
    /// The record that the write in flight would store.
    GroupLeaseRecord proposed;
    GroupLease lease;
    LeaseObservation observation;
    /// When the last write that acquires or renews the lease was sent.
    Time sent{};
    /// When the next renewal or poll is due.
    Time due{};
    /// Since when another node has been the assigned holder; empty while this node is.
    std::optional<Time> unassigned_since;
    /// Epoch whose release a predecessor has announced to this node.
    std::optional<std::int64_t> handover_epoch;
    /// Epoch that this node stopped serving while one of its requests was still running.
    std::optional<std::int64_t> unfinished_epoch;
    int release_writes = 0;
};

/// Inputs of a step from outside the machine.
struct LeaseContext {
    std::string node;
    std::string address;
    /// Duration of a lease.
    Duration lease_duration{};
    /// Maximum time for which a request may keep running after its holder's lease has expired.
    Duration max_request_time{};
    /// True when this node should hold the lease.
    bool is_assigned = false;
    /// True when the node is stopping.
    bool stopping = false;
    std::vector<HolderEpoch> ended_holders;
};

struct LeaseTick {};
struct LeaseRead {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
    GroupLeaseRecord record;
};
struct LeaseWritten {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
};
/// `idle` is false when a request still runs after the time allowed for draining.
struct GroupDrained {
    bool idle = true;
};
struct HandoverReceived {
    std::int64_t epoch = 0;
};
using LeaseEvent = std::variant<LeaseTick, LeaseRead, LeaseWritten, GroupDrained, HandoverReceived>;

struct ReadLease {};
struct WriteLease {
    std::int64_t version = 0;
    GroupLeaseRecord record;
};
/// Start to serve the group's targets. `warm` is true when the predecessor's admission states may
/// be used.
struct OpenGroup {
    bool warm = false;
    std::int64_t predecessor_epoch = 0;
};
/// Refuse new requests for the group's targets and finish those that are running.
struct DrainGroup {};
/// Announce to peers that this node runs no request under the epoch and will start none.
struct EndEpoch {
    std::int64_t epoch = 0;
};
/// Publish the record to peers.
struct PublishLease {
    GroupLeaseRecord record;
};
/// Notify the successor that the lease is released, and send it the admission states.
struct NotifySuccessor {
    std::int64_t epoch = 0;
};
using LeaseAction = std::variant<ReadLease, WriteLease, OpenGroup, DrainGroup, EndEpoch,
                                 PublishLease, NotifySuccessor>;

/// Advances the lease by one event.
std::vector<LeaseAction> step(GroupLeaseMachine& machine, const LeaseEvent& event,
                              const LeaseContext& context, Time now);

/// True while the node serves the group's targets or finishes requests for them.
bool is_held(const GroupLeaseMachine& machine);

/// Holders that may still use part of the limits and thus reduce this node's share: the former
/// holders and, while this node does not hold the lease, the last recorded holder. The caller
/// checks which of their epochs have ended.
std::vector<HolderEpoch> unresolved_holders(const GroupLeaseMachine& machine);

}  // namespace ebonymount
