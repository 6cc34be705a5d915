// What this node has measured at each target, and the ranking of replicas that follows from it.
//
// Targets are ranked by expected response time (least expected latency): the measured service time,
// multiplied by a factor for the queue, plus the network latency to another data centre, plus the
// expected cost of refusals and failures. Targets that look stalled or cold rank behind others;
// unreachable targets are left out until a pause has passed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "policy/rate_limit.h"
#include "policy/target_registry.h"

namespace ebonymount {

using TargetIndex = std::uint32_t;

/// State of one target as measured by this node.
struct TargetState {
    TargetEntry entry;
    std::string region;
    /// False once the target is draining, gone, or its data centre is out of service.
    bool accepts_work = false;
    bool same_data_centre = false;
    bool same_region = false;
    /// The target said that it is leaving; true until another instance has its id.
    bool leaving = false;
    /// Another target responded at the address; true until the entry changes.
    bool replaced = false;

    /// Mean time for which one request occupies a slot, in microseconds, without queueing and
    /// network latency; decays to the prior without new samples.
    double service_time_us = 0.0;
    Time service_time_updated_at{};
    /// Share of requests refused before they ran, 0 to 1, smoothed.
    double refusal_share = 0.0;
    /// Share of requests that may have run without a successful response, 0 to 1, smoothed; decays
    /// without new samples.
    double failure_share = 0.0;
    Time failure_share_updated_at{};
    /// Requests of this node in flight at the target.
    std::int64_t outstanding = 0;
    /// When the target last responded, or when a request was sent while none was in flight.
    Time waiting_since{};

    /// Queue length that the target last reported: requests of all its clients.
    std::int64_t reported_waiting = 0;
    Time reported_at{};

    /// Consecutive failures without a response in between.
    std::int64_t failures = 0;
    Time unreachable_until{};
    Time cold_until{};
    /// Requests sent to the target while cold, in the second that began at `cold_window_start`.
    std::int64_t sent_in_cold_window = 0;
    Time cold_window_start{};

    /// Open connections of this node to the target, and those of them that are idle.
    std::int64_t connections = 0;
    std::int64_t idle_connections = 0;
    /// The target's limit for the connections of all nodes together.
    std::int64_t max_connections = 1;
    /// After a rejected connection: earliest time to open new ones.
    Time connect_again_at{};

