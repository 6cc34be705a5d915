#include "policy/target_state.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Assumed service time of a target without responses so far, in microseconds.
constexpr double PRIOR_SERVICE_TIME_US = 12000.0;

/// Half-life of the difference between a measured service time and the prior, in microseconds. A
/// target that was slow is tried again after a few half-lives.
constexpr double SERVICE_TIME_HALF_LIFE_US = 3e6;

/// Half-life of a failure share, in microseconds. A target that failed is tried again after a few
/// half-lives, even if other targets have served all requests in the meantime.
constexpr double FAILURE_HALF_LIFE_US = 3e6;

/// Weight of queued requests relative to the slots. It is above 1 because the requests of other
/// nodes become known to this node late or not at all.
constexpr double QUEUE_WEIGHT = 1.5;

/// Minimum fraction of a measured time that counts as spent at the target.
constexpr double MIN_TARGET_SHARE = 0.3;

/// Weight of one sample in the service time and in the shares of refusals and failures.
constexpr double SAMPLE_WEIGHT = 0.2;

/// Round trip times to another data centre of the region, and to another region, in microseconds.
constexpr double OTHER_DATA_CENTRE_RTT_US = 9000.0;
constexpr double OTHER_REGION_RTT_US = 17000.0;

/// Penalty for targets in another region, in microseconds: operators pay for the traffic, and
/// callers hardly notice a wait of this length at a target in the own region.
constexpr double OTHER_REGION_PENALTY_US = 15000.0;

/// Time that a target takes to accept a connection, in microseconds, in addition to one more round
/// trip.
constexpr double CONNECT_TIME_US = 6000.0;

/// Reports of the queue length that are older than this are ignored.
constexpr Duration MAX_REPORT_AGE = from_ms(300);

/// A target that has requests but has not responded to any for this long counts as stalled.
constexpr Duration STALL_TIME = from_ms(40);

/// Expected remaining time of a stall, in microseconds: pauses last 150 to 200 ms.
constexpr double REMAINING_STALL_US = 100000.0;

/// First pause before an unreachable target is tried again, and the maximum number of times it
/// doubles.
constexpr Duration FIRST_RETRY_PAUSE = from_ms(250);
constexpr std::int64_t MAX_RETRY_DOUBLINGS = 3;

/// Maximum time by which nodes return later than a target asked, as a fraction of that time.
constexpr double RETURN_JITTER = 0.2;

/// Length of the window in which requests to a cold target are counted.
constexpr Duration COLD_WINDOW = from_ms(1000);

/// Fraction of a target's connection limit that all nodes use together: the target lowers the limit
/// while its queue is long.
constexpr double CONNECTION_SHARE = 0.8;

/// Fraction of a target's connection limit that the idle connections of all nodes together may use.
/// If there are more nodes than that, only the nodes of the target's region and a third of the
/// others keep one. After a power loss, the target then has room for the third of the nodes that
/// needs it most.
constexpr double IDLE_SHARE = 0.6;
constexpr std::uint64_t IDLE_HASH_RANGE = 300;

/// Pause before a new connection after one was rejected.
constexpr Duration CONNECTION_REJECTED_PAUSE = from_ms(400);

/// Fraction of a cold target's capacity that all nodes use together. It is low because the nodes'
/// windows do not coincide.
constexpr double COLD_SHARE = 0.5;

double decayed_service_time_us(const TargetState& state, Time now) {
    const double age_us = static_cast<double>((now - state.service_time_updated_at).count());
    const double remaining_weight = std::exp2(-std::max(age_us, 0.0) / SERVICE_TIME_HALF_LIFE_US);
    return PRIOR_SERVICE_TIME_US +
           (state.service_time_us - PRIOR_SERVICE_TIME_US) * remaining_weight;
}

double decayed_failure_share(const TargetState& state, Time now) {
    const double age_us = static_cast<double>((now - state.failure_share_updated_at).count());
    return state.failure_share * std::exp2(-std::max(age_us, 0.0) / FAILURE_HALF_LIFE_US);
}

