// What this node has learned about each target, and which replica it asks next.
//
// Targets are ranked by expected time to answer (least expected latency): the learned service
// time, times what is ahead in the queue, plus the way to another data centre, plus what a refusal
// would cost. Targets that look stalled or cold rank behind others; those that cannot be reached
// are left out until a pause has passed.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "policy/target_registry.h"

namespace ebonymount {

using TargetIndex = std::uint32_t;

/// Learned state of one target at this node.
struct TargetState {
    TargetEntry entry;
    std::string region;
    /// False once the target is draining, gone, or its data centre is out of service.
    bool accepts_work = false;
    bool same_data_centre = false;
    bool same_region = false;
    /// Another target answered at the address; true until the entry changes.
    bool replaced = false;

    /// Mean time that one request occupies a slot, in microseconds, without queue and way; drifts
    /// back to the prior when nothing is learned.
    double service_time_us = 0.0;
    Time service_time_updated_at{};
    /// Share of requests refused before they ran, 0 to 1, smoothed.
    double refusal_share = 0.0;
    /// Share of requests that ran and brought no good answer, 0 to 1, smoothed; fades when nothing
    /// is learned.
    double failure_share = 0.0;
    Time failure_learned{};
    /// Requests of this node that are with the target.
    std::int64_t outstanding = 0;
    /// When the target last answered, and when the oldest request after that was sent.
    Time waiting_since{};

    /// Queue length that the target last reported, from all its callers.
    std::int64_t reported_waiting = 0;
    Time reported_at{};

    /// Consecutive failures without an answer in between.
    std::int64_t failures = 0;
    Time unreachable_until{};
    Time cold_until{};
    /// Requests sent in the second that began at `cold_window`, while cold.
    std::int64_t cold_sent = 0;
    Time cold_window{};

    std::int64_t connections = 0;
    std::int64_t idle_connections = 0;
    std::int64_t max_connections = 1;
    /// New connections are opened again from then on, after one was rejected.
    Time connect_again_at{};
};

/// All targets that this node knows or has known; indices stay valid.
struct TargetTable {
    std::vector<TargetState> states;
    std::unordered_map<std::string, TargetIndex> by_id;
    std::string own_node;
    std::string own_data_centre;
    std::string own_region;
    /// Nodes that share the targets; splits connection caps and what cold targets bear.
    std::int64_t nodes = 1;
    /// Part of a cold target's rate that this node may use, 0 to 1, and the spare requests.
    double cold_overrun = 1.5;
    std::int64_t cold_slack = 5;
};

/// Index of a target, made on first use.
TargetIndex index_of(TargetTable& table, const std::string& id);

/// Takes what a target says of itself. A target that started anew loses what was learned.
void update_entry(TargetTable& table, TargetIndex index, const TargetEntry& entry, Time now);

/// What happened to one request at a target.
void on_sent(TargetState& state, Time now);
/// `ahead` is what `requests_ahead` gave when the request was sent.
void on_answer(TargetState& state, Duration took, std::int64_t ahead, Time now);
void on_refusal(TargetState& state, Time now);
/// The target answered that it failed to carry the request out.
void on_target_error(TargetState& state, Duration took, std::int64_t ahead, Time now);
/// The request ended without an answer; `reached` is false if the target could not be connected.
void on_failure(TargetState& state, bool reached, Duration cold_start, Time now);
/// A new connection was closed before its first answer: the target is at its connection limit,
/// which connections of nodes that lost power may fill for seconds.
void on_connection_rejected(TargetState& state, Time now);
/// The answer is no longer awaited; `waited` is a lower bound of the time it would have taken.
void on_abandoned(TargetState& state, Duration waited, std::int64_t ahead, Time now);
/// The target says how much longer it stays cold.
void on_cold_report(TargetState& state, Duration remaining, Time now);
void on_load_report(TargetState& state, std::int64_t waiting, Time now);

/// Requests that are with the target or wait there, as far as this node can tell.
std::int64_t requests_ahead(const TargetState& state, Time now);

/// Cost, in microseconds, of a try that brings nothing.
struct AttemptCosts {
    double refusal_us = 0.0;
    double failure_us = 0.0;
};

/// Expected microseconds until an answer, with what refusals and failures cost on average.
double expected_us(const TargetState& state, const AttemptCosts& costs, Time now);

/// Whether a target may be sent a request, and if not, why.
enum class Availability : std::uint8_t {
    available,
    out_of_service,  ///< It drains or is gone, or its data centre is out of service.
    replaced,        ///< Another target has its address.
    unreachable,     ///< It could not be reached a moment ago.
    no_connection,   ///< This node's share of its connections is in use.
    cold,            ///< It is cold and has had what it bears.
};

/// Name of an availability in logs.
const char* name_of(Availability availability);

/// Whether the target may be sent a request now.
Availability availability(const TargetTable& table, const TargetState& state,
                          double cold_per_second, Time now);

/// True when the target may be sent a request now.
bool is_candidate(const TargetTable& table, const TargetState& state, double cold_per_second,
                  Time now);

/// True when the target is in this node's region, or its connections suffice for one idle
/// connection of every node. Else the node keeps one only while it uses it, so that connections
/// that a loss of power leaves open at the target still leave room.
bool may_keep_idle(const TargetTable& table, const TargetState& state);

/// When an unreachable target is tried again, or `now`.
Time available_at(const TargetState& state, Time now);

/// Counts a request against what a cold target bears.
void count_cold(TargetState& state, Time now);

}  // namespace ebonymount