    /// The target turned this node away until then; empty once it has answered again.
    std::optional<Time> turned_away_until;
    /// The request rate that the target allows, while it names a limit.
    std::optional<RateLimit> limit;
};

/// All targets that have been registered since this node started; indices remain valid.
struct TargetTable {
    std::vector<TargetState> states;
    std::unordered_map<std::string, TargetIndex> by_id;
    std::string own_data_centre;
    std::string own_region;
    /// Nodes that share the targets, and hence connection limits, rate limits and the capacity of
    /// cold targets.
    NodeGroup group;
    /// The platform's bound for a cold target, for all nodes together: its rate times
    /// `cold_overrun`, plus `cold_slack` requests.
    double cold_overrun = 1.5;
    std::int64_t cold_slack = 5;
};

/// Index of a target, assigned on first use.
TargetIndex index_of(TargetTable& table, const std::string& id);

/// Applies a target's registration. The measurements of a target that has restarted are reset.
void update_entry(TargetTable& table, TargetIndex index, const TargetEntry& entry, Time now);

/// The request was sent to the target.
void on_sent(TargetState& state, Time now);
/// The target responded successfully. `ahead` is the value of `requests_ahead` when the request was
/// sent.
void on_response(TargetState& state, Duration response_time, std::int64_t ahead, Time now);
/// The target refused the request before it ran.
void on_refusal(TargetState& state, Time now);
/// The target ran the request and responded with a failure.
void on_target_error(TargetState& state, Duration response_time, std::int64_t ahead, Time now);
/// The request ended without a response; `reached` is false if no connection to the target could be
/// opened.
void on_failure(TargetState& state, bool reached, Duration cold_start, Time now);
/// A new connection was closed before its first response: the target is at its connection limit.
/// Connections of nodes that have lost power may use up the limit for seconds.
void on_connection_rejected(TargetState& state, Time now);
/// The node stopped waiting for the response; `waited` is a lower bound of the response time.
void on_abandoned(TargetState& state, Duration waited, std::int64_t ahead, Time now);
/// The target reported for how much longer it is cold.
void on_cold_report(TargetState& state, Duration remaining, Time now);
/// The target reported its queue length.
void on_load_report(TargetState& state, std::int64_t waiting, Time now);

/// The target turned this node away for that long. Nodes return at random times after it, each with
/// a single request first.
void on_turned_away(TargetState& state, Duration duration, Random& random, Time now);

/// What a response says of the target's limit.
struct LimitReport {
    /// The limit that it names; empty if it names none.
    std::optional<double> per_second;
    /// It is the response to a request that ran. Others may leave out a limit that holds.
    bool is_answer = false;
    /// When the request was sent.
    Time sent_at{};
};

/// What a response has changed.
enum class LimitChange : std::uint8_t { none, named, ended };

/// Applies what a response says of the target's limit.
LimitChange on_limit_report(const TargetTable& table, TargetState& state, const LimitReport& report,
                            Random& random, Time now);

/// Requests that run or are queued at the target, as far as this node knows.
std::int64_t requests_ahead(const TargetState& state, Time now);

/// Costs of an unsuccessful attempt, in microseconds.
struct AttemptCosts {
    double refusal_us = 0.0;
    double failure_us = 0.0;
};

/// Expected response time of a successful attempt in microseconds, with a connect if one is needed.
double response_us(const TargetState& state, Time now);

/// Rank of a target in microseconds: the expected response time, the average cost of refusals and
/// failures, and that of traffic between regions.
double expected_us(const TargetState& state, const AttemptCosts& costs, Time now);

/// Whether a request may be sent to a target, and if not, why.
enum class Availability : std::uint8_t {
    available,
    turned_away,     ///< It turned this node away, or has not answered its first request since.
    leaving,         ///< It said that it is leaving.
    out_of_service,  ///< It is draining or gone, or its data centre is out of service.
    replaced,        ///< Another target has its address.
    unreachable,     ///< It could not be reached recently.
    no_connection,   ///< No idle connection, and no new one may be opened.
    cold,            ///< It is cold, and this node has used up its requests for this window.
    over_limit,      ///< This node has used up its share of the limit that the target named.
};

/// Name of an availability in logs.
const char* name_of(Availability availability);

/// Whether a request may be sent to the target now.
Availability availability(const TargetTable& table, const TargetState& state,
                          double cold_per_second, Time now);

/// True if a request may be sent to the target now.
bool is_candidate(const TargetTable& table, const TargetState& state, double cold_per_second,
                  Time now);

/// True if this node may open one more connection to the target.
bool may_connect(const TargetTable& table, const TargetState& state, Time now);

/// True if this node may keep an idle connection to the target: the target is in the node's region,
/// its connection limit suffices for one idle connection of every node, or the node is one of the
/// third of the nodes that are chosen by hash. Other nodes keep a connection only while they use
/// it, so that connections left open at the target by a power loss still leave room.
bool may_keep_idle(const TargetTable& table, const TargetState& state);

/// False for a target that is out of service, leaving or replaced: nothing says when it accepts
/// requests again.
bool is_expected_back(const TargetState& state);

/// When a target that is unreachable, has turned this node away, or whose limit is used up, can be
/// tried again; `now` for any other.
Time available_at(const TargetState& state, Time now);

/// Counts a request against this node's shares of the capacity of a cold target, and of the limit
/// that the target named.
void count_request(TargetState& state, Time now);

/// Takes back a request that was counted and not sent.
void uncount_request(TargetState& state);

}  // namespace ebonymount