void add_outcome(TargetState& state, bool failed, Time now) {
    const double share = decayed_failure_share(state, now);
    state.failure_share = share + SAMPLE_WEIGHT * ((failed ? 1.0 : 0.0) - share);
    state.failure_share_updated_at = now;
}

double network_latency_us(const TargetState& state) {
    if (state.same_data_centre) {
        return 0.0;
    }
    return state.same_region ? OTHER_DATA_CENTRE_RTT_US : OTHER_REGION_RTT_US;
}

/// Time of a request behind `ahead` others, as a multiple of its service time.
double queue_factor(const TargetState& state, std::int64_t ahead) {
    const double slots = static_cast<double>(std::max<std::int64_t>(1, state.entry.slots));
    return 1.0 + QUEUE_WEIGHT * static_cast<double>(ahead) / slots;
}

/// Adds a sample of the service time: a response time without its network latency and queueing.
void add_service_time(TargetState& state, Duration response_time, std::int64_t ahead, Time now) {
    const double total_us = static_cast<double>(response_time.count());
    const double time_at_target_us =
        std::max(total_us - network_latency_us(state), total_us * MIN_TARGET_SHARE);
    const double sample_us = time_at_target_us / queue_factor(state, ahead);
    const double decayed_us = decayed_service_time_us(state, now);
    state.service_time_us = decayed_us + SAMPLE_WEIGHT * (sample_us - decayed_us);
    state.service_time_updated_at = now;
}

void count_end(TargetState& state) {
    state.outstanding = std::max<std::int64_t>(0, state.outstanding - 1);
}

std::int64_t cold_limit_per_node(const TargetTable& table, double cold_per_second) {
    const double total =
        cold_per_second * table.cold_overrun + static_cast<double>(table.cold_slack);
    return static_cast<std::int64_t>(
        total * COLD_SHARE / static_cast<double>(std::max<std::int64_t>(1, table.group.count)));
}

std::int64_t connections_per_node(const TargetTable& table, const TargetState& state) {
    const double share = static_cast<double>(state.max_connections) * CONNECTION_SHARE /
                         static_cast<double>(std::max<std::int64_t>(1, table.group.count));
    return std::max<std::int64_t>(1, std::llround(share));
}

}  // namespace

TargetIndex index_of(TargetTable& table, const std::string& id) {
    const auto found = table.by_id.find(id);
    if (found != table.by_id.end()) {
        return found->second;
    }
    const TargetIndex index = static_cast<TargetIndex>(table.states.size());
    table.states.emplace_back();
    table.states.back().service_time_us = PRIOR_SERVICE_TIME_US;
    table.by_id.emplace(id, index);
    return index;
}

void update_entry(TargetTable& table, TargetIndex index, const TargetEntry& entry, Time now) {
    TargetState& state = table.states[index];
    const bool restarted =
        entry.started_at_ms != state.entry.started_at_ms || entry.address != state.entry.address;
    if (restarted) {
        const std::int64_t outstanding = state.outstanding;
        const std::int64_t connections = state.connections;
        const std::int64_t idle = state.idle_connections;
        state = TargetState{};
        state.service_time_us = PRIOR_SERVICE_TIME_US;
        state.outstanding = outstanding;
        state.connections = connections;
        state.idle_connections = idle;
    }
    if (restarted || entry.cold_remaining != state.entry.cold_remaining) {
        state.cold_until = now + entry.cold_remaining;
    }
    state.entry = entry;
    state.same_data_centre = entry.data_centre == table.own_data_centre;
}

void on_sent(TargetState& state, Time now) {
    if (state.outstanding == 0) {
        state.waiting_since = now;
    }
    ++state.outstanding;
}

