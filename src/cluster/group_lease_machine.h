// The life of one seat at one node: watch, take, renew, hand over, lose.
//
// `step` takes one event and the time and returns what to do. At most one call to the platform is
// on its way at a time; its outcome comes back as an event. The daemon carries the actions out,
// scenarios and random schedules drive the same function in virtual time.
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

/// What the machine waits for.
enum class LeasePhase : std::uint8_t {
    watching,   ///< Somebody else's seat; nothing is on its way.
    polling,    ///< A read of somebody else's seat is on its way.
    taking,     ///< The write that takes the seat is on its way.
    holding,    ///< The seat is held; nothing is on its way.
    renewing,   ///< A renewal is on its way.
    verifying,  ///< A renewal was not confirmed; a read is on its way.
    draining,   ///< Requests of a planned hand-over are being finished.
    releasing,  ///< The write that releases the seat is on its way.
    checking,   ///< The release was not confirmed; a read is on its way.
    ending,     ///< The seat was lost; its requests are being finished.
};

/// Everything a node knows of one seat.
struct GroupLeaseMachine {
    LeasePhase phase = LeasePhase::watching;
    GroupLeaseRecord record;
    std::int64_t version = 0;
    /// The record that a write on its way would store.
    GroupLeaseRecord proposed;
    GroupLease lease;
    LeaseObservation watch;
    Time sent{};
    Time due{};
    std::optional<Time> unwanted_since;
    /// Epoch that a predecessor said it has released to this node.
    std::optional<std::int64_t> handover_epoch;
    /// Epoch that was left while a request of it was still running.
    std::optional<std::int64_t> still_running_epoch;
    int release_attempts = 0;
};

/// What the node knows around the seat at the time of a step.
struct LeaseContext {
    std::string node;
    std::string address;
    Duration lease{};
    /// Longest time for which a request may go on running after its holder's lease has lapsed.
    Duration longest_request{};
    /// True when this node should hold the seat.
    bool wanted = false;
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
/// `idle` is false when something still runs although the time for draining is over.
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
/// Start to serve the seat's targets; `warm` when the predecessor's ledgers may be used.
struct OpenGroup {
    bool warm = false;
    std::int64_t predecessor_epoch = 0;
};
/// Refuse new requests for the seat's targets and finish those that run.
struct DrainGroup {};
/// Tell peers that this node runs nothing under the epoch and never will again.
struct EndEpoch {
    std::int64_t epoch = 0;
};
/// Tell peers of the record.
struct PublishLease {
    GroupLeaseRecord record;
};
/// Tell the successor that the seat is free, with the ledgers.
struct NotifySuccessor {
    std::int64_t epoch = 0;
};
using LeaseAction = std::variant<ReadLease, WriteLease, OpenGroup, DrainGroup, EndEpoch,
                                 PublishLease, NotifySuccessor>;

/// Advances the seat by one event.
std::vector<LeaseAction> step(GroupLeaseMachine& machine, const LeaseEvent& event,
                              const LeaseContext& context, Time now);

/// True while the node serves the seat's targets or finishes requests for them.
bool is_held(const GroupLeaseMachine& machine);

/// Nodes whose use of the seat would matter to this node's share, to be looked for.
std::vector<HolderEpoch> unresolved_holders(const GroupLeaseMachine& machine);

}  // namespace ebonymount
