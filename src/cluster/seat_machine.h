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
#include "policy/seat.h"

namespace ebonymount {

/// What the machine waits for.
enum class SeatPhase : std::uint8_t {
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
struct SeatMachine {
    SeatPhase phase = SeatPhase::watching;
    SeatRecord record;
    std::int64_t version = 0;
    /// The record that a write on its way would store.
    SeatRecord proposed;
    SeatLease lease;
    SeatWatch watch;
    Time sent{};
    Time due{};
    std::optional<Time> unwanted_since;
    /// Epoch that a predecessor said it has released to this node.
    std::optional<std::int64_t> handover_epoch;
    /// Epoch that was left while a request of it was still running.
    std::optional<std::int64_t> still_running_epoch;
    int release_tries = 0;
};

/// What the node knows around the seat at the time of a step.
struct SeatSurroundings {
    std::string node;
    std::string address;
    Duration lease{};
    /// Longest time for which a request may go on running after its holder's lease has lapsed.
    Duration longest_request{};
    /// True when this node should hold the seat.
    bool wanted = false;
    /// True when the node is stopping.
    bool stopping = false;
    std::vector<SeatUse> known_gone;
};

struct SeatTick {};
struct SeatRead {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
    SeatRecord record;
};
struct SeatWritten {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
};
/// `idle` is false when something still runs although the time for draining is over.
struct SeatDrained {
    bool idle = true;
};
struct HandoverHeard {
    std::int64_t epoch = 0;
};
using SeatEvent = std::variant<SeatTick, SeatRead, SeatWritten, SeatDrained, HandoverHeard>;

struct ReadSeat {};
struct WriteSeat {
    std::int64_t version = 0;
    SeatRecord record;
};
/// Start to serve the seat's targets; `warm` when the predecessor's ledgers may be used.
struct OpenSeat {
    bool warm = false;
    std::int64_t predecessor_epoch = 0;
};
/// Refuse new requests for the seat's targets and finish those that run.
struct DrainSeat {};
/// Tell peers that this node runs nothing under the epoch and never will again.
struct LeaveEpoch {
    std::int64_t epoch = 0;
};
/// Tell peers of the record.
struct PublishSeat {
    SeatRecord record;
};
/// Tell the successor that the seat is free, with the ledgers.
struct TellSuccessor {
    std::int64_t epoch = 0;
};
using SeatAction =
    std::variant<ReadSeat, WriteSeat, OpenSeat, DrainSeat, LeaveEpoch, PublishSeat, TellSuccessor>;

/// Advances the seat by one event.
std::vector<SeatAction> step(SeatMachine& machine, const SeatEvent& event,
                             const SeatSurroundings& around, Time now);

/// True while the node serves the seat's targets or finishes requests for them.
bool is_held(const SeatMachine& machine);

/// Nodes whose use of the seat would matter to this node's share, to be looked for.
std::vector<SeatUse> uses_in_question(const SeatMachine& machine);

}  // namespace ebonymount