void on_response(TargetState& state, Duration response_time, std::int64_t ahead, Time now) {
    count_end(state);
    add_service_time(state, response_time, ahead, now);
    state.waiting_since = now;
    state.failures = 0;
    state.unreachable_until = Time{};
    // A response to a request sent before the node was turned away says nothing of the time since.
    if (state.turned_away_until.has_value() && now >= *state.turned_away_until) {
        state.turned_away_until.reset();
    }
    state.refusal_share -= SAMPLE_WEIGHT * state.refusal_share;
    add_outcome(state, false, now);
}

void on_target_error(TargetState& state, Duration response_time, std::int64_t ahead, Time now) {
    on_response(state, response_time, ahead, now);
    // The failure outweighs the success that was just counted.
    add_outcome(state, true, now);
}

void on_refusal(TargetState& state, Time now) {
    count_end(state);
    state.waiting_since = now;
    state.failures = 0;
    state.refusal_share += SAMPLE_WEIGHT * (1.0 - state.refusal_share);
}

void on_failure(TargetState& state, bool reached, Duration cold_start, Time now) {
    count_end(state);
    ++state.failures;
    if (reached) {
        add_outcome(state, true, now);
    }
    // A single broken connection may be a lost response; two in a row look like a crash.
    if (reached && state.failures < 2) {
        return;
    }
    const std::int64_t doublings = std::min(state.failures - 1, MAX_RETRY_DOUBLINGS);
    state.unreachable_until =
        now + FIRST_RETRY_PAUSE * (std::int64_t{1} << std::max<std::int64_t>(0, doublings));
    // A target that comes back at that address has restarted.
    state.cold_until = std::max(state.cold_until, state.unreachable_until + cold_start);
}

void on_connection_rejected(TargetState& state, Time now) {
    state.connect_again_at = now + CONNECTION_REJECTED_PAUSE;
}

void on_abandoned(TargetState& state, Duration waited, std::int64_t ahead, Time now) {
    count_end(state);
    const double expected = decayed_service_time_us(state, now) * queue_factor(state, ahead) +
                            network_latency_us(state);
    if (static_cast<double>(waited.count()) > expected) {
        add_service_time(state, waited, ahead, now);
    }
}

void on_cold_report(TargetState& state, Duration remaining, Time now) {
    state.cold_until = now + remaining;
}

void on_load_report(TargetState& state, std::int64_t waiting, Time now) {
    state.reported_waiting = waiting;
    state.reported_at = now;
}

void on_turned_away(TargetState& state, Duration duration, Random& random, Time now) {
    const Time until = now + scaled(duration, 1.0 + RETURN_JITTER * uniform(random));
    state.turned_away_until = std::max(until, state.turned_away_until.value_or(until));
}

LimitChange on_limit_report(const TargetTable& table, TargetState& state, const LimitReport& report,
                            Random& random, Time now) {
    if (!report.per_second.has_value()) {
        // Responses to earlier requests may have been on their way when the limit was named.
        const bool has_ended =
            report.is_answer && state.limit.has_value() && report.sent_at > state.limit->named_at;
        if (has_ended) {
            state.limit.reset();
        }
        return has_ended ? LimitChange::ended : LimitChange::none;
    }
    const bool is_new = !state.limit.has_value();
    if (is_new) {
        state.limit.emplace();
    }
    const bool is_changed = state.limit->per_second != *report.per_second;
    update_limit(*state.limit, *report.per_second, table.group, state.entry.id, random, now);
    return is_new || is_changed ? LimitChange::named : LimitChange::none;
}

std::int64_t requests_ahead(const TargetState& state, Time now) {
    const bool is_recent = now - state.reported_at < MAX_REPORT_AGE;
    return is_recent ? std::max(state.outstanding, state.reported_waiting) : state.outstanding;
}

double response_us(const TargetState& state, Time now) {
    double response =
        decayed_service_time_us(state, now) * queue_factor(state, requests_ahead(state, now));
    if (state.outstanding > 0 && now - state.waiting_since > STALL_TIME) {
        response += REMAINING_STALL_US;
    }
    if (now < state.cold_until) {
        response *= 2.0;
    }
    if (state.idle_connections == 0) {
        response += CONNECT_TIME_US + network_latency_us(state);
    }
    return response + network_latency_us(state);
}

double expected_us(const TargetState& state, const AttemptCosts& costs, Time now) {
    return response_us(state, now) + (state.same_region ? 0.0 : OTHER_REGION_PENALTY_US) +
           state.refusal_share * costs.refusal_us +
           decayed_failure_share(state, now) * costs.failure_us;
}

const char* name_of(Availability availability) {
    switch (availability) {
        case Availability::available:
            return "available";
        case Availability::turned_away:
            return "turned_away";
        case Availability::leaving:
            return "leaving";
        case Availability::out_of_service:
            return "out_of_service";
        case Availability::replaced:
            return "replaced";
        case Availability::unreachable:
            return "unreachable";
        case Availability::no_connection:
            return "no_connection";
        case Availability::cold:
            return "cold";
        case Availability::over_limit:
            return "over_limit";
    }
    return "unknown";
}

Availability availability(const TargetTable& table, const TargetState& state,
                          double cold_per_second, Time now) {
    if (!state.accepts_work) {
        return Availability::out_of_service;
    }
    if (state.leaving) {
        return Availability::leaving;
    }
    if (state.turned_away_until.has_value() &&
        (now < *state.turned_away_until || state.outstanding > 0)) {
        return Availability::turned_away;
    }
    if (state.replaced) {
        return Availability::replaced;
    }
    if (now < state.unreachable_until) {
        return Availability::unreachable;
    }
    if (state.idle_connections == 0 && !may_connect(table, state, now)) {
        return Availability::no_connection;
    }
    if (cold_per_second > 0.0 && now < state.cold_until) {
        const std::int64_t limit = cold_limit_per_node(table, cold_per_second);
        const bool is_same_window = now - state.cold_window_start < COLD_WINDOW;
        if (limit == 0 || (is_same_window && state.sent_in_cold_window >= limit)) {
            return Availability::cold;
        }
    }
    if (state.limit.has_value() && !has_limit_token(*state.limit, now)) {
        return Availability::over_limit;
    }
    return Availability::available;
}

bool is_candidate(const TargetTable& table, const TargetState& state, double cold_per_second,
                  Time now) {
    return availability(table, state, cold_per_second, now) == Availability::available;
}

bool may_connect(const TargetTable& table, const TargetState& state, Time now) {
    return state.connections < connections_per_node(table, state) && now >= state.connect_again_at;
}

bool may_keep_idle(const TargetTable& table, const TargetState& state) {
    const double allowed = static_cast<double>(state.max_connections) * IDLE_SHARE;
    if (state.same_region || static_cast<double>(table.group.count) <= allowed) {
        return true;
    }
    const std::uint64_t hash = stable_hash(table.group.self + "/" + state.entry.id);
    return hash % IDLE_HASH_RANGE < IDLE_HASH_RANGE / 3;
}

bool is_expected_back(const TargetState& state) {
    return state.accepts_work && !state.leaving && !state.replaced;
}

Time available_at(const TargetState& state, Time now) {
    const Time reachable =
        std::max({now, state.unreachable_until, state.turned_away_until.value_or(now)});
    return state.limit.has_value() ? limit_token_at(*state.limit, reachable) : reachable;
}

void count_request(TargetState& state, Time now) {
    if (state.limit.has_value()) {
        spend_limit_token(*state.limit, now);
    }
    if (now >= state.cold_until) {
        return;
    }
    if (now - state.cold_window_start >= COLD_WINDOW) {
        state.cold_window_start = now;
        state.sent_in_cold_window = 0;
    }
    ++state.sent_in_cold_window;
}

void uncount_request(TargetState& state) {
    if (state.limit.has_value()) {
        return_limit_token(*state.limit);
    }
}

}  // namespace ebonymount
